"""Who opens a link between hosts, and the proof of the shared key."""

__all__ = ["HEADER", "Hello", "Sender"]

import hashlib
import hmac

import msgspec

HEADER = "Camphortray-Hello"
# Seconds by which the clocks of two hosts may differ.
MAX_SKEW_S = 60.0


class Sender(msgspec.Struct, frozen=True):
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


class Hello(msgspec.Struct, frozen=True):
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
