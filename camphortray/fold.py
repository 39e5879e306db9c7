"""Folds: the agreed state of a stream, computed record by record.

Every host that folds the same records reaches the same state. A fold
therefore never looks at a clock, a host's name or the release that runs
it, and a record it cannot use changes nothing.

Ownership of a stream is part of its fold. The first valid claim after
an epoch ends that epoch, as in Lamport, Malkhi and Zhou,
"Reconfiguring a State Machine", 3.1.1: it is the stop sign of the epoch
before it, and every later record of the older epoch is void.
"""

__all__ = [
    "Challenge",
    "Claim",
    "Fold",
    "Outcome",
    "Ownership",
    "SNAPSHOT",
    "Verdict",
]

import abc
from collections.abc import Callable
import dataclasses
import enum
from typing import Any

import msgspec

from camphortray import errors
from camphortray import records

CLAIM = "claim"
CHALLENGE = "challenge"
SNAPSHOT = "snapshot"
# A record with which an owner answers a challenge when it has no other.
ALIVE = "alive"


class Verdict(enum.Enum):
    """What a fold made of a record."""

    VALID = "valid"
    DUPLICATE = "duplicate"
    STALE = "stale epoch"
    REFUSED = "refused"
    UNREADABLE = "unreadable"


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """A record as the fold took it.

    Attributes:
      offset: Of the record.
      verdict: Whether it counts.
      reason: Why it does not, in a few words.
      record: The record, or None if it could not be read.
    """

    offset: int
    verdict: Verdict
    reason: str = ""
    record: records.Record | None = None

    @property
    def valid(self) -> bool:
        """Whether the record counts."""
        return self.verdict is Verdict.VALID


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """Takes a stream over.

    Attributes:
      after: Epoch that ends with it.
      challenge: Offset of the challenge that was not answered.
      gone: Whether the platform's list says that the owner is gone, or
        the owner gave the stream up; then no challenge is needed.
    """

    after: int
    challenge: int = records.NO_EPOCH
    gone: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Challenge:
    """Asks the owner of an epoch for a sign of life."""

    epoch: int


@dataclasses.dataclass(slots=True)
class Ownership:
    """Who owns a stream.

    Attributes:
      epoch: Offset of the claim in force, or ``NO_EPOCH``.
      owner: Who made it.
      challenge: Offset of a challenge not yet answered, or ``NO_EPOCH``.
    """

    epoch: int = records.NO_EPOCH
    owner: records.Writer | None = None
    challenge: int = records.NO_EPOCH


class Refuse(Exception):
    """Raised in a handler: the record changes nothing."""


