"""A priority queue whose entries can be replaced and removed by name."""

__all__ = ["PriorityQueue"]

from collections.abc import Callable
from collections.abc import Iterator
import heapq
from typing import Generic
from typing import TypeVar

# Stale entries of removed or replaced values stay in the heap until its size
# exceeds the number of values times SLACK_FACTOR, plus SLACK_ENTRIES.
SLACK_FACTOR = 2
SLACK_ENTRIES = 64

T = TypeVar("T")


class PriorityQueue(Generic[T]):
    """Values by name; the value with the smallest key comes first.

    Attributes:
      entries: Key and value by name.
      heap: Key and name of each value, and stale entries.
    """

    def __init__(self) -> None:
        self.entries: dict[str, tuple[float, T]] = {}
        self.heap: list[tuple[float, str]] = []

    def __len__(self) -> int:
        return len(self.entries)

    def __contains__(self, name: str) -> bool:
        return name in self.entries

    def __iter__(self) -> Iterator[T]:
        return iter([value for _, value in self.entries.values()])

    def add(self, name: str, key: float, value: T) -> None:
        """Add a value, replacing that of the same name."""
        self.entries[name] = key, value
        heapq.heappush(self.heap, (key, name))
        if len(self.heap) > SLACK_FACTOR * len(self.entries) + SLACK_ENTRIES:
            self.heap = [
                (key, name) for name, (key, _) in self.entries.items()
            ]
            heapq.heapify(self.heap)

    def drop(self, name: str) -> T | None:
        """Remove a value; return it, or None if there was none."""
        found = self.entries.pop(name, None)
        return found[1] if found is not None else None

    def first(
        self,
        predicate: Callable[[T], bool] | None = None,
        max_skipped: int = 0,
    ) -> T | None:
        """Return the first value that matches, without removing it.

        Args:
          predicate: Condition on the value; None to accept any.
          max_skipped: Stop after this many values that do not match; 0 for no
            limit.
        """
        skipped: list[tuple[float, str]] = []
        chosen: T | None = None
        while self.heap and chosen is None:
            entry = self.heap[0]
            key, value = self.entries.get(entry[1], (None, None))
            if value is None or key != entry[0]:
                heapq.heappop(self.heap)
            elif predicate is None or predicate(value):
                chosen = value
            else:
                skipped.append(heapq.heappop(self.heap))
                if len(skipped) == max_skipped:
                    break
        for entry in skipped:
            heapq.heappush(self.heap, entry)
        return chosen
