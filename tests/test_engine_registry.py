"""Tests of the engine registry: restarts, outages and stray entries."""

import msgspec
import pytest

from camphortray import engine_registry

ENTRY = engine_registry.EngineEntry(
    "i-1", "s", "10.0.0.1:80", "z", 8, False, 1
)


def entry(**fields):
    """Return an entry that differs in some fields."""
    return msgspec.structs.replace(ENTRY, **fields)


def names(registry):
    """Return the ids of the engines that take new work."""
    return sorted(e.id for e in registry.usable("s"))


def test_a_draining_engine_gets_no_new_work():
    registry = engine_registry.EngineRegistry()
    assert registry.put(ENTRY)
    assert not registry.put(entry(sequence=2))
    assert registry.put(entry(sequence=3, draining=True))
    assert names(registry) == []


def test_a_late_entry_undoes_nothing():
    # Older entries may arrive after newer ones of the same engine. They
    # must not restore an engine that is draining or removed.
    registry = engine_registry.EngineRegistry()
    registry.put(entry(sequence=5, draining=True))
    registry.put(entry(sequence=4))
    assert names(registry) == []
    registry.put(entry(sequence=6))
    assert names(registry) == []
    registry.handle_missing("i-1", 10.0)
    assert not registry.put(entry(sequence=6))
    assert not registry.entries


def test_a_new_engine_replaces_the_one_at_its_address():
    registry = engine_registry.EngineRegistry()
    registry.put(ENTRY)
    registry.put(entry(id="i-2", sequence=1))
    assert names(registry) == ["i-2"]


@pytest.mark.parametrize(
    ("since_return_s", "gone_at_once"), [(0.5, False), (2.5, True)]
)
def test_an_entry_missing_right_after_an_outage_may_come_back(
    since_return_s, gone_at_once
):
    # During an outage engines cannot renew their entries. Without a grace
    # period all engines would be removed when the registry returns.
    registry = engine_registry.EngineRegistry()
    registry.put(ENTRY)
    registry.note_recovery(10.0)
    assert (
        registry.handle_missing("i-1", 10.0 + since_return_s) == gone_at_once
    )
    assert names(registry) == ([] if gone_at_once else ["i-1"])
    registry.drop_overdue(12.1)
    assert names(registry) == []


def test_an_entry_renewed_in_time_stays():
    registry = engine_registry.EngineRegistry()
    registry.put(ENTRY)
    registry.note_recovery(10.0)
    registry.handle_missing("i-1", 10.1)
    registry.put(entry(sequence=2))
    assert not registry.drop_overdue(12.1)
    assert names(registry) == ["i-1"]


def test_a_listing_removes_engines_that_it_lacks():
    registry = engine_registry.EngineRegistry()
    registry.put(ENTRY)
    other = entry(id="i-2", address="10.0.0.2:80")
    assert registry.replace_all([other], 100.0)
    assert names(registry) == ["i-2"]


def test_an_engine_marked_as_leaving_gets_no_new_work():
    registry = engine_registry.EngineRegistry()
    registry.put(ENTRY)
    assert registry.mark_draining("i-1")
    assert not registry.mark_draining("i-1")
    assert names(registry) == []


# Incarnations: an engine may restart under the same id.


def test_a_restarted_engine_with_the_same_id_takes_work_at_once():
    # A restarted engine keeps its id but its sequence starts anew. Ordered
    # by sequence alone, its entries would be ignored as out of date until
    # it had written as many as before.
    registry = engine_registry.EngineRegistry()
    registry.put(entry(born=1000, sequence=40, draining=True))
    assert registry.put(entry(born=2000, sequence=1))
    assert [e.name for e in registry.usable("s")] == ["i-1~2000"]
    assert registry.find("i-1~1000") is None


@pytest.mark.parametrize("removed", [False, True])
def test_entries_of_an_earlier_incarnation_are_ignored(removed):
    # An entry written before the restart may arrive after it, from the
    # registry or from a peer that lags behind.
    registry = engine_registry.EngineRegistry()
    registry.put(entry(born=2000, sequence=1, slots=4))
    if removed:
        registry.handle_missing("i-1", 100.0)
    assert not registry.put(entry(born=1000, sequence=99))
    assert [e.slots for e in registry.usable("s")] == ([] if removed else [4])


