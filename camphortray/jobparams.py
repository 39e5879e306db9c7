"""Parses the parameters of a new job from query and headers."""

__all__ = ["JobParams"]

import dataclasses
from typing import Any

from camphortray import errors
from camphortray import settings

PATHS = ("/v1/chat/completions", "/v1/completions")
KEY_HEADER = "idempotency-key"
IDEMPOTENT_HEADER = "camphortray-idempotent"
MAX_KEY_CHARS = 256
PARAMETERS = frozenset(
    {"service", "due", "keep_s", "idempotent", "path", "weight"}
)


@dataclasses.dataclass(frozen=True, slots=True)
class JobParams:
    """Parameters of a new job.

    Attributes:
      key: Idempotency key, unique in the workspace.
      service: Service that runs the job.
      due_s: Seconds from now in which it should finish, or 0 for no due time.
      keep_s: How long results are kept after the job ended, in seconds.
      idempotent: Whether an item may be run more than once.
      path: API path of all items.
      weight: Weight among the workspace's jobs.
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
        """Parse and check the parameters of a request.

        Raises:
          Refused: A parameter is invalid; the error names it.
        """
        unknown = sorted(set(query) - PARAMETERS)
        if unknown:
            raise bad_parameter(
                unknown[0], f"is not one of {', '.join(sorted(PARAMETERS))}"
            )
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
            raise bad_parameter("path", f"is not one of {', '.join(PATHS)}")
        idempotent_text = query.get(
            "idempotent", headers.get(IDEMPOTENT_HEADER, "true")
        )
        if idempotent_text not in ("true", "false"):
            raise bad_parameter("idempotent", "is neither true nor false")
        return cls(
            key,
            service,
            parse_number(query, "due", 0.0),
            parse_number(query, "keep_s", service.get("job.keep_s")),
            idempotent_text == "true",
            path,
            parse_number(
                query, "weight", service.get("job.weight"), least=1e-3
            ),
        )


def parse_number(
    query: dict[str, str], name: str, default: Any, least: float = 0.0
) -> float:
    """Return a parameter as a number, or its default if it is not given.

    Raises:
      Refused: It is not a number, below ``least``, or 1e12 or more.
    """
    text = query.get(name)
    if text is None:
        return float(default)
    try:
        value = float(text)
    except ValueError:
        raise bad_parameter(name, f"{text!r} is not a number") from None
    if not least <= value < 1e12:
        raise bad_parameter(name, f"{text} is out of range")
    return value


def bad_parameter(field: str, reason: str) -> errors.Refused:
    """Return the refusal of an invalid parameter."""
    return errors.Refused(400, "bad_field", f"{field} {reason}", field=field)
