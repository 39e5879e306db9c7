"""Membership with real processes: cost at rest, and how news spread.

Each size starts that many hosts (entry program only) and a stand-in
platform on loopback. Cost is taken at rest over a time; then a fact is
told to one host, one host leaves, one is killed, and one is stopped and
goes on later. The last line is JSON with all figures and what a straight
line through them gives at the target. The machine is shared, so times are
upper bounds.
"""

import asyncio
import dataclasses
import json
import random
import signal
import statistics
import sys
import time

import defopt
import msgspec

from bench import processes
from camphortray import clock
from camphortray import cluster
from camphortray import config as configs
from camphortray import errors
from camphortray import facts
from camphortray import gossip
from camphortray import httpclient
from camphortray import kernel
from camphortray import members
from camphortray import metrics as metrics_module
from camphortray import peers
from camphortray import records
from camphortray import settings

TARGET = 390
ZONES = 3
AT_ONCE = 12
POLL_S = 0.05
LIMIT_S = 40.0
# TCP and IP headers of a segment, and segments for each message, as the
# kernel's counters show them for a question and its answer.
SEGMENT_BYTES = 52
SEGMENTS_PER_MESSAGE = 1.5
KEYS = ("bytes_s", "wire_bytes_s", "cpu_share", "rss_mb")


class Fleet:
    """The hosts of one size and how the bench looks at them."""

    def __init__(self, fleet: processes.ProcessFleet) -> None:
        self.fleet = fleet
        self.names: list[str] = []
        self.client = httpclient.HttpClient(httpclient.Timeouts(1.0, 1.0, 1.0))
        config = configs.Config.from_data(
            {
                "host": {
                    "name": "bench",
                    "availability_zone": "zone-0",
                    "region": cluster.REGION,
                },
                "log": {"address": fleet.platform},
                "hostlist": {"address": fleet.platform},
                "peer": {"shared_key": cluster.HOST_KEY},
            }
        )
        self.links = peers.Peers(
            kernel.Context(
                config,
                "entry",
                1,
                clock.SystemClock(),
                random.Random(1),
                metrics_module.Metrics(),
            )
        )

    async def start(self, count: int) -> None:
        """Start hosts, some at a time, and wait until all know all."""
        await self.put_settings()
        room = asyncio.Semaphore(AT_ONCE)

        async def start_one(number: int) -> None:
            name = f"host-{number}"
            async with room:
                await self.fleet.run_host(
                    name, f"zone-{number % ZONES}", ("entry",)
                )
            self.names.append(name)

        await start_one(0)
        await asyncio.gather(*(start_one(n) for n in range(1, count)))
        await self.until_known(count, set())

    async def put_settings(self) -> None:
        """Append a change, as a host without settings is not ready."""
        change = settings.Change(cluster.REGION, 0, {"limit.queue": 9})
        record = records.Record(
            records.RecordId(records.Writer("bench/setup", 1), 1),
            settings.CHANGE,
            records.NO_EPOCH,
            dataclasses.asdict(change),
        )
        await self.client.call(
            configs.Address.from_text(self.fleet.platform),
            "POST",
            f"/streams/{settings.STREAM}",
            body=records.encode(record),
        )

    def program(self, name: str) -> processes.Program:
        """Return the entry program of a host."""
        return self.fleet.programs[f"{name}/entry"]

    async def addresses(self, name: str) -> set[str]:
        """Return the addresses that a host tells callers."""
        _, _, body = await self.client.call(
            self.program(name).address, "GET", "/v1/hosts?limit=1000"
        )
        return {h["address"] for h in msgspec.json.decode(body)["hosts"]}

    async def until_known(self, count: int, without: set[str]) -> list[float]:
        """Return when each host told just the others, counted from now."""
        gone = {str(self.program(name).address) for name in without}

        async def right(name: str) -> bool:
            shown = await self.addresses(name)
            return len(shown) == count and not shown & gone

        return await self.until(
            [n for n in self.names if n not in without], right
        )

    async def until(self, names: list[str], right) -> list[float]:
        """Return when ``right`` became true of each host."""
        began = time.perf_counter()

        async def one(name: str) -> float:
            while True:
                try:
                    if await right(name):
                        return time.perf_counter() - began
                except (errors.UpstreamBroken, errors.MessageError):
                    pass
                await asyncio.sleep(POLL_S)

        async with asyncio.timeout(LIMIT_S):
            return await asyncio.gather(*(one(name) for name in names))

    def peer(self, name: str) -> configs.Address:
        """Return the peer address of a host."""
        listen = self.fleet.settings[name]["peer"]["entry_listen"]
        return configs.Address.from_text(listen)

    async def digest(self, name: str) -> int:
        """Return the digest of all that a host knows."""
        pong = await self.links.ask(self.peer(name), gossip.Ping(1, 0), 2.0)
        return pong.digest

    async def spread_fact(self) -> list[float]:
        """Tell a fact to one host; return when each one knew it."""
        await asyncio.gather(*(self.digest(name) for name in self.names))
        before = await self.digest(self.names[0])
        now_ms = int(time.time() * 1000)
        value = {"reason": "crashed two upstreams", "by": "f" * 32}
        fact = facts.Fact("quarantine", "a" * 32, now_ms, value, 600.0)
        change = members.digest_of(fact.name, fact.version)
        await self.links.ask(
            self.peer(self.names[0]), gossip.News(known=(fact,)), 2.0
        )

        async def right(name: str) -> bool:
            return await self.digest(name) == before ^ change

        return await self.until(self.names, right)

    async def counts(self) -> dict[str, dict[str, float]]:
        """Return the counters of each host."""
        found = {}
        for name in self.names:
            program = self.program(name)
            _, _, body = await self.client.call(
                program.address, "GET", "/metrics"
            )
            lines = body.decode().splitlines()
            found[name] = {
                "bytes": total(lines, "camphortray_peer_bytes"),
                "messages": total(lines, "camphortray_peer_messages"),
                "cpu_s": program.cpu_s(),
                "rss_mb": program.rss_mb(),
            }
        return found

    async def rest(self, rest_s: float) -> dict[str, float]:
        """Return means over the hosts while nothing happens."""
        before = await self.counts()
        began = time.perf_counter()
        await asyncio.sleep(rest_s)
        after = await self.counts()
        took = time.perf_counter() - began

        def mean(key: str) -> float:
            return statistics.mean(
                after[n][key] - before[n][key] for n in self.names
            )

        bytes_s = mean("bytes") / took
        headers = mean("messages") * SEGMENT_BYTES * SEGMENTS_PER_MESSAGE
        return {
            "bytes_s": bytes_s,
            "wire_bytes_s": bytes_s + headers / took,
            "cpu_share": mean("cpu_s") / took,
            "rss_mb": statistics.mean(after[n]["rss_mb"] for n in self.names),
        }


