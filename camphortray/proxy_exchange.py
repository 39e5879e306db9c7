"""Runs one online request: attempts at engines and the caller's answer.

This module holds what does not depend on the protocol of the request:
attempts, answers streamed to the caller, and streams resumed at another
engine. Subclasses choose the engine and handle failures: ``forwarder`` for
opaque requests, ``completing`` for completions.
"""

__all__ = ["EVENTS", "Exchange", "Try"]

import abc
import traceback

from camphortray import engine
from camphortray import errors
from camphortray import eventstream
from camphortray import httpserver
from camphortray import logs

LOG = logs.logger("exchange")
EVENTS = "text/event-stream"
Headers = tuple[tuple[str, str], ...]


class Try(abc.ABC):
    """One attempt at an engine, with callbacks on its progress.

    Attributes:
      upstream: The engine.
      client: Client of the engine.
    """

    def __init__(
        self, upstream: engine.Upstream, client: engine.Engine
    ) -> None:
        self.upstream = upstream
        self.client = client

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


class Exchange(abc.ABC):
    """One request, until its answer has ended.

    Attributes:
      response: Response to the caller.
      framing: Cuts the streams of all engines into complete events.
      takes_events: Whether a streamed answer is sent on as it arrives.
      ran: Number of attempts that may have run.
      refused: Number of attempts that certainly did not run.
      tried: Names of the engines tried.
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
    def handle_failure(
        self, attempt: Try, error: errors.UpstreamError
    ) -> bool:
        """Handle a failed attempt; return whether another one follows.

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
        """Return the longest wait for a stream's first bytes, in seconds."""

    @abc.abstractmethod
    def silence_limit_s(self) -> float:
        """Return the longest silence within a stream, in seconds."""

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
        while True:
            attempt = await self.next_try()
            try:
                await self.run_attempt(attempt)
            except errors.UpstreamError as error:
                if not self.handle_failure(attempt, error):
                    return
            else:
                self.on_answered()
                return

    async def run_attempt(self, attempt: Try) -> None:
        """Run the request at one engine.

        Raises:
          UpstreamError: there is no complete answer.
        """
        ended: BaseException | None = None
        try:
            fresh = self.tries > 0
            request = self.request_for(attempt)
            self.tried |= {attempt.upstream.name}
            # Counted as run until the engine shows that it did not run.
            self.ran += 1
            stream = await attempt.client.open(
                attempt.upstream, request, fresh
            )
            try:
                await self.pass_on(stream, attempt)
            finally:
                stream.close()
        except errors.UpstreamError as error:
            ended = error
            if not error.ran:
                self.ran -= 1
                self.refused += 1
            raise
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
            await attempt.ended(ended)

    async def pass_on(self, stream: engine.EngineStream, attempt: Try) -> None:
        """Send the answer of an engine to the caller.

        Raises:
          UpstreamError: the answer is incomplete.
        """
        streamed = stream.content_type.startswith(EVENTS)
        if self.takes_events and streamed and stream.status // 100 == 2:
            await self.pass_events(stream, attempt)
        else:
            await self.pass_whole(stream, attempt)

    async def pass_events(
        self, stream: engine.EngineStream, attempt: Try
    ) -> None:
        """Send complete events to the caller until the stream ends.

        The response headers are sent with the first event, so that
        before it the request can be refused or tried at another engine.

        Raises:
          UpstreamError: the stream was cut off, or silent for too long.
        """
        framing, response, on_more = self.framing, self.response, attempt.more
        head = self.head_of(stream)

        def send(data: bytes) -> bool:
            whole = framing.feed(data)
            if whole:
                if not response.status:
                    self.on_first()
                    response.start(stream.status, head)
                response.write(whole)
            return response.blocked

        def sink(data: bytes) -> bool:
            on_more()
            return send(data)

        first = await stream.read(self.first_limit_s())
        if first:
            attempt.first()
            send(first)
            limit_s = self.silence_limit_s()
            while not await stream.pipe(sink, limit_s):
                await response.flush()
        # Events of the engines before do not make an empty answer whole.
        empty = not first and not stream.end_marked
        if empty or not framing.whole:
            raise errors.UpstreamBroken(
                "the stream ended early",
                ran=True,
                step="stream",
                peer=attempt.upstream.name,
            )
        response.end()