def test_a_restarted_engine_returns_after_its_id_was_removed():
    registry = engine_registry.EngineRegistry()
    registry.put(entry(born=1000, sequence=40))
    registry.handle_missing("i-1", 100.0)
    assert registry.put(entry(born=2000, sequence=1))
    assert names(registry) == ["i-1"]


def test_leaving_applies_to_one_incarnation_only():
    registry = engine_registry.EngineRegistry()
    registry.put(entry(born=1000, sequence=9))
    registry.put(entry(born=2000, sequence=1))
    assert not registry.mark_draining("i-1~1000")
    assert registry.mark_draining("i-1~2000")


def test_the_engine_started_last_owns_the_address():
    # Listings are sorted by id, not by start time.
    registry = engine_registry.EngineRegistry()
    old = entry(id="i-9", born=1000)
    new = entry(id="i-2", born=2000)
    registry.replace_all([new, old], 100.0)
    assert names(registry) == ["i-2"]
    registry.handle_missing("i-2", 100.0)
    assert names(registry) == ["i-9"]


# Entries written by something other than an engine.


def test_an_entry_for_an_unknown_service_replaces_no_engine():
    registry = engine_registry.EngineRegistry()
    registry.set_services({"s"})
    registry.put(ENTRY)
    registry.put(entry(id="x", service="nowhere", sequence=1))
    assert names(registry) == ["i-1"]
    assert registry.usable("nowhere") == []


def test_engines_of_an_added_service_become_usable():
    registry = engine_registry.EngineRegistry()
    registry.set_services({"other"})
    registry.put(ENTRY)
    assert names(registry) == []
    registry.set_services({"other", "s"})
    assert names(registry) == ["i-1"]


@pytest.mark.parametrize(
    ("born", "used"),
    [
        # Most report their start: entries without one are ignored.
        ((1000, 2000, 0), ["i-0", "i-1"]),
        ((1000, 0), ["i-0"]),
        # Older engines: all are used, also beside one that reports it.
        ((0, 0), ["i-0", "i-1"]),
        ((0, 0, 0, 1000), ["i-0", "i-1", "i-2", "i-3"]),
    ],
)
def test_entries_without_a_start_are_used_if_they_are_the_majority(born, used):
    registry = engine_registry.EngineRegistry()
    for number, start in enumerate(born):
        address = f"10.0.0.{number}:80"
        registry.put(entry(id=f"i-{number}", address=address, born=start))
    assert names(registry) == used


def test_an_overwritten_entry_is_restored_by_the_next_heartbeat():
    registry = engine_registry.EngineRegistry()
    registry.put(entry(born=1000, sequence=5))
    assert registry.handle_invalid("i-1")
    assert names(registry) == []
    assert not registry.handle_invalid("i-1")
    assert registry.put(entry(born=1000, sequence=6))
    assert names(registry) == ["i-1"]


@pytest.mark.parametrize("born", [0, 1700, 1800])
@pytest.mark.parametrize("draining", [False, True])
@pytest.mark.parametrize("first", ["engine", "other writer"])
def test_an_entry_of_an_unknown_service_keeps_no_engine_out(
    first, draining, born
):
    """Guards against engines out of use for good for one foreign entry."""
    registry = engine_registry.EngineRegistry()
    registry.set_services({"s"})
    if first == "engine":
        registry.put(entry(born=1700, sequence=5))
    foreign = entry(
        born=born, service="none", sequence=9_000, draining=draining
    )
    registry.put(foreign)
    # One without a start is older than any of an engine that tells its own.
    kept = first == "engine" and not born
    assert names(registry) == (["i-1"] if kept else [])
    if first == "engine":
        # One that was on its way does not restore the engine.
        assert not registry.put(entry(born=1700, sequence=5))
    assert registry.put(entry(born=1700, sequence=6)) != kept
    assert names(registry) == ["i-1"]
    assert not registry.put(entry(born=1700, sequence=7))
    assert names(registry) == ["i-1"]


# Order of entries: the registry's, not that of numbers that anyone can write.

OWN = entry(born=1700)
LARGE = 2**53


def stored(registry, *entries):
    """Store entries as records in a row; return the engines in use."""
    for found in entries:
        offset = 1 + max(
            [e.offset for e in registry.entries.values()]
            + [c.entry.offset for c in registry.contenders.values()]
            + [held.offset for held in registry.removed.values()]
            + [-1]
        )
        registry.put(msgspec.structs.replace(found, offset=offset))
    return [e.name for e in registry.usable("s")]


