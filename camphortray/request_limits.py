"""Limits how many online requests of a workspace run in any time window.

The coordinator of a service counts the requests that it admits. A workspace
that calls several services is counted by the coordinator of one of them. The
standbys of a coordinator know its counts (`limit_standby`).
"""

__all__ = [
    "Admission",
    "Change",
    "Count",
    "Excess",
    "RecentAdmissions",
    "RequestLimits",
    "counting_service",
    "share_of_reach",
]

import bisect
import collections
from collections.abc import Iterable
import math
import operator

import msgspec
import xxhash

from camphortray import routemap
from camphortray import shards

# Shortest time after which a refused request is retried, in seconds.
MIN_RETRY_S = 0.05
# The same if its limit may not be reached, as others may have room for it.
UNCERTAIN_RETRY_S = 0.3
# Hosts in reach admit the whole limit if they are at least this share of the
# listed hosts. The others admit no more than the rest of it, if they run.
WHOLE_REACH = 0.9
# Seconds without changes of the coordinator after which it may have counted
# requests that its standby does not know.
KNOWN_GAP_S = 1.0
# Seconds after which hosts have reported to a new coordinator what they have
# admitted since its last update.
REPORTS_S = 0.5


class Admission(msgspec.Struct, frozen=True):
    """One request that counts against the limit of its workspace.

    Attributes:
      id: Id of its slot request.
      workspace: Workspace that it runs for.
      at: When it was admitted, in monotonic seconds.
    """

    id: str
    workspace: str
    at: float


class Excess(msgspec.Struct, frozen=True):
    """Refusal of a request by the limit of its workspace.

    Attributes:
      retry_after_s: Seconds until there is room for it.
      certain: Whether the limit is reached. Else it may be, as this
        coordinator does not know what others have admitted.
    """

    retry_after_s: float
    certain: bool = True


class Count(msgspec.Struct, frozen=True):
    """An admission as coordinators keep it.

    Attributes:
      digest: Hash of the id of its slot request.
      at: When it was admitted, in monotonic seconds.
      here: Whether this coordinator admitted it.
    """

    digest: int
    at: float
    here: bool = False


class Change(msgspec.Struct, frozen=True):
    """An admission that was counted or withdrawn, for standbys."""

    workspace: str
    count: Count
    withdrawn: bool = False


counted_at = operator.attrgetter("at")


class RequestLog:
    """Requests of one workspace that were admitted within the last window.

    Attributes:
      counts: In the order of their times.
      known: Number of times that each digest is in ``counts``.
      here: Number of those that this coordinator admitted.
      reserved: Number of requests that others may have admitted since they
        last sent their counts.
      retries: Times at which refused requests were told to retry.
    """

    def __init__(self) -> None:
        self.counts: list[Count] = []
        self.known: collections.Counter[int] = collections.Counter()
        self.here = 0
        self.reserved = 0
        self.retries: list[float] = []

    def add(self, count: Count) -> None:
        """Add an admission."""
        bisect.insort(self.counts, count, key=counted_at)
        self.known[count.digest] += 1
        self.here += count.here

    def dropped(self, count: Count) -> None:
        """Update what is derived from ``counts`` after a removal."""
        self.here -= count.here
        self.known[count.digest] -= 1
        if not self.known[count.digest]:
            del self.known[count.digest]

    def forget(self, before: float, now: float) -> None:
        """Drop admissions before a time, and retries that are due."""
        first = bisect.bisect_right(self.counts, before, key=counted_at)
        for count in self.counts[:first]:
            self.dropped(count)
        del self.counts[:first]
        del self.retries[: bisect.bisect_right(self.retries, now)]

    def pop(self, digest: int) -> Count | None:
        """Remove and return the newest admission with a digest, if any.

        A caller may have sent several requests with the same id.
        """
        if digest not in self.known:
            return None
        for place in reversed(range(len(self.counts))):
            if self.counts[place].digest == digest:
                count = self.counts.pop(place)
                self.dropped(count)
                return count
        return None

    def count_since(self, at: float) -> int:
        """Return the number of requests admitted since a time."""
        first = bisect.bisect_left(self.counts, at, key=counted_at)
        return len(self.counts) - first

    def here_since(self, at: float) -> int:
        """Return how many requests this coordinator admitted since a time."""
        first = bisect.bisect_left(self.counts, at, key=counted_at)
        return sum(count.here for count in self.counts[first:])


