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
        """All fields but the sequence number, which each heartbeat raises."""
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
        """Version of the entry; entries of one id sort oldest first."""
        return self.born, self.sequence


class EngineRegistry:
    """Engines known to this host.

    Attributes:
      entries: Latest entry by engine id, including draining engines.
      services: Services in the configuration, or None before one is loaded.
        Entries of other services are ignored.
      missing: Engines whose entry is missing after an outage, and the time
        until which they are kept.
      removed: Version of the last entry of each removed engine.
      returned_at: When the registry became reachable after an outage.
    """

    def __init__(self) -> None:
        self.entries: dict[str, EngineEntry] = {}
        self.services: frozenset[str] | None = None
        self.missing: dict[str, float] = {}
        self.removed: dict[str, tuple[int, int]] = {}
        self.returned_at = -RETURN_S
        # Cached results of ``current`` and ``digest``; None if they have to be
        # recomputed.
        self.cached: dict[str, EngineEntry] | None = None
        self.cached_digest: int | None = None

    def set_services(self, services: Collection[str]) -> None:
        """Set the services that the configuration names."""
        self.services = frozenset(services)
        self.invalidate()

    def put(self, entry: EngineEntry) -> bool:
        """Store an entry; return whether more than its sequence changed."""
        held = self.displace(entry)
        if self.is_late(entry, held):
            return False
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
        if not same_incarnation:
            # ``current`` relies on the order of arrival.
            self.entries.pop(entry.id, None)
        self.entries[entry.id] = entry
        if held is None or not same_incarnation:
            self.invalidate()
            return True
        changed = (
            msgspec.structs.replace(held, sequence=entry.sequence) != entry
        )
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
            del self.entries[held.id]
            return None
        if entry.age < held.age:
            return held
        # The engine's next heartbeat restores it.
        self.drop(held.id)
        return None

    def is_late(self, entry: EngineEntry, held: EngineEntry | None) -> bool:
        """Return whether an entry is older than what is known.

        It was written by an earlier incarnation, or received out of order.
        """
        if held is not None:
            return entry.age < held.age
        removed = self.removed.get(entry.id, (UNKNOWN_START, -1))
        return entry.age <= removed

    def handle_missing(self, engine_id: str, now: float) -> bool:
        """Handle a missing entry; return whether the engine was removed.

        Within ``RETURN_S`` of a registry outage the engine is kept, as its
        entry may have lapsed only because it could not be renewed.
        """
        if engine_id not in self.entries:
            return False
        until = self.returned_at + RETURN_S
        if now < until:
            self.missing.setdefault(engine_id, until)
            return False
        self.drop(engine_id)
        return True

    def handle_invalid(self, engine_id: str) -> bool:
        """Handle an entry that became invalid; return whether it was known.

        Another writer has overwritten it. The engine's own next heartbeat
        restores the engine.
        """
        if engine_id not in self.entries:
            return False
        self.drop(engine_id)
        return True

    def drop(self, engine_id: str) -> None:
        """Remove an engine; remember the version of its last entry."""
        entry = self.entries.pop(engine_id)
        self.invalidate()
        self.missing.pop(engine_id, None)
        self.removed[engine_id] = entry.age
        while len(self.removed) > MAX_REMEMBERED:
            del self.removed[next(iter(self.removed))]

    def replace_all(self, entries: Iterable[EngineEntry], now: float) -> bool:
        """Replace all entries by a listing; return whether any changed."""
        found = {entry.id: entry for entry in entries}
        changes = [self.put(entry) for entry in found.values()]
        absent = self.entries.keys() - found.keys()
        changes += [
            self.handle_missing(engine_id, now) for engine_id in absent
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
        if entry is None or entry.draining:
            return False
        self.entries[entry.id] = msgspec.structs.replace(entry, draining=True)
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
        """Raise the sequence numbers to those of a peer with equal entries."""
        for engine_id, sequence in zip(
            sorted(self.entries), sequences, strict=False
        ):
            held = self.entries[engine_id]
            if sequence > held.sequence:
                self.put(msgspec.structs.replace(held, sequence=sequence))

    def current(self) -> dict[str, EngineEntry]:
        """Return the valid entries by name of the incarnation.

        Of several entries with one address only that of the engine started
        last is valid, or the one received last if none reports its start.
        """
        if self.cached is not None:
            return self.cached
        at_address: dict[str, EngineEntry] = {}
        for entry in self.trusted():
            other = at_address.get(entry.address)
            if other is None or entry.born >= other.born:
                at_address[entry.address] = entry
        self.cached = {entry.name: entry for entry in at_address.values()}
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
        """Return the engine of that name if it takes new work."""
        entry = self.current().get(name)
        return None if entry is None or entry.draining else entry
