"""Runs non-idempotent calls at most once over the whole fleet.

A call is claimed in ``calls.N`` and read back before it is dispatched,
and only its claimer may ever dispatch it. What stands in the log decides;
a claim that was given up is never dispatched, and is given back when it
turns out to have landed.
"""

__all__ = ["AtMostOnce"]

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Coroutine
import contextlib
import dataclasses
from typing import Any
from typing import ClassVar

from camphortray import append_forwarder
from camphortray import backends
from camphortray import callrequest
from camphortray import calls
from camphortray import callshard
from camphortray import claim_probe
from camphortray import config as configs
from camphortray import errors
from camphortray import grouping
from camphortray import journal
from camphortray import kernel
from camphortray import logs
from camphortray import membership
from camphortray import ownership
from camphortray import peers
from camphortray import records
from camphortray import shards

LOG = logs.logger("calls")
# Longest that a claim may take, in seconds.
CLAIM_S = 3.0
# Longest that a resend waits for what the log holds now, in seconds.
SYNC_S = 1.0
# Longest that a resend waits for the answer of a call that another host
# appears to be running, in seconds.
RESEND_S = 5.0
PAUSE_S = 1.0
APPEND_S = 5.0
# Bytes of answers not yet kept beyond which no new call is taken.
MAX_PENDING_BYTES = 16_777_216
# Bytes of a record left for what encloses an answer's body.
OVERHEAD_BYTES = 8192

Send = Callable[[], Awaitable[calls.Answer]]


@dataclasses.dataclass(frozen=True, slots=True)
class Running:
    """A call under way on this host.

    Attributes:
      digest: Of its request.
      task: Ends with its answer.
    """

    digest: str
    task: "asyncio.Task[calls.Answer]"


