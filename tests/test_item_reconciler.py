"""Faults that delay an item or its owner must not end either."""

import asyncio

import msgspec
import pytest

from camphortray import clock as clocks
from camphortray import errors
from camphortray import item_reconciler
from camphortray import ledger
from camphortray import partition_records
from camphortray import routemap
from tests import hostkit
from tests import test_partition_owner

pytestmark = pytest.mark.looptime
good = test_partition_owner.good
UNSENDABLE = errors.UpstreamUnsendable("bad head", ran=False, step="send")


async def owner_of(store, script=(), epoch=1):
    """Return an owner whose takeover has completed."""
    return await test_partition_owner.Owned(store, script, epoch).ready()


async def listed(owner, job="j1", count=1, within_s=40.0):
    """Wait for the results of a job and return them."""
    async with asyncio.timeout(within_s):
        return await test_partition_owner.all_results(owner, job, count)


async def test_a_request_head_that_cannot_be_sent_ejects_no_engine():
    # The request never left this host, so it says nothing about an engine.
    owner = await owner_of(ledger.MemoryLedger(), [UNSENDABLE, good()])
    await owner.submit(test_partition_owner.part_of(count=1))
    await listed(owner)
    assert owner.parts.slots.ends[0] is hostkit.enginehealth.Outcome.NOTHING
    await owner.close()


@pytest.mark.parametrize("invalid_id", [b"1\x00", b"\xe9"])
async def test_an_event_id_that_cannot_be_sent_back_is_rejected(invalid_id):
    # An engine sends an event whose id is not valid in a header, and its
    # stream breaks off. To resume, the id would be sent back in a header,
    # which the HTTP client refuses to send.
    answer = [b"id: " + invalid_id + b"\ndata: d1\n\n", hostkit.BROKEN]
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
    # The keys of its results could not be parsed, which ended the writer of
    # each owner in turn.
    store = ledger.MemoryLedger()
    first = await owner_of(store, [good()])
    await first.submit(test_partition_owner.part_of("a/b", count=1))
    before = await listed(first, "a/b")
    await first.close()
    second = await owner_of(store, [], epoch=2)
    assert await listed(second, "a/b") == before
    await second.close()


async def test_a_job_whose_id_is_too_long_does_not_delay_others():
    owner = await owner_of(ledger.MemoryLedger(), [good()])
    with pytest.raises(errors.RecordError):
        await owner.submit(test_partition_owner.part_of("x" * 260, count=1))
    await owner.submit(test_partition_owner.part_of(count=1))
    await listed(owner)
    await owner.close()


async def test_ids_of_slot_requests_are_not_reused():
    # The end of a job is refused and its items are started again. A late
    # release of the first slot must not free the second one.
    store = ledger.MemoryLedger()
    owner = await owner_of(store)
    owner.parts.slots.refusals = 10**6
    await owner.submit(test_partition_owner.part_of(count=1))
    store.refuse = 10**6
    with pytest.raises(errors.LogRefused):
        await owner.end("j1")
    await asyncio.sleep(1.0)
    ids = [want.id for want in owner.parts.slots.wants]
    assert len(ids) == len(set(ids)) > 2
    await owner.close()


async def test_a_result_larger_than_a_record_is_returned_whole():
    # An engine returns more for an item than one record of the store holds.
    # The item is run once, its result is the same from this owner and the
    # next, and the results after it keep their positions.
    store = ledger.MemoryLedger()
    store.record_bytes = 4_000
    huge = hostkit.Answer([b"id: 1\ndata: " + b"x" * 9_000 + b"\n\n"])
    owner = await owner_of(store, [huge, good()])
    await owner.submit(test_partition_owner.part_of(count=2))
    found = await listed(owner, count=2)
    texts = {b"x" * 9_000, b"d1\nd2"}
    assert {result.text for result in found} == texts
    assert len(owner.parts.backends.party.seen) == 2
    await owner.close()
    second = await owner_of(store, epoch=2)
    assert await listed(second, count=2) == found
    job = second.state.jobs["j1"]
    assert not job.open_items
    dropped = second.state.forget("j1")
    assert sum(record.key.startswith("t/") for record in dropped) == 3
    await second.close()


