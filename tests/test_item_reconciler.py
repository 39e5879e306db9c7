"""Items and owners that something holds up, and that nothing may end."""

import asyncio

import pytest

from camphortray import errors
from camphortray import item_reconciler
from camphortray import ledger
from camphortray import partition_records
from tests import hostkit
from tests import test_partition_owner

pytestmark = pytest.mark.looptime
good = test_partition_owner.good
UNSENDABLE = errors.UpstreamUnsendable("bad head", ran=False, step="send")


async def owner_of(held, script=(), epoch=1):
    """Return an owner that has taken its partition over."""
    return await test_partition_owner.Owned(held, script, epoch).ready()


async def listed(owner, job="j1", count=1, within_s=40.0):
    """Wait until a job has its results."""
    async with asyncio.timeout(within_s):
        return await test_partition_owner.all_results(owner, job, count)


async def test_a_head_that_cannot_be_sent_puts_no_engine_aside():
    # No engine has seen the item, and none is to blame for it.
    owner = await owner_of(ledger.MemoryLedger(), [UNSENDABLE, good()])
    await owner.submit(test_partition_owner.part_of(count=1))
    await listed(owner)
    assert owner.parts.slots.ends[0] is hostkit.enginehealth.Outcome.NOTHING
    await owner.close()


@pytest.mark.parametrize("spoilt", [b"1\x00", b"\xe9"])
async def test_an_event_id_that_cannot_be_sent_back_is_not_believed(spoilt):
    # An engine's event has a spoilt id and its stream breaks off. To go on
    # behind it the id goes back as a header, which no client sends.
    answer = [b"id: " + spoilt + b"\ndata: d1\n\n", hostkit.BROKEN]
    owner = await owner_of(
        ledger.MemoryLedger(), [hostkit.Answer(answer), good()]
    )
    await owner.submit(test_partition_owner.part_of(count=1))
    (result,) = await listed(owner)
    assert result.text == b"d1\nd2"
    seen = [r.resume_after for _, r in owner.parts.backends.party.seen]
    assert seen == ["", ""]
    await owner.close()


async def test_a_job_whose_id_has_slashes_is_like_any_other():
    # Its results could not be read by their keys, which ended the writer of
    # one owner after the other.
    held = ledger.MemoryLedger()
    first = await owner_of(held, [good()])
    await first.submit(test_partition_owner.part_of("a/b", count=1))
    before = await listed(first, "a/b")
    await first.close()
    second = await owner_of(held, [], epoch=2)
    assert await listed(second, "a/b") == before
    await second.close()


async def test_a_job_whose_id_is_too_long_holds_up_nobody():
    owner = await owner_of(ledger.MemoryLedger(), [good()])
    with pytest.raises(errors.RecordError):
        await owner.submit(test_partition_owner.part_of("x" * 260, count=1))
    await owner.submit(test_partition_owner.part_of(count=1))
    await listed(owner)
    await owner.close()


async def test_ids_of_wants_are_not_used_again():
    # The end of a job is refused and its items begin anew. An end of the
    # first slot that comes late must not free the second one.
    held = ledger.MemoryLedger()
    owner = await owner_of(held)
    owner.parts.slots.refusals = 10**6
    await owner.submit(test_partition_owner.part_of(count=1))
    held.refuse = 10**6
    with pytest.raises(errors.LogRefused):
        await owner.end("j1")
    await asyncio.sleep(1.0)
    ids = [want.id for want in owner.parts.slots.wants]
    assert len(ids) == len(set(ids)) > 2
    await owner.close()


async def test_a_result_larger_than_a_record_is_listed_whole():
    # The caller waits for an item whose engine has said more than a record
    # of the store takes. It is run once, and listed here and by the next
    # owner; what comes behind it keeps its place.
    held = ledger.MemoryLedger()
    held.record_bytes = 4_000
    huge = hostkit.Answer([b"id: 1\ndata: " + b"x" * 9_000 + b"\n\n"])
    owner = await owner_of(held, [huge, good()])
    await owner.submit(test_partition_owner.part_of(count=2))
    found = await listed(owner, count=2)
    texts = {b"x" * 9_000, b"d1\nd2"}
    assert {result.text for result in found} == texts
    assert len(owner.parts.backends.party.seen) == 2
    await owner.close()
    second = await owner_of(held, epoch=2)
    assert await listed(second, count=2) == found
    job = second.book.jobs["j1"]
    assert not job.open_items
    dropped = second.book.forget("j1")
    assert sum(record.key.startswith("t/") for record in dropped) == 3
    await second.close()


