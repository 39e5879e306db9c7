"""Runs the open items of one partition until each is listed.

An item is open until it is listed or its job ends, and which items are open
is read from the book of jobs, not remembered from event to event. However the
task of an item comes to its end, by a result, by an error that no code
expects or by a cancellation from elsewhere, the book is asked again, and an
item that is still open is run again. An owner that went on without such an
item would leave it lying for as long as it owns the partition: no other host
runs it, and its job never becomes whole.
"""

__all__ = ["ItemReconciler"]

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Container
from collections.abc import Iterator
import functools
import traceback

from camphortray import errors
from camphortray import item_stall_detector
from camphortray import itemwork
from camphortray import logs
from camphortray import partition_records
from camphortray import partition_state
from camphortray import tasks

LOG = logs.logger("jobs")
Stage = item_stall_detector.Stage
Key = tuple[str, int]
Keep = Callable[
    [partition_state.Job, partition_records.Result], Awaitable[None]
]
# Items of one partition that run or wait for a slot at once; the others
# wait here, the oldest jobs first.
MAX_RUNNING = 400
# Pause before an item is run again whose run ended by an error that no code
# expects, in seconds; doubled up to the second. Such an error may come again
# at once.
ERROR_PAUSE_S = 0.2
MOST_ERROR_PAUSE_S = 5.0
# The same for an item whose result is larger than a record may be.
RECORD_PAUSE_S = 30.0