class RequestLimits:
    """Counts of the requests that one coordinator has admitted.

    Attributes:
      window_s: Length of the window, in seconds.
      since: When this coordinator began to count, or the one whose standby
        it is. It may not know of requests that were admitted before.
      updated_at: When the last changes of a coordinator were received.
      logs: Recent admissions by workspace.
      leads: Whether requests are admitted here, not by another coordinator
        alone.
      reserved_until: Until when places are kept for requests that a previous
        coordinator may have admitted.
      changes: What standbys have not been sent yet, if it leads.
    """

    def __init__(self, window_s: float, since: float) -> None:
        self.window_s = window_s
        self.since = since
        self.updated_at = since
        self.logs: dict[str, RequestLog] = {}
        self.leads = False
        self.reserved_until = -math.inf
        self.changes: list[Change] = []

    def admit(
        self,
        request: Admission,
        limit: routemap.RateLimit,
        share: float = 1.0,
        spent: int = 0,
    ) -> Excess | None:
        """Count a request if it is within the limit of its workspace.

        Args:
          request: The request; ``at`` is the present time.
          limit: Limit over all hosts.
          share: Share of it that this coordinator may admit; at least one
            request a window, whatever the share.
          spent: Requests of the workspace that this host has sent within the
            window. They count to its share, whoever admitted them.

        Returns:
          None if it was counted, else its refusal.
        """
        now = request.at
        log = self.logs.setdefault(request.workspace, RequestLog())
        log.forget(now - self.window_s, now)
        most = max(1, math.floor(limit.requests_in(self.window_s)))
        if len(log.counts) >= most:
            return Excess(self.retry_s(log, most, now))
        # What others have admitted is known here, or is within their share.
        if max(log.here, spent) >= max(1, math.floor(share * most)):
            return Excess(UNCERTAIN_RETRY_S, certain=False)
        reserved = log.reserved if now < self.reserved_until else 0
        if len(log.counts) + reserved >= most:
            return Excess(UNCERTAIN_RETRY_S, certain=False)
        # Requests that a new coordinator does not know of may have run within
        # the window, so it admits only what the limit allows since it began.
        known_s = min(now - self.since, self.window_s)
        allowed = max(1.0, share * limit.requests_in(known_s))
        if self.since > now - self.window_s and (
            log.here_since(self.since) >= allowed
        ):
            return Excess(UNCERTAIN_RETRY_S, certain=False)
        count = Count(digest(request.id), now, here=True)
        log.add(count)
        self.note(Change(request.workspace, count))
        return None

    def note(self, change: Change) -> None:
        """Keep a change for the standbys."""
        if self.leads:
            self.changes.append(change)

    def begin(self, now: float) -> None:
        """Begin to admit, as the coordinator of the service."""
        self.leads = True
        gap_s = now - self.updated_at
        if gap_s > KNOWN_GAP_S:
            self.since = now
            return
        self.reserved_until = now + REPORTS_S
        for log in self.logs.values():
            log.reserved = log.count_since(self.updated_at - gap_s)

    def retry_s(self, log: RequestLog, most: int, now: float) -> float:
        """Return when a refused request should be sent again.

        Each is told the time at which another admission leaves the window,
        so that those refused together do not all return at once.
        """
        excess = len(log.counts) - most
        following = min(excess + len(log.retries), len(log.counts) - 1)
        at = log.counts[following].at + self.window_s
        if len(log.retries) < most:
            bisect.insort(log.retries, at)
        return max(MIN_RETRY_S, at - now)

    def withdraw(self, request_id: str, workspace: str) -> None:
        """Remove a request that did not run."""
        count = self.remove(digest(request_id), workspace)
        if count is not None:
            self.note(Change(workspace, count, withdrawn=True))

    def remove(self, request_digest: int, workspace: str) -> Count | None:
        """Remove and return an admission, if it is known."""
        log = self.logs.get(workspace)
        return log.pop(request_digest) if log is not None else None

    def merge(self, requests: Iterable[Admission], now: float) -> None:
        """Add requests that other coordinators have admitted."""
        for request in requests:
            count = Count(digest(request.id), request.at)
            if self.merge_count(request.workspace, count, now):
                self.note(Change(request.workspace, count))

    def merge_count(self, workspace: str, count: Count, now: float) -> bool:
        """Add an admission unless it is known or has left the window.

        Returns:
          Whether it was added.
        """
        log = self.logs.setdefault(workspace, RequestLog())
        log.forget(now - self.window_s, now)
        if count.at <= now - self.window_s or count.digest in log.known:
            return False
        log.add(count)
        return True

    def apply(
        self, changes: Iterable[Change], since: float, now: float
    ) -> bool:
        """Apply the changes of another coordinator.

        They are not noted: two hosts that both admit would send each other
        the same changes again and again.

        Args:
          changes: Its changes since the last ones.
          since: When it began to count.
          now: Present time.

        Returns:
          Whether any was new.
        """
        self.updated_at = now
        self.since = min(self.since, since)
        new = False
        for change in changes:
            count, workspace = change.count, change.workspace
            if change.withdrawn:
                new |= self.remove(count.digest, workspace) is not None
            else:
                new |= self.merge_count(workspace, count, now)
        return new

    def take_changes(self) -> list[Change]:
        """Return what standbys have not been sent, and forget it."""
        changes, self.changes = self.changes, []
        return changes

    def everything(self) -> list[Change]:
        """Return all admissions of the window, for a new standby."""
        return [
            Change(workspace, count)
            for workspace, log in self.logs.items()
            for count in log.counts
        ]

    def prune(self, now: float) -> None:
        """Drop the logs of workspaces without recent requests."""
        for workspace, log in list(self.logs.items()):
            log.forget(now - self.window_s, now)
            if not log.counts:
                del self.logs[workspace]


