"""Arrival traces: when online requests come and how large they are."""

__all__ = ["Arrival", "SHAPES", "Shape", "arrivals"]

import dataclasses
import math
import random

# Largest prompt and answer drawn, in words and tokens.
MAX_PROMPT_WORDS = 2000
MAX_TOKENS = 512


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """One request of a trace.

    Attributes:
      at_s: Seconds from the start of the trace.
      prompt_words: Length of its prompt.
      tokens: Tokens asked for.
      workspace: Number of the workspace that asks.
    """

    at_s: float
    prompt_words: int
    tokens: int
    workspace: int


@dataclasses.dataclass(frozen=True, slots=True)
class Shape:
    """How demand moves.

    Bursts of Poisson arrivals alternate with gaps; lengths of both are
    exponential, up to twice their mean. Over the whole trace the rates
    follow half a sine from ``edge`` of their value to all of it and back.

    Attributes:
      burst_rate: Requests per second in a burst.
      gap_rate: Requests per second between bursts.
      burst_s: Mean length of a burst.
      gap_s: Mean length of a gap.
      edge: Share of the rates at start and end.
      prompt_words: Median prompt.
      tokens: Median answer.
      workspaces: Workspaces that ask, the first the most.
    """

    burst_rate: float
    gap_rate: float
    burst_s: float
    gap_s: float
    edge: float = 1.0
    prompt_words: int = 300
    tokens: int = 60
    workspaces: int = 20


SHAPES = {
    "winter-morning": Shape(180.0, 2.0, 1.5, 4.5, edge=0.3),
    "open-day-weekend": Shape(120.0, 10.0, 4.0, 6.0, prompt_words=150),
    "night": Shape(40.0, 0.5, 0.5, 8.0),
}


def arrivals(
    shape: Shape, duration_s: float, rng: random.Random, scale: float = 1.0
) -> list[Arrival]:
    """Draw a trace; the same seed gives the same trace.

    Args:
      shape: How demand moves.
      duration_s: Length of the trace.
      rng: Source of randomness.
      scale: Factor on all rates.
    """
    drawn: list[Arrival] = []
    at = 0.0
    bursting = False
    phase_ends = phase(shape.gap_s, rng)
    while True:
        rate = shape.burst_rate if bursting else shape.gap_rate
        wait = rng.expovariate(rate * scale)
        if at + wait >= phase_ends:
            # The wait has no memory, so it is drawn anew at the new rate.
            at = phase_ends
            bursting = not bursting
            mean = shape.burst_s if bursting else shape.gap_s
            phase_ends = at + phase(mean, rng)
            if at >= duration_s:
                return drawn
            continue
        at += wait
        if at >= duration_s:
            return drawn
        if rng.random() < level(shape, at / duration_s):
            drawn.append(draw(shape, at, rng))


def phase(mean_s: float, rng: random.Random) -> float:
    """Draw the length of a burst or a gap, in seconds."""
    return min(rng.expovariate(1 / mean_s), 2 * mean_s)


def level(shape: Shape, position: float) -> float:
    """Return the share of the full rate at a position from 0 to 1.

    >>> level(Shape(1.0, 1.0, 1.0, 1.0, edge=0.5), 0.0)
    0.5
    """
    return shape.edge + (1 - shape.edge) * math.sin(math.pi * position)


def draw(shape: Shape, at: float, rng: random.Random) -> Arrival:
    """Draw the size of one request and who asks."""
    words = int(rng.lognormvariate(math.log(shape.prompt_words), 0.5))
    tokens = int(rng.lognormvariate(math.log(shape.tokens), 0.5))
    # The square favours low numbers: few workspaces ask the most.
    workspace = int(rng.random() ** 2 * shape.workspaces)
    return Arrival(
        at,
        max(8, min(words, MAX_PROMPT_WORDS)),
        max(1, min(tokens, MAX_TOKENS)),
        workspace,
    )
