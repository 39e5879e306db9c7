"""A small HTTP/1.1 server and client for stand-ins, on asyncio alone."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import dataclasses
import urllib.parse

MAX_HEAD = 65_536
REASONS = {
    200: "OK",
    202: "Accepted",
    404: "Not Found",
    409: "Conflict",
    410: "Gone",
    412: "Precondition Failed",
    421: "Misdirected Request",
    503: "Service Unavailable",
}


@dataclasses.dataclass
class Request:
    """A request as a stand-in reads it."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def path(self) -> str:
        """Path without the query."""
        return self.target.partition("?")[0]

    @property
    def query(self) -> dict[str, str]:
        """Decoded fields of the query."""
        text = self.target.partition("?")[2]
        return dict(urllib.parse.parse_qsl(text, keep_blank_values=True))


@dataclasses.dataclass
class Answer:
    """An answer as a client reads it.

    Attributes:
      status: 0 if the connection ended before a head.
      complete: Whether the whole body has come.
      seconds: From the first byte sent to the end.
    """

    status: int = 0
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    body: bytes = b""
    complete: bool = False
    seconds: float = 0.0
    why: str = ""


class Channel:
    """One connection at a server."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.reader = reader
        self.writer = writer

    async def send(
        self, status: int, headers: dict[str, str], body: bytes = b""
    ) -> None:
        """Send a whole answer."""
        fields = {**headers, "Content-Length": str(len(body))}
        self.writer.write(head_of(status, fields) + body)
        await self.writer.drain()

    async def begin(self, status: int, headers: dict[str, str]) -> None:
        """Begin an answer in chunks."""
        fields = {**headers, "Transfer-Encoding": "chunked"}
        self.writer.write(head_of(status, fields))
        await self.writer.drain()

    async def chunk(self, data: bytes) -> None:
        """Send a chunk; an empty one ends the answer."""
        self.writer.write(b"%x\r\n" % len(data) + data + b"\r\n")
        await self.writer.drain()

    def reset(self) -> None:
        """Drop the connection."""
        self.writer.transport.abort()


Handler = Callable[[Channel, Request], Awaitable[None]]


class Server:
    """Serves one address; a handler that is waiting ends with its caller."""

    def __init__(self, handler: Handler) -> None:
        self.handler = handler
        self.channels: set[Channel] = set()
        self.server: asyncio.Server | None = None

    async def start(self, ip: str, port: int) -> None:
        """Listen."""
        self.server = await asyncio.start_server(
            self.serve, ip, port, limit=MAX_HEAD, backlog=512
        )

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection."""
        channel = Channel(reader, writer)
        self.channels.add(channel)
        try:
            while (request := await read_request(reader)) is not None:
                if not await self.run(channel, request):
                    break
        except (
            OSError,
            asyncio.IncompleteReadError,
            ValueError,
            asyncio.CancelledError,
        ):
            pass
        finally:
            self.channels.discard(channel)
            with contextlib.suppress(Exception):
                writer.close()

    async def run(self, channel: Channel, request: Request) -> bool:
        """Run one handler; return whether the connection goes on."""
        work = asyncio.ensure_future(self.handler(channel, request))
        gone = asyncio.ensure_future(peer_left(channel))
        try:
            await asyncio.wait(
                {work, gone}, return_when=asyncio.FIRST_COMPLETED
            )
            if not work.done():
                return False
            work.result()
            return not channel.writer.is_closing()
        finally:
            for task in (work, gone):
                task.cancel()
            await asyncio.wait({work, gone})

    def stop(self) -> None:
        """Stop at once, as a process that is killed."""
        if self.server is not None:
            self.server.close()
        for channel in list(self.channels):
            channel.reset()


async def peer_left(channel: Channel) -> None:
    """Return once the peer has closed; what it sends more is kept."""
    while not channel.reader.at_eof():
        if channel.writer.is_closing() or channel.reader.exception():
            return
        await asyncio.sleep(0.005)


