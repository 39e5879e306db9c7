"""Decides which item of which job runs next."""

__all__ = ["Item", "JobQueue", "QueuedJob"]

import collections
from collections.abc import Iterator
import dataclasses
import heapq

from camphortray import collector

# A job whose slack is below this many seconds is urgent.
URGENT_SLACK_S = 600.0
# Of so many choices one is left to fair shares though a job is urgent, so
# that no stream of urgent jobs starves the others.
URGENT_CYCLE = 4
# How long an item keeps away from the upstream that failed it.
AVOID_S = 2.0


@dataclasses.dataclass(slots=True, eq=False)
class Item:
    """An item that has no result yet, as its owner holds it.

    Attributes:
      job: Id of its job.
      index: Place in the job.
      line: The caller's line.
      prefix: Hash of the start of its prompt.
      tries: Tries that may have run.
      refusals: Tries in a row that certainly did not run.
      not_before: Time before which it is not tried again.
      avoid: Upstream that failed it, or empty.
      crashes: Upstream crashes it was part of.
      started: Whether its start is written, for a non-idempotent one.
      kept: What has come of its answer so far.
    """

    job: str
    index: int
    line: bytes
    prefix: int = 0
    tries: int = 0
    refusals: int = 0
    not_before: float = 0.0
    avoid: str = ""
    crashes: int = 0
    started: bool = False
    kept: collector.Collector = dataclasses.field(
        default_factory=collector.Collector
    )

    @property
    def begun(self) -> bool:
        """Whether this host alone can go on where the item stopped."""
        return self.kept.resumable and bool(self.kept.text)


@dataclasses.dataclass(slots=True, eq=False)
class QueuedJob:
    """A running job in the queue.

    Attributes:
      id: Of the job.
      service: Whose upstreams run it.
      workspace: Whose share it takes.
      weight: Share among the jobs of the workspace.
      workspace_weight: Share among workspaces.
      due: When it should be done, on the clock of ``now``, or None.
      left: Items without a result.
      used: Items run, each divided by the weight.
      groups: Items ready, by prefix.
      ready: Number of items in ``groups``.
      later: Heap of items that wait, by time.
      suspects: Items to be run apart from others.
      taken: Upstream that last took an item of a prefix, for the groups.
      current: Prefix that each upstream last took.
    """

    id: str
    service: str
    workspace: str
    weight: float = 1.0
    workspace_weight: float = 1.0
    due: float | None = None
    left: int = 0
    used: float = 0.0
    groups: "collections.OrderedDict[int, collections.deque[Item]]" = (
        dataclasses.field(default_factory=collections.OrderedDict)
    )
    ready: int = 0
    later: list[tuple[float, int, Item]] = dataclasses.field(
        default_factory=list
    )
    suspects: "collections.deque[Item]" = dataclasses.field(
        default_factory=collections.deque
    )
    taken: dict[int, str] = dataclasses.field(default_factory=dict)
    current: dict[str, int] = dataclasses.field(default_factory=dict)

    @property
    def held(self) -> int:
        """Number of items held here."""
        return self.ready + len(self.later) + len(self.suspects)

    @property
    def available(self) -> int:
        """Number of items that need not wait."""
        return self.ready + len(self.suspects)

    def begun(self) -> list[Item]:
        """Return the items that go on where they stopped and need not wait."""
        return [i for group in self.groups.values() for i in group if i.begun]

    def slack(self, now: float, pace_s: float) -> float:
        """Return the time to spare if each item takes ``pace_s``."""
        if self.due is None:
            return float("inf")
        return self.due - now - self.left * pace_s


