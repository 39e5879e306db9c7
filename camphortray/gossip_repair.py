"""Which neighbours may lack news, and when to ask them what they lack."""

__all__ = ["GossipRepair"]

from collections.abc import Iterable

import msgspec

# Seconds until a neighbour that did not answer is asked again; doubles up to
# the second number, within which one that has stood still has all again. A
# question is 256 bytes, and one that is gone is no neighbour after some 5 s.
RETRY_S = 0.25
MAX_RETRY_S = 1.0


class Debt(msgspec.Struct):
    """When a neighbour is asked next."""

    at: float
    pause_s: float = RETRY_S


class GossipRepair:
    """Neighbours that may lack news.

    News goes once to each neighbour there is at that moment. What was told
    before a member became a neighbour, and what was dropped as the neighbour
    did not answer, it would hear of only when a probe shows that the digests
    differ, seconds later: long enough for a caller to be refused, as this
    host tells who owns a partition of jobs and the neighbour still sends
    their callers elsewhere. So each of these neighbours is asked at once what
    differs, until it has answered: one exchange of digests for each, however
    much was missed.

    Attributes:
      debts: By neighbour.
    """

    def __init__(self) -> None:
        self.debts: dict[str, Debt] = {}

    def owe(self, name: str, now: float) -> None:
        """Take note that a neighbour may lack something."""
        self.debts.setdefault(name, Debt(now))

    def paid(self, name: str) -> None:
        """Take note that a neighbour has told what differs."""
        self.debts.pop(name, None)

    def due(self, neighbours: Iterable[str], now: float) -> list[str]:
        """Return whom to ask now; forget who is no neighbour any more."""
        for name in self.debts.keys() - set(neighbours):
            del self.debts[name]
        names = [name for name, debt in self.debts.items() if debt.at <= now]
        for name in names:
            debt = self.debts[name]
            debt.at = now + debt.pause_s
            debt.pause_s = min(debt.pause_s * 2, MAX_RETRY_S)
        return names
