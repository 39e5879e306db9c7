"""What one member knows of the fleet, and what it says of itself."""

__all__ = ["MemberState"]

from collections.abc import Callable
from collections.abc import Iterable
import random
from typing import Any

import msgspec

from camphortray import antientropy
from camphortray import facts
from camphortray import failure_detector
from camphortray import gossip
from camphortray import gossip_repair
from camphortray import members
from camphortray import overlay

# Seconds from its start in which a process takes itself for the later one
# of two that bear its name.
NEWBORN_S = 30.0


def ignore(value: Any) -> None:
    """Do nothing."""


class MemberState:
    """Entries, facts, and what follows from them.

    Whatever is new goes from here to the neighbours, to the watch and to
    whoever listens.

    Attributes:
      own: This member's own entry.
      directory: All entries.
      facts: All facts.
      gossip: What is still to be told.
      catch_up: Whom to ask what differs, as news may have passed it by.
      watch: Whom this member watches.
      neighbours: Who stands beside whom.
      on_member: Called with each entry that changes.
      on_fact: Called with each new fact.
      listed: Status of each host on the platform's list.
      joined: Whether any other member has answered yet.
      born: When this member started.
      replaced: Whether another process took this one's name later.
    """

    def __init__(
        self,
        own: members.Member,
        rng: random.Random,
        wall_offset_s: float,
    ) -> None:
        self.own = own
        self.wall_offset_s = wall_offset_s
        self.directory = members.Directory()
        self.facts = facts.FactTable()
        self.gossip = gossip.Gossip()
        self.catch_up = gossip_repair.GossipRepair()
        self.watch = failure_detector.FailureDetector(own.host, rng)
        self.neighbours = overlay.Overlay(own, self.directory)
        self.on_member: Callable[[members.Member], None] = ignore
        self.on_fact: Callable[[facts.Fact], None] = ignore
        self.listed: dict[str, str] = {}
        self.joined = False
        self.born = 0.0
        self.replaced = False

    def wall_ms(self, now: float) -> int:
        """Return wall-clock milliseconds."""
        return int((now + self.wall_offset_s) * 1000)

    @property
    def digest(self) -> int:
        """Digest of all entries and facts."""
        total = 0
        for digest in (*self.directory.buckets, *self.facts.buckets):
            total ^= digest
        return total

    def change(self, now: float, **fields: Any) -> None:
        """Change this member's own entry."""
        number = self.own.incarnation + 1
        self.own = msgspec.structs.replace(
            self.own, incarnation=number, **fields
        )
        if not self.replaced:
            self.put(self.own, now)

    def refute(self, member: members.Member, now: float) -> None:
        """Contradict what others hold of this member.

        Two processes of one name would contradict each other for ever;
        the one that started later wins. One that has only just started
        contradicts whatever its name left behind, so that a clock that
        is behind does not make it give way to a process that is gone.
        """
        grown = self.joined and now - self.born > NEWBORN_S
        if member.started > self.own.started and grown:
            self.replaced = True
            self.put(member, now)
            return
        number = max(self.own.incarnation, member.incarnation)
        self.own = msgspec.structs.replace(self.own, incarnation=number)
        self.change(now)

    def put(
        self, member: members.Member, now: float, source: str = ""
    ) -> None:
        """Hold an entry, tell neighbours and whoever listens."""
        held = self.directory.members.get(member.name)
        if held is not None and held.revision > member.revision:
            member = msgspec.structs.replace(member, revision=held.revision)
        self.directory.put(member, now)
        if member.status is members.Status.SUSPECT:
            watching = member.name in self.watch.due_at
            self.watch.suspected(member.name, watching, now)
        else:
            self.watch.cleared(member.name)
        if held is None or held.dead != member.dead:
            self.neighbours.place(member)
        self.gossip.add(member.name, source)
        self.on_member(member)

    def merge_member(
        self, member: members.Member, now: float, source: str = ""
    ) -> bool:
        """Take an entry in; return whether it was new."""
        if member.name == self.own.name and not self.replaced:
            if member.version > self.own.version:
                self.refute(member, now)
            return False
        if self.directory.newer(member):
            self.put(member, now, source)
            return True
        held = self.directory.members.get(member.name)
        if held is not None and held.version == member.version:
            self.gossip.discard(source, member.name)
        return False

    def merge_fact(
        self, fact: facts.Fact, now: float, source: str = ""
    ) -> bool:
        """Take a fact in; return whether it was new."""
        if self.facts.take(fact, self.wall_ms(now)):
            self.gossip.add(fact.name, source)
            self.on_fact(fact)
            return True
        held = self.facts.facts.get(fact.name)
        if held is not None and held.order == fact.order:
            self.gossip.discard(source, fact.name)
        return False

    def apply_gossip(
        self,
        news: gossip.News | antientropy.SyncReply,
        now: float,
        source: str,
    ) -> bool:
        """Take all in; return whether anything was new."""
        fresh = [self.merge_member(m, now, source) for m in news.entries]
        fresh += [self.merge_fact(f, now, source) for f in news.known]
        return any(fresh)

    def mark(self, name: str, status: members.Status, now: float) -> None:
        """Give a member a later status at its incarnation."""
        held = self.directory.members.get(name)
        if held is None:
            return
        worse = msgspec.structs.replace(held, status=status)
        if self.directory.newer(worse):
            self.put(worse, now)

    def settle(self, now: float) -> None:
        """Find anew whom to watch and whom to tell, if hosts moved."""
        if not self.neighbours.moved:
            return
        self.neighbours.moved = False
        self.watch.set_targets(self.neighbours.watched(), now)
        targets = self.neighbours.gossip_targets()
        for name in sorted(targets - self.gossip.neighbours):
            self.gossip.add_for(name, self.own.name)
            self.catch_up.owe(name, now)
        self.gossip.set_neighbours(targets)

    def news_of(self, keys: Iterable[str]) -> gossip.News:
        """Return what is held of these keys now."""
        # Only the key of a fact has a space.
        held = [self.directory.members.get(k) for k in keys if " " not in k]
        known = [self.facts.facts.get(k) for k in keys if " " in k]
        return gossip.News(
            tuple(m.trimmed() for m in held if m is not None),
            tuple(f for f in known if f is not None),
        )

    def is_gone(self, host: str, started: int = 0) -> bool:
        """Return whether a host, or one member of it, is gone for good.

        That it is dead for its watchers is not enough: hosts that cannot
        reach each other would take from each other what both hold. So it
        must have said that it leaves, or the platform's list must say
        that it is gone, or a later process must bear its name.

        Args:
          host: Name of a host, or ``HOST/PROGRAM``.
          started: Incarnation of the process meant, if one is.
        """
        name, _, program = host.partition("/")
        held = [
            self.directory.members[each]
            for each in self.directory.by_host.get(name, ())
            if program in ("", each.partition("/")[2])
        ]
        if held and all(
            (m.dead and m.left) or 0 < started < m.started for m in held
        ):
            return True
        # The list lags, and a replacement may bear the name of the host
        # that it still calls gone.
        well = any(m.status is members.Status.ALIVE for m in held)
        return self.listed.get(name) == "gone" and not well
