"""Harm that batch work does to online latency, with real processes.

Starts stand-ins, engines and hosts, each program a process on loopback,
replays one seeded trace three times: without batch work, with a batch job,
and the job alone. Real processes on a shared machine are noisy: the figures
show that the parts work together; bench/harm.py compares decisions.
The last line is JSON.
"""

import argparse
import asyncio
import dataclasses
import json

import msgspec

from bench import processes
from camphortray import cluster
from camphortray import experiment
from camphortray import load
from camphortray import loadresult
from camphortray import records
from camphortray import settings
from camphortray.plugins import http_log

ENGINES = 2
HOSTS = 3
SLOTS = 16
ITEM_TOKENS = 100
# Seconds for a new job to fill the engines.
WARM_S = 4.0


class Deployment:
    """Engines and hosts before them."""

    def __init__(self, fleet: processes.ProcessFleet, priority: str) -> None:
        self.fleet = fleet
        self.priority = priority
        self.engines: list[processes.Program] = []

    async def start(self) -> None:
        """Start everything."""
        for number in range(ENGINES):
            name = f"engine-{number}"
            self.engines.append(
                await self.fleet.run_standin(
                    "engine",
                    name,
                    cluster.free_address(),
                    "--models",
                    f"{cluster.MODEL}:1",
                )
            )
        await self.publish()
        for number in range(HOSTS):
            zone = f"zone-{number}"
            await self.fleet.run_host(
                f"host-{number}", zone, ("entry", "batch")
            )
        # Members have to hear of each other.
        await asyncio.sleep(3.0)

    async def publish(self) -> None:
        """Put the settings into the log."""
        key = settings.hash_key(cluster.WORKSPACE_KEY)
        service = {
            f"model.{cluster.MODEL}.version": "1",
            "priority": self.priority,
        }
        for engine in self.engines:
            prefix = f"upstream.{engine.name}."
            service[prefix + "address"] = str(engine.address)
            service[prefix + "slots"] = SLOTS
        nodes = {
            cluster.REGION: {f"workspace.{cluster.WORKSPACE}.keys": [key]},
            f"{cluster.REGION}/{cluster.SERVICE}": service,
        }
        log = http_log.HttpLog(
            processes.configs.Address.from_text(self.fleet.platform), 5.0
        )
        writer = records.Writer("bench/setup", 1)
        for number, (node, values) in enumerate(nodes.items(), 1):
            change = settings.Change(node, 0, values, author="bench")
            record = records.Record(
                records.RecordId(writer, number),
                settings.CHANGE,
                records.NO_EPOCH,
                dataclasses.asdict(change),
            )
            await log.append(settings.STREAM, records.encode(record))
        await log.close()

    def entries(self) -> list[processes.Program]:
        """Return the entry programs."""
        return [
            program
            for name, program in self.fleet.programs.items()
            if name.endswith("/entry")
        ]

    async def tokens(self) -> int:
        """Return the tokens made by all engines."""
        made = 0
        for engine in self.engines:
            stats = await self.fleet.fetch(engine, "/stats", "none")
            made += stats["tokens"]
        return made

    async def submit(self, key: str, items: int) -> str:
        """Hand in a job; return its id."""
        line = {
            "model": cluster.MODEL,
            "max_tokens": ITEM_TOKENS,
            "messages": [{"role": "user", "content": "statement " * 200}],
        }
        body = b"\n".join([msgspec.json.encode(line)] * items)
        return (await self.call("POST", "/v1/jobs", key, body))["id"]

    async def call(
        self, method: str, path: str, key: str, body: bytes = b""
    ) -> dict:
        """Make a call on a job."""
        headers = [
            ("authorization", f"Bearer {cluster.WORKSPACE_KEY}"),
            ("idempotency-key", key),
        ]
        status, _, answer = await self.fleet.client.call(
            self.entries()[0].address,
            method,
            f"{path}?service={cluster.SERVICE}",
            headers,
            body,
        )
        if status >= 300:
            raise SystemExit(f"{path}: {status} {answer!r}")
        return json.loads(answer)

    async def online(self, seconds: float, label: str) -> loadresult.Result:
        """Replay the trace."""
        plan = experiment.Experiment(
            "real",
            tuple(str(entry.address) for entry in self.entries()),
            cluster.MODEL,
            (cluster.WORKSPACE_KEY,),
            seed=5,
            seconds=seconds,
            scale=0.25,
        )
        return await load.Load(plan, label).run()


async def measure(seconds: float, priority: str) -> dict:
    """Run all three ways on one deployment."""
    async with processes.ProcessFleet() as fleet:
        made = Deployment(fleet, priority)
        await made.start()
        await made.online(WARM_S, "warm")
        before = await made.tokens()
        none = await made.online(seconds, "none")
        online = await made.tokens() - before
        job = await made.submit("beside", 6000)
        await asyncio.sleep(WARM_S)
        before = await made.tokens()
        beside = await made.online(seconds, "beside")
        both = await made.tokens() - before
        before = await made.tokens()
        await asyncio.sleep(seconds / 2)
        alone = 2 * (await made.tokens() - before)
        await made.call("POST", f"/v1/jobs/{job}/cancel", "beside")
    print("online without batch:", none.outcomes, none.quantiles["ttft"])
    print("online beside batch: ", beside.outcomes, beside.quantiles["ttft"])
    print(f"tokens: online {online}, both {both}, batch alone {alone}")
    ratios = loadresult.compare(none, beside).ratios
    return {
        "priority": priority,
        "p50_ttft_ratio": ratios["ttft"]["p50"],
        "p99_ttft_ratio": ratios["ttft"]["p99"],
        "p99_itl_ratio": ratios["itl"]["p99"],
        "batch_share_of_alone": round((both - online) / max(1, alone), 3),
    }


def main() -> None:
    """Measure and print one line of JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=15.0)
    parser.add_argument("--priority", default="latency")
    args = parser.parse_args()
    print(json.dumps(asyncio.run(measure(args.seconds, args.priority))))


if __name__ == "__main__":
    main()
