"""Decides which host gives out the slots of a service, for hosts that ask.

It is the live host that comes first for the service by rendezvous hash. One
that did not answer is passed over for a while by whoever has noticed; the
next one then gives out a share only, as others may not have noticed.
"""

__all__ = ["SlotCoordinators"]

from collections.abc import Callable

from camphortray import members
from camphortray import shards

# Time for which a silent coordinator is not asked again, in seconds.
DISTRUST_S = 2.0
# Factor on the even share of the slots that a host gives out for itself:
# callers spread unevenly, and not all hosts lose their coordinator.
ALONE_SHARE = 1.5


class SlotCoordinators:
    """Coordinators of all services in use, as one host sees them.

    Attributes:
      own_name: Name of this host's member.
      live: Returns the live members of hosts.
      known: Coordinator by service.
      distrusted: Until when a member is passed over.
      on_turn: Called with each service whose coordinator is another now.
    """

    def __init__(
        self, own_name: str, live: Callable[[], list[members.Member]]
    ) -> None:
        self.own_name = own_name
        self.live = live
        self.known: dict[str, str] = {}
        self.distrusted: dict[str, float] = {}
        self.on_turn: Callable[[str], None] = lambda service: None

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
            and self.distrusted.get(member.name, 0.0) <= now
        )

    def natural(self, service: str) -> str | None:
        """Return the member that would coordinate if all were well."""
        names = [member.name for member in self.live()]
        return shards.preferred(f"slots/{service}", names)

    def share_of(self, service: str, holders: int) -> float:
        """Return the share of the slots that this host gives out.

        Args:
          service: Whose slots.
          holders: Other hosts that have turned to this one.
        """
        if self.natural(service) == self.own_name:
            return 1.0
        hosts = max(1, len(self.live()))
        alone = min(1.0, ALONE_SHARE / hosts)
        # Where most others have turned here too, the slots are this
        # host's to give; where none has, others give them out as well.
        return min(1.0, alone * (holders + 1))

    def distrust(self, name: str, now: float) -> None:
        """Turn to others than a silent coordinator for a while."""
        self.distrusted[name] = now + DISTRUST_S
        self.turn(now)

    def trust_again(self, now: float) -> None:
        """Turn back to those that have been passed over long enough."""
        left = {name: at for name, at in self.distrusted.items() if at > now}
        if len(left) < len(self.distrusted):
            self.distrusted = left
            self.turn(now)

    def turn(self, now: float) -> None:
        """Choose coordinators anew."""
        before, self.known = self.known, {}
        for service, name in before.items():
            if self.coordinator(service, now) != name:
                self.on_turn(service)
