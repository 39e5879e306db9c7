"""Messages about the slots of a service between hosts and coordinators.

Clocks of hosts differ, so times travel as seconds from now.
"""

__all__ = [
    "LeaseEnd",
    "LeaseReport",
    "SlotAsk",
    "SlotDecisions",
    "WireLease",
    "WireRequest",
]

import dataclasses
import math
from typing import NamedTuple

from camphortray import enginehealth
from camphortray import messages
from camphortray import slot_scheduler

# Stands for no due time; travels in place of infinity.
NEVER_S = -1.0


class WireRequest(NamedTuple):
    """A ``slot_scheduler.SlotRequest`` as it travels, as an array.

    Attributes:
      age_ms: Since it was first asked for.
      due_s: Until it is due, or ``NEVER_S``.
    """

    id: str
    online: bool
    priority: int
    age_ms: int
    objective_ms: int
    left_ms: int
    due_s: float
    work_ms: int
    prefix: str
    avoid: tuple[str, ...]
    zone: str = ""
    made_ms: int = 0
    start_ms: int = 0

    @classmethod
    def of(cls, want: slot_scheduler.SlotRequest, now: float) -> "WireRequest":
        """Return what travels for a want."""
        due_s = want.due_at - now
        return cls(
            want.id,
            want.online,
            want.priority,
            round((now - want.asked_at) * 1000),
            round(want.objective_s * 1000),
            round(want.left_s * 1000),
            NEVER_S if math.isinf(due_s) else round(due_s, 3),
            round(want.work_s * 1000),
            want.prefix,
            tuple(want.avoid),
            want.zone,
            round(want.made_s * 1000),
            round(want.start_s * 1000),
        )

    def want(self, holder: str, now: float) -> slot_scheduler.SlotRequest:
        """Return the want that travelled."""
        return slot_scheduler.SlotRequest(
            self.id,
            holder,
            self.online,
            self.priority,
            now - self.age_ms / 1000,
            self.objective_ms / 1000,
            self.left_ms / 1000,
            math.inf if self.due_s == NEVER_S else now + self.due_s,
            self.work_ms / 1000,
            self.prefix,
            frozenset(self.avoid),
            self.zone,
            self.made_ms / 1000,
            self.start_ms / 1000,
        )


class WireLease(NamedTuple):
    """A lease as it travels."""

    want: WireRequest
    engine: str
    age_ms: int


@messages.message("place.ask")
@dataclasses.dataclass(frozen=True, slots=True)
class SlotAsk:
    """Asks a coordinator for slots.

    Attributes:
      service: Whose engines.
      address: Where the coordinator reaches the asker later.
      wants: What is asked for.
    """

    service: str
    address: str
    wants: tuple[WireRequest, ...]


@messages.message("place.end")
@dataclasses.dataclass(frozen=True, slots=True)
class LeaseEnd:
    """The end of a request or lease, for its coordinator."""

    service: str
    id: str
    outcome: enginehealth.Outcome


@messages.message("place.report")
@dataclasses.dataclass(frozen=True, slots=True)
class LeaseReport:
    """All that the sender holds and waits for, for its coordinator."""

    service: str
    address: str
    leases: tuple[WireLease, ...]
    wants: tuple[WireRequest, ...]


@messages.message("place.word")
@dataclasses.dataclass(frozen=True, slots=True)
class SlotDecisions:
    """What was decided, for a holder, in answer or later.

    Attributes:
      granted: Engine by id of the want.
      refused: Seconds after which to come back, by id.
      revoked: Ids of leases that end now.
    """

    service: str
    granted: dict[str, str] = dataclasses.field(default_factory=dict)
    refused: dict[str, float] = dataclasses.field(default_factory=dict)
    revoked: tuple[str, ...] = ()
