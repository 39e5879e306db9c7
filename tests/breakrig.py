"""One step that breaks in one manner, and a store that can break so."""

import asyncio
import collections
from collections.abc import Callable
import dataclasses

from camphortray import errors
from camphortray import ledger as ledgers

EVENT_S = 0.05
# The item that meets the break, where a step belongs to one item.
MARKED = "j1-0"


@dataclasses.dataclass(frozen=True)
class Manner:
    """How a step breaks.

    Attributes:
      error: Makes what is raised.
      revokes: Times that the item is told to give way, before the error.
      hang: Whether the step never returns.
      late: Whether it stays silent for its time limit, then raises.
      chunk: Bytes that come instead of the right ones.
      progress: Events that the owner before hands on at that moment.
    """

    name: str
    error: Callable[[], BaseException] | None = None
    revokes: int = 0
    hang: bool = False
    late: bool = False
    chunk: bytes | None = None
    progress: int = 0


class Break:
    """Breaks one step so many times; it is sound afterwards.

    Attributes:
      armed: Whether it breaks from now on.
      event_s: From one event of an engine to the next.
      spread: Share by which that is longer from each item to the next.
      met: Times that it has broken.
      revoke: Of the marked item, as its last want gave it.
      hand_on: Gives the owner what another has got of the marked item.
    """

    def __init__(self, step: str, manner: Manner, times: int = 1) -> None:
        self.step = step
        self.manner = manner
        self.times = times
        self.armed = True
        self.event_s = EVENT_S
        self.spread = 0.0
        self.met = 0
        self.revoke: Callable[[], None] | None = None
        self.hand_on: Callable[[int], None] | None = None

    def due(self, step: str, item: str) -> bool:
        """Return whether to break now, and count it."""
        if step != self.step or item != MARKED or not self.armed:
            return False
        if self.met >= self.times:
            return False
        self.met += 1
        if self.manner.progress and self.hand_on is not None:
            self.hand_on(self.manner.progress)
        return True

    def now(self, step: str, item: str = MARKED) -> None:
        """Meet a step that is a plain call; it can't hang."""
        if self.due(step, item):
            for _ in range(self.manner.revokes):
                self.give_way()
            if self.manner.error is not None:
                raise self.manner.error()

    async def meet(
        self, step: str, item: str = MARKED, limit_s: float = 0.0
    ) -> bytes | None:
        """Meet a step; return what comes in place of the right bytes."""
        if not self.due(step, item):
            return None
        for number in range(self.manner.revokes):
            self.give_way()
            if number + 1 < self.manner.revokes:
                # The second one comes while the first takes effect.
                asyncio.get_running_loop().call_soon(self.give_way)
        if self.manner.hang:
            await asyncio.Event().wait()
        if self.manner.late:
            await asyncio.sleep(limit_s)
        if self.manner.error is not None:
            raise self.manner.error()
        if self.manner.revokes:
            await asyncio.sleep(self.event_s)
        return self.manner.chunk

    def give_way(self) -> None:
        """Take the slot of the marked item back, as its desk does."""
        if self.revoke is not None:
            self.revoke()


def marked(part: int) -> str:
    """Return the item that a call on a partition is for, if it is there."""
    return MARKED if part == 0 else ""


class RigLedger(ledgers.MemoryLedger):
    """Numbers appends as the platform's store does.

    Attributes:
      recent: Epoch and last five numbers of each partition.
    """

    def __init__(self, broken: Break, parts: int = 1) -> None:
        super().__init__(parts)
        self.broken = broken
        self.recent: dict[int, tuple[int, collections.deque[int]]] = {}

    async def append(self, topic, part, records, fence=None, timeout_s=1.0):
        step = f"append {records[0].key[0]}"
        item = marked(part)
        await self.broken.meet(step, item, timeout_s)
        self.check_up("append")
        if not self.repeated(topic, part, fence):
            await super().append(topic, part, records, fence, timeout_s)
            self.recent[part][1].append(fence.sequence)
        await self.broken.meet(f"{step} answer", item, timeout_s)

    def repeated(self, topic, part, fence) -> bool:
        """Return whether an append has been; raise if it may not be."""
        held = self.held[topic, part]
        if fence.epoch < held.epoch:
            raise errors.LogFenced("fenced", step="append", peer="rig")
        epoch, numbers = self.recent.get(part, (-1, collections.deque()))
        if fence.epoch != epoch:
            numbers = collections.deque(maxlen=5)
            self.recent[part] = fence.epoch, numbers
        if fence.sequence in numbers:
            return True
        if numbers and fence.sequence != numbers[-1] + 1:
            raise errors.LogFenced("seq", step="append", peer="rig")
        return False

    async def set_epoch(self, topic, part, epoch):
        await self.broken.meet("set_epoch", marked(part), 0.4)
        await super().set_epoch(topic, part, epoch)
        await self.broken.meet("set_epoch answer", marked(part), 0.4)

    async def newest(self, topic, part=0, on_page=ledgers.no_page):
        await self.broken.meet("newest", marked(part), 0.6)
        return await super().newest(topic, part)

    async def read(self, topic, part, offset, wait_s=0.0):
        await self.broken.meet("read log", marked(part), 0.6)
        return await super().read(topic, part, offset, wait_s)
