"""Reads the lines of a job as they come and checks each.

A line is one JSON object: either the body of a request as it stands, or
``{"body": {...}}``, to which ``custom_id``, ``method`` and ``url`` may be
added as in OpenAI's batch files. An object with a ``body`` is the second.
"""

__all__ = [
    "FileCheck",
    "Line",
    "LineCheck",
    "LineReader",
    "parse_line",
    "prefix_of",
]

from collections.abc import Iterator
from typing import Any

import msgspec
import xxhash

from camphortray import errors

# Largest item, in bytes.
MAX_ITEM_BYTES = 262_144
# Characters of a prompt that say whether an engine's cache may serve it.
PREFIX_CHARS = 512


class Line(msgspec.Struct, frozen=True):
    """One line of a job.

    Attributes:
      body: JSON of the request's body.
      custom_id: The caller's own id, or empty.
      method, url: As in OpenAI's batch files, or empty.
    """

    body: msgspec.Raw
    custom_id: str = ""
    method: str = ""
    url: str = ""


class Body(msgspec.Struct, frozen=True):
    """What is looked at in the body of a request."""

    model: str = ""
    messages: tuple[Any, ...] = ()
    prompt: Any = ""


def parse_line(data: bytes) -> tuple[Line, Body]:
    """Return a line and what its body says.

    Raises:
      ValueError: it is no item; the text says why.
    """
    try:
        fields = msgspec.json.decode(data, type=dict[str, msgspec.Raw])
        line = (
            msgspec.json.decode(data, type=Line)
            if "body" in fields
            else Line(msgspec.Raw(data))
        )
        body = msgspec.json.decode(line.body, type=Body)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise ValueError(str(error)) from error
    return line, body


def prefix_of(body: Body) -> int:
    """Return a hash of the model and the start of the prompt."""
    start: Any = body.prompt
    if body.messages:
        first = body.messages[0]
        start = first.get("content", "") if isinstance(first, dict) else first
    text = f"{body.model}\0{str(start)[:PREFIX_CHARS]}"
    return xxhash.xxh64_intdigest(text.encode())


class LineCheck:
    """Checks the lines of a job.

    Attributes:
      path: Interface of the job, to which ``url`` must agree.
    """

    def __init__(self, path: str = "") -> None:
        self.path = path

    def check(self, line: Line, body: Body, number: int) -> None:
        """Check one line.

        Raises:
          Refused: with the line number.
        """
        if line.method not in ("", "POST"):
            raise bad_line(number, f"method {line.method!r} is not POST")
        if self.path and line.url not in ("", self.path):
            raise bad_line(number, f"url {line.url!r} is not {self.path}")


class FileCheck(LineCheck):
    """Checks the lines of an input file, before its batch is known.

    Attributes:
      path: Taken from the first line; the others must agree.
      model: Of the first line.
    """

    def __init__(self, paths: tuple[str, ...]) -> None:
        super().__init__()
        self.paths = paths
        self.model = ""
        self.seen: set[int] = set()

    def check(self, line: Line, body: Body, number: int) -> None:
        if not self.path:
            if line.url not in self.paths:
                allowed = ", ".join(self.paths)
                raise bad_line(number, f"url {line.url!r} is not {allowed}")
            self.path, self.model = line.url, body.model
        super().check(line, body, number)
        mark = xxhash.xxh64_intdigest(line.custom_id.encode())
        if not line.custom_id or mark in self.seen:
            raise bad_line(number, "custom_id is missing or not unique")
        self.seen.add(mark)


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

    def __init__(
        self, check: LineCheck | None = None, limit: int = MAX_ITEM_BYTES
    ) -> None:
        self.check = check or LineCheck()
        self.limit = limit
        self.rest = b""
        self.number = 0

    def feed(
        self, data: bytes, last: bool = False
    ) -> Iterator[tuple[int, bytes]]:
        """Yield line number and item for each line now whole.

        Raises:
          Refused: a line is no item; the error has its number.
        """
        lines = (self.rest + data).split(b"\n")
        self.rest = b"" if last else lines.pop()
        for line in lines:
            self.number += 1
            line = line.strip()
            if line:
                self.look(line)
                yield self.number, line
        if len(self.rest) > self.limit:
            raise bad_line(self.number + 1, f"longer than {self.limit} bytes")

    def look(self, line: bytes) -> None:
        """Check one line."""
        if len(line) > self.limit:
            raise bad_line(self.number, f"longer than {self.limit} bytes")
        try:
            parsed, body = parse_line(line)
        except ValueError as error:
            raise bad_line(self.number, str(error)) from error
        self.check.check(parsed, body, self.number)
