"""Tests of the owner of a partition: takeover, fencing, results and ends."""

import asyncio

import pytest

from camphortray import clock as clocks
from camphortray import errors
from camphortray import ledger
from camphortray import partition_owner
from camphortray import partition_records
from tests import hostkit
from tests import test_partition_state

pytestmark = pytest.mark.looptime
JOBS = ledger.Topic.JOBS
DONE = partition_records.State.DONE


def good():
    """Return an answer of two events."""
    return hostkit.Answer(hostkit.events(1, 2))


class Owned:
    """An owner of partition 0, with engines that give scripted answers."""

    def __init__(self, store, script=(), epoch=1):
        clock = clocks.SystemClock()
        self.lost = []
        self.owner = partition_owner.PartitionOwner(
            hostkit.work_parts(clock, script),
            store,
            0,
            epoch,
            120.0,
            lambda: None,
            self.lost.append,
        )
        self.owner.start()

    async def ready(self):
        """Wait until the takeover is complete; return the owner."""
        await self.owner.ready.wait()
        return self.owner


def part_of(job="j1", count=3):
    """Return a job accepted now."""
    return test_partition_state.part_of(
        job, count, taken_at=clocks.SystemClock().wall()
    )


async def all_results(owner, job, count):
    """Wait for all results of a job."""
    while True:
        found = await owner.page(job, 0, 1.0)
        if found is not None and len(found[1]) == count:
            return found[1]
        await asyncio.sleep(0.01)


async def test_a_job_is_kept_run_and_read():
    store = ledger.MemoryLedger()
    owned = Owned(store, [good() for _ in range(3)])
    owner = await owned.ready()
    await owner.submit(part_of())
    await owner.submit(part_of())
    found = await all_results(owner, "j1", 3)
    assert {r.item for r in found} == {0, 1, 2}
    assert {r.text for r in found} == {b"d1\nd2"}
    await owner.close()


async def test_the_next_owner_goes_on_with_what_is_open():
    # The owner stops after one of three results. The next owner keeps that
    # result at its position and runs the other two items.
    store = ledger.MemoryLedger()
    first = await Owned(store, [good()]).ready()
    first.parts.slots.names = []
    await first.writer.write(
        partition_records.accept_records(part_of(), 262_144), 1.0
    )
    await first.writer.write(
        (
            partition_records.result_record(
                "j1", 0, (partition_records.Result(1, DONE, b"kept"),)
            ),
        ),
        1.0,
    )
    first.stop()
    second = await Owned(store, [good(), good()], epoch=2).ready()
    found = await all_results(second, "j1", 3)
    assert found[0] == partition_records.Result(1, DONE, b"kept")
    assert sorted(r.item for r in found) == [0, 1, 2]
    await second.close()


async def test_an_owner_that_wakes_late_adds_nothing_and_stops():
    # The owner is paused with an item running. Another host takes over and
    # stores a result for that item. The store must refuse what the first
    # owner appends when it resumes.
    store = ledger.MemoryLedger()
    waiting = hostkit.Answer([])
    wake = asyncio.Event()
    rest = [hostkit.event(1), b""]

    async def read(timeout_s):
        await wake.wait()
        return rest.pop(0)

    waiting.read = read
    old = Owned(store, [waiting])
    owner = await old.ready()
    await owner.submit(part_of(count=1))
    second = await Owned(store, [good()], epoch=2).ready()
    before = await all_results(second, "j1", 1)
    wake.set()
    while not old.lost:
        await asyncio.sleep(0.01)
    assert owner.lost
    assert await all_results(second, "j1", 1) == before
    with pytest.raises(errors.LogRefused):
        await owner.submit(part_of("j2"))
    await second.close()


async def test_a_partition_lost_during_a_submit_promises_nothing():
    # The append may have been stored. A refusal would promise that the job
    # never runs, and a dropped connection would give the caller no answer.
    store = ledger.MemoryLedger()
    owner = await Owned(store).ready()
    store.lose_answers = 10_000
    task = asyncio.ensure_future(owner.submit(part_of()))
    await asyncio.sleep(0.2)
    owner.stop()
    with pytest.raises(errors.LogUnavailable):
        await task


async def test_a_submit_that_lands_late_runs_all_the_same():
    # The caller received the answer that the outcome is unknown, but the
    # append took effect.
    store = ledger.MemoryLedger()
    owner = await Owned(store, [good() for _ in range(3)]).ready()
    store.lose_answers = 1
    store.refuse = 0
    task = asyncio.ensure_future(owner.submit(part_of()))
    await asyncio.sleep(0.01)
    store.down = True
    with pytest.raises(errors.LogUnavailable):
        await task
    store.down = False
    assert len(await all_results(owner, "j1", 3)) == 3
    await owner.close()


