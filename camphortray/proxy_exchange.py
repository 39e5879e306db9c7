"""One online request on its way: its tries, its answer, its end.

What is alike whatever the protocol of the request stands here: a try at an
engine, the answer passed on as it comes, a stream that goes on at another
engine. Who finds an engine, and what follows on a failure, is a front's to
say: ``forwarder`` for opaque requests, ``completing`` for completions.
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
    """One try at an engine, told how it goes.

    Attributes:
      upstream: The engine.
      party: Speaks to it.
    """

    def __init__(
        self, upstream: engine.Upstream, party: engine.Engine
    ) -> None:
        self.upstream = upstream
        self.party = party

    def first(self) -> None:
        """Take note: the first bytes of a stream have come."""

    def more(self) -> None:
        """Take note: more bytes have come; runs for each piece."""

    @abc.abstractmethod
    async def ended(self, error: BaseException | None) -> None:
        """Give back what the try held; called once.

        Args:
          error: None for a whole answer, else what ended the try. Where
            that is not an ``UpstreamError`` nothing may be waited for, as
            the caller has gone or its time is over.
        """


class Exchange(abc.ABC):
    """One request until its answer has ended.

    Attributes:
      response: What the caller gets.
      framing: What of a stream the caller has.
      takes_events: Whether a streamed answer is passed on as it comes.
      ran: Tries that may have run.
      refused: Tries that certainly did not.
      tried: Engines tried.
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

    # What a front says.

    @abc.abstractmethod
    async def next_try(self) -> Try:
        """Return where the request is tried next.

        Raises:
          Refused: nowhere.
        """

    @abc.abstractmethod
    def request_for(self, held: Try) -> engine.EngineRequest:
        """Return what is sent to an engine now."""

    @abc.abstractmethod
    def go_on(self, held: Try, error: errors.UpstreamError) -> bool:
        """Return whether a failed try is followed by another.

        Raises:
          Refused: none follows, and the caller has had nothing yet.
        """

    @abc.abstractmethod
    async def pass_whole(self, stream: engine.EngineStream, held: Try) -> None:
        """Pass on an answer that is no stream of events.

        Raises:
          UpstreamError: it is not whole, or another engine may do better.
        """

    @abc.abstractmethod
    def head_of(self, stream: engine.EngineStream) -> Headers:
        """Return the headers that a stream is passed on with."""

    @abc.abstractmethod
    def first_limit_s(self) -> float:
        """Return the silence allowed before a stream's first bytes."""

    @abc.abstractmethod
    def silence_limit_s(self) -> float:
        """Return the silence allowed within a stream."""

    def on_first(self) -> None:
        """Take note: the caller is about to get the first event."""

    def on_answered(self) -> None:
        """Take note: the caller has had a whole answer of an engine."""

    # What is alike.

    @property
    def tries(self) -> int:
        """Tries made."""
        return self.ran + self.refused

    async def run(self) -> None:
        """Try engines until the caller has its answer.

        Raises:
          Refused: it could not be had, and nothing has been sent yet.
        """
        while True:
            held = await self.next_try()
            try:
                await self.attempt(held)
            except errors.UpstreamError as error:
                if not self.go_on(held, error):
                    return
            else:
                self.on_answered()
                return

    async def attempt(self, held: Try) -> None:
        """Run the request at one engine.

        Raises:
          UpstreamError: there is no whole answer.
        """
        ended: BaseException | None = None
        try:
            fresh = self.tries > 0
            request = self.request_for(held)
            self.tried |= {held.upstream.name}
            # Until the contrary is known, it may have run.
            self.ran += 1
            stream = await held.party.open(held.upstream, request, fresh)
            try:
                await self.pass_on(stream, held)
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
            # Whatever it is, it is the end of this try and nothing else: the
            # caller got 500 while another engine stood ready.
            LOG.error(
                "Try at {} failed by an error: {}",
                held.upstream.name,
                "".join(traceback.format_exception(error)),
            )
            fault = errors.UpstreamFault(
                repr(error), step="try", peer=held.upstream.name
            )
            ended = fault
            raise fault from error
        except BaseException as error:
            ended = error
            raise
        finally:
            await held.ended(ended)

    async def pass_on(self, stream: engine.EngineStream, held: Try) -> None:
        """Give the caller an answer as it comes.

        Raises:
          UpstreamError: it is not whole.
        """
        streamed = stream.content_type.startswith(EVENTS)
        if self.takes_events and streamed and stream.status // 100 == 2:
            await self.pass_events(stream, held)
        else:
            await self.pass_whole(stream, held)

    async def pass_events(
        self, stream: engine.EngineStream, held: Try
    ) -> None:
        """Pass on whole events until the stream ends.

        The head waits for the first event, so that a try which fails
        before it can still be refused, or made again elsewhere.

        Raises:
          UpstreamError: it broke off, or was silent for too long.
        """
        framing, response, more = self.framing, self.response, held.more
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
            more()
            return send(data)

        first = await stream.read(self.first_limit_s())
        if first:
            held.first()
            send(first)
            limit_s = self.silence_limit_s()
            while not await stream.pipe(sink, limit_s):
                await response.flush()
        if not framing.whole:
            raise errors.UpstreamBroken(
                "the stream ended early",
                ran=True,
                step="stream",
                peer=held.upstream.name,
            )
        response.end()
