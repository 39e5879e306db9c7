"""What each price costs in 100 of what is earned, from scores in the journal.

``python -m bench.prices journal/ENTRY.json ...``; means over the standard
days of a score, and the dearest day.
"""

__all__ = ["main"]

import json
import pathlib
import sys

# Days drawn for one score alone are left out: they differ between scores.
FRESH = "fresh"
# Prices below this are not listed, in 100 of what is earned.
LEAST = 0.01


def costs_of(entry: dict) -> dict[str, list[float]]:
    """Return the cost of each price on each standard day, in 100."""
    found: dict[str, list[float]] = {}
    for day in entry["days"]:
        if day["name"].startswith(FRESH):
            continue
        earned = {name: share for name, _, share in day["parts"]}
        for name, _, cost in day["prices"]:
            share = 100 * cost / earned["whole day"]
            found.setdefault(name, []).append(share)
    return found


def main() -> int:
    """Print a table for each entry; return the exit code."""
    if len(sys.argv) < 2:
        print(__doc__, file=sys.stderr)
        return 2
    for name in sys.argv[1:]:
        entry = json.loads(pathlib.Path(name).read_text(encoding="utf-8"))
        print(f"{entry['site']}, {entry['id']}: mean and dearest day")
        means = {}
        for price, costs in costs_of(entry).items():
            means[price] = round(sum(costs) / len(costs), 2)
            if means[price] >= LEAST:
                print(f"  {price}: {means[price]:.2f}, {max(costs):.2f}")
        print(json.dumps({"bench": "prices", "mean": means}))
    return 0


if __name__ == "__main__":
    sys.exit(main())
