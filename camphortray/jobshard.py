"""One shard of jobs as a host sees it."""

__all__ = ["JobShard", "RecordCache"]

import asyncio
import collections
from typing import Any

import msgspec

from camphortray import errors
from camphortray import fold as folds
from camphortray import jobs
from camphortray import journal
from camphortray import log
from camphortray import ownership
from camphortray import records

APPEND_S = 10.0
# Bytes of records kept for readers, over all shards of a host.
CACHE_BYTES = 16_777_216


class RecordCache:
    """Records read lately, bounded by their bytes.

    The log gives a page of records at a time; readers of neighbouring
    results would otherwise ask for the same page again and again.
    """

    def __init__(self, limit: int = CACHE_BYTES) -> None:
        self.limit = limit
        self.size = 0
        self.held: collections.OrderedDict[tuple[str, int], bytes] = (
            collections.OrderedDict()
        )

    def put(self, stream: str, offset: int, body: bytes) -> None:
        """Keep a record; the one used longest ago goes."""
        key = (stream, offset)
        if key not in self.held:
            self.held[key] = body
            self.size += len(body)
        while self.size > self.limit and len(self.held) > 1:
            _, gone = self.held.popitem(last=False)
            self.size -= len(gone)

    def get(self, stream: str, offset: int) -> bytes | None:
        """Return a record if it is kept."""
        body = self.held.get((stream, offset))
        if body is not None:
            self.held.move_to_end((stream, offset))
        return body


class JobShard:
    """One shard: its journal, whether this host owns it, its records.

    Attributes:
      number: Of the shard.
      uploads: Takings begun by this process.
    """

    def __init__(
        self,
        number: int,
        held: journal.Journal,
        owner: ownership.Owner,
        cache: RecordCache,
    ) -> None:
        self.number = number
        self.journal = held
        self.owner = owner
        self.cache = cache
        self.uploads = 0

    @property
    def fold(self) -> jobs.JobsFold:
        """State of the shard."""
        fold = self.journal.fold
        assert isinstance(fold, jobs.JobsFold)
        return fold

    async def append(
        self, kind: str, body: Any, timeout_s: float = APPEND_S
    ) -> folds.Outcome:
        """Append a record in the epoch in force; see ``Journal.append``."""
        return await self.journal.append(
            kind,
            msgspec.to_builtins(body, builtin_types=(bytes,)),
            self.owner.epoch,
            timeout_s,
        )

    async def read(self, offset: int) -> records.Record:
        """Return a record of the stream again.

        Raises:
          LogError: the log does not answer or holds it no more.
        """
        stream = self.journal.stream
        body = self.cache.get(stream, offset)
        if body is None:
            page = await self.journal.service.read(stream, offset)
            self.keep(page)
            body = page.records[0].body
        return records.decode(body)

    def keep(self, page: log.Page) -> None:
        """Keep a page, the record asked for as the newest."""
        size = 0
        for held in page.records:
            size += len(held.body)
            if size > self.cache.limit // 2:
                break
            self.cache.put(self.journal.stream, held.offset, held.body)

    async def epoch_after(self, epoch: int) -> None:
        """Wait until another epoch is in force."""
        changed = asyncio.Event()

        def look(outcome: folds.Outcome) -> None:
            if self.owner.epoch != epoch:
                changed.set()

        self.journal.listen(look)
        try:
            await changed.wait()
        finally:
            self.journal.listeners.remove(look)

    async def catch_up(self, timeout_s: float = 2.0) -> None:
        """Wait until all that the log holds now is applied.

        Raises:
          LogError: the log does not answer.
        """
        held = self.journal
        page = await held.service.read(held.stream, held.fold.next)
        reached = asyncio.Event()

        def look(outcome: folds.Outcome) -> None:
            if held.fold.next >= page.next:
                reached.set()

        if held.fold.next >= page.next:
            return
        held.listen(look)
        try:
            async with asyncio.timeout(timeout_s):
                await reached.wait()
        except TimeoutError:
            raise errors.LogUnavailable(
                "not caught up", step="read", peer=held.stream
            ) from None
        finally:
            held.listeners.remove(look)
