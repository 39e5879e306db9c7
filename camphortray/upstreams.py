"""What this host knows of each upstream: in flight, leaving, load."""

__all__ = ["Upstreams"]

import collections
from collections.abc import Iterator
import contextlib
from typing import ClassVar

from camphortray import engine
from camphortray import kernel
from camphortray import membership
from camphortray import routing
from camphortray import settings

LEAVING = "upstream-leaving"


@kernel.PARTS.register("entry", "batch")
class Upstreams(kernel.Part):
    """State of all upstreams as this program sees them.

    Attributes:
      running: This program's requests at each upstream, by name.
      leaving: Names of upstreams that take no new work.
    """

    name: ClassVar[str] = "upstreams"
    requires: ClassVar[tuple[str, ...]] = ("outer", "membership")

    def __init__(self, context: kernel.Context) -> None:
        self.context = context
        self.running: collections.Counter[str] = collections.Counter()
        self.leaving: set[str] = set()
        self.members = context.part(membership.Membership)
        self.members.on_fact(LEAVING, self.on_leaving)

    @classmethod
    def from_config(cls, context: kernel.Context) -> "Upstreams":
        return cls(context)

    def on_leaving(self, fact: membership.Fact) -> None:
        """Send an upstream nothing new, or take it back."""
        if fact.value:
            self.leaving.add(fact.key)
        else:
            self.leaving.discard(fact.key)

    def note_leaving(self, name: str) -> None:
        """Tell all hosts that an upstream said it is leaving."""
        if name not in self.leaving:
            self.members.publish(LEAVING, name, True, keep_s=600.0)

    def candidates(
        self, service: settings.Service, without: frozenset[str]
    ) -> list[routing.Candidate]:
        """Return the upstreams of a service that may get new work."""
        return [
            routing.Candidate(upstream, self.running[name])
            for name, upstream in service.upstreams.items()
            if name not in self.leaving and name not in without
        ]

    @contextlib.contextmanager
    def count(self, upstream: engine.Upstream) -> Iterator[None]:
        """Count a request as in flight while it is."""
        self.running[upstream.name] += 1
        try:
            yield
        finally:
            self.running[upstream.name] -= 1
