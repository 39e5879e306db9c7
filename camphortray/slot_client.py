"""Asks the coordinator of a service for slots, for this host's requests.

What a coordinator knows is soft: its holders report all they hold
(`lease_reporting`). A host whose coordinator is silent decides for itself on
a share of the slots and fails over to the next one.
"""

__all__ = ["SlotClient"]

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import functools
from typing import ClassVar

from camphortray import active_config
from camphortray import backends
from camphortray import config as configs
from camphortray import coordinator_election
from camphortray import engine
from camphortray import engine_registry
from camphortray import enginehealth
from camphortray import errors
from camphortray import httpclient
from camphortray import keepalive
from camphortray import kernel
from camphortray import lease_reporting
from camphortray import lease_table
from camphortray import logs
from camphortray import membership
from camphortray import peers
from camphortray import slot_coordinator
from camphortray import slot_messages
from camphortray import slot_scheduler
from camphortray import tasks
from camphortray import timers

LOG = logs.logger("slots")
SlotAsk = slot_messages.SlotAsk
LeaseEnd = slot_messages.LeaseEnd
SlotDecisions = slot_messages.SlotDecisions
WireRequest = slot_messages.WireRequest
# Time for a coordinator to answer before the host decides for itself. Its
# way there and back is some milliseconds; the objective of a question is
# some hundreds.
ANSWER_S = 0.12
# The same for a check by its successor, which excludes it for all.
CHECK_S = 0.25
SILENT = "coordinator-silent"
# Beyond its patience a queued request waits this long for the answer of its
# coordinator, in seconds.
SLACK_S = 0.1
# Grants of engines that are not usable here after which a want is given
# up for now, and when its caller should come back, in seconds.
MAX_STALE = 4
RETRY_S = 0.1


