"""Parses server-sent event streams and checks the order of event ids."""

__all__ = ["Event", "EventReader", "Framing", "events_of", "has_event"]

import abc

import msgspec

from camphortray import errors

EVENT_END = b"\n\n"
# A stream is rejected if more bytes than this arrive without the end of an
# event.
MAX_EVENT_BYTES = 1_048_576


class Event(msgspec.Struct, frozen=True):
    """One event.

    Attributes:
      id: As the engine sent it; empty if it sent none.
      data: Its data lines, joined by line feeds.
    """

    id: str
    data: bytes


def parse(raw: bytes) -> Event:
    r"""Parse the bytes of one event.

    >>> parse(b"id: 4\ndata: a\ndata: b")
    Event(id='4', data=b'a\nb')
    """
    name = ""
    data = []
    for line in raw.split(b"\n"):
        field, _, value = line.partition(b":")
        value = value.removeprefix(b" ")
        if field == b"id":
            name = value.decode("latin1").strip()
        elif field == b"data":
            data.append(value)
    return Event(name, b"\n".join(data))


def events_of(raw: bytes) -> list[Event]:
    r"""Return the events in a part of a stream that ends with an event.

    A block with neither an id nor data, such as a comment, is skipped.

    >>> events_of(b": still there\n\nid: 1\ndata: a\n\n")
    [Event(id='1', data=b'a')]
    """
    events = [parse(part) for part in raw.split(EVENT_END)]
    return [event for event in events if event.id or event.data]


def has_event(raw: bytes) -> bool:
    r"""Return whether the begin of a stream holds a complete event.

    >>> has_event(b": still there\n\nid: 1\n"), has_event(b"data: a\n\n")
    (False, True)
    """
    cut = raw.rfind(EVENT_END)
    return cut >= 0 and bool(events_of(raw[:cut]))


class Framing(abc.ABC):
    """Cuts a stream into complete events, also across several engines.

    An incomplete event is held back; else a stream that fails within an
    event and resumes at another engine would repeat or truncate the event.
    """

    @abc.abstractmethod
    def feed(self, data: bytes) -> bytes:
        """Add bytes of the stream; return those of complete events.

        Raises:
          UpstreamBroken: the bytes are not a valid stream.
        """

    def check_begin(self, data: bytes) -> None:
        """Check how a stream begins that may take this one up; adds nothing.

        Raises:
          UpstreamBroken: its first events are of no use.
        """

    @abc.abstractmethod
    def restart(self) -> None:
        """Prepare for a new stream that resumes after the last event."""

    @property
    @abc.abstractmethod
    def whole(self) -> bool:
        """Whether the stream is complete if it ends here."""


class EventReader(Framing):
    """Cuts a stream into complete events and checks their order.

    Attributes:
      tail: Bytes of the event that is not yet complete.
      last: Id of the last complete event, over all engines.
      count: Number of complete events.
      order_ambiguous: Whether the second event was out of order, so that
        either of the two may have the wrong id.
    """

    def __init__(self) -> None:
        self.tail = b""
        self.last = ""
        self.count = 0
        self.order_ambiguous = False

    def feed(self, data: bytes) -> bytes:
        data = self.tail + data
        cut = data.rfind(EVENT_END)
        if cut < 0:
            self.tail = data
            if len(data) > MAX_EVENT_BYTES:
                raise broken("an event has no end")
            return b""
        cut += len(EVENT_END)
        whole, self.tail = data[:cut], data[cut:]
        self.check(events_of(whole))
        return whole

    def check_begin(self, data: bytes) -> None:
        begun = EventReader()
        begun.resume_after(self.last, self.count)
        begun.feed(data)

    def check(self, events: list[Event]) -> None:
        """Check that each id follows the one before, and count the events.

        All events are counted or none: those before an invalid one are not
        sent to the caller, and if counted a resumed stream would skip them.
        """
        last = self.last
        for event in events:
            if not event.id.isprintable() or not event.id.isascii():
                # The id is sent as a header to resume the stream after it.
                raise broken(f"event with id {event.id!r}")
            if event.id and last and not follows(last, event.id):
                self.order_ambiguous = self.count <= 1
                raise broken(f"event {event.id!r} after {last!r}")
            last = event.id or last
        self.last = last
        self.count += len(events)

    def resume_after(self, last: str, count: int) -> None:
        """Resume after an event that another reader has received."""
        self.tail = b""
        self.last = last
        self.count = count

    def restart(self) -> None:
        self.tail = b""

    @property
    def whole(self) -> bool:
        return bool(self.count) and not self.tail


def follows(before: str, after: str) -> bool:
    """Return whether an id may come directly after another.

    Ids that are not both decimal need only differ.

    >>> follows("3", "4"), follows("3", "5"), follows("a", "b")
    (True, False, True)
    """
    if before.isdecimal() and after.isdecimal():
        return int(after) == int(before) + 1
    return before != after


def broken(message: str) -> errors.UpstreamGarbled:
    """Return the error for an invalid stream."""
    return errors.UpstreamGarbled(message, ran=True, step="stream")
