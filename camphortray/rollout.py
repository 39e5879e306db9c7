"""Decides which orders bring upstreams to what the settings want.

A new version is loaded beside the old one, upstream by upstream, and the
old one is unloaded only where the new one serves. At any time at least a
set share of the upstreams is not loading.
"""

__all__ = ["Limits", "Step", "Wanted", "next_steps"]

from collections.abc import Mapping
import dataclasses
import math

from camphortray import engine

Pair = tuple[str, str]


@dataclasses.dataclass(frozen=True)
class Wanted:
    """What one upstream should have.

    Attributes:
      models: Version by model.
      adapters: Pairs of model and adapter.
      role: Its role.
    """

    models: Mapping[str, str]
    adapters: frozenset[Pair] = frozenset()
    role: str = "mixed"


@dataclasses.dataclass(frozen=True)
class Limits:
    """Bounds of a rollout.

    Attributes:
      floor: Share of the upstreams that must not be loading, 0 to 1.
      loads: Loads that may share the weight store at once.
    """

    floor: float = 0.75
    loads: int = 2


@dataclasses.dataclass(frozen=True)
class Step:
    """One order to one upstream; its fencing token comes later."""

    upstream: str
    order: engine.Order


def next_steps(
    wanted: Mapping[str, Wanted],
    states: Mapping[str, engine.EngineState],
    limits: Limits,
    loading: frozenset[str] = frozenset(),
) -> list[Step]:
    """Return the orders to give now, at most one to each upstream.

    Args:
      wanted: By name of upstream.
      states: As read just now; an upstream that did not answer is
        missing, gets no order, and counts as not serving.
      limits: Bounds.
      loading: Upstreams with a load ordered that their state may not
        show yet.

    Returns:
      Orders in the order to give them. An upstream that serves nothing
      wanted comes first, so that a restarted one is filled before a new
      version is rolled on.
    """
    steps: list[Step] = []
    busy = loading | {name for name, s in states.items() if s.loading}
    spare = spare_loads(
        len(wanted), len(wanted.keys() - states.keys()), limits
    )
    started = len(busy & wanted.keys())
    for name in sorted(
        states.keys() & wanted.keys(),
        key=lambda n: (serves(wanted[n], states[n]), n),
    ):
        if name in busy:
            continue
        order = next_order(wanted[name], states[name])
        if order is None:
            continue
        if order.action == "load":
            empty = not serves(wanted[name], states[name])
            if started >= limits.loads or (started >= spare and not empty):
                continue
            started += 1
        steps.append(Step(name, order))
    return steps


def spare_loads(upstreams: int, missing: int, limits: Limits) -> int:
    """Return how many upstreams may be loading at once.

    At least one, or a service with one upstream could never be changed:
    loading beside the old version costs speed but no capacity.

    >>> spare_loads(8, 0, Limits(floor=0.75))
    2
    >>> spare_loads(8, 2, Limits(floor=0.75))
    1
    """
    return max(1, math.floor(upstreams * (1 - limits.floor)) - missing)


def serves(wanted: Wanted, state: engine.EngineState) -> bool:
    """Return whether an upstream serves a wanted model in any version."""
    return any(model in wanted.models for model, _ in state.models)


def next_order(
    wanted: Wanted, state: engine.EngineState
) -> engine.Order | None:
    """Return the order that one upstream needs next, or None.

    Loads come before unloads, so that a model never has no version. If
    nothing is wanted nothing is ordered: settings that have lost their
    models must not empty the engines.
    """
    if not wanted.models:
        return None
    have = set(state.models)
    for model, version in sorted(wanted.models.items()):
        if (model, version) not in have:
            return engine.Order("load", model, version)
    for model, adapter in sorted(wanted.adapters - set(state.adapters)):
        version = wanted.models[model]
        return engine.Order("load", model, version, adapter)
    for model, adapter in sorted(set(state.adapters) - wanted.adapters):
        return engine.Order("unload", model, adapter=adapter)
    for model, version in sorted(have):
        if wanted.models.get(model) != version:
            return engine.Order("unload", model, version)
    if state.role != wanted.role:
        return engine.Order("role", role=wanted.role)
    return None
