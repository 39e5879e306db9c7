"""Reads the results of a job from the log in bounded memory."""

__all__ = ["ResultReader"]

import collections
from collections.abc import AsyncIterator
from collections.abc import Iterator

from camphortray import errors
from camphortray import jobs
from camphortray import jobshard
from camphortray import records

# Decoded records that one reader caches.
MAX_CACHED_RECORDS = 8


class ResultReader:
    """Reads the results of one job that exist so far.

    Each result comes with a cursor, from which a later reader can continue
    with the next result.
    """

    def __init__(self, shard: jobshard.JobShard, job: jobs.Job) -> None:
        self.shard = shard
        self.job = job
        self.cache: collections.OrderedDict[
            int, dict[int, jobs.ItemResult]
        ] = collections.OrderedDict()

    async def record(self, number: int) -> dict[int, jobs.ItemResult]:
        """Return the valid results in a record of the job, by item.

        Args:
          number: Index in the job's ``records``.
        """
        cached = self.cache.get(number)
        if cached is not None:
            self.cache.move_to_end(number)
            return cached
        record = await self.shard.read(self.job.records[number])
        raw = record.body
        if record.kind == jobs.CARRY:
            raw = raw["body"]
        body = records.typed(raw, jobs.JobResults)
        found: dict[int, jobs.ItemResult] = {}
        for result in body.results:
            if (
                result.job == self.job.accept.job
                and self.job.results[result.item] == number + 1
            ):
                # Of an item's results in one record the first is valid.
                found.setdefault(result.item, result)
        self.cache[number] = found
        if len(self.cache) > MAX_CACHED_RECORDS:
            self.cache.popitem(last=False)
        return found

    async def in_order(
        self, after: int = -1
    ) -> AsyncIterator[tuple[str, jobs.ItemResult]]:
        """Yield cursor and result in order of items.

        While the job runs this ends at the first item without a result, so
        that a reader that continues from the cursor misses none.
        """
        for item in range(after + 1, self.job.accept.count):
            number = self.job.results[item]
            if number != jobs.NO_RESULT:
                yield str(item), (await self.record(number - 1))[item]
            elif self.job.status is jobs.JobStatus.RUNNING:
                return

    async def in_arrival_order(
        self, record: int = 0, place: int = -1
    ) -> AsyncIterator[tuple[str, jobs.ItemResult]]:
        """Yield cursor and result in order of arrival."""
        number = record
        while number < len(self.job.records):
            found = await self.record(number)
            for index, result in enumerate(found.values()):
                if number > record or index > place:
                    yield f"{number}.{index}", result
            number += 1

    def read(
        self, order: str, after: str
    ) -> AsyncIterator[tuple[str, jobs.ItemResult]]:
        """Return the results in an order, after a cursor.

        Args:
          order: ``item`` or ``arrival``.
          after: Cursor of the last result already read, or empty.

        Raises:
          Refused: ``order`` or ``after`` is invalid.
        """
        try:
            if order == "item":
                return self.in_order(int(after or -1))
            if order == "arrival":
                record, place = parse_cursor(after or "0.-1")
                return self.in_arrival_order(record, place)
        except ValueError:
            raise errors.Refused(
                400, "bad_field", f"no cursor {after!r}", field="after"
            ) from None
        raise errors.Refused(
            400, "bad_field", "order is item or arrival", field="order"
        )


def parse_cursor(cursor: str) -> Iterator[int]:
    """Return record number and place from a cursor in order of arrival."""
    record, place = cursor.split(".")
    return iter((int(record), int(place)))
