"""A request and its response, apart from the connection under them."""

__all__ = ["Request", "Response", "Wire", "refusal_body"]

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Sequence
import re
from typing import Any
from typing import Protocol
import urllib.parse
import uuid

import h11
import msgspec

from camphortray import errors
from camphortray import json_reader

REQUEST_ID_HEADER = "x-request-id"
# An id from outside goes into logs, headers and paths of other calls.
REQUEST_ID_PATTERN = re.compile(r"[A-Za-z0-9._:-]{1,128}")
RAN_HEADER = "Camphortray-Ran"

Headers = Sequence[tuple[str, str]]


class Wire(Protocol):
    """What a request and its response need of their connection.

    Attributes:
      can_write: Waited for while the caller takes no more.
      closing: Whether answers from now on announce a close.
      caller_left: Whether the caller has closed the connection, or lost it.
    """

    can_write: "asyncio.Future[None] | None"

    @property
    def closing(self) -> bool: ...

    @property
    def caller_left(self) -> bool: ...

    def send(self, event: Any) -> None:
        """Send an event; on a lost connection it is dropped."""

    def hold(self, event: Any) -> None:
        """Keep an event back, to leave in one write with the next."""

    def send_continue(self) -> None:
        """Answer ``Expect: 100-continue``."""

    def resume_reading(self) -> None:
        """Read on, after backpressure."""

    async def writable(self) -> None:
        """Wait until the transport takes more."""

    def close(self) -> None:
        """Close once what was written has left."""

    def abort(self) -> None:
        """Drop the connection at once."""


class Request:
    """One request; its body can be read whole or as it comes.

    Attributes:
      id: The caller's ``X-Request-Id`` if it is a plain word, or a new one.
      method: e.g. ``"POST"``.
      path: Path without the query, percent-decoded.
      target: Path and query as sent.
      query: Decoded query fields; the last of a name wins.
      headers: Lower-case names; repeated ones are joined by a comma.
      keep_running: Set by a handler whose work outlives its caller;
        else the handler is cancelled when the caller goes.
    """

    def __init__(
        self,
        method: str,
        target: str,
        headers: dict[str, str],
        connection: "Wire | None" = None,
        max_body_bytes: int = 16_777_216,
    ) -> None:
        self.method = method
        self.target = target
        path, _, query = target.partition("?")
        self.path = urllib.parse.unquote(path)
        self.query = dict(urllib.parse.parse_qsl(query))
        self.headers = headers
        self.id = headers.get(REQUEST_ID_HEADER, "")
        if not REQUEST_ID_PATTERN.fullmatch(self.id):
            self.id = uuid.uuid4().hex
        self.keep_running = False
        self.connection = connection
        self.max_body_bytes = max_body_bytes
        self.received = 0
        self.buffered = 0
        self.chunks: list[bytes] = []
        self.complete = False
        self.broken = False
        self.waiter: asyncio.Future[None] | None = None

    def feed(self, data: bytes) -> None:
        """Take body bytes from the connection."""
        self.received += len(data)
        self.buffered += len(data)
        self.chunks.append(data)
        self.wake()

    def finish(self, broken: bool = False) -> None:
        """Mark the body as ended, or as cut off."""
        self.complete = not broken
        self.broken = broken
        self.wake()

    def wake(self) -> None:
        """Wake the reader of the body."""
        if self.waiter is not None and not self.waiter.done():
            self.waiter.set_result(None)

    async def iter_body(self, limit: int = 0) -> AsyncIterator[bytes]:
        """Yield the body as it comes; reading paces the sender.

        Args:
          limit: Largest size in bytes; 0 takes the connection's limit.

        Raises:
          Refused: the body is too large or was cut off.
        """
        limit = limit or self.max_body_bytes
        declared = self.headers.get("content-length", "0")
        if declared.isdigit() and int(declared) > limit:
            raise too_large(limit)
        if self.connection is not None:
            self.connection.send_continue()
        while True:
            if self.received > limit:
                raise too_large(limit)
            if self.chunks:
                data = b"".join(self.chunks)
                self.chunks.clear()
                self.buffered = 0
                if self.connection is not None:
                    self.connection.resume_reading()
                yield data
            elif self.complete:
                return
            elif self.broken:
                raise errors.Refused(400, "body_cut", "the body was cut off")
            else:
                self.waiter = asyncio.get_running_loop().create_future()
                await self.waiter

    async def body(self, limit: int = 0) -> bytes:
        """Return the whole body; see ``iter_body``."""
        return b"".join([chunk async for chunk in self.iter_body(limit)])

    async def json(self) -> dict[str, Any]:
        """Return the body as a JSON object.

        Raises:
          Refused: it is not one.
        """
        body = await self.body()
        try:
            data = json_reader.read(body)
        except msgspec.DecodeError as error:
            raise errors.Refused(
                400, "bad_json", f"body is not JSON: {error}", field="(body)"
            ) from error
        if not isinstance(data, dict):
            raise errors.Refused(
                400, "bad_json", "body is not an object", field="(body)"
            )
        return data


