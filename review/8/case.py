"""Calls on accepted jobs are passed to engines once a route is added."""

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
# A prefix begins and ends with a slash.
ALL = "/"
JOBS = 4
JOB_ITEMS = 10
EVENTS = 20
# Beyond configApplyMs, settleMs and finishS.
APPLY_S = 20.0
READS = 5


def routes(changed):
    """Return the routes; a version of the configuration adds one."""
    found = [
        fleet.route(
            "r-2",
            PREFIX,
            "batch",
            goalMs=400,
            dueMs=18000,
            retentionS=60,
            maxAttempts=3,
            cap=2000000,
        )
    ]
    if changed:
        found.append(fleet.route("r-3", ALL, "streaming", resumable=True))
    return found


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
        "tokens": 587,
    }


async def submit(hosts, number, record):
    """Send one job until it is accepted; return its items."""
    job = f"{number:04x}c41e09b52d"
    items = [f"{job}{index:02x}" for index in range(JOB_ITEMS)]
    body = json.dumps({"items": [item_of(item) for item in items]})
    headers = [
        ("Host", fleet.HOST_NAME),
        ("Attempt-Id", job),
        ("Content-Type", "application/json"),
    ]
    for attempt in range(4):
        host = hosts[(number + attempt) % len(hosts)]
        answer = await call(
            host.front, "POST", f"{PREFIX}{job[:6]}", headers, body.encode()
        )
        record(f"job {job} at {host.name}: {answer.status}")
        if answer.status == 202:
            return job, items
        await asyncio.sleep(0.5)
    raise TimeoutError("a job is not accepted")


async def read(host, job, record):
    """Read a job from its start; return the number of results, or None."""
    answer = await call(
        host.front,
        "GET",
        f"/lots/{job}?after=0",
        [("Host", fleet.HOST_NAME)],
    )
    record(f"read of {job} at {host.name}: {answer.status}")
    if answer.status != 200:
        return None
    try:
        return len(json.loads(answer.body)["results"])
    except (ValueError, KeyError):
        record(f"no page of results: {answer.body[:80]!r}")
        return None


async def play(folder, record):
    """Play the case; return the exit code."""
    store = stores.Store()
    await store.start("127.0.0.1")
    engines = [
        engines_module.Engine(store, f"i-{n}", fleet.SERVICE) for n in range(2)
    ]
    for engine in engines:
        engine.events = EVENTS
        await engine.begin()
    store.put("keyed.op", "config", fleet.configuration(1, routes(False)))
    hosts = fleet.Fleet(folder, store, 3)
    try:
        await hosts.start()
        await asyncio.sleep(5.0)
        jobs = dict(
            [await submit(hosts.hosts, n, record) for n in range(JOBS)]
        )
        await asyncio.sleep(4.0)
        for number, job in enumerate(jobs):
            await read(hosts.hosts[number % 3], job, record)
        told = fleet.configuration(4, routes(TROUBLE))
        store.put("keyed.op", "config", told)
        record(f"version 4 adds a route of all paths: {TROUBLE}")
        await asyncio.sleep(APPLY_S)
        unread = 0
        for job, items in jobs.items():
            found = [
                await read(hosts.hosts[turn % 3], job, record)
                for turn in range(READS)
            ]
            unread += all(each != len(items) for each in found)
        sent = {item for items in jobs.values() for item in items}
        unasked = 0
        for engine in engines:
            for moment, attempt, _, _, target, _ in engine.ran:
                if attempt not in sent:
                    unasked += 1
                    record(
                        f"{engine.name} ran {attempt!r} {target} at"
                        f" {record.at(moment):.3f}: no client sent this id"
                    )
        record(
            f"LOST: {unread} of {len(jobs)} jobs can't be read;"
            f" UNASKED: {unasked}"
        )
        return 1 if unread else 0
    finally:
        await hosts.stop()
        for engine in engines:
            await engine.end()
        await store.stop()


if __name__ == "__main__":
    sys.exit(fleet.main(play, HERE))
