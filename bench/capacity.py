"""Slopes of what one process holds and decides, at sizes up to the target.

Each line is one matter at two sizes of one run, so that the slope counts
and the noise of the machine mostly drops out. ``python -m
bench.capacity`` ends with one line of JSON.
"""

from collections.abc import Callable
import json
import random
import time
import tracemalloc
from typing import Any

import msgspec

from camphortray import burn
from camphortray import burn_recorder
from camphortray import engine
from camphortray import records
from camphortray import rollout
from camphortray import settings

REPEAT = 5


def best_s(work: Callable[[], Any]) -> float:
    """Return the least time of some runs, in seconds."""
    times = []
    for _ in range(REPEAT):
        began = time.perf_counter()
        work()
        times.append(time.perf_counter() - began)
    return min(times)


def memory_mb(make: Callable[[], Any]) -> float:
    """Return the memory that what ``make`` returns takes, in MB."""
    tracemalloc.start()
    held = make()
    size = tracemalloc.get_traced_memory()[0] / 1e6
    tracemalloc.stop()
    del held
    return size


def tree_of(workspaces: int, models: int, upstreams: int) -> Any:
    """Return a folded tree of that size."""
    fold = settings.SettingsFold()
    region: dict[str, Any] = {}
    for number in range(workspaces):
        name = f"workspace.w-{number}."
        region[name + "keys"] = [settings.hash_key(str(number))]
        region[name + "weight"] = 1.0
    fold.nodes["region"] = settings.Node(1, region)
    for number in range(models):
        values: dict[str, Any] = {f"model.m-{number}.version": "1"}
        for other in range(upstreams // models):
            name = f"upstream.e-{number}-{other}."
            values[name + "address"] = "127.0.0.1:1"
            values[name + "availability_zone"] = "zone-1"
        fold.nodes[f"region/s-{number}"] = settings.Node(2, values)
    fold.revision = 2
    return fold


def view_figures(workspaces: int) -> dict[str, float]:
    """Measure the view of a tree, first and after a change elsewhere."""
    fold = tree_of(workspaces, 35, 600)
    first = settings.View(fold, "region")
    node = fold.nodes["region"]
    changed = {**node.values, "workspace.w-0.weight": 2.0}
    fold.nodes["region"] = settings.Node(3, changed)
    return {
        "workspaces": workspaces,
        "first_ms": best_s(lambda: settings.View(fold, "region")) * 1e3,
        "change_ms": best_s(lambda: settings.View(fold, "region", first))
        * 1e3,
        "mb": memory_mb(
            lambda: settings.View(tree_of(workspaces, 35, 600), "region")
        ),
    }


def burn_figures(services: int) -> dict[str, float]:
    """Measure counting a token, and what a record and a day take."""
    ledger = burn.Ledger()
    rng = random.Random(1)
    keys = [
        burn.Key(f"s-{n}", batch)
        for n in range(services)
        for batch in (False, True)
    ]
    times = [rng.lognormvariate(-3.5, 0.4) for _ in range(1000)]

    def count() -> None:
        for number, seconds in enumerate(times):
            key = keys[number % len(keys)]
            ledger.timed(key, burn.ITL, seconds, 0.041, 1e9)

    def fill() -> burn.Ledger:
        made = burn.Ledger()
        for minute in range(burn.MINUTES_KEPT + 72 * 60):
            for key in keys:
                for seconds in times[:20]:
                    made.timed(
                        key, burn.ITL, seconds, 0.041, 1e9 + 60 * minute
                    )
        return made

    for key in keys:
        for seconds in times[:50]:
            for minute in range(5):
                ledger.timed(key, burn.ITL, seconds, 0.041, 1e9 + 60 * minute)
    body = burn_recorder.BurnRecord("host-1/entry", 1, tuple(ledger.rows()))
    record = records.Record(
        records.RecordId(records.Writer("host-1/entry", 1), 1),
        burn_recorder.KIND,
        records.NO_EPOCH,
        msgspec.to_builtins(body, str_keys=False),
    )
    return {
        "services": services,
        "us_per_token": best_s(count) / len(times) * 1e6,
        "record_kb": len(records.encode(record)) / 1e3,
        "mb": memory_mb(fill) if services <= 5 else float("nan"),
    }


def rollout_figures(upstreams: int) -> dict[str, float]:
    """Measure the decision on one service's upstreams."""
    names = [f"e-{n}" for n in range(upstreams)]
    wanted = dict.fromkeys(names, rollout.Wanted({"m": "2"}))
    held = engine.EngineState((("m", "1"),))
    states = dict.fromkeys(names, held)
    limits = rollout.Limits(0.75, 50)
    work = best_s(lambda: rollout.next_steps(wanted, states, limits))
    return {"upstreams": upstreams, "ms": work * 1e3}


def main() -> None:
    """Measure everything."""
    rows: dict[str, list[dict[str, float]]] = {
        "view": [view_figures(n) for n in (690, 6900)],
        "burn": [burn_figures(n) for n in (1, 5, 35)],
        "rollout": [rollout_figures(n) for n in (60, 600)],
    }
    for name, measured in rows.items():
        for row in measured:
            shown = {key: round(value, 4) for key, value in row.items()}
            print(name, shown)
    print(
        json.dumps(
            {
                "view_first_ms": round(rows["view"][1]["first_ms"], 2),
                "view_change_ms": round(rows["view"][1]["change_ms"], 2),
                "view_mb": round(rows["view"][1]["mb"], 2),
                "burn_us_per_token": round(rows["burn"][2]["us_per_token"], 2),
                "burn_record_kb": round(rows["burn"][2]["record_kb"], 2),
                "rollout_ms": round(rows["rollout"][1]["ms"], 2),
            }
        )
    )


if __name__ == "__main__":
    main()
