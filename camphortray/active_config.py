"""Configuration and engines in force here, from the ledger and from peers.

A host that cannot reach the ledger goes on with the newest that any peer
has, also if it has only just started. Versions of the configuration never
go back within a process.
"""

__all__ = ["ActiveConfig"]

import asyncio
from collections.abc import Callable
import functools
from typing import Any
from typing import ClassVar

import msgspec

from camphortray import access
from camphortray import backends
from camphortray import config as configs
from camphortray import engine_registry
from camphortray import errors
from camphortray import invalid_entries
from camphortray import kernel
from camphortray import ledger as ledgers
from camphortray import logs
from camphortray import messages
from camphortray import peers
from camphortray import revisions
from camphortray import routemap
from camphortray import tasks

LOG = logs.logger("config")
# Wait of a read of the configuration, which is answered as soon as a new one
# is written, as a share of the time in which that must be in force. A read
# whose connection has gone silent is found out only when its time is over.
CONFIGURATION_WAIT_SHARE = 0.4
MAX_CONFIGURATION_WAIT_S = 4.0
# Time from one look at the engines' entries to the next, as a share of that
# in which an engine that leaves must be known. Each engine renews its entry
# about once a second; waiting for each renewal would cost a read for each.
ENGINES_SHARE = 0.25
MAX_ENGINES_EVERY_S = 1.0
# Pause after a failed call, in seconds.
PAUSE_S = 0.25
# Time without an answer after which the ledger counts as away.
AWAY_S = 1.0
# Seconds from one question to a peer to the next while it is away.
ASK_EVERY_S = 0.4
ASK_S = 0.5
# When a caller should come back whose key a newer configuration may know.
RETRY_S = 0.3
# Status with which an engine answers a request for another one.
MISDIRECTED = 421


def paces(config: configs.LedgerConfig) -> tuple[float, float]:
    """Return the times of reads, as the bounds of a deployment ask for.

    Returns:
      The wait of a read of the configuration and the pause from one read of
      the engines to the next, in seconds.
    """
    return (
        min(
            config.configuration_s * CONFIGURATION_WAIT_SHARE,
            MAX_CONFIGURATION_WAIT_S,
        ),
        min(config.engines_s * ENGINES_SHARE, MAX_ENGINES_EVERY_S),
    )


def publish_nothing(name: str) -> None:
    """Publish nothing."""


@messages.message("active_config.ask")
class ActiveConfigAsk(msgspec.Struct, frozen=True):
    """Asks a peer for what it has in force.

    Attributes:
      revision: Version of the configuration that the asker has.
      engines: Digest of the engines that it has, 0 to be sent all.
    """

    revision: int
    engines: int = 0


@messages.message("active_config.answer")
class ActiveConfigAnswer(msgspec.Struct, frozen=True):
    """Answers with the configuration, if newer, and the engines.

    Attributes:
      key: Key of the configuration's record.
      configuration: Its bytes, empty if the asker has it already.
      engines: Entries of all engines, empty if the asker has them already.
      fresh: Whether the peer reaches the ledger itself.
      digest: Digest of the engines if they are left out, else 0.
      sequences: Their sequence numbers, in the order of their ids.
    """

    key: str = ""
    configuration: bytes = b""
    engines: tuple[engine_registry.EngineEntry, ...] = ()
    fresh: bool = False
    digest: int = 0
    sequences: tuple[int, ...] = ()


