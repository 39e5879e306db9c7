"""Links between hosts: typed messages over websockets."""

__all__ = ["Handler", "Hello", "PeerServer", "Peers", "Sender"]

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import hashlib
import hmac
import ssl
from typing import Any
from typing import ClassVar

from websockets.asyncio import client as ws_client
from websockets.asyncio import connection as ws_connection
from websockets.asyncio import server as ws_server
import websockets.exceptions
import websockets.http11

from camphortray import config as configs
from camphortray import errors
from camphortray import kernel
from camphortray import logs
from camphortray import messages
from camphortray import tls

LOG = logs.logger("peers")
# Longest a new link may take, in seconds.
CONNECT_S = 1.0
# Messages waiting for one peer; the oldest are dropped beyond that.
MAX_QUEUED = 256
# Longest a one-way message may take to leave, and for how long a peer may
# say nothing on a link before it is asked for a sign of life, in seconds.
SEND_S = 1.0
QUIET_S = 5.0
HELLO_HEADER = "Camphortray-Hello"
# Seconds by which the clocks of two hosts may differ.
MAX_SKEW_S = 60.0
# Bytes by which a client's frames are longer, as they are masked, and of
# the two sides of a handshake as measured; for the count of traffic.
MASK_BYTES = 4
HANDSHAKE_BYTES = (310, 203)
# Faults that mean "this link is of no use any more".
LINK_ERRORS = (
    OSError,
    TimeoutError,
    websockets.exceptions.WebSocketException,
)


@dataclasses.dataclass(frozen=True, slots=True)
class Sender:
    """Who sent a message.

    Attributes:
      host: Its name, as it gave it.
      program: ``"entry"`` or ``"batch"``.
      incarnation: Of its process.
    """

    host: str
    program: str
    incarnation: int

    def __str__(self) -> str:
        return f"{self.host}/{self.program}"


class Traffic:
    """Counts what links carry, handshakes and frames included.

    Attributes:
      sent_bytes: Bytes handed to TCP.
      received_bytes: Likewise taken.
      messages: Number of messages, both ways.
    """

    def __init__(self) -> None:
        self.sent_bytes = 0
        self.received_bytes = 0
        self.messages = 0

    def sent(self, size: int) -> None:
        """Count a message sent."""
        self.messages += 1
        self.sent_bytes += framed(size)

    def received(self, size: int) -> None:
        """Count a message received."""
        self.messages += 1
        self.received_bytes += framed(size)

    def opened(self, client: bool) -> None:
        """Count the handshake of a link."""
        ask, answer = HANDSHAKE_BYTES if client else HANDSHAKE_BYTES[::-1]
        self.sent_bytes += ask
        self.received_bytes += answer


def framed(size: int) -> int:
    """Return the size of a message with the header of its frame."""
    if size < 126:
        return size + 2
    return size + (4 if size < 65_536 else 10)


Handler = Callable[[Sender, Any], Awaitable[Any]]


@messages.message("ack")
@dataclasses.dataclass(frozen=True, slots=True)
class Ack:
    """Answers a question that needs no other answer."""


@messages.message("probe")
@dataclasses.dataclass(frozen=True, slots=True)
class Probe:
    """Asks for an ``Ack``, to see whether a link still works."""


@messages.message("fault")
@dataclasses.dataclass(frozen=True, slots=True)
class PeerFault:
    """Answers a question that failed."""

    message: str


@dataclasses.dataclass(frozen=True, slots=True)
class Hello:
    """What the first header of a link says.

    The signature is an HMAC of the other fields under the shared key.
    """

    sender: Sender
    time_ms: int
    signature: str

    @classmethod
    def sign(cls, sender: Sender, time_ms: int, key: str) -> "Hello":
        """Return a signed hello."""
        text = f"{sender}/{sender.incarnation}/{time_ms}"
        digest = hmac.new(key.encode(), text.encode(), hashlib.sha256)
        return cls(sender, time_ms, digest.hexdigest())

    @classmethod
    def from_text(cls, text: str) -> "Hello":
        """Parse a header value.

        Raises:
          ValueError: it is not one.
        """
        host, program, incarnation, time_ms, signature = text.split("/")
        sender = Sender(host, program, int(incarnation))
        return cls(sender, int(time_ms), signature)

    def __str__(self) -> str:
        return (
            f"{self.sender}/{self.sender.incarnation}"
            f"/{self.time_ms}/{self.signature}"
        )

    def valid(self, key: str, now_ms: int) -> bool:
        """Return whether the signature is right and recent."""
        wanted = Hello.sign(self.sender, self.time_ms, key).signature
        recent = abs(now_ms - self.time_ms) <= MAX_SKEW_S * 1000
        return recent and hmac.compare_digest(wanted, self.signature)


