"""HTTP/1.1 server shell on h11."""

__all__ = [
    "Connection",
    "Handler",
    "HttpServer",
    "Limits",
    "Request",
    "Response",
    "refusal_body",
]

import abc
import asyncio
import socket
import ssl
import struct
import traceback
from typing import Any
from typing import cast

import h11
import msgspec

from camphortray import config as configs
from camphortray import connection_ends
from camphortray import errors
from camphortray import flow_control
from camphortray import httpmessage
from camphortray import logs
from camphortray import timers

LOG = logs.logger("http")
CloseCause = connection_ends.CloseCause
Request = httpmessage.Request
Response = httpmessage.Response
refusal_body = httpmessage.refusal_body
# Unread bytes of one body at which the shell stops reading the socket.
HIGH_WATER = 262_144
MAX_HEAD_BYTES = 32_768
# Bytes a second that a body must come with in the long run. One that comes
# a byte at a time, each in time, would hold its connection for ever.
MIN_BODY_RATE = 1024.0
# How long the rest of a refused body is read and thrown away, in seconds.
LINGER_S = 2.0
# Turns of the loop in which a connection is accepted, what has arrived on it
# is read, and its handler begun.
READ_TURNS = 5
# How long handlers and answers together may take to end at a stop, in seconds.
STOP_S = 2.0


class Limits(msgspec.Struct, frozen=True):
    """Bounds on one connection; times in seconds.

    Attributes:
      max_body_bytes: Largest body of a request.
      header_timeout_s: From the first byte of a head to its end.
      idle_timeout_s: From one request to the next, and from one piece of
        a body to the next.
      max_head_bytes: Largest head of a request.
    """

    max_body_bytes: int = 16_777_216
    header_timeout_s: float = 10.0
    idle_timeout_s: float = 75.0
    max_head_bytes: int = MAX_HEAD_BYTES


class Handler(abc.ABC):
    """Whatever answers requests."""

    @abc.abstractmethod
    async def handle(self, request: Request, response: Response) -> None:
        """Answer one request; a ``Refused`` raised becomes JSON."""


