"""Tests of the takeover policy and of hosts that follow it on a shared log."""

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
LIVE, LOST, GONE = takeover.Liveness
TIMING = takeover.Timing(0.6, 0.4, 10.0, 30.0)


@pytest.mark.parametrize(
    ("held", "sight", "rank", "draining", "kinds"),
    [
        # (epoch, owner, challenge); the steps are those at 0, 0.3, 0.7, 31 s.
        ((-1, None, -1), LIVE, 0, False, ["claim"] * 4),
        ((-1, None, -1), LIVE, 1, False, ["", "", "claim", "claim"]),
        ((-1, None, -1), LIVE, 0, True, [""] * 4),
        ((3, OTHER, -1), LIVE, 0, False, [""] * 4),
        ((3, OTHER, -1), LOST, 0, False, ["challenge"] * 4),
        ((3, OTHER, -1), LOST, 1, False, ["", "", "challenge", "challenge"]),
        ((3, OTHER, 4), LOST, 0, False, ["", "", "claim", "claim"]),
        ((3, OTHER, -1), GONE, 0, False, ["claim"] * 4),
        ((3, OTHER, -1), GONE, 1, False, ["", "", "claim", "claim"]),
        # An earlier incarnation of this host has certainly ended; a later
        # one means that this process is outdated.
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
        # Another host is preferred: release only after the rebalance time.
        ((3, ME, -1), LIVE, 1, False, ["", "", "", "release"]),
    ],
)
def test_steps(held, sight, rank, draining, kinds):
    policy = takeover.Policy(ME, TIMING)
    epoch, owner, challenge = held
    seen = takeover.StreamView(
        folds.Ownership(epoch, owner, challenge), sight, lambda: rank, draining
    )
    steps = [policy.step(seen, now) for now in (0.0, 0.3, 0.7, 31.0)]
    assert [step.kind for step in steps] == kinds
    assert all(step.wait_s > 0 for step in steps)


def test_an_owner_that_answers_is_not_challenged_again_soon():
    # The owner reaches the log but not this host. It answers the challenge
    # and keeps the stream; the next challenge follows only after the
    # challenge interval.
    policy = takeover.Policy(ME, TIMING)

    def step(challenge, now):
        held = folds.Ownership(3, OTHER, challenge)
        return policy.step(
            takeover.StreamView(held, LOST, lambda: 0), now
        ).kind

    assert step(-1, 0.0) == "challenge"
    assert step(4, 0.1) == ""
    assert [step(-1, now) for now in (0.2, 1.0, 9.0)] == [""] * 3
    assert step(-1, 10.3) == "challenge"


def test_a_live_owner_that_failed_at_a_request_is_challenged_once():
    policy = takeover.Policy(ME, TIMING)

    def step(challenge, now):
        held = folds.Ownership(3, OTHER, challenge)
        return policy.step(
            takeover.StreamView(held, LIVE, lambda: 0), now
        ).kind

    assert step(-1, 0.0) == ""
    policy.suspect(3)
    assert step(-1, 0.1) == "challenge"
    assert step(4, 0.2) == ""
    assert [step(-1, now) for now in (0.3, 30.0)] == ["", ""]


class Cluster:
    """Hosts that share a log; tests set how each sees the others."""

    def __init__(self, names):
        self.service = log.MemoryLog()
        self.up = set(names)
        self.sights = {}
        self.owners = {}
        self.events = []
        for name in names:
            self.add(name)

    def add(self, name):
        cluster = self

        class Roster(ownership.Roster):
            def live(self):
                return sorted(cluster.up)

            def liveness(self, owner):
                return cluster.sights.get((name, owner.name), LIVE)

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
        """Return the name of the stream's owner according to the log."""
        held = next(iter(self.owners.values())).journal.fold.ownership
        return held.owner.name if held.owner else None

    async def stop(self):
        for owner in self.owners.values():
            await owner.stop()
            await owner.journal.stop()


@contextlib.asynccontextmanager
async def running():
    """Yield a cluster whose stream has an owner."""
    # Not a fixture, as fixtures do not run on the test's simulated clock.
    cluster = Cluster(["a", "b", "c"])
    await asyncio.sleep(2)
    yield cluster
    await cluster.stop()


@pytest.mark.looptime
@pytest.mark.parametrize("sight", [LOST, GONE])
async def test_a_lost_owner_is_replaced_by_one_other(sight):
    # The owner is paused and the others consider it lost. One of them
    # claims the stream. The old owner learns of it once it reads the log
    # again, and what it appends in its old epoch is void.
    async with running() as cluster:
        first = cluster.owner()
        old = cluster.owners[first]
        epoch = old.epoch
        await old.stop()
        await old.journal.stop()
        cluster.up.discard(first)
        others = cluster.up.copy()
        cluster.sights = {(name, first): sight for name in others}
        for name in others:
            cluster.owners[name].wake()
        await asyncio.sleep(2.5)
        second = cluster.owners[min(others)].journal.fold.ownership.owner.name
        assert second in others
        assert cluster.events == [(first, "gain"), (second, "gain")]
        old.journal.start()
        forget = {"calls": []}
        outcome = await old.journal.append(calls.FORGET, forget, epoch)
        assert outcome.verdict is folds.Verdict.STALE
        assert cluster.events[-1] == (first, "loss")


@pytest.mark.looptime
async def test_hosts_cut_off_from_each_other_do_not_alternate():
    # All hosts reach the log. The owner answers each challenge, so it keeps
    # the stream, and the log is not filled with challenges.
    async with running() as cluster:
        first = cluster.owner()
        cluster.sights = {
            (a, b): LOST for a in cluster.up for b in cluster.up if a != b
        }
        for owner in cluster.owners.values():
            owner.wake()
        before = cluster.service.appends
        await asyncio.sleep(25)
        assert cluster.owner() == first
        assert cluster.events == [(first, "gain")]
        assert 0 < cluster.service.appends - before <= 12


@pytest.mark.looptime
async def test_a_host_that_leaves_hands_over_at_once():
    async with running() as cluster:
        first = cluster.owner()
        flushed = []

        async def flush():
            flushed.append(cluster.owner())

        cluster.owners[first].before_release = flush
        cluster.up.discard(first)
        await cluster.owners[first].release()
        assert flushed == [first]
        await asyncio.sleep(0.1)
        assert cluster.owner() not in (first, None)


@pytest.mark.looptime
async def test_nothing_is_appended_while_the_owner_is_live():
    async with running() as cluster:
        before = cluster.service.appends
        await asyncio.sleep(3600)
        assert cluster.service.appends == before


@pytest.mark.looptime
async def test_a_busy_stream_is_not_moved_to_balance_the_load():
    # A host joins that is the preferred owner. The owner runs items that
    # must not run twice, and releases the stream only when they have ended.
    async with running() as cluster:
        first = cluster.owner()
        busy = [True]
        cluster.owners[first].busy = lambda: busy[0]
        cluster.owners[first].roster.live = lambda: ["z1", "z2", "z3", "z4"]
        cluster.owners[first].wake()
        await asyncio.sleep(100)
        assert cluster.owner() == first
        busy.clear()
        busy.append(False)
        await asyncio.sleep(200)
        assert (first, "loss") in cluster.events