async def test_an_ended_job_lists_nothing_more():
    store = ledger.MemoryLedger()
    slow = hostkit.Answer([])

    async def read(timeout_s):
        await asyncio.sleep(3600.0)

    slow.read = read
    owner = await Owned(store, [slow]).ready()
    owner.parts.slots.refusals = 0
    await owner.submit(part_of(count=1))
    await asyncio.sleep(1.0)
    await owner.end("j1")
    await owner.end("j1")
    await asyncio.sleep(10.0)
    _, found = await owner.page("j1", 0, 0.0)
    assert found == []
    assert slow.closed
    await owner.close()


async def test_an_end_that_is_refused_leaves_the_job_running():
    store = ledger.MemoryLedger()
    owner = await Owned(store, []).ready()
    owner.parts.slots.refusals = 10**6
    await owner.submit(part_of(count=1))
    store.refuse = 10_000
    with pytest.raises(errors.LogRefused):
        await owner.end("j1")
    store.refuse = 0
    owner.parts.slots.refusals = 0
    owner.parts.backends.party.script = [good()]
    assert len(await all_results(owner, "j1", 1)) == 1
    await owner.close()


async def test_a_fenced_owner_cannot_confirm_its_epoch():
    store = ledger.MemoryLedger()
    old = Owned(store)
    owner = await old.ready()
    await owner.confirm()
    await store.set_epoch(JOBS, 0, 2)
    with pytest.raises(errors.LogFenced):
        await owner.confirm()
    assert old.lost == [owner]


async def test_expired_jobs_are_deleted_from_the_store():
    store = ledger.MemoryLedger()
    owner = await Owned(store, [good()]).ready()
    await owner.submit(part_of(count=1))
    await all_results(owner, "j1", 1)
    await asyncio.sleep(130.0)
    page = await store.newest(JOBS, 0)
    assert page.records == ()
    assert not owner.state.jobs
    await owner.close()


async def test_a_takeover_waits_for_the_store():
    store = ledger.MemoryLedger()
    store.down = True
    owned = Owned(store)
    await asyncio.sleep(5.0)
    assert not owned.owner.ready.is_set()
    store.down = False
    await owned.ready()
    await owned.owner.close()


async def test_an_end_cut_short_by_the_loss_of_the_partition_begins_nothing():
    # The store is unavailable: one append is in flight, and the end of a job
    # is queued behind it. The owner then releases the partition, which refuses
    # the queued end. The owner used to restart the job's items on that
    # refusal, in parallel with the next owner and after an end that the next
    # owner had acknowledged.
    store = ledger.MemoryLedger()
    owner = await Owned(store, []).ready()
    owner.parts.slots.refusals = 10**6
    await owner.submit(part_of(count=2))
    store.refuse = 10**6
    first = asyncio.ensure_future(owner.submit(part_of("j2")))
    await asyncio.sleep(0.1)
    ending = asyncio.ensure_future(owner.end("j1"))
    await asyncio.sleep(0.3)
    owner.stop()
    with pytest.raises(errors.LogRefused):
        await ending
    with pytest.raises(errors.LogUnavailable):
        await first
    await asyncio.sleep(0.1)
    wants = len(owner.parts.slots.wants)
    await asyncio.sleep(10.0)
    assert not owner.items.running
    assert len(owner.parts.slots.wants) == wants


async def test_of_two_calls_to_end_a_job_the_one_that_is_kept_counts():
    # The store is unavailable, and the caller repeats its call to end the job
    # before the first one is refused. That refusal used to restart the items,
    # which went on running after the second call had been stored.
    store = ledger.MemoryLedger()
    owner = await Owned(store, []).ready()
    owner.parts.slots.refusals = 10**6
    await owner.submit(part_of(count=2))
    store.refuse = 10**6
    first = asyncio.ensure_future(owner.end("j1"))
    await asyncio.sleep(2.0)
    second = asyncio.ensure_future(owner.end("j1"))
    with pytest.raises(errors.LogRefused):
        await first
    assert not owner.items.running
    store.refuse = 0
    await second
    await asyncio.sleep(0.2)
    assert not owner.items.running


async def test_an_end_kept_while_items_run_stops_them():
    store = ledger.MemoryLedger()
    owner = await Owned(store, []).ready()
    owner.parts.slots.refusals = 10**6
    await owner.submit(part_of(count=2))
    await asyncio.sleep(0.1)
    assert owner.items.running
    await owner.writer.write((partition_records.end_record("j1"),), 1.0)
    await asyncio.sleep(0.1)
    assert not owner.items.running
