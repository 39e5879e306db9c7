"""Tests of which hosts callers are given where hosts differ in size."""

import collections
import random

import pytest

from camphortray import config as configs
from camphortray import host_capacity
from camphortray import members

ZONES = ("z0", "z1", "z2")
LARGE, SMALL = 2.15, 0.39


def host(number, capacity, zone=None):
    """Return a host that takes callers."""
    return members.Member(
        f"h{number}/host",
        1,
        members.Status.ALIVE,
        zone or ZONES[number % len(ZONES)],
        "127.0.0.1:1",
        f"127.0.0.1:{8000 + number}",
        capacity=capacity,
    )


def fleet(large=12, small=48):
    """Return a fleet of mostly small hosts in three zones."""
    return [
        host(number, LARGE if number < large else SMALL)
        for number in range(large + small)
    ]


def callers(hosts, zone="z0", answers=3000):
    """Return the share of callers that each host gets."""
    rng = random.Random(1)
    counts = collections.Counter(
        rng.choice(host_capacity.choose(hosts, zone, rng))
        for _ in range(answers)
    )
    return {member: counts[member] / answers for member in hosts}


def share_of(shares, condition):
    """Return the share of callers of the hosts that meet a condition."""
    return sum(share for member, share in shares.items() if condition(member))


@pytest.mark.parametrize(
    ("cores", "memory_mb", "descriptors", "link_mbps", "expected"),
    [
        (2.15, 552, 10250, 300, 2.15),
        (2.15, 160, 10250, 300, 1.6),
        (2.15, 552, 1638, 11, 0.55),
        (0.0, 0.0, 0.0, 0.0, 0.0),
        (0.5, 0.0, 0.0, 0.0, 0.5),
    ],
)
def test_the_scarcest_resource_decides(
    cores, memory_mb, descriptors, link_mbps, expected
):
    resources = configs.ResourcesConfig(
        cores, memory_mb, descriptors, link_mbps
    )
    assert host_capacity.capacity_of(resources) == expected


@pytest.mark.parametrize(
    ("capacities", "expected"),
    [((2.0, 2.0), False), ((2.0, 0.5), True), ((0.0, 0.0), False),
     ((2.0, 0.0), False), ((2.0, 1.8), False)],
)  # fmt: skip
def test_hosts_of_one_size_are_not_weighed(capacities, expected):
    hosts = [host(n, capacity) for n, capacity in enumerate(capacities)]
    assert host_capacity.uneven(hosts) == expected


def test_small_hosts_get_few_callers_and_zones_keep_theirs():
    """Guards against small hosts that carry as much as large ones."""
    shares = callers(fleet())
    near = share_of(shares, lambda h: h.availability_zone == "z0")
    assert near >= 0.9
    large = share_of(shares, lambda h: h.capacity == LARGE)
    by_size = 12 * LARGE / (12 * LARGE + 48 * SMALL)
    # An answer names more hosts than a zone has large ones.
    assert large >= 0.5 * by_size
    assert max(shares.values()) <= 0.12
    near_large = [h for h in shares if h.name in ("h0/host", "h3/host")]
    small = max(share for h, share in shares.items() if h.capacity == SMALL)
    assert small < min(shares[h] for h in near_large)


@pytest.mark.parametrize(
    ("left", "least", "most"), [(0, 0.0, 0.0), (4, 0.1, 0.5), (20, 0.9, 1.0)]
)
def test_a_zone_that_lost_hosts_sends_callers_to_others(left, least, most):
    """Guards against the rest of a zone that takes all of its callers."""
    hosts = fleet(0, 60)
    near = [h for h in hosts if h.availability_zone == "z0"][:left]
    hosts = near + [h for h in hosts if h.availability_zone != "z0"]
    found = share_of(callers(hosts), lambda h: h.availability_zone == "z0")
    assert least <= found <= most


def test_a_host_of_the_release_before_gets_callers():
    """Guards against hosts without a known capacity that stand idle."""
    hosts = [*fleet(), host(61, 0.0, "z0")]
    assert callers(hosts)[hosts[-1]] > 0.01