class Link:
    """An outgoing link to one address, opened on first use."""

    def __init__(self, peers: "Peers", address: configs.Address) -> None:
        self.peers = peers
        self.address = address
        self.socket: ws_connection.Connection | None = None
        self.waiting: dict[int, asyncio.Future[Any]] = {}
        self.number = 0
        self.lock = asyncio.Lock()
        self.reader: asyncio.Task[None] | None = None
        self.queue: asyncio.Queue[Any] = asyncio.Queue()
        self.heard_at = asyncio.get_running_loop().time()
        self.sender: asyncio.Task[None] | None = None

    async def ask(self, message: Any, timeout_s: float) -> Any:
        """Send a question and return its answer.

        Raises:
          MessageError: no answer in time, or the peer's own fault.
        """
        self.number += 1
        number = self.number
        answer = asyncio.get_running_loop().create_future()
        self.waiting[number] = answer
        try:
            async with asyncio.timeout(timeout_s):
                await self.send(messages.Envelope(number, False, message))
                reply = await answer
        except LINK_ERRORS as error:
            if isinstance(error, TimeoutError):
                # A link may have gone silent for good while new ones
                # work; the next question must not use it again.
                self.drop()
            raise errors.MessageError(
                str(error) or "no answer in time",
                step="ask",
                peer=str(self.address),
            ) from error
        finally:
            self.waiting.pop(number, None)
        if isinstance(reply, PeerFault):
            raise errors.MessageError(
                reply.message, step="ask", peer=str(self.address)
            )
        return reply

    def tell(self, message: Any) -> None:
        """Send a one-way message in the background; it may be lost."""
        if self.queue.qsize() >= MAX_QUEUED:
            self.queue.get_nowait()
        self.queue.put_nowait(message)
        if self.sender is None or self.sender.done():
            self.sender = asyncio.get_running_loop().create_task(
                self.send_queued()
            )

    async def send_queued(self) -> None:
        """Send what is queued; on a fault the queue is dropped."""
        while not self.queue.empty():
            message = self.queue.get_nowait()
            try:
                async with asyncio.timeout(SEND_S):
                    await self.send(messages.Envelope(0, False, message))
            except LINK_ERRORS as error:
                LOG.debug("Lost a message to {}: {}", self.address, error)
                self.queue = asyncio.Queue()
                self.drop()
            else:
                await self.probe()

    async def probe(self) -> None:
        """Ask for a sign of life if the peer has long said nothing.

        One-way messages on a link that has gone silent for good would be
        lost for ever; ``ask`` drops a link on which no answer comes.
        """
        now = asyncio.get_running_loop().time()
        if now - self.heard_at < QUIET_S:
            return
        self.heard_at = now
        try:
            await self.ask(Probe(), SEND_S)
        except errors.MessageError as error:
            LOG.debug("Silent link to {}: {}", self.address, error)

    async def send(self, envelope: messages.Envelope) -> None:
        """Send over the open link, or over a new one."""
        data = messages.encode(envelope)
        socket = await self.open()
        self.peers.traffic.sent(len(data) + MASK_BYTES)
        await socket.send(data)

    async def open(self) -> ws_connection.Connection:
        """Return the socket, opened if need be."""
        async with self.lock:
            if self.socket is None:
                self.socket = await self.peers.connect(self.address)
                self.reader = asyncio.get_running_loop().create_task(
                    self.read(self.socket)
                )
            return self.socket

    async def read(self, socket: ws_connection.Connection) -> None:
        """Take answers until the link ends."""
        try:
            async for data in socket:
                self.take(data)
        except LINK_ERRORS as error:
            LOG.debug("Link to {} ended: {}", self.address, error)
        finally:
            # A link that was dropped before has failed its questions; those
            # that wait now were asked on the one that took its place.
            if self.socket is socket:
                self.socket = None
                self.fail_waiting()

    def take(self, data: str | bytes) -> None:
        """Hand an answer to whoever asked."""
        if isinstance(data, str):
            return
        self.peers.traffic.received(len(data))
        self.heard_at = asyncio.get_running_loop().time()
        try:
            envelope = messages.decode(data)
        except errors.MessageError as error:
            LOG.warning("Bad message from {}: {}", self.address, error)
            return
        answer = self.waiting.get(envelope.number)
        if answer is not None and not answer.done():
            answer.set_result(envelope.message)

    def fail_waiting(self) -> None:
        """Fail all open questions."""
        for answer in self.waiting.values():
            if not answer.done():
                answer.set_exception(ConnectionError("link ended"))

    def drop(self) -> None:
        """Close without waiting."""
        socket, self.socket = self.socket, None
        if socket is not None:
            socket.transport.abort()
        self.fail_waiting()
        if self.reader is not None:
            self.reader.cancel()

    def close(self) -> None:
        """Close for good."""
        if self.sender is not None:
            self.sender.cancel()
        self.drop()


