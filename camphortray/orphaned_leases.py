"""Slots that runs still hold at engines after their holder was lost.

A host that loses power closes no connection: its engines go on with what it
had sent, batch items for seconds. A book that has only just begun knows of
none of that either. Slots counted as free there are given out all the same,
and the requests wait inside the engines, where nothing can be ordered.
Measured on a day whose busiest host lost power: the first event of questions
came after 0.7 to 1.0 s for the second after its leases were dropped.

So a lease that ends without a message counts on as an orphan, until the
engine's own report says that it has no such run, or the run must be over.
"""

__all__ = ["LONGEST_S", "LOOK_S", "OrphanedLeases"]

import dataclasses

# Seconds from one look at the reports of engines with orphans to the next.
# A report is some ten ms old; a question's run takes some hundred.
LOOK_S = 0.25
# Longest time for which an orphan is counted where no report comes, in
# seconds: nearly all batch items are done within it.
LONGEST_S = 8.0


@dataclasses.dataclass(slots=True)
class Held:
    """Orphaned leases at one engine.

    Attributes:
      count: Slots.
      until: When they are over at the latest.
    """

    count: int
    until: float


class OrphanedLeases:
    """Orphaned leases of all engines.

    Attributes:
      held: By engine.
      engines: Engine of each one whose request is known, by its id.
    """

    def __init__(self) -> None:
        self.held: dict[str, Held] = {}
        self.engines: dict[str, str] = {}

    def __bool__(self) -> bool:
        return bool(self.held)

    def count(self, engine: str) -> int:
        """Return the slots that orphans hold at an engine."""
        held = self.held.get(engine)
        return held.count if held is not None else 0

    def add(self, engine: str, name: str, now: float) -> None:
        """Count a lease that has ended without a message."""
        self.engines[name] = engine
        held = self.held.setdefault(engine, Held(0, 0.0))
        held.count += 1
        held.until = now + LONGEST_S

    def adopt(self, engine: str) -> bool:
        """Count one less, whose holder is there; return if there was one."""
        held = self.held.get(engine)
        if held is None:
            return False
        held.count -= 1
        if not held.count:
            self.forget(engine)
        return True

    def ended(self, name: str) -> str | None:
        """Count a lease no more whose end has come late; return its engine."""
        engine = self.engines.pop(name, None)
        return engine if engine is not None and self.adopt(engine) else None

    def forget(self, engine: str) -> None:
        """Count nothing at an engine."""
        self.held.pop(engine, None)
        self.forget_names(engine)

    def forget_names(self, engine: str) -> None:
        """Take no late end for one of an engine's orphans any more."""
        self.engines = {n: e for n, e in self.engines.items() if e != engine}

    def reported(self, engine: str, foreign: int, now: float) -> None:
        """Take how many runs an engine has that no lease accounts for."""
        if foreign <= 0:
            self.forget(engine)
            return
        held = self.held.setdefault(engine, Held(0, now + LONGEST_S))
        if foreign < held.count:
            # Which of them have ended is not known.
            self.forget_names(engine)
        held.count = foreign

    def expire(self, now: float) -> list[str]:
        """Forget what must be over; return at which engines."""
        over = [name for name, held in self.held.items() if now >= held.until]
        for name in over:
            self.forget(name)
        return over
