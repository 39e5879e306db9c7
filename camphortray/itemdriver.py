"""Runs one batch item through its attempts to its result."""

__all__ = ["Held", "ItemDriver", "reason"]

import asyncio
from collections.abc import Callable
import traceback
from typing import Any

import msgspec

from camphortray import collector
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
from camphortray import tasks
from camphortray import tree
from camphortray import upstreams as upstreams_module

LOG = logs.logger("dispatch")
# How long a slot is held until the record of an item's start is read back;
# after that the item waits for it without a slot.
START_TIMEOUT_S = 1.0
# Delay before an item is retried after an error of this host.
FAULT_PAUSE_S = 0.5
# Delay before a suspect asks again to reserve an upstream.
RESERVE_PAUSE_S = 0.2


class Held:
    """A job that this host runs.

    Attributes:
      job: State of the job in the fold.
      outbox: Writes its results to the log.
      epoch: Epoch in which this host runs it.
      queued: Index behind the last item that was queued or ended.
      space: Set whenever an item leaves the queue.
      tasks: Running items by index.
    """

    def __init__(
        self, job: jobs.Job, outbox: outboxes.Outbox, epoch: int
    ) -> None:
        self.job = job
        self.outbox = outbox
        self.epoch = epoch
        self.queued = 0
        self.space = asyncio.Event()
        self.tasks: dict[int, asyncio.Task[None]] = {}


class ItemDriver:
    """Runs items on slots and applies the retry policy.

    Attributes:
      isolation: Decides which items must run alone on an upstream.
      push: Requeues an item, or drops it if its job no longer runs here.
      ended: Called for each item that ends; returns whether its job still
        runs here.
      notes: Writes of starts and crashes that an item waits for.
      sent: Number of requests sent, which makes their ids unique.
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
        """Run one item, in isolation if it is suspected of crashes."""
        try:
            accept = held.job.accept
            service = self.tree.view.services[accept.service]
            verdict = self.isolation.verdict(service, accept.path, item)
            found = self.isolation.quarantine_of(service, accept.path, item)
            if found is not None:
                self.end(held, item, "failed", reason(str(found)))
            elif verdict.standing is poison.Standing.QUARANTINED:
                self.end(held, item, "failed", reason("has crashed upstreams"))
            elif verdict.standing is poison.Standing.ISOLATED:
                await self.run_isolated(held, item, slot, verdict.at)
            else:
                await self.run_once(held, item, slot)
        except errors.CamphortrayError as error:
            LOG.error(
                "Item {} of job {} is retried after an error: {}",
                item.index,
                item.job,
                error,
            )
            self.defer(held, item, "", FAULT_PAUSE_S)
        except asyncio.CancelledError as error:
            if tasks.cancelled():
                raise
            # Something that the item awaited was cancelled, not this task.
            self.on_unexpected_error(held, item, error)
        except Exception as error:
            self.on_unexpected_error(held, item, error)

    def on_unexpected_error(
        self, held: Held, item: jobqueue.Item, error: BaseException
    ) -> None:
        """Requeue an item, or end it if it may have run and must not again."""
        LOG.error(
            "Item {} of job {} failed unexpectedly: {}",
            item.index,
            item.job,
            "".join(traceback.format_exception(error)),
        )
        if item.started:
            self.end(held, item, "unknown", reason("failed unexpectedly"))
            return
        # The partial answer may be what caused the error.
        item.partial = collector.Collector()
        self.defer(held, item, "", FAULT_PAUSE_S)

    async def run_isolated(
        self,
        held: Held,
        item: jobqueue.Item,
        slot: slots_module.Slot,
        at: float,
    ) -> None:
        """Run a suspect apart from other suspects and this host's items.

        Args:
          at: Wall-clock time before which it may not run.
        """
        wait_s = at - self.context.clock.wall()
        if wait_s > 0:
            self.defer(held, item, "", wait_s)
            return
        holder = f"{item.job}-{item.index}.{self.sent}"
        async with self.isolation.reserve(
            slot.upstream.name, holder
        ) as reserved:
            if reserved:
                await self.run_once(held, item, slot)
            else:
                self.defer(held, item, "", RESERVE_PAUSE_S)

    async def run_once(
        self, held: Held, item: jobqueue.Item, slot: slots_module.Slot
    ) -> None:
        """Attempt an item once and handle the outcome."""
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
            lambda: isolation.segments(accept.path, item),
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
        """Write the start of a non-idempotent item and wait for its read-back.

        Returns:
          Whether the item may be sent now.
        """
        if held.job.accept.idempotent or item.started:
            return True
        note = asyncio.ensure_future(
            held.outbox.note(jobs.START, item.job, (item.index,))
        )
        try:
            async with asyncio.timeout(START_TIMEOUT_S):
                return self.may_send(held, item, await asyncio.shield(note))
        except TimeoutError:
            # The log is slow or unavailable: release the slot while waiting.
            self.notes.add(note)
            note.add_done_callback(
                lambda _: self.on_start_written(held, item, note)
            )
            return False

    def may_send(self, held: Held, item: jobqueue.Item, valid: bool) -> bool:
        """Return whether this host started an item; end it if not.

        An append that timed out may still have been written, and the fold
        then refuses the repetition. A start of this epoch is still valid:
        only this host sends the item in it, and has not yet sent it.
        """
        item.started = valid or (
            held.job.started.get(item.index) == held.epoch
        )
        if not item.started:
            self.end(held, item, "unknown", reason("started before"))
        return item.started

    def on_start_written(
        self, held: Held, item: jobqueue.Item, note: "asyncio.Future[bool]"
    ) -> None:
        """Requeue an item whose start was read back late."""
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
        """Apply the retry policy to a failed attempt."""
        upstream = slot.upstream
        LOG.info(
            "Item {} of job {} failed on upstream {}: {}",
            item.index,
            item.job,
            upstream.name,
            error,
        )
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
                # The crash is read back before the next attempt, so that a
                # host that takes over continues the count.
                note = asyncio.ensure_future(
                    held.outbox.note(jobs.CRASH, item.job, (item.index,))
                )
                self.notes.add(note)
                note.add_done_callback(
                    lambda _: self.on_crash_written(
                        held, item, upstream.name, pause_s, note
                    )
                )
            case itempolicy.Retry(pause_s):
                item.tries += error.ran
                item.refusals = 0 if error.ran else item.refusals + 1
                self.defer(held, item, upstream.name, pause_s)

    def on_crash_written(
        self,
        held: Held,
        item: jobqueue.Item,
        upstream: str,
        pause_s: float,
        note: "asyncio.Future[bool]",
    ) -> None:
        """Requeue an item after its crash was written."""
        self.notes.discard(note)
        if not note.cancelled():
            item.crashes += 1
            self.defer(held, item, upstream, pause_s)

    def defer(
        self, held: Held, item: jobqueue.Item, avoid: str, pause_s: float
    ) -> None:
        """Requeue an item to be retried after ``pause_s``.

        Args:
          avoid: Upstream that the retry should avoid, or empty.
        """
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
        """End an item and pass its result to the outbox."""
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
    """Return the body of a result that has an error instead of an answer."""
    return msgspec.json.encode({"error": {"message": text}})
