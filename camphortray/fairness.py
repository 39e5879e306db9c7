"""Weighted fair queueing of the requests of one service by workspace."""

__all__ = ["FairQueue", "QueuedRequest"]

import collections
from collections.abc import Callable
import dataclasses
from typing import Generic
from typing import TypeVar

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
      virtual_time: Virtual time up to which it has used its share.
      queue: Its requests, the oldest first.
    """

    weight: float
    virtual_time: float = 0.0
    queue: collections.deque[QueuedRequest[T]] = dataclasses.field(
        default_factory=collections.deque
    )


class FairQueue(Generic[T]):
    """Start-time fair queueing with one lane for each workspace.

    Each request advances the virtual time of its lane by ``1 / weight``; the
    lane with the earliest virtual time is served next. A lane that becomes
    active starts at the virtual time of the lane served last, so that it is
    neither charged nor credited for the time it was idle.

    Attributes:
      limit: Largest number of requests in all lanes together.
      size: Number of requests in all lanes.
      lanes: By workspace.
      virtual_now: Virtual time of the lane served last.
    """

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.size = 0
        self.lanes: dict[str, Lane[T]] = {}
        self.virtual_now = 0.0

    def put(
        self, waiting: QueuedRequest[T], weight: float
    ) -> QueuedRequest[T] | None:
        """Add a request; return the one dropped for it, if any.

        If the queue is full, the newest request of the lane that is longest
        in proportion to its weight is dropped, so that a workspace that
        floods the queue loses its own requests and not those of others.
        """
        lane = self.lanes.get(waiting.workspace)
        if lane is None:
            lane = self.lanes[waiting.workspace] = Lane(
                max(weight, 1e-6), self.virtual_now
            )
        lane.weight = max(weight, 1e-6)
        if not lane.queue:
            lane.virtual_time = max(lane.virtual_time, self.virtual_now)
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
        waiting_lanes = [lane for lane in self.lanes.values() if lane.queue]
        if not waiting_lanes:
            return None
        lane = min(waiting_lanes, key=lambda each: each.virtual_time)
        self.virtual_now = lane.virtual_time
        lane.virtual_time += 1 / lane.weight
        self.size -= 1
        waiting = lane.queue.popleft()
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
        """Drop empty lanes that have not used more than their share.

        A lane that has used more keeps its virtual time. Otherwise a workspace
        that sends one request at a time would always be served first.
        """
        idle = [
            name
            for name, lane in self.lanes.items()
            if not lane.queue and lane.virtual_time <= self.virtual_now
        ]
        for name in idle:
            del self.lanes[name]
        if not self.size:
            # Without competing requests there is no share to account for.
            self.lanes.clear()

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
