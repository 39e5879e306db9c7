"""Decisions on an item after a failed try."""

import random

import pytest

from camphortray import errors
from camphortray import itempolicy
from camphortray import jobqueue


def refused(status, ran=True):
    return errors.UpstreamRefused("no", status=status, ran=ran)


def broken(ran=True):
    return errors.UpstreamBroken("cut", ran=ran)


@pytest.mark.parametrize(
    ("error", "item", "more", "wanted"),
    [
        (broken(), {}, {}, itempolicy.Retry),
        (broken(), {"tries": 2}, {}, itempolicy.Retry),
        (broken(), {"tries": 3}, {}, itempolicy.Fail),
        (errors.UpstreamTimeout("t", ran=True), {}, {}, itempolicy.Retry),
        # What certainly did not run is retried without limit.
        (broken(False), {"tries": 3, "refusals": 99}, {}, itempolicy.Retry),
        (refused(503, False), {"refusals": 99}, {}, itempolicy.Retry),
        # The request itself is at fault.
        (refused(400), {}, {}, itempolicy.Fail),
        (refused(422), {}, {"idempotent": False}, itempolicy.Fail),
        # The model may still be loading.
        (refused(404), {}, {}, itempolicy.Retry),
        (refused(404), {"tries": 3}, {}, itempolicy.Fail),
        # At most two crashes: one among other items, one alone.
        (broken(), {}, {"crashed": True}, itempolicy.Crash),
        (broken(), {"crashes": 1}, {"crashed": True}, itempolicy.Fail),
        (broken(), {"crashes": 1}, {}, itempolicy.Retry),
        # What must not run twice is not retried once it may have run.
        (broken(), {}, {"idempotent": False}, itempolicy.Unknown),
        (refused(500), {}, {"idempotent": False}, itempolicy.Unknown),
        (broken(False), {}, {"idempotent": False}, itempolicy.Retry),
    ],
)
def test_decision_after_a_failed_try(error, item, more, wanted):
    given = {"crashed": False, "idempotent": True, "attempts": 4, **more}
    decision = itempolicy.decide(
        jobqueue.Item("j", 0, b"", **item),
        error,
        rng=random.Random(1),
        **given,
    )
    assert type(decision) is wanted


def test_pauses_grow_with_jitter_and_stay_bounded():
    rng = random.Random(1)
    pauses = [itempolicy.retry_pause_s(n, rng) for n in range(40)]
    assert 0.1 <= pauses[0] <= 0.2 and pauses[4] > pauses[0]
    assert max(pauses) <= itempolicy.MAX_PAUSE_S
    assert len(set(pauses[20:])) == 20
