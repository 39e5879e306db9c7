"""How many requests of a service one host has at upstreams at once."""

__all__ = ["Window"]

import math

# Factor on a host's even share of the slots, as callers spread unevenly.
SPREAD = 2.0
# Weight of a new measurement in the running means.
NEW = 0.1
CUT = 0.8
# Least seconds between two cuts: a cut shows only in later requests.
CUT_EVERY_S = 1.0
# Seconds an answer is taken to last before one was measured.
FIRST_GUESS_S = 1.0


class Window:
    """Additive increase and multiplicative decrease by time to first token.

    Attributes:
      size: Requests that may be inside.
      held_s: Mean seconds a request stays inside.
    """

    def __init__(self) -> None:
        self.size = 0.0
        self.low = 1.0
        self.high = 1.0
        self.held_s = FIRST_GUESS_S
        self.cut_at = -CUT_EVERY_S

    def bound(self, slots: int, hosts: int) -> None:
        """Fit the window to the slots of all upstreams and to the hosts.

        More than all slots would queue at an engine, which is not fair
        and cannot be called back.
        """
        share = slots / max(1, hosts)
        self.low = max(1.0, share / 2)
        self.high = max(self.low, float(slots))
        if not self.size:
            self.size = share * SPREAD
        self.size = min(max(self.size, self.low), self.high)

    def room(self, inside: int) -> bool:
        """Return whether one more may go in."""
        return inside < math.ceil(self.size)

    def first_token(self, now: float, seconds: float, limit_s: float) -> None:
        """Steer by a measured time to first token and its objective."""
        if seconds <= limit_s:
            self.size = min(self.high, self.size + 1 / max(1.0, self.size))
        elif now - self.cut_at >= CUT_EVERY_S:
            self.cut_at = now
            self.size = max(self.low, self.size * CUT)

    def left(self, seconds: float) -> None:
        """Take note of how long a request was inside."""
        self.held_s += NEW * (seconds - self.held_s)

    def wait_s(self, ahead: float) -> float:
        """Return the expected wait behind so many others."""
        return (ahead + 1) * self.held_s / max(1.0, self.size)
