"""The time a caller leaves for its answer."""

__all__ = ["HEADER", "from_headers", "passed"]

from collections.abc import Mapping
import math

from camphortray import errors

HEADER = "camphortray-deadline"
# Longest time that a caller may ask for, in seconds; a request without
# an end would hold its place in every queue.
MAX_S = 3600.0


def from_headers(headers: Mapping[str, str], default_s: float) -> float:
    """Return the seconds left for a request.

    Args:
      headers: Of the request, lower-case names.
      default_s: Where the caller says nothing.

    Raises:
      Refused: the header cannot be read, or the time is over.
    """
    text = headers.get(HEADER)
    if text is None:
        return default_s
    try:
        seconds = float(text)
    except ValueError:
        seconds = math.nan
    if math.isnan(seconds):
        raise errors.Refused(
            400,
            "bad_field",
            f"{text[:40]!r} is not a number of seconds",
            field="Camphortray-Deadline",
        )
    if seconds <= 0:
        raise passed(ran="no")
    return min(seconds, MAX_S)


def passed(ran: str) -> errors.Refused:
    """Return the refusal of a request whose time is over."""
    return errors.Refused(504, "deadline", "the deadline passed", ran=ran)
