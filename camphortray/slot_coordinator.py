"""Grants the slots of the services that this host coordinates."""

__all__ = ["CoordinatorHost", "SlotCoordinator", "SlotCoordinators"]

import abc
import asyncio
import collections

from camphortray import config as configs
from camphortray import contention_gauges
from camphortray import engine_registry
from camphortray import errors
from camphortray import limit_standby
from camphortray import logs
from camphortray import orphaned_leases
from camphortray import peers
from camphortray import request_limits
from camphortray import slot_messages
from camphortray import slot_reconciler
from camphortray import slot_scheduler
from camphortray import standby_updates
from camphortray import stream_lookup

LOG = logs.logger("slots")
SlotAsk = slot_messages.SlotAsk
LeaseEnd = slot_messages.LeaseEnd
LeaseReport = slot_messages.LeaseReport
SlotDecisions = slot_messages.SlotDecisions
# Time without a message after which a holder is dropped. Its connections are
# closed by then, or its next report restores its leases.
HOLDER_TIMEOUT_S = 3.0
# Time for which a new coordinator collects reports of holders and engines
# before it grants slots to batch items.
LEARNING_S = 0.25


class CoordinatorHost(standby_updates.StandbyHost):
    """What coordinators need of the host that they run on.

    Attributes:
      streams: Versions at which streams began.
      experiments: Mechanisms in use; ablation experiments disable some.
    """

    streams: stream_lookup.StreamLookup
    experiments: configs.ExperimentsConfig

    @abc.abstractmethod
    def share_of(self, service: str) -> float:
        """Return the share of the slots that this host grants."""

    @abc.abstractmethod
    def sent(self, workspace: str, now: float) -> int:
        """Return how many limited requests this host sent in the window."""

    @abc.abstractmethod
    def reach(self) -> float:
        """Return the share of the listed hosts that may be in reach."""

    @abc.abstractmethod
    def check_first_choice(self, service: str) -> None:
        """Check whether the first-choice coordinator responds."""

    @abc.abstractmethod
    async def running_requests(
        self, entry: engine_registry.EngineEntry
    ) -> int:
        """Return how many requests an engine runs or has queued.

        Raises:
          UpstreamError: the engine did not report.
        """

    @abc.abstractmethod
    def on_decisions(self, update: SlotDecisions, coordinator: str) -> None:
        """Apply the decisions on this host's own requests."""


