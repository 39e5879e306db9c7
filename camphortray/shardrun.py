"""What the owner of a shard does in one epoch."""

__all__ = ["ShardRun"]

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
from typing import Any

from camphortray import dispatch
from camphortray import errors
from camphortray import fold as folds
from camphortray import itemdriver
from camphortray import job_reader
from camphortray import jobqueue
from camphortray import jobs
from camphortray import jobshard
from camphortray import kernel
from camphortray import logs
from camphortray import outbox as outboxes
from camphortray import records
from camphortray import tree

LOG = logs.logger("jobs")
# Items held in the queue for a job at which the next chunk is read.
LOW_ITEMS = 64
RETRY_S = 0.5
FORGET_EVERY_S = 1.0


class ShardRun:
    """Runs the jobs of a shard while this host owns it.

    Attributes:
      stopping: Jobs stopped here whose cancel is not yet read back.
    """

    def __init__(
        self,
        context: kernel.Context,
        shard: jobshard.JobShard,
        dispatcher: dispatch.Dispatcher,
        epoch: int,
        interval_s: Callable[[], float],
    ) -> None:
        self.context = context
        self.shard = shard
        self.dispatcher = dispatcher
        self.epoch = epoch
        self.tree = context.part(tree.Tree)
        self.outbox = outboxes.Outbox(
            shard,
            context.clock,
            interval_s,
            context.config.streams.record_limit_bytes,
            dispatcher.must_flush,
        )
        self.stopping: set[str] = set()
        self.running: set[str] = set()
        self.tasks: set[asyncio.Task[None]] = set()

    def start(self) -> None:
        """Resume every job that is running."""
        LOG.info("Owns {} in epoch {}.", self.shard.journal.stream, self.epoch)
        self.outbox.start()
        for job in list(self.shard.fold.jobs.values()):
            self.start_job(job)
        self.spawn(self.forget())

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Run something for as long as the shard is owned."""
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def start_job(self, job: jobs.Job) -> None:
        """Run a job from where it stands."""
        if job.status is jobs.JobStatus.RUNNING:
            if job.accept.job not in self.running:
                self.running.add(job.accept.job)
                self.spawn(self.fill(job))

    def on_outcome(self, outcome: folds.Outcome) -> None:
        """Follow what the shard's stream says of its jobs."""
        if not outcome.valid or outcome.record is None:
            return
        kind = outcome.record.kind
        if kind == jobs.ACCEPT:
            job = self.shard.fold.jobs.get(outcome.record.body["job"])
            if job is not None:
                self.start_job(job)
        elif kind in (jobs.RESULTS, jobs.CANCEL):
            for name in list(self.running):
                held = self.shard.fold.jobs.get(name)
                if held is None or held.status is not jobs.JobStatus.RUNNING:
                    self.stop_job(name)

    def stop_job(self, job: str) -> None:
        """Stop running a job."""
        self.running.discard(job)
        self.dispatcher.remove_job(job)

    async def fill(self, job: jobs.Job) -> None:
        """Keep the queue filled with a job's items, a chunk at a time."""
        name = job.accept.job
        while job.accept.service not in self.tree.view.services:
            await asyncio.sleep(RETRY_S)
        if name not in self.running:
            return
        held = self.dispatcher.add_job(job, self.outbox, self.epoch)
        # Begun by an earlier owner: they may have run, and whoever sent
        # them asked that none runs twice.
        started = frozenset(job.started)
        for number in range(len(job.chunks)):
            if name not in self.running:
                return
            await self.push_chunk(job, number, started)
            while (
                name in self.running
                and self.dispatcher.queue.jobs[name].held > LOW_ITEMS
            ):
                held.space.clear()
                await held.space.wait()

    async def push_chunk(
        self, job: jobs.Job, number: int, started: frozenset[int]
    ) -> None:
        """Queue the items of one chunk that have no result."""
        first = job.chunks[number][1]
        end = job.accept.count
        if number + 1 < len(job.chunks):
            end = job.chunks[number + 1][1]
        wanted = [
            item for item in range(first, end) if not job.has_result(item)
        ]
        if not wanted:
            return
        chunk = await self.read_chunk(job, number)
        for item in wanted:
            line = chunk.items[item - first]
            self.push_item(job, item, line, item in started)

    async def read_chunk(self, job: jobs.Job, number: int) -> jobs.JobChunk:
        """Read a chunk, waiting for as long as the log is away."""
        while True:
            try:
                record = await self.shard.read(job.chunks[number][0])
            except errors.LogError as error:
                LOG.warning("Chunk of {}: {}", job.accept.job, error)
                await asyncio.sleep(RETRY_S)
                continue
            raw = record.body
            if record.kind == jobs.CARRY:
                raw = raw["body"]
            return records.typed(raw, jobs.JobChunk)

    def push_item(
        self, job: jobs.Job, index: int, line: bytes, started: bool
    ) -> None:
        """Queue an item, or end it if it can never be done."""
        name = job.accept.job
        item = jobqueue.Item(
            name, index, line, crashes=job.crashes.get(index, 0)
        )
        held = self.dispatcher.held.get(name)
        if held is None:
            return
        if started:
            why = itemdriver.reason("begun by a host that was lost")
            self.dispatcher.driver.end(held, item, "unknown", why)
            return
        service = self.tree.view.services[job.accept.service]
        try:
            _, body = job_reader.parse_line(line)
            if body.model not in service.models:
                raise ValueError(f"no model {body.model!r}")
        except ValueError as error:
            why = itemdriver.reason(str(error))
            self.dispatcher.driver.end(held, item, "failed", why)
            return
        item.prefix = job_reader.prefix_of(body)
        self.dispatcher.push(held, item)

    async def forget(self) -> None:
        """End the keeping time of jobs and files."""
        while True:
            await asyncio.sleep(FORGET_EVERY_S)
            now = self.context.clock.wall()
            fold = self.shard.fold
            old_jobs = [
                name
                for name, job in fold.jobs.items()
                if job.ended_at and now > job.ended_at + job.accept.keep_s
            ]
            old_files = [
                name
                for name, held in fold.files.items()
                if now > held.accept.taken_at + held.accept.keep_s
            ]
            try:
                for name in old_jobs:
                    await self.shard.append(jobs.FORGET, jobs.JobForget(name))
                for name in old_files:
                    await self.shard.append(
                        jobs.FILE_FORGET, jobs.FileForget(name)
                    )
            except errors.LogError as error:
                LOG.warning("Keeping time not ended: {}", error)

    async def cancel(self, job: str) -> folds.Outcome:
        """Stop a job at once and see its cancel read back.

        Raises:
          LogError: it was not read back; dispatch stays stopped, and the
            cancel is written as soon as the log takes it.
        """
        self.stopping.add(job)
        self.stop_job(job)
        body = jobs.JobCancel(job, self.context.clock.wall())
        try:
            return await self.shard.append(jobs.CANCEL, body)
        except errors.LogError:
            self.spawn(self.cancel_later(body))
            raise

    async def cancel_later(self, body: jobs.JobCancel) -> None:
        """Write a cancel however long the log is away."""
        while True:
            held = self.shard.fold.jobs.get(body.job)
            if held is None or held.status is not jobs.JobStatus.RUNNING:
                return
            try:
                await self.shard.append(jobs.CANCEL, body)
            except errors.LogError:
                await asyncio.sleep(RETRY_S)

    async def stop(self) -> None:
        """Stop at once: the shard is no longer this host's."""
        for name in list(self.running):
            self.stop_job(name)
        for task in list(self.tasks):
            task.cancel()
        await self.outbox.stop()
