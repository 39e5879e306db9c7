"""Finds the prompt segment that crashes engines, from reports of crashes.

A crash blames each segment of the requests that had no answer there yet. Most
of them are innocent: all that is in flight at an engine breaks with it, and
requests share segments. Answers clear them, wherever they were made, so that
one segment is left.
"""

__all__ = ["Attempt", "CrashAttribution", "CrashReport", "Culprit"]

from collections.abc import Iterable

import msgspec

# Crashes of different engines, under different requests, that a segment has to
# explain.
MIN_CRASHES = 3
MIN_REQUESTS = 2
# Crashes of a segment that none further back in the prompts explains.
MIN_UNEXPLAINED = 2
# Seconds after a crash until answers that clear its segments are known.
SETTLE_S = 1.0
# Difference between the clocks by which that is measured, in seconds.
TOLERANCE_S = 0.1
# Seconds by which an answer may precede a crash and still clear its segments:
# the engines that wrote it are the same.
CLEARED_S = 1.0
# Reports on one engine within this time are of one crash, in seconds.
SAME_CRASH_S = 2.0
# Engines that crash within this time of each other may have lost their rack,
# zone or power, in seconds; so many of them have, and a segment that was at
# fewer than this share of them is not to blame.
COMMON_CAUSE_S = 1.0
MIN_COMMON_CAUSE = 4
MIN_SHARE = 1 / 3
# Seconds for which a crash is remembered, and the most crashes of a service.
CRASH_TTL_S = 3600.0
MAX_CRASHES = 256
# Segments of one report that are read.
MAX_SEGMENTS = 256


class Attempt(msgspec.Struct, frozen=True):
    """An attempt that broke before its answer.

    Attributes:
      request: Digest of the request, equal for its repeats.
      segments: Identifiers of the prompt segments that it shares with other
        requests, in order.
    """

    request: str
    segments: tuple[str, ...]


class CrashReport(msgspec.Struct, frozen=True):
    """A crash of an engine as one host saw it.

    Attributes:
      service: Service of the engine.
      engine: Name of its incarnation.
      at: Time in wall-clock seconds.
      attempts: Attempts of the host that had no answer there yet.
    """

    service: str
    engine: str
    at: float
    attempts: tuple[Attempt, ...]


class Culprit(msgspec.Struct, frozen=True):
    """Segments that crash engines.

    Attributes:
      service: Service of the engines.
      segments: One segment, or several that no crash has told apart: then
        only requests with all of them are known to crash engines.
      at: Time of the last crash that shows it, in wall-clock seconds.
      crashes: Number of these crashes.
    """

    service: str
    segments: frozenset[str]
    at: float
    crashes: int

    @property
    def key(self) -> str:
        """Service and segments as one text."""
        return f"{self.service}/{'+'.join(sorted(self.segments))}"


class Crash:
    """A crash as all reports show it.

    Attributes:
      requests: Digests of the requests without an answer, by segment.
      positions: Foremost position of each segment in their prompts.
    """

    def __init__(self, engine: str, at: float) -> None:
        self.engine = engine
        self.at = at
        self.requests: dict[str, set[str]] = {}
        self.positions: dict[str, int] = {}

    def add(self, report: CrashReport) -> None:
        """Add what another host reports of it."""
        for attempt in report.attempts:
            for position, segment in enumerate(attempt.segments):
                if len(self.requests) < MAX_SEGMENTS:
                    self.requests.setdefault(segment, set())
                if segment in self.requests:
                    self.requests[segment].add(attempt.request)
                    held = self.positions.get(segment, position)
                    self.positions[segment] = min(held, position)


