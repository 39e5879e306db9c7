"""Stages of the open items of a partition.

An accepted item is open until its result is stored. Its owner knows at any
time which stage the item is in. An unassigned item is neither queued nor
running, and no other host runs it while this one owns the partition.
"""

__all__ = ["ItemStage", "Stage", "StageSummary"]

import collections
from collections.abc import Iterable
import enum

import msgspec


class Stage(enum.Enum):
    """What an open item waits for."""

    QUEUED = "queued"
    ROUTE = "route"
    PAUSE = "pause"
    SLOT = "slot"
    RUN = "run"
    WRITE = "write"
    ENDING = "ending"
    UNASSIGNED = "left"


class ItemStage(msgspec.Struct, frozen=True):
    """An open item and its stage.

    Attributes:
      job: Id of the job.
      item: Id of the item.
      stage: What the item waits for.
      since: When it entered that stage, monotonic; 0 if it has not started.
      run: Number of its last run by this owner, 0 for none.
      age_s: Seconds since the job was accepted.
    """

    job: str
    item: str
    stage: Stage
    since: float = 0.0
    run: int = 0
    age_s: float = 0.0


class StageSummary:
    """The open items of some partitions at one moment.

    Attributes:
      counts: Number of items by stage.
      unassigned: Items that are neither queued nor running.
    """

    def __init__(self, items: Iterable[ItemStage]) -> None:
        all_items = list(items)
        self.counts = collections.Counter(item.stage for item in all_items)
        self.unassigned = [
            item for item in all_items if item.stage is Stage.UNASSIGNED
        ]
