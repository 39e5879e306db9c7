"""Hands a request over from a silent engine to another one that answers.

A silent engine may be lost, or go on a moment later. It keeps the request
until another engine has a slot for it and has begun to answer, or has had time
to; if it speaks before that, the other one is dropped.
"""

__all__ = [
    "EngineFailover",
    "Opened",
    "Owner",
    "ReadAhead",
    "Silence",
    "Try",
    "observe",
]

import abc
import asyncio
import collections
import contextlib
import enum
import traceback

from camphortray import engine
from camphortray import errors
from camphortray import logs
from camphortray import metrics as metrics_module
from camphortray import tasks
from camphortray import timers

LOG = logs.logger("failover")
# Longest time in seconds for which two engines work on one request, unless
# its owner says otherwise.
OVERLAP_S = 0.25
# Silence in seconds after which an engine is left for one that has nothing to
# add to the answer.
EMPTY_AFTER_S = 2.0
# Seconds after which a slot that was refused is requested again.
RETRY_S = 0.15
# Seconds after which a search that was refused begins again: what it was
# refused for, as a quarantine or a missing version, may be over.
REFUSED_RETRY_S = 0.5


class Silence(enum.Enum):
    """How the silence of an engine ended, for the request that it ran."""

    SPOKE = "spoke"
    MOVED = "moved"
    LOST = "lost"


def observe(
    metrics: metrics_module.Metrics, end: Silence, silent_s: float
) -> None:
    """Count a silence that has ended."""
    metrics.observe(
        "camphortray_silence_seconds",
        "Silences of engines beyond the limit after which another engine is"
        " sought, by how they ended.",
        {"end": end.value},
        silent_s,
    )


# Bytes of an answer in one piece that are read before it is to be sent.
MAX_AHEAD_BYTES = 1024 * 1024


class Opened:
    """An answer that has begun.

    Attributes:
      stream: The answer.
      first: Its first bytes, if it is a stream of events.
      empty: Whether it ends the answer of another engine and adds nothing.
    """

    def __init__(self, stream: engine.EngineStream, first: bytes) -> None:
        self.stream = stream
        self.first = first
        self.empty = False


class ReadAhead(engine.EngineStream):
    """An answer that may be read before it is to be sent.

    Attributes:
      stream: The answer.
      parts: What has been read ahead.
      ended: Whether that is all of it.
      lock: Held by the one that reads the stream.
    """

    def __init__(self, stream: engine.EngineStream) -> None:
        self.stream = stream
        self.status = stream.status
        self.content_type = stream.content_type
        self.headers = stream.headers
        self.end_marked = stream.end_marked
        self.parts: collections.deque[bytes] = collections.deque()
        self.ended = False
        self.lock = asyncio.Lock()

    async def fill(self, timeout_s: float) -> None:
        """Read to the end; see ``read`` for what is raised."""
        async with self.lock:
            size = 0
            while data := await self.stream.read(timeout_s):
                self.parts.append(data)
                size += len(data)
                if size > MAX_AHEAD_BYTES:
                    # The rest is read once it is to be sent.
                    return
            engine.check_ended(self.stream, bool(size))
            self.ended = True

    async def read(self, timeout_s: float) -> bytes:
        # ``fill``, if it is cancelled, first has to end its wait.
        async with self.lock:
            if self.parts:
                return self.parts.popleft()
            if self.ended:
                # Its connection may carry another answer by now.
                return b""
            return await self.stream.read(timeout_s)

    def close(self) -> None:
        self.stream.close()


class Try(abc.ABC):
    """One attempt at an engine, with callbacks on its progress.

    Attributes:
      upstream: The engine.
      client: Client of the engine.
      opening: Opens the answer, if it is opened beside another attempt.
      concluded: Whether its end has been recorded.
    """

    def __init__(
        self, upstream: engine.Upstream, client: engine.Engine
    ) -> None:
        self.upstream = upstream
        self.client = client
        self.opening: asyncio.Task[Opened] | None = None
        self.concluded = False

    def first(self) -> None:
        """Handle the arrival of the first bytes of a stream."""

    def more(self) -> None:
        """Handle the arrival of each later chunk of a stream."""

    @abc.abstractmethod
    async def ended(self, error: BaseException | None) -> None:
        """Release what the attempt holds; called once.

        Args:
          error: None for a complete answer, else what ended the attempt.
            For other errors than ``UpstreamError`` this must not block:
            the caller may have disconnected, or the deadline passed.
        """


