"""Appends to one partition in the epoch of its owner, one call at a time."""

__all__ = ["PartWriter"]

import asyncio
from collections.abc import Callable
from collections.abc import Sequence
import dataclasses
import traceback

from camphortray import attempt
from camphortray import clock as clocks
from camphortray import errors
from camphortray import ledger as ledgers
from camphortray import logs
from camphortray import tasks

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
# Time beyond that, in seconds, after which a call is held for unanswered that
# has not ended itself.
CALL_SLACK_S = 1.0
# Errors in a row that no code expects after which a writer ends.
MOST_ODD = 20
# Weight of a new measurement in the running mean of answers' times.
LEARN = 0.3

Records = Sequence[ledgers.LedgerRecord]
# Makes the records of a write, given those that stand before them in the
# same append.
Maker = Callable[[Records], Records]


@dataclasses.dataclass(eq=False, slots=True)
class Write:
    """Records that are appended together.

    They are made as late as that, so that a record which tells its place
    among others tells the place where it will stand: one numbered before a
    refusal would leave a gap for good.

    Attributes:
      make: Makes the records.
      size: Bytes of the records, about.
      give_up_at: When its caller waits no longer.
      done: Set once it is known what became of it, also where its caller
        has long been told that it is not.
    """

    make: Maker
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
        self.odd = 0
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
          RecordError: one is larger than the store takes.
        """
        for record in records:
            self.check_size(record)
        size = sum(len(r.key) + len(r.value) + 8 for r in records)
        write = self.put(lambda before: records, size, timeout_s)
        await self.outcome(write, timeout_s)

    def check_size(self, record: ledgers.LedgerRecord) -> None:
        """Make sure that the store can take a record at all.

        It refuses one that is too large each time, and whatever waits
        behind it would never be kept.

        Raises:
          RecordError: it cannot.
        """
        key_size = len(record.key.encode())
        size = 1 + key_size + len(record.value)
        if size > self.ledger.record_bytes or key_size > ledgers.KEY_BYTES:
            raise errors.RecordError(
                f"{record.key[:80]}: {size} bytes, {key_size} of them of the"
                " key, are more than a record may have",
                step="append",
                peer="ledger",
            )

    def put(self, make: Maker, size: int, timeout_s: float) -> Write:
        """Let a write wait for its append.

        Args:
          make: Makes its records.
          size: Their bytes, about.
          timeout_s: Time after which it need not be kept any more.
        """
        now = self.clock.monotonic()
        done = asyncio.get_running_loop().create_future()
        write = Write(make, size, now + timeout_s, done)
        if self.closed:
            settle(write, refused("the partition has another owner"))
            return write
        self.waiting.append(write)
        self.work.set()
        return write

    async def outcome(self, write: Write, timeout_s: float) -> None:
        """Wait for what becomes of a write; errors as ``write``."""
        # Behind the time at which a refused write is told to give up.
        slack_s = 2 * MAX_PAUSE_S
        try:
            async with asyncio.timeout(timeout_s + slack_s):
                await asyncio.shield(write.done)
        except TimeoutError:
            if write in self.waiting:
                # It has not been part of any call yet.
                self.waiting.remove(write)
                error = refused("no answer of the store in time")
                settle(write, error)
                raise error from None
            raise unknown("no answer of the store in time") from None

    async def run(self) -> None:
        """Append what waits, for ever."""
        try:
            going_on = True
            while going_on:
                while not self.waiting:
                    self.work.clear()
                    await self.work.wait()
                self.taken = self.take()
                going_on = await self.append(self.taken)
        except (Exception, asyncio.CancelledError) as error:
            if tasks.cancelled():
                raise
            # Without its writer an owner keeps nothing, and waits for ever.
            LOG.error(
                "Writer of partition {} ended by an error: {}",
                self.part,
                "".join(traceback.format_exception(error)),
            )
            self.stop()
            self.on_fenced()

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
        records: list[ledgers.LedgerRecord] = []
        while True:
            if not tried.maybe_appended:
                records = made(taken)
                if not records:
                    settle_all(taken)
                    return True
            wait_s = min(max(wait_s, LEAST_ANSWER_S), MOST_ANSWER_S)
            error = await self.call(records, wait_s)
            if error is None:
                self.sequence += 1
                self.on_written(records)
                settle_all(taken)
                return True
            if isinstance(error, errors.LogFenced):
                self.fenced(taken, tried)
                return False
            tried.on_error(error)
            if tried.maybe_appended:
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
            async with asyncio.timeout(wait_s + CALL_SLACK_S):
                await self.ledger.append(
                    self.topic, self.part, records, fence, wait_s
                )
        except errors.LogError as error:
            return error
        except (Exception, asyncio.CancelledError) as error:
            if tasks.cancelled():
                raise
            # Whether the store has it is not known; it is asked again, but
            # not for ever, as an error that no code expects may be lasting.
            self.odd += 1
            if self.odd > MOST_ODD:
                raise
            return unknown(f"no answer: {error!r}")
        self.odd = 0
        took_s = self.clock.monotonic() - begun_at
        self.answer_s += LEARN * (took_s - self.answer_s)
        return None

    def fenced(self, taken: list[Write], tried: attempt.Attempt) -> None:
        """End: another writer has taken over."""
        self.closed = True
        if tried.maybe_appended:
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


def made(taken: list[Write]) -> list[ledgers.LedgerRecord]:
    """Return the records of some writes, in order."""
    records: list[ledgers.LedgerRecord] = []
    for write in taken:
        records += write.make(records)
    return records


def settle_all(taken: list[Write]) -> None:
    """Tell the callers of some writes that their records are kept."""
    for write in taken:
        settle(write, None)


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
