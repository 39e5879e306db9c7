"""Tests of appends with read-back and of starting from snapshots."""

import asyncio
import random

import msgspec
import pytest

from camphortray import calls
from camphortray import errors
from camphortray import fold as folds
from camphortray import journal
from camphortray import log
from camphortray import records
from camphortray import snapshot

pytestmark = [pytest.mark.asyncio, pytest.mark.looptime]
STREAM = "calls.0"


class LateLog(log.MemoryLog):
    """A log whose next appends land only when they are let go."""

    def __init__(self):
        super().__init__()
        self.late = 0
        self.held = []
        self.refuse = 0

    async def append(self, stream, body):
        if self.refuse:
            self.refuse -= 1
            raise errors.LogRefused("rate")
        if self.late:
            self.late -= 1
            self.held.append((stream, body))
            raise errors.LogUnavailable("answer lost")
        return await super().append(stream, body)

    async def land(self):
        for stream, body in self.held:
            await super().append(stream, body)
        self.held.clear()


@pytest.fixture
async def service():
    return LateLog()


async def follow(service, name="a", incarnation=1):
    made = journal.Journal(
        service,
        STREAM,
        calls.CallsFold(),
        records.Writer(name, incarnation),
        random.Random(0),
    )
    made.start()
    await asyncio.sleep(0.01)
    return made


def claim(key):
    return calls.CLAIM, msgspec.to_builtins(calls.CallClaim(key, "d"))


async def put_snapshot(held, limit=1000):
    parts = snapshot.split(held.fold.snapshot(), limit)
    for part in parts:
        body = msgspec.to_builtins(part, builtin_types=(bytes,))
        await held.append(folds.SNAPSHOT, body)
    return len(parts)


async def test_a_lost_answer_is_met_by_the_same_record(service):
    # The caller sees one claim that stands. The log takes the record but
    # its answer is lost; the writer finds it by reading on, or sends it
    # again under the same id, which the fold ignores.
    held = await follow(service)
    service.lose_answers = 3
    assert (await held.append(*claim("k"))).valid
    assert held.fold.calls["k"].offset == 0
    assert not (await held.append(*claim("k"))).valid
    await held.stop()


@pytest.mark.parametrize(
    ("fault", "error", "landed"),
    [
        ({"refuse": 99}, errors.LogRefused, False),
        ({"down": True}, errors.AppendUnknown, False),
        ({"late": 99}, errors.AppendUnknown, False),
        ({"late": 99}, errors.AppendUnknown, True),
    ],
)
async def test_giving_up_tells_the_truth(service, fault, error, landed):
    # The caller is told "refused" only if the log refused every time;
    # else "unknown", and the record may land long after. Once the
    # journal has settled, it has counted or never will.
    held = await follow(service)
    for name, value in fault.items():
        setattr(service, name, value)
    with pytest.raises(error):
        await held.append(*claim("k"), timeout_s=2.0)
    service.down, service.late, service.refuse = False, 0, 0
    if landed:
        await service.land()
    await held.settle()
    assert ("k" in held.fold.calls) == landed
    await service.land()
    await held.append(*claim("other"))
    assert ("k" in held.fold.calls) == landed
    await held.stop()


async def test_a_cancelled_append_leaves_the_next_one_whole(service):
    # A caller goes away while its record is under way. The record lands
    # late, behind the journal's next one, and is void there.
    held = await follow(service)
    service.late = 1
    task = asyncio.ensure_future(held.append(*claim("k")))
    await asyncio.sleep(0.01)
    task.cancel()
    await asyncio.wait({task})
    assert (await held.append(*claim("other"))).valid
    await service.land()
    await held.append(*claim("third"))
    assert set(held.fold.calls) == {"other", "third"}
    assert not held.waiting
    await held.stop()


