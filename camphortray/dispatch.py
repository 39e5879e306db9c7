"""Runs the items of jobs on engines."""

__all__ = ["Runner"]

import asyncio
from collections.abc import AsyncIterator
from typing import Any

import msgspec

from camphortray import engine
from camphortray import errors
from camphortray import jobs
from camphortray import kernel
from camphortray import logs
from camphortray import outer as outer_module
from camphortray import settings
from camphortray import signals as signals_module
from camphortray import slots as slots_module
from camphortray import upstreams as upstreams_module

LOG = logs.logger("dispatch")
# Items of one job in flight at once.
PARALLEL = 8
PAUSE_S = 0.2


class Runner:
    """Runs items; a passing fault is tried again elsewhere."""

    def __init__(self, context: kernel.Context) -> None:
        self.context = context
        self.outer = context.part(outer_module.Outer)
        self.upstreams = context.part(upstreams_module.Upstreams)
        self.slots = context.part(slots_module.Slots)
        self.signals = context.part(signals_module.Signals)

    async def run_all(
        self, service: settings.Service, job: jobs.Job, shard: Any
    ) -> AsyncIterator[jobs.ItemResult]:
        """Yield the results of all items left, as they come."""
        running: set[asyncio.Task[jobs.ItemResult]] = set()
        try:
            async for index, body in shard.items(job):
                if len(running) >= PARALLEL:
                    done, running = await asyncio.wait(
                        running, return_when=asyncio.FIRST_COMPLETED
                    )
                    for task in done:
                        yield task.result()
                running.add(
                    asyncio.ensure_future(
                        self.run_item(service, job, index, body)
                    )
                )
            for finished in asyncio.as_completed(running):
                yield await finished
        finally:
            for task in running:
                task.cancel()

    async def run_item(
        self,
        service: settings.Service,
        job: jobs.Job,
        index: int,
        body: bytes,
    ) -> jobs.ItemResult:
        """Run one item to a result."""
        accept = job.accept
        reason = ""
        for _ in range(service.get("job.attempts")):
            try:
                answer = await self.try_once(service, accept, index, body)
                return jobs.ItemResult(accept.job, index, "done", answer)
            except errors.UpstreamError as error:
                reason = str(error)
                await asyncio.sleep(PAUSE_S)
        failure = msgspec.json.encode({"error": {"message": reason}})
        return jobs.ItemResult(accept.job, index, "failed", failure)

    async def try_once(
        self,
        service: settings.Service,
        accept: jobs.JobAccept,
        index: int,
        body: bytes,
    ) -> bytes:
        """Run an item on one upstream and return its answer."""
        request = engine.EngineRequest(
            f"{accept.job}-{index}", accept.path, body, False, batch=True
        )
        slot = await self.slots.acquire(service)
        upstream = slot.upstream
        told = service.name, upstream.name, True
        party = self.outer.engine(upstream.plugin)
        self.signals.begun(*told)
        good = False
        try:
            with self.upstreams.count(upstream):
                stream = await party.open(upstream, request)
                try:
                    answer = await engine.read_all(stream, 60.0)
                    good = True
                    return answer
                finally:
                    stream.close()
        finally:
            self.signals.ended(*told, good)
            await self.slots.release(slot)
