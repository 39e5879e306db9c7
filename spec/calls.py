"""A non-idempotent call, sent to two hosts, through every fault."""

__all__ = ["FORGET_SPEC", "SPEC"]

from typing import Any
from typing import NamedTuple

from camphortray import calls
from camphortray import fold as folds
from camphortray import records
from spec import model

KEY = "k"
HOSTS = ("h", "j")
REQUESTS = (2, 1)
MAX_LOG = 6
# The host that owns the shard, and so may forget calls.
OWNER = 1


class Host(NamedTuple):
    """One host and the request it is at.

    Attributes:
      read: How far it has read the stream.
      sequence: Number of its last record.
      phase: ``idle``, ``claiming``, ``claimed``, ``given up``,
        ``fencing``, ``giving back`` or ``lost``.
      requests: Requests it was sent so far.
      late: Whether its claim is still under way to the log.
      forget: A forget record that it has made and not yet sent.
    """

    read: int = 0
    sequence: int = 0
    phase: str = "idle"
    requests: int = 0
    late: bool = False
    forget: bytes = b""


class State(NamedTuple):
    """The stream, the hosts, and what really happened.

    Attributes:
      log: The stream.
      hosts: The hosts.
      runs: Times the service ran it within one keeping time.
      lied: Whether a request was run after its caller was told "not
        run".
    """

    log: model.Log
    hosts: tuple[Host, ...] = (Host(), Host(sequence=1))
    runs: int = 0
    lied: bool = False


def fold_class(off: frozenset[str]) -> type[calls.CallsFold]:
    """Return the real fold, with safeguards switched off."""

    class Fold(calls.CallsFold):
        def on_call_claim(self, offset: int, record: records.Record) -> None:
            if "first" in off:
                self.calls.clear()
            super().on_call_claim(offset, record)

        def on_forget(self, offset: int, record: records.Record) -> None:
            if "offset" in off:
                self.calls.clear()
            super().on_forget(offset, record)

    return Fold


