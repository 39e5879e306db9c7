"""What of a streamed answer has reached the caller, to go on from there."""

__all__ = ["Position", "SentStream"]

import dataclasses
from typing import Any

import msgspec

from camphortray import errors
from camphortray import eventstream

EVENT_END = b"\n\n"
DONE = b"data: [DONE]\n\n"
DATA = b"data: "
# A JSON text inside an event has its quotes escaped, so these bytes stand
# only where an engine reports an error as an event of the stream.
ERROR_MARK = b'"error"'
# Raw bytes kept before they are read into text and count; bounds memory.
MAX_RAW = 65_536


class Delta(msgspec.Struct):
    """A piece of a chat message."""

    content: str | None = None
    tool_calls: Any = None


class Choice(msgspec.Struct):
    """One choice of an event."""

    index: int = 0
    text: str | None = None
    delta: Delta | None = None
    finish_reason: str | None = None
    logprobs: Any = None

    @property
    def content(self) -> str:
        """Return the text that it adds."""
        if self.delta is not None:
            return self.delta.content or ""
        return self.text or ""


class Usage(msgspec.Struct):
    """Counts of tokens so far."""

    completion_tokens: int = 0


class Event(msgspec.Struct):
    """One event, as far as it matters here."""

    id: Any = None
    created: Any = None
    choices: list[Choice] = []
    usage: Usage | None = None
    error: Any = None


EVENT = msgspec.json.Decoder(Event)


@dataclasses.dataclass(frozen=True, slots=True)
class Position:
    """How far the caller has got.

    Attributes:
      text: Text sent.
      tokens: Tokens sent.
      finished: Whether the reason for the end was sent.
      usage: Whether counts were sent.
      resumable: Whether another engine can go on from text alone.
    """

    text: str
    tokens: int
    finished: bool
    usage: bool
    resumable: bool


class SentStream(eventstream.Framing):
    """Passes on whole events and keeps what a resumption needs.

    Events are kept as raw bytes and read only when the answer breaks, or
    when many have gathered: reading each would cost more than passing it.

    Attributes:
      done: Whether the closing event came; an engine's error in the
        stream is a break.
      started: Whether any event was passed on.
    """

    def __init__(self) -> None:
        self.tail = b""
        self.raw: list[bytes] = []
        self.raw_size = 0
        self.texts: list[str] = []
        self.tokens = 0
        self.finished = False
        self.usage = False
        self.resumable = True
        self.done = False
        self.started = False
        self.identity: tuple[Any, Any] | None = None
        self.resumed = False

    def feed(self, data: bytes) -> bytes:
        if self.tail:
            data = self.tail + data
            self.tail = b""
        if not data.endswith(EVENT_END):
            cut = data.rfind(EVENT_END)
            cut = cut + len(EVENT_END) if cut >= 0 else 0
            data, self.tail = data[:cut], data[cut:]
            if not data:
                return b""
        if ERROR_MARK in data:
            self.check_errors(data)
        if self.resumed:
            data = self.rewrite(data)
        if data.endswith(DONE):
            self.done = True
        if data:
            self.started = True
            self.raw.append(data)
            self.raw_size += len(data)
            if self.raw_size > MAX_RAW:
                self.read_raw()
        return data

    def check_errors(self, data: bytes) -> None:
        """Raise if one of the events is an error."""
        for event, _ in events_in(data):
            if event is not None and event.error is not None:
                raise errors.UpstreamBroken(
                    "the engine reported an error", ran=True, step="stream"
                )

    def read_raw(self) -> None:
        """Read the raw events kept so far."""
        for event, _ in events_in(b"".join(self.raw)):
            if event is not None:
                self.count(event)
        self.raw.clear()
        self.raw_size = 0

    def count(self, event: Event) -> None:
        """Take one event into text and count."""
        if self.identity is None:
            self.identity = (event.id, event.created)
        for choice in event.choices:
            if choice.index or choice.logprobs is not None:
                self.resumable = False
            if choice.delta is not None and choice.delta.tool_calls:
                self.resumable = False
            if choice.content:
                self.texts.append(choice.content)
                self.tokens += 1
            if choice.finish_reason:
                self.finished = True
        if event.usage is not None:
            # Engines that put several tokens into an event say how many.
            self.usage = True
            self.tokens = event.usage.completion_tokens or self.tokens

    def position(self) -> Position:
        """Return how far the caller has got."""
        self.read_raw()
        return Position(
            "".join(self.texts),
            self.tokens,
            self.finished,
            self.usage,
            self.resumable,
        )

    @property
    def whole(self) -> bool:
        return self.done

    def restart(self) -> None:
        self.tail = b""
        self.resumed = self.started

    def resume(self) -> Position:
        """Make ready for another engine; return how far the caller is."""
        self.restart()
        return self.position()

    def rewrite(self, data: bytes) -> bytes:
        """Fit events of another engine to those sent before.

        Its id and time differ, it may open with an event without text,
        and it ends once more what had perhaps been ended.
        """
        kept = []
        for event, raw in events_in(data):
            if event is None:
                kept.append(raw)
                continue
            opening = not any(
                c.content or c.finish_reason for c in event.choices
            )
            if event.choices and (opening or self.finished):
                continue
            kept.append(self.with_identity(raw))
        return b"".join(kept)

    def with_identity(self, raw: bytes) -> bytes:
        """Return an event with the id and time of the first one sent."""
        if self.identity is None:
            return raw
        body = msgspec.json.decode(raw[len(DATA) :])
        body["id"], body["created"] = self.identity
        return DATA + msgspec.json.encode(body) + EVENT_END


def events_in(data: bytes) -> list[tuple[Event | None, bytes]]:
    """Return the events in whole bytes of a stream, each with its bytes.

    Comments and the closing event are None.

    Raises:
      UpstreamBroken: an event cannot be read.
    """
    found: list[tuple[Event | None, bytes]] = []
    for part in data.split(EVENT_END):
        if not part:
            continue
        raw = part + EVENT_END
        if not part.startswith(DATA) or raw == DONE:
            found.append((None, raw))
            continue
        try:
            found.append((EVENT.decode(part[len(DATA) :]), raw))
        except msgspec.DecodeError as error:
            raise errors.UpstreamBroken(
                f"an event cannot be read: {error}", ran=True, step="stream"
            ) from error
    return found
