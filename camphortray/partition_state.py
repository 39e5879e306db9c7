"""Batch jobs of opaque items, as one partition of the ledger holds them.

The state is the newest record of each key, and each key is written once:

- ``j/JOB/N``: part N of an accepted job, all parts in one append;
- ``r/JOB/N``: results whose first one stands at position N;
- ``e/JOB``: the job was ended by its caller.

Only the owner of the partition appends, in its epoch, so no record here is
ever void. A job that is kept no longer is dropped key by key.
"""

__all__ = [
    "Item",
    "Job",
    "JobPart",
    "PartitionState",
    "Result",
    "State",
    "accept_records",
    "end_record",
    "next_result",
    "result_record",
    "split_key",
]

from collections.abc import Iterable
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
    """

    job: str
    host_name: str
    target: str
    taken_at: float
    total: int
    first: int
    items: tuple[Item, ...]


@dataclasses.dataclass(eq=False, slots=True)
class Job:
    """One job.

    Attributes:
      id: As the caller gave it.
      host_name: Of the caller's ``Host`` header.
      target: Path under which it was sent.
      taken_at: When it was accepted, in seconds since 1970.
      items: All of them; None where a part has not been read yet.
      results: In the order in which they came to stand.
      listed: Places of the items that have a result.
      ended: Whether its caller has ended it.
    """

    id: str
    host_name: str
    target: str
    taken_at: float
    items: list[Item | None]
    results: list[Result] = dataclasses.field(default_factory=list)
    listed: set[int] = dataclasses.field(default_factory=set)
    ended: bool = False

    @property
    def whole(self) -> bool:
        """Whether all items have been read."""
        return None not in self.items

    @property
    def open_items(self) -> list[int]:
        """Places of the items without a result."""
        if self.ended:
            return []
        return [
            place
            for place in range(len(self.items))
            if place not in self.listed
        ]

    @property
    def waiting_tokens(self) -> int:
        """Tokens of the items without a result."""
        return sum(
            item.tokens
            for place in self.open_items
            if (item := self.items[place]) is not None
        )

    def add(self, position: int, results: Iterable[Result]) -> None:
        """Take results that stand from a position on."""
        for result in results:
            if position == len(self.results) and (
                result.item not in self.listed
            ):
                self.results.append(result)
                self.listed.add(result.item)
            position += 1

    def item(self, item_id: str) -> int | None:
        """Return the place of an item."""
        for place, item in enumerate(self.items):
            if item is not None and item.id == item_id:
                return place
        return None


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


def next_result(
    job: Job,
    before: Iterable[ledgers.LedgerRecord],
    result: Result,
    record_bytes: int,
) -> tuple[ledgers.LedgerRecord, ...]:
    """Return the records of a result, at the next position of its job.

    A text that is larger than a record goes in pieces before it; they are
    appended with it, all or none. Nothing is to be kept of an item that has
    a result already, as where it ran again after the end of its job was
    refused.

    Args:
      job: With all results that are kept.
      before: Records that are appended before it and not kept yet.
      result: Of an item of the job.
      record_bytes: Most bytes of one record.

    Raises:
      RecordError: it is larger than can be passed on.
    """
    prefix = f"r/{job.id}/"
    ahead = [
        held.item
        for record in before
        if record.key.startswith(prefix)
        for held in RESULTS.decode(record.value)
    ]
    if result.item in job.listed or result.item in ahead:
        return ()
    position = len(job.results) + len(ahead)
    size = record_bytes - len(job.id.encode()) - RESULT_OVERHEAD
    if len(result.text) <= size:
        return (result_record(job.id, position, (result,)),)
    if len(result.text) > TEXT_BYTES or size <= 0:
        raise errors.RecordError(
            f"result of {len(result.text)} bytes, {TEXT_BYTES} at most",
            step="result",
        )
    pieces = [
        ledgers.LedgerRecord(
            piece_key(job.id, position, number),
            result.text[start : start + size],
        )
        for number, start in enumerate(range(0, len(result.text), size))
    ]
    last = dataclasses.replace(result, text=b"", pieces=len(pieces))
    return (*pieces, result_record(job.id, position, (last,)))


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


class PartitionState:
    """All jobs of a partition.

    Attributes:
      jobs: By id.
      keys: Keys in the ledger, by job.
      pieces: Of texts whose result has not been read yet, by job and key.
    """

    def __init__(self) -> None:
        self.jobs: dict[str, Job] = {}
        self.keys: dict[str, list[str]] = {}
        self.ends: set[str] = set()
        self.early: dict[str, dict[int, tuple[Result, ...]]] = {}
        self.pieces: dict[str, dict[str, bytes]] = {}

    def load(self, records: Iterable[ledgers.LedgerRecord]) -> None:
        """Take records of a listing, in any order."""
        for record in records:
            self.apply(record)

    def apply(self, record: ledgers.LedgerRecord) -> None:
        """Take one record.

        Raises:
          RecordError: it cannot be read.
        """
        kind, job, number = split_key(record.key)
        if not record.value:
            self.forget_key(job, record.key)
            return
        try:
            if kind == "j":
                self.apply_part(PARTS.decode(record.value))
            elif kind == "r":
                results = RESULTS.decode(record.value)
                self.early.setdefault(job, {})[int(number)] = results
            elif kind == "t":
                self.pieces.setdefault(job, {})[record.key] = record.value
            elif kind == "e":
                self.ends.add(job)
        except (msgspec.DecodeError, ValueError) as error:
            raise errors.RecordError(
                f"{record.key}: {error}", step="read job"
            ) from error
        held = self.keys.setdefault(job, [])
        if record.key not in held:
            held.append(record.key)
        self.settle(job)

    def apply_part(self, part: JobPart) -> None:
        """Take part of an accepted job."""
        job = self.jobs.get(part.job)
        if job is None:
            job = self.jobs[part.job] = Job(
                part.job,
                part.host_name,
                part.target,
                part.taken_at,
                [None] * part.total,
            )
        if not 0 <= part.first <= len(job.items) - len(part.items):
            raise ValueError("items beyond the end of their job")
        for place, item in enumerate(part.items, part.first):
            job.items[place] = item

    def settle(self, name: str) -> None:
        """Give a job the results and the end that were read before it."""
        job = self.jobs.get(name)
        if job is None:
            return
        early = self.early.get(name, {})
        while len(job.results) in early:
            position = len(job.results)
            whole = self.whole(name, position, early[position])
            if whole is None:
                break
            del early[position]
            job.add(position, whole)
            if len(job.results) == position:
                break
        job.ended = job.ended or name in self.ends

    def whole(
        self, name: str, position: int, results: tuple[Result, ...]
    ) -> tuple[Result, ...] | None:
        """Return results with their texts; None while a piece is missing."""
        if not any(result.pieces for result in results):
            return results
        held = self.pieces.get(name, {})
        found = []
        for result in results:
            keys = [
                piece_key(name, position, number)
                for number in range(result.pieces)
            ]
            if not all(key in held for key in keys):
                return None
            text = b"".join(held.pop(key) for key in keys) or result.text
            found.append(dataclasses.replace(result, text=text, pieces=0))
        return tuple(found)

    def drop_gaps(self) -> list[str]:
        """Forget results that stand behind a gap; return of which jobs.

        Their items are open and run again, and the positions up to there
        are given anew. Left in wait, they would come to stand on their own
        as soon as the gap is closed, at positions that others have been
        given meanwhile.
        """
        names = [name for name, early in self.early.items() if early]
        self.early.clear()
        self.pieces.clear()
        return names

    def forget_key(self, name: str, key: str) -> None:
        """Take note that a key was dropped; the job goes with its first."""
        held = self.keys.get(name)
        if held is None:
            return
        if key in held:
            held.remove(key)
        if not held:
            self.forget(name)

    def forget(self, name: str) -> list[ledgers.LedgerRecord]:
        """Forget a job; return the records that drop its keys."""
        self.jobs.pop(name, None)
        self.ends.discard(name)
        self.early.pop(name, None)
        self.pieces.pop(name, None)
        keys = self.keys.pop(name, [])
        return [ledgers.LedgerRecord(key, b"") for key in keys]

    def over(self, now: float, keep_s: float) -> list[str]:
        """Return the jobs whose keeping time is over.

        Args:
          now: Seconds since 1970.
          keep_s: Time for which results are kept after the accept.
        """
        return [
            name
            for name, job in self.jobs.items()
            if now > job.taken_at + keep_s and not job.open_items
        ]

    def waiting_tokens(self, host_name: str, prefix: str) -> int:
        """Return the tokens that wait on one route."""
        return sum(
            job.waiting_tokens
            for job in self.jobs.values()
            if job.host_name == host_name and job.target.startswith(prefix)
        )
