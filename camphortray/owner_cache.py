"""Caches the owner of each partition of jobs, as far as a host knows it."""

__all__ = ["Miss", "NoOwner", "OwnerCache", "OwnerClaim"]

import enum
from typing import NamedTuple


class Miss(enum.Enum):
    """Why a call finds no owner that can be asked."""

    UNHEARD = "unheard"
    GIVEN_UP = "given up"
    GONE = "gone"
    ELSEWHERE = "elsewhere"
    NOT_READ = "not read"
    OUT_OF_TOUCH = "out of touch"


# Explanations that are sent to callers.
EXPLAINED = {
    Miss.UNHEARD: "no owner has been heard of",
    Miss.GIVEN_UP: "given up here, and the next owner not heard of",
    Miss.GONE: "the owner is gone, and the next one not heard of",
    Miss.ELSEWHERE: "not owned by the host that was taken for its owner",
    Miss.NOT_READ: "its owner has not read it yet",
    Miss.OUT_OF_TOUCH: "its owner is out of touch with the store",
}


class NoOwner(Exception):
    """No owner of a partition can be asked.

    Attributes:
      miss: The reason.
    """

    def __init__(self, part: int, miss: Miss) -> None:
        super().__init__(f"partition {part} changes hands: {EXPLAINED[miss]}")
        self.miss = miss


class OwnerClaim(NamedTuple):
    """A published claim to own a partition.

    Attributes:
      epoch: Epoch in which the claimant owns the partition.
      name: Member name of the claimant.
      observed_at: Monotonic time at which this host received the claim.
    """

    epoch: int
    name: str
    observed_at: float


class OwnerCache:
    """Owners of partitions as far as one host knows them.

    An owner publishes its claim once, and the claim may arrive late. If a
    claim turns out to be stale, because the claimant refuses a call, the host
    can query the store, which assigns the partitions. The assignment takes
    precedence over a claim until a newer claim arrives. It names the host that
    is to own a partition; only that host knows whether it has read the records
    of the partition yet.

    Attributes:
      own_name: Member name of this host.
      known: Latest claim of an owner, by partition.
      assigned: Member to which the store assigned a partition, by partition,
        where it is not the latest claimant.
    """

    def __init__(self, own_name: str) -> None:
        self.own_name = own_name
        self.known: dict[int, OwnerClaim] = {}
        self.assigned: dict[int, str] = {}

    def on_claim(self, part: int, claim: OwnerClaim) -> bool:
        """Record a claim; return whether it is the latest."""
        latest = self.known.get(part)
        if latest is None or claim[:2] > latest[:2]:
            self.known[part] = claim
            self.assigned.pop(part, None)
        return self.known[part][:2] == claim[:2]

    def on_assignment(self, assigned: dict[int, str]) -> None:
        """Record the assignment of all partitions by the store."""
        self.assigned = {
            part: name
            for part, name in assigned.items()
            if part not in self.known or self.known[part].name != name
        }

    def name(self, part: int) -> str:
        """Return the member to ask, which is never this host.

        Raises:
          NoOwner: No other owner is known.
        """
        claim = self.known.get(part)
        name = self.assigned.get(part) or (claim.name if claim else "")
        if not name:
            raise NoOwner(part, Miss.UNHEARD)
        if name == self.own_name:
            raise NoOwner(part, Miss.GIVEN_UP)
        return name

    def age_s(self, part: int, now: float) -> float | None:
        """Return the age of the latest claim, or None if there is none."""
        claim = self.known.get(part)
        return None if claim is None else now - claim.observed_at
