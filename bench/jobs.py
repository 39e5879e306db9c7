"""Measures jobs: throughput, memory, bytes an item, and replay.

One host in this process, with engines that cost next to nothing; the
figures are of the host's own work on one core. Prints one line of JSON.
"""

import argparse
import asyncio
import gc
import json
import os
import pathlib
import sys
import time

from camphortray import cluster as clusters
from camphortray import jobs
from camphortray import records
from camphortray import slots
from tests import jobcluster

PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
ENDED_S = 300.0
LOOK_S = 0.05
GROUP = 200


def rss_mb():
    """Return this process's resident memory, in MB."""
    statm = pathlib.Path("/proc/self/statm").read_text()
    return int(statm.split()[1]) * PAGE_BYTES / 1e6


class InstantStream:
    """A whole answer in one piece."""

    status = 200
    content_type = "text/event-stream"

    def __init__(self, data):
        self.data = data

    async def read(self, timeout_s):
        data, self.data = self.data, b""
        return data

    def close(self):
        """Do nothing."""


ANSWER = (
    b'data: {"id":"1","model":"m","choices":[{"index":0,"delta":'
    b'{"content":"' + b"word " * 40 + b'"},"finish_reason":"stop"}],'
    b'"usage":{"completion_tokens":40}}\n\ndata: [DONE]\n\n'
)


class InstantEngine:
    """Answers at once, so that only the host's work is measured."""

    def __init__(self, party):
        self.party = party

    def __getattr__(self, name):
        return getattr(self.party, name)

    async def open(self, upstream, request, fresh=False):
        """Answer."""
        return InstantStream(ANSWER)


class FreeSlots:
    """Always has a slot, as an engine that answers at once needs none."""

    def __init__(self, upstreams):
        self.upstreams = upstreams
        self.turn = 0

    async def acquire(self, service, without=frozenset()):
        """Give a slot."""
        await asyncio.sleep(0)
        self.turn += 1
        return slots.Slot(self.upstreams[self.turn % len(self.upstreams)])

    async def release(self, slot):
        """Take it back."""


def body_lines(count):
    """Yield the lines of a job in chunks of some thousand."""
    for start in range(0, count, 1000):
        numbers = range(start, min(start + 1000, count))
        yield b"".join(
            json.dumps(jobcluster.item(f"Statement {n} " + "x" * 300)).encode()
            + b"\n"
            for n in numbers
        )


async def lines(count):
    """Yield a job's body as a caller streams it."""
    for data in body_lines(count):
        yield data
        await asyncio.sleep(0)


class Peak:
    """Highest memory seen while something runs."""

    def __init__(self):
        gc.collect()
        self.idle = self.high = rss_mb()
        self.task = asyncio.get_running_loop().create_task(self.watch())

    async def watch(self):
        """Look now and then."""
        while True:
            self.high = max(self.high, rss_mb())
            await asyncio.sleep(LOOK_S / 5)

    def above(self):
        """Stop; return MB above the start."""
        self.task.cancel()
        return round(max(self.high, rss_mb()) - self.idle, 1)


async def submit(cluster, key, count):
    """Send a job by the entry role; return what is told of it."""
    headers = [
        ("authorization", f"Bearer {clusters.WORKSPACE_KEY}"),
        ("idempotency-key", key),
    ]
    address = next(iter(cluster.hosts.values())).address
    status, _, data = await cluster.client.call(
        address,
        "POST",
        f"/v1/jobs?service={clusters.SERVICE}",
        headers,
        lines(count),
    )
    if status != 201:
        raise RuntimeError(data)
    return json.loads(data)


async def read(cluster, job):
    """Read all results; return their number and bytes."""
    headers = [("authorization", f"Bearer {clusters.WORKSPACE_KEY}")]
    address = next(iter(cluster.hosts.values())).address
    response = await cluster.client.request(
        address, "GET", f"/v1/jobs/{job}/results", headers
    )
    count = size = 0
    while data := await response.read():
        count += data.count(b"\n")
        size += len(data)
    response.close()
    return count, size


