"""Engines that come, leave, lapse and return under one address."""

import dataclasses

import pytest

from camphortray import enginebook

ENTRY = enginebook.EngineEntry("i-1", "s", "10.0.0.1:80", "z", 8, False, 1)


def entry(**fields):
    """Return an entry that differs in some fields."""
    return dataclasses.replace(ENTRY, **fields)


def names(book):
    """Return the names of what takes new work."""
    return sorted(e.name for e in book.usable("s"))


def test_an_entry_that_says_it_drains_gets_nothing_new():
    book = enginebook.EngineBook()
    assert book.put(ENTRY)
    assert not book.put(entry(sequence=2))
    assert book.put(entry(sequence=3, draining=True))
    assert names(book) == []


def test_a_late_entry_undoes_nothing():
    # Entries may arrive after later ones of the same engine: the engine
    # has said that it leaves, or has gone, and must not come back.
    book = enginebook.EngineBook()
    book.put(entry(sequence=5, draining=True))
    book.put(entry(sequence=4))
    assert names(book) == []
    book.put(entry(sequence=6))
    assert names(book) == []
    book.gone("i-1", 10.0)
    assert not book.put(entry(sequence=6))
    assert not book.entries


def test_a_new_engine_at_an_address_ends_the_one_before():
    book = enginebook.EngineBook()
    book.put(ENTRY)
    book.put(entry(name="i-2", sequence=1))
    assert names(book) == ["i-2"]


@pytest.mark.parametrize(
    ("since_return_s", "gone_at_once"), [(0.5, False), (2.5, True)]
)
def test_an_entry_missing_right_after_an_outage_may_come_back(
    since_return_s, gone_at_once
):
    # While the registry was away engines could not renew their entries.
    # Taken for gone, all engines would be lost at its return.
    book = enginebook.EngineBook()
    book.put(ENTRY)
    book.returned(10.0)
    assert book.gone("i-1", 10.0 + since_return_s) == gone_at_once
    assert names(book) == ([] if gone_at_once else ["i-1"])
    book.settle(12.1)
    assert names(book) == []


def test_an_entry_that_is_back_in_time_stays():
    book = enginebook.EngineBook()
    book.put(ENTRY)
    book.returned(10.0)
    book.gone("i-1", 10.1)
    book.put(entry(sequence=2))
    assert not book.settle(12.1)
    assert names(book) == ["i-1"]


def test_a_listing_drops_what_it_does_not_name():
    book = enginebook.EngineBook()
    book.put(ENTRY)
    other = entry(name="i-2", address="10.0.0.2:80")
    assert book.listing([other], 100.0)
    assert names(book) == ["i-2"]


def test_the_own_word_of_an_engine_counts_at_once():
    book = enginebook.EngineBook()
    book.put(ENTRY)
    assert book.leaving("i-1")
    assert not book.leaving("i-1")
    assert names(book) == []
