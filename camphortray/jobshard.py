"""Access of one host to a shard of jobs: appends, reads and a read cache."""

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

# Time-out of the append of one record.
APPEND_TIMEOUT_S = 10.0
# Size limit of the record cache that all shards of a host share.
MAX_CACHE_BYTES = 16_777_216


class RecordCache:
    """LRU cache of records, bounded by their total size.

    The log returns a page of records per read; without the cache, readers of
    adjacent results would fetch the same page repeatedly.
    """

    def __init__(self, limit_bytes: int = MAX_CACHE_BYTES) -> None:
        self.limit_bytes = limit_bytes
        self.size_bytes = 0
        self.held: collections.OrderedDict[tuple[str, int], bytes] = (
            collections.OrderedDict()
        )

    def put(self, stream: str, offset: int, body: bytes) -> None:
        """Add a record and evict the least recently used ones if needed."""
        key = (stream, offset)
        if key not in self.held:
            self.held[key] = body
            self.size_bytes += len(body)
        while self.size_bytes > self.limit_bytes and len(self.held) > 1:
            _, evicted = self.held.popitem(last=False)
            self.size_bytes -= len(evicted)

    def get(self, stream: str, offset: int) -> bytes | None:
        """Return a record, or None if it is not cached."""
        body = self.held.get((stream, offset))
        if body is not None:
            self.held.move_to_end((stream, offset))
        return body


class JobShard:
    """One shard of jobs: its journal, its ownership and its records.

    Attributes:
      number: Number of the shard.
      uploads: Number of uploads started by this process.
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
        self, kind: str, body: Any, timeout_s: float = APPEND_TIMEOUT_S
    ) -> folds.Outcome:
        """Append a record in the current epoch; see ``Journal.append``."""
        return await self.journal.append(
            kind,
            msgspec.to_builtins(body, builtin_types=(bytes,)),
            self.owner.epoch,
            timeout_s,
        )

    async def read(self, offset: int) -> records.Record:
        """Return a record of the stream from the cache or the log.

        Raises:
          LogError: the log does not answer or has discarded the record.
        """
        stream = self.journal.stream
        body = self.cache.get(stream, offset)
        if body is None:
            page = await self.journal.service.read(stream, offset)
            self.cache_page(page)
            body = page.records[0].body
        return records.decode(body)

    def cache_page(self, page: log.Page) -> None:
        """Cache a page of records, but no more than half of the cache size.

        So the later records cannot evict the first, which was requested.
        """
        size = 0
        for record in page.records:
            size += len(record.body)
            if size > self.cache.limit_bytes // 2:
                break
            self.cache.put(self.journal.stream, record.offset, record.body)

    async def wait_for_epoch_change(self, epoch: int) -> None:
        """Wait until ``epoch`` is no longer the current epoch."""
        changed = asyncio.Event()

        def check(outcome: folds.Outcome) -> None:
            if self.owner.epoch != epoch:
                changed.set()

        self.journal.listen(check)
        try:
            await changed.wait()
        finally:
            self.journal.listeners.remove(check)

    async def catch_up(self, timeout_s: float = 2.0) -> None:
        """Wait until the fold has reached the present end of the log.

        Raises:
          LogError: the log does not answer.
        """
        held = self.journal
        page = await held.service.read(held.stream, held.fold.next)
        reached = asyncio.Event()

        def check(outcome: folds.Outcome) -> None:
            if held.fold.next >= page.next:
                reached.set()

        if held.fold.next >= page.next:
            return
        held.listen(check)
        try:
            async with asyncio.timeout(timeout_s):
                await reached.wait()
        except TimeoutError:
            raise errors.LogUnavailable(
                "not caught up", step="read", peer=held.stream
            ) from None
        finally:
            held.listeners.remove(check)
