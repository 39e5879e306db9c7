"""The record of versions in the store."""

import asyncio
import types

import pytest

from camphortray import clock as clocks
from camphortray import errors
from camphortray import ledger as ledgers
from camphortray import version_record
from tests import skiploop

event_loop_policy = skiploop.event_loop_policy

TOPIC = ledgers.Topic.VERSIONS


class Host:
    """What a record needs of its host."""

    def __init__(self, name, ledger, coordinators=("a",)):
        self.own_name, self.incarnation = name, 1
        self.ledger = ledger
        self.clock = clocks.SystemClock()
        self.links = types.SimpleNamespace(spawn=self.spawn)
        self.coordinators = coordinators
        self.running = {"a", "b"}
        self.introduced = True
        self.tasks = []
        self.record = version_record.VersionRecord(self)

    def spawn(self, work):
        self.tasks.append(asyncio.create_task(work))

    def coordinates(self, service):
        return self.own_name in self.coordinators

    def runs(self, name, started):
        return name in self.running

    def is_live(self, name):
        return name in self.running


async def kept(ledger):
    """Return the versions on record."""
    page = await ledger.newest(TOPIC)
    return {version_record.decode(r).version for r in page.records}


@pytest.mark.parametrize(
    ("coordinators", "refuse", "writer"),
    [
        (("a",), 0, "a"),
        (("a",), 3, "a"),
        # The host that coordinates is of the release before.
        ((), 0, None),
        # Each of two takes itself for the coordinator.
        (("a", "b"), 0, None),
    ],
)
async def test_who_records_a_version(coordinators, refuse, writer):
    """Nobody records a version, or all hosts write at once."""
    ledger = ledgers.MemoryLedger()
    hosts = [Host(name, ledger, coordinators) for name in "ab"]
    ledger.refuse = refuse
    for host in hosts:
        host.record.update({"s": {"v1"}})
    await asyncio.sleep(20.0)
    page = await ledger.newest(TOPIC)
    (entry,) = [version_record.decode(record) for record in page.records]
    assert entry.served == version_record.Served("s", "v1")
    assert writer in (None, entry.writer)
    assert ledger.appends == max(1, len(coordinators))


def count_reads(ledger):
    """Return a list that grows with each read of a store."""
    reads, newest = [], ledger.newest

    async def counted(*args):
        reads.append(args)
        return await newest(*args)

    ledger.newest = counted
    return reads


async def test_the_store_is_read_only_as_versions_change():
    """Hosts poll the store for versions."""
    ledger = ledgers.MemoryLedger()
    host = Host("a", ledger)
    reads = count_reads(ledger)
    for number in range(50):
        host.record.update({"s": {"v1"}} if number % 2 else {})
        await asyncio.sleep(5.0)
        host.record.drop_expired()
    assert (len(reads), ledger.appends) == (1, 1)


async def test_a_roll_out_of_many_services_costs_a_host_one_read():
    """Hundreds of hosts read once for each service, beyond the limit."""
    ledger = ledgers.MemoryLedger()
    host, other = Host("a", ledger), Host("b", ledger)
    for version in ("v1", "v2"):
        if version == "v2":
            reads = count_reads(ledger)
        for each in (host, other):
            each.record.update({f"s{n}": {version} for n in range(35)})
        await asyncio.sleep(20.0)
    assert (len(reads), ledger.appends) == (1, 2)


async def test_a_version_that_left_long_ago_is_dropped():
    """A record grows for ever, or lacks a version that has come back."""
    ledger = ledgers.MemoryLedger()
    host = Host("a", ledger)
    host.record.update({"s": {"v1"}})
    await asyncio.sleep(1.0)
    host.record.update({"s": {"v2"}})
    await asyncio.sleep(version_record.KEEP_S - 1.0)
    host.record.drop_expired()
    await asyncio.sleep(2.0)
    assert await kept(ledger) == {"v1", "v2"}
    host.record.drop_expired()
    host.record.update({"s": {"v1", "v2"}})
    await asyncio.sleep(1.0)
    assert await kept(ledger) == {"v1", "v2"}
    host.record.update({"s": {"v2"}})
    await asyncio.sleep(version_record.KEEP_S + 1.0)
    host.record.drop_expired()
    await asyncio.sleep(1.0)
    assert await kept(ledger) == {"v2"}


async def test_a_new_coordinator_reads_what_was_dropped():
    """A version that came back stays missing after its host was lost."""
    ledger = ledgers.MemoryLedger()
    hosts = [Host(name, ledger, ["a"]) for name in "ab"]
    for host in hosts:
        host.record.update({"s": {"v1"}})
    await asyncio.sleep(20.0)
    key = version_record.Served("s", "v1").key
    await ledger.append(TOPIC, 0, [ledgers.LedgerRecord(key, b"")])
    hosts[1].coordinators = ["b"]
    hosts[1].record.on_elected("s")
    await asyncio.sleep(1.0)
    assert await kept(ledger) == {"v1"}


async def test_a_host_that_knows_no_other_records_nothing():
    """Hundreds of hosts that start each take themselves for the only one."""
    ledger = ledgers.MemoryLedger()
    host = Host("a", ledger)
    host.introduced = False
    host.record.update({"s": {"v1"}, "t": {"v1"}})
    await asyncio.sleep(1.0)
    assert (ledger.appends, host.record.earlier) == (0, None)
    host.introduced = True
    await asyncio.sleep(0.1)
    assert ledger.appends == 1


