"""Decides whether a host offers itself as an owner of partitions."""

__all__ = ["OwnerCandidates"]

from collections.abc import Iterable

from camphortray import shards

# Candidates for each partition, and the fewest of all. Each change of the
# group of owners may move partitions, so that hosts which would own nothing
# must not come and go in it.
CANDIDATES_PER_PARTITION = 2
MIN_CANDIDATES = 16
# A candidate stays one until this many times as many hosts go before it.
STAY_FACTOR = 1.5
# Time for which a host that found partitions without an owner offers itself
# whatever its rank, in seconds.
UNOWNED_S = 10.0


class OwnerCandidates:
    """Ranks hosts by rendezvous hash; the first ones offer themselves.

    Attributes:
      own_name: Name of this host's member.
      count: Number of candidates.
      unowned_at: When partitions were last found without an owner.
    """

    def __init__(self, own_name: str, partitions: int, now: float) -> None:
        self.own_name = own_name
        self.count = max(MIN_CANDIDATES, CANDIDATES_PER_PARTITION * partitions)
        self.unowned_at = now - UNOWNED_S

    def note_unowned(self, now: float) -> None:
        """Take note that partitions have no owner."""
        self.unowned_at = now

    def offers(
        self, names: Iterable[str], known: bool, member: bool, now: float
    ) -> bool:
        """Return whether this host is to be a member of the group.

        Args:
          names: Members of all hosts that may be candidates.
          known: Whether these are known yet.
          member: Whether it is one now.
          now: Seconds of the monotonic clock.
        """
        if now - self.unowned_at < UNOWNED_S:
            return True
        if not known:
            return False
        most = self.count * STAY_FACTOR if member else self.count
        own = shards.score("job-owner", self.own_name)
        before = sum(shards.score("job-owner", name) > own for name in names)
        return before < most
