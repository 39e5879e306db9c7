"""Tracks batch slots granted to this host and selects those to revoke."""

__all__ = ["Holding", "Holdings"]

from collections.abc import Iterator
import dataclasses
from typing import Generic
from typing import TypeVar

T = TypeVar("T")


@dataclasses.dataclass(slots=True)
class Holding(Generic[T]):
    """Grant and slots on one upstream.

    Attributes:
      granted: Number of slots that may be in use.
      until: When the grant expires.
      used: Slots in use, oldest first.
      revoked: Revoked slots that have not been released yet.
      pace_s: Minimum seconds between two slots taken.
      next_at: Earliest time at which another slot may be taken.
    """

    granted: int = 0
    until: float = 0.0
    used: list[T] = dataclasses.field(default_factory=list)
    revoked: list[T] = dataclasses.field(default_factory=list)
    pace_s: float = 0.0
    next_at: float = 0.0


class Holdings(Generic[T]):
    """Grants and slots of all upstreams, as used by this host."""

    def __init__(self) -> None:
        self.holdings: dict[str, Holding[T]] = {}

    def of(self, upstream: str) -> Holding[T]:
        """Return the grant and slots on an upstream."""
        return self.holdings.setdefault(upstream, Holding())

    def grant(
        self,
        now: float,
        upstream: str,
        slots: int,
        seconds: float,
        pace_s: float = 0.0,
    ) -> list[T]:
        """Apply a grant and return the slots to revoke."""
        holding = self.of(upstream)
        holding.pace_s = pace_s
        holding.granted = slots
        holding.until = now + seconds
        return self.revoke_excess(holding)

    def move_on(self, seconds: float) -> None:
        """Let a short stall of this process use up no grant."""
        for holding in self.holdings.values():
            if holding.granted:
                holding.until += seconds

    def extend_after_stall(self, now: float, seconds: float) -> None:
        """Extend grants after this process was stalled.

        Renewals may be unread or not yet requested. If the grants expired, all
        items would be restarted at once and engines would process their
        prompts again, although no slot was revoked. The extension allows one
        request and reply, in which a coordinator reports slots granted to
        others.

        Args:
          now: Current time.
          seconds: Minimum time until the grants expire.
        """
        for holding in self.holdings.values():
            if holding.granted:
                holding.until = max(holding.until, now + seconds)

    def expire(self, now: float) -> list[T]:
        """Expire grants and return the slots to revoke."""
        excess: list[T] = []
        for holding in self.holdings.values():
            if holding.until <= now:
                holding.granted = 0
                excess += self.revoke_excess(holding)
        return excess

    def revoke_excess(self, holding: Holding[T]) -> list[T]:
        """Revoke the newest slots above the grant and return them.

        The newest items have generated the fewest tokens, so processing their
        prompt and tokens again costs least. Items whose prompt is being
        processed are also those that lengthen the engine's steps.
        """
        kept = max(0, holding.granted)
        excess = holding.used[kept:]
        del holding.used[kept:]
        holding.revoked += excess
        return excess

    def free(self, now: float, upstream: str) -> int:
        """Return how many more slots may be taken now."""
        holding = self.of(upstream)
        if holding.until <= now or now < holding.next_at:
            return 0
        # A revoked slot is busy at the engine until it is released.
        busy = len(holding.used) + len(holding.revoked)
        return max(0, holding.granted - busy)

    def next_free_at(self) -> float | None:
        """Return when the pace allows another slot, or None without one."""
        times = [
            holding.next_at
            for holding in self.holdings.values()
            if holding.granted > len(holding.used) + len(holding.revoked)
        ]
        return min(times, default=None)

    def take(self, now: float, upstream: str, slot: T) -> None:
        """Mark a slot as in use."""
        holding = self.of(upstream)
        holding.used.append(slot)
        holding.next_at = now + holding.pace_s

    def release(self, upstream: str, slot: T) -> None:
        """Release a slot, whether revoked or in use."""
        holding = self.of(upstream)
        for slots in (holding.used, holding.revoked):
            if slot in slots:
                slots.remove(slot)
                return

    def in_use(self) -> Iterator[tuple[str, int]]:
        """Yield upstreams with slots in use or revoked, and their number."""
        for name, holding in self.holdings.items():
            if holding.used or holding.revoked:
                yield name, len(holding.used) + len(holding.revoked)
