"""Requests slots for this host's requests from each service's coordinator.

A coordinator keeps soft state only, rebuilt from the periodic reports of lease
holders (`lease_reporting`). A host whose coordinator does not respond grants
itself slots from a share of them, and fails over to the next coordinator.
"""

__all__ = ["SlotClient"]

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
import functools
from typing import ClassVar

import msgspec

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
from camphortray import request_limits
from camphortray import slot_coordinator
from camphortray import slot_messages
from camphortray import slot_scheduler
from camphortray import stream_lookup
from camphortray import tasks
from camphortray import timers

LOG = logs.logger("slots")
SlotAsk = slot_messages.SlotAsk
LeaseEnd = slot_messages.LeaseEnd
SlotDecisions = slot_messages.SlotDecisions
# Timeout in seconds for a coordinator's reply, after which the host decides
# for itself. A round trip takes milliseconds, while the latency objective of
# an online request is hundreds of milliseconds.
ASK_TIMEOUT_S = 0.12
# Timeout in seconds for the successor's check of a coordinator. A failed check
# makes all hosts exclude that coordinator.
CHECK_TIMEOUT_S = 0.25
# Seconds from a failed check of an excluded coordinator to the next.
CHECK_PAUSE_S = 0.13
# Kind of the fact that makes all hosts exclude a coordinator.
SILENT_COORDINATOR_FACT = "coordinator-silent"
# Kind of the fact that the engine of an entry is not at its address.
MISMATCH_FACT = "engine-mismatch"
# Seconds that an online request waits for the coordinator's answer beyond its
# maximum time in the queue.
ANSWER_MARGIN_S = 0.1
# Seconds after which a request refused by a share is repeated.
REPEAT_S = 0.04
# Number of coordinators, one after the other, that may be asked for a slot for
# a request that counts against a limit.
COUNTING_CANDIDATES = 2
# Number of unusable grants (revoked early, or for an engine unknown to this
# host) after which a request is refused, and the seconds until its caller
# retries.
MAX_UNUSABLE_GRANTS = 4
RETRY_S = 0.1


