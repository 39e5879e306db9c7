"""Reports a host's leases and pending slot requests to its coordinators.

Reports are sent every second and whenever a service's coordinator changes, so
that a new coordinator learns what runs and lost messages are made up for.
"""

__all__ = ["Holder", "LeaseReporter"]

import abc
import asyncio
from collections.abc import Iterable

from camphortray import config as configs
from camphortray import coordinator_election
from camphortray import errors
from camphortray import lease_table
from camphortray import logs
from camphortray import membership
from camphortray import request_limits
from camphortray import slot_coordinator
from camphortray import slot_messages
from camphortray import slot_queue

LOG = logs.logger("slots")
WireRequest = slot_messages.WireRequest
# Seconds between reports while anything is held or pending.
REPORT_INTERVAL_S = 1.0
# Timeout in seconds for a coordinator to acknowledge a report before it is
# excluded. May be long, because no request waits for it.
REPORT_TIMEOUT_S = 0.48


class Holder(slot_coordinator.CoordinatorHost):
    """Host that holds leases and reports them.

    Attributes:
      members: Members of the fleet.
      coordinators: Elected coordinators of the services in use.
      served: Services whose slots this host coordinates.
      pending: Slot requests without an answer, by id.
      held: Leases in use, by id of the slot request.
      admitted: Recent requests that count against limits.
    """

    members: membership.Membership
    coordinators: coordinator_election.CoordinatorElection
    served: slot_coordinator.SlotCoordinators
    pending: dict[str, lease_table.Pending]
    held: dict[str, lease_table.HeldLease]
    admitted: request_limits.RecentAdmissions

    @abc.abstractmethod
    async def ask(self, pending: lease_table.Pending) -> None:
        """Send a slot request to the coordinator of its service."""

    @abc.abstractmethod
    def exclude(self, name: str) -> None:
        """Exclude an unresponsive coordinator temporarily."""


class LeaseReporter:
    """Sends the reports of one host.

    Attributes:
      holder: Host whose leases and requests are reported.
      reported_to: Coordinator that was last sent a report that was not
        empty, by service.
    """

    def __init__(self, holder: Holder) -> None:
        self.holder = holder
        self.reported_to: dict[str, str] = {}

    async def run(self) -> None:
        """Send reports and expire stale state periodically."""
        holder = self.holder
        while True:
            await asyncio.sleep(REPORT_INTERVAL_S)
            holder.coordinators.readmit(holder.clock.monotonic())
            holder.served.expire_holders()
            holder.streams.prune()
            for service in list(holder.coordinators.elected):
                self.schedule(service)

    def schedule(self, service: str) -> None:
        """Schedule a report for a service."""
        self.holder.links.spawn(self.report(service))

    async def report(self, service: str) -> None:
        """Report this host's leases and requests of a service."""
        holder = self.holder
        now = holder.clock.monotonic()
        held = [p for p in holder.held.values() if p.service == service]
        waiting = [p for p in holder.pending.values() if p.service == service]
        name = holder.coordinators.coordinator(service, now)
        self.fail_over(name, held, waiting)
        leases = [
            slot_queue.Lease(p.request, p.upstream.name, p.granted_at)
            for p in held
        ]
        wants = [p.request for p in waiting if not p.answer.done()]
        admitted = holder.admitted.unknown_to(name, service, now)
        if name == holder.own_name:
            coordinator = holder.served.coordinator(service)
            coordinator.limits.merge(admitted, now)
            holder.admitted.on_reported(name, admitted)
            coordinator.on_holder_report(name, leases, wants, now)
        elif (
            held
            or waiting
            or admitted
            or self.reported_to.get(service) == name
        ):
            # One empty report follows the last lease, since the message that
            # ended it may have been lost.
            if held or waiting:
                self.reported_to[service] = name
            else:
                self.reported_to.pop(service, None)
            report = self.message(service, leases, wants, admitted, now)
            if await self.send(name, report):
                holder.admitted.on_reported(name, admitted)

    def fail_over(
        self,
        name: str,
        held: Iterable[lease_table.HeldLease],
        waiting: Iterable[lease_table.Pending],
    ) -> None:
        """Move requests and leases to the current coordinator."""
        for pending in waiting:
            if pending.request.online and pending.coordinator != name:
                # The request is queued at the previous coordinator.
                self.holder.links.spawn(self.holder.ask(pending))
            pending.fail_over(name)
        for lease in held:
            lease.fail_over(name)

    def message(
        self,
        service: str,
        leases: Iterable[slot_queue.Lease],
        wants: Iterable[slot_queue.SlotRequest],
        admitted: Iterable[request_limits.Admission],
        now: float,
    ) -> slot_messages.LeaseReport:
        """Return the report as a message."""
        leases, wants = list(leases), list(wants)
        named = [*(lease.want for lease in leases), *wants]
        return slot_messages.LeaseReport(
            service,
            str(self.holder.links.address),
            tuple(
                slot_messages.WireLease(
                    WireRequest.of(lease.want, now),
                    lease.engine,
                    round((now - lease.granted_at) * 1000),
                )
                for lease in leases
            ),
            tuple(WireRequest.of(want, now) for want in wants),
            tuple(
                slot_messages.WireAdmission.of(request, now)
                for request in admitted
            ),
            tuple((w.id, w.workspace) for w in named if w.workspace),
            slot_messages.versions_of(wants),
            slot_messages.streams_of(named),
        )

    async def send(self, name: str, report: slot_messages.LeaseReport) -> bool:
        """Send a report to a coordinator, and exclude it on failure.

        Returns:
          Whether the coordinator has received it.
        """
        member = self.holder.members.member(name)
        if member is None:
            return False
        address = configs.Address.from_text(member.peer_address)
        try:
            await self.holder.links.ask(address, report, REPORT_TIMEOUT_S)
        except errors.MessageError as error:
            LOG.info("Report to coordinator {} failed: {}", name, error)
            self.holder.exclude(name)
            return False
        return True
