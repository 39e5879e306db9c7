"""Reads JSON that others have written: callers, engines, the store.

The decoder raises RecursionError for values that are nested deeply and
UnicodeError for some that are no text. A reader that expects ``DecodeError``
alone would be ended by one odd record.
"""

__all__ = ["Reader", "read"]

from collections.abc import Iterator
import contextlib
from typing import Any
from typing import Generic
from typing import TypeVar

import msgspec

T = TypeVar("T")
Json = bytes | str | msgspec.Raw


@contextlib.contextmanager
def decode_errors() -> Iterator[None]:
    """Raise DecodeError for whatever a decoder raises."""
    try:
        yield
    except (RecursionError, UnicodeError) as error:
        raise msgspec.DecodeError(str(error)) from error


class Reader(Generic[T]):
    """Reads JSON of one type."""

    def __init__(self, kind: type[T]) -> None:
        self.decoder = msgspec.json.Decoder(kind)

    def read(self, data: Json) -> T:
        """Return what JSON holds.

        Raises:
          DecodeError: It is not JSON of that type.
        """
        with decode_errors():
            return self.decoder.decode(data)


def read(data: Json, kind: Any = Any) -> Any:
    """Return what JSON holds; errors as ``Reader.read``.

    >>> read(b'{"a": 1}')
    {'a': 1}
    """
    with decode_errors():
        return msgspec.json.decode(data, type=kind)
