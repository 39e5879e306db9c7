"""Finds the log lines that speak of one id, out of those of many hosts."""

__all__ = ["Line", "find", "format_line", "read_lines"]

from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses
import json
from typing import Any

# Fields that open each line shown, and so are not shown again.
OPENING = ("time", "host", "part", "level", "message")


@dataclasses.dataclass(frozen=True, slots=True)
class Line:
    """One log line.

    Attributes:
      time: As written; lines of one form sort by it.
      fields: All fields.
    """

    time: str
    fields: dict[str, Any]

    def names(self, wanted: str) -> bool:
        """Return whether the line speaks of an id."""
        return any(holds(value, wanted) for value in self.fields.values())


def holds(value: Any, wanted: str) -> bool:
    """Return whether a value is or holds a text."""
    if isinstance(value, str):
        return wanted in value
    if isinstance(value, dict):
        return any(holds(held, wanted) for held in value.values())
    if isinstance(value, list):
        return any(holds(held, wanted) for held in value)
    return False


def read_lines(source: Iterable[str]) -> Iterator[Line]:
    """Yield the JSON lines of a log; what stands before them is dropped.

    >>> [line.time for line in read_lines(['x 1 {"time": "t"}', "none"])]
    ['t']
    """
    for text in source:
        start = text.find("{")
        if start < 0:
            continue
        try:
            fields = json.loads(text[start:])
        except ValueError:
            continue
        if isinstance(fields, dict):
            yield Line(str(fields.get("time", "")), fields)


def find(lines: Iterable[Line], wanted: str) -> list[Line]:
    """Return the lines that speak of an id, in order of time."""
    found = [line for line in lines if line.names(wanted)]
    return sorted(found, key=lambda line: line.time)


def format_line(line: Line) -> str:
    """Return a line for people."""
    fields = line.fields
    rest = " ".join(
        f"{name}={value}"
        for name, value in fields.items()
        if name not in OPENING and value not in ("", [], {})
    )
    head = (
        f"{line.time} {fields.get('host', '?')}"
        f" {fields.get('part', '?')}: {fields.get('message', '')}"
    )
    return f"{head} [{rest}]" if rest else head
