"""Tests of what keeps a stream readable as the log forgets."""

import asyncio
import random

import msgspec
import pytest

from camphortray import calls
from camphortray import compaction
from camphortray import fold as folds
from camphortray import journal
from camphortray import log
from camphortray import records
from camphortray import snapshot

pytestmark = [pytest.mark.asyncio, pytest.mark.looptime]
RETENTION_S = 1000.0


class Notes(folds.Fold):
    """A fold whose state points to bodies in the log."""

    def __init__(self):
        super().__init__()
        self.places = {}
        self.handlers["note"] = self.on_note

    def on_note(self, offset, record):
        held = self.places.get(record.body["name"], -1)
        if record.body.get("of", -1) != held:
            raise folds.Refuse("moved on")
        self.places[record.body["name"]] = offset

    def needed(self):
        return self.places.values()

    def carry(self, offset, record):
        return "note", {**record.body, "of": offset}

    def dump(self):
        return {"places": dict(self.places)}

    def load(self, state):
        self.places = dict(state["places"])


class Host:
    """A journal and its compactor on a log that forgets by time."""

    def __init__(self, service, name, fold, rank=0):
        self.service = service
        self.journal = journal.Journal(
            service,
            "s",
            fold,
            records.Writer(name, 1),
            random.Random(0),
        )
        loop = asyncio.get_running_loop()
        self.compactor = compaction.Compactor(
            self.journal,
            RETENTION_S,
            loop.time,
            lambda: rank,
            lambda: 0 if name == "a" else records.NO_EPOCH,
        )
        self.journal.start()
        self.compactor.start()

    async def stop(self):
        await self.compactor.stop()
        await self.journal.stop()


async def pass_time(service, seconds):
    """Let time pass; the log forgets what is older than it keeps."""
    loop = asyncio.get_running_loop()
    for _ in range(int(seconds / 10)):
        await asyncio.sleep(10)
        held = service.stream("s")
        kept = [r for r in held.records if r.time > loop.time() - RETENTION_S]
        held.truncate(kept[0].offset if kept else held.next)


@pytest.fixture
async def service():
    return log.MemoryLog()


async def test_an_idle_stream_outlives_the_retention(service):
    # Nothing is written for many times the retention, and the log is
    # down for nearly half of one. A new host still finds the state, and
    # what the state points to.
    await asyncio.sleep(1)
    host = Host(service, "a", Notes())
    await host.journal.append("note", {"name": "x"})
    await pass_time(service, 3 * RETENTION_S)
    service.down = True
    await pass_time(service, 0.45 * RETENTION_S)
    service.down = False
    await pass_time(service, RETENTION_S)
    assert service.appends < 30
    fresh = Host(service, "b", Notes(), rank=1)
    await asyncio.sleep(1)
    (place,) = fresh.journal.fold.places.values()
    page = await service.read("s", place)
    assert records.decode(page.records[0].body).body["name"] == "x"
    assert not host.compactor.lost
    for each in (host, fresh):
        await each.stop()


async def test_a_needed_record_that_is_gone_is_told_once(service):
    await asyncio.sleep(1)
    host = Host(service, "a", Notes())
    await host.journal.append("note", {"name": "x"})
    await host.compactor.stop()
    await pass_time(service, 2 * RETENTION_S)
    await host.compactor.carry_forward()
    assert host.compactor.lost == {0} and not host.compactor.needed()
    await host.stop()


async def test_others_write_when_the_first_does_not(service):
    await asyncio.sleep(1)
    host = Host(service, "b", calls.CallsFold(), rank=2)
    body = msgspec.to_builtins(calls.CallClaim("k", "d"))
    await host.journal.append(calls.CLAIM, body)
    await asyncio.sleep(0.55 * RETENTION_S)
    assert service.appends == 1
    await asyncio.sleep(0.1 * RETENTION_S)
    assert service.appends == 2
    await host.stop()


@pytest.mark.parametrize(
    ("need", "due"),
    [
        (snapshot.Need(499.0, 10, 10, 0), False),
        (snapshot.Need(501.0, 10, 10, 0), True),
        (snapshot.Need(1.0, 5000, 2000, 1000), True),
        (snapshot.Need(1.0, 5000, 2000, 9000), False),
        (snapshot.Need(1.0, 10, 5_000_000, 0), True),
        (snapshot.Need(1.0, 10, 5_000_000, 6_000_000), False),
    ],
)
async def test_pace(need, due):
    assert snapshot.Pace(RETENTION_S).due(need) == due