class SlotCoordinator:
    """Grants the slots of one service.

    Attributes:
      scheduler: Scheduler of the service.
      reconciler: Updates the scheduler from reports.
      standbys: Sends the counts of ``limits`` to standbys.
      limits: Counts of the requests admitted, by workspace.
      gauges: Metrics of the workspaces and engines.
      reach: Share of the listed hosts in reach. The others may have a
        coordinator of their own, which admits requests as well.
      holders: Address of each holder and time of its last message, by name.
      timer: Runs the scheduler when its decisions may change with time alone.
      polling: Whether engines are being polled.
      unresponsive: Holders last logged as unresponsive.
      slow: Engines last logged as slow.
      ejected: Engines last logged as ejected.
    """

    def __init__(
        self,
        host: CoordinatorHost,
        service: str,
        standbys: limit_standby.LimitStandbys,
    ) -> None:
        self.host = host
        self.service = service
        self.standbys = standbys
        self.scheduler = slot_scheduler.SlotScheduler(
            host.experiments, host.own_name, self.weight_of
        )
        self.reconciler = slot_reconciler.SlotReconciler(self.scheduler)
        self.limits = standbys.limits_of(service)
        self.limits.begin(host.clock.monotonic())
        self.gauges = contention_gauges.ContentionGauges(host.metrics, service)
        self.reach = host.reach()
        self.holders: dict[str, tuple[configs.Address, float]] = {}
        self.timer: asyncio.TimerHandle | None = None
        self.polling = False
        self.unresponsive: frozenset[str] = frozenset()
        self.slow: frozenset[str] = frozenset()
        self.ejected: frozenset[str] = frozenset()

    @property
    def grants_all(self) -> bool:
        """Whether this host grants all slots, and so polls the engines.

        A host that grants a share does so briefly and for few requests, and
        hundreds of hosts must not all poll the engines.
        """
        return self.scheduler.accounting.table.share == 1.0

    def weight_of(self, workspace: str) -> float:
        """Return the weight of a workspace where slots are short."""
        return self.host.active_config.access.weight_of(workspace)

    def update_engines(self, now: float) -> None:
        """Pass the engines now in use to the scheduler."""
        entries = self.host.active_config.engines.usable(self.service)
        self.scheduler.set_share(self.host.share_of(self.service))
        engines = [
            slot_scheduler.EngineSlots(
                e.name, e.slots, e.availability_zone, e.version
            )
            for e in entries
        ]
        self.send_decisions(self.scheduler.set_engines(engines, now))

    def ask(
        self, want: slot_scheduler.SlotRequest, now: float
    ) -> list[slot_scheduler.Decision]:
        """Schedule a request if it is within the limit of its workspace."""
        if want.counts and not self.scheduler.knows(want.id):
            refusal = self.count(want, now)
            if refusal is not None:
                return [refusal]
        return self.scheduler.ask(want, now)

    def count(
        self, want: slot_scheduler.SlotRequest, now: float
    ) -> slot_scheduler.Throttle | None:
        """Count a request against the limit of its workspace, if any.

        Returns:
          Its refusal if it is not within the limit, else None.
        """
        limit = self.host.active_config.access.limit_of(want.workspace)
        if not limit.per_s:
            return None
        share = request_limits.share_of_reach(self.reach)
        share *= self.scheduler.accounting.table.share
        spent = 0 if share == 1.0 else self.host.sent(want.workspace, now)
        request = request_limits.Admission(want.id, want.workspace, now)
        excess = self.limits.admit(request, limit, share, spent)
        if excess is None:
            self.standbys.schedule(self.service)
            return None
        return slot_scheduler.Throttle(
            want, excess.retry_after_s, excess.certain
        )

    def on_end(self, end: LeaseEnd) -> None:
        """Apply the end of a lease or of a waiting request."""
        if end.unused:
            self.limits.withdraw(end.id, end.unused)
        now = self.host.clock.monotonic()
        decisions = self.scheduler.done(
            end.id, end.lease_outcome, now, end.pace_us / 1e6
        )
        self.send_decisions(decisions)
        self.log_slow_engines(now)
        self.log_ejected_engines()

    def log_ejected_engines(self) -> None:
        """Log engines that were ejected, or that take requests again."""
        table = self.scheduler.accounting.table
        ejected = table.health.ejected()
        for name in ejected ^ self.ejected:
            LOG.notice(
                "Engine {} {}.",
                name,
                "is ejected"
                if name in ejected
                else "takes all requests again, or is gone",
                fields={
                    "service": self.service,
                    "ejected": len(ejected),
                    "engines": len(table.engines),
                },
            )
        self.ejected = ejected

    def log_slow_engines(self, now: float) -> None:
        """Log engines that became far slower than usual, or no longer are."""
        speeds = self.scheduler.accounting.table.speeds
        slow = frozenset(speeds.slow(now))
        for name in slow ^ self.slow:
            LOG.notice(
                "Engine {} is {}.",
                name,
                "slow" if name in slow else "no longer slow",
                fields={
                    "service": self.service,
                    "factor": round(speeds.factor(name), 2),
                    "usual_ms": round(speeds.usual_s * 1000, 1),
                },
            )
        self.slow = slow

    def on_decisions(self, decisions: list[slot_scheduler.Decision]) -> None:
        """Keep the versions of granted streams; log and uncount refusals."""
        for decision in decisions:
            if isinstance(decision, slot_scheduler.Grant):
                self.record_stream(decision.want, decision.engine)
            if isinstance(decision, slot_scheduler.Throttle):
                continue
            if isinstance(decision, slot_scheduler.Refuse):
                want = decision.want
                self.gauges.on_refused(want.workspace)
                self.limits.withdraw(want.id, want.workspace)
        self.log_refusals(decisions)

    def send_decisions(self, decisions: list[slot_scheduler.Decision]) -> None:
        """Send decisions to their holders."""
        self.on_decisions(decisions)
        self.log_unresponsive()
        by_holder: dict[str, list[slot_scheduler.Decision]] = (
            collections.defaultdict(list)
        )
        for decision in decisions:
            by_holder[decision.want.holder].append(decision)
        if self.scheduler.accounting.orphaned and self.grants_all:
            self.poll_engines()
        for holder, of_holder in by_holder.items():
            self.send(holder, self.message(of_holder))
        self.reschedule()

    def message(
        self, decisions: list[slot_scheduler.Decision]
    ) -> SlotDecisions:
        """Return the message with decisions on the requests of a holder."""
        return SlotDecisions.of(
            self.service, decisions, by_share=not self.grants_all
        )

    def log_refusals(self, decisions: list[slot_scheduler.Decision]) -> None:
        """Log each refusal with the state that led to it."""
        now = self.host.clock.monotonic()
        for decision in decisions:
            if not isinstance(decision, slot_scheduler.Refuse):
                continue
            scheduler = self.scheduler
            LOG.info(
                "{} to {}; retry after {:.0f} ms.",
                "Request over its limit"
                if isinstance(decision, slot_scheduler.Throttle)
                else "Slot refused",
                decision.want.id,
                decision.retry_after_s * 1000,
                fields={
                    "holder": decision.want.holder,
                    "service": self.service,
                    "workspace": decision.want.workspace,
                    "queued": len(scheduler.queue),
                    "queued_of_workspace": sum(
                        queued.workspace == decision.want.workspace
                        for queued in scheduler.queue
                    ),
                    "leases": len(scheduler.leases),
                    "engines": len(scheduler.accounting.table.engines),
                    "open_slots": scheduler.accounting.table.open_slots(now),
                    "put_aside": {
                        name: scheduler.room(name, now)
                        for name in scheduler.accounting.table.unhealthy()
                    },
                    "share": round(scheduler.accounting.table.share, 3),
                    "reach": round(self.reach, 3),
                    "hold_s": round(scheduler.hold_s, 3),
                    "asked_ms_ago": round(
                        (now - decision.want.asked_at) * 1000
                    ),
                },
            )

    def log_unresponsive(self) -> None:
        """Log holders that became unresponsive or respond again."""
        silent = frozenset(self.scheduler.accounting.revocations.unresponsive)
        for holder in silent - self.unresponsive:
            LOG.notice("Holder {} does not confirm revocations.", holder)
        for holder in self.unresponsive - silent:
            LOG.notice("Holder {} confirms again, or is gone.", holder)
        self.unresponsive = silent

    def send(self, holder: str, update: SlotDecisions) -> None:
        """Send decisions to a holder."""
        if holder == self.host.own_name:
            self.host.on_decisions(update, holder)
        elif holder in self.holders:
            self.host.links.notify(self.holders[holder][0], update)

    def reschedule(self) -> None:
        """Set the timer for the next decision that needs no event."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        now = self.host.clock.monotonic()
        at = self.scheduler.next_decision_at(now)
        if at is not None:
            loop = asyncio.get_running_loop()
            self.timer = loop.call_later(max(0.001, at - now), self.on_timer)

    def on_timer(self) -> None:
        """Let the scheduler decide again."""
        self.timer = None
        self.send_decisions(self.scheduler.decide(self.host.clock.monotonic()))

    def poll_engines(self, initial: bool = False) -> None:
        """Poll engines until no orphaned leases are left.

        Args:
          initial: Whether the coordinator is new, and polls all engines once.
        """
        if not self.polling:
            self.polling = True
            self.host.links.spawn(self.poll_until_clear(initial))

    async def poll_until_clear(self, initial: bool) -> None:
        """Poll engines with orphaned leases; if new, first all engines."""
        try:
            while self.grants_all and (
                initial or self.scheduler.accounting.orphaned
            ):
                entries = self.host.active_config.engines.usable(self.service)
                asked = [
                    self.poll_engine(entry, initial)
                    for entry in entries
                    if initial
                    or self.scheduler.accounting.orphaned.count(entry.name)
                ]
                await asyncio.gather(*asked)
                initial = False
                await asyncio.sleep(orphaned_leases.POLL_S)
                now = self.host.clock.monotonic()
                self.send_decisions(self.reconciler.expire_orphaned(now))
        finally:
            self.polling = False

    async def poll_engine(
        self, entry: engine_registry.EngineEntry, initial: bool
    ) -> None:
        """Get the report of one engine and apply it."""
        try:
            running = await self.host.running_requests(entry)
        except errors.UpstreamError as error:
            LOG.info("No load report from engine {}: {}", entry.name, error)
            return
        now = self.host.clock.monotonic()
        known = self.scheduler.accounting.orphaned.count(entry.name)
        self.send_decisions(
            self.reconciler.on_engine_report(entry.name, running, now, initial)
        )
        left = self.scheduler.accounting.orphaned.count(entry.name)
        if left != known:
            LOG.info(
                "Engine {} runs {} requests, {} of them orphaned; {} before.",
                entry.name,
                running,
                left,
                known,
            )

    def record_stream(
        self, want: slot_scheduler.SlotRequest, engine: str
    ) -> None:
        """Keep the version at which a stream that may resume is to run."""
        # Engines that leave still run streams.
        entry = self.host.active_config.engines.current().get(engine)
        if want.stream and entry is not None:
            self.host.streams.record(
                self.service,
                want.stream,
                entry.version,
                want.left_s,
                want.holder,
            )

    def on_holder_report(
        self,
        holder: str,
        leases: list[slot_scheduler.Lease],
        wants: list[slot_scheduler.SlotRequest],
        now: float,
    ) -> None:
        """Apply a report of a holder's leases and waiting requests."""
        for lease in leases:
            if lease.want.stream and not self.host.streams.knows(
                self.service, lease.want.stream
            ):
                self.record_stream(lease.want, lease.engine)
        self.send_decisions(
            self.reconciler.on_holder_report(holder, leases, wants, now)
        )

    def note_holder(self, holder: str, address: str, now: float) -> None:
        """Record the address of a holder and the time of its message."""
        if holder != self.host.own_name:
            peer_address = configs.Address.from_text(address)
            self.holders[holder] = peer_address, now

    def expire(self, now: float) -> None:
        """Drop holders that have sent nothing for ``HOLDER_TIMEOUT_S``.

        Requests that have left the window of their limit are dropped too.
        """
        self.reach = self.host.reach()
        self.limits.prune(now)
        self.gauges.update(self.scheduler, now)
        for holder, (_, at) in list(self.holders.items()):
            if now - at > HOLDER_TIMEOUT_S:
                self.drop(holder, now)

    def drop(self, holder: str, now: float) -> None:
        """Drop a holder."""
        if self.holders.pop(holder, None) is not None:
            self.send_decisions(self.reconciler.forget(holder, now))


