"""Folds: the agreed state of a stream, computed record by record.

Every host that folds the same records reaches the same state. A fold
therefore never looks at a clock, a host's name or the release that runs
it, and a record it cannot use changes nothing.

Ownership of a stream is part of its fold. The first valid claim after
an epoch ends that epoch, as in Lamport, Malkhi and Zhou,
"Reconfiguring a State Machine", 3.1.1: it is the stop sign of the epoch
before it, and every later record of the older epoch is void.

Of each writer the fold remembers one number, and only for ``WINDOW``
offsets. That is enough: a record says up to where its writer had read
the stream, and one that lies further behind than the window is void. A
late copy of a record that counted at offset ``o`` was made having read
``o`` at most, so that by the time its writer is forgotten the copy lies
behind the window and cannot count a second time.
"""

__all__ = [
    "Bundle",
    "Challenge",
    "Claim",
    "Fold",
    "Outcome",
    "Ownership",
    "Refuse",
    "SNAPSHOT",
    "Verdict",
    "WINDOW",
]

import abc
from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import enum
from typing import Any

import msgspec

from camphortray import errors
from camphortray import records

CLAIM = "claim"
CHALLENGE = "challenge"
RELEASE = "release"
SNAPSHOT = "snapshot"
BUNDLE = "bundle"
# A record with which an owner answers a challenge when it has no other.
ALIVE = "alive"
# A record that only decides the fate of its writer's earlier ones.
FENCE = "fence"

# Offsets for which a writer's number is kept, and by which a record may
# lag behind. Part of the protocol: all releases must use the same.
WINDOW = 8192
# Writers are forgotten at each multiple of this offset.
PRUNE_EVERY = 512


