"""Which engines there are and which take new work, by all that is told."""

__all__ = ["EngineBook", "EngineEntry"]

from collections.abc import Iterable
import dataclasses

from camphortray import config as configs

# Entries that lapsed while the registry was away are back within this long
# after its return, in seconds; the platform's pages say about two.
RETURN_S = 2.0
# Removed engines whose last number is remembered, so that an entry that was
# written before the removal and arrives after it does not bring one back.
MAX_REMEMBERED = 4_096


@dataclasses.dataclass(frozen=True, slots=True)
class EngineEntry:
    """An engine as it registers itself.

    Attributes:
      name: Its id, new with each start.
      service: Name of its service.
      address: ``IP:PORT``.
      availability_zone: Where it stands.
      slots: Requests it runs at once.
      draining: Whether it said that it leaves.
      sequence: Grows with each entry of the same engine.
    """

    name: str
    service: str
    address: configs.AddressText
    availability_zone: str = ""
    slots: int = 1
    draining: bool = False
    sequence: int = 0


class EngineBook:
    """Engines as this host knows them.

    Attributes:
      entries: By name; those leaving included.
      doubted: Engines missing after an outage, and until when that may
        only be the outage's work.
      removed: Last number of engines that are gone.
      returned_at: When the registry answered again after an outage.
    """

    def __init__(self) -> None:
        self.entries: dict[str, EngineEntry] = {}
        self.doubted: dict[str, float] = {}
        self.removed: dict[str, int] = {}
        self.returned_at = -RETURN_S

    def put(self, entry: EngineEntry) -> bool:
        """Take an entry; return whether anything but its number changed."""
        held = self.entries.get(entry.name)
        known = held.sequence if held else self.removed.get(entry.name, -1)
        if entry.sequence < known or (
            held is None and entry.sequence == known
        ):
            return False
        self.doubted.pop(entry.name, None)
        self.removed.pop(entry.name, None)
        if held is not None and held.draining and not entry.draining:
            # An engine that said it leaves never comes back under its id.
            entry = dataclasses.replace(entry, draining=True)
        self.entries[entry.name] = entry
        if held is None:
            self.replace_at(entry)
            return True
        return dataclasses.replace(held, sequence=entry.sequence) != entry

    def replace_at(self, entry: EngineEntry) -> None:
        """Drop engines that had the address of a new one before it."""
        for other in list(self.entries.values()):
            if other.address == entry.address and other.name != entry.name:
                self.drop(other.name)

    def gone(self, name: str, now: float) -> bool:
        """Take note that an entry is missing; return if it is gone now.

        Right after an outage of the registry the entry may have lapsed
        only because the engine could not renew it.
        """
        if name not in self.entries:
            return False
        until = self.returned_at + RETURN_S
        if now < until:
            self.doubted.setdefault(name, until)
            return False
        self.drop(name)
        return True

    def drop(self, name: str) -> None:
        """Forget an engine but for its last number."""
        entry = self.entries.pop(name)
        self.doubted.pop(name, None)
        self.removed[name] = entry.sequence
        while len(self.removed) > MAX_REMEMBERED:
            del self.removed[next(iter(self.removed))]

    def listing(self, entries: Iterable[EngineEntry], now: float) -> bool:
        """Take a whole list; return whether anything changed."""
        found = {entry.name: entry for entry in entries}
        changes = [self.put(entry) for entry in found.values()]
        missing = self.entries.keys() - found.keys()
        changes += [self.gone(name, now) for name in missing]
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
        """Take note that an engine leaves; return whether that is news."""
        entry = self.entries.get(name)
        if entry is None or entry.draining:
            return False
        self.entries[name] = dataclasses.replace(entry, draining=True)
        return True

    def usable(self, service: str) -> list[EngineEntry]:
        """Return the engines of a service that take new work."""
        return [
            entry
            for entry in self.entries.values()
            if entry.service == service and not entry.draining
        ]
