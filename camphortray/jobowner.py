"""Owns one partition of jobs for one epoch: keeps them and runs items."""

__all__ = ["JobOwner"]

import asyncio
import collections
from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import dataclasses
import traceback

from camphortray import errors
from camphortray import itemwatch
from camphortray import itemwork
from camphortray import jobbook
from camphortray import ledger as ledgers
from camphortray import logs
from camphortray import partwriter
from camphortray import tasks

LOG = logs.logger("jobs")
TOPIC = ledgers.Topic.JOBS
# Pause after a failed try to take a partition over, in seconds.
PAUSE_S = 0.1
# Time in which a record must be kept before its caller is told otherwise.
WRITE_S = 2.5
# Time for a result, which waits for as long as the store is away.
RESULT_S = 3600.0
# Items of one partition that run or wait for a slot at once; the others
# wait here, the oldest jobs first.
MAX_RUNNING = 400
# Most bytes of results in one page.
PAGE_BYTES = 500_000
FORGET_EVERY_S = 5.0


class JobOwner:
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
        on_lost: Callable[["JobOwner"], None],
    ) -> None:
        self.parts = parts
        self.ledger = ledger
        self.part = part
        self.epoch = epoch
        self.keep_s = keep_s
        self.on_change = on_change
        self.on_lost = on_lost
        self.book = jobbook.JobBook()
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
        self.waiting: collections.deque[tuple[str, int]] = collections.deque()
        self.running: dict[tuple[str, int], asyncio.Task[None]] = {}
        self.works: dict[tuple[str, int], itemwork.ItemWork] = {}
        self.early: dict[tuple[str, int], itemwork.Progress] = {}
        self.positions: dict[str, int] = {}
        self.ending: collections.Counter[str] = collections.Counter()
        self.submits: dict[str, asyncio.Task[None]] = {}
        self.news: dict[str, asyncio.Event] = {}
        self.task: asyncio.Task[None] | None = None

    # Taking over and giving up.

    def start(self) -> None:
        """Begin to take the partition over."""
        self.task = asyncio.get_running_loop().create_task(self.run())

    async def run(self) -> None:
        """Take over, then forget old jobs now and then."""
        while not await self.take_over():
            await asyncio.sleep(PAUSE_S)
        while not self.lost:
            await asyncio.sleep(FORGET_EVERY_S)
            await self.forget_old()

    async def take_over(self) -> bool:
        """End older epochs, read all, and begin; return if that is done."""
        try:
            await self.ledger.set_epoch(TOPIC, self.part, self.epoch)
            page = await self.ledger.newest(TOPIC, self.part)
            self.book = jobbook.JobBook()
            self.load(page.records)
            # No other can have added anything since the epoch was set,
            # but the pages of a listing are no snapshot.
            end = page.end
            while True:
                more = await self.ledger.read(TOPIC, self.part, end)
                self.load(more.records)
                end += len(more.records)
                if end >= more.end:
                    break
        except errors.LogFenced:
            self.on_fenced()
            return True
        except errors.LogTruncated:
            return False
        except errors.LogError as error:
            LOG.info("Partition {} not taken over yet: {}", self.part, error)
            return False
        self.begin()
        return True

    def load(self, records: tuple[ledgers.LedgerRecord, ...]) -> None:
        """Take records; one that cannot be read is left out and told."""
        for record in records:
            try:
                self.book.apply(record)
            except errors.RecordError as error:
                LOG.error("Record left out: {}", error)

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
        self.writer.start()
        self.ready.set()
        for job in sorted(jobs, key=lambda held: held.taken_at):
            self.start_job(job)
        self.on_change()

    def on_fenced(self) -> None:
        """Stop: another owner has taken over."""
        if not self.lost:
            LOG.notice("Lost partition {} to another owner.", self.part)
            self.on_lost(self)
            self.stop()

    def stop(self) -> None:
        """Stop all work at once; the next owner does the rest."""
        self.lost = True
        self.writer.stop()
        self.waiting.clear()
        for task in list(self.running.values()):
            task.cancel()
        for task in list(self.submits.values()):
            task.cancel()
        for event in self.news.values():
            event.set()
        if self.task is not None and self.task is not asyncio.current_task():
            self.task.cancel()

    async def close(self) -> None:
        """Stop and wait until everything has ended."""
        running = list(self.running.values())
        self.stop()
        for task in running:
            with contextlib.suppress(Exception):
                await tasks.end(task)

    # Items.

    def start_job(self, job: jobbook.Job) -> None:
        """Run the open items of a job, unless the partition is lost.

        A call that was waiting for the store when it was lost may still
        come here; items begun then would run beside the next owner's.
        """
        if self.lost:
            return
        self.positions.setdefault(job.id, len(job.results))
        if not job.whole:
            LOG.error("Job {} lacks items; they are not run.", job.id)
        for place in job.open_items:
            if job.items[place] is not None:
                self.waiting.append((job.id, place))
        self.run_more()

    def run_more(self) -> None:
        """Begin items while there is room."""
        while (
            not self.lost and self.waiting and len(self.running) < MAX_RUNNING
        ):
            name, place = self.waiting.popleft()
            job = self.book.jobs.get(name)
            if job is None or job.ended or name in self.ending:
                continue
            if (name, place) in self.running or place in job.listed:
                continue
            task = asyncio.get_running_loop().create_task(
                self.run_item(job, place)
            )
            self.running[name, place] = task

    async def run_item(self, job: jobbook.Job, place: int) -> None:
        """Run one item and keep its result."""
        try:
            work = itemwork.ItemWork(self.parts, job, place)
            self.works[job.id, place] = work
            known = self.early.pop((job.id, place), None)
            if known is not None:
                work.go_on_from(known)
            result = await work.run()
            if job.ended or job.id in self.ending:
                return
            position = self.positions[job.id]
            self.positions[job.id] = position + 1
            record = jobbook.result_record(job.id, position, (result,))
            work.enter(itemwatch.Stage.WRITE)
            await self.writer.write((record,), RESULT_S)
        except errors.LogError as error:
            LOG.info("Result of {} is the next owner's: {}", job.id, error)
        except Exception as error:
            LOG.error(
                "Item {} of {} ended by an error: {}",
                place,
                job.id,
                "".join(traceback.format_exception(error)),
            )
        finally:
            self.running.pop((job.id, place), None)
            self.works.pop((job.id, place), None)
            self.run_more()

    def stages(self) -> Iterator[itemwatch.StageAt]:
        """Yield what each open item waits for."""
        queued = set(self.waiting)
        wall = self.parts.clock.wall()
        for job in self.book.jobs.values():
            for place in job.open_items:
                item, work = job.items[place], self.works.get((job.id, place))
                found = itemwatch.StageAt(
                    job.id,
                    item.id if item is not None else "",
                    itemwatch.Stage.LEFT,
                    age_s=round(wall - job.taken_at, 1),
                )
                if work is not None:
                    found = dataclasses.replace(
                        found,
                        stage=work.stage,
                        since=work.stage_at,
                        run=work.number,
                    )
                elif job.id in self.ending:
                    found = dataclasses.replace(
                        found, stage=itemwatch.Stage.ENDING
                    )
                elif (job.id, place) in queued or (
                    (job.id, place) in self.running
                ):
                    found = dataclasses.replace(
                        found, stage=itemwatch.Stage.QUEUED
                    )
                yield found

    def progress(self) -> dict[str, list[itemwork.Progress]]:
        """Return what has come of the items under way, by job."""
        found: dict[str, list[itemwork.Progress]] = {}
        for (name, _), work in self.works.items():
            held = work.progress
            if held is not None and name not in self.ending:
                found.setdefault(name, []).append(held)
        return found

    def take_progress(self, name: str, found: itemwork.Progress) -> None:
        """Go on with an item from where the owner before has got."""
        job = self.book.jobs.get(name)
        if self.lost or job is None or found.place in job.listed:
            return
        work = self.works.get((name, found.place))
        if work is not None:
            work.go_on_from(found)
        else:
            self.early[name, found.place] = found

    def stop_job(self, name: str) -> None:
        """Stop the items of a job."""
        for (job, _), task in list(self.running.items()):
            if job == name:
                task.cancel()

    # Records.

    def on_written(self, records: partwriter.Records) -> None:
        """Take records that are kept now."""
        for record in records:
            self.book.apply(record)
        for name in {record.key.split("/")[1] for record in records}:
            job = self.book.jobs.get(name)
            if job is not None and job.ended:
                # Items may have begun anew meanwhile, as an earlier call
                # to end it was refused while this one still waited.
                self.stop_job(name)
            elif job is not None and name not in self.positions:
                # Also where whoever sent it has been told that it is not
                # known what became of it.
                self.start_job(job)
            event = self.news.pop(name, None)
            if event is not None:
                event.set()
        self.on_change()

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
            self.positions.pop(name, None)

    # Calls.

    async def submit(self, part: jobbook.JobPart) -> None:
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

    async def accept(self, part: jobbook.JobPart) -> None:
        """Write a job."""
        records = jobbook.accept_records(part, self.ledger.record_bytes)
        await self.writer.write(records, WRITE_S)

    async def page(
        self, name: str, after: int, wait_s: float
    ) -> tuple[jobbook.Job, list[jobbook.Result]] | None:
        """Return a job and its results from a position on, or None."""
        job = self.book.jobs.get(name)
        if job is None:
            return None
        if after >= len(job.results) and wait_s > 0 and job.open_items:
            event = self.news.setdefault(name, asyncio.Event())
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait_s):
                    await event.wait()
        found: list[jobbook.Result] = []
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
        self.stop_job(name)
        try:
            await self.writer.write((jobbook.end_record(name),), WRITE_S)
        except errors.LogRefused:
            # Nobody was told that it has ended, so it goes on, unless
            # another call to end it still waits.
            self.ending[name] -= 1
            if not self.ending[name]:
                del self.ending[name]
                self.start_job(job)
            raise

    async def confirm(self) -> None:
        """Make sure that no other has taken over; errors as ``append``."""
        try:
            await self.ledger.set_epoch(TOPIC, self.part, self.epoch)
        except errors.LogFenced:
            self.on_fenced()
            raise
