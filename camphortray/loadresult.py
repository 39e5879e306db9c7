"""What a load experiment measured, kept as JSON and compared."""

__all__ = ["Comparison", "Measured", "Result", "Sent", "compare"]

import collections
import dataclasses
import pathlib

from hdrh import histogram
import msgspec

# Histograms hold microseconds up to ten minutes, to three digits.
LONGEST_US = 600_000_000
DIGITS = 3
MEASURES = ("ttft", "itl", "whole")
QUANTILES = (50.0, 95.0, 99.0, 99.9)


def new_histogram() -> histogram.HdrHistogram:
    """Return an empty histogram of microseconds."""
    return histogram.HdrHistogram(1, LONGEST_US, DIGITS)


class Measured:
    """Counts and histograms of a run under way.

    Attributes:
      histograms: By measure: time to first token, between tokens, and to
        the end of the answer. The first and the last count from the time
        at which the request was meant to be sent.
      outcomes: ``"ok"``, ``"cut"``, ``"failed"``, ``"not sent"``, or the
        code of a refusal.
      seconds: Per second of the trace, times to first token.
    """

    def __init__(self) -> None:
        self.histograms = {name: new_histogram() for name in MEASURES}
        self.outcomes: collections.Counter[str] = collections.Counter()
        self.seconds: dict[int, list[float]] = collections.defaultdict(list)

    def record(self, measure: str, seconds: float) -> None:
        """Add one latency."""
        micros = min(LONGEST_US, max(1, round(seconds * 1e6)))
        self.histograms[measure].record_value(micros)

    def first_token(self, meant_at: float, seconds: float) -> None:
        """Add a time to the first token of a request."""
        self.record("ttft", seconds)
        self.seconds[int(meant_at)].append(seconds)

    def result(self, name: str, sent: "Sent") -> "Result":
        """Return what was measured as data."""
        worst = {
            str(second): round(max(values), 4)
            for second, values in sorted(self.seconds.items())
        }
        return Result(
            name,
            sent,
            dict(self.outcomes),
            {
                measure: {
                    f"p{share:g}": held.get_value_at_percentile(share) / 1e6
                    for share in QUANTILES
                }
                for measure, held in self.histograms.items()
            },
            {
                measure: held.encode().decode("ascii")
                for measure, held in self.histograms.items()
            },
            worst,
        )


@dataclasses.dataclass(frozen=True)
class Sent:
    """What makes up the requests of a run; the same sends the same.

    Attributes:
      trace: Name of the trace.
      seed: Of the trace.
      seconds: Its length.
      scale: Factor on its rates.
    """

    trace: str
    seed: int
    seconds: float
    scale: float


@dataclasses.dataclass(frozen=True)
class Result:
    """A finished run.

    Attributes:
      name: Of the experiment.
      sent: What was sent.
      outcomes: Number of requests by outcome.
      quantiles: Seconds by measure and quantile.
      histograms: Encoded, by measure.
      worst_s: Longest time to first token of each second of the trace.
    """

    name: str
    sent: Sent
    outcomes: dict[str, int]
    quantiles: dict[str, dict[str, float]]
    histograms: dict[str, str]
    worst_s: dict[str, float]

    @classmethod
    def from_file(cls, path: str) -> "Result":
        """Read a result."""
        return msgspec.json.decode(pathlib.Path(path).read_bytes(), type=cls)

    def to_file(self, path: str) -> None:
        """Write the result."""
        data = msgspec.json.format(msgspec.json.encode(self), indent=1)
        pathlib.Path(path).write_bytes(data)

    def curve(self, measure: str) -> list[tuple[float, float]]:
        """Return share of answers by percentile, as (percent, seconds)."""
        held = histogram.HdrHistogram.decode(
            self.histograms[measure].encode("ascii")
        )
        shares = [s / 2 for s in range(199)] + [99.5, 99.9, 99.99]
        return [(s, held.get_value_at_percentile(s) / 1e6) for s in shares]


@dataclasses.dataclass(frozen=True)
class Comparison:
    """Two runs side by side.

    Attributes:
      ratios: Second to first run, by measure and quantile; None where
        the first measured nothing.
      outcomes: Numbers of both runs by outcome.
    """

    first: str
    second: str
    same_trace: bool
    ratios: dict[str, dict[str, float | None]]
    outcomes: dict[str, tuple[int, int]]


def compare(first: Result, second: Result) -> Comparison:
    """Compare two runs; those that sent the same compare like with like."""
    ratios: dict[str, dict[str, float | None]] = {}
    for measure in MEASURES:
        ratios[measure] = {}
        for share, ours in second.quantiles[measure].items():
            theirs = first.quantiles[measure][share]
            ratio = round(ours / theirs, 3) if theirs else None
            ratios[measure][share] = ratio
    names = sorted({*first.outcomes, *second.outcomes})
    return Comparison(
        first.name,
        second.name,
        first.sent == second.sent,
        ratios,
        {
            name: (first.outcomes.get(name, 0), second.outcomes.get(name, 0))
            for name in names
        },
    )
