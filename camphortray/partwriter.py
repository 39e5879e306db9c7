"""Appends to one partition in the epoch of its owner, one call at a time."""

__all__ = ["PartWriter"]

import asyncio
from collections.abc import Callable
from collections.abc import Sequence
import dataclasses

from camphortray import attempt
from camphortray import clock as clocks
from camphortray import errors
from camphortray import ledger as ledgers
from camphortray import logs

LOG = logs.logger("ledger")
# Pause after an append that the store refused or did not answer, in
# seconds; doubled up to the second.
PAUSE_S = 0.05
MAX_PAUSE_S = 0.5
# Time for an answer: so many times what answers lately took, within bounds,
# in seconds, and doubled after each that stays away. The store answers
# within milliseconds, and 50 times slower when it is slow; a lost answer
# noticed after a second would cost a job's caller its patience.
ANSWER_TIMES = 10.0
LEAST_ANSWER_S = 0.1
MOST_ANSWER_S = 1.0
# Weight of a new measurement in the running mean of answers' times.
LEARN = 0.3

Records = Sequence[ledgers.LedgerRecord]


@dataclasses.dataclass(eq=False, slots=True)
class Write:
    """Records that are appended together.

    Attributes:
      give_up_at: When its caller waits no longer.
    """

    records: Records
    size: int
    give_up_at: float
    done: "asyncio.Future[None]"


class PartWriter:
    """One writer of a partition.

    An append whose answer was lost is repeated with its number until the
    store says what became of it: it may still happen, and whatever came
    after it under another number would be refused. What waits meanwhile
    goes into the next append together.

    Attributes:
      waiting: Writes that are in no call yet.
      taken: Writes of the call under way.
      on_written: Called with records once they are kept.
      on_fenced: Called when another writer has taken over.
    """

    def __init__(
        self,
        ledger: ledgers.Ledger,
        topic: ledgers.Topic,
        part: int,
        epoch: int,
        clock: clocks.Clock,
        on_written: Callable[[Records], None],
        on_fenced: Callable[[], None],
    ) -> None:
        self.ledger = ledger
        self.topic = topic
        self.part = part
        self.epoch = epoch
        self.clock = clock
        self.on_written = on_written
        self.on_fenced = on_fenced
        self.sequence = 0
        self.answer_s = LEAST_ANSWER_S / ANSWER_TIMES
        self.waiting: list[Write] = []
        self.taken: list[Write] = []
        self.work = asyncio.Event()
        self.task: asyncio.Task[None] | None = None
        self.closed = False

    def start(self) -> None:
        """Begin to append."""
        self.task = asyncio.get_running_loop().create_task(self.run())

    def stop(self) -> None:
        """Append no more; what waits is refused."""
        self.closed = True
        if self.task is not None:
            self.task.cancel()
        for write in self.taken:
            settle(write, unknown("the partition changes hands"))
        self.refuse(self.waiting, "the partition has another owner")

    async def write(self, records: Records, timeout_s: float) -> None:
        """Append records and return once they are kept.

        Raises:
          LogRefused: they certainly are not, and will not be.
          LogUnavailable: they may be, now or later.
        """
        if self.closed:
            raise refused("the partition has another owner")
        now = self.clock.monotonic()
        done = asyncio.get_running_loop().create_future()
        size = sum(len(r.key) + len(r.value) + 8 for r in records)
        write = Write(records, size, now + timeout_s, done)
        self.waiting.append(write)
        self.work.set()
        # Behind the time at which a refused write is told to give up.
        slack_s = 2 * MAX_PAUSE_S
        try:
            async with asyncio.timeout(timeout_s + slack_s):
                await asyncio.shield(done)
        except TimeoutError:
            if write in self.waiting:
                # It has not been part of any call yet.
                self.waiting.remove(write)
                raise refused("no answer of the store in time") from None
            raise unknown("no answer of the store in time") from None

    async def run(self) -> None:
        """Append what waits, for ever."""
        while True:
            while not self.waiting:
                self.work.clear()
                await self.work.wait()
            self.taken = self.take()
            if not await self.append(self.taken):
                return

    def take(self) -> list[Write]:
        """Take what fits into one call."""
        taken = [self.waiting.pop(0)]
        size = taken[0].size
        while self.waiting:
            size += self.waiting[0].size
            if size > self.ledger.append_bytes:
                break
            taken.append(self.waiting.pop(0))
        return taken

    async def append(self, taken: list[Write]) -> bool:
        """Append until it is known what became of it.

        Returns:
          Whether to go on.
        """
        tried = attempt.Attempt()
        pause_s = PAUSE_S
        wait_s = self.answer_s * ANSWER_TIMES
        while True:
            records = [r for write in taken for r in write.records]
            wait_s = min(max(wait_s, LEAST_ANSWER_S), MOST_ANSWER_S)
            error = await self.call(records, wait_s)
            if error is None:
                self.sequence += 1
                self.on_written(records)
                for write in taken:
                    settle(write, None)
                return True
            if isinstance(error, errors.LogFenced):
                self.fenced(taken, tried)
                return False
            tried.on_error(error)
            if tried.maybe_taken:
                LOG.info("Append of {} unknown: {}", self.part, error)
                wait_s *= 2
            else:
                taken = self.in_time(taken)
                if not taken:
                    return True
            await asyncio.sleep(pause_s)
            pause_s = min(2 * pause_s, MAX_PAUSE_S)

    async def call(
        self, records: Records, wait_s: float
    ) -> errors.LogError | None:
        """Append once; return what was wrong, if anything."""
        fence = ledgers.Fence(self.epoch, self.sequence)
        begun_at = self.clock.monotonic()
        try:
            await self.ledger.append(
                self.topic, self.part, records, fence, wait_s
            )
        except errors.LogError as error:
            return error
        took_s = self.clock.monotonic() - begun_at
        self.answer_s += LEARN * (took_s - self.answer_s)
        return None

    def fenced(self, taken: list[Write], tried: attempt.Attempt) -> None:
        """End: another writer has taken over."""
        self.closed = True
        if tried.maybe_taken:
            for write in taken:
                settle(write, unknown("fenced off meanwhile"))
        why = "the partition has another owner"
        self.refuse([*taken, *self.waiting], why)
        self.on_fenced()

    def in_time(self, taken: list[Write]) -> list[Write]:
        """Refuse writes whose callers wait no longer; return the others."""
        now = self.clock.monotonic()
        late = [write for write in taken if now >= write.give_up_at]
        self.refuse(late, "no answer of the store in time")
        return [write for write in taken if now < write.give_up_at]

    def refuse(self, writes: list[Write], why: str) -> None:
        """Tell callers that their records are certainly not kept."""
        for write in writes:
            settle(write, refused(why))


def settle(write: Write, error: errors.LogError | None) -> None:
    """Tell the caller of a write what became of it, if it still waits."""
    if write.done.done():
        return
    if error is None:
        write.done.set_result(None)
        return
    write.done.set_exception(error)
    # Its caller may have given up, and nobody else asks.
    write.done.exception()


def refused(why: str) -> errors.LogRefused:
    """Return the error of a write that certainly was not kept."""
    return errors.LogRefused(why, step="append", peer="ledger")


def unknown(why: str) -> errors.LogUnavailable:
    """Return the error of a write that may have been kept."""
    return errors.LogUnavailable(why, step="append", peer="ledger")
