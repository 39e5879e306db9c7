"""HTTP/1.1 over asyncio streams, as much as the stand-ins need."""

import asyncio
import contextlib
import json
import urllib.parse


class Broken(Exception):
    """A connection ended, or what came is no HTTP."""


class Message:
    """A request or an answer, without its body."""

    def __init__(self, first, headers):
        self.first = first
        self.headers = headers

    @property
    def status(self):
        """Status of an answer."""
        return int(self.first.split(" ")[1])

    @property
    def method(self):
        """Method of a request."""
        return self.first.split(" ")[0]

    @property
    def target(self):
        """Path and query of a request."""
        return self.first.split(" ")[1]

    @property
    def path(self):
        """Path of a request."""
        return self.target.partition("?")[0]

    @property
    def query(self):
        """Query of a request, the last value of each name."""
        text = self.target.partition("?")[2]
        return dict(urllib.parse.parse_qsl(text, keep_blank_values=True))


async def read_head(reader):
    """Return the next message; None at a clean end."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise Broken("the head is cut off") from error
        return None
    except (OSError, asyncio.LimitOverrunError) as error:
        raise Broken(str(error)) from error
    first, *lines = raw.decode("latin1").rstrip("\r\n").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return Message(first, headers)


async def chunks(reader, message, answer=False):
    """Yield the body of a message as it comes."""
    headers = message.headers
    try:
        if headers.get("transfer-encoding", "").lower() == "chunked":
            while True:
                line = await reader.readuntil(b"\r\n")
                size = int(line.split(b";")[0], 16)
                data = await reader.readexactly(size + 2)
                if not size:
                    return
                yield data[:-2]
        elif "content-length" in headers:
            left = int(headers["content-length"])
            while left:
                data = await reader.read(min(left, 65536))
                if not data:
                    raise Broken("the body is cut off")
                left -= len(data)
                yield data
        elif answer:
            while data := await reader.read(65536):
                yield data
    except (OSError, ValueError, asyncio.IncompleteReadError) as error:
        raise Broken(str(error)) from error


async def read_body(reader, message, answer=False):
    """Return the whole body of a message."""
    return b"".join([part async for part in chunks(reader, message, answer)])


def answer_bytes(status, body=b"", headers=()):
    """Return an answer with a length."""
    lines = [f"HTTP/1.1 {status} X"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode("latin1") + body


def json_bytes(status, data):
    """Return an answer with JSON."""
    headers = [("Content-Type", "application/json")]
    return answer_bytes(status, json.dumps(data).encode(), headers)


class Server:
    """Answers requests, one after the other on each connection."""

    def __init__(self):
        self.server = None
        self.writers = set()
        self.tasks = set()

    async def start(self, ip, port=0):
        """Listen."""
        self.server = await asyncio.start_server(
            self.serve, ip, port, limit=8 * 1024 * 1024
        )
        self.address = "{}:{}".format(
            *self.server.sockets[0].getsockname()[:2]
        )

    async def serve(self, reader, writer):
        """Serve one connection."""
        self.writers.add(writer)
        self.tasks.add(asyncio.current_task())
        try:
            while (request := await read_head(reader)) is not None:
                if not await self.handle(request, reader, writer):
                    break
        except (Broken, OSError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            self.tasks.discard(asyncio.current_task())
            writer.close()

    async def handle(self, request, reader, writer):
        """Answer one request; return whether the connection goes on."""
        raise NotImplementedError

    def reset_all(self):
        """Reset all connections."""
        for writer in list(self.writers):
            writer.transport.abort()

    async def stop(self):
        """Stop listening and drop all connections."""
        if self.server is not None:
            self.server.close()
        for task in list(self.tasks):
            task.cancel()
        self.reset_all()


class Answer:
    """What a caller got."""

    def __init__(self, status, headers, body, whole):
        self.status = status
        self.headers = headers
        self.body = body
        self.whole = whole


async def call(address, method, target, headers=(), body=b"", timeout_s=5.0):
    """Send one request on a new connection; status 0 without an answer."""
    ip, _, port = address.rpartition(":")
    writer = None
    status, told, data, whole = 0, {}, b"", False
    lines = [f"{method} {target} HTTP/1.1"]
    if not any(name.lower() == "host" for name, _ in headers):
        lines.append(f"Host: {address}")
    lines += [f"{name}: {value}" for name, value in headers]
    lines += [f"Content-Length: {len(body)}", "", ""]
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(
                ip, int(port), limit=8 * 1024 * 1024
            )
            writer.write("\r\n".join(lines).encode("latin1") + body)
            answer = await read_head(reader)
            if answer is not None:
                status, told = answer.status, answer.headers
                async for part in chunks(reader, answer, True):
                    data += part
                whole = True
    except (TimeoutError, OSError, Broken):
        pass
    finally:
        if writer is not None:
            with contextlib.suppress(OSError):
                writer.transport.abort()
    return Answer(status, told, data, whole)
