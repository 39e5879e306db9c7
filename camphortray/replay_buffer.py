"""Keeps what is sent to a caller, for a resend of the same call."""

__all__ = ["Recorder"]

from typing import Any

from camphortray import calls
from camphortray import httpmessage


class Recorder:
    """Stands in for a response and notes what goes through it."""

    def __init__(self, response: httpmessage.Response) -> None:
        self.response = response
        self.headers: tuple[tuple[str, str], ...] = ()
        self.pieces: list[bytes] = []

    def __getattr__(self, name: str) -> Any:
        return getattr(self.response, name)

    def start(self, status: int, headers: httpmessage.Headers = ()) -> None:
        """Send the head of a chunked answer."""
        self.headers = tuple(headers)
        self.response.start(status, headers)

    def write(self, data: bytes) -> None:
        """Send body bytes."""
        self.pieces.append(data)
        self.response.write(data)

    def send(
        self, status: int, body: bytes, headers: httpmessage.Headers = ()
    ) -> None:
        """Send a whole answer."""
        self.headers, self.pieces = tuple(headers), [body]
        self.response.send(status, body, headers)

    def answer(self) -> calls.Answer:
        """Return what was sent."""
        body = b"".join(self.pieces)
        return calls.Answer(self.response.status, self.headers, body)
