"""Two owners of a partition, fenced appends, late ones, a group re-dealt."""

__all__ = ["SPEC"]

from typing import Any
from typing import NamedTuple

from camphortray import attempt
from camphortray import errors
from camphortray import ledger
from camphortray import partition_records
from camphortray import partition_state
from spec import model

HOSTS = ("a", "b")
JOB, LATER = "j", "k"
MAX_LOG = 4
MAX_GENERATION = 3
MAX_LATE = 1
DONE = partition_records.State.DONE

# A record as key and value.
Pair = tuple[str, bytes]


class Append(NamedTuple):
    """An append under way, or one that may still reach the store."""

    epoch: int
    sequence: int
    pair: Pair


class Host(NamedTuple):
    """What one host holds.

    Attributes:
      epoch: In which it takes itself for the owner, 0 for not at all.
      book: Records that it has read or written.
      sequence: Of its next append.
      sent: What it is appending, or None.
      maybe: What its attempt knows; see ``attempt.Attempt``.
    """

    epoch: int = 0
    book: tuple[Pair, ...] = ()
    sequence: int = 0
    sent: Append | None = None
    maybe: bool = False


class State(NamedTuple):
    """The store's partition, its group, two hosts and their callers.

    Attributes:
      log: All records ever appended.
      epoch: Highest that the store has seen.
      done: Epochs and sequences of appends done.
      generation: Of the group.
      dealt: Host whose own the partition should be.
      a, b: The hosts.
      late: Appends sent whose request may still reach the store.
      read: Results that some caller has read.
      refused: Whether the caller of ``LATER`` was told that it never runs.
    """

    log: tuple[Pair, ...] = ()
    epoch: int = 0
    done: frozenset[tuple[int, int]] = frozenset()
    generation: int = 1
    dealt: str = "a"
    a: Host = Host()
    b: Host = Host()
    late: frozenset[Append] = frozenset()
    read: tuple[partition_records.Result, ...] = ()
    refused: bool = False


def accept_of(job: str) -> Pair:
    """Return the record that accepts a job of two items."""
    items = tuple(
        partition_records.Item(f"{job}{n}", "/", (), b"") for n in range(2)
    )
    part = partition_records.JobPart(job, "h", "/", 0.0, 2, 0, items)
    (record,) = partition_records.accept_records(part, 65_536)
    return record.key, record.value


ACCEPTED = accept_of(JOB)
SUBMITTED = accept_of(LATER)


def book_of(pairs: tuple[Pair, ...]) -> partition_state.PartitionState:
    """Return the real state of the newest record of each key."""
    newest = dict(pairs)
    book = partition_state.PartitionState()
    book.load(ledger.LedgerRecord(key, value) for key, value in newest.items())
    return book


