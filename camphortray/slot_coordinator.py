"""Gives out the slots of services that this host coordinates."""

__all__ = ["CoordinatorHost", "SlotCoordinator", "SlotCoordinators"]

import abc
import asyncio
import collections
import dataclasses

from camphortray import active_config
from camphortray import clock as clocks
from camphortray import config as configs
from camphortray import engine_registry
from camphortray import errors
from camphortray import logs
from camphortray import orphaned_leases
from camphortray import peers
from camphortray import slot_messages
from camphortray import slot_reconciler
from camphortray import slot_scheduler

LOG = logs.logger("slots")
SlotAsk = slot_messages.SlotAsk
LeaseEnd = slot_messages.LeaseEnd
LeaseReport = slot_messages.LeaseReport
SlotDecisions = slot_messages.SlotDecisions
# A holder not heard of for this long is gone: its connections are closed
# by then, or its next report brings all back.
HOLDER_S = 3.0
# Time in which a new coordinator learns what runs, from the reports of holders
# and engines, before it grants slots to batch items, in seconds.
LEARN_S = 0.25


class CoordinatorHost(abc.ABC):
    """The host that a coordinator stands on.

    Attributes:
      clock: Source of time.
      links: To other hosts.
      active_config: Engines as this host knows them.
      own_name: Name of the member.
      experiments: What an ablation switches off.
    """

    clock: clocks.Clock
    links: peers.Peers
    active_config: active_config.ActiveConfig
    own_name: str
    experiments: configs.ExperimentsConfig

    @abc.abstractmethod
    def share_of(self, service: str) -> float:
        """Return the share of the slots that this host gives out."""

    @abc.abstractmethod
    def check_preferred_coordinator(self, service: str) -> None:
        """Find out whether the host that should coordinate is silent."""

    @abc.abstractmethod
    async def count_engine_requests(
        self, entry: engine_registry.EngineEntry
    ) -> int:
        """Return how many requests an engine runs or has queued.

        Raises:
          UpstreamError: it does not say.
        """

    @abc.abstractmethod
    def on_decisions(self, update: SlotDecisions, coordinator: str) -> None:
        """Take what was decided on this host's own wants."""


