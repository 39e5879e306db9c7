"""JSON that others have written."""

import pathlib
import re

import msgspec
import pytest

from camphortray import json_reader

DEEP = b"[" * 60_000 + b"]" * 60_000
ROOT = pathlib.Path(__file__).resolve().parents[1]


class Entry(msgspec.Struct):
    """A value with one field."""

    number: int = 0


@pytest.mark.parametrize(
    "data",
    [
        DEEP,
        b'{"number":1,"more":%s}' % DEEP,
        b'{"a":' * 60_000,
        b'{"number":%s}' % (b"9" * 5_000),
        b'{"number":1e400}',
        b'{"more":"\\ud800"}',
        b"{",
        b"",
    ],
    ids=range(8),
)
def test_whatever_is_wrong_with_json_is_one_error(data):
    """Guards against readers that an error of another kind ends."""
    with pytest.raises(msgspec.DecodeError):
        json_reader.Reader(Entry).read(data)
    with pytest.raises(msgspec.DecodeError):
        json_reader.read(data, Entry)


def test_json_of_others_is_read_in_one_place():
    """Guards against a reader that catches one kind of error alone."""
    pattern = re.compile(r"msgspec\.json\.(decode|Decoder)\(")
    found = {
        path.name
        for folder in ("camphortray", "platform")
        for path in (ROOT / folder).rglob("*.py")
        if pattern.search(path.read_text())
    }
    # The other one reads files that this program has written.
    assert found == {"json_reader.py", "loadresult.py"}
