"""Appends of an owner: lost answers, refusals, fences, order."""

import asyncio

import pytest

from camphortray import clock as clocks
from camphortray import errors
from camphortray import ledger
from camphortray import partwriter

pytestmark = pytest.mark.looptime
TOPIC = ledger.Topic.JOBS


class Kept:
    """A writer on a ledger in memory, and what it told."""

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


async def test_records_are_told_once_they_are_kept():
    kept = Kept()
    await kept.write("a")
    assert [r.key for r in kept.records] == ["a"] == kept.keys()
    kept.writer.stop()


async def test_a_lost_answer_leaves_one_record():
    # The append took effect, its answer was lost. Repeated under its
    # number it gets the first answer; under a new one it stood twice.
    kept = Kept()
    kept.ledger.lose_answers = 2
    await kept.write("a")
    await kept.write("b")
    assert kept.keys() == ["a", "b"]
    kept.writer.stop()


async def test_what_waits_meanwhile_goes_into_one_append():
    kept = Kept()
    kept.ledger.refuse = 1
    await asyncio.gather(*(kept.write(f"k{n}") for n in range(20)))
    assert len(kept.keys()) == 20
    assert kept.ledger.appends <= 2
    kept.writer.stop()


async def test_a_write_refused_all_the_while_is_certainly_not_kept():
    # The caller is told that its job does not run: true only if the store
    # said of each try that it did nothing.
    kept = Kept()
    kept.ledger.refuse = 10_000
    with pytest.raises(errors.LogRefused):
        await kept.write("a", 1.0)
    kept.ledger.refuse = 0
    await kept.write("b")
    assert kept.keys() == ["b"]
    kept.writer.stop()


async def test_a_write_without_an_answer_is_not_called_refused():
    # One try got no answer, later ones were refused: it may be kept.
    kept = Kept()
    kept.ledger.lose_answers = 1
    task = asyncio.ensure_future(kept.write("a", 1.0))
    await asyncio.sleep(0)
    await asyncio.sleep(0)
    kept.ledger.refuse = 10_000
    with pytest.raises(errors.LogUnavailable):
        await task
    kept.ledger.refuse = 0
    await kept.write("b")
    assert kept.keys() == ["a", "b"]
    assert [r.key for r in kept.records] == ["a", "b"]
    kept.writer.stop()


async def test_an_old_owner_can_add_nothing():
    # An owner is paused; another takes over and sets a higher epoch. What
    # the first sends when it wakes is refused by the store.
    old = Kept(epoch=1)
    await old.write("a")
    await old.ledger.set_epoch(TOPIC, 0, 2)
    with pytest.raises(errors.LogRefused):
        await old.write("b")
    assert old.fenced == 1
    with pytest.raises(errors.LogRefused):
        await old.write("c")
    new = Kept(epoch=2, held=old.ledger)
    await new.write("d")
    assert new.keys() == ["a", "d"]
    new.writer.stop()


async def test_fenced_off_after_a_lost_answer_nothing_is_known():
    kept = Kept(epoch=1)
    kept.ledger.lose_answers = 1
    task = asyncio.ensure_future(kept.write("a"))
    await asyncio.sleep(0)
    await asyncio.sleep(0)
    await kept.ledger.set_epoch(TOPIC, 0, 2)
    with pytest.raises(errors.LogUnavailable):
        await task
    assert kept.keys() == ["a"]


class SlowLedger(ledger.MemoryLedger):
    """Answers as late as it is told; an answer that is late is none."""

    def __init__(self, seconds):
        super().__init__()
        self.seconds = seconds
        self.waits = []

    async def append(self, topic, part, records, fence=None, timeout_s=1.0):
        self.waits.append(timeout_s)
        await super().append(topic, part, records, fence)
        await asyncio.sleep(min(self.seconds, timeout_s))
        if self.seconds > timeout_s:
            raise errors.LogUnavailable("late", step="append", peer="memory")


async def test_a_lost_answer_is_noticed_within_what_answers_take():
    # One answer of a quick store is lost. Waited for over a second, the
    # caller of a job would have had no patience left.
    kept = Kept(held=SlowLedger(0.005))
    for number in range(5):
        await kept.write(f"a{number}")
    kept.ledger.lose_answers = 1
    begun_at = asyncio.get_running_loop().time()
    await kept.write("b")
    took_s = asyncio.get_running_loop().time() - begun_at
    assert took_s < 2 * partwriter.LEAST_ANSWER_S
    kept.writer.stop()


async def test_a_store_that_turns_slow_is_waited_for_longer():
    kept = Kept(held=SlowLedger(0.24))
    for number in range(6):
        await kept.write(f"a{number}")
    assert kept.keys() == [f"a{number}" for number in range(6)]
    assert kept.ledger.waits[0] == partwriter.LEAST_ANSWER_S
    assert kept.ledger.waits[-1] > 0.24
    # It has learned, and does not repeat each append any more.
    assert len(kept.ledger.waits) < 12
    kept.writer.stop()
