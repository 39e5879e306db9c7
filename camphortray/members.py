"""Members as one host knows them: entries, their order and a digest."""

__all__ = [
    "Directory",
    "Member",
    "NO_VERSION",
    "Status",
    "bucket_of",
    "digest_of",
]

import enum
from typing import Annotated

import msgspec
import xxhash

from camphortray import config as configs

# Buckets into which all keys fall, so that two hosts find what differs
# without sending everything.
BUCKETS = 32
# Seconds for which a dead member is remembered. Within it a late entry
# of the same incarnation cannot bring the member back.
TOMBSTONE_S = 3600.0
# Older than the version of any entry.
NO_VERSION = (-1, -1)

# What an entry that comes from a peer must look like to be taken in.
Name = Annotated[
    str, msgspec.Meta(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]*/[a-z]+$")
]
Incarnation = Annotated[int, msgspec.Meta(ge=0, lt=2**62)]
AddressOrNone = Annotated[
    str, msgspec.Meta(pattern=f"^$|{configs.ADDRESS_PATTERN}")
]


class Status(enum.StrEnum):
    """How a member is; a later one wins at the same incarnation."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    DEAD = "dead"


RANKS = {status: rank for rank, status in enumerate(Status)}


class Member(msgspec.Struct, frozen=True):
    """One program of one host.

    Attributes:
      name: ``HOST/PROGRAM``.
      incarnation: Raised by the member itself, with each change of its
        entry and to refute a suspicion.
      status: As far as this host knows.
      availability_zone: Where it stands.
      peer_address: Where it takes peer links.
      http_address: Where it serves HTTP; empty until it is ready.
      revision: Settings revision last heard from it; 0 if unheard of.
      started: Incarnation of its process, as in its log records.
      left: Whether it said that it leaves.
      capacity: Units of load that it can carry; 0 if not known.
    """

    name: Name
    incarnation: Incarnation
    status: Status
    availability_zone: str
    peer_address: configs.AddressText
    http_address: AddressOrNone
    revision: int = 0
    started: int = 0
    left: bool = False
    capacity: float = 0.0

    @property
    def host(self) -> str:
        """Name of the host."""
        return self.name.partition("/")[0]

    @property
    def program(self) -> str:
        """``"entry"`` or ``"batch"``."""
        return self.name.partition("/")[2]

    @property
    def version(self) -> tuple[int, int]:
        """What decides which of two entries is newer."""
        return self.incarnation, RANKS[self.status]

    @property
    def dead(self) -> bool:
        """Whether it is held for dead."""
        return self.status is Status.DEAD

    def trimmed(self) -> "Member":
        """Return the entry as it travels; only pings tell a revision."""
        return msgspec.structs.replace(self, revision=0)


def bucket_of(key: str) -> int:
    """Return the bucket of a member's name or a fact's key."""
    return xxhash.xxh3_64_intdigest(key.encode()) % BUCKETS


def digest_of(key: str, version: object) -> int:
    """Return the share of one entry in its bucket's digest."""
    return xxhash.xxh3_64_intdigest(f"{key} {version}".encode())


class Directory:
    """All entries, dead ones included for a while.

    Attributes:
      members: By name.
      buckets: One digest each; the XOR of those of its live entries.
      died: When each dead member was first held for dead, by name.
    """

    def __init__(self) -> None:
        self.members: dict[str, Member] = {}
        self.by_host: dict[str, set[str]] = {}
        self.buckets = [0] * BUCKETS
        self.died: dict[str, float] = {}

    def newer(self, member: Member) -> bool:
        """Return whether an entry says more than the one held.

        A dead mark of a member that is not known says nothing: taking
        it would keep forgotten members alive between hosts for ever.
        """
        held = self.members.get(member.name)
        if held is None:
            return not member.dead
        return member.version > held.version

    def put(self, member: Member, now: float) -> None:
        """Hold an entry instead of the one before."""
        held = self.members.get(member.name)
        if held is not None:
            self.toggle(held)
        self.members[member.name] = member
        self.by_host.setdefault(member.host, set()).add(member.name)
        self.toggle(member)
        if member.dead:
            self.died.setdefault(member.name, now)
        else:
            self.died.pop(member.name, None)

    def toggle(self, member: Member) -> None:
        """Add an entry to its bucket's digest, or take it out."""
        if not member.dead:
            digest = digest_of(member.name, member.version)
            self.buckets[bucket_of(member.name)] ^= digest

    def note_revision(self, name: str, revision: int) -> None:
        """Take note of the revision that a member says it has."""
        held = self.members.get(name)
        if held is not None and held.revision < revision:
            self.members[name] = msgspec.structs.replace(
                held, revision=revision
            )

    def prune(self, now: float) -> list[str]:
        """Forget members that have long been dead; return their names."""
        old = [
            name for name, at in self.died.items() if now - at > TOMBSTONE_S
        ]
        for name in old:
            del self.died[name]
            member = self.members.pop(name)
            names = self.by_host[member.host]
            names.discard(name)
            if not names:
                del self.by_host[member.host]
        return old

    def on_host(self, host: str) -> list[Member]:
        """Return the members of a host that are not dead."""
        held = (self.members[name] for name in self.by_host.get(host, ()))
        return [member for member in held if not member.dead]

    def present(self) -> list[Member]:
        """Return all members that are not dead."""
        return [m for m in self.members.values() if not m.dead]
