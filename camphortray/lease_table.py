"""Slots that a host holds and wants that wait, for whoever asks and reports.

What becomes of them is decided by their coordinator.
"""

__all__ = ["Granted", "HeldLease", "Pending"]

import asyncio
from collections.abc import Callable
import dataclasses

from camphortray import engine
from camphortray import slot_queue


@dataclasses.dataclass(frozen=True, slots=True)
class Granted:
    """A slot that was granted.

    Attributes:
      engine: Name of the engine.
      coordinator: Member that gave it.
      coordinators: All members that may count it, that one too.
    """

    engine: str
    coordinator: str
    coordinators: frozenset[str]


@dataclasses.dataclass(eq=False, slots=True, kw_only=True)
class Coordinated:
    """What a coordinator counts.

    Attributes:
      coordinator: Member that coordinates it now.
      earlier: Members that may still count it, which coordinated before.
    """

    coordinator: str = ""
    earlier: set[str] = dataclasses.field(default_factory=set)

    @property
    def coordinators(self) -> set[str]:
        """All members that may count it."""
        return ({self.coordinator} | self.earlier) - {""}

    def fail_over(self, name: str) -> None:
        """Make another coordinator the one that counts it."""
        self.earlier = self.coordinators - {name}
        self.coordinator = name


@dataclasses.dataclass(eq=False, slots=True)
class HeldLease(Coordinated):
    """A slot in use.

    Attributes:
      want: What it was given for.
      service: Whose engine.
      upstream: The engine.
      granted_at: When, on the monotonic clock.
      on_revoke: Called when it is taken back; only of batch items.
    """

    want: slot_queue.SlotRequest
    service: str
    upstream: engine.Upstream
    granted_at: float
    on_revoke: Callable[[], None] | None = None


@dataclasses.dataclass(eq=False, slots=True)
class Pending(Coordinated):
    """A want that waits for its answer."""

    want: slot_queue.SlotRequest
    service: str
    answer: "asyncio.Future[tuple[str, str]]"

    def granted(self, engine_name: str, coordinator: str) -> Granted:
        """Return what was granted, as the answer has it."""
        names = frozenset(self.coordinators | {coordinator})
        return Granted(engine_name, coordinator, names)
