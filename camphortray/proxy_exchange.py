"""Runs one online request: attempts at engines and the caller's answer.

This module holds what does not depend on the protocol of the request:
attempts, answers streamed to the caller, and streams resumed at another
engine. Subclasses choose the engine and handle failures: ``forwarder`` for
opaque requests, ``completing`` for completions.
"""

__all__ = ["EVENTS", "Exchange", "Try"]

import abc
import asyncio
import traceback

from camphortray import engine
from camphortray import engine_failover
from camphortray import enginehealth
from camphortray import errors
from camphortray import eventstream
from camphortray import httpserver
from camphortray import logs

LOG = logs.logger("exchange")
EVENTS = "text/event-stream"
Headers = tuple[tuple[str, str], ...]


Try = engine_failover.Try


class Exchange(engine_failover.Owner):
    """One request, until its answer has ended.

    Attributes:
      response: Response to the caller.
      framing: Cuts the streams of all engines into complete events.
      takes_events: Whether a streamed answer is sent on as it arrives.
      ran: Number of attempts that may have run.
      refused: Number of attempts that certainly did not run.
      tried: Names of the engines tried.
      present: The last attempt whose answer was to be sent; None before one.
      seek_s: Silence within the present answer after which another engine is
        sought, in seconds; 0 for none.
      failover: Seeks another engine if that of the request is silent.
    """

    def __init__(
        self,
        response: httpserver.Response,
        framing: eventstream.Framing,
        takes_events: bool,
    ) -> None:
        self.response = response
        self.framing = framing
        self.takes_events = takes_events
        self.ran = 0
        self.refused = 0
        self.tried: frozenset[str] = frozenset()
        self.present: Try | None = None
        self.seek_s = 0.0
        self.failover = engine_failover.EngineFailover(self)

    # Defined by subclasses.

    @abc.abstractmethod
    async def next_try(self) -> Try:
        """Return the next attempt.

        Raises:
          Refused: no engine is available for the attempt.
        """

    @abc.abstractmethod
    def request_for(self, attempt: Try) -> engine.EngineRequest:
        """Return the request to send to the engine of an attempt."""

    @abc.abstractmethod
    def decide_on_failure(
        self, attempt: Try, error: errors.UpstreamError
    ) -> bool:
        """Return whether another attempt follows one that failed.

        Raises:
          Refused: none follows, and no complete answer has been sent.
        """

    @abc.abstractmethod
    async def pass_whole(
        self, stream: engine.EngineStream, attempt: Try
    ) -> None:
        """Send an answer that is not an event stream to the caller.

        Raises:
          UpstreamError: the answer is incomplete, or another engine may
            succeed.
        """

    @abc.abstractmethod
    def head_of(self, stream: engine.EngineStream) -> Headers:
        """Return the headers with which a stream is sent to the caller."""

    @abc.abstractmethod
    def first_limit_s(self) -> float:
        """Return the longest wait for a stream's first bytes, in seconds.

        A longer one ends the attempt.
        """

    @abc.abstractmethod
    def silence_limit_s(self) -> float:
        """Return the longest silence within a stream, in seconds.

        A longer one ends the attempt.
        """

    def seek_after_s(self, begun: bool) -> float:
        """Return the silence after which another engine is sought.

        Args:
          begun: Whether the engine has begun to answer.

        Returns:
          Seconds; 0 if none is sought beside an attempt.
        """
        return 0.0

    def may_move(self) -> bool:
        return False

    def on_silence(self) -> None:
        pass

    def overlap_s(self, attempt: Try) -> float:
        return engine_failover.OVERLAP_S

    async def next_successor(self) -> Try:
        return await self.next_try()

    def on_silence_end(
        self, end: engine_failover.Silence, silent_s: float
    ) -> None:
        pass

    def on_head(self) -> None:
        """Called once the present engine has begun to answer.

        The first bytes of a stream may follow later.
        """

    def on_first(self) -> None:
        """Called before the first event is sent to the caller."""

    def on_answered(self) -> None:
        """Called once the caller has a complete answer of an engine."""

    # Common to all protocols.

    @property
    def tries(self) -> int:
        """Number of attempts made."""
        return self.ran + self.refused

    async def run(self) -> None:
        """Try engines until the caller has its answer.

        Raises:
          Refused: no engine gave a complete answer, or none was available.
        """
        attempt: Try | None = await self.next_try()
        try:
            while attempt is not None:
                try:
                    await self.run_attempt(attempt)
                except errors.UpstreamError as error:
                    attempt = await self.following(attempt, error)
                else:
                    self.on_answered()
                    return
        finally:
            self.failover.stop()

    async def following(
        self, attempt: Try, error: errors.UpstreamError
    ) -> Try | None:
        """Return the attempt that follows one that failed, if any does.

        Raises:
          Refused: none follows, and no complete answer has been sent.
        """
        successor = self.failover.take()
        self.note_failure(attempt, error)
        if successor is not None:
            self.framing.restart()
            return successor
        if not self.decide_on_failure(attempt, error):
            return None
        return await self.next_try()

    async def run_attempt(self, attempt: Try) -> None:
        """Run the request at one engine.

        Raises:
          UpstreamError: there is no complete answer.
        """
        self.present = attempt
        ended: BaseException | None = None
        try:
            await self.run_until_replaced(attempt)
        except errors.CamphortrayError as error:
            ended = error
            raise
        except Exception as error:
            # An unexpected error ends only this attempt; else the caller
            # gets 500 although another engine is available.
            LOG.error(
                "Attempt at {} failed with an unexpected error: {}",
                attempt.upstream.name,
                "".join(traceback.format_exception(error)),
            )
            fault = errors.UpstreamFault(
                repr(error), step="try", peer=attempt.upstream.name
            )
            ended = fault
            raise fault from error
        except BaseException as error:
            ended = error
            raise
        finally:
            await self.conclude(attempt, ended)

    async def conclude(
        self, attempt: Try, error: BaseException | None
    ) -> None:
        if attempt.concluded:
            return
        attempt.concluded = True
        if isinstance(error, errors.UpstreamError) and not error.ran:
            self.ran -= 1
            self.refused += 1
        await attempt.ended(error)

    async def run_until_replaced(self, attempt: Try) -> None:
        """Run the request at one engine, until another has replaced it.

        Raises:
          UpstreamError: there is no complete answer.
        """
        interruption = asyncio.timeout(None)
        try:
            async with interruption:
                self.failover.interruption = interruption
                opened = await self.opened(attempt)
                try:
                    await self.pass_on(opened, attempt)
                finally:
                    opened.stream.close()
        except TimeoutError:
            if not interruption.expired():
                raise
            silent_s = self.failover.silent_s
            attempt.client.distrust(attempt.upstream, silent_s)
            raise self.replaced(attempt) from None
        finally:
            self.failover.interruption = None

    def replaced(self, attempt: Try) -> errors.UpstreamTimeout:
        """Return the error of an attempt that another has replaced."""
        return errors.UpstreamTimeout(
            f"silent for {self.failover.silent_s:.3g} s",
            ran=True,
            step="read",
            peer=attempt.upstream.name,
            paused_s=self.failover.paused_s,
        )

    async def opened(self, attempt: Try) -> engine_failover.Opened:
        """Return the answer of an attempt, once it has begun.

        Raises:
          UpstreamError: there is none.
        """
        if limit_s := self.seek_after_s(begun=False):
            self.failover.watch(limit_s)
        if attempt.opening is None:
            return await self.open(attempt)
        try:
            return await attempt.opening
        except asyncio.CancelledError:
            # It may have begun at the same moment.
            self.failover.drop(attempt)
            raise

    async def open(self, attempt: Try) -> engine_failover.Opened:
        fresh = self.tries > 0
        request = self.request_for(attempt)
        self.tried |= {attempt.upstream.name}
        # Counted as run until the engine shows that it did not run.
        self.ran += 1
        stream = await attempt.client.open(attempt.upstream, request, fresh)
        if attempt is self.present and self.failover.successor is None:
            self.on_head()
        if not self.passes_events(stream):
            return engine_failover.Opened(stream, b"")
        try:
            first = await self.read_first(stream, attempt)
        except BaseException:
            stream.close()
            raise
        return engine_failover.Opened(stream, first)

    async def read_first(
        self, stream: engine.EngineStream, attempt: Try
    ) -> bytes:
        """Return the first bytes of a stream.

        Beside a silent engine they hold an event: comments and a part of one
        are no better than silence.
        """
        first = await stream.read(self.first_limit_s())
        while attempt is self.failover.candidate:
            if eventstream.has_event(first):
                break
            more = await stream.read(self.first_limit_s())
            if not more:
                break
            first += more
        return first

    def check_opened(
        self, attempt: Try, opened: engine_failover.Opened
    ) -> None:
        stream, peer = opened.stream, attempt.upstream.name
        if self.passes_events(stream):
            ends = stream.end_marked and not opened.first
            begun = self.response.status and self.framing.whole
            opened.empty = bool(ends and begun)
            if not opened.empty and not eventstream.has_event(opened.first):
                stream.close()
                raise errors.UpstreamBroken(
                    "a stream without events", ran=True, step="open", peer=peer
                )
            try:
                self.framing.check_begin(opened.first)
            except errors.UpstreamBroken:
                stream.close()
                raise
        elif not self.ends_request(stream):
            stream.close()
            raise errors.UpstreamRefused(
                f"status {stream.status}",
                status=stream.status,
                ran=True,
                step="open",
                peer=peer,
            )

    async def read_ahead(
        self, attempt: Try, opened: engine_failover.Opened
    ) -> None:
        if self.passes_events(opened.stream):
            return
        opened.stream = ahead = engine_failover.ReadAhead(opened.stream)
        await ahead.fill(self.first_limit_s())
        if ahead.ended:
            self.check_body(b"".join(ahead.parts), attempt)

    def check_body(self, body: bytes, attempt: Try) -> None:
        """Check that an answer in one piece is complete.

        Raises:
          UpstreamBroken: it is not.
        """

    def passes_events(self, stream: engine.EngineStream) -> bool:
        """Return whether an answer is sent on event by event."""
        streamed = stream.content_type.startswith(EVENTS)
        return self.takes_events and streamed and stream.status // 100 == 2

    def ends_request(self, stream: engine.EngineStream) -> bool:
        """Return whether an answer that is no stream is one to send on."""
        failed = stream.status >= enginehealth.SERVER_ERROR
        return not failed and not self.response.status

    async def pass_on(
        self, opened: engine_failover.Opened, attempt: Try
    ) -> None:
        """Send the answer of an engine to the caller.

        Raises:
          UpstreamError: the answer is incomplete.
        """
        if self.passes_events(opened.stream):
            await self.pass_events(opened, attempt)
        else:
            if self.ends_request(opened.stream):
                self.failover.on_whole_answer()
            self.failover.pause()
            await self.pass_whole(opened.stream, attempt)

    async def pass_events(
        self, opened: engine_failover.Opened, attempt: Try
    ) -> None:
        """Send complete events to the caller until the stream ends.

        The response headers are sent with the first event, so that
        before it the request can be refused or tried at another engine.

        Raises:
          UpstreamError: the stream was cut off, or another engine goes on
            with it.
        """
        stream, first, on_more = opened.stream, opened.first, attempt.more
        self.seek_s = self.seek_after_s(begun=True)

        def sink(data: bytes) -> bool:
            on_more()
            return self.send_events(stream, data)

        if first:
            attempt.first()
            self.send_events(stream, first)
            limit_s = self.silence_limit_s()
            while not await stream.pipe(sink, limit_s):
                await self.flush()
        if self.failover.successor is not None:
            raise self.replaced(attempt)
        # Events of the engines before do not make an empty answer whole.
        empty = not first and not stream.end_marked
        if empty or not self.framing.whole:
            raise errors.UpstreamBroken(
                "the stream ended early",
                ran=True,
                step="stream",
                peer=attempt.upstream.name,
            )
        self.response.end()

    def send_events(self, stream: engine.EngineStream, data: bytes) -> bool:
        """Send the events that a chunk completes to the caller.

        Returns:
          Whether to give it no more for now.
        """
        if self.failover.successor is not None:
            # It goes on behind what has been sent by now.
            return True
        response = self.response
        whole = self.framing.feed(data)
        if whole:
            # Bytes that complete no event are no better than silence.
            if self.seek_s:
                self.failover.watch(self.seek_s)
            if not response.status:
                self.on_first()
                response.start(stream.status, self.head_of(stream))
            response.write(whole)
        return response.blocked

    async def flush(self) -> None:
        """Wait until the caller has room for more."""
        self.failover.pause()
        await self.response.flush()
        if self.seek_s and self.failover.successor is None:
            self.failover.watch(self.seek_s)
