"""Each step of a group breaks in each manner: all items are listed."""

import asyncio

import pytest

from camphortray import errors
from camphortray import partition_manager
from tests import breakrig
from tests import grouprig
from tests import itemrig
from tests import test_itemrig

pytestmark = pytest.mark.looptime
no_collection = test_itemrig.no_collection
UNEXPECTED = test_itemrig.UNEXPECTED
STORE = test_itemrig.STORE
HANG = test_itemrig.HANG
NO_ENGINE = [*UNEXPECTED, *STORE, HANG]
# What happens to the group, and the steps that it leads through.
GROUP_STEPS = {
    "calm": ["join", "join answer"],
    "dealt": ["join", "set_epoch", "newest", "read log", "publish", "tell"],
    "dealt back": ["join", "set_epoch", "set_epoch answer"],
    "drained": ["leave", "leave answer", "set_epoch", "newest", "tell"],
    "away": ["join", "set_epoch", "set_epoch answer"],
    "away long": ["join", "set_epoch", "set_epoch answer"],
    "dealt, away": ["join", "set_epoch", "set_epoch answer"],
    "busy, dealt, away": ["set_epoch", "append r", "append r answer"],
}
PLAIN_STEPS = {"publish", "tell"}


def group_cells():
    """Return all cells of the group, once and more often than confirmed."""
    return [
        pytest.param(
            count,
            event,
            step,
            manner,
            times,
            id=f"{event}-{count} {step}/{manner.name}/{times}",
        )
        for count in (1, 2)
        for event, steps in GROUP_STEPS.items()
        if count > 1 or event not in ("dealt", "drained")
        for step in steps
        for manner in (UNEXPECTED if step in PLAIN_STEPS else NO_ENGINE)
        for times in (1, 5)
    ]


async def befall(group, event):
    """Let something happen to the group."""
    host = group.arm()
    store = group.ledger
    if event == "dealt":
        store.deal_again()
    elif event == "dealt back":
        store.deal_again(2 * len(group.hosts))
    elif event == "drained":
        group.draining = asyncio.ensure_future(host.owners.drain())
    elif event.endswith(("away", "away long")):
        # Times of members pause meanwhile, as the store's pages say.
        store.down = True
        seconds = 6.0 if event == "away long" else 1.5
        await asyncio.sleep(seconds)
        store.told = {
            name: (at + seconds, keep_s, generation)
            for name, (at, keep_s, generation) in store.told.items()
        }
        store.down = False


@pytest.mark.parametrize(
    ("count", "event", "step", "manner", "times"), group_cells()
)
async def test_a_group_that_breaks_leaves_no_item(
    count, event, step, manner, times
):
    # Three jobs are accepted, in two partitions of one or two hosts. Then
    # partitions change hands, or the store is away, and one step of that
    # breaks at the host that owns the first one. Whoever owns the
    # partitions then runs what is open.
    broken = breakrig.Break(step, manner, times)
    group = grouprig.Group(broken, count)
    await group.settle()
    if "dealt, away" in event:
        # All partitions are then owned in the newest generation.
        group.ledger.deal_again()
        await group.settle()
    jobs = {"j1": (0, 3), "j2": (0, 2), "j3": (1, 2)}
    if "busy" in event:
        # More appends than the store knows the answers of.
        jobs |= {f"k{n}": (0, 1) for n in range(8)}
    for job, (part, items) in jobs.items():
        await group.owner(part).submit(itemrig.part_of(job, items))
    await asyncio.sleep(0.9)
    await befall(group, event)
    await group.check(jobs)
    assert broken.met


@pytest.mark.parametrize("appends", range(6))
@pytest.mark.parametrize("moved_s", [1.0, 2.0, 3.0, 4.0, 5.0, 6.0, 8.0])
async def test_a_partition_retaken_and_dealt_on_lists_all(appends, moved_s):
    # The store comes back and refuses four tries to confirm an epoch. The
    # partition is given up and taken again in the same epoch; its first
    # results are taken for repeats and not kept, the later ones are. Then
    # it is dealt to another host, which finds a gap. Jobs of one item, a
    # number of them, come before and make the appends that are repeated.
    broken = breakrig.Break("set_epoch", STORE[0], 4)
    group = grouprig.Group(broken, 2)
    broken.spread = 0.1
    await group.settle()
    group.ledger.deal_again()
    await group.settle()
    jobs = {f"k{n}": (0, 1) for n in range(appends)} | {"j1": (0, 9)}
    for job, (part, items) in jobs.items():
        await group.owner(part).submit(itemrig.part_of(job, items))
    await asyncio.sleep(0.9)
    await befall(group, "away")
    await asyncio.sleep(moved_s)
    assert broken.met == 4
    group.ledger.deal_again()
    await group.check(jobs)


@pytest.mark.parametrize("hosts", [1, 2])
async def test_a_host_stays_a_member_while_it_confirms_its_partitions(
    hosts, monkeypatch
):
    # The group has dealt twice between two calls of a host, and the store's
    # answers to its questions whether its epochs hold are lost. It asked for
    # one partition after the other, up to 1.6 s each, without telling the
    # store that it lives; that takes a host for gone after 1.2 s, and deals
    # its partitions to others, whose callers wait for a takeover.
    broken = breakrig.Break("none", STORE[0])
    group = grouprig.Group(broken, hosts)
    await group.settle()
    loop = asyncio.get_running_loop()
    host = group.holder(0)
    silent_until = loop.time() + 8 * partition_manager.KEEP_S
    joined = []
    join, set_epoch = group.ledger.join, group.ledger.set_epoch

    async def noted(member, generation, keep_s):
        if member == host.owners.member:
            joined.append(loop.time())
        return await join(member, generation, keep_s)

    async def lost(topic, part, epoch):
        await asyncio.sleep(0.4)
        if loop.time() < silent_until:
            raise errors.LogUnavailable("lost", step="epoch", peer="store")
        await set_epoch(topic, part, epoch)

    monkeypatch.setattr(group.ledger, "join", noted)
    monkeypatch.setattr(group.ledger, "set_epoch", lost)
    for _ in range(3):
        group.ledger.deal_again(2 * hosts)
        await asyncio.sleep(2.0)
    gaps = [b - a for a, b in zip(joined, joined[1:], strict=False)]
    assert max(gaps) < partition_manager.KEEP_S
    assert host.owners.member in group.ledger.told
    await asyncio.sleep(8 * partition_manager.KEEP_S)
    await group.settle()
    await group.check({})