class Verdict(enum.Enum):
    """What a fold made of a record."""

    VALID = "valid"
    DUPLICATE = "duplicate"
    STALE = "stale epoch"
    LATE = "written too long ago"
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
      parts: Outcomes of the records in a bundle, in order.
    """

    offset: int
    verdict: Verdict
    reason: str = ""
    record: records.Record | None = None
    parts: tuple["Outcome", ...] = ()

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


@dataclasses.dataclass(frozen=True, slots=True)
class Bundle:
    """Records of several writers in one append, each with its own id."""

    records: tuple[bytes, ...]


@dataclasses.dataclass(slots=True)
class Ownership:
    """Who owns a stream.

    Attributes:
      epoch: Offset of the claim in force, or ``NO_EPOCH``.
      owner: Who made it, or None before the first and after a release.
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
      last: Last incarnation and sequence seen of each writer's name,
        and the offset of that record.
      owned: Kinds that only the owner may write, in its epoch.
      window: See ``WINDOW``; other values are for model checking.
      prune_every: See ``PRUNE_EVERY``.
    """

    owned: frozenset[str] = frozenset()
    window = WINDOW
    prune_every = PRUNE_EVERY

    def __init__(self) -> None:
        self.next = 0
        self.ownership = Ownership()
        self.last: dict[str, tuple[int, int, int]] = {}
        self.handlers: dict[str, Callable[[int, records.Record], None]] = {
            CLAIM: self.on_claim,
            CHALLENGE: self.on_challenge,
            RELEASE: self.on_release,
            ALIVE: self.on_alive,
            FENCE: self.on_fence,
        }

    def apply(self, offset: int, data: bytes) -> Outcome:
        """Apply the record at ``offset``; offsets come without gaps."""
        self.next = offset + 1
        if offset % self.prune_every == 0:
            self.prune(offset)
        try:
            record = records.decode(data)
        except errors.RecordError as error:
            return Outcome(offset, Verdict.UNREADABLE, str(error))
        if record.kind == BUNDLE:
            return self.apply_bundle(offset, record)
        return self.take(offset, record)

    def apply_bundle(self, offset: int, record: records.Record) -> Outcome:
        """Apply the records of a bundle in order, as if each stood alone.

        The bundle's own id does not matter: each record in it has one,
        so that a copy appended by its writer as well counts once.
        """
        try:
            bundle = records.typed(record.body, Bundle)
        except errors.RecordError as error:
            return Outcome(offset, Verdict.UNREADABLE, str(error), record)
        parts = []
        for data in bundle.records:
            try:
                parts.append(self.take(offset, records.decode(data)))
            except errors.RecordError as error:
                parts.append(Outcome(offset, Verdict.UNREADABLE, str(error)))
        return Outcome(offset, Verdict.VALID, "", record, tuple(parts))

    def take(self, offset: int, record: records.Record) -> Outcome:
        """Apply a record unless it is a snapshot, a copy, or too late."""
        if record.kind == SNAPSHOT:
            # A fact about a prefix, whoever wrote it; changes nothing.
            return Outcome(offset, Verdict.VALID, "", record)
        if self.is_late(offset, record):
            return Outcome(offset, Verdict.LATE, "", record)
        if self.is_copy(record):
            return Outcome(offset, Verdict.DUPLICATE, "", record)
        writer = record.id.writer
        place = (writer.incarnation, record.id.sequence, offset)
        self.last[writer.name] = place
        if self.in_epoch(record):
            # Any new record of the owner in its epoch answers a
            # challenge, also one of a kind this release does not know.
            self.ownership.challenge = records.NO_EPOCH
        return self.judge(offset, record)

    def is_late(self, offset: int, record: records.Record) -> bool:
        """Return whether its writer may have been forgotten since."""
        return record.seen < offset - self.window

    def is_copy(self, record: records.Record) -> bool:
        """Return whether it, or a later one of its writer, was seen."""
        writer = record.id.writer
        place = (writer.incarnation, record.id.sequence)
        return place <= self.last.get(writer.name, (-1, -1, 0))[:2]

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
        except Exception as error:
            # A body that no check foresaw. It must not stop the stream on
            # every host that reads it, now and after each restart.
            return Outcome(offset, Verdict.UNREADABLE, repr(error), record)
        return Outcome(offset, Verdict.VALID, "", record)

    def prune(self, offset: int) -> None:
        """Forget writers whose last record lies behind the window.

        Hosts are replaced all day, and their names would pile up in
        every snapshot.
        """
        horizon = offset - self.window
        if horizon > 0:
            self.last = {
                name: at for name, at in self.last.items() if at[2] >= horizon
            }

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
        if held.owner is not None and not self.may_end(claim):
            raise Refuse("the owner answered")
        self.ownership = Ownership(offset, record.id.writer)
        self.on_epoch(offset)

    def may_end(self, claim: Claim) -> bool:
        """Return whether a claim may end the epoch of an owner."""
        unanswered = claim.challenge == self.ownership.challenge
        return claim.gone or (
            unanswered and claim.challenge != records.NO_EPOCH
        )

    def on_epoch(self, epoch: int) -> None:
        """Drop what only the owner before had begun."""

    def on_challenge(self, offset: int, record: records.Record) -> None:
        """Take a challenge of the epoch in force."""
        challenge = records.typed(record.body, Challenge)
        if challenge.epoch != self.ownership.epoch:
            raise Refuse("epoch has ended")
        if self.ownership.challenge == records.NO_EPOCH:
            self.ownership.challenge = offset

    def on_release(self, offset: int, record: records.Record) -> None:
        """Let the owner give the stream up; its epoch writes no more."""
        if not self.in_epoch(record):
            raise Refuse("not the owner")
        self.ownership = Ownership(self.ownership.epoch)

    def on_alive(self, offset: int, record: records.Record) -> None:
        """Answer a challenge; ``take`` does the rest."""
        if not self.in_epoch(record):
            raise Refuse("not the owner")

    def on_fence(self, offset: int, record: records.Record) -> None:
        """Do nothing; earlier records of the writer are void from here."""

    def needed(self) -> Iterable[int]:
        """Return offsets of records whose bodies the state points to.

        The owner carries those forward that come near the retention
        limit, see ``carry``.
        """
        return ()

    def carry(
        self, offset: int, record: records.Record
    ) -> tuple[str, dict[str, Any]] | None:
        """Return kind and body of a record that replaces a needed one.

        The owner appends it in its epoch. Its handler must move only
        pointers that still point to ``offset`` (put it into the body),
        as the state may have changed before it is read. None says that
        nothing of the record is needed any more.
        """
        return None

    def snapshot(self) -> dict[str, Any]:
        """Return everything applied so far as plain data."""
        return {
            "covers": self.next - 1,
            "ownership": msgspec.to_builtins(self.ownership),
            "last": {name: list(at) for name, at in self.last.items()},
            "state": self.dump(),
        }

    def restore(self, body: dict[str, Any]) -> None:
        """Become the state that ``snapshot`` described."""
        self.next = body["covers"] + 1
        self.ownership = msgspec.convert(body["ownership"], Ownership)
        self.last = {
            name: (incarnation, sequence, offset)
            for name, (incarnation, sequence, offset) in body["last"].items()
        }
        self.load(body["state"])

    @abc.abstractmethod
    def dump(self) -> dict[str, Any]:
        """Return the state proper as plain data.

        It must not share what the fold changes later.
        """

    @abc.abstractmethod
    def load(self, state: dict[str, Any]) -> None:
        """Take over what ``dump`` gave."""
