"""State of a batch job, an input file and an upload, as the fold has it."""

__all__ = [
    "InputFile",
    "Job",
    "JobStatus",
    "NO_RESULT",
    "Upload",
    "dump_job",
    "job_id",
    "load_job",
    "pairs",
    "shard_of",
]

import array
import dataclasses
import enum
from typing import Any
import zlib

import msgspec
import xxhash

from camphortray import jobrecords

# Entry in ``Job.results`` of an item without a result.
NO_RESULT = 0


class JobStatus(enum.StrEnum):
    """Whether a job runs or how it ended."""

    RUNNING = "running"
    FINISHED = "finished"
    CANCELLED = "cancelled"


def job_id(workspace: str, key: str) -> str:
    """Return the id of the job that a workspace submits under a key."""
    return xxhash.xxh3_128_hexdigest(f"{workspace}\0{key}".encode())


def shard_of(job: str, count: int) -> int:
    """Return the shard of a job or file, which depends on its id only.

    Only the leading 16 digits count, so that a batch can be given an id in
    the shard of its input file.

    >>> shard_of("00000000000000050000000000000000", 4)
    1
    """
    return int(job[:16], 16) % count


@dataclasses.dataclass(slots=True)
class Job:
    """One accepted job.

    Attributes:
      accept: Record that accepted the job.
      chunks: For each chunk the offset of its record and the index of its
        first item, in order.
      results: For each item the number of its result's record in
        ``records`` plus one, or ``NO_RESULT``; four bytes per item.
      records: Offsets of the records with results, in order of arrival.
      started: Epoch in which a non-idempotent item was started, by item.
      crashes: Number of upstream crashes, by item.
      done, failed, unknown: Number of items that ended with this status.
      cancelled: Whether it was cancelled.
      last_at: When its last result was written, seconds since 1970.
      ended_at: When it ended, seconds since 1970, or 0.
    """

    accept: jobrecords.JobAccept
    chunks: list[tuple[int, int]]
    results: "array.array[int]"
    records: "array.array[int]" = dataclasses.field(
        default_factory=lambda: array.array("q")
    )
    started: dict[int, int] = dataclasses.field(default_factory=dict)
    crashes: dict[int, int] = dataclasses.field(default_factory=dict)
    done: int = 0
    failed: int = 0
    unknown: int = 0
    cancelled: bool = False
    last_at: float = 0.0
    ended_at: float = 0.0

    @property
    def ended(self) -> int:
        """Number of items with a result."""
        return self.done + self.failed + self.unknown

    @property
    def status(self) -> JobStatus:
        """Status, derived from the results and the cancellation."""
        if self.cancelled:
            return JobStatus.CANCELLED
        if self.ended == self.accept.count:
            return JobStatus.FINISHED
        return JobStatus.RUNNING

    def has_result(self, item: int) -> bool:
        """Return whether an item has ended."""
        return self.results[item] != NO_RESULT

    def take(self, number: int, result: jobrecords.ItemResult) -> None:
        """Count the first result of an item, in ``records[number]``."""
        self.results[result.item] = number + 1
        self.started.pop(result.item, None)
        self.crashes.pop(result.item, None)
        if result.status == "done":
            self.done += 1
        elif result.status == "failed":
            self.failed += 1
        else:
            self.unknown += 1

    def move(self, of: int, offset: int) -> bool:
        """Refer to record ``of`` at ``offset``, where it was copied.

        Returns:
          Whether the job refers to the record.
        """
        moved = False
        for index, (current, first) in enumerate(self.chunks):
            if current == of:
                self.chunks[index] = (offset, first)
                moved = True
        if of in self.records:
            self.records[self.records.index(of)] = offset
            moved = True
        return moved


@dataclasses.dataclass(slots=True)
class InputFile:
    """A file stored for later batches.

    Attributes:
      accept: Record that accepted the file.
      chunks: As in ``Job``.
    """

    accept: jobrecords.FileAccept
    chunks: list[tuple[int, int]]


@dataclasses.dataclass(slots=True)
class Upload:
    """Chunks written before their job or file is accepted.

    Attributes:
      count: Number of items.
      chunks: As in ``Job``.
    """

    count: int = 0
    chunks: list[tuple[int, int]] = dataclasses.field(default_factory=list)


def pairs(raw: Any) -> list[tuple[int, int]]:
    """Return the chunks of a snapshot as pairs of offset and first item."""
    return [(offset, first) for offset, first in raw]


def dump_job(job: Job) -> dict[str, Any]:
    """Return a job as plain data for a snapshot."""
    return {
        "accept": dataclasses.asdict(job.accept),
        "chunks": [list(chunk) for chunk in job.chunks],
        "results": zlib.compress(job.results.tobytes(), 1),
        "records": list(job.records),
        "started": dict(job.started),
        "crashes": dict(job.crashes),
        "counts": [job.done, job.failed, job.unknown],
        "cancelled": job.cancelled,
        "times": [job.last_at, job.ended_at],
    }


def load_job(raw: dict[str, Any]) -> Job:
    """Build a job from the data that ``dump_job`` returned."""
    results = array.array("I")
    results.frombytes(zlib.decompress(raw["results"]))
    done, failed, unknown = raw["counts"]
    last_at, ended_at = raw["times"]
    return Job(
        msgspec.convert(raw["accept"], jobrecords.JobAccept),
        pairs(raw["chunks"]),
        results,
        array.array("q", raw["records"]),
        dict(raw["started"]),
        dict(raw["crashes"]),
        done,
        failed,
        unknown,
        raw["cancelled"],
        last_at,
        ended_at,
    )
