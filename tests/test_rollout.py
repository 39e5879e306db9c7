"""Tests of the decision which orders upstreams need."""

import pytest

from camphortray import engine
from camphortray import rollout

OLD, NEW = ("lm", "1"), ("lm", "2")
WANTED = rollout.Wanted({"lm": "2"})


def state(*models, loading=(), adapters=(), role="mixed"):
    return engine.EngineState(
        tuple(models), tuple(loading), tuple(adapters), role
    )


def load(model="lm", version="2", adapter=""):
    return engine.Order("load", model, version, adapter)


@pytest.mark.parametrize(
    ("wanted", "held", "order"),
    [
        (WANTED, state(OLD), load()),
        (WANTED, state(), load()),
        (WANTED, state(OLD, NEW), engine.Order("unload", "lm", "1")),
        (WANTED, state(NEW), None),
        (
            WANTED,
            state(NEW, role="decode"),
            engine.Order("role", role="mixed"),
        ),
        (
            rollout.Wanted({"lm": "2"}, frozenset({("lm", "winter")})),
            state(NEW),
            load(adapter="winter"),
        ),
        (
            WANTED,
            state(NEW, adapters=[("lm", "winter")]),
            engine.Order("unload", "lm", adapter="winter"),
        ),
        (rollout.Wanted({}), state(OLD), None),
    ],
    ids=[
        "new version",
        "empty after a restart",
        "old version",
        "as wanted",
        "role",
        "adapter missing",
        "adapter left over",
        "nothing wanted",
    ],
)
def test_one_upstream_gets_the_order_it_needs_next(wanted, held, order):
    assert rollout.next_order(wanted, held) == order


@pytest.mark.parametrize(
    ("states", "floor", "loads", "given"),
    [
        ({"a": [OLD], "b": [OLD], "c": [OLD], "d": [OLD]}, 0.75, 9, "a"),
        ({"a": [OLD], "b": [OLD], "c": [OLD], "d": [OLD]}, 0.5, 9, "ab"),
        ({"a": [OLD], "b": [OLD], "c": [OLD], "d": [OLD]}, 0.5, 1, "a"),
        ({"a": [OLD], "b": [OLD], "c": [OLD], "d": None}, 0.5, 9, "a"),
        ({"a": [OLD], "b": [OLD], "c": [OLD], "d": []}, 0.75, 9, "d"),
        ({"a": [OLD]}, 0.75, 9, "a"),
        ({"a": "loading", "b": [OLD], "c": [OLD], "d": [OLD]}, 0.75, 9, ""),
        ({"a": "loading", "b": [], "c": [OLD], "d": [OLD]}, 0.75, 9, "b"),
    ],
    ids=[
        "floor of three quarters",
        "floor of one half",
        "weight store",
        "one is away",
        "empty one first",
        "the only one",
        "wait for the one that loads",
        "an empty one need not wait",
    ],
)
def test_a_rollout_keeps_capacity_above_the_floor(states, floor, loads, given):
    seen = {
        name: state(OLD, loading=[NEW])
        if models == "loading"
        else state(*models)
        for name, models in states.items()
        if models is not None
    }
    steps = rollout.next_steps(
        dict.fromkeys(states, WANTED), seen, rollout.Limits(floor, loads)
    )
    assert "".join(step.upstream for step in steps) == given


def test_a_load_that_its_state_does_not_show_yet_counts():
    steps = rollout.next_steps(
        dict.fromkeys("abcd", WANTED),
        dict.fromkeys("abcd", state(OLD)),
        rollout.Limits(0.75, 9),
        loading=frozenset("a"),
    )
    assert steps == []
