"""Keeps which software versions have served, in the store.

A host knows only what has served since its own start. After a loss of all
hosts the store tells the new ones what served before: a record for each
service and version, written as the first engine of the version comes and
dropped long after its last one has left.
"""

__all__ = ["KEEP_S", "VersionRecord"]

import asyncio
from collections.abc import Iterable
from collections.abc import Mapping

import msgspec
import xxhash

from camphortray import errors
from camphortray import json_reader
from camphortray import ledger as ledgers
from camphortray import logs
from camphortray import standby_updates
from camphortray import tasks

LOG = logs.logger("streams")
TOPIC = ledgers.Topic.VERSIONS
# Seconds for which a version that has left stays on record; no stream that
# is older can be looked up here.
KEEP_S = 600.0
# Pause in seconds after a failed call of the store; it doubles with each
# further one up to the second.
PAUSE_S = (0.5, 8.0)
# Seconds from one look at whether other hosts are known to the next.
LOOK_S = 0.05
# Seconds after which a host that does not coordinate the service records a
# version that is still missing.
BACKUP_S = (1.0, 8.0)

# Number of digests of a name.
DIGESTS = 2**64

Versions = Mapping[str, Iterable[str]]


class Served(msgspec.Struct, frozen=True):
    """A version that serves or has served.

    Attributes:
      service: Service of its engines.
      version: Their software version; empty if they tell none.
    """

    service: str
    version: str

    @property
    def key(self) -> str:
        """Key of its record."""
        key = f"{self.service}/{self.version}"
        if len(key.encode()) <= ledgers.KEY_BYTES:
            return key
        return xxhash.xxh3_128_hexdigest(key.encode())


class Entry(msgspec.Struct, frozen=True):
    """A record.

    Attributes:
      service: As ``Served``.
      version: As ``Served``.
      writer: Member that wrote it.
      started: Number of the process of that member.
    """

    service: str
    version: str
    writer: str = ""
    started: int = 0

    @property
    def served(self) -> Served:
        """The version that it names."""
        return Served(self.service, self.version)


