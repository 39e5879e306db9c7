"""Decides on retries of opaque items and estimates how long they take."""

__all__ = ["DurationEstimator", "RetryDecision", "RetryState", "decide"]

import enum

import msgspec

from camphortray import errors

# Statuses that mean that the item can never be done.
PERMANENT_STATUSES = frozenset({422})
# Statuses that mean that the engine failed at the item.
ENGINE_FAILURE_STATUSES = frozenset({500})
# Consecutive crashes after which the item may be their cause, the delay before
# the next retry, which doubles with each further one, and its maximum, in
# seconds.
MAX_CRASHES = 3
CRASH_DELAY_S = 1.0
MAX_CRASH_DELAY_S = 15.0
# Delay before an item is run again whose output was too large, in seconds.
OVERSIZED_DELAY_S = 30.0
# Pause after a failed try, in seconds; doubled with each up to the maximum.
PAUSE_S = 0.05
MAX_PAUSE_S = 1.0
# Estimates used before the first measurement: events of an item, seconds from
# one event to the next, seconds from the start of an item to its first event.
INITIAL_EVENTS = 200.0
INITIAL_EVENT_S = 0.02
INITIAL_START_S = 0.02
# Weight of a new measurement in the running means.
MEAN_WEIGHT = 0.1
# Events over which a rate is averaged: those of a few items, so that the rate
# follows the load of engines within seconds and no single run dominates it.
RATE_WINDOW_EVENTS = 1_000.0


class RetryDecision(enum.Enum):
    """What is done with an item after a failed try."""

    RETRY = "again"
    ABANDON = "abandon"


class RetryState(msgspec.Struct):
    """Failed tries of an item by its present owner.

    Attributes:
      engine_failures: Tries that ended with a failure status of the engine.
      crashes: Consecutive tries cut off before their first event.
      failures_since_event: Failed tries since the last try that received an
        event.
      avoid: Engine of the last failed try, or empty.
      not_before: Time before which the item is not retried, monotonic.
    """

    engine_failures: int = 0
    crashes: int = 0
    failures_since_event: int = 0
    avoid: str = ""
    not_before: float = 0.0


def decide(
    state: RetryState,
    error: errors.UpstreamError,
    upstream: str,
    now: float,
    max_failures: int,
    new_events: int = 0,
) -> RetryDecision:
    """Record a failed try and return what to do with the item.

    Args:
      state: Earlier failed tries of the item; updated.
      error: How the try failed.
      upstream: Name of the engine.
      now: Present time, monotonic.
      max_failures: Failures of engines after which the item is abandoned.
      new_events: Number of events received in the try.
    """
    state.avoid = upstream
    state.failures_since_event += 1
    pause_s = min(
        MAX_PAUSE_S, PAUSE_S * 2 ** min(state.failures_since_event, 8)
    )
    state.not_before = now + pause_s
    if isinstance(error, errors.UpstreamRefused):
        if error.status in PERMANENT_STATUSES:
            return RetryDecision.ABANDON
        if error.ran and error.status in ENGINE_FAILURE_STATUSES:
            state.engine_failures += 1
            if state.engine_failures >= max_failures:
                return RetryDecision.ABANDON
        return RetryDecision.RETRY
    if new_events:
        # An item that crashes engines does so before its first event.
        state.crashes = 0
    elif error.ran and not isinstance(error, errors.UpstreamTimeout):
        # A timeout may be due to this host, if it was suspended or is slow.
        state.crashes += 1
        if state.crashes >= MAX_CRASHES:
            state.not_before = now + crash_delay_s(state.crashes)
    return RetryDecision.RETRY


def crash_delay_s(crashes: int) -> float:
    """Return the seconds before an item is retried after crashes in a row.

    >>> [crash_delay_s(crashes) for crashes in (3, 4, 7, 2_000)]
    [1.0, 2.0, 15.0, 15.0]
    """
    doublings = min(crashes - MAX_CRASHES, 16)
    return min(MAX_CRASH_DELAY_S, CRASH_DELAY_S * 2.0**doublings)


class Rate(msgspec.Struct):
    """Mean seconds per event over recent measurements.

    Sums are kept instead of a mean of rates: a run that is stopped after its
    first event says little about the time between events. If it had the weight
    of a complete run, ten such runs in a row would make items of five seconds
    look like items of twenty. They would count as late and be
    scheduled after all others.

    Attributes:
      seconds: Weighted sum of the measured time.
      count: Weighted sum of the measured events.
    """

    seconds: float
    count: float

    @property
    def mean_s(self) -> float:
        """Mean seconds per event."""
        return self.seconds / self.count

    def add(self, seconds: float, count: int) -> None:
        """Add a measurement; older ones lose weight according to its size."""
        weight = RATE_WINDOW_EVENTS / (RATE_WINDOW_EVENTS + count)
        self.seconds = self.seconds * weight + seconds
        self.count = self.count * weight + count


class DurationEstimator:
    """Estimates how long items take, from measurements.

    Attributes:
      mean_events: Mean number of events of an item.
      event_rate: Time from one event to the next.
      mean_start_s: Mean seconds to the first event of an item run from its
        beginning.
      resume_rate: Additional time to the first event for each event made by
        earlier runs.
    """

    def __init__(self) -> None:
        self.mean_events = INITIAL_EVENTS
        self.event_rate = Rate(
            RATE_WINDOW_EVENTS * INITIAL_EVENT_S, RATE_WINDOW_EVENTS
        )
        self.mean_start_s = INITIAL_START_S
        self.resume_rate = Rate(0.0, RATE_WINDOW_EVENTS)

    def learn(self, events: int) -> None:
        """Record the number of events of a completed item."""
        self.mean_events += MEAN_WEIGHT * (events - self.mean_events)

    def ran(self, events: int, seconds: float) -> None:
        """Record the events of one run.

        Args:
          events: Their number.
          seconds: Time from the first of them to the last.
        """
        if events > 1:
            self.event_rate.add(seconds, events - 1)

    def started(self, made: int, seconds: float) -> None:
        """Record the time to the first event of a run.

        Args:
          made: Events that earlier runs of the item had made.
          seconds: Time from the request to the first event.
        """
        if not made:
            self.mean_start_s += MEAN_WEIGHT * (seconds - self.mean_start_s)
            return
        self.resume_rate.add(max(0.0, seconds - self.mean_start_s), made)

    def start_s(self, made: int) -> float:
        """Return the expected seconds to the first event of a run.

        Args:
          made: Events that earlier runs of the item have made.
        """
        return self.mean_start_s + made * self.resume_rate.mean_s

    def made_s(self, made: int) -> float:
        """Return the estimated seconds needed to make some events."""
        return made * self.event_rate.mean_s

    def left_s(self, events: int) -> float:
        """Return the expected seconds left for an item after some events."""
        left = max(self.mean_events - events, self.mean_events * 0.1)
        return left * self.event_rate.mean_s
