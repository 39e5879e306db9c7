"""Elects the host that grants the slots of a service.

It is the live host that comes first for the service by rendezvous hash. One
that did not answer is excluded for a while by whoever has noticed; the next
one then grants a share only, as others may not have noticed.
"""

__all__ = ["CoordinatorElection"]

from collections.abc import Callable

from camphortray import members
from camphortray import shards

# Time for which a silent coordinator is not asked again, in seconds: by a
# host that alone has noticed, and by all once its successor has too. The
# latter outlasts the time in which membership suspects a host that is lost.
EXCLUDED_S = 2.0
CONFIRMED_S = 6.0
# The same of one that is listed and has never been heard of.
UNKNOWN_S = 60.0
# Factor on the even share of the slots that a host gives out for itself:
# callers spread unevenly, and not all hosts lose their coordinator.
ALONE_SHARE = 1.5


class CoordinatorElection:
    """Coordinators of all services in use, as one host sees them.

    Attributes:
      own_name: Name of this host's member.
      live: Returns the live members of hosts.
      possible: Returns the names of those that may be there, also those
        not heard of yet.
      known: Coordinator by service.
      excluded: Until when a member is not considered.
      on_change: Called with each service whose coordinator is another now.
    """

    def __init__(
        self,
        own_name: str,
        live: Callable[[], list[members.Member]],
        possible: Callable[[], set[str]] | None = None,
    ) -> None:
        self.own_name = own_name
        self.live = live
        self.possible = possible or self.live_names
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
            and self.usable_name(member.name, now)
        )

    def live_names(self) -> set[str]:
        """Return the names of live members."""
        return {member.name for member in self.live()}

    def natural(self, service: str) -> str | None:
        """Return the member that would coordinate if all were well.

        One that has not been heard of yet counts too: after a loss of all
        hosts each of them would else grant all slots.
        """
        return shards.preferred(f"slots/{service}", self.possible())

    def usable_name(self, name: str, now: float) -> bool:
        """Return whether a member is not excluded."""
        return self.excluded.get(name, 0.0) <= now

    def successor(self, service: str, now: float) -> str | None:
        """Return the member that coordinates without those excluded."""
        names = [n for n in self.possible() if self.usable_name(n, now)]
        return shards.preferred(f"slots/{service}", names)

    def share_of(self, service: str, holders: int, now: float) -> float:
        """Return the share of the slots that this host gives out.

        Args:
          service: Whose slots.
          holders: Other hosts that hold leases of this one.
          now: Present time.
        """
        if self.natural(service) == self.own_name:
            return 1.0
        if holders and self.successor(service, now) == self.own_name:
            # Another host could not reach those before this one either.
            return 1.0
        hosts = max(1, len(self.possible()))
        alone = min(1.0, ALONE_SHARE / hosts)
        # Where most others have failed over to this host too, the slots are
        # its own to grant; where none has, others grant them as well.
        return min(1.0, alone * (holders + 1))

    def exclude(
        self, name: str, now: float, seconds: float = EXCLUDED_S
    ) -> None:
        """Do not consider an unresponsive member for a while."""
        until = max(self.excluded.get(name, 0.0), now + seconds)
        self.excluded[name] = until
        self.re_elect(now)

    def readmit(self, now: float) -> None:
        """Consider members again whose exclusion is over."""
        left = {name: at for name, at in self.excluded.items() if at > now}
        if len(left) < len(self.excluded):
            self.excluded = left
            self.re_elect(now)

    def on_member(self, member: members.Member, now: float) -> None:
        """Elect anew where a change of one member may matter.

        Each of hundreds of members that start at once changes a few times;
        an election looks at all of them.
        """
        usable = self.usable(member, now)
        for service, name in list(self.known.items()):
            key = f"slots/{service}"
            if member.name == name:
                better = not usable
            else:
                better = usable and (
                    shards.score(key, member.name) > shards.score(key, name)
                )
            if better:
                self.re_elect_service(service, now)

    def re_elect_service(self, service: str, now: float) -> None:
        """Elect one coordinator anew."""
        before = self.known.pop(service)
        if self.coordinator(service, now) != before:
            self.on_change(service)

    def re_elect(self, now: float) -> None:
        """Elect all coordinators anew."""
        for service in list(self.known):
            self.re_elect_service(service, now)
