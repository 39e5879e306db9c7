"""``python -m spec``: check all protocols and each of their safeguards."""

__all__ = ["SPECS", "main"]

import sys

from spec import appends
from spec import calls
from spec import intake
from spec import items
from spec import ledger
from spec import model
from spec import retention
from spec import settings
from spec import takeover

SPECS: tuple[model.Spec, ...] = (
    appends.SPEC,
    takeover.SPEC,
    retention.SPEC,
    calls.SPEC,
    calls.FORGET_SPEC,
    settings.SPEC,
    intake.SPEC,
    items.SPEC,
    items.ENDING_SPEC,
    ledger.SPEC,
)


def main() -> int:
    """Print states, times and counterexamples; return the exit code."""
    good = True
    for spec in SPECS:
        result = spec.check()
        good = good and result.whole and not result.traces
        verdict = "holds" if not result.traces else "FAILS"
        print(
            f"{spec.name}: {spec.doc}\n  all safeguards on: {verdict},"
            f" {result.states} states in {result.seconds:.2f} s"
        )
        for name, trace in result.traces.items():
            print(f"    {name}: {'; '.join(trace)}")
        for safeguard, invariant in spec.safeguards.items():
            found = spec.check(safeguard)
            steps = found.traces.get(invariant, [])
            good = good and bool(steps)
            shown = "; ".join(steps) or "NO COUNTEREXAMPLE"
            print(
                f"  without {safeguard!r}: {invariant!r} falls"
                f" ({found.states} states, {found.seconds:.2f} s)\n"
                f"    {shown}"
            )
    return 0 if good else 1


if __name__ == "__main__":
    sys.exit(main())
