"""Tests of which failed tries may be followed by another."""

import pytest

from camphortray import errors
from camphortray import retry

NOT_RUN = errors.UpstreamRefused("full", status=503, ran=False)
FINAL = errors.UpstreamRefused("bad", status=422, ran=True)
BROKEN = errors.UpstreamBroken("cut", ran=True)
# (may run again, most that ran, most tries)
ONCE = retry.RetryRule(False, 3, 6, frozenset({422}))
TWICE = retry.RetryRule(True, 2, 6, frozenset({422}))


@pytest.mark.parametrize(
    ("rule", "error", "ran", "refused", "allowed"),
    [
        # Certainly not run: whatever the request, until tries are used up.
        (ONCE, NOT_RUN, 0, 1, True),
        (ONCE, NOT_RUN, 0, 5, True),
        (ONCE, NOT_RUN, 0, 6, False),
        (TWICE, NOT_RUN, 1, 1, True),
        (TWICE, NOT_RUN, 1, 5, False),
        # May have run: only what may be repeated, and within its limit.
        (ONCE, BROKEN, 1, 0, False),
        (TWICE, BROKEN, 1, 0, True),
        (TWICE, BROKEN, 2, 0, False),
        # Another engine would say the same.
        (TWICE, FINAL, 1, 0, False),
    ],
)
def test_what_may_follow(rule, error, ran, refused, allowed):
    assert rule.allows(error, ran, refused) is allowed