class Connection(flow_control.FlowControl):
    """One caller's connection."""

    def __init__(self, server: "HttpServer") -> None:
        super().__init__()
        self.server = server
        self.h11 = h11.Connection(
            h11.SERVER, max_incomplete_event_size=self.limits.max_head_bytes
        )
        self.transport: asyncio.Transport = cast(asyncio.Transport, None)
        self.request: Request | None = None
        self.response: Response | None = None
        self.task: asyncio.Task[None] | None = None
        self.timer = timers.LazyTimer(self.on_timeout)
        self.held: list[bytes] = []
        self.reading_paused = False
        self.paused_at = 0.0
        self.lost = False
        self.lingering = False
        self.in_head = False
        self.body_begun_at = 0.0
        self.served = 0
        self.rest_limit_s = 0.0
        self.closed_for: CloseCause | None = None

    @property
    def limits(self) -> Limits:
        """Bounds in force, which may change while it is open."""
        return self.server.limits

    @property
    def closing(self) -> bool:
        """Whether answers from now on announce a close."""
        return self.server.closing

    @property
    def caller_left(self) -> bool:
        """Whether the connection is lost, and not for this host's close."""
        return self.lost and self.closed_for is None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.server.connections.add(self)
        self.rest()

    def connection_lost(self, exc: Exception | None) -> None:
        self.lost = True
        self.server.connections.discard(self)
        self.server.look_idle()
        self.timer.stop()
        self.resume_writing()
        if self.request is not None and not self.request.complete:
            self.request.finish(broken=True)
        self.cancel()

    def cancel(self) -> None:
        """End the handler, if its work does not outlive its caller."""
        if self.task is None or self.request is None:
            return
        if not self.request.keep_running:
            self.task.cancel()

    async def writable(self) -> None:
        """Wait until the transport takes more."""
        if self.held and not self.lost:
            self.transport.write(b"".join(self.held))
            self.held.clear()
        await super().writable()

    def resume_reading(self) -> None:
        """Read on, after backpressure."""
        if self.reading_paused and not self.lost:
            self.reading_paused = False
            # What the host did not read was not late.
            self.body_begun_at += self.timer.loop.time() - self.paused_at
            if self.request is not None and not self.request.complete:
                self.timer.set(self.limits.idle_timeout_s)
            self.transport.resume_reading()

    def pause_reading(self) -> None:
        """Stop reading until there is room."""
        if not self.reading_paused:
            self.reading_paused = True
            self.paused_at = self.timer.loop.time()
            self.transport.pause_reading()

    def on_timeout(self) -> None:
        """Give up on a caller that sends nothing, or too slowly."""
        if self.request is not None and not self.request.complete:
            if self.reading_paused:
                self.timer.set(self.limits.idle_timeout_s)
            else:
                self.request.finish(broken=True)
            return
        if self.in_head and self.request is None:
            self.refuse_head(
                errors.Refused(408, "slow_head", "the head took too long")
            )
            return
        if self.lingering:
            self.end(CloseCause.BODY)
        elif self.longest_rest_s > self.rest_limit_s:
            # Callers go by the configuration in force.
            self.timer.set(self.longest_rest_s - self.rest_limit_s)
            self.rest_limit_s = self.longest_rest_s
        else:
            # What has arrived by now is read in the next turn of the loop,
            # behind the first of these calls and before the second.
            loop = asyncio.get_running_loop()
            loop.call_soon(loop.call_soon, self.end_rest)

    def end_rest(self) -> None:
        """Close, unless a request has come meanwhile."""
        if self.request is None and self.timer.limit_at is None:
            self.end(CloseCause.IDLE)

    @property
    def longest_rest_s(self) -> float:
        """Longest wait for a request, by the limits in force, in seconds."""
        if not self.served:
            return self.limits.header_timeout_s
        return self.limits.idle_timeout_s

    def rest(self) -> None:
        """Wait for a request."""
        self.rest_limit_s = self.longest_rest_s
        self.timer.set(self.rest_limit_s)

    def data_received(self, data: bytes) -> None:
        self.h11.receive_data(data)
        if self.request is None and not self.lingering and not self.in_head:
            # Once for a head: set anew with each byte, a caller that sends
            # one byte now and then would hold the connection for ever.
            self.in_head = True
            self.timer.set(self.limits.header_timeout_s)
        self.pump()

    def eof_received(self) -> bool:
        return False

    def pump(self) -> None:
        """Work through what has been received."""
        try:
            while True:
                event = self.h11.next_event()
                if event is h11.NEED_DATA:
                    return
                if event is h11.PAUSED:
                    self.pause_reading()
                    return
                if not self.on_event(event):
                    return
        except h11.RemoteProtocolError as error:
            self.on_bad_request(error)

    def on_event(self, event: Any) -> bool:
        """Take one event; return whether to go on."""
        if isinstance(event, h11.Request):
            self.begin(event)
        elif isinstance(event, h11.Data) and self.request is not None:
            self.request.feed(bytes(event.data))
            if self.too_slow(self.request):
                self.timer.pause()
                self.request.finish(broken=True)
                return False
            self.timer.set(self.limits.idle_timeout_s)
            if self.request.buffered > HIGH_WATER:
                self.pause_reading()
        elif isinstance(event, h11.EndOfMessage) and self.request is not None:
            self.timer.pause()
            self.request.finish()
        elif self.lingering and isinstance(event, h11.EndOfMessage):
            self.end(CloseCause.BODY)
            return False
        elif isinstance(event, h11.ConnectionClosed):
            self.transport.close()
            return False
        return True

    def too_slow(self, request: Request) -> bool:
        """Return whether a body comes too slowly in the long run."""
        now = asyncio.get_running_loop().time()
        allowed_s = self.limits.idle_timeout_s
        allowed_s += request.received / MIN_BODY_RATE
        return now - self.body_begun_at > allowed_s

    def begin(self, event: h11.Request) -> None:
        """Start the handler of a new request."""
        self.in_head = False
        self.body_begun_at = asyncio.get_running_loop().time()
        headers: dict[str, str] = {}
        for raw_name, raw_value in event.headers:
            name, value = raw_name.decode("ascii"), raw_value.decode("latin1")
            seen = headers.get(name)
            headers[name] = f"{seen}, {value}" if seen else value
        if "content-length" in headers and "transfer-encoding" in headers:
            # RFC 9112, 6.1: whoever stands between may take the one for
            # the end of the body and we the other, and a second request
            # be smuggled in the rest. So it is refused, and closed.
            raise h11.RemoteProtocolError(
                "both Content-Length and Transfer-Encoding", 400
            )
        self.request = Request(
            event.method.decode("ascii"),
            event.target.decode("latin1"),
            headers,
            self,
            self.limits.max_body_bytes,
        )
        self.response = Response(self, self.request)
        self.timer.set(self.limits.idle_timeout_s)
        self.task = asyncio.get_running_loop().create_task(
            self.serve(self.request, self.response)
        )

    async def serve(self, request: Request, response: Response) -> None:
        """Run the handler and bring the connection to its next request."""
        logs.REQUEST_ID.set(request.id)
        try:
            await self.server.handler.handle(request, response)
        except errors.Refused as refusal:
            self.conclude(response, refusal)
        except asyncio.CancelledError:
            self.note_unanswered(request, response, "cancelled")
            if self.lost:
                raise
            # Something that the handler waited for was cancelled.
            self.conclude(response, internal_error())
        except Exception as error:
            LOG.error(
                "Handler failed: {}",
                "".join(traceback.format_exception(error)),
            )
            self.conclude(response, internal_error())
        else:
            why = "aborted" if response.ended else "returned"
            self.note_unanswered(request, response, why)
            if not response.ended:
                self.conclude(response, internal_error())
        self.next_request()

    def note_unanswered(
        self, request: Request, response: Response, why: str
    ) -> None:
        """Take note of a whole request whose handler has not answered."""
        if not request.complete or response.status or self.caller_left:
            return
        if self.server.ends is not None:
            self.server.ends.on_unanswered(request.id, why)

    def conclude(self, response: Response, refusal: errors.Refused) -> None:
        """Refuse if no answer has begun, else cut off one that goes on."""
        if response.status == 0:
            try:
                response.refuse(refusal)
                return
            except (ValueError, h11.LocalProtocolError) as error:
                LOG.error("The refusal cannot be sent: {!r}", error)
        response.abort()

    def next_request(self) -> None:
        """Make ready for the next request, or close."""
        self.request = None
        self.response = None
        self.task = None
        self.served += 1
        self.server.look_idle()
        if self.lost:
            return
        if self.h11.our_state is self.h11.their_state is h11.DONE:
            # Also in a drain: the answer has not announced a close, so the
            # caller may have sent its next request.
            self.h11.start_next_cycle()
            self.rest()
            self.resume_reading()
            self.pump()
        elif self.h11.their_state is h11.SEND_BODY and not self.lingering:
            self.linger()
        else:
            self.end(CloseCause.ANSWERED)

    def linger(self) -> None:
        """Read the rest of a body that was refused, then close.

        Closed with unread bytes the socket is reset, and the caller never
        sees why it was refused.
        """
        self.lingering = True
        self.timer.set(LINGER_S)
        self.resume_reading()
        self.pump()

    def on_bad_request(self, error: h11.RemoteProtocolError) -> None:
        """Refuse malformed HTTP."""
        if self.request is not None:
            # What follows a complete request does not concern it.
            if not self.request.complete:
                self.request.finish(broken=True)
            return
        if self.lingering:
            self.end(CloseCause.BODY)
            return
        status = error.error_status_hint or 400
        self.refuse_head(
            errors.Refused(status, "bad_http", f"malformed HTTP: {error}")
        )

    def refuse_head(self, refusal: errors.Refused) -> None:
        """Refuse a request that has not been read, and close."""
        self.timer.stop()
        self.request = Request("?", "/", {}, self)
        response = Response(self, self.request)
        response.refuse(refusal)
        self.end(CloseCause.HEAD)

    def send(self, event: Any) -> None:
        """Send an event; on a lost connection it is dropped."""
        if self.lost:
            return
        data = self.h11.send(event) or b""
        if isinstance(event, h11.EndOfMessage):
            self.reset_on_close(False)
        if self.held:
            data = b"".join([*self.held, data])
            self.held.clear()
        if data:
            self.transport.write(data)

    def hold(self, event: Any) -> None:
        """Keep an event back, to leave in one write with the next."""
        if not self.lost:
            self.held.append(self.h11.send(event) or b"")
            if isinstance(event, h11.Response):
                self.reset_on_close(True)

    def reset_on_close(self, on: bool) -> None:
        """Set whether a close resets the connection of an HTTP/1.0 caller.

        Without a length such a caller takes a plain close for the end of
        its answer, also that of a process that is killed.
        """
        if self.h11.their_http_version != b"1.0":
            return
        found = self.transport.get_extra_info("socket")
        if found is not None:
            value = struct.pack("ii", on, 0)
            found.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, value)

    def close(self) -> None:
        """Close once what was written has left."""
        self.end(CloseCause.CUT)

    def end(self, cause: CloseCause) -> None:
        """Close once what was written has left, for a cause."""
        if not self.lost:
            self.note_close(cause)
            self.transport.close()

    def note_close(self, cause: CloseCause) -> None:
        """Take note of why this host closes the connection, once."""
        if self.closed_for is not None:
            return
        self.closed_for = cause
        if self.server.ends is not None:
            request_id = self.request.id if self.request is not None else ""
            self.server.ends.on_closed(cause, request_id, self.served)

    def send_continue(self) -> None:
        """Answer ``Expect: 100-continue``."""
        if self.h11.they_are_waiting_for_100_continue:
            self.send(h11.InformationalResponse(status_code=100, headers=[]))

    def abort(self) -> None:
        """Drop the connection at once."""
        if not self.lost:
            self.note_close(CloseCause.ABORTED)
            self.transport.abort()


