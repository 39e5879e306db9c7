"""How many tries may follow on failed ones."""

__all__ = ["RetryBudget"]

import collections

# Retries are counted against the successes of this long, in seconds: long
# enough that streams under way count among the successes.
WINDOW_S = 60.0
# Retries allowed in a window without any success. It covers the loss of
# one upstream with all its slots full; without it a quiet service could
# not move its few streams off a lost upstream.
MIN_RETRIES = 32
BUCKETS = 12


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
