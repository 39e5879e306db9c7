"""Slot requests, leases, and the order in which items start and stop."""

__all__ = ["ItemQueue", "Lease", "Leases", "SlotRequest"]

from collections.abc import Callable
from collections.abc import Iterator
import itertools
import math

import msgspec

from camphortray import fair_shares
from camphortray import priority_queue

# Safety factor on the time that a batch item is expected to need.
WORK_MARGIN_FACTOR = 1.15
# Time between the end of a batch item and its due time, for its result to be
# stored and read.
RESULT_READ_S = 0.8
# Items examined to find one that can be preempted safely with little output
# to prefill. If none of so many has enough slack, nearly all have too little.
MAX_CANDIDATES = 64


class SlotRequest(msgspec.Struct, frozen=True):
    """A request for a slot.

    Attributes:
      id: Unique, new for each attempt.
      holder: Host that sends the request and will hold its lease.
      online: Whether a caller waits for it; else it is a batch item.
      priority: Rank among online requests, 0 first.
      asked_at: When the slot was first asked for.
      objective_s: Objective for the time to first event, if online.
      left_s: Time after which no caller waits any more.
      due_at: When a batch item should be done.
      work_s: Expected time for which a batch item holds the slot.
      prefix: Identifies the prompt prefix shared with others, or empty.
      zone: Availability zone of the host that asks.
      avoid: Engines that failed it.
      made_s: Time spent on the output that a batch item already has. The next
        engine has to prefill all of that output.
      start_s: Expected time to the first event of a batch item.
      workspace: Workspace that it runs for, or empty.
      counts: Whether it is still to be counted against the limit of its
        workspace.
      stream: Id of the attempt that began its stream; empty if the stream
        cannot be resumed.
      version: Software version of the engine that it needs, as it goes on
        from the output of one; empty for any.
    """

    id: str
    holder: str
    online: bool
    priority: int = 0
    asked_at: float = 0.0
    objective_s: float = 1.0
    left_s: float = 30.0
    due_at: float = math.inf
    work_s: float = 0.0
    prefix: str = ""
    avoid: frozenset[str] = frozenset()
    zone: str = ""
    made_s: float = 0.0
    start_s: float = 0.0
    workspace: str = ""
    counts: bool = False
    stream: str = ""
    version: str = ""

    @property
    def begin_by(self) -> float:
        """Latest time at which a batch item can start and be done in time."""
        return self.due_at - RESULT_READ_S - self.work_s * WORK_MARGIN_FACTOR


class Lease(msgspec.Struct):
    """The right to run one request on an engine.

    Attributes:
      charged_s: Slot time that its workspace was charged.
    """

    want: SlotRequest
    engine: str
    granted_at: float
    charged_s: float = 0.0

    @property
    def slack_s(self) -> float:
        """Slack of a batch item when its slot was granted."""
        return self.want.begin_by - self.granted_at


