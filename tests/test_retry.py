"""Tests of which failed attempts may be retried."""

import pytest

from camphortray import errors
from camphortray import retry

NOT_RUN = errors.UpstreamRefused("full", status=503, ran=False)
FINAL = errors.UpstreamRefused("bad", status=422, ran=True)
BROKEN = errors.UpstreamBroken("cut", ran=True)
# Arguments: repeatable, max_ran, max_attempts, final.
ONCE = retry.RetryRule(False, 3, 6, frozenset({422}))
TWICE = retry.RetryRule(True, 2, 6, frozenset({422}))


@pytest.mark.parametrize(
    ("rule", "error", "ran", "refused", "allowed"),
    [
        # Certainly not run: retried until the attempts are used up.
        (ONCE, NOT_RUN, 0, 1, True),
        (ONCE, NOT_RUN, 0, 5, True),
        (ONCE, NOT_RUN, 0, 6, False),
        (TWICE, NOT_RUN, 1, 1, True),
        (TWICE, NOT_RUN, 1, 5, False),
        # May have run: retried only if repeatable, and up to the limit.
        (ONCE, BROKEN, 1, 0, False),
        (TWICE, BROKEN, 1, 0, True),
        (TWICE, BROKEN, 2, 0, False),
        # Another engine would give the same answer.
        (TWICE, FINAL, 1, 0, False),
    ],
)
def test_which_failed_attempts_may_be_retried(
    rule, error, ran, refused, allowed
):
    assert rule.allows(error, ran, refused) is allowed
