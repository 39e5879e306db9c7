"""Background tasks: begun, ended and waited for.

An error that nobody foresaw ends no background work unseen: it is logged at
once and counted, and work that has to go on is begun again.
"""

__all__ = [
    "Background",
    "METRICS",
    "TaskSet",
    "cancelled",
    "contained",
    "end",
    "forever",
    "log_loop_error",
    "spawn",
]

import abc
import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Coroutine
from collections.abc import Iterator
import contextlib
import contextvars
import functools
import traceback
from typing import Any

from camphortray import logs
from camphortray import metrics as metrics_module

LOG = logs.logger("tasks")
# Where errors of background work are counted; set before a program starts
# its parts, so that it holds in all tasks that they create.
METRICS: contextvars.ContextVar[metrics_module.Metrics | None] = (
    contextvars.ContextVar("METRICS", default=None)
)
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
            log_failure(name, error, "begins again")
        except Exception as error:
            log_failure(name, error, "begins again")
        await asyncio.sleep(AGAIN_S)


def spawn(name: str, work: Coroutine[Any, Any, Any]) -> "asyncio.Task[Any]":
    """Begin work that runs once; see ``forever`` for work that has to go on.

    Args:
      name: For the log, what the work is for.
      work: Nobody else has to read its error.
    """
    task = asyncio.get_running_loop().create_task(work)
    task.add_done_callback(functools.partial(on_done, name))
    return task


def on_done(name: str, task: "asyncio.Task[Any]") -> None:
    """Log the error that has ended a task, if one has."""
    if not task.cancelled():
        error = task.exception()
        if error is not None:
            log_failure(name, error, "has ended")


@contextlib.contextmanager
def contained(name: str) -> Iterator[None]:
    """Log whatever error a step raises, so that the next step is done.

    Args:
      name: For the log, what the step is for.
    """
    try:
        yield
    except Exception as error:
        log_failure(name, error, "is left out")


def log_failure(name: str, error: BaseException, effect: str) -> None:
    """Log and count an error that nobody foresaw."""
    metrics = METRICS.get()
    if metrics is not None:
        metrics.inc(
            "camphortray_background_errors_total",
            "Errors that ended background work, or a step of it.",
            {"work": name},
        )
    trace = "".join(traceback.format_exception(error))
    LOG.error("The {} {} after an error: {}", name, effect, trace)


def log_loop_error(
    loop: asyncio.AbstractEventLoop, context: dict[str, Any]
) -> None:
    """Log what the loop reports: callbacks that failed, errors never read."""
    error = context.get("exception") or RuntimeError("no exception")
    log_failure("callback of the loop", error, context["message"])


class TaskSet:
    """Work that runs once each, until done or cancelled."""

    def __init__(self) -> None:
        self.tasks: set[asyncio.Task[Any]] = set()

    def spawn(
        self, work: Coroutine[Any, Any, Any], name: str = ""
    ) -> "asyncio.Task[Any]":
        """Begin work, as ``tasks.spawn``, by default under its own name."""
        task = spawn(name or getattr(work, "__qualname__", "work"), work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    def cancel(self) -> None:
        """Cancel what has not ended."""
        for task in list(self.tasks):
            task.cancel()


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