class SlotCoordinators:
    """The coordinators on one host, and the messages to them.

    Attributes:
      standbys: Counts against limits, also of other coordinators.
      by_service: Coordinator by service.
    """

    def __init__(self, host: CoordinatorHost) -> None:
        self.host = host
        self.standbys = limit_standby.LimitStandbys(host)
        self.by_service: dict[str, SlotCoordinator] = {}

    def start(self) -> None:
        """Register the handlers of messages from other hosts."""
        links = self.host.links
        links.on(SlotAsk, self.on_ask)
        links.on(LeaseEnd, self.on_end)
        links.on(LeaseReport, self.on_report)
        self.standbys.start()

    def stop(self) -> None:
        """Cancel all timers."""
        self.standbys.stop()
        for coordinator in self.by_service.values():
            if coordinator.timer is not None:
                coordinator.timer.cancel()

    def coordinator(self, service: str) -> SlotCoordinator:
        """Return the coordinator of a service, created on first use."""
        coordinator = self.by_service.get(service)
        if coordinator is None:
            coordinator = self.by_service[service] = SlotCoordinator(
                self.host, service, self.standbys
            )
            coordinator.update_engines(self.host.clock.monotonic())
            if coordinator.grants_all:
                now = self.host.clock.monotonic()
                coordinator.scheduler.items_from = now + LEARNING_S
                coordinator.poll_engines(initial=True)
        return coordinator

    def holders(self, service: str) -> int:
        """Return the number of other hosts that ask this one for slots."""
        coordinator = self.by_service.get(service)
        return len(coordinator.holders) if coordinator is not None else 0

    def update_engines(self) -> None:
        """Pass the engines now in use to all coordinators."""
        now = self.host.clock.monotonic()
        for coordinator in self.by_service.values():
            coordinator.update_engines(now)

    def drop(self, member: str) -> None:
        """Drop a member that is gone."""
        now = self.host.clock.monotonic()
        for coordinator in self.by_service.values():
            coordinator.drop(member, now)

    def expire_holders(self) -> None:
        """Drop silent holders and orphaned leases, and update the shares."""
        now = self.host.clock.monotonic()
        for coordinator in list(self.by_service.values()):
            coordinator.expire(now)
            if not coordinator.grants_all:
                # Otherwise this is done between polls of the engines.
                coordinator.send_decisions(
                    coordinator.reconciler.expire_orphaned(now)
                )
            if (
                coordinator.scheduler.accounting.table.share
                != self.host.share_of(coordinator.service)
            ):
                coordinator.update_engines(now)

    async def on_ask(
        self, sender: peers.Sender, ask: SlotAsk
    ) -> SlotDecisions:
        """Answer a request of a host for slots."""
        now = self.host.clock.monotonic()
        if not ask.wants and not ask.workspaces:
            # An empty request only checks that this host responds.
            return SlotDecisions(ask.service)
        coordinator = self.coordinator(ask.service)
        holder = str(sender)
        coordinator.note_holder(holder, ask.address, now)
        if not coordinator.grants_all:
            self.host.check_first_choice(ask.service)
            coordinator.scheduler.set_share(self.host.share_of(ask.service))
        decisions: list[slot_scheduler.Decision] = []
        for want in ask.requests(holder, now):
            decisions += coordinator.ask(want, now)
        for want in ask.counted_only(holder):
            refusal = coordinator.count(want, now)
            decisions += [refusal] if refusal is not None else []
        asked = {wire.id for wire in ask.wants} | dict(ask.workspaces).keys()
        replies: list[slot_scheduler.Decision] = []
        others: list[slot_scheduler.Decision] = []
        for decision in decisions:
            target = replies if decision.want.id in asked else others
            target.append(decision)
        coordinator.send_decisions(others)
        coordinator.on_decisions(replies)
        return coordinator.message(replies)

    async def on_end(self, sender: peers.Sender, end: LeaseEnd) -> None:
        """Apply the end of a lease or of a waiting request."""
        coordinator = self.by_service.get(end.service)
        if coordinator is not None:
            coordinator.on_end(end)

    async def on_report(
        self, sender: peers.Sender, report: LeaseReport
    ) -> None:
        """Apply a report of a host's leases and waiting requests."""
        now = self.host.clock.monotonic()
        coordinator = self.coordinator(report.service)
        holder = str(sender)
        coordinator.note_holder(holder, report.address, now)
        leases = report.held(holder, now)
        wants = report.requests(holder, now)
        coordinator.limits.merge(
            (wire.admission(now) for wire in report.admitted), now
        )
        coordinator.on_holder_report(holder, leases, wants, now)
