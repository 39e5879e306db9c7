"""Keeps a stream readable although the log forgets its records."""

__all__ = ["Compactor"]

import asyncio
from collections.abc import Callable

import msgspec

from camphortray import errors
from camphortray import fold as folds
from camphortray import journal
from camphortray import logs
from camphortray import records
from camphortray import snapshot
from camphortray import tasks

LOG = logs.logger("compaction")
# Looks at a stream in one retention, and their longest distance in
# seconds.
LOOKS = 40
MAX_LOOK_S = 15.0
APPEND_S = 10.0


class Compactor(tasks.Background):
    """Writes snapshots of a stream and carries needed records forward.

    Attributes:
      journal: The stream.
      wall: Gives seconds since 1970, as the log's times are.
      rank: Gives 0 if this host should write snapshots, a higher number
        if only after others failed to, or None if it should not.
      epoch: Gives the epoch this host owns, or ``NO_EPOCH``; only an
        owner carries records forward.
      lost: Needed records that the log had forgotten; never any while
        the log is down for less than half of its retention.
    """

    def __init__(
        self,
        held: journal.Journal,
        retention_s: float,
        wall: Callable[[], float],
        rank: Callable[[], int | None],
        epoch: Callable[[], int] = lambda: records.NO_EPOCH,
    ) -> None:
        super().__init__()
        self.journal = held
        self.pace = snapshot.Pace(retention_s)
        self.wall = wall
        self.rank = rank
        self.epoch = epoch
        self.lost: set[int] = set()
        self.look_s = min(retention_s / LOOKS, MAX_LOOK_S)

    async def run(self) -> None:
        """Do what is due, for ever."""
        await self.journal.caught_up.wait()
        while True:
            try:
                await self.look()
            except errors.LogError as error:
                # Half of the retention is left for trying again.
                LOG.warning("{}: {}", self.journal.stream, error)
            await asyncio.sleep(self.look_s)

    async def look(self) -> None:
        """Do what is due now.

        Raises:
          LogError: the log cannot be reached.
        """
        if self.epoch() != records.NO_EPOCH:
            await self.carry_forward()
        rank = self.rank()
        if rank is not None and self.pace.due(self.need(), rank):
            await self.write_snapshot()

    def need(self) -> snapshot.Need:
        """Return what the decision to write a snapshot looks at."""
        held = self.journal
        # A stream without records has nothing to lose.
        age_s = self.wall() - held.kept_at if held.kept_at else 0.0
        return snapshot.Need(
            age_s, held.since_records, held.since_bytes, held.snapshot_bytes
        )

    async def write_snapshot(self) -> None:
        """Append a snapshot of the state as it is now.

        Raises:
          LogError: not all of it was read back; a reader ignores the
            rest.
        """
        held = self.journal
        parts = snapshot.split(held.fold.snapshot(), held.record_limit)
        for part in parts:
            body = msgspec.to_builtins(part, builtin_types=(bytes,))
            await held.append(folds.SNAPSHOT, body, timeout_s=APPEND_S)
        LOG.info(
            "{}: snapshot up to {} in {} records.",
            held.stream,
            parts[0].covers,
            len(parts),
        )

    async def carry_forward(self) -> None:
        """Append anew what is needed and comes near the limit.

        Raises:
          LogError: the log cannot be reached.
        """
        oldest = min(self.needed(), default=None)
        if oldest is None or not await self.carry(oldest):
            return
        for offset in sorted(self.needed()):
            if not await self.carry(offset):
                return

    def needed(self) -> set[int]:
        """Return offsets of needed records that the log may still have."""
        return set(self.journal.fold.needed()) - self.lost

    async def carry(self, offset: int) -> bool:
        """Carry one record forward; return False if it is young yet."""
        held = self.journal
        try:
            page = await held.service.read(held.stream, offset)
        except errors.LogTruncated:
            self.lost.add(offset)
            LOG.error("{}: needed record {} is gone.", held.stream, offset)
            return True
        if not page.records:
            return False
        entry = page.records[0]
        limit_s = self.pace.retention_s * snapshot.DUE_SHARE
        if self.wall() - entry.time < limit_s:
            return False
        made = held.fold.carry(offset, records.decode(entry.body))
        if made is not None and self.epoch() != records.NO_EPOCH:
            await held.append(*made, self.epoch(), APPEND_S)
        return True
