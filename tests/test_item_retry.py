"""What follows a try of an item that did not end it."""

import pytest

from camphortray import errors
from camphortray import item_retry

AGAIN, ABANDON = item_retry.Fate.AGAIN, item_retry.Fate.ABANDON


def status(code, ran=True):
    """Return an engine's refusal."""
    return errors.UpstreamRefused("no", status=code, ran=ran)


BROKEN = errors.UpstreamBroken("cut", ran=True)


@pytest.mark.parametrize(
    ("tries", "fate"),
    [
        ([status(422)], ABANDON),
        ([status(500)], AGAIN),
        ([status(500)] * 2, AGAIN),
        ([status(500)] * 3, ABANDON),
        # Not run, or broken off: says nothing about the item.
        ([status(503, ran=False)] * 50, AGAIN),
        ([BROKEN] * 10, AGAIN),
        ([status(504)] * 10, AGAIN),
        ([status(500), BROKEN, status(500), status(500)], ABANDON),
    ],
)
def test_an_item_is_given_up_only_for_its_own_fault(tries, fate):
    held = item_retry.ItemTries()
    found = AGAIN
    for error in tries:
        found = item_retry.decide(held, error, "e", 0.0, 3)
    assert found is fate


def test_an_item_that_breaks_engines_is_run_seldom():
    # It may crash each engine that begins it. Three in a row are enough
    # to keep it away from the next for long.
    held = item_retry.ItemTries()
    for _ in range(item_retry.BREAKS):
        item_retry.decide(held, BROKEN, "e", 10.0, 3)
    assert held.not_before >= 10.0 + item_retry.BARRED_S


@pytest.mark.parametrize(
    ("error", "brought"),
    [
        (errors.UpstreamTimeout("silent", ran=True), 0),
        (BROKEN, 1),
    ],
)
def test_what_an_item_is_not_barred_for(error, brought):
    # A host that stands still sees silence everywhere; engines lose answers
    # in the middle. Neither says that the item crashes engines, and barred
    # for it, it was late by a quarter of a minute.
    held = item_retry.ItemTries()
    for _ in range(10):
        item_retry.decide(held, error, "e", 10.0, 3, brought)
    assert held.not_before <= 10.0 + item_retry.MAX_PAUSE_S


def test_the_engine_that_failed_is_avoided_next():
    held = item_retry.ItemTries()
    item_retry.decide(held, status(503, ran=False), "e7", 0.0, 3)
    assert held.avoid == "e7"
    assert 0.0 < held.not_before <= item_retry.MAX_PAUSE_S


def test_what_is_left_of_an_item_is_learned():
    pace = item_retry.Pace()
    for _ in range(100):
        pace.learn(100)
        pace.ran(100, 1.0)
    assert pace.left_s(0) == pytest.approx(1.0, rel=0.1)
    assert pace.left_s(50) == pytest.approx(0.5, rel=0.1)
    # An item that is longer than most still has something left.
    assert pace.left_s(500) > 0


def test_the_time_to_start_grows_with_what_is_read_again():
    # An item that goes on has its text read again; how long that takes is
    # learned from the runs of items, by the events they had made.
    pace = item_retry.Pace()
    for _ in range(100):
        pace.started(0, 0.03)
        pace.started(200, 0.07)
    assert pace.start_s(0) == pytest.approx(0.03, abs=0.001)
    assert pace.start_s(200) == pytest.approx(0.07, abs=0.002)
    assert pace.start_s(100) == pytest.approx(0.05, abs=0.002)


def test_a_slow_start_of_a_fresh_item_is_not_charged_to_others():
    pace = item_retry.Pace()
    pace.started(100, 0.001)
    assert pace.start_s(100) == item_retry.FIRST_START_S


def test_runs_that_were_stopped_at_once_make_no_item_slow():
    # A host has just started, and in a burst each of its items is stopped
    # after a few events. Its items then need four seconds as before, and
    # are not put behind all others as too late.
    pace = item_retry.Pace()
    for _ in range(30):
        pace.started(0, 0.25)
        pace.ran(1, 0.0)
        pace.started(1, 0.3)
        pace.ran(3, 0.09)
    assert pace.left_s(0) == pytest.approx(4.0, rel=0.1)
    assert pace.start_s(200) < 1.0


def test_the_pace_follows_engines_that_are_slower_than_before():
    pace = item_retry.Pace()
    for _ in range(10):
        pace.ran(200, 200 * 0.04)
        pace.learn(200)
    assert pace.left_s(0) == pytest.approx(8.0, rel=0.2)
    assert pace.made_s(100) == pytest.approx(4.0, rel=0.2)
