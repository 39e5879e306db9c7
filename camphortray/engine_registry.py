"""Local view of the registered engines and of which take new work."""

__all__ = ["EngineEntry", "EngineRegistry", "MAX_SLOTS"]

import collections
from collections.abc import Collection
from collections.abc import Iterable
from typing import Any

import msgspec
import xxhash

from camphortray import config as configs

# Seconds after a registry outage within which engines renew the entries
# that lapsed during it; the platform's documentation says about two.
RETURN_S = 2.0
# Removed engines whose last version is remembered, so that an entry written
# before the removal but received after it does not restore the engine.
MAX_REMEMBERED = 4_096
# Largest plausible number of concurrent requests of one engine. Engines
# batch some hundreds at most; an entry with more was not written by an
# engine and, if accepted, would attract all requests.
MAX_SLOTS = 4_096
# Start time of an engine that does not report it.
UNKNOWN_START = 0
# Entries in a row that contradict the one held before they replace it, and as
# many where they would restore an engine that is draining.
CONFIRMATIONS = 2
DRAIN_CONFIRMATIONS = 3


class EngineEntry(msgspec.Struct, frozen=True):
    """Registry entry of an engine, written by the engine itself.

    Attributes:
      id: Engine id, which may stay the same across restarts.
      service: Name of its service.
      address: ``IP:PORT``.
      availability_zone: Zone in which it runs.
      slots: Number of requests it can run concurrently.
      draining: Whether it has announced that it is shutting down.
      sequence: Increases with each entry of the same incarnation.
      born: Start time in Unix milliseconds, or 0 if not reported.
      software: Version of its software; unset if not known, and then not
        sent to other hosts.
      offset: Of its record in the registry, which orders all entries; unset
        if not known.
    """

    id: str
    service: str
    address: configs.AddressText
    availability_zone: str = ""
    slots: int = 1
    draining: bool = False
    sequence: int = 0
    born: int = UNKNOWN_START
    software: str | msgspec.UnsetType = msgspec.UNSET
    offset: int | msgspec.UnsetType = msgspec.UNSET

    @property
    def version(self) -> str:
        """Version of its software; empty if not known."""
        return self.software or ""

    @property
    def name(self) -> str:
        """Name of this incarnation of the engine.

        All state about an engine (leases, health, crash suspicion) is kept
        under this name, so that it does not carry over a restart.

        >>> EngineEntry("i-1", "s", "10.0.0.1:80", born=1700).name
        'i-1~1700'
        """
        return f"{self.id}~{self.born}" if self.born else self.id

    @property
    def content(self) -> tuple[Any, ...]:
        """All fields but those that each heartbeat raises."""
        return (
            self.id,
            self.born,
            self.service,
            self.address,
            self.availability_zone,
            self.slots,
            self.draining,
            self.version,
        )

    @property
    def age(self) -> tuple[int, int]:
        """What the engine itself orders its entries by, oldest first.

        Another writer's entry may claim any age.
        """
        return self.born, self.sequence

    @property
    def identity(self) -> tuple[Any, ...]:
        """What stays the same as long as an incarnation runs."""
        return self.born, self.service, self.address

    @property
    def endpoint(self) -> configs.Address:
        """Address on which it listens."""
        return configs.Address.from_text(self.address)

    def contradicts(self, held: "EngineEntry") -> bool:
        """Return whether not both entries can be the engine's own.

        Args:
          held: Of the same id, with an earlier record.
        """
        if self.born and self.born == held.born:
            return self.identity != held.identity or self.age < held.age
        return self.age < held.age


class Version(msgspec.Struct, frozen=True):
    """Version of the last entry known of an engine.

    Attributes:
      offset: Offset up to which records of the engine are known, or -1.
      age: Age of its last entry.
    """

    offset: int
    age: tuple[int, int]

    def covers(self, entry: EngineEntry) -> bool:
        """Return whether an entry is that one or an earlier one."""
        if self.offset >= 0 and not isinstance(
            entry.offset, msgspec.UnsetType
        ):
            return entry.offset <= self.offset
        return entry.age <= self.age


class Contender(msgspec.Struct, frozen=True):
    """Entries in a row that contradict the one held.

    Attributes:
      entry: The latest.
      count: Number of them, as if an engine had written each.
    """

    entry: EngineEntry
    count: int


