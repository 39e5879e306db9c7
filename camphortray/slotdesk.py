"""Gives out the slots of services that this host coordinates."""

__all__ = ["Desk", "Desks", "Home"]

import abc
import asyncio
import collections
import dataclasses

from camphortray import clock as clocks
from camphortray import config as configs
from camphortray import enginebook
from camphortray import errors
from camphortray import inforce
from camphortray import logs
from camphortray import orphans
from camphortray import peers
from camphortray import placingcalls
from camphortray import slotaudit
from camphortray import slotbook

LOG = logs.logger("placing")
PlaceAsk = placingcalls.PlaceAsk
PlaceEnd = placingcalls.PlaceEnd
PlaceReport = placingcalls.PlaceReport
PlaceWord = placingcalls.PlaceWord
# A holder not heard of for this long is gone: its connections are closed
# by then, or its next report brings all back.
HOLDER_S = 3.0


class Home(abc.ABC):
    """The host that a desk stands on.

    Attributes:
      clock: Source of time.
      links: To other hosts.
      inforce: Engines as this host knows them.
      own_name: Name of the member.
      experiments: What an ablation switches off.
    """

    clock: clocks.Clock
    links: peers.Peers
    inforce: inforce.InForce
    own_name: str
    experiments: configs.ExperimentsConfig

    @abc.abstractmethod
    def share_of(self, service: str) -> float:
        """Return the share of the slots that this host gives out."""

    @abc.abstractmethod
    async def runs_at(self, entry: enginebook.EngineEntry) -> int:
        """Return how many requests an engine runs or has queued.

        Raises:
          UpstreamError: it does not say.
        """

    @abc.abstractmethod
    def take_word(self, word: PlaceWord, coordinator: str) -> None:
        """Take what was decided on this host's own wants."""


class Desk:
    """The slots of one service as this host gives them out.

    Attributes:
      book: What decides.
      audit: What sets the book right.
      holders: Address and time of the last word, by name of member.
    """

    def __init__(self, home: Home, service: str) -> None:
        self.home = home
        self.service = service
        self.book = slotbook.SlotBook(home.experiments)
        self.audit = slotaudit.SlotAudit(self.book)
        self.holders: dict[str, tuple[configs.Address, float]] = {}
        self.timer: asyncio.TimerHandle | None = None
        self.looking = False
        self.silent: frozenset[str] = frozenset()

    def refit(self, now: float) -> None:
        """Take the engines as they are now."""
        held = self.home.inforce.engines.usable(self.service)
        self.book.set_share(self.home.share_of(self.service))
        found = [
            slotbook.EngineSlots(e.name, e.slots, e.availability_zone)
            for e in held
        ]
        self.act(self.book.set_engines(found, now))

    def act(self, decisions: list[slotbook.Decision]) -> None:
        """Tell holders what was decided."""
        self.log_refusals(decisions)
        self.log_silent()
        words: dict[str, PlaceWord] = {}
        revoked: dict[str, list[str]] = collections.defaultdict(list)
        for decision in decisions:
            holder = decision.want.holder
            word = words.setdefault(holder, PlaceWord(self.service))
            if isinstance(decision, slotbook.Grant):
                word.granted[decision.want.id] = decision.engine
            elif isinstance(decision, slotbook.Refuse):
                word.refused[decision.want.id] = decision.retry_after_s
            else:
                revoked[holder].append(decision.want.id)
        if self.book.use.orphans:
            self.look_at_engines()
        for holder, word in words.items():
            if revoked[holder]:
                word = dataclasses.replace(
                    word, revoked=tuple(revoked[holder])
                )
            self.tell(holder, word)
        self.look_again()

    def log_refusals(self, decisions: list[slotbook.Decision]) -> None:
        """Write a line for each refusal, with what decided it."""
        now = self.home.clock.monotonic()
        for decision in decisions:
            if not isinstance(decision, slotbook.Refuse):
                continue
            book = self.book
            LOG.info(
                "{} is refused a slot; back in {:.0f} ms.",
                decision.want.id,
                decision.retry_after_s * 1000,
                fields={
                    "holder": decision.want.holder,
                    "service": self.service,
                    "queued": len(book.queue),
                    "leases": len(book.leases),
                    "engines": len(book.use.table.engines),
                    "open_slots": book.use.table.open_slots(now),
                    "put_aside": {
                        name: book.room(name, now)
                        for name in book.use.table.unsound()
                    },
                    "share": round(book.use.table.share, 3),
                    "hold_s": round(book.hold_s, 3),
                    "asked_ms_ago": round(
                        (now - decision.want.asked_at) * 1000
                    ),
                },
            )

    def log_silent(self) -> None:
        """Write a line for each holder that falls silent, or is back."""
        silent = frozenset(self.book.use.recalls.silent)
        for holder in silent - self.silent:
            LOG.notice("{} does not stop its items; asked no more.", holder)
        for holder in self.silent - silent:
            LOG.notice("{} is heard of again, or gone.", holder)
        self.silent = silent

    def tell(self, holder: str, word: PlaceWord) -> None:
        """Bring word to a holder."""
        if holder == self.home.own_name:
            self.home.take_word(word, holder)
        elif holder in self.holders:
            self.home.links.tell(self.holders[holder][0], word)

    def look_again(self) -> None:
        """Decide anew when time alone may change something."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        now = self.home.clock.monotonic()
        at = self.book.next_look(now)
        if at is not None:
            loop = asyncio.get_running_loop()
            self.timer = loop.call_later(max(0.001, at - now), self.look)

    def look(self) -> None:
        """Decide anew."""
        self.timer = None
        self.act(self.book.decide(self.home.clock.monotonic()))

    def look_at_engines(self, begun: bool = False) -> None:
        """Ask engines what they run, until no orphans are left.

        Args:
          begun: Whether the book has only just begun.
        """
        if not self.looking:
            self.looking = True
            self.home.links.spawn(self.ask_engines(begun))

    async def ask_engines(self, begun: bool) -> None:
        """Ask all engines if the book has begun, else those in doubt."""
        try:
            while begun or self.book.use.orphans:
                entries = self.home.inforce.engines.usable(self.service)
                asked = [
                    self.ask_engine(entry, begun)
                    for entry in entries
                    if begun or self.book.use.orphans.count(entry.name)
                ]
                await asyncio.gather(*asked)
                begun = False
                await asyncio.sleep(orphans.LOOK_S)
                now = self.home.clock.monotonic()
                self.act(self.audit.expire_orphans(now))
        finally:
            self.looking = False

    async def ask_engine(
        self, entry: enginebook.EngineEntry, begun: bool
    ) -> None:
        """Take one engine's word on what it runs."""
        try:
            running = await self.home.runs_at(entry)
        except errors.UpstreamError as error:
            LOG.info("No report of {}: {}", entry.name, error)
            return
        now = self.home.clock.monotonic()
        known = self.book.use.orphans.count(entry.name)
        self.act(self.audit.reported(entry.name, running, now, begun))
        left = self.book.use.orphans.count(entry.name)
        if left != known:
            LOG.info(
                "{} runs {}, {} of them without a holder; {} before.",
                entry.name,
                running,
                left,
                known,
            )

    def heard(self, holder: str, address: str, now: float) -> None:
        """Take note of a holder."""
        if holder != self.home.own_name:
            place = configs.Address.from_text(address)
            self.holders[holder] = place, now

    def expire(self, now: float) -> None:
        """Forget holders that have fallen silent."""
        for holder, (_, at) in list(self.holders.items()):
            if now - at > HOLDER_S:
                self.drop(holder, now)

    def drop(self, holder: str, now: float) -> None:
        """Forget a holder."""
        if self.holders.pop(holder, None) is not None:
            self.act(self.audit.forget(holder, now))