@pytest.mark.parametrize(
    ("running", "within_s", "expected"),
    [
        ({"b"}, 30.0, ("v1",)),
        # It may have started as late as this host.
        ({"a", "b"}, 30.0, None),
        ({"b"}, version_record.KEEP_S + 1.0, None),
    ],
)
async def test_what_a_record_tells_of_the_time_before(
    running, within_s, expected
):
    """A host believes what another wrote that knew as little as itself."""
    ledger = ledgers.MemoryLedger()
    for name in "ab":
        host = Host(name, ledger)
        host.record.update({"s": {"v1"}})
        await asyncio.sleep(1.0)
    host.running = running
    assert host.record.earlier_versions("s", within_s) == expected
    assert host.record.earlier_versions("other", within_s) is None


@pytest.mark.parametrize(
    "value",
    [b"{", b"\xff", b'{"service":"s","more":%s}' % (b"[" * 60_000)],
    ids=["cut off", "no text", "nested"],
)
async def test_an_invalid_record_is_left_out(value):
    """One record that cannot be read hides all others."""
    ledger = ledgers.MemoryLedger()
    await ledger.append(TOPIC, 0, [ledgers.LedgerRecord("x", value)])
    host = Host("a", ledger)
    host.record.update({"s" * 300: {"v1"}})
    await asyncio.sleep(1.0)
    assert host.record.missing() == []
    assert all(len(r.key) < 256 for r in (await ledger.newest(TOPIC)).records)


async def test_a_version_that_left_before_the_store_took_it_is_recorded():
    """A version that served while the store refused is never recorded."""
    ledger = ledgers.MemoryLedger()
    host = Host("a", ledger)
    host.record.update({"s": {"v1"}})
    await asyncio.sleep(1.0)
    ledger.refuse = 3
    host.record.update({"s": {"v1", "v2"}})
    await asyncio.sleep(0.2)
    host.record.update({"s": {"v1"}})
    await asyncio.sleep(30.0)
    assert await kept(ledger) == {"v1", "v2"}
    # It is kept from when it left, not from when it was recorded.
    await asyncio.sleep(version_record.KEEP_S - 25.0)
    host.record.drop_expired()
    await asyncio.sleep(1.0)
    assert await kept(ledger) == {"v1"}


async def test_a_version_that_leaves_as_it_is_written_is_dropped():
    """A record that was written late stays for ever."""
    ledger = ledgers.MemoryLedger()
    host = Host("a", ledger)
    host.record.update({"s": {"v1"}})
    await asyncio.sleep(1.0)
    append = ledger.append

    async def slow(*args, **more):
        await asyncio.sleep(0.5)
        await append(*args, **more)

    ledger.append = slow
    host.record.update({"s": {"v1", "v2"}})
    await asyncio.sleep(0.1)
    host.record.update({"s": {"v1"}})
    for _ in range(3):
        await asyncio.sleep(version_record.KEEP_S)
        host.record.drop_expired()
    await asyncio.sleep(5.0)
    assert await kept(ledger) == {"v1"}


async def test_a_new_coordinator_reads_until_the_store_answers():
    """A version that came back stays missing as one read has failed."""
    ledger = ledgers.MemoryLedger()
    hosts = [Host(name, ledger, ["a"]) for name in "ab"]
    for host in hosts:
        host.record.update({"s": {"v1"}})
    await asyncio.sleep(20.0)
    key = version_record.Served("s", "v1").key
    await ledger.append(TOPIC, 0, [ledgers.LedgerRecord(key, b"")])
    newest = ledger.newest

    async def refused(*args):
        ledger.newest = newest
        raise errors.LogRefused("busy", step="newest", peer="memory")

    ledger.newest = refused
    hosts[1].coordinators = ["b"]
    hosts[1].record.on_elected("s")
    await asyncio.sleep(30.0)
    assert await kept(ledger) == {"v1"}


@pytest.mark.parametrize("taken", [False, True])
async def test_a_drop_whose_answer_is_lost(taken):
    """A version that comes back is missing, or one that left stays."""
    ledger = ledgers.MemoryLedger()
    host = Host("a", ledger)
    host.record.update({"s": {"v1", "v2"}})
    await asyncio.sleep(1.0)
    append = ledger.append

    async def lost(*args):
        if taken:
            await append(*args)
        ledger.append = append
        raise errors.LogUnavailable("silent", step="append", peer="memory")

    ledger.append = lost
    host.record.update({"s": {"v1"}})
    await asyncio.sleep(version_record.KEEP_S + 1.0)
    host.record.drop_expired()
    await asyncio.sleep(1.0)
    v2 = version_record.Served("s", "v2")
    assert (v2 in host.record.recorded) == (not taken)
    host.record.update({"s": {"v1", "v2"}})
    await asyncio.sleep(20.0)
    assert await kept(ledger) == {"v1", "v2"}
    host.record.update({"s": {"v1"}})
    for _ in range(3):
        await asyncio.sleep(version_record.KEEP_S)
        host.record.drop_expired()
    await asyncio.sleep(1.0)
    assert await kept(ledger) == {"v1"}


@pytest.mark.parametrize("call", ["append", "newest"])
async def test_a_store_that_refuses_is_called_ever_more_seldom(call):
    """Hundreds of hosts call a store that refuses twice a second each."""
    ledger = ledgers.MemoryLedger()
    host = Host("a", ledger)
    calls = []

    async def refused(*args):
        calls.append(args)
        raise errors.LogRefused("busy", step=call, peer="memory")

    setattr(ledger, call, refused)
    host.record.update({"s": {"v1"}})
    await asyncio.sleep(60.0)
    assert 7 <= len(calls) <= 20
