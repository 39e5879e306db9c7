"""Fold of ``jobs.N``: batch jobs, their items and their results.

The fold holds bitmaps and offsets, never bodies: those are read from
the log again when they are needed.
"""

__all__ = [
    "ItemResult",
    "Job",
    "JobAccept",
    "JobCancel",
    "JobChunk",
    "JobCrash",
    "JobForget",
    "JobResults",
    "JobStart",
    "JobStatus",
    "JobsFold",
    "job_id",
]

import array
import dataclasses
import enum
from typing import Any
from typing import Literal

import msgspec
import xxhash

from camphortray import fold as folds
from camphortray import records

CHUNK = "job.chunk"
ACCEPT = "job.accept"
RESULTS = "job.results"
START = "job.start"
CRASH = "job.crash"
CANCEL = "job.cancel"
FORGET = "job.forget"

NO_OFFSET = -1

ItemStatus = Literal["done", "failed", "unknown"]


class JobStatus(enum.StrEnum):
    """Where a job stands."""

    RUNNING = "running"
    FINISHED = "finished"
    CANCELLED = "cancelled"


def job_id(workspace: str, key: str) -> str:
    """Return the id of a workspace's job; the same key, the same job."""
    return xxhash.xxh3_128_hexdigest(f"{workspace}\0{key}".encode())


