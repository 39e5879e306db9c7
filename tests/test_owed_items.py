"""Tests of sound items whose engines crash again and again under them."""

import asyncio

import pytest

from tests import skiploop
from tests import test_segment_quarantine as quarantines

event_loop_policy = skiploop.event_loop_policy

CRASHES, GAP_S = 5, 0.4
LOOK_S = 0.05
# Longest time in seconds from the last crash until all items are done.
OWED_S = 18.0
SHARED, OTHER = "5c1e07a2", "91bd3f06"


async def crash_five_times(platform):
    """Crash the engines that run something, again and again."""
    engines = platform.engines
    for _ in range(CRASHES):
        for _ in range(round(GAP_S / LOOK_S)):
            if any(engine.running for engine in engines.values()):
                break
            await asyncio.sleep(LOOK_S)
        for engine in list(engines.values()):
            if engine.running:
                platform.crash(engine)
        await asyncio.sleep(GAP_S)


@pytest.mark.parametrize(
    ("hosts", "owner_lost"), [(1, False), (3, False), (3, True)]
)
@pytest.mark.parametrize(
    "segments",
    [[()], [(SHARED,)] * 2, [(SHARED,)] * 6, [(SHARED, OTHER)] * 3],
    ids=["none", "two items", "six items", "two segments"],
)
async def test_an_item_under_which_engines_crashed_is_done_once_all_is_calm(
    hosts, owner_lost, segments
):
    """Sound items were held back for as long as their segment was blamed."""
    async with quarantines.platform_of(hosts, 4, deadly=()) as platform:
        for engine in platform.engines.values():
            engine.always = "wait"
        await quarantines.submit(platform.hosts[0], "j1", *segments)
        await crash_five_times(platform)
        for engine in platform.engines.values():
            engine.always = ""
            engine.go.set()
        if owner_lost:
            await platform.hosts.pop(0).kernel.stop()
        loop = asyncio.get_running_loop()
        calm_at = loop.time()
        found = []
        while len(found) < len(segments):
            assert loop.time() - calm_at < OWED_S
            status, _, body = await platform.hosts[-1].call(
                "GET", f"/lots/j1?after={len(found)}", [("Wait-Ms", "1000")]
            )
            if status == 200:
                found += quarantines.json.loads(body)["results"]
        assert {r["state"] for r in found} == {"completed"}


async def test_probes_of_a_segment_that_crashes_engines_are_few():
    """Items that test a quarantine took one engine after the other."""
    async with quarantines.platform_of(hosts=3) as platform:
        callers = quarantines.Callers(platform)
        assert await callers.call(quarantines.SHARED) == 200
        bad = (quarantines.SHARED, quarantines.DEADLY)
        await quarantines.submit(platform.hosts[0], "j1", *[bad] * 6)
        await platform.until(
            lambda: all(map(quarantines.quarantined, platform.hosts))
        )
        before = quarantines.reached(platform)
        await asyncio.sleep(60.0)
        assert 1 <= quarantines.reached(platform) - before <= 3
        assert await callers.call(*bad) == 503
        assert await callers.call(quarantines.SHARED) == 200
        assert all(map(quarantines.quarantined, platform.hosts))
