"""A time limit that is moved often and seldom runs out."""

__all__ = ["LazyTimer"]

import asyncio
from collections.abc import Callable


class LazyTimer:
    """Calls back when its limit passes.

    Moving the limit later costs no new entry in the loop's heap: the one
    entry made looks at the limit when it comes up and sets itself anew.
    With a limit on each chunk that is most of the timer's cost.
    """

    def __init__(self, callback: Callable[[], None]) -> None:
        self.callback = callback
        self.loop = asyncio.get_running_loop()
        self.handle: asyncio.TimerHandle | None = None
        self.limit_at: float | None = None

    def set(self, seconds: float) -> None:
        """Call back in ``seconds``, instead of any time set before."""
        self.limit_at = limit_at = self.loop.time() + seconds
        handle = self.handle
        if handle is not None:
            if handle.when() <= limit_at:
                return
            handle.cancel()
        self.handle = self.loop.call_at(limit_at, self.fire)

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
        self.handle = None
        limit_at = self.limit_at
        if limit_at is None:
            return
        if self.loop.time() < limit_at:
            self.handle = self.loop.call_at(limit_at, self.fire)
            return
        self.limit_at = None
        self.callback()
