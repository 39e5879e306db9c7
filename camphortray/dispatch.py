"""Brings items and slots together."""

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
# Look again at least this often, in seconds.
LOOK_S = 0.5
# Share of the newest measurement in the pace.
PACE_SHARE = 0.1
# Most items of a service that wait for a slot at once.
MAX_SEEKERS = 64


class Dispatcher:
    """Runs the items of all jobs that this host owns.

    Attributes:
      queue: What waits.
      held: Running jobs by id.
      paused: Returns whether no further item may begin.
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
        self.seekers: dict[str, set[Any]] = collections.defaultdict(set)
        self.loops: dict[str, asyncio.Task[None]] = {}
        self.driver = itemdriver.ItemDriver(context, self.push, self.ended)
        self.isolation = self.driver.isolation
        self.pace_s = 0.0
        self.last_end: float | None = None

    def add_job(
        self, job: jobs.Job, outbox: outboxes.Outbox, epoch: int
    ) -> itemdriver.Held:
        """Make ready to run a job's items."""
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
        """Stop a job at once; engines are told."""
        self.queue.remove_job(job)
        held = self.held.pop(job, None)
        if held is not None:
            for task in held.tasks.values():
                task.cancel()
            held.space.set()

    def push(self, held: itemdriver.Held, item: jobqueue.Item) -> None:
        """Queue an item, unless its job is no longer run here.

        The job may have been lost and gained again, and another item
        stand in the queue for this one.
        """
        if self.held.get(item.job) is held:
            self.queue.push(item, self.context.clock.monotonic())
            self.changed.set()

    async def serve(self, name: str) -> None:
        """Look for as many slots as a service has items, for ever."""
        loop = asyncio.get_running_loop()
        while True:
            await self.wait_for_items(name)
            wanted = min(self.queue.ready(name), MAX_SEEKERS)
            while len(self.seekers[name]) < wanted:
                task = loop.create_task(self.seek(name))
                self.seekers[name].add(task)
                self.tasks.add(task)
                task.add_done_callback(self.tasks.discard)
            await self.wait_for_change(LOOK_S)

    async def seek(self, name: str) -> None:
        """Wait for one slot and use it."""
        task = asyncio.current_task()
        try:
            service = self.tree.view.services[name]
            slot = await self.acquire(service)
        finally:
            self.seekers[name].discard(task)
            self.changed.set()
        try:
            item = self.pick(name, slot.upstream.name)
            if item is not None:
                await self.run(item, slot)
        finally:
            await self.slots.release(slot)
            self.changed.set()

    async def acquire(self, service: settings.Service) -> slots_module.Slot:
        """Wait for a slot where no suspect of ours runs alone.

        Asked for anew while there is one: whoever waits with the upstreams
        of that moment left out would wait for ever once all were.
        """
        while True:
            without = frozenset(self.isolation.reserved)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(LOOK_S if without else None):
                    return await self.slots.acquire(service, without)

    def pick(self, name: str, upstream: str) -> jobqueue.Item | None:
        """Take the item to run next on an upstream."""
        if upstream in self.isolation.reserved or self.paused():
            return None
        now = self.context.clock.monotonic()
        return self.queue.pick(name, upstream, now, self.pace_s)

    async def wait_for_items(self, name: str) -> None:
        """Wait until an item of a service may run."""
        while True:
            now = self.context.clock.monotonic()
            self.queue.wake(now)
            if self.queue.ready(name) and not self.paused():
                return
            at = self.queue.next_time()
            wait_s = LOOK_S if at is None else min(LOOK_S, max(at - now, 0))
            await self.wait_for_change(wait_s)

    async def wait_for_change(self, timeout_s: float) -> None:
        """Wait for a new item, but not for long."""
        self.changed.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                await self.changed.wait()

    async def run(self, item: jobqueue.Item, slot: slots_module.Slot) -> None:
        """Use one slot for one item, in a task that a cancel can stop."""
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
        """Count an item that ends, unless its job is gone."""
        if self.held.get(item.job) is not held:
            return False
        self.queue.jobs[item.job].left -= 1
        now = self.context.clock.monotonic()
        if self.last_end is not None:
            step = now - self.last_end
            self.pace_s += PACE_SHARE * (step - self.pace_s)
        self.last_end = now
        return True

    def drain(self) -> None:
        """Begin no further item; what was begun here goes on."""
        self.queue.only_begun = True

    def closing(self) -> bool:
        """Return whether results are better written at once."""
        return self.queue.only_begun or self.paused()

    def unfinished(self) -> bool:
        """Return whether an item that was begun here is not at its end."""
        begun = any(job.begun() for job in self.queue.jobs.values())
        return begun or self.in_flight() > 0

    def in_flight(self) -> int:
        """Return how many items are on upstreams."""
        return sum(self.isolation.busy.values())

    async def stop(self) -> None:
        """Stop all items; engines are told."""
        for job in list(self.held):
            self.remove_job(job)
        tasks = [*self.loops.values(), *self.tasks]
        for task in tasks:
            task.cancel()
        if tasks:
            await asyncio.wait(tasks)
        await self.driver.runner.stop()
