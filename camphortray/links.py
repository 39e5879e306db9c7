"""An outgoing link to a peer: questions, answers and one-way messages."""

__all__ = ["Ack", "LINK_ERRORS", "Link", "PeerFault", "Probe"]

import abc
import asyncio
from typing import Any

import msgspec
from websockets.asyncio import connection as ws_connection
import websockets.exceptions

from camphortray import config as configs
from camphortray import errors
from camphortray import logs
from camphortray import messages
from camphortray import tasks
from camphortray import timers
from camphortray import traffic as traffics

LOG = logs.logger("peers")
# Messages waiting for one peer; the oldest are dropped beyond that.
MAX_QUEUED = 256
# Longest a one-way message may take to leave, and for how long a peer may
# say nothing on a link before it is asked for a sign of life, in seconds.
SEND_S = 1.0
QUIET_S = 5.0
# Faults that mean "this link is of no use any more".
LINK_ERRORS = (
    OSError,
    TimeoutError,
    websockets.exceptions.WebSocketException,
)


@messages.message("ack")
class Ack(msgspec.Struct, frozen=True):
    """Answers a question that needs no other answer."""


@messages.message("probe")
class Probe(msgspec.Struct, frozen=True):
    """Asks for an ``Ack``, to see whether a link still works."""


@messages.message("fault")
class PeerFault(msgspec.Struct, frozen=True):
    """Answers a question that failed."""

    message: str


class Connector(abc.ABC):
    """Opens connections for links.

    Attributes:
      traffic: Counts of all links.
    """

    traffic: traffics.Traffic

    @abc.abstractmethod
    async def connect(
        self, address: configs.Address
    ) -> ws_connection.Connection:
        """Open a new connection to a peer."""


class Link:
    """An outgoing link to one address, opened on first use."""

    def __init__(self, peers: Connector, address: configs.Address) -> None:
        self.peers = peers
        self.address = address
        self.socket: ws_connection.Connection | None = None
        self.waiting: dict[int, asyncio.Future[Any]] = {}
        self.number = 0
        self.opening: asyncio.Task[None] | None = None
        self.closed = False
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
        socket = None
        try:
            async with timers.limit(timeout_s):
                socket = await self.open()
                await self.send(
                    socket, messages.Envelope(number, False, message)
                )
                reply = await answer
        except LINK_ERRORS as error:
            if isinstance(error, TimeoutError):
                # A link may have gone silent for good while new ones
                # work; the next question must not use it again.
                self.leave(socket)
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

    def notify(self, message: Any) -> None:
        """Send a one-way message in the background; it may be lost."""
        if self.queue.qsize() >= MAX_QUEUED:
            self.queue.get_nowait()
        self.queue.put_nowait(message)
        if self.sender is None or self.sender.done():
            self.sender = tasks.spawn("sending to a peer", self.send_queued())

    async def send_queued(self) -> None:
        """Send what is queued; on a fault the queue is dropped."""
        while not self.queue.empty():
            message = self.queue.get_nowait()
            try:
                async with asyncio.timeout(SEND_S):
                    socket = await self.open()
                    await self.send(
                        socket, messages.Envelope(0, False, message)
                    )
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

    async def send(
        self, socket: ws_connection.Connection, envelope: messages.Envelope
    ) -> None:
        """Send over a socket.

        Raises:
          One of ``LINK_ERRORS``: the link is of no use.
        """
        data = messages.encode(envelope)
        kind = messages.kind_of(envelope.message)
        self.peers.traffic.sent(len(data) + traffics.MASK_BYTES, kind)
        try:
            await socket.send(data)
        except LINK_ERRORS:
            raise
        except Exception as error:
            # Whatever goes wrong below is the link's end and nothing else:
            # ``websockets`` lets out AttributeError where the peer has ended
            # its side while bytes wait here. Not caught by those who ask, it
            # ended the work that the question was for.
            self.leave(socket)
            raise ConnectionError(f"link broke: {error!r}") from error

    def leave(self, socket: ws_connection.Connection | None) -> None:
        """Drop a socket that is of no use.

        Not one that has taken its place meanwhile, on which others wait for
        their answers.
        """
        if socket is not None and self.socket is socket:
            self.drop()

    async def open(self) -> ws_connection.Connection:
        """Return the socket, opened if need be.

        It is opened for all who ask meanwhile, and goes on being opened when
        the first of them gives up: questions with less time than a slow link
        takes to open would else begin to open it one after the other, and
        none ever would.
        """
        while self.socket is None:
            if self.opening is None:
                self.opening = asyncio.get_running_loop().create_task(
                    self.connect()
                )
                self.opening.add_done_callback(self.opened)
            await asyncio.shield(self.opening)
        return self.socket

    async def connect(self) -> None:
        """Open a socket and read what comes.

        Raises:
          One of ``LINK_ERRORS``: it cannot be opened.
        """
        try:
            socket = await self.peers.connect(self.address)
        except LINK_ERRORS:
            raise
        except Exception as error:
            raise ConnectionError(f"no link: {error!r}") from error
        if self.closed:
            abort(socket)
            raise ConnectionError("link is closed")
        self.socket = socket
        self.reader = tasks.spawn(
            "reading of a link to a peer", self.read(socket)
        )

    def opened(self, task: "asyncio.Task[None]") -> None:
        """Take note that a socket is open, or that it could not be."""
        self.opening = None
        if not task.cancelled():
            # Whoever asked may have given up, and nobody else asks.
            task.exception()

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
        self.peers.traffic.read(messages.kind_of(envelope.message))
        answer = self.waiting.get(envelope.number)
        if answer is not None and not answer.done():
            answer.set_result(envelope.message)

    def fail_waiting(self) -> None:
        """Fail all open questions."""
        for answer in self.waiting.values():
            if not answer.done():
                answer.set_exception(ConnectionError("link ended"))
                # Whoever asked may have given up, and nobody else asks.
                answer.exception()

    def drop(self) -> None:
        """Close without waiting."""
        socket, self.socket = self.socket, None
        if socket is not None:
            abort(socket)
        self.fail_waiting()
        if self.reader is not None:
            self.reader.cancel()

    def close(self) -> None:
        """Close for good."""
        self.closed = True
        if self.sender is not None:
            self.sender.cancel()
        self.drop()


def abort(socket: ws_connection.Connection) -> None:
    """Close a connection at once."""
    try:
        socket.transport.abort()
    except AttributeError as error:
        # The transport has closed itself meanwhile, its peer having ended.
        LOG.debug("Already closed: {!r}", error)
