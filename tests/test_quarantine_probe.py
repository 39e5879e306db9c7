"""Tests of when an item may test a quarantine."""

import pytest

from camphortray import quarantine_probe

CALM_S, PROBE_S = quarantine_probe.CALM_S, quarantine_probe.PROBE_S


def schedule(*probes):
    """Return the schedule of a quarantine that begins at 100 s."""
    found = quarantine_probe.ProbeSchedule(100.0, 2.0)
    for at in probes:
        found.record(at)
    return found


@pytest.mark.parametrize(
    ("probes", "crashes", "due_at"),
    [
        ((), (), 100.0 + CALM_S),
        # Crashes of the burst itself move the first probe on, once.
        ((), (99.0, 100.0, 100.4, 100.8), 100.8 + CALM_S),
        # A probe that shows nothing in its time is followed by another.
        ((108.0,), (100.0,), 108.0 + PROBE_S),
        # Each one that ends in a crash doubles the wait.
        ((108.0,), (100.0, 108.2), 108.2 + 2 * CALM_S),
        ((108.0, 125.0), (100.0, 108.2, 125.1), 125.1 + 4 * CALM_S),
        # A crash that no probe has led to does not.
        ((108.0,), (100.0, 112.0), 112.0 + CALM_S),
    ],
)
def test_when_a_probe_is_due(probes, crashes, due_at):
    """A sound segment that met crashes was refused for an hour."""
    assert not schedule(*probes).is_due(list(crashes), due_at - 0.01)
    assert schedule(*probes).is_due(list(crashes), due_at)


def test_a_segment_that_crashes_every_engine_is_rarely_tested():
    """Probes took one engine after the other."""
    tested, crashes, now = schedule(), [100.0], 100.0
    while now < 100.0 + 3600.0:
        now += 0.5
        if tested.is_due(crashes, now):
            tested.record(now)
            crashes.append(now + 0.1)
    assert len([at for at in crashes if at < 178.0]) <= 1 + 3
    assert len(crashes) <= 1 + 12


def test_a_look_is_taken_a_few_times_a_second():
    """Each of many waiting items weighed all crashes each time."""
    looked = schedule()
    assert [looked.looks(n / 100) for n in range(100)].count(True) <= 5
