"""Records the answer sent to a caller, to replay it to a repeated call."""

__all__ = ["Recorder"]

from typing import Any

from camphortray import calls
from camphortray import httpmessage


class Recorder:
    """Wraps a response and records what is sent through it."""

    def __init__(self, response: httpmessage.Response) -> None:
        self.response = response
        self.headers: tuple[tuple[str, str], ...] = ()
        self.pieces: list[bytes] = []

    def __getattr__(self, name: str) -> Any:
        return getattr(self.response, name)

    def start(self, status: int, headers: httpmessage.Headers = ()) -> None:
        """Send the status and headers of a chunked answer."""
        self.headers = tuple(headers)
        self.response.start(status, headers)

    def write(self, data: bytes) -> None:
        """Send body bytes."""
        self.pieces.append(data)
        self.response.write(data)

    def send(
        self, status: int, body: bytes, headers: httpmessage.Headers = ()
    ) -> None:
        """Send a complete answer."""
        self.headers, self.pieces = tuple(headers), [body]
        self.response.send(status, body, headers)

    def answer(self) -> calls.Answer:
        """Return the recorded answer."""
        body = b"".join(self.pieces)
        return calls.Answer(self.response.status, self.headers, body)
