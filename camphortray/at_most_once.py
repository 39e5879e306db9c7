"""Runs non-idempotent calls at most once over the whole fleet.

A call's claim is appended to the log ``calls.N`` and read back before the
call is dispatched, and only the process that claimed it may dispatch it.
A call whose claim timed out or was cancelled is never dispatched; if the
claim was appended after all, it is released so that a retry can claim the
call.
"""

__all__ = ["AtMostOnce"]

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Coroutine
import contextlib
import dataclasses
import traceback
from typing import Any
from typing import ClassVar

from camphortray import append_forwarder
from camphortray import callrequest
from camphortray import calls
from camphortray import callshard
from camphortray import claim_probe
from camphortray import config as configs
from camphortray import errors
from camphortray import grouping
from camphortray import journal
from camphortray import kernel
from camphortray import log_backends
from camphortray import logs
from camphortray import membership
from camphortray import ownership
from camphortray import peers
from camphortray import records
from camphortray import shards

LOG = logs.logger("calls")
# Time limit for appending a claim and reading it back, in seconds.
CLAIM_S = 3.0
# Time limit for reading the log to its end on a retry, in seconds.
SYNC_TIMEOUT_S = 1.0
# Longest that a retry waits for the answer of a call that another host
# reports as running, in seconds.
RETRY_WAIT_S = 5.0
# Pause before a failed access to the log is repeated, in seconds.
LOG_RETRY_PAUSE_S = 1.0
# Time limit for finding out whether an uncertain append reached the log, in
# seconds.
SETTLE_TIMEOUT_S = 5.0
# New calls are refused while more bytes of answers than this are waiting
# to be stored.
MAX_PENDING_ANSWER_BYTES = 16_777_216
# Bytes of a record reserved for an answer's status, headers and framing.
ANSWER_OVERHEAD_BYTES = 8192

Send = Callable[[], Awaitable[calls.Answer]]


@dataclasses.dataclass(frozen=True, slots=True)
class Running:
    """A call in progress on this host.

    Attributes:
      digest: Hash of its request.
      task: Returns its answer.
    """

    digest: str
    task: "asyncio.Task[calls.Answer]"


