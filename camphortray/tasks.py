"""Ends background tasks."""

__all__ = ["end"]

import asyncio
import contextlib
from typing import Any


async def end(task: "asyncio.Task[Any] | None") -> None:
    """Cancel a task, if there is one, and wait until it has ended."""
    if task is not None:
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task
