"""Keeps a shard owned by the host that should own it."""

__all__ = ["Owner"]

from collections.abc import Callable
import dataclasses

from camphortray import fold as folds
from camphortray import journal


class Owner:
    """This process's part in owning one stream.

    Attributes:
      journal: The stream.
      on_gain: Called with the new epoch when this process owns it.
      on_loss: Called when it no longer does.
    """

    def __init__(self, held: journal.Journal) -> None:
        self.journal = held
        self.on_gain: Callable[[int], None] = ignore_epoch
        self.on_loss: Callable[[], None] = ignore
        self.was_owned = False
        held.listen(self.on_outcome)

    @property
    def epoch(self) -> int:
        """Epoch in force."""
        return self.journal.fold.ownership.epoch

    @property
    def owned(self) -> bool:
        """Whether this process owns the stream, as far as it has read."""
        return self.journal.fold.ownership.owner == self.journal.writer

    def on_outcome(self, outcome: folds.Outcome) -> None:
        """Tell gain and loss as the stream tells them."""
        if self.owned == self.was_owned:
            return
        self.was_owned = self.owned
        if self.owned:
            self.on_gain(self.epoch)
        else:
            self.on_loss()

    async def claim(self) -> None:
        """Claim the stream if nobody owns it.

        Raises:
          LogError: the log cannot be reached.
        """
        await self.journal.caught_up.wait()
        if self.journal.fold.ownership.owner is None:
            claim = folds.Claim(self.epoch)
            await self.journal.append(folds.CLAIM, dataclasses.asdict(claim))


def ignore() -> None:
    """Do nothing."""


def ignore_epoch(epoch: int) -> None:
    """Do nothing."""
