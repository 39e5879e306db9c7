"""Fold of ``calls.N``: non-idempotent calls, each run at most once."""

__all__ = [
    "Answer",
    "Call",
    "CallAbandon",
    "CallAnswer",
    "CallClaim",
    "CallForget",
    "CallsFold",
]

import dataclasses
from typing import Any

import msgspec

from camphortray import fold as folds
from camphortray import records

CLAIM = "call.claim"
ANSWER = "call.answer"
ABANDON = "call.abandon"
FORGET = "call.forget"


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """A kept answer."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class CallClaim:
    """Claims a call; the first of a key wins.

    Attributes:
      key: Workspace and the caller's idempotency key.
      digest: Of the request, to tell another one under the same key.
    """

    key: str
    digest: str


@dataclasses.dataclass(frozen=True, slots=True)
class CallAnswer:
    """The answer to a claimed call."""

    key: str
    answer: Answer


@dataclasses.dataclass(frozen=True, slots=True)
class CallAbandon:
    """Gives up a claim that was certainly never sent."""

    key: str


@dataclasses.dataclass(frozen=True, slots=True)
class CallForget:
    """Ends the keeping time of calls."""

    keys: tuple[str, ...]


@dataclasses.dataclass(slots=True)
class Call:
    """One call.

    Attributes:
      offset: Of its claim.
      writer: Who claimed it; nobody else may ever send it.
      digest: Of the request.
      answer: The kept answer, or None while there is none.
    """

    offset: int
    writer: records.Writer
    digest: str
    answer: Answer | None = None


class CallsFold(folds.Fold):
    """All calls of a shard, by key."""

    owned = frozenset({FORGET})

    def __init__(self) -> None:
        super().__init__()
        self.calls: dict[str, Call] = {}
        self.handlers.update(
            {
                CLAIM: self.on_call_claim,
                ANSWER: self.on_answer,
                ABANDON: self.on_abandon,
                FORGET: self.on_forget,
            }
        )

    def on_call_claim(self, offset: int, record: records.Record) -> None:
        """Take the first claim of a key."""
        claim = records.typed(record.body, CallClaim)
        if claim.key in self.calls:
            raise folds.Refuse("claimed before")
        self.calls[claim.key] = Call(offset, record.id.writer, claim.digest)

    def on_answer(self, offset: int, record: records.Record) -> None:
        """Keep the answer given to the claim's writer."""
        body = records.typed(record.body, CallAnswer)
        call = self.held_by(body.key, record.id.writer)
        if call.answer is None:
            call.answer = body.answer

    def on_abandon(self, offset: int, record: records.Record) -> None:
        """Let a key be claimed anew; only its claimer can know it may."""
        body = records.typed(record.body, CallAbandon)
        call = self.held_by(body.key, record.id.writer)
        if call.answer is not None:
            raise folds.Refuse("answered")
        del self.calls[body.key]

    def held_by(self, key: str, writer: records.Writer) -> Call:
        """Return the call if ``writer`` claimed it."""
        call = self.calls.get(key)
        if call is None or call.writer != writer:
            raise folds.Refuse("not the claimer")
        return call

    def on_forget(self, offset: int, record: records.Record) -> None:
        """Drop calls whose keeping time is over."""
        for key in records.typed(record.body, CallForget).keys:
            self.calls.pop(key, None)

    def dump(self) -> dict[str, Any]:
        calls = {key: dataclasses.asdict(c) for key, c in self.calls.items()}
        return {"calls": calls}

    def load(self, state: dict[str, Any]) -> None:
        self.calls = msgspec.convert(state["calls"], dict[str, Call])
