"""Runs one item on one upstream and keeps what it gave."""

__all__ = ["ItemRunner", "Revoked", "Try"]

import asyncio
from collections.abc import Callable
import dataclasses
from typing import Any

import msgspec

from camphortray import backends as backends_module
from camphortray import collector
from camphortray import engine
from camphortray import errors
from camphortray import kernel
from camphortray import logs
from camphortray import settings
from camphortray import signals as signals_module
from camphortray import slots as slots_module
from camphortray import suspects as suspects_module
from camphortray import upstreams as upstreams_module

LOG = logs.logger("dispatch")
STREAM_OPTIONS = {"include_usage": True, "continuous_usage_stats": True}


class Revoked(Exception):
    """The slot was taken back; the tokens so far are kept."""


@dataclasses.dataclass(slots=True, eq=False)
class Try:
    """An item on its way through one or more upstreams.

    Attributes:
      id: Unique for each time it is sent.
      path: Interface.
      body: Body of the request, as the caller wrote it.
      collector: What has come so far.
      idempotent: Whether it may be cancelled and run on elsewhere.
      fingerprint: Gives what identifies the request.
      crashed: Whether the upstream of the last try crashed.
    """

    id: str
    path: str
    body: bytes
    collector: collector.Collector
    idempotent: bool = True
    fingerprint: Callable[[], str] = str
    crashed: bool = False

    def request(self) -> engine.EngineRequest:
        """Return the request that goes on where the last one stopped."""
        held = self.collector
        if not held.resumable or not held.text:
            held = self.collector = collector.Collector()
        held.restart()
        data: dict[str, Any] = msgspec.json.decode(self.body)
        data["stream"] = True
        data["stream_options"] = STREAM_OPTIONS
        return engine.EngineRequest(
            self.id,
            self.path,
            msgspec.json.encode(data),
            True,
            resume_text=held.text,
            resume_tokens=held.tokens,
            batch=True,
        )


class ItemRunner:
    """Sends items to engines; answers are streamed so tokens are kept."""

    def __init__(self, context: kernel.Context) -> None:
        self.context = context
        self.backends = context.part(backends_module.Backends)
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
        """Run to the end and return the whole completion.

        Raises:
          UpstreamError: no answer; what came is kept in the collector.
          Revoked: the slot was taken back.
        """
        upstream = slot.upstream
        labels = service.name, upstream.name, True
        attempt.crashed = good = False
        flight = self.suspects.begin(upstream, attempt.fingerprint)
        self.signals.begun(*labels)
        try:
            with self.upstreams.count(upstream):
                answer = await self.watched(service, attempt, slot, fresh)
            good = True
            self.upstreams.outliers.succeeded(upstream.name)
            return answer
        except errors.UpstreamError as error:
            attempt.crashed = await self.look_at(flight, error)
            raise
        finally:
            self.suspects.end(flight)
            self.signals.ended(*labels, good)

    async def look_at(
        self,
        flight: suspects_module.InFlightRequest,
        error: errors.UpstreamError,
    ) -> bool:
        """Return whether a failure means that the upstream crashed."""
        refused = isinstance(error, errors.UpstreamRefused)
        if refused or not isinstance(error, errors.UpstreamBroken):
            return False
        self.upstreams.failed(flight.upstream)
        if isinstance(error, errors.UpstreamTimeout) or not error.ran:
            return False
        return await self.suspects.is_crash(flight)

    async def watched(
        self,
        service: settings.Service,
        attempt: Try,
        slot: slots_module.Slot,
        fresh: bool,
    ) -> bytes:
        """Run until done, or until the slot is taken back."""
        loop = asyncio.get_running_loop()
        run = loop.create_task(self.stream(service, attempt, slot, fresh))
        waits: set[asyncio.Task[Any]] = {run}
        if attempt.idempotent:
            # A call that may run once cannot be stopped and run on.
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
        """Read one answer to its end."""
        upstream = slot.upstream
        party = self.backends.engine(upstream.plugin)
        clock = self.context.clock
        silence = service.get("limit.silence_s")
        request = attempt.request()
        held = attempt.collector
        last = clock.monotonic()
        on_token = self.signals.first_token
        try:
            async with asyncio.timeout(service.get("limit.deadline_s")):
                stream = await party.open(upstream, request, fresh)
            try:
                while data := await stream.read(silence):
                    held.feed(data)
                    now = clock.monotonic()
                    on_token(service.name, upstream.name, True, now - last)
                    on_token, last = self.signals.next_token, now
            finally:
                stream.close()
            if not held.complete:
                raise errors.UpstreamBroken(
                    "ended early", ran=True, step="read", peer=upstream.name
                )
            return held.body()
        except TimeoutError as error:
            self.cancel_soon(upstream, request.id)
            raise errors.UpstreamTimeout(
                "no answer in time", ran=True, step="open", peer=upstream.name
            ) from error
        except (errors.UpstreamBroken, asyncio.CancelledError):
            # The engine may know nothing of the closed connection.
            self.cancel_soon(upstream, request.id)
            raise

    def cancel_soon(self, upstream: engine.Upstream, request_id: str) -> None:
        """Tell the engine, without waiting for it."""
        task = asyncio.get_running_loop().create_task(
            self.cancel(upstream, request_id)
        )
        self.cancels.add(task)
        task.add_done_callback(self.cancels.discard)

    async def cancel(self, upstream: engine.Upstream, request_id: str) -> None:
        """Cancel at the engine, on a connection of its own."""
        try:
            party = self.backends.engine(upstream.plugin)
            await party.cancel(upstream, request_id)
        except errors.UpstreamError as error:
            LOG.debug("Not cancelled: {}", error)

    async def stop(self) -> None:
        """Wait until engines have been sent all cancels."""
        if self.cancels:
            await asyncio.wait(self.cancels, timeout=2.0)
