"""Bounded queues of one service, fair between workspaces by weight."""

__all__ = ["FairQueue", "Waiting"]

import collections
from collections.abc import Callable
import dataclasses
from typing import Generic
from typing import TypeVar

T = TypeVar("T")


@dataclasses.dataclass(eq=False, slots=True)
class Waiting(Generic[T]):
    """A request that waits.

    Attributes:
      workspace: Who asks.
      item: What the caller of the queue put in.
      deadline_at: When its answer is due.
    """

    workspace: str
    item: T
    deadline_at: float


@dataclasses.dataclass(slots=True)
class Lane(Generic[T]):
    """The queue of one workspace.

    Attributes:
      weight: Its share of the service against others'.
      served_at: Virtual time up to which it has had its share.
    """

    weight: float
    served_at: float = 0.0
    queue: collections.deque[Waiting[T]] = dataclasses.field(
        default_factory=collections.deque
    )


class FairQueue(Generic[T]):
    """Start-time fair queueing with one lane for each workspace.

    Each request moves its lane's virtual time on by ``1 / weight``; the
    lane that is furthest behind goes next. A lane that was empty starts at
    the time of the lane served last, so that it neither pays for nor saves
    up the time it did not use.

    Attributes:
      limit: Requests that may wait in all lanes together.
      size: Requests that wait.
    """

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.size = 0
        self.lanes: dict[str, Lane[T]] = {}
        self.virtual = 0.0

    def put(self, waiting: Waiting[T], weight: float) -> Waiting[T] | None:
        """Add a request; return the one that has to go, if one has.

        When all is full, the newest request of the lane that is longest
        for its weight goes, so that a flood from one workspace pushes out
        itself and not the others.
        """
        lane = self.lanes.get(waiting.workspace)
        if lane is None:
            lane = self.lanes[waiting.workspace] = Lane(
                max(weight, 1e-6), self.virtual
            )
        lane.weight = max(weight, 1e-6)
        if not lane.queue:
            lane.served_at = max(lane.served_at, self.virtual)
        lane.queue.append(waiting)
        self.size += 1
        if self.size <= self.limit:
            return None
        longest = max(
            self.lanes.values(), key=lambda held: len(held.queue) / held.weight
        )
        pushed = longest.queue.pop()
        self.size -= 1
        self.tidy()
        return pushed

    def pop(self) -> Waiting[T] | None:
        """Return the request whose turn it is, or None."""
        full = [lane for lane in self.lanes.values() if lane.queue]
        if not full:
            return None
        lane = min(full, key=lambda held: held.served_at)
        self.virtual = lane.served_at
        lane.served_at += 1 / lane.weight
        self.size -= 1
        waiting = lane.queue.popleft()
        self.tidy()
        return waiting

    def remove(self, waiting: Waiting[T]) -> None:
        """Take a request out of the queue, if it is there."""
        lane = self.lanes.get(waiting.workspace)
        if lane is not None and waiting in lane.queue:
            lane.queue.remove(waiting)
            self.size -= 1
            self.tidy()

    def tidy(self) -> None:
        """Drop empty lanes that owe nothing.

        One that has had more than its share keeps its time: else asking
        one request at a time would always put it in front.
        """
        done = [
            name
            for name, lane in self.lanes.items()
            if not lane.queue and lane.served_at <= self.virtual
        ]
        for name in done:
            del self.lanes[name]
        if not self.size:
            # Nobody waits, so nobody is owed or owes anything.
            self.lanes.clear()

    def drop_if(self, late: Callable[[Waiting[T]], bool]) -> list[Waiting[T]]:
        """Take out and return all requests for which ``late`` holds."""
        gone = [w for d in self.lanes.values() for w in d.queue if late(w)]
        for waiting in gone:
            self.remove(waiting)
        return gone

    def ahead(self, workspace: str, weight: float) -> float:
        """Return how many requests would be served before a new one.

        Its own lane goes first come first; of each other lane as many go
        as its weight allows until then, if it has that many.
        """
        own = self.lanes.get(workspace)
        mine = len(own.queue) if own is not None else 0
        rounds = (mine + 1) / max(weight, 1e-6)
        others = sum(
            min(len(lane.queue), rounds * lane.weight)
            for name, lane in self.lanes.items()
            if name != workspace
        )
        return mine + others
