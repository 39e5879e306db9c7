"""HTTP/1.1 client shell on h11, with a pool of connections."""

__all__ = [
    "Body",
    "ClientResponse",
    "Headers",
    "HttpClient",
    "PeerCheck",
    "Sink",
    "Timeouts",
]

import asyncio
from collections.abc import Callable
import ssl

import msgspec

from camphortray import answer_source
from camphortray import body_budget
from camphortray import clientconnection
from camphortray import config as configs
from camphortray import errors
from camphortray import keepalive
from camphortray import logs
from camphortray import request_echo
from camphortray import timers

# Idle connections kept for one address.
MAX_IDLE = 64
# Longest that a connection is kept whose server states a longer limit.
MAX_IDLE_S = 60.0
# Answers to other requests that are skipped before the answer to a request,
# and bytes of their bodies.
MAX_EXTRA_ANSWERS = 8
MAX_EXTRA_BYTES = 16 * 1024 * 1024

LOG = logs.logger("httpclient")

Body = clientconnection.Body
ClientConnection = clientconnection.ClientConnection
Headers = clientconnection.Headers
Sink = clientconnection.Sink


class Timeouts(msgspec.Struct, frozen=True):
    """Longest waits, in seconds.

    Attributes:
      connect_s: For a new connection.
      head_s: From the request to the head of the answer.
      chunk_s: From one piece of the answer to the next.
      kept_head_s: As ``head_s`` on a connection used before, which may
        have gone silent for good; 0 for no difference.
    """

    connect_s: float = 1.0
    head_s: float = 30.0
    chunk_s: float = 30.0
    kept_head_s: float = 0.0


class ClientResponse:
    """An answer whose body is read as it comes.

    Attributes:
      status: HTTP status.
      headers: Lower-case names.
      closed: Whether its connection has been given back or dropped.
      ended: Whether its body has been read to the end.
      owner: The request that it names; None if that was not asked for.
      is_first: Whether no request was sent on its connection before.
      is_named: Whether the request has an id for it to repeat.
      resent: Whether the request's head, which alone starts one without a
        body, was sent on another connection before. Whatever this answer
        says, the request may have run there.
      source: Where it came from.
    """

    def __init__(
        self,
        client: "HttpClient",
        address: configs.Address,
        connection: ClientConnection,
        timeouts: Timeouts,
        echo: request_echo.RequestEcho | None = None,
        resent: bool = False,
    ) -> None:
        self.client = client
        self.address = address
        self.connection = connection
        self.timeouts = timeouts
        self.closed = False
        self.ended = False
        head = connection.head
        assert head is not None
        self.status = head.status_code
        self.headers = {
            name.decode("ascii"): value.decode("latin1")
            for name, value in head.headers
        }
        self.owner = echo.owner_of(head.headers) if echo else None
        self.is_first = connection.uses == 1
        self.is_named = echo is not None and bool(echo.id)
        self.resent = resent
        named = self.owner.value if self.owner else ""
        self.source = connection.source(named)

    @property
    def is_own(self) -> bool:
        """Whether it is certain to answer the request.

        One that names no request may be a late copy of an earlier answer on
        its connection.
        """
        owner = request_echo.Owner
        if self.owner is owner.UNNAMED or not self.is_named:
            return self.is_first and self.owner in (owner.OWN, owner.UNNAMED)
        return self.owner is owner.OWN

    async def read(self, timeout_s: float = 0.0) -> bytes:
        """Return all bytes that have come, or ``b""`` at a clean end.

        Args:
          timeout_s: Longest wait; 0 takes the time limit of the call.

        Raises:
          UpstreamBroken: the answer was cut off.
          UpstreamTimeout: nothing came in time.
        """
        connection = self.connection
        while self.closed or not connection.chunks:
            if self.ended:
                return b""
            if self.closed:
                # By now its connection may carry another answer.
                raise errors.UpstreamBroken(
                    "closed", ran=True, step="read", peer=str(self.address)
                )
            if connection.complete:
                self.ended = True
                self.close()
                return b""
            if connection.lost:
                raise connection.broken("read")
            await self.wait(timeout_s or self.timeouts.chunk_s)
        return connection.take()

    async def pipe(self, sink: Sink, timeout_s: float) -> bool:
        """Give the body to a sink as it comes.

        Return whether the body has ended; if not, the sink has asked for
        a pause, and ``pipe`` goes on when called again.

        Raises:
          UpstreamBroken: the answer was cut off.
          UpstreamTimeout: nothing came in time.
        """
        connection = self.connection
        while True:
            data = await self.read(timeout_s)
            if not data:
                return True
            if sink(data):
                return False
            connection.sink, connection.sink_s = sink, timeout_s
            try:
                if not connection.complete and not connection.lost:
                    await self.wait(timeout_s)
            finally:
                paused = connection.sink is None
                connection.sink = None
            if connection.sink_error is not None:
                raise connection.sink_error
            if paused:
                return False

    async def wait(self, seconds: float) -> None:
        """Wait until something happens.

        Raises:
          UpstreamTimeout: nothing happened in time.
        """
        try:
            await self.connection.wait(seconds, "read")
        except errors.UpstreamTimeout:
            self.client.distrust(self.address, seconds)
            raise

    async def body(self, limit_s: float | None = None) -> bytes:
        """Return the whole body.

        Args:
          limit_s: Longest time for all of it; None for no such limit.

        Raises:
          UpstreamBroken: the answer was cut off, or is too large.
          UpstreamTimeout: nothing, or not all, came in time.
        """
        if limit_s is None:
            return await self.whole_body()
        try:
            async with timers.limit(limit_s):
                return await self.whole_body()
        except TimeoutError as error:
            raise errors.UpstreamTimeout(
                f"not whole in {limit_s:.3g} s",
                ran=True,
                step="read",
                peer=str(self.address),
            ) from error

    async def whole_body(self) -> bytes:
        """Return the whole body, however long it takes."""
        with body_budget.ANSWERS.hold(self.close) as held:
            while data := await self.read():
                held.add(data)
            return held.whole()

    def close(self) -> None:
        """Give the connection back, or drop it if not fully read."""
        if self.closed:
            # By now it may carry another request.
            return
        self.closed = True
        keep_alive = self.headers.get("keep-alive", "")
        self.client.release(self.address, self.connection, keep_alive)