class JobQueue:
    """Items of all jobs that this host owns.

    Workspaces share by weight, and jobs within a workspace, counted in
    items: the one that has used least for its weight goes first. Jobs
    short of time go before, the least slack first. Within a job, items
    with the same prefix follow each other to the same upstream.

    Attributes:
      only_begun: Whether only items go on that were begun here, as this
        host is about to leave.
    """

    def __init__(self) -> None:
        self.jobs: dict[str, QueuedJob] = {}
        self.used: dict[tuple[str, str], float] = {}
        self.turn = 0
        self.pushed = 0
        self.only_begun = False

    def add_job(self, job: QueuedJob) -> None:
        """Take a job in; it starts level with the one served least."""
        key = (job.service, job.workspace)
        peers = [j for j in self.jobs.values() if j.service == job.service]
        same = [j.used for j in peers if j.workspace == job.workspace]
        others = [self.used[(j.service, j.workspace)] for j in peers]
        job.used = min(same, default=0.0)
        if not same:
            level = min(others, default=0.0)
            self.used[key] = max(self.used.get(key, 0.0), level)
        self.jobs[job.id] = job

    def remove_job(self, job: str) -> None:
        """Forget a job and its items."""
        self.jobs.pop(job, None)

    def push(self, item: Item, now: float) -> None:
        """Add an item; one that waits or is suspect is kept apart."""
        job = self.jobs.get(item.job)
        if job is None:
            return
        if item.not_before > now:
            self.pushed += 1
            heapq.heappush(job.later, (item.not_before, self.pushed, item))
        elif item.crashes:
            job.suspects.append(item)
        else:
            group = job.groups.setdefault(item.prefix, collections.deque())
            group.append(item)
            job.ready += 1

    def wake(self, now: float) -> None:
        """Move items whose time has come to the ready ones."""
        for job in self.jobs.values():
            while job.later and job.later[0][0] <= now:
                self.push(heapq.heappop(job.later)[2], now)

    def next_time(self) -> float | None:
        """Return when the next waiting item becomes ready."""
        times = [j.later[0][0] for j in self.jobs.values() if j.later]
        return min(times, default=None)

    def ready(self, service: str) -> int:
        """Return how many items of a service could run now."""
        return sum(
            len(job.begun()) if self.only_begun else job.available
            for job in self.jobs.values()
            if job.service == service
        )

    def pick(
        self, service: str, upstream: str, now: float, pace_s: float = 0.0
    ) -> Item | None:
        """Take the item that should run next on an upstream.

        Args:
          service: Whose slot it is.
          upstream: Where the slot is.
          now: Time now.
          pace_s: Seconds an item takes now, over all in flight.
        """
        ready = [
            job
            for job in self.jobs.values()
            if job.service == service and job.available
        ]
        for job in self.order(ready, now, pace_s):
            item = self.take(job, upstream, now)
            if item is not None:
                self.charge(job)
                return item
        return None

    def order(
        self, ready: list[QueuedJob], now: float, pace_s: float
    ) -> list[QueuedJob]:
        """Return jobs in the order in which they should be served."""
        fair = sorted(
            ready,
            key=lambda job: (
                self.used[(job.service, job.workspace)],
                job.used,
                job.id,
            ),
        )
        self.turn = (self.turn + 1) % URGENT_CYCLE
        if self.turn == 0:
            return fair
        slacks = {job.id: job.slack(now, pace_s) for job in ready}
        urgent = [job for job in fair if slacks[job.id] < URGENT_SLACK_S]
        urgent.sort(key=lambda job: slacks[job.id])
        return urgent + [job for job in fair if job not in urgent]

    def charge(self, job: QueuedJob) -> None:
        """Count an item against the shares of its job and workspace."""
        job.used += 1 / max(job.weight, 1e-6)
        key = (job.service, job.workspace)
        self.used[key] += 1 / max(job.workspace_weight, 1e-6)

    def take(self, job: QueuedJob, upstream: str, now: float) -> Item | None:
        """Take an item of a job for an upstream."""
        if job.suspects and not self.only_begun:
            if not avoids(job.suspects[0], upstream, now):
                return job.suspects.popleft()
        for prefix in self.prefixes(job, upstream):
            group = job.groups[prefix]
            item = self.first(group)
            if item is None or avoids(item, upstream, now):
                continue
            group.remove(item)
            job.ready -= 1
            job.current[upstream] = prefix
            job.taken[prefix] = upstream
            if not group:
                del job.groups[prefix], job.taken[prefix]
            return item
        return None

    def first(self, group: "collections.deque[Item]") -> Item | None:
        """Return the item of a group whose turn it is, if any may run."""
        for item in group:
            if item.begun or not self.only_begun:
                return item
        return None

    def prefixes(self, job: QueuedJob, upstream: str) -> Iterator[int]:
        """Yield the prefixes of a job, the best for an upstream first.

        An upstream goes on with the prefix it has in its cache, else
        takes one that no upstream has, else helps another with its own.
        """
        current = job.current.get(upstream)
        if current is not None and current in job.groups:
            yield current
        for prefix in job.groups:
            if prefix not in job.taken:
                yield prefix
        yield from job.taken


def avoids(item: Item, upstream: str, now: float) -> bool:
    """Return whether an item keeps away from an upstream for now."""
    return item.avoid == upstream and now < item.not_before + AVOID_S