class Machine(model.Machine):
    """Two hosts and a store."""

    state = State

    def initial(self) -> State:
        return State(log=(ACCEPTED,))

    def transitions(self, state: State) -> list[tuple[str, State]]:
        steps: list[tuple[str, State]] = []
        if state.generation < MAX_GENERATION:
            other = "b" if state.dealt == "a" else "a"
            for name in (state.dealt, other):
                dealt = state._replace(
                    generation=state.generation + 1, dealt=name
                )
                steps.append((f"dealt to {name}", dealt))
        for append in state.late:
            left = state._replace(late=state.late - {append})
            after, _ = self.land(left, append)
            steps.append(("a late append lands", after))
        for name in HOSTS:
            steps += self.steps_of(state, name)
        return steps

    def steps_of(self, state: State, name: str) -> list[tuple[str, State]]:
        host: Host = getattr(state, name)
        steps: list[tuple[str, State]] = []
        if state.dealt == name and host.epoch != state.generation:
            steps.append((f"{name} takes over", self.take(state, name)))
        if not host.epoch:
            return steps
        if host.sent is not None:
            return steps + self.answers(state, name, host, host.sent)
        job = book_of(host.book).jobs[JOB]
        steps.append((f"a caller reads at {name}", self.read(state, job)))
        if len(state.log) < MAX_LOG and job.open_items:
            text = f"{name}{host.epoch}".encode()
            result = partition_records.Result(job.open_items[0], DONE, text)
            record = partition_records.result_record(
                JOB, len(job.results), (result,)
            )
            pair = record.key, record.value
            steps.append((f"{name} ends an item", begin(state, name, pair)))
        if name == "a" and not state.refused and SUBMITTED not in host.book:
            begun = begin(state, name, SUBMITTED)
            steps.append(("a takes a job", begun))
        return steps

    def take(self, state: State, name: str) -> State:
        """Set the epoch, then read all; the other way with it off."""
        host: Host = getattr(state, name)
        epoch = state.generation
        if "order" in self.off and not host.sent and host.epoch == 0:
            # Reads now; the epoch is set by its first append.
            fresh = Host(epoch, state.log)
            return held(state, name, fresh)
        book = state.log
        if "reread" in self.off and host.epoch:
            book = host.book
        fresh = Host(epoch, book)
        top = max(state.epoch, epoch)
        return held(state._replace(epoch=top), name, fresh)

    def answers(
        self, state: State, name: str, host: Host, sent: Append
    ) -> list[tuple[str, State]]:
        """Return what may become of an append."""
        steps: list[tuple[str, State]] = []
        after, taken = self.land(state, sent)
        if taken:
            kept = host._replace(
                book=(*host.book, sent.pair),
                sequence=host.sequence + 1,
                sent=None,
                maybe=False,
            )
            steps.append((f"{name} is answered", held(after, name, kept)))
            lost = self.tried(host, errors.LogUnavailable("lost"))
            steps.append((f"{name}'s answer is lost", held(after, name, lost)))
        else:
            over = self.tell(state, host, sent)
            steps.append((f"{name} is fenced off", held(over, name, Host())))
        if len(state.late) < MAX_LATE:
            hung = self.tried(host, errors.LogUnavailable("hangs"))
            steps.append(
                (
                    f"{name}'s append hangs",
                    held(state._replace(late=state.late | {sent}), name, hung),
                )
            )
        refused = self.tried(host, errors.LogRefused("busy"))
        if not refused.maybe or "doubt" in self.off:
            # Its caller waits no longer, and nothing was ever done.
            free = refused._replace(sent=None, maybe=False)
            told = self.tell(state, refused, sent)
            steps.append((f"{name} gives up, refused", held(told, name, free)))
        return steps

    def tried(self, host: Host, error: errors.LogError) -> Host:
        """Return what a host knows after a failed try."""
        tried = attempt.Attempt()
        tried.maybe_appended = host.maybe
        tried.on_error(error)
        return host._replace(maybe=tried.maybe_appended)

    def tell(self, state: State, host: Host, sent: Append) -> State:
        """Tell the caller of a job that was not kept what is known."""
        tried = attempt.Attempt()
        tried.maybe_appended = host.maybe and "doubt" not in self.off
        certain = isinstance(tried.final_error(""), errors.LogRefused)
        if sent.pair == SUBMITTED and certain:
            return state._replace(refused=True)
        return state

    def land(self, state: State, append: Append) -> tuple[State, bool]:
        """Return the store after an append, and whether it took it."""
        part = ledger.MemoryPart()
        part.epoch = state.epoch
        part.answered = dict.fromkeys(state.done, 0)
        try:
            fresh = part.check(ledger.Fence(append.epoch, append.sequence))
        except errors.LogFenced:
            if "fence" not in self.off:
                return state, False
            fresh = True
        if not fresh and "repeat" not in self.off:
            return state, True
        number = append.epoch, append.sequence
        return (
            state._replace(
                log=(*state.log, append.pair),
                epoch=max(state.epoch, append.epoch),
                done=state.done | {number},
            ),
            True,
        )

    def read(self, state: State, job: partition_state.Job) -> State:
        """Let a caller read what a host has; longer is what counts."""
        results = tuple(job.results)
        if len(results) > len(state.read):
            return state._replace(read=results)
        return state

    def stays(self, d: dict[str, Any]) -> bool:
        job = book_of(d["log"]).jobs[JOB]
        read = d["read"]
        return tuple(job.results[: len(read)]) == read

    def never(self, d: dict[str, Any]) -> bool:
        return not d["refused"] or SUBMITTED not in d["log"]

    def once(self, d: dict[str, Any]) -> bool:
        return d["log"].count(SUBMITTED) <= 1

    def invariants(self) -> model.Invariants:
        return {
            "a result that was read stays": self.stays,
            "refused means never kept": self.never,
            "an append counts once": self.once,
        }


def held(state: State, name: str, host: Host) -> State:
    """Return the state with another state of one host."""
    return state._replace(a=host) if name == "a" else state._replace(b=host)


def begin(state: State, name: str, pair: Pair) -> State:
    """Return the state after a host sends an append."""
    host: Host = getattr(state, name)
    sent = Append(host.epoch, host.sequence, pair)
    return held(state, name, host._replace(sent=sent))


SPEC = model.Spec(
    "ledger",
    "two owners, a group dealt anew, fenced appends, late and lost ones",
    Machine,
    {
        "fence": "a result that was read stays",
        "reread": "a result that was read stays",
        "order": "a result that was read stays",
        "doubt": "refused means never kept",
        "repeat": "an append counts once",
    },
)
