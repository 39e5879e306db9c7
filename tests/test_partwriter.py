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
