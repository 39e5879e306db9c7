"""Decides when an item may test whether a quarantine is right.

Sound requests may share a segment and meet several crashes by chance. Nothing
would then clear the segment, as no request with it runs. Items are owed, so
that one at a time is run once engines have been calm; its answer ends the
quarantine, a further crash doubles the wait.
"""

__all__ = ["ProbeSchedule"]

# Seconds without a crash under a segment before the first probe; doubled by
# each probe that ends in one, up to the maximum.
CALM_S = 8.0
MAX_CALM_S = 600.0
# Seconds within which a probe shows something, and by which the clocks of
# hosts may differ.
PROBE_S = 3.0
TOLERANCE_S = 0.1
# Delay in seconds of hosts that are not the first to probe, from and to.
DELAY_S = (1.0, 3.0)
# Seconds from one look at whether a probe is due to the next.
LOOK_S = 0.2
# Probes that are remembered.
MAX_PROBES = 16


class ProbeSchedule:
    """Probes of one quarantine, by all hosts; times in wall-clock seconds.

    Attributes:
      begun_at: Time of the last crash that led to the quarantine.
      delay_s: Delay of this host if it is not the first to probe, in seconds.
      probes: Times of the probes, in order.
      look_at: When to look again whether a probe is due.
    """

    def __init__(self, begun_at: float, delay_s: float) -> None:
        self.begun_at = begun_at
        self.delay_s = delay_s
        self.probes: list[float] = []
        self.look_at = 0.0

    def looks(self, now: float) -> bool:
        """Return whether to look whether a probe is due."""
        if now < self.look_at:
            return False
        self.look_at = now + LOOK_S
        return True

    def record(self, at: float) -> None:
        """Record a probe."""
        if at not in self.probes:
            self.probes = sorted([*self.probes, at])[-MAX_PROBES:]

    def is_due(self, crashes: list[float], now: float) -> bool:
        """Return whether a probe may begin.

        Args:
          crashes: Times of the crashes under the segments.
          now: Present time.
        """
        if self.probes and now < self.probes[-1] + PROBE_S:
            return False
        failed = sum(self.failed(probe, crashes) for probe in self.probes)
        calm_s = min(MAX_CALM_S, CALM_S * 2**failed)
        return now >= max([self.begun_at, *crashes]) + calm_s

    def failed(self, probe: float, crashes: list[float]) -> bool:
        """Return whether an engine crashed under a probe."""
        first, last = probe - TOLERANCE_S, probe + PROBE_S
        return any(first <= at <= last for at in crashes)
