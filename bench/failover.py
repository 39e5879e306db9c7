"""Loses hosts with items in flight and checks every result.

Real programs on loopback; each loss ends both programs of the host that
owns a running job, by SIGKILL or, every other time, by SIGSTOP first, so
that its connections stay open and silent. Prints one line of JSON:
``lost`` and ``doubled`` items, seconds from a loss to the next owner's
claim (``takeover_*``) and to the first result under it (``resumed_*``).
"""

import argparse
import asyncio
import json
import random
import signal
import time

from bench import processes
from camphortray import cluster
from camphortray import config as configs
from camphortray import jobs
from camphortray import journal
from camphortray import log
from camphortray import records
from camphortray import registry
from camphortray import settings
from tests import history

ENGINES = 2
HOSTS = 3
SHARDS = 2
ITEMS = 60
TOKENS = 40
JOB_S = 40.0
POLL_S = 0.02


class Fleet:
    """One deployment and the jobs that run on it."""

    def __init__(self, number, seed):
        self.number = number
        self.rng = random.Random(seed + number)
        self.fleet = processes.ProcessFleet()
        self.history = history.History()
        self.takeovers = []
        self.resumes = []
        self.engines = []
        self.files = {}
        self.journals = []
        self.rounds = 0

    async def start(self):
        """Start everything and publish the settings."""
        fleet = self.fleet
        await fleet.__aenter__()
        for number in range(ENGINES):
            at = cluster.free_address()
            model = ("--models", f"{cluster.MODEL}:1")
            name = f"engine-{number}"
            await fleet.run_standin("engine", name, at, *model)
            self.engines.append((name, at))
        await self.publish()
        for number in range(HOSTS):
            name = f"host-{number}"
            await fleet.run_host(name, f"zone-{number}", ("entry", "batch"))
        for shard in range(SHARDS):
            self.follow(shard)
        await self.until(self.known)

    async def publish(self):
        """Append the settings to the log."""
        registry.load_modules(("camphortray.plugins",))
        at = configs.PlatformConfig(self.fleet.platform)
        self.log = log.LOG_SERVICES.get("http").from_config(at)
        service = {f"model.{cluster.MODEL}.version": "1"}
        for name, address in self.engines:
            service[f"upstream.{name}.address"] = address
            service[f"upstream.{name}.availability_zone"] = "zone-0"
        key = settings.hash_key(cluster.WORKSPACE_KEY)
        nodes = {
            cluster.REGION: {f"workspace.{cluster.WORKSPACE}.keys": [key]},
            f"{cluster.REGION}/{cluster.SERVICE}": service,
        }
        for number, (node, values) in enumerate(nodes.items()):
            change = {"node": node, "base": 0, "set": values}
            writer = records.Writer("bench", number + 1)
            record = records.Record(
                records.RecordId(writer, 1),
                settings.CHANGE,
                records.NO_EPOCH,
                change,
            )
            await self.log.append(settings.STREAM, records.encode(record))

    def follow(self, shard):
        """Follow a shard's stream, as a host would."""
        held = journal.Journal(
            self.log,
            f"jobs.{shard}",
            jobs.JobsFold(),
            records.Writer("bench", 1),
            self.rng,
        )
        held.start()
        self.journals.append(held)

    async def known(self):
        """Return whether every shard has an owner."""
        return all(j.fold.ownership.owner for j in self.journals)

    async def until(self, condition):
        """Wait until a condition holds."""
        async with asyncio.timeout(JOB_S):
            while not await condition():
                await asyncio.sleep(POLL_S)

    def entries(self):
        """Return the addresses of entries, in random order."""
        found = [
            program.address
            for name, program in self.fleet.programs.items()
            if name.endswith("/entry") and program.process.returncode is None
        ]
        return self.rng.sample(found, len(found))

    async def call(self, method, target, body=b"", key=""):
        """Ask entries until one gives a good answer."""
        headers = [("authorization", f"Bearer {cluster.WORKSPACE_KEY}")]
        headers += [("idempotency-key", key)] if key else []
        async with asyncio.timeout(JOB_S):
            while True:
                for address in self.entries():
                    try:
                        async with asyncio.timeout(5):
                            status, _, data = await self.fleet.client.call(
                                address, method, target, headers, body
                            )
                    except Exception:
                        # Lost hosts break calls in any way they like.
                        continue
                    if status < 300:
                        return data
                await asyncio.sleep(POLL_S)

    async def lose_one(self):
        """Run a job and lose its owner in the middle."""
        self.rounds += 1
        items = [self.item(number) for number in range(ITEMS)]
        body = b"\n".join(json.dumps(item).encode() for item in items)
        target = f"/v1/jobs?service={cluster.SERVICE}"
        key = f"job-{self.rounds}"
        job = json.loads(await self.call("POST", target, body, key))["id"]
        self.history.accepted(job, items)
        held = self.journals[jobs.shard_of(job, SHARDS)].fold

        async def in_flight():
            return job in held.jobs and held.jobs[job].done >= ITEMS // 6

        await self.until(in_flight)
        before, done = held.ownership.epoch, held.jobs[job].done
        victim = held.ownership.owner.name.partition("/")[0]
        began = time.monotonic()
        self.kill(victim)
        resend = asyncio.ensure_future(self.call("POST", target, body, key))

        async def taken():
            return held.ownership.epoch != before

        await self.until(taken)
        self.takeovers.append(time.monotonic() - began)
        done = held.jobs[job].done

        async def resumed():
            return held.jobs[job].done > done or held.jobs[job].ended_at

        await self.until(resumed)
        self.resumes.append(time.monotonic() - began)
        if json.loads(await resend)["id"] != job:
            self.history.faults.append("a resend made another job")

        async def ended():
            return held.jobs[job].ended_at

        await self.until(ended)
        await self.read(job)
        await self.bring_back(victim)

    def item(self, number):
        """Return the body of one item."""
        text = f"fleet {self.number} job {self.rounds} item {number}"
        return {
            "model": cluster.MODEL,
            "max_tokens": TOKENS,
            "messages": [{"role": "user", "content": text}],
        }

    def kill(self, host):
        """Lose a host; every other one leaves its connections open."""
        first = signal.SIGSTOP if self.rounds % 2 else signal.SIGKILL
        for program in ("entry", "batch"):
            self.fleet.programs[f"{host}/{program}"].signal(first)

    async def bring_back(self, host):
        """Start a lost host again, as a new life of it."""
        for program in ("entry", "batch"):
            lost = self.fleet.programs.pop(f"{host}/{program}")
            lost.signal(signal.SIGKILL)
            await lost.process.wait()
        await self.fleet.run_host(host, "zone-9", ("entry", "batch"))

    async def read(self, job):
        """Read all results, twice, from whichever host answers."""
        for _ in range(2):
            data = await self.call("GET", f"/v1/jobs/{job}/results")
            self.history.read(job, data.splitlines())

    async def stop(self):
        """End everything."""
        for held in self.journals:
            await held.stop()
        await self.log.close()
        await self.fleet.__aexit__()


