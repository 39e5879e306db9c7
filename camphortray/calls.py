"""Fold of ``calls.N``: non-idempotent calls, each run at most once."""

__all__ = [
    "Answer",
    "Call",
    "CallAbandon",
    "CallAnswer",
    "CallClaim",
    "CallForget",
    "CallsFold",
    "Forgotten",
    "Standing",
]

from collections.abc import Callable
import dataclasses
import enum
import itertools
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
      key: Workspace, service and the caller's idempotency key.
      digest: Of the request, to tell another one under the same key.
      at: When it was made, in seconds since 1970; only for the owner's
        decision to forget it.
      keep_s: How long it is kept from then.
    """

    key: str
    digest: str
    at: float = 0.0
    keep_s: float = 86400.0


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
class Forgotten:
    """One call whose keeping time is over.

    The offset tells a claim from a later one of the same key: a claim
    given back and made anew meanwhile must not be dropped while it runs.
    """

    key: str
    offset: int


@dataclasses.dataclass(frozen=True, slots=True)
class CallForget:
    """Ends the keeping time of calls."""

    calls: tuple[Forgotten, ...]


@dataclasses.dataclass(slots=True)
class Call:
    """One call.

    Attributes:
      offset: Of its claim.
      writer: Who claimed it; nobody else may ever send it.
      digest: Of the request.
      until: End of the keeping time, in seconds since 1970.
      answer: The kept answer, or None while there is none.
    """

    offset: int
    writer: records.Writer
    digest: str
    until: float = 0.0
    answer: Answer | None = None


class Standing(enum.Enum):
    """What came of a claim.

    Attributes:
      MINE: It stands; its claimer may dispatch, once.
      OTHER: The call was claimed before.
      VOID: It does not stand, and nothing else is known of the call.
    """

    MINE = "mine"
    OTHER = "other"
    VOID = "void"


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
        until = claim.at + claim.keep_s
        self.calls[claim.key] = Call(
            offset, record.id.writer, claim.digest, until
        )

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
        for call in records.typed(record.body, CallForget).calls:
            held = self.calls.get(call.key)
            if held is not None and held.offset == call.offset:
                del self.calls[call.key]

    def standing(self, name: str, outcome: folds.Outcome) -> Standing:
        """Return what came of a claim that was read back.

        Args:
          name: The call's key.
          outcome: What the fold made of the claim.
        """
        held = self.calls.get(name)
        if not outcome.valid:
            return Standing.VOID if held is None else Standing.OTHER
        if held is None or held.offset != outcome.offset:
            # Read late, e.g. by a process that was paused for longer
            # than the keeping time: somebody else may have run it since.
            return Standing.VOID
        return Standing.MINE

    def expired(
        self, now: float, lost: Callable[[records.Writer], bool], limit: int
    ) -> CallForget:
        """Return what an owner may forget, at most ``limit`` calls.

        A call without an answer is kept on while its claimer lives: it
        may still be running, and once forgotten a resend would run it a
        second time.

        Args:
          now: Seconds since 1970.
          lost: Says whether a claimer is certainly not at work.
          limit: Most calls in one record.
        """
        found = (
            Forgotten(key, call.offset)
            for key, call in self.calls.items()
            if call.until <= now and (call.answer or lost(call.writer))
        )
        return CallForget(tuple(itertools.islice(found, limit)))

    def dump(self) -> dict[str, Any]:
        calls = {key: dataclasses.asdict(c) for key, c in self.calls.items()}
        return {"calls": calls}

    def load(self, state: dict[str, Any]) -> None:
        self.calls = msgspec.convert(state["calls"], dict[str, Call])
