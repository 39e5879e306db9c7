"""Messages between hosts and coordinators of batch slots."""

__all__ = ["Grants", "OnlineWork", "Want", "Wants", "Work"]

from typing import NamedTuple

import msgspec

from camphortray import headroom
from camphortray import messages


class Work(NamedTuple):
    """Compact form of ``headroom.Load``, encoded as an array.

    Attributes:
      in_flight: Requests at the upstream.
      pending: Those of them without a first token yet.
      strain_pct: Strain in whole percent.
    """

    in_flight: int
    pending: int
    strain_pct: int

    @classmethod
    def from_load(cls, load: headroom.Load) -> "Work":
        """Return the encoded form of a load."""
        return cls(load.in_flight, load.pending, round(load.strain * 100))

    def load(self) -> headroom.Load:
        """Return the load that was encoded."""
        return headroom.Load(
            self.in_flight, self.pending, self.strain_pct / 100
        )


@messages.message("slots.online")
class OnlineWork(msgspec.Struct, frozen=True):
    """Reports a host's online work to a coordinator, by upstream."""

    works: dict[str, Work]


class Want(msgspec.Struct, frozen=True):
    """Slots that a host could use on one upstream.

    Attributes:
      wanted: Slots it could use, including those in use.
      held: Slots in use.
    """

    wanted: int
    held: int


@messages.message("slots.want")
class Wants(msgspec.Struct, frozen=True):
    """Requests slots from a coordinator, by upstream.

    Attributes:
      address: Peer address to which grants are sent.
      wants: Slots the host could use, by upstream.
    """

    address: str
    wants: dict[str, Want]


@messages.message("slots.grant")
class Grants(msgspec.Struct, frozen=True):
    """Grants a host slots, by upstream.

    Attributes:
      slots: Number of slots granted; replaces the previous grant.
      hold_ms: Milliseconds until the grant expires, counted from its arrival.
        An integer takes a third of the bytes of a float, and most messages
        are of this type.
      pace_ms: Minimum milliseconds between two slots that the host takes on
        one upstream.
    """

    slots: dict[str, int]
    hold_ms: int
    pace_ms: int = 0
