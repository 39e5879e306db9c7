"""One self-contained HTML page with the plots of two load runs."""

__all__ = ["page"]

import html
import math

from camphortray import loadresult

WIDTH = 640
HEIGHT = 260
LEFT = 60
TOP = 14
RIGHT = 26
BOTTOM = 30
COLOURS = ("#2a6f97", "#c1440e")
STYLE = (
    "body{font:14px sans-serif;max-width:60em;margin:2em auto}"
    "td,th{padding:.2em .8em;text-align:right;border-bottom:1px solid #ddd}"
)
TITLES = {
    "ttft": "Time to first token",
    "itl": "Time between tokens",
    "whole": "Time to the whole answer",
}

Points = list[tuple[float, float]]


def page(
    first: loadresult.Result,
    second: loadresult.Result,
    comparison: loadresult.Comparison,
) -> str:
    """Return the page."""
    names = (first.name, second.name)
    body = [
        f"<h1>{html.escape(names[0])} and {html.escape(names[1])}</h1>",
        legend(names),
        ratio_table(comparison),
        outcome_table(comparison),
    ]
    if not comparison.same_trace:
        body.append("<p>The runs did not send the same requests.</p>")
    for measure, title in TITLES.items():
        curves = [tail(run.curve(measure)) for run in (first, second)]
        body.append(plot(f"{title}, seconds by percentile", curves, ticks()))
    worst = [
        [(float(second), value) for second, value in run.worst_s.items()]
        for run in (first, second)
    ]
    body.append(plot("Worst time to first token in each second", worst, []))
    return (
        "<!doctype html><html><head><meta charset='utf-8'><title>Load</title>"
        f"<style>{STYLE}</style></head><body>{''.join(body)}</body></html>\n"
    )


def tail(curve: Points) -> Points:
    """Stretch the upper percentiles: 90, 99 and 99.9 stand evenly apart."""
    return [(-math.log10(1 - share / 100), at) for share, at in curve]


def ticks() -> list[tuple[float, str]]:
    """Return marks for a stretched axis."""
    shares = (0, 50, 90, 99, 99.9, 99.99)
    return [(-math.log10(1 - s / 100), f"{s:g}%") for s in shares]


def legend(names: tuple[str, str]) -> str:
    """Return which colour is which run."""
    return "".join(
        f"<p style='color:{colour}'>&#9632; {html.escape(name)}</p>"
        for name, colour in zip(names, COLOURS, strict=True)
    )


def ratio_table(comparison: loadresult.Comparison) -> str:
    """Return the ratios as a table."""
    shares = list(next(iter(comparison.ratios.values())))
    rows = [row("th", ["second / first", *shares])]
    for measure, ratios in comparison.ratios.items():
        cells = ["-" if r is None else f"{r:.3f}" for r in ratios.values()]
        rows.append(row("td", [TITLES[measure], *cells]))
    return f"<table>{''.join(rows)}</table>"


def outcome_table(comparison: loadresult.Comparison) -> str:
    """Return the numbers of requests by outcome."""
    rows = [row("th", ["outcome", "first", "second"])]
    for name, (first, second) in comparison.outcomes.items():
        rows.append(row("td", [name, str(first), str(second)]))
    return f"<table>{''.join(rows)}</table>"


def row(tag: str, cells: list[str]) -> str:
    """Return one row of a table."""
    inner = "".join(f"<{tag}>{html.escape(cell)}</{tag}>" for cell in cells)
    return f"<tr>{inner}</tr>"


def plot(
    title: str, curves: list[Points], marks: list[tuple[float, str]]
) -> str:
    """Return a plot of curves as SVG."""
    points = [point for curve in curves for point in curve]
    right = max((x for x, _ in points), default=1.0) or 1.0
    top = max((y for _, y in points), default=1.0) or 1.0

    def place(x: float, y: float) -> str:
        across = LEFT + x / right * (WIDTH - LEFT - RIGHT)
        down = (HEIGHT - BOTTOM - TOP) * (1 - y / top) + TOP
        return f"{across:.1f},{down:.1f}"

    lines = [
        f"<polyline fill='none' stroke='{colour}' stroke-width='1.5'"
        f" points='{' '.join(place(x, y) for x, y in curve)}'/>"
        for curve, colour in zip(curves, COLOURS, strict=True)
        if curve
    ]
    labels = []
    for step in range(5):
        value = top * step / 4
        across, down = place(0, value).split(",")
        labels.append(f"<text x='2' y='{down}'>{value:.3g} s</text>")
        labels.append(
            f"<path stroke='#ddd' d='M{across} {down}H{WIDTH - RIGHT}'/>"
        )
    for x, text in marks or [(0, "0 s"), (right, f"{right:g} s")]:
        across = place(x, 0).partition(",")[0]
        labels.append(
            f"<text x='{across}' y='{HEIGHT - 8}'"
            f" text-anchor='middle'>{text}</text>"
        )
    return (
        f"<h2>{html.escape(title)}</h2><svg width='{WIDTH}' height='{HEIGHT}'"
        f" font-size='11'>{''.join(labels)}{''.join(lines)}</svg>"
    )
