"""How much time an item has, by the age of its job and by its route."""

__all__ = ["ItemDeadline", "KEEP_SLACK_S"]

import dataclasses

from camphortray import clock as clocks
from camphortray import routemap

# Seconds beyond the keeping time after which an item is given up: clocks
# of hosts differ, and too early would be wrong.
KEEP_SLACK_S = 4.0
# Seconds before the end of its time from which a run that breaks off may have
# been ended by its engine for that; the way there and the clocks' pace.
DEADLINE_SLACK_S = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class ItemDeadline:
    """The time of the items of one job.

    Attributes:
      clock: Tells the time of day.
      taken_at: When the job was accepted, in seconds since 1970.
    """

    clock: clocks.Clock
    taken_at: float

    def age_s(self) -> float:
        """Return the seconds since the job was accepted."""
        return self.clock.wall() - self.taken_at

    def due_s(self, route: routemap.Route) -> float:
        """Return the seconds until items are due; negative once they were."""
        return (route.due_s or route.timeout_s) - self.age_s()

    def is_over(self, route: routemap.Route) -> bool:
        """Return whether an item may be given up for its age."""
        return bool(route.keep_s) and (
            self.age_s() > route.keep_s + KEEP_SLACK_S
        )

    def left_s(self, route: routemap.Route) -> float | None:
        """Return the seconds that an engine gets for a run; None for any."""
        if not route.keep_s:
            return None
        return max(1.0, route.keep_s + KEEP_SLACK_S - self.age_s())

    def ends_runs(self, route: routemap.Route) -> bool:
        """Return whether engines end runs now, as their time is over.

        That says nothing of an engine. Held against it, the items of an
        old job ejected one engine after the other while others waited.
        """
        return bool(route.keep_s) and (
            self.age_s() > route.keep_s + KEEP_SLACK_S - DEADLINE_SLACK_S
        )
