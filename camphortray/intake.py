"""Reads the lines of a job as they come and checks each."""

__all__ = ["LineReader", "check_line"]

from collections.abc import Iterator
from typing import Any

import msgspec

from camphortray import errors

# Largest item, in bytes.
MAX_ITEM_BYTES = 262_144


def check_line(line: bytes, number: int) -> bytes:
    """Return an item's body if the line is one.

    Args:
      line: One line without its end.
      number: Line number from 1, for the refusal.

    Raises:
      Refused: with the line number.
    """
    if len(line) > MAX_ITEM_BYTES:
        raise bad_line(number, f"longer than {MAX_ITEM_BYTES} bytes")
    try:
        data: Any = msgspec.json.decode(line)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise bad_line(number, str(error)) from error
    if not isinstance(data, dict):
        raise bad_line(number, "not a JSON object")
    return line


def bad_line(number: int, reason: str) -> errors.Refused:
    """Return the refusal of a whole job for one line."""
    return errors.Refused(
        400, "bad_line", f"line {number}: {reason}", field=f"line {number}"
    )


class LineReader:
    """Splits bytes into lines; blank lines are passed over.

    >>> reader = LineReader()
    >>> [item for _, item in reader.feed(b'{"a":1}\\n{"b"')]
    [b'{"a":1}']
    >>> [item for _, item in reader.feed(b':2}', last=True)]
    [b'{"b":2}']
    """

    def __init__(self) -> None:
        self.rest = b""
        self.number = 0

    def feed(
        self, data: bytes, last: bool = False
    ) -> Iterator[tuple[int, bytes]]:
        """Yield line number and item for each line now whole.

        Raises:
          Refused: a line is no item.
        """
        lines = (self.rest + data).split(b"\n")
        self.rest = b"" if last else lines.pop()
        if len(self.rest) > MAX_ITEM_BYTES:
            raise bad_line(self.number + 1, "too long")
        for line in lines:
            self.number += 1
            line = line.strip()
            if line:
                yield self.number, check_line(line, self.number)
