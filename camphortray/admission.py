"""Lets online requests in, in a fair order, while there is room."""

__all__ = ["Admission", "Ticket"]

import collections
import dataclasses
from typing import ClassVar

from camphortray import errors
from camphortray import kernel
from camphortray import settings


@dataclasses.dataclass(frozen=True, slots=True)
class Ticket:
    """Leave to send one request on; given back when it ends."""

    service: str
    workspace: str


@kernel.PARTS.register("entry")
class Admission(kernel.Part):
    """Bounds the requests of each service on this host.

    Attributes:
      inside: Requests let in, by service.
    """

    name: ClassVar[str] = "admission"
    requires: ClassVar[tuple[str, ...]] = ("settings", "membership")

    def __init__(self, context: kernel.Context) -> None:
        self.context = context
        self.inside: collections.Counter[str] = collections.Counter()

    @classmethod
    def from_config(cls, context: kernel.Context) -> "Admission":
        return cls(context)

    async def enter(
        self, service: settings.Service, workspace: str, deadline_at: float
    ) -> Ticket:
        """Wait for leave to send a request on.

        Args:
          service: Which service.
          workspace: Who asks.
          deadline_at: When its answer is due, on the monotonic clock.

        Raises:
          Refused: there is no room, or it could not be done in time.
        """
        if self.inside[service.name] >= service.get("limit.queue"):
            raise errors.Refused(
                429, "busy", "too many requests", retry_after=1
            )
        self.inside[service.name] += 1
        return Ticket(service.name, workspace)

    def leave(self, ticket: Ticket) -> None:
        """Give a ticket back."""
        self.inside[ticket.service] -= 1
