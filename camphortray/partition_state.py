"""Batch jobs of opaque items, as stored in one partition of the ledger.

The state is the newest record of each key, and each key is written once (see
``partition_records``) before it is deleted. Only the owner of the partition
appends, in its epoch, so every stored record is valid. An expired job is
deleted key by key.
"""

__all__ = ["Job", "PartitionState", "next_result"]

from collections.abc import Iterable

import msgspec

from camphortray import errors
from camphortray import ledger as ledgers
from camphortray import partition_records
from camphortray import routemap


class Job(msgspec.Struct, eq=False):
    """One job.

    Attributes:
      id: Id that the caller chose.
      host_name: Value of the caller's ``Host`` header.
      target: Request path to which the job was submitted.
      taken_at: When the job was accepted, in seconds since 1970.
      items: All items by index; None where a part has not been read yet.
      results: Results in the order in which they were stored.
      finished: Indexes of the items that have a result.
      ended: Whether the caller has ended the job.
      workspace: Workspace that owns the job; empty if it belongs to none.
      route: Route that accepted the job, if that is stored.
    """

    id: str
    host_name: str
    target: str
    taken_at: float
    items: list[partition_records.Item | None]
    results: list[partition_records.Result] = msgspec.field(
        default_factory=list
    )
    finished: set[int] = msgspec.field(default_factory=set)
    ended: bool = False
    workspace: str = ""
    route: routemap.RouteId | msgspec.UnsetType = msgspec.UNSET

    @property
    def complete(self) -> bool:
        """Whether all items of the job have been read."""
        return None not in self.items

    @property
    def open_items(self) -> list[int]:
        """Indexes of the items still to be run; none once the job ended."""
        if self.ended:
            return []
        return [
            index
            for index in range(len(self.items))
            if index not in self.finished
        ]

    @property
    def waiting_tokens(self) -> int:
        """Tokens of the items still to be run."""
        return sum(
            item.tokens
            for index in self.open_items
            if (item := self.items[index]) is not None
        )

    def add(
        self, position: int, results: Iterable[partition_records.Result]
    ) -> None:
        """Append results that start at a position.

        Results at other positions, or of items that have one, are ignored.
        """
        for result in results:
            if position == len(self.results) and (
                result.item not in self.finished
            ):
                self.results.append(result)
                self.finished.add(result.item)
            position += 1

    def index_of(self, item_id: str) -> int | None:
        """Return the index of an item, or None if there is no such item."""
        for index, item in enumerate(self.items):
            if item is not None and item.id == item_id:
                return index
        return None


def next_result(
    job: Job,
    before: Iterable[ledgers.LedgerRecord],
    result: partition_records.Result,
    record_bytes: int,
) -> tuple[ledgers.LedgerRecord, ...]:
    """Return the records that store a result at the job's next position.

    A text larger than a record is split into pieces, which precede the result
    in the same atomic append. There are no records if the item already has a
    result; it may have run again after the store refused to end its job.

    Args:
      job: The job, with all its stored results.
      before: Records that precede these in the same append.
      result: Result of an item of the job.
      record_bytes: Size limit of a record.

    Raises:
      RecordError: The text is larger than one message between hosts can hold.
    """
    prefix = f"r/{job.id}/"
    ahead = [
        earlier.item
        for record in before
        if record.key.startswith(prefix)
        for earlier in partition_records.RESULTS.decode(record.value)
    ]
    if result.item in job.finished or result.item in ahead:
        return ()
    position = len(job.results) + len(ahead)
    text_bytes = (
        record_bytes
        - len(job.id.encode())
        - partition_records.RESULT_OVERHEAD_BYTES
    )
    if len(result.text) <= text_bytes:
        return (partition_records.result_record(job.id, position, (result,)),)
    if len(result.text) > partition_records.MAX_TEXT_BYTES or text_bytes <= 0:
        limit = partition_records.MAX_TEXT_BYTES
        raise errors.RecordError(
            f"result of {len(result.text)} bytes exceeds the limit of {limit}"
            " bytes",
            step="result",
        )
    pieces = [
        ledgers.LedgerRecord(
            partition_records.piece_key(job.id, position, number),
            result.text[start : start + text_bytes],
        )
        for number, start in enumerate(range(0, len(result.text), text_bytes))
    ]
    last = msgspec.structs.replace(result, text=b"", pieces=len(pieces))
    return (
        *pieces,
        partition_records.result_record(job.id, position, (last,)),
    )


