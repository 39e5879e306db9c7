"""A job's non-idempotent item through takeover, cancel and lost hosts."""

__all__ = ["ENDING_SPEC", "SPEC"]

from typing import Any
from typing import NamedTuple

from camphortray import fold as folds
from camphortray import jobs
from camphortray import records
from spec import model

JOB = "j"
HOSTS = ("a", "b")
CLAIMS = 2


class Host(NamedTuple):
    """One host.

    Attributes:
      read: How far it has read the stream.
      sequence: Number of its last record.
      start: Number of its start record, 0 if it has made none.
      running: Whether it has sent the item to an engine and awaits the
        answer.
      lost: Whether it is gone for good.
    """

    read: int = 0
    sequence: int = 0
    start: int = 0
    running: bool = False
    lost: bool = False


class State(NamedTuple):
    """The stream, the hosts, and what the world has seen.

    Attributes:
      log: The stream.
      hosts: The hosts.
      runs: Times that an engine ran the item.
      shown: Offset and body of the result as a caller read it first, or
        None.
      cancelled: Whether an operator was told that the job is cancelled,
        and the offset of its result at that time.
    """

    log: model.Log
    hosts: tuple[Host, ...] = (Host(sequence=9), Host())
    runs: int = 0
    shown: tuple[int, bytes] | None = None
    cancelled: tuple[int, ...] = ()


def fold_class(off: frozenset[str]) -> type[jobs.JobsFold]:
    """Return the real fold, with safeguards switched off."""

    class Fold(jobs.JobsFold):
        def in_epoch(self, record: records.Record) -> bool:
            return "start" in off or super().in_epoch(record)

        def on_start(self, offset: int, record: records.Record) -> None:
            if "start" in off:
                for job in self.jobs.values():
                    job.started.clear()
            super().on_start(offset, record)

        def on_results(self, offset: int, record: records.Record) -> None:
            for job in self.jobs.values():
                if "first" in off and job.ended:
                    job.results[0] = jobs.NO_RESULT
                    job.done = job.failed = job.unknown = 0
                if "cancel" in off:
                    job.cancelled = False
            super().on_results(offset, record)

    return Fold