class PeerServer:
    """Takes links from other hosts and answers their messages."""

    def __init__(self, peers: "Peers") -> None:
        self.peers = peers
        self.server: ws_server.Server | None = None

    async def start(
        self, address: configs.Address, context: ssl.SSLContext | None
    ) -> configs.Address:
        """Listen; return the address taken."""
        self.server = await ws_server.serve(
            self.serve,
            address.ip,
            address.port,
            ssl=context,
            compression=None,
            max_size=messages.MAX_MESSAGE_BYTES,
            ping_interval=None,
            process_request=self.admit,
            close_timeout=1.0,
        )
        sockets = list(self.server.sockets)
        name = sockets[0].getsockname()
        return configs.Address(name[0], name[1])

    def admit(
        self, socket: ws_server.ServerConnection, request: Any
    ) -> websockets.http11.Response | None:
        """Refuse a link without a valid hello."""
        try:
            hello = Hello.from_text(request.headers.get(HELLO_HEADER, ""))
        except ValueError:
            return socket.respond(400, "no hello\n")
        key = self.peers.config.peer.shared_key
        now_ms = int(self.peers.context.clock.wall() * 1000)
        if key and not hello.valid(key, now_ms):
            LOG.warning("Refused a link that calls itself {}.", hello.sender)
            return socket.respond(401, "bad signature\n")
        return None

    async def serve(self, socket: ws_server.ServerConnection) -> None:
        """Answer messages until the link ends."""
        request = socket.request
        assert request is not None
        self.peers.traffic.opened(client=False)
        sender = Hello.from_text(request.headers[HELLO_HEADER]).sender
        try:
            async for data in socket:
                await self.answer(socket, sender, data)
        except LINK_ERRORS as error:
            LOG.debug("Link from {} ended: {}", sender, error)

    async def answer(
        self,
        socket: ws_server.ServerConnection,
        sender: Sender,
        data: str | bytes,
    ) -> None:
        """Run the handler of one message in the background."""
        if isinstance(data, str):
            return
        self.peers.traffic.received(len(data) + MASK_BYTES)
        try:
            envelope = messages.decode(data)
        except errors.MessageError as error:
            LOG.warning("Bad message from {}: {}", sender, error)
            return
        if envelope.number == 0:
            await self.peers.dispatch(sender, envelope.message)
            return
        # A slow handler must not hold up messages behind it.
        self.peers.spawn(self.reply(socket, sender, envelope))

    async def reply(
        self,
        socket: ws_server.ServerConnection,
        sender: Sender,
        envelope: messages.Envelope,
    ) -> None:
        """Answer one question."""
        reply = await self.peers.dispatch(sender, envelope.message)
        data = messages.encode(
            messages.Envelope(envelope.number, True, reply or Ack())
        )
        self.peers.traffic.sent(len(data))
        try:
            await socket.send(data)
        except LINK_ERRORS as error:
            LOG.debug("Lost an answer to {}: {}", sender, error)

    async def stop(self) -> None:
        """Stop listening and drop all links."""
        if self.server is not None:
            self.server.close()
            await self.server.wait_closed()


