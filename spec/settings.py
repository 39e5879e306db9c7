"""Operators who race over one node of the settings tree."""

__all__ = ["SPEC"]

from typing import Any
from typing import NamedTuple

from camphortray import records
from camphortray import settings
from spec import model

NODE = "region"
OPERATORS = ("o", "p")
MAX_LOG = 4
MAX_CHANGES = 3


class State(NamedTuple):
    """The stream, what each operator has read, and changes under way."""

    log: model.Log = ()
    read: tuple[int, ...] = (0, 0)
    sent: tuple[bytes, ...] = (b"", b"")
    made: int = 0


def fold_class(off: frozenset[str]) -> type[settings.SettingsFold]:
    """Return the real fold, with safeguards switched off."""

    class Fold(settings.SettingsFold):
        def on_change(self, offset: int, record: records.Record) -> None:
            if "base" in off:
                change = records.typed(record.body, settings.Change)
                node = self.nodes.get(change.node, settings.Node())
                record.body["base"] = node.revision
            super().on_change(offset, record)

    return Fold


class Machine(model.FoldMachine):
    """Two operators."""

    state = State
    fold_class = staticmethod(fold_class)

    def transitions(self, state: State) -> list[tuple[str, State]]:
        steps: list[tuple[str, State]] = []
        if state.made == MAX_CHANGES:
            return steps
        for at, name in enumerate(OPERATORS):
            if state.read[at] < len(state.log):
                read = set_at(state.read, at, len(state.log))
                steps.append((f"{name} reads", state._replace(read=read)))
            if not state.sent[at]:
                after = state._replace(
                    sent=set_at(state.sent, at, self.change(state, at)),
                    made=state.made + 1,
                )
                steps.append((f"{name} makes a change", after))
            elif len(state.log) < MAX_LOG:
                # Sent once more after a lost answer, too.
                after = state._replace(log=(*state.log, state.sent[at]))
                steps.append((f"{name}'s change lands", after))
                done = set_at(state.sent, at, b"")
                steps.append((f"{name} goes on", state._replace(sent=done)))
        return steps

    def change(self, state: State, at: int) -> bytes:
        seen = state.read[at]
        nodes = model.folded(self.fold, state.log[:seen]).nodes
        base = nodes[NODE].revision if NODE in nodes else 0
        body = settings.Change(NODE, base, {"priority": state.made})
        number = state.made + 1
        return model.make(
            OPERATORS[at], number, settings.CHANGE, body, seen=seen
        )

    def never_reverts(self, d: dict[str, Any]) -> bool:
        """Each change in force was made knowing the one before it."""
        revision = 0
        for data, told in zip(
            d["log"], model.verdicts(self.fold, d["log"]), strict=True
        ):
            if told.valid:
                if records.decode(data).body["base"] != revision:
                    return False
                revision = told.offset + 1
        return True

    def initial(self) -> State:
        return State()

    def invariants(self) -> model.Invariants:
        name = "an accepted configuration never reverts"
        return {name: self.never_reverts}


def set_at(values: tuple[Any, ...], at: int, value: Any) -> tuple[Any, ...]:
    """Return a tuple with one value changed."""
    return (*values[:at], value, *values[at + 1 :])


SPEC = model.Spec(
    "settings",
    "two operators, stale views, lost answers, changes that land twice",
    Machine,
    {"base": "an accepted configuration never reverts"},
)
