"""Engines that come, leave, lapse and return under one address."""

import dataclasses

import pytest

from camphortray import engine_registry

ENTRY = engine_registry.EngineEntry(
    "i-1", "s", "10.0.0.1:80", "z", 8, False, 1
)


def entry(**fields):
    """Return an entry that differs in some fields."""
    return dataclasses.replace(ENTRY, **fields)


def names(book):
    """Return the names of what takes new work."""
    return sorted(e.id for e in book.usable("s"))


def test_an_entry_that_says_it_drains_gets_nothing_new():
    book = engine_registry.EngineRegistry()
    assert book.put(ENTRY)
    assert not book.put(entry(sequence=2))
    assert book.put(entry(sequence=3, draining=True))
    assert names(book) == []


def test_a_late_entry_undoes_nothing():
    # Entries may arrive after later ones of the same engine: the engine
    # has said that it leaves, or has gone, and must not come back.
    book = engine_registry.EngineRegistry()
    book.put(entry(sequence=5, draining=True))
    book.put(entry(sequence=4))
    assert names(book) == []
    book.put(entry(sequence=6))
    assert names(book) == []
    book.gone("i-1", 10.0)
    assert not book.put(entry(sequence=6))
    assert not book.entries


def test_a_new_engine_at_an_address_ends_the_one_before():
    book = engine_registry.EngineRegistry()
    book.put(ENTRY)
    book.put(entry(id="i-2", sequence=1))
    assert names(book) == ["i-2"]


@pytest.mark.parametrize(
    ("since_return_s", "gone_at_once"), [(0.5, False), (2.5, True)]
)
def test_an_entry_missing_right_after_an_outage_may_come_back(
    since_return_s, gone_at_once
):
    # While the registry was away engines could not renew their entries.
    # Taken for gone, all engines would be lost at its return.
    book = engine_registry.EngineRegistry()
    book.put(ENTRY)
    book.returned(10.0)
    assert book.gone("i-1", 10.0 + since_return_s) == gone_at_once
    assert names(book) == ([] if gone_at_once else ["i-1"])
    book.settle(12.1)
    assert names(book) == []


def test_an_entry_that_is_back_in_time_stays():
    book = engine_registry.EngineRegistry()
    book.put(ENTRY)
    book.returned(10.0)
    book.gone("i-1", 10.1)
    book.put(entry(sequence=2))
    assert not book.settle(12.1)
    assert names(book) == ["i-1"]


def test_a_listing_drops_what_it_does_not_name():
    book = engine_registry.EngineRegistry()
    book.put(ENTRY)
    other = entry(id="i-2", address="10.0.0.2:80")
    assert book.listing([other], 100.0)
    assert names(book) == ["i-2"]


def test_the_own_word_of_an_engine_counts_at_once():
    book = engine_registry.EngineRegistry()
    book.put(ENTRY)
    assert book.leaving("i-1")
    assert not book.leaving("i-1")
    assert names(book) == []


# Lives: an engine may start again under the id that it had.


def test_a_new_life_under_the_same_id_takes_work_at_once():
    # The engine crashes and starts again under its id, its numbers anew.
    # Judged by the number alone its entries are late news for ever, and a
    # sound engine gets nothing until it has written as often as before.
    book = engine_registry.EngineRegistry()
    book.put(entry(born=1000, sequence=40, draining=True))
    assert book.put(entry(born=2000, sequence=1))
    assert [e.name for e in book.usable("s")] == ["i-1~2000"]
    assert book.find("i-1~1000") is None


@pytest.mark.parametrize("removed", [False, True])
def test_entries_of_a_life_that_is_over_change_nothing(removed):
    # An entry written before the restart reaches a host late, by the
    # registry or by a peer that is behind.
    book = engine_registry.EngineRegistry()
    book.put(entry(born=2000, sequence=1, slots=4))
    if removed:
        book.gone("i-1", 100.0)
    assert not book.put(entry(born=1000, sequence=99))
    assert [e.slots for e in book.usable("s")] == ([] if removed else [4])


def test_a_new_life_comes_back_after_its_id_was_removed():
    book = engine_registry.EngineRegistry()
    book.put(entry(born=1000, sequence=40))
    book.gone("i-1", 100.0)
    assert book.put(entry(born=2000, sequence=1))
    assert names(book) == ["i-1"]


def test_the_own_word_of_a_life_says_nothing_of_the_next():
    book = engine_registry.EngineRegistry()
    book.put(entry(born=1000, sequence=9))
    book.put(entry(born=2000, sequence=1))
    assert not book.leaving("i-1~1000")
    assert book.leaving("i-1~2000")


def test_the_engine_that_started_last_has_the_address():
    # Listings come in the order of ids, not of starts.
    book = engine_registry.EngineRegistry()
    old = entry(id="i-9", born=1000)
    new = entry(id="i-2", born=2000)
    book.listing([new, old], 100.0)
    assert names(book) == ["i-2"]
    book.gone("i-2", 100.0)
    assert names(book) == ["i-9"]


# Entries from another writer.


def test_an_entry_for_an_unknown_service_pushes_no_engine_out():
    book = engine_registry.EngineRegistry()
    book.set_services({"s"})
    book.put(ENTRY)
    book.put(entry(id="x", service="nowhere", sequence=1))
    assert names(book) == ["i-1"]
    assert book.usable("nowhere") == []


def test_a_service_that_is_added_brings_its_engines():
    book = engine_registry.EngineRegistry()
    book.set_services({"other"})
    book.put(ENTRY)
    assert names(book) == []
    book.set_services({"other", "s"})
    assert names(book) == ["i-1"]


@pytest.mark.parametrize(
    ("born", "used"),
    [
        # Engines tell their start: an entry without is no engine's.
        ((1000, 2000, 0), ["i-0", "i-1"]),
        ((1000, 0), ["i-0"]),
        # Engines of before: all count, and a stray one decides nothing.
        ((0, 0), ["i-0", "i-1"]),
        ((0, 0, 0, 1000), ["i-0", "i-1", "i-2", "i-3"]),
    ],
)
def test_entries_without_a_start_count_where_engines_tell_none(born, used):
    book = engine_registry.EngineRegistry()
    for number, start in enumerate(born):
        address = f"10.0.0.{number}:80"
        book.put(entry(id=f"i-{number}", address=address, born=start))
    assert names(book) == used


def test_an_entry_that_is_spoiled_is_back_with_the_engines_next_one():
    book = engine_registry.EngineRegistry()
    book.put(entry(born=1000, sequence=5))
    assert book.spoiled("i-1")
    assert names(book) == []
    assert not book.spoiled("i-1")
    assert book.put(entry(born=1000, sequence=6))
    assert names(book) == ["i-1"]