class ItemReconciler:
    """The open items of one partition, each queued or run.

    Attributes:
      jobs: Those of the partition, by id.
      ending: Jobs whose end may have been kept; their items wait.
      queued: Items that wait behind others, in order.
      running: Tasks of the others.
      works: Items that are run, or wait for it at their engines.
      early: What has come of items that are not run yet.
      closed: Whether the partition is given up.
    """

    def __init__(
        self,
        parts: itemwork.WorkParts,
        epoch: int,
        keep: Keep,
        ending: Container[str],
    ) -> None:
        self.parts = parts
        self.epoch = epoch
        self.keep = keep
        self.ending = ending
        self.jobs: dict[str, partition_state.Job] = {}
        self.queued: dict[Key, None] = {}
        self.running: dict[Key, asyncio.Task[None]] = {}
        self.works: dict[Key, itemwork.ItemWork] = {}
        self.early: dict[Key, itemwork.Progress] = {}
        self.stuck: dict[Key, float] = {}
        self.lives = 0
        self.closed = False

    def begin(self, jobs: dict[str, partition_state.Job]) -> None:
        """Run what is open of some jobs, the oldest first."""
        self.jobs = jobs
        for job in sorted(jobs.values(), key=lambda held: held.taken_at):
            self.take_up(job)

    def close(self) -> list[asyncio.Task[None]]:
        """Stop all work; return the tasks that are ending."""
        self.closed = True
        self.queued.clear()
        ending = list(self.running.values())
        for task in ending:
            task.cancel()
        return ending

    # Which items are to be run.

    def is_open(self, key: Key) -> bool:
        """Return whether an item is to be run here."""
        name, place = key
        job = self.jobs.get(name)
        if self.closed or job is None or job.ended or name in self.ending:
            return False
        return place not in job.listed and job.items[place] is not None

    def take_up(self, job: partition_state.Job) -> None:
        """See to it that each open item of a job is queued or run.

        It may be called at any time and as often as one likes.
        """
        if not job.whole:
            LOG.error("Job {} lacks items; they are not run.", job.id)
        for place in job.open_items:
            key = job.id, place
            if key not in self.running and self.is_open(key):
                self.queued.setdefault(key)
        self.run_more()

    def run_more(self) -> None:
        """Begin items while there is room."""
        while self.queued and len(self.running) < MAX_RUNNING:
            key = next(iter(self.queued))
            del self.queued[key]
            if key in self.running or not self.is_open(key):
                continue
            task = asyncio.get_running_loop().create_task(self.run(key))
            self.running[key] = task
            task.add_done_callback(functools.partial(self.ended, key))

    def ended(self, key: Key, task: "asyncio.Task[None]") -> None:
        """Take note that a task has ended; its item may still be open."""
        if self.running.get(key) is not task:
            # The item has been taken from it.
            return
        del self.running[key]
        self.works.pop(key, None)
        if self.is_open(key):
            self.queued.setdefault(key)
        self.run_more()

    def stop_job(self, name: str) -> None:
        """Stop the items of a job."""
        for (job, _), task in list(self.running.items()):
            if job == name:
                task.cancel()

    # Running one.

    async def run(self, key: Key) -> None:
        """Run one item until it is listed."""
        name, place = key
        job = self.jobs[name]
        self.lives += 1
        life = f"{self.epoch}-{self.lives}"
        work = itemwork.ItemWork(self.parts, job, place, life)
        self.works[key] = work
        known = self.early.pop(key, None)
        if known is not None:
            work.go_on_from(known)
        pause_s = ERROR_PAUSE_S
        # Not beside another task, which has been given the item meanwhile.
        while self.is_open(key) and self.works.get(key) is work:
            try:
                result = await work.run()
                work.enter(Stage.WRITE)
                await self.keep(job, result)
                continue
            except errors.LogError as error:
                LOG.info("Result of {} is the next owner's: {}", name, error)
                return
            except asyncio.CancelledError as error:
                if tasks.cancelled():
                    raise
                # Something that it waited for was cancelled, not the item.
                self.failed(work, error)
            except errors.RecordError as error:
                # It will not be kept the next time either, but another
                # engine may make less of it.
                self.failed(work, error)
                pause_s = RECORD_PAUSE_S
            except Exception as error:
                self.failed(work, error)
            work.begin_anew(pause_s)
            pause_s = max(pause_s, min(2 * pause_s, MOST_ERROR_PAUSE_S))

    def failed(self, work: itemwork.ItemWork, error: BaseException) -> None:
        """Log an error that no code expects."""
        self.count("error")
        LOG.error(
            "Item {} of {} is run again after an error: {}",
            work.item.id,
            work.job.id,
            "".join(traceback.format_exception(error)),
            fields={"stage": work.stage.value, "run": work.number},
        )

    def count(self, why: str) -> None:
        """Count an item that is run again for no cause of its own."""
        self.parts.metrics.inc(
            "camphortray_items_taken_up",
            "Items run again that would have been left lying, by cause.",
            {"why": why},
        )

    # What is handed over.

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
        key = name, found.place
        if not self.is_open(key):
            return
        work = self.works.get(key)
        if work is not None:
            work.go_on_from(found)
        else:
            self.early[key] = found

    # The watch.

    def stages(self) -> Iterator[item_stall_detector.StageAt]:
        """Yield what each open item waits for.

        None waits here once the partition is given up: the next owner runs
        what is open, and this one still stands while its tasks end.
        """
        if self.closed:
            return
        wall = self.parts.clock.wall()
        for job, place in self.all_open():
            item, work = job.items[place], self.works.get((job.id, place))
            yield item_stall_detector.StageAt(
                job.id,
                item.id if item is not None else "",
                self.stage_of((job.id, place)),
                work.stage_at if work is not None else 0.0,
                work.number if work is not None else 0,
                round(wall - job.taken_at, 1),
            )

    def all_open(self) -> Iterator[tuple[partition_state.Job, int]]:
        """Yield all items that are neither listed nor of an ended job."""
        for job in self.jobs.values():
            if len(job.listed) < len(job.items):
                for place in job.open_items:
                    yield job, place

    def stage_of(self, key: Key) -> Stage:
        """Return what an open item waits for."""
        work = self.works.get(key)
        if work is not None:
            return work.stage
        if key[0] in self.ending:
            return Stage.ENDING
        if key in self.queued or key in self.running:
            return Stage.QUEUED
        return Stage.LEFT

    def look(self) -> None:
        """Take up what is left, and what a task holds and does not run.

        Neither should ever be found. It is the second line: whatever ends
        an item's task without a line, or lets it wait for what never
        comes, costs the item seconds and not its life.
        """
        if self.closed:
            return
        for job, place in self.all_open():
            key = job.id, place
            if self.stage_of(key) is Stage.LEFT and self.is_open(key):
                self.count("left")
                LOG.error("Item {} of {} was left.", place, job.id)
                self.queued.setdefault(key)
        now = self.parts.clock.monotonic()
        # Twice in a row: after this host itself stood still for seconds,
        # all that came meanwhile is read only after this look.
        before, self.stuck = self.stuck, {}
        for key, work in list(self.works.items()):
            if not work.overdue(now):
                continue
            self.stuck[key] = work.sign_at
            if before.get(key) == work.sign_at:
                self.take_from(key, work)
        self.run_more()

    def take_from(self, key: Key, work: itemwork.ItemWork) -> None:
        """Take an item from a task that holds it and does not run it."""
        self.count("stuck")
        LOG.error(
            "Item {} of {} is stuck and run again.",
            work.item.id,
            work.job.id,
            fields={
                "stage": work.stage.value,
                "since_s": round(
                    self.parts.clock.monotonic() - work.sign_at, 1
                ),
                "run": work.number,
            },
        )
        task = self.running.pop(key)
        del self.works[key], self.stuck[key]
        task.cancel()
        work.drop()
        if self.is_open(key):
            self.queued.setdefault(key)
