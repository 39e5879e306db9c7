"""Schedules the items of jobs onto engine slots."""

__all__ = ["Dispatcher"]

import asyncio
import collections
from collections.abc import Callable
import contextlib
import functools
from typing import Any

from camphortray import itemdriver
from camphortray import jobqueue
from camphortray import jobs
from camphortray import kernel
from camphortray import logs
from camphortray import outbox as outboxes
from camphortray import settings
from camphortray import slots as slots_module
from camphortray import tasks
from camphortray import tree

LOG = logs.logger("dispatch")
# Maximum seconds between two checks of a queue.
POLL_INTERVAL_S = 0.5
# Weight of a new measurement in the moving average of the time between the
# ends of two items.
INTERVAL_WEIGHT = 0.1
# Most slots of a service that are requested at once.
MAX_SLOT_WAITERS = 64


class Dispatcher:
    """Runs the items of all jobs that this host owns.

    Attributes:
      queue: Items that are not in flight.
      held: Running jobs by id.
      paused: Returns whether no further item may start.
      slot_waiters: Tasks that wait for a slot, by service.
      loops: The dispatch loop of each service.
      item_interval_s: Mean time between the ends of two items.
    """

    def __init__(
        self, context: kernel.Context, paused: Callable[[], bool]
    ) -> None:
        self.context = context
        self.tree = context.part(tree.Tree)
        self.slots = context.part(slots_module.Slots)
        self.queue = jobqueue.JobQueue()
        self.held: dict[str, itemdriver.Held] = {}
        self.paused = paused
        self.changed = asyncio.Event()
        self.tasks: set[asyncio.Task[None]] = set()
        self.slot_waiters: dict[str, set[Any]] = collections.defaultdict(set)
        self.loops: dict[str, asyncio.Task[None]] = {}
        self.driver = itemdriver.ItemDriver(context, self.push, self.ended)
        self.isolation = self.driver.isolation
        self.item_interval_s = 0.0
        self.last_end_at: float | None = None

    def add_job(
        self, job: jobs.Job, outbox: outboxes.Outbox, epoch: int
    ) -> itemdriver.Held:
        """Add a job to the queue and start the loop of its service."""
        accept = job.accept
        service = self.tree.view.services[accept.service]
        now = self.context.clock.monotonic()
        due = None
        if accept.due:
            due = now + accept.due - self.context.clock.wall()
        held = self.held[accept.job] = itemdriver.Held(job, outbox, epoch)
        self.queue.add_job(
            jobqueue.QueuedJob(
                accept.job,
                accept.service,
                accept.workspace,
                accept.weight,
                service.workspace(accept.workspace).weight,
                due,
                accept.count - job.ended,
            )
        )
        if accept.service not in self.loops:
            self.loops[accept.service] = (
                asyncio.get_running_loop().create_task(
                    tasks.forever(
                        "dispatch of items",
                        functools.partial(self.serve, accept.service),
                    )
                )
            )
        return held

    def remove_job(self, job: str) -> None:
        """Stop a job at once and cancel its requests at the engines."""
        self.queue.remove_job(job)
        held = self.held.pop(job, None)
        if held is not None:
            for task in held.tasks.values():
                task.cancel()
            held.space.set()

    def push(self, held: itemdriver.Held, item: jobqueue.Item) -> None:
        """Queue an item, unless this run of its job has ended.

        This host may have lost the job and acquired it again since; the
        queue then holds another copy of the item.
        """
        if self.held.get(item.job) is held:
            self.queue.push(item, self.context.clock.monotonic())
            self.changed.set()

    async def serve(self, name: str) -> None:
        """Keep one slot request pending for each ready item of a service."""
        loop = asyncio.get_running_loop()
        while True:
            await self.wait_for_items(name)
            wanted = min(self.queue.ready(name), MAX_SLOT_WAITERS)
            while len(self.slot_waiters[name]) < wanted:
                task = loop.create_task(self.run_next(name))
                self.slot_waiters[name].add(task)
                self.tasks.add(task)
                task.add_done_callback(self.tasks.discard)
            await self.wait_for_change(POLL_INTERVAL_S)

    async def run_next(self, name: str) -> None:
        """Wait for a slot and run the next item on it."""
        task = asyncio.current_task()
        try:
            service = self.tree.view.services[name]
            slot = await self.acquire(service)
        finally:
            self.slot_waiters[name].discard(task)
            self.changed.set()
        try:
            item = self.pick(name, slot.upstream.name)
            if item is not None:
                await self.run(item, slot)
        finally:
            await self.slots.release(slot)
            self.changed.set()

    async def acquire(self, service: settings.Service) -> slots_module.Slot:
        """Wait for a slot at an upstream not reserved for a suspect item.

        While upstreams are reserved, the request is renewed periodically: a
        request that excludes all upstreams would otherwise never be granted,
        even after they are released.
        """
        while True:
            without = frozenset(self.isolation.reserved)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(
                    POLL_INTERVAL_S if without else None
                ):
                    return await self.slots.acquire(service, without)

    def pick(self, name: str, upstream: str) -> jobqueue.Item | None:
        """Take the item to run next on an upstream, or return None."""
        if upstream in self.isolation.reserved or self.paused():
            return None
        now = self.context.clock.monotonic()
        return self.queue.pick(name, upstream, now, self.item_interval_s)

    async def wait_for_items(self, name: str) -> None:
        """Wait until an item of a service is ready to run."""
        while True:
            now = self.context.clock.monotonic()
            self.queue.wake(now)
            if self.queue.ready(name) and not self.paused():
                return
            at = self.queue.next_time()
            wait_s = (
                POLL_INTERVAL_S
                if at is None
                else min(POLL_INTERVAL_S, max(at - now, 0))
            )
            await self.wait_for_change(wait_s)

    async def wait_for_change(self, timeout_s: float) -> None:
        """Wait for a change of the queue, at most ``timeout_s``."""
        self.changed.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                await self.changed.wait()

    async def run(self, item: jobqueue.Item, slot: slots_module.Slot) -> None:
        """Run an item on a slot, in a task that can be cancelled."""
        held = self.held[item.job]
        held.space.set()
        task = asyncio.get_running_loop().create_task(
            self.driver.run_item(held, item, slot)
        )
        held.tasks[item.index] = task
        try:
            with self.isolation.count(slot.upstream.name):
                await asyncio.wait({task})
        finally:
            task.cancel()
            if held.tasks.get(item.index) is task:
                del held.tasks[item.index]

    def ended(self, held: itemdriver.Held, item: jobqueue.Item) -> bool:
        """Count the end of an item.

        Returns:
          False if this run of its job has ended.
        """
        if self.held.get(item.job) is not held:
            return False
        self.queue.jobs[item.job].left -= 1
        now = self.context.clock.monotonic()
        if self.last_end_at is not None:
            interval_s = now - self.last_end_at
            self.item_interval_s += INTERVAL_WEIGHT * (
                interval_s - self.item_interval_s
            )
        self.last_end_at = now
        return True

    def drain(self) -> None:
        """Start no new item; continue those with a partial answer here."""
        self.queue.only_begun = True

    def must_flush(self) -> bool:
        """Return whether results should be written without batching."""
        return self.queue.only_begun or self.paused()

    def unfinished(self) -> bool:
        """Return whether an item that was started here has not ended."""
        begun = any(job.begun() for job in self.queue.jobs.values())
        return begun or self.in_flight() > 0

    def in_flight(self) -> int:
        """Return the number of items in flight at upstreams."""
        return sum(self.isolation.busy.values())

    async def stop(self) -> None:
        """Stop all items and cancel their requests at the engines."""
        for job in list(self.held):
            self.remove_job(job)
        tasks = [*self.loops.values(), *self.tasks]
        for task in tasks:
            task.cancel()
        if tasks:
            await asyncio.wait(tasks)
        await self.driver.runner.stop()