class SlotCoordinator:
    """The slots of one service as this host gives them out.

    Attributes:
      book: What decides.
      reconciler: What sets the book right.
      holders: Address and time of the last message, by name of member.
    """

    def __init__(self, home: CoordinatorHost, service: str) -> None:
        self.home = home
        self.service = service
        self.book = slot_scheduler.SlotScheduler(
            home.experiments, home.own_name
        )
        self.reconciler = slot_reconciler.SlotReconciler(self.book)
        self.holders: dict[str, tuple[configs.Address, float]] = {}
        self.timer: asyncio.TimerHandle | None = None
        self.polling = False
        self.unresponsive: frozenset[str] = frozenset()

    @property
    def full(self) -> bool:
        """Whether all slots are granted here.

        A book on a share is for moments, and for few requests: engines are
        not to be asked by each of hundreds of hosts.
        """
        return self.book.use.table.share == 1.0

    def update_engines(self, now: float) -> None:
        """Take the engines as they are now."""
        held = self.home.active_config.engines.usable(self.service)
        self.book.set_share(self.home.share_of(self.service))
        found = [
            slot_scheduler.EngineSlots(e.name, e.slots, e.availability_zone)
            for e in held
        ]
        self.act(self.book.set_engines(found, now))

    def act(self, decisions: list[slot_scheduler.Decision]) -> None:
        """Send holders what was decided."""
        self.log_refusals(decisions)
        self.log_unresponsive()
        updates: dict[str, SlotDecisions] = {}
        revoked: dict[str, list[str]] = collections.defaultdict(list)
        for decision in decisions:
            holder = decision.want.holder
            update = updates.setdefault(holder, SlotDecisions(self.service))
            if isinstance(decision, slot_scheduler.Grant):
                update.granted[decision.want.id] = decision.engine
            elif isinstance(decision, slot_scheduler.Refuse):
                update.refused[decision.want.id] = decision.retry_after_s
            else:
                revoked[holder].append(decision.want.id)
        if self.book.use.orphaned and self.full:
            self.poll_engines()
        for holder, update in updates.items():
            if revoked[holder]:
                update = dataclasses.replace(
                    update, revoked=tuple(revoked[holder])
                )
            self.send(holder, update)
        self.reschedule()

    def log_refusals(self, decisions: list[slot_scheduler.Decision]) -> None:
        """Write a line for each refusal, with what decided it."""
        now = self.home.clock.monotonic()
        for decision in decisions:
            if not isinstance(decision, slot_scheduler.Refuse):
                continue
            book = self.book
            LOG.info(
                "Slot refused to {}; retry after {:.0f} ms.",
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

    def log_unresponsive(self) -> None:
        """Write a line for each holder that falls silent, or is back."""
        silent = frozenset(self.book.use.revocations.unresponsive)
        for holder in silent - self.unresponsive:
            LOG.notice("Holder {} does not confirm revocations.", holder)
        for holder in self.unresponsive - silent:
            LOG.notice("Holder {} confirms again, or is gone.", holder)
        self.unresponsive = silent

    def send(self, holder: str, update: SlotDecisions) -> None:
        """Send decisions to a holder."""
        if holder == self.home.own_name:
            self.home.on_decisions(update, holder)
        elif holder in self.holders:
            self.home.links.notify(self.holders[holder][0], update)

    def reschedule(self) -> None:
        """Decide anew when time alone may change something."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        now = self.home.clock.monotonic()
        at = self.book.next_look(now)
        if at is not None:
            loop = asyncio.get_running_loop()
            self.timer = loop.call_later(max(0.001, at - now), self.on_timer)

    def on_timer(self) -> None:
        """Decide anew."""
        self.timer = None
        self.act(self.book.decide(self.home.clock.monotonic()))

    def poll_engines(self, begun: bool = False) -> None:
        """Ask engines what they run, until no orphans are left.

        Args:
          begun: Whether the book has only just begun.
        """
        if not self.polling:
            self.polling = True
            self.home.links.spawn(self.poll_until_clear(begun))

    async def poll_until_clear(self, begun: bool) -> None:
        """Ask all engines if the book has begun, else those in doubt."""
        try:
            while self.full and (begun or self.book.use.orphaned):
                entries = self.home.active_config.engines.usable(self.service)
                asked = [
                    self.poll_engine(entry, begun)
                    for entry in entries
                    if begun or self.book.use.orphaned.count(entry.name)
                ]
                await asyncio.gather(*asked)
                begun = False
                await asyncio.sleep(orphaned_leases.LOOK_S)
                now = self.home.clock.monotonic()
                self.act(self.reconciler.expire_orphaned(now))
        finally:
            self.polling = False

    async def poll_engine(
        self, entry: engine_registry.EngineEntry, begun: bool
    ) -> None:
        """Take one engine's report of what it runs."""
        try:
            running = await self.home.count_engine_requests(entry)
        except errors.UpstreamError as error:
            LOG.info("No report of {}: {}", entry.name, error)
            return
        now = self.home.clock.monotonic()
        known = self.book.use.orphaned.count(entry.name)
        self.act(self.reconciler.reported(entry.name, running, now, begun))
        left = self.book.use.orphaned.count(entry.name)
        if left != known:
            LOG.info(
                "{} runs {}, {} of them without a holder; {} before.",
                entry.name,
                running,
                left,
                known,
            )

    def note_holder(self, holder: str, address: str, now: float) -> None:
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
            self.act(self.reconciler.forget(holder, now))


class SlotCoordinators:
    """The services that one host coordinates, and what others ask of it.

    Attributes:
      by_service: Coordinated here.
    """

    def __init__(self, home: CoordinatorHost) -> None:
        self.home = home
        self.by_service: dict[str, SlotCoordinator] = {}

    def start(self) -> None:
        """Answer other hosts from now on."""
        links = self.home.links
        links.on(SlotAsk, self.on_ask)
        links.on(LeaseEnd, self.on_end)
        links.on(LeaseReport, self.on_report)

    def stop(self) -> None:
        """Decide nothing more."""
        for coordinator in self.by_service.values():
            if coordinator.timer is not None:
                coordinator.timer.cancel()

    def coordinator(self, service: str) -> SlotCoordinator:
        """Return the coordinator of a service, made on first use."""
        coordinator = self.by_service.get(service)
        if coordinator is None:
            coordinator = self.by_service[service] = SlotCoordinator(
                self.home, service
            )
            coordinator.update_engines(self.home.clock.monotonic())
            if coordinator.full:
                now = self.home.clock.monotonic()
                coordinator.book.items_from = now + LEARN_S
                coordinator.poll_engines(begun=True)
        return coordinator

    def holders(self, service: str) -> int:
        """Return how many other hosts hold leases of this one."""
        coordinator = self.by_service.get(service)
        return len(coordinator.holders) if coordinator is not None else 0

    def update_engines(self) -> None:
        """Take the engines as they are now."""
        now = self.home.clock.monotonic()
        for coordinator in self.by_service.values():
            coordinator.update_engines(now)

    def drop(self, member: str) -> None:
        """Forget a member that is gone."""
        now = self.home.clock.monotonic()
        for coordinator in self.by_service.values():
            coordinator.drop(member, now)

    def expire_holders(self) -> None:
        """Forget silent holders, and fit the shares to who is there."""
        now = self.home.clock.monotonic()
        for coordinator in list(self.by_service.values()):
            coordinator.expire(now)
            if not coordinator.full:
                # Else as engines are polled.
                coordinator.act(coordinator.reconciler.expire_orphaned(now))
            if coordinator.book.use.table.share != self.home.share_of(
                coordinator.service
            ):
                coordinator.update_engines(now)

    async def on_ask(
        self, sender: peers.Sender, ask: SlotAsk
    ) -> SlotDecisions:
        """Answer a host that asks for slots."""
        now = self.home.clock.monotonic()
        if not ask.wants:
            # A check whether this host answers.
            return SlotDecisions(ask.service)
        coordinator = self.coordinator(ask.service)
        holder = str(sender)
        coordinator.note_holder(holder, ask.address, now)
        if not coordinator.full:
            self.home.check_preferred_coordinator(ask.service)
            coordinator.book.set_share(self.home.share_of(ask.service))
        decisions: list[slot_scheduler.Decision] = []
        for text in ask.wants:
            decisions += coordinator.book.ask(text.want(holder, now), now)
        asked = {text.id for text in ask.wants}
        here: list[slot_scheduler.Decision] = []
        others: list[slot_scheduler.Decision] = []
        for decision in decisions:
            chosen = here if decision.want.id in asked else others
            chosen.append(decision)
        coordinator.act(others)
        coordinator.log_refusals(here)
        return SlotDecisions(
            ask.service,
            {
                d.want.id: d.engine
                for d in here
                if isinstance(d, slot_scheduler.Grant)
            },
            {
                d.want.id: d.retry_after_s
                for d in here
                if isinstance(d, slot_scheduler.Refuse)
            },
        )

    async def on_end(self, sender: peers.Sender, end: LeaseEnd) -> None:
        """Take the end of a lease or want."""
        coordinator = self.by_service.get(end.service)
        if coordinator is not None:
            now = self.home.clock.monotonic()
            coordinator.act(coordinator.book.done(end.id, end.outcome, now))

    async def on_report(
        self, sender: peers.Sender, report: LeaseReport
    ) -> None:
        """Take all that a host holds."""
        now = self.home.clock.monotonic()
        coordinator = self.coordinator(report.service)
        holder = str(sender)
        coordinator.note_holder(holder, report.address, now)
        leases = [
            slot_scheduler.Lease(
                lease.want.want(holder, now),
                lease.engine,
                now - lease.age_ms / 1000,
            )
            for lease in report.leases
        ]
        wants = [text.want(holder, now) for text in report.wants]
        coordinator.act(
            coordinator.reconciler.report(holder, leases, wants, now)
        )