def too_large(limit: int) -> errors.Refused:
    """Return the refusal of an oversize body."""
    return errors.Refused(
        413,
        "body_too_large",
        f"body is larger than {limit} bytes",
        field="(body)",
    )


class Response:
    """The answer to one request.

    Attributes:
      status: Status sent, or 0 while none is.
      ended: Whether it is complete or was cut off.
    """

    def __init__(self, connection: "Wire", request: Request) -> None:
        self.connection = connection
        self.request = request
        self.status = 0
        self.ended = False

    def start(self, status: int, headers: Headers = ()) -> None:
        """Send the head of a chunked answer, with what follows first.

        Values are sent as the bytes that they were read from, one to a
        character.

        Raises:
          ValueError: a value cannot be sent; no answer has begun.
          h11.LocalProtocolError: the same.
        """
        head = [*headers, (REQUEST_ID_HEADER, self.request.id)]
        closes = self.connection.closing or not self.request.complete
        if closes and not names_connection(head):
            # A caller that is not told would send its next request into
            # a connection that is being closed, and have it cut off.
            head.append(("Connection", "close"))
        raw = [
            (name.encode("ascii"), value.encode("latin1"))
            for name, value in head
        ]
        event = h11.Response(status_code=status, headers=raw)
        self.connection.hold(event)
        self.status = status

    def write(self, data: bytes) -> None:
        """Send body bytes; call ``flush`` now and then."""
        self.connection.send(h11.Data(data=data))

    async def flush(self) -> None:
        """Wait until the caller has room for more."""
        await self.connection.writable()

    @property
    def blocked(self) -> bool:
        """Whether ``flush`` would wait."""
        return self.connection.can_write is not None

    @property
    def caller_left(self) -> bool:
        """Whether the caller has left before this host closed."""
        return self.connection.caller_left

    def end(self) -> None:
        """End the answer cleanly."""
        self.connection.send(h11.EndOfMessage())
        self.ended = True

    def abort(self) -> None:
        """Cut the answer off, so that it cannot look complete.

        One that has ended is left to be delivered.
        """
        if not self.ended:
            self.ended = True
            self.connection.abort()

    def cut(self, refusal: errors.Refused) -> None:
        """End an event stream as an error, never as a clean end.

        The caller reads the reason as an event; the body stays without
        its last chunk, so that readers of bytes see it cut off too. One that
        has ended is left as it is.
        """
        if self.ended:
            return
        event = msgspec.json.encode(refusal_body(refusal))
        self.write(b"data: " + event + b"\n\n")
        self.ended = True
        self.connection.close()

    def send(self, status: int, body: bytes, headers: Headers = ()) -> None:
        """Send a whole answer."""
        self.start(status, [*headers, ("content-length", str(len(body)))])
        if body and self.request.method != "HEAD":
            self.connection.hold(h11.Data(data=body))
        self.end()

    def send_json(self, status: int, data: Any, headers: Headers = ()) -> None:
        """Send a whole answer of JSON."""
        body = msgspec.json.encode(data)
        self.send(
            status, body, [*headers, ("content-type", "application/json")]
        )

    def refuse(self, refusal: errors.Refused) -> None:
        """Send a refusal, in the form OpenAI clients read."""
        headers = [(RAN_HEADER, refusal.ran)]
        if refusal.retry_after is not None:
            seconds = max(1, round(refusal.retry_after))
            headers.append(("Retry-After", str(seconds)))
        self.send_json(refusal.status, refusal_body(refusal), headers)


def names_connection(headers: Headers) -> bool:
    """Return whether headers already say what becomes of a connection."""
    return any(name.lower() == "connection" for name, _ in headers)


def refusal_body(refusal: errors.Refused) -> dict[str, Any]:
    """Return the JSON body of a refusal."""
    return {
        "error": {
            "message": refusal.message,
            "type": "camphortray_refusal",
            "code": refusal.code,
            "param": refusal.field or None,
            "ran": refusal.ran,
        }
    }
