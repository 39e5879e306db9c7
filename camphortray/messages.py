"""Typed CBOR messages between hosts.

A message on the wire is the CBOR array ``[version, kind, number, reply,
body]``. Unknown fields of a body are ignored, so that two releases can
talk; an unknown kind or version is refused.
"""

__all__ = [
    "Envelope",
    "MAX_MESSAGE_BYTES",
    "PROTOCOL_VERSION",
    "decode",
    "encode",
    "kind_of",
    "message",
]

from collections.abc import Callable
from typing import Any

import cbor2
import msgspec

from camphortray import errors

PROTOCOL_VERSION = 1
MAX_MESSAGE_BYTES = 1_048_576

KINDS: dict[str, type] = {}
NAMES: dict[type, str] = {}
DEFAULTS: dict[type, dict[str, Any]] = {}


class Envelope(msgspec.Struct, frozen=True):
    """A message as it travels.

    Attributes:
      number: 0 for one-way messages, else the number of the question.
      reply: Whether it answers question ``number``.
      message: An instance of a registered struct.
    """

    number: int
    reply: bool
    message: Any


def message(kind: str) -> Callable[[type], type]:
    """Return a decorator that registers a struct as a message."""

    def decorate(cls: type) -> type:
        KINDS[kind] = cls
        NAMES[cls] = kind
        DEFAULTS[cls] = {
            field.name: field.default
            for field in msgspec.structs.fields(cls)
            if field.default is not msgspec.NODEFAULT
        }
        return cls

    return decorate


def kind_of(content: Any) -> str:
    """Return the kind of a message, as it travels."""
    return NAMES[type(content)]


def encode(envelope: Envelope) -> bytes:
    """Return the bytes of a message.

    Raises:
      MessageError: it is larger than ``MAX_MESSAGE_BYTES``.
    """
    body = msgspec.to_builtins(envelope.message, builtin_types=(bytes,))
    # Probes are most of all messages, and most of their fields rest.
    for name, default in DEFAULTS[type(envelope.message)].items():
        if getattr(envelope.message, name) == default:
            del body[name]
    data = cbor2.dumps(
        [
            PROTOCOL_VERSION,
            NAMES[type(envelope.message)],
            envelope.number,
            envelope.reply,
            body,
        ]
    )
    if len(data) > MAX_MESSAGE_BYTES:
        raise errors.MessageError(
            f"{len(data)} bytes are over the limit", step="encode"
        )
    return data


def decode(data: bytes) -> Envelope:
    """Read a message and check it.

    Raises:
      MessageError: it is not a message this release knows.
    """
    if len(data) > MAX_MESSAGE_BYTES:
        raise errors.MessageError("over the size limit", step="decode")
    try:
        version, kind, number, reply, body = cbor2.loads(data)
        if version != PROTOCOL_VERSION:
            raise errors.MessageError(f"version {version}", step="decode")
        cls = KINDS[kind]
        content: Any = msgspec.convert(body, cls)
        if type(number) is not int or type(reply) is not bool:
            raise errors.MessageError("bad envelope", step="decode")
    except errors.MessageError:
        raise
    except Exception as error:
        # The bytes come from outside, and cbor2 raises many types.
        raise errors.MessageError(
            f"cannot be read: {error!r}", step="decode"
        ) from error
    return Envelope(number, reply, content)
