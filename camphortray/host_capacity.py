"""How much load hosts can carry, and which of them callers are given.

Hosts that announce no capacity count alike, as do hosts of one size; callers
are then given all of them.
"""

__all__ = ["capacity_of", "choose", "uneven", "weights_of"]

from collections.abc import Sequence
import random

from camphortray import config as configs
from camphortray import members

# What a host needs of each resource to carry a unit of load.
UNIT_CORES = 1.0
UNIT_MEMORY_MB = 100.0
UNIT_DESCRIPTORS = 1000.0
UNIT_LINK_MBPS = 20.0
# Hosts count as of one size if the largest is below this many times the
# smallest.
EVEN_FACTOR = 1.25
# Addresses in one answer, and those of them that are in other zones, for a
# caller whose zone is lost while it keeps the answer.
ADDRESSES = 12
FAR_ADDRESSES = 1
# A zone carries its own callers while its capacity is at least this share of
# the mean of all zones.
CARRYING_SHARE = 0.7


def capacity_of(resources: configs.ResourcesConfig) -> float:
    """Return the units of load that a host can carry, 0 if not known.

    The scarcest resource decides.
    """
    units = (
        resources.cores / UNIT_CORES,
        resources.memory_mb / UNIT_MEMORY_MB,
        resources.descriptors / UNIT_DESCRIPTORS,
        resources.link_mbps / UNIT_LINK_MBPS,
    )
    return round(min((unit for unit in units if unit), default=0.0), 2)


def uneven(hosts: Sequence[members.Member]) -> bool:
    """Return whether hosts announce clearly different capacities."""
    known = [host.capacity for host in hosts if host.capacity]
    return bool(known) and max(known) >= EVEN_FACTOR * min(known)


def weights_of(hosts: Sequence[members.Member]) -> dict[str, float]:
    """Return the weight of each host; one of unknown size is a mean one."""
    if not uneven(hosts):
        return dict.fromkeys((host.name for host in hosts), 1.0)
    known = [host.capacity for host in hosts if host.capacity]
    mean = sum(known) / len(known)
    return {host.name: host.capacity or mean for host in hosts}


def choose(
    hosts: Sequence[members.Member], zone: str, rng: random.Random
) -> list[members.Member]:
    """Return the hosts that a caller may use, any of them with equal chance.

    Larger hosts are in more answers than small ones. Most are in the zone of
    the caller, as long as it has the capacity for its callers.

    Args:
      hosts: Hosts that take callers.
      zone: Availability zone of the caller.
      rng: Source of randomness.
    """
    weights = weights_of(hosts)
    near = [host for host in hosts if host.availability_zone == zone]
    far = [host for host in hosts if host.availability_zone != zone]
    zones = {host.availability_zone for host in hosts}
    near_total = sum(weights[host.name] for host in near)
    fair_total = sum(weights.values()) / max(1, len(zones))
    carried = min(1.0, near_total / (CARRYING_SHARE * fair_total or 1.0))
    count = round(carried * (ADDRESSES - FAR_ADDRESSES))
    chosen = sample(near, weights, count, rng)
    return chosen + sample(far, weights, ADDRESSES - len(chosen), rng)


def sample(
    hosts: Sequence[members.Member],
    weights: dict[str, float],
    count: int,
    rng: random.Random,
) -> list[members.Member]:
    """Return some hosts, chosen at random by their weights.

    Efraimidis and Spirakis, "Weighted random sampling with a reservoir".
    """
    keys = {h.name: rng.random() ** (1 / weights[h.name]) for h in hosts}
    return sorted(hosts, key=lambda h: keys[h.name], reverse=True)[:count]
