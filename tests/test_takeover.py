"""Tests of who takes a stream over, when, and who does not."""

import asyncio
import contextlib
import random

import pytest

from camphortray import calls
from camphortray import fold as folds
from camphortray import journal
from camphortray import log
from camphortray import ownership
from camphortray import records
from camphortray import takeover

ME = records.Writer("me/batch", 5)
OTHER = records.Writer("other/batch", 5)
LIVE, LOST, GONE = takeover.Sight
TIMING = takeover.Timing(0.6, 0.4, 10.0, 30.0)


@pytest.mark.parametrize(
    ("held", "sight", "rank", "draining", "kinds"),
    [
        # (epoch, owner, challenge), then what is done at 0, 0.3, 0.7, 31 s
        ((-1, None, -1), LIVE, 0, False, ["claim"] * 4),
        ((-1, None, -1), LIVE, 1, False, ["", "", "claim", "claim"]),
        ((-1, None, -1), LIVE, 0, True, [""] * 4),
        ((3, OTHER, -1), LIVE, 0, False, [""] * 4),
        ((3, OTHER, -1), LOST, 0, False, ["challenge"] * 4),
        ((3, OTHER, -1), LOST, 1, False, ["", "", "challenge", "challenge"]),
        ((3, OTHER, 4), LOST, 0, False, ["", "", "claim", "claim"]),
        ((3, OTHER, -1), GONE, 0, False, ["claim"] * 4),
        ((3, OTHER, -1), GONE, 1, False, ["", "", "claim", "claim"]),
        # An earlier life of this host is gone for certain, a later one
        # means that this process was left behind.
        (
            (3, records.Writer("me/batch", 4), -1),
            LIVE,
            9,
            False,
            ["claim"] * 4,
        ),
        ((3, records.Writer("me/batch", 6), -1), LOST, 0, False, [""] * 4),
        ((3, ME, 4), LIVE, 0, False, ["alive"] * 4),
        ((3, ME, -1), LIVE, 0, False, [""] * 4),
        ((3, ME, -1), LIVE, 0, True, ["release"] * 4),
        # Another host comes first: hand over, but only after a while.
        ((3, ME, -1), LIVE, 1, False, ["", "", "", "release"]),
    ],
)
def test_steps(held, sight, rank, draining, kinds):
    policy = takeover.Policy(ME, TIMING)
    epoch, owner, challenge = held
    seen = takeover.Seen(
        folds.Ownership(epoch, owner, challenge), sight, lambda: rank, draining
    )
    steps = [policy.step(seen, now) for now in (0.0, 0.3, 0.7, 31.0)]
    assert [step.kind for step in steps] == kinds
    assert all(step.again_s > 0 for step in steps)


def test_an_owner_that_answers_is_left_in_peace():
    # The owner reaches the log but not us. It answers our challenge, and
    # keeps the stream; we ask again only much later, not in a loop.
    policy = takeover.Policy(ME, TIMING)

    def step(challenge, now):
        held = folds.Ownership(3, OTHER, challenge)
        return policy.step(takeover.Seen(held, LOST, lambda: 0), now).kind

    assert step(-1, 0.0) == "challenge"
    assert step(4, 0.1) == ""
    assert [step(-1, now) for now in (0.2, 1.0, 9.0)] == [""] * 3
    assert step(-1, 10.3) == "challenge"


def test_a_live_owner_that_failed_at_a_request_is_challenged_once():
    policy = takeover.Policy(ME, TIMING)

    def step(challenge, now):
        held = folds.Ownership(3, OTHER, challenge)
        return policy.step(takeover.Seen(held, LIVE, lambda: 0), now).kind

    assert step(-1, 0.0) == ""
    policy.doubt(3)
    assert step(-1, 0.1) == "challenge"
    assert step(4, 0.2) == ""
    assert [step(-1, now) for now in (0.3, 30.0)] == ["", ""]


