"""Fold of ``jobs.N``: batch jobs, their items and their results.

The fold holds item states and log offsets but no bodies; those are read from
the log when they are needed.
"""

__all__ = [
    "FileAccept",
    "FileForget",
    "InputFile",
    "ItemResult",
    "Job",
    "JobAccept",
    "JobCancel",
    "JobCarry",
    "JobChunk",
    "JobCrash",
    "JobDrop",
    "JobForget",
    "JobResults",
    "JobStart",
    "JobStatus",
    "JobsFold",
    "job_id",
    "shard_of",
]

import array
from collections.abc import Iterator
import dataclasses
from typing import Any

import msgspec

from camphortray import fold as folds
from camphortray import jobrecords
from camphortray import jobstate
from camphortray import records

CHUNK = jobrecords.CHUNK
DROP = jobrecords.DROP
ACCEPT = jobrecords.ACCEPT
RESULTS = jobrecords.RESULTS
START = jobrecords.START
CRASH = jobrecords.CRASH
CANCEL = jobrecords.CANCEL
FORGET = jobrecords.FORGET
CARRY = jobrecords.CARRY
FILE = jobrecords.FILE
FILE_FORGET = jobrecords.FILE_FORGET
FileAccept = jobrecords.FileAccept
FileForget = jobrecords.FileForget
ItemResult = jobrecords.ItemResult
JobAccept = jobrecords.JobAccept
JobCancel = jobrecords.JobCancel
JobCarry = jobrecords.JobCarry
JobChunk = jobrecords.JobChunk
JobCrash = jobrecords.JobCrash
JobDrop = jobrecords.JobDrop
JobForget = jobrecords.JobForget
JobResults = jobrecords.JobResults
JobStart = jobrecords.JobStart
InputFile = jobstate.InputFile
Job = jobstate.Job
JobStatus = jobstate.JobStatus
NO_RESULT = jobstate.NO_RESULT
job_id = jobstate.job_id
shard_of = jobstate.shard_of

# Maximum number of ids of deleted jobs, which are kept to answer 410. The
# oldest is dropped first.
MAX_FORGOTTEN_JOBS = 10_000