class Fold(abc.ABC):
    """State of one stream.

    Subclasses list their kinds in ``handlers`` and change state only
    there. A handler raises ``Refuse`` before it changes anything.

    Attributes:
      next: Offset of the next record to apply.
      ownership: Who owns the stream.
      last: Last incarnation and sequence seen of each writer's name.
      owned: Kinds that only the owner may write, in its epoch.
      snapshot_covers: What the newest snapshot seen covers, or -1.
    """

    owned: frozenset[str] = frozenset()

    def __init__(self) -> None:
        self.next = 0
        self.ownership = Ownership()
        self.last: dict[str, tuple[int, int]] = {}
        self.snapshot_covers = -1
        self.snapshot_offset = -1
        self.handlers: dict[str, Callable[[int, records.Record], None]] = {
            CLAIM: self.on_claim,
            CHALLENGE: self.on_challenge,
            ALIVE: self.on_alive,
        }

    def apply(self, offset: int, data: bytes) -> Outcome:
        """Apply the record at ``offset``; offsets come without gaps."""
        self.next = offset + 1
        try:
            record = records.decode(data)
        except errors.RecordError as error:
            return Outcome(offset, Verdict.UNREADABLE, str(error))
        if record.kind == SNAPSHOT:
            return self.on_snapshot(offset, record)
        place = (record.id.writer.incarnation, record.id.sequence)
        if place <= self.last.get(record.id.writer.name, (-1, -1)):
            return Outcome(offset, Verdict.DUPLICATE, "", record)
        self.last[record.id.writer.name] = place
        return self.judge(offset, record)

    def judge(self, offset: int, record: records.Record) -> Outcome:
        """Apply a record seen for the first time."""
        if record.kind in self.owned and not self.in_epoch(record):
            return Outcome(offset, Verdict.STALE, "", record)
        handler = self.handlers.get(record.kind)
        if handler is None:
            return Outcome(offset, Verdict.REFUSED, "unknown kind", record)
        try:
            handler(offset, record)
        except Refuse as refusal:
            return Outcome(offset, Verdict.REFUSED, str(refusal), record)
        except errors.RecordError as error:
            return Outcome(offset, Verdict.UNREADABLE, str(error), record)
        if self.in_epoch(record):
            # Any record of the owner in its epoch answers a challenge.
            self.ownership.challenge = records.NO_EPOCH
        return Outcome(offset, Verdict.VALID, "", record)

    def in_epoch(self, record: records.Record) -> bool:
        """Return whether the owner wrote it in the epoch in force."""
        held = self.ownership
        return (
            held.epoch != records.NO_EPOCH
            and record.epoch == held.epoch
            and record.id.writer == held.owner
        )

    def on_claim(self, offset: int, record: records.Record) -> None:
        """Take a claim if its epoch is in force and it may be ended."""
        claim = records.typed(record.body, Claim)
        held = self.ownership
        if claim.after != held.epoch:
            raise Refuse("another claim came first")
        unanswered = (
            claim.challenge != records.NO_EPOCH
            and claim.challenge == held.challenge
        )
        if held.owner is not None and not (claim.gone or unanswered):
            raise Refuse("the owner answered")
        self.ownership = Ownership(offset, record.id.writer)
        self.on_epoch(offset)

    def on_epoch(self, epoch: int) -> None:
        """Drop what only the owner before had begun."""

    def on_challenge(self, offset: int, record: records.Record) -> None:
        """Take a challenge of the epoch in force."""
        challenge = records.typed(record.body, Challenge)
        if challenge.epoch != self.ownership.epoch:
            raise Refuse("epoch has ended")
        if self.ownership.challenge == records.NO_EPOCH:
            self.ownership.challenge = offset

    def on_alive(self, offset: int, record: records.Record) -> None:
        """Answer a challenge; ``judge`` does the rest."""
        if not self.in_epoch(record):
            raise Refuse("not the owner")

    def on_snapshot(self, offset: int, record: records.Record) -> Outcome:
        """Note a snapshot: a fact about a prefix, whoever wrote it."""
        covers = record.body.get("covers")
        if type(covers) is not int or covers >= offset:
            return Outcome(offset, Verdict.UNREADABLE, "covers", record)
        if covers > self.snapshot_covers:
            self.snapshot_covers = covers
            self.snapshot_offset = offset
        return Outcome(offset, Verdict.VALID, "", record)

    def snapshot(self) -> dict[str, Any]:
        """Return the body of a snapshot of everything applied so far."""
        return {
            "covers": self.next - 1,
            "ownership": msgspec.to_builtins(self.ownership),
            "last": {name: list(at) for name, at in self.last.items()},
            "state": self.dump(),
        }

    def restore(self, body: dict[str, Any]) -> None:
        """Become the state that a snapshot describes."""
        self.next = body["covers"] + 1
        self.ownership = msgspec.convert(body["ownership"], Ownership)
        self.last = {name: tuple(at) for name, at in body["last"].items()}
        self.load(body["state"])

    @abc.abstractmethod
    def dump(self) -> dict[str, Any]:
        """Return the state proper as plain data."""

    @abc.abstractmethod
    def load(self, state: dict[str, Any]) -> None:
        """Take over what ``dump`` gave."""
