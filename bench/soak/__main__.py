"""The fault soak: ``python -m bench.soak --seed 7 --seconds 30``.

One seed gives one schedule and one plan of the load. The run itself is in
real time among processes and need not repeat exactly.
"""

import argparse
import asyncio
import collections
import json
import pathlib
import shutil
import signal
import sys
import tempfile

from bench.soak import checker
from bench.soak import run
from bench.soak import schedule
from camphortray import logs

LOG = logs.logger("soak")
# Beyond the time of the faults: the start, the recovery and the end.
SPARE_S = 180.0


async def play(
    seed: int, options: argparse.Namespace, folder: pathlib.Path
) -> tuple[run.Soak, checker.Verdict]:
    """Play one seed."""
    soak = run.Soak(
        seed,
        options.seconds,
        folder,
        options.hosts,
        options.engines,
        options.pause,
        options.faults,
    )
    task = asyncio.current_task()
    assert task is not None
    # Told to end, it ends its hosts first.
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    async with asyncio.timeout(options.seconds + SPARE_S):
        return soak, await soak.run()


def report(soak: run.Soak, verdict: checker.Verdict) -> None:
    """Tell how one seed went."""
    seen = soak.seen
    by_status = collections.Counter(q.status for q in seen.questions)
    taken_up = [q for q in seen.questions if q.stream not in ("", q.attempt)]
    accepted = sum(job.accepted for job in seen.jobs)
    LOG.notice(
        "Seed {}: {} checks, {} breaches; questions {}; {} of {} jobs"
        " accepted, {} runs; {} of {} streams taken up went on; faults {};"
        " recovered in {} s.",
        soak.seed,
        verdict.counts.total(),
        len(verdict.breaches),
        dict(sorted(by_status.items())),
        accepted,
        len(seen.jobs),
        len(seen.runs),
        sum(q.status == 200 for q in taken_up),
        len(taken_up),
        soak.done,
        seen.recovered_s and round(seen.recovered_s, 1),
    )
    for breach in verdict.breaches[:20]:
        LOG.error("Seed {}: {}", soak.seed, breach)


def main() -> int:
    """Play the seeds asked for; return how many showed a breach."""
    parser = argparse.ArgumentParser("bench.soak")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", help="FIRST-LAST")
    parser.add_argument("--seconds", type=float, default=30.0)
    parser.add_argument("--hosts", type=int, default=4)
    parser.add_argument("--engines", type=int, default=3)
    parser.add_argument(
        "--pause",
        type=float,
        default=schedule.PAUSE_S,
        help="mean seconds from one fault to the next",
    )
    parser.add_argument(
        "--faults",
        choices=tuple(schedule.MODES),
        default="all",
        help="calm: silences, configurations, SIGTERM and SIGHUP alone;"
        " copies: engines refuse, and answers come again late, beside ends"
        " and pauses of hosts; power: all hosts are killed at once;"
        " release: engines of another version join beside hosts that"
        " stand still or are cut off",
    )
    parser.add_argument("--out", default="out/soak")
    parser.add_argument("--keep", action="store_true", help="keep all logs")
    options = parser.parse_args()
    first, _, last = (options.seeds or str(options.seed)).partition("-")
    counts: collections.Counter[str] = collections.Counter()
    failed = []
    logs.set_up("text", "NOTICE", sys.stderr)
    for seed in range(int(first), int(last or first) + 1):
        folder = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        soak, verdict = asyncio.run(play(seed, options, folder))
        report(soak, verdict)
        counts += verdict.counts
        if verdict.breaches:
            failed.append(seed)
        if verdict.breaches or options.keep:
            soak.write(verdict)
            target = pathlib.Path(options.out) / f"seed-{seed}"
            shutil.rmtree(target, ignore_errors=True)
            shutil.copytree(folder, target)
            LOG.notice("Kept in {}.", target)
        shutil.rmtree(folder)
    print(json.dumps({"failed": failed, "checks": counts}))
    return min(len(failed), 100)


if __name__ == "__main__":
    sys.exit(main())
