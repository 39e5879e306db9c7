"""Model engines, as PROTOCOL.md tells them."""

import asyncio
import time

from httpio import answer_bytes
from httpio import json_bytes
from httpio import read_body
from httpio import Server

SERVERS = "keyed.servers"
OPEN_END = (("Content-Type", "text/event-stream"),)


class Engine(Server):
    """One engine, which registers itself in the store.

    Attributes:
      ran: Time, attempt, event behind which it ran, headers, path and body
        of each request that it began.
      finished: Attempts whose whole answer was written.
      pace_s: Seconds from one event to the next.
      events: Events of an answer.
    """

    def __init__(self, store, name, service, zone="z1", slots=8):
        super().__init__()
        self.store = store
        self.name = name
        self.service = service
        self.zone = zone
        self.slots = slots
        self.queue = 4
        self.pace_s = 0.02
        self.events = 6
        self.born = 0
        self.state = "ready"
        self.sequence = 0
        self.running = 0
        self.waiting = 0
        self.free = asyncio.Semaphore(slots)
        self.ran = []
        self.finished = set()
        self.beats = None

    async def begin(self, ip="127.0.0.1", beat_s=1.2, told_born=True):
        """Listen and register."""
        await self.start(ip)
        if told_born:
            self.born = int(time.time() * 1000)
        self.beats = asyncio.create_task(self.beat(beat_s))

    async def beat(self, beat_s):
        """Write the entry again and again."""
        while True:
            self.register()
            await asyncio.sleep(beat_s)

    def entry(self):
        """Return its entry in the store."""
        told = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "coldLeftMs": 0,
            "sequence": self.sequence,
        }
        return told | ({"born": self.born} if self.born else {})

    def register(self):
        """Write the entry, unless the store is away."""
        if not self.store.mode:
            self.sequence += 1
            self.store.put(SERVERS, self.name, self.entry())

    async def handle(self, request, reader, writer):
        if request.path == "/report":
            writer.write(json_bytes(200, self.report()))
            return True
        headers = request.headers
        attempt = headers.get("attempt-id", "")
        base = [("Attempt-Id", attempt), ("Server-Stamp", f"{self.name}.1")]
        body = await read_body(reader, request)
        if headers.get("expect-instance", self.name) != self.name:
            writer.write(answer_bytes(421, b"", base))
            return True
        if self.waiting >= self.queue and self.free.locked():
            base.append(("Not-Executed", "1"))
            writer.write(answer_bytes(503, b"", base))
            return True
        # A request is dropped when its connection closes.
        work = asyncio.create_task(
            self.run(request, body, base, writer, attempt)
        )
        gone = asyncio.create_task(reader.read(1))
        await asyncio.wait({work, gone}, return_when="FIRST_COMPLETED")
        if work.done() and not gone.done():
            gone.cancel()
            await asyncio.wait({gone})
            return not work.exception()
        work.cancel()
        gone.cancel()
        await asyncio.wait({work, gone})
        return False

    async def run(self, request, body, base, writer, attempt):
        """Run a request and stream its answer."""
        self.waiting += 1
        try:
            await self.free.acquire()
        finally:
            self.waiting -= 1
        self.running += 1
        try:
            after = int(request.headers.get("last-event-id", 0))
            self.ran.append(
                (
                    time.monotonic(),
                    attempt,
                    after,
                    request.headers,
                    request.target,
                    body,
                )
            )
            await self.stream(base, writer, attempt, after)
            self.finished.add(attempt)
        finally:
            self.running -= 1
            self.free.release()

    async def stream(self, base, writer, attempt, after):
        """Write the events of an answer."""
        lines = ["HTTP/1.1 200 OK"]
        told = [*base, *OPEN_END, ("Transfer-Encoding", "chunked")]
        lines += [f"{name}: {value}" for name, value in told]
        writer.write("\r\n".join([*lines, "", ""]).encode())
        for number in range(after + 1, self.events + 1):
            data = f"id: {number}\ndata: {attempt}.{number}\n\n".encode()
            writer.write(b"%x\r\n%b\r\n" % (len(data), data))
            await writer.drain()
            await asyncio.sleep(self.pace_s)
        writer.write(b"0\r\n\r\n")
        await writer.drain()

    def report(self):
        """Return its report."""
        told = {
            "stage": "prefill_decode",
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "busy": False,
            "sequence": self.sequence,
            "waiting": self.waiting,
            "running": self.running,
            "kvUsed": 0,
            "kvTotal": 90000,
            "handles": 0,
        }
        return told | ({"born": self.born} if self.born else {})

    def text(self, attempt):
        """Return the whole output of an item."""
        return "\n".join(
            f"{attempt}.{number}" for number in range(1, self.events + 1)
        )

    async def end(self):
        """Stop, as at the end of a test."""
        if self.beats is not None:
            self.beats.cancel()
        await self.stop()
