"""Lost answers, outages and giving up: what a writer tells is true."""

__all__ = ["SPEC"]

from typing import Any
from typing import NamedTuple

from camphortray import attempt
from camphortray import calls
from camphortray import errors
from camphortray import fold as folds
from camphortray import records
from spec import model

RECORDS = 2
MAX_LOG = 5
# Small, so that a short log already forgets a writer.
WINDOW = 2


class State(NamedTuple):
    """One writer, a log that loses answers, and a network that is late.

    Attributes:
      log: The stream.
      sequence: Number of the record being appended, 0 before the first.
      seen: How far the writer had read when it made that record.
      late: Records sent whose request may still reach the log.
      maybe: What the writer's attempt knows; see ``Attempt``.
      told: What the caller of each append was told, ``""`` while open.
      settled: Whether the writer has read back a later record, so that
        the first one's fate is final; whether it had counted then.
    """

    log: model.Log = ()
    sequence: int = 0
    seen: int = 0
    late: frozenset[bytes] = frozenset()
    maybe: bool = False
    told: tuple[str, ...] = ("",) * RECORDS
    settled: tuple[bool, bool] = (False, False)


def fold_class(off: frozenset[str]) -> type[calls.CallsFold]:
    """Return the real fold, with safeguards switched off."""

    class Fold(calls.CallsFold):
        window = WINDOW
        prune_every = 1

        def is_copy(self, record: records.Record) -> bool:
            if "copies" in off:
                return False
            if "order" in off:
                writer = record.id.writer.name
                last = self.last.get(writer, (-1, -1, 0))[1]
                return record.id.sequence == last
            return super().is_copy(record)

        def is_late(self, offset: int, record: records.Record) -> bool:
            return "seen" not in off and super().is_late(offset, record)

    return Fold


class Machine(model.FoldMachine):
    """A writer and its log."""

    state = State
    fold_class = staticmethod(fold_class)

    def counted(self, log: model.Log, sequence: int) -> int:
        return sum(
            outcome.valid and outcome.record.id.sequence == sequence
            for outcome in model.verdicts(self.fold, log)
            if outcome.record and outcome.record.id.writer.name == "a"
        )

    def transitions(self, state: State) -> list[tuple[str, State]]:
        steps: list[tuple[str, State]] = []
        room = len(state.log) < MAX_LOG
        for data in state.late if room else ():
            left = state.late - {data}
            steps += [
                ("a late request lands", land(state, data, late=left)),
                ("a late request is lost", state._replace(late=left)),
            ]
        if room:
            end = len(state.log)
            other = model.make("b", end + 1, folds.FENCE, {}, seen=end)
            steps.append(("another host appends", land(state, other)))
        if state.sequence == 0 or state.told[state.sequence - 1]:
            if state.sequence < RECORDS:
                begun = state._replace(
                    sequence=state.sequence + 1,
                    seen=len(state.log),
                    maybe=False,
                )
                steps.append(("begin an append", begun))
        else:
            steps += self.try_append(state, room)
        return steps

    def try_append(self, state: State, room: bool) -> list[tuple[str, State]]:
        data = record(state)
        steps = []
        for answer, error in ANSWERS:
            tried = attempt.Attempt()
            tried.maybe_appended = state.maybe
            if error is not None:
                tried.on_error(error)
            else:
                tried.on_accepted()
            after = state._replace(maybe=tried.maybe_appended)
            if answer == "refused":
                steps.append(("the log refuses", after))
            elif answer == "delayed":
                late = state.late | {data}
                steps.append(("the request hangs", after._replace(late=late)))
            elif room:
                steps.append(("lands, " + answer, land(after, data)))
        if self.counted(state.log, state.sequence) or data in state.log:
            steps.append(("read back", self.tell(state, "counted")))
        tried = attempt.Attempt()
        tried.maybe_appended = state.maybe and "doubt" not in self.off
        refused = isinstance(tried.final_error(""), errors.LogRefused)
        steps.append(
            ("give up", self.tell(state, "refused" if refused else "unknown"))
        )
        return steps

    def tell(self, state: State, word: str) -> State:
        told = list(state.told)
        told[state.sequence - 1] = word
        settled = state.settled
        if word == "counted" and state.sequence == RECORDS:
            settled = (True, bool(self.counted(state.log, 1)))
        return state._replace(told=tuple(told), settled=settled)

    def once(self, d: dict[str, Any]) -> bool:
        return all(self.counted(d["log"], n + 1) <= 1 for n in range(RECORDS))

    def refused(self, d: dict[str, Any]) -> bool:
        return not any(
            word == "refused" and self.counted(d["log"], number)
            for number, word in enumerate(d["told"], 1)
        )

    def settled(self, d: dict[str, Any]) -> bool:
        known, had = d["settled"]
        return not known or had == bool(self.counted(d["log"], 1))

    def initial(self) -> State:
        return State()

    def invariants(self) -> model.Invariants:
        return {
            "a record counts at most once": self.once,
            "refused means never taken": self.refused,
            "settled means final": self.settled,
        }


ANSWERS: tuple[tuple[str, errors.LogError | None], ...] = (
    ("answered", None),
    ("answer lost", errors.LogUnavailable("lost")),
    ("delayed", errors.LogUnavailable("lost")),
    ("refused", errors.LogRefused("rate")),
)


def record(state: State) -> bytes:
    """Return the record being appended."""
    # A fence always counts, so that nothing but the ids guards it.
    return model.make("a", state.sequence, folds.FENCE, {}, seen=state.seen)


def land(state: State, data: bytes, **more: Any) -> State:
    """Return the state after a record reached the log."""
    return state._replace(log=(*state.log, data), **more)


SPEC = model.Spec(
    "appends",
    "one writer, lost answers, late requests, a log that refuses",
    Machine,
    {
        "copies": "a record counts at most once",
        "order": "settled means final",
        "seen": "a record counts at most once",
        "doubt": "refused means never taken",
    },
)