class Fleet:
    """Hosts that share a log; who sees whom is set by hand."""

    def __init__(self, names):
        self.service = log.MemoryLog()
        self.up = set(names)
        self.sights = {}
        self.owners = {}
        self.events = []
        for name in names:
            self.add(name)

    def add(self, name):
        fleet = self

        class Roster(ownership.Roster):
            def live(self):
                return sorted(fleet.up)

            def sight(self, owner):
                return fleet.sights.get((name, owner.name), LIVE)

        held = journal.Journal(
            self.service,
            "calls.0",
            calls.CallsFold(),
            records.Writer(name, 1),
            random.Random(name),
        )
        owner = ownership.Owner(held, Roster(), TIMING)
        owner.on_gain = lambda epoch: self.events.append((name, "gain"))
        owner.on_loss = lambda: self.events.append((name, "loss"))
        self.owners[name] = owner
        held.start()
        owner.start()

    def owner(self):
        """Return who owns the stream by the log."""
        held = next(iter(self.owners.values())).journal.fold.ownership
        return held.owner.name if held.owner else None

    async def stop(self):
        for owner in self.owners.values():
            await owner.stop()
            await owner.journal.stop()


@contextlib.asynccontextmanager
async def running():
    """Give a fleet whose stream has found an owner."""
    # Not a fixture, as the time of those is not the test's.
    made = Fleet(["a", "b", "c"])
    await asyncio.sleep(2)
    yield made
    await made.stop()


@pytest.mark.looptime
@pytest.mark.parametrize("sight", [LOST, GONE])
async def test_a_lost_owner_is_followed_by_one_other(sight):
    # The owner is paused and the others take it for lost. One claims;
    # the old owner hears of it as soon as it reads on, and what it wrote
    # in its old epoch meanwhile is void.
    async with running() as fleet:
        first = fleet.owner()
        old = fleet.owners[first]
        epoch = old.epoch
        await old.stop()
        await old.journal.stop()
        fleet.up.discard(first)
        others = fleet.up.copy()
        fleet.sights = {(name, first): sight for name in others}
        for name in others:
            fleet.owners[name].wake()
        await asyncio.sleep(2.5)
        second = fleet.owners[min(others)].journal.fold.ownership.owner.name
        assert second in others
        assert fleet.events == [(first, "gain"), (second, "gain")]
        old.journal.start()
        forget = {"calls": []}
        outcome = await old.journal.append(calls.FORGET, forget, epoch)
        assert outcome.verdict is folds.Verdict.STALE
        assert fleet.events[-1] == (first, "loss")


@pytest.mark.looptime
async def test_hosts_out_of_reach_of_each_other_do_not_take_turns():
    # Both reach the log. The owner answers each challenge, so the stream
    # stays; and the log is not filled with challenges.
    async with running() as fleet:
        first = fleet.owner()
        fleet.sights = {
            (a, b): LOST for a in fleet.up for b in fleet.up if a != b
        }
        for owner in fleet.owners.values():
            owner.wake()
        before = fleet.service.appends
        await asyncio.sleep(25)
        assert fleet.owner() == first
        assert fleet.events == [(first, "gain")]
        assert 0 < fleet.service.appends - before <= 12


@pytest.mark.looptime
async def test_a_host_that_leaves_hands_over_at_once():
    async with running() as fleet:
        first = fleet.owner()
        flushed = []

        async def flush():
            flushed.append(fleet.owner())

        fleet.owners[first].before_release = flush
        fleet.up.discard(first)
        await fleet.owners[first].release()
        assert flushed == [first]
        await asyncio.sleep(0.1)
        assert fleet.owner() not in (first, None)


@pytest.mark.looptime
async def test_nothing_is_written_while_all_is_well():
    async with running() as fleet:
        before = fleet.service.appends
        await asyncio.sleep(3600)
        assert fleet.service.appends == before


@pytest.mark.looptime
async def test_a_busy_shard_is_not_moved_to_spread_the_load():
    # A host comes that should own the shard. The owner runs items that
    # may not run again, and hands over only when they have ended.
    async with running() as fleet:
        first = fleet.owner()
        busy = [True]
        fleet.owners[first].busy = lambda: busy[0]
        fleet.owners[first].roster.live = lambda: ["z1", "z2", "z3", "z4"]
        fleet.owners[first].wake()
        await asyncio.sleep(100)
        assert fleet.owner() == first
        busy.clear()
        busy.append(False)
        await asyncio.sleep(200)
        assert (first, "loss") in fleet.events