class EngineRegistry:
    """Engines known to this host.

    Attributes:
      entries: Latest entry by engine id, including draining engines.
      services: Services in the configuration, or None before one is loaded.
        Entries of other services are ignored.
      contenders: Entries that contradict the one held, by engine id.
      announced: Names of engines that are draining by what they have said
        to a host.
      refuted: Names of entries whose address is another engine's, by its own
        word.
      missing: Engines whose entry is missing after an outage, and the time
        until which they are kept.
      removed: Version of the last entry of each removed engine.
      returned_at: When the registry became reachable after an outage.
    """

    def __init__(self) -> None:
        self.entries: dict[str, EngineEntry] = {}
        self.services: frozenset[str] | None = None
        self.contenders: dict[str, Contender] = {}
        self.announced: set[str] = set()
        self.refuted: set[str] = set()
        self.missing: dict[str, float] = {}
        self.removed: dict[str, Version] = {}
        self.returned_at = -RETURN_S
        # Cached results of ``current`` and ``digest``; None if they have to be
        # recomputed.
        self.cached: dict[str, EngineEntry] | None = None
        self.cached_digest: int | None = None

    def set_services(self, services: Collection[str]) -> None:
        """Set the services that the configuration names."""
        self.services = frozenset(services)
        self.invalidate()

    def put(self, entry: EngineEntry, from_peer: bool = False) -> bool:
        """Store an entry; return whether more than its sequence changed.

        Args:
          entry: The entry.
          from_peer: Whether another host has stored it.
        """
        held = self.displace(entry)
        if self.is_late(entry, held, from_peer):
            return False
        if held is not None and self.contradicts(entry, held, from_peer):
            if not from_peer and not self.replaces(entry, held):
                return False
            # The one held is another writer's.
            self.remove(held.id)
            held = None
        self.contenders.pop(entry.id, None)
        self.missing.pop(entry.id, None)
        if self.is_named(entry):
            self.removed.pop(entry.id, None)
        same_incarnation = held is not None and held.born == entry.born
        if held is not None and same_incarnation:
            # Draining is final within an incarnation, and hosts of earlier
            # releases pass entries on without their versions.
            entry = msgspec.structs.replace(
                entry,
                draining=entry.draining or held.draining,
                software=entry.software or held.software,
            )
        if held is not None and not same_incarnation:
            # ``current`` relies on the order of arrival.
            self.remove(held.id)
        self.entries[entry.id] = entry
        if held is None or not same_incarnation:
            self.invalidate()
            return True
        changed = held.content != entry.content
        if changed:
            self.invalidate()
        elif self.cached is not None and entry.name in self.cached:
            self.cached[entry.name] = entry
        return changed

    def displace(self, entry: EngineEntry) -> EngineEntry | None:
        """Return the entry held under the id of one to be stored, if any.

        Where only one of them names a known service, the other is another
        writer's, or awaits a newer configuration: its sequence says nothing
        about the age of the engine's own entries, and it is dropped.
        """
        held = self.entries.get(entry.id)
        if held is None or self.is_named(held) == self.is_named(entry):
            return held
        if self.is_named(entry):
            self.remove(held.id)
            return None
        if entry.age < held.age:
            return held
        # The engine's next heartbeat restores it.
        self.drop(held.id)
        return None

    def is_late(
        self, entry: EngineEntry, held: EngineEntry | None, from_peer: bool
    ) -> bool:
        """Return whether an entry is older than what is known.

        It was written by an earlier incarnation, or received out of order.
        """
        if held is None:
            return self.is_removed(entry, from_peer)
        contender = self.contenders.get(entry.id)
        newest = held if contender is None else contender.entry
        if isinstance(entry.offset, msgspec.UnsetType):
            return entry.age < held.age
        if isinstance(newest.offset, msgspec.UnsetType):
            return from_peer and entry.age < held.age
        return entry.offset < newest.offset

    def contradicts(
        self, entry: EngineEntry, held: EngineEntry, from_peer: bool
    ) -> bool:
        """Return whether not both entries can be the engine's own.

        An engine whose entry says that it drains writes none behind it that
        says otherwise. What it has said to a host is not in its entries, and
        a peer may not have read yet that it drains.
        """
        restores = held.draining and held.born == entry.born
        if restores and not entry.draining and not from_peer:
            return held.name not in self.announced
        return entry.contradicts(held)

    def is_removed(self, entry: EngineEntry, from_peer: bool) -> bool:
        """Return whether an entry is of an engine that has been removed."""
        removed = self.removed.get(entry.id)
        if removed is None or entry.age > removed.age:
            return removed is not None and removed.covers(entry)
        if from_peer or removed.covers(entry):
            return True
        return not self.is_confirmed(entry, CONFIRMATIONS)

    def replaces(self, entry: EngineEntry, held: EngineEntry) -> bool:
        """Return whether an entry replaces one that it contradicts."""
        if not held.draining or held.born != entry.born:
            return self.is_confirmed(entry, CONFIRMATIONS)
        if entry.draining:
            self.contenders[entry.id] = Contender(entry, 0)
            return False
        return self.is_confirmed(entry, DRAIN_CONFIRMATIONS)

    def is_confirmed(self, entry: EngineEntry, needed: int) -> bool:
        """Return whether enough entries contradict what is known.

        An engine writes on, so that several in a row are its own. A single
        one may have been written before what is known and stored behind it,
        or be another writer's.

        Args:
          entry: The latest of them.
          needed: Number of entries.
        """
        count = 1
        contender = self.contenders.get(entry.id)
        if contender is not None:
            before = contender.entry
            if before.offset == entry.offset != msgspec.UNSET:
                return False
            if before.identity == entry.identity and before.age < entry.age:
                count += contender.count
        self.contenders[entry.id] = Contender(entry, count)
        return count >= needed

    def handle_missing(
        self, engine_id: str, now: float, offset: int = -1
    ) -> bool:
        """Handle a missing entry; return whether the engine was removed.

        Within ``RETURN_S`` of a registry outage the engine is kept, as its
        entry may have lapsed only because it could not be renewed.

        Args:
          engine_id: Id of the engine.
          now: Current time.
          offset: Offset up to which its records are known, or -1.
        """
        if engine_id not in self.entries:
            return False
        until = self.returned_at + RETURN_S
        if now < until:
            self.missing.setdefault(engine_id, until)
            return False
        self.drop(engine_id, offset)
        return True

    def handle_invalid(self, engine_id: str, offset: int = -1) -> bool:
        """Handle an entry that became invalid; return whether it was known.

        Another writer has overwritten it. The engine's own next heartbeat
        restores the engine.

        Args:
          engine_id: Id of the engine.
          offset: Offset of the invalid record, or -1.
        """
        if engine_id not in self.entries:
            return False
        self.drop(engine_id, offset)
        return True

    def remove(self, engine_id: str) -> EngineEntry:
        """Remove and return an entry, with all that is kept about it."""
        entry = self.entries.pop(engine_id)
        self.contenders.pop(engine_id, None)
        self.missing.pop(engine_id, None)
        self.announced.discard(entry.name)
        self.refuted.discard(entry.name)
        self.invalidate()
        return entry

    def drop(self, engine_id: str, offset: int = -1) -> None:
        """Remove an engine; remember the version of its last entry."""
        contender = self.contenders.get(engine_id)
        known = [self.remove(engine_id)]
        if contender is not None:
            known.append(contender.entry)
        for entry in known:
            if not isinstance(entry.offset, msgspec.UnsetType):
                offset = max(offset, entry.offset)
        age = max(entry.age for entry in known)
        self.removed[engine_id] = Version(offset, age)
        while len(self.removed) > MAX_REMEMBERED:
            oldest = next(iter(self.removed))
            del self.removed[oldest]
            self.contenders.pop(oldest, None)

    def replace_all(
        self,
        entries: Iterable[EngineEntry],
        now: float,
        offset: int = -1,
        from_peer: bool = False,
    ) -> bool:
        """Replace all entries by a listing; return whether any changed.

        Args:
          entries: All entries.
          now: Current time.
          offset: Offset up to which the listing holds all records, or -1.
          from_peer: Whether it is what another host has stored.
        """
        found = {entry.id: entry for entry in entries}
        changes = [self.put(entry, from_peer) for entry in found.values()]
        absent = self.entries.keys() - found.keys()
        changes += [
            self.handle_missing(engine_id, now, offset) for engine_id in absent
        ]
        return any(changes)

    def note_recovery(self, now: float) -> None:
        """Record that the registry is reachable again after an outage."""
        self.returned_at = now

    def drop_overdue(self, now: float) -> bool:
        """Remove engines missing past their limit; return whether any were."""
        overdue = [name for name, at in self.missing.items() if now >= at]
        for name in overdue:
            self.drop(name)
        return bool(overdue)

    def mark_draining(self, name: str) -> bool:
        """Mark an incarnation as draining; return whether that is new."""
        entry = self.current().get(name)
        if entry is None:
            return False
        self.announced.add(name)
        if entry.draining:
            return False
        self.entries[entry.id] = msgspec.structs.replace(entry, draining=True)
        self.invalidate()
        return True

    def refute(self, name: str) -> bool:
        """Record that an entry's address is another engine's.

        Returns:
          Whether that is new, and another entry claims the address.
        """
        claims = {entry.name: entry for entry in self.trusted()}
        entry = claims.pop(name, None)
        if entry is None or name in self.refuted:
            return False
        endpoint = entry.endpoint
        if not any(
            other.endpoint == endpoint
            for other in claims.values()
            if other.name not in self.refuted
        ):
            return False
        self.refuted.add(name)
        self.invalidate()
        return True

    def invalidate(self) -> None:
        """Forget what was computed from the entries."""
        self.cached = None
        self.cached_digest = None

    @property
    def digest(self) -> int:
        """Digest of all entries but for their sequence numbers.

        0 without entries, and while an entry is missing: only a listing that
        names its engine shows that it is still there.
        """
        if self.missing or not self.entries:
            return 0
        if self.cached_digest is None:
            rows = sorted(entry.content for entry in self.entries.values())
            self.cached_digest = xxhash.xxh3_64_intdigest(repr(rows).encode())
        return self.cached_digest

    @property
    def sequences(self) -> tuple[int, ...]:
        """Sequence numbers of all entries, in the order of their ids."""
        return tuple(
            entry.sequence for _, entry in sorted(self.entries.items())
        )

    def renew(self, sequences: tuple[int, ...]) -> None:
        """Raise the sequence numbers to those of a peer with equal entries.

        Their records are not known any more, only that they came later.
        """
        for engine_id, sequence in zip(
            sorted(self.entries), sequences, strict=False
        ):
            held = self.entries[engine_id]
            if sequence > held.sequence:
                newer = msgspec.structs.replace(
                    held, sequence=sequence, offset=msgspec.UNSET
                )
                self.put(newer, from_peer=True)

    def current(self) -> dict[str, EngineEntry]:
        """Return the valid entries by name of the incarnation.

        Of several engines of one service with one address only one can take
        work. One that takes none hides no other: no request would show
        whose address it is.
        """
        if self.cached is not None:
            return self.cached
        valid: dict[tuple[Any, ...], EngineEntry] = {}
        for entry in self.trusted():
            if entry.name in self.refuted:
                continue
            key: tuple[Any, ...] = entry.service, entry.endpoint
            if entry.draining:
                key = (entry.name,)
            other = valid.get(key)
            if other is None or supersedes(entry, other):
                valid[key] = entry
        self.cached = {entry.name: entry for entry in valid.values()}
        return self.cached

    def trusted(self) -> list[EngineEntry]:
        """Return the entries that name an engine of a known service.

        Engines of older releases do not report their start time. Entries
        without one are accepted only if they are the majority of their
        service, so that a single stray entry has no effect.
        """
        held = [
            entry for entry in self.entries.values() if self.is_named(entry)
        ]
        with_start = collections.Counter(e.service for e in held if e.born)
        without = collections.Counter(e.service for e in held if not e.born)
        return [
            entry
            for entry in held
            if entry.born or without[entry.service] > with_start[entry.service]
        ]

    def is_named(self, entry: EngineEntry) -> bool:
        """Return whether the configuration names the service of an entry."""
        return self.services is None or entry.service in self.services

    def usable(self, service: str) -> list[EngineEntry]:
        """Return the engines of a service that take new work."""
        return [
            entry
            for entry in self.current().values()
            if entry.service == service and not entry.draining
        ]

    def is_versioned(self, service: str) -> bool:
        """Return whether the engines of a service tell their versions."""
        return any(
            entry.version
            for entry in self.current().values()
            if entry.service == service
        )

    def serves(self, service: str, version: str) -> bool:
        """Return whether a usable engine of a service has a version."""
        return any(e.version == version for e in self.usable(service))

    def find(self, name: str) -> EngineEntry | None:
        """Return the engine of that name if it takes new work.

        One whose address another entry claims is found as well: hosts may
        differ in which of them is valid until the engine refuses a request.
        """
        entry = self.current().get(name)
        if entry is None and name not in self.refuted:
            claims = (e for e in self.trusted() if e.name == name)
            entry = next(claims, None)
        return None if entry is None or entry.draining else entry


def supersedes(entry: EngineEntry, other: EngineEntry) -> bool:
    """Return whether an entry is valid in place of an earlier one.

    The engine started last is. Two of the same start are an engine's and a
    copy of it, which comes later. Of engines that do not report their start
    the one received last is valid.

    Args:
      entry: The entry received later.
      other: Another of the same address.
    """
    if entry.born == other.born:
        return not entry.born
    return entry.born > other.born
