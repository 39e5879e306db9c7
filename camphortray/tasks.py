"""Background tasks: begun, ended and waited for."""

__all__ = ["Background", "cancelled", "end", "forever"]

import abc
import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import traceback
from typing import Any

from camphortray import logs

LOG = logs.logger("tasks")
# Pause before work is begun again that an error has ended, in seconds.
AGAIN_S = 0.5


def cancelled() -> bool:
    """Return whether it is the present task that has been cancelled.

    What it waits for may have been, which is no reason to end.
    """
    task = asyncio.current_task()
    return task is None or task.cancelling() > 0


async def forever(name: str, work: Callable[[], Awaitable[None]]) -> None:
    """Do work in the background, begun again if an error ends it.

    A loop that an error has ended does its work no more, and nothing tells:
    a host whose loop kept its membership, read its engines or took over a
    partition would look well and do neither.

    Args:
      name: For the log, what the work is for.
      work: Ends when there is no more to do.
    """
    while True:
        try:
            await work()
            return
        except asyncio.CancelledError as error:
            if cancelled():
                raise
            log_failure(name, error)
        except Exception as error:
            log_failure(name, error)
        await asyncio.sleep(AGAIN_S)


def log_failure(name: str, error: BaseException) -> None:
    """Write the line on an error that ended some work."""
    trace = "".join(traceback.format_exception(error))
    LOG.error("Begins again, the {}, after an error: {}", name, trace)


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
            work = forever(type(self).__name__, self.run)
            self.task = asyncio.get_running_loop().create_task(work)

    async def stop(self) -> None:
        """End at once, as a crash would."""
        task, self.task = self.task, None
        await end(task)