@kernel.PARTS.register("entry")
class AtMostOnce(kernel.Part):
    """Claims calls, dispatches each once and stores its answer.

    Attributes:
      active: Calls being claimed or run by this process, by name.
      releasing: Names of calls whose claim this process is releasing; none
        of them is dispatched until that is done.
      pending: Answers not yet stored in the log, by name.
    """

    name: ClassVar[str] = "calls"
    requires: ClassVar[tuple[str, ...]] = ("backends", "membership", "peers")

    def __init__(self, context: kernel.Context) -> None:
        self.context = context
        self.members = context.part(membership.Membership)
        config = context.config
        self.writer = records.Writer(
            f"{config.host.name}/entry", context.incarnation
        )
        service = context.part(log_backends.Backends).log
        self.forwarder = append_forwarder.AppendForwarder(
            service,
            context.part(peers.Peers),
            grouping.Limits.from_config(config),
            self.writer,
            self.grouping_host,
        )
        roster = ownership.Members(context)
        self.shards = [
            callshard.CallShard(
                journal.Journal(
                    service,
                    shards.stream_name("calls", number),
                    calls.CallsFold(),
                    self.writer,
                    context.rng,
                    config.streams.record_limit_bytes
                    - grouping.OVERHEAD_BYTES,
                ),
                roster,
                config.streams.retention_s,
                context.clock,
            )
            for number in range(config.shards.calls)
        ]
        for shard in self.shards:
            shard.journal.send = self.forwarder.send
        self.active: dict[str, Running] = {}
        self.probes = claim_probe.ClaimProbes(
            context.part(peers.Peers),
            self.members,
            self.writer,
            lambda name: name in self.active or name in self.pending,
        )
        self.releasing: set[str] = set()
        self.pending: dict[str, calls.Answer] = {}
        self.tasks: set[asyncio.Task[Any]] = set()

    @classmethod
    def from_config(cls, context: kernel.Context) -> "AtMostOnce":
        return cls(context)

    async def start(self) -> None:
        self.members.listen(self.on_member)
        for shard in self.shards:
            shard.start()

    def on_member(self, member: membership.Member) -> None:
        """Re-evaluate shard ownership after a membership change."""
        for shard in self.shards:
            shard.owner.wake()

    def grouping_host(self, stream: str) -> configs.Address | None:
        """Return the peer that batches a stream's appends, or None.

        None means that this host appends by itself.
        """
        by_name = {m.name: m for m in self.members.live("entry")}
        first = shards.preferred(stream, by_name)
        if first is None or first == self.writer.name:
            return None
        address = by_name[first].peer_address
        return configs.Address.from_text(address) if address else None

    def ready(self) -> str:
        for shard in self.shards:
            if shard.journal.failure:
                return shard.journal.ready()
        return ""

    async def run(
        self, request: callrequest.CallRequest, send: Send
    ) -> calls.Answer:
        """Run a call unless it ran before.

        The call continues when its caller disconnects, so that the answer
        is stored for a retry.

        Args:
          request: The call.
          send: Dispatches it; raises ``UpstreamError`` or ``Refused``,
            whose ``ran`` must say whether the call may have run.

        Returns:
          The answer of this run, or the stored one of an earlier run.

        Raises:
          Refused: ``ran`` is "no" only if this request never dispatched
            the call and never will.
        """
        running = self.active.get(request.name)
        if running is None:
            running = self.begin(request, send)
        elif running.digest != request.digest:
            raise callrequest.other_request()
        # A retry waits for the call in progress and gets the same answer.
        return await asyncio.shield(running.task)

    async def run_for_caller(
        self, request: callrequest.CallRequest, send: Send
    ) -> calls.Answer:
        """Run a call as ``run`` does, but cancel it with its caller.

        For an answer that is streamed to the caller while it is produced.
        ``send`` must turn a cancellation before anything was sent into a
        ``Refused`` whose ``ran`` is "no"; any other cancellation leaves
        the claim in place.
        """
        if request.name in self.active:
            return await self.run(request, send)
        return await self.begin(request, send).task

    def begin(self, request: callrequest.CallRequest, send: Send) -> "Running":
        """Claim and run a call in the background."""
        task = self.spawn(self.claim_and_run(request, send))
        task.add_done_callback(lambda _: self.active.pop(request.name))
        running = self.active[request.name] = Running(request.digest, task)
        return running

    async def claim_and_run(
        self, request: callrequest.CallRequest, send: Send
    ) -> calls.Answer:
        """Claim a call, dispatch it and store its answer.

        A call claimed before is answered without a second dispatch.
        """
        shard = self.shard_of(request)
        if request.name in self.releasing:
            raise callrequest.unconfirmed("an earlier claim is not settled")
        earlier = shard.fold.calls.get(request.name)
        if earlier is None:
            earlier = await self.claim(shard, request)
        if earlier is not None:
            return await self.answer_retry(shard, request, earlier)
        return await self.dispatch(shard, request, send)

    def shard_of(
        self, request: callrequest.CallRequest
    ) -> callshard.CallShard:
        """Return the shard of a call."""
        number = shards.shard_of(
            request.workspace, request.name, len(self.shards)
        )
        return self.shards[number]

    async def claim(
        self, shard: callshard.CallShard, request: callrequest.CallRequest
    ) -> calls.Call | None:
        """Claim a call; return the earlier call of that name, if any.

        Raises:
          Refused: the claim was not confirmed by the log.
        """
        if self.pending_bytes() > MAX_PENDING_ANSWER_BYTES:
            raise callrequest.unconfirmed("too many answers wait for the log")
        now = self.context.clock.wall()
        body = calls.CallClaim(
            request.name, request.digest, now, request.keep_s
        )
        try:
            outcome = await shard.append(calls.CLAIM, body, CLAIM_S)
        except errors.LogRefused as error:
            raise callrequest.unconfirmed(str(error)) from error
        except Exception as error:
            # The claim may still be appended later; release it then.
            log_failure(f"Claim of call {request.name} not confirmed", error)
            self.begin_release(shard, request.name)
            raise callrequest.unconfirmed(str(error)) from error
        except asyncio.CancelledError:
            self.begin_release(shard, request.name)
            raise
        status = shard.fold.claim_status(request.name, outcome)
        if status is calls.ClaimStatus.VOID:
            raise callrequest.unconfirmed(
                outcome.reason or "the claim does not stand"
            )
        if status is calls.ClaimStatus.OTHER:
            return shard.fold.calls[request.name]
        return None

    async def release_claim(
        self, shard: callshard.CallShard, name: str
    ) -> None:
        """Release a claim, once it is known whether it was appended."""
        while True:
            try:
                await shard.journal.settle(SETTLE_TIMEOUT_S)
                earlier = shard.fold.calls.get(name)
                if earlier is not None and earlier.writer == self.writer:
                    await shard.append(calls.ABANDON, calls.CallAbandon(name))
                break
            except Exception as error:
                log_failure(f"Claim of call {name} not released", error)
                await asyncio.sleep(LOG_RETRY_PAUSE_S)
        self.releasing.discard(name)

    async def answer_retry(
        self,
        shard: callshard.CallShard,
        request: callrequest.CallRequest,
        earlier: calls.Call,
    ) -> calls.Answer:
        """Answer a call that was claimed before.

        Raises:
          Refused: the key belongs to another request, or no answer is
            available.
        """
        if earlier.digest != request.digest:
            raise callrequest.other_request()
        answer = earlier.answer or self.pending.get(request.name)
        if answer is None:
            await shard.sync(SYNC_TIMEOUT_S)
            answer = await self.wait_for_answer(shard, request.name, earlier)
        if answer is None:
            raise callrequest.no_answer("no answer is known")
        return answer

    async def wait_for_answer(
        self, shard: callshard.CallShard, name: str, earlier: calls.Call
    ) -> calls.Answer | None:
        """Wait for an answer that this host has not read from the log.

        Returns:
          The answer, or None if there is none.
        """
        if earlier.writer != self.writer:
            if await self.probes.is_running(earlier.writer, name):
                return await shard.answer(name, RETRY_WAIT_S)
            # The answer may have been stored while the probe was running.
            await shard.sync(SYNC_TIMEOUT_S)
        call = shard.fold.calls.get(name)
        return call.answer if call is not None else None

    async def dispatch(
        self,
        shard: callshard.CallShard,
        request: callrequest.CallRequest,
        send: Send,
    ) -> calls.Answer:
        """Send a claimed call once and store its answer.

        Raises:
          Refused: the call failed; its claim is released if it did not
            run.
        """
        try:
            answer = await send()
        except errors.UpstreamError as error:
            if not error.ran:
                self.begin_release(shard, request.name)
            raise errors.Refused(
                502,
                "upstream_failed",
                str(error),
                ran="unknown" if error.ran else "no",
                retry_after=None if error.ran else 1,
            ) from error
        except errors.Refused as refusal:
            if refusal.ran == "no":
                self.begin_release(shard, request.name)
            raise
        self.store(shard, request.name, answer)
        return answer

    def begin_release(self, shard: callshard.CallShard, name: str) -> None:
        """Release the claim of a call that was not run, in the background.

        A retry can then claim the call again.
        """
        self.releasing.add(name)
        self.spawn(self.release_claim(shard, name))

    def store(
        self, shard: callshard.CallShard, name: str, answer: calls.Answer
    ) -> None:
        """Store an answer in the background."""
        if (
            len(answer.body)
            > shard.journal.record_limit - ANSWER_OVERHEAD_BYTES
        ):
            LOG.warning("Answer of call {} too large to store.", name)
            return
        self.pending[name] = answer
        self.spawn(self.append_answer(shard, name, answer))

    async def append_answer(
        self, shard: callshard.CallShard, name: str, answer: calls.Answer
    ) -> None:
        """Append an answer, repeatedly, until it is read back."""
        while True:
            try:
                await shard.append(
                    calls.ANSWER, calls.CallAnswer(name, answer)
                )
                break
            except Exception as error:
                log_failure(f"Answer of call {name} not stored", error)
                await asyncio.sleep(LOG_RETRY_PAUSE_S)
        del self.pending[name]

    def pending_bytes(self) -> int:
        """Return the size of the answers that are not yet stored."""
        return sum(len(answer.body) for answer in self.pending.values())

    def spawn(
        self, coroutine: Coroutine[Any, Any, Any]
    ) -> "asyncio.Task[Any]":
        """Run a coroutine in the background until it ends or ``stop``."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.on_task_done)
        return task

    def on_task_done(self, task: "asyncio.Task[Any]") -> None:
        """Remove a finished task and mark its exception as retrieved."""
        self.tasks.discard(task)
        if not task.cancelled():
            task.exception()

    def in_flight(self) -> list[str]:
        return [f"answer of {name} is not kept" for name in self.pending]

    async def drain(self) -> None:
        # Wait for answers to be stored: a retry of a call whose answer is lost
        # is refused with ran "unknown".
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self.context.config.entry.drain_s):
                while self.tasks:
                    await asyncio.wait(set(self.tasks))
        await asyncio.gather(*(s.owner.release() for s in self.shards))

    async def stop(self) -> None:
        for task in list(self.tasks):
            task.cancel()
        for shard in self.shards:
            await shard.stop()
        self.forwarder.stop()


def log_failure(what: str, error: Exception) -> None:
    """Log a failure behind which the work is repeated."""
    if isinstance(error, errors.CamphortrayError):
        LOG.warning("{}: {}", what, error)
    else:
        LOG.error("{}: {}", what, "".join(traceback.format_exception(error)))
