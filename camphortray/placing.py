"""Asks the coordinator of a service for slots, and is one for some.

The coordinator is the live host that comes first for the service by
rendezvous hash. What it knows is soft: its holders report all they hold
once a second and whenever they turn to another one. A host whose
coordinator is silent decides for itself on a share of the slots and turns
to the next one meanwhile.
"""

__all__ = ["Placement", "Placing"]

import asyncio
from collections.abc import Callable
import dataclasses
from typing import ClassVar

from camphortray import config as configs
from camphortray import engine
from camphortray import enginebook
from camphortray import enginehealth
from camphortray import errors
from camphortray import httpclient
from camphortray import inforce
from camphortray import keepalive
from camphortray import kernel
from camphortray import logs
from camphortray import membership
from camphortray import outer
from camphortray import peers
from camphortray import placingcalls
from camphortray import shards
from camphortray import slotbook
from camphortray import slotdesk
from camphortray import tasks

LOG = logs.logger("placing")
PlaceAsk = placingcalls.PlaceAsk
PlaceEnd = placingcalls.PlaceEnd
PlaceReport = placingcalls.PlaceReport
PlaceWord = placingcalls.PlaceWord
WantText = placingcalls.WantText
# Time for a coordinator to answer before the host decides for itself. Its
# way there and back is some milliseconds; the objective of a question is
# some hundreds.
ANSWER_S = 0.12
# Time for which a silent coordinator is not asked again, in seconds.
DISTRUST_S = 2.0
# Seconds from one report to the next while anything is held.
REPORT_S = 1.0
# Factor on the even share of the slots that a host gives out for itself:
# callers spread unevenly, and not all hosts lose their coordinator.
ALONE_SHARE = 1.5
# Beyond its patience a queued request waits this long for the word of its
# coordinator, in seconds.
SLACK_S = 0.1
# Grants of engines that are not usable here after which a want is given
# up for now, and when its caller should come back, in seconds.
MAX_STALE = 4
RETRY_S = 0.1


@dataclasses.dataclass(eq=False, slots=True)
class Placement:
    """A slot in use.

    Attributes:
      want: What it was given for.
      service: Whose engine.
      upstream: The engine.
      granted_at: When, on the monotonic clock.
      coordinator: Member that gave it.
      on_revoke: Called when it is taken back; only of batch items.
    """

    want: slotbook.Want
    service: str
    upstream: engine.Upstream
    granted_at: float
    coordinator: str
    on_revoke: Callable[[], None] | None = None


@dataclasses.dataclass(eq=False, slots=True)
class Pending:
    """A want that waits for its answer."""

    want: slotbook.Want
    service: str
    answer: "asyncio.Future[tuple[str, str]]"
    coordinator: str = ""


