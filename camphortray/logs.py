"""Log lines: text for people or JSON lines for machines."""

__all__ = ["logger", "request_id", "set_up"]

import contextvars
import json
import sys
from typing import Any

import logbook

# Fields of every JSON line, such as the name of the host.
CONSTANT: dict[str, Any] = {}
REQUEST_ID: contextvars.ContextVar[str] = contextvars.ContextVar(
    "request_id", default=""
)


def request_id() -> str:
    """Return the id of the request being served, or an empty text."""
    return REQUEST_ID.get()


def logger(prefix: str) -> logbook.Logger:
    """Return the logger of one part; its lines begin with ``prefix``."""
    return logbook.Logger(prefix)


def note_dropped(count: int) -> str:
    """Return the line that tells of lines dropped."""
    fields = {
        "level": "WARNING",
        "part": "logs",
        "message": f"{count} lines were dropped: too many, or no reader.",
        "dropped": count,
    }
    return json.dumps({**CONSTANT, **fields})


def text_line(record: Any, handler: Any) -> str:
    """Format a record for people."""
    tail = request_id()
    tail = f" [{tail}]" if tail else ""
    return (
        f"{record.time:%Y-%m-%dT%H:%M:%S.%f} {record.level_name:<7}"
        f" {record.channel}: {record.message}{tail}"
    )


def json_line(record: Any, handler: Any) -> str:
    """Format a record as one JSON object."""
    fields = {
        "time": f"{record.time:%Y-%m-%dT%H:%M:%S.%fZ}",
        "level": record.level_name,
        "part": record.channel,
        "message": record.message,
        **CONSTANT,
    }
    if request_id():
        fields["request_id"] = request_id()
    fields.update(record.kwargs.get("fields", {}))
    return json.dumps(fields, default=str)


def set_up(
    form: str = "text", level: str = "INFO", stream: Any = None
) -> logbook.Handler:
    """Send all lines to ``stream`` (standard error by default)."""
    logbook.set_datetime_format("utc")
    handler = logbook.StreamHandler(
        stream or sys.stderr, level=logbook.lookup_level(level)
    )
    handler.formatter = json_line if form == "json" else text_line
    handler.push_application()
    return handler
