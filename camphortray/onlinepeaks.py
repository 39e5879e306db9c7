"""Recent peaks in the number of slots held by online requests."""

__all__ = ["Peak", "SlidingPeaks"]

import collections
import math

import msgspec

# Longest window for which peaks are kept.
MAX_WINDOW_S = 1.0


class Peak(msgspec.Struct, frozen=True):
    """The largest count within a window.

    Attributes:
      count: Number of slots.
      until: When the count ended, or infinity if it still holds.
    """

    count: int
    until: float


class SlidingPeaks:
    """Maxima of a count over sliding windows that end now.

    Attributes:
      steps: Start time and count, in order of time and decreasing in count;
        each counts as a peak until the start of the next.
    """

    def __init__(self) -> None:
        self.steps: collections.deque[tuple[float, int]] = collections.deque()

    def record(self, count: int, now: float) -> None:
        """Record the count from now on."""
        since = now
        while self.steps and self.steps[-1][1] <= count:
            # This step is not above the new count, so it is no longer a
            # maximum. The new step starts where this one did, which is when
            # the higher count before it ended.
            since = self.steps.pop()[0]
        self.steps.append((since, count))
        while len(self.steps) > 1 and self.steps[1][0] <= now - MAX_WINDOW_S:
            self.steps.popleft()

    def within(self, seconds: float, now: float) -> Peak:
        """Return the peak of the last ``seconds``."""
        ends = [since for since, _ in self.steps][1:] + [math.inf]
        for (_, count), until in zip(self.steps, ends, strict=True):
            if until > now - min(seconds, MAX_WINDOW_S):
                return Peak(count, until)
        return Peak(0, math.inf)
