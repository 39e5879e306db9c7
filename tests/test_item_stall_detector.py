"""The stages that an owner reports of its open items."""

import asyncio

import pytest

from camphortray import item_stall_detector
from camphortray import ledger
from tests import hostkit
from tests import test_partition_owner

pytestmark = pytest.mark.looptime
Stage = item_stall_detector.Stage


async def stages(owner):
    """Return the number of items by stage, a moment later."""
    await asyncio.sleep(0.01)
    return dict(item_stall_detector.StageSummary(owner.items.stages()).counts)


async def hang(timeout_s):
    """Never return; a read without data."""
    await asyncio.Event().wait()


def silent():
    """Return an answer that yields no data and never ends."""
    answer = hostkit.Answer([])
    answer.read = hang
    return answer


async def test_items_are_counted_by_stage():
    owned = test_partition_owner.Owned(
        ledger.MemoryLedger(), [silent() for _ in "ab"]
    )
    owner = await owned.ready()
    await owner.submit(test_partition_owner.part_of(count=2))
    assert await stages(owner) == {Stage.RUN: 2}
    owner.parts.active_config.routes.by_host.clear()
    await owner.submit(test_partition_owner.part_of("j2", count=1))
    assert await stages(owner) == {Stage.RUN: 2, Stage.ROUTE: 1}
    owner.ledger.down = True
    ending = asyncio.ensure_future(owner.end("j1"))
    assert await stages(owner) == {Stage.ENDING: 2, Stage.ROUTE: 1}
    ending.cancel()
    await owner.close()


async def test_an_item_whose_result_waits_for_the_store_is_in_write():
    owned = test_partition_owner.Owned(
        ledger.MemoryLedger(), [test_partition_owner.good()]
    )
    owner = await owned.ready()
    await owner.submit(test_partition_owner.part_of(count=1))
    owner.ledger.down = True
    assert await stages(owner) == {Stage.WRITE: 1}
    owner.ledger.down = False
    await test_partition_owner.all_results(owner, "j1", 1)
    assert not await stages(owner)
    await owner.close()


async def test_a_stopped_owner_reports_no_items():
    # A draining host logged accepted items as unassigned: its owner had
    # cleared its queue but stayed registered while its tasks ended, and the
    # gauges were updated meanwhile. The next owner runs these items.
    owned = test_partition_owner.Owned(
        ledger.MemoryLedger(), [silent() for _ in "ab"]
    )
    owner = await owned.ready()
    await owner.submit(test_partition_owner.part_of(count=2))
    assert await stages(owner) == {Stage.RUN: 2}
    await owner.close()
    assert not await stages(owner)
