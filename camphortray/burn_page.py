"""The burn report as text and as one self-contained page."""

__all__ = ["Report", "page", "text"]

import dataclasses
import datetime
import html
import itertools

from camphortray import burn
from camphortray import burn_aggregation
from camphortray import burn_rate

HOUR_S = 3600
# Size of a plot in pixels; time runs to the right.
WIDTH, HEIGHT, EDGE = 640, 120, 30
STYLE = """
body { font: 15px/1.5 sans-serif; margin: 2em auto; max-width: 60em;
  color: #222; }
table { border-collapse: collapse; margin: 1em 0; }
th, td { padding: .25em .8em; text-align: right; border-bottom:
  1px solid #ddd; }
th:nth-child(-n+3), td:nth-child(-n+3) { text-align: left; }
.page { background: #c0392b; color: #fff; }
.ticket { background: #e6b333; }
.warn { background: #fdecea; border-left: 4px solid #c0392b;
  padding: .5em 1em; }
svg { background: #fafafa; display: block; margin: .3em 0 1em; }
figcaption { color: #555; }
"""


@dataclasses.dataclass(frozen=True)
class Report:
    """What both forms show.

    Attributes:
      at: When it was made, in seconds since 1970.
      gathered: What hosts told.
      burns: Burn by service, class and indicator.
      harms: Online latency with little and with much batch work.
    """

    at: float
    gathered: burn_aggregation.Gathered
    burns: list[burn_rate.Burn]
    harms: list[burn_rate.Harm]

    @classmethod
    def from_gathered(
        cls, gathered: burn_aggregation.Gathered, at: float
    ) -> "Report":
        """Work out the figures."""
        return cls(
            at,
            gathered,
            burn_rate.burns(gathered.rows, gathered.objectives, at),
            burn_rate.harm(gathered.rows),
        )


def text(report: Report) -> str:
    """Return the report for a terminal."""
    lines = [head(report)]
    lines += [f"NO ANSWER: {line}" for line in missing_lines(report)]
    lengths = window_lengths()
    shown = "".join(f"{label(n):>8}" for n in lengths)
    lines.append(
        f"{'service':<20}{'class':<8}{'indicator':<11}{'events':>10}"
        f"{shown}{'left':>8}  alert"
    )
    for row in report.burns:
        rates = "".join(f"{number(row.rates[n]):>8}" for n in lengths)
        lines.append(
            f"{row.service:<20}{class_of(row.batch):<8}{row.indicator:<11}"
            f"{row.events:>10}{rates}{percent(row.left):>8}  {row.alert}"
        )
    if not report.burns:
        lines.append("no events in any window")
    for harm in report.harms:
        lines.append(harm_line(harm))
    return "\n".join(lines)


def head(report: Report) -> str:
    """Return the first line: when, and how many answered."""
    gathered = report.gathered
    return (
        f"Service-level burn at {stamp(report.at)} from"
        f" {len(gathered.answered)} processes that answered,"
        f" {len(gathered.missing)} that did not and {gathered.kept} lost"
        " ones known from the log"
    )


def missing_lines(report: Report) -> list[str]:
    """Return a line for each process whose events are not known."""
    return [f"{n}: {why}" for n, why in report.gathered.missing.items()]


def harm_line(harm: burn_rate.Harm) -> str:
    """Return the comparison of one service."""
    return (
        f"{harm.service}: p99 first token"
        f" {seconds(harm.ttft_s[0])} in {harm.minutes[0]} minutes with"
        f" little batch work, {seconds(harm.ttft_s[1])} in"
        f" {harm.minutes[1]} with much; between tokens"
        f" {seconds(harm.itl_s[0])} and {seconds(harm.itl_s[1])}"
    )


def window_lengths() -> list[int]:
    """Return the lengths of all windows in seconds, the shortest first."""
    pairs = ((w.short_s, w.long_s) for w in burn_rate.WINDOWS)
    return sorted(set(itertools.chain.from_iterable(pairs)))


def label(length_s: int) -> str:
    """Return the name of a window.

    >>> label(300), label(21600)
    ('5m', '6h')
    """
    if length_s < HOUR_S:
        return f"{length_s // 60}m"
    return f"{length_s // HOUR_S}h"


def number(value: float | None) -> str:
    """Return a rate, or a dash where there were no events."""
    return "-" if value is None else f"{value:.2f}"


def percent(value: float | None) -> str:
    """Return a share as a percentage."""
    return "-" if value is None else f"{value:.0%}"


def seconds(value: float | None) -> str:
    """Return a time in milliseconds."""
    return "-" if value is None else f"{value * 1000:.0f} ms"


