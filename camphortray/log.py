"""The platform's append-only log: its base class and one in memory."""

__all__ = ["LOG_SERVICES", "LogRecord", "LogService", "MemoryLog", "Page"]

import abc
import asyncio

import msgspec

from camphortray import config as configs
from camphortray import errors
from camphortray import registry

# Most records and bytes asked for in one read.
PAGE_RECORDS = 500
PAGE_BYTES = 4_194_304


class LogRecord(msgspec.Struct, frozen=True):
    """One record as the log keeps it.

    Attributes:
      offset: Its place in the stream, from 0.
      time: When the log took it, in seconds since 1970; for people and
        for retention, never for a decision that hosts must share.
      body: Bytes as appended.
    """

    offset: int
    time: float
    body: bytes


class Page(msgspec.Struct, frozen=True):
    """Some records of a stream, in order and without gaps.

    Attributes:
      first: Offset of the oldest record the log still keeps.
      next: Offset that the next new record will get.
      records: From the offset asked for; may be empty.
    """

    first: int
    next: int
    records: tuple[LogRecord, ...]


class LogService(abc.ABC):
    """Streams of records with offsets; one total order a stream."""

    @classmethod
    @abc.abstractmethod
    def from_config(cls, config: configs.PlatformConfig) -> "LogService":
        """Build from settings."""

    @abc.abstractmethod
    async def append(self, stream: str, body: bytes) -> int:
        """Append a record.

        Returns:
          Its offset.

        Raises:
          LogRefused: the log certainly did not take it.
          LogUnavailable: it may have been taken.
        """

    @abc.abstractmethod
    async def read(
        self, stream: str, offset: int, wait_s: float = 0.0
    ) -> Page:
        """Read on from ``offset``, waiting up to ``wait_s`` for more.

        Past the end of the stream, and without a wait, the page is
        empty and tells where the stream starts and ends.

        Raises:
          LogTruncated: ``offset`` lies before the first kept record.
          LogUnavailable: the log did not answer.
        """

    async def close(self) -> None:
        """Release connections."""


LOG_SERVICES: registry.Registry[LogService] = registry.Registry("log")


class Stream:
    """One stream held in memory."""

    def __init__(self) -> None:
        self.first = 0
        self.records: list[LogRecord] = []
        self.waiters: list[asyncio.Future[None]] = []

    @property
    def next(self) -> int:
        """Offset of the next record."""
        return self.first + len(self.records)

    def add(self, time: float, body: bytes) -> int:
        """Add a record and wake readers."""
        offset = self.next
        self.records.append(LogRecord(offset, time, body))
        self.wake()
        return offset

    def wake(self) -> None:
        """Wake readers."""
        waiters, self.waiters = self.waiters, []
        for waiter in waiters:
            if not waiter.done():
                waiter.set_result(None)

    def page(self, offset: int) -> Page:
        """Return a page from ``offset``."""
        start = offset - self.first
        chosen: list[LogRecord] = []
        size = 0
        for record in self.records[start : start + PAGE_RECORDS]:
            size += len(record.body)
            if chosen and size > PAGE_BYTES:
                break
            chosen.append(record)
        return Page(self.first, self.next, tuple(chosen))

    def truncate(self, first: int) -> None:
        """Forget all records before ``first``."""
        drop = min(max(first - self.first, 0), len(self.records))
        del self.records[:drop]
        self.first += drop


@LOG_SERVICES.register("memory")
class MemoryLog(LogService):
    """A log in memory, for tests; faults are plain attributes.

    Attributes:
      down: Whether it refuses to answer.
      lose_answers: Number of coming appends that take effect but whose
        answer is lost.
      delay_s: Time before each answer.
      appends: Appends taken so far.
    """

    def __init__(self, record_limit: int = 1_048_576) -> None:
        self.streams: dict[str, Stream] = {}
        self.record_limit = record_limit
        self.down = False
        self.lose_answers = 0
        self.delay_s = 0.0
        self.appends = 0

    @classmethod
    def from_config(cls, config: configs.PlatformConfig) -> "MemoryLog":
        return cls()

    def stream(self, name: str) -> Stream:
        """Return a stream, made on first use."""
        return self.streams.setdefault(name, Stream())

    def truncate(self, stream: str, first: int) -> None:
        """Forget the records before ``first``."""
        self.stream(stream).truncate(first)

    async def append(self, stream: str, body: bytes) -> int:
        if self.delay_s:
            await asyncio.sleep(self.delay_s)
        if self.down:
            raise errors.LogUnavailable("down", step="append", peer=stream)
        if len(body) > self.record_limit:
            raise errors.LogRefused(
                f"record of {len(body)} bytes is over the limit",
                step="append",
                peer=stream,
            )
        self.appends += 1
        now = asyncio.get_running_loop().time()
        offset = self.stream(stream).add(now, body)
        if self.lose_answers > 0:
            self.lose_answers -= 1
            raise errors.LogUnavailable(
                "answer lost", step="append", peer=stream
            )
        return offset

    async def read(
        self, stream: str, offset: int, wait_s: float = 0.0
    ) -> Page:
        if self.delay_s:
            await asyncio.sleep(self.delay_s)
        self.check(stream, offset)
        held = self.stream(stream)
        if offset >= held.next and wait_s > 0:
            waiter = asyncio.get_running_loop().create_future()
            held.waiters.append(waiter)
            await asyncio.wait({waiter}, timeout=wait_s)
            self.check(stream, offset)
        return held.page(offset)

    def check(self, stream: str, offset: int) -> None:
        """Raise what a real log would."""
        if self.down:
            raise errors.LogUnavailable("down", step="read", peer=stream)
        first = self.stream(stream).first
        if offset < first:
            raise errors.LogTruncated(first, step="read", peer=stream)
