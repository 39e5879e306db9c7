"""Bounds the memory of answers that are read whole before they are sent on.

An engine may send bytes without end. What is held for it must neither end
this process nor take room from other answers, so that the largest is dropped
once all together are too large.
"""

__all__ = [
    "ANSWERS",
    "BodyBudget",
    "HeldBody",
    "MAX_BODY_BYTES",
    "too_large",
]

from collections.abc import Callable
import types

from camphortray import errors

# Bytes of one answer, and of all that are held at the same time.
MAX_BODY_BYTES = 32 * 1024 * 1024
MAX_TOTAL_BYTES = 64 * 1024 * 1024


class HeldBody:
    """The part of an answer that is held.

    Attributes:
      parts: Its bytes, in order.
      size: Their number.
      dropped: Whether it was dropped for its size.
    """

    def __init__(self, budget: "BodyBudget", drop: Callable[[], None]) -> None:
        self.budget = budget
        self.drop = drop
        self.parts: list[bytes] = []
        self.size = 0
        self.dropped = False

    def __enter__(self) -> "HeldBody":
        self.budget.held.append(self)
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        if not self.dropped:
            self.budget.forget(self)
        elif isinstance(error, errors.UpstreamBroken):
            # The connection was closed for the size of the answer.
            raise too_large() from error

    def add(self, data: bytes) -> None:
        """Add bytes.

        Raises:
          UpstreamGarbled: the answer is too large.
        """
        self.parts.append(data)
        self.size += len(data)
        self.budget.on_added(self, len(data))
        if self.dropped:
            raise too_large()

    def whole(self) -> bytes:
        """Return the whole answer.

        Raises:
          UpstreamGarbled: it was too large.
        """
        if self.dropped:
            raise too_large()
        return b"".join(self.parts)


class BodyBudget:
    """The answers that are held at the same time.

    Attributes:
      held: All of them.
      size: Their bytes.
    """

    def __init__(
        self, most: int = MAX_BODY_BYTES, most_in_all: int = MAX_TOTAL_BYTES
    ) -> None:
        self.most = most
        self.most_in_all = most_in_all
        self.held: list[HeldBody] = []
        self.size = 0

    def hold(self, drop: Callable[[], None]) -> HeldBody:
        """Return an answer to hold, from the begin of its context on.

        Args:
          drop: Called if it is dropped, to end its connection.
        """
        return HeldBody(self, drop)

    def on_added(self, body: HeldBody, size: int) -> None:
        """Account for bytes that were added; drop what is too large."""
        self.size += size
        if body.size > self.most:
            self.evict(body)
        while self.size > self.most_in_all:
            self.evict(max(self.held, key=lambda each: each.size))

    def evict(self, body: HeldBody) -> None:
        """Drop an answer and what is held of it."""
        body.dropped = True
        self.forget(body)
        body.drop()

    def forget(self, body: HeldBody) -> None:
        """Account for an answer that is no longer held."""
        self.held.remove(body)
        self.size -= body.size
        body.parts = []


def too_large() -> errors.UpstreamGarbled:
    """Return the error of an answer that was dropped for its size."""
    return errors.UpstreamGarbled("answer is too large", ran=True, step="read")


# One for the process, whose memory it bounds.
ANSWERS = BodyBudget()
