"""Slots taken back from batch items whose holder has not said it is done.

The slot goes to a question at once: its holder stops the item within some
milliseconds. A holder that has just lost power, or is cut off, stops nothing,
and its engine runs on; yet until it is missed, in some seconds, its items are
as good as any to give way. In a burst they gave all their slots so, and the
questions waited behind them inside the engine: 19 of 65 were late in the
second after a loss, some by more than a second.

So a holder that does not answer is asked for no more, and what it was asked
for counts as an orphan until its engine says otherwise.
"""

__all__ = ["ANSWER_S", "CONFIRM_S", "Revocation", "Revocations"]

import dataclasses

# Time for a holder to say that it has stopped an item, in seconds. The way
# there and back takes some milliseconds.
CONFIRM_S = 0.05
# Time after which others are asked first: in a burst six slots were taken
# back from a dead holder within the time above.
ANSWER_S = 0.012


@dataclasses.dataclass(frozen=True, slots=True)
class Revocation:
    """A slot that was taken back.

    Attributes:
      engine: Where the item ran.
      holder: Host that ran it.
      asked_at: When.
    """

    engine: str
    holder: str
    asked_at: float


class Revocations:
    """Slots taken back and not yet answered, and holders that are silent.

    Attributes:
      held: By id of the item's want.
      unresponsive: Holders that have not answered and not been heard of since.
    """

    def __init__(self) -> None:
        self.held: dict[str, Revocation] = {}
        self.unresponsive: set[str] = set()

    def add(self, name: str, engine: str, holder: str, now: float) -> None:
        """Take note that a slot is taken back."""
        self.held[name] = Revocation(engine, holder, now)

    def confirmed(self, name: str) -> None:
        """Take note that its holder has stopped the item."""
        revocation = self.held.pop(name, None)
        if revocation is not None:
            self.holder_responded(revocation.holder)

    def holder_responded(self, holder: str) -> None:
        """Take note that a holder is there."""
        self.unresponsive.discard(holder)

    def lapsed(self, now: float) -> dict[str, Revocation]:
        """Return what should have been answered, by id; held no more."""
        late = {
            name: revocation
            for name, revocation in self.held.items()
            if now >= revocation.asked_at + CONFIRM_S
        }
        for name, revocation in late.items():
            del self.held[name]
            self.unresponsive.add(revocation.holder)
        return late

    def next_look(self) -> float | None:
        """Return when the next one lapses."""
        asked = min((r.asked_at for r in self.held.values()), default=None)
        return None if asked is None else asked + CONFIRM_S

    def excluded_holders(self, now: float) -> list[set[str]]:
        """Return holders that are not asked, at first and if need be then.

        At first none that is late with an answer, then only the silent.
        """
        late = {
            revocation.holder
            for revocation in self.held.values()
            if now > revocation.asked_at + ANSWER_S
        }
        if late <= self.unresponsive:
            return [self.unresponsive]
        return [self.unresponsive | late, self.unresponsive]
