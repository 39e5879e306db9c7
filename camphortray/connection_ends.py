"""Why this host closes callers' connections, counted and logged."""

__all__ = ["CloseCause", "ConnectionEnds"]

import enum

from camphortray import logs
from camphortray import metrics as metrics_module

LOG = logs.logger("http")


class CloseCause(enum.Enum):
    """Why this host closed a caller's connection."""

    IDLE = "idle"  # No request came in time.
    HEAD = "head"  # The head of a request was malformed or late.
    BODY = "body"  # The rest of a body that was not needed came, or did not.
    ANSWERED = "answered"  # The last answer was announced as the last one.
    CUT = "cut"  # An answer ended as an error, with its reason.
    ABORTED = "aborted"  # An answer, or its request, was given up.
    STOPPED = "stopped"  # The host ended.


class ConnectionEnds:
    """Counts and logs how callers' connections and requests end."""

    def __init__(self, metrics: metrics_module.Metrics) -> None:
        self.metrics = metrics

    def on_closed(
        self, cause: CloseCause, request_id: str, served: int
    ) -> None:
        """Take note of a connection that this host closes.

        Args:
          cause: Why.
          request_id: The request in progress on it, or empty.
          served: Number of requests that ended on it.
        """
        self.metrics.inc(
            "camphortray_connections_closed_total",
            "Callers' connections that the host closed, by why.",
            {"why": cause.value},
        )
        # As frequent as requests, where callers use a connection once.
        log = LOG.debug if cause is CloseCause.ANSWERED else LOG.info
        log(
            "Connection closed: {}.",
            cause.value,
            fields={"why": cause.value, "served": served, "id": request_id},
        )

    def on_unanswered(self, request_id: str, why: str) -> None:
        """Take note of a request read whole that got no answer.

        Args:
          request_id: The request.
          why: How its handler ended.
        """
        self.metrics.inc(
            "camphortray_requests_unanswered_total",
            "Requests read whole whose handler ended without an answer while"
            " the caller was there, by how it ended.",
            {"why": why},
        )
        LOG.warning(
            "Request {} ended without an answer: {}.",
            request_id,
            why,
            fields={"why": why},
        )
