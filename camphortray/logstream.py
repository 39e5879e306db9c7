"""Takes log lines to a pipe without ever waiting for its reader."""

__all__ = ["LogStream", "open_stream"]

import asyncio
from collections.abc import Callable
import contextlib
import os
import time

# Lines a second in the long run, and at once. A request takes one line,
# each failed try of it another; a host of the target's size answers about
# 24 requests a second.
LINES_PER_S = 150.0
BURST_LINES = 600.0
# Bytes that may wait for the reader; beyond that lines are dropped.
MAX_WAITING = 262_144


class LogStream:
    """A stream for a log handler, bounded in rate and in memory.

    A reader that stops reading would block the loop in a plain write, and
    with it every request; here it costs lines, and how many is told.

    Attributes:
      dropped: Lines dropped and not told of yet.
      dropped_total: Lines dropped since the start.
    """

    def __init__(
        self,
        fd: int,
        note: Callable[[int], str],
        now: Callable[[], float] = time.monotonic,
    ) -> None:
        self.fd = fd
        self.note = note
        self.now = now
        self.waiting = bytearray()
        self.allowance = BURST_LINES
        self.refilled_at = now()
        self.dropped = 0
        self.dropped_total = 0
        self.watched = False

    def write(self, text: str) -> None:
        """Take one line, or drop it."""
        now = self.now()
        earned = (now - self.refilled_at) * LINES_PER_S
        self.allowance = min(BURST_LINES, self.allowance + earned)
        self.refilled_at = now
        if self.allowance < 1 or len(self.waiting) > MAX_WAITING:
            self.dropped += 1
            self.dropped_total += 1
            return
        self.allowance -= 1
        if self.dropped:
            text = f"{self.note(self.dropped)}\n{text}"
            self.dropped = 0
        self.waiting += text.encode("utf-8", "replace")
        self.flush()

    def flush(self) -> None:
        """Write what the reader takes now."""
        try:
            while self.waiting:
                count = os.write(self.fd, self.waiting)
                del self.waiting[:count]
        except BlockingIOError:
            self.watch()
        except OSError:
            # Nobody reads any more; there is nowhere to tell it.
            self.waiting.clear()

    def watch(self) -> None:
        """Write on as soon as the reader takes more."""
        if self.watched:
            return
        with contextlib.suppress(RuntimeError, OSError, NotImplementedError):
            loop = asyncio.get_running_loop()
            loop.add_writer(self.fd, self.resume)
            self.watched = True

    def resume(self) -> None:
        """Write on."""
        asyncio.get_running_loop().remove_writer(self.fd)
        self.watched = False
        self.flush()


def open_stream(fd: int, note: Callable[[int], str]) -> LogStream:
    """Return a stream on a file descriptor, which is made non-blocking."""
    os.set_blocking(fd, False)
    return LogStream(fd, note)