class JobsFold(folds.Fold):
    """All jobs and files of a shard, by id.

    A cancel may be appended by any host, not only by the owner: the order of
    the records in the log decides whether a result came first.
    """

    owned = frozenset(
        {
            CHUNK,
            DROP,
            ACCEPT,
            RESULTS,
            START,
            CRASH,
            FORGET,
            CARRY,
            FILE,
            FILE_FORGET,
        }
    )

    def __init__(self) -> None:
        super().__init__()
        self.jobs: dict[str, Job] = {}
        self.files: dict[str, InputFile] = {}
        self.uploads: dict[tuple[str, int], jobstate.Upload] = {}
        self.forgotten: dict[str, int] = {}
        self.handlers.update(
            {
                CHUNK: self.on_chunk,
                DROP: self.on_drop,
                ACCEPT: self.on_accept,
                RESULTS: self.on_results,
                START: self.on_start,
                CRASH: self.on_crash,
                CANCEL: self.on_cancel,
                FORGET: self.on_forget,
                CARRY: self.on_carry,
                FILE: self.on_file,
                FILE_FORGET: self.on_file_forget,
            }
        )

    def on_epoch(self, epoch: int) -> None:
        # Only the previous owner could have completed these uploads. A client
        # that sends its job again sends all chunks.
        self.uploads.clear()

    def on_chunk(self, offset: int, record: records.Record) -> None:
        """Add a chunk to its upload if it is the next one."""
        chunk = records.typed(record.body, JobChunk)
        held = self.uploads.get((chunk.job, chunk.upload), jobstate.Upload())
        if chunk.first != held.count:
            raise folds.Refuse("chunk out of order")
        self.uploads[(chunk.job, chunk.upload)] = held
        held.chunks.append((offset, chunk.first))
        held.count += len(chunk.items)

    def on_drop(self, offset: int, record: records.Record) -> None:
        """Discard the chunks of an upload that failed."""
        drop = records.typed(record.body, JobDrop)
        if self.uploads.pop((drop.job, drop.upload), None) is None:
            raise folds.Refuse("no such upload")

    def on_accept(self, offset: int, record: records.Record) -> None:
        """Accept a job whose chunks are complete."""
        accept = records.typed(record.body, JobAccept)
        upload = self.uploads.pop(
            (accept.job, accept.upload), jobstate.Upload()
        )
        if accept.job in self.jobs or accept.job in self.forgotten:
            raise folds.Refuse("accepted before")
        if accept.file:
            held = self.files.get(accept.file)
            if held is None:
                raise folds.Refuse("no such file")
            upload = jobstate.Upload(held.accept.count, list(held.chunks))
        if upload.count != accept.count or not accept.count:
            raise folds.Refuse("chunks are missing")
        self.jobs[accept.job] = Job(
            accept,
            upload.chunks,
            array.array("I", [NO_RESULT]) * accept.count,
        )

    def on_file(self, offset: int, record: records.Record) -> None:
        """Accept an input file whose chunks are complete."""
        accept = records.typed(record.body, FileAccept)
        upload = self.uploads.pop(
            (accept.file, accept.upload), jobstate.Upload()
        )
        if upload.count != accept.count or accept.file in self.files:
            raise folds.Refuse("chunks are missing")
        self.files[accept.file] = InputFile(accept, upload.chunks)

    def on_file_forget(self, offset: int, record: records.Record) -> None:
        """Delete a file; jobs created from it keep their chunks."""
        forget = records.typed(record.body, FileForget)
        if self.files.pop(forget.file, None) is None:
            raise folds.Refuse("no such file")

    def on_results(self, offset: int, record: records.Record) -> None:
        """Count the first result of each item."""
        body = records.typed(record.body, JobResults)
        for result in body.results:
            job = self.jobs.get(result.job)
            if job is None or job.status is not JobStatus.RUNNING:
                continue
            if not 0 <= result.item < job.accept.count:
                continue
            if job.has_result(result.item):
                continue
            if not job.records or job.records[-1] != offset:
                job.records.append(offset)
            job.take(len(job.records) - 1, result)
            job.last_at = body.written_at
            if job.ended == job.accept.count:
                job.ended_at = body.written_at

    def on_start(self, offset: int, record: records.Record) -> None:
        """Mark items as dispatched; an item may be marked only once."""
        start = records.typed(record.body, JobStart)
        job = self.running(start.job, start.items)
        if any(
            item in job.started or job.has_result(item) for item in start.items
        ):
            raise folds.Refuse("started before")
        for item in start.items:
            job.started[item] = record.epoch

    def on_crash(self, offset: int, record: records.Record) -> None:
        """Count an upstream crash for each item that has no result."""
        crash = records.typed(record.body, JobCrash)
        job = self.running(crash.job, crash.items)
        for item in crash.items:
            if not job.has_result(item):
                job.crashes[item] = job.crashes.get(item, 0) + 1

    def on_cancel(self, offset: int, record: records.Record) -> None:
        """Cancel a running job."""
        cancel = records.typed(record.body, JobCancel)
        job = self.running(cancel.job)
        job.cancelled = True
        job.started.clear()
        job.crashes.clear()
        job.ended_at = cancel.at

    def on_forget(self, offset: int, record: records.Record) -> None:
        """Delete a job that has ended."""
        forget = records.typed(record.body, JobForget)
        job = self.jobs.get(forget.job)
        if job is None or job.status is JobStatus.RUNNING:
            raise folds.Refuse("not ended")
        del self.jobs[forget.job]
        self.forgotten[forget.job] = offset
        while len(self.forgotten) > MAX_FORGOTTEN_JOBS:
            del self.forgotten[next(iter(self.forgotten))]

    def on_carry(self, offset: int, record: records.Record) -> None:
        """Replace the offset of a record that was copied to the log's end."""
        carry = records.typed(record.body, JobCarry)
        moved = [job.move(carry.of, offset) for job in self.jobs.values()]
        for held in self.files.values():
            for index, (chunk_offset, first) in enumerate(held.chunks):
                if chunk_offset == carry.of:
                    held.chunks[index] = (offset, first)
                    moved.append(True)
        if not any(moved):
            raise folds.Refuse("not needed")

    def running(self, job: str, items: tuple[int, ...] = ()) -> Job:
        """Return a running job after checking that it has these items.

        Raises:
          Refuse: the job is not running, or an item is out of range.
        """
        held = self.jobs.get(job)
        if held is None or held.status is not JobStatus.RUNNING:
            raise folds.Refuse("not running")
        if not all(0 <= item < held.accept.count for item in items):
            raise folds.Refuse("no such item")
        return held

    def needed(self) -> Iterator[int]:
        """Yield the offsets of all records that may still be read."""
        for job in self.jobs.values():
            yield from job.records
            if job.status is JobStatus.RUNNING:
                yield from (offset for offset, _ in job.chunks)
        for held in self.files.values():
            yield from (offset for offset, _ in held.chunks)

    def carry(
        self, offset: int, record: records.Record
    ) -> tuple[str, dict[str, Any]] | None:
        """Return the kind and body of a copy to append of a needed record.

        Returns None if the record is of a kind that is not copied.
        """
        kind, body = record.kind, record.body
        if kind == CARRY:
            kind, body = body["kind"], body["body"]
        if kind not in (CHUNK, RESULTS):
            return None
        return CARRY, {"of": offset, "kind": kind, "body": body}

    def dump(self) -> dict[str, Any]:
        return {
            "jobs": {
                key: jobstate.dump_job(job) for key, job in self.jobs.items()
            },
            "files": {
                key: [dataclasses.asdict(held.accept), held.chunks]
                for key, held in self.files.items()
            },
            "uploads": [
                [job, number, upload.count, upload.chunks]
                for (job, number), upload in self.uploads.items()
            ],
            "forgotten": dict(self.forgotten),
        }

    def load(self, state: dict[str, Any]) -> None:
        self.jobs = {
            key: jobstate.load_job(raw) for key, raw in state["jobs"].items()
        }
        self.files = {
            key: InputFile(
                msgspec.convert(accept, FileAccept), jobstate.pairs(chunks)
            )
            for key, (accept, chunks) in state["files"].items()
        }
        self.uploads = {
            (job, number): jobstate.Upload(count, jobstate.pairs(chunks))
            for job, number, count, chunks in state["uploads"]
        }
        self.forgotten = dict(state["forgotten"])
