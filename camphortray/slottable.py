"""Slots of engines: how many are in use, and which engines have free ones.

The counts are updated with each lease instead of computed for each decision:
with 600 engines a decision that examines all of them takes milliseconds.
"""

__all__ = ["EngineSlots", "SlotTable"]

from collections.abc import Iterable
from collections.abc import Set
import math

import msgspec
import xxhash

from camphortray import config as configs
from camphortray import engine_speeds
from camphortray import enginehealth
from camphortray import shards

# Minimum number of engines that a small share uses: one may be ejected as
# unhealthy, and a failed request is retried on another.
MIN_SINGLE_ENGINES = 3


class EngineSlots(msgspec.Struct, frozen=True):
    """An engine, how many requests it runs at once, zone and version."""

    name: str
    slots: int
    zone: str = ""
    version: str = ""


class SlotTable:
    """Counts the used and free slots of each engine.

    Attributes:
      engines: Slots by engine.
      zones: Availability zone by engine.
      versions: Version of the software by engine.
      health: Engines that are ejected or on trial with one request.
      speeds: How fast engines are.
      used: Slots in use, by engine; also of engines that are gone.
      experiments: Mechanisms in use; ablation experiments disable some.
      salt: Differs between hosts, so that each grants slots of different
        engines where its share is less than one slot of each engine.
      single: Engines of which one slot each is granted if the share is less
        than one slot of each engine.
    """

    def __init__(
        self,
        experiments: configs.ExperimentsConfig = configs.ALL_ON,
        salt: str = "",
    ) -> None:
        self.experiments = experiments
        self.salt = salt
        self.single: frozenset[str] = frozenset()
        self.engines: dict[str, int] = {}
        self.zones: dict[str, str] = {}
        self.versions: dict[str, str] = {}
        self.health = enginehealth.HealthTracker()
        self.speeds = engine_speeds.EngineSpeeds()
        self.used: dict[str, int] = {}
        self._share = 1.0
        # Slots of healthy engines, and their free slots by zone and engine.
        # Unhealthy engines are few, and as their slots also change with time
        # they are counted for each decision.
        self.healthy: dict[str, int] = {}
        self.healthy_slots = 0
        self.free: dict[str, dict[str, int]] = {}
        self.healthy_free = 0

    @property
    def share(self) -> float:
        """Share of each engine's slots that may be granted.

        Below 1 where other coordinators grant the same slots.
        """
        return self._share

    @share.setter
    def share(self, share: float) -> None:
        if share != self._share:
            self._share = share
            self.rebuild()

    def set_engines(self, engines: Iterable[EngineSlots]) -> None:
        """Replace the engines that may get new work."""
        listed = list(engines)
        self.engines = {engine.name: engine.slots for engine in listed}
        self.zones = {engine.name: engine.zone for engine in listed}
        self.versions = {engine.name: engine.version for engine in listed}
        self.health.keep(self.engines)
        self.speeds.keep(self.engines)
        self.rebuild()

    def serves(self, version: str) -> bool:
        """Return whether any engine has a version; empty stands for any."""
        return version in self.versions.values() if version else True

    def of_other_versions(self, version: str) -> Set[str]:
        """Return the engines that cannot go on with output of a version."""
        if not version:
            return frozenset()
        return {n for n, held in self.versions.items() if held != version}

    def rebuild(self) -> None:
        """Recompute the counts of all engines."""
        self.single = self.choose_single()
        self.healthy, self.healthy_slots = {}, 0
        self.free, self.healthy_free = {}, 0
        for engine in self.engines:
            self.refresh(engine)

    def refresh(self, engine: str) -> None:
        """Recompute the counts of one engine."""
        zone = self.free.setdefault(self.zones.get(engine, ""), {})
        self.healthy_slots -= self.healthy.pop(engine, 0)
        self.healthy_free -= zone.pop(engine, 0)
        if engine not in self.engines or engine in self.health.by_engine:
            return
        slots = self.healthy[engine] = self.scaled(engine)
        self.healthy_slots += slots
        free = slots - self.used.get(engine, 0)
        if free > 0:
            zone[engine] = free
            self.healthy_free += free

    def scaled(self, engine: str) -> int:
        """Return how many slots of an engine are in the share."""
        slots = self.engines.get(engine, 0)
        if self._share < 1.0 and slots:
            part = slots * self._share
            return math.ceil(part) if part >= 1.0 else engine in self.single
        return slots

    def choose_single(self) -> frozenset[str]:
        """Return the engines to use if the share is below a slot of each."""
        if self._share == 1.0:
            return frozenset()
        count = math.ceil(sum(self.engines.values()) * self._share)
        ranked = sorted(
            self.engines, key=lambda name: affinity(self.salt, name)
        )
        return frozenset(ranked[: max(MIN_SINGLE_ENGINES, count)])

    def count(self, engine: str, change: int) -> None:
        """Change the number of slots in use at an engine."""
        left = self.used.get(engine, 0) + change
        if left:
            self.used[engine] = left
        else:
            self.used.pop(engine, None)
        self.refresh(engine)

    def record_outcome(
        self,
        engine: str,
        outcome: enginehealth.Outcome,
        now: float,
        online: bool = True,
    ) -> None:
        """Update the health of an engine by the outcome of a lease."""
        if not self.experiments.put_aside:
            return
        self.health.record_outcome(engine, outcome, now, online)
        self.refresh(engine)

    def room(self, engine: str, now: float, ignore_trial: bool = False) -> int:
        """Return how many slots of an engine may be in use.

        Args:
          engine: Name of the engine.
          now: Present time.
          ignore_trial: Whether to count all slots of an engine on trial.
        """
        if engine not in self.engines:
            # It is gone or draining, so it gets no trial request either.
            return 0
        return self.health.room(engine, self.scaled(engine), now, ignore_trial)

    def unhealthy(self) -> list[str]:
        """Return the engines that are ejected or on trial."""
        return [name for name in self.health.by_engine if name in self.engines]

    def open_slots(self, now: float) -> int:
        """Return the number of slots, used or free, except ejected ones."""
        return self.healthy_slots + sum(
            self.room(name, now, ignore_trial=True)
            for name in self.unhealthy()
        )

    def free_slots_of(self, engine: str, now: float) -> int:
        """Return the number of free slots of an engine."""
        return max(0, self.room(engine, now) - self.used.get(engine, 0))

    def free_slots(self, now: float) -> int:
        """Return the number of free slots."""
        return self.healthy_free + sum(
            self.free_slots_of(name, now) for name in self.unhealthy()
        )

    def best(
        self,
        prefix: str,
        zone: str,
        avoid: Set[str],
        now: float,
        online: bool = True,
    ) -> str | None:
        """Return the best engine with a free slot for a request, if any.

        Engines in the zone of the request go first: traffic between zones is
        expensive, and a free slot elsewhere answers no sooner. Requests that
        share a prefix go to the same engine while it has a free slot, for its
        prefix cache; others go to the engine with the most free slots. Fast
        engines get more online requests and slow ones more items; engines
        that are far slower than usual come last.

        Args:
          prefix: Identifies the shared prompt prefix, or empty.
          zone: Availability zone of the host that asks.
          avoid: Engines that are excluded.
          now: Present time.
          online: Whether a caller waits for it.
        """
        prefix = prefix if self.experiments.prefix else ""
        zone = zone if self.experiments.zone else ""
        near = dict(self.free.get(zone, {}))
        far: dict[str, int] = {}
        for name in self.unhealthy():
            if free := self.free_slots_of(name, now):
                (near if self.zones[name] == zone else far)[name] = free
        slow: Set[str] = frozenset()
        if self.experiments.speeds:
            slow = self.speeds.slow(now)
            probe = self.probe(avoid, now) if slow else None
            if probe is not None:
                return probe
        found = self.pick(near, prefix, avoid | slow, online)
        if found is not None:
            return found
        for other, engines in self.free.items():
            if other != zone:
                far.update(engines)
        return self.pick(far, prefix, avoid | slow, online) or (
            self.pick(near | far, prefix, avoid, online) if slow else None
        )

    def probe(self, avoid: Set[str], now: float) -> str | None:
        """Return a slow engine that is to be tried again, if any."""
        for name in sorted(self.speeds.probes(now) - avoid):
            if not self.used.get(name) and self.free_slots_of(name, now):
                return name
        return None

    def pick(
        self,
        engines: dict[str, int],
        prefix: str,
        avoid: Set[str],
        online: bool,
    ) -> str | None:
        """Return the best of some engines, given the free slots of each."""
        names = [name for name in engines if name not in avoid]
        if not names:
            return None
        factor_of = self.speeds.factor if self.experiments.speeds else equal
        if prefix:
            return max(
                names,
                key=lambda name: shards.weighted_score(
                    affinity(prefix, name), 1 / factor_of(name)
                ),
            )
        sign = -1 if online else 1
        return max(
            names,
            key=lambda name: (engines[name] * factor_of(name) ** sign, name),
        )


def equal(engine: str) -> float:
    """Return the factor of an engine where all count as equally fast."""
    return 1.0


def affinity(prefix: str, engine: str) -> int:
    """Return the rendezvous-hash score of an engine for a prefix."""
    return xxhash.xxh64_intdigest(f"{prefix}\0{engine}".encode())
