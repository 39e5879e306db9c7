"""Counts how often a request was in flight when an engine crashed."""

__all__ = ["CrashCounter"]

# Crashes after which a request is considered the cause. A crash also breaks
# other requests of the engine, and engines lose a response now and then, but
# an innocent request almost never meets three of these by chance.
MAX_CRASHES = 3
# Seconds for which a crash is counted.
CRASH_TTL_S = 300.0
# Requests remembered; the least recently crashed are dropped first.
MAX_REQUESTS = 10_000


class CrashCounter:
    """Counts crashes, seen as broken responses, by request fingerprint."""

    def __init__(self) -> None:
        self.crashes: dict[str, dict[str, float]] = {}

    def record(self, fingerprint: str, name: str, now: float) -> None:
        """Record a crash.

        Args:
          fingerprint: Fingerprint of the request.
          name: Unique name of the crash; repeated reports count once.
          now: Current time.
        """
        crashed_at = self.crashes.pop(fingerprint, {})
        crashed_at.setdefault(name, now)
        self.crashes[fingerprint] = crashed_at
        while len(self.crashes) > MAX_REQUESTS:
            del self.crashes[next(iter(self.crashes))]

    def count(self, fingerprint: str, now: float) -> int:
        """Return the number of recent crashes of a request."""
        crashed_at = self.crashes.get(fingerprint, {})
        return sum(now - at < CRASH_TTL_S for at in crashed_at.values())

    def barred(self, fingerprint: str, now: float) -> bool:
        """Return whether a request must not be run again."""
        return self.count(fingerprint, now) >= MAX_CRASHES
