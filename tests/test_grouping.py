"""Tests of grouped appends: append budget, record sizes and delays."""

import pytest

from camphortray import grouping


@pytest.mark.parametrize(
    ("writers", "expected"), [(0, 0.05), (12, 0.05), (24, 0.1), (390, 1.625)]
)
def test_the_flush_interval_keeps_the_fleet_within_its_budget(
    writers, expected
):
    interval = grouping.flush_interval(writers, 300.0, 0.05)
    assert interval == expected
    assert writers / interval <= 300.0


def limits(**values):
    return grouping.Limits(
        **{"interval_s": 1.0, "record_bytes": 100, **values}
    )


@pytest.mark.parametrize(
    ("made", "items", "expected"),
    [
        # Items are (size, at, urgent); expected is the wait at 0.5 s.
        (limits(), [], None),
        (limits(), [(1, 0.0, False)], 0.0),
        (limits(target=2, max_delay_s=2.0), [(1, 0.0, False)], 1.5),
        (limits(target=2, max_delay_s=2.0), [(1, 0.0, True)], 0.0),
        (limits(target=9, max_delay_s=2.0), [(101, 0.0, False)], 0.0),
        (limits(target=2, max_delay_s=2.0), [(1, 0.0, False)] * 2, 0.0),
    ],
)
def test_wait_until_the_next_append(made, items, expected):
    grouper = grouping.Grouper(made)
    for size, at, urgent in items:
        grouper.add("x", size, at, urgent)
    assert grouper.wait_s(0.5) == expected


def test_groups_keep_to_the_record_limit_and_the_flush_interval():
    grouper = grouping.Grouper(limits())
    for number, size in enumerate((60, 60, 500, 30, 30)):
        grouper.add(number, size, 0.0)
    appends = []
    now = 0.0
    while len(grouper):
        now += grouper.wait_s(now)
        appends.append((now, grouper.take(now)))
    assert appends == [
        (0.0, [0]),
        (1.0, [1]),
        (2.0, [2]),
        (3.0, [3, 4]),
    ]
    assert grouper.bytes == 0 and grouper.wait_s(now) is None
