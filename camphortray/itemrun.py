"""Runs one batch item on one upstream and collects its answer."""

__all__ = ["ItemRunner", "Revoked", "Try"]

import asyncio
from collections.abc import Callable
import dataclasses
from typing import Any

import msgspec

from camphortray import body_budget
from camphortray import collector
from camphortray import engine
from camphortray import errors
from camphortray import json_reader
from camphortray import kernel
from camphortray import log_backends
from camphortray import logs
from camphortray import settings
from camphortray import signals as signals_module
from camphortray import slots as slots_module
from camphortray import suspects as suspects_module
from camphortray import upstreams as upstreams_module

LOG = logs.logger("dispatch")
STREAM_OPTIONS = {"include_usage": True, "continuous_usage_stats": True}


class Revoked(Exception):
    """The slot was revoked; the collector keeps the partial answer."""


@dataclasses.dataclass(slots=True, eq=False)
class Try:
    """The attempts of an item, each of which resumes the one before.

    Attributes:
      id: Request id, unique for each time the item is sent.
      path: API path of the request.
      body: Request body as the caller sent it.
      collector: Partial answer received so far.
      idempotent: Whether it may be cancelled and resumed elsewhere.
      fingerprint: Returns the request's fingerprint for crash reports.
      segments: Returns the prompt segments that it shares with others.
      crashed: Whether the upstream of the last attempt crashed.
      last: Whether the item ends if this attempt fails.
    """

    id: str
    path: str
    body: bytes
    collector: collector.Collector
    idempotent: bool = True
    fingerprint: Callable[[], str] = str
    segments: Callable[[], tuple[str, ...]] = tuple
    crashed: bool = False
    last: bool = False

    def request(self, version: str) -> engine.EngineRequest:
        """Return a request that resumes the partial answer, if it can be.

        Args:
          version: Software version of the upstream, as declared. The output
            of two versions does not fit together.
        """
        partial = self.collector
        if (
            not partial.resumable
            or not partial.text
            or partial.version != version
        ):
            partial = self.collector = collector.Collector()
            partial.version = version
        partial.restart()
        data: dict[str, Any] = json_reader.read(self.body)
        data["stream"] = True
        data["stream_options"] = STREAM_OPTIONS
        return engine.EngineRequest(
            self.id,
            self.path,
            msgspec.json.encode(data),
            True,
            resume_text=partial.text,
            resume_tokens=partial.tokens,
            batch=True,
        )


