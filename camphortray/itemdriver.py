"""Follows one item through its tries to its result."""

__all__ = ["Held", "ItemDriver", "reason"]

import asyncio
from collections.abc import Callable
from typing import Any

import msgspec

from camphortray import errors
from camphortray import isolation
from camphortray import itempolicy
from camphortray import itemrun
from camphortray import job_reader
from camphortray import jobqueue
from camphortray import jobs
from camphortray import kernel
from camphortray import logs
from camphortray import outbox as outboxes
from camphortray import poison
from camphortray import slots as slots_module
from camphortray import tree
from camphortray import upstreams as upstreams_module

LOG = logs.logger("dispatch")
# Longest time a slot is held for a start to be read back; then the item
# waits without one.
START_S = 1.0
# Pause after a fault of our own, and until a suspect asks again for an
# upstream of its own, in seconds.
FAULT_PAUSE_S = 0.5
APART_PAUSE_S = 0.2


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


class ItemDriver:
    """Runs items on slots and decides with the policy what follows.

    Attributes:
      isolation: Which items may run beside which.
      push: Queues an item again; one of a job that is gone is dropped.
      ended: Told of each item that ends; returns whether its job is
        still run here.
      sent: Requests sent, which tells their ids apart.
    """

    def __init__(
        self,
        context: kernel.Context,
        push: Callable[[Held, jobqueue.Item], None],
        ended: Callable[[Held, jobqueue.Item], bool],
    ) -> None:
        self.context = context
        self.push = push
        self.ended = ended
        self.tree = context.part(tree.Tree)
        self.upstreams = context.part(upstreams_module.Upstreams)
        self.isolation = isolation.Isolation(context)
        self.runner = itemrun.ItemRunner(context)
        self.notes: set[asyncio.Future[bool]] = set()
        self.sent = 0

    async def run_item(
        self, held: Held, item: jobqueue.Item, slot: slots_module.Slot
    ) -> None:
        """Run one item, apart from others if it is suspect."""
        try:
            accept = held.job.accept
            service = self.tree.view.services[accept.service]
            told = self.isolation.verdict(service, accept.path, item)
            if told.standing is poison.Standing.QUARANTINED:
                self.end(held, item, "failed", reason("has crashed upstreams"))
            elif told.standing is poison.Standing.ISOLATED:
                await self.run_apart(held, item, slot, told.at)
            else:
                await self.run_once(held, item, slot)
        except errors.CamphortrayError as error:
            LOG.error("Item {} of {}: {}", item.index, item.job, error)
            self.defer(held, item, "", FAULT_PAUSE_S)

    async def run_apart(
        self,
        held: Held,
        item: jobqueue.Item,
        slot: slots_module.Slot,
        at: float,
    ) -> None:
        """Run a suspect where no other suspect and no item of ours is."""
        wait_s = at - self.context.clock.wall()
        if wait_s > 0:
            self.defer(held, item, "", wait_s)
            return
        holder = f"{item.job}-{item.index}.{self.sent}"
        async with self.isolation.reserve(slot.upstream.name, holder) as alone:
            if alone:
                await self.run_once(held, item, slot)
            else:
                self.defer(held, item, "", APART_PAUSE_S)

    async def run_once(
        self, held: Held, item: jobqueue.Item, slot: slots_module.Slot
    ) -> None:
        """Try an item and see to what follows."""
        if not await self.write_start(held, item):
            return
        accept = held.job.accept
        service = self.tree.view.services[accept.service]
        line, _ = job_reader.parse_line(item.line)
        self.sent += 1
        attempt = itemrun.Try(
            f"{accept.job}-{item.index}.{held.epoch}.{self.sent}",
            accept.path,
            bytes(line.body),
            item.partial,
            accept.idempotent,
            lambda: isolation.fingerprint(accept.path, item),
        )
        try:
            answer = await self.runner.run(
                service, attempt, slot, fresh=item.tries > 0
            )
            if item.crashes:
                self.isolation.suspects.clear(attempt.fingerprint())
            self.end(held, item, "done", answer)
        except itemrun.Revoked:
            item.partial = attempt.collector
            self.defer(held, item, "", 0.0)
        except errors.UpstreamError as error:
            item.partial = attempt.collector
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
        if note.cancelled():
            return
        if self.may_send(held, item, note.result()):
            self.push(held, item)

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
            crashed=attempt.crashed
            and self.isolation.counts_against(
                item, upstream.name, attempt.fingerprint()
            ),
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
                    lambda _: self.on_crash(
                        held, item, upstream.name, pause_s, note
                    )
                )
            case itempolicy.Retry(pause_s):
                item.tries += error.ran
                item.refusals = 0 if error.ran else item.refusals + 1
                self.defer(held, item, upstream.name, pause_s)

    def on_crash(
        self,
        held: Held,
        item: jobqueue.Item,
        upstream: str,
        pause_s: float,
        note: "asyncio.Future[bool]",
    ) -> None:
        """Queue an item again whose crash is written."""
        self.notes.discard(note)
        if not note.cancelled():
            item.crashes += 1
            self.defer(held, item, upstream, pause_s)

    def defer(
        self, held: Held, item: jobqueue.Item, avoid: str, pause_s: float
    ) -> None:
        """Queue an item again after a pause."""
        item.avoid = avoid
        item.not_before = self.context.clock.monotonic() + pause_s
        self.push(held, item)

    def end(
        self,
        held: Held,
        item: jobqueue.Item,
        status: Any,
        body: bytes,
    ) -> None:
        """Hand a result over to be written."""
        if not self.ended(held, item):
            return
        service = held.job.accept.service
        self.runner.signals.answered(service, True, status == "done")
        try:
            custom_id = job_reader.parse_line(item.line)[0].custom_id
        except ValueError:
            custom_id = ""
        held.outbox.add(
            jobs.ItemResult(item.job, item.index, status, body, custom_id)
        )


def reason(text: str) -> bytes:
    """Return the body of a result that is no answer."""
    return msgspec.json.encode({"error": {"message": text}})
