"""Finds the software version at which a stream began, at any host.

The coordinator of a service knows the engine of each stream, as it grants the
slot; it keeps the version for as long as callers may take the stream up. Only
while engines of several versions serve, it also sends them to the hosts that
would coordinate next. A host that is to take a stream up asks these hosts. If
none of them knows the stream, it goes on only if a single version has served
for as long as the stream may have lasted. A host tells that of the time since
its start; of the time before, the store's record does (`version_record`). A
host that was cut off from the store may have missed a version; what the record
told hosts that have started since is added to what it tells.
"""

__all__ = ["StreamLookup"]

import asyncio
from collections.abc import Sequence

import msgspec

from camphortray import errors
from camphortray import logs
from camphortray import peers
from camphortray import slot_messages
from camphortray import standby_updates
from camphortray import stream_versions
from camphortray import version_record

LOG = logs.logger("streams")
StreamAsk = slot_messages.StreamAsk
StreamAnswer = slot_messages.StreamAnswer
StreamUpdate = slot_messages.StreamUpdate
# Number of hosts that know a coordinator's streams, including itself.
KEEPERS = 5
# Timeout in seconds for the answer of a host that may know a stream.
ASK_TIMEOUT_S = 0.12
# How often a stream that nobody knows is asked for, and the seconds between:
# the update that names it may still be on its way.
LOOKUPS = 2
LOOKUP_PAUSE_S = 0.1
# Seconds for which a stream may be taken up after the time of its last
# attempt is over.
KEEP_MARGIN_S = 5.0
# Longest time in seconds for which a host that knows the engines waits for the
# store's record of versions before it is ready.
LOADED_S = 1.0
# Streams in one message, well below the size limit of a link.
MAX_STREAMS = 10_000


class Finding(msgspec.Struct, frozen=True):
    """What this host and those that it asked know of a stream.

    Attributes:
      version: Software version at which it began, or None if not known.
      versions: Versions that served while it may have lasted; none if
        coordinators have granted it slots of several, or if no host knows
        what served for all that time.
      alone: Whether there were hosts to ask and none answered.
    """

    version: str | None
    versions: frozenset[str] = frozenset()
    alone: bool = False


