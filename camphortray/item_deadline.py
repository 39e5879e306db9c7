"""Time limits of an item, from the age of its job and its route."""

__all__ = ["ItemDeadline", "RETENTION_SLACK_S"]


import msgspec

from camphortray import clock as clocks
from camphortray import routemap

# Seconds beyond the retention period after which an item is abandoned: the
# clocks of hosts differ, and an item must not be abandoned early.
RETENTION_SLACK_S = 4.0
# Seconds before the time limit of a run from which its engine may already have
# ended it: allows for network latency and clock drift.
RUN_LIMIT_SLACK_S = 0.25


class ItemDeadline(msgspec.Struct, frozen=True):
    """Time limits of the items of one job.

    Attributes:
      clock: Source of the time of day.
      taken_at: When the job was accepted, in seconds since 1970.
    """

    clock: clocks.Clock
    taken_at: float

    def age_s(self) -> float:
        """Return the seconds since the job was accepted."""
        return self.clock.wall() - self.taken_at

    def due_s(self, route: routemap.Route) -> float:
        """Return the seconds until items are due; negative if overdue."""
        return (route.due_s or route.timeout_s) - self.age_s()

    def is_expired(self, route: routemap.Route) -> bool:
        """Return whether the items are old enough to be abandoned."""
        return bool(route.keep_s) and (
            self.age_s() > route.keep_s + RETENTION_SLACK_S
        )

    def run_limit_s(self, route: routemap.Route) -> float | None:
        """Return the time limit for a run in seconds, or None for no limit."""
        if not route.keep_s:
            return None
        return max(1.0, route.keep_s + RETENTION_SLACK_S - self.age_s())

    def run_limit_reached(self, route: routemap.Route) -> bool:
        """Return whether engines may be ending runs for their time limit.

        A run that ends then is no failure of its engine. When it counted as
        one, the items of an old job caused one engine after another to be
        ejected while other items waited.
        """
        return bool(route.keep_s) and (
            self.age_s() > route.keep_s + RETENTION_SLACK_S - RUN_LIMIT_SLACK_S
        )
