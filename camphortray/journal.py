"""Follows one stream into its fold and appends with read-back."""

__all__ = ["Journal"]

import asyncio
from collections.abc import Callable
import contextlib
import random
from typing import Any

from camphortray import errors
from camphortray import fold as folds
from camphortray import log
from camphortray import logs
from camphortray import records

LOG = logs.logger("journal")
# Longest long poll for new records, in seconds.
POLL_S = 10.0
# Pause after a failed call to the log, in seconds; grows to the second.
PAUSE_S = 0.1
MAX_PAUSE_S = 2.0
# Time to look for a record whose answer was lost before appending again.
READ_BACK_S = 0.5


class Journal:
    """One stream as this process sees it.

    Attributes:
      fold: State up to the last record read.
      caught_up: Set once the end of the stream was reached.
      down: Whether the last call to the log failed.
    """

    def __init__(
        self,
        service: log.LogService,
        stream: str,
        fold: folds.Fold,
        writer: records.Writer,
        rng: random.Random,
    ) -> None:
        self.service = service
        self.stream = stream
        self.fold = fold
        self.writer = writer
        self.rng = rng
        self.sequence = 0
        self.lock = asyncio.Lock()
        self.waiting: dict[int, asyncio.Future[folds.Outcome]] = {}
        self.listeners: list[Callable[[folds.Outcome], None]] = []
        self.caught_up = asyncio.Event()
        self.down = False
        self.task: asyncio.Task[None] | None = None
        self.failure = ""

    def start(self) -> None:
        """Begin to follow the stream."""
        self.task = asyncio.get_running_loop().create_task(self.follow())

    async def stop(self) -> None:
        """Stop following."""
        if self.task is not None:
            self.task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self.task

    def listen(self, listener: Callable[[folds.Outcome], None]) -> None:
        """Call ``listener`` after each record is applied."""
        self.listeners.append(listener)

    async def follow(self) -> None:
        """Read on for ever; an outage is waited out."""
        pause = PAUSE_S
        while True:
            try:
                await self.read_on()
                pause = PAUSE_S
                self.down = False
            except errors.LogTruncated as error:
                if not await self.recover(error.first):
                    return
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

    def apply(self, record: log.LogRecord) -> None:
        """Apply one record and tell whoever waits for it."""
        if record.offset < self.fold.next:
            return
        outcome = self.fold.apply(record.offset, record.body)
        if outcome.record is not None:
            self.resolve(outcome, outcome.record.id)
        for listener in self.listeners:
            listener(outcome)

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

    async def recover(self, first: int) -> bool:
        """Start again from the newest usable snapshot.

        A snapshot is usable only while the log still starts at or before
        the record behind what it covers: otherwise records would be
        missing between the two, e.g. a claim, and the state would be
        one that never was.
        """
        try:
            found = await self.find_snapshot(first)
        except errors.LogError as error:
            LOG.warning("{} cannot be read: {}", self.stream, error)
            await asyncio.sleep(MAX_PAUSE_S)
            return True
        if found is None:
            self.failure = f"log starts at {first} and holds no snapshot"
            LOG.error("{}: {}; stopped.", self.stream, self.failure)
            return False
        self.fold.restore(found)
        LOG.notice(
            "{} restored from a snapshot up to {}.",
            self.stream,
            found["covers"],
        )
        return True

    async def find_snapshot(self, first: int) -> dict[str, Any] | None:
        """Return the newest usable snapshot that the log holds."""
        found: dict[str, Any] | None = None
        offset = first
        while True:
            page = await self.service.read(self.stream, offset)
            for held in page.records:
                body = usable_snapshot(held, first)
                if body and (not found or body["covers"] >= found["covers"]):
                    found = body
                offset = held.offset + 1
            if offset >= page.next:
                return found

    async def append(
        self,
        kind: str,
        body: dict[str, Any],
        epoch: int = records.NO_EPOCH,
        timeout_s: float = 5.0,
    ) -> folds.Outcome:
        """Append a record and wait until it is read back.

        Returns:
          What the fold made of it.

        Raises:
          LogRefused: it was certainly not taken.
          AppendUnknown: given up; it may still land.
        """
        async with self.lock:
            self.sequence += 1
            record = records.Record(
                records.RecordId(self.writer, self.sequence),
                kind,
                epoch,
                body,
            )
            loop = asyncio.get_running_loop()
            waiter = self.waiting[self.sequence] = loop.create_future()
            try:
                return await self.push(record, waiter, timeout_s)
            finally:
                self.waiting.pop(record.id.sequence, None)

    async def push(
        self,
        record: records.Record,
        waiter: "asyncio.Future[folds.Outcome]",
        timeout_s: float,
    ) -> folds.Outcome:
        """Append until the record is read back or time is over.

        A lost answer is met by appending again under the same id, since
        the fold ignores the second.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout_s
        data = records.encode(record)
        maybe_taken = False
        pause = PAUSE_S
        last: errors.LogError | None = None
        while loop.time() < deadline:
            left = deadline - loop.time()
            try:
                async with asyncio.timeout(left):
                    await self.service.append(self.stream, data)
                maybe_taken = True
                done, _ = await asyncio.wait({waiter}, timeout=left)
            except TimeoutError:
                maybe_taken = True
                break
            except errors.LogRefused as error:
                last = error
                pause_s = min(left, pause * (0.5 + self.rng.random()))
                done, _ = await asyncio.wait({waiter}, timeout=pause_s)
                pause = min(pause * 2, MAX_PAUSE_S)
            except errors.LogUnavailable as error:
                last = error
                maybe_taken = True
                wait_s = min(READ_BACK_S, left)
                done, _ = await asyncio.wait({waiter}, timeout=wait_s)
            if done:
                return waiter.result()
        if waiter.done():
            return waiter.result()
        if maybe_taken:
            raise errors.AppendUnknown(
                f"not read back in {timeout_s:g} s: {last}",
                step="append",
                peer=self.stream,
            )
        raise errors.LogRefused(
            f"refused for {timeout_s:g} s: {last}",
            step="append",
            peer=self.stream,
        )


def usable_snapshot(held: log.LogRecord, first: int) -> dict[str, Any] | None:
    """Return the body of a snapshot from which a log can be replayed."""
    try:
        record = records.decode(held.body)
    except errors.RecordError:
        return None
    if record.kind != folds.SNAPSHOT:
        return None
    covers = record.body.get("covers", -1)
    return record.body if first <= covers + 1 else None