async def test_a_result_too_large_to_be_kept_is_seldom_made():
    # Its item can never be listed, and is run until its time is over. Such a
    # text is larger than one message between hosts, by which it is read; one
    # larger than a record is kept in pieces.
    held = ledger.MemoryLedger()
    size = partition_records.TEXT_BYTES + 1

    def large():
        return hostkit.Answer([b"id: 1\ndata: " + b"x" * size + b"\n\n"])

    owner = await owner_of(held, [large] * 100)
    await owner.submit(test_partition_owner.part_of(count=1))
    await asyncio.sleep(50.0)
    assert len(owner.parts.backends.party.seen) < 5
    await owner.close()


class SlowPages(ledger.MemoryLedger):
    """A listing of many pages, each of them slow."""

    async def newest(self, topic, part=0, on_page=ledger.no_page):
        for _ in range(20):
            await asyncio.sleep(0.3)
            on_page()
        return await super().newest(topic, part)


async def test_a_long_listing_of_a_slow_store_is_read_to_its_end():
    owner = await asyncio.wait_for(owner_of(SlowPages()), 60.0)
    await owner.close()


async def test_a_loss_that_cannot_be_told_ends_the_owner_all_the_same():
    # Another has taken the partition over as a result waits to be kept.
    # What is told of the loss fails; the result must not be written again
    # and again without a turn of the loop.
    held = ledger.MemoryLedger()
    owner = await owner_of(held, [good()])

    def on_lost(gone):
        raise ValueError("no address")

    owner.on_lost = on_lost
    await owner.submit(test_partition_owner.part_of(count=1))
    await held.set_epoch(ledger.Topic.JOBS, 0, 2)
    await asyncio.sleep(3.0)
    assert owner.lost
    assert not owner.items.running


async def test_a_job_that_lacks_items_is_told_of_and_not_again_and_again(
    monkeypatch,
):
    held = ledger.MemoryLedger()
    first = await owner_of(held)
    records = partition_records.accept_records(
        test_partition_owner.part_of(count=8), 900
    )
    await first.writer.write(records[1:], 1.0)
    await first.close()
    lines = []
    monkeypatch.setattr(
        item_reconciler.LOG, "error", lambda *text, **more: lines.append(text)
    )
    owner = await owner_of(held, [good() for _ in range(8)], epoch=2)
    await asyncio.sleep(60.0)
    assert 0 < len(lines) < 20
    await owner.close()


async def test_an_item_taken_from_a_task_that_does_not_end_is_run_once():
    # A run's read never returns and swallows its cancellation. The item is
    # taken from it and run by another task; when the first one comes back
    # at last it does not run the item beside that.
    stuck, back = hostkit.Answer([]), asyncio.Event()

    async def read(timeout_s):
        while not back.is_set():
            try:
                await back.wait()
            except asyncio.CancelledError:
                continue
        raise hostkit.BROKEN

    stuck.read = read

    async def slow_read(timeout_s):
        await asyncio.sleep(1.0)
        return chunks.pop(0) if chunks else b""

    chunks = hostkit.events(1, 2)
    slow = hostkit.Answer([])
    slow.read = slow_read
    owner = await owner_of(ledger.MemoryLedger(), [stuck, slow])
    await owner.submit(test_partition_owner.part_of(count=1))
    async with asyncio.timeout(40.0):
        while len(owner.parts.backends.party.seen) < 2:
            await asyncio.sleep(0.1)
    back.set()
    (result,) = await listed(owner)
    assert result.text == b"d1\nd2"
    assert len(owner.parts.backends.party.seen) == 2
    await owner.close()
