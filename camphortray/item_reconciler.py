"""Runs the open items of one partition until each has a stored result.

An item is open until its result is stored or its job ends. Which items are
open is read from the state of the partition rather than tracked by events.
However the task of an item ends, by a result, an unexpected error or a
cancellation from elsewhere, the state is read again, and an item that is
still open is run again. An owner that skipped such an item would leave it
open for as long as it owns the partition: no other host runs it, and its job
never completes.
"""

__all__ = ["ItemReconciler"]

import asyncio
import collections
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Container
from collections.abc import Iterator
import functools
import traceback

from camphortray import errors
from camphortray import item_retry
from camphortray import item_stall_detector
from camphortray import itemwork
from camphortray import logs
from camphortray import partition_records
from camphortray import partition_state
from camphortray import routemap
from camphortray import tasks

LOG = logs.logger("jobs")
Stage = item_stall_detector.Stage
Key = tuple[str, int]
StoreResult = Callable[
    [partition_state.Job, partition_records.Result], Awaitable[None]
]
# Items of one partition that run or wait for a slot at the same time, in equal
# shares for the services of the configuration, and the smallest share. The
# others are queued here, those of the oldest jobs first.
MAX_RUNNING_ITEMS = 400
MIN_RUNNING_ITEMS = 40
# Delay before an item is run again after an unexpected error, in seconds;
# doubled with each error up to the maximum, as the same error may recur at
# once.
FIRST_ERROR_DELAY_S = 0.2
MAX_ERROR_DELAY_S = 5.0


