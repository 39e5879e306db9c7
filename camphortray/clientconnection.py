"""One connection to a server, on h11, serving one request at a time."""

__all__ = ["Body", "ClientConnection", "Headers", "Sink", "request_of"]

import array
import asyncio
from collections.abc import AsyncIterator
from collections.abc import Callable
from collections.abc import Sequence
import fcntl
import socket
import struct
import termios
from typing import Any
from typing import cast

import h11

from camphortray import answer_source
from camphortray import errors
from camphortray import flow_control
from camphortray import timers

# Unread bytes at which the shell stops reading the socket.
HIGH_WATER = 262_144
MAX_HEAD_BYTES = 32_768
# Interim answers (100 and the like) that may come before an answer.
MAX_INTERIM_ANSWERS = 16
# Pieces of an answer that are worked through before other work has its turn.
MAX_EVENTS_PER_TURN = 256
# Ids of requests that a connection carries before it is not kept any longer,
# as it remembers each of them.
MAX_IDS = 256
# End of the head of a request; without it, no server begins.
HEAD_END = b"\r\n"
# Headers that say where an answer ends; without them its connection does.
FRAMING_HEADERS = frozenset({b"content-length", b"transfer-encoding"})
# Time after the end of an answer that ends with its connection in which a
# reset shows that it was cut off, in seconds.
RESET_WAIT_S = 0.01
# Largest status that an answer may have.
MAX_STATUS = 599
# Seconds from one look at what is acknowledged to the next; the way to a
# server near by and back takes about one.
LOOK_S = 0.001

Headers = Sequence[tuple[str, str]]
Body = bytes | AsyncIterator[bytes]
# Takes body bytes; returns whether to stop giving it more for now.
Sink = Callable[[bytes], bool]


