"""Records of the log: their ids, kinds and bytes.

On the wire a record is the CBOR map ``{"w": [writer, incarnation,
sequence], "k": kind, "e": epoch, "s": seen, "b": body}``. Fields that a
release does not know are kept in the body and ignored.
"""

__all__ = [
    "NO_EPOCH",
    "Record",
    "RecordId",
    "Writer",
    "decode",
    "encode",
    "typed",
]

import dataclasses
from typing import Any
from typing import TypeVar

import cbor2
import msgspec

from camphortray import errors

# Epoch of a stream that nobody has claimed, and of records that need none.
NO_EPOCH = -1

T = TypeVar("T")


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Writer:
    """One life of one program on one host.

    Attributes:
      name: ``HOST/PROGRAM``.
      incarnation: Grows with each start.
    """

    name: str
    incarnation: int


@dataclasses.dataclass(frozen=True, slots=True)
class RecordId:
    """Identity of a record; appended twice, it counts once."""

    writer: Writer
    sequence: int


@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """One record.

    Attributes:
      id: Its identity.
      kind: e.g. ``"claim"``.
      epoch: Epoch it was written in, or ``NO_EPOCH``.
      body: Plain data; ``typed`` reads it as a data class.
      seen: Offset up to which its writer had read the stream when it
        made the record; bounds how late the record may still count.
    """

    id: RecordId
    kind: str
    epoch: int
    body: dict[str, Any]
    seen: int = 0


def encode(record: Record) -> bytes:
    """Return the bytes of a record."""
    writer = record.id.writer
    return cbor2.dumps(
        {
            "w": [writer.name, writer.incarnation, record.id.sequence],
            "k": record.kind,
            "e": record.epoch,
            "s": record.seen,
            "b": record.body,
        }
    )


def decode(data: bytes) -> Record:
    """Read a record.

    Raises:
      RecordError: it is not one.
    """
    try:
        raw = cbor2.loads(data)
        name, incarnation, sequence = raw["w"]
        record = Record(
            RecordId(Writer(name, incarnation), sequence),
            raw["k"],
            raw["e"],
            raw["b"],
            raw.get("s", 0),
        )
    except Exception as error:
        # A stream may hold anything, and cbor2 raises many types.
        raise errors.RecordError(
            f"cannot be read: {error!r}", step="decode"
        ) from error
    numbers = (incarnation, sequence, record.epoch, record.seen)
    texts = (name, record.kind)
    if (
        not all(type(number) is int for number in numbers)
        or not all(type(text) is str for text in texts)
        or type(record.body) is not dict
    ):
        raise errors.RecordError("wrong types", step="decode")
    return record


def typed(body: dict[str, Any], cls: type[T]) -> T:
    """Read a body as a data class, ignoring unknown fields.

    Raises:
      RecordError: a field is missing or of the wrong type.
    """
    try:
        return msgspec.convert(body, cls)
    except (msgspec.ValidationError, TypeError, ValueError) as error:
        raise errors.RecordError(str(error), step=cls.__name__) from error
