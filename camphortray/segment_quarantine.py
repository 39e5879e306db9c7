"""Refuses requests whose prompts have a segment that crashes engines.

Each host reports the crashes that it sees, and the answers that clear what
they blame, to all hosts; `crash_attribution` decides.
"""

__all__ = ["Quarantine", "SegmentQuarantine"]

import asyncio
import collections
from typing import ClassVar
from typing import TypeVar

import msgspec

from camphortray import crash_attribution
from camphortray import kernel
from camphortray import logs
from camphortray import membership
from camphortray import metrics as metrics_module
from camphortray import peers
from camphortray import quarantine_probe
from camphortray import shards
from camphortray import tasks

LOG = logs.logger("quarantine")
# Kinds of the facts about crashes, answers that clear segments of a crash,
# quarantines, and probes of quarantines.
CRASH_FACT = "segment-crash"
ANSWER_FACT = "segment-answered"
QUARANTINE_FACT = "segment-quarantine"
PROBE_FACT = "segment-probe"
# Seconds for which a quarantine lasts.
QUARANTINE_S = 3600.0
# Seconds from one look at the reports to the next.
TICK_S = 0.1
# Longest delay, in seconds, before a host reports that it has answers on what
# a crash blames; others may have reported them meanwhile.
ANSWER_JITTER_S = 0.15
# Crashes that a host reports within a window, and the window in seconds.
MAX_REPORTS = 32
REPORT_WINDOW_S = 10.0
# Requests and segments of one report.
MAX_ATTEMPTS = 16
MAX_SEGMENTS = 48
# Characters of the digest of a request in a report.
DIGEST_LENGTH = 8
# Segments whose last answer is remembered.
MAX_ANSWERED = 2_000
# Quarantines in force at once; the oldest end first.
MAX_QUARANTINES = 1_000

T = TypeVar("T")


class SegmentAnswer(msgspec.Struct, frozen=True):
    """An answer on a segment that a crash blames; the value of a fact.

    Attributes:
      service: Service of the engine.
      segment: Prompt segment of the request.
      at: When the answer began, in wall-clock seconds.
    """

    service: str
    segment: str
    at: float


class Probe(msgspec.Struct, frozen=True):
    """An item runs in spite of a quarantine; the value of a fact.

    Attributes:
      key: The quarantine.
      at: When, in wall-clock seconds.
    """

    key: str
    at: float


class Quarantine(msgspec.Struct, frozen=True):
    """Segments that no request may have until a time.

    Attributes:
      service: Service whose engines they crash.
      segments: Refused where all of them are in one prompt.
      at: Time of the last crash that showed it, in wall-clock seconds.
      until: When it ends, in wall-clock seconds.
      crashes: Number of crashes that showed it.
      stored: Whether the store has it.
    """

    service: str
    segments: tuple[str, ...]
    at: float
    until: float
    crashes: int
    stored: bool = False

    @property
    def key(self) -> str:
        """Service and segments as one text."""
        return f"{self.service}/{'+'.join(self.segments)}"

    def __str__(self) -> str:
        return (
            f"prompt segment {' with '.join(self.segments)} crashed"
            f" {self.crashes} engines of {self.service}"
        )


