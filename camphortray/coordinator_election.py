"""Elects the host that grants the slots of a service.

The coordinator is the live host that ranks first for the service by rendezvous
hash, of those large enough where hosts differ in size. A host that gets no
answer from it excludes it for a while; the host ranked next then grants only a
share of the slots, as other hosts may still use the first.
"""

__all__ = ["CoordinatorElection"]

from collections.abc import Callable
from collections.abc import Iterable

from camphortray import members
from camphortray import shards

# Seconds for which one host excludes a coordinator that did not answer.
EXCLUSION_S = 2.0
# Seconds for which all hosts exclude a coordinator whose successor got no
# answer either. It is longer than membership takes to suspect a lost host.
CONFIRMED_EXCLUSION_S = 6.0
# The same for a coordinator in the host list that has never sent a message.
UNSEEN_EXCLUSION_S = 60.0
# Least capacity of a coordinator, as a share of that of the largest host. A
# coordinator receives two messages for each request of its service.
CAPACITY_SHARE = 0.5
# Factor on a host's even share of the slots while it grants for itself: load
# is uneven between hosts, and not all hosts lose their coordinator.
FALLBACK_SHARE_FACTOR = 1.5


class CoordinatorElection:
    """Coordinators of all services in use, as seen by one host.

    Attributes:
      own_name: Name of this host's member.
      live: Returns the live hosts.
      possible: Returns the names of all hosts that may be alive, including
        those without a message so far.
      elected: Coordinator by service.
      excluded: When the exclusion of a member ends, by name.
      least: Least capacity of a coordinator at the last election.
      on_change: Called with each service whose coordinator has changed.
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
        self.elected: dict[str, str] = {}
        self.excluded: dict[str, float] = {}
        self.least = 0.0
        self.on_change: Callable[[str], None] = lambda service: None

    def coordinator(self, service: str, now: float) -> str:
        """Return the member that coordinates a service."""
        if any(until <= now for until in self.excluded.values()):
            self.readmit(now)
        if service not in self.elected:
            names = [m.name for m in self.candidates(now)]
            found = shards.preferred(f"slots/{service}", names)
            self.elected[service] = found or self.own_name
        return self.elected[service]

    def usable(self, member: members.Member, now: float) -> bool:
        """Return whether a live member may coordinate."""
        return member.name == self.own_name or (
            member.status is members.Status.ALIVE
            and bool(member.http_address)
            and self.usable_name(member.name, now)
        )

    def candidates(self, now: float) -> list[members.Member]:
        """Return the live hosts that may coordinate and can carry it."""
        usable = [m for m in self.live() if self.usable(m, now)]
        self.least = least_capacity(usable)
        return [m for m in usable if carries(m, self.least)]

    def possible_names(self) -> set[str]:
        """Return all hosts that may be alive and large enough.

        The size of a host without a message so far is not known.
        """
        known = self.live()
        least = least_capacity(known)
        small = {m.name for m in known if not carries(m, least)}
        return self.possible() - small

    def live_names(self) -> set[str]:
        """Return the names of live members."""
        return {member.name for member in self.live()}

    def first_choice(self, service: str) -> str | None:
        """Return the first choice of coordinator among all possible hosts.

        Hosts that have sent no message yet are included: otherwise, after
        a loss of all hosts, each of them would grant all slots.
        """
        return shards.preferred(f"slots/{service}", self.possible_names())

    def usable_name(self, name: str, now: float) -> bool:
        """Return whether a member is not excluded."""
        return self.excluded.get(name, 0.0) <= now

    def successor(self, service: str, now: float) -> str | None:
        """Return the first choice among the hosts that are not excluded."""
        names = [n for n in self.possible_names() if self.usable_name(n, now)]
        return shards.preferred(f"slots/{service}", names)

    def standbys(self, service: str, count: int, now: float) -> list[str]:
        """Return the members that would coordinate a service next."""
        names = [
            member.name
            for member in self.candidates(now)
            if member.name != self.own_name
        ]
        return shards.rank(f"slots/{service}", names)[:count]

    def share_of(self, service: str, holders: int, now: float) -> float:
        """Return the share of the slots that this host grants.

        Args:
          service: Service that the slots belong to.
          holders: Number of other hosts that ask this one for slots.
          now: Present time.
        """
        if self.first_choice(service) == self.own_name:
            return 1.0
        if holders and self.successor(service, now) == self.own_name:
            # Another host could not reach the hosts ranked before it either.
            return 1.0
        hosts = max(1, len(self.possible()))
        base_share = min(1.0, FALLBACK_SHARE_FACTOR / hosts)
        # The more hosts have failed over to this one, the fewer slots are
        # granted by others.
        return min(1.0, base_share * (holders + 1))

    def exclude(
        self, name: str, now: float, seconds: float = EXCLUSION_S
    ) -> None:
        """Exclude an unresponsive member for a while."""
        until = max(self.excluded.get(name, 0.0), now + seconds)
        self.excluded[name] = until
        self.re_elect(now)

    def include(self, name: str, now: float) -> None:
        """End the exclusion of a member that responds again."""
        if self.excluded.pop(name, None) is not None:
            self.re_elect(now)

    def readmit(self, now: float) -> None:
        """Include members again whose exclusion has ended."""
        left = {
            name: until for name, until in self.excluded.items() if until > now
        }
        if len(left) < len(self.excluded):
            self.excluded = left
            self.re_elect(now)

    def on_member(self, member: members.Member, now: float) -> None:
        """Repeat the elections that a change of one member may affect.

        Hundreds of members that start at once change several times each, and
        an election examines all members.
        """
        usable = self.usable(member, now)
        if self.changes_least(member, usable, now):
            self.re_elect(now)
            return
        for service, name in list(self.elected.items()):
            key = f"slots/{service}"
            if member.name == name:
                affected = not usable
            else:
                affected = (
                    usable
                    and carries(member, self.least)
                    and shards.score(key, member.name)
                    > shards.score(key, name)
                )
            if affected:
                self.re_elect_service(service, now)

    def changes_least(
        self, member: members.Member, usable: bool, now: float
    ) -> bool:
        """Return whether a member's change moves the least capacity."""
        least = CAPACITY_SHARE * member.capacity
        if usable:
            return least > self.least
        if not least or least < self.least:
            return False
        before = self.least
        self.candidates(now)
        return self.least != before

    def re_elect_service(self, service: str, now: float) -> None:
        """Repeat the election for one service."""
        before = self.elected.pop(service)
        if self.coordinator(service, now) != before:
            self.on_change(service)

    def re_elect(self, now: float) -> None:
        """Repeat the elections for all services."""
        for service in list(self.elected):
            self.re_elect_service(service, now)


def least_capacity(hosts: Iterable[members.Member]) -> float:
    """Return the least capacity of a coordinator among some hosts."""
    largest = max((host.capacity for host in hosts), default=0.0)
    return CAPACITY_SHARE * largest


def carries(host: members.Member, least: float) -> bool:
    """Return whether a host is large enough; one of unknown size is."""
    return not host.capacity or host.capacity >= least
