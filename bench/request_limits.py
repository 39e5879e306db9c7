"""Compares ways to keep a workspace's request limit over many hosts.

Callers of one workspace send requests to the hosts of a fleet in a pattern.
Each way decides which are admitted; an ideal counter that sees all hosts says
which were within the limit. The hosts exchange messages without delay, so the
figures are the best that each way can do.
"""

__all__ = ["main"]

import abc
import bisect
from collections.abc import Callable
from collections.abc import Iterator
import random
import time

import defopt
import msgspec

from camphortray import limits
from camphortray import request_limits
from camphortray import routemap

WINDOW_S = 5.0
LIMIT = routemap.RateLimit(5.0, 5.0)
# Excess and slack that the platform's rules allow in any window.
ALLOWED = LIMIT.requests_in(WINDOW_S) * 1.1 + 20
LENGTH_S = 40.0


class Way(abc.ABC):
    """A way to keep the limit.

    Attributes:
      hosts: Number of hosts.
    """

    def __init__(self, hosts: int) -> None:
        self.hosts = hosts

    @abc.abstractmethod
    def admit(self, host: int, name: str, now: float) -> bool:
        """Return whether a host admits a request."""


class Coordinator(Way):
    """One host counts the requests of all others."""

    def __init__(self, hosts: int) -> None:
        super().__init__(hosts)
        self.limits = request_limits.RequestLimits(WINDOW_S, -WINDOW_S)

    def admit(self, host: int, name: str, now: float) -> bool:
        request = request_limits.Admission(name, "w", now)
        return self.limits.admit(request, LIMIT) is None


class EvenPart(Way):
    """Each host counts its own requests against an even part."""

    def __init__(self, hosts: int) -> None:
        super().__init__(hosts)
        self.limits = [
            request_limits.RequestLimits(WINDOW_S, -WINDOW_S)
            for _ in range(hosts)
        ]

    def admit(self, host: int, name: str, now: float) -> bool:
        request = request_limits.Admission(name, "w", now)
        part = 1 / self.hosts
        return self.limits[host].admit(request, LIMIT, part) is None


class Shares(Way):
    """One host divides the rate by the demand that the others report."""

    def __init__(self, hosts: int) -> None:
        super().__init__(hosts)
        self.local = [limits.LocalLimits() for _ in range(hosts)]
        self.allocator = limits.ShareAllocator()
        self.reported_at = [0.0] * hosts

    def admit(self, host: int, name: str, now: float) -> bool:
        local = self.local[host]
        admitted = not local.take(now, "w", LIMIT.per_s, self.hosts)
        for key, demand in local.due_reports(now).items():
            share = self.allocator.allocate(
                now, str(host), demand, LIMIT.per_s, self.hosts
            )
            local.set_share(now, key, share)
        return admitted


WAYS: tuple[type[Way], ...] = (Coordinator, Shares, EvenPart)
Pattern = Callable[[int, float, random.Random], int]


def spread(hosts: int, now: float, rng: random.Random) -> int:
    """Send each request to any host."""
    return rng.randrange(hosts)


def one_host(hosts: int, now: float, rng: random.Random) -> int:
    """Send all requests to the same host."""
    return 0


def jumping(hosts: int, now: float, rng: random.Random) -> int:
    """Send all requests to one host, and to another one each second."""
    return int(now) % hosts


PATTERNS: tuple[Pattern, ...] = (spread, one_host, jumping)


class Outcome(msgspec.Struct, frozen=True):
    """What came of a way under a pattern.

    Attributes:
      sent: Requests sent.
      admitted: Requests admitted.
      wrong: Requests refused although they were within the limit.
      most: Most requests admitted in any window.
    """

    sent: int
    admitted: int
    wrong: int
    most: int


def arrivals(per_s: float, rng: random.Random) -> Iterator[float]:
    """Yield the times of requests at a mean rate."""
    now = rng.expovariate(per_s)
    while now < LENGTH_S:
        yield now
        now += rng.expovariate(per_s)


def play(way: Way, pattern: Pattern, per_s: float, seed: int) -> Outcome:
    """Play requests at a rate."""
    rng = random.Random(seed)
    admitted: list[float] = []
    sent = wrong = most = 0
    for number, now in enumerate(arrivals(per_s, rng)):
        sent += 1
        within = len(admitted) - bisect.bisect_right(admitted, now - WINDOW_S)
        if way.admit(pattern(way.hosts, now, rng), f"r{number}", now):
            admitted.append(now)
            most = max(most, within + 1)
        elif within < LIMIT.requests_in(WINDOW_S):
            wrong += 1
    return Outcome(sent, len(admitted), wrong, most)


def compare(hosts: int = 90, seed: int = 1) -> None:
    """Compare the ways, for a demand below the limit and far above.

    Args:
      hosts: Number of hosts.
      seed: Seed of the arrivals.
    """
    print(f"limit {LIMIT.requests_in(WINDOW_S):.0f} in {WINDOW_S:.0f} s,")
    print(f"at most {ALLOWED:.0f} allowed; {hosts} hosts, seed {seed}")
    print("way, pattern, per_s: sent, admitted, wrongly refused, most")
    for per_s in (2.9, 20.0):
        for pattern in PATTERNS:
            for way in WAYS:
                found = play(way(hosts), pattern, per_s, seed)
                print(
                    f"{way.__name__}, {pattern.__name__}, {per_s}:"
                    f" {found.sent}, {found.admitted}, {found.wrong},"
                    f" {found.most}"
                )


def cost(requests: int = 100_000, workspaces: int = 200) -> None:
    """Measure a coordinator's decisions on requests below their limits.

    Args:
      requests: Number of requests, 260 a second.
      workspaces: Number of workspaces that send them in turn.
    """
    counted = request_limits.RequestLimits(WINDOW_S, -WINDOW_S)
    begun = time.process_time()
    for number in range(requests):
        request = request_limits.Admission(
            f"request-{number}.0", f"w{number % workspaces}", number / 260
        )
        counted.admit(request, LIMIT)
    spent_s = time.process_time() - begun
    held = sum(len(log.counts) for log in counted.logs.values())
    print(f"{spent_s / requests * 1e6:.1f} us a decision, {held} held")


def main() -> None:
    """Run from the command line."""
    defopt.run([compare, cost])


if __name__ == "__main__":
    main()
