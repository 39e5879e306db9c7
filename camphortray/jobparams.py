"""Reads what a caller asks for a job out of query and headers."""

__all__ = ["JobParams"]

import dataclasses
from typing import Any

from camphortray import errors
from camphortray import settings

PATHS = ("/v1/chat/completions", "/v1/completions")
KEY_HEADER = "idempotency-key"
IDEMPOTENT_HEADER = "camphortray-idempotent"
MAX_KEY_CHARS = 256
FIELDS = frozenset(
    {"service", "due", "keep_s", "idempotent", "path", "weight"}
)


@dataclasses.dataclass(frozen=True, slots=True)
class JobParams:
    """What a caller asks for.

    Attributes:
      key: Idempotency key of the workspace.
      service: Which service is to run it.
      due_s: Seconds from now in which it should be done, or 0.
      keep_s: How long results are kept after the end.
      idempotent: Whether an item may be run again.
      path: Interface the items are for.
      weight: Share among the workspace's jobs.
    """

    key: str
    service: settings.Service
    due_s: float = 0.0
    keep_s: float = 86400.0
    idempotent: bool = True
    path: str = PATHS[0]
    weight: float = 1.0

    @classmethod
    def from_request(
        cls,
        query: dict[str, str],
        headers: dict[str, str],
        services: dict[str, settings.Service],
    ) -> "JobParams":
        """Read and check a request's fields.

        Raises:
          Refused: naming the field at fault.
        """
        unknown = sorted(set(query) - FIELDS)
        if unknown:
            raise bad(unknown[0], f"is not one of {', '.join(sorted(FIELDS))}")
        key = headers.get(KEY_HEADER, "")
        if not 0 < len(key) <= MAX_KEY_CHARS:
            raise errors.Refused(
                400,
                "no_key",
                f"needs a key of 1 to {MAX_KEY_CHARS} characters",
                field="Idempotency-Key",
            )
        service = services.get(query.get("service", ""))
        if service is None or service.get("kind") == "plain":
            raise errors.Refused(
                404, "unknown_service", "no such service", field="service"
            )
        path = query.get("path", PATHS[0])
        if path not in PATHS:
            raise bad("path", f"is not one of {', '.join(PATHS)}")
        said = query.get("idempotent", headers.get(IDEMPOTENT_HEADER, "true"))
        if said not in ("true", "false"):
            raise bad("idempotent", "is neither true nor false")
        return cls(
            key,
            service,
            number(query, "due", 0.0),
            number(query, "keep_s", service.get("job.keep_s")),
            said == "true",
            path,
            number(query, "weight", service.get("job.weight"), least=1e-3),
        )


def number(
    query: dict[str, str], name: str, default: Any, least: float = 0.0
) -> float:
    """Return a field as a finite number.

    Raises:
      Refused: it is none, or too small.
    """
    text = query.get(name)
    if text is None:
        return float(default)
    try:
        value = float(text)
    except ValueError:
        raise bad(name, f"{text!r} is not a number") from None
    if not least <= value < 1e12:
        raise bad(name, f"{text} is out of range")
    return value


def bad(field: str, reason: str) -> errors.Refused:
    """Return the refusal of a field."""
    return errors.Refused(400, "bad_field", f"{field} {reason}", field=field)
