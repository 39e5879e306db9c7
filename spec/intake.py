"""A job sent to one host and sent again, changed, to the next owner."""

__all__ = ["SPEC"]

from typing import Any
from typing import NamedTuple

from camphortray import fold as folds
from camphortray import jobs
from camphortray import records
from spec import model

JOB = "j"
HOSTS = ("a", "b")
ITEMS = 2
MAX_LOG = 8


class State(NamedTuple):
    """The stream, and what each host has read and written of its taking.

    Attributes:
      log: The stream.
      read: How far each host has read.
      written: Records of its taking that each has appended.
      told: What the sender at each host was told, ``""`` while open.
    """

    log: model.Log
    read: tuple[int, int] = (0, 0)
    written: tuple[int, int] = (0, 0)
    told: tuple[str, str] = ("", "")


def fold_class(off: frozenset[str]) -> type[jobs.JobsFold]:
    """Return the real fold, with safeguards switched off."""

    class Fold(jobs.JobsFold):
        def in_epoch(self, record: records.Record) -> bool:
            return "epoch" in off or super().in_epoch(record)

        def on_accept(self, offset: int, record: records.Record) -> None:
            if "accepted" in off:
                self.jobs.clear()
            super().on_accept(offset, record)

    return Fold


class Machine(model.FoldMachine):
    """Two senders, two hosts, one job id."""

    state = State
    fold_class = staticmethod(fold_class)

    def initial(self) -> State:
        return State((model.make("a", 1, folds.CLAIM, folds.Claim(-1)),))

    def transitions(self, state: State) -> list[tuple[str, State]]:
        steps = []
        for at, name in enumerate(HOSTS):
            if state.read[at] < len(state.log):
                read = set_at(state.read, at, len(state.log))
                steps.append((f"{name} reads", state._replace(read=read)))
            if len(state.log) < MAX_LOG and not state.told[at]:
                steps += self.take(state, at)
            told = self.answer(state, at)
            if told and not state.told[at]:
                after = state._replace(told=set_at(state.told, at, told))
                steps.append((f"{name} says {told}", after))
        return steps

    def take(self, state: State, at: int) -> list[tuple[str, State]]:
        """Append the next record of a taking, or claim the shard first."""
        name, seen = HOSTS[at], state.read[at]
        held = model.folded(self.fold, state.log[:seen]).ownership
        if held.owner != records.Writer(name, 1):
            claim = folds.Claim(held.epoch, gone=True)
            if name == "b" and state.written[1] == 0:
                data = model.make(name, 1, folds.CLAIM, claim, seen=seen)
                if data not in state.log:
                    after = state._replace(log=(*state.log, data))
                    return [(f"{name} claims", after)]
            return []
        done = state.written[at]
        if done > ITEMS or not self.good_so_far(state, at):
            return []
        body: Any = jobs.JobChunk(JOB, 1, done, (name.encode(),))
        kind = jobs.CHUNK
        if done == ITEMS:
            kind = jobs.ACCEPT
            body = jobs.JobAccept(JOB, 1, "w", "k", "s", ITEMS, name)
        data = model.make(name, 2 + done, kind, body, held.epoch, seen)
        after = state._replace(
            log=(*state.log, data),
            written=set_at(state.written, at, done + 1),
        )
        return [(f"{name} writes {kind} {done}", after)]

    def good_so_far(self, state: State, at: int) -> bool:
        """Return whether the last record was read back valid."""
        done = state.written[at]
        if not done:
            return True
        log = state.log[: state.read[at]]
        told = model.read_back(self.fold, log, HOSTS[at], 1 + done)
        return told is not None and told.valid

    def answer(self, state: State, at: int) -> str:
        """Return what a host tells its sender once its accept is read."""
        if state.written[at] <= ITEMS:
            return ""
        log = state.log[: state.read[at]]
        number = 2 + ITEMS
        told = model.read_back(self.fold, log, HOSTS[at], number)
        if told is None:
            return ""
        job = model.folded(self.fold, log).jobs.get(JOB)
        mine = job is not None and job.accept.digest == HOSTS[at]
        return "accepted" if mine else "other job"

    def whole(self, d: dict[str, Any]) -> bool:
        """All items of a job come from the one sender of its digest."""
        job = model.folded(self.fold, d["log"]).jobs.get(JOB)
        if job is None:
            return True
        items = [
            records.decode(d["log"][offset]).body["items"][0].decode()
            for offset, _ in job.chunks
        ]
        return items == [job.accept.digest] * ITEMS

    def stays(self, d: dict[str, Any]) -> bool:
        """A job whose sender was told so is there, with that content."""
        job = model.folded(self.fold, d["log"]).jobs.get(JOB)
        return all(
            job is not None and job.accept.digest == HOSTS[at]
            for at, told in enumerate(d["told"])
            if told == "accepted"
        )

    def invariants(self) -> model.Invariants:
        return {
            "a job is as its sender sent it": self.whole,
            "an accepted job stays": self.stays,
        }


def set_at(values: tuple[Any, ...], at: int, value: Any) -> Any:
    """Return a tuple with one value changed."""
    return (*values[:at], value, *values[at + 1 :])


SPEC = model.Spec(
    "intake",
    "a job sent twice, an owner paused between its chunks, a takeover",
    Machine,
    {
        "epoch": "a job is as its sender sent it",
        "accepted": "an accepted job stays",
    },
)
