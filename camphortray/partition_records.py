"""Records of a partition of batch jobs, as they stand in the ledger.

- ``j/JOB/N``: part N of an accepted job, all parts in one append;
- ``r/JOB/N``: results whose first one stands at position N;
- ``t/JOB/N.M``: piece M of the text of the result at position N;
- ``e/JOB``: the job was ended by its caller.
"""

__all__ = [
    "Item",
    "JobPart",
    "Result",
    "State",
    "accept_records",
    "end_record",
    "piece_key",
    "result_record",
    "size_of",
    "split_key",
]

import dataclasses
import enum

import msgspec

from camphortray import errors
from camphortray import ledger as ledgers

# What the framing of a record adds to the bytes of its items, at most.
ITEM_OVERHEAD = 256
# What a record adds to the text of its result, in bytes, about.
RESULT_OVERHEAD = 128
# Most bytes of a text: other hosts ask its owner for it, in one message, which
# holds about a megabyte.
TEXT_BYTES = 900_000


class State(enum.Enum):
    """How an item ended."""

    DONE = "done"
    ABANDONED = "abandoned"


@dataclasses.dataclass(frozen=True, slots=True)
class Item:
    """One item as its caller sent it.

    Attributes:
      id: Unique in its job.
      target: Path and query at the engine.
      headers: Travel to the engine as they are.
      body: Decoded bytes.
      tokens: Of prompt and longest output together.
    """

    id: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    tokens: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """How an item ended.

    Attributes:
      item: Its place among the items.
      state: How.
      text: Data of all its events, joined by line feeds.
      pieces: In how many records of their own the text is kept, if it is
        larger than one; it is empty here then. 0 once they are read.
    """

    item: int
    state: State
    text: bytes = b""
    pieces: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class JobPart:
    """Part of an accepted job.

    Attributes:
      job: Its id.
      host_name: Of the caller's ``Host`` header.
      target: Path under which it was sent.
      taken_at: When, in seconds since 1970.
      total: Items of the whole job.
      first: Place of the first item of this part.
      items: Items of this part.
      workspace: Whose it is; empty if nobody's in particular.
    """

    job: str
    host_name: str
    target: str
    taken_at: float
    total: int
    first: int
    items: tuple[Item, ...]
    workspace: str = ""


PARTS = msgspec.msgpack.Decoder(JobPart)
RESULTS = msgspec.msgpack.Decoder(tuple[Result, ...])
ENCODER = msgspec.msgpack.Encoder()


def accept_records(
    job: JobPart, record_bytes: int
) -> list[ledgers.LedgerRecord]:
    """Return the records that accept a job, each within a size.

    Args:
      job: With all its items.
      record_bytes: Most bytes of one record.

    Raises:
      RecordError: one item alone is too large.
    """
    groups: list[list[Item]] = [[]]
    size = ITEM_OVERHEAD
    for item in job.items:
        item_size = size_of(item)
        if item_size + ITEM_OVERHEAD > record_bytes:
            raise errors.RecordError(
                f"item {item.id!r} is larger than a record may be",
                step="accept",
            )
        if groups[-1] and size + item_size > record_bytes:
            groups.append([])
            size = ITEM_OVERHEAD
        groups[-1].append(item)
        size += item_size
    records = []
    first = 0
    for number, group in enumerate(groups):
        part = dataclasses.replace(job, first=first, items=tuple(group))
        key = f"j/{job.job}/{number}"
        records.append(ledgers.LedgerRecord(key, ENCODER.encode(part)))
        first += len(group)
    return records


def size_of(item: Item) -> int:
    """Return the bytes of an item in a record, at most."""
    texts = [item.id, item.target]
    texts += [text for pair in item.headers for text in pair]
    size = sum(len(text.encode()) + 5 for text in texts)
    return size + len(item.body) + ITEM_OVERHEAD


def result_record(
    job: str, position: int, results: tuple[Result, ...]
) -> ledgers.LedgerRecord:
    """Return the record of results that stand from a position on."""
    value = ENCODER.encode(results)
    return ledgers.LedgerRecord(f"r/{job}/{position:06d}", value)


def piece_key(job: str, position: int, number: int) -> str:
    """Return the key of a piece of a text."""
    return f"t/{job}/{position:06d}.{number:03d}"


def split_key(key: str) -> tuple[str, str, str]:
    """Return kind, job and number of a key; the id may have slashes.

    >>> split_key("r/a/b/000001"), split_key("e/a/b")
    (('r', 'a/b', '000001'), ('e', 'a/b', ''))
    """
    kind, _, rest = key.partition("/")
    if kind == "e":
        return kind, rest, ""
    job, _, number = rest.rpartition("/")
    return kind, job, number


def end_record(job: str) -> ledgers.LedgerRecord:
    """Return the record that ends a job."""
    return ledgers.LedgerRecord(f"e/{job}", b"1")
