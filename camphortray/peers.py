"""Links between hosts: typed messages over websockets."""

__all__ = ["Handler", "PeerFault", "PeerServer", "Peers", "Sender"]

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import ssl
from typing import Any
from typing import ClassVar

from websockets.asyncio import client as ws_client
from websockets.asyncio import connection as ws_connection
from websockets.asyncio import server as ws_server
import websockets.http11

from camphortray import config as configs
from camphortray import errors
from camphortray import handshake as hellos
from camphortray import kernel
from camphortray import links
from camphortray import logs
from camphortray import messages
from camphortray import tasks
from camphortray import tls
from camphortray import traffic as traffics

LOG = logs.logger("peers")
# Longest a new link may take, in seconds.
CONNECT_S = 1.0
# One-way messages of one link that wait for their handler; the oldest are
# dropped beyond that.
MAX_ONEWAY = 256

Sender = hellos.Sender
PeerFault = links.PeerFault
Handler = Callable[[Sender, Any], Awaitable[Any]]


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
            hello = hellos.Hello.from_text(
                request.headers.get(hellos.HEADER, "")
            )
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
        sender = hellos.Hello.from_text(request.headers[hellos.HEADER]).sender
        oneway: asyncio.Queue[Any] = asyncio.Queue(MAX_ONEWAY)
        worker = asyncio.get_running_loop().create_task(
            self.run_oneway(sender, oneway)
        )
        try:
            async for data in socket:
                self.answer(socket, sender, data, oneway)
        except links.LINK_ERRORS as error:
            LOG.debug("Link from {} ended: {}", sender, error)
        finally:
            worker.cancel()

    async def run_oneway(
        self, sender: Sender, oneway: "asyncio.Queue[Any]"
    ) -> None:
        """Run the handlers of one-way messages in their order.

        Apart from the questions: a slow handler would else hold up the
        answers to probes, and this host would look lost.
        """
        while True:
            await self.peers.dispatch(sender, await oneway.get())

    def answer(
        self,
        socket: ws_server.ServerConnection,
        sender: Sender,
        data: str | bytes,
        oneway: "asyncio.Queue[Any]",
    ) -> None:
        """Run the handler of one message in the background."""
        if isinstance(data, str):
            return
        self.peers.traffic.received(len(data) + traffics.MASK_BYTES)
        try:
            envelope = messages.decode(data)
        except errors.MessageError as error:
            LOG.warning("Bad message from {}: {}", sender, error)
            return
        self.peers.traffic.read(messages.kind_of(envelope.message))
        if envelope.number == 0:
            if oneway.full():
                oneway.get_nowait()
            oneway.put_nowait(envelope.message)
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
        reply = reply or links.Ack()
        try:
            data = messages.encode(
                messages.Envelope(envelope.number, True, reply)
            )
        except errors.MessageError as error:
            LOG.error("No answer to {}: {}", sender, error)
            reply = links.PeerFault(str(error))
            data = messages.encode(
                messages.Envelope(envelope.number, True, reply)
            )
        self.peers.traffic.sent(len(data), messages.kind_of(reply))
        try:
            await socket.send(data)
        except links.LINK_ERRORS as error:
            LOG.debug("Lost an answer to {}: {}", sender, error)

    async def stop(self) -> None:
        """Stop listening and drop all links."""
        if self.server is not None:
            self.server.close()
            await self.server.wait_closed()


@kernel.PARTS.register("entry", "batch", "host")
class Peers(kernel.Part, links.Connector):
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
        self.links: dict[configs.Address, links.Link] = {}
        self.server = PeerServer(self)
        self.address = configs.Address("", 0)
        self.traffic = traffics.Traffic()
        self.tasks = tasks.TaskSet()
        self.sender = Sender(
            context.config.host.name, context.program, context.incarnation
        )

    @classmethod
    def from_config(cls, context: kernel.Context) -> "Peers":
        return cls(context)

    async def start(self) -> None:
        peer = self.config.peer
        text = (
            peer.batch_listen
            if self.context.program == "batch"
            else peer.entry_listen
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
        if isinstance(message, links.Probe):
            return None
        handler = self.handlers.get(type(message))
        if handler is None:
            return links.PeerFault(f"no handler of {type(message).__name__}")
        try:
            return await handler(sender, message)
        except Exception as error:
            LOG.error("Handler of {!r} failed: {!r}", message, error)
            return links.PeerFault(str(error))

    def spawn(self, work: Any) -> None:
        """Run work in the background until done or stopped."""
        self.tasks.spawn(work)

    async def connect(
        self, address: configs.Address
    ) -> ws_connection.Connection:
        """Open a new connection to a peer."""
        secure = tls.peer_client_context(self.config.tls)
        hello = hellos.Hello.sign(
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
            additional_headers={hellos.HEADER: str(hello)},
        )

    def link(self, address: configs.Address) -> links.Link:
        """Return the link to an address."""
        link = self.links.get(address)
        if link is None:
            link = self.links[address] = links.Link(self, address)
        return link

    async def ask(
        self, address: configs.Address, message: Any, timeout_s: float = 1.0
    ) -> Any:
        """Ask a peer; see ``Link.ask``."""
        return await self.link(address).ask(message, timeout_s)

    def notify(self, address: configs.Address, message: Any) -> None:
        """Tell a peer something, without knowing that it arrives."""
        self.link(address).notify(message)

    async def ask_anew(
        self, address: configs.Address, message: Any, timeout_s: float = 1.0
    ) -> Any:
        """Ask over a new connection, closed again afterwards."""
        link = links.Link(self, address)
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
        self.tasks.cancel()
        await self.server.stop()
