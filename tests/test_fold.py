"""Tests of what every fold shares: ids, epochs, bundles, snapshots."""

import cbor2
import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st
import msgspec
import pytest

from camphortray import calls
from camphortray import fold as folds
from camphortray import records

A = records.Writer("a/batch", 1)
A2 = records.Writer("a/batch", 2)
B = records.Writer("b/batch", 1)
V = folds.Verdict


def make(writer, sequence, kind, body=None, epoch=-1, seen=0):
    return records.encode(
        records.Record(
            records.RecordId(writer, sequence), kind, epoch, body or {}, seen
        )
    )


def claim(writer, sequence, after=-1, challenge=-1, gone=False):
    body = {"after": after, "challenge": challenge, "gone": gone}
    return make(writer, sequence, folds.CLAIM, body)


def run(steps):
    """Fold records; return verdicts and the fold."""
    fold = calls.CallsFold()
    verdicts = [fold.apply(at, data).verdict for at, data in enumerate(steps)]
    return verdicts, fold


def forget(writer, sequence, epoch):
    return make(writer, sequence, calls.FORGET, {"calls": []}, epoch)


CHALLENGE = make(B, 1, folds.CHALLENGE, {"epoch": 0})
OWNED = claim(A, 1)


@pytest.mark.parametrize(
    ("steps", "verdict", "owner"),
    [
        ([OWNED, OWNED], V.DUPLICATE, A),
        ([OWNED, claim(B, 1)], V.REFUSED, A),
        ([OWNED, claim(B, 1, 0)], V.REFUSED, A),
        ([OWNED, claim(B, 1, 0, gone=True)], V.VALID, B),
        ([OWNED, CHALLENGE, claim(B, 2, 0, 1)], V.VALID, B),
        ([OWNED, CHALLENGE, claim(B, 2, 0, 0)], V.REFUSED, A),
        (
            [OWNED, CHALLENGE, make(A, 2, folds.ALIVE, epoch=0)]
            + [claim(B, 2, 0, 1)],
            V.REFUSED,
            A,
        ),
        # A kind from a later release is a sign of life to all alike.
        (
            [OWNED, CHALLENGE, make(A, 2, "new", epoch=0)]
            + [claim(B, 2, 0, 1)],
            V.REFUSED,
            A,
        ),
        # A copy of an old record is none.
        ([OWNED, CHALLENGE, OWNED, claim(B, 2, 0, 1)], V.VALID, B),
        # Nor is a record of another life of the host.
        (
            [OWNED, CHALLENGE, make(A2, 1, folds.ALIVE, epoch=0)]
            + [claim(B, 2, 0, 1)],
            V.VALID,
            B,
        ),
        ([OWNED, claim(B, 1, 0, gone=True), forget(A, 2, 0)], V.STALE, B),
        ([OWNED, forget(A, 2, 0)], V.VALID, A),
        ([OWNED, forget(B, 1, 0)], V.STALE, A),
        ([OWNED, make(A, 2, folds.RELEASE, epoch=0)], V.VALID, None),
        ([OWNED, make(B, 1, folds.RELEASE, epoch=0)], V.REFUSED, A),
        (
            [OWNED, make(A, 2, folds.RELEASE, epoch=0), forget(A, 3, 0)],
            V.STALE,
            None,
        ),
        (
            [OWNED, make(A, 2, folds.RELEASE, epoch=0), claim(B, 1, 0)],
            V.VALID,
            B,
        ),
        ([OWNED, b"\xff\xff"], V.UNREADABLE, A),
        (
            [OWNED, claim(A2, 1, 0, gone=True), forget(A, 9, 0)],
            V.DUPLICATE,
            A2,
        ),
    ],
)
def test_epochs(steps, verdict, owner):
    verdicts, fold = run(steps)
    assert (verdicts[-1], fold.ownership.owner) == (verdict, owner)


def test_writers_are_forgotten_but_their_records_never_count_twice():
    # Hosts come and go for days. The fold stays small, and a copy that
    # the network held back for as long does not count once its writer
    # is forgotten: it says how little its writer had read.
    fold = calls.CallsFold()
    body = {"key": "k", "digest": "d"}
    copy = make(A, 1, calls.CLAIM, body, seen=0)
    assert fold.apply(0, copy).valid
    end = folds.WINDOW + 2 * folds.PRUNE_EVERY
    for offset in range(1, end):
        host = records.Writer(f"h{offset}", 1)
        fold.apply(offset, make(host, 1, folds.FENCE, seen=offset))
    assert "a/batch" not in fold.last
    assert len(fold.last) <= folds.WINDOW + folds.PRUNE_EVERY
    fold.calls.clear()
    assert fold.apply(end, copy).verdict is V.LATE
    assert not fold.calls


def test_a_bundle_counts_each_record_once_by_its_own_id():
    # A host handed its record over, got no answer and appended it itself.
    one = make(A, 1, calls.CLAIM, {"key": "k", "digest": "d"})
    two = make(B, 1, calls.CLAIM, {"key": "k2", "digest": "d"})
    bundle = make(B, 1, folds.BUNDLE, {"records": [one, two, b"x"]})
    fold = calls.CallsFold()
    fold.apply(0, one)
    parts = fold.apply(1, bundle).parts
    assert [p.verdict for p in parts] == [V.DUPLICATE, V.VALID, V.UNREADABLE]
    assert {k: c.offset for k, c in fold.calls.items()} == {"k": 0, "k2": 1}


