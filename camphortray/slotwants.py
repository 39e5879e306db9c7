"""Requests that ask for slots, and batch items in the order they get them."""

__all__ = ["ItemQueue", "Lease", "Leases", "Want"]

from collections.abc import Callable
from collections.abc import Iterator
import dataclasses
import heapq
import math

# Share added to the time that a batch item is expected to need.
MARGIN = 1.15
# Seconds by which a batch item should be done before it is due: its result
# has to be kept and read too.
READ_S = 0.8
# Entries of what is gone stay in a heap until it holds this many times
# what is there, and this many more.
SLACK_TIMES = 2
SLACK_ENTRIES = 64


@dataclasses.dataclass(frozen=True, slots=True)
class Want:
    """A request that asks for a slot.

    Attributes:
      id: Unique, new for each try.
      holder: Host that asks.
      online: Whether a caller waits for it; else it is a batch item.
      priority: Rank among online requests, 0 first.
      asked_at: When it was asked for.
      objective_s: Time to the first event, for online requests.
      left_s: Time after which nobody waits any more.
      due_at: When a batch item should be done.
      work_s: Time that a batch item will hold the slot, as expected.
      prefix: What it shares with other requests, or empty.
      zone: Availability zone of the host that asks.
      avoid: Engines that failed it.
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

    @property
    def begin_by(self) -> float:
        """When a batch item must run from, to be done in time."""
        return self.due_at - READ_S - self.work_s * MARGIN


@dataclasses.dataclass(slots=True)
class Lease:
    """Leave to run one request at an engine."""

    want: Want
    engine: str
    granted_at: float

    @property
    def spare_s(self) -> float:
        """Time that a batch item had to spare when it was let in."""
        return self.want.begin_by - self.granted_at


class ItemQueue:
    """Batch items that wait for a slot.

    The ones due first go first, but those that cannot be done in time any
    more only behind the others.
    """

    def __init__(self) -> None:
        self.held: dict[str, Want] = {}
        self.timely: list[tuple[float, str]] = []
        self.late: list[tuple[float, str]] = []

    def __len__(self) -> int:
        return len(self.held)

    def __contains__(self, name: str) -> bool:
        return name in self.held

    def __iter__(self) -> Iterator[Want]:
        return iter(list(self.held.values()))

    def add(self, want: Want) -> None:
        """Let an item wait."""
        self.held[want.id] = want
        heapq.heappush(self.timely, (want.due_at, want.id))
        limit = SLACK_TIMES * len(self.held) + SLACK_ENTRIES
        if len(self.timely) + len(self.late) > limit:
            self.timely = [(w.due_at, w.id) for w in self.held.values()]
            heapq.heapify(self.timely)
            self.late = []

    def drop(self, name: str) -> None:
        """Let an item wait no more."""
        self.held.pop(name, None)

    def pop(self, now: float) -> Want | None:
        """Take out the item whose turn it is, or None if none waits."""
        while self.timely:
            entry = heapq.heappop(self.timely)
            want = self.current(entry)
            if want is None:
                continue
            if want.begin_by < now:
                heapq.heappush(self.late, entry)
                continue
            return self.held.pop(want.id)
        while self.late:
            want = self.current(heapq.heappop(self.late))
            if want is not None:
                return self.held.pop(want.id)
        return None

    def current(self, entry: tuple[float, str]) -> Want | None:
        """Return the item of an entry, if that still stands for one."""
        want = self.held.get(entry[1])
        return want if want is not None and want.due_at == entry[0] else None


class Leases:
    """Leases by id, and which batch item can best give its slot away.

    What cannot be done in time any more gives way first, then what has
    most time to spare.
    """

    def __init__(self) -> None:
        self.held: dict[str, Lease] = {}
        self.heap: list[tuple[bool, float, str]] = []

    def add(self, lease: Lease) -> None:
        """Keep a lease."""
        self.held[lease.want.id] = lease
        if lease.want.online:
            return
        heapq.heappush(self.heap, entry_of(lease))
        if len(self.heap) > SLACK_TIMES * len(self.held) + SLACK_ENTRIES:
            self.heap = [
                entry_of(lease)
                for lease in self.held.values()
                if not lease.want.online
            ]
            heapq.heapify(self.heap)

    def pop(self, name: str) -> Lease | None:
        """Take a lease out, if it is there."""
        return self.held.pop(name, None)

    def first(self, suits: Callable[[Lease], bool]) -> Lease | None:
        """Return the item that gives way first among those that suit."""
        passed = []
        found = None
        while self.heap:
            lease = self.held.get(self.heap[0][2])
            if lease is None or entry_of(lease) != self.heap[0]:
                heapq.heappop(self.heap)
                continue
            if suits(lease):
                found = lease
                break
            passed.append(heapq.heappop(self.heap))
        for entry in passed:
            heapq.heappush(self.heap, entry)
        return found


def entry_of(lease: Lease) -> tuple[bool, float, str]:
    """Return the place of a lease among those that may give way."""
    return lease.spare_s >= 0, -lease.spare_s, lease.want.id
