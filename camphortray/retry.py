"""Limits on retries: per request, and as a share of successful requests."""

__all__ = ["RetryBudget", "RetryRule"]

import collections

import msgspec

from camphortray import errors

# Window in which retries are counted against successes. It is long enough
# that streams still running count among the successes.
WINDOW_S = 60.0
# Retries allowed in a window without any success. This covers the loss of
# one upstream with all its slots in use; without it a service with little
# traffic could not move its few streams off a lost upstream.
MIN_RETRIES = 32
# Number of buckets of equal length into which the window is divided.
BUCKETS = 12


class RetryRule(msgspec.Struct, frozen=True):
    """Decides whether a failed attempt of a request may be retried.

    Attributes:
      repeatable: Whether the request may run more than once.
      max_ran: Limit on attempts that may have run.
      max_attempts: Limit on all attempts, those that did not run included.
      final: Statuses that any other engine would return too.
    """

    repeatable: bool
    max_ran: int
    max_attempts: int
    final: frozenset[int] = frozenset()

    def allows(
        self, error: errors.UpstreamError, ran: int, refused: int
    ) -> bool:
        """Return whether another engine may be tried.

        Args:
          error: How the last attempt failed.
          ran: Number of attempts that may have run, with the last one.
          refused: Number of attempts that certainly did not run.
        """
        if isinstance(error, errors.UpstreamRefused):
            if error.status in self.final:
                return False
        if error.ran and not self.repeatable:
            return False
        return ran < self.max_ran and ran + refused < self.max_attempts


class RetryBudget:
    """Allows retries up to a share of recent successes.

    Without it each request turns into several while upstreams are down,
    and that load keeps them down. With it the extra load is at most
    ``share`` of the recent successes, plus ``MIN_RETRIES``.
    """

    def __init__(self, share: float) -> None:
        self.share = share
        self.buckets: collections.deque[list[float]] = collections.deque()

    def bucket(self, now: float) -> list[float]:
        """Return the current bucket: start, successes and retries."""
        start = now - now % (WINDOW_S / BUCKETS)
        if not self.buckets or self.buckets[-1][0] < start:
            self.buckets.append([start, 0.0, 0.0])
        while self.buckets[0][0] <= now - WINDOW_S:
            self.buckets.popleft()
        return self.buckets[-1]

    def succeeded(self, now: float) -> None:
        """Count a success."""
        self.bucket(now)[1] += 1

    def fits(self, now: float) -> bool:
        """Return whether one more retry fits."""
        self.bucket(now)
        successes = sum(bucket[1] for bucket in self.buckets)
        retries = sum(bucket[2] for bucket in self.buckets)
        return retries + 1 <= MIN_RETRIES + self.share * successes

    def allow(self, now: float) -> bool:
        """Return whether one more retry fits, and count it if so."""
        if not self.fits(now):
            return False
        self.bucket(now)[2] += 1
        return True