class HttpServer:
    """Listens and hands requests to a handler.

    Attributes:
      address: Where it listens, known once started.
      closing: Whether answers announce that their connection closes.
      connection_class: Made for each connection.
      ends: Takes note of connections closed and requests unanswered.
    """

    connection_class: type[Connection] = Connection

    def __init__(
        self,
        handler: Handler,
        limits: Limits | None = None,
        tls: ssl.SSLContext | None = None,
        ends: connection_ends.ConnectionEnds | None = None,
    ) -> None:
        self.handler = handler
        self.ends = ends
        self.limits = limits or Limits()
        self.tls = tls
        self.connections: set[Connection] = set()
        self.closing = False
        self.server: asyncio.Server | None = None
        self.idle: asyncio.Future[None] | None = None
        self.emptied: asyncio.Future[None] | None = None
        self.address = configs.Address("", 0)

    async def start(self, address: configs.Address) -> None:
        """Listen; port 0 takes a free one."""
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(
            lambda: self.connection_class(self),
            address.ip,
            address.port,
            ssl=self.tls,
            backlog=1024,
        )
        name = self.server.sockets[0].getsockname()
        self.address = configs.Address(name[0], name[1])

    def in_flight(self) -> list[str]:
        """Return a line for each request being served."""
        return [
            f"{c.request.method} {c.request.path} {c.request.id}"
            for c in self.connections
            if c.request is not None
        ]

    def busy(self) -> bool:
        """Return whether a request is in flight or may be on its way.

        A connection on which none has come yet was opened to send one.
        """
        return any(
            c.request is not None or not c.served for c in self.connections
        )

    def look_idle(self) -> None:
        """Wake whoever waits for the last request or connection to end."""
        if self.idle is not None and not self.idle.done() and not self.busy():
            self.idle.set_result(None)
        if self.emptied is not None and not self.connections:
            self.emptied.set_result(None)
            self.emptied = None

    async def wait_idle(self) -> None:
        """Wait until no request is in flight."""
        while self.busy():
            self.idle = asyncio.get_running_loop().create_future()
            await self.idle

    async def drain(self, serve_on_s: float) -> None:
        """Serve on for a time, then until no request is in flight.

        Connections are closed after the next answer that says so.
        """
        self.closing = True
        await asyncio.sleep(serve_on_s)
        await self.wait_idle()
        if self.server is not None:
            self.server.close()
        await self.wait_idle()

    async def stop(self, limit_s: float = STOP_S) -> None:
        """Stop listening, answer what has come, and close.

        Handlers are cancelled, so that requests without an answer are
        refused and answers that go on are aborted. Those whose work outlives
        their callers have half of the time to end.

        Args:
          limit_s: Longest time in seconds that all of it may take.
        """
        if self.server is None:
            return
        server, self.server = self.server, None
        loop = asyncio.get_running_loop()
        end_at = loop.time() + limit_s
        cancelled_until = loop.time() + limit_s / 2
        self.closing = True
        await self.read_on()
        server.close()
        while tasks := self.tasks():
            # A handler that is cancelled before it has begun refuses nothing.
            await asyncio.sleep(0)
            for connection in self.connections:
                if connection.task in tasks:
                    connection.cancel()
            left_s = max(0.0, cancelled_until - loop.time())
            await asyncio.wait(tasks, timeout=left_s)
            # Behind a finished request another one may have been read.
            await self.read_on()
            if not self.tasks().isdisjoint(tasks):
                break
        await self.close_connections(max(0.0, end_at - loop.time()))

    async def read_on(self) -> None:
        """Let what has arrived be read."""
        for _ in range(READ_TURNS):
            await asyncio.sleep(0)

    def tasks(self) -> set[asyncio.Task[None]]:
        """Return the tasks of all requests in flight."""
        return {c.task for c in self.connections if c.task is not None}

    async def close_connections(self, limit_s: float) -> None:
        """Close all connections; drop those that take too long."""
        for connection in list(self.connections):
            connection.note_close(CloseCause.STOPPED)
            if connection.task is None:
                connection.close()
            else:
                connection.abort()
        if not self.connections:
            return
        self.emptied = asyncio.get_running_loop().create_future()
        await asyncio.wait({self.emptied}, timeout=limit_s)
        for connection in list(self.connections):
            connection.abort()


def internal_error() -> errors.Refused:
    """Return the refusal of a request whose handler failed.

    What had happened by then is not known, so neither is whether it ran.
    """
    return errors.Refused(500, "internal", "internal error", ran="unknown")
