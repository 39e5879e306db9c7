"""Event streams: how they are cut, and those whose events carry ids."""

__all__ = ["Event", "EventReader", "Framing", "events_of"]

import abc
import dataclasses

from camphortray import errors

EVENT_END = b"\n\n"
# A stream that sends no end of an event for this long is no event stream.
MAX_EVENT_BYTES = 1_048_576


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """One event.

    Attributes:
      id: As the engine sent it; empty if it sent none.
      data: Its data, lines joined by line feeds.
    """

    id: str
    data: bytes


def parse(raw: bytes) -> Event:
    r"""Return the event that some bytes hold.

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
    r"""Return the events in whole bytes of a stream.

    What has neither an id nor data is a comment, or no event at all.

    >>> events_of(b": still there\n\nid: 1\ndata: a\n\n")
    [Event(id='1', data=b'a')]
    """
    events = [parse(part) for part in raw.split(EVENT_END)]
    return [event for event in events if event.id or event.data]


class Framing(abc.ABC):
    """Cuts a stream into whole events, over all engines that make it.

    Part of an event is held back: a stream that breaks in the middle of
    one and goes on at another engine would else show it torn or twice.
    """

    @abc.abstractmethod
    def feed(self, data: bytes) -> bytes:
        """Take bytes; return those of whole events.

        Raises:
          UpstreamBroken: they cannot be trusted.
        """

    @abc.abstractmethod
    def restart(self) -> None:
        """Make ready for the stream that goes on behind the last event."""

    @property
    @abc.abstractmethod
    def whole(self) -> bool:
        """Whether the stream may end here."""


class EventReader(Framing):
    """Cuts a stream into whole events and checks their order.

    Attributes:
      last: Id of the last whole event, over all engines.
      count: Whole events.
      doubted: Whether an event out of order has come after a single one,
        so that either may be the wrong one.
    """

    def __init__(self) -> None:
        self.tail = b""
        self.last = ""
        self.count = 0
        self.doubted = False

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

    def check(self, events: list[Event]) -> None:
        """Count events, all or none; each id must follow the one before.

        Counting some of them and failing at a later one would leave out
        what the caller never got.
        """
        last = self.last
        for event in events:
            if not event.id.isprintable() or not event.id.isascii():
                # It would be sent back as a header, to go on behind it.
                raise broken(f"event with id {event.id!r}")
            if event.id and last and not follows(last, event.id):
                self.doubted = self.count <= 1
                raise broken(f"event {event.id!r} after {last!r}")
            last = event.id or last
        self.last = last
        self.count += len(events)

    def go_on_from(self, last: str, count: int) -> None:
        """Make ready to go on behind an event that another has read."""
        self.tail = b""
        self.last = last
        self.count = count

    def restart(self) -> None:
        self.tail = b""

    @property
    def whole(self) -> bool:
        return bool(self.count) and not self.tail


def follows(before: str, after: str) -> bool:
    """Return whether an id comes right after another.

    >>> follows("3", "4"), follows("3", "5"), follows("a", "b")
    (True, False, True)
    """
    if before.isdecimal() and after.isdecimal():
        return int(after) == int(before) + 1
    return before != after


def broken(message: str) -> errors.UpstreamGarbled:
    """Return the error of a stream that cannot be trusted."""
    return errors.UpstreamGarbled(message, ran=True, step="stream")
