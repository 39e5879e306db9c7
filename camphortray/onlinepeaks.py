"""How many slots online requests have held at once, of late."""

__all__ = ["Peak", "Peaks"]

import collections
import dataclasses
import math

# Longest look back, in seconds.
KEEP_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Peak:
    """The most slots in use within a time.

    Attributes:
      count: Slots.
      until: When they were last in use, or infinity if they still are.
    """

    count: int
    until: float


class Peaks:
    """The count as it went, as far as it can still be a peak.

    Attributes:
      held: Time from which on a count held, and the count; later ones are
        lower, and each held until the next began.
    """

    def __init__(self) -> None:
        self.held: collections.deque[tuple[float, int]] = collections.deque()

    def note(self, count: int, now: float) -> None:
        """Take the count as it is from now on."""
        since = now
        while self.held and self.held[-1][1] <= count:
            # Lower, and followed by more: it can be a peak no longer. The
            # higher one before it ended when it began.
            since = self.held.pop()[0]
        self.held.append((since, count))
        while len(self.held) > 1 and self.held[1][0] <= now - KEEP_S:
            self.held.popleft()

    def within(self, seconds: float, now: float) -> Peak:
        """Return the peak of the last so many seconds."""
        ends = [since for since, _ in self.held][1:] + [math.inf]
        for (_, count), until in zip(self.held, ends, strict=True):
            if until > now - min(seconds, KEEP_S):
                return Peak(count, until)
        return Peak(0, math.inf)
