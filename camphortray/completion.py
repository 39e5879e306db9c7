"""Decodes and validates the request body of a completion."""

__all__ = ["Completion", "Message", "parse"]

import hashlib
import re
from typing import Annotated
from typing import Any

import msgspec

from camphortray import errors
from camphortray import json_reader

CHAT_PATH = "/v1/chat/completions"
# Matches the path of the invalid field in a msgspec error message, such as
# "... - at `$.n`".
FIELD_PATH = re.compile(r"(?P<what>.*) - at `\$\.?(?P<field>.*)`$", re.DOTALL)
MISSING_FIELD = re.compile(r"Object missing required field `(?P<field>\w+)`")
# Hexadecimal digits of the digest of a message.
DIGEST_LENGTH = 24

PositiveInt = Annotated[int, msgspec.Meta(ge=1)]
ChoiceCount = Annotated[int, msgspec.Meta(ge=1, le=128)]
BoundedFloat = Annotated[float, msgspec.Meta(ge=-1e6, le=1e6)]
NonEmptyText = Annotated[str, msgspec.Meta(min_length=1)]


class Message(msgspec.Struct):
    """One message of a chat."""

    role: NonEmptyText
    content: str | list[dict[str, Any]] | None = None

    def digest(self, model: str) -> str:
        """Return a digest of the message, for a model.

        It is cryptographic, as whoever could forge it might have another
        caller's message quarantined.
        """
        content = f"{model}\0{self.role}\0{self.content!r}"
        data = content.encode(errors="replace")
        return hashlib.sha256(data).hexdigest()[:DIGEST_LENGTH]


class StreamOptions(msgspec.Struct):
    """Options of a streamed answer."""

    include_usage: bool | None = None


class Completion(msgspec.Struct):
    """The validated fields of a request; others are forwarded unchecked.

    Attributes:
      model: Name of the model.
      messages: The chat; required on the chat path.
      prompt: Text or tokens; required on the completions path.
      stream: Whether the answer is streamed as events.
      max_tokens: Maximum length of the answer in tokens.
      n: Number of answers.
    """

    model: NonEmptyText
    messages: list[Message] | None = None
    prompt: str | list[str | int | list[int]] | None = None
    stream: bool | None = None
    max_tokens: PositiveInt | None = None
    max_completion_tokens: PositiveInt | None = None
    n: ChoiceCount | None = None
    temperature: BoundedFloat | None = None
    top_p: BoundedFloat | None = None
    stop: str | list[str] | None = None
    stream_options: StreamOptions | None = None

    @property
    def limit_tokens(self) -> int:
        """Maximum length of the answer in tokens, 0 if not set."""
        return self.max_tokens or self.max_completion_tokens or 0

    @property
    def choices(self) -> int:
        """Number of choices in the answer."""
        prompts = 1
        if isinstance(self.prompt, list):
            # A list of tokens is one prompt.
            prompts = sum(not isinstance(p, int) for p in self.prompt) or 1
        return prompts * (self.n or 1)

    @property
    def wants_usage(self) -> bool:
        """Whether the stream must include an event with token usage."""
        options = self.stream_options
        return options is not None and bool(options.include_usage)

    @property
    def segments(self) -> tuple[str, ...]:
        """Digests of the messages that other requests may share, in order.

        The last message is the request's own.
        """
        return tuple(
            dict.fromkeys(
                message.digest(self.model)
                for message in (self.messages or [])[:-1]
            )
        )

    @property
    def text(self) -> str:
        """The prompt as one string, for fingerprints and prefixes."""
        if self.messages is None:
            prompt = self.prompt
            return prompt if isinstance(prompt, str) else repr(prompt)
        return "\n".join(
            f"{m.role}: {m.content if isinstance(m.content, str) else ''}"
            if m.content is None or isinstance(m.content, str)
            else f"{m.role}: {m.content!r}"
            for m in self.messages
        )


DECODER = json_reader.Reader(Completion)


def parse(path: str, body: bytes) -> Completion:
    """Decode and validate a request body.

    Raises:
      Refused: the body is not JSON, or a field is invalid.
    """
    try:
        completion = DECODER.read(body)
    except msgspec.ValidationError as error:
        raise invalid_field(str(error)) from error
    except msgspec.DecodeError as error:
        raise errors.Refused(
            400, "bad_json", f"body is not JSON: {error}", field="(body)"
        ) from error
    if path == CHAT_PATH and not completion.messages:
        raise errors.Refused(
            400, "bad_field", "messages must be a list", field="messages"
        )
    if path != CHAT_PATH and not completion.prompt:
        raise errors.Refused(
            400, "bad_field", "prompt must be a text or list", field="prompt"
        )
    return completion


def invalid_field(message: str) -> errors.Refused:
    """Return the refusal for a validation error of msgspec.

    >>> invalid_field("Expected `bool`, got `int` - at `$.stream`").field
    'stream'
    """
    missing = MISSING_FIELD.search(message)
    path = FIELD_PATH.match(message)
    field = path["field"] if path else ""
    if missing:
        field = f"{field}.{missing['field']}".strip(".")
    what = path["what"] if path else message
    return errors.Refused(
        400,
        "bad_field",
        f"{field or 'body'}: {what}",
        field=field or "(body)",
    )
