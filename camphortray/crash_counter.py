"""Counts the engines that have crashed while a request was in flight."""

__all__ = ["CrashCounter"]

# Engines that have crashed after which a request is considered the cause. A
# crash also breaks other requests of the engine, and engines lose a response
# now and then, but an innocent request almost never meets three such engines.
MAX_CRASHES = 3
# Seconds for which a crash is counted.
CRASH_TTL_S = 300.0
# Requests remembered; the least recently crashed are dropped first.
MAX_REQUESTS = 10_000


class CrashCounter:
    """Counts crashes, seen as broken responses, by request fingerprint.

    An engine counts once for each of its starts: one that breaks every
    request, and does not crash, says nothing about any of them.
    """

    def __init__(self) -> None:
        self.crashes: dict[str, dict[str, float]] = {}

    def record(self, fingerprint: str, engine: str, now: float) -> None:
        """Record a crash.

        Args:
          fingerprint: Fingerprint of the request.
          engine: Name of the engine's incarnation, which counts once.
          now: Current time.
        """
        crashed_at = self.crashes.pop(fingerprint, {})
        crashed_at.setdefault(engine, now)
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