class Desks:
    """The desks of one host, and what other hosts ask of them.

    Attributes:
      held: By service.
    """

    def __init__(self, home: Home) -> None:
        self.home = home
        self.held: dict[str, Desk] = {}

    def start(self) -> None:
        """Answer other hosts from now on."""
        links = self.home.links
        links.on(PlaceAsk, self.on_ask)
        links.on(PlaceEnd, self.on_end)
        links.on(PlaceReport, self.on_report)

    def stop(self) -> None:
        """Decide nothing more."""
        for desk in self.held.values():
            if desk.timer is not None:
                desk.timer.cancel()

    def desk(self, service: str) -> Desk:
        """Return the desk of a service, made on first use."""
        desk = self.held.get(service)
        if desk is None:
            desk = self.held[service] = Desk(self.home, service)
            desk.refit(self.home.clock.monotonic())
            if desk.book.use.table.share == 1.0:
                # A book on a share is for moments, and for few requests.
                desk.look_at_engines(begun=True)
        return desk

    def holders(self, service: str) -> int:
        """Return how many other hosts have turned here."""
        desk = self.held.get(service)
        return len(desk.holders) if desk is not None else 0

    def refit(self) -> None:
        """Take the engines as they are now."""
        now = self.home.clock.monotonic()
        for desk in self.held.values():
            desk.refit(now)

    def drop(self, member: str) -> None:
        """Forget a member that is gone."""
        now = self.home.clock.monotonic()
        for desk in self.held.values():
            desk.drop(member, now)

    def clear_up(self) -> None:
        """Forget silent holders, and fit the shares to who is there."""
        now = self.home.clock.monotonic()
        for desk in list(self.held.values()):
            desk.expire(now)
            if desk.book.use.table.share != self.home.share_of(desk.service):
                desk.refit(now)

    async def on_ask(self, sender: peers.Sender, ask: PlaceAsk) -> PlaceWord:
        """Answer a host that asks for slots."""
        now = self.home.clock.monotonic()
        desk = self.desk(ask.service)
        holder = str(sender)
        desk.heard(holder, ask.address, now)
        decisions: list[slotbook.Decision] = []
        for text in ask.wants:
            decisions += desk.book.ask(text.want(holder, now), now)
        asked = {text.id for text in ask.wants}
        here: list[slotbook.Decision] = []
        others: list[slotbook.Decision] = []
        for decision in decisions:
            told = here if decision.want.id in asked else others
            told.append(decision)
        desk.act(others)
        desk.log_refusals(here)
        return PlaceWord(
            ask.service,
            {
                d.want.id: d.engine
                for d in here
                if isinstance(d, slotbook.Grant)
            },
            {
                d.want.id: d.retry_after_s
                for d in here
                if isinstance(d, slotbook.Refuse)
            },
        )

    async def on_end(self, sender: peers.Sender, end: PlaceEnd) -> None:
        """Take the end of a lease or want."""
        desk = self.held.get(end.service)
        if desk is not None:
            now = self.home.clock.monotonic()
            desk.act(desk.book.done(end.id, end.outcome, now))

    async def on_report(
        self, sender: peers.Sender, report: PlaceReport
    ) -> None:
        """Take all that a host holds."""
        now = self.home.clock.monotonic()
        desk = self.desk(report.service)
        holder = str(sender)
        desk.heard(holder, report.address, now)
        leases = [
            slotbook.Lease(
                lease.want.want(holder, now),
                lease.engine,
                now - lease.age_ms / 1000,
            )
            for lease in report.leases
        ]
        wants = [text.want(holder, now) for text in report.wants]
        desk.act(desk.audit.report(holder, leases, wants, now))
