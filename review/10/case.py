"""A tenant gets its burst twice when one process is killed."""

import asyncio
import os
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "rig-2"))

import engines as engines_module  # noqa: E402
import fleet  # noqa: E402
from httpio import call  # noqa: E402
import store as stores  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# The host that is killed; it coordinates the service. KILL=all kills all.
KILL = os.environ.get("KILL", "1")
PREFIX = "/lohu930/"
KEY = "k-7f3a91c2"
WINDOW_S = 5.0
RATE, BURST = 10.0, 100.0
EXCESS, SLACK = 0.1, 20
LIMIT = (RATE * WINDOW_S + BURST) * (1 + EXCESS) + SLACK
# What the tenant asks for: many times its limit.
ASKED_PER_S = 120.0
BEFORE_S, AFTER_S = 1.6, 6.0
# From the kill to the start of a process.
RESTART_S = float(os.environ.get("RESTART", "0.3"))


class Callers:
    """One tenant's callers."""

    def __init__(self, hosts, record):
        self.hosts = hosts
        self.record = record
        self.sent = {}
        self.counts = {}
        self.number = 0

    async def ask(self, number):
        """Send one request, and again after a refusal, like a caller."""
        for attempt in range(2):
            host = self.hosts[(number + attempt) % len(self.hosts)]
            name = f"9c41d0{number:06x}{attempt:04x}"
            self.sent[name] = time.monotonic()
            answer = await call(
                host.front,
                "POST",
                f"{PREFIX}2f",
                [
                    ("Host", fleet.HOST_NAME),
                    ("Attempt-Id", name),
                    ("Key", KEY),
                    ("Deadline-Ms", "5000"),
                    ("Model", "m"),
                    ("Token-Counts", "450,34"),
                    ("Prompt-Prefix", f"5c1e07a2:200,{number:08x}:250"),
                ],
                b"prompt",
            )
            self.record(f"{name} at {host.name}: {answer.status}")
            self.counts[answer.status] = self.counts.get(answer.status, 0) + 1
            if answer.status == 200:
                return
            await asyncio.sleep(0.3)

    async def press(self, seconds, asking):
        """Send requests evenly for a time."""
        begun_at = time.monotonic()
        first = self.number
        while (spent := time.monotonic() - begun_at) < seconds:
            while self.number - first < spent * ASKED_PER_S:
                asking.append(asyncio.create_task(self.ask(self.number)))
                self.number += 1
            await asyncio.sleep(0.01)


def most_in_window(engines, sent, record):
    """Return the most requests sent and run within one window."""
    runs = sorted(
        (sent[run[1]], run[0])
        for engine in engines
        for run in engine.ran
        if run[1] in sent
    )
    most = 0
    for first, _ in runs:
        inside = [
            run for at, run in runs if at >= first and run <= first + WINDOW_S
        ]
        if len(inside) > most:
            most = len(inside)
            span = record.at(first), record.at(max(inside))
    bins = {}
    for _, run in runs:
        at = round(record.at(run) * 5) / 5
        bins[at] = bins.get(at, 0) + 1
    record(f"runs by time: {bins}")
    record(f"{len(runs)} ran; at most {most} in {span}, limit {LIMIT:.0f}")
    return most


async def play(folder, record):
    """Play the case; return the exit code."""
    store = stores.Store()
    await store.start("127.0.0.1")
    engines = [
        engines_module.Engine(store, f"i-{n}", fleet.SERVICE, f"z{1 + n % 2}")
        for n in range(6)
    ]
    for engine in engines:
        engine.events = 34
        engine.pace_s = 0.004
        await engine.begin()
    tenants = [
        {
            "name": "tenant-1",
            "apiKeys": [KEY],
            "ratePerS": RATE,
            "burst": BURST,
        }
    ]
    routes = [
        fleet.route("r-1", PREFIX, "streaming", resumable=True, maxAttempts=1)
    ]
    told = fleet.configuration(1, routes, tenants)
    store.put("keyed.op", "config", told)
    hosts = fleet.Fleet(folder, store, 3)
    try:
        await hosts.start()
        await asyncio.sleep(12.0)
        callers = Callers(hosts.hosts, record)
        asking = []
        pressing = asyncio.create_task(
            callers.press(BEFORE_S + AFTER_S, asking)
        )
        await asyncio.sleep(BEFORE_S)
        if TROUBLE:
            chosen = hosts.hosts if KILL == "all" else [hosts.hosts[int(KILL)]]
            await asyncio.gather(*(host.kill() for host in chosen))
            record(f"{len(chosen)} processes are killed")
            await asyncio.sleep(RESTART_S)
            for host in chosen:
                await host.start()
            await hosts.wait_ready()
            record("all are ready again")
        await pressing
        await asyncio.gather(*asking)
        record(f"answers by status: {callers.counts}")
        most = most_in_window(engines, callers.sent, record)
        return 1 if most > LIMIT else 0
    finally:
        await hosts.stop()
        for engine in engines:
            await engine.end()
        await store.stop()


if __name__ == "__main__":
    sys.exit(fleet.main(play, HERE))
