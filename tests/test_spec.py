"""The specifications hold, and each of their safeguards is needed."""

import pytest

from spec import __main__ as main

PAIRS = [
    (spec, safeguard) for spec in main.SPECS for safeguard in spec.safeguards
]


@pytest.mark.parametrize("spec", main.SPECS, ids=lambda spec: spec.name)
def test_every_state_is_good(spec):
    result = spec.check()
    assert result.traces == {}
    assert result.whole and result.states > 500


@pytest.mark.parametrize(
    ("spec", "safeguard"),
    PAIRS,
    ids=[f"{spec.name}-{safeguard}" for spec, safeguard in PAIRS],
)
def test_without_a_safeguard_there_is_a_counterexample(spec, safeguard):
    result = spec.check(safeguard)
    assert result.traces.get(spec.safeguards[safeguard])
