"""Retries of items after failed tries, and estimates of their duration."""

import pytest

from camphortray import errors
from camphortray import item_retry

RETRY, ABANDON = (
    item_retry.RetryDecision.RETRY,
    item_retry.RetryDecision.ABANDON,
)


def status(code, ran=True):
    """Return the error for a status of an engine."""
    return errors.UpstreamRefused("no", status=code, ran=ran)


BROKEN = errors.UpstreamBroken("cut", ran=True)


@pytest.mark.parametrize(
    ("tries", "expected"),
    [
        ([status(422)], ABANDON),
        ([status(500)], RETRY),
        ([status(500)] * 2, RETRY),
        ([status(500)] * 3, ABANDON),
        # Not run, or cut off: says nothing about the item.
        ([status(503, ran=False)] * 50, RETRY),
        ([BROKEN] * 10, RETRY),
        ([status(504)] * 10, RETRY),
        ([status(500), BROKEN, status(500), status(500)], ABANDON),
    ],
)
def test_an_item_is_abandoned_only_for_failures_of_its_own(tries, expected):
    state = item_retry.RetryState()
    found = RETRY
    for error in tries:
        found = item_retry.decide(state, error, "e", 0.0, 3)
    assert found is expected


@pytest.mark.parametrize(
    ("within_s", "most"), [(1.0, 3), (15.0, 6), (60.0, 9), (3600.0, 245)]
)
def test_an_item_that_crashes_engines_is_rarely_retried(within_s, most):
    """An item that crashes each engine that starts it took one by one."""
    state = item_retry.RetryState()
    now, runs = 0.0, 0
    while now <= within_s:
        runs += 1
        assert item_retry.decide(state, BROKEN, "e", now, 3) is RETRY
        now = state.not_before
    assert runs <= most


def test_an_item_under_which_engines_crashed_is_soon_retried():
    """A burst of crashes held sound items back long after it was over."""
    state = item_retry.RetryState()
    for _ in range(5):
        item_retry.decide(state, BROKEN, "e", 10.0, 3)
    assert state.not_before <= 14.0


@pytest.mark.parametrize(
    ("error", "received"),
    [
        (errors.UpstreamTimeout("silent", ran=True), 0),
        (BROKEN, 1),
    ],
)
def test_which_failures_do_not_count_as_crashes(error, received):
    # A suspended host sees time-outs everywhere, and engines break off in the
    # middle of answers. Neither means that the item crashes engines; counted
    # as crashes, they delayed it by 15 s.
    state = item_retry.RetryState()
    for _ in range(10):
        item_retry.decide(state, error, "e", 10.0, 3, received)
    assert state.not_before <= 10.0 + item_retry.MAX_PAUSE_S


def test_the_engine_that_failed_is_avoided_next():
    state = item_retry.RetryState()
    item_retry.decide(state, status(503, ran=False), "e7", 0.0, 3)
    assert state.avoid == "e7"
    assert 0.0 < state.not_before <= item_retry.MAX_PAUSE_S


def test_the_time_left_for_an_item_is_estimated():
    estimator = item_retry.DurationEstimator()
    for _ in range(100):
        estimator.learn(100)
        estimator.ran(100, 1.0)
    assert estimator.left_s(0) == pytest.approx(1.0, rel=0.1)
    assert estimator.left_s(50) == pytest.approx(0.5, rel=0.1)
    # An item that is longer than the mean still needs some time.
    assert estimator.left_s(500) > 0


def test_the_time_to_start_grows_with_the_events_already_made():
    # An engine that resumes an item processes its earlier output first. How
    # long that takes is estimated from runs, by the events made before them.
    estimator = item_retry.DurationEstimator()
    for _ in range(100):
        estimator.started(0, 0.03)
        estimator.started(200, 0.07)
    assert estimator.start_s(0) == pytest.approx(0.03, abs=0.001)
    assert estimator.start_s(200) == pytest.approx(0.07, abs=0.002)
    assert estimator.start_s(100) == pytest.approx(0.05, abs=0.002)


def test_a_fast_start_of_a_resumed_item_leaves_the_estimate():
    estimator = item_retry.DurationEstimator()
    estimator.started(100, 0.001)
    assert estimator.start_s(100) == item_retry.INITIAL_START_S


def test_runs_that_were_stopped_at_once_do_not_raise_the_estimate():
    # On a host that has just started, each item is preempted after a few
    # events in a burst. The estimate must stay at four seconds an item;
    # otherwise they count as late and are scheduled last.
    estimator = item_retry.DurationEstimator()
    for _ in range(30):
        estimator.started(0, 0.25)
        estimator.ran(1, 0.0)
        estimator.started(1, 0.3)
        estimator.ran(3, 0.09)
    assert estimator.left_s(0) == pytest.approx(4.0, rel=0.1)
    assert estimator.start_s(200) < 1.0


def test_the_estimate_follows_engines_that_become_slower():
    estimator = item_retry.DurationEstimator()
    for _ in range(10):
        estimator.ran(200, 200 * 0.04)
        estimator.learn(200)
    assert estimator.left_s(0) == pytest.approx(8.0, rel=0.2)
    assert estimator.made_s(100) == pytest.approx(4.0, rel=0.2)
