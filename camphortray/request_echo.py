"""Tells from the id that an answer repeats to which request it belongs."""

__all__ = ["Owner", "RequestEcho"]

from collections.abc import Iterable
import enum

import msgspec


class Owner(enum.Enum):
    """To which request an answer belongs, by the ids that it has."""

    OWN = "own"
    OTHER = "other"
    UNNAMED = "unnamed"
    AMBIGUOUS = "ambiguous"


class RequestEcho(msgspec.Struct, frozen=True):
    """The id of a request, which its answer repeats.

    Attributes:
      header: Name of the header, in lower case.
      id: The id; empty if the request has none.
    """

    header: str
    id: str = ""

    def owner_of(self, headers: Iterable[tuple[bytes, bytes]]) -> Owner:
        """Return to which request an answer with these headers belongs.

        >>> echo = RequestEcho("x-request-id", "r-1")
        >>> echo.owner_of([(b"x-request-id", b"r-2")])
        <Owner.OTHER: 'other'>
        """
        name = self.header.encode("ascii")
        ids = {value.decode("latin1") for key, value in headers if key == name}
        ids.discard("")
        if not ids:
            return Owner.UNNAMED if self.id else Owner.OWN
        if ids == {self.id}:
            return Owner.OWN
        return Owner.AMBIGUOUS if self.id in ids else Owner.OTHER