@kernel.PARTS.register("entry", "batch")
class SegmentQuarantine(kernel.Part):
    """Quarantines in force, shared by all hosts.

    They last as long as one host that knows of them.

    Attributes:
      attribution: Crashes and answers known to this host.
      in_force: Quarantines by key.
      by_segment: The same by service and first segment.
      answered: When a segment was last answered here, by service and segment,
        in wall-clock seconds; the least recent first.
      probes: Probes by the key of a quarantine in force.
      weigh_at: When reported crashes are to be weighed, in monotonic seconds.
      reported: Times of the last reports of crashes.
    """

    name: ClassVar[str] = "segment_quarantine"
    requires: ClassVar[tuple[str, ...]] = ("membership", "peers")

    def __init__(self, context: kernel.Context) -> None:
        self.clock = context.clock
        self.rng = context.rng
        self.program = context.program
        self.metrics: metrics_module.Metrics = context.metrics
        self.members = context.part(membership.Membership)
        self.links = context.part(peers.Peers)
        self.attribution = crash_attribution.CrashAttribution()
        self.in_force: dict[str, Quarantine] = {}
        self.by_segment: dict[tuple[str, str], list[Quarantine]] = {}
        self.answered: collections.OrderedDict[tuple[str, str], float] = (
            collections.OrderedDict()
        )
        self.probes: dict[str, quarantine_probe.ProbeSchedule] = {}
        self.weigh_at: collections.deque[float] = collections.deque()
        self.reported: collections.deque[float] = collections.deque()
        self.task: asyncio.Task[None] | None = None

    @classmethod
    def from_config(cls, context: kernel.Context) -> "SegmentQuarantine":
        return cls(context)

    async def start(self) -> None:
        self.members.on_fact(CRASH_FACT, self.on_crash_fact)
        self.members.on_fact(ANSWER_FACT, self.on_answer_fact)
        self.members.on_fact(QUARANTINE_FACT, self.on_quarantine_fact)
        self.members.on_fact(PROBE_FACT, self.on_probe_fact)
        work = tasks.forever("quarantine of prompt segments", self.run)
        self.task = asyncio.get_running_loop().create_task(work)

    async def stop(self) -> None:
        if self.task is not None:
            self.task.cancel()

    # Interface to requests and items.

    @property
    def weighing(self) -> bool:
        """Whether answers may clear segments of a crash."""
        return bool(self.attribution.crashes)

    def find(
        self, service: str, segments: tuple[str, ...]
    ) -> Quarantine | None:
        """Return the quarantine that a request falls under, or None."""
        if not self.by_segment:
            return None
        for segment in segments:
            for found in self.by_segment.get((service, segment), ()):
                if set(found.segments) <= set(segments):
                    return found
        return None

    def may_probe(self, quarantine: Quarantine) -> bool:
        """Return whether an item may run in spite of a quarantine.

        If so, no other one may on any host until it shows something.
        """
        schedule = self.probes.get(quarantine.key)
        now = self.clock.wall()
        if schedule is None or not schedule.looks(now):
            return False
        crashes = self.attribution.crashes_under(
            quarantine.service, quarantine.segments
        )
        delay_s = 0.0 if self.is_first(quarantine.key) else schedule.delay_s
        if not schedule.is_due(crashes, now - delay_s):
            return False
        schedule.record(now)
        self.members.publish(
            PROBE_FACT,
            quarantine.key,
            msgspec.to_builtins(Probe(quarantine.key, now)),
            quarantine_probe.PROBE_S,
        )
        LOG.notice("An item tests a quarantine: {}.", quarantine)
        self.metrics.inc(
            "camphortray_quarantine_probes_total",
            "Items run in spite of a quarantine, to test it.",
            {"service": quarantine.service},
        )
        return True

    def left_s(self, quarantine: Quarantine) -> float:
        """Return the seconds until a quarantine ends."""
        return max(0.0, quarantine.until - self.clock.wall())

    # What this host sees.

    def on_crash(self, crash: crash_attribution.CrashReport) -> None:
        """Report a crash to all hosts."""
        now = self.clock.monotonic()
        while self.reported and now - self.reported[0] > REPORT_WINDOW_S:
            self.reported.popleft()
        if len(self.reported) >= MAX_REPORTS:
            LOG.warning("Crash of {} is not reported.", crash.engine)
            return
        self.reported.append(now)
        report = trimmed(crash)
        key = f"{crash.engine}/{self.members.own_name}/{crash.at:.3f}"
        self.members.publish(
            CRASH_FACT,
            key,
            msgspec.to_builtins(report),
            crash_attribution.CRASH_TTL_S,
        )

    def on_answer(
        self, service: str, segments: tuple[str, ...], at: float
    ) -> None:
        """Remember an answer; report it if that clears a segment."""
        for segment in segments:
            self.answered[service, segment] = at
            self.answered.move_to_end((service, segment))
            if self.weighing or self.in_force:
                self.report_answer(service, segment)
        while len(self.answered) > MAX_ANSWERED:
            self.answered.popitem(last=False)

    def report_answer(self, service: str, segment: str) -> None:
        """Report this host's last answer on a segment if that clears it."""
        at = self.answered.get((service, segment))
        if at is None or not self.clears(service, segment, at):
            return
        # The last answer is to win, whichever host reports it first.
        self.members.offer(
            membership.Fact(
                ANSWER_FACT,
                f"{service}/{segment}",
                round(at * 1000),
                msgspec.to_builtins(SegmentAnswer(service, segment, at)),
                crash_attribution.CRASH_TTL_S,
            )
        )

    def clears(self, service: str, segment: str, at: float) -> bool:
        """Return whether an answer tells hosts something of a segment."""
        if self.attribution.would_clear(service, segment, at):
            return True
        known_at = self.attribution.answered_at.get((service, segment), 0.0)
        return any(
            quarantine.service == service
            and segment in quarantine.segments
            and known_at <= quarantine.at < at
            for quarantine in self.in_force.values()
        )

    # What hosts report.

    def on_crash_fact(self, fact: membership.Fact) -> None:
        """Record a host's report of a crash."""
        report = self.read(fact, crash_attribution.CrashReport)
        if report is None:
            return
        # Clocks differ; a crash cannot lie ahead.
        at = min(report.at, self.clock.wall())
        report = msgspec.structs.replace(report, at=at)
        self.attribution.record_crash(report)
        settled_at = self.clock.monotonic() + crash_attribution.SETTLE_S
        self.weigh_at.append(settled_at)
        self.links.spawn(self.report_answers(report))

    async def report_answers(
        self, report: crash_attribution.CrashReport
    ) -> None:
        """Report answers of this host that clear segments of a crash."""
        await asyncio.sleep(self.rng.uniform(0.0, ANSWER_JITTER_S))
        segments = {s for each in report.attempts for s in each.segments}
        for segment in sorted(segments):
            self.report_answer(report.service, segment)

    def on_answer_fact(self, fact: membership.Fact) -> None:
        """Record a host's report of an answer."""
        answer = self.read(fact, SegmentAnswer)
        if answer is None:
            return
        self.attribution.record_answer(
            answer.service, answer.segment, answer.at
        )
        for quarantine in list(self.in_force.values()):
            if self.is_refuted(quarantine):
                self.end(quarantine, "it was answered since")
                if self.is_first(quarantine.key):
                    self.on_ended(quarantine)

    def is_refuted(self, quarantine: Quarantine) -> bool:
        """Return whether all segments were answered after the last crash."""
        answered_at = self.attribution.answered_at
        return all(
            answered_at.get((quarantine.service, segment), 0.0) > quarantine.at
            for segment in quarantine.segments
        )

    def on_quarantine_fact(self, fact: membership.Fact) -> None:
        """Take over a quarantine that a host has found."""
        quarantine = self.read(fact, Quarantine)
        if quarantine is not None:
            self.put(quarantine)

    def on_probe_fact(self, fact: membership.Fact) -> None:
        """Take note of a probe by any host."""
        probe = self.read(fact, Probe)
        schedule = self.probes.get(probe.key) if probe is not None else None
        if probe is not None and schedule is not None:
            # Clocks differ; a probe cannot lie ahead.
            schedule.record(min(probe.at, self.clock.wall()))

    def read(self, fact: membership.Fact, cls: type[T]) -> T | None:
        """Return the value of a fact, or None if it cannot be read."""
        try:
            return msgspec.convert(fact.value, cls)
        except msgspec.ValidationError as error:
            LOG.error("Invalid fact {}: {}", fact.name, error)
            return None

    # Quarantines.

    async def run(self) -> None:
        """Weigh what is reported, and keep the store up to date."""
        while True:
            self.tick()
            await asyncio.sleep(TICK_S)

    def tick(self) -> None:
        """Do what is due; called about ten times a second."""
        self.decide()

    def decide(self) -> None:
        """Begin and end quarantines that are due."""
        now = self.clock.wall()
        for quarantine in list(self.in_force.values()):
            if quarantine.until <= now:
                self.end(quarantine, "its time is over")
                if self.is_first(quarantine.key):
                    self.on_ended(quarantine)
        if not self.weigh_at or self.weigh_at[0] > self.clock.monotonic():
            return
        while self.weigh_at and self.weigh_at[0] <= self.clock.monotonic():
            self.weigh_at.popleft()
        self.attribution.prune(now)
        for culprit in self.attribution.culprits(now):
            if culprit.key not in self.in_force:
                self.begin(culprit, now)

    def begin(self, culprit: crash_attribution.Culprit, now: float) -> None:
        """Begin a quarantine and publish it."""
        quarantine = Quarantine(
            culprit.service,
            tuple(sorted(culprit.segments)),
            culprit.at,
            now + QUARANTINE_S,
            culprit.crashes,
        )
        self.put(quarantine)
        if self.is_first(culprit.key):
            self.publish(quarantine)

    def publish(self, quarantine: Quarantine) -> None:
        """Publish a quarantine, also for hosts that join later."""
        self.members.publish(
            QUARANTINE_FACT,
            quarantine.key,
            msgspec.to_builtins(quarantine),
            self.left_s(quarantine),
        )

    def is_first(self, key: str) -> bool:
        """Return whether this host is to act on a quarantine before others."""
        names = [member.name for member in self.members.live(self.program)]
        return shards.preferred(key, names) in (None, self.members.own_name)

    def put(self, quarantine: Quarantine) -> None:
        """Put a quarantine in force unless it is already."""
        if quarantine.until <= self.clock.wall() or self.is_refuted(
            quarantine
        ):
            return
        held = self.in_force.get(quarantine.key)
        if held is not None and (held.stored or not quarantine.stored):
            return
        self.in_force[quarantine.key] = quarantine
        if quarantine.key not in self.probes:
            self.probes[quarantine.key] = quarantine_probe.ProbeSchedule(
                quarantine.at, self.rng.uniform(*quarantine_probe.DELAY_S)
            )
        if held is None:
            LOG.warning(
                "Requests are refused for {:.0f} s: {}.",
                self.left_s(quarantine),
                quarantine,
                fields={
                    "service": quarantine.service,
                    "prompt_segments": list(quarantine.segments),
                    "crashes": quarantine.crashes,
                    "stored": quarantine.stored,
                },
            )
        while len(self.in_force) > MAX_QUARANTINES:
            self.end(next(iter(self.in_force.values())), "there are too many")
        self.index()

    def end(self, quarantine: Quarantine, why: str) -> None:
        """End a quarantine on this host."""
        del self.in_force[quarantine.key]
        del self.probes[quarantine.key]
        self.attribution.forget(
            crash_attribution.Culprit(
                quarantine.service,
                frozenset(quarantine.segments),
                quarantine.at,
                quarantine.crashes,
            )
        )
        self.index()
        LOG.notice("Requests are no longer refused, {}: {}.", why, quarantine)

    def on_ended(self, quarantine: Quarantine) -> None:
        """Called on one host when a quarantine has ended for all."""

    def index(self) -> None:
        """Renew what requests look quarantines up by."""
        self.by_segment = {}
        for quarantine in self.in_force.values():
            key = quarantine.service, quarantine.segments[0]
            self.by_segment.setdefault(key, []).append(quarantine)
        self.metrics.set(
            "camphortray_segment_quarantines",
            "Quarantines of prompt segments in force on this host.",
            {},
            len(self.in_force),
        )


def trimmed(
    report: crash_attribution.CrashReport,
) -> crash_attribution.CrashReport:
    """Return a report no larger than a fact may be."""
    attempts = []
    left = MAX_SEGMENTS
    for attempt in report.attempts[:MAX_ATTEMPTS]:
        segments = attempt.segments[:left]
        left -= len(segments)
        request = attempt.request[:DIGEST_LENGTH]
        attempts.append(crash_attribution.Attempt(request, segments))
    return msgspec.structs.replace(report, attempts=tuple(attempts))