def total(lines: list[str], name: str) -> float:
    """Return the sum of a metric over its labels."""
    return sum(
        float(line.rpartition(" ")[2])
        for line in lines
        if line.startswith((name + " ", name + "{"))
    )


def shown(times: list[float]) -> dict[str, float]:
    """Return the median and the last of some times."""
    return {
        "median_s": round(statistics.median(times), 3),
        "all_s": round(max(times), 3),
    }


async def measure(count: int, rest_s: float) -> dict:
    """Measure one size."""
    async with processes.ProcessFleet() as started:
        fleet = Fleet(started)
        await fleet.start(count)
        await asyncio.sleep(3.0)
        result = {"hosts": count, **await fleet.rest(rest_s)}
        result["fact"] = shown(await fleet.spread_fact())
        leaving = fleet.names[1]
        fleet.program(leaving).signal(signal.SIGTERM)
        result["leave"] = shown(await fleet.until_known(count - 1, {leaving}))
        fleet.names.remove(leaving)
        lost = fleet.names[2]
        fleet.program(lost).signal(signal.SIGKILL)
        result["loss"] = shown(await fleet.until_known(count - 2, {lost}))
        fleet.names.remove(lost)
        paused = fleet.names[3]
        fleet.program(paused).signal(signal.SIGSTOP)
        result["silent"] = shown(await fleet.until_known(count - 3, {paused}))
        fleet.program(paused).signal(signal.SIGCONT)
        result["wake"] = shown(await fleet.until_known(count - 2, set()))
        for address in list(fleet.links.links):
            fleet.links.forget(address)
        await fleet.client.close()
    return result


def at_target(results: list[dict], key: str) -> dict[str, float]:
    """Return slope and value at the target of a line through a figure."""
    sizes = [float(result["hosts"]) for result in results]
    if len(sizes) < 2:
        return {}
    line = statistics.linear_regression(
        sizes, [result[key] for result in results]
    )
    return {
        "per_host": round(line.slope, 6),
        "at_target": round(line.intercept + line.slope * TARGET, 4),
    }


def bench(*sizes: int, rest_s: float = 8.0) -> None:
    """Measure some sizes, by default 6 and 24.

    Args:
      sizes: Numbers of hosts.
      rest_s: Seconds over which the cost at rest is taken.
    """
    results = []
    for count in sizes or (6, 24):
        results.append(asyncio.run(measure(count, rest_s)))
        print(json.dumps(results[-1]), file=sys.stderr)
    slopes = {key: at_target(results, key) for key in KEYS}
    print(json.dumps({"sizes": results, "target": TARGET, "slopes": slopes}))


if __name__ == "__main__":
    defopt.run(bench)
