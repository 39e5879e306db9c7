"""Circuit breaking of engines, by the outcomes of requests sent to them."""

__all__ = [
    "ErrorRates",
    "HealthTracker",
    "Outcome",
    "answer_outcome",
    "outcome_of",
]

from collections.abc import Collection
import enum
import math

import msgspec

from camphortray import errors

# Seconds for which an engine gets no requests after it refused one as full:
# another request still holds a slot there, for an unknown time.
FULL_S = 0.15
# Seconds for which an engine gets no requests after it was unreachable:
# the first pause, doubled with each further failure up to the maximum.
UNREACHED_S = 0.5
UNREACHED_MAX_S = 4.0
# Consecutive broken responses after which an engine is ejected. One or two
# may be caused by the request or by the network.
BROKEN_THRESHOLD = 3
# Weights of a new sample in the error rates of an engine and of all engines.
RATE_WEIGHT = 0.25
MEAN_WEIGHT = 0.02
# An engine is ejected if its error rate is above both the threshold and this
# many times the mean of all engines, and readmitted below the lower rate.
ERROR_RATE_THRESHOLD = 0.4
MEAN_FACTOR = 2.0
RECOVERED_RATE = 0.2
# Lowest status of an answer that is an error of the engine.
SERVER_ERROR = 500


class Outcome(enum.Enum):
    """How a lease ended, as evidence about its engine."""

    GOOD = "good"
    FULL = "full"
    UNREACHED = "unreached"
    BROKEN = "broken"
    FAILED = "failed"
    NOTHING = "nothing"


class Health(msgspec.Struct):
    """Health of an engine, derived from the outcomes of its leases.

    Attributes:
      closed_until: Time before which it gets no requests.
      failures: Consecutive failures that ejected it.
      broken: Consecutive broken responses.
      trial: Whether it gets one request at a time until one succeeds. If its
        error rate is still high, each success doubles that number.
      successes: Number of successes on trial.
    """

    closed_until: float = -math.inf
    failures: int = 0
    broken: int = 0
    trial: bool = False
    successes: int = 0


class ErrorRates:
    """Moving averages of the error rates of engines.

    An engine that answers each request with an error at once has free slots
    more often than the others, and so gets more than its part of the load.

    Attributes:
      by_engine: Error rate of each engine that has failed a request.
      mean: Error rate over all engines.
    """

    def __init__(self) -> None:
        self.by_engine: dict[str, float] = {}
        self.mean = 0.0

    def record(self, engine: str, failed: bool) -> None:
        """Record the outcome of a request."""
        self.mean += MEAN_WEIGHT * (failed - self.mean)
        rate = self.by_engine.get(engine, 0.0)
        if rate or failed:
            self.by_engine[engine] = rate + RATE_WEIGHT * (failed - rate)

    def is_outlier(self, engine: str) -> bool:
        """Return whether an engine fails far more requests than others."""
        threshold = max(ERROR_RATE_THRESHOLD, MEAN_FACTOR * self.mean)
        return self.by_engine.get(engine, 0.0) > threshold

    def has_recovered(self, engine: str) -> bool:
        """Return whether an engine's error rate is low again."""
        low = max(RECOVERED_RATE, self.mean)
        return self.by_engine.get(engine, 0.0) < low


