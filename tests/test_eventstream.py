"""Tests of cutting streams into complete events, also across engines."""

import pytest

from camphortray import errors
from camphortray import eventstream


def event(number, text="a"):
    """Return the bytes of an event."""
    return f"id: {number}\ndata: {text}{number}\n\n".encode()


def test_only_complete_events_are_returned():
    reader = eventstream.EventReader()
    data = event(1) + event(2)
    assert reader.feed(data[:-3]) == event(1)
    assert reader.last == "1"
    assert reader.feed(data[-3:]) == event(2)
    assert (reader.last, reader.count) == ("2", 2)


def test_a_stream_resumes_after_the_last_complete_event():
    # An engine fails within event 3, and another resumes after event 2. The
    # caller must see event 3 once and complete.
    reader = eventstream.EventReader()
    seen = reader.feed(event(1) + event(2) + event(3)[:5])
    reader.restart()
    seen += reader.feed(event(3) + event(4))
    assert seen == event(1) + event(2) + event(3) + event(4)


@pytest.mark.parametrize("ids", [(1, 3), (1, 1), (2, 1), (5, 7)])
def test_a_gap_or_a_repeat_is_a_fault_and_changes_nothing(ids):
    reader = eventstream.EventReader()
    reader.feed(event(ids[0]))
    with pytest.raises(errors.UpstreamBroken):
        reader.feed(event(ids[1]))
    assert (reader.last, reader.count) == (str(ids[0]), 1)


def test_a_fault_behind_good_events_takes_none_of_them():
    # Events that are counted but not sent to the caller would be lost.
    reader = eventstream.EventReader()
    reader.feed(event(1))
    with pytest.raises(errors.UpstreamBroken):
        reader.feed(event(2) + event(4))
    assert reader.last == "1"


def test_an_event_without_end_is_a_fault():
    reader = eventstream.EventReader()
    with pytest.raises(errors.UpstreamBroken):
        reader.feed(b"data: " + b"x" * eventstream.MAX_EVENT_BYTES)


@pytest.mark.parametrize(
    ("raw", "found"),
    [
        (b"id: 1\ndata: a", eventstream.Event("1", b"a")),
        (b"data:a\ndata: b", eventstream.Event("", b"a\nb")),
        (b"weights: 3\nid:9\ndata: x", eventstream.Event("9", b"x")),
        (b": comment", eventstream.Event("", b"")),
    ],
)
def test_how_an_event_is_parsed(raw, found):
    assert eventstream.parse(raw) == found
