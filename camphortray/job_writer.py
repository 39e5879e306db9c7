"""Takes the lines of a job or file and writes them in chunks."""

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
# Most bytes of items in one record; smaller where the log allows less.
CHUNK_BYTES = 262_144
# What an item adds to a record besides its bytes, at most.
ITEM_OVERHEAD = 8
DROP_S = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class Taken:
    """What has been taken.

    Attributes:
      upload: Number of the upload.
      count: Items.
      size: Bytes of the lines with their ends.
      digest: Of all lines.
    """

    upload: int
    count: int
    size: int
    digest: str


class JobWriter:
    """One taking; nothing counts until the whole is accepted.

    Attributes:
      store: False only digests, for a job that is there already.
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
        self.held: list[bytes] = []
        self.held_bytes = 0
        self.written = 0

    async def take(self, body: AsyncIterator[bytes]) -> Taken:
        """Take a whole body.

        Raises:
          Refused: a line is no item, there are too many or none, or the
            log does not take them; nothing was accepted.
        """
        try:
            async for data in body:
                for _, item in self.reader.feed(data):
                    await self.add(item)
            for _, item in self.reader.feed(b"", last=True):
                await self.add(item)
            if self.held:
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
        """Add one item; write a chunk when there is enough."""
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
        self.held.append(item)
        self.held_bytes += len(item) + ITEM_OVERHEAD
        if self.held_bytes >= self.limit:
            await self.flush()

    async def flush(self) -> None:
        """Write a chunk and see it read back."""
        if not self.store:
            return
        first = self.count - len(self.held)
        chunk = jobs.JobChunk(self.job, self.upload, first, tuple(self.held))
        self.held, self.held_bytes = [], 0
        try:
            outcome = await self.shard.append(jobs.CHUNK, chunk)
        except errors.LogError as error:
            # No accept was written, so nothing of the job can ever run.
            raise no_log(error) from error
        if not outcome.valid:
            raise errors.Refused(
                503,
                "owner_changed",
                f"chunk is void: {outcome.verdict.value} {outcome.reason}",
                retry_after=1,
            )
        self.written += 1

    async def drop(self) -> None:
        """Let the fold forget the chunks."""
        if not self.written:
            return
        drop = jobs.JobDrop(self.job, self.upload)
        try:
            await self.shard.append(jobs.DROP, drop, DROP_S)
        except errors.LogError as error:
            # The next epoch clears it.
            LOG.info("Upload of {} not dropped: {}", self.job, error)


def no_log(error: errors.LogError) -> errors.Refused:
    """Return the refusal of new work while the log is away."""
    return errors.Refused(503, "log_down", str(error), retry_after=5)