def beats(first, last, **fields):
    """Return heartbeats of the engine."""
    return [
        entry(**{"born": 1700, **fields}, sequence=n)
        for n in range(first, last + 1)
    ]


@pytest.mark.parametrize(
    ("fields", "needed"),
    [
        ({"sequence": 0}, 0),
        ({"sequence": 0, "draining": True}, 0),
        ({"born": 1600, "address": "10.0.0.9:80"}, 0),
        ({"sequence": LARGE}, 0),
        ({"sequence": LARGE, "address": "10.0.0.9:80"}, 0),
        ({"sequence": LARGE, "service": "t"}, 0),
        ({"sequence": LARGE, "address": "10.0.0.9:80", "draining": True}, 0),
        ({"sequence": LARGE, "service": "none"}, 1),
        ({"born": LARGE}, 2),
        ({"born": LARGE, "address": "10.0.0.9:80"}, 2),
        ({"born": LARGE, "draining": True}, 2),
        ({"sequence": LARGE, "draining": True}, 3),
    ],
    ids=str,
)
@pytest.mark.parametrize("first", ["engine", "other writer"])
def test_an_engine_is_back_after_few_heartbeats(first, fields, needed):
    """Guards against an engine kept out by a number that is too large."""
    registry = engine_registry.EngineRegistry()
    registry.set_services({"s", "t"})
    odd = msgspec.structs.replace(OWN, **fields)
    if first == "engine":
        stored(registry, *beats(1, 5))
        used = stored(registry, odd)
    else:
        used, needed = stored(registry, odd), None
    for count, beat in enumerate(beats(6, 9)):
        if needed is not None:
            assert (used == ["i-1~1700"]) == (count >= needed), count
        used = stored(registry, beat)
    assert used == ["i-1~1700"]
    assert registry.entries["i-1"].sequence == 9
    assert not registry.contenders


@pytest.mark.parametrize(
    "late",
    [beats(4, 4), beats(3, 4), beats(2, 2, born=1600)],
    ids=["one", "two", "earlier start"],
)
def test_entries_stored_behind_a_later_one_restore_no_engine(late):
    """Guards against requests to an engine that has said that it leaves."""
    registry = engine_registry.EngineRegistry()
    stored(registry, *beats(1, 2), *beats(5, 5, draining=True))
    assert stored(registry, *late) == []
    assert stored(registry, *beats(6, 6, draining=True), *late) == []
    registry.handle_missing("i-1", 100.0, 99)
    assert not registry.put(entry(born=1700, sequence=9, offset=99))
    assert not registry.entries


@pytest.mark.parametrize("how", ["removed", "overwritten", "not listed"])
def test_an_entry_stored_behind_a_removal_restores_no_engine(how):
    """Guards against requests to an engine that has left."""
    registry = engine_registry.EngineRegistry()
    stored(registry, *beats(1, 5))
    if how == "removed":
        registry.handle_missing("i-1", 100.0, 6)
    elif how == "overwritten":
        registry.handle_invalid("i-1", 6)
    else:
        registry.replace_all([], 100.0, 6)
    late = entry(born=1700, sequence=5, offset=7)
    assert not registry.put(late)
    assert not registry.put(late)
    assert not registry.put(entry(born=1700, sequence=6, offset=6))
    assert not registry.put(
        entry(born=1700, sequence=4, offset=8), from_peer=True
    )
    assert names(registry) == []
    # The engine itself is there.
    assert registry.put(entry(born=1700, sequence=6, offset=8))
    assert names(registry) == ["i-1"]
    assert not registry.contenders


def test_an_engine_is_back_after_another_writers_entry_was_removed():
    """Guards against a removed entry whose number no heartbeat reaches."""
    registry = engine_registry.EngineRegistry()
    stored(registry, entry(born=LARGE))
    registry.handle_invalid("i-1", 2)
    assert stored(registry, *beats(6, 6)) == []
    assert stored(registry, *beats(7, 7)) == ["i-1~1700"]


def test_an_engine_whose_clock_went_back_is_used():
    """Guards against a restarted engine that seems older than before."""
    registry = engine_registry.EngineRegistry()
    stored(registry, *beats(1, 9, born=1800))
    assert stored(registry, *beats(1, 1)) == ["i-1~1800"]
    assert stored(registry, *beats(2, 2)) == ["i-1~1700"]


