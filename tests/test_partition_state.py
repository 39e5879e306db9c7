"""Tests of the state of a partition, which no order of its records changes."""

import itertools

import msgspec
import pytest

from camphortray import errors
from camphortray import jobmessages
from camphortray import jobquota
from camphortray import ledger
from camphortray import messages
from camphortray import partition_records
from camphortray import partition_state

DONE, ABANDONED = (
    partition_records.State.DONE,
    partition_records.State.ABANDONED,
)


def part_of(job="j1", count=3, size=10, taken_at=100.0):
    """Return a job with some items."""
    items = tuple(
        partition_records.Item(
            f"{job}-{n}", f"/p/{n}", (("model", "m"),), bytes([n]) * size, 100
        )
        for n in range(count)
    )
    return partition_records.JobPart(
        job, "h", "/p/", taken_at, count, 0, items
    )


def records_of(job="j1", count=3):
    """Return the records of a job with two results and an end."""
    records = partition_records.accept_records(part_of(job, count), 262_144)
    records.append(
        partition_records.result_record(
            job, 0, (partition_records.Result(2, DONE, b"two"),)
        )
    )
    records.append(
        partition_records.result_record(
            job, 1, (partition_records.Result(0, ABANDONED),)
        )
    )
    records.append(partition_records.end_record(job))
    return records


def test_a_job_reads_the_same_in_any_order():
    # The store lists the newest records of a partition in any order.
    states = set()
    for records in itertools.permutations(records_of()):
        state = partition_state.PartitionState()
        state.load(records)
        job = state.jobs["j1"]
        states.add((tuple(job.results), job.ended, len(job.items)))
        assert job.complete
    assert len(states) == 1
    ((results, ended, count),) = states
    assert [r.item for r in results] == [2, 0]
    assert ended
    assert count == 3


@pytest.mark.parametrize("path_bytes", [3, 2_000])
def test_a_large_job_is_split_and_read_back_whole(path_bytes):
    """Guards against records that a long path of the job makes too large."""
    part = msgspec.structs.replace(
        part_of(count=50, size=1000), target="/" * path_bytes
    )
    records = partition_records.accept_records(part, 8_000)
    assert len(records) > 5
    assert all(len(r.value) <= 8_000 for r in records)
    state = partition_state.PartitionState()
    state.load(records)
    items = state.jobs["j1"].items
    assert tuple(items) == part.items


def test_a_text_larger_than_a_record_reads_the_same_in_any_order():
    # The result of such a text could not be stored, and its item ran again
    # every 30 s until its deadline and was then abandoned.
    job = partition_state.Job("j1", "h", "/p/", 0.0, [None] * 3)
    text = bytes(range(256)) * 10
    large = partition_records.Result(1, DONE, text)
    pieces = partition_state.next_result(job, (), large, 1_200)
    assert len(pieces) == 4
    assert all(len(r.value) <= 1_200 for r in pieces)
    small = partition_records.Result(0, DONE, b"x")
    after = partition_state.next_result(job, pieces, small, 1_200)
    accepted = partition_records.accept_records(part_of(), 262_144)
    for records in itertools.permutations([*accepted, *pieces, *after]):
        state = partition_state.PartitionState()
        state.load(records)
        assert state.jobs["j1"].results == [large, small]
        assert not any(state.pieces.values())
    incomplete = partition_state.PartitionState()
    incomplete.load([*accepted, *pieces[1:], *after])
    assert incomplete.jobs["j1"].results == []
    assert incomplete.drop_gaps() == ["j1"]
    # The largest text that is stored fits in a message to another host.
    texts = (("j1-1", DONE, b"x" * partition_records.MAX_TEXT_BYTES),)
    messages.encode(
        messages.Envelope(1, True, jobmessages.PageReply(3, 0, texts))
    )
    with pytest.raises(errors.RecordError):
        beyond = partition_records.Result(
            1, DONE, b"x" * (partition_records.MAX_TEXT_BYTES + 1)
        )
        partition_state.next_result(job, (), beyond, 262_144)


def test_an_item_larger_than_a_record_is_refused_by_name():
    with pytest.raises(errors.RecordError, match="j1-0"):
        partition_records.accept_records(part_of(count=1, size=9_000), 8_000)


def test_a_result_counts_once_and_keeps_its_place():
    job = partition_state.Job("j", "h", "/", 0.0, [None] * 3)
    first = partition_records.Result(1, DONE, b"one")
    job.add(0, [first])
    job.add(1, [partition_records.Result(1, DONE, b"other")])
    job.add(5, [partition_records.Result(2, DONE)])
    assert job.results == [first]
    assert job.open_items == [0, 2]


def test_a_job_without_one_of_its_parts_is_incomplete():
    records = partition_records.accept_records(
        part_of(count=4, size=3_000), 8_000
    )
    state = partition_state.PartitionState()
    state.load(records[:1])
    assert not state.jobs["j1"].complete


def test_a_job_whose_keys_are_dropped_is_gone():
    state = partition_state.PartitionState()
    state.load(records_of())
    for key in list(state.keys["j1"]):
        state.apply(ledger.LedgerRecord(key, b""))
    assert not state.jobs
    assert not state.keys


@pytest.mark.parametrize(
    ("now", "open_items", "over"),
    [(150.0, False, []), (221.0, False, ["j1"]), (221.0, True, [])],
)
def test_a_job_without_open_items_expires_after_its_retention(
    now, open_items, over
):
    state = partition_state.PartitionState()
    records = records_of()
    state.load(records[:-1] if open_items else records)
    assert state.expired_jobs(now, 120.0) == over


def test_the_error_for_an_unreadable_record_names_its_key():
    with pytest.raises(errors.RecordError, match="r/j1/000000"):
        partition_state.PartitionState().apply(
            ledger.LedgerRecord("r/j1/000000", b"\xff")
        )


def test_tokens_of_an_item_wait_until_it_has_a_result():
    state = partition_state.PartitionState()
    state.load(records_of()[:1])
    job = state.jobs["j1"]
    assert job.waiting_tokens == 300
    job.add(0, [partition_records.Result(0, DONE)])
    assert job.waiting_tokens == 200
    job.ended = True
    assert job.waiting_tokens == 0


def test_owners_that_accept_at_the_same_time_do_not_both_use_the_last_quota():
    # Other owners receive the counts some tenths of a second later.
    tracker = jobquota.QuotaTracker()
    tracker.update_counts(0, 1, {"r": 700})
    assert tracker.reserve("r", "a", 250, 1000, 0.0)
    assert not tracker.reserve("r", "b", 250, 1000, 0.1)
    assert tracker.reserve("r", "a", 250, 1000, 0.1)
    tracker.update_counts(1, 1, {"r": 250})
    assert not tracker.reserve("r", "b", 250, 1000, 3.0)
    tracker.update_counts(0, 1, {"r": 300})
    assert tracker.reserve("r", "b", 250, 1000, 3.1)


def test_the_count_of_a_previous_owner_is_ignored():
    tracker = jobquota.QuotaTracker()
    tracker.update_counts(0, 5, {"r": 100})
    tracker.update_counts(0, 4, {"r": 900})
    assert tracker.waiting("r", 0.0) == 100


def test_without_a_limit_nothing_is_refused():
    tracker = jobquota.QuotaTracker()
    tracker.update_counts(0, 1, {"r": 10**9})
    assert tracker.reserve("r", "a", 10**9, 0, 0.0)
