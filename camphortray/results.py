"""Reads results of a job out of the log, in bounded memory."""

__all__ = ["ResultReader"]

import collections
from collections.abc import AsyncIterator
from collections.abc import Iterator

from camphortray import errors
from camphortray import jobs
from camphortray import jobshard
from camphortray import records

# Decoded records that one reader keeps.
KEPT = 8


class ResultReader:
    """Reads the results of one job, as far as they are there.

    Each result comes with a cursor; a later reader that is given the
    cursor goes on behind it.
    """

    def __init__(self, shard: jobshard.JobShard, job: jobs.Job) -> None:
        self.shard = shard
        self.job = job
        self.kept: collections.OrderedDict[int, dict[int, jobs.ItemResult]] = (
            collections.OrderedDict()
        )

    async def record(self, number: int) -> dict[int, jobs.ItemResult]:
        """Return the results that count in a record, by item."""
        held = self.kept.get(number)
        if held is not None:
            self.kept.move_to_end(number)
            return held
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
                # The first one in the record is the one that counted.
                found.setdefault(result.item, result)
        self.kept[number] = found
        if len(self.kept) > KEPT:
            self.kept.popitem(last=False)
        return found

    async def in_order(
        self, after: int = -1
    ) -> AsyncIterator[tuple[str, jobs.ItemResult]]:
        """Yield cursor and result by item.

        While the job runs this ends at the first item without a result,
        so that one who goes on from the cursor misses none.
        """
        for item in range(after + 1, self.job.accept.count):
            number = self.job.results[item]
            if number != jobs.NO_RESULT:
                yield str(item), (await self.record(number - 1))[item]
            elif self.job.status is jobs.JobStatus.RUNNING:
                return

    async def as_they_came(
        self, record: int = 0, place: int = -1
    ) -> AsyncIterator[tuple[str, jobs.ItemResult]]:
        """Yield cursor and result in the order in which they came."""
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
        """Return the results as a caller asks for them.

        Raises:
          Refused: ``order`` or ``after`` is wrong.
        """
        try:
            if order == "item":
                return self.in_order(int(after or -1))
            if order == "arrival":
                record, place = parts(after or "0.-1")
                return self.as_they_came(record, place)
        except ValueError:
            raise errors.Refused(
                400, "bad_field", f"no cursor {after!r}", field="after"
            ) from None
        raise errors.Refused(
            400, "bad_field", "order is item or arrival", field="order"
        )


def parts(cursor: str) -> Iterator[int]:
    """Return the numbers of a cursor in order of arrival."""
    record, place = cursor.split(".")
    return iter((int(record), int(place)))
