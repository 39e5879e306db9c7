"""Elects the host that grants the slots of a service.

It is the live host that comes first for the service by rendezvous hash. One
that did not answer is excluded for a while by whoever has noticed; the next
one then grants a share only, as others may not have noticed.
"""

__all__ = ["CoordinatorElection"]

from collections.abc import Callable

from camphortray import members
from camphortray import shards

# Time for which a silent coordinator is not asked again, in seconds.
EXCLUDED_S = 2.0
# Factor on the even share of the slots that a host gives out for itself:
# callers spread unevenly, and not all hosts lose their coordinator.
ALONE_SHARE = 1.5


class CoordinatorElection:
    """Coordinators of all services in use, as one host sees them.

    Attributes:
      own_name: Name of this host's member.
      live: Returns the live members of hosts.
      known: Coordinator by service.
      excluded: Until when a member is not considered.
      on_change: Called with each service whose coordinator is another now.
    """

    def __init__(
        self, own_name: str, live: Callable[[], list[members.Member]]
    ) -> None:
        self.own_name = own_name
        self.live = live
        self.known: dict[str, str] = {}
        self.excluded: dict[str, float] = {}
        self.on_change: Callable[[str], None] = lambda service: None

    def coordinator(self, service: str, now: float) -> str:
        """Return the member that gives out the slots of a service."""
        if service not in self.known:
            names = [m.name for m in self.live() if self.usable(m, now)]
            found = shards.preferred(f"slots/{service}", names)
            self.known[service] = found or self.own_name
        return self.known[service]

    def usable(self, member: members.Member, now: float) -> bool:
        """Return whether a live member may coordinate."""
        return member.name == self.own_name or (
            member.status is members.Status.ALIVE
            and bool(member.http_address)
            and self.excluded.get(member.name, 0.0) <= now
        )

    def natural(self, service: str) -> str | None:
        """Return the member that would coordinate if all were well."""
        names = [member.name for member in self.live()]
        return shards.preferred(f"slots/{service}", names)

    def share_of(self, service: str, holders: int) -> float:
        """Return the share of the slots that this host gives out.

        Args:
          service: Whose slots.
          holders: Other hosts that hold leases of this one.
        """
        if self.natural(service) == self.own_name:
            return 1.0
        hosts = max(1, len(self.live()))
        alone = min(1.0, ALONE_SHARE / hosts)
        # Where most others have failed over to this host too, the slots are
        # its own to grant; where none has, others grant them as well.
        return min(1.0, alone * (holders + 1))

    def exclude(self, name: str, now: float) -> None:
        """Do not consider an unresponsive member for a while."""
        self.excluded[name] = now + EXCLUDED_S
        self.re_elect(now)

    def readmit(self, now: float) -> None:
        """Consider members again whose exclusion is over."""
        left = {name: at for name, at in self.excluded.items() if at > now}
        if len(left) < len(self.excluded):
            self.excluded = left
            self.re_elect(now)

    def re_elect(self, now: float) -> None:
        """Elect all coordinators anew."""
        before, self.known = self.known, {}
        for service, name in before.items():
            if self.coordinator(service, now) != name:
                self.on_change(service)