class VersionRecord:
    """What the store tells of the versions of all services.

    Attributes:
      host: What it needs of the host that it runs on.
      serving: What serves now.
      recorded: What is on record, as far as this host knows.
      earlier: The entries as this host read them first; None before that.
      gone: When a recorded version was first seen not to serve, in monotonic
        seconds.
      unrecorded: When a version that served here left, of those that are not
        on record, in monotonic seconds.
      reading: Whether the first read has begun.
      recording: Whether this host records versions of its own services.
      backing_up: Whether it waits for others to record theirs.
      stale: Whether the record is to be read again.
      rereading: Whether it is being read again.
    """

    def __init__(self, host: standby_updates.StandbyHost) -> None:
        self.host = host
        self.serving: frozenset[Served] = frozenset()
        self.recorded: set[Served] = set()
        self.earlier: list[Entry] | None = None
        self.gone: dict[Served, float] = {}
        self.unrecorded: dict[Served, float] = {}
        self.reading = False
        self.recording = False
        self.backing_up = False
        self.stale = False
        self.rereading = False

    @property
    def place(self) -> float:
        """Place of this host among all, from 0 to 1, so that calls spread."""
        digest = xxhash.xxh3_64_intdigest(self.host.own_name.encode())
        return float(digest / DIGESTS)

    def earlier_versions(
        self, service: str, within_s: float
    ) -> tuple[str, ...] | None:
        """Return what had served before this host, None if not known.

        An entry of a host that still runs tells nothing by itself: that host
        may have been the first to write any, and not know what served before.

        Args:
          service: Service of the engines.
          within_s: Time before this host's start that is asked about.
        """
        if self.earlier is None or within_s > KEEP_S:
            return None
        found = [entry for entry in self.earlier if entry.service == service]
        if all(self.host.runs(e.writer, e.started) for e in found):
            return None
        return tuple(sorted({entry.version for entry in found}))

    def update(self, versions: Versions) -> None:
        """Set what serves; record what is missing."""
        now = self.host.clock.monotonic()
        serving = frozenset(
            Served(service, version)
            for service, held in versions.items()
            for version in held
        )
        self.unrecorded.update(
            dict.fromkeys(self.serving - serving - self.recorded, now)
        )
        self.serving = serving
        if self.serving and not self.reading:
            self.reading = True
            # It is read for the first time once, whatever goes wrong.
            self.host.links.spawn(
                tasks.forever("versions on record", self.begin)
            )
        self.compare()

    def compare(self) -> None:
        """Record what is missing, and note what has left."""
        if self.earlier is None:
            return
        now = self.host.clock.monotonic()
        left = self.unrecorded | self.gone
        self.gone = {
            served: left.get(served, now)
            for served in self.recorded - self.serving
        }
        self.unrecorded = {
            served: at
            for served, at in self.unrecorded.items()
            if served not in self.recorded | self.serving
            and now - at <= KEEP_S
        }
        if not self.recording and self.missing_own():
            self.recording = True
            self.host.links.spawn(self.record_own())
        if not self.backing_up and self.missing():
            self.backing_up = True
            self.host.links.spawn(self.back_up())

    def missing(self) -> list[Served]:
        """Return what serves or left lately and is not on record."""
        now = self.host.clock.monotonic()
        left = {s for s, at in self.unrecorded.items() if now - at <= KEEP_S}
        return sorted(
            (self.serving | left) - self.recorded,
            key=lambda served: (served.service, served.version),
        )

    def missing_own(self) -> list[Served]:
        """Return what this host is to record at once."""
        return [
            served
            for served in self.missing()
            if self.host.coordinates(served.service)
        ]

    def on_elected(self, service: str) -> None:
        """Read what the coordinator before may have dropped or recorded."""
        if self.earlier is not None and self.host.coordinates(service):
            self.read_again()

    def read_again(self) -> None:
        """Read the record anew until the store answers."""
        self.stale = True
        if not self.rereading:
            self.rereading = True
            self.host.links.spawn(self.reread())

    async def reread(self) -> None:
        """Read the record until no read is wanted any more."""
        try:
            failed = 0
            while self.stale:
                self.stale = False
                if await self.read() is None:
                    self.stale = True
                    failed = await self.pause(failed)
        finally:
            self.rereading = False

    def drop_expired(self) -> None:
        """Drop versions that no stream can be of any more."""
        now = self.host.clock.monotonic()
        gone = [
            served
            for served, at in self.gone.items()
            if now - at > KEEP_S and self.host.coordinates(served.service)
        ]
        for served in gone:
            self.gone[served] = now
        if gone:
            self.host.links.spawn(self.drop(gone))

    async def begin(self) -> None:
        """Read the record for the first time."""
        failed = 0
        while (entries := await self.read()) is None:
            failed = await self.pause(failed)
        while not self.host.introduced:
            # It would take itself for the only host.
            await asyncio.sleep(LOOK_S)
        self.earlier = entries
        for entry in entries:
            LOG.notice(
                "Version {} of service {} is on record.",
                entry.version or "(none)",
                entry.service,
            )
        self.compare()

    async def read(self) -> list[Entry] | None:
        """Read the record; return None if the store does not answer."""
        try:
            page = await self.host.ledger.newest(TOPIC)
        except errors.LogError as error:
            LOG.info("Versions on record not read: {}", error)
            return None
        decoded = [decode(record) for record in page.records]
        entries = [entry for entry in decoded if entry is not None]
        self.recorded = {entry.served for entry in entries}
        self.compare()
        return entries

    async def record_own(self) -> None:
        """Record the versions of the services that this host coordinates."""
        failed = 0
        try:
            while own := self.missing_own():
                if not await self.write(own, keep=True):
                    failed = await self.pause(failed)
        finally:
            self.recording = False

    async def back_up(self) -> None:
        """Record what those that coordinate the services have not."""
        failed = 0
        first, last = BACKUP_S
        try:
            while self.missing():
                await asyncio.sleep(first + (last - first) * self.place)
                if not self.missing():
                    break
                if await self.read() is None:
                    failed = await self.pause(failed)
                    continue
                missing = self.missing()
                if missing and not await self.write(missing, keep=True):
                    failed = await self.pause(failed)
        finally:
            self.backing_up = False

    async def pause(self, failed: int) -> int:
        """Wait after a failed call of the store.

        Args:
          failed: Number of calls that had failed before it.

        Returns:
          The number with it.
        """
        first, last = PAUSE_S
        pause_s = min(last, first * 2.0 ** min(failed, 10))
        await asyncio.sleep(pause_s * (1.0 + self.place) / 2.0)
        return failed + 1

    async def drop(self, gone: Iterable[Served]) -> None:
        """Drop versions; what has come back meanwhile is written anew."""
        if await self.write(gone, keep=False):
            self.recorded.difference_update(gone)
            self.compare()
        else:
            # It may have been done all the same.
            self.read_again()

    async def write(self, changes: Iterable[Served], *, keep: bool) -> bool:
        """Write or drop records; return whether the store has done so."""
        host = self.host
        records = []
        for served in changes:
            entry = Entry(
                served.service, served.version, host.own_name, host.incarnation
            )
            value = msgspec.json.encode(entry) if keep else b""
            records.append(ledgers.LedgerRecord(served.key, value))
        try:
            await host.ledger.append(TOPIC, 0, records)
        except errors.LogError as error:
            LOG.info("Versions not recorded: {}", error)
            return False
        if keep:
            self.recorded.update(changes)
            self.compare()
        for served in changes:
            LOG.notice(
                "Version {} of service {} is {}.",
                served.version or "(none)",
                served.service,
                "put on record" if keep else "dropped from the record",
            )
        return True


def decode(record: ledgers.LedgerRecord) -> Entry | None:
    """Return the entry of a record, or None if it cannot be read."""
    try:
        return json_reader.read(record.value, Entry)
    except msgspec.DecodeError as error:
        LOG.error("Invalid record {}: {}", record.key, error)
        return None
