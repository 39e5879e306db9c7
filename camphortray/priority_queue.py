"""A priority queue of things by name, which may be changed or dropped."""

__all__ = ["PriorityQueue"]

from collections.abc import Callable
from collections.abc import Iterator
import heapq
from typing import Generic
from typing import TypeVar

# Entries of what is gone stay in the heap until it holds this many times
# what is there, and this many more.
SLACK_TIMES = 2
SLACK_ENTRIES = 64

T = TypeVar("T")


class PriorityQueue(Generic[T]):
    """Holds things by name; the one with the least key comes first.

    Attributes:
      held: Key and thing by name.
    """

    def __init__(self) -> None:
        self.held: dict[str, tuple[float, T]] = {}
        self.heap: list[tuple[float, str]] = []

    def __len__(self) -> int:
        return len(self.held)

    def __contains__(self, name: str) -> bool:
        return name in self.held

    def __iter__(self) -> Iterator[T]:
        return iter([thing for _, thing in self.held.values()])

    def add(self, name: str, key: float, thing: T) -> None:
        """Take a thing in, in place of one of the same name."""
        self.held[name] = key, thing
        heapq.heappush(self.heap, (key, name))
        if len(self.heap) > SLACK_TIMES * len(self.held) + SLACK_ENTRIES:
            self.heap = [(key, name) for name, (key, _) in self.held.items()]
            heapq.heapify(self.heap)

    def drop(self, name: str) -> T | None:
        """Take a thing out; return it, if it was there."""
        found = self.held.pop(name, None)
        return found[1] if found is not None else None

    def first(
        self, suits: Callable[[T], bool] | None = None, most: int = 0
    ) -> T | None:
        """Return the first thing that suits, and leave it in.

        Args:
          suits: What is asked of it; left out, any does.
          most: Things to look at, 0 for all.
        """
        passed: list[tuple[float, str]] = []
        chosen: T | None = None
        while self.heap and chosen is None:
            entry = self.heap[0]
            key, thing = self.held.get(entry[1], (None, None))
            if thing is None or key != entry[0]:
                heapq.heappop(self.heap)
            elif suits is None or suits(thing):
                chosen = thing
            else:
                passed.append(heapq.heappop(self.heap))
                if len(passed) == most:
                    break
        for entry in passed:
            heapq.heappush(self.heap, entry)
        return chosen