class HealthTracker:
    """Tracks which engines are ejected and which are on trial.

    Engines are not polled for health: polling costs a probe, and its
    result can be wrong either way. The outcomes of real requests are not.

    Attributes:
      engines: Names of the engines in use.
      by_engine: Health of the engines that have failed, by name.
      error_rates: Error rates of engines.
    """

    def __init__(self) -> None:
        self.engines: frozenset[str] = frozenset()
        self.by_engine: dict[str, Health] = {}
        self.error_rates = ErrorRates()

    def keep(self, names: Collection[str]) -> None:
        """Set the engines in use; forget all others."""
        self.engines = frozenset(names)
        for name in self.by_engine.keys() - set(names):
            del self.by_engine[name]
        rates = self.error_rates.by_engine
        for name in rates.keys() - set(names):
            del rates[name]

    def room(
        self, engine: str, slots: int, now: float, ignore_trial: bool
    ) -> int:
        """Return how many of an engine's slots may be in use.

        Args:
          engine: Name of the engine.
          slots: Slots of the engine.
          now: Current time.
          ignore_trial: Whether to count all slots of an engine on trial.
        """
        health = self.by_engine.get(engine)
        if health is None:
            return slots
        if now < health.closed_until:
            return 0
        if health.trial and not ignore_trial:
            return min(slots, 2**health.successes)
        return slots

    def retry_times(self, now: float) -> list[float]:
        """Return the times at which ejected engines are tried again."""
        return [
            health.closed_until
            for health in self.by_engine.values()
            if health.closed_until > now
        ]

    def record_outcome(
        self, engine: str, outcome: Outcome, now: float, online: bool = True
    ) -> None:
        """Update an engine's health from the outcome of a lease.

        Args:
          engine: Name of the engine.
          outcome: How the lease ended.
          now: Current time.
          online: Whether it was that of an online request. A batch item may
            be one that fails at every engine.
        """
        if outcome is Outcome.NOTHING:
            return
        if outcome is Outcome.FAILED and not online:
            outcome = Outcome.GOOD
        health = self.by_engine.get(engine)
        is_closed = health is not None and now < health.closed_until
        if outcome in (Outcome.GOOD, Outcome.FAILED) and not is_closed:
            self.error_rates.record(engine, outcome is Outcome.FAILED)
        if outcome is Outcome.GOOD:
            if self.error_rates.has_recovered(engine):
                self.by_engine.pop(engine, None)
            elif health is not None:
                health.successes += 1
        elif outcome is Outcome.FULL:
            health = self.by_engine.setdefault(engine, Health())
            health.closed_until = max(health.closed_until, now + FULL_S)
        elif self.is_failing(engine, outcome):
            self.eject(engine, now)

    def is_failing(self, engine: str, outcome: Outcome) -> bool:
        """Return whether a failure is one too many for its engine."""
        if outcome is Outcome.BROKEN:
            health = self.by_engine.setdefault(engine, Health())
            health.broken += 1
            # Engines that are all silent for a moment would all be ejected,
            # and requests be refused although slots are free.
            return health.broken >= BROKEN_THRESHOLD and not self.is_last(
                engine
            )
        if outcome is Outcome.FAILED:
            return self.error_rates.is_outlier(engine)
        return True

    def is_last(self, engine: str) -> bool:
        """Return whether all other engines are ejected or on trial."""
        others = self.engines - {engine}
        return engine in self.engines and others <= self.ejected()

    def ejected(self) -> frozenset[str]:
        """Return the engines that are ejected or on trial."""
        return frozenset(
            name for name, health in self.by_engine.items() if health.trial
        )

    def eject(self, engine: str, now: float) -> None:
        """Give an engine no requests for a while, then one at a time."""
        health = self.by_engine.setdefault(engine, Health())
        if now < health.closed_until:
            # Sent before the engine was ejected; no new evidence.
            return
        pause_s = min(UNREACHED_S * 2**health.failures, UNREACHED_MAX_S)
        health.failures += 1
        health.trial, health.successes = True, 0
        health.closed_until = now + pause_s


def outcome_of(error: errors.UpstreamError) -> Outcome:
    """Return what a failed attempt shows about its engine."""
    if isinstance(error, errors.UpstreamUnsendable | errors.UpstreamFault):
        return Outcome.NOTHING
    if isinstance(error, errors.UpstreamRefused):
        return answer_outcome(error.status) if error.ran else Outcome.FULL
    return Outcome.BROKEN if error.ran else Outcome.UNREACHED


def answer_outcome(status: int) -> Outcome:
    """Return what the status of a complete answer shows about its engine.

    >>> answer_outcome(422).value, answer_outcome(500).value
    ('good', 'failed')
    """
    return Outcome.FAILED if status >= SERVER_ERROR else Outcome.GOOD
