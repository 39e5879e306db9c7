"""Tracks how much of a streamed answer was sent, so it can be resumed."""

__all__ = ["Position", "SentStream"]

import dataclasses
from typing import Any

import msgspec

from camphortray import errors
from camphortray import eventstream
from camphortray import json_reader

EVENT_END = b"\n\n"
DONE = b"data: [DONE]\n\n"
DATA = b"data: "
# Quotes inside a JSON string are escaped, so the text of an answer never
# contains these bytes; they occur where an engine reports an error as an
# event of the stream.
ERROR_FIELD = b'"error"'
# Size in bytes of undecoded events above which they are decoded into text
# and token count; bounds memory.
MAX_RAW_BYTES = 65_536


class Delta(msgspec.Struct):
    """The text that an event adds to a chat message."""

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
        """The text that the event adds to the answer."""
        if self.delta is not None:
            return self.delta.content or ""
        return self.text or ""


class Usage(msgspec.Struct):
    """Token counts of the answer so far."""

    completion_tokens: int = 0


class Event(msgspec.Struct):
    """The fields of an event that are needed to resume a stream."""

    id: Any = None
    created: Any = None
    choices: list[Choice] = []
    usage: Usage | None = None
    error: Any = None


EVENT_DECODER = json_reader.Reader(Event)


@dataclasses.dataclass(frozen=True, slots=True)
class Position:
    """How much of an answer was sent to the caller.

    Attributes:
      text: Text sent.
      tokens: Number of tokens sent.
      finished: Number of choices whose finish reason was sent.
      usage: Whether token usage was sent.
      resumable: Whether another engine can continue from the text alone.
    """

    text: str
    tokens: int
    finished: int
    usage: bool
    resumable: bool


class SentStream(eventstream.Framing):
    """Forwards complete events and records what a resumption needs.

    Events are stored undecoded and decoded only when the stream breaks, or
    when more than ``MAX_RAW_BYTES`` are stored: decoding each would cost
    more than forwarding it.

    Attributes:
      tail: Bytes of an incomplete event, not yet forwarded.
      raw: Forwarded events that are not yet decoded.
      raw_size: Size of ``raw`` in bytes.
      texts: Texts of the decoded events.
      tokens: Number of tokens in the decoded events.
      finished: Choices of which a decoded event had the finish reason.
      usage: Whether a decoded event had token usage.
      resumable: As in ``Position``, for the decoded events.
      done: Whether the closing event was forwarded.
      started: Whether any event was forwarded.
      identity: Id and creation time of the first event.
      resumed: Whether another engine now continues the answer.
    """

    def __init__(self) -> None:
        self.tail = b""
        self.raw: list[bytes] = []
        self.raw_size = 0
        self.texts: list[str] = []
        self.tokens = 0
        self.finished: set[int] = set()
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
        if ERROR_FIELD in data:
            self.check_errors(data)
        if self.resumed:
            data = self.adapt(data)
        if data.endswith(DONE):
            self.done = True
        if data:
            self.started = True
            self.raw.append(data)
            self.raw_size += len(data)
            if self.raw_size > MAX_RAW_BYTES:
                self.decode_raw()
        return data

    def check_begin(self, data: bytes) -> None:
        self.check_errors(data[: data.rfind(EVENT_END) + len(EVENT_END)])

    def check_errors(self, data: bytes) -> None:
        """Check whether an engine reports an error.

        Raises:
          UpstreamBroken: one of the events is an error.
        """
        for event, _ in decode_events(data):
            if event is not None and event.error is not None:
                raise errors.UpstreamBroken(
                    "the engine reported an error", ran=True, step="stream"
                )

    def decode_raw(self) -> None:
        """Decode the stored events."""
        for event, _ in decode_events(b"".join(self.raw)):
            if event is not None:
                self.add(event)
        self.raw.clear()
        self.raw_size = 0

    def add(self, event: Event) -> None:
        """Add an event to the text and the token count."""
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
                self.finished.add(choice.index)
        if event.usage is not None:
            # An engine that sends several tokens per event reports the count.
            self.usage = True
            self.tokens = event.usage.completion_tokens or self.tokens

    def position(self) -> Position:
        """Return how much of the answer was sent."""
        try:
            self.decode_raw()
        except errors.UpstreamBroken:
            self.resumable = False
        return Position(
            "".join(self.texts),
            self.tokens,
            len(self.finished),
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
        """Prepare for another engine; return how much was sent."""
        self.restart()
        return self.position()

    def adapt(self, data: bytes) -> bytes:
        """Adapt the events of another engine to those already sent.

        Events get the id and creation time of the first one. An opening
        event without text and a second finish reason are left out.
        """
        adapted = []
        for event, raw in decode_events(data):
            if event is None:
                adapted.append(raw)
                continue
            opening = not any(
                c.content or c.finish_reason for c in event.choices
            )
            if event.choices and (opening or self.finished):
                continue
            adapted.append(self.with_identity(raw))
        return b"".join(adapted)

    def with_identity(self, raw: bytes) -> bytes:
        """Return an event with the id and creation time of the first one."""
        if self.identity is None:
            return raw
        body = json_reader.read(raw[len(DATA) :])
        body["id"], body["created"] = self.identity
        return DATA + msgspec.json.encode(body) + EVENT_END


def decode_events(data: bytes) -> list[tuple[Event | None, bytes]]:
    """Split complete events; return each decoded, with its bytes.

    Comments and the closing event are not decoded; None stands for them.

    Raises:
      UpstreamBroken: an event cannot be decoded.
    """
    events: list[tuple[Event | None, bytes]] = []
    for part in data.split(EVENT_END):
        if not part:
            continue
        raw = part + EVENT_END
        if not part.startswith(DATA) or raw == DONE:
            events.append((None, raw))
            continue
        try:
            events.append((EVENT_DECODER.read(part[len(DATA) :]), raw))
        except msgspec.DecodeError as error:
            raise errors.UpstreamBroken(
                f"an event cannot be read: {error}", ran=True, step="stream"
            ) from error
    return events
