"""Runs jobs under every pair of faults and checks what callers saw.

Prints the cells that showed a fault and one line of JSON.
"""

import argparse
import asyncio
import json
import time
import traceback

import pytest

from tests import faultcells
from tests import jobcluster

CELL_S = 60.0


async def run(names, seed, gate, times):
    """Run one cell; return its faults."""
    async with gate:
        began = time.monotonic()
        try:
            async with asyncio.timeout(CELL_S):
                faults = await faultcells.run_cell(names, seed)
        except Exception as error:
            where = traceback.format_tb(error.__traceback__)[-1].strip()
            faults = [f"{' + '.join(names)}: {error!r} at {where}"]
        times.append((round(time.monotonic() - began, 1), names))
        return faults


async def bench(parallel, seeds):
    """Run all cells with each seed."""
    began = time.monotonic()
    gate = asyncio.Semaphore(parallel)
    times = []
    found = await asyncio.gather(
        *(
            run(names, seed, gate, times)
            for seed in seeds
            for names in faultcells.PAIRS
        )
    )
    bad = [faults for faults in found if faults]
    for faults in bad:
        print(*faults, sep="\n")
    times.sort(reverse=True)
    print(
        json.dumps(
            {
                "cells": len(found),
                "seeds": seeds,
                "cells_with_faults": len(bad),
                "slowest_s": times[0][0],
                "slowest": " + ".join(times[0][1]),
                "seconds": round(time.monotonic() - began, 1),
            }
        )
    )


def main():
    """Run from the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--parallel", type=int, default=5)
    parser.add_argument("--seeds", type=int, nargs="+", default=[1])
    given = parser.parse_args()
    with pytest.MonkeyPatch.context() as patch:
        jobcluster.hurry(patch)
        asyncio.run(bench(given.parallel, given.seeds))


if __name__ == "__main__":
    main()
