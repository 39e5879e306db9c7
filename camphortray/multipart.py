"""Parses a multipart/form-data body incrementally.

The standard library parses such a body only as a whole, and an input file
may be larger than the memory that a host may use.
"""

__all__ = ["Data", "Form", "Part"]

from collections.abc import Iterator
import dataclasses
import email.message
import email.parser
import email.policy

from camphortray import errors

MAX_PART_HEADERS_BYTES = 16_384


@dataclasses.dataclass(frozen=True, slots=True)
class Part:
    """The start of a part, from its headers.

    Attributes:
      name: Name of the field.
      filename: Name of the file, or an empty string.
    """

    name: str
    filename: str


@dataclasses.dataclass(frozen=True, slots=True)
class Data:
    """Bytes of the body of the latest part."""

    body: bytes


class Form:
    """Incremental parser that splits a form into parts and their data.

    >>> form = Form.from_content_type('multipart/form-data; boundary="x"')
    >>> head = b'--x\\r\\nContent-Disposition: form-data; name="a"\\r\\n\\r\\n'
    >>> list(form.feed(head + b"1\\r\\n--x--"))
    [Part(name='a', filename=''), Data(body=b'1')]
    """

    def __init__(self, boundary: str) -> None:
        self.delimiter = b"\r\n--" + boundary.encode()
        # The first delimiter has no line end before it in the body.
        self.buffer = b"\r\n"
        self.in_headers = False
        self.in_part = False
        self.ended = False

    @classmethod
    def from_content_type(cls, text: str) -> "Form":
        """Create a parser for the content type of a request.

        Raises:
          Refused: it is not multipart/form-data with a boundary.
        """
        message = email.message.Message()
        message["content-type"] = text
        boundary = message.get_param("boundary")
        if message.get_content_type() != "multipart/form-data" or not boundary:
            raise bad_form("a multipart/form-data body is needed")
        return cls(str(boundary))

    def feed(self, data: bytes) -> Iterator[Part | Data]:
        """Yield the parts and data that can be parsed after these bytes.

        Raises:
          Refused: the headers of a part are too long.
        """
        self.buffer += data
        while not self.ended:
            event = (
                self.parse_headers() if self.in_headers else self.parse_body()
            )
            if event is None:
                return
            if isinstance(event, Part) or event.body:
                yield event

    def parse_headers(self) -> Part | None:
        """Parse the headers or form end after a delimiter, once complete."""
        if self.buffer.startswith(b"--"):
            self.ended = True
            return None
        end = self.buffer.find(b"\r\n\r\n")
        if end < 0:
            if len(self.buffer) > MAX_PART_HEADERS_BYTES:
                raise bad_form("a part's head is too long")
            return None
        raw, self.buffer = self.buffer[: end + 4], self.buffer[end + 4 :]
        parser = email.parser.BytesParser(policy=email.policy.HTTP)
        fields = parser.parsebytes(raw.lstrip(b"\r\n"), headersonly=True)
        name = fields.get_param("name", header="content-disposition")
        self.in_headers, self.in_part = False, True
        return Part(str(name or ""), fields.get_filename() or "")

    def parse_body(self) -> Data | None:
        """Return the data before the next delimiter.

        Bytes at the end that may begin a delimiter stay in the buffer.
        """
        end = self.buffer.find(self.delimiter)
        if end >= 0:
            found = Data(self.buffer[:end] if self.in_part else b"")
            self.buffer = self.buffer[end + len(self.delimiter) :]
            self.in_headers, self.in_part = True, False
            return found
        safe = len(self.buffer) - len(self.delimiter)
        if safe <= 0:
            return None
        found = Data(self.buffer[:safe] if self.in_part else b"")
        self.buffer = self.buffer[safe:]
        return found


def bad_form(reason: str) -> errors.Refused:
    """Return the refusal of a malformed form."""
    return errors.Refused(400, "bad_form", reason, field="(body)")