@kernel.PARTS.register("entry")
class AtMostOnce(kernel.Part):
    """Claims calls, dispatches them once, keeps their answers.

    Attributes:
      active: Calls that a request is claiming or running here, by name.
      given_up: Names of calls whose claim this process gave up and whose
        fate is not settled yet; it dispatches none of them.
      pending: Answers not yet kept, by name.
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
        service = context.part(backends.Backends).log
        self.courier = append_forwarder.AppendForwarder(
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
            shard.journal.send = self.courier.send
        self.active: dict[str, Running] = {}
        self.watch = claim_probe.ClaimProbes(
            context.part(peers.Peers),
            self.members,
            self.writer,
            lambda name: name in self.active or name in self.pending,
        )
        self.given_up: set[str] = set()
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
        """Look anew at who owns what."""
        for shard in self.shards:
            shard.owner.wake()

    def grouping_host(self, stream: str) -> configs.Address | None:
        """Return the peer that groups a stream, None if it is this one."""
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

        Once claimed it goes on when its caller goes away, so that the
        answer is kept for a resend.

        Args:
          request: The call.
          send: Dispatches it; raises ``UpstreamError`` or ``Refused``,
            from which it must be clear whether it may have run.

        Returns:
          The answer, of this run or kept from the one before.

        Raises:
          Refused: ``ran`` is "no" only if this call never was and never
            will be dispatched by this request.
        """
        running = self.active.get(request.name)
        if running is None:
            running = self.begin(request, send)
        elif running.digest != request.digest:
            raise callrequest.other_request()
        # A resend shares the end of the call that is under way.
        return await asyncio.shield(running.task)

    async def run_for_caller(
        self, request: callrequest.CallRequest, send: Send
    ) -> calls.Answer:
        """Run a call as ``run`` does, but cancel it with its caller.

        For an answer that is streamed to its caller meanwhile. ``send``
        must turn a cancel before anything was sent into a ``Refused``
        that says so; after any other the claim stays.
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
        """Claim, dispatch and keep."""
        shard = self.shard_of(request)
        if request.name in self.given_up:
            raise callrequest.unconfirmed("an earlier claim is not settled")
        held = shard.fold.calls.get(request.name)
        if held is None:
            held = await self.claim(shard, request)
        if held is not None:
            return await self.resend(shard, request, held)
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
        """Claim a call; return the call that was there before, if any.

        Raises:
          Refused: the claim could not be read back.
        """
        if self.pending_bytes() > MAX_PENDING_BYTES:
            raise callrequest.unconfirmed("too many answers wait for the log")
        now = self.context.clock.wall()
        body = calls.CallClaim(
            request.name, request.digest, now, request.keep_s
        )
        try:
            outcome = await shard.append(calls.CLAIM, body, CLAIM_S)
        except errors.LogRefused as error:
            raise callrequest.unconfirmed(str(error)) from error
        except errors.LogError as error:
            # It may land yet; from now on it is never dispatched.
            self.give_back(shard, request.name)
            raise callrequest.unconfirmed(str(error)) from error
        except asyncio.CancelledError:
            self.give_back(shard, request.name)
            raise
        standing = shard.fold.standing(request.name, outcome)
        if standing is calls.Standing.VOID:
            raise callrequest.unconfirmed(
                outcome.reason or "the claim does not stand"
            )
        if standing is calls.Standing.OTHER:
            return shard.fold.calls[request.name]
        return None

    async def settle(self, shard: callshard.CallShard, name: str) -> None:
        """Find out what became of a claim given up; give it back."""
        while True:
            try:
                await shard.journal.settle(APPEND_S)
                held = shard.fold.calls.get(name)
                if held is not None and held.writer == self.writer:
                    await shard.append(calls.ABANDON, calls.CallAbandon(name))
                break
            except errors.LogError as error:
                LOG.warning("Claim of {} not settled: {}", name, error)
                await asyncio.sleep(PAUSE_S)
        self.given_up.discard(name)

    async def resend(
        self,
        shard: callshard.CallShard,
        request: callrequest.CallRequest,
        held: calls.Call,
    ) -> calls.Answer:
        """Answer a call that was claimed before.

        Raises:
          Refused: it is another request, or there is no answer.
        """
        if held.digest != request.digest:
            raise callrequest.other_request()
        answer = held.answer or self.pending.get(request.name)
        if answer is None:
            await shard.sync(SYNC_S)
            answer = await self.answer_of_other(shard, request.name, held)
        if answer is None:
            raise callrequest.no_answer("no answer is known")
        return answer

    async def answer_of_other(
        self, shard: callshard.CallShard, name: str, held: calls.Call
    ) -> calls.Answer | None:
        """Return an answer that is not in the log yet, if one comes."""
        if held.writer != self.writer:
            if await self.watch.at_work(held.writer, name):
                return await shard.answer(name, RESEND_S)
            # It may have been written while the claimer was asked.
            await shard.sync(SYNC_S)
        call = shard.fold.calls.get(name)
        return call.answer if call is not None else None

    async def dispatch(
        self,
        shard: callshard.CallShard,
        request: callrequest.CallRequest,
        send: Send,
    ) -> calls.Answer:
        """Send a claimed call, once, and keep its answer.

        Raises:
          Refused: it failed; the claim is given back if it did not run.
        """
        try:
            answer = await send()
        except errors.UpstreamError as error:
            if not error.ran:
                self.give_back(shard, request.name)
            raise errors.Refused(
                502,
                "upstream_failed",
                str(error),
                ran="unknown" if error.ran else "no",
                retry_after=None if error.ran else 1,
            ) from error
        except errors.Refused as refusal:
            if refusal.ran == "no":
                self.give_back(shard, request.name)
            raise
        self.keep(shard, request.name, answer)
        return answer

    def give_back(self, shard: callshard.CallShard, name: str) -> None:
        """Let a resend claim a call that was not run."""
        self.given_up.add(name)
        self.spawn(self.settle(shard, name))

    def keep(
        self, shard: callshard.CallShard, name: str, answer: calls.Answer
    ) -> None:
        """Keep an answer; its caller does not wait for that."""
        if len(answer.body) > shard.journal.record_limit - OVERHEAD_BYTES:
            LOG.warning("Answer of {} is too large to keep.", name)
            return
        self.pending[name] = answer
        self.spawn(self.keep_on(shard, name, answer))

    async def keep_on(
        self, shard: callshard.CallShard, name: str, answer: calls.Answer
    ) -> None:
        """Append an answer until it is read back."""
        while True:
            try:
                await shard.append(
                    calls.ANSWER, calls.CallAnswer(name, answer)
                )
                break
            except errors.LogError as error:
                LOG.warning("Answer of {} not kept yet: {}", name, error)
                await asyncio.sleep(PAUSE_S)
        del self.pending[name]

    def pending_bytes(self) -> int:
        """Return the bytes of answers that wait for the log."""
        return sum(len(answer.body) for answer in self.pending.values())

    def spawn(self, work: Coroutine[Any, Any, Any]) -> "asyncio.Task[Any]":
        """Run work in the background until done or stopped."""
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.finished)
        return task

    def finished(self, task: "asyncio.Task[Any]") -> None:
        """Forget a task; its caller, if still there, has its error."""
        self.tasks.discard(task)
        if not task.cancelled():
            task.exception()

    def in_flight(self) -> list[str]:
        return [f"answer of {name} is not kept" for name in self.pending]

    async def drain(self) -> None:
        # An answer not kept would be told as unknown to a resend.
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
        self.courier.stop()
