"""Takes one opaque request to an engine and brings its answer back."""

__all__ = ["Forwarder", "ForwarderParts"]

import asyncio
import dataclasses
from typing import NoReturn

from camphortray import access
from camphortray import active_config
from camphortray import backends
from camphortray import clock as clocks
from camphortray import crash_reports
from camphortray import early_end
from camphortray import engine
from camphortray import enginehealth
from camphortray import errors
from camphortray import eventstream
from camphortray import httpserver
from camphortray import lease_table
from camphortray import logs
from camphortray import metrics as metrics_module
from camphortray import opaque
from camphortray import proxy_exchange
from camphortray import retry
from camphortray import routemap
from camphortray import slot_client
from camphortray import slot_scheduler

LOG = logs.logger("forwarder")
# Tries before a request is given up, most of which an engine refused as
# not run; each of these costs a few milliseconds.
MAX_TRIES = 6
# Share of the pause that its route allows after which a stream that may be
# resumed goes on at another engine; the rest is for its first event there,
# which takes some tens of milliseconds.
SILENT_SHARE = 0.8
# The same in seconds, where the route allows no pause in particular, and at
# least: engines that run full make an event in some tens of milliseconds.
SILENT_S = 0.25
LEAST_SILENT_S = 0.1
# Objectives without a first event after which another engine is tried, and
# an engine counts as silent. Late by then, whatever comes.
FIRST_SILENT_TIMES = 2.0
# Statuses with which an engine ends a request that another could answer.
PASSING = frozenset({500, 502, 504})


@dataclasses.dataclass(frozen=True)
class ForwarderParts:
    """The parts of the program that a forwarder works with."""

    clock: clocks.Clock
    backends: backends.LedgerBackends
    active_config: active_config.ActiveConfig
    slots: slot_client.SlotClient
    breaks: crash_reports.CrashReports
    metrics: metrics_module.Metrics


class SlotTry(proxy_exchange.Try):
    """One try at an engine that the book of slots has given.

    Attributes:
      had: Events that the caller had when it began.
      begun_at: Monotonic seconds.
    """

    def __init__(
        self,
        parts: ForwarderParts,
        held: lease_table.HeldLease,
        reader: eventstream.EventReader,
        route: routemap.Route,
    ) -> None:
        party = parts.backends.engine(held.upstream.plugin)
        super().__init__(held.upstream, party)
        self.parts = parts
        self.held = held
        self.reader = reader
        self.route = route
        self.had = reader.count
        self.begun_at = now_of(parts)

    @property
    def brought(self) -> bool:
        """Whether the try has brought any event."""
        return self.reader.count > self.had

    async def ended(self, error: BaseException | None) -> None:
        self.parts.slots.release(self.held, self.outcome(error))

    def outcome(self, error: BaseException | None) -> enginehealth.Outcome:
        """Return what the end says of the engine."""
        if error is None:
            return enginehealth.Outcome.GOOD
        if isinstance(error, errors.UpstreamError):
            return enginehealth.outcome_of(error)
        # The caller has left, or its time is over. Where nothing had come
        # for long, that says something of the engine.
        silent_s = 0.0 if self.brought else now_of(self.parts) - self.begun_at
        if silent_s > first_silent_s(self.route):
            return enginehealth.Outcome.BROKEN
        return enginehealth.Outcome.NOTHING