class StreamLookup(standby_updates.StandbyUpdates[stream_versions.Begun]):
    """The streams that one host knows, and questions for others.

    Attributes:
      by_service: Streams by service.
      version_record: Versions that have served, by the store.
      listed_at: When this host first knew all engines, in monotonic seconds.
      away_at: When the store was last known to be out of reach, in monotonic
        seconds.
    """

    interval_s = 0.05

    def __init__(self, host: standby_updates.StandbyHost) -> None:
        super().__init__(host)
        self.by_service: dict[str, stream_versions.StreamVersions] = {}
        self.version_record = version_record.VersionRecord(host)
        self.listed_at: float | None = None
        self.away_at: float | None = None

    def start(self) -> None:
        """Register the handlers of messages from other hosts."""
        self.host.links.on(StreamAsk, self.on_ask)
        self.host.links.on(StreamUpdate, self.on_update)

    def ready(self) -> str:
        """Return why streams cannot be taken up here yet; empty if so."""
        now = self.host.clock.monotonic()
        loaded = self.version_record.earlier is not None
        if loaded or self.listed_at is None or now - self.listed_at > LOADED_S:
            return ""
        return "versions on record not read yet"

    def of(self, service: str) -> stream_versions.StreamVersions:
        """Return the streams of a service, none on first use."""
        streams = self.by_service.get(service)
        if streams is None:
            streams = stream_versions.StreamVersions()
            self.by_service[service] = streams
            self.update_engines()
        return streams

    def update_engines(self) -> None:
        """Record the versions of the registered engines."""
        now = self.host.clock.monotonic()
        self.note_away(now)
        versions: dict[str, set[str]] = {s: set() for s in self.by_service}
        for entry in self.host.active_config.engines.current().values():
            versions.setdefault(entry.service, set()).add(entry.version)
        for service, serving in versions.items():
            streams = self.by_service.setdefault(
                service, stream_versions.StreamVersions()
            )
            if streams.set_serving(serving, now):
                LOG.notice(
                    "Versions of service {}: {}.",
                    service,
                    ", ".join(sorted(serving)) or "none",
                )
            if len(serving) > 1:
                self.schedule(service)
        if self.listed_at is None and self.host.active_config.listed:
            self.listed_at = now
        self.version_record.update(versions)

    def prune(self) -> None:
        """Drop the streams that cannot be taken up any more."""
        now = self.host.clock.monotonic()
        self.note_away(now)
        for streams in self.by_service.values():
            streams.prune(now)
        self.version_record.drop_expired()

    def on_elected(self, service: str) -> None:
        super().on_elected(service)
        self.version_record.on_elected(service)

    # Streams that begin.

    def record(
        self,
        service: str,
        attempt: str,
        version: str,
        left_s: float,
        holder: str = "",
    ) -> None:
        """Record a stream and keep it at the standbys.

        Args:
          service: Service of its engine.
          attempt: Id of the attempt that began it.
          version: Software version of its engine.
          left_s: Time after which its present attempt has ended.
          holder: Member that asked for its slot.
        """
        streams = self.of(service)
        streams.record(self.begun(attempt, version, left_s, holder))
        if len(streams.serving) > 1:
            self.schedule(service)

    def knows(self, service: str, attempt: str) -> bool:
        """Return whether this host knows a stream."""
        digest = stream_versions.digest_of(attempt)
        return digest in self.of(service).streams

    def note(
        self, service: str, attempt: str, version: str, left_s: float
    ) -> None:
        """Keep a stream at this host alone; see ``record``."""
        holder = self.host.own_name
        self.of(service).note(self.begun(attempt, version, left_s, holder))

    def begun(
        self, attempt: str, version: str, left_s: float, holder: str
    ) -> stream_versions.Begun:
        """Return a stream that begins now."""
        until = self.host.clock.monotonic() + left_s + KEEP_MARGIN_S
        digest = stream_versions.digest_of(attempt)
        return stream_versions.Begun(
            digest, version, until, self.host.own_name, holder=holder
        )

    def targets(self, service: str) -> list[str]:
        elected = self.host.elected(service)
        ranked = self.host.standbys(service, KEEPERS)
        names = [name for name in ranked if name != elected]
        if elected != self.host.own_name:
            return [elected, *names[: KEEPERS - 1]]
        return names[: KEEPERS - 1]

    def take_changes(self, service: str) -> list[stream_versions.Begun]:
        return self.of(service).take_changes()

    def everything(self, service: str) -> list[stream_versions.Begun]:
        return list(self.of(service).streams.values())

    def messages(
        self, service: str, changes: list[stream_versions.Begun]
    ) -> list[StreamUpdate]:
        now = self.host.clock.monotonic()
        return [
            StreamUpdate.of(service, changes[at : at + MAX_STREAMS], now)
            for at in range(0, len(changes), MAX_STREAMS)
        ]

    def is_pending(self, service: str) -> bool:
        return bool(self.of(service).changes)

    async def on_update(
        self, sender: peers.Sender, update: StreamUpdate
    ) -> None:
        """Apply an update of a coordinator."""
        now = self.host.clock.monotonic()
        self.of(update.service).merge(update.begun(now, str(sender)))

    # Streams that are taken up.

    async def locate(
        self, services: Sequence[str], attempt: str, keep_s: float
    ) -> tuple[str, str]:
        """Return the service and software version of a stream.

        Args:
          services: Services that may have begun it, the likeliest first.
          attempt: Id of the attempt that began it.
          keep_s: Longest time for which it may have lasted.

        Returns:
          The service, and the version; empty if its engines tell none.

        Raises:
          NoVersion: it is not known.
        """
        digest = stream_versions.digest_of(attempt)
        keep_ms = round((keep_s + KEEP_MARGIN_S) * 1000)
        asks = [StreamAsk(service, digest, keep_ms) for service in services]
        for lookup in range(LOOKUPS):
            if lookup:
                await asyncio.sleep(LOOKUP_PAUSE_S)
            findings = [await self.find(ask) for ask in asks]
            for ask, found in zip(asks, findings, strict=True):
                if found.version is not None:
                    self.count("known")
                    return ask.service, found.version
            version = self.only_version(findings[0])
            if version is not None:
                break
        self.count("unknown" if version is None else "only")
        if version is None:
            raise errors.NoVersion(
                "the version of the stream is not known", step="look up"
            )
        return services[0], version

    def count(self, outcome: str) -> None:
        """Count a look-up by how the version was found."""
        self.host.metrics.inc(
            "camphortray_stream_lookups_total",
            "Streams taken up by callers, by whether their version was known,"
            " the only one that served, or unknown.",
            {"version": outcome},
        )

    def only_version(self, found: Finding) -> str | None:
        """Return the version if a single one has served.

        Without an answer of another host, the registry alone tells what has
        served, and only while it is in reach.
        """
        if len(found.versions) != 1:
            return None
        if found.alone and self.host.active_config.away:
            return None
        return next(iter(found.versions))

    async def find(self, ask: StreamAsk) -> Finding:
        """Ask the hosts that may know a stream.

        All are waited for: a coordinator that stood still may have granted
        the stream a slot that was not used, and the next one another.
        """
        names = self.targets(ask.service)
        replies = await asyncio.gather(*(self.ask(n, ask) for n in names))
        answers = [reply for reply in replies if reply is not None]
        alone = bool(names) and not answers
        answers.append(self.answer(ask))
        seen = [answer for answer in answers if answer.seen]
        begun = {a.version for a in seen or answers if a.known}
        ambiguous = not seen and any(a.ambiguous for a in answers)
        if len(begun) > 1 or ambiguous:
            return Finding(None)
        if begun:
            holders = {a.holder for a in answers if a.known and a.holder}
            if not seen and self.has_changed(ask):
                return await self.confirm(ask, begun.pop(), holders)
            return Finding(begun.pop())
        versions = {v for answer in answers for v in answer.versions}
        if not any(a.lived and a.followed for a in answers):
            # The record of a host that has lived is of before the stream.
            young = [answer for answer in answers if not answer.lived]
            records = [a.earlier for a in young if a.earlier is not None]
            if not records and len(young) == len(answers):
                return Finding(None)
            versions.update(*records)
        return Finding(None, frozenset(versions), alone)

    def has_changed(self, ask: StreamAsk) -> bool:
        """Return whether several versions served while a stream lasted."""
        now = self.host.clock.monotonic()
        recent = self.of(ask.service).recent(ask.keep_ms / 1000, now)
        return len(recent) > 1

    async def confirm(
        self, ask: StreamAsk, version: str, holders: set[str]
    ) -> Finding:
        """Ask the hosts that were granted the slots of a stream.

        A request for a slot may arrive late, and be granted one that its host
        does not use: meanwhile that host had a slot from another coordinator,
        or from itself.

        Args:
          ask: The question.
          version: Version at which the slots were granted.
          holders: Members that asked for them.
        """
        for name in holders:
            try:
                answer = await self.ask_host(name, ask)
            except errors.MessageError as error:
                refused = isinstance(error.__cause__, ConnectionRefusedError)
                if refused or not self.host.is_live(name):
                    continue
                LOG.info("Holder {} not asked for a stream: {}", name, error)
                return Finding(None)
            if answer.seen:
                return Finding(answer.version)
            if answer.lived or answer.known:
                # It has received no event of the stream.
                return Finding(None)
        return Finding(version)

    async def ask_host(self, name: str, ask: StreamAsk) -> StreamAnswer:
        """Ask one host, which may be this one.

        Raises:
          MessageError: it does not answer.
        """
        if name == self.host.own_name:
            return self.answer(ask)
        address = self.host.peer_address(name)
        reply = await self.host.links.ask(address, ask, ASK_TIMEOUT_S)
        if not isinstance(reply, StreamAnswer):
            raise errors.MessageError("no answer", step="ask", peer=name)
        return reply

    async def ask(self, name: str, ask: StreamAsk) -> StreamAnswer | None:
        """Ask one host; return None if it does not answer."""
        try:
            return await self.ask_host(name, ask)
        except errors.MessageError as error:
            LOG.info("Host {} not asked for a stream: {}", name, error)
            return None

    def answer(self, ask: StreamAsk) -> StreamAnswer:
        """Return what this host knows of a stream."""
        now = self.host.clock.monotonic()
        streams = self.of(ask.service)
        stream = streams.find(ask.digest, now)
        if stream is None:
            keep_s = ask.keep_ms / 1000
            return StreamAnswer(
                versions=tuple(sorted(streams.recent(keep_s, now))),
                lived=self.has_lived(keep_s),
                earlier=self.version_record.earlier_versions(
                    ask.service, keep_s
                ),
                followed=self.has_followed(keep_s),
            )
        if stream.version is None:
            return StreamAnswer(ambiguous=True)
        return StreamAnswer(
            stream.version,
            True,
            seen=stream.seen,
            lived=self.has_lived(ask.keep_ms / 1000),
            holder=stream.holder,
        )

    def has_lived(self, seconds: float) -> bool:
        """Return whether this host has known the engines for so long."""
        now = self.host.clock.monotonic()
        return self.listed_at is not None and now - self.listed_at >= seconds

    def note_away(self, now: float) -> None:
        """Take note if the store is out of reach."""
        if self.host.active_config.away:
            self.away_at = now

    def has_followed(self, seconds: float) -> bool:
        """Return whether the store was in reach of this host for so long."""
        now = self.host.clock.monotonic()
        self.note_away(now)
        return self.away_at is None or now - self.away_at >= seconds

    async def on_ask(
        self, sender: peers.Sender, ask: StreamAsk
    ) -> StreamAnswer:
        """Answer a host that is to take a stream up."""
        return self.answer(ask)
