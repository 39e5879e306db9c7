"""Measures the time until a change of settings is in force everywhere.

Real processes tail a stand-in log over loopback while operators race on
the same nodes. ``python -m bench.settings`` prints a line per size and
JSON last. The machine is noisy; the slope over sizes says more than any
one figure.
"""

import asyncio
import json
import sys
import time

from bench import processes
from camphortray import cluster
from camphortray import config as configs
from camphortray import plan as plans
from camphortray import plugins
from camphortray import publisher as publishers
from camphortray import settings
from camphortray.plugins import http_log

SIZES = (4, 12, 24)
CHANGES = 40
OPERATORS = 3
SETTLE_S = 2.0
PLUGINS = (plugins,)


async def publish_racing(address: str) -> dict[int, float]:
    """Let operators race; return when each revision was sent."""
    sent: dict[int, float] = {}
    service = http_log.HttpLog(configs.Address.from_text(address), 5.0)
    operators = [
        publishers.Publisher(service, f"op-{n}") for n in range(OPERATORS)
    ]
    for operator in operators:
        await operator.start()
    for number in range(CHANGES):
        node = cluster.REGION
        starts = time.time()
        plan = [
            edit(o, node, number * 10 + n) for n, o in enumerate(operators)
        ]
        told = await asyncio.gather(
            *(o.publish(p, "") for o, p in zip(operators, plan, strict=True))
        )
        for result in told:
            if result.verdict == "accepted":
                sent[result.revision] = starts
    for operator in operators:
        await operator.stop()
    await service.close()
    return sent


def edit(
    operator: publishers.Publisher, node: str, value: int
) -> plans.NodePlan:
    """Plan one change against the node as the operator sees it."""
    held = operator.fold.nodes.get(node, settings.Node())
    wanted = {**held.values, "limit.queue": value + 1}
    return plans.NodePlan.between(node, held, wanted)


async def first_settings(address: str) -> None:
    """Publish the operator's key, so that hosts can be asked."""
    service = http_log.HttpLog(configs.Address.from_text(address), 5.0)
    operator = publishers.Publisher(service, "setup")
    await operator.start()
    values = {"operator.bench.keys": [settings.hash_key(cluster.OPERATOR_KEY)]}
    plan = plans.NodePlan.between(cluster.REGION, settings.Node(), values)
    assert (await operator.publish(plan, "")).verdict == "accepted"
    await operator.stop()
    await service.close()


async def measure(size: int) -> dict[str, float]:
    """Run one fleet of ``size`` processes."""
    async with processes.ProcessFleet() as running:
        await first_settings(running.platform)
        for number in range(size // 2):
            await running.run_host(
                f"host-{number}", f"zone-{number % 3}", ("entry", "batch")
            )
        sent = await publish_racing(running.platform)
        await asyncio.sleep(SETTLE_S)
        answers = [
            await running.fetch(
                program, "/v1/admin/settings", cluster.OPERATOR_KEY
            )
            for name, program in running.programs.items()
            if "/" in name
        ]
    return judge(sent, answers)


def judge(sent: dict[int, float], answers: list[dict]) -> dict[str, float]:
    """Return the times until in force everywhere, and what reverted."""
    delays = []
    missing = reverted = 0
    for revision, at in sent.items():
        since = [a["in_force_since"].get(str(revision)) for a in answers]
        # A process may read two changes at once and skip the first.
        later = [
            min(
                (
                    t
                    for r, t in a["in_force_since"].items()
                    if int(r) >= revision
                ),
                default=None,
            )
            if s is None
            else s
            for s, a in zip(since, answers, strict=True)
        ]
        if None in later:
            missing += 1
        else:
            delays.append(max(later) - at)
    for answer in answers:
        times = [
            t
            for _, t in sorted(
                (int(r), t) for r, t in answer["in_force_since"].items()
            )
        ]
        reverted += times != sorted(times)
    delays.sort()
    return {
        "p50_s": round(delays[len(delays) // 2], 4),
        "p99_s": round(delays[int(len(delays) * 0.99)], 4),
        "missing": missing,
        "reverted": reverted,
        "changes": len(sent),
    }


async def main() -> None:
    """Run all sizes."""
    sizes = [int(a) for a in sys.argv[1:]] or SIZES
    rows = {}
    for size in sizes:
        rows[size] = await measure(size)
        print(size, "processes:", rows[size])
    first, last = sizes[0], sizes[-1]
    slope = (rows[last]["p99_s"] - rows[first]["p99_s"]) / max(1, last - first)
    middle = rows.get(12, rows[last])
    result = {
        "p99_s": middle["p99_s"],
        "reverted": sum(row["reverted"] for row in rows.values()),
        "missing": sum(row["missing"] for row in rows.values()),
        "slope_ms_per_process": round(slope * 1000, 3),
    }
    print(json.dumps(result))


if __name__ == "__main__":
    asyncio.run(main())
