"""Reads and checks the lines of a job while they are uploaded.

A line is one JSON object: a request body, or, if it has a ``body`` field, a
request as in OpenAI's batch files, whose ``custom_id``, ``method`` and ``url``
are optional.
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
from camphortray import json_reader

# Largest size of an item.
MAX_ITEM_BYTES = 262_144
# Length of the start of a prompt that two items must share to be run on the
# same upstream for its cache.
PREFIX_CHARS = 512


class Line(msgspec.Struct, frozen=True):
    """One line of a job.

    Attributes:
      body: Request body as JSON.
      custom_id: Id given by the caller, or empty.
      method, url: As in OpenAI's batch files, or empty.
    """

    body: msgspec.Raw
    custom_id: str = ""
    method: str = ""
    url: str = ""


class Body(msgspec.Struct, frozen=True):
    """Fields of a request body that are read here."""

    model: str = ""
    messages: tuple[Any, ...] = ()
    prompt: Any = ""


def parse_line(data: bytes) -> tuple[Line, Body]:
    """Decode a line and the fields read from its body.

    Raises:
      ValueError: The line is not a valid item; the text says why.
    """
    try:
        fields = json_reader.read(data, dict[str, msgspec.Raw])
        line = (
            json_reader.read(data, Line)
            if "body" in fields
            else Line(msgspec.Raw(data))
        )
        body = json_reader.read(line.body, Body)
    except msgspec.MsgspecError as error:
        raise ValueError(str(error)) from error
    return line, body


def prefix_of(body: Body) -> int:
    """Return a hash of the model and the start of the prompt.

    Of a chat request only the first message counts.
    """
    start: Any = body.prompt
    if body.messages:
        first = body.messages[0]
        start = first.get("content", "") if isinstance(first, dict) else first
    text = f"{body.model}\0{str(start)[:PREFIX_CHARS]}"
    return xxhash.xxh64_intdigest(text.encode())


class LineCheck:
    """Checks the lines of a job.

    Attributes:
      path: API path that each ``url`` must match, or empty for any.
    """

    def __init__(self, path: str = "") -> None:
        self.path = path

    def check(self, line: Line, body: Body, number: int) -> None:
        """Check one line.

        Raises:
          Refused: The line is not valid; the error has its number.
        """
        if line.method not in ("", "POST"):
            raise bad_line(number, f"method {line.method!r} is not POST")
        if self.path and line.url not in ("", self.path):
            raise bad_line(number, f"url {line.url!r} is not {self.path}")


class FileCheck(LineCheck):
    """Checks the lines of an input file, before a batch uses it.

    Attributes:
      path: API path of the first line, which the others must match.
      paths: API paths allowed.
      model: Model of the first line.
      seen: Hashes of the ``custom_id`` of all lines so far.
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
        id_hash = xxhash.xxh64_intdigest(line.custom_id.encode())
        if not line.custom_id or id_hash in self.seen:
            raise bad_line(number, "custom_id is missing or not unique")
        self.seen.add(id_hash)


def bad_line(number: int, reason: str) -> errors.Refused:
    """Return the refusal of a job or file with an invalid line."""
    return errors.Refused(
        400, "bad_line", f"line {number}: {reason}", field=f"line {number}"
    )


class LineReader:
    """Splits bytes into lines and checks them; skips blank lines.

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
        self.remainder = b""
        self.number = 0

    def feed(
        self, data: bytes, last: bool = False
    ) -> Iterator[tuple[int, bytes]]:
        """Yield number and text of each line that is now complete.

        Args:
          data: The next bytes.
          last: Whether no more bytes follow.

        Raises:
          Refused: A line is not a valid item; the error has its number.
        """
        lines = (self.remainder + data).split(b"\n")
        self.remainder = b"" if last else lines.pop()
        for line in lines:
            self.number += 1
            line = line.strip()
            if line:
                self.check_line(line)
                yield self.number, line
        if len(self.remainder) > self.limit:
            raise bad_line(self.number + 1, f"longer than {self.limit} bytes")

    def check_line(self, line: bytes) -> None:
        """Check the size, syntax and fields of one line."""
        if len(line) > self.limit:
            raise bad_line(self.number, f"longer than {self.limit} bytes")
        try:
            parsed, body = parse_line(line)
        except ValueError as error:
            raise bad_line(self.number, str(error)) from error
        self.check.check(parsed, body, self.number)