class ItemRunner:
    """Sends items to engines.

    Answers are streamed, so that a cut answer can be resumed behind the
    tokens already received.
    """

    def __init__(self, context: kernel.Context) -> None:
        self.context = context
        self.backends = context.part(log_backends.Backends)
        self.upstreams = context.part(upstreams_module.Upstreams)
        self.signals = context.part(signals_module.Signals)
        self.suspects = context.part(suspects_module.Suspects)
        self.cancels: set[asyncio.Task[None]] = set()

    async def run(
        self,
        service: settings.Service,
        attempt: Try,
        slot: slots_module.Slot,
        fresh: bool = False,
    ) -> bytes:
        """Run an item to its end and return the whole completion.

        Args:
          service: Service of the item.
          attempt: The item; its collector keeps a partial answer on errors.
          slot: Slot to run on.
          fresh: Whether to open a new connection.

        Raises:
          UpstreamError: The upstream did not answer in full.
          Revoked: The slot was revoked.
        """
        upstream = slot.upstream
        labels = service.name, upstream.name, True
        attempt.crashed = answered = False
        flight = self.suspects.begin(
            upstream, attempt.fingerprint, service.name, attempt.segments
        )
        self.signals.begun(*labels)
        try:
            with self.upstreams.count(upstream):
                answer = await self.run_until_revoked(
                    service, attempt, slot, fresh
                )
            answered = True
            self.suspects.note_answer(flight)
            self.upstreams.outliers.succeeded(upstream.name)
            return answer
        except errors.UpstreamError as error:
            attempt.crashed = await self.check_crash(flight, error)
            raise
        finally:
            self.suspects.end(flight)
            self.signals.ended(*labels, answered)

    async def check_crash(
        self,
        flight: suspects_module.InFlightRequest,
        error: errors.UpstreamError,
    ) -> bool:
        """Record an upstream's failure; return whether it crashed."""
        refused = isinstance(error, errors.UpstreamRefused)
        if refused or not isinstance(error, errors.UpstreamBroken):
            return False
        self.upstreams.failed(flight.upstream)
        if isinstance(error, errors.UpstreamTimeout) or not error.ran:
            return False
        return await self.suspects.is_crash(flight)

    async def run_until_revoked(
        self,
        service: settings.Service,
        attempt: Try,
        slot: slots_module.Slot,
        fresh: bool,
    ) -> bytes:
        """Run until the answer is complete or the slot is revoked."""
        loop = asyncio.get_running_loop()
        run = loop.create_task(self.stream(service, attempt, slot, fresh))
        waits: set[asyncio.Task[Any]] = {run}
        if attempt.idempotent:
            # A non-idempotent item must not be cancelled and run again.
            waits.add(loop.create_task(slot.revoked.wait()))
        try:
            await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
            if run.done():
                return run.result()
            raise Revoked
        finally:
            for task in waits:
                task.cancel()
            await asyncio.wait({run})

    async def stream(
        self,
        service: settings.Service,
        attempt: Try,
        slot: slots_module.Slot,
        fresh: bool,
    ) -> bytes:
        """Stream one answer into the collector and return its body."""
        upstream = slot.upstream
        backend = self.backends.engine(upstream.plugin)
        clock = self.context.clock
        limit_s = silence_limit_s(service, attempt)
        request = attempt.request(upstream.version)
        partial = attempt.collector
        last_at = clock.monotonic()
        signal_token = self.signals.first_token
        try:
            async with asyncio.timeout(service.get("limit.deadline_s")):
                stream = await backend.open(upstream, request, fresh)
            try:
                size = 0
                while data := await stream.read(limit_s):
                    size += len(data)
                    if size > body_budget.MAX_BODY_BYTES:
                        raise body_budget.too_large()
                    partial.feed(data)
                    now = clock.monotonic()
                    signal_token(
                        service.name, upstream.name, True, now - last_at
                    )
                    signal_token, last_at = self.signals.next_token, now
            finally:
                stream.close()
            if not partial.complete:
                raise errors.UpstreamBroken(
                    "ended early", ran=True, step="read", peer=upstream.name
                )
            return partial.body()
        except TimeoutError as error:
            self.start_cancel(upstream, request.id)
            raise errors.UpstreamTimeout(
                "no answer in time", ran=True, step="open", peer=upstream.name
            ) from error
        except (errors.UpstreamBroken, asyncio.CancelledError):
            # The engine may not notice that the connection was closed.
            self.start_cancel(upstream, request.id)
            raise

    def start_cancel(self, upstream: engine.Upstream, request_id: str) -> None:
        """Cancel a request at the engine in the background."""
        task = asyncio.get_running_loop().create_task(
            self.cancel(upstream, request_id)
        )
        self.cancels.add(task)
        task.add_done_callback(self.cancels.discard)

    async def cancel(self, upstream: engine.Upstream, request_id: str) -> None:
        """Cancel a request at the engine, over a separate connection."""
        try:
            backend = self.backends.engine(upstream.plugin)
            await backend.cancel(upstream, request_id)
        except errors.UpstreamError as error:
            LOG.debug("Request not cancelled at its engine: {}", error)

    async def stop(self) -> None:
        """Wait up to 2 s until all cancels have been sent to the engines."""
        if self.cancels:
            await asyncio.wait(self.cancels, timeout=2.0)


def silence_limit_s(service: settings.Service, attempt: Try) -> float:
    """Return the silence after which an attempt is given up, in seconds.

    An engine that is silent may go on. It is left early only for another
    attempt.
    """
    limit_s: float = service.get("limit.silence_s")
    if attempt.last or not attempt.idempotent:
        limit_s = max(limit_s, service.get("limit.deadline_s"))
    return limit_s
