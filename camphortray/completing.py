"""Runs a completion: chooses its upstreams, retries and resumes it."""

__all__ = ["CompletionExchange"]

import asyncio
import functools

import msgspec

from camphortray import completion as completions
from camphortray import engine
from camphortray import engine_failover
from camphortray import errors
from camphortray import json_reader
from camphortray import logs
from camphortray import poison
from camphortray import prefix
from camphortray import proxy_exchange
from camphortray import resume
from camphortray import retry
from camphortray import routedtry
from camphortray import settings
from camphortray import web

LOG = logs.logger("relay")
# Maximum number of attempts per request, those that did not run included.
MAX_TRIES = 4
# Pause before a suspect request asks again for an isolation permit, in
# seconds.
ISOLATION_PAUSE_S = 0.1
# Pause of a search for another upstream while there is none, in seconds.
NO_UPSTREAM_PAUSE_S = 0.5
# Lowest limit on the silence before the header of an answer, in seconds.
MIN_FIRST_S = 2.0
# Ratio of that limit to the expected wait for the header.
FIRST_FACTOR = 6
# Ratio of the limit on a connection that is known to be alive, as it is new
# or has brought the header, to that on one that may have gone silent for good.
ALIVE_FACTOR = 4
# Reads may take this much longer than the deadline, in seconds: it is the
# deadline that ends a request.
DEADLINE_MARGIN_S = 1.0
# Assumed length of an unstreamed answer if the request sets no limit.
DEFAULT_ANSWER_TOKENS = 1024


