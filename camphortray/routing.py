"""Load balancing: chooses the upstream for a request by expected latency."""

__all__ = ["Candidate", "LoadTracker", "Router", "subset"]

from collections.abc import Collection
from collections.abc import Sequence
import dataclasses
import math
import random

import xxhash

from camphortray import engine
from camphortray import prefix as prefixes
from camphortray import shards

# Upstreams sampled at random for each request; the one with the shortest
# expected wait is chosen.
SAMPLE_SIZE = 2
# Half-life of the load of other hosts as an upstream reported it.
REPORT_HALF_LIFE_S = 4.0
# Weight of a new measurement in the moving average of the time to first
# token (TTFT).
TTFT_WEIGHT = 0.1
# Assumed TTFT of an idle upstream until one has been measured.
INITIAL_TTFT_S = 0.05
# Time that each concurrent request adds to one decoding step, as a share of
# the step time of a single request. Measured times are corrected by it.
STEP_COST_SHARE = 0.025
# Share of the TTFT that each request at an upstream adds to the expected
# wait. It is higher than the cost of a step, as it also covers the
# processing of the request's prompt.
LOAD_COST_SHARE = 0.125
# The same for each request in excess of the slots: it waits for a whole
# answer rather than for a step.
QUEUE_COST_SHARE = 1.0
# Largest factor by which the TTFT of one upstream may differ from the mean;
# beyond it is noise, such as the time to open a connection.
MAX_TTFT_RATIO = 4.0
# Half-life of a measured TTFT, which decays towards the mean of all
# upstreams. Without the decay an upstream that was slow once, or was never
# measured, would get no request and so never be measured again.
TTFT_HALF_LIFE_S = 10.0
# Round-trip time that a request to another availability zone adds.
CROSS_ZONE_S = 0.004
# Largest share of the wait that a cached prefix is assumed to save.
MAX_PREFIX_SAVING = 0.4
# Length of a prompt at which half of that share is reached.
PREFIX_HALF_CHARS = 2048
# Upstreams that one host uses in a large fleet. A subset bounds the
# connections and polls of a host; a smaller one balances load too coarsely.
SUBSET_SIZE = 24


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """An upstream that could take a request.

    Attributes:
      upstream: The upstream.
      in_flight: Requests that this host has in flight there.
      wait_s: Expected time to first token.
    """

    upstream: engine.Upstream
    in_flight: int
    wait_s: float = 0.0


@dataclasses.dataclass(slots=True)
class Load:
    """Load and latency of one upstream.

    Attributes:
      own: Requests that this host has in flight there.
      others: Requests of other hosts there, by the last report.
      reported_at: When the upstream took that report.
      ttft_s: TTFT of a request at the otherwise idle upstream.
      measured_at: When that was last measured.
    """

    own: int = 0
    others: float = 0.0
    reported_at: float = 0.0
    ttft_s: float = 0.0
    measured_at: float = -math.inf


