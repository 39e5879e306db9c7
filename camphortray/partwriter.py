"""Appends records to one partition under its owner's epoch, serially."""

__all__ = ["PartWriter"]

import asyncio
from collections.abc import Callable
from collections.abc import Sequence
import traceback

import msgspec

from camphortray import attempt
from camphortray import clock as clocks
from camphortray import errors
from camphortray import ledger as ledgers
from camphortray import logs
from camphortray import tasks

LOG = logs.logger("ledger")
# Pause after an append that the store refused or did not answer, doubled
# with each retry from the first value up to the second.
RETRY_PAUSE_S = 0.05
MAX_RETRY_PAUSE_S = 0.5
# The time-out of an append is this multiple of the mean answer time, within
# the bounds below, and doubles after each missing answer. The store answers
# within milliseconds, or 50 times slower when slow; a lost answer detected
# only after a second would make a job's caller time out.
ANSWER_TIMEOUT_FACTOR = 10.0
MIN_ANSWER_TIMEOUT_S = 0.1
MAX_ANSWER_TIMEOUT_S = 1.0
# Time beyond the time-out of an append after which a call to the store that
# has not returned is cancelled and counts as unanswered.
CALL_SLACK_S = 1.0
# Consecutive errors of an unexpected type after which the writer stops.
MAX_UNEXPECTED_ERRORS = 20
# Weight of the latest answer time in the exponential moving average.
ANSWER_MEAN_WEIGHT = 0.3

Records = Sequence[ledgers.LedgerRecord]
# Returns the records of a write, given those that precede them in the same
# append.
RecordFactory = Callable[[Records], Records]


class Write(msgspec.Struct, eq=False):
    """Records that are appended together.

    The records are built just before the append, so that a record which
    holds its position gets the final one: a position assigned before a
    refusal would leave a permanent gap.

    Attributes:
      make: Returns the records.
      size: Approximate size of the records in bytes.
      expires_at: Time on the monotonic clock at which the caller stops
        waiting.
      done: Completed with the outcome of the write, even if the caller has
        already received the answer that the outcome is unknown.
    """

    make: RecordFactory
    size: int
    expires_at: float
    done: "asyncio.Future[None]"


