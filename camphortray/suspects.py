"""Isolates requests suspected of crashing upstreams, across all hosts."""

__all__ = [
    "ApartAnswer",
    "ApartAsk",
    "ApartDone",
    "InFlightRequest",
    "Suspects",
]

import asyncio
from collections.abc import Callable
import dataclasses
from typing import Any
from typing import ClassVar

import msgspec

from camphortray import config as configs
from camphortray import crash_attribution
from camphortray import engine
from camphortray import errors
from camphortray import kernel
from camphortray import logs
from camphortray import membership
from camphortray import messages
from camphortray import peers
from camphortray import poison
from camphortray import segment_quarantine
from camphortray import settings
from camphortray import shards
from camphortray import upstreams as upstreams_module

LOG = logs.logger("poison")
# Kinds of the facts about crashes, cleared suspects and quarantines.
CRASH_FACT = "poison-crash"
CLEARED_FACT = "poison-cleared"
QUARANTINE_FACT = "poison-quarantine"
# Margin, in seconds, after the time that reports need to reach all hosts.
SETTLE_MARGIN_S = 0.1
# Longest duration of a permit, in seconds.
MAX_PERMIT_S = 120.0
# Upstreams whose coordinators one suspect asks for a permit. As the suspects
# on a host ask one after another, this limits the messages for any number.
MAX_ASKED = 3
# Most fingerprints in one fact, as the size of a fact is limited.
FINGERPRINTS_PER_FACT = 128


@messages.message("apart.ask")
class ApartAsk(msgspec.Struct, frozen=True):
    """Requests a permit for a suspect from an upstream's coordinator."""

    upstream: str
    holder: str
    seconds: float


@messages.message("apart.answer")
class ApartAnswer(msgspec.Struct, frozen=True):
    """Answers ``ApartAsk``."""

    granted: bool


@messages.message("apart.done")
class ApartDone(msgspec.Struct, frozen=True):
    """Releases a permit."""

    upstream: str
    holder: str


@dataclasses.dataclass(frozen=True, slots=True)
class CrashReport:
    """One host's report of a crash; the value of a fact.

    Attributes:
      upstream: Name of the upstream that crashed.
      at: Time in wall-clock seconds.
      suspects: Fingerprints of the host's requests in flight there.
    """

    upstream: str
    at: float
    suspects: tuple[str, ...]


@dataclasses.dataclass(eq=False, slots=True)
class InFlightRequest:
    """A request in flight at an upstream.

    Attributes:
      upstream: Upstream that it was sent to.
      fingerprint: Returns the request's fingerprint; called only when a
        connection breaks.
      service: Name of the service.
      segments: Returns the prompt segments that it shares with others; called
        only when an upstream has crashed.
      answered: Whether its answer is past the point of a crash.
    """

    upstream: engine.Upstream
    fingerprint: Callable[[], str]
    service: str = ""
    segments: Callable[[], tuple[str, ...]] = tuple
    answered: bool = False


