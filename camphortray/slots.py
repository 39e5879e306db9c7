"""Slots on upstreams that batch work may use."""

__all__ = ["Slot", "Slots"]

import asyncio
import collections
import dataclasses
from typing import ClassVar

from camphortray import engine
from camphortray import kernel
from camphortray import settings
from camphortray import upstreams

# Slots of one upstream that batch work of this host may fill.
FIXED_SLOTS = 4


@dataclasses.dataclass(eq=False)
class Slot:
    """Leave to run one batch item on an upstream.

    Attributes:
      upstream: Where.
      revoked: Set when the slot is taken back; the item is to be
        cancelled at the engine and its tokens kept.
    """

    upstream: engine.Upstream
    revoked: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)


@kernel.PARTS.register("batch")
class Slots(kernel.Part):
    """Gives a fixed number of slots on each upstream."""

    name: ClassVar[str] = "slots"
    requires: ClassVar[tuple[str, ...]] = ("upstreams", "signals")

    def __init__(self, context: kernel.Context) -> None:
        self.upstreams = context.part(upstreams.Upstreams)
        self.used: collections.Counter[str] = collections.Counter()
        self.freed = asyncio.Condition()

    @classmethod
    def from_config(cls, context: kernel.Context) -> "Slots":
        return cls(context)

    async def acquire(
        self,
        service: settings.Service,
        without: frozenset[str] = frozenset(),
    ) -> Slot:
        """Wait for a slot on an upstream of a service.

        Args:
          service: Which service.
          without: Names of upstreams that will not do.
        """
        async with self.freed:
            while True:
                slot = self.free_slot(service, without)
                if slot is not None:
                    return slot
                await self.freed.wait()

    def free_slot(
        self, service: settings.Service, without: frozenset[str]
    ) -> Slot | None:
        """Return a slot on the upstream with the fewest used."""
        free = [
            c.upstream
            for c in self.upstreams.candidates(service, without)
            if self.used[c.upstream.name] < FIXED_SLOTS
        ]
        if not free:
            return None
        chosen = min(free, key=lambda u: self.used[u.name])
        self.used[chosen.name] += 1
        return Slot(chosen)

    async def release(self, slot: Slot) -> None:
        """Give a slot back."""
        async with self.freed:
            self.used[slot.upstream.name] -= 1
            self.freed.notify_all()
