"""One online request on its way: its tries, its answer, its end."""

__all__ = ["Exchange", "Parts"]

import asyncio
import dataclasses
import functools

from camphortray import clock as clocks
from camphortray import completion as completions
from camphortray import delivery as deliveries
from camphortray import engine
from camphortray import errors
from camphortray import logs
from camphortray import metrics as metrics_module
from camphortray import outer
from camphortray import poison
from camphortray import prefix
from camphortray import resume
from camphortray import routing
from camphortray import settings
from camphortray import signals
from camphortray import suspects
from camphortray import upstreams
from camphortray import web

LOG = logs.logger("relay")
# Upstreams tried for one request before it is refused.
MAX_TRIES = 4
# Answers of an engine that another engine would give too.
PERMANENT = frozenset({400, 413, 422})
# Pause before a suspect asks again for leave to run, in seconds.
APART_PAUSE_S = 0.1
# Silence allowed before an answer begins: at least this long, and so many
# times what is expected.
MIN_FIRST_S = 2.0
FIRST_TIMES = 6
# Tokens reckoned with for a whole answer that names no limit.
GUESSED_TOKENS = 1024
EVENTS = deliveries.EVENTS


@dataclasses.dataclass(frozen=True)
class Parts:
    """The parts of the program that an exchange works with."""

    clock: clocks.Clock
    outer: outer.Outer
    upstreams: upstreams.Upstreams
    signals: signals.Signals
    suspects: suspects.Suspects
    router: routing.Router
    metrics: metrics_module.Metrics


