"""Messages about batch slots between hosts and coordinators."""

__all__ = ["Grants", "OnlineWork", "Want", "Wants"]

import dataclasses

from camphortray import headroom
from camphortray import messages


@messages.message("slots.online")
@dataclasses.dataclass(frozen=True, slots=True)
class OnlineWork:
    """Tells a coordinator of online work, by upstream."""

    loads: dict[str, headroom.Load]


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
      seconds: How long it holds from its arrival.
      pace_s: Least seconds from one slot taken on an upstream to the next,
        by this host.
    """

    slots: dict[str, int]
    seconds: float
    pace_s: float = 0.0
