"""Runs the jobs of a shard on its owner during one epoch."""

__all__ = ["ShardRun"]

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
import functools
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
from camphortray import tasks
from camphortray import tree

LOG = logs.logger("jobs")
# The next chunk of a job is read when no more than this number of its items
# are queued.
MIN_QUEUED_ITEMS = 64
# Pause after a failed access to the log, or while the service is unknown.
RETRY_PAUSE_S = 0.5
# Interval between two searches for expired jobs and files.
EXPIRY_INTERVAL_S = 1.0


class ShardRun:
    """Runs the jobs of a shard while this host owns it.

    Attributes:
      stopping: Ids of the jobs that were cancelled through this run.
      running: Ids of the jobs that are being run.
      tasks: Background tasks, which end with the ownership.
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
        self.tasks = tasks.TaskSet()

    def start(self) -> None:
        """Start the outbox, the running jobs and the expiry."""
        LOG.info(
            "Running jobs of {} in epoch {}.",
            self.shard.journal.stream,
            self.epoch,
        )
        self.outbox.start()
        for job in list(self.shard.fold.jobs.values()):
            self.start_job(job)
        self.spawn(self.delete_expired())

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Run a background task that ends with the ownership of the shard."""
        self.tasks.spawn(work)

    def start_job(self, job: jobs.Job) -> None:
        """Start or resume a job, unless it has ended or is being run."""
        if job.status is jobs.JobStatus.RUNNING:
            if job.accept.job not in self.running:
                self.running.add(job.accept.job)
                work = functools.partial(self.fill, job)
                self.spawn(tasks.forever("queueing of a job", work))

    def on_outcome(self, outcome: folds.Outcome) -> None:
        """Start accepted jobs, and stop those that have ended."""
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
        """Stop the dispatch of a job's items."""
        self.running.discard(job)
        self.dispatcher.remove_job(job)

    async def fill(self, job: jobs.Job) -> None:
        """Queue the items of a job, one chunk at a time.

        Called again after an unexpected error, it goes on where it stopped.
        """
        name = job.accept.job
        while job.accept.service not in self.tree.view.services:
            await asyncio.sleep(RETRY_PAUSE_S)
        if name not in self.running:
            return
        held = self.dispatcher.held.get(name)
        if held is None or held.outbox is not self.outbox:
            held = self.dispatcher.add_job(job, self.outbox, self.epoch)
        # Non-idempotent items dispatched by an earlier owner. They may have
        # run already and must not run twice.
        started = frozenset(job.started)
        for number in range(len(job.chunks)):
            if name not in self.running:
                return
            await self.push_chunk(held, number, started)
            while (
                name in self.running
                and self.dispatcher.queue.jobs[name].held > MIN_QUEUED_ITEMS
            ):
                held.space.clear()
                await held.space.wait()

    async def push_chunk(
        self, held: itemdriver.Held, number: int, started: frozenset[int]
    ) -> None:
        """Queue the items of one chunk that have no result."""
        job = held.job
        first = job.chunks[number][1]
        end = job.accept.count
        if number + 1 < len(job.chunks):
            end = job.chunks[number + 1][1]
        pending = [
            item
            for item in range(max(first, held.queued), end)
            if not job.has_result(item)
        ]
        if not pending:
            return
        chunk = await self.read_chunk(job, number)
        for item in pending:
            line = chunk.items[item - first]
            self.push_item(job, item, line, item in started)
            held.queued = item + 1

    async def read_chunk(self, job: jobs.Job, number: int) -> jobs.JobChunk:
        """Read a chunk, with retries while the log is unavailable."""
        while True:
            try:
                record = await self.shard.read(job.chunks[number][0])
            except errors.LogError as error:
                LOG.warning(
                    "Cannot read a chunk of job {}: {}",
                    job.accept.job,
                    error,
                )
                await asyncio.sleep(RETRY_PAUSE_S)
                continue
            body = record.body
            if record.kind == jobs.CARRY:
                body = body["body"]
            return records.typed(body, jobs.JobChunk)

    def push_item(
        self, job: jobs.Job, index: int, line: bytes, started: bool
    ) -> None:
        """Queue an item, or end it if it must not or cannot be run."""
        name = job.accept.job
        item = jobqueue.Item(
            name, index, line, crashes=job.crashes.get(index, 0)
        )
        held = self.dispatcher.held.get(name)
        if held is None:
            return
        if started:
            reason = itemdriver.reason("begun by a host that was lost")
            self.dispatcher.driver.end(held, item, "unknown", reason)
            return
        service = self.tree.view.services[job.accept.service]
        try:
            _, body = job_reader.parse_line(line)
            if body.model not in service.models:
                raise ValueError(f"no model {body.model!r}")
        except ValueError as error:
            reason = itemdriver.reason(str(error))
            self.dispatcher.driver.end(held, item, "failed", reason)
            return
        item.prefix = job_reader.prefix_of(body)
        self.dispatcher.push(held, item)

    async def delete_expired(self) -> None:
        """Delete jobs and files whose retention has ended, until cancelled."""
        while True:
            await asyncio.sleep(EXPIRY_INTERVAL_S)
            now = self.context.clock.wall()
            fold = self.shard.fold
            expired_jobs = [
                name
                for name, job in fold.jobs.items()
                if job.ended_at and now > job.ended_at + job.accept.keep_s
            ]
            expired_files = [
                name
                for name, held in fold.files.items()
                if now > held.accept.taken_at + held.accept.keep_s
            ]
            try:
                for name in expired_jobs:
                    await self.shard.append(jobs.FORGET, jobs.JobForget(name))
                for name in expired_files:
                    await self.shard.append(
                        jobs.FILE_FORGET, jobs.FileForget(name)
                    )
            except errors.LogError as error:
                LOG.warning("Cannot delete expired jobs and files: {}", error)

    async def cancel(self, job: str) -> folds.Outcome:
        """Stop a job at once and append its cancel record.

        Raises:
          LogError: the record was not read back from the log. The job stays
            stopped, and the append is retried in the background.
        """
        self.stopping.add(job)
        self.stop_job(job)
        body = jobs.JobCancel(job, self.context.clock.wall())
        try:
            return await self.shard.append(jobs.CANCEL, body)
        except errors.LogError:
            self.spawn(self.retry_cancel(body))
            raise

    async def retry_cancel(self, body: jobs.JobCancel) -> None:
        """Append a cancel record, with retries until the job has ended."""
        while True:
            held = self.shard.fold.jobs.get(body.job)
            if held is None or held.status is not jobs.JobStatus.RUNNING:
                return
            try:
                await self.shard.append(jobs.CANCEL, body)
            except errors.LogError:
                await asyncio.sleep(RETRY_PAUSE_S)

    async def stop(self) -> None:
        """Stop all jobs and tasks: this host no longer runs the shard."""
        for name in list(self.running):
            self.stop_job(name)
        self.tasks.cancel()
        await self.outbox.stop()
