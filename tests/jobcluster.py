"""A small deployment on loopback with all that was seen of its jobs."""

__all__ = ["JobCluster", "hurry", "item"]

import asyncio
import json

from camphortray import cluster as clusters
from camphortray import coordinator
from camphortray import failure_detector
from camphortray import httpclient
from camphortray import journal
from camphortray import membership
from camphortray import poison
from camphortray import shardset
from camphortray import slots
from camphortray import standin_engine
from camphortray import takeover
from tests import history

# Bound on each wait, in seconds; far above what any wait takes.
WAIT_S = 60.0
LOOK_S = 0.01


def hurry(monkeypatch):
    """Shorten what the parts wait for, each in proportion."""
    for module, name, value in (
        (coordinator, "GRANT_S", 0.2),
        (slots, "RENEW_S", 0.06),
        (slots, "LAPSE_S", 0.03),
        (failure_detector, "PROBE_S", 0.3),
        (failure_detector, "SUSPECT_S", 0.6),
        (membership, "TICK_S", 0.02),
        (membership, "ASK_S", 0.3),
        (journal, "MAX_PAUSE_S", 0.1),
        (journal, "READ_BACK_S", 0.1),
        (poison, "SETTLE_S", 0.1),
    ):
        assert hasattr(module, name)
        monkeypatch.setattr(module, name, value)
    timing = takeover.Timing(0.15, 0.1, 1.0, 30.0)
    monkeypatch.setattr(takeover, "Timing", lambda: timing)


def item(text, tokens=6, model=clusters.MODEL):
    """Return the body of one request."""
    message = {"role": "user", "content": text}
    return {"model": model, "max_tokens": tokens, "messages": [message]}


class JobCluster(clusters.Cluster):
    """A cluster and one caller.

    Attributes:
      history: What the caller was told and read.
    """

    def __init__(self, hosts=1, engines=2, speed=20.0, **more):
        timing = standin_engine.TimingModel(speed=speed)
        values = {"limit.silence_s": 0.4, **more.pop("values", {})}
        super().__init__(engines, hosts, timing, values, **more)
        self.history = history.History()
        self.client = httpclient.HttpClient()

    async def stop(self):
        await self.client.close()
        await super().stop()

    def set(self, **values):
        """Switch faults of the log."""
        for name, value in values.items():
            self.platform.faults.set(name, value)

    def stall(self, stalled):
        """Let engines make no tokens, or go on."""
        for engine in self.engines.values():
            engine.model.stalled = stalled

    def shards(self, host):
        """Return the shards of a host."""
        return self.hosts[host].part("batch", shardset.ShardSet)

    def owner(self, job):
        """Return the name of the host that owns a job's shard."""
        for name, host in self.hosts.items():
            if "batch" in host.kernels:
                shard = self.shards(name).shard_of(job)
                if shard.owner.owned:
                    return name
        return None

    async def call(self, method, target, body=b"", host=None, **headers):
        """Make a call; return status, headers and body."""
        sent = [("authorization", f"Bearer {clusters.WORKSPACE_KEY}")]
        sent += [(n.replace("_", "-"), v) for n, v in headers.items()]
        up = [h for h in self.hosts.values() if "entry" in h.kernels]
        at = self.hosts[host] if host else up[0]
        return await self.client.call(at.address, method, target, sent, body)

    async def submit(self, key, items, host=None, query="", **more):
        """Send a job; return status and what was told."""
        body = b"\n".join(json.dumps(entry).encode() for entry in items)
        target = f"/v1/jobs?service={clusters.SERVICE}{query}"
        status, headers, data = await self.call(
            "POST", target, body, host, idempotency_key=key, **more
        )
        told = json.loads(data)
        if status < 300:
            once = "idempotent=false" not in query
            self.history.accepted(told["id"], items, once)
        return status, told

    async def until(self, condition):
        """Wait until a condition holds; it may be a coroutine."""
        async with asyncio.timeout(WAIT_S):
            while True:
                found = condition()
                if asyncio.iscoroutine(found):
                    found = await found
                if found:
                    return found
                await asyncio.sleep(LOOK_S)

    async def ended(self, job, host=None):
        """Wait until a job has ended; return what is told of it."""

        async def look():
            try:
                status, _, data = await self.call(
                    "GET", f"/v1/jobs/{job}", host=host
                )
            except Exception:
                # Hosts come and go while the test waits.
                return None
            told = json.loads(data)
            good = status == 200 and told["status"] != "running"
            return told if good else None

        return await self.until(look)

    async def lines(self, job, host=None, query="?order=item"):
        """Read results, check them against what was read before."""
        status, _, data = await self.call(
            "GET", f"/v1/jobs/{job}/results{query}", host=host
        )
        assert status == 200, data
        found = data.splitlines()
        self.history.read(job, found)
        return [json.loads(line) for line in found]

    def sent(self):
        """Return the ids of all requests that engines saw."""
        return [name for e in self.engines.values() for name in e.seen]

    def runs(self, job, index):
        """Return how often engines saw an item."""
        start = f"{job}-{index}."
        return sum(name.startswith(start) for name in self.sent())
