"""Appends by item: grouped, by interval alone, and one by one.

Runs the grouping that hosts use under virtual time, with arrivals drawn
from a seed, so that the figures do not depend on the machine.
``python -m bench.appends``.
"""

__all__ = ["main"]

import asyncio
import dataclasses
import json
import random
import sys

import msgspec

from camphortray import cluster
from camphortray import grouping
from camphortray import httpclient
from camphortray import jobs
from camphortray import logs
from camphortray import records

BUDGET = 300.0
MIN_FLUSH_S = 0.05
RECORD_BYTES = 261_000
RESULT_BYTES = 1200
CLAIM_BYTES = 250
SECONDS = 120.0
REAL_ITEMS = 2000


@dataclasses.dataclass(frozen=True)
class Load:
    """What a fleet has to append.

    Attributes:
      writers: Streams that have something to write.
      items_per_s: Over all of them.
      item_bytes: Size of each.
    """

    writers: int
    items_per_s: float
    item_bytes: int


@dataclasses.dataclass(frozen=True)
class Outcome:
    """What came of it.

    Attributes:
      appends_per_item: The measure.
      peak_per_s: Most appends in any second, over the fleet.
      wait_p50_s: Time an item waited, at the median.
      wait_p99_s: Likewise for 99 in 100.
    """

    appends_per_item: float
    peak_per_s: int
    wait_p50_s: float
    wait_p99_s: float


def run(load: Load, limits: grouping.Limits, seed: int) -> Outcome:
    """Let each stream group its share of the items."""
    rng = random.Random(seed)
    appends: list[float] = []
    waits: list[float] = []
    for _ in range(load.writers):
        rate = load.items_per_s / load.writers
        run_stream(load, limits, rate, rng, appends, waits)
    waits.sort()
    seconds = [0] * (int(SECONDS * 2) + 1)
    for at in appends:
        seconds[int(at)] += 1
    return Outcome(
        round(len(appends) / len(waits), 4),
        max(seconds),
        round(waits[len(waits) // 2], 3),
        round(waits[int(len(waits) * 0.99)], 3),
    )


def run_stream(
    load: Load,
    limits: grouping.Limits,
    rate: float,
    rng: random.Random,
    appends: list[float],
    waits: list[float],
) -> None:
    """Group the items of one stream as they come."""
    grouper: grouping.Grouper[float] = grouping.Grouper(limits)
    # Hosts did not start together.
    now = rng.random() * limits.interval_s
    arrival = now + rng.expovariate(rate)
    while now < SECONDS or len(grouper):
        wait_s = grouper.wait_s(now)
        if wait_s is None or (now < SECONDS and now + wait_s > arrival):
            now = arrival
            if now < SECONDS:
                grouper.add(now, load.item_bytes, now)
            arrival = now + rng.expovariate(rate)
            continue
        now += wait_s
        taken = grouper.take(now)
        appends.append(now)
        waits.extend(now - since for since in taken)


def limits_of(
    writers: int, target: int, max_delay_s: float
) -> grouping.Limits:
    """Return the limits of a fleet with so many writers."""
    interval = grouping.flush_interval(writers, BUDGET, MIN_FLUSH_S)
    return grouping.Limits(interval, RECORD_BYTES, target, max_delay_s)


LOADS = {
    # One job of statements on 6 engines.
    "12 hosts, 1 busy shard": Load(1, 96.0, RESULT_BYTES),
    "12 hosts, 16 busy shards": Load(16, 96.0, RESULT_BYTES),
    # 57 million items a day, and three times that at the peak.
    "390 hosts, 16 busy shards": Load(16, 660.0, RESULT_BYTES),
    "390 hosts, peak": Load(16, 1980.0, RESULT_BYTES),
}


def results() -> dict[str, object]:
    """Measure results of items."""
    shown: dict[str, object] = {}
    for name, load in LOADS.items():
        single = grouping.Limits(0.0, 1, 1, 0.0)
        ways = {
            "one by one": run(load, single, 1),
            "interval": run(load, limits_of(load.writers, 1, 0.0), 1),
            "grouped": run(
                load,
                limits_of(
                    load.writers,
                    grouping.RESULTS_TARGET,
                    grouping.RESULTS_DELAY_S,
                ),
                1,
            ),
        }
        shown[name] = {k: dataclasses.asdict(v) for k, v in ways.items()}
    return shown


def claims() -> dict[str, object]:
    """Measure claims of non-idempotent calls, 50 a second in all."""
    shown: dict[str, object] = {}
    for name, writers in (("direct", 390), ("handed over", 16)):
        load = Load(writers, 50.0, CLAIM_BYTES)
        outcome = run(load, limits_of(writers, 1, 0.0), 2)
        shown[name] = dataclasses.asdict(outcome)
    return shown


async def real_job() -> dict[str, float]:
    """Run a job over real connections and count its results' appends."""
    line = msgspec.json.encode(
        {
            "model": cluster.MODEL,
            "max_tokens": 8,
            "messages": [{"role": "user", "content": "Statement"}],
        }
    )
    headers = [
        ("authorization", f"Bearer {cluster.WORKSPACE_KEY}"),
        ("idempotency-key", "appends"),
    ]
    client = httpclient.HttpClient()
    async with cluster.Cluster(engines=2, hosts=1) as fleet:
        address = fleet.hosts["host-0"].address
        path = f"/v1/jobs?service={cluster.SERVICE}"
        body = b"\n".join([line] * REAL_ITEMS)
        _, _, data = await client.call(address, "POST", path, headers, body)
        name = msgspec.json.decode(data)["id"]
        status = "running"
        while status == "running":
            await asyncio.sleep(0.2)
            _, _, data = await client.call(
                address, "GET", f"/v1/jobs/{name}", headers
            )
            status = msgspec.json.decode(data)["status"]
        appends = sum(
            records.decode(record.body).kind == jobs.RESULTS
            for stream, held in fleet.platform.log.streams.items()
            if stream.startswith("jobs.")
            for record in held.records
        )
    await client.close()
    return {
        "items": REAL_ITEMS,
        "appends": appends,
        "appends_per_item": appends / REAL_ITEMS,
    }


def main() -> int:
    """Print the table and one line of JSON."""
    by_load = results()
    for name, ways in by_load.items():
        print(name)
        for way, figures in ways.items():  # type: ignore[attr-defined]
            print(f"  {way:<11} {figures}")
    handed = claims()
    for way, figures in handed.items():
        print(f"claims at 390 hosts, {way}: {figures}")
    logs.set_up(level="ERROR")
    real = asyncio.run(real_job())
    print(f"a job over real connections: {real}")
    today = by_load["12 hosts, 1 busy shard"]
    print(
        json.dumps(
            {
                "appends_per_item": today["grouped"]["appends_per_item"],
                "one_by_one": today["one by one"]["appends_per_item"],
                "budget": BUDGET,
                "real": real,
                "loads": by_load,
                "claims_390": handed,
            }
        )
    )
    return 0


if __name__ == "__main__":
    sys.exit(main())