@kernel.PARTS.register("host")
class Placing(kernel.Part, slotdesk.Home):
    """Slots for this host's requests.

    Attributes:
      desks: What this host gives out.
      pending: Wants without an answer, by id.
      held: Slots in use, by id of the want.
      recalled: Wants granted and taken back before their items knew.
    """

    name: ClassVar[str] = "placing"
    requires: ClassVar[tuple[str, ...]] = ("peers", "membership", "settings")

    def __init__(self, context: kernel.Context) -> None:
        self.context = context
        self.clock = context.clock
        self.links = context.part(peers.Peers)
        self.members = context.part(membership.Membership)
        self.inforce = context.part(inforce.InForce)
        self.own_name = self.members.own_name
        self.desks = slotdesk.Desks(self)
        self.pending: dict[str, Pending] = {}
        self.held: dict[str, Placement] = {}
        self.recalled: set[str] = set()
        self.distrusted: dict[str, float] = {}
        self.known: dict[str, str] = {}
        self.task: asyncio.Task[None] | None = None

    @classmethod
    def from_config(cls, context: kernel.Context) -> "Placing":
        return cls(context)

    async def start(self) -> None:
        self.desks.start()
        self.links.on(PlaceWord, self.on_word)
        self.members.listen(self.on_member)
        self.inforce.listen_engines(self.desks.refit)
        self.inforce.peers_of = self.live_peers
        work = tasks.forever("report of slots", self.run)
        self.task = asyncio.get_running_loop().create_task(work)

    async def stop(self) -> None:
        if self.task is not None:
            self.task.cancel()
        self.desks.stop()

    # Who coordinates.

    def coordinator(self, service: str) -> str:
        """Return the member that gives out the slots of a service."""
        if service not in self.known:
            now = self.clock.monotonic()
            alive = membership.Status.ALIVE
            names = [
                member.name
                for member in self.members.live("host")
                if member.name == self.own_name
                or (
                    member.status is alive
                    and member.http_address
                    and self.distrusted.get(member.name, 0.0) <= now
                )
            ]
            key = f"slots/{service}"
            self.known[service] = shards.preferred(key, names) or self.own_name
        return self.known[service]

    def natural(self, service: str) -> str | None:
        """Return the member that would coordinate if all were well."""
        names = [m.name for m in self.members.live("host")]
        return shards.preferred(f"slots/{service}", names)

    def share_of(self, service: str) -> float:
        """Return the share of the slots that this host gives out."""
        if self.natural(service) == self.own_name:
            return 1.0
        hosts = max(1, len(self.members.live("host")))
        alone = min(1.0, ALONE_SHARE / hosts)
        holders = self.desks.holders(service)
        # Where most others have turned here too, the slots are this
        # host's to give; where none has, others give them out as well.
        return min(1.0, alone * (holders + 1))

    async def runs_at(self, entry: enginebook.EngineEntry) -> int:
        upstream = self.upstream(entry)
        party = self.context.part(outer.LedgerOuter).engine(upstream.plugin)
        report = await party.load(upstream)
        return report.running + report.waiting

    def distrust(self, name: str) -> None:
        """Turn to others than a silent coordinator for a while."""
        if name == self.own_name:
            return
        LOG.warning("{} does not answer; turns to the next.", name)
        self.distrusted[name] = self.clock.monotonic() + DISTRUST_S
        self.turn()

    def on_member(self, member: membership.Member) -> None:
        """Choose coordinators anew."""
        if member.dead:
            self.desks.drop(member.name)
        self.turn()

    def turn(self) -> None:
        """Turn to whoever coordinates now, with all that is held."""
        before, self.known = self.known, {}
        for service, name in before.items():
            if self.coordinator(service) != name:
                self.links.spawn(self.report(service))

    def live_peers(self) -> list[configs.Address]:
        """Return where other live hosts take links."""
        return [
            configs.Address.from_text(member.peer_address)
            for member in self.members.live("host")
            if member.name != self.own_name and member.peer_address
        ]

    # Asking.

    async def acquire(
        self,
        service: str,
        want: slotbook.Want,
        on_revoke: Callable[[], None] | None = None,
    ) -> Placement:
        """Wait for a slot.

        Raises:
          NoSlot: there is none in time; only for online requests.
        """
        zone = self.context.config.host.availability_zone
        want = dataclasses.replace(want, zone=zone)
        for number in range(MAX_STALE):
            name, coordinator = await self.answer(service, want)
            if want.id in self.recalled:
                self.recalled.discard(want.id)
                self.end(coordinator, service, want.id)
                want = dataclasses.replace(want, id=f"{want.id}-{number}")
                continue
            entry = self.inforce.engines.find(name)
            if entry is not None:
                upstream = self.upstream(entry)
                return self.placement(
                    service, want, upstream, coordinator, on_revoke
                )
            # The coordinator has not heard yet that it leaves, or this
            # host has not heard yet that it is there.
            self.end(coordinator, service, want.id)
            want = dataclasses.replace(
                want, id=f"{want.id}-{number}", avoid=want.avoid | {name}
            )
        raise errors.NoSlot("engines given are not known here", RETRY_S)

    async def answer(
        self, service: str, want: slotbook.Want
    ) -> tuple[str, str]:
        """Return the engine granted, and by whom; errors as ``acquire``."""
        loop = asyncio.get_running_loop()
        pending = Pending(want, service, loop.create_future())
        self.pending[want.id] = pending
        try:
            await self.ask(pending)
            if not want.online:
                return await pending.answer
            left_s = want.objective_s * slotbook.PATIENCE + SLACK_S
            async with asyncio.timeout(left_s):
                return await pending.answer
        except TimeoutError:
            self.end(pending.coordinator, service, want.id)
            raise errors.NoSlot("no word on a slot", want.left_s / 4) from None
        except asyncio.CancelledError:
            self.end(pending.coordinator, service, want.id)
            raise
        finally:
            self.pending.pop(want.id, None)

    def placement(
        self,
        service: str,
        want: slotbook.Want,
        upstream: engine.Upstream,
        coordinator: str,
        on_revoke: Callable[[], None] | None,
    ) -> Placement:
        """Return the slot that was granted."""
        held = Placement(
            want,
            service,
            upstream,
            self.clock.monotonic(),
            coordinator,
            on_revoke,
        )
        self.held[want.id] = held
        return held

    def upstream(self, entry: enginebook.EngineEntry) -> engine.Upstream:
        """Return an engine as plug-ins know it."""
        service = self.inforce.view.services.get(entry.service)
        max_idle = keepalive.most_idle(
            service.connection_limit if service else 0,
            len(self.members.live("host")),
            httpclient.MAX_IDLE,
        )
        return engine.Upstream(
            entry.name,
            configs.Address.from_text(entry.address),
            entry.availability_zone,
            self.inforce.dialect.plugin,
            True,
            entry.slots,
            entry.id,
            max_idle,
        )

    async def ask(self, pending: Pending) -> None:
        """Ask whoever coordinates, and oneself if that one is silent."""
        name = pending.coordinator = self.coordinator(pending.service)
        if name == self.own_name:
            self.ask_here(pending)
            return
        member = self.members.member(name)
        try:
            assert member is not None
            address = configs.Address.from_text(member.peer_address)
            now = self.clock.monotonic()
            message = PlaceAsk(
                pending.service,
                self.own_address(),
                (WantText.of(pending.want, now),),
            )
            word = await self.links.ask(address, message, ANSWER_S)
        except errors.MessageError as error:
            LOG.info("{} asks nobody: {}", pending.want.id, error)
            self.distrust(name)
            if pending.want.online and not pending.answer.done():
                pending.coordinator = self.own_name
                self.ask_here(pending)
            return
        if isinstance(word, PlaceWord):
            self.take_word(word, name)

    def ask_here(self, pending: Pending) -> None:
        """Ask this host's own desk."""
        desk = self.desks.desk(pending.service)
        desk.book.set_share(self.share_of(pending.service))
        now = self.clock.monotonic()
        desk.act(desk.book.ask(pending.want, now))

    def own_address(self) -> str:
        """Return where this host takes links."""
        return str(self.links.address)

    def take_word(self, word: PlaceWord, coordinator: str) -> None:
        """Take what a coordinator has decided."""
        for want_id, name in word.granted.items():
            pending = self.pending.get(want_id)
            if pending is not None and not pending.answer.done():
                pending.answer.set_result((name, coordinator))
            elif want_id not in self.held and pending is None:
                self.end(coordinator, word.service, want_id)
        for want_id, seconds in word.refused.items():
            pending = self.pending.get(want_id)
            if pending is not None and not pending.answer.done():
                pending.answer.set_exception(
                    errors.NoSlot("no room in time", seconds)
                )
        for want_id in word.revoked:
            held = self.held.get(want_id)
            if held is not None and held.on_revoke is not None:
                held.on_revoke()
            elif want_id in self.pending:
                # Granted and taken back before the item took notice.
                self.recalled.add(want_id)
            elif held is None:
                # It has ended by itself, which may not be known there.
                self.end(coordinator, word.service, want_id)

    def release(self, held: Placement, outcome: enginehealth.Outcome) -> None:
        """Give a slot back, and tell how its engine was."""
        if self.held.pop(held.want.id, None) is not None:
            self.end(held.coordinator, held.service, held.want.id, outcome)

    def end(
        self,
        coordinator: str,
        service: str,
        want_id: str,
        outcome: enginehealth.Outcome = enginehealth.Outcome.NOTHING,
    ) -> None:
        """Tell a coordinator that something has ended."""
        if coordinator == self.own_name:
            desk = self.desks.desk(service)
            now = self.clock.monotonic()
            desk.act(desk.book.done(want_id, outcome, now))
            return
        member = self.members.member(coordinator)
        if member is not None and not member.dead:
            address = configs.Address.from_text(member.peer_address)
            self.links.tell(address, PlaceEnd(service, want_id, outcome))

    # Reporting.

    async def run(self) -> None:
        """Report and clear up, for ever."""
        while True:
            await asyncio.sleep(REPORT_S)
            now = self.clock.monotonic()
            if any(at <= now for at in self.distrusted.values()):
                self.distrusted = {
                    name: at
                    for name, at in self.distrusted.items()
                    if at > now
                }
                self.turn()
            self.desks.clear_up()
            for service in list(self.known):
                self.links.spawn(self.report(service))

    async def report(self, service: str) -> None:
        """Tell the coordinator all that this host holds."""
        now = self.clock.monotonic()
        held = [p for p in self.held.values() if p.service == service]
        waiting = [p for p in self.pending.values() if p.service == service]
        name = self.coordinator(service)
        for pending in waiting:
            if pending.want.online and pending.coordinator != name:
                # It waits in the queue of a coordinator that is left.
                self.links.spawn(self.ask(pending))
            pending.coordinator = name
        for placement in held:
            placement.coordinator = name
        leases = [
            slotbook.Lease(p.want, p.upstream.name, p.granted_at) for p in held
        ]
        wants = [p.want for p in waiting if not p.answer.done()]
        if name == self.own_name:
            desk = self.desks.desk(service)
            desk.act(desk.audit.report(self.own_name, leases, wants, now))
            return
        member = self.members.member(name)
        if member is None or not (held or waiting):
            return
        message = PlaceReport(
            service,
            self.own_address(),
            tuple(
                placingcalls.WireLease(
                    WantText.of(lease.want, now),
                    lease.engine,
                    round((now - lease.granted_at) * 1000),
                )
                for lease in leases
            ),
            tuple(WantText.of(want, now) for want in wants),
        )
        address = configs.Address.from_text(member.peer_address)
        try:
            await self.links.ask(address, message, 4 * ANSWER_S)
        except errors.MessageError as error:
            LOG.info("No report to {}: {}", name, error)
            self.distrust(name)

    async def on_word(self, sender: peers.Sender, word: PlaceWord) -> None:
        """Take what a coordinator decides later."""
        self.take_word(word, str(sender))

    def in_flight(self) -> list[str]:
        return [f"{len(self.held)} slots"] if self.held else []
