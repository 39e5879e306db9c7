"""Whom a member watches, who watches it, and whom it tells news."""

__all__ = ["Overlay"]

from camphortray import members
from camphortray import ring

WATCHERS = 3
# Neighbours in the own availability zone, so that a zone that is cut off
# still spreads news among its own.
ZONE_NEIGHBOURS = 2
# Doubts that make a member suspected.
DOUBTS = 2


class Overlay:
    """The places of hosts beside each other, as one member sees them.

    Attributes:
      moved: Whether a host came or went since the caller last looked.
    """

    def __init__(
        self, own: members.Member, directory: members.Directory
    ) -> None:
        self.host = own.host
        self.program = own.program
        self.zone = own.availability_zone
        self.directory = directory
        self.ring = ring.Ring(WATCHERS)
        self.zone_ring = ring.Ring(ZONE_NEIGHBOURS)
        self.moved = True

    def place(self, member: members.Member) -> None:
        """Let a member's host in or out."""
        present = bool(self.directory.on_host(member.host))
        rings = [self.ring]
        if member.availability_zone == self.zone:
            rings.append(self.zone_ring)
        for each in rings:
            if present:
                each.add(member.host)
            else:
                each.remove(member.host)
        self.moved = True

    def partners(self, host: str) -> list[members.Member]:
        """Return the members of a host that this one is to deal with.

        Like programs of two hosts deal with each other; what has no
        like program here is dealt with all the same.
        """
        here = {m.program for m in self.directory.on_host(self.host)}
        return [
            member
            for member in self.directory.on_host(host)
            if member.program == self.program or member.program not in here
        ]

    def watched(self) -> set[str]:
        """Return the members that this one watches."""
        return self.names(set(self.ring.watched_by(self.host)))

    def gossip_targets(self) -> set[str]:
        """Return the members that this one tells news."""
        near: set[str] = set()
        for each in (self.ring, self.zone_ring):
            near.update(each.watched_by(self.host), each.neighbours(self.host))
        names = self.names(near)
        names.update(m.name for m in self.directory.on_host(self.host))
        names.discard(f"{self.host}/{self.program}")
        return names

    def names(self, hosts: set[str]) -> set[str]:
        """Return the names of the members to deal with on some hosts."""
        return {m.name for host in hosts for m in self.partners(host)}

    def other_watchers(self, host: str) -> list[members.Member]:
        """Return those that watch a host beside this one."""
        return [
            member
            for watcher in self.ring.neighbours(host)
            if watcher != self.host
            for member in self.partners(watcher)
        ]

    def enough_doubts(self, host: str) -> int:
        """Return how many doubts make a host's members suspected."""
        return min(DOUBTS, len(self.ring.neighbours(host)))