class PartWriter:
    """The writer of a partition in one epoch.

    An append whose answer was lost is repeated with the same sequence
    number until the store reports its outcome: it may still take effect,
    and the store would then refuse a later append that used another number.
    Writes queued meanwhile are combined into the next append.

    Attributes:
      queued: Writes that are not part of an append yet.
      in_flight: Writes of the append in progress.
      on_written: Called with records once they are stored.
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
        self.unexpected_errors = 0
        self.mean_answer_s = MIN_ANSWER_TIMEOUT_S / ANSWER_TIMEOUT_FACTOR
        self.queued: list[Write] = []
        self.in_flight: list[Write] = []
        self.has_queued = asyncio.Event()
        self.task: asyncio.Task[None] | None = None
        self.closed = False

    def start(self) -> None:
        """Start the task that appends."""
        self.task = asyncio.get_running_loop().create_task(self.run())

    def stop(self) -> None:
        """Stop appending and refuse the queued writes."""
        self.closed = True
        if self.task is not None:
            self.task.cancel()
        for write in self.in_flight:
            settle(write, unknown("the partition changes hands"))
        self.refuse(self.queued, "the partition has another owner")

    async def write(self, records: Records, timeout_s: float) -> None:
        """Append records and return once they are stored.

        Raises:
          LogRefused: the records are not stored and never will be.
          LogUnavailable: the records may be stored, now or later.
          RecordError: a record is larger than the store accepts.
        """
        write = self.put_records(records, timeout_s)
        await self.wait_for_outcome(write, timeout_s)

    def check_size(self, record: ledgers.LedgerRecord) -> None:
        """Check that a record is within the store's size limits.

        The store would refuse an oversized record at each retry, which
        would block all writes queued behind it.

        Raises:
          RecordError: the record or its key is too large.
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

    def put_records(self, records: Records, timeout_s: float) -> Write:
        """Queue records; arguments as ``put``.

        Raises:
          RecordError: a record is larger than the store accepts.
        """
        for record in records:
            self.check_size(record)
        size = sum(len(r.key) + len(r.value) + 8 for r in records)
        return self.put(lambda before: records, size, timeout_s)

    def put(self, make: RecordFactory, size: int, timeout_s: float) -> Write:
        """Queue a write.

        Args:
          make: Returns the records.
          size: Approximate size of the records in bytes.
          timeout_s: Time after which the write is no longer wanted.
        """
        now = self.clock.monotonic()
        done = asyncio.get_running_loop().create_future()
        write = Write(make, size, now + timeout_s, done)
        if self.closed:
            settle(write, refused("the partition has another owner"))
            return write
        self.queued.append(write)
        self.has_queued.set()
        return write

    async def wait_for_outcome(self, write: Write, timeout_s: float) -> None:
        """Wait for the outcome of a write; raises the errors of ``write``."""
        # Leaves the append loop time to refuse an expired write itself.
        slack_s = 2 * MAX_RETRY_PAUSE_S
        try:
            async with asyncio.timeout(timeout_s + slack_s):
                await asyncio.shield(write.done)
        except TimeoutError:
            if write in self.queued:
                # It has not been part of any append yet.
                self.queued.remove(write)
                error = refused("no answer of the store in time")
                settle(write, error)
                raise error from None
            raise unknown("no answer of the store in time") from None

    async def run(self) -> None:
        """Append queued writes until fenced off or cancelled."""
        try:
            active = True
            while active:
                while not self.queued:
                    self.has_queued.clear()
                    await self.has_queued.wait()
                self.in_flight = self.take_batch()
                active = await self.append(self.in_flight)
        except (Exception, asyncio.CancelledError) as error:
            if tasks.cancelled():
                raise
            # An owner without a writer would store nothing and wait forever.
            LOG.error(
                "Writer of partition {} stopped by an unexpected error: {}",
                self.part,
                "".join(traceback.format_exception(error)),
            )
            self.stop()
            self.on_fenced()

    def take_batch(self) -> list[Write]:
        """Remove and return the queued writes that fit into one append."""
        batch = [self.queued.pop(0)]
        size = batch[0].size
        while self.queued:
            size += self.queued[0].size
            if size > self.ledger.append_bytes:
                break
            batch.append(self.queued.pop(0))
        return batch

    async def append(self, batch: list[Write]) -> bool:
        """Append writes, with retries until their outcome is known.

        Returns:
          False if another writer has taken over.
        """
        attempted = attempt.Attempt()
        pause_s = RETRY_PAUSE_S
        timeout_s = self.mean_answer_s * ANSWER_TIMEOUT_FACTOR
        records: list[ledgers.LedgerRecord] = []
        while True:
            if not attempted.maybe_appended:
                records = make_records(batch)
                if not records:
                    settle_all(batch)
                    return True
            timeout_s = min(
                max(timeout_s, MIN_ANSWER_TIMEOUT_S), MAX_ANSWER_TIMEOUT_S
            )
            error = await self.call(records, timeout_s)
            if error is None:
                self.sequence += 1
                self.on_written(records)
                settle_all(batch)
                return True
            if isinstance(error, errors.LogFenced):
                self.close_fenced(batch, attempted)
                return False
            attempted.on_error(error)
            if attempted.maybe_appended:
                LOG.info(
                    "Outcome of an append to partition {} is unknown: {}",
                    self.part,
                    error,
                )
                timeout_s *= 2
            else:
                batch = self.refuse_expired(batch)
                if not batch:
                    return True
            await asyncio.sleep(pause_s)
            pause_s = min(2 * pause_s, MAX_RETRY_PAUSE_S)

    async def call(
        self, records: Records, timeout_s: float
    ) -> errors.LogError | None:
        """Append once; return the error, if any."""
        fence = ledgers.Fence(self.epoch, self.sequence)
        started_at = self.clock.monotonic()
        try:
            async with asyncio.timeout(timeout_s + CALL_SLACK_S):
                await self.ledger.append(
                    self.topic, self.part, records, fence, timeout_s
                )
        except errors.LogError as error:
            return error
        except (Exception, asyncio.CancelledError) as error:
            if tasks.cancelled():
                raise
            # The store may have the records. The append is repeated, but
            # not forever, as an unexpected error may be permanent.
            self.unexpected_errors += 1
            if self.unexpected_errors > MAX_UNEXPECTED_ERRORS:
                raise
            return unknown(f"no answer: {error!r}")
        self.unexpected_errors = 0
        answer_s = self.clock.monotonic() - started_at
        self.mean_answer_s += ANSWER_MEAN_WEIGHT * (
            answer_s - self.mean_answer_s
        )
        return None

    def close_fenced(
        self, batch: list[Write], attempted: attempt.Attempt
    ) -> None:
        """Close the writer after another one has taken over."""
        self.closed = True
        if attempted.maybe_appended:
            for write in batch:
                settle(write, unknown("fenced off meanwhile"))
        reason = "the partition has another owner"
        self.refuse([*batch, *self.queued], reason)
        self.on_fenced()

    def refuse_expired(self, batch: list[Write]) -> list[Write]:
        """Refuse writes that have expired; return the others."""
        now = self.clock.monotonic()
        expired = [write for write in batch if now >= write.expires_at]
        self.refuse(expired, "no answer of the store in time")
        return [write for write in batch if now < write.expires_at]

    def refuse(self, writes: list[Write], reason: str) -> None:
        """Complete writes whose records are not stored and never will be."""
        for write in writes:
            settle(write, refused(reason))


def make_records(batch: list[Write]) -> list[ledgers.LedgerRecord]:
    """Return the records of a batch of writes, in order."""
    records: list[ledgers.LedgerRecord] = []
    for write in batch:
        records += write.make(records)
    return records


def settle_all(batch: list[Write]) -> None:
    """Complete the writes of a batch whose records are stored."""
    for write in batch:
        settle(write, None)


def settle(write: Write, error: errors.LogError | None) -> None:
    """Pass the outcome of a write to its caller, unless already passed."""
    if write.done.done():
        return
    if error is None:
        write.done.set_result(None)
        return
    write.done.set_exception(error)
    # Marks the error as retrieved, as the caller may have given up: asyncio
    # reports one that nobody retrieves.
    write.done.exception()


def refused(reason: str) -> errors.LogRefused:
    """Return the error of a write that is not stored and never will be."""
    return errors.LogRefused(reason, step="append", peer="ledger")


def unknown(reason: str) -> errors.LogUnavailable:
    """Return the error of a write that may have been stored."""
    return errors.LogUnavailable(reason, step="append", peer="ledger")
