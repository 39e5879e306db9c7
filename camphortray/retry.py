"""How many tries may follow on failed ones."""

__all__ = ["RetryBudget", "RetryRule"]

import collections
import dataclasses

from camphortray import errors

# Retries are counted against the successes of this long, in seconds: long
# enough that streams under way count among the successes.
WINDOW_S = 60.0
# Retries allowed in a window without any success. It covers the loss of
# one upstream with all its slots full; without it a quiet service could
# not move its few streams off a lost upstream.
MIN_RETRIES = 32
BUCKETS = 12


@dataclasses.dataclass(frozen=True, slots=True)
class RetryRule:
    """Which failed tries of one request may be followed by another.

    Attributes:
      repeatable: Whether the request may run more than once.
      most_ran: Tries that may have run, at most.
      most_tries: Tries at most, those certainly not run included.
      final: Statuses of engines that another engine would give too.
    """

    repeatable: bool
    most_ran: int
    most_tries: int
    final: frozenset[int] = frozenset()

    def allows(
        self, error: errors.UpstreamError, ran: int, refused: int
    ) -> bool:
        """Return whether another engine may be tried.

        Args:
          error: How the last try failed.
          ran: Tries that may have run, the last one included.
          refused: Tries that certainly did not.
        """
        if isinstance(error, errors.UpstreamRefused):
            if error.status in self.final:
                return False
        if error.ran and not self.repeatable:
            return False
        return ran < self.most_ran and ran + refused < self.most_tries


class RetryBudget:
    """Allows retries up to a share of recent successes.

    Without it every caller's request becomes several while upstreams are
    out, and the load that keeps them down grows with the failure. With it
    the extra load is at most ``share`` of what lately worked, plus a
    small fixed number.
    """

    def __init__(self, share: float) -> None:
        self.share = share
        self.buckets: collections.deque[list[float]] = collections.deque()

    def bucket(self, now: float) -> list[float]:
        """Return the counts of the present slice of time."""
        start = now - now % (WINDOW_S / BUCKETS)
        if not self.buckets or self.buckets[-1][0] < start:
            self.buckets.append([start, 0.0, 0.0])
        while self.buckets[0][0] <= now - WINDOW_S:
            self.buckets.popleft()
        return self.buckets[-1]

    def succeeded(self, now: float) -> None:
        """Count an answer that began well."""
        self.bucket(now)[1] += 1

    def allow(self, now: float) -> bool:
        """Return whether one more retry fits, and count it if so."""
        current = self.bucket(now)
        successes = sum(bucket[1] for bucket in self.buckets)
        retries = sum(bucket[2] for bucket in self.buckets)
        if retries + 1 > MIN_RETRIES + self.share * successes:
            return False
        current[2] += 1
        return True
