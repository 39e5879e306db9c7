"""Faults of the brief, and one run of jobs under two of them."""

__all__ = ["FAULTS", "PAIRS", "run_cell"]

import asyncio
import itertools
import json
import random

from camphortray import cluster as clusters
from camphortray import jobs
from tests import jobcluster

# Seconds from the first fault to the second at most, and until both end.
SPREAD_S = 0.15
HOLD_S = 0.4
KINDS = {"a": (24, 30, ""), "b": (8, 30, "&idempotent=false")}


class Gate:
    """The log as a paused host sees it: nothing comes back until then."""

    def __init__(self, service):
        self.service = service
        self.open = asyncio.Event()

    async def append(self, stream, body):
        await self.open.wait()
        return await self.service.append(stream, body)

    async def read(self, stream, offset, wait_s=0.0):
        page = await self.service.read(stream, offset, wait_s)
        await self.open.wait()
        return page


def shut(part):
    """Hold the journals of all shards of a host; return their gates."""
    gates = []
    for shard in part.shards:
        held = shard.journal
        gate = Gate(held.service)
        held.service, held.send = gate, gate.append
        gates.append((held, gate))
    return gates


def reopen(gates):
    """Let held journals go on."""
    for held, gate in gates:
        gate.open.set()
        held.service, held.send = gate.service, gate.service.append


class Cell:
    """One cluster under faults."""

    def __init__(self, cluster, rng):
        self.cluster = cluster
        self.rng = rng
        self.asked = {}
        self.names = {}
        self.gates = []
        self.lost = []

    @property
    def engine(self):
        return self.cluster.engines["engine-0"]

    async def submit(self, key, host=None):
        """Send a job; keep at it until it is accepted."""
        count, tokens, query = KINDS.get(key, (24, 30, ""))
        asked = [
            jobcluster.item(f"{key} {n}", tokens=tokens) for n in range(count)
        ]
        self.asked[key] = asked, query

        async def accepted():
            status, told = await self.try_submit(key, host)
            self.names[key] = told.get("id")
            return status < 300

        await self.cluster.until(accepted)

    async def try_submit(self, key, host=None):
        """Send a job once; a lost host is no answer."""
        asked, query = self.asked[key]
        try:
            async with asyncio.timeout(3):
                return await self.cluster.submit(key, asked, host, query)
        except Exception:
            # Any error a caller may meet whose host is lost.
            return 599, {}

    async def refused_or_not(self):
        """Send a job in the middle of the faults, once."""
        self.asked["d"] = [jobcluster.item("d 0"), jobcluster.item("d 1")], ""
        name = jobs.job_id(clusters.WORKSPACE, "d")
        status, told = await self.try_submit("d")
        if status < 300:
            self.names["d"] = name
        elif told.get("error", {}).get("ran") == "no":
            self.cluster.history.refused.add(name)

    async def cancel(self):
        """Cancel job c and keep at it until that is told as done."""
        name = self.names["c"]
        target = f"/v1/jobs/{name}/cancel"

        async def done():
            try:
                async with asyncio.timeout(3):
                    status, _, data = await self.cluster.call("POST", target)
            except Exception:
                return False
            if status != 200:
                return False
            return json.loads(data)["status"]

        if await self.cluster.until(done) == "cancelled":
            lines = await self.read("c")
            self.cluster.history.cancelled(name, lines)

    async def read(self, key, host=None):
        """Read a job's results once the log answers."""
        target = f"/v1/jobs/{self.names[key]}/results"

        async def lines():
            try:
                status, _, data = await self.cluster.call(
                    "GET", target, host=host
                )
            except Exception:
                return None
            return [data] if status == 200 else None

        (data,) = await self.cluster.until(lines)
        return data.splitlines()

    async def lose_host(self):
        """Stop the owner of job a, or another host if it has none."""
        up = [n for n, host in self.cluster.hosts.items() if host.kernels]
        lost = self.cluster.owner(self.names["a"]) or up[-1]
        for program in ("batch", "entry"):
            await self.cluster.hosts[lost].stop(program)
        self.lost.append(lost)

    async def bring_back(self):
        """Start a lost host again, once it is down."""
        await self.cluster.until(lambda: self.lost)
        host = self.cluster.hosts[self.lost.pop()]
        await asyncio.gather(host.start("entry"), host.start("batch"))

    async def pause_owner(self):
        """Hold all that the owner of job a hears of and tells the log."""
        owner = self.cluster.owner(self.names["a"])
        if owner is None:
            return
        self.gates += shut(self.cluster.shards(owner))
        for name, host in self.cluster.hosts.items():
            if name != owner and "batch" in host.kernels:
                for shard in self.cluster.shards(name).shards:
                    shard.owner.suspect()

    async def wake_owner(self):
        """Let a paused owner go on, as if nothing had been."""
        reopen(self.gates)

    async def resend(self):
        """Send job a again, to two hosts at once."""
        hosts = [n for n, h in self.cluster.hosts.items() if h.kernels]
        both = self.rng.sample(hosts, min(2, len(hosts)))
        await asyncio.gather(*(self.try_submit("a", host) for host in both))


