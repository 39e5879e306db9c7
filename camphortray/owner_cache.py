"""Who owns each partition of jobs, as one host has learned."""

__all__ = ["Miss", "NoOwner", "OwnerCache", "OwnerClaim"]

import enum
from typing import NamedTuple


class Miss(enum.Enum):
    """Why a call finds no owner that could be asked."""

    UNHEARD = "unheard"
    GIVEN_UP = "given up"
    GONE = "gone"
    ELSEWHERE = "elsewhere"
    NOT_READ = "not read"
    OUT_OF_TOUCH = "out of touch"


# What a caller gets to read, by why there is no owner.
EXPLAINED = {
    Miss.UNHEARD: "no owner has been heard of",
    Miss.GIVEN_UP: "given up here, and the next owner not heard of",
    Miss.GONE: "the owner is gone, and the next one not heard of",
    Miss.ELSEWHERE: "not owned by the host that was taken for its owner",
    Miss.NOT_READ: "its owner has not read it yet",
    Miss.OUT_OF_TOUCH: "its owner is out of touch with the store",
}


class NoOwner(Exception):
    """No owner of a partition could be asked.

    Attributes:
      miss: Why.
    """

    def __init__(self, part: int, miss: Miss) -> None:
        super().__init__(f"partition {part} changes hands: {EXPLAINED[miss]}")
        self.miss = miss


class OwnerClaim(NamedTuple):
    """What an owner says of itself.

    Attributes:
      epoch: In which it owns the partition.
      name: Its member.
      observed_at: When this host heard of it, monotonic.
    """

    epoch: int
    name: str
    observed_at: float


class OwnerCache:
    """Owners of partitions as one host knows them.

    Owners publish once that they own a partition, and that may be late. A host
    whose claim is stale, as the owner has refused a call, can ask
    the store, which deals the partitions. What the store says goes before
    the claim of an owner until a newer owner is heard of; it says who is to
    own a partition, not who has read it, which that host itself must say.

    Attributes:
      own_name: Member of this host.
      known: Newest claim of an owner, by partition.
      dealt: Member that the store deals a partition to, by partition.
    """

    def __init__(self, own_name: str) -> None:
        self.own_name = own_name
        self.known: dict[int, OwnerClaim] = {}
        self.dealt: dict[int, str] = {}

    def on_claim(self, part: int, claim: OwnerClaim) -> bool:
        """Take an owner's claim; return whether it is the newest."""
        held = self.known.get(part)
        if held is None or claim[:2] > held[:2]:
            self.known[part] = claim
            self.dealt.pop(part, None)
        return self.known[part][:2] == claim[:2]

    def on_assignment(self, dealt: dict[int, str]) -> None:
        """Take what the store says of all partitions."""
        self.dealt = {
            part: name
            for part, name in dealt.items()
            if part not in self.known or self.known[part].name != name
        }

    def name(self, part: int) -> str:
        """Return the member to ask, another one than this host.

        Raises:
          NoOwner: there is none.
        """
        claim = self.known.get(part)
        name = self.dealt.get(part) or (claim.name if claim else "")
        if not name:
            raise NoOwner(part, Miss.UNHEARD)
        if name == self.own_name:
            raise NoOwner(part, Miss.GIVEN_UP)
        return name

    def age_s(self, part: int, now: float) -> float | None:
        """Return the age of what is known of an owner, None if nothing."""
        claim = self.known.get(part)
        return None if claim is None else now - claim.observed_at
