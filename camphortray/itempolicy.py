"""Decides what to do with an item after a failed try."""

__all__ = ["Crash", "Decision", "Fail", "Retry", "Unknown", "decide"]

import dataclasses
import random

from camphortray import errors
from camphortray import jobqueue

# Crashes after which an item is taken to be their cause: the first while
# other items run on the upstream, the second while it runs there alone.
MAX_CRASHES = 2
# First and longest pause before a retry, in seconds.
FIRST_PAUSE_S = 0.2
MAX_PAUSE_S = 10.0
# Statuses that mean that the request itself cannot be served.
PERMANENT_STATUSES = frozenset({400, 401, 403, 405, 413, 414, 415, 422})


@dataclasses.dataclass(frozen=True, slots=True)
class Retry:
    """Retry after a pause, on another upstream if there is one."""

    pause_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Crash:
    """Record the crash, then retry alone on an upstream."""

    pause_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Fail:
    """End the item as failed."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Unknown:
    """End the item as unknown: it may have run and must not run twice."""

    reason: str


Decision = Retry | Crash | Fail | Unknown


def decide(
    item: jobqueue.Item,
    error: errors.UpstreamError,
    *,
    crashed: bool,
    idempotent: bool,
    attempts: int,
    rng: random.Random,
) -> Decision:
    """Return what to do with an item after a failed try.

    A try that certainly did not run is retried without limit: an outage of
    all upstreams must not fail a job that is due hours later. Tries that may
    have run are limited in number.

    Args:
      item: The item, with the counts of its earlier tries.
      error: How the try failed.
      crashed: Whether the upstream crashed.
      idempotent: Whether the item may run more than once.
      attempts: Maximum number of tries that may have run.
      rng: Source of the jitter.
    """
    if isinstance(error, errors.UpstreamRefused):
        if error.status in PERMANENT_STATUSES:
            return Fail(str(error))
        if error.status == 404 and item.tries + 1 < attempts:
            return Retry(retry_pause_s(item.tries, rng))
    if not error.ran:
        return Retry(retry_pause_s(item.refusals, rng))
    if not idempotent:
        return Unknown(str(error))
    if crashed:
        if item.crashes + 1 >= MAX_CRASHES:
            return Fail(f"crashed {MAX_CRASHES} upstreams: {error}")
        return Crash(retry_pause_s(item.crashes, rng))
    if item.tries + 1 >= attempts:
        return Fail(f"failed {attempts} times: {error}")
    return Retry(retry_pause_s(item.tries, rng))


def retry_pause_s(failures: int, rng: random.Random) -> float:
    """Return an exponentially growing pause with jitter, in seconds."""
    longest_s = min(MAX_PAUSE_S, FIRST_PAUSE_S * 2 ** min(failures, 10))
    return longest_s * (0.5 + rng.random() / 2)
