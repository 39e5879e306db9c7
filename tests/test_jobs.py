"""Tests of the fold of batch jobs and input files."""

import dataclasses

import pytest

from camphortray import fold as folds
from camphortray import jobs
from camphortray import records

OWNER = records.Writer("a/batch", 1)
OTHER = records.Writer("b/batch", 1)
ACCEPT = jobs.JobAccept("j", 1, "ws", "k", "svc", 3, "d")


class Stream:
    """A fold and the log of records that it applies."""

    def __init__(self, owner=OWNER):
        self.fold = jobs.JobsFold()
        self.offset = -1
        self.numbers = {}
        self.claim(owner)

    def write(self, kind, body, writer=OWNER, epoch=None):
        """Apply a record; return the value of its verdict."""
        self.offset += 1
        number = self.numbers[writer] = self.numbers.get(writer, 0) + 1
        if dataclasses.is_dataclass(body):
            body = dataclasses.asdict(body)
        held = self.fold.ownership.epoch
        record = records.Record(
            records.RecordId(writer, number),
            kind,
            held if epoch is None else epoch,
            body,
            max(self.offset - 1, 0),
        )
        outcome = self.fold.apply(self.offset, records.encode(record))
        return outcome.verdict.value

    def claim(self, writer):
        body = folds.Claim(self.fold.ownership.epoch, gone=True)
        return self.write(folds.CLAIM, body, writer)

    def chunk(self, *items, first=0, upload=1):
        chunk = jobs.JobChunk("j", upload, first, items)
        return self.write(jobs.CHUNK, chunk)

    def accepted(self):
        """Accept a job of three items; return it."""
        self.chunk(b"{}", b"{}", b"{}")
        assert self.write(jobs.ACCEPT, ACCEPT) == "valid"
        return self.fold.jobs["j"]

    def result(self, item, body=b"1", status="done", **more):
        group = (jobs.ItemResult("j", item, status, body),)
        return self.write(jobs.RESULTS, jobs.JobResults(group, 9.0), **more)


@pytest.mark.parametrize(
    ("chunks", "upload", "verdict"),
    [
        ([(3, 0, 1)], 1, "valid"),
        ([(2, 0, 1), (1, 2, 1)], 1, "valid"),
        ([(2, 0, 1)], 1, "refused"),
        ([(2, 0, 1), (2, 1, 1)], 1, "refused"),
        ([(2, 0, 1), (1, 2, 2)], 1, "refused"),
        ([(3, 0, 1)], 2, "refused"),
        ([], 1, "refused"),
    ],
)
def test_a_job_is_accepted_only_when_its_chunks_are_complete(
    chunks, upload, verdict
):
    stream = Stream()
    for count, first, number in chunks:
        stream.chunk(*[b"{}"] * count, first=first, upload=number)
    accept = dataclasses.replace(ACCEPT, upload=upload)
    assert stream.write(jobs.ACCEPT, accept) == verdict
    assert ("j" in stream.fold.jobs) == (verdict == "valid")


def test_chunks_of_a_lost_owner_are_discarded():
    # A host is lost during an upload, and the client sends the job again.
    # Chunks of the first upload must not be combined with the second.
    stream = Stream()
    stream.chunk(b"{}", b"{}")
    stream.claim(OTHER)
    assert stream.chunk(b"{}", first=2) == "stale epoch"
    assert stream.fold.uploads == {}


def test_a_resent_job_is_refused_also_after_its_deletion():
    stream = Stream()
    job = stream.accepted()
    stream.chunk(b"{}", b"{}", b"{}", upload=2)
    again = dataclasses.replace(ACCEPT, upload=2)
    assert stream.write(jobs.ACCEPT, again) == "refused"
    assert stream.fold.jobs["j"] is job and not stream.fold.uploads
    for item in range(3):
        stream.result(item)
    assert stream.write(jobs.FORGET, jobs.JobForget("j")) == "valid"
    assert stream.write(jobs.ACCEPT, again) == "refused"


def test_the_first_result_counts_and_none_after_a_cancel():
    # Two records hold a result of the same item, as after a lost answer, and
    # one result follows a cancel. Callers see only the first result and
    # none that follows the cancel.
    stream = Stream()
    job = stream.accepted()
    stream.result(0)
    first = job.records[0]
    stream.result(0, b"2", "failed")
    stream.result(7)
    assert list(job.records) == [first] and job.done == 1
    cancel = jobs.JobCancel("j", 8.0)
    assert stream.write(jobs.CANCEL, cancel, OTHER) == "valid"
    stream.result(1)
    assert not job.has_result(1) and job.ended == 1
    assert job.status is jobs.JobStatus.CANCELLED and job.ended_at == 8.0
    assert stream.write(jobs.CANCEL, cancel) == "refused"


