"""Reports who uses the slots of a service, and how fast its engines are."""

__all__ = ["ContentionGauges", "largest"]

import collections
from collections.abc import Mapping

from camphortray import metrics as metric_registry
from camphortray import slot_scheduler

# Workspaces and engines with a label of their own; the rest are one.
MAX_LABELS = 10
OTHERS = "(others)"


class ContentionGauges:
    """Updates the metrics of one coordinated service.

    Attributes:
      refused: Refused requests by workspace, since the start.
      shown: Labels that have been set, by metric.
    """

    def __init__(self, metrics: metric_registry.Metrics, service: str) -> None:
        self.metrics = metrics
        self.service = service
        self.refused: collections.Counter[str] = collections.Counter()
        self.shown: dict[str, set[str]] = collections.defaultdict(set)

    def on_refused(self, workspace: str) -> None:
        """Count a refused request; small counts make room for new names."""
        self.refused[workspace] += 1
        if len(self.refused) > MAX_LABELS * MAX_LABELS:
            kept = self.refused.most_common(MAX_LABELS * MAX_LABELS // 2)
            self.refused = collections.Counter(dict(kept))

    def update(
        self, scheduler: slot_scheduler.SlotScheduler, now: float
    ) -> None:
        """Update the metrics from the state of the scheduler."""
        leases = scheduler.leases.values()
        held = collections.Counter(lease.want.workspace for lease in leases)
        waiting = collections.Counter(w.workspace for w in scheduler.queue)
        self.show(
            "camphortray_slots_by_workspace",
            "Slots in use, by workspace; the largest ones by name.",
            "workspace",
            held,
        )
        self.show(
            "camphortray_waiting_by_workspace",
            "Online requests that wait for a slot, by workspace.",
            "workspace",
            waiting,
        )
        self.show(
            "camphortray_refused_by_workspace",
            "Online requests refused a slot, by workspace.",
            "workspace",
            self.refused,
        )
        speeds = scheduler.accounting.table.speeds
        factors = {name: speeds.factor(name) for name in speeds.by_engine}
        self.show(
            "camphortray_engine_pace_factor",
            "Time between events over the usual one, of the slowest engines.",
            "engine",
            {name: value for name, value in factors.items() if value != 1.0},
        )
        self.metrics.set(
            "camphortray_engines_slow",
            "Engines that are used last, as they are far slower than usual.",
            {"service": self.service},
            len(speeds.slow(now)),
        )

    def show(
        self, name: str, text: str, label: str, values: Mapping[str, float]
    ) -> None:
        """Set a metric for the largest values; clear those shown before."""
        shown = largest(values, MAX_LABELS)
        for key in self.shown[name] - shown.keys():
            shown[key] = 0.0
        self.shown[name] = {key for key, value in shown.items() if value}
        for key, value in shown.items():
            self.metrics.set(
                name, text, {"service": self.service, label: key}, value
            )


def largest(values: Mapping[str, float], count: int) -> dict[str, float]:
    """Return the largest values, and the sum of the others as one.

    >>> largest({"a": 1, "b": 5, "c": 2}, 2)
    {'b': 5, '(others)': 3}
    """
    ranked = sorted(values, key=lambda name: (-values[name], name))
    if len(ranked) <= count:
        return dict(values)
    found = {name: values[name] for name in ranked[: count - 1]}
    found[OTHERS] = sum(values[name] for name in ranked[count - 1 :])
    return found