def digest(request_id: str) -> int:
    """Return the hash by which admissions of one request are matched."""
    return xxhash.xxh32_intdigest(request_id.encode())


class RecentAdmissions:
    """Requests of one host that were admitted within the last window.

    A new coordinator is sent those that it does not know.

    Attributes:
      window_s: Length of the window, in seconds.
      known_to: Coordinators that count a request, by its id.
      admitted: Admissions and the service whose coordinator counts them.
    """

    def __init__(self, window_s: float) -> None:
        self.window_s = window_s
        self.known_to: dict[str, set[str]] = {}
        self.admitted: collections.deque[tuple[Admission, str]] = (
            collections.deque()
        )

    def add(
        self, request: Admission, service: str, coordinators: Iterable[str]
    ) -> None:
        """Add a request that coordinators have counted."""
        self.forget(request.at)
        self.admitted.append((request, service))
        self.known_to[request.id] = set(coordinators)

    def forget(self, now: float) -> None:
        """Drop the requests that have left the window."""
        while self.admitted and (
            self.admitted[0][0].at <= now - self.window_s
        ):
            self.known_to.pop(self.admitted.popleft()[0].id, None)

    def unknown_to(
        self, coordinator: str, service: str, now: float
    ) -> list[Admission]:
        """Return the requests that the coordinator of a service lacks."""
        self.forget(now)
        return [
            request
            for request, counted_by in self.admitted
            if counted_by == service
            and coordinator not in self.known_to.get(request.id, ())
        ]

    def count(self, workspace: str, now: float) -> int:
        """Return the number of requests of a workspace in the window."""
        self.forget(now)
        return sum(
            request.workspace == workspace for request, _ in self.admitted
        )

    def on_lost(self, coordinator: str) -> None:
        """Record that a coordinator has ended, and its counts with it."""
        for names in self.known_to.values():
            names.discard(coordinator)

    def on_reported(
        self, coordinator: str, requests: Iterable[Admission]
    ) -> None:
        """Record that a coordinator has received a report of requests."""
        for request in requests:
            self.known_to.setdefault(request.id, set()).add(coordinator)


def share_of_reach(reach: float) -> float:
    """Return the share of limits for the listed hosts that are in reach.

    Hosts out of reach may have been lost, or be on the other side of a
    partition with a coordinator of their own.

    >>> share_of_reach(0.4), share_of_reach(0.95)
    (0.4, 1.0)
    """
    return 1.0 if reach >= WHOLE_REACH else reach


def counting_service(workspace: str, services: Iterable[str]) -> str | None:
    """Return the service whose coordinator counts a workspace's requests.

    >>> counting_service("w", ["a"]), counting_service("w", [])
    ('a', None)
    """
    return shards.preferred(f"limits/{workspace}", services)
