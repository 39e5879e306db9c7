"""Which hosts are there, and small facts that all hosts should know."""

__all__ = ["Fact", "Member", "Membership", "Status"]

from collections.abc import Callable
import dataclasses
import enum
from typing import Any
from typing import ClassVar

from camphortray import kernel
from camphortray import peers


class Status(enum.StrEnum):
    """How a member is; a later one wins at the same incarnation."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    DEAD = "dead"


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """One program of one host.

    Attributes:
      name: ``HOST/PROGRAM``.
      incarnation: Raised by the member itself, to refute a suspicion.
      status: As far as this host knows.
      availability_zone: Where it stands.
      peer_address: Where it takes peer links.
      http_address: Where it serves HTTP.
      revision: Settings revision in force there.
    """

    name: str
    incarnation: int
    status: Status
    availability_zone: str
    peer_address: str
    http_address: str
    revision: int = 0

    @property
    def host(self) -> str:
        """Name of the host."""
        return self.name.partition("/")[0]

    @property
    def program(self) -> str:
        """``"entry"`` or ``"batch"``."""
        return self.name.partition("/")[2]


@dataclasses.dataclass(frozen=True, slots=True)
class Fact:
    """A small fact for all hosts; the highest version of a key wins.

    Attributes:
      kind: e.g. ``"upstream-leaving"``.
      key: What it is about.
      version: Wall-clock milliseconds of its origin.
      value: Plain data.
      keep_s: Seconds after ``version`` at which it is forgotten.
    """

    kind: str
    key: str
    version: int
    value: Any
    keep_s: float = 60.0


@kernel.PARTS.register("entry", "batch")
class Membership(kernel.Part):
    """Members and facts as this host knows them."""

    name: ClassVar[str] = "membership"
    requires: ClassVar[tuple[str, ...]] = ("peers", "settings")

    def __init__(self, context: kernel.Context) -> None:
        self.context = context
        self.members: dict[str, Member] = {}
        self.facts: dict[tuple[str, str], Fact] = {}
        self.fact_listeners: dict[str, list[Callable[[Fact], None]]] = {}
        self.listeners: list[Callable[[Member], None]] = []
        self.own_name = f"{context.config.host.name}/{context.program}"

    @classmethod
    def from_config(cls, context: kernel.Context) -> "Membership":
        return cls(context)

    async def start(self) -> None:
        links = self.context.part(peers.Peers)
        own = Member(
            self.own_name,
            self.context.incarnation,
            Status.ALIVE,
            self.context.config.host.availability_zone,
            str(links.address),
            "",
        )
        self.members[own.name] = own

    def set_http_address(self, address: str) -> None:
        """Tell where this program serves HTTP."""
        own = self.members[self.own_name]
        self.put(dataclasses.replace(own, http_address=address))

    def put(self, member: Member) -> None:
        """Take over what is known of a member and tell who listens."""
        self.members[member.name] = member
        for listener in self.listeners:
            listener(member)

    def live(self, program: str) -> list[Member]:
        """Return members of a program that may get work, this one too."""
        wanted = (Status.ALIVE, Status.SUSPECT)
        return [
            member
            for member in self.members.values()
            if member.program == program and member.status in wanted
        ]

    def listen(self, listener: Callable[[Member], None]) -> None:
        """Call ``listener`` whenever something about a member changes."""
        self.listeners.append(listener)

    def publish(
        self, kind: str, key: str, value: Any, keep_s: float = 60.0
    ) -> None:
        """Tell all hosts a fact, this one at once."""
        version = int(self.context.clock.wall() * 1000)
        self.take_fact(Fact(kind, key, version, value, keep_s))

    def take_fact(self, fact: Fact) -> bool:
        """Take a fact in; return whether it was new."""
        held = self.facts.get((fact.kind, fact.key))
        if held is not None and held.version >= fact.version:
            return False
        self.facts[(fact.kind, fact.key)] = fact
        for listener in self.fact_listeners.get(fact.kind, []):
            listener(fact)
        return True

    def on_fact(self, kind: str, listener: Callable[[Fact], None]) -> None:
        """Call ``listener`` with each new fact of a kind."""
        self.fact_listeners.setdefault(kind, []).append(listener)
