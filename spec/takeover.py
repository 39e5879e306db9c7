"""Challenge and claim between an owner that may be paused and another."""

__all__ = ["SPEC"]

from typing import Any
from typing import NamedTuple

from camphortray import calls
from camphortray import fold as folds
from camphortray import records
from camphortray import takeover
from spec import model

MAX_LOG = 5
HOSTS = ("a", "b")
# No wait is ever long enough, so the model has none.
TIMING = takeover.Timing(0.0, 0.0, 0.0, 0.0)


class State(NamedTuple):
    """The stream, and how far each host has read it.

    A host that is paused takes no step; what it does when it wakes rests
    on what it had read.
    """

    log: model.Log
    read: tuple[int, int] = (0, 0)
    sequence: tuple[int, int] = (1, 0)


def fold_class(off: frozenset[str]) -> type[calls.CallsFold]:
    """Return the real fold, with safeguards switched off."""

    class Fold(calls.CallsFold):
        def in_epoch(self, record: records.Record) -> bool:
            return "epoch" in off or super().in_epoch(record)

        def may_end(self, claim: folds.Claim) -> bool:
            return "answer" in off or super().may_end(claim)

        def on_claim(self, offset: int, record: records.Record) -> None:
            if "first" in off:
                self.ownership = folds.Ownership(offset, record.id.writer)
            else:
                super().on_claim(offset, record)

    return Fold


class Machine(model.FoldMachine):
    """Two hosts and one stream."""

    state = State
    fold_class = staticmethod(fold_class)

    def transitions(self, state: State) -> list[tuple[str, State]]:
        steps = []
        for at, name in enumerate(HOSTS):
            if state.read[at] < len(state.log):
                read = replaced(state.read, at, len(state.log))
                steps.append((f"{name} reads", state._replace(read=read)))
            if len(state.log) < MAX_LOG:
                for kind, body in self.moves(state, at):
                    after = self.append(state, at, kind, body)
                    steps.append((f"{name} appends {kind}", after))
        return steps

    def moves(self, state: State, at: int) -> list[tuple[str, Any]]:
        """Return what the real policy may do, however the other looks."""
        held = model.folded(self.fold, state.log[: state.read[at]]).ownership
        me = records.Writer(HOSTS[at], 1)
        found: dict[str, Any] = {}
        for liveness in (takeover.Liveness.LOST, takeover.Liveness.GONE):
            for draining in (False, True):
                policy = takeover.Policy(me, TIMING)
                seen = takeover.StreamView(held, liveness, lambda: 0, draining)
                step = policy.step(seen, 0.0)
                if step.kind:
                    found[f"{step.kind} {step.body}"] = step
        work = [(calls.FORGET, calls.CallForget(()))]
        return [(s.kind, s.body) for s in found.values()] + (
            work if held.owner == me else []
        )

    def append(self, state: State, at: int, kind: str, body: Any) -> State:
        seen = state.read[at]
        epoch = model.folded(self.fold, state.log[:seen]).ownership.epoch
        number = state.sequence[at] + 1
        data = model.make(HOSTS[at], number, kind, body, epoch, seen)
        return state._replace(
            log=(*state.log, data),
            sequence=replaced(state.sequence, at, number),
        )

    def initial(self) -> State:
        return State((model.make("a", 1, folds.CLAIM, folds.Claim(-1)),))

    def invariants(self) -> model.Invariants:
        def told(d: dict[str, Any]) -> list[folds.Outcome]:
            return model.verdicts(self.fold, d["log"])

        return {
            "an epoch that ended writes nothing": lambda d: ended(told(d)),
            "an owner that answered stays": lambda d: answered(told(d)),
            "one claim ends an epoch": lambda d: first(told(d)),
        }


def ended(outcomes: list[folds.Outcome]) -> bool:
    """Return whether only the owner of the time has written."""
    owner: tuple[records.Writer | None, int] = (None, -1)
    for told in outcomes:
        if not told.valid or told.record is None:
            continue
        if told.record.kind == folds.CLAIM:
            owner = told.record.id.writer, told.offset
        elif told.record.kind in (calls.FORGET, folds.RELEASE):
            if owner != (told.record.id.writer, told.record.epoch):
                return False
            if told.record.kind == folds.RELEASE:
                owner = None, -1
    return True


def answered(outcomes: list[folds.Outcome]) -> bool:
    """Return whether no claim came after an answer to its challenge."""
    for told in outcomes:
        if told.record is None or told.record.kind != folds.CLAIM:
            continue
        claim = records.typed(told.record.body, folds.Claim)
        if not told.valid or claim.gone or claim.after < 0:
            continue
        owner = outcomes[claim.after].record
        assert owner is not None
        after = [
            one.record.kind
            for one in outcomes[max(claim.challenge, 0) : told.offset]
            if one.record is not None
            and one.record.id.writer == owner.id.writer
            and one.record.epoch == claim.after
        ]
        if after and folds.RELEASE not in after:
            return False
    return True


def first(outcomes: list[folds.Outcome]) -> bool:
    """Return whether each epoch was ended by one claim only."""
    ends = [
        told.record.body["after"]
        for told in outcomes
        if told.valid and told.record and told.record.kind == folds.CLAIM
    ]
    return len(ends) == len(set(ends))


def replaced(values: tuple[int, int], at: int, value: int) -> tuple[int, int]:
    """Return a pair with one value changed."""
    return (value, values[1]) if at == 0 else (values[0], value)


SPEC = model.Spec(
    "takeover",
    "two hosts challenge, claim, answer, release, pause and wake",
    Machine,
    {
        "epoch": "an epoch that ended writes nothing",
        "answer": "an owner that answered stays",
        "first": "one claim ends an epoch",
    },
)
