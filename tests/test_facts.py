"""Facts that expire, and what forgetting them costs."""

import pytest

from camphortray import facts
from camphortray import members


def fact(key, version, keep_s=1.0):
    """Return a fact of one kind."""
    return facts.Fact("k", key, version, 0, keep_s)


def table_of(*held):
    """Return a table that holds some facts."""
    table = facts.FactTable()
    for each in held:
        assert table.take(each, 0)
    return table


@pytest.mark.parametrize(
    ("held", "at_ms", "left"),
    [
        ([], 9_999, set()),
        ([fact("a", 0)], 999, {"k a"}),
        ([fact("a", 0)], 1_000, set()),
        ([fact("a", 0), fact("b", 1)], 1_000, {"k b"}),
        ([fact("a", 0, 60.0), fact("b", 0)], 1_000, {"k a"}),
        # A later version takes the place of one that expires.
        ([fact("a", 0), fact("a", 500)], 1_000, {"k a"}),
        ([fact("a", 0), fact("a", 500)], 1_500, set()),
        # A later version that expires before the earlier one would have.
        ([fact("a", 0, 60.0), fact("a", 1, 1.0)], 2_000, set()),
    ],
)
def test_only_what_has_expired_is_forgotten(held, at_ms, left):
    """Guards against facts kept for ever, or dropped with a newer version."""
    table = table_of(*held)
    table.prune(at_ms)
    assert set(table.facts) == left
    expected = table_of(
        *({f.name: f for f in held if f.name in left}.values())
    )
    assert table.buckets == expected.buckets


def test_a_forgotten_fact_leaves_no_trace():
    """Guards against digests that differ for ever between hosts."""
    table = table_of(fact("a", 0), fact("a", 5), fact("b", 3))
    table.prune(10_000)
    assert not table.facts
    assert not table.expiries
    assert table.buckets == [0] * members.BUCKETS


def test_a_prune_looks_at_no_fact_that_rests():
    """Guards against a cost of each tick that grows with the facts held."""
    table = table_of(*(fact(f"f{n}", n, 600.0) for n in range(1000)))
    looked_at = []

    class Watched(dict):
        def get(self, name):
            looked_at.append(name)
            return super().get(name)

        def values(self):
            looked_at.extend(self)
            return super().values()

    table.facts = Watched(table.facts)
    table.prune(10)
    assert not looked_at
