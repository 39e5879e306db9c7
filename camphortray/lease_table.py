"""Leases that a host holds and slot requests that wait for an answer.

Their coordinator decides on grants and revocations.
"""

__all__ = ["Granted", "HeldLease", "Pending"]

import asyncio
from collections.abc import Callable

import msgspec

from camphortray import engine
from camphortray import slot_queue


class Granted(msgspec.Struct, frozen=True):
    """Answer to a slot request.

    Attributes:
      engine: Name of the engine.
      coordinator: Member that granted the slot.
      coordinators: All members that may count the slot as taken, including
        ``coordinator``.
    """

    engine: str
    coordinator: str
    coordinators: frozenset[str]


class Coordinated(msgspec.Struct, eq=False, kw_only=True):
    """Request or lease that coordinators count.

    Attributes:
      coordinator: Current coordinator.
      earlier: Previous coordinators that may still count it.
    """

    coordinator: str = ""
    earlier: set[str] = msgspec.field(default_factory=set)

    @property
    def coordinators(self) -> set[str]:
        """All members that may count it."""
        return ({self.coordinator} | self.earlier) - {""}

    def fail_over(self, name: str) -> None:
        """Switch to another coordinator; the previous may still count it."""
        self.earlier = self.coordinators - {name}
        self.coordinator = name


class HeldLease(Coordinated, eq=False):
    """Lease of a slot in use.

    Attributes:
      request: Slot request that it was granted for.
      service: Service of the engine.
      upstream: Engine on which the slot is.
      granted_at: Time of the grant on the monotonic clock.
      on_revoke: Called when the slot is revoked; set for batch items only.
    """

    request: slot_queue.SlotRequest
    service: str
    upstream: engine.Upstream
    granted_at: float
    on_revoke: Callable[[], None] | None = None


class Pending(Coordinated, eq=False):
    """Slot request that waits for its answer.

    Attributes:
      request: Slot request.
      service: Service whose slots are requested.
      answer: Names of the engine and of the granting coordinator.
    """

    request: slot_queue.SlotRequest
    service: str
    answer: "asyncio.Future[tuple[str, str]]"

    @property
    def counted_for(self) -> str:
        """Workspace whose limit its coordinator counts it for, or empty."""
        return self.request.workspace if self.request.counts else ""

    def granted(self, engine_name: str, coordinator: str) -> Granted:
        """Return the grant for the names in ``answer``."""
        names = frozenset(self.coordinators | {coordinator})
        return Granted(engine_name, coordinator, names)
