"""Finds what each open item of a partition waits for, and which for nothing.

An accepted item is open until it is listed. Its owner can say at any moment
what stands between the two; an item that waits for nothing is left lying, and
no other host will see to it as long as this one owns its partition.
"""

__all__ = ["Look", "Stage", "StageAt"]

import collections
from collections.abc import Iterable
import dataclasses
import enum


class Stage(enum.Enum):
    """What an open item waits for."""

    QUEUED = "queued"
    ROUTE = "route"
    PAUSE = "pause"
    SLOT = "slot"
    RUN = "run"
    WRITE = "write"
    ENDING = "ending"
    LEFT = "left"


@dataclasses.dataclass(frozen=True, slots=True)
class StageAt:
    """An open item and what it waits for.

    Attributes:
      job: Id of its job.
      item: Its own id.
      stage: What it waits for.
      since: From when on, on the monotonic clock.
      run: Number of its last run with this owner, 0 for none.
      age_s: Seconds since its job was accepted.
    """

    job: str
    item: str
    stage: Stage
    since: float = 0.0
    run: int = 0
    age_s: float = 0.0


class Look:
    """One look at the open items of some partitions.

    Attributes:
      counts: Items by stage.
      left: Those that wait for nothing.
    """

    def __init__(self, items: Iterable[StageAt]) -> None:
        held = list(items)
        self.counts = collections.Counter(item.stage for item in held)
        self.left = [item for item in held if item.stage is Stage.LEFT]
