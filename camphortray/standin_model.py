"""The engine of the stand-in: batches requests and makes their tokens.

The timing model and what it leaves out stand in docs/STANDINS.md.
"""

__all__ = ["EngineModel", "PrefixCache", "Sequence", "TimingModel"]

import asyncio
import collections
import dataclasses
import itertools
from typing import Any

import xxhash

WORDS = (
    "the battery of this home is at rest until evening tariff begins "
    "gate opens near kiln garden path and hall with steward notes"
).split()
BLOCK_WORDS = 16
# Cache events kept for readers; one that is further behind misses some.
MAX_EVENTS = 20_000


@dataclasses.dataclass(frozen=True)
class TimingModel:
    """Time of one step of the engine, in seconds.

    A step takes ``base_s + per_sequence_s * batch + per_prefill_s *
    prefilled tokens`` and gives one token to each sequence whose prompt
    is done. At most ``prefill_budget`` prompt tokens go into one step.

    Attributes:
      max_batch: Sequences in one step.
      cache_blocks: Blocks of prompt prefixes kept.
      speed: Divides all times, for tests.
    """

    base_s: float = 0.012
    per_sequence_s: float = 0.0003
    per_prefill_s: float = 0.00004
    prefill_budget: int = 2048
    max_batch: int = 64
    cache_blocks: int = 4096
    load_s: float = 2.0
    restart_s: float = 2.0
    event_lag_s: float = 1.0
    speed: float = 1.0


def token_text(prompt: str, index: int) -> str:
    """Return token ``index`` of the answer to ``prompt``.

    The same on every engine, so that a resumed answer can be checked.
    """
    digest = xxhash.xxh32_intdigest(prompt.encode(), index)
    return WORDS[digest % len(WORDS)] + " "


def block_hashes(text: str) -> list[str]:
    """Return a hash for each leading run of whole blocks."""
    words = text.split()
    state = xxhash.xxh64()
    hashes = []
    for start in range(0, len(words) - BLOCK_WORDS + 1, BLOCK_WORDS):
        state.update(" ".join(words[start : start + BLOCK_WORDS]).encode())
        hashes.append(state.hexdigest())
    return hashes


@dataclasses.dataclass
class Sequence:
    """One request in the engine."""

    id: str
    prompt: str
    max_tokens: int
    produced: int = 0
    prefill_left: int = 0
    cancelled: bool = False
    crash: bool = False
    ready: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)
    taken: int = 0
    broken: bool = False

    @property
    def done(self) -> bool:
        """Whether all tokens are made."""
        return self.produced >= self.max_tokens


class PrefixCache:
    """Least recently used blocks of prompt prefixes."""

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.blocks: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )

    def lookup(self, hashes: list[str]) -> int:
        """Return how many leading blocks are held."""
        held = 0
        for block in hashes:
            if block not in self.blocks:
                break
            self.blocks.move_to_end(block)
            held += 1
        return held

    def store(self, hashes: list[str]) -> tuple[list[str], list[str]]:
        """Add blocks; return those stored and those evicted."""
        stored = [block for block in hashes if block not in self.blocks]
        for block in hashes:
            self.blocks[block] = None
            self.blocks.move_to_end(block)
        evicted = []
        while len(self.blocks) > self.limit:
            evicted.append(self.blocks.popitem(last=False)[0])
        return stored, evicted


@dataclasses.dataclass(frozen=True, slots=True)
class CacheChange:
    """A block that entered or left the cache.

    Attributes:
      sequence: Counts from 1 without gaps.
      made_at: When, on the loop's clock.
    """

    sequence: int
    prefix: str
    stored: bool
    made_at: float


class EngineModel:
    """The engine itself: admits in order, batches, makes tokens."""

    def __init__(self, timing: TimingModel) -> None:
        self.timing = timing
        self.waiting: collections.deque[Sequence] = collections.deque()
        self.running: list[Sequence] = []
        self.cache = PrefixCache(timing.cache_blocks)
        self.events: collections.deque[CacheChange] = collections.deque(
            maxlen=MAX_EVENTS
        )
        self.event_count = 0
        self.work = asyncio.Event()
        self.task: asyncio.Task[None] | None = None
        self.tokens_made = 0
        self.on_crash: Any = None
        self.stalled = False

    def submit(self, sequence: Sequence) -> None:
        """Queue a request."""
        self.waiting.append(sequence)
        self.work.set()
        if self.task is None or self.task.done():
            self.task = asyncio.get_running_loop().create_task(self.run())

    def admit(self) -> None:
        """Move waiting requests into the batch, first come first."""
        while self.waiting and len(self.running) < self.timing.max_batch:
            sequence = self.waiting.popleft()
            hashes = block_hashes(sequence.prompt)
            held = self.cache.lookup(hashes)
            words = len(sequence.prompt.split()) + sequence.produced
            sequence.prefill_left = max(words - held * BLOCK_WORDS, 1)
            self.note_events(*self.cache.store(hashes))
            self.running.append(sequence)

    def note_events(self, stored: list[str], evicted: list[str]) -> None:
        """Number cache events."""
        now = asyncio.get_running_loop().time()
        for blocks, entered in ((stored, True), (evicted, False)):
            for block in blocks:
                self.event_count += 1
                self.events.append(
                    CacheChange(self.event_count, block, entered, now)
                )

    def events_after(self, number: int) -> list["CacheChange"]:
        """Return the events after a number, a thousand at most."""
        first = self.event_count - len(self.events)
        begin = max(0, number - first)
        return list(itertools.islice(self.events, begin, begin + 1000))

    def plan_step(self) -> tuple[float, list[Sequence]]:
        """Spend the prefill budget; return time and who gets a token."""
        budget = self.timing.prefill_budget
        prefilled = 0
        decoding = []
        for sequence in self.running:
            if sequence.prefill_left > 0:
                part = min(sequence.prefill_left, budget - prefilled)
                sequence.prefill_left -= part
                prefilled += part
            if sequence.prefill_left == 0:
                decoding.append(sequence)
        timing = self.timing
        seconds = (
            timing.base_s
            + timing.per_sequence_s * len(self.running)
            + timing.per_prefill_s * prefilled
        )
        return seconds / timing.speed, decoding

    async def run(self) -> None:
        """Make steps while there is work."""
        while True:
            self.running = [
                s for s in self.running if not s.cancelled and not s.done
            ]
            self.admit()
            if not self.running:
                self.work.clear()
                await self.work.wait()
                continue
            if any(sequence.crash for sequence in self.running):
                self.on_crash(True)
                return
            seconds, decoding = self.plan_step()
            await asyncio.sleep(seconds)
            while self.stalled:
                await asyncio.sleep(0.05)
            for sequence in decoding:
                if not sequence.cancelled:
                    sequence.produced += 1
                    self.tokens_made += 1
                    sequence.ready.set()

    def fail_all(self) -> None:
        """Lose every request, as a crash does."""
        for sequence in [*self.running, *self.waiting]:
            sequence.broken = True
            sequence.ready.set()
        self.running = []
        self.waiting.clear()
        self.cache.blocks.clear()