async def test_a_result_too_large_to_be_stored_is_rarely_recomputed():
    # Its item is run until its retention ends. A text larger than a record is
    # stored in pieces, but this one exceeds the message between hosts by
    # which results are read.
    store = ledger.MemoryLedger()
    size = partition_records.MAX_TEXT_BYTES + 1

    def large():
        return hostkit.Answer([b"id: 1\ndata: " + b"x" * size + b"\n\n"])

    owner = await owner_of(store, [large] * 100)
    await owner.submit(test_partition_owner.part_of(count=1))
    await asyncio.sleep(50.0)
    assert len(owner.parts.backends.party.seen) < 5
    await owner.close()


class SlowPages(ledger.MemoryLedger):
    """A store whose listing has many pages, each of them slow."""

    async def newest(self, topic, part=0, on_page=ledger.no_page):
        for _ in range(20):
            await asyncio.sleep(0.3)
            on_page()
        return await super().newest(topic, part)


async def test_a_long_listing_of_a_slow_store_is_read_to_its_end():
    owner = await asyncio.wait_for(owner_of(SlowPages()), 60.0)
    await owner.close()


async def test_a_failing_loss_callback_does_not_keep_the_owner_running():
    # Another owner has taken the partition over while a result waits to be
    # stored, and the callback for the loss raises. The write must not be
    # retried in a loop that never yields to the event loop.
    store = ledger.MemoryLedger()
    owner = await owner_of(store, [good()])

    def on_lost(gone):
        raise ValueError("no address")

    owner.on_lost = on_lost
    await owner.submit(test_partition_owner.part_of(count=1))
    await store.set_epoch(ledger.Topic.JOBS, 0, 2)
    await asyncio.sleep(3.0)
    assert owner.lost
    assert not owner.items.running


async def test_a_job_that_is_missing_items_is_logged_a_few_times_only(
    monkeypatch,
):
    store = ledger.MemoryLedger()
    first = await owner_of(store)
    records = partition_records.accept_records(
        test_partition_owner.part_of(count=8), 900
    )
    await first.writer.write(records[1:], 1.0)
    await first.close()
    lines = []
    monkeypatch.setattr(
        item_reconciler.LOG, "error", lambda *text, **more: lines.append(text)
    )
    owner = await owner_of(store, [good() for _ in range(8)], epoch=2)
    await asyncio.sleep(60.0)
    assert 0 < len(lines) < 20
    await owner.close()


async def test_an_item_taken_from_a_stalled_task_is_not_run_by_both():
    # A read never returns and ignores its cancellation. The item is queued
    # again for another task; when the first task finally continues, it must
    # not run the item as well.
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
        await asyncio.sleep(0.4)
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


@pytest.mark.parametrize("services", [1, 2, 30])
async def test_items_of_a_service_without_engines_hold_up_no_others(services):
    """Guards against items never begun behind those of a lost service."""
    routes = [
        msgspec.structs.replace(
            hostkit.BATCH_ROUTE,
            name=f"r{number}",
            prefix=f"/p{number or ''}/",
            targets=(routemap.Target(f"s{number}"),),
        )
        for number in range(services + 1)
    ]
    script = [good() for _ in range(20)]
    owner = await owner_of(ledger.MemoryLedger(), script)
    config, slots = owner.parts.active_config, owner.parts.slots
    config.view = routemap.Configuration(2, tuple(routes))
    config.routes = routemap.RouteMap(routes)
    acquire = slots.acquire

    async def for_last(service, want, on_revoke=None):
        if service != f"s{services}":
            await asyncio.sleep(3600.0)
        return await acquire(service, want, on_revoke)

    slots.acquire = for_last
    items = [
        partition_records.Item(
            f"i{number}", f"/p{number % services or ''}/x", (), b"b"
        )
        for number in range(900)
    ]
    await owner.submit(job_of("lost", "/p/", items))
    items = [
        partition_records.Item(f"k{number}", f"/p{services}/x", (), b"b")
        for number in range(20)
    ]
    await owner.submit(job_of("served", f"/p{services}/", items))
    await listed(owner, "served", 20, 5.0)
    started = len(owner.items.running)
    assert started <= max(
        item_reconciler.MAX_RUNNING_ITEMS,
        item_reconciler.MIN_RUNNING_ITEMS * (services + 1),
    )
    await owner.close()


def job_of(name, target, items):
    """Return a job of items, accepted now."""
    now = clocks.SystemClock().wall()
    return partition_records.JobPart(
        name, "h", target, now, len(items), 0, tuple(items)
    )