class ClientConnection(flow_control.FlowControl):
    """One connection to an upstream, serving one request at a time.

    Attributes:
      ids: Digests of the ids of the requests that it has carried. Two ids
        with the same digest cost a request another connection, no more.
      uploads: Whether its present request has a body.
      ended: Whether the server has ended its side.
      ended_early: Whether it did so before it had all of the request.
    """

    def __init__(self, peer: str) -> None:
        super().__init__()
        self.peer = peer
        self.h11 = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES
        )
        self.transport: asyncio.Transport = cast(asyncio.Transport, None)
        self.head: h11.Response | None = None
        self.chunks: list[bytes] = []
        self.buffered = 0
        self.complete = False
        self.idle = False
        self.lost = False
        self.failure = ""
        self.malformed = False
        self.uses = 0
        self.ids = array.array("I")
        self.method = ""
        self.uploads = False
        self.ended = False
        self.ended_early = False
        self.checked = False
        self.forgotten = False
        self.idle_limit_s = 0.0
        self.on_idle_lost: Callable[[], None] | None = None
        self.loop = asyncio.get_running_loop()
        self.timer = timers.LazyTimer(self.on_silence)
        self.heard_at = self.loop.time()
        self.waiter: asyncio.Future[bool] | None = None
        self.reading_paused = False
        self.interim = 0
        self.turn: asyncio.Handle | None = None
        self.sink: Sink | None = None
        self.sink_s = 0.0
        self.sink_error: Exception | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def connection_lost(self, exc: Exception | None) -> None:
        self.lost = True
        self.timer.stop()
        self.withdraw()
        if not self.complete:
            self.failure = self.failure or str(exc or "connection closed")
        self.resume_writing()
        self.wake()

    def eof_received(self) -> bool:
        # Only the server's own end of the stream may end an answer that
        # has no length. Reset on the way, or dropped by ourselves, it is
        # cut off, however much of it has come.
        self.ended = True
        self.ended_early = self.unsent()
        if self.turn is not None:
            self.work_through()
        if not self.complete and not self.lost:
            if self.may_be_reset():
                self.loop.call_later(RESET_WAIT_S, self.end_unless_reset)
                return True
            self.on_eof()
        self.withdraw()
        # A close would wait until the rest of a request has left, which the
        # server may never read.
        self.abort()
        return False

    def data_received(self, data: bytes) -> None:
        self.heard_at = self.loop.time()
        if self.idle:
            # Bytes nobody asked for would be read as the next caller's
            # answer; dropping the connection is enough, as it is idle.
            self.withdraw()
            self.abort()
            return
        self.work_through(data)

    def withdraw(self) -> None:
        """Leave the idle connections, if it is one of them.

        ``connection_lost`` may follow a turn of the loop later.
        """
        if self.idle and self.on_idle_lost is not None:
            self.on_idle_lost()

    def work_through(self, data: bytes = b"") -> None:
        """Work through what has been received, and give it on."""
        try:
            if data:
                self.h11.receive_data(data)
            self.pump(len(data))
        except h11.RemoteProtocolError as error:
            self.fail(f"malformed answer: {error}")
        if self.sink is None or self.complete or self.lost:
            self.wake()
        elif self.chunks:
            self.feed_sink(self.sink)

    def fail(self, why: str) -> None:
        """Drop the connection, as what comes on it cannot be read."""
        self.failure = why
        self.malformed = True
        self.abort()

    def feed_sink(self, sink: Sink) -> None:
        """Give the body to the sink, without a turn of the loop."""
        try:
            if not sink(self.take()):
                self.timer.set(self.sink_s)
                return
        except Exception as error:
            # It is raised again where the sink was handed in.
            self.sink_error = error
        self.sink = None
        self.wake()

    def unsent(self) -> bool:
        """Return whether the server's machine lacks a part of the request."""
        unended = self.h11.our_state is h11.SEND_BODY
        return unended or self.unacknowledged() > 0

    @property
    def is_unframed(self) -> bool:
        """Whether the answer ends with its connection."""
        return (
            self.head is not None
            and self.h11.their_state is h11.SEND_BODY
            and not any(
                name in FRAMING_HEADERS for name, _ in self.head.headers
            )
        )

    def may_be_reset(self) -> bool:
        """Return whether a reset may follow the end of the stream.

        A server that ends its side and closes with a part of the request
        unread resets the connection behind an answer that is cut off.
        """
        tls = self.transport.get_extra_info("ssl_object")
        return (
            self.uploads
            and self.is_unframed
            and not self.ended_early
            and tls is None
        )

    def end_unless_reset(self) -> None:
        """End an answer without a length if no reset has followed it."""
        if self.lost:
            return
        wire = self.transport.get_extra_info("socket")
        if wire is not None:
            code = wire.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            self.ended_early = code != 0
        self.on_eof()
        self.abort()

    def on_eof(self) -> None:
        """Let h11 judge whether the end of the stream ends the body."""
        if self.ended_early and self.is_unframed:
            # A server that has not read the request has not answered it whole.
            self.failure = self.failure or "answer was cut off"
            return
        try:
            self.h11.receive_data(b"")
            self.pump()
        except (h11.RemoteProtocolError, RuntimeError):
            self.failure = self.failure or "answer was cut off"

    def pump(self, received: int = 0) -> None:
        """Work through what has been received.

        Args:
          received: Bytes just handed to h11. If all but their framing
            came back as one piece of body, there is nothing more to ask
            for, which halves the events of a streamed token.
        """
        events = 0
        while not self.complete:
            events += 1
            if events > MAX_EVENTS_PER_TURN and not self.ended:
                self.go_on_later()
                break
            event = self.h11.next_event()
            if event is h11.NEED_DATA or event is h11.PAUSED:
                break
            if isinstance(event, h11.Data):
                self.chunks.append(bytes(event.data))
                self.buffered += len(event.data)
                if event.chunk_end and received == framed(event.data):
                    break
            elif isinstance(event, h11.ConnectionClosed):
                return
            else:
                self.take_frame(event)
        self.limit_reading()

    def take_frame(self, event: Any) -> None:
        """Take the head or the end of an answer."""
        if isinstance(event, h11.Response):
            if event.status_code > MAX_STATUS:
                raise h11.RemoteProtocolError(
                    f"status {event.status_code} is none"
                )
            self.head = event
            self.interim = 0
        elif isinstance(event, h11.EndOfMessage):
            self.complete = True
        elif isinstance(event, h11.InformationalResponse):
            self.interim += 1
            if self.interim > MAX_INTERIM_ANSWERS:
                raise h11.RemoteProtocolError("interim answers without end")

    def limit_reading(self) -> None:
        """Read nothing more for now if much is unread, or follows the end."""
        unread = self.buffered
        if self.complete:
            unread += len(self.h11.trailing_data[0])
        if unread > HIGH_WATER or self.turn is not None:
            self.pause_reading()
        else:
            self.resume_reading()

    def pause_reading(self) -> None:
        """Let the peer wait."""
        if not self.reading_paused and not self.lost:
            self.reading_paused = True
            self.transport.pause_reading()

    def resume_reading(self) -> None:
        """Let the peer go on."""
        if self.reading_paused and not self.lost:
            self.reading_paused = False
            self.transport.resume_reading()

    def go_on_later(self) -> None:
        """Let other work have its turn before the rest is worked through."""
        if self.turn is None:
            self.turn = self.loop.call_soon(self.take_turn)

    def take_turn(self) -> None:
        """Work through more of what has been received."""
        self.turn = None
        if not self.lost:
            self.work_through()

    def expect_another(self) -> None:
        """Go on to the answer that follows the present one.

        Whether there is one shows as with the first: ``head`` is set, or the
        connection is lost.
        """
        self.head = None
        self.complete = False
        try:
            self.h11.start_next_cycle()
            # How an answer is framed depends on the method of its request.
            host = ("host", "unused")
            self.h11.send(
                h11.Request(method=self.method, target="/", headers=[host])
            )
            self.h11.send(h11.EndOfMessage())
            self.pump()
        except (h11.LocalProtocolError, h11.RemoteProtocolError) as error:
            self.fail(f"no answer can follow: {error}")
            return
        if self.ended:
            self.on_eof()

    def wake(self) -> None:
        """Wake whoever waits for the answer."""
        if self.waiter is not None and not self.waiter.done():
            self.waiter.set_result(False)

    def on_silence(self) -> None:
        """Let the waiter know that its time is over."""
        if self.waiter is not None and not self.waiter.done():
            self.waiter.set_result(True)

    def take(self) -> bytes:
        """Return all body bytes received and not yet taken."""
        if len(self.chunks) == 1:
            data = self.chunks[0]
        else:
            data = b"".join(self.chunks)
        self.chunks.clear()
        self.buffered = 0
        if self.reading_paused:
            self.limit_reading()
        return data

    async def wait(self, seconds: float, step: str) -> None:
        """Wait until something happens.

        Raises:
          UpstreamTimeout: nothing happened in time.
        """
        self.waiter = self.loop.create_future()
        self.timer.set(seconds)
        try:
            silent = await self.waiter
        finally:
            self.waiter = None
            self.timer.pause()
        if silent:
            raise errors.UpstreamTimeout(
                f"silent for {seconds:.3g} s",
                ran=True,
                step=step,
                peer=self.peer,
                paused_s=self.timer.paused_s,
            )

    def broken(self, step: str) -> errors.UpstreamBroken:
        """Return the error of an answer that ended before it was whole."""
        kind = (
            errors.UpstreamGarbled if self.malformed else errors.UpstreamBroken
        )
        return kind(
            self.failure or "connection closed",
            ran=True,
            step=step,
            peer=self.peer,
            paused_s=self.timer.paused_s,
        )

    def source(self, named: str) -> answer_source.AnswerSource:
        """Return where an answer on this connection came from.

        Args:
          named: To which request it belongs; see ``AnswerSource``.
        """
        local = self.transport.get_extra_info("sockname")
        port = local[1] if local else 0
        return answer_source.AnswerSource(named, self.uses, port)

    def send(self, *events: Any, before: bytes = b"") -> None:
        """Send events in one write, behind bytes that come before them."""
        sent = [self.h11.send(event) or b"" for event in events]
        data = b"".join([before, *sent])
        if data and not self.lost:
            self.transport.write(data)

    async def send_request(
        self,
        method: str,
        target: str,
        headers: Headers,
        body: Body,
        prove_s: float = 0.0,
    ) -> None:
        """Send a request with its body.

        Args:
          method: HTTP method.
          target: Path and query.
          headers: All of them.
          body: Bytes, or an iterator of chunks.
          prove_s: Time for the head without its end to be acknowledged
            before the rest follows; 0 sends all at once.

        Raises:
          UpstreamBroken: ``ran`` False, that was not acknowledged, or came
            beside an answer, or no server takes such a head.
        """
        self.uses += 1
        self.method = method
        self.uploads = body != b""
        self.head = None
        self.complete = False
        head = self.head_of(method, target, headers)
        if isinstance(body, bytes) and not prove_s:
            self.send(head, h11.Data(data=body), h11.EndOfMessage())
            return
        if isinstance(body, bytes):
            end = self.begin_head(head)
            await self.acknowledged(prove_s)
            if self.head is not None:
                raise self.useless()
            self.send(h11.Data(data=body), h11.EndOfMessage(), before=end)
            return
        self.send(head)
        async for chunk in body:
            if self.lost or self.head is not None:
                # Without its end, the body does not look whole.
                return
            self.send(h11.Data(data=chunk))
            await self.writable()
        if not self.lost and self.h11.our_state is h11.SEND_BODY:
            self.send(h11.EndOfMessage())

    def head_of(
        self, method: str, target: str, headers: Headers
    ) -> h11.Request:
        """Return the head of a request; errors as ``send_request``."""
        try:
            return request_of(method, target, headers)
        except ValueError as error:
            raise errors.UpstreamUnsendable(
                str(error), ran=False, step="send", peer=self.peer
            ) from error

    def begin_head(self, head: h11.Request) -> bytes:
        """Send a head without its end, and return the end.

        It leaves in two segments, so that it is acknowledged soon.
        """
        data = self.h11.send(head) or b""
        begin, end = data[: -len(HEAD_END)], data[-len(HEAD_END) :]
        if not self.lost:
            self.transport.write(begin[: len(begin) // 2])
            self.transport.write(begin[len(begin) // 2 :])
        return end

    async def acknowledged(self, seconds: float) -> None:
        """Wait until the peer's machine has all that was sent.

        Raises:
          UpstreamBroken: it has not, or the connection is of no use.
        """
        until = self.loop.time() + seconds
        while self.unacknowledged():
            if self.lost or self.loop.time() >= until:
                break
            await asyncio.sleep(LOOK_S)
        if self.lost or self.unacknowledged():
            raise self.useless()

    def useless(self) -> errors.UpstreamBroken:
        """Return the error of a kept connection that is of no use."""
        return errors.UpstreamBroken(
            "kept connection is of no use",
            ran=False,
            step="kept",
            peer=self.peer,
        )

    def unacknowledged(self) -> int:
        """Return the bytes sent that the peer's machine has not got."""
        held: int = self.transport.get_write_buffer_size()
        wire = self.transport.get_extra_info("socket")
        if self.lost or wire is None or wire.fileno() < 0:
            return held
        told = fcntl.ioctl(wire.fileno(), termios.TIOCOUTQ, bytes(4))
        return held + int(struct.unpack("i", told)[0])

    def note_id(self, request_id: str) -> None:
        """Take note of the id of a request that is sent on it."""
        if request_id:
            self.ids.append(digest_of(request_id))

    def has_carried(self, request_id: str) -> bool:
        """Return whether it may have carried a request with an id.

        A late copy of the answer to that one has the same id.
        """
        return bool(request_id) and digest_of(request_id) in self.ids

    @property
    def is_worn(self) -> bool:
        """Whether it has carried as many ids as it remembers."""
        return len(self.ids) >= MAX_IDS

    def reusable(self) -> bool:
        """Return whether another request may follow on it."""
        return (
            self.complete
            and not self.lost
            and not self.chunks
            and self.h11.our_state is h11.DONE
            and self.h11.their_state is h11.DONE
            and not self.h11.trailing_data[0]
        )

    def abort(self) -> None:
        """Drop the connection at once."""
        if not self.lost:
            self.transport.abort()


def digest_of(request_id: str) -> int:
    """Return the digest of an id, as it is remembered."""
    return hash(request_id) & 0xFFFFFFFF


def request_of(method: str, target: str, headers: Headers) -> h11.Request:
    """Return the head of a request.

    Values are sent as the bytes that they were read from, one to a
    character.

    Raises:
      ValueError: it cannot be sent; the message tells why.
    """
    try:
        return h11.Request(
            method=method,
            target=target.encode("ascii"),
            headers=[
                (name.encode("ascii"), value.encode("latin1"))
                for name, value in headers
            ],
        )
    except h11.LocalProtocolError as error:
        raise ValueError(str(error)) from error


def framed(data: Any) -> int:
    """Return the size of data as one chunk with its framing.

    >>> framed(b"x" * 16) == len(b"10") + 2 + 16 + 2
    True
    """
    return len(data) + (len(data).bit_length() + 3) // 4 + 4