async def nothing(cell):
    """End a fault that ends by itself."""


def of_log(**values):
    """Return begin and end of a fault of the log."""

    async def begin(cell):
        cell.cluster.set(**values)

    async def end(cell):
        cell.cluster.set(**dict.fromkeys(values, 0))

    return begin, end


def of_engine(name, value=True):
    """Return begin and end of a fault of an engine."""

    async def begin(cell):
        cell.engine.faults.set(name, value)

    async def end(cell):
        if name in ("drain", "stall"):
            cell.engine.faults.set(name, False)

    return begin, end


FAULTS = {
    "log-down": of_log(log_down=True),
    "log-slow": of_log(log_delay_s=0.1),
    "log-answers-lost": of_log(log_lose_answers=4),
    "log-lost-before": of_log(log_lose_before=4),
    "engine-crash": of_engine("crash"),
    "engine-silent": of_engine("silent"),
    "engine-drain": of_engine("drain"),
    "engine-stall": of_engine("stall"),
    "wrong-echo": of_engine("wrong_echo", 3),
    "host-lost": (Cell.lose_host, Cell.bring_back),
    "owner-paused": (Cell.pause_owner, Cell.wake_owner),
    "job-resend": (Cell.resend, nothing),
    "cancel": (Cell.cancel, nothing),
}
PAIRS = tuple(itertools.combinations_with_replacement(FAULTS, 2))


async def run_cell(names, seed=1):
    """Run jobs under faults; return what must not have been seen."""
    rng = random.Random(f"{names} {seed}")
    async with jobcluster.JobCluster(hosts=3, engines=3, speed=4.0) as cluster:
        cell = Cell(cluster, rng)
        keys = "abc" if "cancel" in names else "ab"
        for key in keys:
            await cell.submit(key)
        await cluster.until(lambda: len(cluster.sent()) >= 3)
        begun = []
        for name in names:
            begun.append(asyncio.ensure_future(FAULTS[name][0](cell)))
            await asyncio.sleep(rng.random() * SPREAD_S)
        middle = asyncio.ensure_future(cell.refused_or_not())
        await asyncio.sleep(HOLD_S)
        for name in names:
            await FAULTS[name][1](cell)
        await asyncio.gather(*begun, middle)
        await finish(cell)
        faults = cluster.history.finish(cluster.sent())
        return [f"{' + '.join(names)}: {fault}" for fault in faults]


async def finish(cell):
    """Wait until all jobs have ended and read them, twice."""
    for key in cell.names:
        await cell.cluster.ended(cell.names[key])
        for host in ("host-0", "host-2"):
            lines = await cell.read(key, host)
            cell.cluster.history.read(cell.names[key], lines)
