"""One host's replica of a shard of non-idempotent calls."""

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
# Interval between removals of expired calls, in seconds.
FORGET_INTERVAL_S = 30.0
# Maximum number of calls removed by one record.
MAX_FORGET_CALLS = 1000
# Time limit for an append to the log, in seconds.
APPEND_TIMEOUT_S = 5.0


class CallShard:
    """Reads a log ``calls.N``, competes to own it, and compacts it.

    Attributes:
      journal: Reads the log and appends to it.
      owner: Competes for the ownership of the shard.
      compactor: Writes snapshots and trims the log.
      task: Removes expired calls.
      changed: Set, and replaced by a new event, after each record read.
    """

    def __init__(
        self,
        log: journal.Journal,
        roster: ownership.Roster,
        retention_s: float,
        clock: clocks.Clock,
    ) -> None:
        self.journal = log
        self.clock = clock
        self.owner = ownership.Owner(log, roster)
        self.compactor = compaction.Compactor(
            log, retention_s, clock.wall, self.snapshot_rank
        )
        self.task: asyncio.Task[None] | None = None
        self.changed = asyncio.Event()
        log.listen(self.on_outcome)

    @property
    def fold(self) -> calls.CallsFold:
        """The calls of the shard."""
        fold = self.journal.fold
        assert isinstance(fold, calls.CallsFold)
        return fold

    def snapshot_rank(self) -> int:
        """Return this host's rank among writers of snapshots.

        The owner has rank 0; the others write one only if it does not.
        """
        return 0 if self.owner.owned else self.owner.rank() + 1

    def start(self) -> None:
        """Start reading, competing for ownership, and compacting."""
        self.journal.start()
        self.owner.start()
        self.compactor.start()
        self.task = asyncio.get_running_loop().create_task(
            tasks.forever("removal of expired calls", self.forget_regularly)
        )

    async def append(
        self, kind: str, body: Any, timeout_s: float = APPEND_TIMEOUT_S
    ) -> folds.Outcome:
        """Append a record under the current epoch; see ``Journal.append``."""
        fields = msgspec.to_builtins(body, builtin_types=(bytes,))
        return await self.journal.append(
            kind, fields, self.owner.epoch, timeout_s
        )

    async def sync(self, timeout_s: float) -> None:
        """Read the log to its end, unless that fails or times out."""
        with contextlib.suppress(errors.LogError, TimeoutError):
            async with asyncio.timeout(timeout_s):
                await self.journal.sync()

    def on_outcome(self, outcome: folds.Outcome) -> None:
        """Wake the waiters in ``answer``."""
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    async def answer(self, name: str, timeout_s: float) -> calls.Answer | None:
        """Wait for the answer of a call.

        Returns:
          The answer, or None if the wait timed out or the call was
          removed.
        """
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                while name in self.fold.calls:
                    if self.fold.calls[name].answer is not None:
                        break
                    await self.changed.wait()
        call = self.fold.calls.get(name)
        return call.answer if call is not None else None

    async def forget_regularly(self) -> None:
        """Remove expired calls at regular intervals."""
        while True:
            await asyncio.sleep(FORGET_INTERVAL_S)
            try:
                await self.forget()
            except errors.LogError as error:
                LOG.warning(
                    "Expired calls of {} not removed: {}",
                    self.journal.stream,
                    error,
                )

    async def forget(self) -> None:
        """Remove expired calls, if this host owns the shard.

        Raises:
          LogError: the record was not appended.
        """
        if not self.owner.owned:
            return
        expired = self.fold.expired(
            self.clock.wall(), self.lost, MAX_FORGET_CALLS
        )
        if expired.calls:
            await self.append(calls.FORGET, expired)

    def lost(self, claimer: records.Writer) -> bool:
        """Return whether a claimer certainly runs no calls any more."""
        writer = self.journal.writer
        if claimer.name == writer.name:
            return claimer.incarnation < writer.incarnation
        return self.owner.liveness(claimer) is not takeover.Liveness.LIVE

    async def stop(self) -> None:
        """Stop all background work."""
        if self.task is not None:
            self.task.cancel()
        await self.compactor.stop()
        await self.owner.stop()
        await self.journal.stop()
