"""How engines are, as the ends of the requests sent there tell."""

__all__ = ["HealthBook", "Outcome", "outcome_of"]

from collections.abc import Collection
import dataclasses
import enum
import math

from camphortray import errors

# Seconds that an engine gets nothing after it refused as full: some other
# request still holds a slot there, and it is not known for how long.
FULL_S = 0.15
# Seconds that an engine gets nothing after it could not be reached, for
# the first time; doubled with each further failure up to the second.
UNREACHED_S = 0.5
UNREACHED_MOST_S = 4.0
# Answers in a row that broke off at which an engine is put aside too. One
# or two may be the fault of the request or of the way.
BROKEN_ROW = 3


class Outcome(enum.Enum):
    """How a lease ended, as far as it says something of the engine."""

    GOOD = "good"
    FULL = "full"
    UNREACHED = "unreached"
    BROKEN = "broken"
    NOTHING = "nothing"


@dataclasses.dataclass(slots=True)
class Health:
    """What is known of an engine from the ends of its leases.

    Attributes:
      closed_until: Before this time it gets nothing.
      failures: Times in a row that it could not be reached.
      broken: Answers in a row that broke off.
      trial: Whether it gets one request at a time until one goes well.
    """

    closed_until: float = -math.inf
    failures: int = 0
    broken: int = 0
    trial: bool = False


class HealthBook:
    """Which engines are put aside, and which are tried with one request.

    Health answers of engines are not asked for: they cost a probe, and
    some are false either way. What becomes of requests is not.

    Attributes:
      held: Engines of which there is anything bad to tell.
    """

    def __init__(self) -> None:
        self.held: dict[str, Health] = {}

    def keep(self, names: Collection[str]) -> None:
        """Forget engines that are not there any more."""
        for name in self.held.keys() - set(names):
            del self.held[name]

    def room(self, engine: str, slots: int, now: float, whole: bool) -> int:
        """Return how many of an engine's slots may be in use.

        Args:
          engine: Which.
          slots: That it has.
          now: Present time.
          whole: Whether to leave trials out of account.
        """
        health = self.held.get(engine)
        if health is None:
            return slots
        if now < health.closed_until:
            return 0
        return 1 if health.trial and not whole else slots

    def openings(self, now: float) -> list[float]:
        """Return when engines that are put aside are tried again."""
        return [
            health.closed_until
            for health in self.held.values()
            if health.closed_until > now
        ]

    def judge(self, engine: str, outcome: Outcome, now: float) -> None:
        """Learn from the end of a lease how its engine is."""
        if outcome is Outcome.NOTHING:
            return
        if outcome is Outcome.GOOD:
            self.held.pop(engine, None)
            return
        health = self.held.setdefault(engine, Health())
        if outcome is Outcome.FULL:
            health.closed_until = max(health.closed_until, now + FULL_S)
            return
        if outcome is Outcome.BROKEN:
            health.broken += 1
            if health.broken < BROKEN_ROW:
                return
        if now < health.closed_until:
            # Sent before it was put aside; says nothing new.
            return
        pause_s = min(UNREACHED_S * 2**health.failures, UNREACHED_MOST_S)
        health.failures += 1
        health.trial = True
        health.closed_until = now + pause_s


def outcome_of(error: errors.UpstreamError) -> Outcome:
    """Return what a failed try says of its engine."""
    if isinstance(error, errors.UpstreamUnsendable | errors.UpstreamFault):
        return Outcome.NOTHING
    if isinstance(error, errors.UpstreamRefused):
        return Outcome.GOOD if error.ran else Outcome.FULL
    return Outcome.BROKEN if error.ran else Outcome.UNREACHED