class ItemReconciler:
    """Keeps each open item of one partition queued or running.

    Attributes:
      jobs: Jobs of the partition, by id.
      ending: Ids of jobs whose end may have been stored; their items are not
        run.
      queued: Keys of the items that wait to be started, in order, by service.
        Those of a service without engines hold up no others.
      running: Tasks of the started items.
      started: Services of the started items.
      started_by_service: Number of started items.
      share: Items of one service that may run or wait for a slot here.
      view: Configuration from which the share follows.
      works: Runs in progress, by the key of the item.
      early_progress: Progress received for items that have not started yet.
      stalled: Items found stalled by the last check, with the time of their
        last activity.
      executions: Number of item tasks started, for unique execution ids.
      closed: Whether this owner has stopped running items.
    """

    def __init__(
        self,
        parts: itemwork.WorkParts,
        epoch: int,
        store_result: StoreResult,
        ending: Container[str],
    ) -> None:
        self.parts = parts
        self.epoch = epoch
        self.store_result = store_result
        self.ending = ending
        self.jobs: dict[str, partition_state.Job] = {}
        self.queued: dict[str, dict[Key, None]] = {}
        self.share = MAX_RUNNING_ITEMS
        self.view: routemap.Configuration | None = None
        self.started: dict[Key, str] = {}
        self.started_by_service: collections.Counter[str] = (
            collections.Counter()
        )
        self.running: dict[Key, asyncio.Task[None]] = {}
        self.works: dict[Key, itemwork.ItemWork] = {}
        self.early_progress: dict[Key, itemwork.Progress] = {}
        self.stalled: dict[Key, float] = {}
        self.executions = 0
        self.closed = False

    def begin(self, jobs: dict[str, partition_state.Job]) -> None:
        """Run the open items of some jobs, those of the oldest job first."""
        self.jobs = jobs
        for job in sorted(jobs.values(), key=lambda job: job.taken_at):
            self.queue_open_items(job)

    def close(self) -> list[asyncio.Task[None]]:
        """Cancel all items; return the tasks that are still ending."""
        self.closed = True
        self.queued.clear()
        ending = list(self.running.values())
        for task in ending:
            task.cancel()
        return ending

    # Queueing.

    def is_open(self, key: Key) -> bool:
        """Return whether an item is still to be run by this owner."""
        job_id, index = key
        job = self.jobs.get(job_id)
        if self.closed or job is None or job.ended or job_id in self.ending:
            return False
        return index not in job.finished and job.items[index] is not None

    def queue_open_items(self, job: partition_state.Job) -> None:
        """Queue each open item of a job that is neither queued nor running.

        It is idempotent and may be called at any time.
        """
        if not job.complete:
            LOG.error(
                "Job {} is missing items; only those present are run.", job.id
            )
        for index in job.open_items:
            key = job.id, index
            if key not in self.running and self.is_open(key):
                self.queue(key)
        self.start_queued()

    def queue(self, key: Key) -> None:
        """Queue an item behind the others of its service, unless it is."""
        if not self.is_queued(key):
            self.queued.setdefault(self.service_of(key), {})[key] = None

    def is_queued(self, key: Key) -> bool:
        """Return whether an item waits to be started."""
        return any(key in queued for queued in self.queued.values())

    def service_of(self, key: Key) -> str:
        """Return the service that an item is for; empty without a route."""
        job_id, index = key
        job = self.jobs[job_id]
        item = job.items[index]
        config = self.parts.active_config
        if item is None:
            return ""
        route = config.routes.find_accepting(
            job.host_name, job.target, job.route
        )
        return route.service_of(item.id) if route is not None else ""

    def set_share(self) -> None:
        """Set the share of a service by the configuration in force."""
        view = self.parts.active_config.view
        if view is not self.view:
            self.view = view
            services = max(1, len(view.service_names))
            self.share = max(MIN_RUNNING_ITEMS, MAX_RUNNING_ITEMS // services)

    def start_queued(self) -> None:
        """Start queued items of each service up to its share."""
        self.set_share()
        for service in list(self.queued):
            self.start_queued_of(service, self.queued[service])
            if not self.queued[service]:
                del self.queued[service]

    def start_queued_of(self, service: str, queued: dict[Key, None]) -> None:
        """Start queued items of a service up to its share."""
        while queued and self.started_by_service[service] < self.share:
            key = next(iter(queued))
            del queued[key]
            if key in self.running or not self.is_open(key):
                continue
            task = asyncio.get_running_loop().create_task(
                self.run(key), name=task_name(key)
            )
            self.running[key] = task
            self.started[key] = service
            self.started_by_service[service] += 1
            task.add_done_callback(functools.partial(self.on_task_done, key))

    def forget_task(self, key: Key) -> asyncio.Task[None]:
        """Return the task of an item, which counts as started no more."""
        self.works.pop(key, None)
        self.started_by_service[self.started.pop(key)] -= 1
        return self.running.pop(key)

    def on_task_done(self, key: Key, task: "asyncio.Task[None]") -> None:
        """Queue the item of a finished task again if it is still open."""
        if self.running.get(key) is not task:
            # The task had stalled, and its item has been queued again.
            return
        self.forget_task(key)
        if self.is_open(key):
            self.queue(key)
        self.start_queued()

    def stop_job(self, job_id: str) -> None:
        """Cancel the running items of a job."""
        for (item_job_id, _), task in list(self.running.items()):
            if item_job_id == job_id:
                task.cancel()

    # Running.

    async def run(self, key: Key) -> None:
        """Run one item until its result is stored."""
        job_id, index = key
        job = self.jobs[job_id]
        self.executions += 1
        execution_id = f"{self.epoch}-{self.executions}"
        work = itemwork.ItemWork(self.parts, job, index, execution_id)
        self.works[key] = work
        progress = self.early_progress.pop(key, None)
        if progress is not None:
            work.resume_from(progress)
        delay_s = FIRST_ERROR_DELAY_S
        # The second condition ends a stalled task whose item has meanwhile
        # been queued again for another task.
        while self.is_open(key) and self.works.get(key) is work:
            try:
                result = await work.run()
                work.enter(Stage.WRITE)
                await self.store_result(job, result)
                continue
            except errors.LogError as error:
                LOG.info(
                    "Result of an item of job {} left to the next owner: {}",
                    job_id,
                    error,
                )
                return
            except asyncio.CancelledError as error:
                if tasks.cancelled():
                    raise
                # Something that the item awaited was cancelled, not this
                # task.
                self.log_failure(work, error)
            except errors.RecordError as error:
                # Storing this result would fail again, but another engine
                # may return a smaller one.
                self.log_failure(work, error)
                delay_s = item_retry.OVERSIZED_DELAY_S
            except Exception as error:
                self.log_failure(work, error)
            work.discard_output(delay_s)
            delay_s = max(delay_s, min(2 * delay_s, MAX_ERROR_DELAY_S))

    def log_failure(
        self, work: itemwork.ItemWork, error: BaseException
    ) -> None:
        """Log and count an unexpected error."""
        self.count_rerun("error")
        LOG.error(
            "Item {} of job {} is run again after an unexpected error: {}",
            work.item.id,
            work.job.id,
            "".join(traceback.format_exception(error)),
            fields={"stage": work.stage.value, "run": work.number},
        )

    def count_rerun(self, cause: str) -> None:
        """Count an item run again after an error, a stall or a lost task."""
        self.parts.metrics.inc(
            "camphortray_items_taken_up",
            "Items run again that would have been left lying, by cause.",
            {"why": cause},
        )

    # Handover.

    def progress(self) -> dict[str, list[itemwork.Progress]]:
        """Return the partial output of running items, by job."""
        found: dict[str, list[itemwork.Progress]] = {}
        for (job_id, _), work in self.works.items():
            progress = work.progress
            if progress is not None and job_id not in self.ending:
                found.setdefault(job_id, []).append(progress)
        return found

    def resume_item(self, job_id: str, progress: itemwork.Progress) -> None:
        """Resume an item from the partial output of the previous owner."""
        key = job_id, progress.place
        if not self.is_open(key):
            return
        work = self.works.get(key)
        if work is not None:
            work.resume_from(progress)
        else:
            self.early_progress[key] = progress

    # Stall detection.

    def stages(self) -> Iterator[item_stall_detector.ItemStage]:
        """Yield the stage of each open item.

        Yields nothing once this owner has stopped: it may remain registered
        while its tasks end, but its open items are the next owner's to run.
        """
        if self.closed:
            return
        wall = self.parts.clock.wall()
        for job, index in self.open_items():
            item, work = job.items[index], self.works.get((job.id, index))
            yield item_stall_detector.ItemStage(
                job.id,
                item.id if item is not None else "",
                self.stage_of((job.id, index)),
                work.stage_at if work is not None else 0.0,
                work.number if work is not None else 0,
                round(wall - job.taken_at, 1),
            )

    def open_items(self) -> Iterator[tuple[partition_state.Job, int]]:
        """Yield each item without a result whose job has not ended."""
        for job in self.jobs.values():
            if len(job.finished) < len(job.items):
                for index in job.open_items:
                    yield job, index

    def stage_of(self, key: Key) -> Stage:
        """Return the stage of an open item."""
        work = self.works.get(key)
        if work is not None:
            return work.stage
        if key[0] in self.ending:
            return Stage.ENDING
        if key in self.running or self.is_queued(key):
            return Stage.QUEUED
        return Stage.UNASSIGNED

    def restart_stalled(self) -> None:
        """Queue again the open items that have no task or whose task stalls.

        Neither is expected. This is a safeguard: a fault that ends the task
        of an item without a log line, or blocks it on something that never
        happens, delays the item by seconds instead of losing it.
        """
        if self.closed:
            return
        for job, index in self.open_items():
            key = job.id, index
            if self.stage_of(key) is Stage.UNASSIGNED and self.is_open(key):
                self.count_rerun("left")
                LOG.error(
                    "Item at index {} of job {} was open but neither queued"
                    " nor running; queued again.",
                    index,
                    job.id,
                )
                self.queue(key)
        now = self.parts.clock.monotonic()
        # An item must be stalled in two checks in a row: after this host was
        # suspended for seconds, the input that arrived meanwhile is read only
        # after the first check.
        before, self.stalled = self.stalled, {}
        for key, work in list(self.works.items()):
            if not work.is_stalled(now):
                continue
            self.stalled[key] = work.last_progress_at
            if before.get(key) == work.last_progress_at:
                self.replace_task(key, work)
        self.start_queued()

    def replace_task(self, key: Key, work: itemwork.ItemWork) -> None:
        """Cancel the stalled task of an item and queue the item again."""
        self.count_rerun("stuck")
        LOG.error(
            "Item {} of job {} has stalled; its task is cancelled and the item"
            " queued again.",
            work.item.id,
            work.job.id,
            fields={
                "stage": work.stage.value,
                "since_s": round(
                    self.parts.clock.monotonic() - work.last_progress_at, 1
                ),
                "run": work.number,
            },
        )
        del self.stalled[key]
        self.forget_task(key).cancel()
        work.abort()
        if self.is_open(key):
            self.queue(key)


def task_name(key: Key) -> str:
    """Return the name of the task that runs an item."""
    job_id, index = key
    return f"item {index} of job {job_id}"
