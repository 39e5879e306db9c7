"""Causes for which an attempt or an answer ends before it is complete."""

__all__ = ["Cause", "cause_of", "count", "count_failure", "fields_of"]

import enum
from typing import Any

from camphortray import errors
from camphortray import metrics as metrics_module


class Cause(enum.Enum):
    """Causes of the early end of an attempt or an answer.

    Those of a batch item that the system itself decides on are ``REVOKED``
    (its slot goes to an online request), ``OVERTAKEN`` (the previous owner
    of its partition has more of its output), ``STALLED`` (its task hung) and
    ``OWNER_STOPPED`` (its job has ended or its partition has moved). A request
    is ``CANCELLED`` if its host stops while its caller is there, and
    ``DRAINING`` if it could not end before its host does and was not sent to
    an engine.
    """

    SILENCE = "silence"
    CLOSED = "closed"
    GARBLED = "garbled"
    NOT_RUN = "not_run"
    ENGINE_FAILED = "engine_failed"
    FAULT = "fault"
    NO_SLOT = "no_slot"
    REVOKED = "revoked"
    OVERTAKEN = "overtaken"
    STALLED = "stalled"
    OWNER_STOPPED = "owner_stopped"
    TIME_OVER = "time_over"
    BARRED = "barred"
    OVER_LIMIT = "over_limit"
    NO_VERSION = "no_version"
    CALLER_GONE = "caller_gone"
    CANCELLED = "cancelled"
    DRAINING = "draining"


def cause_of(error: errors.UpstreamError) -> Cause:
    """Return the cause for which a failed attempt ended.

    >>> cause_of(errors.UpstreamTimeout("silent", ran=True)).value
    'silence'
    """
    if not error.ran:
        return Cause.NOT_RUN
    if isinstance(error, errors.UpstreamTimeout):
        return Cause.SILENCE
    if isinstance(error, errors.UpstreamGarbled):
        return Cause.GARBLED
    if isinstance(error, errors.UpstreamBroken):
        return Cause.CLOSED
    if isinstance(error, errors.UpstreamRefused):
        return Cause.ENGINE_FAILED
    return Cause.FAULT


def fields_of(error: errors.UpstreamError) -> dict[str, Any]:
    """Return the log fields for an attempt that ended early."""
    paused_s = (
        error.paused_s if isinstance(error, errors.UpstreamBroken) else 0.0
    )
    fields = {
        "cause": cause_of(error).value,
        "paused_ms": round(paused_s * 1000),
    }
    if error.source is not None:
        fields |= {
            "answer_to": error.source.named,
            "connection_use": error.source.connection_use,
            "local_port": error.source.local_port,
        }
    return fields


def count(metrics: metrics_module.Metrics, work: str, cause: Cause) -> None:
    """Count an attempt that ended early.

    Args:
      metrics: Metrics of the process.
      work: Kind of work: ``"request"`` or ``"item"``.
      cause: Why the attempt ended.
    """
    metrics.inc(
        "camphortray_tries_ended_early_total",
        "Tries at engines that ended before their answer was whole.",
        {"work": work, "cause": cause.value},
    )


def count_failure(
    metrics: metrics_module.Metrics, work: str, error: errors.UpstreamError
) -> None:
    """Count an attempt that failed, and what shows that it has not run.

    Args:
      metrics: Metrics of the process.
      work: Kind of work, as for ``count``.
      error: How the attempt failed.
    """
    count(metrics, work, cause_of(error))
    if error.ran or error.source is None:
        return
    metrics.inc(
        "camphortray_tries_not_run_total",
        "Tries that engines did not run, by to which request their answer"
        " belonged and whether its connection had been used before.",
        {
            "work": work,
            "answer_to": error.source.named,
            "connection": error.source.connection,
        },
    )