@dataclasses.dataclass(frozen=True, slots=True)
class JobChunk:
    """Some items of a job that is being taken.

    Attributes:
      job: Id of the job.
      upload: Number of this taking; two resends do not mix.
      first: Index of the first item.
      items: Bodies, one JSON object each.
    """

    job: str
    upload: int
    first: int
    items: tuple[bytes, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class JobAccept:
    """Makes a job of the chunks of one upload.

    Attributes:
      job: Id of the job.
      upload: Whose chunks.
      workspace: Who asked.
      key: The workspace's idempotency key.
      service: Which service runs it.
      count: Number of items.
      digest: Of all items, to tell another job under the same key.
      due: When it should be done, in seconds since 1970, or 0.
      keep_s: How long results are kept after the end.
      idempotent: Whether an item may be run again.
      path: Interface the items are for.
      taken_at: When it was taken, in seconds since 1970; for people.
    """

    job: str
    upload: int
    workspace: str
    key: str
    service: str
    count: int
    digest: str
    due: float = 0.0
    keep_s: float = 86400.0
    idempotent: bool = True
    path: str = "/v1/chat/completions"
    taken_at: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class ItemResult:
    """Result of one item."""

    job: str
    item: int
    status: ItemStatus
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class JobResults:
    """Results of items of any jobs of the shard, grouped."""

    results: tuple[ItemResult, ...]
    written_at: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class JobStart:
    """Says that non-idempotent items are about to be dispatched."""

    job: str
    items: tuple[int, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class JobCrash:
    """Says that an item was in flight alone when an upstream crashed."""

    job: str
    item: int


@dataclasses.dataclass(frozen=True, slots=True)
class JobCancel:
    """Stops a job; no later result counts."""

    job: str
    at: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class JobForget:
    """Ends the keeping time of a job."""

    job: str


@dataclasses.dataclass(slots=True)
class Job:
    """One accepted job.

    Attributes:
      accept: As accepted.
      chunks: Offset of the record and index of its first item, in order.
      results: Offset of the record with each item's result, or -1.
      started: Non-idempotent items dispatched, with the epoch.
      crashes: Crashes by item.
      done, failed, unknown: Numbers of items that ended so.
      cancelled: Whether it was cancelled.
      ended_at: When its last result was written, seconds since 1970.
    """

    accept: JobAccept
    chunks: tuple[tuple[int, int], ...]
    results: "array.array[int]"
    started: dict[int, int] = dataclasses.field(default_factory=dict)
    crashes: dict[int, int] = dataclasses.field(default_factory=dict)
    done: int = 0
    failed: int = 0
    unknown: int = 0
    cancelled: bool = False
    ended_at: float = 0.0

    @property
    def ended(self) -> int:
        """Number of items with a result."""
        return self.done + self.failed + self.unknown

    @property
    def status(self) -> JobStatus:
        """Where the job stands."""
        if self.cancelled:
            return JobStatus.CANCELLED
        if self.ended == self.accept.count:
            return JobStatus.FINISHED
        return JobStatus.RUNNING


@dataclasses.dataclass(slots=True)
class Upload:
    """Chunks taken before a job is accepted."""

    count: int = 0
    chunks: list[tuple[int, int]] = dataclasses.field(default_factory=list)


class JobsFold(folds.Fold):
    """All jobs of a shard, by id."""

    owned = frozenset({CHUNK, ACCEPT, RESULTS, START, CRASH, CANCEL, FORGET})

    def __init__(self) -> None:
        super().__init__()
        self.jobs: dict[str, Job] = {}
        self.uploads: dict[tuple[str, int], Upload] = {}
        self.forgotten: dict[str, int] = {}
        self.handlers.update(
            {
                CHUNK: self.on_chunk,
                ACCEPT: self.on_accept,
                RESULTS: self.on_results,
                START: self.on_start,
                CRASH: self.on_crash,
                CANCEL: self.on_cancel,
                FORGET: self.on_forget,
            }
        )

    def on_epoch(self, epoch: int) -> None:
        # Only the old owner could have finished them; resends come whole.
        self.uploads.clear()

    def on_chunk(self, offset: int, record: records.Record) -> None:
        """Take a chunk that follows the one before it."""
        chunk = records.typed(record.body, JobChunk)
        upload = self.uploads.setdefault((chunk.job, chunk.upload), Upload())
        if chunk.first != upload.count:
            raise folds.Refuse("chunk out of order")
        upload.chunks.append((offset, chunk.first))
        upload.count += len(chunk.items)

    def on_accept(self, offset: int, record: records.Record) -> None:
        """Accept a job whose chunks are all there."""
        accept = records.typed(record.body, JobAccept)
        upload = self.uploads.pop((accept.job, accept.upload), Upload())
        if accept.job in self.jobs:
            raise folds.Refuse("accepted before")
        if upload.count != accept.count:
            raise folds.Refuse("chunks are missing")
        self.jobs[accept.job] = Job(
            accept,
            tuple(upload.chunks),
            array.array("q", [NO_OFFSET]) * accept.count,
        )

    def on_results(self, offset: int, record: records.Record) -> None:
        """Count the first result of each item."""
        body = records.typed(record.body, JobResults)
        for result in body.results:
            job = self.jobs.get(result.job)
            if job is None or job.cancelled:
                continue
            if not 0 <= result.item < job.accept.count:
                continue
            if job.results[result.item] != NO_OFFSET:
                continue
            job.results[result.item] = offset
            job.started.pop(result.item, None)
            job.crashes.pop(result.item, None)
            setattr(job, result.status, getattr(job, result.status) + 1)
            if job.ended == job.accept.count:
                job.ended_at = body.written_at

    def on_start(self, offset: int, record: records.Record) -> None:
        """Note items about to be dispatched; each only once, ever."""
        start = records.typed(record.body, JobStart)
        job = self.running(start.job)
        if any(
            item in job.started or job.results[item] != NO_OFFSET
            for item in start.items
        ):
            raise folds.Refuse("started before")
        for item in start.items:
            job.started[item] = record.epoch

    def on_crash(self, offset: int, record: records.Record) -> None:
        """Count a crash."""
        crash = records.typed(record.body, JobCrash)
        job = self.running(crash.job)
        job.crashes[crash.item] = job.crashes.get(crash.item, 0) + 1

    def on_cancel(self, offset: int, record: records.Record) -> None:
        """Stop a job."""
        cancel = records.typed(record.body, JobCancel)
        job = self.running(cancel.job)
        job.cancelled = True
        job.ended_at = cancel.at

    def on_forget(self, offset: int, record: records.Record) -> None:
        """Drop a job that has ended."""
        forget = records.typed(record.body, JobForget)
        job = self.jobs.get(forget.job)
        if job is None or job.status is JobStatus.RUNNING:
            raise folds.Refuse("not ended")
        del self.jobs[forget.job]
        self.forgotten[forget.job] = offset

    def running(self, job: str) -> Job:
        """Return a job that is running."""
        held = self.jobs.get(job)
        if held is None or held.status is not JobStatus.RUNNING:
            raise folds.Refuse("not running")
        return held

    def dump(self) -> dict[str, Any]:
        return {
            "jobs": {key: dump_job(job) for key, job in self.jobs.items()},
            "uploads": [
                [job, number, upload.count, upload.chunks]
                for (job, number), upload in self.uploads.items()
            ],
            "forgotten": self.forgotten,
        }

    def load(self, state: dict[str, Any]) -> None:
        self.jobs = {key: load_job(raw) for key, raw in state["jobs"].items()}
        self.uploads = {
            (job, number): Upload(count, [tuple(c) for c in chunks])
            for job, number, count, chunks in state["uploads"]
        }
        self.forgotten = dict(state["forgotten"])


def dump_job(job: Job) -> dict[str, Any]:
    """Return a job as plain data."""
    return {
        "accept": dataclasses.asdict(job.accept),
        "chunks": [list(chunk) for chunk in job.chunks],
        "results": job.results.tobytes(),
        "started": job.started,
        "crashes": job.crashes,
        "counts": [job.done, job.failed, job.unknown],
        "cancelled": job.cancelled,
        "ended_at": job.ended_at,
    }


def load_job(raw: dict[str, Any]) -> Job:
    """Build a job from what ``dump_job`` gave."""
    results = array.array("q")
    results.frombytes(raw["results"])
    done, failed, unknown = raw["counts"]
    return Job(
        msgspec.convert(raw["accept"], JobAccept),
        tuple((offset, first) for offset, first in raw["chunks"]),
        results,
        dict(raw["started"]),
        dict(raw["crashes"]),
        done,
        failed,
        unknown,
        raw["cancelled"],
        raw["ended_at"],
    )
