"""Brings items and slots together and follows each item to its result."""

__all__ = ["Dispatcher"]

import asyncio
import collections
from collections.abc import AsyncIterator
from collections.abc import Callable
import contextlib
from typing import Any

import msgspec

from camphortray import completion
from camphortray import errors
from camphortray import intake
from camphortray import itempolicy
from camphortray import itemrun
from camphortray import jobqueue
from camphortray import jobs
from camphortray import kernel
from camphortray import logs
from camphortray import outbox as outboxes
from camphortray import poison
from camphortray import signals as signals_module
from camphortray import slots as slots_module
from camphortray import suspects as suspects_module
from camphortray import tree
from camphortray import upstreams as upstreams_module

LOG = logs.logger("dispatch")
# Longest time a slot is held for a start to be read back; then the item
# waits without one.
START_S = 1.0
# Look again at least this often, in seconds.
LOOK_S = 0.5
# Share of the newest measurement in the pace.
PACE_SHARE = 0.1
# Longest time a suspect has an upstream for itself, and from one try to
# get one to the next, in seconds.
APART_S = 120.0
APART_PAUSE_S = 0.2
# Most items of a service that wait for a slot at once.
MAX_SEEKERS = 64


class Held:
    """A job that this host runs.

    Attributes:
      job: As the fold has it.
      outbox: Where its results go.
      epoch: In which this host runs it.
      space: Set whenever an item leaves the queue.
    """

    def __init__(
        self, job: jobs.Job, outbox: outboxes.Outbox, epoch: int
    ) -> None:
        self.job = job
        self.outbox = outbox
        self.epoch = epoch
        self.space = asyncio.Event()
        self.tasks: dict[int, asyncio.Task[None]] = {}


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
        self.signals = context.part(signals_module.Signals)
        self.upstreams = context.part(upstreams_module.Upstreams)
        self.runner = itemrun.ItemRunner(context)
        self.queue = jobqueue.JobQueue()
        self.held: dict[str, Held] = {}
        self.paused = paused
        self.changed = asyncio.Event()
        self.tasks: set[asyncio.Task[None]] = set()
        self.notes: set[asyncio.Future[bool]] = set()
        self.seekers: dict[str, set[Any]] = collections.defaultdict(set)
        self.loops: dict[str, asyncio.Task[None]] = {}
        self.busy: collections.Counter[str] = collections.Counter()
        self.reserved: set[str] = set()
        self.left = asyncio.Event()
        self.sent = 0
        self.pace_s = 0.0
        self.last_end: float | None = None

    def add_job(
        self, job: jobs.Job, outbox: outboxes.Outbox, epoch: int
    ) -> Held:
        """Make ready to run a job's items."""
        accept = job.accept
        service = self.tree.view.services[accept.service]
        now = self.context.clock.monotonic()
        due = None
        if accept.due:
            due = now + accept.due - self.context.clock.wall()
        held = self.held[accept.job] = Held(job, outbox, epoch)
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
                    self.serve(accept.service)
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

    def push(self, item: jobqueue.Item) -> None:
        """Queue an item."""
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
            slot = await self.slots.acquire(service, frozenset(self.reserved))
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

    def pick(self, name: str, upstream: str) -> jobqueue.Item | None:
        """Take the item to run next on an upstream."""
        if upstream in self.reserved or self.paused():
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
            self.run_item(held, item, slot)
        )
        held.tasks[item.index] = task
        self.busy[slot.upstream.name] += 1
        try:
            await asyncio.wait({task})
        finally:
            task.cancel()
            self.busy[slot.upstream.name] -= 1
            self.left.set()
            if held.tasks.get(item.index) is task:
                del held.tasks[item.index]

    async def run_item(
        self, held: Held, item: jobqueue.Item, slot: slots_module.Slot
    ) -> None:
        """Run one item, apart from others if it is suspect."""
        try:
            told = self.verdict(held, item)
            if told.standing is poison.Standing.QUARANTINED:
                self.end(held, item, "failed", reason("has crashed upstreams"))
            elif told.standing is poison.Standing.APART:
                await self.run_apart(held, item, slot, told.at)
            else:
                await self.run_once(held, item, slot)
        except errors.CamphortrayError as error:
            LOG.error("Item {} of {}: {}", item.index, item.job, error)
            self.defer(item, "", LOOK_S)

    def verdict(self, held: Held, item: jobqueue.Item) -> poison.Verdict:
        """Return how an item may run, by what the fleet and the log say."""
        suspects = self.runner.suspects
        if item.crashes:
            # As the log has it: a host that took over knows nothing else.
            known = poison.Verdict(poison.Standing.APART)
        else:
            known = poison.FREE
        if suspects.quiet:
            return known
        service = self.tree.view.services[held.job.accept.service]
        name = fingerprint(held.job.accept.path, item)
        told = suspects.verdict(service, name)
        return known if told.standing is poison.Standing.FREE else told

    async def run_apart(
        self,
        held: Held,
        item: jobqueue.Item,
        slot: slots_module.Slot,
        at: float,
    ) -> None:
        """Run a suspect where no other suspect and no item of ours is."""
        wait_s = at - self.context.clock.wall()
        upstream = slot.upstream.name
        holder = f"{item.job}-{item.index}.{self.sent}"
        suspects = self.runner.suspects
        ask = suspects_module.ApartAsk(upstream, holder, APART_S)
        if wait_s > 0 or not await suspects.ask(ask):
            self.defer(item, "", max(wait_s, APART_PAUSE_S))
            return
        try:
            async with self.apart(upstream):
                await self.run_once(held, item, slot)
        finally:
            suspects.release(upstream, holder)

    @contextlib.asynccontextmanager
    async def apart(self, upstream: str) -> AsyncIterator[None]:
        """Keep an upstream free of other items of this host.

        Were another there when the suspect crashes the upstream, both
        would look alike, and an innocent item could end as poison.
        """
        while upstream in self.reserved:
            await self.wait_left()
        self.reserved.add(upstream)
        try:
            while self.busy[upstream] > 1:
                await self.wait_left()
            yield
        finally:
            self.reserved.discard(upstream)
            self.left.set()

    async def wait_left(self) -> None:
        """Wait until an item leaves an upstream."""
        self.left.clear()
        await self.left.wait()

    async def run_once(
        self, held: Held, item: jobqueue.Item, slot: slots_module.Slot
    ) -> None:
        """Try an item and see to what follows."""
        if not await self.write_start(held, item):
            return
        accept = held.job.accept
        service = self.tree.view.services[accept.service]
        line, _ = intake.parse_line(item.line)
        self.sent += 1
        attempt = itemrun.Try(
            f"{accept.job}-{item.index}.{held.epoch}.{self.sent}",
            accept.path,
            bytes(line.body),
            item.kept,
            accept.idempotent,
            lambda: fingerprint(accept.path, item),
        )
        try:
            answer = await self.runner.run(
                service, attempt, slot, fresh=item.tries > 0
            )
            if item.crashes:
                self.runner.suspects.passed(attempt.fingerprint())
            self.end(held, item, "done", answer)
        except itemrun.Revoked:
            item.kept = attempt.collector
            self.defer(item, "", 0.0)
        except errors.UpstreamError as error:
            item.kept = attempt.collector
            await self.on_error(held, item, slot, attempt, error)

    async def write_start(self, held: Held, item: jobqueue.Item) -> bool:
        """See the start of a non-idempotent item read back.

        Returns:
          Whether it may be sent now.
        """
        if held.job.accept.idempotent or item.started:
            return True
        note = asyncio.ensure_future(
            held.outbox.note(jobs.START, item.job, (item.index,))
        )
        try:
            async with asyncio.timeout(START_S):
                return self.may_send(held, item, await asyncio.shield(note))
        except TimeoutError:
            # The log is slow or away: wait without keeping the slot.
            self.notes.add(note)
            note.add_done_callback(lambda _: self.on_start(held, item, note))
            return False

    def may_send(self, held: Held, item: jobqueue.Item, valid: bool) -> bool:
        """Return whether a start is this host's own.

        The first append may have been given up and yet have landed; the
        second is then refused. In this epoch nobody but this dispatcher
        sends the item, and it has not.
        """
        item.started = valid or (
            held.job.started.get(item.index) == held.epoch
        )
        if not item.started:
            self.end(held, item, "unknown", reason("started before"))
        return item.started

    def on_start(
        self, held: Held, item: jobqueue.Item, note: "asyncio.Future[bool]"
    ) -> None:
        """Queue an item again whose start came late."""
        self.notes.discard(note)
        if note.cancelled() or self.held.get(item.job) is not held:
            return
        if self.may_send(held, item, note.result()):
            self.push(item)

    async def on_error(
        self,
        held: Held,
        item: jobqueue.Item,
        slot: slots_module.Slot,
        attempt: itemrun.Try,
        error: errors.UpstreamError,
    ) -> None:
        """Do what the policy decides."""
        upstream = slot.upstream
        LOG.info("Item {} of {}: {}", item.index, item.job, error)
        if isinstance(error, errors.UpstreamRefused) and error.leaving:
            self.upstreams.note_leaving(upstream.name)
        accept = held.job.accept
        service = self.tree.view.services[accept.service]
        decision = itempolicy.decide(
            item,
            error,
            crashed=self.to_blame(item, upstream.name, attempt),
            idempotent=accept.idempotent,
            attempts=service.get("job.attempts"),
            rng=self.context.rng,
        )
        match decision:
            case itempolicy.Fail(why):
                self.end(held, item, "failed", reason(why))
            case itempolicy.Unknown(why):
                self.end(held, item, "unknown", reason(why))
            case itempolicy.Crash(pause_s):
                # Read back before the next try, so that a host that takes
                # over does not begin to count anew.
                note = asyncio.ensure_future(
                    held.outbox.note(jobs.CRASH, item.job, (item.index,))
                )
                self.notes.add(note)
                note.add_done_callback(
                    lambda _: self.on_crash(item, upstream.name, pause_s, note)
                )
            case itempolicy.Retry(pause_s):
                item.tries += error.ran
                item.refusals = 0 if error.ran else item.refusals + 1
                self.defer(item, upstream.name, pause_s)

    def to_blame(
        self, item: jobqueue.Item, upstream: str, attempt: itemrun.Try
    ) -> bool:
        """Return whether a crash counts against an item.

        Not against one that was beside a suspect; nor a second time if
        others crash now without it, as when a zone is lost.
        """
        if not attempt.crashed:
            return False
        if not item.crashes:
            return upstream not in self.reserved
        now, name = self.context.clock.wall(), attempt.fingerprint()
        others = {
            crash.upstream
            for crash in self.runner.suspects.book.crashes
            if crash.upstream != upstream
            and now - crash.at <= poison.RELATED_S
            and name not in crash.suspects
        }
        return len(others) < poison.RELATED

    def on_crash(
        self,
        item: jobqueue.Item,
        upstream: str,
        pause_s: float,
        note: "asyncio.Future[bool]",
    ) -> None:
        """Queue an item again whose crash is written."""
        self.notes.discard(note)
        if not note.cancelled():
            item.crashes += 1
            self.defer(item, upstream, pause_s)

    def defer(self, item: jobqueue.Item, avoid: str, pause_s: float) -> None:
        """Queue an item again after a pause."""
        item.avoid = avoid
        item.not_before = self.context.clock.monotonic() + pause_s
        self.push(item)

    def end(
        self,
        held: Held,
        item: jobqueue.Item,
        status: Any,
        body: bytes,
    ) -> None:
        """Hand a result over to be written."""
        if self.held.get(item.job) is not held:
            return
        queued = self.queue.jobs[item.job]
        queued.left -= 1
        service = held.job.accept.service
        self.signals.answered(service, True, status == "done")
        now = self.context.clock.monotonic()
        if self.last_end is not None:
            step = now - self.last_end
            self.pace_s += PACE_SHARE * (step - self.pace_s)
        self.last_end = now
        try:
            custom_id = intake.parse_line(item.line)[0].custom_id
        except ValueError:
            custom_id = ""
        held.outbox.add(
            jobs.ItemResult(item.job, item.index, status, body, custom_id)
        )

    def in_flight(self) -> int:
        """Return how many items are on upstreams."""
        return sum(self.busy.values())

    async def stop(self) -> None:
        """Stop all items; engines are told."""
        for job in list(self.held):
            self.remove_job(job)
        tasks = [*self.loops.values(), *self.tasks]
        for task in tasks:
            task.cancel()
        if tasks:
            await asyncio.wait(tasks)
        await self.runner.stop()


def fingerprint(path: str, item: jobqueue.Item) -> str:
    """Return what tells an item's request from others.

    One that could not be sent online gets a text of its own.
    """
    line, _ = intake.parse_line(item.line)
    try:
        asked = completion.parse(path, bytes(line.body))
    except errors.Refused:
        return f"{item.job}-{item.index}"
    return poison.fingerprint(asked.model, asked.text)


def reason(text: str) -> bytes:
    """Return the body of a result that is no answer."""
    return msgspec.json.encode({"error": {"message": text}})
