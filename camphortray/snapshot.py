"""Snapshots of a stream: how they are split, found and judged.

A snapshot says what the fold of everything up to ``covers`` is. That is
a fact about a prefix: true whoever wrote it and whatever epoch holds
now. It may be used only while the log still starts at or before
``covers + 1``. Else records would be missing between the two: a claim at
10, a snapshot that lands at 11 but covers 9, a log cut at 10, and a
reader would restore a state in which the claim never was.
"""

__all__ = ["Collector", "Need", "Pace", "Part", "merge", "split", "usable"]

import dataclasses
from typing import Any

import cbor2
import xxhash

from camphortray import errors
from camphortray import fold as folds
from camphortray import records

# Bytes of a record left for everything but the part's data.
OVERHEAD_BYTES = 512
# Bytes of records after which a new snapshot pays even for a small state.
MIN_BYTES = 4_194_304
# Records after which a reader would feel the replay.
MAX_RECORDS = 4096
# A snapshot is written again once this share of the retention is over,
# so that an outage of the log as long as the rest costs nothing.
DUE_SHARE = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Part:
    """Body of one record of a snapshot.

    Attributes:
      covers: Offset of the last record that is folded into it.
      digest: Of the whole; parts of equal digest belong together.
      number: Of this part, from 0.
      count: Number of parts.
      data: A slice of the encoded state.
    """

    covers: int
    digest: str
    number: int
    count: int
    data: bytes


def split(state: dict[str, Any], record_limit: int) -> list[Part]:
    """Return the parts of what ``Fold.snapshot`` gave."""
    data = cbor2.dumps(state)
    digest = xxhash.xxh3_128_hexdigest(data)
    size = record_limit - OVERHEAD_BYTES
    slices = [data[at : at + size] for at in range(0, len(data), size)]
    return [
        Part(state["covers"], digest, number, len(slices), piece)
        for number, piece in enumerate(slices)
    ]


def merge(parts: list[Part]) -> dict[str, Any] | None:
    """Return the state that all parts hold, or None if it is damaged."""
    ordered = sorted(parts, key=lambda part: part.number)
    data = b"".join(part.data for part in ordered)
    if xxhash.xxh3_128_hexdigest(data) != ordered[0].digest:
        return None
    try:
        state: dict[str, Any] = cbor2.loads(data)
    except Exception:
        # Not written by a release of ours, and cbor2 raises many types.
        return None
    return state if state.get("covers") == ordered[0].covers else None


def usable(covers: int, first: int) -> bool:
    """Return whether a log that starts at ``first`` continues it."""
    return first <= covers + 1


class Collector:
    """Gathers parts in any order until one snapshot is whole.

    Attributes:
      best: Newest whole state so far, or None.
      best_time: When the log took its last part.
      size: Its bytes.
    """

    def __init__(self, first: int) -> None:
        self.first = first
        self.parts: dict[tuple[int, str], dict[int, Part]] = {}
        self.best: dict[str, Any] | None = None
        self.best_time = 0.0
        self.size = 0

    def add(self, offset: int, time: float, data: bytes) -> None:
        """Take a record of the stream; all but usable parts are passed."""
        try:
            record = records.decode(data)
            if record.kind != folds.SNAPSHOT:
                return
            part = records.typed(record.body, Part)
        except errors.RecordError:
            return
        if part.covers >= offset or not usable(part.covers, self.first):
            return
        held = self.parts.setdefault((part.covers, part.digest), {})
        held[part.number] = part
        if len(held) == part.count:
            self.complete(list(held.values()), time)

    def complete(self, parts: list[Part], time: float) -> None:
        """Keep a whole state if it is the newest."""
        if self.best is not None and self.best["covers"] >= parts[0].covers:
            return
        state = merge(parts)
        if state is not None:
            self.best, self.best_time = state, time
            self.size = sum(len(part.data) for part in parts)


@dataclasses.dataclass(frozen=True, slots=True)
class Need:
    """What the decision to write a snapshot looks at.

    Attributes:
      age_s: Age of the newest whole snapshot, or of the oldest record
        read if there is none.
      records: Records since.
      bytes: Bytes of records since.
      size: Bytes of the newest snapshot, 0 if there is none.
    """

    age_s: float
    records: int
    bytes: int
    size: int


class Pace:
    """Says when a new snapshot is due.

    By age, so that nothing needed runs into the retention limit; by
    bytes, so that a replay reads about as much as the state is large and
    snapshots add at most as many bytes as the records themselves.
    """

    def __init__(self, retention_s: float) -> None:
        self.retention_s = retention_s

    def due(self, need: Need, rank: int = 0) -> bool:
        """Return whether to write one.

        Args:
          need: What there is.
          rank: 0 for whoever should write it; others come in later, one
            after the other, in case that one does not.
        """
        share = min(DUE_SHARE + 0.05 * rank, 0.9)
        if need.age_s > self.retention_s * share:
            return True
        if rank:
            return False
        many = need.records > MAX_RECORDS and need.bytes > need.size
        return many or need.bytes > max(MIN_BYTES, need.size)
