"""Which engines there are and which take new work, by all that is known."""

__all__ = ["EngineEntry", "EngineRegistry", "MOST_SLOTS"]

import collections
from collections.abc import Collection
from collections.abc import Iterable
import dataclasses

from camphortray import config as configs

# Entries that lapsed while the registry was away are back within this long
# after its return, in seconds; the platform's pages say about two.
RETURN_S = 2.0
# Removed engines whose last number is remembered, so that an entry that was
# written before the removal and arrives after it does not bring one back.
MAX_REMEMBERED = 4_096
# Requests that one engine may say it runs at once. Engines batch some
# hundreds at most; an entry with more is not an engine's own, and believed
# it would draw all requests to itself.
MOST_SLOTS = 4_096
# The life of an engine that does not state its start.
UNTOLD = 0


@dataclasses.dataclass(frozen=True, slots=True)
class EngineEntry:
    """An engine as it registers itself.

    Attributes:
      id: Its id, which it may keep when it starts again.
      service: Name of its service.
      address: ``IP:PORT``.
      availability_zone: Where it stands.
      slots: Requests it runs at once.
      draining: Whether it said that it leaves.
      sequence: Grows with each entry of the same life.
      born: Unix milliseconds of its start, or 0 if it does not state it.
    """

    id: str
    service: str
    address: configs.AddressText
    availability_zone: str = ""
    slots: int = 1
    draining: bool = False
    sequence: int = 0
    born: int = UNTOLD

    @property
    def name(self) -> str:
        """Name of this life of the engine.

        All that is held of an engine (leases, health, suspicion) is held
        under it, so that nothing of one life is taken for another's.

        >>> EngineEntry("i-1", "s", "10.0.0.1:80", born=1700).name
        'i-1~1700'
        """
        return f"{self.id}~{self.born}" if self.born else self.id

    @property
    def age(self) -> tuple[int, int]:
        """What orders the entries under one id, the newest last."""
        return self.born, self.sequence


class EngineRegistry:
    """Engines as this host knows them.

    Attributes:
      entries: By id, one life each; those leaving included.
      services: Services that the configuration names; None before one is
        known. An entry for any other names no engine.
      doubted: Engines missing after an outage, and until when that may
        only be the outage's work.
      removed: Age of the last entry of engines that are gone.
      returned_at: When the registry answered again after an outage.
    """

    def __init__(self) -> None:
        self.entries: dict[str, EngineEntry] = {}
        self.services: frozenset[str] | None = None
        self.doubted: dict[str, float] = {}
        self.removed: dict[str, tuple[int, int]] = {}
        self.returned_at = -RETURN_S
        # Entries that count, by name of the life; None before a look.
        self.counted: dict[str, EngineEntry] | None = None

    def set_services(self, services: Collection[str]) -> None:
        """Take the services that the configuration names."""
        self.services = frozenset(services)
        self.counted = None

    def put(self, entry: EngineEntry) -> bool:
        """Take an entry; return whether anything but its number changed."""
        held = self.entries.get(entry.id)
        if held is None:
            known = self.removed.get(entry.id, (UNTOLD, -1))
            if entry.age <= known:
                return False
        elif entry.age < held.age:
            # Written in an earlier life, or overtaken.
            return False
        self.doubted.pop(entry.id, None)
        self.removed.pop(entry.id, None)
        same_life = held is not None and held.born == entry.born
        if held is not None and same_life and held.draining:
            # One that said it leaves never comes back in the same life.
            entry = dataclasses.replace(entry, draining=True)
        if not same_life:
            # The latest to come stands last; see ``current``.
            self.entries.pop(entry.id, None)
        self.entries[entry.id] = entry
        if held is None or not same_life:
            self.counted = None
            return True
        changed = dataclasses.replace(held, sequence=entry.sequence) != entry
        if changed:
            self.counted = None
        elif self.counted is not None and entry.name in self.counted:
            self.counted[entry.name] = entry
        return changed

    def gone(self, engine_id: str, now: float) -> bool:
        """Take note that an entry is missing; return if it is gone now.

        Right after an outage of the registry the entry may have lapsed
        only because the engine could not renew it.
        """
        if engine_id not in self.entries:
            return False
        until = self.returned_at + RETURN_S
        if now < until:
            self.doubted.setdefault(engine_id, until)
            return False
        self.drop(engine_id)
        return True

    def spoiled(self, engine_id: str) -> bool:
        """Take note that an entry names no engine any more.

        Another writer has put something else in its place. The engine's
        own next entry, a heartbeat later, brings it back.
        """
        if engine_id not in self.entries:
            return False
        self.drop(engine_id)
        return True

    def drop(self, engine_id: str) -> None:
        """Forget an engine but for the age of its last entry."""
        entry = self.entries.pop(engine_id)
        self.counted = None
        self.doubted.pop(engine_id, None)
        self.removed[engine_id] = entry.age
        while len(self.removed) > MAX_REMEMBERED:
            del self.removed[next(iter(self.removed))]

    def listing(self, entries: Iterable[EngineEntry], now: float) -> bool:
        """Take a whole list; return whether anything changed."""
        found = {entry.id: entry for entry in entries}
        changes = [self.put(entry) for entry in found.values()]
        missing = self.entries.keys() - found.keys()
        changes += [self.gone(engine_id, now) for engine_id in missing]
        return any(changes)

    def returned(self, now: float) -> None:
        """Take note that the registry answers again after an outage."""
        self.returned_at = now

    def settle(self, now: float) -> bool:
        """Drop what is still missing in time; return if anything is."""
        late = [name for name, at in self.doubted.items() if now >= at]
        for name in late:
            self.drop(name)
        return bool(late)

    def leaving(self, name: str) -> bool:
        """Take note that a life leaves; return whether that is news."""
        entry = self.current().get(name)
        if entry is None or entry.draining:
            return False
        self.entries[entry.id] = dataclasses.replace(entry, draining=True)
        self.counted = None
        return True

    def current(self) -> dict[str, EngineEntry]:
        """Return the entries that count, by name of the life.

        Of several at one address the engine that started last has it, and
        where none states its start, the one that was heard of last: the
        others are gone, or were never there.
        """
        if self.counted is not None:
            return self.counted
        at_address: dict[str, EngineEntry] = {}
        for entry in self.trusted():
            other = at_address.get(entry.address)
            if other is None or entry.born >= other.born:
                at_address[entry.address] = entry
        self.counted = {entry.name: entry for entry in at_address.values()}
        return self.counted

    def trusted(self) -> list[EngineEntry]:
        """Return the entries that name an engine of a known service.

        An entry without its start is no engine's where engines state it.
        Some registries are of before engines stated it, so that entries
        without are left out only where they are not the most of their
        service: a single stray entry then decides nothing.
        """
        held = [
            entry
            for entry in self.entries.values()
            if self.services is None or entry.service in self.services
        ]
        lives = collections.Counter(e.service for e in held if e.born)
        untold = collections.Counter(e.service for e in held if not e.born)
        return [
            entry
            for entry in held
            if entry.born or untold[entry.service] > lives[entry.service]
        ]

    def usable(self, service: str) -> list[EngineEntry]:
        """Return the engines of a service that take new work."""
        return [
            entry
            for entry in self.current().values()
            if entry.service == service and not entry.draining
        ]

    def find(self, name: str) -> EngineEntry | None:
        """Return the engine that takes new work in this life, if any."""
        entry = self.current().get(name)
        return None if entry is None or entry.draining else entry
