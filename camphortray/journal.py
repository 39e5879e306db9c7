"""Follows one stream into its fold and appends with read-back."""

__all__ = ["Journal"]

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import random
from typing import Any

from camphortray import attempt
from camphortray import errors
from camphortray import fold as folds
from camphortray import log
from camphortray import logs
from camphortray import records
from camphortray import snapshot
from camphortray import tasks
from camphortray import timers

LOG = logs.logger("journal")
# Longest long poll for new records, in seconds.
POLL_S = 10.0
# Pause after a failed call to the log, in seconds; grows to the second.
PAUSE_S = 0.1
MAX_PAUSE_S = 2.0
# Time to look for a record whose answer was lost before appending again.
READ_BACK_S = 0.5
# Least time for a record whose turn came late as this process stood still.
LEAST_S = 0.1
# Records read from the end when looking for a snapshot, and the factor by
# which the next look reaches further back.
SEARCH_RECORDS = 32
SEARCH_FACTOR = 4
# An offset past the end of any stream.
END = 1 << 62
# Lag from which a snapshot is looked for instead of reading on.
JUMP_RECORDS = 16_384

UNREADABLE = folds.Verdict.UNREADABLE

Send = Callable[[str, bytes], Awaitable[object]]


class Journal:
    """One stream as this process sees it.

    Attributes:
      fold: State up to the last record read.
      caught_up: Set once the end of the stream was reached.
      down: Whether the last call to the log failed.
      failure: Why following has stopped for good, or empty.
      send: Takes an encoded record to the log, ``service.append`` unless
        records are handed to another host that groups them.
      kept_at: Time of the newest whole snapshot, in the log's seconds
        since 1970, or of the oldest record read if there is none.
      since_records: Records read since that snapshot.
      since_bytes: Their bytes.
      snapshot_bytes: Size of that snapshot.
    """

    def __init__(
        self,
        service: log.LogService,
        stream: str,
        fold: folds.Fold,
        writer: records.Writer,
        rng: random.Random,
        record_limit: int = 1_048_576,
    ) -> None:
        self.service = service
        self.stream = stream
        self.fold = fold
        self.writer = writer
        self.rng = rng
        self.record_limit = record_limit
        self.send: Send = service.append
        self.sequence = 0
        self.lock = asyncio.Lock()
        self.waiting: dict[int, asyncio.Future[folds.Outcome]] = {}
        self.listeners: list[Callable[[folds.Outcome], None]] = []
        self.recorders: list[Callable[[log.LogRecord], None]] = []
        self.restored: list[Callable[[], None]] = []
        self.caught_up = asyncio.Event()
        self.down = False
        self.task: asyncio.Task[None] | None = None
        self.failure = ""
        self.looked = 0
        self.kept_at = 0.0
        self.since_records = 0
        self.since_bytes = 0
        self.snapshot_bytes = 0
        self.collector = snapshot.Collector(0)

    def start(self) -> None:
        """Begin to follow the stream."""
        if self.task is None:
            loop = asyncio.get_running_loop()
            self.task = loop.create_task(
                tasks.forever("reading of a stream", self.follow)
            )

    async def stop(self) -> None:
        """Stop following; the state stays and ``start`` goes on from it."""
        task, self.task = self.task, None
        await tasks.end(task)

    def listen(self, listener: Callable[[folds.Outcome], None]) -> None:
        """Call ``listener`` after each record is applied."""
        self.listeners.append(listener)

    def on_restore(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` when the state came from a snapshot.

        The records folded into it are not told one by one.
        """
        self.restored.append(listener)

    def ready(self) -> str:
        """Return why the stream is of no use yet, or an empty text."""
        if self.failure:
            return f"{self.stream}: {self.failure}"
        return "" if self.caught_up.is_set() else f"{self.stream}: reading"

    async def follow(self) -> None:
        """Read on for ever; an outage is waited out."""
        pause = PAUSE_S
        while not self.failure:
            try:
                if self.fold.next == 0 and not self.caught_up.is_set():
                    await self.jump(0)
                await self.read_on()
                pause = PAUSE_S
                self.down = False
            except errors.LogTruncated as error:
                await self.recover(error)
            except errors.LogError as error:
                if not self.down:
                    LOG.warning("{} cannot be read: {}", self.stream, error)
                self.down = True
                await asyncio.sleep(pause * (0.5 + self.rng.random()))
                pause = min(pause * 2, MAX_PAUSE_S)

    async def read_on(self) -> None:
        """Read and apply one page."""
        # The end must be found at once, also of a stream with no records.
        wait_s = POLL_S if self.caught_up.is_set() else 0.0
        page = await self.service.read(self.stream, self.fold.next, wait_s)
        for record in page.records:
            self.apply(record)
        if self.fold.next >= page.next:
            self.caught_up.set()
        elif page.next - max(self.fold.next, self.looked) > JUMP_RECORDS:
            self.looked = page.next
            await self.jump(self.fold.next)

    async def sync(self) -> None:
        """Apply everything that the log holds now.

        Raises:
          LogError: the log cannot be read.
        """
        while True:
            page = await self.service.read(self.stream, self.fold.next)
            for record in page.records:
                self.apply(record)
            if self.fold.next >= page.next:
                return

    def apply(self, record: log.LogRecord) -> None:
        """Apply one record and tell whoever waits for it."""
        if record.offset < self.fold.next:
            return
        self.check_order(record)
        if not self.kept_at:
            self.kept_at = record.time
        self.since_records += 1
        self.since_bytes += len(record.body)
        outcome = self.fold.apply(record.offset, record.body)
        for recorder in self.recorders:
            recorder(record)
        if outcome.record is None or outcome.verdict is UNREADABLE:
            LOG.warning(
                "{} {}: {}", self.stream, record.offset, outcome.reason
            )
        elif outcome.record.kind == folds.SNAPSHOT:
            self.note_snapshot(record)
        for told in outcome.parts or (outcome,):
            self.tell(told)

    def check_order(self, record: log.LogRecord) -> None:
        """Refuse to pass over records that the log left out.

        Raises:
          LogUnavailable: there is a gap; reading again may fill it.
        """
        if record.offset > self.fold.next:
            raise errors.LogUnavailable(
                f"records {self.fold.next} to {record.offset} are missing",
                step="read",
                peer=self.stream,
            )

    def tell(self, outcome: folds.Outcome) -> None:
        """Tell whoever waits for a record, and all listeners."""
        if outcome.record is not None:
            self.resolve(outcome, outcome.record.id)
        for listener in self.listeners:
            listener(outcome)

    def note_snapshot(self, record: log.LogRecord) -> None:
        """Count anew once a whole snapshot has been read."""
        self.collector.add(record.offset, record.time, record.body)
        if self.collector.best is not None:
            self.count_from(record.time, self.collector.size)
            self.collector = snapshot.Collector(0)

    def count_from(self, time: float, size: int) -> None:
        """Start the count of what came after a snapshot."""
        self.kept_at = time
        self.since_records = self.since_bytes = 0
        self.snapshot_bytes = size

    def resolve(
        self, outcome: folds.Outcome, record_id: records.RecordId
    ) -> None:
        """Give an outcome to the append that waits for it."""
        if record_id.writer != self.writer:
            return
        waiter = self.waiting.get(record_id.sequence)
        if waiter is not None and not waiter.done():
            # A duplicate never comes first, so this is the real verdict.
            waiter.set_result(outcome)

    async def recover(self, truncated: errors.LogTruncated) -> None:
        """Go on from a snapshot, as the log has forgotten our place."""
        with contextlib.suppress(errors.LogTruncated):
            if await self.jump(self.fold.next):
                return
            page = await self.service.read(self.stream, END)
            if page.first <= self.fold.next:
                return
            self.failure = f"no usable snapshot, and {truncated.message}"
            self.caught_up.clear()
            LOG.error("{}: {}; stopped.", self.stream, self.failure)

    async def jump(self, after: int) -> bool:
        """Restore the newest usable snapshot that covers ``after``.

        Returns:
          Whether there was one.

        Raises:
          LogError: the log cannot be read.
        """
        found = await self.find_snapshot()
        state = found.best
        # Others may have read on while this one looked.
        if state is None or state["covers"] < max(after, self.fold.next - 1):
            return False
        return self.adopt(state, found.best_time, found.size)

    def adopt(self, state: dict[str, Any], time: float, size: int) -> bool:
        """Go on from a snapshot; return False if it is behind.

        Meanwhile records may have come from elsewhere, so it is looked
        at again whether the snapshot is ahead of them.
        """
        if state["covers"] < self.fold.next:
            return False
        self.fold.restore(state)
        self.count_from(time, size)
        LOG.notice(
            "{} restored from a snapshot up to {}.",
            self.stream,
            state["covers"],
        )
        self.fail_skipped()
        for listener in self.restored:
            listener()
        return True

    def fail_skipped(self) -> None:
        """End appends whose record may lie in the part not read."""
        for waiter in self.waiting.values():
            if not waiter.done():
                waiter.set_exception(
                    errors.AppendUnknown(
                        "the log moved on past it",
                        step="append",
                        peer=self.stream,
                    )
                )

    async def find_snapshot(self) -> snapshot.Collector:
        """Look for the newest usable snapshot, from the end backwards.

        So the time it takes does not grow with what the log still keeps
        from before that snapshot.
        """
        page = await self.service.read(self.stream, END)
        collector = snapshot.Collector(page.first)
        end, span = page.next, SEARCH_RECORDS
        while collector.best is None and end > page.first:
            begin = max(end - span, page.first)
            await self.search(collector, begin, end)
            end, span = begin, span * SEARCH_FACTOR
        return collector

    async def search(
        self, collector: snapshot.Collector, begin: int, end: int
    ) -> None:
        """Show the records of a range to a collector."""
        while begin < end:
            page = await self.service.read(self.stream, begin)
            if not page.records:
                return
            for record in page.records:
                if record.offset < end:
                    collector.add(record.offset, record.time, record.body)
            begin = page.records[-1].offset + 1

    async def append(
        self,
        kind: str,
        body: dict[str, Any],
        epoch: int = records.NO_EPOCH,
        timeout_s: float = 5.0,
    ) -> folds.Outcome:
        """Append a record and wait until it is read back.

        Given up on or cancelled, the record may still land, but only
        until the next one of this journal does: from then on the fold
        takes it for a copy. ``settle`` brings that about.

        Returns:
          What the fold made of it.

        Raises:
          LogRefused: it was certainly not taken and never will be.
          AppendUnknown: given up; it may still land.
        """
        loop = asyncio.get_running_loop()
        begun_at = loop.time()
        try:
            async with timers.limit(timeout_s):
                await self.caught_up.wait()
                await self.lock.acquire()
        except TimeoutError:
            raise self.refused(f"not sent within {timeout_s:g} s") from None
        try:
            self.sequence += 1
            record_id = records.RecordId(self.writer, self.sequence)
            record = records.Record(
                record_id, kind, epoch, body, self.fold.next
            )
            waiter = self.waiting[self.sequence] = loop.create_future()
            left_s = begun_at + timeout_s - loop.time()
            try:
                with timers.Deadline(max(LEAST_S, left_s)) as deadline:
                    return await self.push(record, waiter, deadline)
            finally:
                self.waiting.pop(record_id.sequence, None)
        finally:
            self.lock.release()

    async def settle(self, timeout_s: float = 5.0) -> None:
        """Decide all earlier appends of this journal.

        Afterwards each of them has been applied or never will be.

        Raises:
          LogError: not done yet.
        """
        await self.append(folds.FENCE, {}, timeout_s=timeout_s)

    async def push(
        self,
        record: records.Record,
        waiter: "asyncio.Future[folds.Outcome]",
        deadline: timers.Deadline,
    ) -> folds.Outcome:
        """Append until the record is read back or time is over.

        A lost answer is met by appending again under the same id, since
        the fold ignores the second.
        """
        data = records.encode(record)
        if len(data) > self.record_limit:
            raise self.refused(f"{len(data)} bytes are over the limit")
        tried = attempt.Attempt()
        pause = PAUSE_S
        while (left := deadline.left()) > 0:
            wait_s = left
            try:
                async with timers.limit(left):
                    await self.send(self.stream, data)
                tried.on_accepted()
            except TimeoutError:
                tried.on_timeout()
            except errors.LogError as error:
                tried.on_error(error)
                wait_s = READ_BACK_S
                if isinstance(error, errors.LogRefused):
                    wait_s = pause * (0.5 + self.rng.random())
                    pause = min(pause * 2, MAX_PAUSE_S)
            wait_s = min(wait_s, deadline.left())
            done, _ = await asyncio.wait({waiter}, timeout=wait_s)
            if done:
                break
        if waiter.done():
            return waiter.result()
        raise tried.final_error(self.stream)

    def refused(self, message: str) -> errors.LogRefused:
        """Return the error of a record that never reached the log."""
        return errors.LogRefused(message, step="append", peer=self.stream)
