"""Tests of what operators see of workspaces and engines in contention."""

from camphortray import contention_gauges
from camphortray import metrics
from tests import slotkit


def test_metrics_name_the_largest_workspaces_only():
    """Guards against a label for each of thousands of workspaces."""
    registry = metrics.Metrics()
    gauges = contention_gauges.ContentionGauges(registry, "s")
    scheduler = slotkit.scheduler_of(engines=10, slots=8)
    for number in range(60):
        name = "large" if number < 20 else f"w{number}"
        want = slotkit.online(f"q{number}", workspace=name)
        scheduler.ask(want, 0.0)
    for number in range(500):
        gauges.on_refused(f"w{number}")
    gauges.update(scheduler, 0.0)
    text = registry.render()[0].decode()
    lines = [
        line
        for line in text.splitlines()
        if line.startswith("camphortray_slots_by_workspace{")
    ]
    assert len(lines) == contention_gauges.MAX_LABELS
    assert any('"large"' in line and line.endswith(" 20") for line in lines)
    assert len(gauges.refused) <= contention_gauges.MAX_LABELS**2
    # A workspace that uses nothing any more is shown with nothing.
    for name in list(scheduler.leases):
        scheduler.accounting.drop(name)
    gauges.update(scheduler, 1.0)
    text = registry.render()[0].decode()
    assert 'workspace="large"} 20' not in text