def stamp(at: float) -> str:
    """Return a time for people, in UTC."""
    return f"{datetime.datetime.fromtimestamp(at, datetime.UTC):%F %T} UTC"


def class_of(batch: bool) -> str:
    """Return the word for a class of work."""
    return "batch" if batch else "online"


def page(report: Report) -> str:
    """Return the report as one page that needs nothing else."""
    missing = "".join(
        f'<p class="warn">No answer from {html.escape(line)}. Its events'
        " are not counted as good.</p>"
        for line in missing_lines(report)
    )
    plots = "".join(
        figure(report, key) for key in sorted(keys(report.gathered.rows))
    )
    harms = "".join(
        f"<p>{html.escape(harm_line(harm))}</p>" for harm in report.harms
    )
    return (
        "<!doctype html>\n<html lang='en'><head><meta charset='utf-8'>"
        "<title>Service-level burn</title>"
        f"<style>{STYLE}</style></head><body>"
        f"<h1>Service-level burn</h1><p>{html.escape(head(report))}</p>"
        f"{missing}{table(report)}"
        f"<h2>Online latency and batch work</h2>{harms or '<p>no data</p>'}"
        f"<h2>Last two hours by minute</h2>{plots or '<p>no data</p>'}"
        "</body></html>\n"
    )


def table(report: Report) -> str:
    """Return the burns as a table."""
    lengths = window_lengths()
    columns = ["service", "class", "indicator", "events"]
    columns += [label(n) for n in lengths] + ["budget left", "alert"]
    rows = []
    for row in report.burns:
        cells = [
            html.escape(row.service),
            class_of(row.batch),
            row.indicator,
            str(row.events),
            *(number(row.rates[n]) for n in lengths),
            percent(row.left),
            row.alert,
        ]
        rows.append(
            f"<tr class='{row.alert}'><td>{'</td><td>'.join(cells)}</td></tr>"
        )
    return (
        f"<table><tr><th>{'</th><th>'.join(columns)}</th></tr>"
        f"{''.join(rows)}</table>"
    )


def keys(rows: tuple[burn.Row, ...]) -> set[burn.Key]:
    """Return what the rows are about."""
    return {burn.Key(row.service, row.batch) for row in rows}


def figure(report: Report, key: burn.Key) -> str:
    """Return plots of tokens and latency of one service and class."""
    minutes: dict[int, burn.Cell] = {}
    for row in report.gathered.rows:
        if (row.service, row.batch) == key and row.length_s == 60:
            minutes.setdefault(row.start, burn.Cell()).add(row.cell)
    if not minutes:
        return ""
    name = f"{html.escape(key.service)}, {class_of(key.batch)}"
    tokens = {at: cell.tokens / 60 for at, cell in minutes.items()}
    plots = [plot(f"{name}: tokens a second", tokens)]
    if not key.batch:
        late = {
            at: value * 1000
            for at, cell in minutes.items()
            if (value := burn_rate.p99(cell.ttft)) is not None
        }
        plots.append(plot(f"{name}: p99 time to first token, ms", late))
    return "".join(plots)


def plot(caption: str, points: dict[int, float]) -> str:
    """Return a line plot; a gap in time is a gap in the line."""
    if not points:
        return ""
    begin, end = min(points), max(points)
    top = max(points.values()) or 1.0
    span = max(end - begin, 60)
    path = []
    before = None
    for at in sorted(points):
        x = EDGE + (WIDTH - 2 * EDGE) * (at - begin) / span
        y = HEIGHT - EDGE + (2 * EDGE - HEIGHT) * points[at] / top
        joined = before is not None and at - before <= 60
        path.append(f"{'L' if joined else 'M'}{x:.1f} {y:.1f}")
        if not joined:
            path.append("h0.1")
        before = at
    return (
        f"<figure><figcaption>{caption}</figcaption>"
        f'<svg width="{WIDTH}" height="{HEIGHT}" role="img">'
        f'<path d="{" ".join(path)}" fill="none" stroke="#2471a3"'
        ' stroke-width="2" stroke-linecap="round"/>'
        f'<text x="{EDGE}" y="{EDGE - 10}" font-size="11">{top:.4g}</text>'
        f'<text x="{EDGE}" y="{HEIGHT - 8}" font-size="11">'
        f"{stamp(begin)}</text>"
        f'<text x="{WIDTH - EDGE}" y="{HEIGHT - 8}" font-size="11"'
        f' text-anchor="end">{stamp(end)}</text></svg></figure>'
    )
