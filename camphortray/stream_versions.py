"""Keeps at which software version the streams of a service began."""

__all__ = ["Begun", "StreamVersions", "digest_of"]

from collections.abc import Iterable

import msgspec
import xxhash


class Begun(msgspec.Struct, frozen=True):
    """A stream that has begun.

    Attributes:
      digest: Digest of the id of the attempt that began it.
      version: Software version of its engine; empty if the engine tells
        none, None if coordinators have granted it slots of several.
      until: Time until which it may be taken up, in monotonic seconds.
      source: Member that recorded it.
      seen: Whether this host has received events of it.
      holder: Member that asked for its slot; empty if not known.
    """

    digest: int
    version: str | None
    until: float
    source: str
    seen: bool = False
    holder: str = ""


class StreamVersions:
    """Versions of the streams of one service, and of its engines.

    Attributes:
      streams: Streams by digest.
      changes: Streams begun here since the last call of ``take_changes``.
      serving: Versions of the registered engines.
      left_at: When the last engine of a version left, in monotonic seconds.
    """

    def __init__(self) -> None:
        self.streams: dict[int, Begun] = {}
        self.changes: dict[int, Begun] = {}
        self.serving: frozenset[str] = frozenset()
        self.left_at: dict[str, float] = {}

    def record(self, stream: Begun) -> None:
        """Add a stream that this host has granted a slot."""
        self.merge((stream,))
        self.changes[stream.digest] = stream

    def merge(self, streams: Iterable[Begun]) -> None:
        """Add streams that coordinators have granted a slot.

        The latest slot of a coordinator replaces its earlier ones, of which
        none has brought an event. Of slots of two coordinators, as while one
        of them stands still, it is not known which was used.
        """
        for stream in streams:
            held = self.streams.get(stream.digest, stream)
            if held.seen:
                stream = msgspec.structs.replace(held, until=stream.until)
            elif held.version is None or (
                held.version != stream.version and held.source != stream.source
            ):
                stream = msgspec.structs.replace(stream, version=None)
            self.streams[stream.digest] = stream

    def note(self, stream: Begun) -> None:
        """Add a stream that this host has received events of."""
        self.streams[stream.digest] = msgspec.structs.replace(
            stream, seen=True
        )

    def find(self, digest: int, now: float) -> Begun | None:
        """Return a stream, or None if it is not known."""
        stream = self.streams.get(digest)
        if stream is None or stream.until <= now:
            return None
        return stream

    def take_changes(self) -> list[Begun]:
        """Return the changes, and forget them."""
        changes, self.changes = self.changes, {}
        return list(changes.values())

    def prune(self, now: float) -> None:
        """Drop the streams that cannot be taken up any more."""
        self.streams = {d: s for d, s in self.streams.items() if s.until > now}

    def set_serving(self, versions: Iterable[str], now: float) -> bool:
        """Set the versions that serve; return whether they changed."""
        serving = frozenset(versions)
        changed = serving != self.serving
        for version in self.serving - serving:
            self.left_at[version] = now
        self.serving = serving
        return changed

    def recent(self, within_s: float, now: float) -> frozenset[str]:
        """Return the versions that serve or served within some seconds."""
        left = {v for v, at in self.left_at.items() if now - at < within_s}
        return self.serving | left


def digest_of(attempt: str) -> int:
    """Return the digest that stands for a stream between hosts."""
    return xxhash.xxh64_intdigest(attempt.encode())
