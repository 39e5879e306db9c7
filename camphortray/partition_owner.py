"""Owns one partition of jobs for one epoch: stores jobs, runs their items."""

__all__ = ["PartitionOwner", "PendingJob"]

import asyncio
import collections
from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import traceback

import msgspec

from camphortray import errors
from camphortray import item_reconciler
from camphortray import itemwork
from camphortray import ledger as ledgers
from camphortray import logs
from camphortray import partition_records
from camphortray import partition_state
from camphortray import partwriter
from camphortray import routemap
from camphortray import tasks

LOG = logs.logger("jobs")
TOPIC = ledgers.Topic.JOBS
# Pause after a failed attempt to take over a partition.
TAKEOVER_RETRY_S = 0.1
# Time limit for storing a record; after that its caller gets an error.
WRITE_TIMEOUT_S = 2.5
# Time limit for storing a result, which waits while the store is unavailable.
RESULT_TIMEOUT_S = 3600.0
# Time limit for cancelled item tasks to end; they only close connections.
CLOSE_TIMEOUT_S = 2.0
# Limit on the results in one page, which always holds at least one.
MAX_PAGE_BYTES = 500_000
# Interval between deletions of expired jobs.
EXPIRY_INTERVAL_S = 5.0
# Interval between checks for stalled items.
STALL_CHECK_INTERVAL_S = 1.0
# Time limit for one store call, or one page of a listing, during a takeover.
# Each call has its own, much shorter limit; this one ensures that no takeover
# waits forever, whatever else happens.
STORE_CALL_TIMEOUT_S = 3.0
# Consecutive takeovers that are retried because a record is unreadable, before
# that record is skipped: it may have been corrupted in transit.
MAX_UNREADABLE_TAKEOVERS = 5


class PendingJob(msgspec.Struct):
    """A job that is not stored, but may yet be.

    Attributes:
      host_name: As of the job.
      target: As of the job.
      route: As of the job.
      workspace: As of the job.
      waiting_tokens: Tokens of all its items.
      write: The write that is to store it, once there is one. Its outcome
        may be known long after the caller's answer.
    """

    host_name: str
    target: str
    route: routemap.RouteId | msgspec.UnsetType
    workspace: str
    waiting_tokens: int
    write: partwriter.Write | None = None

    @classmethod
    def from_part(cls, part: partition_records.JobPart) -> "PendingJob":
        tokens = sum(item.tokens for item in part.items)
        return cls(
            part.host_name, part.target, part.route, part.workspace, tokens
        )