@kernel.PARTS.register("entry", "batch")
class Peers(kernel.Part):
    """All links of one program.

    Attributes:
      address: Where this program takes links.
      traffic: Counts of all links.
    """

    name: ClassVar[str] = "peers"

    def __init__(self, context: kernel.Context) -> None:
        self.context = context
        self.config = context.config
        self.handlers: dict[type, Handler] = {}
        self.links: dict[configs.Address, Link] = {}
        self.server = PeerServer(self)
        self.address = configs.Address("", 0)
        self.traffic = Traffic()
        self.tasks: set[asyncio.Task[None]] = set()
        self.sender = Sender(
            context.config.host.name, context.program, context.incarnation
        )

    @classmethod
    def from_config(cls, context: kernel.Context) -> "Peers":
        return cls(context)

    async def start(self) -> None:
        peer = self.config.peer
        text = (
            peer.entry_listen
            if self.context.program == "entry"
            else peer.batch_listen
        )
        self.address = await self.server.start(
            configs.Address.from_text(text),
            tls.peer_server_context(self.config.tls),
        )

    def on(self, cls: type, handler: Handler) -> None:
        """Let ``handler`` answer messages of class ``cls``."""
        self.handlers[cls] = handler

    async def dispatch(self, sender: Sender, message: Any) -> Any:
        """Run the handler of a message; its failure becomes a fault."""
        if isinstance(message, Probe):
            return None
        handler = self.handlers.get(type(message))
        if handler is None:
            return PeerFault(f"no handler of {type(message).__name__}")
        try:
            return await handler(sender, message)
        except Exception as error:
            LOG.error("Handler of {!r} failed: {!r}", message, error)
            return PeerFault(str(error))

    def spawn(self, work: Any) -> None:
        """Run work in the background until done or stopped."""
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def connect(
        self, address: configs.Address
    ) -> ws_connection.Connection:
        """Open a new connection to a peer."""
        secure = tls.peer_client_context(self.config.tls)
        hello = Hello.sign(
            self.sender,
            int(self.context.clock.wall() * 1000),
            self.config.peer.shared_key,
        )
        scheme = "wss" if secure else "ws"
        self.traffic.opened(client=True)
        return await ws_client.connect(
            f"{scheme}://{address}/",
            ssl=secure,
            compression=None,
            max_size=messages.MAX_MESSAGE_BYTES,
            ping_interval=None,
            open_timeout=CONNECT_S,
            close_timeout=1.0,
            proxy=None,
            additional_headers={HELLO_HEADER: str(hello)},
        )

    def link(self, address: configs.Address) -> Link:
        """Return the link to an address."""
        link = self.links.get(address)
        if link is None:
            link = self.links[address] = Link(self, address)
        return link

    async def ask(
        self, address: configs.Address, message: Any, timeout_s: float = 1.0
    ) -> Any:
        """Ask a peer; see ``Link.ask``."""
        return await self.link(address).ask(message, timeout_s)

    def tell(self, address: configs.Address, message: Any) -> None:
        """Tell a peer something, without knowing that it arrives."""
        self.link(address).tell(message)

    async def ask_anew(
        self, address: configs.Address, message: Any, timeout_s: float = 1.0
    ) -> Any:
        """Ask over a new connection, closed again afterwards."""
        link = Link(self, address)
        try:
            return await link.ask(message, timeout_s)
        finally:
            link.close()

    def forget(self, address: configs.Address) -> None:
        """Drop the link to an address that is gone."""
        link = self.links.pop(address, None)
        if link is not None:
            link.close()

    async def stop(self) -> None:
        for address in list(self.links):
            self.forget(address)
        for task in list(self.tasks):
            task.cancel()
        await self.server.stop()
