"""Tests of the order in which callers are told addresses."""

import collections

import msgspec
import pytest

from camphortray import addresses
from camphortray import errors
from camphortray import members


def fleet(hosts, zones, suspects=()):
    return [
        members.Member(
            f"h{n}/entry",
            1,
            members.Status.SUSPECT if n in suspects else members.Status.ALIVE,
            f"z{n % zones}",
            "",
            f"10.0.0.{n}:80",
        )
        for n in range(hosts)
    ]


def zones_of(chosen):
    return [member.availability_zone for member in chosen]


@pytest.mark.parametrize(
    ("hosts", "zones", "limit", "near"),
    [(9, 3, 12, 3), (12, 3, 6, 4), (30, 3, 6, 4), (4, 1, 12, 4), (9, 9, 3, 1)],
)
def test_the_own_zone_comes_first_but_is_not_all(hosts, zones, limit, near):
    chosen = addresses.choose(fleet(hosts, zones), "z0", "me", limit)
    assert len(chosen) == min(hosts, limit)
    assert zones_of(chosen)[:near] == ["z0"] * near
    rest = zones_of(chosen)[near:]
    assert "z0" not in rest
    assert len(set(rest)) == min(len(rest), zones - 1)


def test_callers_of_a_lost_host_spread_and_others_stay():
    # A host is lost and all its callers ask anew. Were the order the same
    # for all of them, one host would get them all at once.
    live = fleet(10, 1)
    callers = [f"c{n}" for n in range(1000)]
    before = {c: addresses.choose(live, "z0", c, 3)[0] for c in callers}
    lost = live[3]
    left = [member for member in live if member is not lost]
    after = {c: addresses.choose(left, "z0", c, 3)[0] for c in callers}
    moved = [c for c in callers if after[c] != before[c]]
    assert all(before[c] is lost for c in moved)
    load = collections.Counter(after[c].name for c in moved)
    assert len(load) == 9
    assert max(load.values()) < 3 * len(moved) / 9


def test_large_hosts_come_first_for_more_callers():
    """Guards against small hosts that carry as much as large ones."""
    live = [
        msgspec.structs.replace(member, capacity=2.0 if n < 3 else 0.5)
        for n, member in enumerate(fleet(9, 1))
    ]
    firsts = collections.Counter(
        addresses.choose(live, "z0", f"c{n}", 3)[0].capacity
        for n in range(2000)
    )
    # Three of 2.0 beside six of 0.5.
    assert firsts[2.0] / 2000 == pytest.approx(2 / 3, abs=0.05)


def test_suspects_come_last_and_the_unready_not_at_all():
    live = fleet(4, 2, suspects=(0, 1))
    live.append(members.Member("new/entry", 1, "alive", "z0", "", ""))
    chosen = addresses.choose(live, "z0", "me", 12)
    assert [m.status == "alive" for m in chosen] == [True, True, False, False]


@pytest.mark.parametrize("text", ["", "0", "-1", "x", "1001", "1e3", "²"])
def test_senseless_limits_are_refused(text):
    with pytest.raises(errors.Refused):
        addresses.limit_of(text)