class PartitionState:
    """All jobs of a partition.

    Attributes:
      jobs: Jobs by id.
      keys: Keys in the ledger, by job id.
      ended_jobs: Ids of the jobs that their callers have ended.
      pending_results: Results that cannot be applied yet, as the job, an
        earlier result or a piece of the text is missing, by job id and
        position.
      pieces: Pieces of texts that are not complete yet, by job id and key.
    """

    def __init__(self) -> None:
        self.jobs: dict[str, Job] = {}
        self.keys: dict[str, list[str]] = {}
        self.ended_jobs: set[str] = set()
        self.pending_results: dict[
            str, dict[int, tuple[partition_records.Result, ...]]
        ] = {}
        self.pieces: dict[str, dict[str, bytes]] = {}

    def load(self, records: Iterable[ledgers.LedgerRecord]) -> None:
        """Apply the records of a listing, in any order."""
        for record in records:
            self.apply(record)

    def apply(self, record: ledgers.LedgerRecord) -> None:
        """Apply one record.

        Raises:
          RecordError: The record cannot be decoded.
        """
        kind, job, number = partition_records.split_key(record.key)
        if not record.value:
            self.on_key_deleted(job, record.key)
            return
        try:
            if kind == "j":
                self.apply_part(partition_records.PARTS.decode(record.value))
            elif kind == "r":
                results = partition_records.RESULTS.decode(record.value)
                self.pending_results.setdefault(job, {})[int(number)] = results
            elif kind == "t":
                self.pieces.setdefault(job, {})[record.key] = record.value
            elif kind == "e":
                self.ended_jobs.add(job)
        except (msgspec.DecodeError, ValueError) as error:
            raise errors.RecordError(
                f"{record.key}: {error}", step="read job"
            ) from error
        keys = self.keys.setdefault(job, [])
        if record.key not in keys:
            keys.append(record.key)
        self.apply_pending(job)

    def apply_part(self, part: partition_records.JobPart) -> None:
        """Add a part of an accepted job."""
        job = self.jobs.get(part.job)
        if job is None:
            job = self.jobs[part.job] = Job(
                part.job,
                part.host_name,
                part.target,
                part.taken_at,
                [None] * part.total,
                workspace=part.workspace,
                route=part.route,
            )
        if not 0 <= part.first <= len(job.items) - len(part.items):
            raise ValueError(
                f"items {part.first} to {part.first + len(part.items) - 1} are"
                f" not within the {len(job.items)} items of the job"
            )
        for index, item in enumerate(part.items, part.first):
            job.items[index] = item

    def apply_pending(self, name: str) -> None:
        """Apply the pending results, and the end, of a job."""
        job = self.jobs.get(name)
        if job is None:
            return
        pending_results = self.pending_results.get(name, {})
        while len(job.results) in pending_results:
            position = len(job.results)
            joined = self.join_pieces(
                name, position, pending_results[position]
            )
            if joined is None:
                break
            del pending_results[position]
            job.add(position, joined)
            if len(job.results) == position:
                break
        job.ended = job.ended or name in self.ended_jobs

    def join_pieces(
        self,
        name: str,
        position: int,
        results: tuple[partition_records.Result, ...],
    ) -> tuple[partition_records.Result, ...] | None:
        """Return results with whole texts, or None if a piece is missing."""
        if not any(result.pieces for result in results):
            return results
        pieces = self.pieces.get(name, {})
        joined = []
        for result in results:
            keys = [
                partition_records.piece_key(name, position, number)
                for number in range(result.pieces)
            ]
            if not all(key in pieces for key in keys):
                return None
            text = b"".join(pieces.pop(key) for key in keys) or result.text
            joined.append(msgspec.structs.replace(result, text=text, pieces=0))
        return tuple(joined)

    def drop_gaps(self) -> list[str]:
        """Discard results after a gap; return the ids of their jobs.

        The items of these results are still open and run again, and their new
        results reuse the positions. If the old results were kept, they would
        be applied once the gap is filled, at positions that new results have
        taken meanwhile.
        """
        names = [
            name
            for name, pending_results in self.pending_results.items()
            if pending_results
        ]
        self.pending_results.clear()
        self.pieces.clear()
        return names

    def on_key_deleted(self, name: str, key: str) -> None:
        """Remove a deleted key; with its last key, forget the job."""
        keys = self.keys.get(name)
        if keys is None:
            return
        if key in keys:
            keys.remove(key)
        if not keys:
            self.forget(name)

    def forget(self, name: str) -> list[ledgers.LedgerRecord]:
        """Forget a job; return the records that delete its keys."""
        self.jobs.pop(name, None)
        self.ended_jobs.discard(name)
        self.pending_results.pop(name, None)
        self.pieces.pop(name, None)
        keys = self.keys.pop(name, [])
        return [ledgers.LedgerRecord(key, b"") for key in keys]

    def expired_jobs(self, now: float, keep_s: float) -> list[str]:
        """Return the ids of the jobs whose retention has expired.

        Args:
          now: Seconds since 1970.
          keep_s: Retention of a job after it was accepted. A job with open
            items is kept for longer.
        """
        return [
            name
            for name, job in self.jobs.items()
            if now > job.taken_at + keep_s and not job.open_items
        ]
