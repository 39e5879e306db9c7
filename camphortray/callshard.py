"""One shard of non-idempotent calls on one host."""

__all__ = ["CallShard"]

import asyncio
import contextlib
from typing import Any

import msgspec

from camphortray import calls
from camphortray import clock as clocks
from camphortray import compaction
from camphortray import errors
from camphortray import fold as folds
from camphortray import journal
from camphortray import logs
from camphortray import ownership
from camphortray import records
from camphortray import takeover
from camphortray import tasks

LOG = logs.logger("calls")
# From one look for calls to forget to the next, in seconds.
FORGET_S = 30.0
# Calls forgotten by one record.
FORGET_CALLS = 1000
APPEND_S = 5.0


class CallShard:
    """The fold of a ``calls.N``, followed, owned and kept short."""

    def __init__(
        self,
        held: journal.Journal,
        roster: ownership.Roster,
        retention_s: float,
        clock: clocks.Clock,
    ) -> None:
        self.journal = held
        self.clock = clock
        self.owner = ownership.Owner(held, roster)
        self.compactor = compaction.Compactor(
            held, retention_s, clock.wall, self.snapshot_rank
        )
        self.task: asyncio.Task[None] | None = None
        self.news = asyncio.Event()
        held.listen(self.on_outcome)

    @property
    def fold(self) -> calls.CallsFold:
        """State of the shard."""
        fold = self.journal.fold
        assert isinstance(fold, calls.CallsFold)
        return fold

    def snapshot_rank(self) -> int:
        """Let the owner write snapshots, others if it does not."""
        return 0 if self.owner.owned else self.owner.rank() + 1

    def start(self) -> None:
        """Follow, own and tidy."""
        self.journal.start()
        self.owner.start()
        self.compactor.start()
        self.task = asyncio.get_running_loop().create_task(
            tasks.forever("tidying of calls", self.tidy)
        )

    async def append(
        self, kind: str, body: Any, timeout_s: float = APPEND_S
    ) -> folds.Outcome:
        """Append a record; see ``Journal.append``."""
        plain = msgspec.to_builtins(body, builtin_types=(bytes,))
        return await self.journal.append(
            kind, plain, self.owner.epoch, timeout_s
        )

    async def sync(self, timeout_s: float) -> None:
        """Read on to the end of the log, if it can be reached in time."""
        with contextlib.suppress(errors.LogError, TimeoutError):
            async with asyncio.timeout(timeout_s):
                await self.journal.sync()

    def on_outcome(self, outcome: folds.Outcome) -> None:
        """Wake those that wait for an answer."""
        news, self.news = self.news, asyncio.Event()
        news.set()

    async def answer(self, name: str, timeout_s: float) -> calls.Answer | None:
        """Wait for the answer of a call.

        Returns:
          The answer, or None if it stays away or the claim was given
          back.
        """
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                while name in self.fold.calls:
                    if self.fold.calls[name].answer is not None:
                        break
                    await self.news.wait()
        call = self.fold.calls.get(name)
        return call.answer if call is not None else None

    async def tidy(self) -> None:
        """Forget calls whose keeping time is over."""
        while True:
            await asyncio.sleep(FORGET_S)
            try:
                await self.forget()
            except errors.LogError as error:
                LOG.warning("{}: {}", self.journal.stream, error)

    async def forget(self) -> None:
        """Forget what has expired, if this host owns the shard.

        Raises:
          LogError: the log cannot be reached.
        """
        if not self.owner.owned:
            return
        expired = self.fold.expired(self.clock.wall(), self.lost, FORGET_CALLS)
        if expired.calls:
            await self.append(calls.FORGET, expired)

    def lost(self, claimer: records.Writer) -> bool:
        """Return whether a claimer is certainly not at work on a call."""
        writer = self.journal.writer
        if claimer.name == writer.name:
            return claimer.incarnation < writer.incarnation
        return self.owner.liveness(claimer) is not takeover.Liveness.LIVE

    async def stop(self) -> None:
        """Stop all."""
        if self.task is not None:
            self.task.cancel()
        await self.compactor.stop()
        await self.owner.stop()
        await self.journal.stop()