@pytest.mark.parametrize(
    "data",
    [
        b"",
        cbor2.dumps([1]),
        cbor2.dumps({"w": ["a", 1], "k": "k", "e": 0, "b": {}}),
        cbor2.dumps({"w": ["a", 1, "1"], "k": "k", "e": 0, "b": {}}),
        cbor2.dumps({"w": ["a", 1, 1], "k": "k", "e": 0, "b": []}),
        cbor2.dumps({"w": ["a", 1, True], "k": "k", "e": 0, "b": {}}),
        make(A, 1, folds.CLAIM, {"after": "x"}),
        make(A, 1, folds.BUNDLE, {"records": 1}),
        make(A, 1, folds.CLAIM, {1: 2}),
    ],
)
def test_what_cannot_be_read_changes_nothing(data):
    fold = calls.CallsFold()
    assert fold.apply(0, data).verdict is V.UNREADABLE
    assert fold.ownership.owner is None


def test_a_body_that_no_check_foresaw_does_not_stop_the_stream():
    class Faulty(calls.CallsFold):
        def on_fence(self, offset, record):
            raise KeyError("x")

    fold = Faulty()
    fence = make(A, 1, folds.FENCE)
    assert fold.apply(0, fence).verdict is V.UNREADABLE
    assert fold.apply(1, claim(A, 2)).valid


def test_unknown_fields_are_ignored_by_this_release():
    data = make(A, 1, folds.CLAIM, {"after": -1, "later": [1]})
    assert calls.CallsFold().apply(0, data).valid


KEYS = st.sampled_from(["k1", "k2"])
WRITERS = st.sampled_from([A, A2, B])


class TwoReplicas(stateful.RuleBasedStateMachine):
    """One replica reads every record, the other starts from snapshots.

    Both must always agree, whatever is appended, by whom, in which order
    and how often.
    """

    def __init__(self):
        super().__init__()
        self.log = []
        self.whole = calls.CallsFold()
        self.other = calls.CallsFold()
        self.sequences = {}
        self.kept = None

    def add(self, data):
        self.whole.apply(len(self.log), data)
        self.log.append(data)

    def append(self, writer, kind, body, epoch=-1):
        sequence = self.sequences[writer] = self.sequences.get(writer, 0) + 1
        self.add(make(writer, sequence, kind, body, epoch, self.whole.next))

    @stateful.rule(writer=WRITERS, key=KEYS)
    def call_claim(self, writer, key):
        self.append(writer, calls.CLAIM, {"key": key, "digest": "d"})

    @stateful.rule(writer=WRITERS, key=KEYS)
    def call_answer(self, writer, key):
        answer = {"status": 200, "headers": [["a", "b"]], "body": b"x"}
        self.append(writer, calls.ANSWER, {"key": key, "answer": answer})

    @stateful.rule(writer=WRITERS, key=KEYS)
    def call_abandon(self, writer, key):
        self.append(writer, calls.ABANDON, {"key": key})

    @stateful.rule(writer=WRITERS, gone=st.booleans())
    def own(self, writer, gone):
        held = self.whole.ownership
        body = msgspec.to_builtins(
            folds.Claim(held.epoch, held.challenge, gone)
        )
        self.append(writer, folds.CLAIM, body)

    @stateful.rule(
        writer=WRITERS,
        kind=st.sampled_from(
            [folds.ALIVE, folds.RELEASE, folds.FENCE, "later", calls.FORGET]
        ),
    )
    def owner_record(self, writer, kind):
        held = self.whole.ownership
        kept = [{"key": k, "offset": 0} for k in self.whole.calls]
        self.append(writer, kind, {"calls": kept[:1]}, held.epoch)

    @stateful.rule(writer=WRITERS)
    def challenge(self, writer):
        epoch = self.whole.ownership.epoch
        self.append(writer, folds.CHALLENGE, {"epoch": epoch})

    @stateful.precondition(lambda self: self.log)
    @stateful.rule(data=st.data())
    def copy(self, data):
        at = data.draw(st.integers(0, len(self.log) - 1))
        self.add(self.log[at])

    @stateful.rule()
    def keep_snapshot(self):
        self.kept = cbor2.dumps(self.whole.snapshot())

    @stateful.precondition(lambda self: self.kept)
    @stateful.rule()
    def start_anew(self):
        self.other = calls.CallsFold()
        self.other.restore(cbor2.loads(self.kept))

    @stateful.invariant()
    def both_agree(self):
        for offset in range(self.other.next, len(self.log)):
            self.other.apply(offset, self.log[offset])
        assert plain(self.other) == plain(self.whole)


def plain(fold):
    """Return a state as another host would read it."""
    return cbor2.loads(cbor2.dumps(fold.snapshot()))


TwoReplicas.TestCase.settings = hypothesis.settings(
    derandomize=True,
    max_examples=60,
    stateful_step_count=30,
    deadline=None,
    database=None,
)
test_replicas_agree = TwoReplicas.TestCase
