"""Engines and configuration in force while the ledger is away."""

import asyncio

import msgspec
import pytest

from camphortray import active_config
from camphortray import config as configs
from camphortray import engine_registry
from camphortray import ledger
from camphortray import routemap
from tests import test_engine_registry

ENTRY = test_engine_registry.ENTRY


class Clock:
    """A clock moved by hand."""

    now = 100.0

    def monotonic(self):
        return self.now


def held():
    """Return what is in force on a host that has lost the ledger."""
    part = active_config.ActiveConfig.__new__(active_config.ActiveConfig)
    part.clock = Clock()
    part.engines = engine_registry.EngineRegistry()
    part.reached_at = 90.0
    part.peer_reached_at = -1.0
    part.was_away = True
    part.listed = True
    part.engine_listeners = []
    part.record = ledger.LedgerRecord("", b"")
    part.engines.put(ENTRY)
    return part


@pytest.mark.parametrize(
    ("peer_reached", "stays"), [(False, True), (True, False)]
)
def test_a_removal_counts_at_once_where_only_this_host_was_cut_off(
    peer_reached, stays
):
    # This host was cut from the ledger while its peers were not. What it
    # reads on its return is the removal of an engine that has left; held
    # for a lapse of an outage, the engine got requests for two seconds
    # more than it may.
    part = held()
    if peer_reached:
        part.take_answer(active_config.ActiveConfigAnswer(fresh=True))
    part.reached()
    part.engines.handle_missing("i-1", part.clock.now)
    assert bool(part.engines.usable("s")) == stays


def test_an_engine_named_by_a_peer_that_is_behind_changes_nothing():
    part = held()
    part.engines.handle_missing("i-1", 99.0)
    assert not part.engines.usable("s")
    part.take_answer(active_config.ActiveConfigAnswer(engines=(ENTRY,)))
    assert not part.engines.usable("s")


@pytest.mark.parametrize("bound_s", [0.5, 2.0, 4.0, 9.0, 60.0])
def test_reads_follow_from_the_times_in_which_changes_must_be_known(bound_s):
    config = configs.LedgerConfig(
        "10.0.0.1:1", configuration_s=bound_s, engines_s=bound_s
    )
    wait_s, every_s = active_config.paces(config)
    # Two reads and more fit into each bound, one of them lost.
    assert 0 < 2 * wait_s < bound_s
    assert 0 < 4 * every_s <= bound_s


def engines_of(count):
    """Return entries of so many engines."""
    return [
        msgspec.structs.replace(
            ENTRY, id=f"i-{n}", address=f"10.0.0.{n + 1}:80"
        )
        for n in range(count)
    ]


def answered(asking, answering):
    """Return what a peer answers to a host that asks it."""
    asking.view = answering.view = routemap.EMPTY_CONFIGURATION
    ask = active_config.ActiveConfigAsk(0, asking.engines_digest)
    return asyncio.run(answering.answer(None, ask))


@pytest.mark.parametrize(
    ("differ", "sent"),
    [
        ("nothing", 0),
        ("sequence", 0),
        ("draining", 3),
        ("another engine", 4),
        ("restarted", 3),
        ("missing", 3),
        ("not listed", 3),
    ],
)
def test_a_peer_sends_the_engines_only_to_a_host_that_lacks_some(differ, sent):
    """Guards against listings of all engines sent again and again."""
    asking, answering = held(), held()
    answering.reached_at = answering.clock.now
    first, *others = engines_of(3)
    for part in (asking, answering):
        part.engines.replace_all([first, *others], 0.0)
    if differ == "sequence":
        newer = msgspec.structs.replace(first, sequence=first.sequence + 1)
        answering.engines.put(newer)
    elif differ == "draining":
        answering.engines.mark_draining(first.name)
    elif differ == "another engine":
        answering.engines.put(engines_of(4)[3])
    elif differ == "restarted":
        newer = msgspec.structs.replace(first, born=first.born + 1)
        answering.engines.put(newer)
    elif differ == "missing":
        asking.engines.note_recovery(asking.clock.now)
        asking.engines.handle_missing(first.id, asking.clock.now)
    elif differ == "not listed":
        asking.listed = False
    reply = answered(asking, answering)
    assert len(reply.engines) == sent
    assert reply.fresh
    asking.take_answer(reply)
    assert asking.peer_reached_at == asking.clock.now
    assert not answered(asking, answering).engines