class CrashAttribution:
    """Weighs the crashes of all engines against the answers.

    Attributes:
      crashes: Crashes by service, in the order in which they were reported.
      answered_at: When a segment was last known to be answered, by service and
        segment, in wall-clock seconds; only of segments that a crash blames
        somewhere.
    """

    def __init__(self) -> None:
        self.crashes: dict[str, list[Crash]] = {}
        self.answered_at: dict[tuple[str, str], float] = {}

    def record_crash(self, report: CrashReport) -> None:
        """Record a report."""
        crashes = self.crashes.setdefault(report.service, [])
        for crash in crashes:
            if (
                crash.engine == report.engine
                and abs(crash.at - report.at) < SAME_CRASH_S
            ):
                crash.add(report)
                return
        crash = Crash(report.engine, report.at)
        crash.add(report)
        crashes.append(crash)
        del crashes[:-MAX_CRASHES]

    def record_answer(self, service: str, segment: str, at: float) -> None:
        """Record that an engine began an answer on a segment and went on.

        Args:
          service: Service of the engine.
          segment: Prompt segment of the request.
          at: When the answer began, in wall-clock seconds.
        """
        key = service, segment
        self.answered_at[key] = max(at, self.answered_at.get(key, at))

    def of(self, service: str) -> list[Crash]:
        """Return the crashes of a service."""
        return self.crashes.get(service, [])

    def crashes_under(
        self, service: str, segments: Iterable[str]
    ) -> list[float]:
        """Return when engines crashed under requests with all segments."""
        wanted = set(segments)
        return [c.at for c in self.of(service) if wanted <= set(c.requests)]

    def would_clear(self, service: str, segment: str, at: float) -> bool:
        """Return whether an answer at that time would clear a segment."""
        known_at = self.answered_at.get((service, segment))
        if known_at is not None and at <= known_at:
            return False
        return any(
            segment in crash.requests
            and (known_at is None or known_at < crash.at - CLEARED_S)
            for crash in self.of(service)
        )

    def prune(self, now: float) -> None:
        """Forget crashes whose time is over."""
        for service, crashes in list(self.crashes.items()):
            kept = [c for c in crashes if now - c.at < CRASH_TTL_S]
            if kept:
                self.crashes[service] = kept
            else:
                del self.crashes[service]
        for key, at in list(self.answered_at.items()):
            if now - at >= CRASH_TTL_S:
                del self.answered_at[key]

    def forget(self, culprit: Culprit) -> None:
        """Forget what has been held against segments."""
        for crash in self.of(culprit.service):
            for segment in culprit.segments:
                crash.requests.pop(segment, None)

    def culprits(self, now: float) -> list[Culprit]:
        """Return the segments that are shown to crash engines.

        Args:
          now: Present time in wall-clock seconds.
        """
        return [
            culprit
            for service in self.crashes
            for culprit in self.culprits_of(service, now)
        ]

    def culprits_of(self, service: str, now: float) -> list[Culprit]:
        """Return the segments that crash engines of a service."""
        held = self.implicated(service, now)
        answered = {s for s in held if (service, s) in self.answered_at}
        unanswered = groups(
            {s: numbers for s, numbers in held.items() if s not in answered}
        )
        found = [
            group
            for group in unanswered
            if len(group.crashes - self.explained(service, group, unanswered))
            >= MIN_UNEXPLAINED
        ]
        # A segment that has been answered is at fault only for crashes that
        # none of the others explains.
        explained = union(unanswered)
        found += [
            group
            for group in groups({s: held[s] for s in answered})
            if len(group.crashes - explained) >= MIN_CRASHES
        ]
        crashes = self.of(service)
        return [
            Culprit(
                service,
                group.segments,
                max(crashes[number].at for number in group.crashes),
                len(group.crashes),
            )
            for group in found
        ]

    def explained(
        self, service: str, group: "Group", groups: Iterable["Group"]
    ) -> frozenset[int]:
        """Return the crashes that segments further back in prompts explain.

        Requests share more the further in front a segment stands, so that one
        in front has the crashes of all bad ones behind it.
        """
        depth = self.depth(service, group)
        return union(
            other for other in groups if self.depth(service, other) > depth
        )

    def depth(self, service: str, group: "Group") -> int:
        """Return the foremost position of segments in prompts."""
        return min(
            crash.positions[segment]
            for crash in self.of(service)
            for segment in group.segments
            if segment in crash.positions
        )

    def implicated(
        self, service: str, now: float
    ) -> dict[str, frozenset[int]]:
        """Return the crashes held against each segment, if enough.

        Returns:
          Indices of crashes by segment.
        """
        held: dict[str, set[int]] = {}
        requests: dict[str, set[str]] = {}
        for number, crash in enumerate(self.of(service)):
            if now - crash.at < SETTLE_S - TOLERANCE_S:
                continue
            for segment in self.blamed(service, crash):
                held.setdefault(segment, set()).add(number)
                requests.setdefault(segment, set()).update(
                    crash.requests[segment]
                )
        return {
            segment: frozenset(numbers)
            for segment, numbers in held.items()
            if len(numbers) >= MIN_CRASHES
            and len(requests[segment]) >= MIN_REQUESTS
        }

    def blamed(self, service: str, crash: Crash) -> Iterable[str]:
        """Return the segments that a crash is held against."""
        near = [
            other
            for other in self.of(service)
            if abs(other.at - crash.at) <= COMMON_CAUSE_S
        ]
        for segment in crash.requests:
            answered_at = self.answered_at.get((service, segment))
            if answered_at is not None and (
                answered_at >= crash.at - CLEARED_S
            ):
                continue
            count = sum(segment in other.requests for other in near)
            if len(near) < MIN_COMMON_CAUSE or count >= MIN_SHARE * len(near):
                yield segment


class Group(msgspec.Struct, frozen=True):
    """Segments with the same crashes, by their indices."""

    segments: frozenset[str]
    crashes: frozenset[int]


def groups(held: dict[str, frozenset[int]]) -> list[Group]:
    """Return the segments that no crash tells apart, with their crashes."""
    found: dict[frozenset[int], set[str]] = {}
    for segment, numbers in sorted(held.items()):
        found.setdefault(numbers, set()).add(segment)
    return [Group(frozenset(s), numbers) for numbers, s in found.items()]


def union(found: Iterable[Group]) -> frozenset[int]:
    """Return the crashes of all groups."""
    return frozenset().union(*(group.crashes for group in found))
