"""Tests of invalid registry entries: decoding and reporting."""

import json

from camphortray_platform import config_decoder
import hypothesis
from hypothesis import strategies
import pytest

from camphortray import engine_registry
from camphortray import errors
from camphortray import invalid_entries
from camphortray import ledger
from tests import test_active_config

DIALECT = config_decoder.PlatformDialect()
VALID = {
    "service": "s",
    "address": "10.0.0.1:80",
    "zone": "z",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "sequence": 1,
    "born": 1_700_000_000_000,
}
MISSING = object()


def raw(**fields):
    """Return a valid entry with some fields changed, encoded."""
    changed = {**VALID, **fields}
    kept = {k: v for k, v in changed.items() if v is not MISSING}
    return json.dumps(kept).encode()


def test_a_valid_entry_is_decoded_with_its_incarnation():
    entry = DIALECT.engine("i-1", raw(coldLeftMs=5, models=[{"a": [1]}]))
    assert entry.name == "i-1~1700000000000"
    assert not entry.draining


def test_an_entry_without_a_start_time_is_decoded():
    assert DIALECT.engine("i-1", raw(born=MISSING)).name == "i-1"


@pytest.mark.parametrize("version", ["", "v1.1"])
def test_an_entry_may_tell_no_version(version):
    entry = DIALECT.engine("i-1", raw(version=version))
    assert entry.version == version


BAD_FIELDS = [
    *({name: MISSING} for name in VALID if name != "born"),
    *({name: None} for name in VALID),
    *({name: [1]} for name in VALID),
    {"service": 3},
    {"address": "nowhere"},
    {"address": "engine.example:80"},
    {"address": "10.0.0.256:80"},
    {"address": "10.0.0.1:0"},
    {"address": "10.0.0.1:70000"},
    {"slots": True},
    {"slots": "8"},
    {"slots": 7.5},
    {"slots": 0},
    {"slots": -8},
    {"slots": engine_registry.MAX_SLOTS + 1},
    {"slots": 10**30},
    {"state": "leaving"},
    {"state": ""},
    {"sequence": -1},
    {"sequence": "1"},
    {"sequence": 10**30},
    {"born": "1700000000000"},
    {"born": 1.5},
    {"born": True},
    {"born": 0},
    {"born": -1},
    {"born": 10**30},
]


@pytest.mark.parametrize("fields", BAD_FIELDS, ids=str)
def test_an_entry_with_an_invalid_field_is_rejected(fields):
    with pytest.raises(errors.RecordError):
        DIALECT.engine("i-1", raw(**fields))


BAD_BYTES = [
    b"\xff\xfe\x00",
    b"{",
    b"[]",
    b"null",
    b"7",
    b'{"service": "\xff"}',
    b"[" * 60_000,
    b'{"service":"s","more":' + b"[" * 40_000 + b"]" * 40_000,
    raw(more="x" * 1_000_000),
]


@pytest.mark.parametrize("value", BAD_BYTES, ids=range(len(BAD_BYTES)))
def test_bytes_that_are_no_entry_are_rejected(value):
    with pytest.raises(errors.RecordError):
        DIALECT.engine("i-1", value)


def follower():
    """Return the active configuration of a host without engines."""
    part = test_active_config.held()
    part.dialect = DIALECT
    part.invalid_entries = invalid_entries.InvalidEntries()
    for name in list(part.engines.entries):
        part.engines.drop(name)
    return part


JSON = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats()
    | strategies.text(max_size=20),
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(strategies.text(max_size=8), inner)
    ),
    max_leaves=8,
)
CHANGED = strategies.dictionaries(
    strategies.sampled_from(sorted(VALID)), JSON, max_size=7
).map(lambda fields: json.dumps({**VALID, **fields}).encode())
VALUES = (
    strategies.binary(max_size=40)
    | CHANGED
    | JSON.map(lambda value: json.dumps(value).encode())
)


@hypothesis.settings(derandomize=True, max_examples=300, deadline=None)
@hypothesis.given(strategies.lists(VALUES, min_size=1, max_size=6))
def test_arbitrary_entries_neither_end_the_follower_nor_remove_engines(
    values,
):
    # Another writer puts garbage under its own keys. An exception would end
    # the follower, and the host would miss all later registry changes.
    part = follower()
    part.engines.set_services({"s"})
    valid = ledger.LedgerRecord("i-1", raw(address="10.0.0.9:80"))
    assert part.take_entry(valid)
    for number, value in enumerate(values):
        record = ledger.LedgerRecord(f"x-{number}", value)
        part.take_entry(record)
        part.entry_of(record)
    assert "i-1" in [e.id for e in part.engines.usable("s")]


def test_an_invalid_entry_is_reported_once_per_change():
    entries = invalid_entries.InvalidEntries()
    reported = [entries.add("x", v) for v in (b"a", b"a", b"b", b"b", b"a")]
    assert reported == [True, False, True, False, True]
    entries.discard("x")
    assert entries.add("x", b"a")


def test_the_number_of_remembered_keys_is_bounded():
    entries = invalid_entries.InvalidEntries()
    for number in range(3 * invalid_entries.MAX_KEYS):
        entries.add(f"x-{number}", b"")
    assert len(entries.hashes) == invalid_entries.MAX_KEYS