class PartitionOwner:
    """A partition while this host owns it.

    Attributes:
      part: Number of the partition.
      epoch: Epoch in which this host owns the partition.
      state: All jobs of the partition.
      ready: Set once all records have been read.
      begun_at: Monotonic time at which the takeover began.
      lost: Whether ownership has ended: another host has taken over, or
        this owner was stopped.
      pending: Jobs that are admitted and not stored, by id.
      ending: Number of calls to end a job that are pending or may have been
        stored, by job id; items of these jobs are not run.
    """

    def __init__(
        self,
        parts: itemwork.WorkParts,
        ledger: ledgers.Ledger,
        part: int,
        epoch: int,
        keep_s: float,
        on_change: Callable[[], None],
        on_lost: Callable[["PartitionOwner"], None],
    ) -> None:
        self.parts = parts
        self.ledger = ledger
        self.part = part
        self.epoch = epoch
        self.keep_s = keep_s
        self.on_change = on_change
        self.on_lost = on_lost
        self.state = partition_state.PartitionState()
        self.writer = partwriter.PartWriter(
            ledger,
            TOPIC,
            part,
            epoch,
            parts.clock,
            self.on_written,
            self.on_fenced,
        )
        self.ready = asyncio.Event()
        self.begun_at = parts.clock.monotonic()
        self.lost = False
        self.unreadable_takeovers = 0
        self.ending: collections.Counter[str] = collections.Counter()
        self.items = item_reconciler.ItemReconciler(
            parts, epoch, self.store_result, self.ending
        )
        self.pending: dict[str, PendingJob] = {}
        self.submits: dict[str, asyncio.Task[None]] = {}
        self.job_events: dict[str, asyncio.Event] = {}
        self.task: asyncio.Task[None] | None = None

    # Takeover and release.

    def start(self) -> None:
        """Start to take over the partition."""
        work = tasks.forever(f"owner of partition {self.part}", self.run)
        self.task = asyncio.get_running_loop().create_task(work)

    async def run(self) -> None:
        """Take over, then restart stalled items and drop expired jobs."""
        while not self.ready.is_set() and not await self.take_over():
            await asyncio.sleep(TAKEOVER_RETRY_S)
        expire_at = self.parts.clock.monotonic() + EXPIRY_INTERVAL_S
        while not self.lost:
            await asyncio.sleep(STALL_CHECK_INTERVAL_S)
            self.items.restart_stalled()
            if self.parts.clock.monotonic() >= expire_at:
                expire_at += EXPIRY_INTERVAL_S
                await self.delete_expired_jobs()

    async def take_over(self) -> bool:
        """Fence off older epochs, read all records and start serving.

        Returns:
          Whether the takeover is over: done, or prevented by a newer owner.
        """
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(STORE_CALL_TIMEOUT_S):
                await self.ledger.set_epoch(TOPIC, self.part, self.epoch)
            async with asyncio.timeout(STORE_CALL_TIMEOUT_S) as limit:
                page = await self.ledger.newest(
                    TOPIC,
                    self.part,
                    lambda: limit.reschedule(
                        loop.time() + STORE_CALL_TIMEOUT_S
                    ),
                )
            self.state = partition_state.PartitionState()
            unreadable = self.load(page.records)
            # No other host can have appended anything since the epoch was
            # set, but a paged listing is not a consistent snapshot.
            end = page.end
            while True:
                async with asyncio.timeout(STORE_CALL_TIMEOUT_S):
                    more = await self.ledger.read(TOPIC, self.part, end)
                unreadable += self.load(more.records)
                end += len(more.records)
                if end >= more.end:
                    break
        except errors.LogFenced:
            self.on_fenced()
            return True
        except errors.LogTruncated:
            return False
        except (errors.LogError, TimeoutError) as error:
            LOG.info(
                "Takeover of partition {} failed, will retry: {!r}",
                self.part,
                error,
            )
            return False
        if unreadable and self.unreadable_takeovers < MAX_UNREADABLE_TAKEOVERS:
            self.unreadable_takeovers += 1
            return False
        self.begin()
        return True

    def load(self, records: tuple[ledgers.LedgerRecord, ...]) -> int:
        """Apply records; return how many are skipped as unreadable."""
        unreadable = 0
        for record in records:
            try:
                self.state.apply(record)
            except errors.RecordError as error:
                unreadable += 1
                LOG.error(
                    "Unreadable record in partition {}, skipped: {}",
                    self.part,
                    error,
                )
        return unreadable

    def begin(self) -> None:
        """Start to serve calls and run open items."""
        jobs = self.state.jobs.values()
        LOG.notice(
            "Owns partition {} in epoch {}, {} jobs, {} items open.",
            self.part,
            self.epoch,
            len(self.state.jobs),
            sum(len(job.open_items) for job in jobs),
        )
        for name in self.state.drop_gaps():
            LOG.warning(
                "Results of job {} have a gap; items without a usable result"
                " are run again.",
                name,
            )
        self.writer.start()
        self.ready.set()
        self.items.begin(self.state.jobs)
        self.notify_change()

    def on_fenced(self) -> None:
        """Stop, as another owner has taken over."""
        if not self.lost:
            LOG.notice("Lost partition {} to another owner.", self.part)
            try:
                self.on_lost(self)
            finally:
                self.stop()

    def stop(self) -> list[asyncio.Task[None]]:
        """Stop all work immediately; the next owner resumes it.

        Returns:
          Cancelled item tasks that have not ended yet.
        """
        self.lost = True
        ending = self.items.close()
        self.writer.stop()
        for task in list(self.submits.values()):
            task.cancel()
        for event in self.job_events.values():
            event.set()
        if self.task is not None and self.task is not asyncio.current_task():
            self.task.cancel()
        return ending

    async def close(self) -> None:
        """Stop and wait for the item tasks to end, up to a time limit."""
        ending = self.stop()
        if ending:
            await asyncio.wait(ending, timeout=CLOSE_TIMEOUT_S)

    # Results.

    async def store_result(
        self, job: partition_state.Job, result: partition_records.Result
    ) -> None:
        """Store the result of an item.

        Raises:
          LogError: It is unknown whether the result was stored, or this host
            no longer owns the partition.
          RecordError: The result is too large to be stored.
        """
        record_bytes = self.ledger.record_bytes
        size = len(result.text) + partition_records.RESULT_OVERHEAD_BYTES
        if size > self.ledger.append_bytes:
            raise errors.RecordError(
                f"result of {size} bytes exceeds the append limit of"
                f" {self.ledger.append_bytes} bytes",
                step="result",
                peer="ledger",
            )
        for record in partition_state.next_result(
            job, (), result, record_bytes
        ):
            self.writer.check_size(record)

        def make(before: partwriter.Records) -> partwriter.Records:
            return partition_state.next_result(
                job, before, result, record_bytes
            )

        while True:
            write = self.writer.put(make, size, RESULT_TIMEOUT_S)
            try:
                await self.writer.wait_for_outcome(write, RESULT_TIMEOUT_S)
                return
            except errors.LogRefused as error:
                if self.lost or self.writer.closed:
                    raise
                LOG.warning(
                    "Result for job {} not stored, will retry: {}",
                    job.id,
                    error,
                )

    # Records.

    def on_written(self, records: partwriter.Records) -> None:
        """Apply records that have been stored."""
        for record in records:
            self.state.apply(record)
        for name in {
            partition_records.split_key(record.key)[1] for record in records
        }:
            job = self.state.jobs.get(name)
            if job is not None and job.ended:
                # Items may have been restarted because the store refused an
                # earlier call to end the job while this one was pending.
                self.items.stop_job(name)
            elif job is not None:
                # A stored job runs even if its caller received the answer
                # that the outcome is unknown.
                self.items.queue_open_items(job)
            event = self.job_events.pop(name, None)
            if event is not None:
                event.set()
        self.notify_change()

    def notify_change(self) -> None:
        """Notify the listener of a change.

        A failing listener must not end the writer or the takeover, which
        call this.
        """
        try:
            self.on_change()
        except (Exception, asyncio.CancelledError) as error:
            LOG.error(
                "Change listener of partition {} failed: {}",
                self.part,
                "".join(traceback.format_exception(error)),
            )

    async def delete_expired_jobs(self) -> None:
        """Delete the keys of jobs whose retention has expired."""
        now = self.parts.clock.wall()
        for name in self.state.expired_jobs(now, self.keep_s):
            keys = list(self.state.keys.get(name, ()))
            records = [ledgers.LedgerRecord(key, b"") for key in keys]
            if not records:
                continue
            try:
                await self.writer.write(records, WRITE_TIMEOUT_S)
            except errors.LogError as error:
                LOG.info(
                    "Expired job {} not deleted, will retry: {}", name, error
                )
                return

    # Calls.

    def knows(self, name: str) -> bool:
        """Return whether a job is stored or may yet be."""
        return name in self.state.jobs or name in self.pending

    @property
    def waiting_jobs(self) -> Iterator[partition_state.Job | PendingJob]:
        """Jobs whose tokens wait, with those that may yet be stored."""
        yield from self.state.jobs.values()
        for name, pending in self.pending.items():
            if name not in self.state.jobs:
                yield pending

    def admit(self, part: partition_records.JobPart) -> None:
        """Count a job as waiting until it is certain not to be stored.

        The store may be away for longer than any limit on the wait for it, and
        what it has not answered may be stored later.
        """
        if not self.knows(part.job):
            self.pending[part.job] = PendingJob.from_part(part)
            self.notify_change()

    async def submit(self, part: partition_records.JobPart) -> None:
        """Accept a job; a known id is taken for a repeat of the same job.

        Raises:
          LogRefused: The job is certainly not accepted.
          LogUnavailable: The job may have been accepted.
          RecordError: An item is too large to be stored.
        """
        if part.job in self.state.jobs:
            return
        self.admit(part)
        task = self.submits.get(part.job)
        if task is None:
            task = asyncio.get_running_loop().create_task(self.accept(part))
            self.submits[part.job] = task
            task.add_done_callback(
                lambda done: self.on_submit_done(part.job, done)
            )
        try:
            await asyncio.shield(task)
        except asyncio.CancelledError:
            if not task.cancelled():
                raise
            # The partition was released; the caller is still waiting. Only
            # the next owner learns whether the append took effect.
            raise errors.LogUnavailable(
                "the partition changes hands", step="submit", peer="ledger"
            ) from None

    def on_submit_done(self, name: str, task: "asyncio.Task[None]") -> None:
        """Remove a finished submit task; its error goes to the callers."""
        self.submits.pop(name, None)
        self.drop_settled(name)
        if not task.cancelled():
            task.exception()

    def drop_settled(self, name: str) -> None:
        """Stop counting a job as pending once no write may store it."""
        pending = self.pending.get(name)
        if pending is None or name in self.submits:
            return
        if pending.write is None or pending.write.done.done():
            del self.pending[name]
            self.notify_change()

    async def accept(self, part: partition_records.JobPart) -> None:
        """Store a job, or wait on for a write of it that may store it."""
        pending = self.pending[part.job]
        if pending.write is None or pending.write.done.done():
            records = partition_records.accept_records(
                part, self.ledger.record_bytes
            )
            pending.write = self.writer.put_records(records, WRITE_TIMEOUT_S)
            pending.write.done.add_done_callback(
                lambda _: self.drop_settled(part.job)
            )
        await self.writer.wait_for_outcome(pending.write, WRITE_TIMEOUT_S)

    async def page(
        self, name: str, after: int, wait_s: float
    ) -> tuple[partition_state.Job, list[partition_records.Result]] | None:
        """Return a job and its results from a position on.

        Args:
          name: Id of the job.
          after: Position of the first result.
          wait_s: Time to wait for a result if there is none yet.

        Returns:
          The job and as many results as fit in a page, or None if the job
          is unknown.
        """
        job = self.state.jobs.get(name)
        if job is None:
            return None
        if after >= len(job.results) and wait_s > 0 and job.open_items:
            event = self.job_events.setdefault(name, asyncio.Event())
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait_s):
                    await event.wait()
        page: list[partition_records.Result] = []
        size = 0
        for result in job.results[after:]:
            size += len(result.text) + 100
            if page and size > MAX_PAGE_BYTES:
                break
            page.append(result)
        return job, page

    async def end(self, name: str) -> None:
        """End a job: cancel its items and start no others.

        Raises:
          LogError: The end was not stored, or it is unknown whether it was.
        """
        job = self.state.jobs.get(name)
        if job is None or job.ended:
            return
        self.ending[name] += 1
        self.items.stop_job(name)
        record = partition_records.end_record(name)
        write = self.writer.put(lambda before: (record,), 0, WRITE_TIMEOUT_S)
        # The store may answer after the caller has disconnected or received
        # the answer "unknown". If it refuses the end, the job must go on.
        write.done.add_done_callback(lambda _: self.on_end_done(name))
        await self.writer.wait_for_outcome(write, WRITE_TIMEOUT_S)

    def on_end_done(self, name: str) -> None:
        """Resume a job if the store refused to end it.

        No caller has received an answer that the job has ended. While another
        call to end the job is pending, it stays stopped.
        """
        self.ending[name] -= 1
        if self.ending[name]:
            return
        del self.ending[name]
        job = self.state.jobs.get(name)
        if job is not None:
            self.items.queue_open_items(job)

    async def confirm(self) -> None:
        """Check that no other host has taken over.

        Raises:
          LogFenced: Another host has taken over.
          LogError: The store did not confirm the epoch.
        """
        try:
            await self.ledger.set_epoch(TOPIC, self.part, self.epoch)
        except errors.LogFenced:
            self.on_fenced()
            raise