@pytest.mark.parametrize(
    ("held", "told", "used"),
    [
        # A peer that has read on.
        ({"sequence": LARGE, "offset": 6}, {"sequence": 7, "offset": 8}, 7),
        ({"sequence": 7, "offset": 8}, {"sequence": LARGE, "offset": 6}, 7),
        ({"sequence": 7, "offset": 8}, {"sequence": 8, "offset": 9}, 8),
        # One of the release before tells no offset.
        ({"sequence": 7, "offset": 8}, {"sequence": 6}, 7),
        ({"sequence": 7, "offset": 8}, {"sequence": 8}, 8),
    ],
    ids=str,
)
def test_what_a_peer_tells_is_ordered_like_the_registry(held, told, used):
    """Guards against a host out of touch that keeps another writer's entry."""
    registry = engine_registry.EngineRegistry()
    registry.put(entry(born=1700, **held))
    registry.put(entry(born=1700, **told), from_peer=True)
    assert registry.entries["i-1"].sequence == used


def test_a_peer_that_lags_undoes_no_numbers_of_another():
    """Guards against an offset that is older than the numbers beside it."""
    registry = engine_registry.EngineRegistry()
    registry.put(entry(born=1700, sequence=7, offset=8))
    registry.renew((100,))
    assert registry.sequences == (100,)
    lags = entry(born=1700, sequence=50, offset=60, draining=True)
    assert not registry.put(lags, from_peer=True)
    assert names(registry) == ["i-1"]
    # The registry's own records are the newest again.
    assert registry.put(entry(born=1700, sequence=101, offset=120)) is False
    assert registry.sequences == (101,)


# Copies of an engine's entry under other ids.


def copy(**fields):
    """Return a copy of the engine's entry."""
    fields = {"id": "x", "sequence": LARGE, **fields}
    return msgspec.structs.replace(OWN, **fields)


def test_a_copy_takes_no_engine_out():
    """Guards against an engine hidden by a copy of its entry."""
    registry = engine_registry.EngineRegistry()
    registry.put(OWN)
    assert not registry.put(copy()) or names(registry) == ["i-1"]
    assert names(registry) == ["i-1"]


@pytest.mark.parametrize(
    "claims",
    [
        [copy(), OWN],
        [OWN, copy(born=1701)],
        [OWN, copy(born=LARGE)],
        [OWN, copy(born=LARGE, address="10.0.0.1:0080")],
        [OWN, copy(born=1701), copy(id="y", born=1702)],
    ],
    ids=range(5),
)
def test_the_engine_at_an_address_says_whose_it_is(claims):
    """Guards against requests that an engine refuses as another's."""
    registry = engine_registry.EngineRegistry()
    registry.set_services({"s", "t"})
    for claim in claims:
        registry.put(claim)
    for _ in claims[1:]:
        (valid,) = registry.current().values()
        assert valid.id != "i-1"
        assert registry.refute(valid.name)
    assert names(registry) == ["i-1"]
    # Nobody else claims its address.
    assert not registry.refute("i-1~1700")
    assert names(registry) == ["i-1"]


@pytest.mark.parametrize(
    "fields", [{"draining": True}, {"service": "t"}, {"service": "none"}]
)
def test_a_claim_that_takes_no_requests_hides_no_engine(fields):
    """Guards against an engine hidden by what no request can refute."""
    registry = engine_registry.EngineRegistry()
    registry.set_services({"s", "t"})
    registry.put(OWN)
    registry.put(copy(born=LARGE, **fields))
    assert names(registry) == ["i-1"]


def test_hosts_may_differ_in_which_claim_is_valid():
    """Guards against slots that no other host can use."""
    registry = engine_registry.EngineRegistry()
    registry.replace_all([copy(), OWN], 0.0)
    assert names(registry) == ["x"]
    assert registry.find(OWN.name) == OWN
    registry.refute(copy().name)
    assert registry.find(copy().name) is None
    assert names(registry) == ["i-1"]


def test_an_engine_at_a_reused_address_is_used_after_a_refusal():
    """Guards against an entry that is left out for good."""
    registry = engine_registry.EngineRegistry()
    registry.put(OWN)
    assert not registry.refute(OWN.name)
    registry.put(entry(id="i-2", born=1800))
    assert names(registry) == ["i-2"]
    assert registry.refute("i-2~1800")
    registry.handle_missing("i-2", 100.0)
    registry.put(entry(id="i-2", born=1900))
    assert names(registry) == ["i-2"]
