"""Snapshots by hosts that may be paused, and a log that forgets."""

__all__ = ["SPEC"]

from typing import Any
from typing import NamedTuple

from camphortray import calls
from camphortray import fold as folds
from camphortray import snapshot
from spec import model

CLAIMS = 3
MAX_LOG = 5
# So small that each snapshot takes two records.
RECORD_LIMIT = snapshot.OVERHEAD_BYTES + 100


class State(NamedTuple):
    """The whole stream, and what the log still keeps of it.

    Attributes:
      log: All records ever appended.
      first: Offset of the first record kept.
      read: How far the host that writes snapshots has read.
      parts: What it still has to append of the snapshot it made.
      claims: Claims appended so far.
    """

    log: model.Log = ()
    first: int = 0
    read: int = 0
    parts: tuple[bytes, ...] = ()
    claims: int = 0


class Machine(model.Machine):
    """A log that forgets."""

    state = State
    fold = calls.CallsFold

    def transitions(self, state: State) -> list[tuple[str, State]]:
        steps = []
        end = len(state.log)
        if state.claims < CLAIMS and end < MAX_LOG:
            held = model.folded(self.fold, state.log).ownership
            body = folds.Claim(held.epoch, gone=True)
            data = model.make(f"h{state.claims}", 1, folds.CLAIM, body)
            after = state._replace(
                log=(*state.log, data), claims=state.claims + 1
            )
            steps.append(("another host claims", after))
        if state.read < end:
            steps.append(("the host reads", state._replace(read=end)))
        if state.read and not state.parts:
            parts = encoded(model.folded(self.fold, state.log[: state.read]))
            made = state._replace(parts=parts)
            steps.append(("the host makes a snapshot", made))
        if state.parts and end < MAX_LOG:
            after = state._replace(
                log=(*state.log, state.parts[0]), parts=state.parts[1:]
            )
            steps.append(("a part of it lands", after))
        if state.first < end:
            cut = state._replace(first=state.first + 1)
            steps.append(("the log forgets a record", cut))
        return steps

    def true_or_none(self, d: dict[str, Any]) -> bool:
        log, first = d["log"], d["first"]
        # The rule sits in the collector, which is told where the log
        # starts; told 0, it takes every snapshot for usable.
        collector = snapshot.Collector(0 if "covers" in self.off else first)
        for offset in range(first, len(log)):
            collector.add(offset, 0.0, log[offset])
        reader = self.fold()
        if collector.best is not None:
            reader.restore(collector.best)
        elif first > 0:
            return True
        for offset in range(max(first, reader.next), len(log)):
            reader.apply(offset, log[offset])
        return bool(
            reader.snapshot() == model.folded(self.fold, log).snapshot()
        )

    def initial(self) -> State:
        return State()

    def invariants(self) -> model.Invariants:
        return {"a reader finds the true state or stops": self.true_or_none}


def encoded(fold: Any) -> tuple[bytes, ...]:
    """Return the records of a snapshot."""
    parts = snapshot.split(fold.snapshot(), RECORD_LIMIT)
    return tuple(
        model.make("s", 1 + part.covers * 9 + part.number, "snapshot", part)
        for part in parts
    )


SPEC = model.Spec(
    "retention",
    "claims, a paused host's snapshot in parts, and any cut of the log",
    Machine,
    {"covers": "a reader finds the true state or stops"},
)
