"""Burn rates over several windows, and what they call for."""

__all__ = ["Burn", "Harm", "Objective", "WINDOWS", "Window", "burns", "harm"]

from collections.abc import Iterable
import dataclasses
from typing import Literal

from camphortray import burn

HOUR_S = 3600
Alert = Literal["page", "ticket", ""]


@dataclasses.dataclass(frozen=True)
class Window:
    """A pair of windows that must both burn before it counts.

    The long one says that it matters, the short one that it still goes
    on. The rates are those at which 2%, 5% and 10% of the budget of 30
    days go in the long window.

    Attributes:
      long_s: Length of the long window.
      short_s: Length of the short one.
      rate: Burn rate from which both count.
      alert: What it calls for.
    """

    long_s: int
    short_s: int
    rate: float
    alert: Alert


WINDOWS = (
    Window(HOUR_S, 300, 14.4, "page"),
    Window(6 * HOUR_S, 1800, 6.0, "page"),
    Window(72 * HOUR_S, 6 * HOUR_S, 1.0, "ticket"),
)


@dataclasses.dataclass(frozen=True)
class Objective:
    """Share of events that must be good.

    Attributes:
      available: For answered requests.
      latency: For times to the first token and between tokens.
    """

    available: float
    latency: float

    def of(self, indicator: str) -> float:
        """Return the objective of an indicator."""
        return self.available if indicator == "available" else self.latency


@dataclasses.dataclass(frozen=True)
class Burn:
    """Burn of one indicator of one service and class.

    Attributes:
      service: Name of the service.
      batch: Whether it is batch work.
      indicator: One of ``burn.INDICATORS``.
      events: Events in the longest window.
      bad: Bad ones among them.
      rates: Burn rate by length of window in seconds; None where there
        were no events, which is no sign that all was well.
      alert: The gravest alert that its windows call for.
      left: Share of the longest window's budget not spent; below 0 when
        overspent, None without events.
    """

    service: str
    batch: bool
    indicator: str
    events: int
    bad: int
    rates: dict[int, float | None]
    alert: Alert
    left: float | None


def rate(good: int, bad: int, objective: float) -> float | None:
    """Return how many times faster than allowed the budget is spent.

    >>> rate(90, 10, 0.95)
    2.0
    """
    if not good + bad:
        return None
    return round(bad / (good + bad) / max(1 - objective, 1e-9), 6)


def burns(
    rows: Iterable[burn.Row],
    objectives: dict[str, Objective],
    now: float,
) -> list[Burn]:
    """Return the burn of each service, class and indicator with events."""
    held = list(rows)
    lengths = sorted({n for w in WINDOWS for n in (w.long_s, w.short_s)})
    merged = {n: burn.merge_rows(held, now - n) for n in lengths}
    found = []
    for key, cell in sorted(merged[lengths[-1]].items()):
        objective = objectives.get(key.service)
        if objective is None:
            continue
        for index, indicator in enumerate(burn.INDICATORS):
            good, bad = cell.good[index], cell.bad[index]
            if not good + bad:
                continue
            wanted = objective.of(indicator)
            rates = {
                n: window_rate(merged[n].get(key), index, wanted)
                for n in lengths
            }
            longest = rates[lengths[-1]]
            found.append(
                Burn(
                    key.service,
                    key.batch,
                    indicator,
                    good + bad,
                    bad,
                    rates,
                    alert_of(rates),
                    None if longest is None else 1 - longest,
                )
            )
    return found


def window_rate(
    cell: burn.Cell | None, index: int, objective: float
) -> float | None:
    """Return the burn rate of one indicator in one window."""
    if cell is None:
        return None
    return rate(cell.good[index], cell.bad[index], objective)


def alert_of(rates: dict[int, float | None]) -> Alert:
    """Return the gravest alert whose two windows both burn."""
    for window in WINDOWS:
        pair = rates[window.long_s], rates[window.short_s]
        if all(r is not None and r >= window.rate for r in pair):
            return window.alert
    return ""


@dataclasses.dataclass(frozen=True)
class Harm:
    """Online latency in minutes with much batch work and with little.

    Attributes:
      service: Name of the service.
      minutes: Numbers of minutes with little and with much.
      ttft_s: 99th percentile of the time to the first token in each.
      itl_s: Likewise between tokens.
    """

    service: str
    minutes: tuple[int, int]
    ttft_s: tuple[float | None, float | None]
    itl_s: tuple[float | None, float | None]


def harm(rows: Iterable[burn.Row]) -> list[Harm]:
    """Compare minutes by their batch tokens, for each service.

    A minute counts as having much batch work if it has more batch tokens
    than the median minute. This shows what went together, not what
    caused it: bursts of callers push batch work out.
    """
    by_minute: dict[str, dict[int, tuple[burn.Cell, int]]] = {}
    for row in rows:
        if row.length_s != burn.MINUTE_S:
            continue
        minutes = by_minute.setdefault(row.service, {})
        online, tokens = minutes.get(row.start, (burn.Cell(), 0))
        if row.batch:
            tokens += row.cell.tokens
        else:
            online.add(row.cell)
        minutes[row.start] = (online, tokens)
    return [
        compare(service, list(minutes.values()))
        for service, minutes in sorted(by_minute.items())
        if any(online.ttft for online, _ in minutes.values())
    ]


def compare(service: str, minutes: list[tuple[burn.Cell, int]]) -> Harm:
    """Compare the minutes of one service."""
    ordered = sorted(tokens for _, tokens in minutes)
    median = ordered[len(ordered) // 2]
    sides = burn.Cell(), burn.Cell()
    counts = [0, 0]
    for online, tokens in minutes:
        much = tokens >= max(median, 1)
        sides[much].add(online)
        counts[much] += 1
    return Harm(
        service,
        (counts[0], counts[1]),
        (p99(sides[0].ttft), p99(sides[1].ttft)),
        (p99(sides[0].itl), p99(sides[1].itl)),
    )


def p99(histogram: dict[int, int]) -> float | None:
    """Return the 99th percentile of a histogram."""
    return burn.quantile(histogram, 0.99)
