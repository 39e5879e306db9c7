"""Gives a caller the answer that one try brings."""

__all__ = ["CLEAR_CHUNKS", "Delivery", "EVENTS"]

from collections.abc import Callable

import msgspec

from camphortray import clock as clocks
from camphortray import engine
from camphortray import errors
from camphortray import httpserver
from camphortray import resume
from camphortray import routing
from camphortray import settings
from camphortray import signals

# Pieces of an answer after which a request has got past the place where
# it was when its upstream crashed.
CLEAR_CHUNKS = 8
EVENTS = "text/event-stream"


class Delivery:
    """One try, from its send to the end of what it brought.

    Attributes:
      begun_at: When it was sent, on the monotonic clock.
      load: Requests expected at its upstream then, itself included.
      on_progress: Called once ``CLEAR_CHUNKS`` pieces have come.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        heard: signals.Signals,
        loads: routing.LoadBook,
        service: settings.Service,
        upstream: engine.Upstream,
        on_progress: Callable[[], None],
    ) -> None:
        self.clock = clock
        self.signals = heard
        self.loads = loads
        self.service = service
        self.upstream = upstream
        self.on_progress = on_progress
        self.begun_at = clock.monotonic()
        self.load = 1 + loads.total(upstream.name, self.begun_at)

    async def whole(
        self,
        stream: engine.EngineStream,
        response: httpserver.Response,
        silence_s: float,
    ) -> None:
        """Give an answer that is not streamed, once it is whole.

        Raises:
          UpstreamError: it did not come whole.
        """
        body = await engine.read_all(stream, silence_s)
        check_whole(body, self.upstream)
        headers = [("content-type", stream.content_type)]
        response.send(stream.status, body, headers)

    async def events(
        self,
        stream: engine.EngineStream,
        response: httpserver.Response,
        sent: resume.SentStream,
        silence_s: float,
    ) -> None:
        """Pass events on as they come; runs for each token.

        Args:
          stream: The engine's answer.
          response: The caller's.
          sent: What of the answer the caller has, over all tries.
          silence_s: Longest wait for the first piece.

        Raises:
          UpstreamError: the answer broke off.
        """
        name, service = self.upstream.name, self.service.name
        now_of, next_token = self.clock.monotonic, self.signals.next_token
        data = await stream.read(silence_s)
        last = now_of()
        # Counted from the send: an engine may hold back the head of its
        # answer until the first token, or send it at once.
        waited = last - self.begun_at
        self.loads.learn(name, waited, self.load, last)
        self.signals.first_token(service, name, False, waited)
        write(data, response, sent)
        chunks = 1

        def sink(data: bytes) -> bool:
            nonlocal last, chunks
            now = now_of()
            next_token(service, name, False, now - last)
            last = now
            chunks += 1
            write(data, response, sent)
            if chunks == CLEAR_CHUNKS:
                self.on_progress()
            return response.blocked

        limit_s = float(self.service.get("limit.silence_s"))
        while not await stream.pipe(sink, limit_s):
            await response.flush()
        if not sent.done:
            raise errors.UpstreamBroken(
                "the answer ended without its closing event",
                ran=True,
                step="stream",
                peer=name,
            )
        response.end()


def write(
    data: bytes, response: httpserver.Response, sent: resume.SentStream
) -> None:
    """Pass on what is whole of some bytes of an answer.

    The head waits for the first event, so that a try which fails before it
    can still be refused, or made again elsewhere, with any status.
    """
    data = sent.take(data)
    if data:
        if not response.status:
            response.start(200, [("content-type", EVENTS)])
        response.write(data)


class AnyObject(msgspec.Struct):
    """A JSON object whose fields are not looked at."""


WHOLE = msgspec.json.Decoder(AnyObject)


def check_whole(body: bytes, upstream: engine.Upstream) -> None:
    """Make sure that an answer was not cut off.

    An answer without a length ends with its connection, so that a crash
    looks like its end; half a JSON object then reached the caller as 200.

    Raises:
      UpstreamBroken: it is not a whole JSON object.
    """
    try:
        WHOLE.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise errors.UpstreamBroken(
            f"the answer is not whole: {error}",
            ran=True,
            step="read",
            peer=upstream.name,
        ) from error
