"""Learns how fast engines are, from the pace of the streams that they ran."""

__all__ = ["EngineSpeeds", "pace_of"]

from collections.abc import Collection

import msgspec

# Fewest events between the first and the last one that show a pace.
MIN_EVENTS = 4
# Weights of a new sample in the pace of an engine, in that of a slow engine,
# which gets few requests, and in the usual pace.
PACE_WEIGHT = 0.3
PROBE_WEIGHT = 0.8
USUAL_WEIGHT = 0.02
# Factors on the usual pace from which an engine is slow, and below which it no
# longer is.
SLOW_FACTOR = 2.0
RECOVERED_FACTOR = 1.5
# Samples before an engine may count as slow.
MIN_SAMPLES = 2
# Engines whose pace is within these factors of the usual one count as equal:
# the pace also depends on how many requests an engine runs.
EQUAL_FACTORS = (0.75, 1.35)
# Seconds after its last sample at which a slow engine is tried again, with one
# request at a time, and at which the pace of any engine is forgotten.
PROBE_S = 1.0
FORGET_S = 30.0


class Speed(msgspec.Struct):
    """Pace of one engine.

    Attributes:
      pace_s: Seconds between two events.
      at: Time of the last sample.
      samples: Number of samples.
    """

    pace_s: float
    at: float
    samples: int = 1


class EngineSpeeds:
    """Paces of the engines of one service.

    Attributes:
      by_engine: Engines with a recent sample.
      slow_names: Engines that were far slower than usual at their last
        sample. They are few, and each decision on a slot asks for them.
      usual_s: Usual seconds between two events; 0 if none is known.
    """

    def __init__(self) -> None:
        self.by_engine: dict[str, Speed] = {}
        self.slow_names: set[str] = set()
        self.usual_s = 0.0

    def keep(self, names: Collection[str]) -> None:
        """Forget engines other than ``names``."""
        for name in self.by_engine.keys() - set(names):
            del self.by_engine[name]
        self.slow_names &= self.by_engine.keys()

    def record(self, engine: str, pace_s: float, now: float) -> None:
        """Record the pace of a run.

        Args:
          engine: Name of the engine.
          pace_s: Mean seconds between its events; 0 if it shows none.
          now: Present time.
        """
        if not pace_s:
            return
        was_slow = engine in self.slow_names
        speed = self.by_engine.get(engine)
        if speed is None or now - speed.at > FORGET_S:
            speed = self.by_engine[engine] = Speed(pace_s, now)
        else:
            weight = PROBE_WEIGHT if was_slow else PACE_WEIGHT
            speed.pace_s += weight * (pace_s - speed.pace_s)
            speed.samples += 1
            speed.at = now
        if not self.usual_s:
            self.usual_s = pace_s
        elif not was_slow:
            # A single slow engine must not shift what is usual.
            sample_s = min(pace_s, SLOW_FACTOR * self.usual_s)
            self.usual_s += USUAL_WEIGHT * (sample_s - self.usual_s)
        limit = RECOVERED_FACTOR if was_slow else SLOW_FACTOR
        self.slow_names.discard(engine)
        if (
            speed.samples >= MIN_SAMPLES
            and speed.pace_s > limit * self.usual_s
        ):
            self.slow_names.add(engine)
            self.check_usual()

    def check_usual(self) -> None:
        """Learn the usual pace anew if most engines are slower than it."""
        paces = sorted(speed.pace_s for speed in self.by_engine.values())
        median_s = paces[(len(paces) - 1) // 2]
        if median_s > SLOW_FACTOR * self.usual_s:
            self.usual_s = median_s
            self.slow_names = {
                name
                for name, speed in self.by_engine.items()
                if speed.pace_s > SLOW_FACTOR * median_s
            }

    def factor(self, engine: str) -> float:
        """Return the pace of an engine over the usual one, 1 if about equal.

        An engine without a sample counts as usual.
        """
        speed = self.by_engine.get(engine)
        if speed is None or not self.usual_s:
            return 1.0
        factor = speed.pace_s / self.usual_s
        least, most = EQUAL_FACTORS
        return 1.0 if least <= factor <= most else factor

    def slow(self, now: float) -> set[str]:
        """Return the engines that are far slower than usual."""
        return {
            name
            for name in self.slow_names
            if now - self.by_engine[name].at <= FORGET_S
        }

    def probes(self, now: float) -> set[str]:
        """Return the slow engines that are due to be tried again."""
        return {
            name
            for name in self.slow(now)
            if now - self.by_engine[name].at > PROBE_S
        }


def pace_of(events: int, stream_s: float) -> float:
    """Return the seconds between events, or 0 if there are too few.

    >>> pace_of(11, 2.0), pace_of(3, 2.0)
    (0.2, 0.0)
    """
    return stream_s / (events - 1) if events > MIN_EVENTS else 0.0
