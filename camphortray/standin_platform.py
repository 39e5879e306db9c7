"""Stand-ins of the platform: log, host list and weight store.

Docs: docs/STANDINS.md.
"""

__all__ = ["LogStandin", "PlatformStandin"]

import asyncio
import dataclasses
import time
from typing import Any

import cbor2

from camphortray import errors
from camphortray import faults as faults_module
from camphortray import hostlist
from camphortray import httpserver
from camphortray import log

# Longest time a reader may wait in one long poll, in seconds.
MAX_WAIT_S = 30.0


@dataclasses.dataclass(frozen=True)
class LogLimits:
    """What the log allows.

    Attributes:
      appends_per_s: Appends a second over all streams; a burst of one
        second's worth is allowed.
      record_limit: Largest record in bytes.
      retention_s: How long a record is kept; 0 keeps all.
    """

    appends_per_s: float = 300.0
    record_limit: int = 1_048_576
    retention_s: float = 0.0


class LogStandin:
    """The log behind ``/streams/NAME``."""

    def __init__(self, limits: LogLimits) -> None:
        self.limits = limits
        self.streams: dict[str, log.Stream] = {}
        self.tokens = limits.appends_per_s
        self.refilled = 0.0
        self.appends = 0
        self.refused = 0
        self.faults = faults_module.Faults(
            {
                "log_down": False,
                "log_delay_s": 0.0,
                "log_lose_answers": 0,
                "log_lose_before": 0,
            }
        )
        self.faults.on("log_down", self.break_off)

    def break_off(self, down: Any) -> None:
        """Answer the readers that wait, as an outage does."""
        if down:
            for stream in self.streams.values():
                stream.wake()

    def stream(self, name: str) -> log.Stream:
        """Return a stream, with old records forgotten."""
        stream = self.streams.setdefault(name, log.Stream())
        if self.limits.retention_s:
            oldest = time.time() - self.limits.retention_s
            kept = stream.next
            for record in stream.records:
                if record.time >= oldest:
                    kept = record.offset
                    break
            stream.truncate(kept)
        return stream

    def take_token(self) -> bool:
        """Return whether the rate leaves room for one append."""
        now = asyncio.get_running_loop().time()
        rate = self.limits.appends_per_s
        self.tokens = min(rate, self.tokens + (now - self.refilled) * rate)
        self.refilled = now
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True

    async def append(
        self,
        name: str,
        request: httpserver.Request,
        response: httpserver.Response,
    ) -> None:
        """Answer an append."""
        body = await request.body(self.limits.record_limit)
        if not self.take_token():
            self.refused += 1
            raise errors.Refused(429, "rate", "append rate", retry_after=1)
        if self.count_down("log_lose_before"):
            response.abort()
            return
        offset = self.stream(name).add(time.time(), body)
        self.appends += 1
        if self.count_down("log_lose_answers"):
            response.abort()
            return
        send_cbor(response, 200, {"offset": offset})

    def count_down(self, fault: str) -> bool:
        """Return whether a counted fault strikes now."""
        left = self.faults[fault]
        if left > 0:
            self.faults.values[fault] = left - 1
        return left > 0

    async def read(
        self,
        name: str,
        request: httpserver.Request,
        response: httpserver.Response,
    ) -> None:
        """Answer a read, waiting for more if asked to."""
        offset = int(request.query.get("from", "0"))
        wait_s = min(float(request.query.get("wait", "0")), MAX_WAIT_S)
        stream = self.stream(name)
        if offset >= stream.next and wait_s > 0:
            waiter = asyncio.get_running_loop().create_future()
            stream.waiters.append(waiter)
            await asyncio.wait({waiter}, timeout=wait_s)
            await self.check_up()
        if offset < stream.first:
            send_cbor(response, 410, {"first": stream.first})
            return
        page = stream.page(offset)
        records = [(r.offset, r.time, r.body) for r in page.records]
        send_cbor(
            response,
            200,
            {"first": page.first, "next": page.next, "records": records},
        )

    async def check_up(self) -> None:
        """Raise while an outage is switched on."""
        await faults_module.slow(self.faults["log_delay_s"])
        if self.faults["log_down"]:
            raise errors.Refused(503, "down", "outage", ran="unknown")


def send_cbor(response: httpserver.Response, status: int, data: Any) -> None:
    """Send a CBOR body."""
    headers = [("content-type", "application/cbor")]
    response.send(status, cbor2.dumps(data), headers)


class PlatformStandin(faults_module.FaultHandler):
    """Log, host list and weight store on one port.

    Attributes:
      hosts: The list, with a status each; shown ``list_lag_s`` late.
      weights: Size in bytes by model and version.
    """

    def __init__(self, limits: LogLimits | None = None) -> None:
        self.log = LogStandin(limits or LogLimits())
        super().__init__(self.log.faults)
        self.hosts: dict[str, hostlist.ListedHost] = {}
        self.weights: dict[tuple[str, str], int] = {}
        self.rate_bytes_s = 1e9
        self.faults.values.update(list_down=False, list_lag_s=0.0)
        self.faults.values.update(weights_down=False)

    async def serve(
        self, request: httpserver.Request, response: httpserver.Response
    ) -> None:
        parts = request.path.strip("/").split("/")
        if parts[0] == "streams" and len(parts) == 2:
            await self.log.check_up()
            if request.method == "POST":
                await self.log.append(parts[1], request, response)
            else:
                await self.log.read(parts[1], request, response)
        elif parts[0] == "hosts":
            await self.serve_hosts(request, response)
        elif parts[0] == "weights" and len(parts) == 3:
            self.serve_weights(parts[1], parts[2], response)
        elif parts[0] == "stats":
            stats = {"appends": self.log.appends, "refused": self.log.refused}
            response.send_json(200, stats)
        else:
            raise errors.Refused(404, "not_found", f"no {request.path}")

    async def serve_hosts(
        self, request: httpserver.Request, response: httpserver.Response
    ) -> None:
        """Show the list, or take one line of it by POST."""
        if request.method == "POST":
            line = hostlist.ListedHost(**(await request.json()))
            loop = asyncio.get_running_loop()
            lag = self.faults["list_lag_s"]
            loop.call_later(lag, self.hosts.__setitem__, line.name, line)
            response.send_json(200, {})
            return
        if self.faults["list_down"]:
            raise errors.Refused(503, "down", "outage")
        response.send_json(200, list(self.hosts.values()))

    def serve_weights(
        self, model: str, version: str, response: httpserver.Response
    ) -> None:
        """Tell the size of a version and the rate of the store."""
        if self.faults["weights_down"]:
            raise errors.Refused(503, "down", "outage")
        size = self.weights.get((model, version), 1_000_000_000)
        response.send_json(
            200, {"size_bytes": size, "rate_bytes_s": self.rate_bytes_s}
        )
