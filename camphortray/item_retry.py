"""Decides what follows a try of an opaque item that did not end it."""

__all__ = ["Fate", "ItemTries", "Pace", "decide"]

import dataclasses
import enum

from camphortray import errors

# Answers that say that an item can never be done.
NEVER = frozenset({422})
# An engine's own failure at the item.
FAILED = frozenset({500})
# Crashes at which an item counts as the cause, and how long it then keeps
# away from engines, in seconds: it may be run again, but seldom.
BREAKS = 3
BARRED_S = 15.0
# Pause after a try that ended early, in seconds; doubled up to the second.
PAUSE_S = 0.05
MAX_PAUSE_S = 1.0
# Events and seconds of one item before any has been measured.
FIRST_EVENTS = 200.0
FIRST_EVENT_S = 0.02
# Seconds to the first event of an item that has made nothing yet.
FIRST_START_S = 0.02
# Weight of a new measurement in the running means.
LEARN = 0.1
# Events whose time counts in a rate: some items' worth, so that it follows
# an engine's load within seconds and no single run decides it.
RATE_COUNT = 1_000.0


class Fate(enum.Enum):
    """What becomes of an item."""

    AGAIN = "again"
    ABANDON = "abandon"


@dataclasses.dataclass(slots=True)
class ItemTries:
    """What an item has been through with this owner.

    Attributes:
      failed: Answers that were an engine's own failure.
      breaks: Answers in a row that broke off before their first event.
      pauses: Tries in a row that brought nothing.
      avoid: Engine of the last try that failed.
      not_before: When it may be tried again.
    """

    failed: int = 0
    breaks: int = 0
    pauses: int = 0
    avoid: str = ""
    not_before: float = 0.0


def decide(
    tries: ItemTries,
    error: errors.UpstreamError,
    upstream: str,
    now: float,
    attempts: int,
    brought: int = 0,
) -> Fate:
    """Take note of a failed try and return what follows.

    Args:
      tries: Of the item; changed.
      error: How the try failed.
      upstream: At which engine.
      now: Present time.
      attempts: Failures of engines after which an item is given up.
      brought: Events that the try brought.
    """
    tries.avoid = upstream
    tries.pauses += 1
    pause_s = min(MAX_PAUSE_S, PAUSE_S * 2 ** min(tries.pauses, 8))
    tries.not_before = now + pause_s
    if isinstance(error, errors.UpstreamRefused):
        if error.status in NEVER:
            return Fate.ABANDON
        if error.ran and error.status in FAILED:
            tries.failed += 1
            if tries.failed >= attempts:
                return Fate.ABANDON
        return Fate.AGAIN
    if brought:
        # What crashes engines does so as it begins to run.
        tries.breaks = 0
    elif error.ran and not isinstance(error, errors.UpstreamTimeout):
        # Silence may be this host's own, which stood still or is slow.
        tries.breaks += 1
        if tries.breaks >= BREAKS:
            tries.not_before = now + BARRED_S
    return Fate.AGAIN


@dataclasses.dataclass(slots=True)
class Rate:
    """Seconds for one of something, over all that was measured of late.

    Sums are kept and not a mean of rates: a run that was stopped after its
    first event says next to nothing of how fast events come. Counted like a
    whole one, ten such runs in a row made items of five seconds pass for
    ones of twenty, and so for too late, behind all others, until the end.

    Attributes:
      seconds: Taken in all.
      count: How many that were.
    """

    seconds: float
    count: float

    @property
    def each_s(self) -> float:
        """Seconds for one."""
        return self.seconds / self.count

    def add(self, seconds: float, count: int) -> None:
        """Take a measurement; older ones lose weight by its size."""
        kept = RATE_COUNT / (RATE_COUNT + count)
        self.seconds = self.seconds * kept + seconds
        self.count = self.count * kept + count


class Pace:
    """How long items take, as measured.

    Attributes:
      events: Mean number of events of an item.
      event: Time from one event to the next.
      fresh_s: Mean seconds to the first event from the beginning.
      again: Time added to that by each event already made.
    """

    def __init__(self) -> None:
        self.events = FIRST_EVENTS
        self.event = Rate(RATE_COUNT * FIRST_EVENT_S, RATE_COUNT)
        self.fresh_s = FIRST_START_S
        self.again = Rate(0.0, RATE_COUNT)

    def learn(self, events: int) -> None:
        """Take the number of events of an item that is done."""
        self.events += LEARN * (events - self.events)

    def ran(self, events: int, seconds: float) -> None:
        """Take what one run brought.

        Args:
          events: That came.
          seconds: From the first of them to the last.
        """
        if events > 1:
            self.event.add(seconds, events - 1)

    def started(self, made: int, seconds: float) -> None:
        """Take the time to the first event of a run after some events."""
        if not made:
            self.fresh_s += LEARN * (seconds - self.fresh_s)
            return
        self.again.add(max(0.0, seconds - self.fresh_s), made)

    def start_s(self, made: int) -> float:
        """Return the expected seconds to the first event after some."""
        return self.fresh_s + made * self.again.each_s

    def made_s(self, made: int) -> float:
        """Return the seconds that some events have taken to make."""
        return made * self.event.each_s

    def left_s(self, events: int) -> float:
        """Return the seconds that an item still needs after some events."""
        left = max(self.events - events, self.events * 0.1)
        return left * self.event.each_s
