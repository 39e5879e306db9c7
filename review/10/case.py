"""Jobs beyond the cap of a route are accepted after a store outage."""

import asyncio
import base64
import json
import os
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "rig-2"))

import engines as engines_module  # noqa: E402
import fleet  # noqa: E402
from httpio import call  # noqa: E402
import store as stores  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
PREFIX = "/pule252/"
# A burst of six times 0.344 jobs a second.
JOBS, JOBS_PER_S = 4, 2.0
JOB_ITEMS = 10
ITEM_TOKENS = 587
JOB_TOKENS = JOB_ITEMS * ITEM_TOKENS
CAP = 2 * JOB_TOKENS
# Ids of jobs, one for each partition of the store in which the system keeps
# jobs, in their order. Each is sent to the host that owns its partition.
IDS = (
    "7c41e09b52d601",
    "7c41e09b52d605",
    "7c41e09b52d612",
    "7c41e09b52d608",
    "7c41e09b52d602",
    "7c41e09b52d600",
    "7c41e09b52d604",
    "7c41e09b52d60c",
)
EXCESS = 0.1
# As the sheets have it: a job is 237 events, and its clients come again once.
EVENTS = 237
RETRIES = 1
DOWN_S = 1.9


class Clients:
    """Clients of the batch route."""

    def __init__(self, hosts, engines, record, owners):
        self.hosts = hosts
        self.owners = owners
        self.engines = engines
        self.record = record
        self.accepted = {}
        self.broken = False
        self.most = 0

    def waiting(self):
        """Return the tokens accepted that no engine has finished."""
        done = set().union(*(each.finished for each in self.engines))
        return sum(
            ITEM_TOKENS
            for items in self.accepted.values()
            for item in items
            if item not in done
        )

    async def submit(self, number, at_s):
        """Send one job, and again after a refusal."""
        await asyncio.sleep(at_s)
        job = IDS[number]
        first = self.owners[number]
        items = [f"{job}{index:02x}" for index in range(JOB_ITEMS)]
        body = json.dumps({"items": [item_of(item) for item in items]})
        headers = [
            ("Host", fleet.HOST_NAME),
            ("Attempt-Id", job),
            ("Content-Type", "application/json"),
        ]
        for attempt in range(1 + RETRIES):
            host = self.hosts[(first + attempt) % len(self.hosts)]
            answer = await call(
                host.front,
                "POST",
                f"{PREFIX}{job[:6]}",
                headers,
                body.encode(),
                timeout_s=4.0,
            )
            self.record(f"job {job} at {host.name}: {answer.status}")
            if answer.status == 202:
                self.accepted[job] = items
                self.check()
                return
            wait_s = float(answer.headers.get("retry-after", 0.5))
            await asyncio.sleep(wait_s)

    def check(self):
        """Check the rule at a 202."""
        tokens = self.waiting()
        self.most = max(self.most, tokens)
        if tokens > CAP * (1 + EXCESS):
            self.broken = True
            self.record(f"QUOTA: {tokens} tokens wait, cap {CAP}")


def item_of(item):
    """Return an item of a job."""
    return {
        "id": item,
        "path": f"{PREFIX}3/{item[-4:]}",
        "headers": {
            "Model": "m",
            "Token-Counts": "350,237",
            "Prompt-Prefix": f"9c2e41:100,{item}:250",
        },
        "body": base64.b64encode(b"prompt").decode(),
        "tokens": ITEM_TOKENS,
    }


async def play(folder, record):
    """Play the case; return the exit code."""
    store = stores.Store()
    await store.start("127.0.0.1")
    engines = [
        engines_module.Engine(store, f"i-{n}", fleet.SERVICE, f"z{1 + n % 2}")
        for n in range(4)
    ]
    for engine in engines:
        engine.events = EVENTS
        engine.pace_s = 0.015
        await engine.begin()
    batch = fleet.route(
        "r-2",
        PREFIX,
        "batch",
        goalMs=400,
        dueMs=18000,
        retentionS=60,
        maxAttempts=3,
        cap=CAP,
    )
    store.put("keyed.op", "config", fleet.configuration(1, [batch]))
    hosts = fleet.Fleet(folder, store, 3)
    try:
        await hosts.start()
        # Traffic starts 12 s after the machines do.
        await asyncio.sleep(12.0)
        (group,) = store.groups.values()
        holder = {part: name for (_, part), name in group.holder.items()}
        names = [host.name for host in hosts.hosts]
        owners = [
            names.index(holder[part].partition(".")[0]) for part in range(8)
        ]
        clients = Clients(hosts.hosts, engines, record, owners)
        sending = [
            asyncio.create_task(clients.submit(n, 0.1 + n / JOBS_PER_S))
            for n in range(JOBS)
        ]
        if TROUBLE:
            record("the store is down (503)")
            store.fail("busy")
            await asyncio.sleep(DOWN_S)
            store.recover()
            record("the store is back")
        await asyncio.gather(*sending)
        record(
            f"accepted {len(clients.accepted)} of {JOBS}; at most"
            f" {clients.most} tokens waited at a 202, cap {CAP}"
        )
        return 1 if clients.broken else 0
    finally:
        await hosts.stop()
        for engine in engines:
            await engine.end()
        await store.stop()


if __name__ == "__main__":
    sys.exit(fleet.main(play, HERE))
