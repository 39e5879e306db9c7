"""Chooses the upstream that should answer first."""

__all__ = ["Candidate", "LoadBook", "Router", "subset"]

from collections.abc import Collection
from collections.abc import Sequence
import dataclasses
import math
import random

import xxhash

from camphortray import engine
from camphortray import prefix as prefixes
from camphortray import shards

# Drawn at random for each request; the one with the least wait is taken.
DRAWN = 2
# Seconds until half of what a report said of others' work is forgotten.
HALF_LIFE_S = 4.0
# Weight of a new measurement of an upstream's speed.
LEARN = 0.1
# Seconds to the first token of an idle upstream, before any was measured.
FIRST_GUESS_S = 0.05
# What each request in a batch adds to the time of one step, as a share of
# the time of a lone one; measured times are set right by it.
STEP_SHARE = 0.025
# What each request there counts for in a choice. It is more than it adds
# to a step, as it also stands for the prompts that come with it.
LOAD_SHARE = 0.125
# Requests beyond the slots wait for whole answers rather than for steps.
QUEUED_SHARE = 1.0
# How far the speed of one upstream may differ from the mean; further off
# is noise, such as the time of a new connection.
SPREAD = 4.0
# Seconds until half of what was measured at an upstream is forgotten in
# favour of the mean of all. An upstream that was slow once, or was never
# measured, would else get no request, and so never be measured again.
SPEED_HALF_LIFE_S = 10.0
# What another availability zone adds, in seconds, both ways.
FAR_S = 0.004
# Share of the wait that a cached prefix may save at most.
PREFIX_GAIN = 0.4
# Characters of a prompt at which half of that gain is reached.
PREFIX_HALF_CHARS = 2048
# Upstreams that one host uses at large sizes. A subset bounds the
# connections and polls of a host; fewer would make it too coarse.
SUBSET = 24


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """An upstream that could take a request.

    Attributes:
      upstream: The upstream.
      in_flight: Requests this host has there now.
      wait_s: Expected seconds until the first token.
    """

    upstream: engine.Upstream
    in_flight: int
    wait_s: float = 0.0


@dataclasses.dataclass(slots=True)
class Load:
    """What is known of the load of one upstream.

    Attributes:
      own: Requests of this host there, counted at once.
      others: Requests of other hosts there, by the last report.
      reported_at: When that report was true.
      speed_s: Seconds to the first token of a lone request there.
      learned_at: When that was measured last.
    """

    own: int = 0
    others: float = 0.0
    reported_at: float = 0.0
    speed_s: float = 0.0
    learned_at: float = -math.inf


class LoadBook:
    """Expected wait at each upstream, by name.

    Attributes:
      mean_s: Seconds to the first token of a lone request, anywhere.
    """

    def __init__(self) -> None:
        self.loads: dict[str, Load] = {}
        self.mean_s = FIRST_GUESS_S

    def load(self, name: str) -> Load:
        """Return what is known of an upstream."""
        found = self.loads.get(name)
        if found is None:
            found = self.loads[name] = Load()
        return found

    def report(self, name: str, report: engine.LoadReport, now: float) -> None:
        """Take an upstream's own report.

        This host's share is taken off, as it is known at once and better.
        """
        load = self.load(name)
        total = report.running + report.waiting
        load.others = max(0.0, float(total - load.own))
        load.reported_at = now - report.age_s

    def total(self, name: str, now: float) -> float:
        """Return the requests expected at an upstream now."""
        load = self.load(name)
        if not load.others:
            return load.own
        age_s = max(0.0, now - load.reported_at)
        return load.own + load.others * 0.5 ** (age_s / HALF_LIFE_S)

    def learn(
        self, name: str, seconds: float, total: float, now: float
    ) -> None:
        """Take the measured time to a first token, sent at ``total``."""
        alone_s = seconds / (1 + STEP_SHARE * total)
        load = self.load(name)
        believed_s = self.speed_s(load, now)
        load.speed_s = believed_s + LEARN * (alone_s - believed_s)
        load.learned_at = now
        self.mean_s += LEARN * (alone_s - self.mean_s)

    def speed_s(self, load: Load, now: float) -> float:
        """Return the speed measured, as far as it is still believed."""
        trust = 0.5 ** ((now - load.learned_at) / SPEED_HALF_LIFE_S)
        speed_s = self.mean_s + trust * (load.speed_s - self.mean_s)
        least, most = self.mean_s / SPREAD, self.mean_s * SPREAD
        return min(max(speed_s, least), most)

    def wait_s(self, upstream: engine.Upstream, now: float) -> float:
        """Return the expected seconds to the first token."""
        total = self.total(upstream.name, now)
        queued = max(0.0, total + 1 - upstream.slots)
        return self.speed_s(self.load(upstream.name), now) * (
            1 + LOAD_SHARE * total + QUEUED_SHARE * queued
        )

    def keep(self, names: Collection[str]) -> None:
        """Forget upstreams that are no longer declared."""
        for name in set(self.loads) - set(names):
            if not self.loads[name].own:
                del self.loads[name]


class Router:
    """Least expected wait of two at random and the one with the prefix."""

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
        """Return the upstream to try; ``candidates`` is not empty.

        The prefix is a bonus and not a rule: an upstream with a long
        queue loses the request although it may hold the prefix.
        """
        drawn = self.rng.sample(candidates, min(DRAWN, len(candidates)))
        favoured = ""
        if prefix is not None and prefix.key:
            by_name = {c.upstream.name: c for c in candidates}
            favoured = shards.preferred(prefix.key, by_name) or ""
            drawn.append(by_name[favoured])
        gain = prefix_gain(prefix)

        def cost(candidate: Candidate) -> float:
            wait_s = candidate.wait_s
            if candidate.upstream.name == favoured:
                wait_s *= 1 - gain
            near = self.availability_zone
            if near and candidate.upstream.availability_zone != near:
                wait_s += FAR_S
            return wait_s

        return min(drawn, key=cost).upstream


def prefix_gain(prefix: prefixes.Prefix | None) -> float:
    """Return the share of the wait that a cached prefix saves."""
    if prefix is None or not prefix.key:
        return 0.0
    return PREFIX_GAIN * prefix.length / (prefix.length + PREFIX_HALF_CHARS)


def subset(
    host: str,
    hosts: Collection[str],
    upstreams: Collection[str],
    size: int = SUBSET,
) -> list[str]:
    """Return the upstreams that one host uses, alike on every host.

    Upstreams stand on a ring in the order of their hashes; each host takes
    ``size`` of them from a place set by its rank among the hosts. So every
    upstream is used by the same number of hosts, give or take one, which
    rendezvous hashing does not give, and the loss of a host moves the
    others by a place or two at most.
    """
    if len(upstreams) <= size:
        return sorted(upstreams)
    ring = sorted(upstreams, key=hash_key)
    ranked = sorted({*hosts, host}, key=hash_key)
    start = ranked.index(host) * len(ring) // len(ranked)
    return [ring[(start + step) % len(ring)] for step in range(size)]


def hash_key(name: str) -> tuple[int, str]:
    """Return the place of a name on a ring."""
    return xxhash.xxh64_intdigest(name.encode()), name
