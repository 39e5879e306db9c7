"""Weighted fair queueing of the requests of one service by workspace."""

__all__ = ["FairQueue", "QueuedRequest"]

import collections
from collections.abc import Callable
import dataclasses
from typing import Generic
from typing import TypeVar

from camphortray import fair_shares

T = TypeVar("T")


@dataclasses.dataclass(eq=False, slots=True)
class QueuedRequest(Generic[T]):
    """A request in the queue.

    Attributes:
      workspace: Workspace of the caller.
      item: Payload given by the user of the queue.
      deadline_at: Monotonic time by which the answer is due.
    """

    workspace: str
    item: T
    deadline_at: float


@dataclasses.dataclass(slots=True)
class Lane(Generic[T]):
    """The queue of one workspace.

    Attributes:
      weight: Its weight relative to other workspaces.
      queue: Its requests, the oldest first.
    """

    weight: float
    queue: collections.deque[QueuedRequest[T]] = dataclasses.field(
        default_factory=collections.deque
    )


class FairQueue(Generic[T]):
    """Start-time fair queueing with one lane for each workspace.

    Attributes:
      limit: Largest number of requests in all lanes together.
      size: Number of requests in all lanes.
      lanes: By workspace, those with requests.
      shares: What each workspace has used of the places.
    """

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.size = 0
        self.lanes: dict[str, Lane[T]] = {}
        self.weights: dict[str, float] = {}
        self.shares = fair_shares.FairShares(self.weight_of)

    def weight_of(self, workspace: str) -> float:
        """Return the weight with which a workspace last queued."""
        return self.weights.get(workspace, 1.0)

    def put(
        self, waiting: QueuedRequest[T], weight: float
    ) -> QueuedRequest[T] | None:
        """Add a request; return the one dropped for it, if any.

        If the queue is full, the newest request of the lane that is longest
        in proportion to its weight is dropped, so that a workspace that
        floods the queue loses its own requests and not those of others.
        """
        name = waiting.workspace
        lane = self.lanes.setdefault(name, Lane(weight))
        lane.weight = self.weights[name] = max(weight, fair_shares.MIN_WEIGHT)
        lane.queue.append(waiting)
        self.size += 1
        if self.size <= self.limit:
            return None
        longest = max(
            self.lanes.values(), key=lambda each: len(each.queue) / each.weight
        )
        dropped = longest.queue.pop()
        self.size -= 1
        self.drop_idle_lanes()
        return dropped

    def pop(self) -> QueuedRequest[T] | None:
        """Remove and return the next request, or return None."""
        if not self.lanes:
            return None
        name = min(self.lanes, key=self.shares.start)
        self.shares.advance(self.lanes)
        self.shares.charge(name, 1.0)
        self.size -= 1
        waiting = self.lanes[name].queue.popleft()
        self.drop_idle_lanes()
        return waiting

    def remove(self, waiting: QueuedRequest[T]) -> None:
        """Remove a request from the queue, if it is there."""
        lane = self.lanes.get(waiting.workspace)
        if lane is not None and waiting in lane.queue:
            lane.queue.remove(waiting)
            self.size -= 1
            self.drop_idle_lanes()

    def drop_idle_lanes(self) -> None:
        """Drop empty lanes, and weights that no longer count."""
        self.lanes = {n: lane for n, lane in self.lanes.items() if lane.queue}
        if not self.lanes:
            self.shares.advance(())
        self.weights = {
            name: weight
            for name, weight in self.weights.items()
            if name in self.lanes or name in self.shares.used
        }

    def remove_if(
        self, predicate: Callable[[QueuedRequest[T]], bool]
    ) -> list[QueuedRequest[T]]:
        """Remove and return all requests for which ``predicate`` is true."""
        removed = [
            queued
            for lane in self.lanes.values()
            for queued in lane.queue
            if predicate(queued)
        ]
        for waiting in removed:
            self.remove(waiting)
        return removed

    def count_ahead(self, workspace: str, weight: float) -> float:
        """Return how many requests would be served before a new one.

        These are all of its own lane, and of each other lane as many as its
        weight allows in that time.
        """
        own = self.lanes.get(workspace)
        own_count = len(own.queue) if own is not None else 0
        rounds = (own_count + 1) / max(weight, 1e-6)
        others = sum(
            min(len(lane.queue), rounds * lane.weight)
            for name, lane in self.lanes.items()
            if name != workspace
        )
        return own_count + others
