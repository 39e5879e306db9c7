"""Takes one opaque request to an engine and brings its answer back."""

__all__ = ["Passage", "PassageParts", "may_follow"]

import asyncio
import dataclasses

from camphortray import breaks
from camphortray import clock as clocks
from camphortray import engine
from camphortray import enginehealth
from camphortray import errors
from camphortray import eventstream
from camphortray import httpserver
from camphortray import inforce
from camphortray import logs
from camphortray import metrics as metrics_module
from camphortray import opaque
from camphortray import outer
from camphortray import placing
from camphortray import routemap
from camphortray import slotbook

LOG = logs.logger("passage")
EVENTS = "text/event-stream"
# Tries that an engine refused as not run before a request is given up;
# each costs a few milliseconds.
MAX_REFUSALS = 6
# Seconds without an event after which a stream that may be resumed goes on
# at another engine. Engines make an event about every 20 ms; the smallest
# pause that callers are promised is some hundreds.
SILENT_S = 0.25
# The same before the first event, which waits for the prompt to be read.
FIRST_SILENT_S = 1.0
# Statuses with which an engine ends a request that another could answer.
PASSING = frozenset({500, 502, 504})


@dataclasses.dataclass(frozen=True)
class PassageParts:
    """The parts of the program that a passage works with."""

    clock: clocks.Clock
    outer: outer.LedgerOuter
    inforce: inforce.InForce
    placing: placing.Placing
    breaks: breaks.Breaks
    metrics: metrics_module.Metrics


def may_follow(
    route: routemap.Route,
    error: errors.UpstreamError,
    ran: int,
    refused: int,
) -> bool:
    """Return whether another engine may be tried.

    Args:
      route: Of the request.
      error: How the last try failed.
      ran: Tries that may have run, the last one included.
      refused: Tries that certainly did not.
    """
    if not error.ran:
        return refused < MAX_REFUSALS
    return route.repeatable and ran < route.max_attempts


