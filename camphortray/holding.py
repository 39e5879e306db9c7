"""Batch slots that this host has been granted, and which it must give up."""

__all__ = ["Holding", "Holdings"]

from collections.abc import Iterator
import dataclasses
from typing import Generic
from typing import TypeVar

T = TypeVar("T")


@dataclasses.dataclass(slots=True)
class Holding(Generic[T]):
    """Slots on one upstream.

    Attributes:
      granted: How many may be in use.
      until: When the grant ends.
      used: Those in use, the oldest first.
      yielding: Those told to stop that have not been given back.
      pace_s: Least seconds from one slot taken to the next.
      next_at: Before this no further slot is taken.
    """

    granted: int = 0
    until: float = 0.0
    used: list[T] = dataclasses.field(default_factory=list)
    yielding: list[T] = dataclasses.field(default_factory=list)
    pace_s: float = 0.0
    next_at: float = 0.0


class Holdings(Generic[T]):
    """Grants and slots of all upstreams."""

    def __init__(self) -> None:
        self.holdings: dict[str, Holding[T]] = {}

    def of(self, upstream: str) -> Holding[T]:
        """Return the slots on an upstream."""
        return self.holdings.setdefault(upstream, Holding())

    def grant(
        self,
        now: float,
        upstream: str,
        slots: int,
        seconds: float,
        pace_s: float = 0.0,
    ) -> list[T]:
        """Take a grant; return the slots to give up."""
        holding = self.of(upstream)
        holding.pace_s = pace_s
        holding.granted = slots
        holding.until = now + seconds
        return self.excess(holding)

    def stood_still(self, now: float, seconds: float) -> None:
        """Let grants hold for some time more after a pause of this process.

        Their renewals lie unread, or could not be asked for. Given up
        unheard, all items would be sent again at once, to engines that read
        their prompts anew, for a pause in which nobody had taken a slot
        away. The time is for one question and its answer; a coordinator that
        has given the slots to others says so in it.

        Args:
          now: Present time.
          seconds: Least time that grants hold from now on.
        """
        for holding in self.holdings.values():
            if holding.granted:
                holding.until = max(holding.until, now + seconds)

    def lapse(self, now: float) -> list[T]:
        """Return the slots to give up because their grant ended."""
        lost: list[T] = []
        for holding in self.holdings.values():
            if holding.until <= now:
                holding.granted = 0
                lost += self.excess(holding)
        return lost

    def excess(self, holding: Holding[T]) -> list[T]:
        """Mark the youngest slots above the grant as yielding.

        The youngest have made the fewest tokens, so that reading prompt
        and tokens again costs least; and those whose prompt is being read
        right now are what makes the engine's steps long.
        """
        kept = max(0, holding.granted)
        lost = holding.used[kept:]
        del holding.used[kept:]
        holding.yielding += lost
        return lost

    def free(self, now: float, upstream: str) -> int:
        """Return how many more slots may be taken."""
        holding = self.of(upstream)
        if holding.until <= now or now < holding.next_at:
            return 0
        # A slot told to stop is still busy at the engine.
        busy = len(holding.used) + len(holding.yielding)
        return max(0, holding.granted - busy)

    def next_free_at(self) -> float | None:
        """Return when the pace allows the next granted slot, if one is."""
        times = [
            holding.next_at
            for holding in self.holdings.values()
            if holding.granted > len(holding.used) + len(holding.yielding)
        ]
        return min(times, default=None)

    def take(self, now: float, upstream: str, slot: T) -> None:
        """Count a slot as in use."""
        holding = self.of(upstream)
        holding.used.append(slot)
        holding.next_at = now + holding.pace_s

    def give_back(self, upstream: str, slot: T) -> None:
        """Count a slot as free."""
        holding = self.of(upstream)
        for slots in (holding.used, holding.yielding):
            if slot in slots:
                slots.remove(slot)
                return

    def in_use(self) -> Iterator[tuple[str, int]]:
        """Yield upstreams on which slots are in use and how many."""
        for name, holding in self.holdings.items():
            if holding.used or holding.yielding:
                yield name, len(holding.used) + len(holding.yielding)