@kernel.PARTS.register("entry", "batch")
class Suspects(kernel.Part):
    """Tracks requests in flight, detects crashes and isolates suspects.

    A sender of requests calls ``verdict`` before each attempt, ``begin``
    and ``end`` around it, ``is_crash`` if its connection breaks and ``clear``
    if it succeeds. A suspect first has to lock ``turn`` and to get an
    upstream from ``acquire``.

    Attributes:
      detector: Crashes and quarantines known to this host.
      permits: Permits for the upstreams that this host coordinates.
      turn: Lock held while a suspect asks for a permit.
      asked: Coordinators asked for permits, by upstream and holder.
      requests: Requests in flight, by upstream.
      breaking: Fingerprints in flight at upstreams that are being checked.
      unanswered: Requests that had no answer there yet.
      checks: Running crash checks, by upstream.
    """

    name: ClassVar[str] = "suspects"
    requires: ClassVar[tuple[str, ...]] = (
        "upstreams",
        "membership",
        "peers",
        "segment_quarantine",
        "settings",
    )

    def __init__(self, context: kernel.Context) -> None:
        self.context = context
        self.clock = context.clock
        self.members = context.part(membership.Membership)
        self.peers = context.part(peers.Peers)
        self.upstreams = context.part(upstreams_module.Upstreams)
        self.quarantine = context.part(segment_quarantine.SegmentQuarantine)
        self.detector = poison.PoisonDetector()
        self.permits = poison.Permits()
        self.turn = asyncio.Lock()
        self.asked: dict[tuple[str, str], configs.Address | None] = {}
        self.requests: dict[str, set[InFlightRequest]] = {}
        self.breaking: dict[str, set[str]] = {}
        self.unanswered: dict[str, set[InFlightRequest]] = {}
        self.checks: dict[str, asyncio.Task[bool]] = {}
        self.members.on_fact(CRASH_FACT, self.on_crash)
        self.members.on_fact(CLEARED_FACT, self.on_cleared)
        self.members.on_fact(QUARANTINE_FACT, self.on_quarantine)
        self.peers.on(ApartAsk, self.on_ask)
        self.peers.on(ApartDone, self.on_done)

    @classmethod
    def from_config(cls, context: kernel.Context) -> "Suspects":
        return cls(context)

    async def stop(self) -> None:
        for task in self.checks.values():
            task.cancel()

    def verdict(
        self, service: settings.Service, fingerprint: str
    ) -> poison.Verdict:
        """Return how a request may run now."""
        self.detector.quarantine_s = service.get("poison.quarantine_s")
        return self.detector.verdict(fingerprint, self.clock.wall())

    @property
    def no_suspects(self) -> bool:
        """Whether no request is suspect or quarantined."""
        return not self.detector.crashes and not self.detector.quarantined

    def begin(
        self,
        upstream: engine.Upstream,
        fingerprint: Callable[[], str],
        service: str = "",
        segments: Callable[[], tuple[str, ...]] = tuple,
    ) -> InFlightRequest:
        """Record that a request is sent to an upstream."""
        flight = InFlightRequest(upstream, fingerprint, service, segments)
        self.requests.setdefault(upstream.name, set()).add(flight)
        return flight

    def end(self, flight: InFlightRequest) -> None:
        """Record that a request is no longer at its upstream."""
        self.requests[flight.upstream.name].discard(flight)

    def note_answer(self, flight: InFlightRequest) -> None:
        """Record that an answer is past the point of a crash."""
        if not flight.answered:
            flight.answered = True
            if self.quarantine.weighing:
                self.report_answer(flight)

    def report_answer(self, flight: InFlightRequest) -> None:
        """Report an answer that may clear segments of a crash."""
        self.quarantine.on_answer(
            flight.service, flight.segments(), self.clock.wall()
        )

    def report_segments(
        self, upstream: str, at: float, flights: set[InFlightRequest]
    ) -> None:
        """Report the segments of requests in flight at a crash.

        Args:
          upstream: Name of the upstream.
          at: Time in wall-clock seconds.
          flights: Requests that had no answer there yet.
        """
        by_service: dict[str, list[crash_attribution.Attempt]] = {}
        for flight in flights:
            segments = flight.segments()
            if segments:
                by_service.setdefault(flight.service, []).append(
                    crash_attribution.Attempt(flight.fingerprint(), segments)
                )
        for service, attempts in by_service.items():
            report = crash_attribution.CrashReport(
                service, upstream, at, tuple(attempts)
            )
            self.quarantine.on_crash(report)
        for held in self.requests.values():
            for flight in held:
                if flight.answered and flight.service in by_service:
                    self.report_answer(flight)

    async def is_crash(self, flight: InFlightRequest) -> bool:
        """Return whether a broken connection was due to a crash.

        The upstream is probed over a new connection. If that is refused, or
        answered by a restarted engine, the engine crashed, and all requests
        in flight there become suspects. If the same engine answers, only
        the connection failed. No answer proves nothing, as the network may
        be down.
        """
        name = flight.upstream.name
        broken = self.breaking.setdefault(name, set())
        broken.add(flight.fingerprint())
        broken |= {f.fingerprint() for f in self.requests.get(name, ())}
        unanswered = self.unanswered.setdefault(name, set())
        unanswered |= {
            each
            for each in {flight, *self.requests.get(name, ())}
            if not each.answered
        }
        if flight.answered and self.quarantine.weighing:
            self.report_answer(flight)
        task = self.checks.get(name)
        if task is None:
            work = self.check(flight.upstream)
            task = asyncio.get_running_loop().create_task(work)
            self.checks[name] = task
            task.add_done_callback(lambda _: self.checks.pop(name, None))
        return await asyncio.shield(task)

    async def check(self, upstream: engine.Upstream) -> bool:
        """Probe an upstream and report a crash."""
        at = self.clock.wall()
        probe = upstreams_module.Probe
        found = await self.upstreams.probe(upstream)
        suspects = self.breaking.pop(upstream.name, set())
        unanswered = self.unanswered.pop(upstream.name, set())
        if found not in (probe.REFUSED, probe.RESTARTED):
            return False
        if upstream.name in self.upstreams.leaving.marked:
            # It announced its shutdown, so this is no crash.
            return False
        LOG.warning(
            "Upstream {} crashed with {} requests in flight.",
            upstream.name,
            len(suspects),
        )
        self.context.metrics.inc(
            "upstream_crashes_total",
            "Crashes of upstreams that this program saw.",
            {"upstream": upstream.name},
        )
        self.report_segments(upstream.name, at, unanswered)
        names = sorted(suspects)
        for start in range(0, len(names), FINGERPRINTS_PER_FACT):
            part = names[start : start + FINGERPRINTS_PER_FACT]
            self.members.publish(
                CRASH_FACT,
                f"{upstream.name}/{self.members.own_name}/{at:.3f}/{start}",
                {"upstream": upstream.name, "at": at, "suspects": part},
                keep_s=poison.SUSPECT_S,
            )
        self.peers.spawn(self.publish_quarantined(suspects))
        return True

    async def publish_quarantined(self, suspects: set[str]) -> None:
        """Publish quarantines, also for hosts that join later."""
        await asyncio.sleep(poison.SETTLE_S + SETTLE_MARGIN_S)
        now = self.clock.wall()
        self.detector.decide(now)
        for name in suspects & set(self.detector.quarantined):
            until = self.detector.quarantined[name]
            if f"{QUARANTINE_FACT} {name}" not in self.members.facts:
                LOG.warning("Request {} is quarantined.", name)
                self.context.metrics.inc(
                    "requests_quarantined_total",
                    "Requests that this host found to crash upstreams.",
                    {},
                )
                self.members.publish(QUARANTINE_FACT, name, until, until - now)

    def clear(self, fingerprint: str) -> None:
        """Clear a suspect that has got past the point of the crash."""
        self.members.publish(
            CLEARED_FACT, fingerprint, self.clock.wall(), poison.SUSPECT_S
        )

    def on_crash(self, fact: membership.Fact) -> None:
        """Process a host's report of a crash."""
        try:
            report = msgspec.convert(fact.value, CrashReport)
        except msgspec.ValidationError as error:
            LOG.error("Invalid crash report {}: {}", fact.key, error)
            return
        self.detector.report(report.upstream, report.at, set(report.suspects))

    def on_cleared(self, fact: membership.Fact) -> None:
        """Process a host's report that a suspect succeeded."""
        self.detector.clear(fact.key, float(fact.value))

    def on_quarantine(self, fact: membership.Fact) -> None:
        """Adopt a quarantine published by any host."""
        self.detector.quarantined.setdefault(fact.key, float(fact.value))

    async def on_ask(self, sender: peers.Sender, ask: ApartAsk) -> ApartAnswer:
        """Answer a request for a permit, as an upstream's coordinator."""
        return ApartAnswer(self.grant(ask))

    async def on_done(self, sender: peers.Sender, done: ApartDone) -> None:
        """Release a permit, as an upstream's coordinator."""
        self.permits.done(done.upstream, done.holder)

    def grant(self, ask: ApartAsk) -> bool:
        """Grant a permit, unless another suspect has it."""
        now = self.clock.monotonic()
        until = now + min(ask.seconds, MAX_PERMIT_S)
        return self.permits.ask(ask.upstream, ask.holder, until, now)

    def coordinator(self, upstream: str) -> configs.Address | None:
        """Return an upstream's coordinator; None means this host."""
        members = {m.name: m for m in self.members.live("entry")}
        name = shards.preferred(f"apart/{upstream}", members)
        if name is None or name == self.members.own_name:
            return None
        return configs.Address.from_text(members[name].peer_address)

    async def acquire(
        self,
        service: settings.Service,
        holder: str,
        seconds: float,
        version: str | None = None,
    ) -> engine.Upstream | None:
        """Return an upstream with a permit for a suspect, or None.

        Args:
          service: Service whose upstreams are asked for.
          holder: Unique name of the attempt.
          seconds: Longest time for which the permit is needed.
          version: Software version that it needs, or None for any.
        """
        found = self.upstreams.candidates(service, frozenset(), version)
        found.sort(key=lambda candidate: candidate.wait_s)
        for candidate in found[:MAX_ASKED]:
            name = candidate.upstream.name
            try:
                if await self.ask(ApartAsk(name, holder, seconds)):
                    return candidate.upstream
            except asyncio.CancelledError:
                # The answer may still grant the permit.
                self.release(name, holder)
                raise
        return None

    async def ask(self, ask: ApartAsk) -> bool:
        """Ask an upstream's coordinator for a permit."""
        address = self.coordinator(ask.upstream)
        if address is None:
            return self.grant(ask)
        self.asked[(ask.upstream, ask.holder)] = address
        try:
            answer: Any = await self.peers.ask(address, ask)
        except errors.CamphortrayError as error:
            # The permit may have been granted and only the answer lost.
            LOG.debug("Cannot get a permit: {}", error)
            self.release(ask.upstream, ask.holder)
            return False
        granted = isinstance(answer, ApartAnswer) and answer.granted
        if not granted:
            self.asked.pop((ask.upstream, ask.holder), None)
        return granted

    def release(self, upstream: str, holder: str) -> None:
        """Release a permit."""
        # The coordinator may have changed since the permit was granted.
        current = self.coordinator(upstream)
        address = self.asked.pop((upstream, holder), current)
        if address is None:
            self.permits.done(upstream, holder)
        else:
            self.peers.notify(address, ApartDone(upstream, holder))
