"""Keeps quarantines of prompt segments in the store.

There they outlive the loss of all hosts, and an operator can lift one by
deleting its record.
"""

__all__ = ["StoredQuarantine"]

from typing import ClassVar

import msgspec
import xxhash

from camphortray import backends
from camphortray import crash_attribution
from camphortray import engine_crashes
from camphortray import errors
from camphortray import json_reader
from camphortray import kernel
from camphortray import ledger as ledgers
from camphortray import logs
from camphortray import segment_quarantine

LOG = logs.logger("quarantine")
Quarantine = segment_quarantine.Quarantine
TOPIC = ledgers.Topic.QUARANTINES
# Seconds after which another host stores a quarantine that the first has not,
# and the random part of it.
STORE_DELAY_S = 1.0
STORE_JITTER_S = 2.0
# Pause in seconds after a failed read or write of the store.
PAUSE_S = 1.0
# Seconds from one read of the store to the next, and the least number.
REFRESH_S = 60.0
MIN_REFRESH_S = 2.0
# Longest time after a start, in seconds, for which a host waits for the store
# before it is ready.
LOADED_S = 1.0


@kernel.PARTS.register("host")
class StoredQuarantine(segment_quarantine.SegmentQuarantine):
    """Quarantines in force, kept in the store by one of the hosts.

    Attributes:
      store_at: When to store a quarantine that is not yet stored, by key, in
        monotonic seconds.
      lifted: End of the last quarantine that an operator lifted, by key.
      loaded: Whether the store has been read.
      refresh_at: When to read it again, in monotonic seconds, but for
        ``MIN_REFRESH_S``.
      refreshed_at: When the last read began.
      refreshing: Whether a read is under way.
    """

    requires: ClassVar[tuple[str, ...]] = (
        "backends",
        "engine_crashes",
        "membership",
        "peers",
    )

    def __init__(self, context: kernel.Context) -> None:
        super().__init__(context)
        self.ledger = context.part(backends.LedgerBackends).ledger
        self.crashes = context.part(engine_crashes.EngineCrashes)
        self.store_at: dict[str, float] = {}
        self.lifted: dict[str, float] = {}
        self.loaded = False
        self.started_at = self.clock.monotonic()
        self.refresh_at = self.refreshed_at = -MIN_REFRESH_S
        self.refreshing = False

    @classmethod
    def from_config(cls, context: kernel.Context) -> "StoredQuarantine":
        return cls(context)

    async def start(self) -> None:
        await super().start()
        self.crashes.listen(self.on_crash)
        self.crashes.listen_answers(self.on_answer)

    def ready(self) -> str:
        waited_s = self.clock.monotonic() - self.started_at
        if self.loaded or waited_s > LOADED_S:
            return ""
        return "quarantines not read yet"

    def on_crash(self, crash: crash_attribution.CrashReport) -> None:
        super().on_crash(crash)
        # A host that is cut off from others learns of quarantines here.
        self.refresh_at = min(self.refresh_at, self.refreshed_at)

    def tick(self) -> None:
        super().tick()
        self.store_due()
        now = self.clock.monotonic()
        if now >= self.refresh_at + MIN_REFRESH_S and not self.refreshing:
            self.refreshing = True
            self.links.spawn(self.refresh())

    def put(self, quarantine: Quarantine) -> None:
        key = quarantine.key
        if quarantine.until <= self.lifted.get(key, 0.0):
            return
        super().put(quarantine)
        held = self.in_force.get(key)
        if held is None or held.stored:
            self.store_at.pop(key, None)
        elif key not in self.store_at:
            delay_s = 0.0
            if not self.is_first(key):
                delay_s = STORE_DELAY_S + STORE_JITTER_S * self.rng.random()
            self.store_at[key] = self.clock.monotonic() + delay_s

    def end(self, quarantine: Quarantine, why: str) -> None:
        super().end(quarantine, why)
        self.store_at.pop(quarantine.key, None)

    def on_ended(self, quarantine: Quarantine) -> None:
        self.links.spawn(self.write(quarantine, b""))

    def store_due(self) -> None:
        """Store the quarantines that no other host has stored in time."""
        now = self.clock.monotonic()
        for key, at in list(self.store_at.items()):
            if now >= at:
                self.store_at[key] = now + STORE_DELAY_S + PAUSE_S
                self.links.spawn(self.store(self.in_force[key]))

    async def store(self, quarantine: Quarantine) -> None:
        """Store a quarantine and tell the others so."""
        kept = msgspec.structs.replace(quarantine, stored=True)
        if await self.write(kept, msgspec.json.encode(kept)):
            self.put(kept)
            self.publish(kept)

    async def write(self, quarantine: Quarantine, value: bytes) -> bool:
        """Write a record; return whether the store has certainly done so."""
        record = ledgers.LedgerRecord(record_key(quarantine), value)
        try:
            await self.ledger.append(TOPIC, 0, [record])
        except errors.LogError as error:
            LOG.info("Record of {} not written: {}", quarantine.key, error)
            return False
        return True

    def jitter(self, seconds: float) -> float:
        """Return a time that differs from host to host."""
        return seconds * self.rng.uniform(0.5, 1.5)

    async def refresh(self) -> None:
        """Read the quarantines in the store."""
        begun_at = self.clock.monotonic()
        stored = {key for key, q in self.in_force.items() if q.stored}
        try:
            page = await self.ledger.newest(TOPIC)
        except errors.LogError as error:
            LOG.info("Quarantines not read: {}", error)
            self.refresh_at = begun_at + self.jitter(PAUSE_S) - MIN_REFRESH_S
            return
        finally:
            self.refreshing = False
        self.loaded = True
        now = self.clock.wall()
        self.lifted = {k: at for k, at in self.lifted.items() if at > now}
        self.refreshed_at = begun_at
        self.refresh_at = begun_at + self.jitter(REFRESH_S) - MIN_REFRESH_S
        found = [decode(record) for record in page.records]
        for quarantine in found:
            if quarantine is not None:
                self.put(quarantine)
        for key in stored - {q.key for q in found if q is not None}:
            quarantine = self.in_force.get(key)
            if quarantine is not None:
                self.lifted[key] = quarantine.until
                self.end(quarantine, "its record has been deleted")


def decode(record: ledgers.LedgerRecord) -> Quarantine | None:
    """Return the quarantine of a record, or None if it cannot be read."""
    try:
        return json_reader.read(record.value, Quarantine)
    except msgspec.DecodeError as error:
        LOG.error("Invalid record {}: {}", record.key, error)
        return None


def record_key(quarantine: Quarantine) -> str:
    """Return the key of the record of a quarantine."""
    key = quarantine.key
    if len(key.encode()) <= ledgers.KEY_BYTES:
        return key
    return xxhash.xxh3_128_hexdigest(key.encode())
