"""Decides what a host tells its coordinators of all it holds, and when.

Once a second, and whenever a service has turned to another coordinator: so
one that has just begun learns what runs, and what was lost on the way is
made good.
"""

__all__ = ["Holder", "Reports"]

import abc
import asyncio
from collections.abc import Iterable

from camphortray import config as configs
from camphortray import errors
from camphortray import logs
from camphortray import membership
from camphortray import placements
from camphortray import placingcalls
from camphortray import slotcoordinators
from camphortray import slotdesk
from camphortray import slotwants

LOG = logs.logger("placing")
WantText = placingcalls.WantText
# Seconds from one report to the next while anything is held.
REPORT_S = 1.0
# Time for a coordinator to take a report before it is held for silent, in
# seconds. Nobody waits for it.
TAKEN_S = 0.48


class Holder(slotdesk.Home):
    """The host that holds slots and reports them.

    Attributes:
      members: Of the fleet.
      coordinators: Of the services in use.
      desks: What this host gives out.
      pending: Wants without an answer, by id.
      held: Slots in use, by id of the want.
    """

    members: membership.Membership
    coordinators: slotcoordinators.SlotCoordinators
    desks: slotdesk.Desks
    pending: dict[str, placements.Pending]
    held: dict[str, placements.Placement]

    @abc.abstractmethod
    async def ask(self, pending: placements.Pending) -> None:
        """Ask whoever coordinates."""

    @abc.abstractmethod
    def distrust(self, name: str) -> None:
        """Turn to others than a silent coordinator for a while."""


class Reports:
    """Reports of one host.

    Attributes:
      holder: What it holds, and whom it asks.
      last: Coordinator told of anything held or wanted, by service.
    """

    def __init__(self, holder: Holder) -> None:
        self.holder = holder
        self.last: dict[str, str] = {}

    async def run(self) -> None:
        """Report and clear up, for ever."""
        holder = self.holder
        while True:
            await asyncio.sleep(REPORT_S)
            holder.coordinators.trust_again(holder.clock.monotonic())
            holder.desks.clear_up()
            for service in list(holder.coordinators.known):
                self.soon(service)

    def soon(self, service: str) -> None:
        """Report as soon as other work lets it."""
        self.holder.links.spawn(self.report(service))

    async def report(self, service: str) -> None:
        """Tell the coordinator all that this host holds."""
        holder = self.holder
        now = holder.clock.monotonic()
        held = [p for p in holder.held.values() if p.service == service]
        waiting = [p for p in holder.pending.values() if p.service == service]
        name = holder.coordinators.coordinator(service, now)
        self.turn_to(name, held, waiting)
        leases = [
            slotwants.Lease(p.want, p.upstream.name, p.granted_at)
            for p in held
        ]
        wants = [p.want for p in waiting if not p.answer.done()]
        if name == holder.own_name:
            desk = holder.desks.desk(service)
            desk.act(desk.audit.report(name, leases, wants, now))
        elif held or waiting or self.last.get(service) == name:
            # Once more when nothing is left: the last end may be lost.
            if held or waiting:
                self.last[service] = name
            else:
                del self.last[service]
            await self.tell(name, self.message(service, leases, wants, now))

    def turn_to(
        self,
        name: str,
        held: Iterable[placements.Placement],
        waiting: Iterable[placements.Pending],
    ) -> None:
        """Count all that is held as with the coordinator of now."""
        for pending in waiting:
            if pending.want.online and pending.coordinator != name:
                # It waits in the queue of a coordinator that is left.
                self.holder.links.spawn(self.holder.ask(pending))
            pending.turn_to(name)
        for placement in held:
            placement.turn_to(name)

    def message(
        self,
        service: str,
        leases: Iterable[slotwants.Lease],
        wants: Iterable[slotwants.Want],
        now: float,
    ) -> placingcalls.PlaceReport:
        """Return a report as it travels."""
        return placingcalls.PlaceReport(
            service,
            str(self.holder.links.address),
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

    async def tell(self, name: str, report: placingcalls.PlaceReport) -> None:
        """Bring a report to another host."""
        member = self.holder.members.member(name)
        if member is None:
            return
        address = configs.Address.from_text(member.peer_address)
        try:
            await self.holder.links.ask(address, report, TAKEN_S)
        except errors.MessageError as error:
            LOG.info("No report to {}: {}", name, error)
            self.holder.distrust(name)
