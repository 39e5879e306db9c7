"""Slots that a host holds and wants that wait, for whoever asks and reports.

What becomes of them is decided by their coordinator.
"""

__all__ = ["Pending", "Placement"]

import asyncio
from collections.abc import Callable
import dataclasses

from camphortray import engine
from camphortray import slotwants


@dataclasses.dataclass(eq=False, slots=True)
class Placement:
    """A slot in use.

    Attributes:
      want: What it was given for.
      service: Whose engine.
      upstream: The engine.
      granted_at: When, on the monotonic clock.
      coordinator: Member that gave it.
      on_revoke: Called when it is taken back; only of batch items.
    """

    want: slotwants.Want
    service: str
    upstream: engine.Upstream
    granted_at: float
    coordinator: str
    on_revoke: Callable[[], None] | None = None


@dataclasses.dataclass(eq=False, slots=True)
class Pending:
    """A want that waits for its answer."""

    want: slotwants.Want
    service: str
    answer: "asyncio.Future[tuple[str, str]]"
    coordinator: str = ""
