"""Batch jobs of opaque items, as one partition of the ledger holds them.

The state is the newest record of each key, and each key is written once (see
``partition_records``). Only the owner of the partition appends, in its epoch,
so no record here is ever void. A job that is kept no longer is dropped key by
key.
"""

__all__ = ["Job", "PartitionState", "next_result"]

from collections.abc import Iterable
import dataclasses

import msgspec

from camphortray import errors
from camphortray import ledger as ledgers
from camphortray import partition_records


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
      workspace: Whose it is; empty if nobody's in particular.
    """

    id: str
    host_name: str
    target: str
    taken_at: float
    items: list[partition_records.Item | None]
    results: list[partition_records.Result] = dataclasses.field(
        default_factory=list
    )
    listed: set[int] = dataclasses.field(default_factory=set)
    ended: bool = False
    workspace: str = ""

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

    def add(
        self, position: int, results: Iterable[partition_records.Result]
    ) -> None:
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


def next_result(
    job: Job,
    before: Iterable[ledgers.LedgerRecord],
    result: partition_records.Result,
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
        for held in partition_records.RESULTS.decode(record.value)
    ]
    if result.item in job.listed or result.item in ahead:
        return ()
    position = len(job.results) + len(ahead)
    size = (
        record_bytes - len(job.id.encode()) - partition_records.RESULT_OVERHEAD
    )
    if len(result.text) <= size:
        return (partition_records.result_record(job.id, position, (result,)),)
    if len(result.text) > partition_records.TEXT_BYTES or size <= 0:
        most = partition_records.TEXT_BYTES
        raise errors.RecordError(
            f"result of {len(result.text)} bytes, {most} at most",
            step="result",
        )
    pieces = [
        ledgers.LedgerRecord(
            partition_records.piece_key(job.id, position, number),
            result.text[start : start + size],
        )
        for number, start in enumerate(range(0, len(result.text), size))
    ]
    last = dataclasses.replace(result, text=b"", pieces=len(pieces))
    return (
        *pieces,
        partition_records.result_record(job.id, position, (last,)),
    )


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
        self.early: dict[
            str, dict[int, tuple[partition_records.Result, ...]]
        ] = {}
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
        kind, job, number = partition_records.split_key(record.key)
        if not record.value:
            self.forget_key(job, record.key)
            return
        try:
            if kind == "j":
                self.apply_part(partition_records.PARTS.decode(record.value))
            elif kind == "r":
                results = partition_records.RESULTS.decode(record.value)
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

    def apply_part(self, part: partition_records.JobPart) -> None:
        """Take part of an accepted job."""
        job = self.jobs.get(part.job)
        if job is None:
            job = self.jobs[part.job] = Job(
                part.job,
                part.host_name,
                part.target,
                part.taken_at,
                [None] * part.total,
                workspace=part.workspace,
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
        self,
        name: str,
        position: int,
        results: tuple[partition_records.Result, ...],
    ) -> tuple[partition_records.Result, ...] | None:
        """Return results with their texts; None while a piece is missing."""
        if not any(result.pieces for result in results):
            return results
        held = self.pieces.get(name, {})
        found = []
        for result in results:
            keys = [
                partition_records.piece_key(name, position, number)
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
