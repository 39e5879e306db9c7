"""Messages about the slots of a service between hosts and coordinators.

Clocks of hosts differ, so times are sent relative to the time of sending.
"""

__all__ = [
    "LeaseEnd",
    "LeaseReport",
    "SlotAsk",
    "SlotDecisions",
    "WireLease",
    "WireRequest",
]

import math
from typing import NamedTuple

import msgspec

from camphortray import enginehealth
from camphortray import messages
from camphortray import slot_scheduler

# Sent instead of infinity for a request without a due time.
NO_DUE_TIME_S = -1.0


class WireRequest(NamedTuple):
    """A ``slot_scheduler.SlotRequest`` as sent, encoded as an array.

    Attributes:
      age_ms: Time since the slot was first asked for.
      due_s: Time until the due time, or ``NO_DUE_TIME_S``.
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
        """Return the encoding of a request."""
        due_s = want.due_at - now
        return cls(
            want.id,
            want.online,
            want.priority,
            round((now - want.asked_at) * 1000),
            round(want.objective_s * 1000),
            round(want.left_s * 1000),
            NO_DUE_TIME_S if math.isinf(due_s) else round(due_s, 3),
            round(want.work_s * 1000),
            want.prefix,
            tuple(want.avoid),
            want.zone,
            round(want.made_s * 1000),
            round(want.start_s * 1000),
        )

    def want(self, holder: str, now: float) -> slot_scheduler.SlotRequest:
        """Return the request of a holder that this encodes."""
        return slot_scheduler.SlotRequest(
            self.id,
            holder,
            self.online,
            self.priority,
            now - self.age_ms / 1000,
            self.objective_ms / 1000,
            self.left_ms / 1000,
            math.inf if self.due_s == NO_DUE_TIME_S else now + self.due_s,
            self.work_ms / 1000,
            self.prefix,
            frozenset(self.avoid),
            self.zone,
            self.made_ms / 1000,
            self.start_ms / 1000,
        )


class WireLease(NamedTuple):
    """A lease as sent, encoded as an array."""

    want: WireRequest
    engine: str
    age_ms: int


@messages.message("place.ask")
class SlotAsk(msgspec.Struct, frozen=True):
    """Asks a coordinator for slots.

    Attributes:
      service: Service whose slots are asked for.
      address: Peer address of the sender, for later decisions.
      wants: Requests for slots; none to check that the coordinator responds.
    """

    service: str
    address: str
    wants: tuple[WireRequest, ...]


@messages.message("place.end")
class LeaseEnd(msgspec.Struct, frozen=True):
    """Notifies a coordinator of the end of a waiting request or lease."""

    service: str
    id: str
    outcome: enginehealth.Outcome


@messages.message("place.report")
class LeaseReport(msgspec.Struct, frozen=True):
    """Reports all leases and waiting requests of the sender."""

    service: str
    address: str
    leases: tuple[WireLease, ...]
    wants: tuple[WireRequest, ...]


@messages.message("place.word")
class SlotDecisions(msgspec.Struct, frozen=True):
    """Decisions on the requests of a holder, as a reply or sent later.

    Attributes:
      service: Service of the requests.
      granted: Engine by request id.
      refused: Seconds after which to retry, by request id.
      revoked: Request ids of the leases that are revoked.
    """

    service: str
    granted: dict[str, str] = msgspec.field(default_factory=dict)
    refused: dict[str, float] = msgspec.field(default_factory=dict)
    revoked: tuple[str, ...] = ()
