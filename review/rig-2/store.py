"""The platform's store, as PROTOCOL.md tells it, in memory.

A log of topics with keyed records, producers with epochs and sequence
numbers, conditional appends and a group of members.
"""

import asyncio
import base64
import json
import struct
import time

from httpio import answer_bytes
from httpio import json_bytes
from httpio import read_body
from httpio import Server

KEEP_REPEATS = 5


class Part:
    """One partition."""

    def __init__(self):
        self.records = []
        self.producers = {}
        self.grown = asyncio.Event()
        self.lock = asyncio.Lock()

    def add(self, raws):
        """Append records."""
        first = len(self.records)
        self.records += raws
        self.grown.set()
        self.grown = asyncio.Event()
        return {"offset": first, "end": len(self.records)}


class Group:
    """Members and the partitions dealt to them."""

    def __init__(self):
        self.generation = 0
        self.until = {}
        self.seen = {}
        self.holder = {}
        self.target = {}

    def change(self, parts):
        """Deal all partitions evenly, in a new generation."""
        self.generation += 1
        names = sorted(self.until)
        self.target = {}
        if not names:
            return
        most = -(-len(parts) // len(names))
        load = dict.fromkeys(names, 0)
        rest = []
        for part in parts:
            name = self.holder.get(part)
            if name in load and load[name] < most:
                self.target[part] = name
                load[name] += 1
            else:
                rest.append(part)
        for part in rest:
            name = min(names, key=lambda each: (load[each], each))
            self.target[part] = name
            load[name] += 1

    def lapse(self, parts):
        """Let members go whose time is over."""
        now = time.monotonic()
        gone = [name for name, until in self.until.items() if until < now]
        for name in gone:
            self.drop(name)
        if gone:
            self.change(parts)

    def drop(self, name):
        """Forget a member."""
        del self.until[name]
        self.seen.pop(name, None)
        for part in [p for p, h in self.holder.items() if h == name]:
            del self.holder[part]

    def join(self, name, generation, ttl_s, parts):
        """Join, or stay; return the member's partitions."""
        self.lapse(parts)
        fresh = name not in self.until
        self.until[name] = time.monotonic() + ttl_s
        if fresh:
            self.change(parts)
        if generation >= self.generation:
            for part in parts:
                if (
                    self.holder.get(part) == name
                    and self.target.get(part) != name
                ):
                    del self.holder[part]
        for part in parts:
            if self.target.get(part) == name and part not in self.holder:
                self.holder[part] = name
        return [
            part
            for part in parts
            if self.holder.get(part) == name and self.target[part] == name
        ]


class Store(Server):
    """The store.

    Attributes:
      mode: "" or what goes wrong: "busy" (503), "silent", "reset".
      delay_s: Time that each answer takes longer.
      append_s: Time that each append of a partition takes.
    """

    def __init__(self, parts=8):
        super().__init__()
        self.parts = parts
        self.topics = {}
        self.groups = {}
        self.mode = ""
        self.down_at = 0.0
        self.delay_s = 0.0
        self.append_s = 0.004

    def fail(self, mode):
        """Go down in a way."""
        self.mode = mode
        self.down_at = time.monotonic()

    def recover(self):
        """Come back; the times of members have paused meanwhile."""
        down_s = time.monotonic() - self.down_at
        self.mode = ""
        for group in self.groups.values():
            for name in group.until:
                group.until[name] += down_s

    def part(self, topic, number):
        """Return a partition, made on first use."""
        return self.topics.setdefault((topic, int(number)), Part())

    def put(self, topic, key, value):
        """Write a keyed record, as the operator and engines do."""
        data = json.dumps(value).encode() if value is not None else b""
        self.put_raw(topic, key, data)

    def put_raw(self, topic, key, data):
        """Write a keyed record as bytes."""
        name = key.encode()
        self.part(topic, 0).add([bytes([len(name)]) + name + data])

    async def handle(self, request, reader, writer):
        body = await read_body(reader, request)
        mode = self.mode
        if mode == "reset":
            writer.transport.abort()
            return False
        if mode == "busy":
            writer.write(json_bytes(503, {}))
            return True
        if mode == "silent":
            # The call is not done, and its connection says nothing more.
            await asyncio.sleep(3600)
        if self.delay_s:
            await asyncio.sleep(self.delay_s)
        call = getattr(self, request.path[1:].replace("-", "_"), None)
        if call is None:
            writer.write(json_bytes(404, {}))
            return True
        writer.write(await call(request, body))
        await writer.drain()
        return True

    async def log_append(self, request, body):
        """Append records under a condition."""
        query = request.query
        part = self.part(query["topic"], query["part"])
        async with part.lock:
            if body:
                await asyncio.sleep(self.append_s)
            raws = list(split_records(body))
            if "at" in query and int(query["at"]) != len(part.records):
                return json_bytes(412, {"end": len(part.records)})
            if "producer" not in query:
                return json_bytes(200, part.add(raws))
            return self.append_as(part, query, raws)

    def append_as(self, part, query, raws):
        """Append as a producer."""
        epoch = int(query["epoch"])
        held = part.producers.setdefault(
            query["producer"], {"epoch": -1, "last": None, "answers": {}}
        )
        if epoch < held["epoch"]:
            return json_bytes(409, {"why": "fenced"})
        if epoch > held["epoch"]:
            held.update(epoch=epoch, last=None, answers={})
        if not raws:
            end = len(part.records)
            return json_bytes(200, {"offset": end, "end": end})
        sequence = int(query["sequence"])
        if sequence in held["answers"]:
            return json_bytes(200, held["answers"][sequence])
        if held["last"] is not None and sequence != held["last"] + 1:
            told = {"why": "seq", "expected": held["last"] + 1}
            return json_bytes(409, told)
        found = part.add(raws)
        held["last"] = sequence
        held["answers"][sequence] = found
        held["answers"].pop(sequence - KEEP_REPEATS, None)
        return json_bytes(200, found)

    async def log_read(self, request, body):
        """Read on, waiting for a record if asked to."""
        query = request.query
        part = self.part(query["topic"], query["part"])
        first = int(query["from"])
        wait_s = min(30.0, float(query.get("waitMs", 0)) / 1000)
        if first >= len(part.records) and wait_s:
            try:
                async with asyncio.timeout(wait_s):
                    await part.grown.wait()
            except TimeoutError:
                pass
        if self.mode:
            await asyncio.sleep(3600)
        data = struct.pack(">QQ", len(part.records), 0)
        room = int(query.get("maxKb", 1024)) * 1024
        for raw in part.records[first:]:
            if room < len(raw):
                break
            room -= len(raw)
            data += struct.pack(">I", len(raw)) + raw
        return answer_bytes(200, data)

    async def log_newest(self, request, body):
        """Return the newest record of each key."""
        query = request.query
        part = self.part(query["topic"], query["part"])
        newest = {}
        for offset, raw in enumerate(part.records):
            key, value = split_key(raw)
            newest[key] = (value, offset)
        keys = sorted(key for key, (value, _) in newest.items() if value)
        keys = [key for key in keys if key > query.get("after", "")]
        items = [
            {
                "key": key,
                "value": base64.b64encode(newest[key][0]).decode(),
                "offset": newest[key][1],
            }
            for key in keys[:500]
        ]
        told = {"items": items, "hasMore": len(keys) > 500}
        return json_bytes(200, told | {"end": len(part.records)})

    def group(self, name):
        """Return a group, made on first use."""
        return self.groups.setdefault(name, Group())

    async def log_join(self, request, body):
        """Join a group, or stay in it."""
        data = json.loads(body)
        rows = [(t, n) for t in data["topics"] for n in range(self.parts)]
        group = self.group(data["group"])
        group.rows = rows
        own = group.join(
            data["member"], data["generation"], data["ttlMs"] / 1000, rows
        )
        told = [[topic, number, 0] for topic, number in own]
        return json_bytes(200, {"generation": group.generation, "parts": told})

    async def log_leave(self, request, body):
        """Leave a group."""
        data = json.loads(body)
        group = self.group(data["group"])
        if data["member"] in group.until:
            group.drop(data["member"])
            group.change(group.rows)
        return json_bytes(200, {})

    async def log_owners(self, request, body):
        """Tell who holds which partition."""
        group = self.group(request.query["group"])
        if group.until:
            group.lapse(group.rows)
        told = [[t, n, name, 0] for (t, n), name in group.holder.items()]
        return json_bytes(200, {"parts": told})

    async def log_trim(self, request, body):
        """Do nothing: history is kept."""
        return json_bytes(200, {})


def split_records(body):
    """Yield the records of an append."""
    at = 0
    while at < len(body):
        (size,) = struct.unpack_from(">I", body, at)
        yield body[at + 4 : at + 4 + size]
        at += 4 + size


def split_key(raw):
    """Return key and value of a record."""
    end = 1 + raw[0]
    return raw[1:end].decode(), raw[end:]
