"""Adaptive limit on one host's concurrent requests to a service."""

__all__ = ["Window"]

import math

# Initial limit relative to an even share of the slots. It is above 1, as
# callers are not spread evenly over the hosts.
INITIAL_SHARE_FACTOR = 2.0
# Weight of a new measurement in the moving average of the service time.
SERVICE_TIME_WEIGHT = 0.1
# Factor of a multiplicative decrease of the limit.
DECREASE_FACTOR = 0.8
# Shortest time between two decreases: the effect of a decrease shows only in
# later requests.
MIN_DECREASE_INTERVAL_S = 1.0
# Assumed service time until one has been measured.
INITIAL_SERVICE_TIME_S = 1.0


class Window:
    """Additive increase and multiplicative decrease by time to first token.

    Attributes:
      size: Largest number of active requests.
      min_size: Lower bound of the size.
      max_size: Upper bound of the size.
      service_time_s: Mean time from the admission of a request to its end.
      decreased_at: Monotonic time of the last decrease.
    """

    def __init__(self) -> None:
        self.size = 0.0
        self.min_size = 1.0
        self.max_size = 1.0
        self.service_time_s = INITIAL_SERVICE_TIME_S
        self.decreased_at = -MIN_DECREASE_INTERVAL_S

    def bound(self, slots: int, hosts: int) -> None:
        """Adjust the bounds to the slots of all upstreams and to the hosts.

        Requests in excess of all slots would queue at an engine, where they
        are not served fairly and cannot be withdrawn.
        """
        share = slots / max(1, hosts)
        self.min_size = max(1.0, share / 2)
        self.max_size = max(self.min_size, float(slots))
        if not self.size:
            self.size = share * INITIAL_SHARE_FACTOR
        self.size = min(max(self.size, self.min_size), self.max_size)

    def has_room(self, active: int) -> bool:
        """Return whether one more request may become active."""
        return active < math.ceil(self.size)

    def first_token(self, now: float, seconds: float, limit_s: float) -> None:
        """Adjust the size by a measured time to first token."""
        if seconds <= limit_s:
            self.size = min(self.max_size, self.size + 1 / max(1.0, self.size))
        elif now - self.decreased_at >= MIN_DECREASE_INTERVAL_S:
            self.decreased_at = now
            self.size = max(self.min_size, self.size * DECREASE_FACTOR)

    def record_service_time(self, seconds: float) -> None:
        """Record the time from the admission of a request to its end."""
        self.service_time_s += SERVICE_TIME_WEIGHT * (
            seconds - self.service_time_s
        )

    def wait_s(self, requests_ahead: float) -> float:
        """Return the expected wait behind ``requests_ahead`` requests."""
        return (requests_ahead + 1) * self.service_time_s / max(1.0, self.size)