class Exchange:
    """One request from a caller until its answer has ended.

    Attributes:
      sent: What of a streamed answer the caller has.
      ran: Whether an upstream may have run it.
    """

    def __init__(
        self,
        parts: Parts,
        call: web.Call,
        service: settings.Service,
        completion: completions.Completion,
        body: bytes,
        *,
        name: str,
        deadline_at: float,
        idempotent: bool = True,
    ) -> None:
        self.parts = parts
        self.call = call
        self.response = call.response
        self.service = service
        self.completion = completion
        self.body = body
        self.name = name
        self.deadline_at = deadline_at
        self.idempotent = idempotent
        self.sent = resume.SentStream()
        self.position: resume.Position | None = None
        self.tries = 0
        self.tried: frozenset[str] = frozenset()
        self.ran = False
        self.suspected = False
        self.permit: tuple[str, str] | None = None

    @functools.cached_property
    def text(self) -> str:
        """The prompt as one text."""
        return self.completion.text

    @functools.cached_property
    def fingerprint(self) -> str:
        """What tells the request from others, sent again or not."""
        return poison.fingerprint(self.completion.model, self.text)

    def left_s(self) -> float:
        """Return the seconds left."""
        return max(0.001, self.deadline_at - self.parts.clock.monotonic())

    async def run(self) -> None:
        """Try upstreams until the caller has the whole answer.

        Raises:
          Refused: it could not be had.
        """
        while True:
            try:
                if await self.attempt():
                    return
            except errors.UpstreamError as error:
                LOG.warning("Try {} failed: {}", self.tries, error)
                self.parts.metrics.inc(
                    "online_tries_failed_total",
                    "Tries of online requests that failed.",
                    {"service": self.service.name, "step": error.step},
                )
                if self.after(error):
                    return

    async def attempt(self) -> bool:
        """Make one try; return whether one could be made.

        Raises:
          Refused: none may be made.
          UpstreamError: it failed.
        """
        told = self.verdict()
        if told.standing is poison.Standing.QUARANTINED:
            raise self.refusal(
                422,
                "quarantined",
                "this request has crashed two upstreams; it is not run again"
                " until the time given is over",
                told.at - self.parts.clock.wall(),
            )
        if told.standing is poison.Standing.FREE:
            await self.try_on(self.choose())
            return True
        self.suspected = True
        wait_s = told.at - self.parts.clock.wall()
        if wait_s > 0:
            await asyncio.sleep(wait_s)
            return False
        return await self.attempt_apart()

    def verdict(self) -> poison.Verdict:
        """Return how the request may run now."""
        if self.parts.suspects.quiet:
            return poison.FREE
        return self.parts.suspects.verdict(self.service, self.fingerprint)

    async def attempt_apart(self) -> bool:
        """Run where no other suspect runs, if there is such a place."""
        held = self.parts.suspects
        holder = f"{self.name}.{self.tries}"
        async with held.turn:
            if self.verdict().standing is not poison.Standing.APART:
                return False
            upstream = await held.acquire(self.service, holder, self.left_s())
            if upstream is None:
                await asyncio.sleep(APART_PAUSE_S)
                return False
        self.permit = upstream.name, holder
        try:
            # While the permit was on its way the request may have been
            # proved guilty, or innocent by another's guilt.
            if self.verdict().standing is not poison.Standing.APART:
                return False
            await self.try_on(upstream)
            return True
        finally:
            self.give_back()

    def give_back(self) -> None:
        """Let the next suspect run where this request held a permit."""
        if self.permit is not None:
            self.parts.suspects.release(*self.permit)
            self.permit = None

    def choose(self) -> engine.Upstream:
        """Return the upstream to try next.

        Raises:
          Refused: there is none.
        """
        found = self.parts.upstreams.candidates(self.service, self.tried)
        if not found and self.tried:
            # Only upstreams tried before are left: a new connection to
            # one of them is better than a refusal.
            found = self.parts.upstreams.candidates(self.service, frozenset())
        if not found:
            raise self.refusal(503, "no_upstream", "no upstream is left", 1)
        key = prefix.prefix_of(self.completion.model, self.text)
        return self.parts.router.choose(found, key)

    async def try_on(self, upstream: engine.Upstream) -> None:
        """Run the request on one upstream.

        Raises:
          UpstreamError: it failed.
        """
        parts = self.parts
        told = self.service.name, upstream.name, False
        party = parts.outer.engine(upstream.plugin)
        request = self.request(upstream)
        fresh = self.tries > 0
        ran_before, self.ran = self.ran, True
        self.tries += 1
        self.tried |= {upstream.name}
        flight = parts.suspects.begin(upstream, lambda: self.fingerprint)
        parts.signals.begun(*told)
        delivery = deliveries.Delivery(
            parts.clock,
            parts.signals,
            parts.upstreams.loads,
            self.service,
            upstream,
            self.on_progress,
        )
        good = gone = False
        try:
            with parts.upstreams.count(upstream):
                stream = await party.open(upstream, request, fresh)
                try:
                    await self.pass_on(delivery, request, stream)
                finally:
                    stream.close()
            good = True
        except errors.UpstreamError as error:
            gone = await self.on_failure(flight, error)
            self.ran = ran_before or error.ran
            raise
        finally:
            parts.suspects.end(flight)
            parts.signals.ended(*told, good)
            if not good and not gone:
                work = self.cancel(party, upstream, request.id)
                parts.upstreams.spawn(work)
        parts.upstreams.outliers.succeeded(upstream.name)
        parts.upstreams.budget(self.service).succeeded(parts.clock.monotonic())
        self.clear()

    async def on_failure(
        self, flight: suspects.Flight, error: errors.UpstreamError
    ) -> bool:
        """Find out what a failure means; return if the upstream is gone."""
        held = self.parts.upstreams
        if isinstance(error, errors.UpstreamRefused):
            if error.status not in PERMANENT and not error.leaving:
                held.failed(flight.upstream)
            return True
        held.failed(flight.upstream)
        if isinstance(error, errors.UpstreamTimeout):
            held.spawn(self.look_at(flight.upstream))
            return not error.ran
        if not error.ran:
            # It could not be reached; unless it is held down at once, it
            # looks idle and gets every further try too.
            await held.probe(flight.upstream)
            return True
        return await self.parts.suspects.broke(flight)

    async def look_at(self, upstream: engine.Upstream) -> None:
        """Try a new connection, so that a dead upstream is held down."""
        await self.parts.upstreams.probe(upstream)

    async def cancel(
        self, party: engine.Engine, upstream: engine.Upstream, name: str
    ) -> None:
        """Cancel a request at the engine.

        Closing its connection says the same, but is not heard where the
        connection has gone silent.
        """
        try:
            await party.cancel(upstream, name)
        except errors.CamphortrayError as error:
            LOG.debug("Could not cancel: {}", error)

    def request(self, upstream: engine.Upstream) -> engine.EngineRequest:
        """Return the request as sent now."""
        position = self.position
        return engine.EngineRequest(
            # Of its own for each try, or the late cancel of one try would
            # end the next at the same engine.
            f"{self.name}.{self.tries}",
            self.call.request.path,
            self.body,
            bool(self.completion.stream),
            self.left_s(),
            position.text if position else "",
            position.tokens if position else 0,
            silence_s=self.first_s(upstream),
        )

    def first_s(self, upstream: engine.Upstream) -> float:
        """Return how long an answer may take to begin."""
        now = self.parts.clock.monotonic()
        wait_s = self.parts.upstreams.loads.wait_s(upstream, now)
        if not self.completion.stream:
            tokens = self.completion.limit_tokens or GUESSED_TOKENS
            wait_s += tokens * float(self.service.get("objective.itl_s"))
        return max(MIN_FIRST_S, FIRST_TIMES * wait_s)

    async def pass_on(
        self,
        delivery: deliveries.Delivery,
        request: engine.EngineRequest,
        stream: engine.EngineStream,
    ) -> None:
        """Give the caller the answer."""
        # The head has shown that the connection is alive.
        silence_s = 4 * request.silence_s
        if request.stream and stream.content_type.startswith(EVENTS):
            await delivery.events(stream, self.response, self.sent, silence_s)
        else:
            await delivery.whole(stream, self.response, silence_s)

    def on_progress(self) -> None:
        """Take note that an answer got on well."""
        if self.suspected:
            self.clear()
            # No suspect any more, so the next need not wait for its end.
            self.give_back()

    def clear(self) -> None:
        """Take the suspicion off a request that went well."""
        if not self.parts.suspects.quiet:
            told = self.verdict()
            if told.standing is poison.Standing.APART:
                self.parts.suspects.passed(self.fingerprint)
        self.suspected = False

    def after(self, error: errors.UpstreamError) -> bool:
        """Make ready for another try; return True if none is needed.

        Raises:
          Refused: there may be none.
        """
        if isinstance(error, errors.UpstreamRefused) and error.leaving:
            self.parts.upstreams.note_leaving(error.peer)
        if not self.may_retry(error):
            raise self.refusal_of(error) from error
        if not self.sent.started:
            self.sent.resume()
            return False
        self.position = position = self.sent.resume()
        if position.finished and (
            position.usage or not self.completion.wants_usage
        ):
            # Only the closing event was lost, and that holds nothing.
            self.response.write(resume.DONE)
            self.response.end()
            return True
        if not position.resumable or (self.completion.n or 1) > 1:
            raise self.refusal_of(error) from error
        LOG.notice("Resumes after {} tokens.", position.tokens)
        self.parts.metrics.inc(
            "online_resumed_total",
            "Streams gone on with at another engine.",
            {"service": self.service.name},
        )
        return False

    def may_retry(self, error: errors.UpstreamError) -> bool:
        """Return whether another try is right, and count it if so."""
        if error.ran and not self.idempotent:
            return False
        if isinstance(error, errors.UpstreamRefused):
            if error.status in PERMANENT:
                return False
        if self.tries >= MAX_TRIES:
            return False
        now = self.parts.clock.monotonic()
        return self.parts.upstreams.budget(self.service).allow(now)

    def refusal_of(self, error: errors.UpstreamError) -> errors.Refused:
        """Return the refusal that tells a caller of an upstream's failure."""
        if isinstance(error, errors.UpstreamRefused):
            if error.status in PERMANENT:
                return self.refusal(
                    error.status, "engine_refused", error.message
                )
            return self.refusal(503, "upstream_refused", str(error), 1)
        if isinstance(error, errors.UpstreamTimeout):
            return self.refusal(504, "upstream_silent", str(error), 1)
        return self.refusal(502, "upstream_failed", str(error), 1)

    def refusal(
        self,
        status: int,
        code: str,
        message: str,
        retry_after: float | None = None,
    ) -> errors.Refused:
        """Return a refusal with the true word on whether it ran."""
        ran = "unknown" if self.ran else "no"
        return errors.Refused(
            status, code, message, ran=ran, retry_after=retry_after
        )