def test_an_engine_that_a_peer_lists_is_kept_after_an_outage():
    """Guards against an engine dropped as a listing left it out."""
    asking, answering = held(), held()
    for part in (asking, answering):
        part.engines.replace_all(engines_of(3), 0.0)
    asking.engines.note_recovery(asking.clock.now)
    asking.engines.handle_missing("i-0", asking.clock.now)
    asking.take_answer(answered(asking, answering))
    assert not asking.engines.drop_overdue(asking.clock.now + 60.0)


def test_an_engine_that_left_does_not_come_back_by_a_lagging_peer():
    """Guards against a version of a removed engine that is too old."""
    asking, fresh = held(), held()
    fresh.reached_at = fresh.clock.now
    first, *others = engines_of(3)
    for part in (asking, fresh):
        part.engines.replace_all([first, *others], 0.0)
    # The engine goes on for 100 heartbeats, which the fresh peer reads.
    newest = msgspec.structs.replace(first, sequence=first.sequence + 100)
    fresh.engines.put(newest)
    asking.take_answer(answered(asking, fresh))
    # It ends; the host that is cut off hears so.
    fresh.engines.handle_missing(first.id, fresh.clock.now)
    asking.take_answer(answered(asking, fresh))
    assert first.id not in asking.engines.entries
    # A peer that has lost the store meanwhile tells an entry between.
    between = msgspec.structs.replace(first, sequence=first.sequence + 50)
    late = active_config.ActiveConfigAnswer(
        engines=(between, *others), fresh=False
    )
    asking.take_answer(late)
    assert first.id not in asking.engines.entries


def test_sequences_of_other_engines_than_those_held_change_nothing():
    """Guards against an answer that comes after the engines have changed."""
    asking, answering = held(), held()
    for part in (asking, answering):
        part.engines.replace_all(engines_of(3), 0.0)
    reply = answered(asking, answering)
    reply = msgspec.structs.replace(reply, sequences=(9, 9, 9))
    asking.engines.mark_draining(engines_of(3)[0].name)
    asking.take_answer(reply)
    assert asking.engines.sequences == (1, 1, 1)


class PagedLedger(ledger.MemoryLedger):
    """A ledger whose answers hold two records at most."""

    async def read(self, topic, part, offset, wait_s=0.0):
        page = await super().read(topic, part, offset, wait_s)
        return ledger.LedgerPage(page.end, page.records[:2])


@pytest.mark.parametrize("count", [0, 1, 2, 3, 4, 7])
async def test_no_record_is_skipped_that_an_answer_does_not_hold(count):
    """Guards against hosts that stay at an older version or engine."""
    part = held()
    part.ledger = PagedLedger(1)
    part.configuration_wait_s = 0.0
    versions, engines = [], []
    part.take_record = lambda record: versions.append(record.offset)
    part.take_entry = lambda record: engines.append(record.offset)
    at = [
        await part.read_configuration(-1),
        await part.read_engines(await part.read_engines(-1)),
    ]
    for topic in (ledger.Topic.CONFIGURATION, ledger.Topic.ENGINES):
        records = [ledger.LedgerRecord(f"k{n}", b"{}") for n in range(count)]
        if records:
            await part.ledger.append(topic, 0, records)
    for _ in range(count):
        at[0] = await part.read_configuration(at[0])
    at[1] = await part.read_engines(at[1])
    assert versions == engines == list(range(count))
    assert at == [count, count]