async def test_nothing_is_sent_before_the_stream_is_read(service):
    service.down = True
    held = await follow(service)
    with pytest.raises(errors.LogRefused):
        await held.append(*claim("k"), timeout_s=1.0)
    assert held.ready()
    service.down = False
    await asyncio.sleep(5)
    assert not held.ready() and service.appends == 0
    await held.stop()


async def test_an_oversize_record_is_refused_at_once(service):
    held = await follow(service)
    held.record_limit = 100
    with pytest.raises(errors.LogRefused, match="limit"):
        await held.append(*claim("k" * 100))
    await held.stop()


@pytest.mark.parametrize("cut", ["none", "covered", "all but snapshot"])
async def test_a_new_reader_starts_from_the_snapshot(service, cut):
    # The log has forgotten the beginning, as far as the snapshot allows.
    # A new host finds all parts, restores, and reads on from there.
    held = await follow(service)
    for number in range(60):
        await held.append(*claim(f"k{number}"))
    count = await put_snapshot(held)
    assert count > 2
    await held.append(*claim("after"))
    first = {"none": 0, "covered": 30, "all but snapshot": 60}[cut]
    service.truncate(STREAM, first)
    reader = await follow(service, "b")
    assert reader.fold.snapshot() == held.fold.snapshot()
    assert reader.since_records <= 62 - 60 + count
    for each in (held, reader):
        await each.stop()


@pytest.mark.parametrize("fault", ["none", "a part is cut", "gap"])
async def test_without_a_usable_snapshot_a_reader_stops(service, fault):
    # No snapshot, only the end of one, or one with records missing
    # behind it: each would give a state that never was. The host says
    # so in /readyz and stops, and never takes the stream for empty.
    held = await follow(service)
    for number in range(60):
        await held.append(*claim(f"k{number}"))
    if fault == "gap":
        old = held.fold.snapshot()
        await held.append(*claim("between"))
        for part in snapshot.split(old, 1 << 20):
            body = msgspec.to_builtins(part, builtin_types=(bytes,))
            await held.append(folds.SNAPSHOT, body)
        service.truncate(STREAM, 61)
    else:
        await put_snapshot(held)
        service.truncate(STREAM, 1000 if fault == "none" else 61)
    reader = await follow(service, "b")
    await asyncio.sleep(1)
    assert "no usable snapshot" in reader.ready()
    assert reader.task.done()
    for each in (held, reader):
        await each.stop()


async def test_a_reader_left_behind_recovers_in_the_middle(service):
    # A paused host wakes when the log has moved on past its place. Its
    # open append ends as unknown, listeners hear of the restored state.
    held = await follow(service)
    reader = await follow(service, "b")
    await held.append(*claim("k"))
    await reader.stop()
    service.late = 99
    task = asyncio.ensure_future(reader.append(*claim("mine")))
    await asyncio.sleep(0.01)
    service.late = 0
    for number in range(5):
        await held.append(*claim(f"k{number}"))
    await put_snapshot(held, 1 << 20)
    service.truncate(STREAM, held.fold.next - 1)
    heard = []
    reader.on_restore(lambda: heard.append(set(reader.fold.calls)))
    reader.start()
    with pytest.raises(errors.AppendUnknown, match="moved on"):
        await task
    assert heard == [set(held.fold.calls)]
    for each in (held, reader):
        await each.stop()


async def test_a_gap_in_what_the_log_gives_is_never_passed_over(service):
    # A log that answers with later records than were asked for would
    # leave a hole in the state; the reader waits for the right ones.
    held = await follow(service)
    for number in range(3):
        await held.append(*claim(f"k{number}"))
    records_ = service.stream(STREAM).records
    missing = records_.pop(1)
    reader = await follow(service, "b")
    assert reader.ready() and set(reader.fold.calls) == {"k0"}
    records_.insert(1, missing)
    await asyncio.sleep(3)
    assert not reader.ready() and len(reader.fold.calls) == 3
    for each in (held, reader):
        await each.stop()
