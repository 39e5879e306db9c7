"""Fold of ``orders.N``: what was ordered of each upstream, and by whom.

The epoch of the stream is the fencing token of every order. Services,
not upstreams, are spread over the shards, so that one owner sees all
upstreams among which a new version is rolled out.
"""

__all__ = ["OrderAnswered", "OrderIntent", "OrdersFold", "Placed"]

import dataclasses
from typing import Any

import msgspec

from camphortray import engine
from camphortray import fold as folds
from camphortray import records

INTENT = "order.intent"
ANSWERED = "order.answered"


@dataclasses.dataclass(frozen=True, slots=True)
class OrderIntent:
    """Says that the owner is about to give an order.

    Attributes:
      service: Path of the service.
      upstream: Name of the upstream.
      order: The order, without its fencing token.
      at: When, in seconds since 1970; for people.
    """

    service: str
    upstream: str
    order: engine.Order
    at: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class OrderAnswered:
    """Says what became of the last order to an upstream.

    Attributes:
      service: Path of the service.
      upstream: Name of the upstream.
      accepted: Whether it was taken.
      reason: Why not.
    """

    service: str
    upstream: str
    accepted: bool
    reason: str = ""


@dataclasses.dataclass(slots=True)
class Placed:
    """The last order to an upstream.

    Attributes:
      intent: The order.
      epoch: Epoch in which it was given.
      answer: What became of it, or None while that is not known.
    """

    intent: OrderIntent
    epoch: int
    answer: OrderAnswered | None = None


class OrdersFold(folds.Fold):
    """Last orders, by path of the service and name of the upstream."""

    owned = frozenset({INTENT, ANSWERED})

    def __init__(self) -> None:
        super().__init__()
        self.placed: dict[tuple[str, str], Placed] = {}
        self.handlers.update(
            {INTENT: self.on_intent, ANSWERED: self.on_answered}
        )

    def on_intent(self, offset: int, record: records.Record) -> None:
        """Note an order about to be given."""
        intent = records.typed(record.body, OrderIntent)
        key = intent.service, intent.upstream
        self.placed[key] = Placed(intent, record.epoch)

    def on_answered(self, offset: int, record: records.Record) -> None:
        """Note what became of an order."""
        answer = records.typed(record.body, OrderAnswered)
        placed = self.placed.get((answer.service, answer.upstream))
        if placed is None or placed.epoch != record.epoch:
            raise folds.Refuse("no such order in this epoch")
        placed.answer = answer

    def dump(self) -> dict[str, Any]:
        return {"placed": [msgspec.to_builtins(p) for p in self.all()]}

    def load(self, state: dict[str, Any]) -> None:
        held = msgspec.convert(state["placed"], list[Placed])
        self.placed = {(p.intent.service, p.intent.upstream): p for p in held}

    def all(self) -> list[Placed]:
        """Return all last orders, sorted by service and upstream."""
        return [self.placed[key] for key in sorted(self.placed)]
