"""Slots of engines: how many are in use, and where some are free.

Kept up with each lease rather than counted at each decision: with 600
engines a decision that looked at all of them took milliseconds.
"""

__all__ = ["EngineSlots", "SlotTable"]

from collections.abc import Iterable
from collections.abc import Set
import dataclasses
import math

import xxhash

from camphortray import config as configs
from camphortray import enginehealth

# Fewest engines of a share: one may be put aside, and a request is tried at
# another after a failure.
MIN_SINGLE = 3


@dataclasses.dataclass(frozen=True, slots=True)
class EngineSlots:
    """An engine, how many requests it runs at once, and where it stands."""

    name: str
    slots: int
    zone: str = ""


class SlotTable:
    """Which engines have a slot to give.

    Attributes:
      engines: Slots by engine.
      zones: Availability zone by engine.
      health: Which engines are put aside or tried with one request.
      used: Slots in use, by engine; also of engines that are gone.
      on: What an ablation has not switched off.
      spread: Own to each host, so that shares smaller than a slot of each
        engine fall on other engines at each.
      single: Engines that give one slot each with such a share.
    """

    def __init__(
        self, on: configs.ExperimentsConfig = configs.ALL_ON, spread: str = ""
    ) -> None:
        self.on = on
        self.spread = spread
        self.single: frozenset[str] = frozenset()
        self.engines: dict[str, int] = {}
        self.zones: dict[str, str] = {}
        self.health = enginehealth.HealthTracker()
        self.used: dict[str, int] = {}
        self._share = 1.0
        # Of engines of which nothing bad is known: their slots, and by
        # zone the free ones of those that have any. The others are few,
        # and what they may take changes with time alone.
        self.sound: dict[str, int] = {}
        self.sound_slots = 0
        self.free: dict[str, dict[str, int]] = {}
        self.sound_free = 0

    @property
    def share(self) -> float:
        """Share of the slots that may be used.

        Below 1 where other books give out the same slots.
        """
        return self._share

    @share.setter
    def share(self, share: float) -> None:
        if share != self._share:
            self._share = share
            self.rebuild()

    def set_engines(self, engines: Iterable[EngineSlots]) -> None:
        """Take the engines that may get new work."""
        held = list(engines)
        self.engines = {engine.name: engine.slots for engine in held}
        self.zones = {engine.name: engine.zone for engine in held}
        self.health.keep(self.engines)
        self.rebuild()

    def rebuild(self) -> None:
        """Count all anew."""
        self.single = self.choose_single()
        self.sound, self.sound_slots = {}, 0
        self.free, self.sound_free = {}, 0
        for engine in self.engines:
            self.refresh(engine)

    def refresh(self, engine: str) -> None:
        """Count one engine anew."""
        zone = self.free.setdefault(self.zones.get(engine, ""), {})
        self.sound_slots -= self.sound.pop(engine, 0)
        self.sound_free -= zone.pop(engine, 0)
        if engine not in self.engines or engine in self.health.held:
            return
        slots = self.sound[engine] = self.scaled(engine)
        self.sound_slots += slots
        free = slots - self.used.get(engine, 0)
        if free > 0:
            zone[engine] = free
            self.sound_free += free

    def scaled(self, engine: str) -> int:
        """Return the slots of an engine that this book may give out."""
        slots = self.engines.get(engine, 0)
        if self._share < 1.0 and slots:
            part = slots * self._share
            return math.ceil(part) if part >= 1.0 else engine in self.single
        return slots

    def choose_single(self) -> frozenset[str]:
        """Return the engines of a share with less than a slot of each."""
        if self._share == 1.0:
            return frozenset()
        count = math.ceil(sum(self.engines.values()) * self._share)
        ranked = sorted(
            self.engines, key=lambda name: affinity(self.spread, name)
        )
        return frozenset(ranked[: max(MIN_SINGLE, count)])

    def count(self, engine: str, by: int) -> None:
        """Change the number of slots in use at an engine."""
        left = self.used.get(engine, 0) + by
        if left:
            self.used[engine] = left
        else:
            self.used.pop(engine, None)
        self.refresh(engine)

    def record_outcome(
        self, engine: str, outcome: enginehealth.Outcome, now: float
    ) -> None:
        """Learn from the end of a lease how its engine is."""
        if not self.on.put_aside:
            return
        self.health.record_outcome(engine, outcome, now)
        self.refresh(engine)

    def room(self, engine: str, now: float, whole: bool = False) -> int:
        """Return the slots of an engine that may be in use.

        Args:
          engine: Which.
          now: Present time.
          whole: Whether to leave trials out of account.
        """
        if engine not in self.engines:
            # Gone, or leaving: not even for a trial.
            return 0
        return self.health.room(engine, self.scaled(engine), now, whole)

    def unsound(self) -> list[str]:
        """Return the engines that are put aside or tried."""
        return [name for name in self.health.held if name in self.engines]

    def open_slots(self, now: float) -> int:
        """Return the slots that are not put aside, in use or not."""
        return self.sound_slots + sum(
            self.room(name, now, whole=True) for name in self.unsound()
        )

    def left(self, engine: str, now: float) -> int:
        """Return the free slots of an engine."""
        return max(0, self.room(engine, now) - self.used.get(engine, 0))

    def free_slots(self, now: float) -> int:
        """Return the number of free slots."""
        return self.sound_free + sum(
            self.left(name, now) for name in self.unsound()
        )

    def best(
        self, prefix: str, zone: str, avoid: Set[str], now: float
    ) -> str | None:
        """Return the engine with a free slot that suits a request best.

        Bytes between zones are dear, and an engine with a free slot in
        the asker's zone answers as soon as any other. Requests that share
        a prefix meet at the same engine as long as it has room; the others
        go where most slots are free.

        Args:
          prefix: What the request shares with others, or empty.
          zone: Where the asker stands.
          avoid: Engines not to be had.
          now: Present time.
        """
        prefix = prefix if self.on.prefix else ""
        zone = zone if self.on.zone else ""
        aside = {name: self.left(name, now) for name in self.unsound()}
        near = dict(self.free.get(zone, {}))
        far: dict[str, int] = {}
        for name, free in aside.items():
            if free:
                (near if self.zones[name] == zone else far)[name] = free
        found = pick(near, prefix, avoid)
        if found is not None:
            return found
        for other, engines in self.free.items():
            if other != zone:
                far.update(engines)
        return pick(far, prefix, avoid)


def pick(engines: dict[str, int], prefix: str, avoid: Set[str]) -> str | None:
    """Return the best of some engines, given their free slots."""
    names = [name for name in engines if name not in avoid]
    if not names:
        return None
    if not prefix:
        return max(names, key=lambda name: (engines[name], name))
    return max(names, key=lambda name: affinity(prefix, name))


def affinity(prefix: str, engine: str) -> int:
    """Return how well an engine suits a prefix, alike at all times."""
    return xxhash.xxh64_intdigest(f"{prefix}\0{engine}".encode())
