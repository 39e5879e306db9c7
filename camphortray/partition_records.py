"""Records of a partition of batch jobs, as stored in the ledger.

- ``j/JOB/N``: part N of an accepted job; all parts are in one append;
- ``r/JOB/N``: results, the first of which is at position N;
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

import enum

import msgspec

from camphortray import errors
from camphortray import ledger as ledgers
from camphortray import routemap

# Upper bound, in bytes, on what encoding adds to an item and to a record.
ITEM_OVERHEAD_BYTES = 256
# Approximate number of bytes that a record adds to the text of its result.
RESULT_OVERHEAD_BYTES = 128
# Size limit of a result's text: the owner sends it to other hosts in one
# message, which holds about a megabyte.
MAX_TEXT_BYTES = 900_000


class State(enum.Enum):
    """How an item ended."""

    DONE = "done"
    ABANDONED = "abandoned"


class Item(msgspec.Struct, frozen=True):
    """One item as submitted by the caller.

    Attributes:
      id: Id, unique in the job.
      target: Path and query of the request to the engine.
      headers: Headers, sent to the engine unchanged.
      body: Body of the request, decoded.
      tokens: Tokens of the prompt plus the longest possible output.
    """

    id: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    tokens: int = 0


class Result(msgspec.Struct, frozen=True):
    """The result of an item.

    Attributes:
      item: Index of the item in its job.
      state: How the item ended.
      text: Data of all events, joined by line feeds; empty if ``pieces``
        is not 0.
      pieces: Number of separate records that hold the text, if it is larger
        than a record; 0 once they have been read.
    """

    item: int
    state: State
    text: bytes = b""
    pieces: int = 0


class JobPart(msgspec.Struct, frozen=True):
    """Part of an accepted job.

    Attributes:
      job: Id of the job.
      host_name: Value of the caller's ``Host`` header.
      target: Request path to which the job was submitted.
      taken_at: When the job was accepted, in seconds since 1970.
      total: Number of items of the whole job.
      first: Index of the first item of this part.
      items: Items of this part.
      workspace: Workspace that owns the job; empty if it belongs to none.
      route: Route that accepted the job; hosts of earlier releases leave it
        out.
    """

    job: str
    host_name: str
    target: str
    taken_at: float
    total: int
    first: int
    items: tuple[Item, ...]
    workspace: str = ""
    route: routemap.RouteId | msgspec.UnsetType = msgspec.UNSET


PARTS = msgspec.msgpack.Decoder(JobPart)
RESULTS = msgspec.msgpack.Decoder(tuple[Result, ...])
ENCODER = msgspec.msgpack.Encoder()


def accept_records(
    job: JobPart, record_bytes: int
) -> list[ledgers.LedgerRecord]:
    """Return the records that store an accepted job.

    Args:
      job: The job, with all its items.
      record_bytes: Size limit of a record.

    Raises:
      RecordError: An item does not fit in a record.
    """
    head = ENCODER.encode(msgspec.structs.replace(job, items=()))
    head_bytes = max(ITEM_OVERHEAD_BYTES, len(head))
    groups: list[list[Item]] = [[]]
    size = head_bytes
    for item in job.items:
        item_size = size_of(item)
        if item_size + head_bytes > record_bytes:
            raise errors.RecordError(
                f"item {item.id!r} is larger than a record may be",
                step="accept",
            )
        if groups[-1] and size + item_size > record_bytes:
            groups.append([])
            size = head_bytes
        groups[-1].append(item)
        size += item_size
    records = []
    first = 0
    for number, group in enumerate(groups):
        part = msgspec.structs.replace(job, first=first, items=tuple(group))
        key = f"j/{job.job}/{number}"
        records.append(ledgers.LedgerRecord(key, ENCODER.encode(part)))
        first += len(group)
    return records


def size_of(item: Item) -> int:
    """Return an upper bound on the bytes of an item in a record."""
    texts = [item.id, item.target]
    texts += [text for pair in item.headers for text in pair]
    size = sum(len(text.encode()) + 5 for text in texts)
    return size + len(item.body) + ITEM_OVERHEAD_BYTES


def result_record(
    job: str, position: int, results: tuple[Result, ...]
) -> ledgers.LedgerRecord:
    """Return the record of results that start at a position."""
    value = ENCODER.encode(results)
    return ledgers.LedgerRecord(f"r/{job}/{position:06d}", value)


def piece_key(job: str, position: int, number: int) -> str:
    """Return the key of a piece of a text."""
    return f"t/{job}/{position:06d}.{number:03d}"


def split_key(key: str) -> tuple[str, str, str]:
    """Return the kind, job id and number in a key; the id may have slashes.

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