class Forwarder(proxy_exchange.Exchange):
    """One opaque request until its answer has ended.

    Attributes:
      reader: What of a stream the caller has.
      caller: On whose behalf it runs.
      answer: The last whole answer of an engine, not yet passed on.
      engine: Of the last try.
      coordinator: Who gave its slot.
      slot_s: Seconds that the last slot was waited for.
      first_s: Seconds from the arrival to the first event.
    """

    def __init__(
        self,
        parts: ForwarderParts,
        request: opaque.OpaqueRequest,
        response: httpserver.Response,
    ) -> None:
        self.reader = eventstream.EventReader()
        super().__init__(response, self.reader, True)
        self.parts = parts
        self.request = request
        self.caller = access.NOBODY
        self.answer: Answer | None = None
        self.engine = ""
        self.coordinator = ""
        self.slot_s = 0.0
        self.first_s = 0.0

    async def run(self) -> None:
        try:
            await self.run_in_time()
        except errors.Refused:
            if not self.response.status:
                raise
            # An answer that ends early must not look complete.
            self.response.abort()

    async def run_in_time(self) -> None:
        """Run until the deadline; errors as ``run``."""
        self.admit()
        try:
            async with asyncio.timeout(self.left_s()):
                await super().run()
        except TimeoutError:
            cause = early_end.Cause.TIME_OVER
            self.give_up(504, "too_late", "time is over", None, cause)

    def admit(self) -> None:
        """Find on whose behalf the request runs, as its key says now.

        Raises:
          Refused: no workspace holds its key.
        """
        try:
            self.caller = self.parts.active_config.admit(
                self.request.route, self.request.key_hash
            )
        except errors.Refused as refusal:
            self.log_end(refusal.status, refusal.message)
            raise

    def give_up(
        self,
        status: int,
        code: str,
        why: str,
        retry_after: float | None,
        cause: early_end.Cause,
    ) -> NoReturn:
        """End the request without an answer, or cut off one that has begun.

        Raises:
          Refused: always.
        """
        self.log_end(status, why, cause)
        raise errors.Refused(
            status,
            code,
            why,
            ran="unknown" if self.ran else "no",
            retry_after=retry_after,
        )

    def log_end(
        self, status: int, why: str, cause: early_end.Cause | None = None
    ) -> None:
        """Write the line on how the request ended, with what decided it.

        It also feeds the metrics, which count the same ends.

        Args:
          status: That the caller gets, or would have got if its answer had
            not begun.
          why: In words.
          cause: Of an end without a whole answer of an engine.
        """
        cut = cause is not None and bool(self.response.status)
        now = now_of(self.parts)
        took_s = now - self.request.arrived_at
        route = self.request.route
        LOG.info(
            "{} ends with {} after {:.0f} ms: {}.",
            self.request.id,
            status,
            took_s * 1000,
            why,
            fields={
                "status": status,
                "route": route.name,
                "revision": self.parts.active_config.view.revision,
                "workspace": self.caller.workspace,
                "admitted_by": self.caller.revision,
                "ran": self.ran,
                "refused": self.refused,
                "avoided": sorted(self.tried),
                "engine": self.engine,
                "coordinator": self.coordinator,
                "slot_ms": round(self.slot_s * 1000, 1),
                "first_ms": round(self.first_s * 1000, 1),
                "events": self.reader.count,
                "last_event": self.reader.last,
                "left_ms": round((self.request.deadline_at - now) * 1000),
                "cause": cause.value if cause else "",
                "cut": cut,
            },
        )
        if cut and cause is not None:
            self.parts.metrics.inc(
                "camphortray_answers_cut_total",
                "Answers cut off after they had begun, by why.",
                {"cause": cause.value},
            )
        self.parts.metrics.inc(
            "camphortray_requests_total",
            "Requests by how they ended.",
            {"route": route.name, "status": status},
        )
        if self.first_s:
            self.parts.metrics.observe(
                "camphortray_first_event_seconds",
                "Seconds from a request to the first event of its answer.",
                {"route": route.name},
                self.first_s,
            )

    def on_answered(self) -> None:
        self.log_end(self.response.status, "answered")

    async def next_try(self) -> SlotTry:
        if self.parts.breaks.barred(self.request.fingerprint):
            # 503 would promise that it has not run.
            status = 502 if self.ran else 503
            cause = early_end.Cause.BARRED
            self.give_up(
                status, "quarantined", "it broke engines", None, cause
            )
        route = self.request.route
        now = now_of(self.parts)
        want = slot_scheduler.SlotRequest(
            f"{self.request.id}.{self.tries}",
            self.parts.slots.own_name,
            True,
            self.caller.rank(route),
            now,
            route.objective_s,
            max(0.0, self.request.deadline_at - now),
            prefix=self.request.prefix,
            avoid=self.tried,
        )
        service = route.service_of(self.request.id)
        try:
            held = await self.parts.slots.acquire(service, want)
        except errors.NoSlot as error:
            self.no_slot(error)
        self.slot_s = now_of(self.parts) - now
        self.engine = held.upstream.name
        self.coordinator = held.coordinator
        return SlotTry(self.parts, held, self.reader, route)

    def request_for(self, held: proxy_exchange.Try) -> engine.EngineRequest:
        if not self.ran:
            # Its key may have been revoked, or moved to another workspace,
            # while it waited. What may have run already is brought to its end.
            self.admit()
        return self.request.for_engine(
            now_of(self.parts),
            self.reader.last,
            # Not counted yet, this try may have run by the time it is silent.
            first_silent_s(self.request.route)
            if self.movable_after(self.ran + 1)
            else 0.0,
            self.caller.workspace,
        )

    def head_of(self, stream: engine.EngineStream) -> proxy_exchange.Headers:
        return stream.headers

    def first_limit_s(self) -> float:
        if self.movable:
            return first_silent_s(self.request.route)
        return self.left_s()

    def silence_limit_s(self) -> float:
        # Only what may go on elsewhere is timed.
        return silent_s(self.request.route) if self.movable else self.left_s()

    def left_s(self) -> float:
        """Return the seconds left."""
        return max(0.001, self.request.deadline_at - now_of(self.parts))

    def on_first(self) -> None:
        self.first_s = now_of(self.parts) - self.request.arrived_at

    def no_slot(self, error: errors.NoSlot) -> NoReturn:
        """Refuse: certainly not run, or cut off where it has run."""
        cause = early_end.Cause.NO_SLOT
        if self.ran:
            self.give_up(502, "upstream_failed", str(error), None, cause)
        self.give_up(503, "busy", str(error), error.retry_after_s, cause)

    def go_on(
        self, held: proxy_exchange.Try, error: errors.UpstreamError
    ) -> bool:
        name = held.upstream.name
        cause = early_end.cause_of(error)
        early_end.count(self.parts.metrics, "request", cause)
        LOG.info(
            "{} failed at {}: {}",
            self.request.id,
            name,
            error,
            fields={
                **early_end.fields_of(error),
                "events": self.reader.count,
            },
        )
        if isinstance(error, errors.UpstreamRefused) and error.leaving:
            self.parts.active_config.note_leaving(name)
        if self.broke(held, error):
            self.parts.breaks.report(
                self.request.fingerprint, f"{self.request.id}.{self.ran}"
            )
        if self.rule.allows(error, self.ran, self.refused):
            self.reader.restart()
            return True
        if self.answer is not None and not self.response.status:
            # The engine's own failure; passed on as it is.
            self.answer.send(self.response)
            self.log_end(self.answer.status, "the engine's own failure")
        elif self.ran:
            self.give_up(502, "upstream_failed", str(error), None, cause)
        else:
            wait_s = self.left_s() / 4
            self.give_up(503, "upstream_refused", str(error), wait_s, cause)
        return False

    @property
    def rule(self) -> retry.RetryRule:
        """Which tries may follow."""
        route = self.request.route
        return retry.RetryRule(route.repeatable, route.max_attempts, MAX_TRIES)

    def broke(
        self, held: proxy_exchange.Try, error: errors.UpstreamError
    ) -> bool:
        """Return whether the request may have crashed its engine.

        What does so does it as it begins to run; and silence may be this
        host's own, which stood still or is slow.
        """
        return (
            error.ran
            and isinstance(error, errors.UpstreamBroken)
            and not isinstance(error, errors.UpstreamTimeout)
            and isinstance(held, SlotTry)
            and not held.brought
        )

    @property
    def movable(self) -> bool:
        """Whether a try under way may be followed by one more."""
        return self.movable_after(self.ran)

    def movable_after(self, ran: int) -> bool:
        """Return whether another try may follow once so many may have run."""
        route = self.request.route
        return route.repeatable and ran < route.max_attempts

    async def pass_whole(
        self, stream: engine.EngineStream, held: proxy_exchange.Try
    ) -> None:
        body = await engine.read_all(stream, self.left_s())
        self.answer = Answer(stream.status, body, stream.headers)
        if stream.status in PASSING and self.movable:
            raise errors.UpstreamRefused(
                "failed there",
                status=stream.status,
                ran=True,
                step="run",
                peer=held.upstream.name,
            )
        if self.response.status:
            raise errors.UpstreamBroken(
                f"status {stream.status} to a stream that goes on",
                ran=True,
                step="resume",
                peer=held.upstream.name,
            )
        self.answer.send(self.response)


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """A whole answer of an engine."""

    status: int
    body: bytes
    headers: tuple[tuple[str, str], ...]

    def send(self, response: httpserver.Response) -> None:
        """Pass it on unchanged."""
        response.send(self.status, self.body, self.headers)


def first_silent_s(route: routemap.Route) -> float:
    """Return the silence before the first event that tells of a fault."""
    return FIRST_SILENT_TIMES * route.objective_s


def silent_s(route: routemap.Route) -> float:
    """Return the silence within a stream that tells of a fault."""
    if not route.gap_s:
        return SILENT_S
    return max(LEAST_SILENT_S, SILENT_SHARE * route.gap_s)


def now_of(parts: ForwarderParts) -> float:
    """Return monotonic seconds."""
    return parts.clock.monotonic()
