"""Tests of how often the platform's list is read."""

import random

import pytest

from camphortray import list_polling


def looks(hosts, wanted, seconds):
    pace = list_polling.ListPolling(random.Random(1))
    return [
        at for at in range(seconds) if pace.due(float(at), hosts, wanted(at))
    ]


@pytest.mark.parametrize(("hosts", "most"), [(1, 30), (10, 5), (390, 1)])
def test_looks_at_rest_get_fewer_with_the_fleet(hosts, most):
    assert 1 <= len(looks(hosts, lambda at: False, 100)) <= most


def test_a_second_opinion_comes_soon_but_not_without_end():
    # One watcher's way to a host is broken for good. Its first doubts have
    # the list read within seconds; but as they go on for hours, the list
    # is not read every few seconds for ever.
    at = looks(390, lambda at: at >= 100, 7200)
    assert [a for a in at if 100 <= a <= 105]
    assert len(at) <= 16
    calm = looks(390, lambda at: 100 <= at < 102, 7200)
    assert len(calm) <= 10
