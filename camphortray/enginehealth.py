"""Circuit breaking of engines, by the outcomes of requests sent to them."""

__all__ = ["HealthTracker", "Outcome", "outcome_of"]

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


class Outcome(enum.Enum):
    """How a lease ended, as evidence about its engine."""

    GOOD = "good"
    FULL = "full"
    UNREACHED = "unreached"
    BROKEN = "broken"
    NOTHING = "nothing"


class Health(msgspec.Struct):
    """Health of an engine, derived from the outcomes of its leases.

    Attributes:
      closed_until: Time before which it gets no requests.
      failures: Consecutive failures that ejected it.
      broken: Consecutive broken responses.
      trial: Whether it gets one request at a time until one succeeds.
    """

    closed_until: float = -math.inf
    failures: int = 0
    broken: int = 0
    trial: bool = False


class HealthTracker:
    """Tracks which engines are ejected and which are on trial.

    Engines are not polled for health: polling costs a probe, and its
    result can be wrong either way. The outcomes of real requests are not.

    Attributes:
      by_engine: Health of the engines that have failed, by name.
    """

    def __init__(self) -> None:
        self.by_engine: dict[str, Health] = {}

    def keep(self, names: Collection[str]) -> None:
        """Forget engines other than ``names``."""
        for name in self.by_engine.keys() - set(names):
            del self.by_engine[name]

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
        return 1 if health.trial and not ignore_trial else slots

    def retry_times(self, now: float) -> list[float]:
        """Return the times at which ejected engines are tried again."""
        return [
            health.closed_until
            for health in self.by_engine.values()
            if health.closed_until > now
        ]

    def record_outcome(
        self, engine: str, outcome: Outcome, now: float
    ) -> None:
        """Update an engine's health from the outcome of a lease."""
        if outcome is Outcome.NOTHING:
            return
        if outcome is Outcome.GOOD:
            self.by_engine.pop(engine, None)
            return
        health = self.by_engine.setdefault(engine, Health())
        if outcome is Outcome.FULL:
            health.closed_until = max(health.closed_until, now + FULL_S)
            return
        if outcome is Outcome.BROKEN:
            health.broken += 1
            if health.broken < BROKEN_THRESHOLD:
                return
        if now < health.closed_until:
            # Sent before the engine was ejected; no new evidence.
            return
        pause_s = min(UNREACHED_S * 2**health.failures, UNREACHED_MAX_S)
        health.failures += 1
        health.trial = True
        health.closed_until = now + pause_s


def outcome_of(error: errors.UpstreamError) -> Outcome:
    """Return what a failed attempt shows about its engine."""
    if isinstance(error, errors.UpstreamUnsendable | errors.UpstreamFault):
        return Outcome.NOTHING
    if isinstance(error, errors.UpstreamRefused):
        return Outcome.GOOD if error.ran else Outcome.FULL
    return Outcome.BROKEN if error.ran else Outcome.UNREACHED
