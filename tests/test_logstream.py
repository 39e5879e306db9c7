"""Log lines under a flood, and with a reader that does not read."""

import json
import os

import pytest

from camphortray import logs
from camphortray import logstream


class Clock:
    """Seconds moved by hand."""

    now = 0.0

    def __call__(self):
        return self.now


@pytest.fixture
def pipe():
    """Return a stream on a pipe, its reading end, and its clock."""
    reading, writing = os.pipe()
    os.set_blocking(reading, False)
    os.set_blocking(writing, False)
    clock = Clock()
    yield (
        logstream.LogStream(writing, logs.note_dropped, clock),
        reading,
        clock,
    )
    os.close(reading)
    os.close(writing)


def read_all(fd):
    """Return the lines that can be read now."""
    data = b""
    try:
        while piece := os.read(fd, 65_536):
            data += piece
    except BlockingIOError:
        pass
    return data.decode().splitlines()


def test_lines_arrive_in_order(pipe):
    stream, reading, _ = pipe
    for number in range(10):
        stream.write(f"{number}\n")
    assert read_all(reading) == [str(number) for number in range(10)]


def test_a_flood_is_bounded_and_what_was_dropped_is_told(pipe):
    stream, reading, clock = pipe
    for number in range(5_000):
        stream.write(f"{number}\n")
    assert len(read_all(reading)) == logstream.BURST_LINES
    assert stream.dropped == 5_000 - logstream.BURST_LINES
    clock.now += 1.0
    stream.write("after\n")
    note, line = read_all(reading)
    assert json.loads(note)["dropped"] == 5_000 - logstream.BURST_LINES
    assert line == "after"


def test_a_reader_that_does_not_read_costs_lines_and_no_time(pipe):
    # The pipe is full. A write that waited would stand still for ever,
    # and with it every request; this test would then not end.
    stream, reading, clock = pipe
    for _ in range(2_000):
        clock.now += 1.0
        stream.write("x" * 1_000 + "\n")
    assert stream.dropped_total > 0
    assert len(stream.waiting) <= logstream.MAX_WAITING + 2_000
    while read_all(reading):
        stream.flush()
    clock.now += 1.0
    stream.write("again\n")
    assert read_all(reading)[-1] == "again"


def test_without_a_reader_nothing_is_raised():
    reading, writing = os.pipe()
    os.close(reading)
    stream = logstream.LogStream(writing, logs.note_dropped)
    stream.write("nobody\n")
    assert not stream.waiting
    os.close(writing)
