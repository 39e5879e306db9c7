"""Requests at which engines broke off again and again."""

__all__ = ["CrashCounter"]

# Crashes at which a request counts as the cause. Engines that crash take
# other requests with them, and some lose an answer now and then: one
# request meets three of these by chance about never.
MOST_BREAKS = 3
# Seconds for which a break is remembered.
KEEP_S = 300.0
# Requests remembered, the oldest are dropped first.
MAX_REQUESTS = 10_000


class CrashCounter:
    """Counts breaks by what tells a request from others."""

    def __init__(self) -> None:
        self.breaks: dict[str, dict[str, float]] = {}

    def note(self, fingerprint: str, name: str, now: float) -> None:
        """Take note of a break.

        Args:
          fingerprint: Of the request.
          name: Unique for each break, however often it is told.
          now: Present time.
        """
        held = self.breaks.pop(fingerprint, {})
        held.setdefault(name, now)
        self.breaks[fingerprint] = held
        while len(self.breaks) > MAX_REQUESTS:
            del self.breaks[next(iter(self.breaks))]

    def count(self, fingerprint: str, now: float) -> int:
        """Return the breaks that still count."""
        held = self.breaks.get(fingerprint, {})
        return sum(now - at < KEEP_S for at in held.values())

    def barred(self, fingerprint: str, now: float) -> bool:
        """Return whether a request is not to be run again."""
        return self.count(fingerprint, now) >= MOST_BREAKS
