"""The platform's store as PROTOCOL.md tells it, in memory."""

import asyncio
import base64
import collections
import dataclasses
import json
import struct
import time
from typing import Any

from rig import wire

APPEND_S = 0.004
PAGE_ITEMS = 500
PAGE_BYTES = 1_000_000
RECORD_BYTES = 262_144
CALL_BYTES = 2_097_152
LOOK_S = 0.05


@dataclasses.dataclass
class Producer:
    """The last appends of one producer in one partition."""

    epoch: int = 0
    last: int | None = None
    answers: dict[int, dict[str, int]] = dataclasses.field(
        default_factory=dict
    )

    def check(
        self, query: dict[str, str], appends: bool
    ) -> tuple[int, dict[str, Any]] | None:
        """Return the answer to an append that adds nothing, else None."""
        epoch = int(query["epoch"])
        if epoch < self.epoch:
            return 409, {"why": "fenced"}
        if epoch > self.epoch:
            self.epoch, self.last = epoch, None
            self.answers.clear()
        if not appends:
            return None
        sequence = int(query["sequence"])
        if sequence in self.answers:
            return 200, self.answers[sequence]
        if self.last is not None and sequence != self.last + 1:
            return 409, {"why": "seq", "sequence": self.last + 1}
        return None

    def take(self, sequence: int, told: dict[str, int]) -> None:
        """Keep the answer to an append."""
        self.last = sequence
        self.answers[sequence] = told
        self.answers.pop(sequence - 5, None)


class Partition:
    """Records of one partition; those of a keyed topic are read by key."""

    def __init__(self) -> None:
        self.raw: list[bytes] = []
        self.newest: dict[str, tuple[int, bytes]] = {}
        self.producers: dict[str, Producer] = collections.defaultdict(Producer)
        self.lock = asyncio.Lock()
        self.changed = asyncio.Event()

    def add(self, record: bytes, keyed: bool) -> None:
        """Add one record."""
        if keyed:
            split = 1 + record[0]
            key = record[1:split].decode()
            value = record[split:]
            if value:
                self.newest[key] = (len(self.raw), value)
            else:
                self.newest.pop(key, None)
        self.raw.append(record)

    def wake(self) -> None:
        """Wake whoever waits for a record."""
        self.changed.set()
        self.changed = asyncio.Event()


