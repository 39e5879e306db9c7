"""A completion as a caller asks for it, checked field by field."""

__all__ = ["Completion", "Message", "parse"]

import re
from typing import Annotated
from typing import Any

import msgspec

from camphortray import errors

CHAT_PATH = "/v1/chat/completions"
# Where msgspec names the place of a fault, e.g. "... - at `$.n`".
PLACE = re.compile(r"(?P<what>.*) - at `\$\.?(?P<field>.*)`$", re.DOTALL)
MISSING = re.compile(r"Object missing required field `(?P<field>\w+)`")

Positive = Annotated[int, msgspec.Meta(ge=1)]
Choices = Annotated[int, msgspec.Meta(ge=1, le=128)]
Number = Annotated[float, msgspec.Meta(ge=-1e6, le=1e6)]
Text = Annotated[str, msgspec.Meta(min_length=1)]


class Message(msgspec.Struct):
    """One message of a chat."""

    role: Text
    content: str | list[dict[str, Any]] | None = None


class StreamOptions(msgspec.Struct):
    """What a caller wants in a stream beside the text."""

    include_usage: bool | None = None


class Completion(msgspec.Struct):
    """The fields that are checked here; all others go to the engine.

    Attributes:
      model: Which model.
      messages: The chat, for the chat path.
      prompt: Text or tokens, for the plain path.
      stream: Whether the answer comes as events.
      max_tokens: Longest answer.
      n: How many answers.
    """

    model: Text
    messages: list[Message] | None = None
    prompt: str | list[str | int | list[int]] | None = None
    stream: bool | None = None
    max_tokens: Positive | None = None
    max_completion_tokens: Positive | None = None
    n: Choices | None = None
    temperature: Number | None = None
    top_p: Number | None = None
    stop: str | list[str] | None = None
    stream_options: StreamOptions | None = None

    @property
    def limit_tokens(self) -> int:
        """Longest answer in tokens, or 0 where none is given."""
        return self.max_tokens or self.max_completion_tokens or 0

    @property
    def wants_usage(self) -> bool:
        """Whether an event with usage has to come before the end."""
        options = self.stream_options
        return options is not None and bool(options.include_usage)

    @property
    def text(self) -> str:
        """The prompt as one text, for fingerprints and prefixes."""
        if self.messages is None:
            prompt = self.prompt
            return prompt if isinstance(prompt, str) else repr(prompt)
        return "\n".join(
            f"{m.role}: {m.content if isinstance(m.content, str) else ''}"
            if m.content is None or isinstance(m.content, str)
            else f"{m.role}: {m.content!r}"
            for m in self.messages
        )


DECODER = msgspec.json.Decoder(Completion)


def parse(path: str, body: bytes) -> Completion:
    """Read and check a request body.

    Raises:
      Refused: it is not JSON, or a field is wrong.
    """
    try:
        found = DECODER.decode(body)
    except msgspec.ValidationError as error:
        raise wrong_field(str(error)) from error
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise errors.Refused(
            400, "bad_json", f"body is not JSON: {error}", field="(body)"
        ) from error
    if path == CHAT_PATH and not found.messages:
        raise errors.Refused(
            400, "bad_field", "messages must be a list", field="messages"
        )
    if path != CHAT_PATH and not found.prompt:
        raise errors.Refused(
            400, "bad_field", "prompt must be a text or list", field="prompt"
        )
    return found


def wrong_field(told: str) -> errors.Refused:
    """Return the refusal of a field at fault.

    >>> wrong_field("Expected `bool`, got `int` - at `$.stream`").field
    'stream'
    """
    missing = MISSING.search(told)
    place = PLACE.match(told)
    field = place["field"] if place else ""
    if missing:
        field = f"{field}.{missing['field']}".strip(".")
    what = place["what"] if place else told
    return errors.Refused(
        400,
        "bad_field",
        f"{field or 'body'}: {what}",
        field=field or "(body)",
    )
