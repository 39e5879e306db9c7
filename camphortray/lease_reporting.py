"""Reports all that a host holds to its coordinators.

Once a second, and whenever a service has turned to another coordinator: so
one that has just begun learns what runs, and what was lost on the way is
made good.
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
from camphortray import slot_coordinator
from camphortray import slot_messages
from camphortray import slot_queue

LOG = logs.logger("slots")
WireRequest = slot_messages.WireRequest
# Seconds from one report to the next while anything is held.
REPORT_S = 1.0
# Time for a coordinator to take a report before it is held for silent, in
# seconds. Nobody waits for it.
TAKEN_S = 0.48


class Holder(slot_coordinator.CoordinatorHost):
    """The host that holds slots and reports them.

    Attributes:
      members: Of the fleet.
      coordinators: Of the services in use.
      served: What this host coordinates.
      pending: Wants without an answer, by id.
      held: Slots in use, by id of the want.
    """

    members: membership.Membership
    coordinators: coordinator_election.CoordinatorElection
    served: slot_coordinator.SlotCoordinators
    pending: dict[str, lease_table.Pending]
    held: dict[str, lease_table.HeldLease]

    @abc.abstractmethod
    async def ask(self, pending: lease_table.Pending) -> None:
        """Ask whoever coordinates."""

    @abc.abstractmethod
    def exclude(self, name: str) -> None:
        """Do not consider an unresponsive coordinator for a while."""


class LeaseReporter:
    """Sends the reports of one host.

    Attributes:
      holder: What it holds, and whom it asks.
      reported_to: Coordinator that last got anything held or pending, by
        service.
    """

    def __init__(self, holder: Holder) -> None:
        self.holder = holder
        self.reported_to: dict[str, str] = {}

    async def run(self) -> None:
        """Report and clear up, for ever."""
        holder = self.holder
        while True:
            await asyncio.sleep(REPORT_S)
            holder.coordinators.readmit(holder.clock.monotonic())
            holder.served.expire_holders()
            for service in list(holder.coordinators.elected):
                self.soon(service)

    def soon(self, service: str) -> None:
        """Report as soon as other work lets it."""
        self.holder.links.spawn(self.report(service))

    async def report(self, service: str) -> None:
        """Report all that this host holds to its coordinator."""
        holder = self.holder
        now = holder.clock.monotonic()
        held = [p for p in holder.held.values() if p.service == service]
        waiting = [p for p in holder.pending.values() if p.service == service]
        name = holder.coordinators.coordinator(service, now)
        self.fail_over(name, held, waiting)
        leases = [
            slot_queue.Lease(p.want, p.upstream.name, p.granted_at)
            for p in held
        ]
        wants = [p.want for p in waiting if not p.answer.done()]
        if name == holder.own_name:
            coordinator = holder.served.coordinator(service)
            coordinator.send_decisions(
                coordinator.reconciler.on_holder_report(
                    name, leases, wants, now
                )
            )
        elif held or waiting or self.reported_to.get(service) == name:
            # Once more when nothing is left: the last end may be lost.
            if held or waiting:
                self.reported_to[service] = name
            else:
                del self.reported_to[service]
            await self.send(name, self.message(service, leases, wants, now))

    def fail_over(
        self,
        name: str,
        held: Iterable[lease_table.HeldLease],
        waiting: Iterable[lease_table.Pending],
    ) -> None:
        """Count all that is held as with the coordinator of now."""
        for pending in waiting:
            if pending.want.online and pending.coordinator != name:
                # It waits in the queue of a coordinator that is left.
                self.holder.links.spawn(self.holder.ask(pending))
            pending.fail_over(name)
        for placement in held:
            placement.fail_over(name)

    def message(
        self,
        service: str,
        leases: Iterable[slot_queue.Lease],
        wants: Iterable[slot_queue.SlotRequest],
        now: float,
    ) -> slot_messages.LeaseReport:
        """Return a report as it travels."""
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
        )

    async def send(self, name: str, report: slot_messages.LeaseReport) -> None:
        """Bring a report to another host."""
        member = self.holder.members.member(name)
        if member is None:
            return
        address = configs.Address.from_text(member.peer_address)
        try:
            await self.holder.links.ask(address, report, TAKEN_S)
        except errors.MessageError as error:
            LOG.info("No report to {}: {}", name, error)
            self.holder.exclude(name)
