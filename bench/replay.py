"""Time for a new host to have a shard, by live state and by history.

A stream of jobs is made by the real fold and its snapshots by the real
code; then a new journal starts from the log in memory. The cost of the
network is left out. ``python -m bench.replay``.
"""

__all__ = ["main"]

import asyncio
import json
import random
import sys
import time

import msgspec

from camphortray import compaction
from camphortray import fold as folds
from camphortray import jobs
from camphortray import journal
from camphortray import log
from camphortray import logs
from camphortray import records

ITEMS = 1000
GROUP = 64
RETENTION_S = 1e9
STREAM = "jobs.0"
BODY = b'{"choices":[{"message":{"content":"' + b"x" * 1000 + b'"}}]}'


class Maker:
    """Writes a stream as the owner of a shard would.

    Attributes:
      snapshots: Whether it writes them when they are due.
    """

    def __init__(self, snapshots: bool) -> None:
        self.service = log.MemoryLog()
        self.snapshots = snapshots
        self.journal = self.follow("a/batch")
        self.compactor = compaction.Compactor(
            self.journal,
            RETENTION_S,
            asyncio.get_running_loop().time,
            lambda: 0,
        )

    def follow(self, name: str) -> journal.Journal:
        """Return a journal of the stream."""
        return journal.Journal(
            self.service,
            STREAM,
            jobs.JobsFold(),
            records.Writer(name, 1),
            random.Random(0),
        )

    async def append(self, kind: str, body: object) -> None:
        """Append a record and write a snapshot if one is due."""
        plain = msgspec.to_builtins(body, builtin_types=(bytes,))
        epoch = self.journal.fold.ownership.epoch
        await self.journal.append(kind, plain, epoch)
        if self.snapshots:
            await self.compactor.look()

    async def make(self, live: int, ended: int) -> None:
        """Write jobs that end and are forgotten, then live ones."""
        self.journal.start()
        await self.append(folds.CLAIM, folds.Claim(-1))
        for number in range(ended + live):
            name = f"job-{number}"
            await self.job(name)
            if number < ended:
                await self.append(jobs.FORGET, jobs.JobForget(name))
        await self.journal.stop()

    async def job(self, name: str) -> None:
        """Write a job with all its results."""
        line = b'{"messages":[{"content":"' + b"q" * 200 + b'"}]}'
        chunk = jobs.JobChunk(name, 1, 0, (line,) * ITEMS)
        await self.append(jobs.CHUNK, chunk)
        accept = jobs.JobAccept(name, 1, "w", name, "s", ITEMS, "d")
        await self.append(jobs.ACCEPT, accept)
        for first in range(0, ITEMS, GROUP):
            results = tuple(
                jobs.ItemResult(name, item, "done", BODY)
                for item in range(first, min(first + GROUP, ITEMS))
            )
            await self.append(jobs.RESULTS, jobs.JobResults(results))

    async def start_anew(self) -> dict[str, float]:
        """Let a new host read the stream; return what it took."""
        fresh = self.follow("b/batch")
        began = time.perf_counter()
        fresh.start()
        await fresh.caught_up.wait()
        seconds = time.perf_counter() - began
        assert len(fresh.fold.dump()["jobs"]) == len(
            self.journal.fold.dump()["jobs"]
        )
        await fresh.stop()
        held = self.service.stream(STREAM).records
        return {
            "replay_s": round(seconds, 4),
            "records": len(held),
            "log_mb": round(sum(len(r.body) for r in held) / 1e6, 1),
            "snapshot_kb": round(fresh.snapshot_bytes / 1e3, 1),
        }


async def measure(live: int, ended: int, snapshots: bool) -> dict[str, float]:
    """Make a stream and start a host from it."""
    maker = Maker(snapshots)
    await maker.make(live, ended)
    return await maker.start_anew()


async def run() -> dict[str, dict[str, float]]:
    """Measure all streams."""
    shown = {}
    for live, ended in ((1, 0), (10, 0), (100, 0), (10, 40), (10, 160)):
        for snapshots in (True, False):
            name = f"{live} live, {ended} ended"
            way = "snapshots" if snapshots else "history alone"
            shown[f"{name}, {way}"] = await measure(live, ended, snapshots)
            print(f"{name}, {way}: {shown[f'{name}, {way}']}", flush=True)
    return shown


def main() -> int:
    """Print a line for each stream and one line of JSON."""
    logs.set_up(level="ERROR")
    shown = asyncio.run(run())
    print(json.dumps(shown))
    return 0


if __name__ == "__main__":
    sys.exit(main())
