"""Groups items into appends, to keep to the fleet's append budget.

The log accepts a few hundred appends a second from all hosts together. Each
writer therefore appends at most once per interval, which grows with the
number of writers.
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
# Item results at which a group is appended, and the longest time that a
# result waits for it. Items whose results a lost host had not written run
# again; at 32 items a second in a shard these values keep under 0.02 appends
# per item (bench/appends.py).
RESULTS_TARGET = 64
RESULTS_DELAY_S = 2.0
# Bytes of a record reserved for the envelope of the items.
OVERHEAD_BYTES = 1024


def flush_interval(writers: int, budget: float, min_flush_s: float) -> float:
    """Return the seconds between two appends of a writer.

    Args:
      writers: Number of streams of the fleet with grouped appends; each
        stream has one writer at a time.
      budget: Appends a second of the whole fleet.
      min_flush_s: Shortest interval.

    >>> flush_interval(24, 300.0, 0.05)
    0.1
    """
    return max(min_flush_s, writers / (budget * GROUPED_SHARE))


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Limits on the size and the delay of a group.

    Attributes:
      interval_s: Shortest time between two appends.
      record_bytes: Most bytes of items in one append.
      target: Number of items at which a group is appended.
      max_delay_s: Longest time that an item waits for a full group.
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
        """Return the limits of a deployment with a writer in every shard."""
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
    """An item waiting to be appended.

    Attributes:
      item: The item.
      size: Encoded size in bytes.
      since: Time at which it was added.
    """

    item: T
    size: int
    since: float


class Grouper(Generic[T]):
    """Items of one stream waiting to be appended together.

    Attributes:
      waiting: Items in the order of their addition.
      bytes: Total size of the waiting items.
      urgent: Whether to append without waiting for a full group.
      next_at: Earliest time of the next append.
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
          item: Item to append.
          size: Encoded size in bytes.
          now: Current time in monotonic seconds.
          urgent: Whether to append at the next interval, e.g. as it is the
            last of a job.
        """
        self.waiting.append(Waiting(item, size, now))
        self.bytes += size
        self.urgent = self.urgent or urgent

    def wait_s(self, now: float) -> float | None:
        """Return the seconds until the next append, or None if empty."""
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
        """Remove and return the items of one append.

        An item larger than the limit forms a group of its own.
        """
        group: list[T] = []
        size = 0
        while self.waiting:
            entry = self.waiting[0]
            if group and size + entry.size > self.limits.record_bytes:
                break
            self.waiting.popleft()
            size += entry.size
            group.append(entry.item)
        self.bytes -= size
        self.urgent = self.urgent and bool(self.waiting)
        if group:
            self.next_at = now + self.limits.interval_s
        return group
