"""Counters, gauges and histograms of one program."""

__all__ = ["Metrics"]

from typing import Any

from aioprometheus import collectors
from aioprometheus import renderer

Labels = dict[str, str | int | float]


class Metrics:
    """A registry that makes each collector on first use.

    >>> metrics = Metrics()
    >>> metrics.inc("requests_total", "Requests.", {"service": "a"})
    >>> b"requests_total" in metrics.render()[0]
    True
    """

    def __init__(self) -> None:
        self.registry = collectors.Registry()
        self.collectors: dict[str, Any] = {}

    def inc(self, name: str, doc: str, labels: Labels, by: float = 1) -> None:
        """Add to a counter."""
        self._get(collectors.Counter, name, doc).add(labels, by)

    def set(self, name: str, doc: str, labels: Labels, value: float) -> None:
        """Set a gauge."""
        self._get(collectors.Gauge, name, doc).set(labels, value)

    def observe(
        self, name: str, doc: str, labels: Labels, value: float
    ) -> None:
        """Add a value to a histogram of seconds."""
        self._get(collectors.Histogram, name, doc).add(labels, value)

    def _get(self, cls: type, name: str, doc: str) -> Any:
        collector = self.collectors.get(name)
        if collector is None:
            collector = cls(name, doc, registry=self.registry)
            self.collectors[name] = collector
        return collector

    def render(self) -> tuple[bytes, dict[str, str]]:
        """Return the text for ``/metrics`` and its headers."""
        return renderer.render(self.registry, ["text/plain"])
