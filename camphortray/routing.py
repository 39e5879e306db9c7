"""Chooses the upstream that should answer first."""

__all__ = ["Candidate", "Router"]

from collections.abc import Sequence
import dataclasses
import random

from camphortray import engine


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """An upstream that could take a request.

    Attributes:
      upstream: The upstream.
      in_flight: Requests this host has there now.
    """

    upstream: engine.Upstream
    in_flight: int


class Router:
    """Least in flight of two candidates taken at random."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng

    def choose(self, candidates: Sequence[Candidate]) -> engine.Upstream:
        """Return the upstream to try; ``candidates`` is not empty."""
        drawn = self.rng.sample(candidates, min(2, len(candidates)))
        best = min(drawn, key=lambda c: c.in_flight / c.upstream.slots)
        return best.upstream
