"""Owns one partition of jobs for one epoch: keeps them and runs items."""

__all__ = ["PartitionOwner"]

import asyncio
import collections
from collections.abc import Callable
import contextlib
import traceback

from camphortray import errors
from camphortray import item_reconciler
from camphortray import itemwork
from camphortray import ledger as ledgers
from camphortray import logs
from camphortray import partition_records
from camphortray import partition_state
from camphortray import partwriter
from camphortray import tasks

LOG = logs.logger("jobs")
TOPIC = ledgers.Topic.JOBS
# Pause after a failed try to take a partition over, in seconds.
PAUSE_S = 0.1
# Time in which a record must be kept before its caller gets an error.
WRITE_S = 2.5
# Time for a result, which waits for as long as the store is away.
RESULT_S = 3600.0
# Time for the tasks of items to end, in seconds; they only close connections.
CLOSE_S = 2.0
# Most bytes of results in one page.
PAGE_BYTES = 500_000
FORGET_EVERY_S = 5.0
# Seconds from one look at what the open items wait for to the next.
LOOK_EVERY_S = 1.0
# Longest time for one call to the store during a takeover, or for one page of
# a listing, in seconds. Each call has a limit of its own, well below; this one
# sees to it that no takeover waits for ever, whatever comes between.
CALL_S = 3.0
# Takeovers in a row that may find a record unreadable before it is left out:
# it may have been spoilt on its way.
MOST_UNREADABLE = 5


