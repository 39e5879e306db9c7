"""A model engine as PROTOCOL.md tells it."""

import asyncio
from collections.abc import Callable
import dataclasses
import json
import secrets

from rig import store as stores
from rig import wire

BEAT_S = 1.2
EVENTS = "text/event-stream"
Note = Callable[[str], None]


@dataclasses.dataclass
class Work:
    """How long an engine works on a request.

    Attributes:
      first_s: Until the first event or the answer.
      events: Of a stream; 0 for an answer in one piece.
      gap_s: From one event to the next.
      size: Bytes of the data of an event, or of an answer in one piece.
    """

    first_s: float = 0.02
    events: int = 0
    gap_s: float = 0.02
    size: int = 16


class Engine:
    """One engine; a sound one unless a subclass says otherwise.

    Attributes:
      work_of: Returns how long it works on a request.
      ran: Attempt ids of the requests that it has begun to work on.
      done: Attempt ids of those whose whole answer has been written.
    """

    def __init__(
        self,
        store: stores.Store,
        service: str,
        work_of: Callable[[wire.Request], Work],
        note: Note,
        slots: int = 8,
        queue: int = 4,
    ) -> None:
        self.store = store
        self.service = service
        self.work_of = work_of
        self.note = note
        self.slots = slots
        self.queue = queue
        self.id = f"i-{secrets.token_hex(4)}"
        self.address = ""
        self.ran: list[str] = []
        self.done: list[str] = []
        self.running = 0
        self.waiting = 0
        self.sequence = 0
        self.free = asyncio.Condition()
        self.server = wire.Server(self.handle)
        self.beats: asyncio.Task[None] | None = None

    async def start(self, ip: str, port: int) -> None:
        """Listen, and register."""
        self.address = f"{ip}:{port}"
        await self.server.start(ip, port)
        self.beats = asyncio.ensure_future(self.beat())

    async def beat(self) -> None:
        """Write the entry again and again."""
        while True:
            self.sequence += 1
            entry = {
                "service": self.service,
                "address": self.address,
                "zone": "hall-a",
                "version": "v1",
                "slots": self.slots,
                "state": "ready",
                "coldLeftMs": 0,
                "stage": "prefill_decode",
                "models": [{"name": "m", "version": 1, "adapters": []}],
                "sequence": self.sequence,
            }
            self.store.write("keyed.servers", self.id, entry)
            await asyncio.sleep(BEAT_S)

    def crash(self) -> None:
        """End at once and tell nobody; the entry lapses after 3 beats."""
        self.stop()
        loop = asyncio.get_running_loop()
        loop.call_later(
            3 * BEAT_S, self.store.write, "keyed.servers", self.id, None
        )

    def stop(self) -> None:
        """End."""
        if self.beats is not None:
            self.beats.cancel()
        self.server.stop()

    async def handle(self, channel: wire.Channel, ask: wire.Request) -> None:
        """Answer one request."""
        if ask.path == "/report":
            await self.report(channel)
            return
        if ask.path == "/health":
            await channel.send(200, {"Instance-Id": self.id})
            return
        if ask.headers.get("expect-instance", self.id) != self.id:
            await channel.send(421, {"Instance-Id": self.id})
            return
        if self.running >= self.slots and self.waiting >= self.queue:
            await self.reject(channel, ask)
            return
        await self.wait_for_slot()
        try:
            await self.run(channel, ask)
        finally:
            self.running -= 1
            async with self.free:
                self.free.notify()

    async def reject(self, channel: wire.Channel, ask: wire.Request) -> None:
        """Reject a request that has not run."""
        attempt = ask.headers.get("attempt-id", "")
        self.note(f"engine {self.id} rejects {attempt}: not executed")
        await channel.send(503, {"Attempt-Id": attempt, "Not-Executed": "1"})

    async def wait_for_slot(self) -> None:
        """Wait for a slot."""
        self.waiting += 1
        try:
            async with self.free:
                await self.free.wait_for(lambda: self.running < self.slots)
                self.running += 1
        finally:
            self.waiting -= 1

    async def run(self, channel: wire.Channel, ask: wire.Request) -> None:
        """Work on a request."""
        attempt = ask.headers.get("attempt-id", "")
        work = self.work_of(ask)
        self.ran.append(attempt)
        after = int(ask.headers.get("last-event-id", "0") or 0)
        self.note(f"engine {self.id} runs {attempt} after event {after}")
        headers = {
            "Attempt-Id": attempt,
            "Server-Stamp": f"{self.id}.{attempt}",
        }
        await asyncio.sleep(work.first_s)
        if not work.events:
            body = b"x" * work.size
            await channel.send(200, headers, body)
        else:
            await channel.begin(200, {**headers, "Content-Type": EVENTS})
            for number in range(after + 1, work.events + 1):
                data = f"{attempt}.{number}".ljust(work.size, "x")
                await channel.chunk(f"id: {number}\ndata: {data}\n\n".encode())
                await asyncio.sleep(work.gap_s)
            await channel.chunk(b"")
        self.done.append(attempt)
        self.note(f"engine {self.id} has answered {attempt}")

    async def report(self, channel: wire.Channel) -> None:
        """Tell what it does."""
        told = {
            "stage": "prefill_decode",
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "busy": False,
            "sequence": 0,
            "waiting": self.waiting,
            "running": self.running,
            "kvUsed": 100 * self.running,
            "kvTotal": 106377,
            "handles": 0,
        }
        headers = {"Content-Type": "application/json"}
        await channel.send(200, headers, json.dumps(told).encode())