class Machine(model.FoldMachine):
    """Two hosts and one item.

    Attributes:
      cancels: Whether an operator may cancel.
      max_log: Longest stream explored.
    """

    state = State
    fold_class = staticmethod(fold_class)
    cancels = True
    max_log = 7

    def initial(self) -> State:
        accept = jobs.JobAccept(
            JOB, 1, "w", "k", "s", 1, "d", idempotent=False
        )
        chunk = jobs.JobChunk(JOB, 1, 0, (b"{}",))
        return State(
            (
                model.make("a", 1, folds.CLAIM, folds.Claim(-1)),
                model.make("a", 2, jobs.CHUNK, chunk, 0),
                model.make("a", 3, jobs.ACCEPT, accept, 0),
            )
        )

    def transitions(self, state: State) -> list[tuple[str, State]]:
        steps = []
        for at, host in enumerate(state.hosts):
            if host.lost:
                continue
            found = [("is lost", put(state, at, lost=True))] if not at else []
            if host.read < len(state.log):
                found.append(("reads", put(state, at, read=len(state.log))))
            if len(state.log) < self.max_log:
                found += self.owner_steps(state, at)
            found += self.engine_steps(state, at)
            steps += [(f"{HOSTS[at]} {name}", after) for name, after in found]
        if (
            self.cancels
            and len(state.log) < self.max_log
            and not state.cancelled
        ):
            body = jobs.JobCancel(JOB)
            data = model.make("op", 1, jobs.CANCEL, body, seen=len(state.log))
            if data not in state.log:
                after = state._replace(log=(*state.log, data))
                steps.append(("an operator cancels", after))
        return steps + self.look(state)

    def look(self, state: State) -> list[tuple[str, State]]:
        """Let a caller read status and result."""
        job = self.job(state.log)
        shown = self.result(state.log) if job.ended else None
        steps = []
        if shown is not None and state.shown is None:
            after = state._replace(shown=shown)
            steps.append(("a caller reads the result", after))
        if job.cancelled and not state.cancelled:
            after = state._replace(cancelled=(job.ended,))
            steps.append(("the operator is told", after))
        return steps

    def owner_steps(self, state: State, at: int) -> list[tuple[str, State]]:
        """Return what a host does that may or may not own the shard."""
        host = state.hosts[at]
        fold = model.folded(self.fold, state.log[: host.read])
        held = fold.ownership
        me = records.Writer(HOSTS[at], 1)
        if held.owner != me:
            claims = sum(b"claim" in data for data in state.log)
            if claims > CLAIMS and not state.hosts[0].lost:
                return []
            claim = folds.Claim(held.epoch, gone=True)
            return [("claims", self.append(state, at, folds.CLAIM, claim))]
        job = fold.jobs.get(JOB)
        if job is None or job.status is not jobs.JobStatus.RUNNING:
            return []
        if 0 not in job.started:
            body = jobs.JobStart(JOB, (0,))
            after = self.append(state, at, jobs.START, body)
            begun = after.hosts[at].sequence
            steps = [("writes its start", put(after, at, start=begun))]
            if "read back" in self.off:
                ran = put(after, at, running=True)
                steps.append(
                    ("runs it at once", ran._replace(runs=state.runs + 1))
                )
            return steps
        if job.started[0] != held.epoch and "unknown" not in self.off:
            result = self.finish(state, at, "unknown")
            return [("writes unknown", result)]
        return []

    def engine_steps(self, state: State, at: int) -> list[tuple[str, State]]:
        """Return what a host does with the engine."""
        host = state.hosts[at]
        steps = []
        if host.start:
            log = state.log[: host.read]
            told = model.read_back(self.fold, log, HOSTS[at], host.start)
            if told is not None:
                after = put(state, at, start=0)
                if told.valid:
                    after = put(after, at, running=True)
                    after = after._replace(runs=state.runs + 1)
                steps.append(("reads its start back", after))
        if host.running and len(state.log) < self.max_log:
            after = put(self.finish(state, at, "done"), at, running=False)
            steps.append(("writes the result", after))
        return steps

    def finish(self, state: State, at: int, status: Any) -> State:
        """Append the item's result."""
        result = jobs.ItemResult(JOB, 0, status, HOSTS[at].encode())
        return self.append(state, at, jobs.RESULTS, jobs.JobResults((result,)))

    def append(self, state: State, at: int, kind: str, body: Any) -> State:
        """Append a record in the epoch that the host believes in."""
        host = state.hosts[at]
        held = model.folded(self.fold, state.log[: host.read]).ownership
        number = host.sequence + 1
        data = model.make(HOSTS[at], number, kind, body, held.epoch, host.read)
        after = state._replace(log=(*state.log, data))
        return put(after, at, sequence=number)

    def job(self, log: model.Log) -> jobs.Job:
        """Return the job."""
        job: jobs.Job = model.folded(self.fold, log).jobs[JOB]
        return job

    def result(self, log: model.Log) -> tuple[int, bytes]:
        """Return where the result stands and its body."""
        job = self.job(log)
        offset = job.records[job.results[0] - 1]
        body = records.typed(records.decode(log[offset]).body, jobs.JobResults)
        return offset, body.results[0].body

    def stays(self, d: dict[str, Any]) -> bool:
        """A result that was read once is read ever after."""
        if d["shown"] is None:
            return True
        job = self.job(d["log"])
        return bool(job.ended == 1 and self.result(d["log"]) == d["shown"])

    def stops(self, d: dict[str, Any]) -> bool:
        """Nothing is added to a job whose cancel was told."""
        return all(
            ended == self.job(d["log"]).ended for ended in d["cancelled"]
        )

    def invariants(self) -> model.Invariants:
        return {
            "a non-idempotent item runs at most once": lambda d: d["runs"] < 2,
            "a result stays readable": self.stays,
            "a job an operator cancels stops": self.stops,
        }


class Ending(Machine):
    """The same without a cancel, which would end the job anyway.

    Hosts write only once they have read all, so that the stream ends by
    itself and not because it is full.
    """

    cancels = False
    max_log = 12

    def owner_steps(self, state: State, at: int) -> list[tuple[str, State]]:
        behind = state.hosts[at].read < len(state.log)
        return [] if behind else super().owner_steps(state, at)

    def goal(self, d: dict[str, Any]) -> bool:
        return bool(self.job(d["log"]).ended)


def put(state: State, at: int, **values: Any) -> State:
    """Return a state with one host changed."""
    hosts = list(state.hosts)
    hosts[at] = hosts[at]._replace(**values)
    return state._replace(hosts=tuple(hosts))


SPEC = model.Spec(
    "items",
    "one item, two hosts that own and pause, a cancel that races",
    Machine,
    {
        "read back": "a non-idempotent item runs at most once",
        # Epoch check and "started before" guard it, each alone enough.
        "start": "a non-idempotent item runs at most once",
        "first": "a result stays readable",
        "cancel": "a job an operator cancels stops",
    },
)
ENDING_SPEC = model.Spec(
    "ending",
    "the same without cancel: the item ends once hosts are lost no more",
    Ending,
    {"unknown": model.LIVE},
)
