"""Tenants get their burst twice when a route moves to a new service."""

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
PREFIX, MOVED = "/lohu930/", "/pufi791/"
# The service that the second route moves to.
OTHER = "listing-lm"
TENANTS = ("tenant-1", "tenant-2", "tenant-3", "tenant-4")
WINDOW_S = 5.0
RATE, BURST = 10.0, 100.0
EXCESS, SLACK = 0.1, 20
LIMIT = (RATE * WINDOW_S + BURST) * (1 + EXCESS) + SLACK
# What each tenant asks for: many times its limit.
ASKED_PER_S = 80.0
BEFORE_S, AFTER_S = 2.4, 5.0


class Callers:
    """The callers of all tenants, on the first route."""

    def __init__(self, hosts, record):
        self.hosts = hosts
        self.record = record
        self.sent = {tenant: {} for tenant in TENANTS}
        self.counts = {}
        self.number = 0

    async def ask(self, tenant, number):
        """Send one request, and again after a refusal, like a caller."""
        for attempt in range(2):
            host = self.hosts[(number + attempt) % len(self.hosts)]
            name = f"9c41d0{number:06x}{attempt:04x}"
            self.sent[tenant][name] = time.monotonic()
            answer = await call(
                host.front,
                "POST",
                f"{PREFIX}2f",
                [
                    ("Host", fleet.HOST_NAME),
                    ("Attempt-Id", name),
                    ("Key", f"k-{tenant}"),
                    ("Deadline-Ms", "5000"),
                    ("Model", "m"),
                    ("Token-Counts", "450,34"),
                    ("Prompt-Prefix", f"5c1e07a2:200,{number:08x}:250"),
                ],
                b"prompt",
            )
            self.record(f"{name} of {tenant}: {answer.status}")
            self.counts[answer.status] = self.counts.get(answer.status, 0) + 1
            if answer.status == 200:
                return
            await asyncio.sleep(0.3)

    async def press(self, seconds, asking):
        """Send requests evenly for a time."""
        begun_at = time.monotonic()
        rate = ASKED_PER_S * len(TENANTS)
        while (spent := time.monotonic() - begun_at) < seconds:
            while self.number < spent * rate:
                tenant = TENANTS[self.number % len(TENANTS)]
                work = self.ask(tenant, self.number)
                asking.append(asyncio.create_task(work))
                self.number += 1
            await asyncio.sleep(0.01)


def most_in_window(engines, sent):
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
        most = max(most, len(inside))
    return most


def configuration(version, moved):
    """Return a configuration; a route moves to a service that is new."""
    tenants = [
        {
            "name": tenant,
            "apiKeys": [f"k-{tenant}"],
            "ratePerS": RATE,
            "burst": BURST,
        }
        for tenant in TENANTS
    ]
    service = OTHER if moved else fleet.SERVICE
    routes = [
        fleet.route("r-1", PREFIX, "streaming", resumable=True, maxAttempts=1),
        fleet.route("r-2", MOVED, "streaming", service=service, maxAttempts=1),
    ]
    told = fleet.configuration(version, routes, tenants)
    if moved:
        told["services"].append(told["services"][0] | {"name": OTHER})
    return told


async def play(folder, record):
    """Play the case; return the exit code."""
    store = stores.Store()
    await store.start("127.0.0.1")
    engines = [
        engines_module.Engine(store, f"i-{n}", fleet.SERVICE, f"z{1 + n % 2}")
        for n in range(6)
    ]
    others = [engines_module.Engine(store, f"o-{n}", OTHER) for n in range(2)]
    for engine in engines + others:
        engine.events = 34
        engine.pace_s = 0.002
        await engine.begin()
    store.put("keyed.op", "config", configuration(1, False))
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
        store.put("keyed.op", "config", configuration(4, TROUBLE))
        record(f"version 4 moves a route to a new service: {TROUBLE}")
        await pressing
        await asyncio.gather(*asking)
        record(f"answers by status: {callers.counts}")
        broken = False
        for tenant, sent in callers.sent.items():
            most = most_in_window(engines, sent)
            broken = broken or most > LIMIT
            record(f"{tenant}: {most} in {WINDOW_S:.0f} s, limit {LIMIT:.0f}")
        return 1 if broken else 0
    finally:
        await hosts.stop()
        for engine in engines + others:
            await engine.end()
        await store.stop()


if __name__ == "__main__":
    sys.exit(fleet.main(play, HERE))
