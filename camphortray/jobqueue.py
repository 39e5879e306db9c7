"""Selects the batch item that runs next on an upstream."""

__all__ = ["Item", "JobQueue", "QueuedJob"]

import collections
from collections.abc import Iterator
import dataclasses
import heapq

from camphortray import collector

# Slack below which a job is urgent.
URGENT_SLACK_S = 600.0
# One selection in this many ignores urgency and follows the fair shares, so
# that a stream of urgent jobs cannot starve the others.
URGENT_CYCLE_SELECTIONS = 4
# How long after its retry time an item avoids the upstream that failed it.
AVOID_S = 2.0


@dataclasses.dataclass(slots=True, eq=False)
class Item:
    """An item without a result, on the host that owns its job.

    Attributes:
      job: Id of the job.
      index: Index in the job.
      line: Input line as the caller sent it.
      prefix: Hash of the model and the start of the prompt.
      tries: Failed attempts that may have run.
      refusals: Consecutive attempts that did not run.
      not_before: Monotonic time before which it is not retried.
      avoid: Upstream that failed the last attempt, or empty.
      crashes: Upstream crashes that count against the item.
      started: Whether the start of a non-idempotent item is in the log.
      partial: Part of the answer received so far.
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
    partial: collector.Collector = dataclasses.field(
        default_factory=collector.Collector
    )

    @property
    def begun(self) -> bool:
        """Whether a partial answer, held only by this host, can be resumed."""
        return self.partial.resumable and bool(self.partial.text)


@dataclasses.dataclass(slots=True, eq=False)
class QueuedJob:
    """A running job and its queued items.

    Attributes:
      id: Id of the job.
      service: Service that runs it.
      workspace: Workspace that its items are charged to.
      weight: Weight among the jobs of the workspace.
      workspace_weight: Weight of the workspace among workspaces.
      due: Monotonic time by which it should finish, or None.
      left: Number of items without a result.
      used: Items selected, each divided by ``weight``; a new job starts at
        the least of its workspace.
      groups: Ready items by prefix.
      ready: Number of items in ``groups``.
      delayed: Heap of items whose ``not_before`` is in the future.
      suspects: Items suspected of crashing upstreams, which run in isolation.
      last_upstreams: Upstream that last took an item, by prefix in
        ``groups``.
      last_prefixes: Prefix of the last item taken, by upstream.
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
    delayed: list[tuple[float, int, Item]] = dataclasses.field(
        default_factory=list
    )
    suspects: "collections.deque[Item]" = dataclasses.field(
        default_factory=collections.deque
    )
    last_upstreams: dict[int, str] = dataclasses.field(default_factory=dict)
    last_prefixes: dict[str, int] = dataclasses.field(default_factory=dict)

    @property
    def held(self) -> int:
        """Number of items in the queue."""
        return self.ready + len(self.delayed) + len(self.suspects)

    @property
    def available(self) -> int:
        """Number of items that can run now."""
        return self.ready + len(self.suspects)

    def begun(self) -> list[Item]:
        """Return the ready items with a partial answer to resume."""
        return [i for group in self.groups.values() for i in group if i.begun]

    def slack(self, now: float, pace_s: float) -> float:
        """Return the seconds to spare until ``due`` at ``pace_s`` per item."""
        if self.due is None:
            return float("inf")
        return self.due - now - self.left * pace_s


