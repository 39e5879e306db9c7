"""A completion on its way: who runs it, and what follows on a failure."""

__all__ = ["CompletionExchange"]

import asyncio
import functools

import msgspec

from camphortray import completion as completions
from camphortray import engine
from camphortray import errors
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
# Upstreams tried for one request before it is refused.
MAX_TRIES = 4
# Pause before a suspect asks again for leave to run, in seconds.
APART_PAUSE_S = 0.1
# Silence allowed before an answer begins: at least this long, and so many
# times what is expected.
MIN_FIRST_S = 2.0
FIRST_TIMES = 6
# The head of an answer shows that its connection is alive; after it, this
# many times as long may pass.
HEAD_TIMES = 4
# Tokens reckoned with for a whole answer that names no limit.
GUESSED_TOKENS = 1024


class CompletionExchange(proxy_exchange.Exchange):
    """One completion until its answer has ended.

    Attributes:
      sent: What of a streamed answer the caller has.
      position: From where the next try goes on, if not from the start.
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
        self.position: resume.Position | None = None
        self.first_s = MIN_FIRST_S

    @functools.cached_property
    def text(self) -> str:
        """The prompt as one text."""
        return self.completion.text

    @functools.cached_property
    def fingerprint(self) -> str:
        """What identifies the request, sent again or not."""
        return poison.fingerprint(self.completion.model, self.text)

    def left_s(self) -> float:
        """Return the seconds left."""
        return max(0.001, self.deadline_at - self.parts.clock.monotonic())

    # Where it is tried.

    async def next_try(self) -> routedtry.RoutedTry:
        while True:
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
                return self.try_at(self.choose())
            wait_s = verdict.at - self.parts.clock.wall()
            if wait_s > 0:
                await asyncio.sleep(wait_s)
                continue
            held = await self.try_apart()
            if held is not None:
                return held

    def try_at(
        self, upstream: engine.Upstream, suspected: bool = False
    ) -> routedtry.RoutedTry:
        """Return a try at an upstream."""
        return routedtry.RoutedTry(
            self.parts,
            self.service,
            upstream,
            self.try_name(),
            lambda: self.fingerprint,
            suspected,
        )

    def try_name(self) -> str:
        """Return the name of the next try."""
        return f"{self.name}.{self.tries + 1}"

    def verdict(self) -> poison.Verdict:
        """Return how the request may run now."""
        if self.parts.suspects.no_suspects:
            return poison.FREE
        return self.parts.suspects.verdict(self.service, self.fingerprint)

    async def try_apart(self) -> routedtry.RoutedTry | None:
        """Return a try where no other suspect runs, if there is a place."""
        held, name = self.parts.suspects, self.try_name()
        async with held.turn:
            if self.verdict().standing is not poison.Standing.ISOLATED:
                return None
            upstream = await held.acquire(self.service, name, self.left_s())
            if upstream is None:
                await asyncio.sleep(APART_PAUSE_S)
                return None
        if self.verdict().standing is not poison.Standing.ISOLATED:
            # While the permit was on its way the request may have been
            # proved guilty, or innocent by another's guilt.
            held.release(upstream.name, name)
            return None
        return self.try_at(upstream, suspected=True)

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

    # What is sent, and passed on.

    def request_for(self, held: proxy_exchange.Try) -> engine.EngineRequest:
        if not self.ran:
            # Its key may have been revoked while it waited.
            self.call.check()
        position = self.position
        self.first_s = self.expected_first_s(held.upstream)
        return engine.EngineRequest(
            self.try_name(),
            self.call.request.path,
            self.body,
            self.takes_events,
            self.left_s(),
            position.text if position else "",
            position.tokens if position else 0,
            silence_s=self.first_s,
        )

    def expected_first_s(self, upstream: engine.Upstream) -> float:
        """Return how long an answer may take to begin."""
        now = self.parts.clock.monotonic()
        wait_s = self.parts.upstreams.loads.wait_s(upstream, now)
        if not self.takes_events:
            tokens = self.completion.limit_tokens or GUESSED_TOKENS
            wait_s += tokens * float(self.service.get("objective.itl_s"))
        return max(MIN_FIRST_S, FIRST_TIMES * wait_s)

    def head_of(self, stream: engine.EngineStream) -> proxy_exchange.Headers:
        return (("content-type", proxy_exchange.EVENTS),)

    def first_limit_s(self) -> float:
        return HEAD_TIMES * self.first_s

    def silence_limit_s(self) -> float:
        return float(self.service.get("limit.silence_s"))

    async def pass_whole(
        self, stream: engine.EngineStream, held: proxy_exchange.Try
    ) -> None:
        body = await engine.read_all(stream, self.first_limit_s())
        check_whole(body, held.upstream)
        headers = [("content-type", stream.content_type)]
        self.response.send(stream.status, body, headers)

    # What follows on a failure.

    def handle_failure(
        self, held: proxy_exchange.Try, error: errors.UpstreamError
    ) -> bool:
        LOG.warning("Try {} failed: {}", self.tries, error)
        self.parts.metrics.inc(
            "online_tries_failed_total",
            "Tries of online requests that failed.",
            {"service": self.service.name, "step": error.step},
        )
        if isinstance(error, errors.UpstreamRefused) and error.leaving:
            self.parts.upstreams.note_leaving(error.peer)
        if not self.may_retry(error):
            raise self.refusal_of(error) from error
        if not self.sent.started:
            self.sent.restart()
            return True
        self.position = position = self.sent.resume()
        if position.finished and (
            position.usage or not self.completion.wants_usage
        ):
            # Only the closing event was lost, and that holds nothing.
            self.response.write(resume.DONE)
            self.response.end()
            return False
        if not position.resumable or (self.completion.n or 1) > 1:
            raise self.refusal_of(error) from error
        LOG.notice("Resumes after {} tokens.", position.tokens)
        self.parts.metrics.inc(
            "online_resumed_total",
            "Streams gone on with at another engine.",
            {"service": self.service.name},
        )
        return True

    def may_retry(self, error: errors.UpstreamError) -> bool:
        """Return whether another try is right, and count it if so."""
        rule = retry.RetryRule(
            self.idempotent, MAX_TRIES, MAX_TRIES, engine.FINAL_STATUSES
        )
        if not rule.allows(error, self.ran, self.refused):
            return False
        now = self.parts.clock.monotonic()
        return self.parts.upstreams.budget(self.service).allow(now)

    def refusal_of(self, error: errors.UpstreamError) -> errors.Refused:
        """Return the refusal of a request whose upstream failed."""
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
        """Return a refusal that says whether it may have run."""
        ran = "unknown" if self.ran else "no"
        return errors.Refused(
            status, code, message, ran=ran, retry_after=retry_after
        )


class AnyObject(msgspec.Struct):
    """A JSON object whose fields are not looked at."""


WHOLE = msgspec.json.Decoder(AnyObject)


def check_whole(body: bytes, upstream: engine.Upstream) -> None:
    """Make sure that an answer was not cut off.

    An answer without a length ends with its connection, so that a crash
    looks like its end; half a JSON object then reached the caller as 200.

    Raises:
      UpstreamBroken: it is not a whole JSON object.
    """
    try:
        WHOLE.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise errors.UpstreamBroken(
            f"the answer is not whole: {error}",
            ran=True,
            step="read",
            peer=upstream.name,
        ) from error
