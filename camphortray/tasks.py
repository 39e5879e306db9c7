"""Background tasks: begun, ended and waited for."""

__all__ = ["Background", "end"]

import abc
import asyncio
import contextlib
from typing import Any


async def end(task: "asyncio.Task[Any] | None") -> None:
    """Cancel a task, if there is one, and wait until it has ended."""
    if task is not None:
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task


class Background(abc.ABC):
    """Work that goes on in the background until it is stopped.

    Attributes:
      task: The work while it goes on.
    """

    def __init__(self) -> None:
        self.task: asyncio.Task[None] | None = None

    @abc.abstractmethod
    async def run(self) -> None:
        """Do the work, for ever."""

    def start(self) -> None:
        """Begin the work, unless it goes on already."""
        if self.task is None:
            self.task = asyncio.get_running_loop().create_task(self.run())

    async def stop(self) -> None:
        """End at once, as a crash would."""
        task, self.task = self.task, None
        await end(task)