@kernel.PARTS.register("host")
class SlotClient(kernel.Part, lease_reporting.Holder):
    """Slots for this host's requests.

    Attributes:
      coordinators: Who gives out the slots of which service.
      served: What this host coordinates.
      reports: Sends coordinators all that this host holds.
      checking: Coordinators that are asked whether they answer.
      published: Until when a coordinator is excluded by this host's update.
      pending: Wants without an answer, by id.
      held: Slots in use, by id of the want.
      recalled: Wants granted and taken back before their items knew.
    """

    name: ClassVar[str] = "slot_client"
    requires: ClassVar[tuple[str, ...]] = ("peers", "membership", "settings")

    def __init__(self, context: kernel.Context) -> None:
        self.context = context
        self.clock = context.clock
        self.experiments = context.config.experiments
        self.links = context.part(peers.Peers)
        self.members = context.part(membership.Membership)
        self.active_config = context.part(active_config.ActiveConfig)
        self.own_name = self.members.own_name
        self.coordinators = coordinator_election.CoordinatorElection(
            self.own_name,
            functools.partial(self.members.live, "host"),
            functools.partial(self.members.possible, "host"),
        )
        self.checking: set[str] = set()
        self.published: dict[str, float] = {}
        self.served = slot_coordinator.SlotCoordinators(self)
        self.reports = lease_reporting.LeaseReporter(self)
        self.coordinators.on_change = self.reports.soon
        self.pending: dict[str, lease_table.Pending] = {}
        self.held: dict[str, lease_table.HeldLease] = {}
        self.recalled: set[str] = set()
        self.task: asyncio.Task[None] | None = None

    @classmethod
    def from_config(cls, context: kernel.Context) -> "SlotClient":
        return cls(context)

    async def start(self) -> None:
        self.served.start()
        self.links.on(SlotDecisions, self.on_decisions_sent)
        self.members.listen(self.on_member)
        self.members.on_fact(SILENT, self.on_silent)
        self.active_config.listen_engines(self.served.update_engines)
        self.active_config.peers_of = functools.partial(
            self.members.live_peers, "host"
        )
        work = tasks.forever("report of slots", self.reports.run)
        self.task = asyncio.get_running_loop().create_task(work)

    async def stop(self) -> None:
        if self.task is not None:
            self.task.cancel()
        self.served.stop()

    # What coordinating and reporting need of their host.

    def share_of(self, service: str) -> float:
        """Return the share of the slots that this host gives out."""
        holders = self.served.holders(service)
        now = self.clock.monotonic()
        return self.coordinators.share_of(service, holders, now)

    def check_first_choice(self, service: str) -> None:
        """Find out whether the host that should coordinate is silent.

        Called as another host, which could not reach it, asks this one.
        """
        now = self.clock.monotonic()
        name = self.coordinators.first_choice(service) or self.own_name
        if name == self.own_name or name in self.checking:
            return
        if self.coordinators.usable_name(name, now):
            self.checking.add(name)
            self.links.spawn(self.check(service, name))
        elif now >= self.published.get(name, 0.0):
            self.publish_silent(name)

    async def check(self, service: str, name: str) -> None:
        """Ask a coordinator that another host has left; publish its silence.

        One host alone may be cut off from it. Where its successor does not
        reach it either, no host needs to find out for itself.
        """
        try:
            address = self.members.peer_address(name)
            ask = SlotAsk(service, str(self.links.address), ())
            await self.links.ask(address, ask, CHECK_S)
        except errors.MessageError as error:
            LOG.warning("Coordinator {} is silent: {}", name, error)
            self.publish_silent(name)
        finally:
            self.checking.discard(name)

    def publish_silent(self, name: str) -> None:
        """Let all hosts exclude a coordinator."""
        keep_s = coordinator_election.CONFIRMED_S
        self.published[name] = self.clock.monotonic() + keep_s
        member = self.members.member(name)
        started = member.started if member is not None else 0
        self.members.publish(SILENT, name, started, keep_s)
        self.served.update_engines()

    def on_silent(self, fact: membership.Fact) -> None:
        """Exclude a coordinator that its successor does not reach."""
        member = self.members.member(fact.key)
        if fact.key == self.own_name:
            return
        if member is not None and member.started > int(fact.value):
            # It has started again since.
            return
        now = self.clock.monotonic()
        seconds = coordinator_election.CONFIRMED_S
        if member is None:
            # Of the platform's list alone, which keeps hosts that are gone.
            seconds = coordinator_election.UNKNOWN_S
        self.coordinators.exclude(fact.key, now, seconds)

    async def running_requests(
        self, entry: engine_registry.EngineEntry
    ) -> int:
        upstream = self.upstream(entry)
        party = self.context.part(backends.LedgerBackends).engine(
            upstream.plugin
        )
        report = await party.load(upstream)
        return report.running + report.waiting

    def exclude(self, name: str) -> None:
        """Do not consider an unresponsive coordinator for a while."""
        LOG.warning("Coordinator {} does not answer; excluded.", name)
        self.coordinators.exclude(name, self.clock.monotonic())

    def on_member(self, member: membership.Member) -> None:
        """Elect coordinators anew if a member's change may matter."""
        if member.dead:
            self.served.drop(member.name)
        self.coordinators.on_member(member, self.clock.monotonic())

    # Asking.

    async def acquire(
        self,
        service: str,
        want: slot_scheduler.SlotRequest,
        on_revoke: Callable[[], None] | None = None,
    ) -> lease_table.HeldLease:
        """Wait for a slot.

        Raises:
          NoSlot: there is none in time; only for online requests.
        """
        zone = self.context.config.host.availability_zone
        want = dataclasses.replace(want, zone=zone)
        for number in range(MAX_STALE):
            granted = await self.answer(service, want)
            if want.id in self.recalled:
                self.recalled.discard(want.id)
                self.end_all(granted.coordinators, service, want.id)
                want = dataclasses.replace(want, id=f"{want.id}-{number}")
                continue
            entry = self.active_config.engines.find(granted.engine)
            if entry is not None:
                upstream = self.upstream(entry)
                return self.placement(
                    service, want, upstream, granted, on_revoke
                )
            # The coordinator has not heard yet that it leaves, or this
            # host has not heard yet that it is there.
            self.end_all(granted.coordinators, service, want.id)
            want = dataclasses.replace(
                want,
                id=f"{want.id}-{number}",
                avoid=want.avoid | {granted.engine},
            )
        raise errors.NoSlot("engines given are not known here", RETRY_S)

    async def answer(
        self, service: str, want: slot_scheduler.SlotRequest
    ) -> lease_table.Granted:
        """Return what is granted, and by whom; errors as ``acquire``."""
        loop = asyncio.get_running_loop()
        pending = lease_table.Pending(want, service, loop.create_future())
        self.pending[want.id] = pending
        try:
            await self.ask(pending)
            if not want.online:
                return pending.granted(*await pending.answer)
            left_s = want.objective_s * slot_scheduler.MAX_WAIT_SHARE + SLACK_S
            async with timers.limit(left_s):
                return pending.granted(*await pending.answer)
        except TimeoutError:
            self.end_all(pending.coordinators, service, want.id)
            raise errors.NoSlot("no word on a slot", want.left_s / 4) from None
        except asyncio.CancelledError:
            self.end_all(pending.coordinators, service, want.id)
            raise
        finally:
            self.pending.pop(want.id, None)

    def placement(
        self,
        service: str,
        want: slot_scheduler.SlotRequest,
        upstream: engine.Upstream,
        granted: lease_table.Granted,
        on_revoke: Callable[[], None] | None,
    ) -> lease_table.HeldLease:
        """Return the slot that was granted."""
        held = lease_table.HeldLease(
            want,
            service,
            upstream,
            self.clock.monotonic(),
            on_revoke,
            coordinator=granted.coordinator,
            earlier=set(granted.coordinators - {granted.coordinator}),
        )
        self.held[want.id] = held
        return held

    def upstream(self, entry: engine_registry.EngineEntry) -> engine.Upstream:
        """Return an engine as plug-ins know it."""
        service = self.active_config.view.services.get(entry.service)
        max_idle = keepalive.most_idle(
            service.connection_limit if service else 0,
            len(self.members.live("host")),
            httpclient.MAX_IDLE if self.experiments.kept_connections else 0,
        )
        return engine.Upstream(
            entry.name,
            configs.Address.from_text(entry.address),
            entry.availability_zone,
            self.active_config.dialect.plugin,
            True,
            entry.slots,
            entry.id,
            max_idle,
        )

    async def ask(self, pending: lease_table.Pending) -> None:
        """Ask whoever coordinates, and oneself if that one is silent."""
        now = self.clock.monotonic()
        name = self.coordinators.coordinator(pending.service, now)
        pending.fail_over(name)
        if name == self.own_name:
            self.ask_here(pending)
            return
        member = self.members.member(name)
        try:
            assert member is not None
            address = configs.Address.from_text(member.peer_address)
            message = SlotAsk(
                pending.service,
                str(self.links.address),
                (WireRequest.of(pending.want, now),),
            )
            reply = await self.links.ask(address, message, ANSWER_S)
        except errors.MessageError as error:
            LOG.info(
                "Request {} has no coordinator: {}", pending.want.id, error
            )
            # It may have granted a slot all the same, or do so yet. Nobody
            # would give that back before the holder is forgotten, seconds
            # later, and its slots are refused to others meanwhile.
            self.end(name, pending.service, pending.want.id)
            self.exclude(name)
            if pending.want.online and not pending.answer.done():
                pending.fail_over(self.own_name)
                self.ask_here(pending)
            return
        if isinstance(reply, SlotDecisions):
            self.on_decisions(reply, name)

    def ask_here(self, pending: lease_table.Pending) -> None:
        """Ask this host's own coordinator."""
        coordinator = self.served.coordinator(pending.service)
        coordinator.scheduler.set_share(self.share_of(pending.service))
        now = self.clock.monotonic()
        coordinator.send_decisions(
            coordinator.scheduler.ask(pending.want, now)
        )

    def on_decisions(self, update: SlotDecisions, coordinator: str) -> None:
        """Take what a coordinator has decided."""
        for want_id, name in update.granted.items():
            self.on_grant(update.service, want_id, name, coordinator)
        for want_id, seconds in update.refused.items():
            pending = self.pending.get(want_id)
            if pending is not None and not pending.answer.done():
                pending.answer.set_exception(
                    errors.NoSlot("no room in time", seconds)
                )
        for want_id in update.revoked:
            self.on_revocation(update.service, want_id, coordinator)

    def on_grant(
        self, service: str, want_id: str, name: str, coordinator: str
    ) -> None:
        """Take a slot at an engine."""
        pending = self.pending.get(want_id)
        if pending is not None and not pending.answer.done():
            pending.answer.set_result((name, coordinator))
        elif want_id not in self.held and pending is None:
            self.end(coordinator, service, want_id)

    def on_revocation(
        self, service: str, want_id: str, coordinator: str
    ) -> None:
        """Take note that a slot is taken back."""
        held = self.held.get(want_id)
        if held is not None and held.on_revoke is not None:
            held.on_revoke()
        elif want_id in self.pending:
            # Granted and taken back before the item took notice.
            self.recalled.add(want_id)
        elif held is None:
            # It has ended by itself, which may not be known there.
            self.end(coordinator, service, want_id)

    def release(
        self, held: lease_table.HeldLease, outcome: enginehealth.Outcome
    ) -> None:
        """Give a slot back, and report how its engine was."""
        if self.held.pop(held.want.id, None) is not None:
            self.end_all(
                held.coordinators, held.service, held.want.id, outcome
            )

    def end_all(
        self,
        coordinators: Iterable[str],
        service: str,
        want_id: str,
        outcome: enginehealth.Outcome = enginehealth.Outcome.NOTHING,
    ) -> None:
        """Send all coordinators that may count something its end."""
        for name in coordinators:
            self.end(name, service, want_id, outcome)

    def end(
        self,
        coordinator: str,
        service: str,
        want_id: str,
        outcome: enginehealth.Outcome = enginehealth.Outcome.NOTHING,
    ) -> None:
        """Send a coordinator the end of something."""
        if coordinator == self.own_name:
            served = self.served.coordinator(service)
            now = self.clock.monotonic()
            served.send_decisions(served.scheduler.done(want_id, outcome, now))
            return
        member = self.members.member(coordinator)
        if member is not None and not member.dead:
            address = configs.Address.from_text(member.peer_address)
            self.links.notify(address, LeaseEnd(service, want_id, outcome))

    async def on_decisions_sent(
        self, sender: peers.Sender, update: SlotDecisions
    ) -> None:
        """Take what a coordinator decides later."""
        self.on_decisions(update, str(sender))

    def in_flight(self) -> list[str]:
        return [f"{len(self.held)} slots"] if self.held else []
