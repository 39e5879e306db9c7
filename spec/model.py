"""What the specifications share: logs as tuples and folds of them."""

__all__ = [
    "Invariants",
    "Machine",
    "Spec",
    "folded",
    "make",
    "read_back",
    "verdicts",
]

import abc
from collections.abc import Callable
import dataclasses
import functools
import time
from typing import Any
from typing import ClassVar

import minicheck
import msgspec

from camphortray import fold as folds
from camphortray import records

# A stream: the bytes of its records by offset.
Log = tuple[bytes, ...]
# Name under which a goal that has got out of reach is told.
LIVE = "the goal stays in reach"
MAX_STATES = 400_000


Invariants = dict[str, Callable[[dict[str, Any]], bool]]


class Machine(abc.ABC):
    """A protocol whose steps call the real code.

    Attributes:
      state: Class of its states, a named tuple.
      off: Safeguards switched off.
    """

    state: ClassVar[Any]

    def __init__(self, off: frozenset[str]) -> None:
        self.off = off

    @abc.abstractmethod
    def initial(self) -> Any:
        """Return the state at the beginning."""

    @abc.abstractmethod
    def transitions(self, state: Any) -> list[tuple[str, Any]]:
        """Return all that may happen next, each with its name."""

    @abc.abstractmethod
    def invariants(self) -> Invariants:
        """Return what must hold in each state, by name."""

    def goal(self, d: dict[str, Any]) -> bool:
        """Return whether a state need not get any further."""
        return True

    def protocol(self, name: str) -> minicheck.Protocol:
        """Return it as the checker takes it."""
        return minicheck.Protocol(
            name=name,
            candidate=not self.off,
            fields=self.state._fields,
            initial=self.initial(),
            # The check of the goal asks for each state's steps again.
            transitions=functools.cache(self.transitions),
            invariants=self.invariants(),
            goal=None if type(self).goal is Machine.goal else self.goal,
        )


class FoldMachine(Machine):
    """A protocol whose steps call one of the real folds.

    Attributes:
      fold: The fold, with safeguards switched off.
    """

    def __init__(self, off: frozenset[str]) -> None:
        super().__init__(off)
        self.fold = self.fold_class(off)

    @staticmethod
    @abc.abstractmethod
    def fold_class(off: frozenset[str]) -> type[Any]:
        """Return the real fold, with safeguards switched off."""


@dataclasses.dataclass(frozen=True)
class Spec:
    """One protocol and its safeguards.

    Attributes:
      name: e.g. ``"calls"``.
      doc: What it explores, one sentence.
      machine: Makes the protocol with some safeguards switched off.
      safeguards: By name, the invariant that falls without it.
    """

    name: str
    doc: str
    machine: Callable[[frozenset[str]], Machine]
    safeguards: dict[str, str]

    def check(self, off: str = "") -> "Result":
        """Explore all states, with one safeguard off if named.

        With one off, the search ends at the first counterexample, which
        is a shortest one.
        """
        began = time.perf_counter()
        protocol = self.machine(frozenset({off} - {""})).protocol(self.name)
        if off:
            stop_at(protocol, self.safeguards[off])
        safety = minicheck.check_safety(protocol, max_states=MAX_STATES)
        traces = {
            name: [step["label"] for step in found["counterexample"]][1:]
            for name, found in safety["properties"].items()
            if found["holds"] is False
        }
        if protocol.goal is not None and not traces:
            liveness = minicheck.check_liveness(protocol)
            if liveness["holds"] is not True:
                steps = liveness.get("counterexample", ())
                traces[LIVE] = [step["label"] for step in steps][1:]
        return Result(
            safety["reachable_states"],
            safety["exhaustive"],
            traces,
            time.perf_counter() - began,
        )


def stop_at(protocol: minicheck.Protocol, name: str) -> None:
    """Let a search end once an invariant has fallen."""
    if name == LIVE:
        return
    holds, step = protocol.invariants[name], protocol.transitions
    fallen = []

    def watched(state: dict[str, Any]) -> bool:
        good = bool(holds(state))
        if not good:
            fallen.append(state)
        return good

    def transitions(state: Any) -> Any:
        return [] if fallen else step(state)

    protocol.invariants[name] = watched
    protocol.transitions = transitions


@dataclasses.dataclass(frozen=True)
class Result:
    """Outcome of a check.

    Attributes:
      states: Number of states explored.
      whole: Whether those were all.
      traces: Shortest counterexample by invariant that fell.
      seconds: Time taken.
    """

    states: int
    whole: bool
    traces: dict[str, list[str]]
    seconds: float


def make(
    name: str,
    sequence: int,
    kind: str,
    body: Any,
    epoch: int = records.NO_EPOCH,
    seen: int = 0,
) -> bytes:
    """Return the bytes of a record; ``body`` is a data class."""
    plain = msgspec.to_builtins(body, builtin_types=(bytes,))
    record_id = records.RecordId(records.Writer(name, 1), sequence)
    return records.encode(records.Record(record_id, kind, epoch, plain, seen))


@functools.lru_cache(maxsize=500_000)
def replay(
    cls: type[folds.Fold], log: Log
) -> tuple[folds.Fold, tuple[folds.Outcome, ...]]:
    """Return the real fold of a log and what it made of each record."""
    if not log:
        return cls(), ()
    before, outcomes = replay(cls, log[:-1])
    fold = cls()
    fold.restore(before.snapshot())
    outcome = fold.apply(len(log) - 1, log[-1])
    return fold, (*outcomes, outcome)


def folded(cls: type[folds.Fold], log: Log) -> Any:
    """Return the fold of a log; it must not be changed."""
    return replay(cls, log)[0]


def verdicts(cls: type[folds.Fold], log: Log) -> list[folds.Outcome]:
    """Return what the fold made of each record."""
    return list(replay(cls, log)[1])


def read_back(
    cls: type[folds.Fold], log: Log, name: str, sequence: int
) -> folds.Outcome | None:
    """Return what the fold made of a writer's record, if it is there."""
    wanted = records.RecordId(records.Writer(name, 1), sequence)
    for outcome in verdicts(cls, log):
        if outcome.record is not None and outcome.record.id == wanted:
            return outcome
    return None
