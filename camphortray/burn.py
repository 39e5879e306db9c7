"""Counts good and bad events by minute, for service-level burn.

Three indicators for each service: ``available`` (a caller's request got
its answer), ``ttft`` (first token within the objective) and ``itl`` (a
token within the objective of the one before). Batch work is counted
apart from online work.
"""

__all__ = [
    "AVAILABLE",
    "BOUNDS_S",
    "Cell",
    "INDICATORS",
    "ITL",
    "Key",
    "Ledger",
    "Row",
    "TTFT",
    "merge_rows",
    "quantile",
]

import bisect
from collections.abc import Iterable
import dataclasses
from typing import NamedTuple

MINUTE_S = 60
# Minutes held one by one; older ones are merged into hours.
MINUTES_KEPT = 130
HOURS_KEPT = 73
INDICATORS = ("available", "ttft", "itl")
AVAILABLE, TTFT, ITL = range(len(INDICATORS))
# Upper bounds of the histogram's buckets, in seconds: 1 ms to 60 s, each
# a quarter above the one before, so that a quantile is off by an eighth.
BOUNDS_S = tuple(0.001 * 1.25**step for step in range(50))


class Key(NamedTuple):
    """What events are about.

    Attributes:
      service: Name of the service.
      batch: Whether it is batch work.
    """

    service: str
    batch: bool


@dataclasses.dataclass(slots=True)
class Cell:
    """Events of one key in one stretch of time.

    Attributes:
      good: Good events by indicator, in the order of ``INDICATORS``.
      bad: Bad ones likewise.
      ttft: Times to the first token by bucket of ``BOUNDS_S``.
      itl: Times between tokens likewise.
    """

    good: list[int] = dataclasses.field(default_factory=lambda: [0, 0, 0])
    bad: list[int] = dataclasses.field(default_factory=lambda: [0, 0, 0])
    ttft: dict[int, int] = dataclasses.field(default_factory=dict)
    itl: dict[int, int] = dataclasses.field(default_factory=dict)

    def timed(
        self, indicator: int, seconds: float, objective_s: float
    ) -> None:
        """Count a token; ``indicator`` is ``TTFT`` or ``ITL``."""
        events = self.good if seconds <= objective_s else self.bad
        events[indicator] += 1
        histogram = self.ttft if indicator == TTFT else self.itl
        bucket = bisect.bisect_left(BOUNDS_S, seconds)
        histogram[bucket] = histogram.get(bucket, 0) + 1

    def add(self, other: "Cell") -> None:
        """Add the events of another cell."""
        for index in range(len(INDICATORS)):
            self.good[index] += other.good[index]
            self.bad[index] += other.bad[index]
        for mine, theirs in ((self.ttft, other.ttft), (self.itl, other.itl)):
            for bucket, count in theirs.items():
                mine[bucket] = mine.get(bucket, 0) + count

    @property
    def tokens(self) -> int:
        """Number of tokens, as far as they came one by one."""
        return sum(self.ttft.values()) + sum(self.itl.values())


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """A cell as it travels.

    Attributes:
      start: Begin of its stretch, in seconds since 1970.
      length_s: Length of the stretch.
      service: Name of the service.
      batch: Whether it is batch work.
      cell: The events.
    """

    start: int
    length_s: int
    service: str
    batch: bool
    cell: Cell


def quantile(histogram: dict[int, int], share: float) -> float | None:
    """Return the upper bound of the bucket that holds a quantile.

    >>> quantile({0: 99, 10: 1}, 0.5) == BOUNDS_S[0]
    True
    """
    total = sum(histogram.values())
    if not total:
        return None
    seen = 0
    for bucket in sorted(histogram):
        seen += histogram[bucket]
        if seen >= share * total:
            return BOUNDS_S[min(bucket, len(BOUNDS_S) - 1)]
    return None


class Ledger:
    """Events of one process.

    Attributes:
      minutes: Cells by key, by number of the minute since 1970.
      hours: Likewise, for minutes that have been merged.
    """

    def __init__(self) -> None:
        self.minutes: dict[int, dict[Key, Cell]] = {}
        self.hours: dict[int, dict[Key, Cell]] = {}
        self.now = -1
        self.current: dict[Key, Cell] = {}

    def cell(self, key: Key, wall: float) -> Cell:
        """Return the cell of the present minute."""
        minute = int(wall) // MINUTE_S
        if minute != self.now:
            self.turn(minute)
        cell = self.current.get(key)
        if cell is None:
            cell = self.current[key] = Cell()
        return cell

    def turn(self, minute: int) -> None:
        """Begin a new minute and merge those that have grown old."""
        self.now = minute
        self.current = self.minutes.setdefault(minute, {})
        for old in [m for m in self.minutes if m <= minute - MINUTES_KEPT]:
            hour = self.hours.setdefault(old // 60, {})
            for key, cell in self.minutes.pop(old).items():
                hour.setdefault(key, Cell()).add(cell)
        for old in [h for h in self.hours if h <= minute // 60 - HOURS_KEPT]:
            del self.hours[old]

    def answered(self, key: Key, good: bool, wall: float) -> None:
        """Count a request that got, or did not get, its answer."""
        cell = self.cell(key, wall)
        (cell.good if good else cell.bad)[AVAILABLE] += 1

    def timed(
        self,
        key: Key,
        indicator: int,
        seconds: float,
        objective_s: float,
        wall: float,
    ) -> None:
        """Count a token; see ``Cell.timed``."""
        self.cell(key, wall).timed(indicator, seconds, objective_s)

    def rows(self, since: float = 0.0) -> list[Row]:
        """Return all cells whose stretch ends after ``since``."""
        made = []
        for table, length_s in (
            (self.hours, 60 * MINUTE_S),
            (self.minutes, MINUTE_S),
        ):
            for number, cells in table.items():
                start = number * length_s
                if start + length_s <= since:
                    continue
                made += [
                    Row(start, length_s, key.service, key.batch, cell)
                    for key, cell in cells.items()
                ]
        return made


def merge_rows(rows: Iterable[Row], since: float) -> dict[Key, Cell]:
    """Return the events of all rows that end after ``since``, by key.

    An hour of which only a part lies in the window counts by its whole,
    so that a window is too long by up to an hour rather than too short.
    """
    merged: dict[Key, Cell] = {}
    for row in rows:
        if row.start + row.length_s > since:
            key = Key(row.service, row.batch)
            merged.setdefault(key, Cell()).add(row.cell)
    return merged
