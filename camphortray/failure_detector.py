"""Watches other members: when to probe, when to doubt, when to suspect.

One watcher's doubt proves nothing: the fault may be its own, or on the
way between the two. So a member becomes suspected by the doubts of two
watchers on two hosts, or of one and the platform's list; and it is held
for dead only if it does not refute the suspicion in time.
"""

__all__ = ["Doubt", "FailureDetector"]

import random

import msgspec

from camphortray import messages

# Seconds from one probe of a member to the next by the same watcher.
PROBE_S = 2.0
# Seconds for which a doubt counts.
DOUBT_S = 10.0
# Seconds until a doubt is told again; doubles up to the second number. A
# way that is broken for one watcher only must not cost traffic for ever.
RETELL_S = 4.0
MAX_RETELL_S = 120.0
# Seconds a suspected member has to refute.
SUSPECT_S = 3.0
# Seconds by which hosts that do not watch it wait longer, so that as a
# rule the watchers alone spread the news.
BYSTANDER_S = 2.0


@messages.message("doubt")
class Doubt(msgspec.Struct, frozen=True):
    """A watcher's word that it cannot reach a member.

    Attributes:
      name: The member.
      incarnation: Which it was probed at.
    """

    name: str
    incarnation: int


class Retell(msgspec.Struct):
    """When a doubt that still holds is told again."""

    at: float
    pause_s: float = RETELL_S


class FailureDetector:
    """What one watcher knows of those it watches.

    Attributes:
      due_at: When each watched member is probed next, by name.
      doubts: By member, then by the host that doubts: when, and at which
        incarnation.
      dead_at: When each suspected member is held for dead, by name.
    """

    def __init__(self, host: str, rng: random.Random) -> None:
        self.host = host
        self.rng = rng
        self.due_at: dict[str, float] = {}
        self.doubts: dict[str, dict[str, tuple[float, int]]] = {}
        self.retells: dict[str, Retell] = {}
        self.dead_at: dict[str, float] = {}

    def set_targets(self, names: set[str], now: float) -> None:
        """Watch these members, spread evenly over the interval."""
        for name in self.due_at.keys() - names:
            del self.due_at[name]
            self.retells.pop(name, None)
        for name in sorted(names - self.due_at.keys()):
            self.due_at[name] = now + self.rng.random() * PROBE_S

    def due(self, now: float) -> list[str]:
        """Return the members to probe now."""
        names = [name for name, at in self.due_at.items() if at <= now]
        for name in names:
            # The next probe keeps its phase, unless this host was held up.
            after = self.due_at[name] + PROBE_S
            self.due_at[name] = max(after, now + PROBE_S / 2)
        return names

    def reached(self, name: str) -> None:
        """Take back this host's doubt."""
        self.doubts.get(name, {}).pop(self.host, None)
        self.retells.pop(name, None)

    def doubt(self, name: str, host: str, incarnation: int, now: float) -> int:
        """Note a doubt; return how many hosts doubt that incarnation.

        Only when this host is among them does the number count: it says
        nothing about a member that it can reach.
        """
        held = self.doubts.setdefault(name, {})
        held[host] = (now, incarnation)
        fresh = [
            by
            for by, (at, number) in held.items()
            if now - at <= DOUBT_S and number == incarnation
        ]
        return len(fresh) if self.host in fresh else 0

    def announces(self, name: str, now: float) -> bool:
        """Return whether the doubt is to be told to the others now."""
        held = self.retells.get(name)
        if held is None:
            self.retells[name] = Retell(now + RETELL_S)
            return True
        if now < held.at:
            return False
        held.pause_s = min(held.pause_s * 2, MAX_RETELL_S)
        held.at = now + held.pause_s
        return True

    def suspected(self, name: str, watching: bool, now: float) -> None:
        """Give a suspected member its time to refute."""
        wait_s = SUSPECT_S if watching else SUSPECT_S + BYSTANDER_S
        self.dead_at.setdefault(name, now + wait_s)

    def cleared(self, name: str) -> None:
        """Forget suspicion and doubts of a member that is well or gone."""
        self.dead_at.pop(name, None)
        self.doubts.pop(name, None)
        self.retells.pop(name, None)

    def ripe(self, now: float) -> list[str]:
        """Return the members whose time to refute is over."""
        names = [name for name, at in self.dead_at.items() if at <= now]
        for name in names:
            del self.dead_at[name]
        return names

    def shift(self, seconds: float) -> None:
        """Move all times on, after this host itself was paused.

        What others sent meanwhile lies unread: a refutation may be among
        it, and answers to its probes that look late are not.
        """
        for name in self.dead_at:
            self.dead_at[name] += seconds
        self.doubts.clear()