class JobQueue:
    """Items of all jobs that this host owns.

    Workspaces share a service by weight, and so do the jobs of a workspace:
    the one with the fewest items selected per weight is served first. Urgent
    jobs come before that, least slack first. Within a job, items with the
    same prefix are given to the same upstream where possible.

    Attributes:
      jobs: Queued jobs by id.
      used: Items selected, each divided by the workspace's weight, by
        service and workspace.
      only_begun: Whether only items with a partial answer are selected, as
        this host is draining.
    """

    def __init__(self) -> None:
        self.jobs: dict[str, QueuedJob] = {}
        self.used: dict[tuple[str, str], float] = {}
        self.selections = 0
        self.pushes = 0
        self.only_begun = False

    def add_job(self, job: QueuedJob) -> None:
        """Add a job.

        It starts level with the job and the workspace served least, so that
        it cannot claim the time before it came.
        """
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
        """Remove a job and its items."""
        self.jobs.pop(job, None)

    def push(self, item: Item, now: float) -> None:
        """Add an item; that of a job no longer queued is dropped."""
        job = self.jobs.get(item.job)
        if job is None:
            return
        if item.not_before > now:
            self.pushes += 1
            heapq.heappush(job.delayed, (item.not_before, self.pushes, item))
        elif item.crashes:
            job.suspects.append(item)
        else:
            group = job.groups.setdefault(item.prefix, collections.deque())
            group.append(item)
            job.ready += 1

    def wake(self, now: float) -> None:
        """Make delayed items ready whose ``not_before`` has passed."""
        for job in self.jobs.values():
            while job.delayed and job.delayed[0][0] <= now:
                self.push(heapq.heappop(job.delayed)[2], now)

    def next_time(self) -> float | None:
        """Return when the next delayed item becomes ready, or None."""
        times = [j.delayed[0][0] for j in self.jobs.values() if j.delayed]
        return min(times, default=None)

    def ready(self, service: str) -> int:
        """Return how many items of a service can run now."""
        return sum(
            len(job.begun()) if self.only_begun else job.available
            for job in self.jobs.values()
            if job.service == service
        )

    def pick(
        self, service: str, upstream: str, now: float, pace_s: float = 0.0
    ) -> Item | None:
        """Remove and return the item to run next on an upstream, if any.

        Args:
          service: Service that the slot belongs to.
          upstream: Upstream that the slot belongs to.
          now: Monotonic time.
          pace_s: Mean interval between items that end, over all slots.
        """
        ready = [
            job
            for job in self.jobs.values()
            if job.service == service and job.available
        ]
        for job in self.order(ready, now, pace_s):
            item = self.take_item(job, upstream, now)
            if item is not None:
                self.charge(job)
                return item
        return None

    def order(
        self, ready: list[QueuedJob], now: float, pace_s: float
    ) -> list[QueuedJob]:
        """Return the jobs in the order in which they are served."""
        fair = sorted(
            ready,
            key=lambda job: (
                self.used[(job.service, job.workspace)],
                job.used,
                job.id,
            ),
        )
        self.selections = (self.selections + 1) % URGENT_CYCLE_SELECTIONS
        if self.selections == 0:
            return fair
        slacks = {job.id: job.slack(now, pace_s) for job in ready}
        urgent = [job for job in fair if slacks[job.id] < URGENT_SLACK_S]
        urgent.sort(key=lambda job: slacks[job.id])
        return urgent + [job for job in fair if job not in urgent]

    def charge(self, job: QueuedJob) -> None:
        """Charge an item to its job and workspace."""
        job.used += 1 / max(job.weight, 1e-6)
        key = (job.service, job.workspace)
        self.used[key] += 1 / max(job.workspace_weight, 1e-6)

    def take_item(
        self, job: QueuedJob, upstream: str, now: float
    ) -> Item | None:
        """Remove and return the item of a job best suited to an upstream."""
        if job.suspects and not self.only_begun:
            if not avoids(job.suspects[0], upstream, now):
                return job.suspects.popleft()
        for prefix in self.prefixes(job, upstream):
            group = job.groups[prefix]
            item = self.first_runnable(group)
            if item is None or avoids(item, upstream, now):
                continue
            group.remove(item)
            job.ready -= 1
            job.last_prefixes[upstream] = prefix
            job.last_upstreams[prefix] = upstream
            if not group:
                del job.groups[prefix], job.last_upstreams[prefix]
            return item
        return None

    def first_runnable(self, group: "collections.deque[Item]") -> Item | None:
        """Return the first item of a group that may run, if any."""
        for item in group:
            if item.begun or not self.only_begun:
                return item
        return None

    def prefixes(self, job: QueuedJob, upstream: str) -> Iterator[int]:
        """Yield the prefixes of a job, the best for an upstream first.

        First comes the prefix that the upstream took last, which is likely
        in its cache, then those that no upstream has taken, then the others.
        """
        last = job.last_prefixes.get(upstream)
        if last is not None and last in job.groups:
            yield last
        for prefix in job.groups:
            if prefix not in job.last_upstreams:
                yield prefix
        yield from job.last_upstreams


def avoids(item: Item, upstream: str, now: float) -> bool:
    """Return whether an item must not run on an upstream yet."""
    return item.avoid == upstream and now < item.not_before + AVOID_S