def test_results_and_starts_of_an_epoch_that_ended_are_void():
    stream = Stream()
    job = stream.accepted()
    old = stream.fold.ownership.epoch
    stream.claim(OTHER)
    assert stream.result(0, epoch=old) == "stale epoch"
    start = jobs.JobStart("j", (1,))
    assert stream.write(jobs.START, start, epoch=old) == "stale epoch"
    assert stream.write(jobs.START, start, OTHER) == "valid"
    assert stream.write(jobs.START, start, OTHER) == "refused"
    assert job.started == {1: stream.fold.ownership.epoch}


@pytest.mark.parametrize(
    ("kind", "body"),
    [
        (jobs.START, jobs.JobStart("j", (3,))),
        (jobs.START, jobs.JobStart("x", (0,))),
        (jobs.CRASH, jobs.JobCrash("j", (-1,))),
        (jobs.FORGET, jobs.JobForget("j")),
        (jobs.DROP, jobs.JobDrop("j", 5)),
        (jobs.FILE_FORGET, jobs.FileForget("f")),
        (jobs.CARRY, jobs.JobCarry(99, jobs.CHUNK, {})),
    ],
)
def test_records_that_name_unknown_objects_change_nothing(kind, body):
    stream = Stream()
    stream.accepted()
    before = stream.fold.dump()
    assert stream.write(kind, body) == "refused"
    assert stream.fold.dump() == before


def test_crashes_of_an_item_are_counted_until_its_result():
    stream = Stream()
    job = stream.accepted()
    for _ in range(2):
        stream.write(jobs.CRASH, jobs.JobCrash("j", (0, 2)))
    stream.claim(OTHER)
    assert job.crashes == {0: 2, 2: 2}
    group = (jobs.ItemResult("j", 0, "failed", b"1"),)
    stream.write(jobs.RESULTS, jobs.JobResults(group), OTHER)
    assert job.crashes == {2: 2}


def test_a_batch_keeps_the_chunks_of_its_deleted_file():
    stream = Stream()
    stream.write(jobs.CHUNK, jobs.JobChunk("f", 1, 0, (b"{}",) * 3))
    accept = jobs.FileAccept("f", 1, "ws", "n", 3, 9, 60.0, 0.0, "/p", "m")
    assert stream.write(jobs.FILE, accept) == "valid"
    batch = dataclasses.replace(ACCEPT, upload=0, file="f")
    assert stream.write(jobs.ACCEPT, batch) == "valid"
    assert stream.write(jobs.FILE_FORGET, jobs.FileForget("f")) == "valid"
    assert stream.fold.jobs["j"].chunks == [(1, 0)]
    late = dataclasses.replace(batch, job="k")
    assert stream.write(jobs.ACCEPT, late) == "refused"


def test_what_is_needed_is_carried_forward_and_stays_readable():
    # The log is about to discard records that a job still needs. The owner
    # appends copies, and the state refers to their offsets.
    stream = Stream()
    job = stream.accepted()
    stream.result(1)
    assert list(stream.fold.needed()) == [3, 1]
    for offset, kind in ((1, jobs.CHUNK), (3, jobs.RESULTS)):
        record = records.Record(
            records.RecordId(OWNER, 0), kind, 0, {"x": offset}
        )
        carried = stream.fold.carry(offset, record)
        assert stream.write(*carried) == "valid"
        assert stream.write(*carried) == "refused"
    assert list(stream.fold.needed()) == [6, 4]
    kind, body = carried
    record = records.Record(records.RecordId(OWNER, 0), kind, 0, body)
    again = stream.fold.carry(6, record)
    assert again[1] == {"of": 6, "kind": jobs.RESULTS, "body": {"x": 3}}
    for item in (0, 2):
        stream.result(item)
    assert 4 not in set(stream.fold.needed()) and job.ended == 3


def test_a_snapshot_restores_the_same_state():
    stream = Stream()
    stream.accepted()
    stream.result(2)
    stream.write(jobs.START, jobs.JobStart("j", (0,)))
    stream.write(jobs.CRASH, jobs.JobCrash("j", (1,)))
    stream.chunk(b"{}", upload=5)
    other = jobs.JobsFold()
    other.restore(stream.fold.snapshot())
    assert other.dump() == stream.fold.dump()
    assert other.jobs["j"] == stream.fold.jobs["j"]


def test_an_item_takes_four_bytes():
    stream = Stream()
    job = stream.accepted()
    assert job.results.itemsize * len(job.results) == 12
