"""Deadlines of requests, as set by callers."""

__all__ = ["HEADER", "from_headers", "passed"]

from collections.abc import Mapping
import math

from camphortray import errors

HEADER = "camphortray-deadline"
# Upper limit on the deadline that a caller sets, in seconds. Without one a
# request could keep its place in every queue for any time.
MAX_S = 3600.0


def from_headers(headers: Mapping[str, str], default_s: float) -> float:
    """Return the seconds left for a request.

    Args:
      headers: Headers of the request, with lower-case names.
      default_s: Result if the caller sets no deadline.

    Raises:
      Refused: the header is not a number, or the deadline has passed.
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
    """Return the refusal of a request whose deadline has passed."""
    return errors.Refused(504, "deadline", "the deadline passed", ran=ran)