class CompletionExchange(proxy_exchange.Exchange):
    """One completion request, until its answer has ended.

    Attributes:
      sent: The part of a streamed answer that was sent to the caller.
      named: Number of ids given to attempts.
    """

    def __init__(
        self,
        parts: routedtry.RoutedParts,
        call: web.Call,
        service: settings.Service,
        completion: completions.Completion,
        body: bytes,
        *,
        name: str,
        deadline_at: float,
        idempotent: bool = True,
    ) -> None:
        self.sent = resume.SentStream()
        super().__init__(call.response, self.sent, bool(completion.stream))
        self.parts = parts
        self.call = call
        self.service = service
        self.completion = completion
        self.body = body
        self.name = name
        self.deadline_at = deadline_at
        self.idempotent = idempotent
        self.named = 0

    @functools.cached_property
    def text(self) -> str:
        """The prompt as one string."""
        return self.completion.text

    @functools.cached_property
    def fingerprint(self) -> str:
        """Fingerprint of the request, the same if a caller repeats it."""
        return poison.fingerprint(self.completion.model, self.text)

    @functools.cached_property
    def gap_limit_s(self) -> float:
        """The longest silence within an answer, in seconds."""
        return float(self.service.get("limit.silence_s"))

    @property
    def version(self) -> str | None:
        """Software version of the upstreams that can run the request.

        The output of two versions does not fit together. None if the answer
        starts from the beginning.
        """
        if not self.sent.started or self.present is None:
            return None
        return self.present.upstream.version

    @property
    def resumable(self) -> bool:
        """Whether another engine can go on with the answer."""
        if not self.sent.started:
            return True
        return self.completion.choices == 1 and self.sent.position().resumable

    @property
    def finished(self) -> bool:
        """Whether at most the closing event, without data, is missing."""
        if not self.sent.started:
            return False
        position = self.sent.position()
        return position.finished == self.completion.choices and (
            position.usage or not self.completion.wants_usage
        )

    def left_s(self) -> float:
        """Return the seconds left until the deadline, at least 1 ms."""
        return max(0.001, self.deadline_at - self.parts.clock.monotonic())

    # Choice of the upstream.

    async def next_try(self) -> routedtry.RoutedTry:
        while True:
            self.check_segments()
            verdict = self.verdict()
            if verdict.standing is poison.Standing.QUARANTINED:
                raise self.refusal(
                    422,
                    "quarantined",
                    "this request has crashed two upstreams; it is not run"
                    " again until the time given is over",
                    verdict.at - self.parts.clock.wall(),
                )
            if verdict.standing is poison.Standing.FREE:
                return self.try_at(self.choose(), self.try_name())
            wait_s = verdict.at - self.parts.clock.wall()
            if wait_s > 0:
                await asyncio.sleep(wait_s)
                continue
            isolated = await self.try_isolated()
            if isolated is not None:
                return isolated

    def try_at(
        self, upstream: engine.Upstream, name: str, suspected: bool = False
    ) -> routedtry.RoutedTry:
        """Return an attempt at an upstream."""
        return routedtry.RoutedTry(
            self.parts,
            self.service,
            upstream,
            name,
            lambda: self.fingerprint,
            lambda: self.completion.segments,
            suspected,
        )

    def check_segments(self) -> None:
        """Check that no message of the prompt is quarantined.

        Raises:
          Refused: one is.
        """
        quarantine = self.parts.suspects.quarantine
        if not quarantine.in_force:
            return
        found = quarantine.find(self.service.name, self.completion.segments)
        if found is not None:
            raise self.refusal(
                422, "quarantined", str(found), quarantine.left_s(found)
            )

    def try_name(self) -> str:
        """Return an id for another attempt."""
        self.named += 1
        return f"{self.name}.{self.named}"

    def verdict(self) -> poison.Verdict:
        """Return whether the request may run, must wait, or runs isolated."""
        if self.parts.suspects.no_suspects:
            return poison.FREE
        return self.parts.suspects.verdict(self.service, self.fingerprint)

    async def try_isolated(self) -> routedtry.RoutedTry | None:
        """Return an attempt that is isolated from other suspects.

        Returns:
          The attempt, or None if it got no permit or no longer needs one.
        """
        suspects, name = self.parts.suspects, self.try_name()
        async with suspects.turn:
            if self.verdict().standing is not poison.Standing.ISOLATED:
                return None
            upstream = await suspects.acquire(
                self.service, name, self.left_s(), self.version
            )
            if upstream is None:
                await asyncio.sleep(ISOLATION_PAUSE_S)
                return None
        if self.verdict().standing is not poison.Standing.ISOLATED:
            # The verdict changed while the permit was awaited: the request
            # was quarantined, or cleared when another was found to be the
            # cause of the crash.
            suspects.release(upstream.name, name)
            return None
        return self.try_at(upstream, name, suspected=True)

    def choose(self) -> engine.Upstream:
        """Return the upstream of the next attempt.

        Raises:
          Refused: no upstream is available.
        """
        usable = self.parts.upstreams.candidates
        found = usable(self.service, self.tried, self.version)
        if not found and self.tried:
            # All available upstreams have been tried. Trying one again on a
            # new connection is better than refusing the request.
            found = usable(self.service, frozenset(), self.version)
        if not found:
            raise self.refusal(503, "no_upstream", "no upstream is left", 1)
        key = prefix.prefix_of(self.completion.model, self.text)
        return self.parts.router.choose(found, key)

    # Requests to and answers from the upstream.

    def request_for(self, attempt: proxy_exchange.Try) -> engine.EngineRequest:
        if not self.ran:
            # The caller's key may have been revoked while it was queued.
            self.call.check()
            # The host may have begun to shut down.
            now = self.parts.clock.monotonic()
            self.parts.admission.check(now, self.deadline_at)
        position = self.sent.position() if self.sent.started else None
        assert isinstance(attempt, routedtry.RoutedTry)
        return engine.EngineRequest(
            attempt.id,
            self.call.request.path,
            self.body,
            self.takes_events,
            self.left_s(),
            position.text if position else "",
            position.tokens if position else 0,
        )

    def header_limit_for(self, upstream: engine.Upstream) -> float:
        """Return the longest silence before a header, in seconds."""
        now = self.parts.clock.monotonic()
        wait_s = self.parts.upstreams.loads.wait_s(upstream, now)
        if not self.takes_events:
            tokens = self.completion.limit_tokens or DEFAULT_ANSWER_TOKENS
            wait_s += tokens * float(self.service.get("objective.itl_s"))
        return max(MIN_FIRST_S, FIRST_FACTOR * wait_s)

    def head_of(self, stream: engine.EngineStream) -> proxy_exchange.Headers:
        return (("content-type", proxy_exchange.EVENTS),)

    async def pass_whole(
        self, stream: engine.EngineStream, attempt: proxy_exchange.Try
    ) -> None:
        limit_s = ALIVE_FACTOR * self.header_limit_for(attempt.upstream)
        self.failover.watch(limit_s)
        body = await engine.read_all(
            stream,
            self.first_limit_s(),
            lambda: self.failover.watch(limit_s),
        )
        self.failover.pause()
        self.check_body(body, attempt)
        headers = [("content-type", stream.content_type)]
        self.response.send(stream.status, body, headers)

    def check_body(self, body: bytes, attempt: proxy_exchange.Try) -> None:
        check_complete(body, attempt.upstream)

    # Silence ends no attempt: the engine may go on until the deadline.

    def first_limit_s(self) -> float:
        return self.left_s() + DEADLINE_MARGIN_S

    def silence_limit_s(self) -> float:
        return self.left_s() + DEADLINE_MARGIN_S

    def seek_after_s(self, begun: bool) -> float:
        if begun:
            return self.gap_limit_s
        assert self.present is not None
        limit_s = self.header_limit_for(self.present.upstream)
        # Only the first attempt may be on a connection used before.
        return ALIVE_FACTOR * limit_s if self.tries else limit_s

    def on_head(self) -> None:
        assert self.present is not None
        limit_s = self.header_limit_for(self.present.upstream)
        self.failover.watch(ALIVE_FACTOR * limit_s)

    def on_silence(self) -> None:
        attempt = self.present
        if isinstance(attempt, routedtry.RoutedTry):
            attempt.note_silence()
            silent_s = self.failover.silent_s
            attempt.client.distrust(attempt.upstream, silent_s)
        if self.finished:
            self.failover.interrupt()

    def may_move(self) -> bool:
        return (
            self.idempotent
            and self.tries < MAX_TRIES
            and self.resumable
            and not self.finished
        )

    def overlap_s(self, attempt: proxy_exchange.Try) -> float:
        return self.header_limit_for(attempt.upstream)

    async def next_successor(self) -> routedtry.RoutedTry:
        pool = self.parts.upstreams
        budget = pool.budget(self.service)
        if not budget.fits(self.parts.clock.monotonic()):
            raise errors.NoSlot("the retry budget is spent", 0.0)
        if not pool.candidates(self.service, frozenset(), self.version):
            await asyncio.sleep(NO_UPSTREAM_PAUSE_S)
            raise errors.NoSlot("no upstream is left", 0.0)
        attempt = await self.next_try()
        # Charged for what is sent, not for the wait for a permit.
        budget.allow(self.parts.clock.monotonic())
        return attempt

    def on_silence_end(
        self, end: engine_failover.Silence, silent_s: float
    ) -> None:
        engine_failover.observe(self.parts.metrics, end, silent_s)
        if end is engine_failover.Silence.MOVED and self.sent.started:
            self.note_resumed()

    # Retry and resumption.

    def note_failure(
        self, attempt: proxy_exchange.Try, error: errors.UpstreamError
    ) -> None:
        LOG.warning("Attempt {} failed: {}", self.tries, error)
        self.parts.metrics.inc(
            "online_tries_failed_total",
            "Tries of online requests that failed.",
            {"service": self.service.name, "step": error.step},
        )
        if isinstance(error, errors.UpstreamRefused) and error.leaving:
            self.parts.upstreams.note_leaving(error.peer)

    def decide_on_failure(
        self, attempt: proxy_exchange.Try, error: errors.UpstreamError
    ) -> bool:
        if self.finished:
            self.response.write(resume.DONE)
            self.response.end()
            return False
        if not self.resumable or not self.may_retry(error):
            raise self.refusal_of(error) from error
        self.sent.restart()
        if self.sent.started:
            self.note_resumed()
        return True

    def note_resumed(self) -> None:
        """Log and count a stream that goes on at another engine."""
        tokens = self.sent.position().tokens
        LOG.notice("Resuming the stream after {} tokens.", tokens)
        self.parts.metrics.inc(
            "online_resumed_total",
            "Streams gone on with at another engine.",
            {"service": self.service.name},
        )

    def may_retry(self, error: errors.UpstreamError) -> bool:
        """Return whether to retry; if so, charge the retry budget."""
        rule = retry.RetryRule(
            self.idempotent, MAX_TRIES, MAX_TRIES, engine.FINAL_STATUSES
        )
        if not rule.allows(error, self.ran, self.refused):
            return False
        now = self.parts.clock.monotonic()
        return self.parts.upstreams.budget(self.service).allow(now)

    def refusal_of(self, error: errors.UpstreamError) -> errors.Refused:
        """Return the refusal that reports an upstream's error."""
        if isinstance(error, errors.UpstreamRefused):
            if error.status in engine.FINAL_STATUSES:
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
        """Return a refusal that says whether the request may have run."""
        ran = "unknown" if self.ran else "no"
        return errors.Refused(
            status, code, message, ran=ran, retry_after=retry_after
        )


class UndecodedObject(msgspec.Struct):
    """A JSON object whose fields are not decoded."""


OBJECT_DECODER = json_reader.Reader(UndecodedObject)


def check_complete(body: bytes, upstream: engine.Upstream) -> None:
    """Check that an answer was not truncated.

    An answer without a content length ends when its connection closes, so
    a crash looks like its end. Without this check a truncated JSON object
    was passed to the caller with status 200.

    Raises:
      UpstreamBroken: the body is not a complete JSON object.
    """
    try:
        OBJECT_DECODER.read(body)
    except msgspec.DecodeError as error:
        raise errors.UpstreamBroken(
            f"the answer is not whole: {error}",
            ran=True,
            step="read",
            peer=upstream.name,
        ) from error