async def whole_job(count):
    """Run one job of ``count`` items through a host."""
    async with jobcluster.JobCluster() as cluster:
        part = cluster.shards("host-0")
        party = part.dispatcher.driver.runner.backends
        party.engines["openai"] = InstantEngine(party.engine("openai"))
        streams = cluster.platform.log.streams
        held = sum(len(r.body) for s in streams.values() for r in s.records)
        service = part.dispatcher.tree.view.services[clusters.SERVICE]
        part.dispatcher.slots = FreeSlots(list(service.upstreams.values()))
        peak = Peak()
        began, cpu = time.monotonic(), time.process_time()
        job = (await submit(cluster, "k", count))["id"]
        took, taken_mb = time.monotonic() - began, peak.above()
        shard = part.shard_of(job)
        kept = (
            sum(len(r.body) for s in streams.values() for r in s.records)
            - held
        ) / 1e6
        began, cpu = time.monotonic(), time.process_time()
        async with asyncio.timeout(ENDED_S):
            while shard.fold.jobs[job].status == "running":
                await asyncio.sleep(LOOK_S)
        ran, cpu = time.monotonic() - began, time.process_time() - cpu
        peak = Peak()
        began = time.monotonic()
        seen, size = await read(cluster, job)
        return {
            "items": count,
            "take_s": round(took, 2),
            "take_mb_above_idle": taken_mb,
            "take_mb_less_log": round(taken_mb - kept, 1),
            "run_s": round(ran, 2),
            "items_per_core_s": round(count / cpu),
            "read_items": seen,
            "read_mb": round(size / 1e6, 1),
            "read_s": round(time.monotonic() - began, 2),
            "read_mb_above_idle": peak.above(),
        }


def owner_bytes(job):
    """Return the bytes an owner's fold holds for a job."""
    parts = (job.results, job.records, job.chunks)
    return sum(sys.getsizeof(part) for part in parts)


def stream_of(count, items):
    """Return the records of ``count`` finished jobs, and their fold."""
    writer = records.Writer("a/batch", 1)
    made = []

    def add(kind, body):
        number = len(made) + 1
        record = records.Record(
            records.RecordId(writer, number), kind, 0, body, number - 1
        )
        made.append(records.encode(record))

    add("claim", {"after": -1})
    for number in range(count):
        name = f"{number:032x}"
        chunk = {"job": name, "upload": number, "first": 0}
        add(jobs.CHUNK, {**chunk, "items": [b"{}"] * items})
        accept = {"workspace": "w", "key": name, "service": "s"}
        accept |= {"job": name, "upload": number, "count": items}
        add(jobs.ACCEPT, {**accept, "digest": ""})
        for start in range(0, items, GROUP):
            group = [
                {"job": name, "item": i, "status": "done", "body": b"x" * 300}
                for i in range(start, min(start + GROUP, items))
            ]
            add(jobs.RESULTS, {"results": group, "written_at": 1.0})
    return made


def replay(count, items):
    """Fold the stream of ``count`` jobs; return seconds and more."""
    made = stream_of(count, items)
    fold = jobs.JobsFold()
    began = time.process_time()
    for offset, data in enumerate(made):
        fold.apply(offset, data)
    took = time.process_time() - began
    body = fold.snapshot()
    began = time.process_time()
    other = jobs.JobsFold()
    other.restore(body)
    restored = time.process_time() - began
    job = next(iter(fold.jobs.values()))
    return {
        "jobs": count,
        "replay_s": round(took, 3),
        "restore_s": round(restored, 4),
        "bytes_per_item": round(owner_bytes(job) / items, 2),
    }


def main():
    """Run from the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--items", type=int, default=20_000)
    parser.add_argument("--replay-items", type=int, default=1_000)
    given = parser.parse_args()
    told = asyncio.run(whole_job(given.items))
    told["replay"] = [
        replay(count, given.replay_items) for count in (1, 10, 100)
    ]
    print(json.dumps(told))


if __name__ == "__main__":
    main()