class Passage:
    """One request until its answer has ended.

    Attributes:
      reader: What of a stream the caller has.
      ran: Tries that may have run.
      refused: Tries that certainly did not.
      had: Events that the caller had when the last try began.
      engine: Of the last try.
      coordinator: Who gave its slot.
      slot_s: Seconds that the last slot was waited for.
      first_s: Seconds from the arrival to the first event.
    """

    def __init__(
        self,
        parts: PassageParts,
        request: opaque.OpaqueRequest,
        response: httpserver.Response,
    ) -> None:
        self.parts = parts
        self.request = request
        self.response = response
        self.reader = eventstream.EventReader()
        self.ran = 0
        self.refused = 0
        self.avoid: frozenset[str] = frozenset()
        self.answer: Answer | None = None
        self.had = 0
        self.engine = ""
        self.coordinator = ""
        self.slot_s = 0.0
        self.first_s = 0.0

    async def run(self) -> None:
        """Answer the caller.

        Raises:
          Refused: there is no answer; nothing has been sent yet.
        """
        now = self.parts.clock.monotonic()
        left_s = self.request.deadline_at - now
        try:
            async with asyncio.timeout(max(0.001, left_s)):
                await self.tries()
        except TimeoutError:
            self.give_up(504, "too_late", "time is over", None)

    def give_up(
        self, status: int, code: str, why: str, retry_after: float | None
    ) -> None:
        """End the request without an answer.

        Raises:
          Refused: nothing has been sent, so the caller can be told.
        """
        self.log_end(status, why)
        if self.response.status:
            self.response.abort()
            return
        raise errors.Refused(
            status,
            code,
            why,
            ran="unknown" if self.ran else "no",
            retry_after=retry_after,
        )

    def log_end(self, status: int, why: str) -> None:
        """Write the line on how the request ended, with what decided it.

        It also feeds the metrics, which count the same ends.
        """
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
                "revision": self.parts.inforce.view.revision,
                "ran": self.ran,
                "refused": self.refused,
                "avoided": sorted(self.avoid),
                "engine": self.engine,
                "coordinator": self.coordinator,
                "slot_ms": round(self.slot_s * 1000, 1),
                "first_ms": round(self.first_s * 1000, 1),
                "events": self.reader.count,
                "last_event": self.reader.last,
                "left_ms": round((self.request.deadline_at - now) * 1000),
            },
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

    async def tries(self) -> None:
        """Try engines until one has answered."""
        if self.parts.breaks.barred(self.request.fingerprint):
            self.give_up(503, "quarantined", "it broke engines", None)
            return
        while True:
            try:
                held = await self.place()
            except errors.NoSlot as error:
                self.no_slot(error)
                return
            try:
                await self.attempt(held)
                self.log_end(self.response.status, "answered")
                return
            except errors.UpstreamError as error:
                if not self.go_on(held, error):
                    return

    async def place(self) -> placing.Placement:
        """Wait for a slot.

        Raises:
          NoSlot: there is none in time.
        """
        route = self.request.route
        now = self.parts.clock.monotonic()
        number = self.ran + self.refused
        want = slotbook.Want(
            f"{self.request.id}.{number}",
            self.parts.placing.own_name,
            True,
            route.priority,
            now,
            route.objective_s,
            max(0.0, self.request.deadline_at - now),
            prefix=self.request.prefix,
            avoid=self.avoid,
        )
        service = route.service_of(self.request.id)
        held = await self.parts.placing.acquire(service, want)
        self.slot_s = now_of(self.parts) - now
        self.engine = held.upstream.name
        self.coordinator = held.coordinator
        return held

    def no_slot(self, error: errors.NoSlot) -> None:
        """Refuse: certainly not run, or cut off where it has run."""
        if self.ran:
            self.give_up(502, "upstream_failed", str(error), None)
        else:
            self.give_up(503, "busy", str(error), error.retry_after_s)

    def go_on(
        self, held: placing.Placement, error: errors.UpstreamError
    ) -> bool:
        """Make ready for another try; return whether there may be one."""
        if error.ran:
            self.ran += 1
        else:
            self.refused += 1
        name = held.upstream.name
        self.avoid |= {name}
        LOG.info("{} failed at {}: {}", self.request.id, name, error)
        if isinstance(error, errors.UpstreamRefused) and error.leaving:
            self.parts.inforce.note_leaving(name)
        if self.broke(error):
            self.parts.breaks.tell(
                self.request.fingerprint, f"{self.request.id}.{self.ran}"
            )
        if may_follow(self.request.route, error, self.ran, self.refused):
            self.reader.restart()
            return True
        if self.answer is not None and not self.response.status:
            # The engine's own failure; passed on as it is.
            self.answer.send(self.response)
            self.log_end(self.answer.status, "the engine's own failure")
        elif error.ran or self.ran:
            self.give_up(502, "upstream_failed", str(error), None)
        else:
            wait_s = (self.request.deadline_at - now_of(self.parts)) / 4
            self.give_up(503, "upstream_refused", str(error), wait_s)
        return False

    def broke(self, error: errors.UpstreamError) -> bool:
        """Return whether the request may have crashed its engine.

        What does so does it as it begins to run; and silence may be this
        host's own, which stood still or is slow.
        """
        return (
            error.ran
            and isinstance(error, errors.UpstreamBroken)
            and not isinstance(error, errors.UpstreamTimeout)
            and self.reader.count == self.had
        )

    async def attempt(self, held: placing.Placement) -> None:
        """Run the request at one engine.

        Raises:
          UpstreamError: there is no whole answer.
        """
        outcome = enginehealth.Outcome.NOTHING
        begun_at = now_of(self.parts)
        self.had = self.reader.count
        party = self.parts.outer.engine(held.upstream.plugin)
        request = self.request.for_engine(
            now_of(self.parts),
            self.reader.last,
            FIRST_SILENT_S if self.movable else 0.0,
        )
        try:
            stream = await party.open(held.upstream, request, True)
            try:
                await self.pass_on(stream, held)
            finally:
                stream.close()
            outcome = enginehealth.Outcome.GOOD
        except errors.UpstreamError as error:
            outcome = enginehealth.outcome_of(error)
            raise
        except asyncio.CancelledError:
            # The caller has left, or its time is over. Where nothing had
            # come for long, that says something of the engine.
            silent = self.reader.count == self.had
            if silent and now_of(self.parts) - begun_at > FIRST_SILENT_S:
                outcome = enginehealth.Outcome.BROKEN
            raise
        finally:
            self.parts.placing.release(held, outcome)

    @property
    def movable(self) -> bool:
        """Whether the request may go on at one more engine."""
        route = self.request.route
        return route.repeatable and self.ran + 1 < route.max_attempts

    async def pass_on(
        self, stream: engine.EngineStream, held: placing.Placement
    ) -> None:
        """Give the caller an answer as it comes.

        Raises:
          UpstreamError: it is not whole.
        """
        streamed = stream.content_type.startswith(EVENTS)
        if stream.status // 100 == 2 and streamed:
            await self.pass_events(stream, held)
            return
        left_s = self.request.deadline_at - now_of(self.parts)
        body = await engine.read_all(stream, max(0.001, left_s))
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

    async def pass_events(
        self, stream: engine.EngineStream, held: placing.Placement
    ) -> None:
        """Pass on whole events until the stream ends.

        Raises:
          UpstreamError: it broke off, or stayed silent and may move.
        """
        reader, response = self.reader, self.response
        headers, arrived_at = stream.headers, self.request.arrived_at

        def sink(data: bytes) -> bool:
            whole = reader.feed(data)
            if whole:
                if not response.status:
                    self.first_s = now_of(self.parts) - arrived_at
                    response.start(stream.status, headers)
                response.write(whole)
            return response.blocked

        # The first byte, then the rest: only what may move is timed.
        movable = self.movable
        left_s = max(0.001, self.request.deadline_at - now_of(self.parts))
        first = await stream.read(FIRST_SILENT_S if movable else left_s)
        if first:
            sink(first)
            limit_s = SILENT_S if movable else left_s
            while not await stream.pipe(sink, limit_s):
                await response.flush()
        if reader.tail or not reader.count:
            raise errors.UpstreamBroken(
                "ended in the middle of an event",
                ran=True,
                step="stream",
                peer=held.upstream.name,
            )
        response.end()


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """A whole answer of an engine."""

    status: int
    body: bytes
    headers: tuple[tuple[str, str], ...]

    def send(self, response: httpserver.Response) -> None:
        """Pass it on unchanged."""
        response.send(self.status, self.body, self.headers)


def now_of(parts: PassageParts) -> float:
    """Return monotonic seconds."""
    return parts.clock.monotonic()