def head_of(status: int, headers: dict[str, str]) -> bytes:
    """Return the head of an answer."""
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return "\r\n".join([*lines, "", ""]).encode("latin1")


async def read_head(
    reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str]] | None:
    """Return the first line and the fields, or None at the end."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise
        return None
    first, *lines = raw.decode("latin1").split("\r\n")
    fields: dict[str, str] = {}
    for line in lines:
        name, _, value = line.partition(":")
        if name:
            fields[name.strip().lower()] = value.strip()
    return first, fields


async def read_chunks(
    reader: asyncio.StreamReader, on_data: Callable[[bytes], None]
) -> None:
    """Read a body in chunks to its end."""
    while True:
        size = int((await reader.readline()).split(b";")[0] or b"x", 16)
        data = await reader.readexactly(size + 2)
        if not size:
            return
        on_data(data[:-2])


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """Return the next request, or None at the end."""
    found = await read_head(reader)
    if found is None:
        return None
    first, fields = found
    method, target, _ = first.split(" ", 2)
    parts: list[bytes] = []
    if fields.get("transfer-encoding", "").lower() == "chunked":
        await read_chunks(reader, parts.append)
    else:
        size = int(fields.get("content-length", "0"))
        parts.append(await reader.readexactly(size))
    return Request(method, target, fields, b"".join(parts))


class Client:
    """One connection of a client."""

    def __init__(self, address: str) -> None:
        self.address = address
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def connect(self) -> None:
        """Connect, in a second at most."""
        ip, _, port = self.address.rpartition(":")
        async with asyncio.timeout(1.0):
            self.reader, self.writer = await asyncio.open_connection(
                ip, int(port), limit=MAX_HEAD
            )

    async def ask(
        self,
        method: str,
        target: str,
        headers: dict[str, str],
        body: bytes = b"",
        timeout_s: float = 30.0,
    ) -> Answer:
        """Send a request and read its answer as far as it comes."""
        answer = Answer()
        loop = asyncio.get_running_loop()
        begun_at = loop.time()
        try:
            async with asyncio.timeout(timeout_s):
                if self.writer is None:
                    await self.connect()
                await self.exchange(answer, method, target, headers, body)
        except TimeoutError:
            answer.why = "no end in time"
        except (OSError, EOFError, ValueError) as error:
            answer.why = repr(error)
        answer.seconds = loop.time() - begun_at
        if not answer.complete:
            self.close()
        return answer

    async def exchange(
        self,
        answer: Answer,
        method: str,
        target: str,
        headers: dict[str, str],
        body: bytes,
    ) -> None:
        """Send, and read into an answer."""
        assert self.reader is not None and self.writer is not None
        fields = {
            "Host": self.address,
            **headers,
            "Content-Length": str(len(body)),
        }
        lines = [f"{method} {target} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in fields.items()]
        head = "\r\n".join([*lines, "", ""]).encode("latin1")
        self.writer.write(head + body)
        await self.writer.drain()
        found = await read_head(self.reader)
        if found is None:
            raise EOFError("closed without an answer")
        first, answer.headers = found
        answer.status = int(first.split(" ")[1])

        def add(data: bytes) -> None:
            answer.body += data

        if answer.headers.get("transfer-encoding") == "chunked":
            await read_chunks(self.reader, add)
        else:
            size = int(answer.headers.get("content-length", "0"))
            add(await self.reader.readexactly(size))
        answer.complete = True
        if answer.headers.get("connection", "").lower() == "close":
            self.close()

    def close(self) -> None:
        """Close the connection."""
        if self.writer is not None:
            self.writer.transport.abort()
        self.reader = self.writer = None


async def call(
    address: str,
    method: str,
    target: str,
    headers: dict[str, str],
    body: bytes = b"",
    timeout_s: float = 30.0,
) -> Answer:
    """Send one request on a new connection."""
    client = Client(address)
    try:
        return await client.ask(method, target, headers, body, timeout_s)
    finally:
        client.close()
