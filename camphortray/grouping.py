"""Groups what is to be appended, so that the fleet keeps to its budget.

The log takes a few hundred appends a second from all hosts together. Each
writer therefore appends once an interval at most, and the interval grows
with the number of writers.
"""

__all__ = [
    "Grouper",
    "Limits",
    "RESULTS_DELAY_S",
    "RESULTS_TARGET",
    "flush_interval",
]

import collections
import dataclasses
from typing import Generic
from typing import TypeVar

from camphortray import config as configs

T = TypeVar("T")

# Share of the budget for grouped appends; the rest is for ownership,
# settings, snapshots and records that cannot wait.
GROUPED_SHARE = 0.8
# Results of items for which an append is worth its price, and the longest
# that one waits for others, in seconds. A lost host runs again what it had
# not written; at 32 items a second in a shard this keeps under 0.02
# appends an item (bench/appends.py).
RESULTS_TARGET = 64
RESULTS_DELAY_S = 2.0
# Bytes of a record left for what encloses the items.
OVERHEAD_BYTES = 1024


def flush_interval(writers: int, budget: float, min_flush_s: float) -> float:
    """Return seconds from one append of a writer to its next.

    Args:
      writers: Streams, over the whole fleet, in which somebody may now
        group appends; each stream has one such host at a time.
      budget: Appends a second for the whole fleet.
      min_flush_s: Shortest interval.

    >>> flush_interval(24, 300.0, 0.05)
    0.1
    """
    return max(min_flush_s, writers / (budget * GROUPED_SHARE))


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """When a group is full enough.

    Attributes:
      interval_s: From one append to the next.
      record_bytes: Most bytes of items in one append.
      target: Items for which it is worth to append; fewer wait on.
      max_delay_s: Longest that an item waits for others.
    """

    interval_s: float
    record_bytes: int
    target: int = 1
    max_delay_s: float = 0.0

    @classmethod
    def from_config(
        cls,
        config: configs.Config,
        target: int = 1,
        max_delay_s: float = 0.0,
    ) -> "Limits":
        """Build for a deployment: every shard may have a writer."""
        streams, count = config.streams, config.shards
        return cls(
            flush_interval(
                count.jobs + count.calls + count.orders,
                streams.append_budget,
                streams.min_flush_s,
            ),
            streams.record_limit_bytes - OVERHEAD_BYTES,
            target,
            max_delay_s,
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Waiting(Generic[T]):
    """An item that waits to be appended."""

    item: T
    size: int
    since: float


class Grouper(Generic[T]):
    """Items of one stream that wait to be appended together.

    Attributes:
      bytes: Bytes waiting.
    """

    def __init__(self, limits: Limits) -> None:
        self.limits = limits
        self.waiting: collections.deque[Waiting[T]] = collections.deque()
        self.bytes = 0
        self.urgent = False
        self.next_at = float("-inf")

    def __len__(self) -> int:
        return len(self.waiting)

    def add(
        self, item: T, size: int, now: float, urgent: bool = False
    ) -> None:
        """Add an item.

        Args:
          item: What to append.
          size: Its bytes when encoded.
          now: Monotonic seconds.
          urgent: Whether somebody waits for it, e.g. as a job's last.
        """
        self.waiting.append(Waiting(item, size, now))
        self.bytes += size
        self.urgent = self.urgent or urgent

    def wait_s(self, now: float) -> float | None:
        """Return seconds until the next append, or None if none is due."""
        if not self.waiting:
            return None
        limits = self.limits
        full = (
            self.urgent
            or len(self.waiting) >= limits.target
            or self.bytes >= limits.record_bytes
        )
        due_at = now if full else self.waiting[0].since + limits.max_delay_s
        return max(due_at - now, self.next_at - now, 0.0)

    def take(self, now: float) -> list[T]:
        """Return the items of one append, at least one if any waits."""
        taken: list[T] = []
        size = 0
        while self.waiting:
            entry = self.waiting[0]
            if taken and size + entry.size > self.limits.record_bytes:
                break
            self.waiting.popleft()
            size += entry.size
            taken.append(entry.item)
        self.bytes -= size
        self.urgent = self.urgent and bool(self.waiting)
        if taken:
            self.next_at = now + self.limits.interval_s
        return taken