class Owner(abc.ABC):
    """The request whose engine may be silent."""

    @abc.abstractmethod
    def may_move(self) -> bool:
        """Return whether another attempt is allowed."""

    @abc.abstractmethod
    def on_silence(self) -> None:
        """Called as the engine exceeds the limit on its silence."""

    @abc.abstractmethod
    def overlap_s(self, attempt: Try) -> float:
        """Return how long an attempt may be opened beside the present one.

        After that many seconds it replaces the present one, answer or not.
        """

    @abc.abstractmethod
    async def next_successor(self) -> Try:
        """Wait for a slot; return an attempt in it.

        Raises:
          NoSlot: there is none now.
          Refused: the request may not run elsewhere now.
        """

    @abc.abstractmethod
    async def open(self, attempt: Try) -> Opened:
        """Send the request to an engine; return its answer as it begins.

        Raises:
          UpstreamError: there is none.
        """

    @abc.abstractmethod
    def check_opened(self, attempt: Try, opened: Opened) -> None:
        """Check that an answer is worth more than a silent engine.

        Raises:
          UpstreamError: it is an error, or has no content.
        """

    @abc.abstractmethod
    async def read_ahead(self, attempt: Try, opened: Opened) -> None:
        """Read an answer in one piece to its end; it may be cancelled.

        Raises:
          UpstreamError: it is incomplete.
        """

    @abc.abstractmethod
    async def conclude(
        self, attempt: Try, error: BaseException | None
    ) -> None:
        """Record the end of an attempt, unless it has been recorded."""

    @abc.abstractmethod
    def note_failure(self, attempt: Try, error: errors.UpstreamError) -> None:
        """Log and count an attempt that failed."""

    @abc.abstractmethod
    def on_silence_end(self, end: Silence, silent_s: float) -> None:
        """Log and count how a silence ended."""


