"""Tests of who gets the slots when workspaces ask for more than there are."""

import functools

import pytest

from camphortray import config as configs
from camphortray import fair_shares
from camphortray import slot_reconciler
from camphortray import slot_scheduler
from tests import slotkit
from tests import slotplay

ENGINES, SLOTS, HOLD_S = 24, 8, 0.6
WORKSPACES, SKEW, HOT_FACTOR = 77, 1.2, 7.5
MEAN_PER_S = 93.0
CYCLE_S, BURST_S, BURST_FACTOR, TROUGH_FACTOR = 5.2, 2.2, 1.85, 0.378
SECONDS = 15.6


def shape(at):
    """Return the factor on the mean load at a time."""
    in_burst = at % CYCLE_S >= CYCLE_S - BURST_S
    return BURST_FACTOR if in_burst else TROUGH_FACTOR


@functools.cache
def usual_rates():
    """Return the usual requests a second by workspace, some large."""
    ranks = {f"w{n}": 1 / (n + 1) ** SKEW for n in range(WORKSPACES)}
    scale = MEAN_PER_S / sum(ranks.values())
    return {name: rank * scale for name, rank in ranks.items()}


def weight_of(workspace):
    """Return the usual rate of a workspace as its weight."""
    return usual_rates().get(workspace, 1.0)


def scheduler_of(engines, fair=True):
    """Return a scheduler in which weights are usual rates."""
    experiments = configs.ExperimentsConfig(fair_shares=fair)
    return slotkit.scheduler_of(
        engines, SLOTS, experiments=experiments, weight_of=weight_of
    )


def rate(usual, factor, at):
    """Return the load of a workspace at a time."""
    return usual * factor * shape(at)


