"""Takes apart a form with a file while it comes.

The standard library reads such a form only whole, and an input file may
be larger than the memory a host may use.
"""

__all__ = ["Data", "Form", "Part"]

from collections.abc import Iterator
import dataclasses
import email.message
import email.parser
import email.policy

from camphortray import errors

MAX_HEAD_BYTES = 16_384


@dataclasses.dataclass(frozen=True, slots=True)
class Part:
    """The head of a part."""

    name: str
    filename: str


@dataclasses.dataclass(frozen=True, slots=True)
class Data:
    """Bytes of the part whose head came last."""

    body: bytes


class Form:
    """Splits the bytes of a form into heads and data.

    >>> form = Form.from_content_type('multipart/form-data; boundary="x"')
    >>> head = b'--x\\r\\nContent-Disposition: form-data; name="a"\\r\\n\\r\\n'
    >>> list(form.feed(head + b"1\\r\\n--x--"))
    [Part(name='a', filename=''), Data(body=b'1')]
    """

    def __init__(self, boundary: str) -> None:
        self.mark = b"\r\n--" + boundary.encode()
        # The first mark needs no line end before it.
        self.rest = b"\r\n"
        self.in_head = False
        self.in_part = False
        self.ended = False

    @classmethod
    def from_content_type(cls, text: str) -> "Form":
        """Build for a content type.

        Raises:
          Refused: it is no form.
        """
        message = email.message.Message()
        message["content-type"] = text
        boundary = message.get_param("boundary")
        if message.get_content_type() != "multipart/form-data" or not boundary:
            raise bad("a multipart/form-data body is needed")
        return cls(str(boundary))

    def feed(self, data: bytes) -> Iterator[Part | Data]:
        """Yield what the bytes complete.

        Raises:
          Refused: they are no form.
        """
        self.rest += data
        while not self.ended:
            event = self.head() if self.in_head else self.body()
            if event is None:
                return
            if isinstance(event, Part) or event.body:
                yield event

    def head(self) -> Part | None:
        """Take what follows a mark, once it is there."""
        if self.rest.startswith(b"--"):
            self.ended = True
            return None
        end = self.rest.find(b"\r\n\r\n")
        if end < 0:
            if len(self.rest) > MAX_HEAD_BYTES:
                raise bad("a part's head is too long")
            return None
        raw, self.rest = self.rest[: end + 4], self.rest[end + 4 :]
        parser = email.parser.BytesParser(policy=email.policy.HTTP)
        fields = parser.parsebytes(raw.lstrip(b"\r\n"), headersonly=True)
        name = fields.get_param("name", header="content-disposition")
        self.in_head, self.in_part = False, True
        return Part(str(name or ""), fields.get_filename() or "")

    def body(self) -> Data | None:
        """Take the bytes up to the next mark, or those before one."""
        end = self.rest.find(self.mark)
        if end >= 0:
            found = Data(self.rest[:end] if self.in_part else b"")
            self.rest = self.rest[end + len(self.mark) :]
            self.in_head, self.in_part = True, False
            return found
        safe = len(self.rest) - len(self.mark)
        if safe <= 0:
            return None
        found = Data(self.rest[:safe] if self.in_part else b"")
        self.rest = self.rest[safe:]
        return found


def bad(reason: str) -> errors.Refused:
    """Return the refusal of a form."""
    return errors.Refused(400, "bad_form", reason, field="(body)")
