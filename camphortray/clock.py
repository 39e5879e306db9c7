"""Sources of time, handed to whatever needs one."""

__all__ = ["Clock", "ManualClock", "SystemClock"]

import abc
import asyncio
import time


class Clock(abc.ABC):
    """Monotonic and wall time, both in seconds."""

    @abc.abstractmethod
    def monotonic(self) -> float:
        """Return seconds that never go back."""

    @abc.abstractmethod
    def wall(self) -> float:
        """Return seconds since 1970, for times shared by hosts."""


class SystemClock(Clock):
    """The loop's clock, so that a virtual loop moves it too."""

    def __init__(self) -> None:
        # Asked several times for each token; the loop stays the same.
        self.loop_time = asyncio.get_running_loop().time
        self.skew = time.time() - self.loop_time()

    def monotonic(self) -> float:
        return self.loop_time()

    def wall(self) -> float:
        return self.loop_time() + self.skew


class ManualClock(Clock):
    """A clock that a test moves by hand."""

    def __init__(self, now: float = 0.0) -> None:
        self.now = now

    def advance(self, seconds: float) -> None:
        """Move on by ``seconds``."""
        self.now += seconds

    def monotonic(self) -> float:
        return self.now

    def wall(self) -> float:
        return self.now