class Group:
    """A group whose members are dealt partitions."""

    def __init__(self, topic: str, parts: int) -> None:
        self.topic = topic
        self.generation = 0
        self.ends: dict[str, float] = {}
        self.holder: dict[int, str] = {}
        self.target: dict[int, str] = {}
        self.since: dict[int, int] = {}
        self.parts = parts

    def lapse(self) -> None:
        """Let members go that have sent nothing for their time."""
        now = time.monotonic()
        late = [name for name, end in self.ends.items() if end < now]
        for name in late:
            del self.ends[name]
        if late:
            self.deal()

    def deal(self) -> None:
        """Deal the partitions evenly, moving as few as can be."""
        self.generation += 1
        names = sorted(self.ends)
        self.holder = {p: m for p, m in self.holder.items() if m in self.ends}
        if not names:
            self.target.clear()
            return
        counts = collections.Counter({name: 0 for name in names})
        most = -(-self.parts // len(names))
        target: dict[int, str] = {}
        for part in range(self.parts):
            name = self.target.get(part)
            if name in counts and counts[name] < most:
                target[part] = name
                counts[name] += 1
        for part in range(self.parts):
            if part not in target:
                target[part] = min(names, key=lambda n: (counts[n], n))
                counts[target[part]] += 1
        while max(counts.values()) - min(counts.values()) > 1:
            poor, rich = (
                min(counts, key=counts.get),
                max(counts, key=counts.get),
            )
            part = next(p for p, n in target.items() if n == rich)
            target[part] = poor
            counts[rich] -= 1
            counts[poor] += 1
        for part, name in target.items():
            if self.target.get(part) != name:
                self.since[part] = self.generation
            self.holder.setdefault(part, name)
        self.target = target

    def join(self, name: str, ttl_s: float, generation: int) -> list[int]:
        """Keep a member in; return the partitions that are its own."""
        self.lapse()
        known = name in self.ends
        self.ends[name] = time.monotonic() + ttl_s
        if not known:
            self.deal()
        for part, holder in list(self.holder.items()):
            given = self.target[part]
            if holder == name != given and generation >= self.since[part]:
                self.holder[part] = given
        return [
            part
            for part, holder in sorted(self.holder.items())
            if holder == name == self.target[part]
        ]

    def leave(self, name: str) -> None:
        """Let a member go."""
        if self.ends.pop(name, None) is not None:
            self.deal()


class Store:
    """The store, with what the operator and engines write."""

    def __init__(self, parts: int = 8) -> None:
        self.parts = parts
        self.held: dict[tuple[str, int], Partition] = collections.defaultdict(
            Partition
        )
        self.groups: dict[str, Group] = {}
        self.server = wire.Server(self.handle)
        self.address = ""

    async def start(self, ip: str, port: int) -> None:
        """Listen."""
        self.address = f"{ip}:{port}"
        await self.server.start(ip, port)

    def write(self, topic: str, key: str, data: Any) -> None:
        """Write a keyed record, as the operator or an engine."""
        value = json.dumps(data).encode() if data is not None else b""
        self.write_raw(topic, key, value)

    def write_raw(self, topic: str, key: str, value: bytes) -> None:
        """Write a keyed record whose value is already encoded."""
        name = key.encode()
        part = self.held[topic, 0]
        part.add(bytes([len(name)]) + name + value, True)
        part.wake()

    async def handle(self, channel: wire.Channel, ask: wire.Request) -> None:
        """Answer one call."""
        query = ask.query
        if ask.path == "/log-append":
            status, told = await self.append(query, ask.body)
            await send_json(channel, status, told)
        elif ask.path == "/log-read":
            await self.read(channel, query)
        elif ask.path == "/log-newest":
            await send_json(channel, 200, self.newest(query))
        elif ask.path == "/log-join":
            await send_json(channel, 200, self.join(json.loads(ask.body)))
        elif ask.path == "/log-leave":
            data = json.loads(ask.body)
            if data["group"] in self.groups:
                self.groups[data["group"]].leave(data["member"])
            await send_json(channel, 200, {})
        elif ask.path == "/log-owners":
            await send_json(channel, 200, self.owners(query["group"]))
        else:
            await send_json(channel, 404, {})

    async def append(
        self, query: dict[str, str], body: bytes
    ) -> tuple[int, dict[str, Any]]:
        """Append records, all or none."""
        topic, number = query["topic"], int(query.get("part", 0))
        if topic in ("keyed.op", "keyed.servers"):
            return 403, {}
        part = self.held[topic, number]
        records = split_records(body)
        if records is None or len(body) > CALL_BYTES:
            return 400, {"why": "size"}
        async with part.lock:
            await asyncio.sleep(APPEND_S)
            if "at" in query and int(query["at"]) != len(part.raw):
                return 412, {"end": len(part.raw)}
            producer = None
            if "producer" in query:
                producer = part.producers[query["producer"]]
                found = producer.check(query, bool(body))
                if found is not None:
                    return found
            offset = len(part.raw)
            for record in records:
                part.add(record, topic.startswith("keyed."))
            told = {"offset": offset, "end": len(part.raw)}
            if producer is not None and body:
                producer.take(int(query["sequence"]), told)
        part.wake()
        return 200, told

    async def read(self, channel: wire.Channel, query: dict[str, str]) -> None:
        """Send records from an offset on."""
        part = self.held[query["topic"], int(query.get("part", 0))]
        start = int(query["from"])
        wait_s = min(int(query.get("waitMs", 0)), 30_000) / 1000
        end_at = time.monotonic() + wait_s
        while start >= len(part.raw) and time.monotonic() < end_at:
            try:
                async with asyncio.timeout(end_at - time.monotonic()):
                    await part.changed.wait()
            except TimeoutError:
                break
        limit = int(query.get("maxKb", 1024)) * 1024
        data = b""
        for record in part.raw[start:]:
            if data and len(data) + len(record) + 4 > limit:
                break
            data += struct.pack(">I", len(record)) + record
        head = struct.pack(">QQ", len(part.raw), 0)
        await channel.send(200, {}, head + data)

    def newest(self, query: dict[str, str]) -> dict[str, Any]:
        """Return the newest record of each key, a page."""
        part = self.held[query["topic"], int(query.get("part", 0))]
        after = query.get("after")
        keys = sorted(k for k in part.newest if after is None or k > after)
        items: list[dict[str, Any]] = []
        size = 0
        for key in keys:
            offset, value = part.newest[key]
            size += len(value) * 4 // 3 + len(key) + 64
            if items and (size > PAGE_BYTES or len(items) >= PAGE_ITEMS):
                break
            text = base64.b64encode(value).decode()
            items.append({"key": key, "value": text, "offset": offset})
        return {
            "items": items,
            "hasMore": len(items) < len(keys),
            "end": len(part.raw),
        }

    def join(self, data: dict[str, Any]) -> dict[str, Any]:
        """Keep a member in its group."""
        topic = data["topics"][0]
        group = self.groups.setdefault(data["group"], Group(topic, self.parts))
        own = group.join(
            data["member"], data["ttlMs"] / 1000, data["generation"]
        )
        return {
            "generation": group.generation,
            "ttlMs": data["ttlMs"],
            "parts": [[topic, part, 0] for part in own],
        }

    def owners(self, name: str) -> dict[str, Any]:
        """Return who holds which partition."""
        group = self.groups.get(name)
        if group is None:
            return {"parts": []}
        group.lapse()
        rows = [
            [group.topic, part, member, 0]
            for part, member in sorted(group.holder.items())
        ]
        return {"parts": rows}


def split_records(body: bytes) -> list[bytes] | None:
    """Return the records of an append, None if one is too large."""
    records = []
    at = 0
    while at < len(body):
        (size,) = struct.unpack_from(">I", body, at)
        at += 4
        if size > RECORD_BYTES:
            return None
        records.append(body[at : at + size])
        at += size
    return records


async def send_json(
    channel: wire.Channel, status: int, data: dict[str, Any]
) -> None:
    """Send a body of JSON."""
    body = json.dumps(data).encode()
    await channel.send(status, {"Content-Type": "application/json"}, body)
