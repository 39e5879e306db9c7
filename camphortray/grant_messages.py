"""Messages about batch slots between hosts and coordinators."""

__all__ = ["Grants", "OnlineWork", "Want", "Wants", "Work"]

import dataclasses
from typing import NamedTuple

from camphortray import headroom
from camphortray import messages


class Work(NamedTuple):
    """A ``headroom.Load`` in few bytes: it travels as an array.

    Attributes:
      strain_pct: Strain in whole percent.
    """

    in_flight: int
    pending: int
    strain_pct: int

    @classmethod
    def from_load(cls, load: headroom.Load) -> "Work":
        """Return what travels for a load."""
        return cls(load.in_flight, load.pending, round(load.strain * 100))

    def load(self) -> headroom.Load:
        """Return the load that travelled."""
        return headroom.Load(
            self.in_flight, self.pending, self.strain_pct / 100
        )


@messages.message("slots.online")
@dataclasses.dataclass(frozen=True, slots=True)
class OnlineWork:
    """Tells a coordinator of online work, by upstream."""

    works: dict[str, Work]


@dataclasses.dataclass(frozen=True, slots=True)
class Want:
    """What a host could use on one upstream.

    Attributes:
      wanted: Slots it could use, those in use included.
      held: Slots in use.
    """

    wanted: int
    held: int


@messages.message("slots.want")
@dataclasses.dataclass(frozen=True, slots=True)
class Wants:
    """Asks a coordinator for slots, by upstream.

    Attributes:
      address: Peer address to which grants go.
    """

    address: str
    wants: dict[str, Want]


@messages.message("slots.grant")
@dataclasses.dataclass(frozen=True, slots=True)
class Grants:
    """Tells a host how many slots it may use, by upstream.

    Attributes:
      slots: Takes the place of the grant before.
      hold_ms: Milliseconds it holds from its arrival; whole numbers take
        a third of the bytes, and most messages are of this kind.
      pace_ms: Least milliseconds from one slot taken on an upstream to the
        next, by this host.
    """

    slots: dict[str, int]
    hold_ms: int
    pace_ms: int = 0
