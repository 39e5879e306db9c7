"""State of the log ``calls.N``: non-idempotent calls and their answers."""

__all__ = [
    "Answer",
    "Call",
    "CallAbandon",
    "CallAnswer",
    "CallClaim",
    "CallForget",
    "CallsFold",
    "ClaimStatus",
    "Forgotten",
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
    """The stored answer of a call."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class CallClaim:
    """Claims a call; the first claim of a key wins.

    Attributes:
      key: Workspace, service and the caller's idempotency key.
      digest: Hash of the request, to detect another request that uses the
        same key.
      at: Time of the claim, in seconds since 1970; used only to find
        expired calls.
      keep_s: Seconds from ``at`` until the call expires.
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
    """Releases a claim whose call was certainly not run."""

    key: str


@dataclasses.dataclass(frozen=True, slots=True)
class Forgotten:
    """One expired call.

    The offset distinguishes a claim from a later one of the same key: a key
    that was released and claimed again must not be removed while its call
    runs.
    """

    key: str
    offset: int


@dataclasses.dataclass(frozen=True, slots=True)
class CallForget:
    """Removes expired calls."""

    calls: tuple[Forgotten, ...]


@dataclasses.dataclass(slots=True)
class Call:
    """One call.

    Attributes:
      offset: Offset of its claim in the log.
      writer: The process that claimed it; no other may dispatch it.
      digest: Hash of the request.
      until: Time at which it expires, in seconds since 1970.
      answer: The stored answer, or None while there is none.
    """

    offset: int
    writer: records.Writer
    digest: str
    until: float = 0.0
    answer: Answer | None = None


class ClaimStatus(enum.Enum):
    """The result of a claim.

    Attributes:
      MINE: The claim is valid; its writer may dispatch the call once.
      OTHER: The call was claimed before.
      VOID: The claim is not valid, and it is not known whether the call
        was run.
    """

    MINE = "mine"
    OTHER = "other"
    VOID = "void"


class CallsFold(folds.Fold):
    """The calls of a shard, by key."""

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
        """Add a call unless its key is already claimed."""
        claim = records.typed(record.body, CallClaim)
        if claim.key in self.calls:
            raise folds.Refuse("claimed before")
        until = claim.at + claim.keep_s
        self.calls[claim.key] = Call(
            offset, record.id.writer, claim.digest, until
        )

    def on_answer(self, offset: int, record: records.Record) -> None:
        """Store a call's first answer, from the writer of its claim."""
        body = records.typed(record.body, CallAnswer)
        call = self.claimed_by(body.key, record.id.writer)
        if call.answer is None:
            call.answer = body.answer

    def on_abandon(self, offset: int, record: records.Record) -> None:
        """Remove an unanswered call, at the request of its claimer only."""
        body = records.typed(record.body, CallAbandon)
        call = self.claimed_by(body.key, record.id.writer)
        if call.answer is not None:
            raise folds.Refuse("answered")
        del self.calls[body.key]

    def claimed_by(self, key: str, writer: records.Writer) -> Call:
        """Return the call of a key that ``writer`` claimed.

        Raises:
          Refuse: another writer claimed it, or none.
        """
        call = self.calls.get(key)
        if call is None or call.writer != writer:
            raise folds.Refuse("not the claimer")
        return call

    def on_forget(self, offset: int, record: records.Record) -> None:
        """Remove expired calls."""
        for expired in records.typed(record.body, CallForget).calls:
            call = self.calls.get(expired.key)
            if call is not None and call.offset == expired.offset:
                del self.calls[expired.key]

    def claim_status(self, name: str, outcome: folds.Outcome) -> ClaimStatus:
        """Return the result of a claim that was read back.

        Args:
          name: The call's key.
          outcome: Outcome of the claim's record.
        """
        call = self.calls.get(name)
        if not outcome.valid:
            return ClaimStatus.VOID if call is None else ClaimStatus.OTHER
        if call is None or call.offset != outcome.offset:
            # The claim was read late, e.g. by a process that was paused
            # until the claim had expired: another process may have run the
            # call.
            return ClaimStatus.VOID
        return ClaimStatus.MINE

    def expired(
        self, now: float, lost: Callable[[records.Writer], bool], limit: int
    ) -> CallForget:
        """Return the record that removes expired calls.

        An unanswered call is retained while its claimer is alive: it may
        still be running, and after its removal a retry would run it a
        second time.

        Args:
          now: Seconds since 1970.
          lost: Returns whether a claimer certainly runs no calls.
          limit: Maximum number of calls in the record.
        """
        removable = (
            Forgotten(key, call.offset)
            for key, call in self.calls.items()
            if call.until <= now and (call.answer or lost(call.writer))
        )
        return CallForget(tuple(itertools.islice(removable, limit)))

    def dump(self) -> dict[str, Any]:
        calls = {key: dataclasses.asdict(c) for key, c in self.calls.items()}
        return {"calls": calls}

    def load(self, state: dict[str, Any]) -> None:
        self.calls = msgspec.convert(state["calls"], dict[str, Call])
