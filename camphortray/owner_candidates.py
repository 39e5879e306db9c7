"""Decides whether a host is a candidate for owning partitions."""

__all__ = ["OwnerCandidates"]

from collections.abc import Iterable

from camphortray import shards

# Candidates for each partition, and the minimum in total. Each change of the
# group of owners may move partitions, so hosts that would own none should not
# join and leave it.
CANDIDATES_PER_PARTITION = 2
MIN_CANDIDATES = 16
# A member of the group remains a candidate up to this multiple of the number
# of candidates, so that small changes of rank do not change the group.
STAY_FACTOR = 1.5
# Time for which a host that has found partitions without an owner is a
# candidate regardless of its rank.
UNOWNED_CANDIDACY_S = 10.0


class OwnerCandidates:
    """Ranks hosts by rendezvous hash; those ranked first are candidates.

    Attributes:
      own_name: Member name of this host.
      count: Number of candidates.
      unowned_at: Monotonic time at which partitions were last found without
        an owner.
    """

    def __init__(self, own_name: str, partitions: int, now: float) -> None:
        self.own_name = own_name
        self.count = max(MIN_CANDIDATES, CANDIDATES_PER_PARTITION * partitions)
        self.unowned_at = now - UNOWNED_CANDIDACY_S

    def note_unowned(self, now: float) -> None:
        """Record that partitions were found without an owner."""
        self.unowned_at = now

    def should_join(
        self, names: Iterable[str], known: bool, member: bool, now: float
    ) -> bool:
        """Return whether this host is to be a member of the group.

        Args:
          names: Member names of all hosts that may be candidates.
          known: Whether the list of these hosts is known yet.
          member: Whether this host is a member of the group now.
          now: Monotonic time.
        """
        if now - self.unowned_at < UNOWNED_CANDIDACY_S:
            return True
        if not known:
            return False
        limit = self.count * STAY_FACTOR if member else self.count
        own_score = shards.score("job-owner", self.own_name)
        rank = sum(
            shards.score("job-owner", name) > own_score for name in names
        )
        return rank < limit
