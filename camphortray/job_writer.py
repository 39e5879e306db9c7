"""Writes the lines of an uploaded job or file to the log in chunks."""

__all__ = ["JobWriter", "Taken"]

from collections.abc import AsyncIterator
import dataclasses

import xxhash

from camphortray import config as configs
from camphortray import errors
from camphortray import job_reader
from camphortray import jobs
from camphortray import jobshard
from camphortray import logs

LOG = logs.logger("jobs")
# Target size of the items in one record, unless the log's limit is lower.
CHUNK_BYTES = 262_144
# Upper bound of the encoding overhead of an item in a record.
ITEM_OVERHEAD_BYTES = 8
# How long an append of a drop record may take.
DROP_TIMEOUT_S = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class Taken:
    """Summary of a complete upload.

    Attributes:
      upload: Number of the upload on its shard.
      count: Number of items.
      size: Bytes of all items, each with a newline.
      digest: Hash of all items, each with a newline.
    """

    upload: int
    count: int
    size: int
    digest: str


class JobWriter:
    """One upload; its chunks have no effect until the job is accepted.

    Attributes:
      store: Whether to write chunks; if not, the items are only counted and
        hashed, to compare them with a job that exists already.
      limit: Bytes of items after which a chunk is written.
    """

    def __init__(
        self,
        shard: jobshard.JobShard,
        job: str,
        streams: configs.StreamConfig,
        *,
        check: job_reader.LineCheck,
        max_items: int,
        store: bool = True,
    ) -> None:
        self.shard = shard
        self.job = job
        self.store = store
        self.max_items = max_items
        # A chunk and one more item together stay below the limit.
        self.limit = min(CHUNK_BYTES, streams.record_limit_bytes // 3)
        self.reader = job_reader.LineReader(check, self.limit)
        self.digest = xxhash.xxh3_128()
        shard.uploads += 1
        self.upload = shard.uploads
        self.count = 0
        self.size = 0
        self.buffered: list[bytes] = []
        self.buffered_bytes = 0
        self.chunks_written = 0

    async def take(self, body: AsyncIterator[bytes]) -> Taken:
        """Read a whole body and write its items.

        Raises:
          Refused: A line is invalid, there are no or too many items, or the
            log does not accept them; nothing was accepted.
        """
        try:
            async for data in body:
                for _, item in self.reader.feed(data):
                    await self.add(item)
            for _, item in self.reader.feed(b"", last=True):
                await self.add(item)
            if self.buffered:
                await self.flush()
            if not self.count:
                raise errors.Refused(400, "empty", "no items", field="(body)")
        except BaseException:
            await self.drop()
            raise
        return Taken(
            self.upload, self.count, self.size, self.digest.hexdigest()
        )

    async def add(self, item: bytes) -> None:
        """Add one item; write a chunk if the limit is reached."""
        self.count += 1
        if self.count > self.max_items:
            raise errors.Refused(
                413,
                "too_many_items",
                f"more than {self.max_items} items",
                field=f"line {self.reader.number}",
            )
        self.size += len(item) + 1
        self.digest.update(item + b"\n")
        if not self.store:
            return
        self.buffered.append(item)
        self.buffered_bytes += len(item) + ITEM_OVERHEAD_BYTES
        if self.buffered_bytes >= self.limit:
            await self.flush()

    async def flush(self) -> None:
        """Write the buffered items as a chunk and wait for its read-back."""
        if not self.store:
            return
        first = self.count - len(self.buffered)
        chunk = jobs.JobChunk(
            self.job, self.upload, first, tuple(self.buffered)
        )
        self.buffered, self.buffered_bytes = [], 0
        try:
            outcome = await self.shard.append(jobs.CHUNK, chunk)
        except errors.LogError as error:
            # No accept record was written, so no item of the job can run.
            raise no_log(error) from error
        if not outcome.valid:
            raise errors.Refused(
                503,
                "owner_changed",
                f"chunk is void: {outcome.verdict.value} {outcome.reason}",
                retry_after=1,
            )
        self.chunks_written += 1

    async def drop(self) -> None:
        """Write a record that makes the fold forget the chunks."""
        if not self.chunks_written:
            return
        drop = jobs.JobDrop(self.job, self.upload)
        try:
            await self.shard.append(jobs.DROP, drop, DROP_TIMEOUT_S)
        except errors.LogError as error:
            # The fold clears the upload at the next epoch.
            LOG.info(
                "Chunks of the upload of job or file {} were not dropped: {}",
                self.job,
                error,
            )


def no_log(error: errors.LogError) -> errors.Refused:
    """Return the refusal of new work while the log is unavailable."""
    return errors.Refused(503, "log_down", str(error), retry_after=5)
