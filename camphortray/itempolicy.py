"""Decides what follows a try of an item that gave no answer."""

__all__ = ["Crash", "Decision", "Fail", "Retry", "Unknown", "decide"]

import dataclasses
import random

from camphortray import errors
from camphortray import jobqueue

# Crashes after which an item is taken for the cause: one in company, one
# alone on the upstream.
MAX_CRASHES = 2
# First and longest pause before an item is tried again, in seconds.
PAUSE_S = 0.2
MAX_PAUSE_S = 10.0
# Statuses that say that the request itself cannot be served.
PERMANENT = frozenset({400, 401, 403, 405, 413, 414, 415, 422})


@dataclasses.dataclass(frozen=True, slots=True)
class Retry:
    """Try again after a pause, elsewhere if there is a choice."""

    pause_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Crash:
    """Record the crash, then try again apart from others."""

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
    """Return what follows a failed try.

    A try that certainly did not run costs nothing but a pause, however
    often: an outage of all upstreams must not fail a job that is due
    hours later. Tries that may have run are bounded.

    Args:
      item: With the tries before this one.
      error: What went wrong.
      crashed: Whether the upstream crashed.
      idempotent: Whether the item may run again.
      attempts: Tries that may have run, at most.
      rng: For the jitter.
    """
    if isinstance(error, errors.UpstreamRefused):
        if error.status in PERMANENT:
            return Fail(str(error))
        if error.status == 404 and item.tries + 1 < attempts:
            return Retry(pause(item.tries, rng))
    if not error.ran:
        return Retry(pause(item.refusals, rng))
    if not idempotent:
        return Unknown(str(error))
    if crashed:
        if item.crashes + 1 >= MAX_CRASHES:
            return Fail(f"crashed {MAX_CRASHES} upstreams: {error}")
        return Crash(pause(item.crashes, rng))
    if item.tries + 1 >= attempts:
        return Fail(f"failed {attempts} times: {error}")
    return Retry(pause(item.tries, rng))


def pause(failures: int, rng: random.Random) -> float:
    """Return a pause that doubles, with jitter, in seconds."""
    longest = min(MAX_PAUSE_S, PAUSE_S * 2 ** min(failures, 10))
    return longest * (0.5 + rng.random() / 2)