@kernel.PARTS.register("host")
class SlotClient(kernel.Part, lease_reporting.Holder):
    """Acquires and releases slots for this host's requests.

    Attributes:
      coordinators: Elected coordinator of each service.
      served: Services whose slots this host coordinates.
      streams: Versions at which streams began.
      reports: Sends reports of pending requests and held leases.
      checking: Coordinators that this host is checking for a response.
      published: When the exclusion that this host published expires, by
        coordinator.
      unconfirmed: Coordinators that this host alone has excluded.
      pending: Slot requests without an answer, by id.
      held: Leases in use, by id of the slot request.
      admitted: Recent requests of this host that count against limits.
      started: Start of each member, to notice that it has started again.
      revoked_early: Ids of slot requests whose grant was revoked before the
        batch item received it.
    """

    name: ClassVar[str] = "slot_client"
    requires: ClassVar[tuple[str, ...]] = (
        "backends",
        "peers",
        "membership",
        "settings",
    )

    def __init__(self, context: kernel.Context) -> None:
        self.context = context
        self.clock = context.clock
        self.experiments = context.config.experiments
        self.metrics = context.metrics
        self.ledger = context.part(backends.LedgerBackends).ledger
        self.links = context.part(peers.Peers)
        self.members = context.part(membership.Membership)
        self.active_config = context.part(active_config.ActiveConfig)
        self.own_name = self.members.own_name
        self.incarnation = context.incarnation
        self.limit_window_s = context.config.front.limit_window_s
        self.admitted = request_limits.RecentAdmissions(self.limit_window_s)
        self.coordinators = coordinator_election.CoordinatorElection(
            self.own_name,
            functools.partial(self.members.live, "host"),
            functools.partial(self.members.possible, "host"),
        )
        self.streams = stream_lookup.StreamLookup(self)
        self.checking: set[str] = set()
        self.published: dict[str, float] = {}
        self.unconfirmed: set[str] = set()
        self.served = slot_coordinator.SlotCoordinators(self)
        self.reports = lease_reporting.LeaseReporter(self)
        self.coordinators.on_change = self.on_elected
        self.started: dict[str, int] = {}
        self.pending: dict[str, lease_table.Pending] = {}
        self.held: dict[str, lease_table.HeldLease] = {}
        self.revoked_early: set[str] = set()
        self.task: asyncio.Task[None] | None = None

    @classmethod
    def from_config(cls, context: kernel.Context) -> "SlotClient":
        return cls(context)

    async def start(self) -> None:
        self.served.start()
        self.streams.start()
        self.links.on(SlotDecisions, self.on_later_decisions)
        self.members.listen(self.on_member)
        self.members.on_fact(
            SILENT_COORDINATOR_FACT, self.on_silent_coordinator
        )
        self.active_config.listen_engines(self.streams.update_engines)
        self.active_config.listen_engines(self.served.update_engines)
        self.members.on_fact(MISMATCH_FACT, self.on_mismatch)
        self.active_config.publish_mismatch = functools.partial(
            self.members.publish, MISMATCH_FACT, value=True
        )
        self.active_config.peers_of = functools.partial(
            self.members.live_peers, "host"
        )
        work = tasks.forever("report of slots", self.reports.run)
        self.task = asyncio.get_running_loop().create_task(work)

    async def stop(self) -> None:
        if self.task is not None:
            self.task.cancel()
        self.served.stop()
        self.streams.stop()

    def ready(self) -> str:
        return self.streams.ready()

    # Interface for `slot_coordinator` and `lease_reporting`.

    def share_of(self, service: str) -> float:
        """Return the share of a service's slots that this host may grant."""
        holders = self.served.holders(service)
        now = self.clock.monotonic()
        return self.coordinators.share_of(service, holders, now)

    def elected(self, service: str) -> str:
        """Return the member that coordinates a service."""
        return self.coordinators.coordinator(service, self.clock.monotonic())

    def coordinates(self, service: str) -> bool:
        """Return whether this host alone coordinates a service."""
        return (
            self.elected(service) == self.own_name
            and self.share_of(service) == 1.0
        )

    @property
    def introduced(self) -> bool:
        """Whether this host has learned which others there are."""
        return self.members.introduced

    def runs(self, name: str, started: int) -> bool:
        """Return whether that process of a member still runs."""
        member = self.members.member(name)
        return (
            member is not None
            and not member.dead
            and member.started == started
        )

    def is_live(self, name: str) -> bool:
        """Return whether a member is not known to be gone."""
        member = self.members.member(name)
        return member is not None and not member.dead

    def sent(self, workspace: str, now: float) -> int:
        """Return how many limited requests this host sent in the window."""
        return self.admitted.count(workspace, now)

    def standbys(self, service: str, count: int) -> list[str]:
        """Return the members that would coordinate a service next."""
        now = self.clock.monotonic()
        return self.coordinators.standbys(service, count, now)

    def peer_address(self, name: str) -> configs.Address:
        """Return where a member takes links."""
        return self.members.peer_address(name)

    def reach(self) -> float:
        """Return the share of the listed hosts that may be in reach."""
        return self.members.reach("host")

    def check_first_choice(self, service: str) -> None:
        """Check whether the preferred coordinator responds.

        Called when another host, which could not reach that coordinator,
        sends its requests to this host.
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
        """Check a coordinator that another host failed over from.

        That host alone may be cut off from the coordinator. If this host, its
        successor, cannot reach it either, all hosts are made to exclude it.
        """
        try:
            address = self.members.peer_address(name)
            ask = SlotAsk(service, str(self.links.address), ())
            await self.links.ask(address, ask, CHECK_TIMEOUT_S)
        except errors.MessageError as error:
            LOG.warning("Coordinator {} failed its check: {}", name, error)
            self.publish_silent(name)
        finally:
            self.checking.discard(name)

    def publish_silent(self, name: str) -> None:
        """Publish a fact that makes all hosts exclude a coordinator."""
        keep_s = coordinator_election.CONFIRMED_EXCLUSION_S
        self.published[name] = self.clock.monotonic() + keep_s
        member = self.members.member(name)
        started = member.started if member is not None else 0
        self.members.publish(SILENT_COORDINATOR_FACT, name, started, keep_s)
        self.served.update_engines()

    def on_mismatch(self, fact: membership.Fact) -> None:
        """Leave an entry out whose address is another engine's."""
        self.active_config.refute(fact.key)

    def on_silent_coordinator(self, fact: membership.Fact) -> None:
        """Exclude a coordinator that its successor could not reach."""
        member = self.members.member(fact.key)
        if fact.key == self.own_name:
            return
        if member is not None and member.started > int(fact.value):
            # The coordinator has restarted since.
            return
        now = self.clock.monotonic()
        seconds = coordinator_election.CONFIRMED_EXCLUSION_S
        if member is None:
            # Known only from the platform's host list, which may still list
            # hosts that no longer exist.
            seconds = coordinator_election.UNSEEN_EXCLUSION_S
        self.unconfirmed.discard(fact.key)
        self.coordinators.exclude(fact.key, now, seconds)

    async def running_requests(
        self, entry: engine_registry.EngineEntry
    ) -> int:
        upstream = self.upstream(entry)
        backend = self.context.part(backends.LedgerBackends).engine(
            upstream.plugin
        )
        report = await backend.load(upstream)
        return report.running + report.waiting

    def exclude(self, name: str) -> None:
        """Exclude an unresponsive coordinator temporarily."""
        LOG.warning(
            "Coordinator {} did not respond; excluded for {:.0f} s.",
            name,
            coordinator_election.EXCLUSION_S,
        )
        now = self.clock.monotonic()
        if self.coordinators.usable_name(name, now):
            self.unconfirmed.add(name)
        self.coordinators.exclude(name, now)

    def check_excluded(self, service: str) -> None:
        """Check whether the coordinators that this host excludes respond.

        Called when a share was too small for a request. Those excluded by all
        hosts are not checked, as their successor may grant all slots.
        """
        now = self.clock.monotonic()
        self.unconfirmed = {
            name
            for name in self.unconfirmed
            if not self.coordinators.usable_name(name, now)
        }
        for name in self.unconfirmed - self.checking:
            self.checking.add(name)
            self.links.spawn(self.check_again(service, name))

    async def check_again(self, service: str, name: str) -> None:
        """Include a coordinator that this host excludes if it responds."""
        try:
            address = self.members.peer_address(name)
            ask = SlotAsk(service, str(self.links.address), ())
            await self.links.ask(address, ask, ASK_TIMEOUT_S)
        except errors.MessageError as error:
            LOG.debug("Coordinator {} is still silent: {}", name, error)
            await asyncio.sleep(CHECK_PAUSE_S)
        else:
            if name in self.unconfirmed:
                LOG.notice("Coordinator {} responds again.", name)
                self.unconfirmed.discard(name)
                self.coordinators.include(name, self.clock.monotonic())
        finally:
            self.checking.discard(name)

    def on_elected(self, service: str) -> None:
        """Report to a new coordinator of a service."""
        self.served.standbys.on_elected(service)
        self.streams.on_elected(service)
        self.reports.schedule(service)

    def on_member(self, member: membership.Member) -> None:
        """Re-elect coordinators if a member's change may affect them."""
        started = self.started.setdefault(member.name, member.started)
        if member.dead or member.started > started:
            self.started.pop(member.name)
            self.admitted.on_lost(member.name)
            self.served.standbys.on_lost(member.name)
            self.streams.on_lost(member.name)
        if member.dead:
            self.served.drop(member.name)
        self.coordinators.on_member(member, self.clock.monotonic())

    # Requesting slots.

    async def acquire(
        self,
        service: str,
        request: slot_scheduler.SlotRequest,
        on_revoke: Callable[[], None] | None = None,
    ) -> lease_table.HeldLease:
        """Wait for a slot and return its lease.

        Args:
          service: Service whose engine is wanted.
          request: Slot request.
          on_revoke: Called when the slot is revoked.

        Raises:
          RateExceeded: The workspace of the request has reached its limit.
          NoSlot: An online request got no slot in time, or none of
            ``MAX_UNUSABLE_GRANTS`` grants was usable.
        """
        zone = self.context.config.host.availability_zone
        request = msgspec.structs.replace(request, zone=zone)
        request = await self.count_elsewhere(service, request)
        for attempt in range(MAX_UNUSABLE_GRANTS):
            granted = await self.request_grant(service, request)
            request = self.on_counted(service, request, granted.coordinators)
            if request.id in self.revoked_early:
                self.revoked_early.discard(request.id)
                self.send_ends(granted.coordinators, service, request.id)
                request = msgspec.structs.replace(
                    request, id=f"{request.id}-{attempt}"
                )
                continue
            entry = self.active_config.engines.find(granted.engine)
            if entry is not None and request.version in ("", entry.version):
                upstream = self.upstream(entry)
                return self.add_lease(
                    service, request, upstream, granted, on_revoke
                )
            # Either the coordinator does not know yet that the engine is
            # leaving, or this host does not know yet that it has joined, or
            # the coordinator's release takes no account of versions.
            self.send_ends(granted.coordinators, service, request.id)
            request = msgspec.structs.replace(
                request,
                id=f"{request.id}-{attempt}",
                avoid=request.avoid | {granted.engine},
            )
        raise errors.NoSlot("engines given are not known here", RETRY_S)

    async def count_elsewhere(
        self, service: str, request: slot_scheduler.SlotRequest
    ) -> slot_scheduler.SlotRequest:
        """Count a request, unless the coordinator of its service does.

        Raises:
          RateExceeded: The workspace of the request has reached its limit.
          NoSlot: It is not known whether it has.
        """
        if not request.counts:
            return request
        services = self.active_config.view.service_names
        counting = request_limits.counting_service(request.workspace, services)
        if counting in (None, service):
            return request
        name = self.coordinators.coordinator(counting, self.clock.monotonic())
        if name != self.own_name:
            message = SlotAsk(
                counting,
                str(self.links.address),
                (),
                ((request.id, request.workspace),),
            )
            try:
                address = self.members.peer_address(name)
                reply = await self.links.ask(address, message, ASK_TIMEOUT_S)
            except errors.MessageError as error:
                LOG.info("No count by coordinator {}: {}", name, error)
                self.exclude(name)
                name = self.own_name
        if name == self.own_name:
            coordinator = self.served.coordinator(counting)
            refusal = coordinator.count(request, self.clock.monotonic())
            decisions = [] if refusal is None else [refusal]
            reply = SlotDecisions.of(counting, decisions)
        if request.id in reply.refused:
            raise reply.refusal(request.id)
        return self.on_counted(counting, request, {name})

    def on_counted(
        self,
        service: str,
        request: slot_scheduler.SlotRequest,
        coordinators: Iterable[str],
    ) -> slot_scheduler.SlotRequest:
        """Record a request that a service's coordinator has counted.

        Returns:
          The request, which is not to be counted again.
        """
        if not request.counts:
            return request
        admission = request_limits.Admission(
            request.id, request.workspace, self.clock.monotonic()
        )
        self.admitted.add(admission, service, coordinators)
        return msgspec.structs.replace(request, counts=False)

    async def request_grant(
        self, service: str, request: slot_scheduler.SlotRequest
    ) -> lease_table.Granted:
        """Request a slot and wait for its grant; raises as ``acquire``.

        A refusal by a share is not final: while hosts come back there is a
        coordinator that grants all slots within some tenths of a second.
        """
        wait_s = request.objective_s * slot_scheduler.MAX_WAIT_SHARE
        last_at = request.asked_at + wait_s - REPEAT_S
        while True:
            try:
                return await self.request_once(service, request)
            except errors.NoSlot as error:
                if error.provisional:
                    self.check_excluded(service)
                now = self.clock.monotonic()
                if not error.provisional or now > last_at:
                    raise
            await asyncio.sleep(REPEAT_S)

    async def request_once(
        self, service: str, request: slot_scheduler.SlotRequest
    ) -> lease_table.Granted:
        """Request a slot and wait for the first answer."""
        loop = asyncio.get_running_loop()
        pending = lease_table.Pending(request, service, loop.create_future())
        self.pending[request.id] = pending
        try:
            await self.ask(pending)
            if not request.online:
                return pending.granted(*await pending.answer)
            left_s = (
                request.objective_s * slot_scheduler.MAX_WAIT_SHARE
                + ANSWER_MARGIN_S
            )
            async with timers.limit(left_s):
                return pending.granted(*await pending.answer)
        except TimeoutError:
            self.withdraw(pending)
            raise errors.NoSlot(
                "no word on a slot", request.left_s / 4
            ) from None
        except asyncio.CancelledError:
            self.withdraw(pending)
            raise
        finally:
            self.pending.pop(request.id, None)

    def withdraw(self, pending: lease_table.Pending) -> None:
        """Notify coordinators that a request no longer waits for a slot."""
        for name in pending.coordinators:
            self.send_end(
                name,
                pending.service,
                pending.request.id,
                unused=pending.counted_for,
            )

    def add_lease(
        self,
        service: str,
        request: slot_scheduler.SlotRequest,
        upstream: engine.Upstream,
        granted: lease_table.Granted,
        on_revoke: Callable[[], None] | None,
    ) -> lease_table.HeldLease:
        """Record a granted slot as held and return its lease."""
        held = lease_table.HeldLease(
            request,
            service,
            upstream,
            self.clock.monotonic(),
            on_revoke,
            coordinator=granted.coordinator,
            earlier=set(granted.coordinators - {granted.coordinator}),
        )
        self.held[request.id] = held
        return held

    def upstream(self, entry: engine_registry.EngineEntry) -> engine.Upstream:
        """Return the description of an engine that plug-ins take."""
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
            entry.version,
            entry.born,
        )

    async def ask(self, pending: lease_table.Pending) -> None:
        """Send a slot request to the coordinator of its service.

        If the elected one does not respond, a request that counts against a
        limit goes to the next, which as its standby knows the counts. An
        online request then falls back to this host's own coordinator.
        """
        candidates = COUNTING_CANDIDATES if pending.request.counts else 1
        for _ in range(candidates):
            now = self.clock.monotonic()
            name = self.coordinators.coordinator(pending.service, now)
            pending.fail_over(name)
            if name == self.own_name:
                self.ask_own_coordinator(pending)
                return
            if await self.ask_coordinator(pending, name, now):
                return
            self.exclude(name)
            if pending.answer.done():
                return
        if pending.request.online:
            pending.fail_over(self.own_name)
            self.ask_own_coordinator(pending)

    async def ask_coordinator(
        self, pending: lease_table.Pending, name: str, now: float
    ) -> bool:
        """Send a slot request to a coordinator; return whether it replied."""
        request = pending.request
        message = SlotAsk.of(
            pending.service, str(self.links.address), request, now
        )
        try:
            address = self.members.peer_address(name)
            reply = await self.links.ask(address, message, ASK_TIMEOUT_S)
        except errors.MessageError as error:
            LOG.info(
                "Slot request {} not answered by coordinator {}: {}",
                request.id,
                name,
                error,
            )
            # The coordinator may still grant the slot. Without this message
            # the slot would stay taken until the holder expires seconds
            # later, while other requests are refused.
            self.send_end(
                name, pending.service, request.id, unused=pending.counted_for
            )
            return False
        if isinstance(reply, SlotDecisions):
            self.on_decisions(reply, name)
        return True

    def ask_own_coordinator(self, pending: lease_table.Pending) -> None:
        """Submit a slot request to this host's own coordinator."""
        coordinator = self.served.coordinator(pending.service)
        coordinator.scheduler.set_share(self.share_of(pending.service))
        now = self.clock.monotonic()
        coordinator.send_decisions(coordinator.ask(pending.request, now))

    def on_decisions(self, update: SlotDecisions, coordinator: str) -> None:
        """Apply the decisions of a coordinator."""
        for request_id, name in update.granted.items():
            self.on_grant(update.service, request_id, name, coordinator)
        for request_id in update.refused:
            pending = self.pending.get(request_id)
            if pending is not None and not pending.answer.done():
                pending.answer.set_exception(update.refusal(request_id))
        for request_id in update.revoked:
            self.on_revocation(update.service, request_id, coordinator)

    def on_grant(
        self, service: str, request_id: str, name: str, coordinator: str
    ) -> None:
        """Apply a grant, or return it if the request no longer waits."""
        pending = self.pending.get(request_id)
        if pending is not None and not pending.answer.done():
            pending.answer.set_result((name, coordinator))
        elif request_id not in self.held and pending is None:
            self.send_end(coordinator, service, request_id)

    def on_revocation(
        self, service: str, request_id: str, coordinator: str
    ) -> None:
        """Apply the revocation of a slot."""
        held = self.held.get(request_id)
        if held is not None and held.on_revoke is not None:
            held.on_revoke()
        elif request_id in self.pending:
            # Granted and revoked before the item received the grant.
            self.revoked_early.add(request_id)
        elif held is None:
            # The lease has already ended, and the coordinator may not know.
            self.send_end(coordinator, service, request_id)

    def release(
        self,
        held: lease_table.HeldLease,
        outcome: enginehealth.Outcome,
        pace_s: float = 0.0,
    ) -> None:
        """Release a slot and report how its engine has done.

        Args:
          held: Lease of the slot.
          outcome: How the run ended.
          pace_s: Mean seconds between the events of its stream, if known.
        """
        if self.held.pop(held.request.id, None) is not None:
            end = LeaseEnd.of(
                held.service, held.request.id, outcome, pace_s=pace_s
            )
            for name in held.coordinators:
                self.notify_end(name, end)

    def send_ends(
        self, coordinators: Iterable[str], service: str, request_id: str
    ) -> None:
        """Notify all coordinators that may count a request of its end."""
        for name in coordinators:
            self.send_end(name, service, request_id)

    def send_end(
        self,
        coordinator: str,
        service: str,
        request_id: str,
        unused: str = "",
    ) -> None:
        """Notify a coordinator of the end of a request that did not run."""
        outcome = enginehealth.Outcome.NOTHING
        end = LeaseEnd.of(service, request_id, outcome, unused)
        self.notify_end(coordinator, end)

    def notify_end(self, coordinator: str, end: LeaseEnd) -> None:
        """Notify a coordinator that a request or lease has ended."""
        if coordinator == self.own_name:
            self.served.coordinator(end.service).on_end(end)
            return
        member = self.members.member(coordinator)
        if member is not None and not member.dead:
            address = configs.Address.from_text(member.peer_address)
            self.links.notify(address, end)

    async def on_later_decisions(
        self, sender: peers.Sender, update: SlotDecisions
    ) -> None:
        """Apply decisions that a coordinator sends after its reply."""
        self.on_decisions(update, str(sender))

    def in_flight(self) -> list[str]:
        return [f"{len(self.held)} slots"] if self.held else []