class EngineFailover:
    """Watches the engine of one request, and seeks another if it is silent.

    Attributes:
      owner: The request.
      timer: Limit on the silence of the engine; None before it is first set.
      interruption: Interrupts the present attempt; None if there is none.
      search: Seeks another engine; None while the engine is not silent.
      candidate: Attempt that is being opened beside the present one.
      successor: Attempt that has replaced the present one.
      silent: Whether the engine has exceeded the limit on its silence.
      ending: Ends attempts that were dropped.
    """

    def __init__(self, owner: Owner) -> None:
        self.owner = owner
        self.timer: timers.LazyTimer | None = None
        self.interruption: asyncio.Timeout | None = None
        self.search: asyncio.Task[None] | None = None
        self.candidate: Try | None = None
        self.successor: Try | None = None
        self.silent = False
        self.ending: set[asyncio.Task[None]] = set()

    # The present engine.

    def watch(self, limit_s: float) -> None:
        """Note that the engine has spoken, and limit its next silence."""
        if self.timer is None:
            self.timer = timers.LazyTimer(self.on_silence)
        if self.silent:
            self.end_silence(Silence.SPOKE)
        self.timer.set(limit_s)

    def pause(self) -> None:
        """Do not limit the silence of the engine until ``watch`` is called."""
        if self.timer is not None:
            self.timer.pause()

    def on_whole_answer(self) -> None:
        """Note that the engine has begun an answer that is no stream."""
        if self.silent and self.successor is None:
            self.end_silence(Silence.SPOKE)

    @property
    def silent_s(self) -> float:
        """Seconds since the engine has last spoken."""
        timer = self.timer
        return timer.loop.time() - timer.set_at if timer is not None else 0.0

    @property
    def paused_s(self) -> float:
        """Seconds that this process stood still since then, as noticed."""
        return self.timer.paused_s if self.timer is not None else 0.0

    def on_silence(self) -> None:
        """Seek another engine, if the request may move."""
        self.silent = True
        self.owner.on_silence()
        if self.owner.may_move():
            loop = asyncio.get_running_loop()
            self.search = loop.create_task(self.search_once())

    def end_silence(self, end: Silence) -> None:
        """Record how a silence ended, and end the search."""
        self.silent = False
        self.owner.on_silence_end(end, self.silent_s)
        self.end_search()
        if self.candidate is not None:
            self.drop(self.candidate)
            self.candidate = None

    def end_search(self) -> None:
        """End the search for another engine."""
        if self.search is not None:
            self.search.cancel()
            self.search = None

    # Another engine.

    async def search_once(self) -> None:
        """Seek another engine; an unexpected error ends the search alone."""
        try:
            await self.seek()
        except Exception as error:
            LOG.error(
                "Search for another engine failed: {}",
                "".join(traceback.format_exception(error)),
            )

    async def seek(self) -> None:
        """Try engines until one has begun to answer, or has had time to."""
        while self.owner.may_move():
            try:
                attempt = await self.owner.next_successor()
                replaces = await self.begin(attempt)
            except errors.NoSlot:
                await asyncio.sleep(RETRY_S)
                continue
            except errors.Refused:
                await asyncio.sleep(REFUSED_RETRY_S)
                continue
            if replaces:
                self.replace(attempt)
                return

    async def begin(self, attempt: Try) -> bool:
        """Open an attempt; return whether it may replace the present one."""
        loop = asyncio.get_running_loop()
        attempt.opening = loop.create_task(self.open(attempt))
        self.candidate = attempt
        limit_s = self.owner.overlap_s(attempt)
        try:
            with contextlib.suppress(TimeoutError):
                async with timers.limit(limit_s):
                    await asyncio.wait({attempt.opening})
                    if (opened := opened_by(attempt.opening)) is not None:
                        await self.owner.read_ahead(attempt, opened)
        except Exception as error:
            self.candidate = None
            self.drop(attempt, error)
            if not isinstance(error, errors.UpstreamError):
                raise
            self.owner.note_failure(attempt, error)
            return False
        if is_empty(attempt.opening):
            # The silent engine may have more, or be lost at the end.
            await asyncio.sleep(max(0.0, EMPTY_AFTER_S - self.silent_s))
        self.candidate = None
        if not attempt.opening.done():
            return True
        failure = attempt.opening.exception()
        if failure is None:
            return True
        if not isinstance(failure, errors.UpstreamError):
            raise failure
        self.owner.note_failure(attempt, failure)
        return False

    async def open(self, attempt: Try) -> Opened:
        """Open an attempt; record its end if that fails."""
        try:
            opened = await self.owner.open(attempt)
            if attempt is self.candidate:
                self.owner.check_opened(attempt, opened)
            return opened
        except BaseException as error:
            await self.owner.conclude(attempt, error)
            raise

    def replace(self, attempt: Try) -> None:
        """Let an attempt replace the present one."""
        self.search = None
        self.successor = attempt
        self.interrupt()

    def interrupt(self) -> None:
        """End the present attempt, as if it had failed."""
        if self.interruption is not None:
            now = asyncio.get_running_loop().time()
            self.interruption.reschedule(now)

    def take(self) -> Try | None:
        """Return the attempt to go on with, as the present one has ended.

        That is one that has replaced it or is being opened beside it.
        """
        self.pause()
        found = self.successor or self.candidate
        self.successor = self.candidate = None
        if self.silent:
            self.end_silence(Silence.MOVED if found else Silence.LOST)
        return found

    def stop(self) -> None:
        """Drop everything, as the request has ended."""
        if self.timer is not None:
            self.timer.stop()
        if self.silent:
            self.end_silence(Silence.LOST)
        if self.successor is not None:
            self.drop(self.successor)
            self.successor = None

    def drop(self, attempt: Try, error: Exception | None = None) -> None:
        """End an attempt that is not needed, or has failed."""
        task = tasks.spawn("end of an attempt", self.end(attempt, error))
        self.ending.add(task)
        task.add_done_callback(self.ending.discard)

    async def end(self, attempt: Try, error: Exception | None) -> None:
        """Close the answer of an attempt and record its end."""
        assert attempt.opening is not None
        attempt.opening.cancel()
        await asyncio.wait({attempt.opening})
        if not attempt.opening.cancelled():
            if attempt.opening.exception() is None:
                attempt.opening.result().stream.close()
        await self.owner.conclude(attempt, error or asyncio.CancelledError())


def opened_by(opening: asyncio.Task[Opened]) -> Opened | None:
    """Return the answer that a task has opened, if there is one."""
    if not opening.done() or opening.cancelled() or opening.exception():
        return None
    return opening.result()


def is_empty(opening: asyncio.Task[Opened]) -> bool:
    """Return whether an answer has been opened that adds nothing."""
    opened = opened_by(opening)
    return opened is not None and opened.empty