@kernel.PARTS.register("host")
class ActiveConfig(revisions.Revisions):
    """What is in force on this host.

    Attributes:
      view: The newest configuration known; never goes back.
      routes: Its routes.
      access: Its workspaces and their keys.
      engines: The engines.
      reached_at: When the ledger answered last.
      peer_reached_at: When a peer last said that it reaches the ledger.
      peers_of: Returns the peers that can be asked.
      publish_mismatch: Tells other hosts that an engine's address is another
        engine's.
    """

    name: ClassVar[str] = "settings"
    requires: ClassVar[tuple[str, ...]] = ("backends", "peers")

    def __init__(self, context: kernel.Context) -> None:
        self.context = context
        self.clock = context.clock
        held = context.part(backends.LedgerBackends)
        self.ledger = held.ledger
        self.configuration_wait_s, self.engines_every_s = paces(
            context.config.ledger or configs.LedgerConfig("")
        )
        self.dialect = held.dialect
        self.links = context.part(peers.Peers)
        self.view = routemap.EMPTY_CONFIGURATION
        self.record = ledgers.LedgerRecord("", b"")
        self.routes = routemap.RouteMap(())
        self.access = access.AccessControl(self.view)
        self.engines = engine_registry.EngineRegistry()
        self.invalid_entries = invalid_entries.InvalidEntries()
        self.listeners: list[Callable[[Any], None]] = []
        self.engine_listeners: list[Callable[[], None]] = []
        self.reached_at = -AWAY_S
        self.peer_reached_at = -AWAY_S
        self.was_away = True
        self.listed = False
        self.peers_of: Callable[[], list[configs.Address]] = list
        self.publish_mismatch: Callable[[str], None] = publish_nothing
        self.tasks: list[asyncio.Task[None]] = []

    @classmethod
    def from_config(cls, context: kernel.Context) -> "ActiveConfig":
        return cls(context)

    async def start(self) -> None:
        self.links.on(ActiveConfigAsk, self.answer)
        loop = asyncio.get_running_loop()
        for name, work in (
            ("reading of the configuration", self.follow_configuration),
            ("reading of the engines", self.follow_engines),
            ("questions to peers", self.ask_peers),
        ):
            self.tasks.append(loop.create_task(tasks.forever(name, work)))

    async def stop(self) -> None:
        for task in self.tasks:
            task.cancel()

    def ready(self) -> str:
        if not self.view.revision:
            return "no configuration yet"
        return "" if self.listed else "no engines known yet"

    def listen(self, listener: Callable[[Any], None]) -> None:
        self.listeners.append(listener)
        listener(self.view)

    def listen_engines(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` whenever an engine comes, goes or leaves."""
        self.engine_listeners.append(listener)

    @property
    def away(self) -> bool:
        """Whether the ledger has not answered for a while."""
        return self.clock.monotonic() - self.reached_at > AWAY_S

    @property
    def in_touch(self) -> bool:
        """Whether this host, or a peer that it asks, reaches the ledger."""
        now = self.clock.monotonic()
        return not self.away or now - self.peer_reached_at <= AWAY_S

    # Callers.

    def admit(self, route: routemap.Route, key_hash: str) -> access.Caller:
        """Return on whose behalf a request runs.

        Args:
          route: Where it goes.
          key_hash: Of the key that it shows; empty if it shows none.

        Raises:
          Refused: no workspace holds its key, or only a newer configuration
            may say so.
        """
        try:
            return self.access.admit(route, key_hash)
        except errors.Refused as refusal:
            raise self.denied(refusal) from refusal

    def admit_job_call(self, host_name: str, key_hash: str) -> str | None:
        """Return the workspace whose jobs a call may see, None for all.

        Raises:
          Refused: as ``admit``.
        """
        routes = self.routes.of_host(host_name)
        try:
            return self.access.admit_job_call(routes, key_hash)
        except errors.Refused as refusal:
            raise self.denied(refusal) from refusal

    def denied(self, refusal: errors.Refused) -> errors.Refused:
        """Log and count a request without a valid key; return its refusal.

        A host out of touch may not have heard of a key that was added, and
        no caller comes again after 401.
        """
        in_touch = self.in_touch
        if not in_touch:
            refusal = errors.Refused(
                503, "not_in_touch", refusal.message, retry_after=RETRY_S
            )
        LOG.info(
            "A request is refused with {}: {}.",
            refusal.status,
            refusal.message,
            fields={
                "status": refusal.status,
                "revision": self.access.revision,
                "in_touch": in_touch,
            },
        )
        self.context.metrics.inc(
            "camphortray_keys_refused_total",
            "Requests refused for their key, by status.",
            {"status": refusal.status},
        )
        return refusal

    # The configuration.

    async def follow_configuration(self) -> None:
        """Read on for ever."""
        offset = -1
        while True:
            try:
                offset = await self.read_configuration(offset)
            except errors.LogTruncated:
                offset = -1
            except errors.LogError as error:
                LOG.debug("No configuration: {}", error)
                await asyncio.sleep(PAUSE_S)

    async def read_configuration(self, offset: int) -> int:
        """Read once; return from where to go on."""
        topic = ledgers.Topic.CONFIGURATION
        if offset < 0:
            page = await self.ledger.newest(topic)
            offset = page.end
        else:
            page = await self.ledger.read(
                topic, 0, offset, self.configuration_wait_s
            )
            offset = page.next_offset(offset)
        for record in page.records:
            self.take_record(record)
        return offset

    def take_record(self, record: ledgers.LedgerRecord) -> None:
        """Put a configuration in force if it is newer."""
        if not record.value:
            return
        try:
            found = self.dialect.configuration(record.key, record.value)
        except Exception as error:
            # Whatever is wrong with it, those after it are followed.
            known = isinstance(error, errors.RecordError)
            why = str(error) if known else repr(error)
            LOG.error("Configuration left out: {}", why)
            return
        if found is None or found.revision <= self.view.revision:
            return
        self.view = found
        self.record = record
        self.routes = routemap.RouteMap(found.routes)
        self.access = access.AccessControl(found)
        self.engines.set_services(found.service_names)
        LOG.notice(
            "Version {} is in force, {} routes.",
            found.revision,
            len(found.routes),
        )
        for listener in self.listeners:
            # The version is not read again: one that fails must not keep it
            # from the others.
            with tasks.contained("listener of the configuration"):
                listener(found)
        self.notify_engines()

    # The engines.

    async def follow_engines(self) -> None:
        """Read the entries again and again."""
        offset = -1
        while True:
            try:
                offset = await self.read_engines(offset)
                self.reached()
            except errors.LogTruncated:
                offset = -1
                continue
            except errors.LogError as error:
                LOG.debug("No entries of engines: {}", error)
                self.lost(error)
            if self.engines.drop_overdue(self.clock.monotonic()):
                self.notify_engines()
            await asyncio.sleep(self.engines_every_s)

    async def read_engines(self, offset: int) -> int:
        """Read once; return from where to go on."""
        topic = ledgers.Topic.ENGINES
        if offset < 0:
            page = await self.ledger.newest(topic)
            self.reached()
            entries = [self.entry_of(record) for record in page.records]
            found = [entry for entry in entries if entry is not None]
            now = self.clock.monotonic()
            changed = self.engines.replace_all(found, now, page.end - 1)
            self.listed = True
            offset = page.end
        else:
            page = await self.ledger.read(topic, 0, offset)
            self.reached()
            changes = [self.take_entry(record) for record in page.records]
            changed = any(changes)
            offset = page.next_offset(offset)
        if changed:
            self.notify_engines()
        if page.records and offset < page.end:
            # A pause before each part would let a host fall behind for good.
            return await self.read_engines(offset)
        return offset

    def entry_of(
        self, record: ledgers.LedgerRecord
    ) -> engine_registry.EngineEntry | None:
        """Return the entry of a record, or None if it names no engine."""
        try:
            entry = self.dialect.engine(record.key, record.value)
        except Exception as error:
            # Whatever is wrong with one entry, the others are followed.
            if self.invalid_entries.add(record.key, record.value):
                known = isinstance(error, errors.RecordError)
                why = str(error) if known else repr(error)
                LOG.warning("Entry {!r} left out: {}", record.key, why)
            return None
        self.invalid_entries.discard(record.key)
        if record.offset < 0:
            return entry
        return msgspec.structs.replace(entry, offset=record.offset)

    def take_entry(self, record: ledgers.LedgerRecord) -> bool:
        """Take one record; return whether it changed anything."""
        if not record.value:
            return self.engines.handle_missing(
                record.key, self.clock.monotonic(), record.offset
            )
        entry = self.entry_of(record)
        if entry is None:
            return self.engines.handle_invalid(record.key, record.offset)
        return self.engines.put(entry)

    def reached(self) -> None:
        """Take note that the ledger answers."""
        now = self.clock.monotonic()
        if self.was_away:
            LOG.notice("Reaches the ledger.")
            self.was_away = False
            if now - self.peer_reached_at > AWAY_S:
                # Only where no peer reached it either was it away itself,
                # so that entries may have lapsed for that.
                self.engines.note_recovery(now)
        self.reached_at = now

    def lost(self, error: errors.LogError) -> None:
        """Take note that the ledger does not answer."""
        if not self.was_away:
            LOG.warning("Lost the ledger: {}", error)
            self.was_away = True

    def on_refusal(self, name: str, error: errors.UpstreamRefused) -> None:
        """Take note of what a refusal says about its engine."""
        if error.leaving:
            self.note_leaving(name)
        if error.status == MISDIRECTED and not error.ran:
            self.note_mismatch(name)

    def note_leaving(self, name: str) -> None:
        """Send an engine nothing new, by its own word."""
        if self.engines.mark_draining(name):
            LOG.notice("{} leaves, by its own word.", name)
            self.notify_engines()

    def note_mismatch(self, name: str) -> None:
        """Use an engine's address no more, as another answers there."""
        if self.refute(name):
            self.publish_mismatch(name)

    def refute(self, name: str) -> bool:
        """As ``note_mismatch``, by any host's word.

        Returns:
          Whether that is new here.
        """
        refuted = self.engines.refute(name)
        if refuted:
            LOG.notice(
                "Entry {} left out: another engine answers there.", name
            )
            self.notify_engines()
        return refuted

    def notify_engines(self) -> None:
        """Tell whoever listens."""
        for listener in self.engine_listeners:
            with tasks.contained("listener of the engines"):
                listener()

    # Peers.

    async def answer(
        self, sender: peers.Sender, ask: ActiveConfigAsk
    ) -> ActiveConfigAnswer:
        """Tell a peer what is in force here."""
        newer = self.view.revision > ask.revision
        known = ask.engines != 0 and ask.engines == self.engines_digest
        listed = self.listed and not known
        return ActiveConfigAnswer(
            self.record.key if newer else "",
            self.record.value if newer else b"",
            tuple(self.engines.entries.values()) if listed else (),
            not self.away,
            ask.engines if known else 0,
            self.engines.sequences if known else (),
        )

    @property
    def engines_digest(self) -> int:
        """Digest of the engines known here, 0 if they have not been listed."""
        return self.engines.digest if self.listed else 0

    def to_ask(self) -> list[configs.Address]:
        """Return the peers that may tell what is lacking here."""
        if not self.away or not self.context.config.experiments.peers_word:
            return []
        return self.peers_of()

    async def ask_peers(self) -> None:
        """Ask peers for what is lacking while the ledger is away."""
        while True:
            await asyncio.sleep(ASK_EVERY_S)
            addresses = self.to_ask()
            if not addresses:
                continue
            address = self.context.rng.choice(addresses)
            ask = ActiveConfigAsk(self.view.revision, self.engines_digest)
            try:
                reply = await self.links.ask(address, ask, ASK_S)
            except errors.MessageError as error:
                LOG.debug("No word from a peer: {}", error)
                continue
            if isinstance(reply, ActiveConfigAnswer):
                self.take_answer(reply)

    def take_answer(self, reply: ActiveConfigAnswer) -> None:
        """Take over what a peer has."""
        if reply.fresh:
            self.peer_reached_at = self.clock.monotonic()
        if reply.configuration:
            self.take_record(
                ledgers.LedgerRecord(reply.key, reply.configuration)
            )
        if reply.digest and reply.digest == self.engines_digest:
            self.engines.renew(reply.sequences)
        if not reply.engines:
            return
        now = self.clock.monotonic()
        if reply.fresh or not self.listed:
            changed = self.engines.replace_all(
                reply.engines, now, from_peer=True
            )
        else:
            put = functools.partial(self.engines.put, from_peer=True)
            changed = any([put(entry) for entry in reply.engines])
        self.listed = True
        if changed:
            self.notify_engines()
