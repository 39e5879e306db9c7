"""Limits how many online requests of a workspace run in any time window.

The coordinator of a service counts the requests that it admits. A workspace
that calls several services is counted by the coordinator of one of them.
"""

__all__ = [
    "Admission",
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

from camphortray import routemap
from camphortray import shards

# Shortest time after which a refused request is retried, in seconds.
MIN_RETRY_S = 0.05
# The same if its limit may not be reached, as others may have room for it.
UNCERTAIN_RETRY_S = 0.3
# Hosts in reach admit the whole limit if they are at least this share of the
# listed hosts. The others admit no more than the rest of it, if they run.
WHOLE_REACH = 0.9


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


admitted_at = operator.attrgetter("at")


class RequestLog:
    """Requests of one workspace that were admitted within the last window.

    Attributes:
      admitted: In the order of their times.
      retries: Times at which refused requests were told to retry.
    """

    def __init__(self) -> None:
        self.admitted: list[Admission] = []
        self.retries: list[float] = []

    def forget(self, before: float, now: float) -> None:
        """Drop admissions before a time, and retries that are due."""
        first = bisect.bisect_right(self.admitted, before, key=admitted_at)
        del self.admitted[:first]
        del self.retries[: bisect.bisect_right(self.retries, now)]

    def count_since(self, at: float) -> int:
        """Return the number of requests admitted since a time."""
        first = bisect.bisect_left(self.admitted, at, key=admitted_at)
        return len(self.admitted) - first


class RequestLimits:
    """Counts of the requests that one coordinator has admitted.

    Attributes:
      window_s: Length of the window, in seconds.
      since: When this coordinator began to count. It may not know of
        requests that were admitted before.
      logs: Recent admissions by workspace.
    """

    def __init__(self, window_s: float, since: float) -> None:
        self.window_s = window_s
        self.since = since
        self.logs: dict[str, RequestLog] = {}

    def admit(
        self,
        request: Admission,
        limit: routemap.RateLimit,
        share: float = 1.0,
    ) -> Excess | None:
        """Count a request if it is within the limit of its workspace.

        Args:
          request: The request; ``at`` is the present time.
          limit: Limit over all hosts.
          share: Share of it that this coordinator may admit; at least one
            request a window, whatever the share.

        Returns:
          None if it was counted, else its refusal.
        """
        now = request.at
        log = self.logs.setdefault(request.workspace, RequestLog())
        log.forget(now - self.window_s, now)
        most = max(1, math.floor(limit.requests_in(self.window_s)))
        if len(log.admitted) >= most:
            return Excess(self.retry_s(log, most, now))
        if len(log.admitted) >= max(1, math.floor(share * most)):
            return Excess(UNCERTAIN_RETRY_S, certain=False)
        # Requests that a new coordinator does not know of may have run within
        # the window, so it admits only what the limit allows since it began.
        known_s = min(now - self.since, self.window_s)
        allowed = max(1.0, share * limit.requests_in(known_s))
        if log.count_since(self.since) >= allowed:
            return Excess(UNCERTAIN_RETRY_S, certain=False)
        log.admitted.append(request)
        return None

    def retry_s(self, log: RequestLog, most: int, now: float) -> float:
        """Return when a refused request should be sent again.

        Each is told the time at which another admission leaves the window,
        so that those refused together do not all return at once.
        """
        excess = len(log.admitted) - most
        following = min(excess + len(log.retries), len(log.admitted) - 1)
        at = log.admitted[following].at + self.window_s
        if len(log.retries) < most:
            bisect.insort(log.retries, at)
        return max(MIN_RETRY_S, at - now)

    def withdraw(self, request_id: str, workspace: str) -> None:
        """Remove a request that was refused for another reason."""
        log = self.logs.get(workspace, RequestLog())
        for place in reversed(range(len(log.admitted))):
            if log.admitted[place].id == request_id:
                # A caller may have sent an earlier one with the same id.
                del log.admitted[place]
                return

    def merge(self, requests: Iterable[Admission], now: float) -> None:
        """Add requests that other coordinators have admitted."""
        for request in requests:
            log = self.logs.setdefault(request.workspace, RequestLog())
            log.forget(now - self.window_s, now)
            if request.at <= now - self.window_s:
                continue
            if all(known.id != request.id for known in log.admitted):
                bisect.insort(log.admitted, request, key=admitted_at)

    def prune(self, now: float) -> None:
        """Drop the logs of workspaces without recent requests."""
        for workspace, log in list(self.logs.items()):
            log.forget(now - self.window_s, now)
            if not log.admitted:
                del self.logs[workspace]


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
