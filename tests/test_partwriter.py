"""Tests of a partition's writer: lost answers, refusals, fences, order."""

import asyncio

import pytest

from camphortray import clock as clocks
from camphortray import errors
from camphortray import ledger
from camphortray import partwriter

pytestmark = pytest.mark.looptime
TOPIC = ledger.Topic.JOBS


class WriterRig:
    """A writer on an in-memory ledger, and its callbacks' arguments."""

    def __init__(self, epoch=1, held=None):
        self.ledger = held or ledger.MemoryLedger()
        self.records = []
        self.fenced = 0
        self.writer = partwriter.PartWriter(
            self.ledger,
            TOPIC,
            0,
            epoch,
            clocks.SystemClock(),
            self.records.extend,
            self.on_fenced,
        )
        self.writer.start()

    def on_fenced(self):
        self.fenced += 1

    async def write(self, key, timeout_s=2.0):
        record = ledger.LedgerRecord(key, b"v")
        await self.writer.write([record], timeout_s)

    def keys(self):
        """Return the keys in the ledger, in order."""
        return [r.key for r in self.ledger.held[TOPIC, 0].records]


async def test_records_are_reported_once_they_are_stored():
    rig = WriterRig()
    await rig.write("a")
    assert [r.key for r in rig.records] == ["a"] == rig.keys()
    rig.writer.stop()


async def test_a_lost_answer_leaves_one_record():
    # The append took effect, but its answer was lost. Repeated with the
    # same number it gets the first answer; with a new one the record would
    # be stored twice.
    rig = WriterRig()
    rig.ledger.lose_answers = 2
    await rig.write("a")
    await rig.write("b")
    assert rig.keys() == ["a", "b"]
    rig.writer.stop()


async def test_queued_writes_go_into_one_append():
    rig = WriterRig()
    rig.ledger.refuse = 1
    await asyncio.gather(*(rig.write(f"k{n}") for n in range(20)))
    assert len(rig.keys()) == 20
    assert rig.ledger.appends <= 2
    rig.writer.stop()


async def test_a_write_refused_all_the_while_is_certainly_not_kept():
    # The answer to the caller says that its job does not run, which is true
    # only if the store refused each attempt.
    rig = WriterRig()
    rig.ledger.refuse = 10_000
    with pytest.raises(errors.LogRefused):
        await rig.write("a", 1.0)
    rig.ledger.refuse = 0
    await rig.write("b")
    assert rig.keys() == ["b"]
    rig.writer.stop()


async def test_a_write_without_an_answer_is_not_called_refused():
    # One attempt got no answer and the later ones were refused, so the
    # record may be stored.
    rig = WriterRig()
    rig.ledger.lose_answers = 1
    task = asyncio.ensure_future(rig.write("a", 1.0))
    await asyncio.sleep(0)
    await asyncio.sleep(0)
    rig.ledger.refuse = 10_000
    with pytest.raises(errors.LogUnavailable):
        await task
    rig.ledger.refuse = 0
    await rig.write("b")
    assert rig.keys() == ["a", "b"]
    assert [r.key for r in rig.records] == ["a", "b"]
    rig.writer.stop()


async def test_an_old_owner_can_add_nothing():
    # An owner is paused; another takes over and sets a higher epoch. The
    # store refuses what the first owner sends after it resumes.
    old = WriterRig(epoch=1)
    await old.write("a")
    await old.ledger.set_epoch(TOPIC, 0, 2)
    with pytest.raises(errors.LogRefused):
        await old.write("b")
    assert old.fenced == 1
    with pytest.raises(errors.LogRefused):
        await old.write("c")
    new = WriterRig(epoch=2, held=old.ledger)
    await new.write("d")
    assert new.keys() == ["a", "d"]
    new.writer.stop()


async def test_a_writer_fenced_after_a_lost_answer_reports_unknown():
    rig = WriterRig(epoch=1)
    rig.ledger.lose_answers = 1
    task = asyncio.ensure_future(rig.write("a"))
    await asyncio.sleep(0)
    await asyncio.sleep(0)
    await rig.ledger.set_epoch(TOPIC, 0, 2)
    with pytest.raises(errors.LogUnavailable):
        await task
    assert rig.keys() == ["a"]


class SlowLedger(ledger.MemoryLedger):
    """Answers after a delay, or not at all if that exceeds the time-out."""

    def __init__(self, delay_s):
        super().__init__()
        self.delay_s = delay_s
        self.timeouts_s = []

    async def append(self, topic, part, records, fence=None, timeout_s=1.0):
        self.timeouts_s.append(timeout_s)
        await super().append(topic, part, records, fence)
        await asyncio.sleep(min(self.delay_s, timeout_s))
        if self.delay_s > timeout_s:
            raise errors.LogUnavailable("late", step="append", peer="memory")


async def test_a_lost_answer_is_detected_soon_if_the_store_is_fast():
    # One answer of a fast store is lost. If the writer waited for it for
    # more than a second, the caller of a job would time out.
    rig = WriterRig(held=SlowLedger(0.005))
    for number in range(5):
        await rig.write(f"a{number}")
    rig.ledger.lose_answers = 1
    started_at = asyncio.get_running_loop().time()
    await rig.write("b")
    took_s = asyncio.get_running_loop().time() - started_at
    assert took_s < 2 * partwriter.MIN_ANSWER_TIMEOUT_S
    rig.writer.stop()


async def test_the_timeout_grows_when_the_store_becomes_slow():
    rig = WriterRig(held=SlowLedger(0.24))
    for number in range(6):
        await rig.write(f"a{number}")
    assert rig.keys() == [f"a{number}" for number in range(6)]
    assert rig.ledger.timeouts_s[0] == partwriter.MIN_ANSWER_TIMEOUT_S
    assert rig.ledger.timeouts_s[-1] > 0.24
    # The time-out has adapted, so that not every append is repeated.
    assert len(rig.ledger.timeouts_s) < 12
    rig.writer.stop()