class PeerCheck(msgspec.Struct, frozen=True):
    """A question that a server answers first on a connection.

    Attributes:
      target: Path and query of the question.
      echo: Header by which answers name the request that they belong to.
      verify: Called with status and body of the answer; raises if the server
        is not the one that requests are for.
    """

    target: str
    echo: request_echo.RequestEcho
    verify: Callable[[int, bytes], None]


class HeadWait:
    """The wait for the head of an answer, whatever comes before it.

    Attributes:
      seconds: Its limit, which pauses of this process do not use up.
      paused_s: Length of these pauses, as far as they were noticed.
    """

    def __init__(self, connection: ClientConnection, seconds: float) -> None:
        self.connection = connection
        self.seconds = seconds
        self.begun_at = connection.loop.time()
        self.paused_s = 0.0

    async def wait(self, step: str) -> None:
        """Wait until something happens.

        Raises:
          UpstreamTimeout: the limit is over.
        """
        waited_s = self.connection.loop.time() - self.begun_at
        left_s = self.seconds + self.paused_s - waited_s
        await self.connection.wait(max(0.0, left_s), step)
        self.paused_s += self.connection.timer.paused_s


class HttpClient:
    """Sends requests over kept connections.

    A connection with unread or unasked bytes is never used again, and none
    carries the id of a request twice.

    Attributes:
      max_idle: Idle connections kept for one address.
      bounds: The same for addresses that differ.
      proofs: Where a request that is proved may leave on a kept one.
    """

    def __init__(
        self,
        timeouts: Timeouts | None = None,
        tls: ssl.SSLContext | None = None,
        max_idle: int = MAX_IDLE,
    ) -> None:
        self.timeouts = timeouts or Timeouts()
        self.tls = tls
        self.max_idle = max_idle
        self.idle: dict[configs.Address, list[ClientConnection]] = {}
        self.bounds: dict[configs.Address, int] = {}
        self.proofs = keepalive.Proofs()
        self.busy: set[ClientConnection] = set()
        self.closed = False

    async def request(
        self,
        address: configs.Address,
        method: str,
        target: str,
        headers: Headers = (),
        body: Body = b"",
        *,
        timeouts: Timeouts | None = None,
        fresh: bool = False,
        prove: bool = False,
        check: PeerCheck | None = None,
        echo: request_echo.RequestEcho | None = None,
    ) -> ClientResponse:
        """Send a request and return once the head of the answer is here.

        Args:
          address: Where to send it.
          method: HTTP method.
          target: Path and query.
          headers: Further headers; host and length are added.
          body: Bytes, or an iterator of chunks.
          timeouts: Time limits, if they differ from the client's.
          fresh: Whether to insist on a new connection.
          prove: Whether to hold the body back on a kept connection until
            its head is acknowledged; if it is not, a new one is made.
          check: Question that the connection has to have answered before.
          echo: Id that the answer repeats. An answer that comes first on a
            kept connection and names another request is skipped.

        Raises:
          UpstreamBroken: with ``ran`` False if no byte had left, or no more
            than the head of a request that has a body.
          UpstreamTimeout: no answer in time.
        """
        limits = timeouts or self.timeouts
        resent = False
        connection, kept = await self.acquire(
            address, limits, fresh, check, echo
        )
        seconds = limits.head_s
        try:
            framed = framing(address, headers, body)
            prove_s = keepalive.ACKNOWLEDGED_S if prove and kept else 0.0
            try:
                await connection.send_request(
                    method, target, framed, body, prove_s
                )
            except errors.UpstreamBroken as error:
                unsent = isinstance(error, errors.UpstreamUnsendable)
                if not kept or error.ran or unsent:
                    raise
                if not is_answered(connection, echo):
                    LOG.info(
                        "Request leaves on a new connection to {}.",
                        connection.peer,
                        fields={
                            "request": echo.id if echo else "",
                            "lost": connection.lost,
                            "answered": connection.head is not None,
                        },
                    )
                    resent = not body
                    connection = await self.instead(
                        connection, address, limits, check
                    )
                    kept = False
                    await connection.send_request(method, target, framed, body)
            else:
                if prove_s:
                    now = connection.loop.time()
                    self.proofs.note(address, True, now)
            if kept and limits.kept_head_s:
                seconds = min(seconds, limits.kept_head_s)
            wait = HeadWait(connection, seconds)
            await self.receive_head(connection, wait, echo)
        except BaseException as error:
            self.discard(connection)
            if isinstance(error, errors.UpstreamError):
                error.source = connection.source(answer_source.NO_ANSWER)
                if isinstance(error, errors.UpstreamTimeout) and error.ran:
                    self.distrust(address, seconds)
                error.ran = error.ran or resent
            raise
        return ClientResponse(self, address, connection, limits, echo, resent)

    async def receive_head(
        self,
        connection: ClientConnection,
        wait: HeadWait,
        echo: request_echo.RequestEcho | None,
    ) -> None:
        """Wait for the head of the answer to the request just sent.

        Args:
          connection: Where the request was sent.
          wait: Limit of the wait, for all that comes before it too.
          echo: Id that the answer repeats, or None to take the first.

        Raises:
          UpstreamBroken: there is none.
          UpstreamTimeout: it did not come in time.
        """
        if echo is not None:
            connection.note_id(echo.id)
        skipped = 0
        while True:
            while connection.head is None:
                if connection.lost:
                    raise connection.broken("head")
                await wait.wait("head")
            if echo is None or connection.uses == 1:
                return
            owner = echo.owner_of(connection.head.headers)
            if owner is not request_echo.Owner.OTHER:
                return
            skipped += 1
            if skipped > MAX_EXTRA_ANSWERS:
                connection.fail("too many answers to other requests")
                raise connection.broken("skip")
            await self.skip_answer(connection, wait, echo)

    async def skip_answer(
        self,
        connection: ClientConnection,
        wait: HeadWait,
        echo: request_echo.RequestEcho,
    ) -> None:
        """Skip an answer to another request; errors as ``receive_head``."""
        assert connection.head is not None
        status, size = connection.head.status_code, 0
        while True:
            size += len(connection.take())
            if size > MAX_EXTRA_BYTES:
                connection.fail("an answer to another request without end")
                raise connection.broken("skip")
            if connection.complete:
                break
            if connection.lost:
                raise connection.broken("skip")
            await wait.wait("skip")
        LOG.info(
            "Skipped an answer of {} that names another request.",
            connection.peer,
            fields={"status": status, "bytes": size, "request": echo.id},
        )
        connection.expect_another()

    async def call(
        self,
        address: configs.Address,
        method: str,
        target: str,
        headers: Headers = (),
        body: Body = b"",
        *,
        timeouts: Timeouts | None = None,
        fresh: bool = False,
        echo: request_echo.RequestEcho | None = None,
        body_s: float | None = None,
    ) -> tuple[int, dict[str, str], bytes]:
        """Send a request; return status, headers and whole body.

        Args as ``request``, and:
          body_s: Longest time for the body; None for no such limit.
        """
        response = await self.request(
            address,
            method,
            target,
            headers,
            body,
            timeouts=timeouts,
            fresh=fresh,
            echo=echo,
        )
        try:
            content = await response.body(body_s)
        finally:
            response.close()
        return response.status, response.headers, content

    async def acquire(
        self,
        address: configs.Address,
        limits: Timeouts,
        fresh: bool,
        check: PeerCheck | None,
        echo: request_echo.RequestEcho | None = None,
    ) -> tuple[ClientConnection, bool]:
        """Return a connection for a request, and whether it was kept.

        Raises:
          UpstreamError: with ``ran`` False; there is none.
        """
        request_id = echo.id if echo is not None else ""
        fresh = fresh or not self.offer(address, request_id)
        connection = await self.connect(address, limits, fresh)
        if connection.has_carried(request_id):
            # A late copy of an earlier answer would pass for that to a repeat.
            connection.abort()
            connection = await self.connect(address, limits, True)
        self.busy.add(connection)
        kept = connection.uses > 0
        if check is None or connection.checked:
            return connection, kept
        try:
            connection = await self.checked(connection, address, limits, check)
        except errors.UpstreamError:
            # An answer on a kept connection may be a late copy of another.
            if not kept:
                raise
            # It may have gone silent, and so may others kept as long.
            self.distrust(address, limits.connect_s)
            connection = await self.connect(address, limits, True)
            self.busy.add(connection)
            connection = await self.checked(connection, address, limits, check)
        return connection, False

    async def checked(
        self,
        connection: ClientConnection,
        address: configs.Address,
        limits: Timeouts,
        check: PeerCheck,
    ) -> ClientConnection:
        """Return a connection whose server has passed a check.

        Raises:
          UpstreamError: with ``ran`` False; it has not.
        """
        # A silent server may answer later, as with the head of an answer; a
        # kept connection that is silent is replaced.
        kept = connection.uses > 0
        seconds = limits.connect_s if kept else limits.head_s
        prove_s = keepalive.ACKNOWLEDGED_S if kept else 0.0
        try:
            framed = framing(address, (), b"")
            await connection.send_request(
                "GET", check.target, framed, b"", prove_s
            )
            wait = HeadWait(connection, seconds)
            await self.receive_head(connection, wait, check.echo)
            while not connection.complete:
                if connection.lost:
                    raise connection.broken("check")
                await wait.wait("check")
            assert connection.head is not None
            check.verify(connection.head.status_code, connection.take())
        except BaseException as error:
            self.discard(connection)
            if isinstance(error, errors.UpstreamError):
                # Nothing but the question has been sent.
                error.ran = False
            raise
        if connection.reusable():
            connection.h11.start_next_cycle()
        else:
            self.discard(connection)
            connection = await self.connect(address, limits, True)
            self.busy.add(connection)
        connection.checked = True
        return connection

    async def instead(
        self,
        connection: ClientConnection,
        address: configs.Address,
        limits: Timeouts,
        check: PeerCheck | None,
    ) -> ClientConnection:
        """Return a new connection for a kept one that is of no use."""
        was_lost = connection.lost
        self.discard(connection)
        # Others kept as long may be of as little use.
        self.distrust(address, keepalive.ACKNOWLEDGED_S)
        fresh, _ = await self.acquire(address, limits, True, check)
        if not was_lost:
            self.proofs.note(address, False, fresh.loop.time())
        return fresh

    def offer(self, address: configs.Address, request_id: str) -> bool:
        """Have a kept connection that has not carried an id taken next.

        Returns:
          Whether there is one.
        """
        kept = self.idle.get(address, [])
        for index in reversed(range(len(kept))):
            if not kept[index].has_carried(request_id):
                kept.append(kept.pop(index))
                return True
        return False

    async def connect(
        self, address: configs.Address, limits: Timeouts, fresh: bool
    ) -> ClientConnection:
        """Return a kept connection or a new one."""
        loop = asyncio.get_running_loop()
        kept = self.idle.get(address)
        fresh = fresh or not self.proofs.trusted(address, loop.time())
        while kept and not fresh:
            connection = kept.pop()
            idle_s = connection.loop.time() - connection.heard_at
            if idle_s > min(connection.idle_limit_s, MAX_IDLE_S):
                connection.abort()
            elif not connection.lost:
                connection.idle = False
                connection.h11.start_next_cycle()
                return connection
        try:
            async with timers.limit(limits.connect_s):
                _, connection = await loop.create_connection(
                    lambda: ClientConnection(str(address)),
                    address.ip,
                    address.port,
                    ssl=self.tls,
                    server_hostname=address.ip if self.tls else None,
                )
        except TimeoutError as error:
            raise errors.UpstreamTimeout(
                "no connection in time",
                ran=False,
                step="connect",
                peer=str(address),
            ) from error
        except (OSError, OverflowError) as error:
            # OverflowError: a port beyond the last one.
            raise errors.UpstreamBroken(
                str(error), ran=False, step="connect", peer=str(address)
            ) from error
        return connection

    def release(
        self,
        address: configs.Address,
        connection: ClientConnection,
        keep_alive: str = "",
    ) -> None:
        """Keep a connection for later, or drop it.

        Args:
          address: Where it leads.
          connection: Which.
          keep_alive: The server's header on keeping it.
        """
        if connection not in self.busy:
            return
        self.busy.discard(connection)
        kept = self.idle.setdefault(address, [])
        full = len(kept) >= self.bounds.get(address, self.max_idle)
        unwanted = self.closed or full or connection.forgotten
        if unwanted or connection.is_worn or not connection.reusable():
            connection.abort()
            return
        connection.idle = True
        connection.idle_limit_s = keepalive.idle_limit_s(keep_alive)
        connection.timer.stop()
        connection.on_idle_lost = lambda: remove(kept, connection)
        kept.append(connection)

    def discard(self, connection: ClientConnection) -> None:
        """Drop a connection."""
        self.busy.discard(connection)
        connection.abort()

    def distrust(self, address: configs.Address, silence_s: float) -> None:
        """Drop kept connections not heard of during a silence.

        What lost track of one connection has often lost track of others
        made before it; the next request would wait on those in turn.
        Connections that have carried bytes since are known to work.
        """
        since = asyncio.get_running_loop().time() - silence_s
        kept = self.idle.get(address, [])
        for connection in [c for c in kept if c.heard_at <= since]:
            kept.remove(connection)
            connection.abort()

    def bound(self, address: configs.Address, most: int) -> None:
        """Set how many idle connections are kept for an address."""
        self.bounds[address] = most

    def forget(self, address: configs.Address) -> None:
        """Drop all kept connections to an address, and keep none in use."""
        self.bounds.pop(address, None)
        self.proofs.forget(address)
        for connection in self.busy:
            if connection.peer == str(address):
                connection.forgotten = True
        for connection in self.idle.pop(address, []):
            connection.abort()

    async def close(self) -> None:
        """Drop every connection."""
        self.closed = True
        for address in list(self.idle):
            self.forget(address)
        for connection in list(self.busy):
            self.discard(connection)


def remove(kept: list[ClientConnection], connection: ClientConnection) -> None:
    """Take a connection out of those kept, if it is among them."""
    if connection in kept:
        kept.remove(connection)


def is_answered(
    connection: ClientConnection, echo: request_echo.RequestEcho | None
) -> bool:
    """Return whether the server has answered the head of a request.

    A connection carries an id once, so that an answer with the request's id
    is no late copy. The server may have begun at the head.
    """
    if connection.head is None or echo is None or not echo.id:
        return False
    owner = request_echo.Owner
    told = echo.owner_of(connection.head.headers)
    return told in (owner.OWN, owner.AMBIGUOUS)


def framing(
    address: configs.Address, headers: Headers, body: Body
) -> list[tuple[str, str]]:
    """Return headers with host and framing added."""
    framed = list(headers)
    if not any(name.lower() == "host" for name, _ in headers):
        framed.insert(0, ("host", str(address)))
    if isinstance(body, bytes):
        framed.append(("content-length", str(len(body))))
    else:
        framed.append(("transfer-encoding", "chunked"))
    return framed
