"""Counts what the links between hosts carry."""

__all__ = ["MASK_BYTES", "Traffic"]

import collections

# Bytes by which a client's frames are longer, as they are masked, and of
# the two sides of a handshake as measured.
MASK_BYTES = 4
HANDSHAKE_BYTES = (310, 203)


class Traffic:
    """Counts what links carry, handshakes and frames included.

    Attributes:
      sent_bytes: Bytes handed to TCP.
      received_bytes: Likewise taken.
      messages: Number of messages, both ways.
      kinds: Number of messages by direction and kind; those received that
        cannot be read have none.
    """

    def __init__(self) -> None:
        self.sent_bytes = 0
        self.received_bytes = 0
        self.messages = 0
        self.kinds: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )

    def sent(self, size: int, kind: str) -> None:
        """Count a message sent."""
        self.messages += 1
        self.kinds["sent", kind] += 1
        self.sent_bytes += framed(size)

    def received(self, size: int) -> None:
        """Count a message received."""
        self.messages += 1
        self.received_bytes += framed(size)

    def read(self, kind: str) -> None:
        """Count a message received by its kind."""
        self.kinds["received", kind] += 1

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