class LoadTracker:
    """Tracks load and latency of each upstream and predicts its wait.

    Attributes:
      loads: By name of upstream.
      mean_ttft_s: Mean TTFT of a request at an otherwise idle upstream.
    """

    def __init__(self) -> None:
        self.loads: dict[str, Load] = {}
        self.mean_ttft_s = INITIAL_TTFT_S

    def load(self, name: str) -> Load:
        """Return the load of an upstream, created at its first use."""
        found = self.loads.get(name)
        if found is None:
            found = self.loads[name] = Load()
        return found

    def report(self, name: str, report: engine.LoadReport, now: float) -> None:
        """Record the load that an upstream reported.

        This host's own requests are subtracted: their exact number is known.
        """
        load = self.load(name)
        total = report.running + report.waiting
        load.others = max(0.0, float(total - load.own))
        load.reported_at = now - report.age_s

    def total(self, name: str, now: float) -> float:
        """Return the estimated number of requests at an upstream."""
        load = self.load(name)
        if not load.others:
            return load.own
        age_s = max(0.0, now - load.reported_at)
        return load.own + load.others * 0.5 ** (age_s / REPORT_HALF_LIFE_S)

    def record_ttft(
        self, name: str, seconds: float, total: float, now: float
    ) -> None:
        """Record a measured TTFT.

        Args:
          name: Name of the upstream.
          seconds: The measured time.
          total: Requests at the upstream when this one was sent.
          now: Monotonic time.
        """
        unloaded_s = seconds / (1 + STEP_COST_SHARE * total)
        load = self.load(name)
        expected_s = self.ttft_s(load, now)
        load.ttft_s = expected_s + TTFT_WEIGHT * (unloaded_s - expected_s)
        load.measured_at = now
        self.mean_ttft_s += TTFT_WEIGHT * (unloaded_s - self.mean_ttft_s)

    def ttft_s(self, load: Load, now: float) -> float:
        """Return the TTFT measured, decayed towards the mean by its age."""
        weight = 0.5 ** ((now - load.measured_at) / TTFT_HALF_LIFE_S)
        ttft_s = self.mean_ttft_s + weight * (load.ttft_s - self.mean_ttft_s)
        least, most = (
            self.mean_ttft_s / MAX_TTFT_RATIO,
            self.mean_ttft_s * MAX_TTFT_RATIO,
        )
        return min(max(ttft_s, least), most)

    def wait_s(self, upstream: engine.Upstream, now: float) -> float:
        """Return the expected time to first token."""
        total = self.total(upstream.name, now)
        queued = max(0.0, total + 1 - upstream.slots)
        return self.ttft_s(self.load(upstream.name), now) * (
            1 + LOAD_COST_SHARE * total + QUEUE_COST_SHARE * queued
        )

    def keep(self, names: Collection[str]) -> None:
        """Drop upstreams that are not in ``names`` and have no request."""
        for name in set(self.loads) - set(names):
            if not self.loads[name].own:
                del self.loads[name]


class Router:
    """Chooses by the power of two random choices, with prefix affinity.

    The candidate with the shortest expected wait wins: of two at random and
    the one that is likely to have the prompt's prefix cached.
    """

    def __init__(
        self, rng: random.Random, availability_zone: str = ""
    ) -> None:
        self.rng = rng
        self.availability_zone = availability_zone

    def choose(
        self,
        candidates: Sequence[Candidate],
        prefix: prefixes.Prefix | None = None,
    ) -> engine.Upstream:
        """Return the upstream to try; ``candidates`` must not be empty.

        A cached prefix only shortens the expected wait: an upstream with a
        long queue is not chosen even if it has the prefix.
        """
        sample = self.rng.sample(candidates, min(SAMPLE_SIZE, len(candidates)))
        preferred = ""
        if prefix is not None and prefix.key:
            by_name = {c.upstream.name: c for c in candidates}
            preferred = shards.preferred(prefix.key, by_name) or ""
            sample.append(by_name[preferred])
        saving = prefix_saving(prefix)

        def cost(candidate: Candidate) -> float:
            wait_s = candidate.wait_s
            if candidate.upstream.name == preferred:
                wait_s *= 1 - saving
            zone = self.availability_zone
            if zone and candidate.upstream.availability_zone != zone:
                wait_s += CROSS_ZONE_S
            return wait_s

        return min(sample, key=cost).upstream


def prefix_saving(prefix: prefixes.Prefix | None) -> float:
    """Return the share of the wait that a cached prefix is assumed to save."""
    if prefix is None or not prefix.key:
        return 0.0
    return (
        MAX_PREFIX_SAVING * prefix.length / (prefix.length + PREFIX_HALF_CHARS)
    )


def subset(
    host: str,
    hosts: Collection[str],
    upstreams: Collection[str],
    size: int = SUBSET_SIZE,
) -> list[str]:
    """Return the upstreams that one host uses; every host computes the same.

    Upstreams form a ring in the order of their hashes; each host takes
    ``size`` consecutive ones from a position given by its rank among the
    hosts. Every upstream is then used by the same number of hosts, plus or
    minus one, which rendezvous hashing does not ensure, and the loss of a
    host shifts the others by at most two positions.
    """
    if len(upstreams) <= size:
        return sorted(upstreams)
    ring = sorted(upstreams, key=hash_key)
    ranked = sorted({*hosts, host}, key=hash_key)
    start = ranked.index(host) * len(ring) // len(ranked)
    return [ring[(start + step) % len(ring)] for step in range(size)]


def hash_key(name: str) -> tuple[int, str]:
    """Return the position of a name on the ring."""
    return xxhash.xxh64_intdigest(name.encode()), name