class ItemQueue:
    """Batch items that wait for a slot.

    The earliest due time goes first, of all workspaces or of the one that is
    furthest below its share; items that can no longer meet theirs go after
    all others.

    Attributes:
      timely: Items that may meet their due time.
      lanes: The same items, by workspace, if they have one.
      late: The other items.
    """

    def __init__(self) -> None:
        self.timely: priority_queue.PriorityQueue[SlotRequest] = (
            priority_queue.PriorityQueue()
        )
        self.lanes: dict[str, priority_queue.PriorityQueue[SlotRequest]] = {}
        self.late: priority_queue.PriorityQueue[SlotRequest] = (
            priority_queue.PriorityQueue()
        )

    def __len__(self) -> int:
        return len(self.timely) + len(self.late)

    def __contains__(self, want_id: str) -> bool:
        return want_id in self.timely or want_id in self.late

    def __iter__(self) -> Iterator[SlotRequest]:
        return itertools.chain(self.timely, self.late)

    def add(self, want: SlotRequest) -> None:
        """Add an item."""
        self.timely.add(want.id, want.due_at, want)
        if want.workspace:
            lane = self.lanes.setdefault(
                want.workspace, priority_queue.PriorityQueue()
            )
            lane.add(want.id, want.due_at, want)

    def drop(self, want_id: str) -> None:
        """Remove an item, if it is there."""
        self.late.drop(want_id)
        self.drop_timely(want_id)

    def drop_timely(self, want_id: str) -> None:
        """Remove an item from those that may meet their due time."""
        want = self.timely.drop(want_id)
        lane = self.lanes.get(want.workspace) if want is not None else None
        if want is not None and lane is not None:
            lane.drop(want_id)
            if not lane:
                del self.lanes[want.workspace]

    def first(
        self, shares: fair_shares.FairShares | None = None
    ) -> SlotRequest | None:
        """Return the next timely item, without removing it.

        Args:
          shares: Shares by which workspaces take turns; None if all items
            are ordered by due time alone.
        """
        if shares is None or not self.lanes:
            return self.timely.first()
        return self.lanes[min(self.lanes, key=shares.start)].first()

    def pop(
        self, now: float, shares: fair_shares.FairShares | None = None
    ) -> SlotRequest | None:
        """Remove and return the next item, or None if none waits."""
        while (want := self.first(shares)) is not None:
            self.drop_timely(want.id)
            if want.begin_by >= now:
                return want
            self.late.add(want.id, want.due_at, want)
        want = self.late.first()
        if want is not None:
            self.late.drop(want.id)
        return want


class Leases:
    """Leases by request id, and the order in which items are preempted.

    Items that will miss their due time anyway go first. Then those with the
    least output, as the next engine has to prefill that output, which also
    delays the other requests there; this order saves 5 to 18% of all prompt
    tokens when batch runs beside online requests. Items that might miss their
    due time if preempted go last, those with the most slack first.

    Attributes:
      by_id: All leases.
      late: Leases of batch items that cannot be done in time.
      by_slack: Leases of the other batch items, the most slack first.
      by_made: The same leases, the least output first.
    """

    def __init__(self) -> None:
        self.by_id: dict[str, Lease] = {}
        self.late: priority_queue.PriorityQueue[Lease] = (
            priority_queue.PriorityQueue()
        )
        self.by_slack: priority_queue.PriorityQueue[Lease] = (
            priority_queue.PriorityQueue()
        )
        self.by_made: priority_queue.PriorityQueue[Lease] = (
            priority_queue.PriorityQueue()
        )

    @property
    def items(self) -> int:
        """Number of leases of batch items."""
        return len(self.by_made) + len(self.late)

    @property
    def online(self) -> int:
        """Number of leases of online requests."""
        return len(self.by_id) - self.items

    def add(self, lease: Lease) -> None:
        """Add a lease."""
        want_id, slack_s = lease.want.id, lease.slack_s
        self.by_id[want_id] = lease
        if lease.want.online:
            return
        if slack_s < 0:
            self.late.add(want_id, -slack_s, lease)
            return
        self.by_slack.add(want_id, -slack_s, lease)
        # All items generate output at the same rate, so the order is stable.
        self.by_made.add(want_id, lease.want.made_s - lease.granted_at, lease)

    def pop(self, want_id: str) -> Lease | None:
        """Remove and return a lease, if it is there."""
        for order in (self.late, self.by_slack, self.by_made):
            order.drop(want_id)
        return self.by_id.pop(want_id, None)

    def preemption_candidate(
        self, suits: Callable[[Lease], bool], safe_s: float
    ) -> Lease | None:
        """Return the lease of the item to preempt, if any.

        Args:
          suits: Whether a lease is eligible.
          safe_s: Slack with which a preempted item still meets its due time.
        """

        def safe(lease: Lease) -> bool:
            return lease.slack_s >= safe_s and suits(lease)

        return (
            self.late.first(suits)
            or self.by_made.first(safe, MAX_CANDIDATES)
            or self.by_slack.first(suits)
        )