class Machine(model.FoldMachine):
    """Two hosts and one call.

    Attributes:
      forgets: Whether hosts are lost and calls forgotten, or else claims
        land late and are given up. Both at once are too many states.
    """

    state = State
    fold_class = staticmethod(fold_class)
    forgets = False

    def __init__(self, off: frozenset[str]) -> None:
        super().__init__(off)
        self.phases = {
            "idle": self.idle,
            "claiming": self.claiming,
            "claimed": self.claimed,
            "given up": self.given_up,
            "fencing": self.fencing,
            "giving back": self.giving_back,
        }

    def transitions(self, state: State) -> list[tuple[str, State]]:
        steps: list[tuple[str, State]] = []
        for at in range(len(HOSTS)):
            if state.hosts[at].phase != "lost":
                steps += [
                    (f"{HOSTS[at]} {label}", after)
                    for label, after in self.host_steps(state, at)
                ]
            if state.hosts[at].late and len(state.log) < MAX_LOG:
                landed = append(
                    put(state, at, late=False), self.claim_of(state, at)
                )
                steps.append((f"{HOSTS[at]}'s late claim lands", landed))
        return steps

    def host_steps(self, state: State, at: int) -> list[tuple[str, State]]:
        host = state.hosts[at]
        steps = []
        if self.forgets and at != OWNER:
            steps.append(("is lost", put(state, at, phase="lost")))
        if host.read < len(state.log):
            steps.append(("reads", put(state, at, read=len(state.log))))
        if self.forgets and at == OWNER:
            steps += self.owner_steps(state, at)
        steps += self.phases[host.phase](state, at)
        return steps

    def view(self, state: State, at: int) -> calls.CallsFold:
        return model.folded(self.fold, state.log[: state.hosts[at].read])

    def claim_of(self, state: State, at: int) -> bytes:
        body = calls.CallClaim(KEY, "d")
        return model.make(
            HOSTS[at], state.hosts[at].requests * 10, "call.claim", body
        )

    def idle(self, state: State, at: int) -> list[tuple[str, State]]:
        host = state.hosts[at]
        if (
            host.requests == (2 if self.forgets else REQUESTS[at])
            or KEY in self.view(state, at).calls
        ):
            return []
        number = host.requests + 1
        begun = put(
            state, at, phase="claiming", requests=number, sequence=number * 10
        )
        steps = []
        if not self.forgets:
            steps.append(("claims, late", put(begun, at, late=True)))
        if len(state.log) < MAX_LOG:
            landed = append(begun, self.claim_of(begun, at))
            steps.append(("claims", landed))
            if "read" in self.off:
                # Takes the log's answer for enough.
                steps.append(("claims", put(landed, at, phase="claimed")))
        return steps

    def claiming(self, state: State, at: int) -> list[tuple[str, State]]:
        host = state.hosts[at]
        steps = []
        if not self.forgets:
            after = put(state, at, phase="given up")
            steps.append(("gives up, says not run", after))
        told = model.read_back(
            self.fold, state.log[: host.read], HOSTS[at], host.sequence
        )
        if told is not None:
            mine = calls.ClaimStatus.MINE
            stands = self.view(state, at).claim_status(KEY, told) is mine
            phase = "claimed" if stands else "idle"
            steps.append(("reads it back", put(state, at, phase=phase)))
        return steps

    def claimed(self, state: State, at: int) -> list[tuple[str, State]]:
        ran = put(state, at, phase="idle")._replace(runs=state.runs + 1)
        not_run = ("is refused, not run", put(state, at, phase="given up"))
        return [("dispatches", ran)] + ([] if self.forgets else [not_run])

    def given_up(self, state: State, at: int) -> list[tuple[str, State]]:
        steps = []
        host = state.hosts[at]
        held = self.view(state, at).calls.get(KEY)
        mine = held is not None and held.writer.name == HOSTS[at]
        if "never" in self.off and mine:
            ran = put(state, at, phase="idle")
            after = ran._replace(runs=state.runs + 1, lied=True)
            steps.append(("dispatches its late claim", after))
        if "fence" in self.off:
            phase = "giving back" if mine else "idle"
            return [*steps, ("looks once", put(state, at, phase=phase))]
        if len(state.log) < MAX_LOG:
            number = host.sequence + 1
            fence = model.make(HOSTS[at], number, folds.FENCE, {})
            after = put(
                append(state, fence), at, phase="fencing", sequence=number
            )
            steps.append(("fences", after))
        return steps

    def fencing(self, state: State, at: int) -> list[tuple[str, State]]:
        host = state.hosts[at]
        log = state.log[: host.read]
        if model.read_back(self.fold, log, HOSTS[at], host.sequence) is None:
            return []
        held = self.view(state, at).calls.get(KEY)
        mine = held is not None and held.writer.name == HOSTS[at]
        phase = "giving back" if mine else "idle"
        return [("has settled", put(state, at, phase=phase))]

    def giving_back(self, state: State, at: int) -> list[tuple[str, State]]:
        if len(state.log) >= MAX_LOG:
            return []
        number = state.hosts[at].sequence + 1
        body = calls.CallAbandon(KEY)
        data = model.make(HOSTS[at], number, calls.ABANDON, body)
        after = put(append(state, data), at, phase="idle", sequence=number)
        return [("gives back", after)]

    def owner_steps(self, state: State, at: int) -> list[tuple[str, State]]:
        host = state.hosts[at]
        if host.forget:
            if len(state.log) >= MAX_LOG:
                return []
            seen = records.decode(host.forget)
            after = put(state, at, forget=b"")
            after = append(after, host.forget)
            number = max(host.sequence, seen.id.sequence)
            after = put(after, at, sequence=number)
            return [("forgets", self.reset(state, after))]

        def lost(writer: records.Writer) -> bool:
            if "running" in self.off:
                return True
            other = state.hosts[HOSTS.index(writer.name)]
            return other.phase == "lost"

        expired = self.view(state, at).expired(1e12, lost, 9)
        if not expired.calls or host.phase not in ("idle", "claiming"):
            return []
        number = host.sequence + 5
        data = model.make(HOSTS[at], number, calls.FORGET, expired, 0)
        return [("decides to forget", put(state, at, forget=data))]

    def reset(self, before: State, after: State) -> State:
        """Begin a new keeping time if the call in force was forgotten."""
        held = model.folded(calls.CallsFold, before.log).calls.get(KEY)
        named = records.decode(after.log[-1]).body["calls"]
        if held is not None and any(n["offset"] == held.offset for n in named):
            return after._replace(runs=0)
        return after

    def goal(self, d: dict[str, Any]) -> bool:
        """The call has run, or can be claimed anew."""
        log = d["log"]
        room = len(log) <= MAX_LOG - 3
        free = KEY not in model.folded(self.fold, log).calls
        return self.forgets or free or bool(d["runs"]) or not room

    def initial(self) -> State:
        claim = folds.Claim(-1)
        return State((model.make(HOSTS[OWNER], 1, folds.CLAIM, claim),))

    def invariants(self) -> model.Invariants:
        return {
            "a call runs at most once": lambda d: d["runs"] <= 1,
            "not run means not run": lambda d: not d["lied"],
        }


def put(state: State, at: int, **values: Any) -> State:
    """Return a state with one host changed."""
    hosts = list(state.hosts)
    hosts[at] = hosts[at]._replace(**values)
    return state._replace(hosts=tuple(hosts))


def append(state: State, data: bytes) -> State:
    """Return a state with a record at the end of the stream."""
    return state._replace(log=(*state.log, data))


class Forgetting(Machine):
    """A host is lost, calls are forgotten."""

    forgets = True


ONCE = "a call runs at most once"
SPEC = model.Spec(
    "calls",
    "two hosts, resends, claims that land late and are given up",
    Machine,
    {
        "read": ONCE,
        "first": ONCE,
        "never": "not run means not run",
        "fence": model.LIVE,
    },
)
FORGET_SPEC = model.Spec(
    "forget",
    "a host lost or paused after its claim, calls forgotten by the owner",
    Forgetting,
    {"offset": ONCE, "running": ONCE},
)
