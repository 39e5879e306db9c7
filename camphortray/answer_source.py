"""Tells on which connection an answer came, and whose it is."""

__all__ = ["AnswerSource", "NO_ANSWER"]

import msgspec

# An attempt that ended without the head of an answer.
NO_ANSWER = "none"


class AnswerSource(msgspec.Struct, frozen=True):
    """Origin of an answer, or of its absence.

    Attributes:
      named: To which request the answer belongs by its ids, as a value of
        ``request_echo.Owner``; ``NO_ANSWER`` if there was none, and empty if
        answers name no requests.
      connection_use: Number of the request on its connection, from 1.
      local_port: Local port of the connection; 0 if it was lost before.
    """

    named: str
    connection_use: int
    local_port: int

    @property
    def connection(self) -> str:
        """Whether the connection had carried requests before."""
        return "kept" if self.connection_use > 1 else "new"