def played(seed, hot, fair=True, engines=ENGINES * 2 // 3):
    """Play three workspaces, hot or silent, beside all others."""
    play = slotplay.SlotPlay(
        scheduler_of(engines, fair), lambda engine, now: HOLD_S, seed
    )
    usual = usual_rates()
    factors = {name: 1.0 for name in usual} | {f"w{n}": hot for n in range(3)}
    rates = {
        name: functools.partial(rate, usual[name], factors[name])
        for name in usual
    }
    wants = slotplay.arrivals(play.rng, rates, SECONDS, slotkit.online)
    play.play(wants, SECONDS + 2)
    return play


def share_refused(play, names):
    """Return the share of some workspaces' requests that were refused."""
    refused = sum(play.refused[name] for name in names)
    return refused / (refused + sum(len(play.waits[n]) for n in names))


@pytest.mark.parametrize("seed", range(3))
def test_hot_workspaces_do_not_take_the_slots_of_others(seed):
    """Guards against callers refused for the load of another workspace."""
    others = [f"w{n}" for n in range(3, WORKSPACES)]
    hot = [f"w{n}" for n in range(3)]
    alone, beside = played(seed, 0.0), played(seed, HOT_FACTOR)
    assert share_refused(beside, others) <= share_refused(alone, others) + 0.01
    waits = sorted(w for name in others for w in beside.waits[name])
    # Two slots that become free, of those of all engines, answer a burst.
    assert waits[int(0.95 * len(waits))] <= 0.1
    # Those over their share use what the others leave.
    assert share_refused(beside, hot) <= 0.75
    used = sum(beside.granted.values()) * HOLD_S
    assert used >= 0.6 * ENGINES * 2 / 3 * SLOTS * SECONDS
    # No workspace is starved.
    served = [len(beside.waits[name]) for name in hot]
    sent = [len(beside.waits[n]) + beside.refused[n] for n in hot]
    ratios = [a / b for a, b in zip(served, sent, strict=True)]
    assert min(ratios) >= 0.25 * (1 - share_refused(beside, [*hot, *others]))


def test_without_shares_hot_workspaces_do():
    """Shows that the load above presses."""
    others = [f"w{n}" for n in range(3, WORKSPACES)]
    assert share_refused(played(0, HOT_FACTOR, fair=False), others) > 0.1


def test_a_share_that_is_not_used_is_lent():
    """Guards against slots kept for workspaces that do not ask."""
    scheduler = scheduler_of(1)
    slotkit.fill(scheduler, SLOTS, slotkit.online)
    assert len(scheduler.leases) == SLOTS


def ask(scheduler, names, workspace, at=0.0, **fields):
    """Ask for slots for several requests of a workspace."""
    decisions = []
    for name in names:
        want = slotkit.online(name, at, workspace=workspace, **fields)
        decisions += scheduler.ask(want, at)
    return slotkit.kinds(decisions)


def test_a_waiting_request_over_its_share_is_refused_for_another():
    """Guards against a queue filled by the workspace that came first."""
    scheduler = scheduler_of(1)
    ask(scheduler, [f"a{n}" for n in range(8)], "w1")
    assert ask(scheduler, ["a8", "a9"], "w1") == []
    assert ask(scheduler, ["b0"], "w0") == [("Refuse", "a9")]
    assert [want.id for want in scheduler.queue] == ["b0", "a8"]


def test_a_higher_priority_goes_before_a_share():
    """Guards against urgent requests behind others for their share."""
    scheduler = scheduler_of(1)
    ask(scheduler, [f"a{n}" for n in range(8)], "w1")
    ask(scheduler, ["b0"], "w0", priority=1)
    ask(scheduler, ["a8"], "w1", priority=0)
    assert [want.id for want in scheduler.queue] == ["a8", "b0"]


def test_a_new_coordinator_charges_reported_leases_once():
    """Guards against a share that is counted anew with each report."""
    scheduler = scheduler_of(1)
    reconciler = slot_reconciler.SlotReconciler(scheduler)
    leases = [
        slot_scheduler.Lease(slotkit.online(f"a{n}", workspace="w1"), "e0", 0)
        for n in range(8)
    ]
    waiting = slotkit.online("b0", workspace="w0", objective_s=9.0)
    scheduler.queue = [waiting]
    for _ in range(3):
        reconciler.on_holder_report("h", leases, (), 0.1)
    used = 8 * scheduler.hold_s - scheduler.shares.credit
    found = scheduler.shares.used["w1"]
    assert found == pytest.approx(used / weight_of("w1"))


@pytest.mark.parametrize(
    ("due_b", "short", "first"),
    [(9.0, True, "b0"), (9.0, False, "a0"), (7.0, False, "b0")],
)
def test_items_take_turns_only_if_time_is_short(due_b, short, first):
    """Guards against a large job that holds all slots of items."""
    scheduler = slot_scheduler.SlotScheduler()
    scheduler.item_shares.charge("a", 1.0)
    for number in range(3):
        scheduler.items.add(slotkit.item(f"a{number}", 8.0, workspace="a"))
    scheduler.items.add(slotkit.item("b0", due_b, workspace="b"))
    scheduler.pressed = lambda want, now: short
    assert scheduler.items.pop(0.0, scheduler.item_turns(0.0)).id == first


def test_what_a_run_did_not_use_is_credited():
    """Guards against a workspace that pays for preempted runs in full."""
    scheduler = scheduler_of(1)
    want = slotkit.item("a0", workspace="w1")
    lease = slot_scheduler.Lease(want, "e0", 0.0)
    scheduler.charge(lease)
    scheduler.settle(lease, 1.0)
    used = scheduler.item_shares.used["w1"]
    assert used == pytest.approx(1.0 / weight_of("w1"))


@pytest.mark.parametrize(
    ("weights", "expected"),
    [({"a": 1, "b": 1}, [0, 0, 2, 2]), ({"a": 1, "b": 4}, [0, 0, 2, 0.5])],
)
def test_a_weight_sets_the_pace_of_a_workspace(weights, expected):
    shares = fair_shares.FairShares(weights.get)
    assert shares.tags(["a", "b", "a", "b"], 2.0) == expected


def test_an_idle_workspace_may_send_a_few_requests_at_once():
    """Guards against small workspaces that are over their share at once."""
    shares = fair_shares.FairShares({"a": 9.0, "b": 1.0}.get, 3.0)
    shares.charge("a", 90.0)
    shares.advance({"a"})
    now = shares.virtual_now
    tags = shares.tags(["a", "b", "b", "b", "b"], 1.0)
    assert tags == [now, now - 3.0, now - 2.0, now - 1.0, now]


def test_an_idle_workspace_is_neither_charged_nor_credited():
    shares = fair_shares.FairShares()
    shares.charge("a", 3.0)
    shares.advance({"a"})
    assert shares.start("b") == 3.0
    shares.charge("a", 1.0)
    shares.advance({"a", "b"})
    assert (shares.start("b"), shares.start("a")) == (3.0, 4.0)
    shares.advance(())
    assert shares.start("a") == 0.0
