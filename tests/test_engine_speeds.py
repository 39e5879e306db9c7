"""Tests of the placement of requests on engines of different speed."""

import pytest

from camphortray import config as configs
from camphortray import engine_speeds
from camphortray import slot_scheduler
from tests import slotkit
from tests import slotplay

ENGINES, SLOTS = 12, 8
HOLD_S, EVENTS = 0.6, 20
PACE_S = HOLD_S / EVENTS
PREFIXES = 64


class UnevenPlay(slotplay.SlotPlay):
    """Plays requests on engines; counts those that took twice the usual."""

    def __init__(self, factors, seed, speeds=True):
        experiments = configs.ExperimentsConfig(speeds=speeds)
        scheduler = slotkit.scheduler_of(
            ENGINES, SLOTS, experiments=experiments
        )
        super().__init__(scheduler, None, seed)
        self.factors = factors
        self.hold_s = self.held_s
        self.late = 0

    def held_s(self, engine, now):
        """Return for how long an engine takes a request."""
        factor, begin, end = self.factors.get(engine, (1.0, 0.0, 0.0))
        hold_s = HOLD_S * (factor if begin <= now < end else 1.0)
        self.late += hold_s > 2 * HOLD_S
        return hold_s

    def end_lease(self, name, held_s, now):
        outcome = slot_scheduler.enginehealth.Outcome.GOOD
        return self.scheduler.done(name, outcome, now, held_s / EVENTS)


def with_prefix(name, at, workspace):
    """Return a request that shares its prefix with others."""
    return slotkit.online(name, at, prefix=f"p{int(name[1:]) % PREFIXES}")


def played(factors, per_s, seed=1, until=16.0, speeds=True):
    """Play a constant load on uneven engines."""
    play = UnevenPlay(factors, seed, speeds)
    wants = slotplay.arrivals(
        play.rng, {"": lambda at: per_s}, until, with_prefix
    )
    play.play(wants, until)
    return play


@pytest.mark.parametrize("seed", range(3))
def test_an_engine_that_turns_slow_gets_few_requests(seed):
    """Guards against answers from a slow engine while others have room."""
    play = played({"e0": (5.0, 2.0, 8.0)}, 60.0, seed)
    sent = sum(play.granted.values())
    # Those that run as it turns slow, and one probe at a time.
    assert play.late <= SLOTS + 3
    assert sent > 600
    assert not sum(play.refused.values())
    # It is back once it is fast again.
    assert not play.scheduler.accounting.table.speeds.slow(16.0)
    assert play.granted["e0"] > 0.5 * sent / ENGINES * 4.0 / 16.0


def test_slow_engines_are_used_where_others_are_full():
    """Guards against refusals while slow engines have free slots."""
    slow = {f"e{n}": (3.0, 0.0, 99.0) for n in range(6)}
    play = played(slow, 150.0)
    shares = sum(play.granted[name] for name in slow)
    assert shares > 0.1 * sum(play.granted.values())


def speeds_of(paces):
    """Return speeds learnt from some samples of each engine."""
    speeds = engine_speeds.EngineSpeeds()
    for _ in range(20):
        for name, pace_s in paces.items():
            speeds.record(name, pace_s, 1.0)
    return speeds


def test_all_engines_slow_alike_are_not_slow():
    """Guards against a service without engines as its model is slow."""
    speeds = speeds_of({f"e{n}": PACE_S for n in range(4)})
    for _ in range(200):
        for number in range(4):
            speeds.record(f"e{number}", 4 * PACE_S, 2.0)
    assert not speeds.slow(2.0)


def test_a_small_difference_leaves_the_placement_alone():
    """Guards against prefix caches that are left for a small difference."""
    speeds = speeds_of({"a": 1.1 * PACE_S, "b": PACE_S, "c": 0.9 * PACE_S})
    assert {speeds.factor(name) for name in "abc"} == {1.0}


def test_prefixes_go_to_engines_in_proportion_to_their_speed():
    counts = {"fast": 0, "slow": 0}
    table = slotkit.scheduler_of().accounting.table
    table.set_engines([slot_scheduler.EngineSlots(name, 8) for name in counts])
    table.speeds = speeds_of({"fast": 0.03, "slow": 0.05})
    table.speeds.usual_s = 0.03
    for number in range(3000):
        counts[table.best(f"p{number}", "", frozenset(), 1.0)] += 1
    assert counts["fast"] / counts["slow"] == pytest.approx(5 / 3, rel=0.1)


@pytest.mark.parametrize(("online", "expected"), [(True, "b"), (False, "a")])
def test_items_go_to_slower_engines_than_questions(online, expected):
    """Guards against questions on slow engines beside items on fast ones."""
    table = slotkit.scheduler_of().accounting.table
    table.set_engines([slot_scheduler.EngineSlots(n, 8) for n in "ab"])
    table.speeds = speeds_of({"a": 0.05, "b": 0.03})
    table.speeds.usual_s = 0.03
    assert table.best("", "", frozenset(), 1.0, online) == expected


def test_a_pace_is_forgotten_with_its_engine():
    """Guards against a new life of an engine that counts as slow."""
    scheduler = slotkit.scheduler_of(2)
    table = scheduler.accounting.table
    table.speeds = speeds_of({"e0": 0.2, "e1": 0.03})
    engines = [slot_scheduler.EngineSlots("e1", 2)]
    scheduler.set_engines(engines, 1.0)
    assert set(table.speeds.by_engine) == {"e1"}
