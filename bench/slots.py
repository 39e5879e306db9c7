"""Processor time of a decision on slots, by engines, items and workspaces.

Each round asks for an online slot and gives one back, on a book whose slots
are all in use by batch items. ``python -m bench.slots``.
"""

__all__ = ["main"]

import json
import sys
import time

from camphortray import enginehealth
from camphortray import slot_scheduler

ROUNDS = 400
SLOTS = 8
# Engines, waiting items and workspaces; 0 where requests run for none.
SIZES = (
    (6, 20, 0),
    (36, 100, 0),
    (600, 100, 0),
    (600, 2000, 0),
    (24, 400, 77),
    (600, 2000, 200),
)


def workspace_of(number: int, workspaces: int) -> str:
    """Return the workspace of a request, in turn; empty if there is none."""
    return f"w{number % workspaces}" if workspaces else ""


def full_book(
    engines: int, waiting: int, workspaces: int
) -> slot_scheduler.SlotScheduler:
    """Return a book with all slots taken by items, and more waiting."""
    book = slot_scheduler.SlotScheduler()
    book.set_engines(
        [
            slot_scheduler.EngineSlots(f"e{n}", SLOTS, f"z{n % 9}")
            for n in range(engines)
        ],
        0.0,
    )
    for number in range(engines * SLOTS + waiting):
        want = slot_scheduler.SlotRequest(
            f"i{number}",
            "h",
            False,
            due_at=18.0 + number % 97,
            work_s=4.8,
            workspace=workspace_of(number, workspaces),
        )
        book.items.add(want)
    book.decide(0.0)
    return book


def measure(engines: int, waiting: int, workspaces: int) -> float:
    """Return microseconds of processor time for an ask and its end."""
    book = full_book(engines, waiting, workspaces)
    begun = time.process_time()
    for number in range(ROUNDS):
        now = 1.0 + number / 1000
        want = slot_scheduler.SlotRequest(
            f"q{number}",
            "h",
            True,
            asked_at=now,
            prefix=f"p{number % 8}",
            workspace=workspace_of(number, workspaces),
        )
        for decision in book.ask(want, now):
            if isinstance(decision, slot_scheduler.Revoke):
                # As its holder does; one that did not would be left alone.
                nothing = enginehealth.Outcome.NOTHING
                book.done(decision.want.id, nothing, now)
        book.done(want.id, enginehealth.Outcome.GOOD, now)
    return (time.process_time() - begun) / ROUNDS * 1e6


def main() -> int:
    """Print a line for each size and one of JSON; return the exit code."""
    found = {}
    for engines, waiting, workspaces in SIZES:
        microseconds = measure(engines, waiting, workspaces)
        size = f"{engines} engines, {waiting} items, {workspaces} workspaces"
        found[size] = round(microseconds, 1)
        print(f"{size}: {microseconds:.1f} us")
    print(json.dumps({"bench": "slots", "us": found}))
    return 0


if __name__ == "__main__":
    sys.exit(main())
