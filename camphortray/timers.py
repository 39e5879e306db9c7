"""Time limits on others, which a pause of this process does not use up.

A process on a busy machine stands still for some tenths of a second now and
then. When it goes on, what others sent meanwhile lies unread, and the limits
on their answers have all passed. Taken for their silence, that puts engines
aside, leaves coordinators and refuses requests, with all of them well. So a
limit is checked several times before it ends: a check that comes up late shows
that this process stood still, and the limit is moved on by as much.
"""

__all__ = ["Deadline", "LazyTimer", "Limit", "extra_s", "limit", "sleep"]

import asyncio
from collections.abc import Callable
import types

# Lateness of a timer from which on this process stood still, in seconds. On a
# quiet machine timers come up within a millisecond or two.
LATE_S = 0.01
# Checks of a limit, its end included. A pause that lies between two checks
# uses the limit up by its length.
CHECKS = 4


def extra_s(late_s: float, seconds: float) -> float:
    """Return by how much a limit is moved on that comes up late.

    Never by more than it was: what lies unread needs some turns of the loop,
    and who is really silent is to be found out.

    Args:
      late_s: How late it came up.
      seconds: The limit as it was set.
    """
    return min(late_s, seconds) if late_s > LATE_S else 0.0


def moved_on(
    limit_at: float, check_at: float, now: float, seconds: float
) -> float:
    """Return when a limit ends, as one of its checks comes up.

    Args:
      limit_at: Its end so far, on the loop's clock, as are the next two.
      check_at: When the check was due.
      now: When it came up.
      seconds: The limit as it was set.

    >>> moved_on(limit_at=4.0, check_at=1.0, now=3.5, seconds=4.0)
    6.5
    """
    more_s = extra_s(now - check_at, seconds)
    if not more_s:
        return limit_at
    return now + max(limit_at - check_at, more_s)


async def sleep(seconds: float) -> float:
    """Sleep; return for how long this process stood still, in seconds."""
    loop = asyncio.get_running_loop()
    due_at = loop.time() + seconds
    await asyncio.sleep(seconds)
    late_s = loop.time() - due_at
    return late_s if late_s > LATE_S else 0.0


def limit(seconds: float) -> "Limit":
    """Return a context that ends with ``TimeoutError`` after so long."""
    return Limit(seconds)


class Deadline:
    """The end of a time that pauses of this process do not use up.

    Attributes:
      seconds: The time.
      at: When it is over, on the loop's clock.
    """

    def __init__(
        self, seconds: float, on_over: Callable[[], None] | None = None
    ) -> None:
        self.seconds = seconds
        self.on_over = on_over
        self.loop = asyncio.get_running_loop()
        self.set(self.loop.time() + seconds)

    def __enter__(self) -> "Deadline":
        return self

    def __exit__(self, *error: object) -> None:
        self.stop()

    def set(self, at: float) -> None:
        """Let the time be over at another moment."""
        self.at = at
        self.check()

    def check(self) -> None:
        """Look at the time again after a part of it."""
        check_at = self.loop.time() + self.seconds / CHECKS
        self.check_at = min(self.at, check_at)
        self.handle = self.loop.call_at(self.check_at, self.fire)

    def left(self) -> float:
        """Return the seconds left, 0 when it is over."""
        return max(0.0, self.at - self.loop.time())

    def stop(self) -> None:
        """Look no more at the time."""
        self.handle.cancel()

    def fire(self) -> None:
        """Let the time be over, if it is and this process did not pause."""
        now = self.loop.time()
        self.at = moved_on(self.at, self.check_at, now, self.seconds)
        if now < self.at:
            self.check()
        elif self.on_over is not None:
            self.on_over()


class Limit:
    """As ``asyncio.timeout``, but pauses of this process do not count.

    Attributes:
      deadline: Its end, once begun.
    """

    def __init__(self, seconds: float) -> None:
        self.seconds = seconds
        self.timeout = asyncio.timeout(None)
        self.deadline: Deadline | None = None

    async def __aenter__(self) -> "Limit":
        await self.timeout.__aenter__()
        self.deadline = Deadline(self.seconds, self.over)
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        if self.deadline is not None:
            self.deadline.stop()
        await self.timeout.__aexit__(kind, error, trace)

    def over(self) -> None:
        """End what runs in it."""
        self.timeout.reschedule(asyncio.get_running_loop().time())


class LazyTimer:
    """Calls back when its limit passes.

    Moving the limit later costs no new entry in the loop's heap: the one
    entry made looks at the limit when it comes up and sets itself anew.
    With a limit on each chunk that is most of the timer's cost.

    Attributes:
      paused_s: Seconds that this process stood still since the limit was set,
        as far as its checks noticed.
    """

    def __init__(self, callback: Callable[[], None]) -> None:
        self.callback = callback
        self.loop = asyncio.get_running_loop()
        self.handle: asyncio.TimerHandle | None = None
        self.limit_at: float | None = None
        self.set_at = 0.0
        self.seconds = 0.0
        self.paused_s = 0.0

    def set(self, seconds: float) -> None:
        """Call back in ``seconds``, instead of any time set before."""
        self.seconds = seconds
        self.paused_s = 0.0
        self.set_at = now = self.loop.time()
        self.limit_at = now + seconds
        check_at = now + seconds / CHECKS
        handle = self.handle
        if handle is not None:
            if handle.when() <= check_at:
                return
            handle.cancel()
        self.handle = self.loop.call_at(check_at, self.fire)

    def pause(self) -> None:
        """Do not call back until ``set`` is called again."""
        self.limit_at = None

    def stop(self) -> None:
        """Forget the entry in the loop too."""
        self.limit_at = None
        if self.handle is not None:
            self.handle.cancel()
            self.handle = None

    def fire(self) -> None:
        """Look at the limit, which may have moved."""
        handle, self.handle = self.handle, None
        limit_at = self.limit_at
        if limit_at is None or handle is None:
            return
        now = self.loop.time()
        # What was set after a pause is not moved on by it.
        due_at = max(handle.when(), self.set_at)
        if now - due_at > LATE_S:
            self.paused_s += now - due_at
        self.limit_at = limit_at = moved_on(
            limit_at, due_at, now, self.seconds
        )
        if now < limit_at:
            check_at = min(limit_at, now + self.seconds / CHECKS)
            self.handle = self.loop.call_at(check_at, self.fire)
            return
        self.limit_at = None
        self.callback()