class PartitionOwner:
    """A partition while this host owns it.

    Attributes:
      part: Number of the partition.
      epoch: In which it is owned.
      book: All its jobs.
      ready: Set once all has been read.
      begun_at: When the takeover began, monotonic.
      lost: Whether another owner has taken over.
      ending: Calls to end a job that wait or may have been kept, by job;
        its items are not run meanwhile.
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
        self.book = partition_state.PartitionState()
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
        self.unreadable = 0
        self.ending: collections.Counter[str] = collections.Counter()
        self.items = item_reconciler.ItemReconciler(
            parts, epoch, self.keep, self.ending
        )
        self.submits: dict[str, asyncio.Task[None]] = {}
        self.news: dict[str, asyncio.Event] = {}
        self.task: asyncio.Task[None] | None = None

    # Taking over and giving up.

    def start(self) -> None:
        """Begin to take the partition over."""
        work = tasks.forever(f"owner of partition {self.part}", self.run)
        self.task = asyncio.get_running_loop().create_task(work)

    async def run(self) -> None:
        """Take over, then forget old jobs now and then."""
        while not self.ready.is_set() and not await self.take_over():
            await asyncio.sleep(PAUSE_S)
        forget_at = self.parts.clock.monotonic() + FORGET_EVERY_S
        while not self.lost:
            await asyncio.sleep(LOOK_EVERY_S)
            self.items.restart_stalled()
            if self.parts.clock.monotonic() >= forget_at:
                forget_at += FORGET_EVERY_S
                await self.forget_old()

    async def take_over(self) -> bool:
        """End older epochs, read all, and begin; return if that is done."""
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CALL_S):
                await self.ledger.set_epoch(TOPIC, self.part, self.epoch)
            async with asyncio.timeout(CALL_S) as limit:
                page = await self.ledger.newest(
                    TOPIC,
                    self.part,
                    lambda: limit.reschedule(loop.time() + CALL_S),
                )
            self.book = partition_state.PartitionState()
            unreadable = self.load(page.records)
            # No other can have added anything since the epoch was set,
            # but the pages of a listing are no snapshot.
            end = page.end
            while True:
                async with asyncio.timeout(CALL_S):
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
            LOG.info("Partition {} not taken over yet: {!r}", self.part, error)
            return False
        if unreadable and self.unreadable < MOST_UNREADABLE:
            self.unreadable += 1
            return False
        self.begin()
        return True

    def load(self, records: tuple[ledgers.LedgerRecord, ...]) -> int:
        """Take records; return how many cannot be read and are left out."""
        unreadable = 0
        for record in records:
            try:
                self.book.apply(record)
            except errors.RecordError as error:
                unreadable += 1
                LOG.error("Record left out: {}", error)
        return unreadable

    def begin(self) -> None:
        """Serve calls and run what is open."""
        jobs = self.book.jobs.values()
        LOG.notice(
            "Owns partition {} in epoch {}, {} jobs, {} items open.",
            self.part,
            self.epoch,
            len(self.book.jobs),
            sum(len(job.open_items) for job in jobs),
        )
        for name in self.book.drop_gaps():
            LOG.warning("Job {} has a gap in its results.", name)
        self.writer.start()
        self.ready.set()
        self.items.begin(self.book.jobs)
        self.changed()

    def on_fenced(self) -> None:
        """Stop: another owner has taken over."""
        if not self.lost:
            LOG.notice("Lost partition {} to another owner.", self.part)
            try:
                self.on_lost(self)
            finally:
                self.stop()

    def stop(self) -> list[asyncio.Task[None]]:
        """Stop all work at once; the next owner does the rest.

        Returns:
          Tasks of items that are ending.
        """
        self.lost = True
        ending = self.items.close()
        self.writer.stop()
        for task in list(self.submits.values()):
            task.cancel()
        for event in self.news.values():
            event.set()
        if self.task is not None and self.task is not asyncio.current_task():
            self.task.cancel()
        return ending

    async def close(self) -> None:
        """Stop and wait until everything has ended."""
        ending = self.stop()
        if ending:
            await asyncio.wait(ending, timeout=CLOSE_S)

    # Results.

    async def keep(
        self, job: partition_state.Job, result: partition_records.Result
    ) -> None:
        """Keep the result of an item.

        Raises:
          LogError: it is the next owner's to know.
          RecordError: it is larger than can be kept.
        """
        most = self.ledger.record_bytes
        size = len(result.text) + partition_records.RESULT_OVERHEAD
        if size > self.ledger.append_bytes:
            raise errors.RecordError(
                f"result of {size} bytes is larger than an append may be",
                step="result",
                peer="ledger",
            )
        for record in partition_state.next_result(job, (), result, most):
            self.writer.check_size(record)

        def make(before: partwriter.Records) -> partwriter.Records:
            return partition_state.next_result(job, before, result, most)

        while True:
            write = self.writer.put(make, size, RESULT_S)
            try:
                await self.writer.wait_for_outcome(write, RESULT_S)
                return
            except errors.LogRefused as error:
                if self.lost or self.writer.closed:
                    raise
                LOG.warning("Result of {} not kept yet: {}", job.id, error)

    # Records.

    def on_written(self, records: partwriter.Records) -> None:
        """Take records that are kept now."""
        for record in records:
            self.book.apply(record)
        for name in {
            partition_records.split_key(record.key)[1] for record in records
        }:
            job = self.book.jobs.get(name)
            if job is not None and job.ended:
                # Items may have begun anew meanwhile, as an earlier call
                # to end it was refused while this one still waited.
                self.items.stop_job(name)
            elif job is not None:
                # Also where whoever sent it has got an error that it is not
                # known what became of it.
                self.items.queue_open_items(job)
            event = self.news.pop(name, None)
            if event is not None:
                event.set()
        self.changed()

    def changed(self) -> None:
        """Notify of a change.

        What goes wrong with a listener does not end the writer, by
        which this is called, nor the takeover.
        """
        try:
            self.on_change()
        except (Exception, asyncio.CancelledError) as error:
            LOG.error(
                "Listener of partition {} failed: {}",
                self.part,
                "".join(traceback.format_exception(error)),
            )

    async def forget_old(self) -> None:
        """Drop the keys of jobs whose keeping time is over."""
        now = self.parts.clock.wall()
        for name in self.book.over(now, self.keep_s):
            keys = list(self.book.keys.get(name, ()))
            records = [ledgers.LedgerRecord(key, b"") for key in keys]
            if not records:
                continue
            try:
                await self.writer.write(records, WRITE_S)
            except errors.LogError as error:
                LOG.info("Job {} not forgotten yet: {}", name, error)
                return

    # Calls.

    async def submit(self, part: partition_records.JobPart) -> None:
        """Accept a job; the same id again is the same job.

        Raises:
          LogRefused: it certainly is not accepted.
          LogUnavailable: it may be.
          RecordError: an item is too large to be kept.
        """
        if part.job in self.book.jobs:
            return
        task = self.submits.get(part.job)
        if task is None:
            task = asyncio.get_running_loop().create_task(self.accept(part))
            self.submits[part.job] = task
            task.add_done_callback(
                lambda done: self.forget_submit(part.job, done)
            )
        try:
            await asyncio.shield(task)
        except asyncio.CancelledError:
            if not task.cancelled():
                raise
            # Not the caller has gone but the partition: what became of
            # the append is the next owner's to know.
            raise errors.LogUnavailable(
                "the partition changes hands", step="submit", peer="ledger"
            ) from None

    def forget_submit(self, name: str, task: "asyncio.Task[None]") -> None:
        """Forget a submit that has ended."""
        self.submits.pop(name, None)
        if not task.cancelled():
            task.exception()

    async def accept(self, part: partition_records.JobPart) -> None:
        """Write a job."""
        records = partition_records.accept_records(
            part, self.ledger.record_bytes
        )
        await self.writer.write(records, WRITE_S)

    async def page(
        self, name: str, after: int, wait_s: float
    ) -> tuple[partition_state.Job, list[partition_records.Result]] | None:
        """Return a job and its results from a position on, or None."""
        job = self.book.jobs.get(name)
        if job is None:
            return None
        if after >= len(job.results) and wait_s > 0 and job.open_items:
            event = self.news.setdefault(name, asyncio.Event())
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait_s):
                    await event.wait()
        found: list[partition_records.Result] = []
        size = 0
        for result in job.results[after:]:
            size += len(result.text) + 100
            if found and size > PAGE_BYTES:
                break
            found.append(result)
        return job, found

    async def end(self, name: str) -> None:
        """End a job; nothing more of it is begun from now on.

        Raises:
          LogError: the end is not kept, or that is not known.
        """
        job = self.book.jobs.get(name)
        if job is None or job.ended:
            return
        self.ending[name] += 1
        self.items.stop_job(name)
        record = partition_records.end_record(name)
        write = self.writer.put(lambda before: (record,), 0, WRITE_S)
        # Its caller may have gone, or got an error that nothing is known, when
        # it turns out that the job goes on.
        write.done.add_done_callback(lambda _: self.end_known(name))
        await self.writer.wait_for_outcome(write, WRITE_S)

    def end_known(self, name: str) -> None:
        """Go on with a job whose end was refused.

        Nobody got an answer that it has ended; another call to end it may
        still wait.
        """
        self.ending[name] -= 1
        if self.ending[name]:
            return
        del self.ending[name]
        job = self.book.jobs.get(name)
        if job is not None:
            self.items.queue_open_items(job)

    async def confirm(self) -> None:
        """Make sure that no other has taken over; errors as ``append``."""
        try:
            await self.ledger.set_epoch(TOPIC, self.part, self.epoch)
        except errors.LogFenced:
            self.on_fenced()
            raise