def share(values, part):
    """Return the value below which a part of all lie."""
    ordered = sorted(values)
    return round(ordered[min(len(ordered) - 1, int(part * len(ordered)))], 3)


async def run_fleet(number, losses, seed):
    """Run one fleet; return it."""
    fleet = Fleet(number, seed)
    try:
        await fleet.start()
        for _ in range(losses):
            await fleet.lose_one()
    finally:
        await fleet.stop()
    fleet.history.finish([])
    return fleet


async def bench(fleets, losses, seed):
    """Run all fleets side by side and print what they saw."""
    began = time.monotonic()
    done = await asyncio.gather(
        *(run_fleet(number, losses, seed) for number in range(fleets))
    )
    takeovers = [s for fleet in done for s in fleet.takeovers]
    resumes = [s for fleet in done for s in fleet.resumes]
    for fleet in done:
        for fault in fleet.history.faults:
            print(fault)
    print(
        json.dumps(
            {
                "losses": len(takeovers),
                "items": ITEMS * len(takeovers),
                "lost": sum(f.history.lost for f in done),
                "doubled": sum(f.history.doubled for f in done),
                "faults": sum(len(f.history.faults) for f in done),
                "takeover_p50_s": share(takeovers, 0.5),
                "takeover_p99_s": share(takeovers, 0.99),
                "resumed_p50_s": share(resumes, 0.5),
                "resumed_p99_s": share(resumes, 0.99),
                "seed": seed,
                "seconds": round(time.monotonic() - began, 1),
            }
        )
    )


def main():
    """Run from the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--fleets", type=int, default=4)
    parser.add_argument("--losses", type=int, default=8)
    parser.add_argument("--seed", type=int, default=1)
    given = parser.parse_args()
    asyncio.run(bench(given.fleets, given.losses, given.seed))


if __name__ == "__main__":
    main()
