"""What an owner tells of its open items."""

import asyncio

import pytest

from camphortray import item_stall_detector
from camphortray import ledger
from tests import hostkit
from tests import test_partition_owner

pytestmark = pytest.mark.looptime
Stage = item_stall_detector.Stage


async def stages(owner):
    """Return how many items wait for what, a moment later."""
    await asyncio.sleep(0.01)
    return dict(item_stall_detector.Look(owner.items.stages()).counts)


async def hang(timeout_s):
    """Stand in for a read that brings nothing."""
    await asyncio.Event().wait()


def silent():
    """Return an answer that brings nothing, without an end."""
    answer = hostkit.Answer([])
    answer.read = hang
    return answer


async def test_items_are_told_by_what_they_wait_for():
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


async def test_a_result_that_waits_for_the_store_is_told_as_written():
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


async def test_a_partition_that_is_given_up_leaves_nothing_lying():
    # Found by the soak: the log of a host that drains said of accepted items
    # that they are left lying. Its owner had stopped and dropped its queue,
    # and was still among those held while its tasks came to their end; the
    # watch looked in that moment. They are the next owner's to run.
    owned = test_partition_owner.Owned(
        ledger.MemoryLedger(), [silent() for _ in "ab"]
    )
    owner = await owned.ready()
    await owner.submit(test_partition_owner.part_of(count=2))
    assert await stages(owner) == {Stage.RUN: 2}
    await owner.close()
    assert not await stages(owner)
