"""The users' platform on loopback: its store, its engines, whole hosts."""

import asyncio
import base64
import json
import struct

from camphortray_platform import names
from camphortray_platform import program
from camphortray_platform import settings

from camphortray import cluster
from camphortray import config as configs
from camphortray import errors
from camphortray import httpclient
from camphortray import httpserver
from camphortray import job_router
from camphortray import kernel
from camphortray import ledger
from camphortray import membership

LOOPBACK = "127.0.0.1"
ANY_PORT = configs.Address(LOOPBACK, 0)
READY_S = 20.0
LOOK_S = 0.01
TOPICS = {
    names.topic(topic, number): (topic, number)
    for topic in names.TOPICS
    for number in range(3)
}
SERVICE = "huvo11a"
HOST_NAME = "nony24.example"
REPORT = "/report"
STREAM_PREFIX, BATCH_PREFIX = "/lohu930/", "/pule252/"


def route(name, prefix, kind, **fields):
    """Return a route as the operator writes it."""
    return {
        "name": name,
        "host": HOST_NAME,
        "pathPrefix": prefix,
        "kind": kind,
        "timeoutMs": 5000,
        "goalMs": 300,
        "service": SERVICE,
        "maxAttempts": 2,
        **fields,
    }


def configuration(version=1, routes=None, tenants=None):
    """Return a configuration as the operator writes it."""
    return {
        "version": version,
        "routes": routes
        or [
            route("r-1", STREAM_PREFIX, "streaming", resumable=True),
            batch_route("r-2", BATCH_PREFIX, 60),
        ],
        "services": [{"name": SERVICE, "engine": {"slots": 8}}],
        "limits": {"maxBodyBytes": 4194304, "idleTimeoutMs": 15000},
        **({} if tenants is None else {"tenants": tenants}),
    }


def tenants(**keys):
    """Return the tenants of a configuration, from their keys by name."""
    return [{"name": name, "apiKeys": held} for name, held in keys.items()]


def batch_route(name, prefix, keep_s):
    """Return a route of jobs whose items may be given up so late."""
    return route(name, prefix, "batch", dueMs=18000, retentionS=keep_s)


class Unheard:
    """An answer that is lost on the way."""

    def send_json(self, status, data):
        pass

    abort = send = send_json


class StoreStandin(httpserver.Handler):
    """The store's HTTP calls on a ledger in memory.

    Attributes:
      held: What is kept.
      silent: Whether calls are never answered.
      refuse: Status of all answers, or 0.
      refuse_member: Member of the group that is turned away.
      lose: Number of coming appends done but not answered.
      answer_every: Which of the writing calls are answered; the others are
        done all the same. 0 for all.
      calls: Number of calls by path.
      page: Most records of one answer with the newest ones.
    """

    page = 3

    def __init__(self, parts=2, job_topics=1):
        self.held = ledger.MemoryLedger(parts * job_topics)
        self.topic_parts = parts
        self.server = httpserver.HttpServer(self)
        self.silent = False
        self.refuse = 0
        self.refuse_member = ""
        self.lose = 0
        self.answer_every = 0
        self.writes = 0
        self.calls = {}
        self.bodies = []

    def break_off(self, how):
        """Begin an outage, or end it if ``how`` is empty."""
        self.refuse = 503 if how == "busy" else 0
        self.silent = how == "silent"
        self.lose = 10**9 if how == "answers lost" else 0

    async def handle(self, request, response):
        path = request.path
        self.calls[path] = self.calls.get(path, 0) + 1
        body = await request.body()
        if self.silent:
            await asyncio.sleep(3600)
        if self.refuse:
            response.send_json(self.refuse, {})
            return
        self.writes += request.method == "POST"
        lost = self.answer_every and self.writes % self.answer_every
        if lost and request.method == "POST":
            response = Unheard()
        try:
            await self.answer(path, request.query, body, response)
            if isinstance(response, Unheard):
                await asyncio.sleep(3600)
        except errors.LogTruncated as error:
            response.send_json(410, {"first": error.first})
        except errors.LogFenced:
            response.send_json(409, {"why": "fenced"})

    async def answer(self, path, query, body, response):
        topic, number = TOPICS.get(query.get("topic", ""), (None, 0))
        part = int(query.get("part", 0))
        if part >= self.topic_parts:
            raise errors.Refused(400, "no_part", f"no partition {part}")
        part += number * self.topic_parts
        if path == "/log-append":
            await self.append(topic, part, query, body)
            if self.lose:
                self.lose -= 1
                response.abort()
                return
            response.send_json(200, {"offset": 0, "end": 0})
        elif path == "/log-newest":
            await self.newest(topic, part, query, response)
        elif path == "/log-read":
            wait_s = float(query.get("waitMs", 0)) / 1000
            page = await self.held.read(
                topic, part, int(query["from"]), wait_s
            )
            data = struct.pack(">QQ", page.end, 0)
            response.send(200, data + encode(page.records))
        elif path == "/log-join":
            data = json.loads(body)
            if data["member"] == self.refuse_member:
                response.send_json(429, {})
                return
            found = await self.held.join(
                data["member"], data["generation"], data["ttlMs"] / 1000
            )
            rows = [
                [data["topics"][n // self.topic_parts], inner, 0]
                for n in sorted(found.parts)
                for inner in [n % self.topic_parts]
            ]
            told = {"generation": found.generation, "parts": rows}
            response.send_json(200, told)
        elif path == "/log-owners":
            rows = [
                [names.topic(ledger.Topic.JOBS, number), inner, member, 0]
                for part, member in (await self.held.owners()).items()
                for number, inner in [divmod(part, self.topic_parts)]
            ]
            response.send_json(200, {"parts": rows})
        elif path == "/log-leave":
            await self.held.leave(json.loads(body)["member"])
            response.send_json(200, {})
        else:
            raise errors.Refused(404, "not_found", path)

    async def append(self, topic, part, query, body):
        fence = None
        if "epoch" in query and "sequence" in query:
            fence = ledger.Fence(int(query["epoch"]), int(query["sequence"]))
        elif "epoch" in query:
            await self.held.set_epoch(topic, part, int(query["epoch"]))
        self.bodies.append(body)
        if body:
            await self.held.append(topic, part, decode(body), fence)

    async def newest(self, topic, part, query, response):
        page = await self.held.newest(topic, part)
        ordered = sorted(page.records, key=lambda r: r.key)
        rest = [r for r in ordered if r.key > query.get("after", "")]
        items = [
            {
                "key": r.key,
                "value": base64.b64encode(r.value).decode(),
                "offset": r.offset,
            }
            for r in rest[: self.page]
        ]
        more = len(rest) > self.page
        told = {"items": items, "hasMore": more, "end": page.end}
        response.send_json(200, told)

    async def write(self, topic, key, value):
        """Write as the operator or an engine does."""
        data = json.dumps(value).encode() if value is not None else b""
        await self.write_raw(topic, key, data)

    async def write_raw(self, topic, key, data):
        """Write as another writer does, whatever it is."""
        await self.held.append(topic, 0, [ledger.LedgerRecord(key, data)])

    async def configure(self, version=1, routes=None, tenants=None):
        """Put a configuration in the store."""
        await self.write(
            ledger.Topic.CONFIGURATION,
            "config",
            configuration(version, routes, tenants),
        )


def encode(records):
    """Return records as a read gives them."""
    data = b""
    for record in records:
        key = record.key.encode()
        raw = bytes([len(key)]) + key + record.value
        data += struct.pack(">I", len(raw)) + raw
    return data


def decode(body):
    """Return the records of an append."""
    records, at = [], 0
    while at < len(body):
        (size,) = struct.unpack_from(">I", body, at)
        raw = body[at + 4 : at + 4 + size]
        at += 4 + size
        key = raw[1 : 1 + raw[0]].decode()
        records.append(ledger.LedgerRecord(key, raw[1 + raw[0] :]))
    return records


class EngineStandin(httpserver.Handler):
    """An engine; what goes wrong is set by name, for one request each.

    Attributes:
      faults: What the next requests meet, in order: ``"full"``,
        ``"cut"`` in the middle of an event, ``"wrong id"``,
        ``"no stamp"``, ``"extra"`` bytes after the end, ``"500"``,
        ``"422"``, ``"reset"`` before its first event, ``"wait"`` until ``go``
        is set.
      always: What all other requests meet.
      ran: Id, position and headers of what ran.
      running: Streams under way.
      foreign: Runs of hosts that are lost, as it reports them.
      version: Version of its software.
      service: Service that it belongs to.
      deadly: Prompt segments that crash it once it begins to write.
      writes: Events that it writes before such a crash.
      on_crash: Called with it as it crashes.
    """

    deadly = frozenset()
    writes = 0

    def __init__(self, name, events=6):
        self.name = name
        self.events = events
        self.server = httpserver.HttpServer(self)
        self.faults = []
        self.always = ""
        self.ran = []
        self.go = asyncio.Event()
        self.cut = 0
        self.born = 0
        self.running = 0
        self.foreign = 0
        self.version = "v1"
        self.service = SERVICE
        self.on_crash = Platform.no_crash

    def start_again(self, born):
        """Forget all of before, under the same id."""
        self.born = born
        self.faults, self.always = [], ""

    async def handle(self, request, response):
        headers = request.headers
        attempt = headers.get("attempt-id", "")
        base = [("Attempt-Id", attempt), ("Server-Stamp", f"{self.name}.1")]
        if request.path == REPORT:
            running = self.running + self.foreign
            report = {"running": running, "waiting": 0, "born": self.born}
            response.send_json(200, report)
            return
        body = await request.body()
        if headers.get("expect-instance", self.name) != self.name:
            response.send(421, b"", [*base, ("Instance-Id", self.name)])
            return
        fault = self.faults.pop(0) if self.faults else self.always
        prompt = headers.get("prompt-prefix", "").lower()
        segments = {entry.split(":")[0] for entry in prompt.split(",")}
        if self.deadly & segments:
            fault = "crash"
        if fault == "full":
            response.send(503, b"", [*base, ("Not-Executed", "1")])
            return
        after = int(headers.get("last-event-id", 0))
        self.ran.append((attempt, after, dict(headers), body))
        if fault in ("500", "422"):
            response.send(int(fault), b"no", base)
            return
        if fault == "no stamp":
            base.pop()
        if fault == "wrong id":
            base[0] = ("Attempt-Id", "another")
        await self.stream(response, base, after, fault)

    async def stream(self, response, base, after, fault):
        head = [*base, ("Content-Type", "text/event-stream")]
        response.start(200, head)
        self.running += 1
        try:
            for number in range(after + 1, self.events + 1):
                if fault == "crash" and number == after + 1 + self.writes:
                    self.on_crash(self)
                    return
                if fault == "reset":
                    response.abort()
                    return
                if fault == "cut" and number == after + 3:
                    response.write(b"id: %d\nda" % number)
                    await response.flush()
                    response.abort()
                    return
                if fault == "wait" and number == after + 2:
                    await self.go.wait()
                response.write(b"id: %d\ndata: d%d\n\n" % (number, number))
                await asyncio.sleep(0)
        except asyncio.CancelledError:
            self.cut += 1
            raise
        finally:
            self.running -= 1
        response.end()
        if fault == "extra":
            response.connection.transport.write(b"HTTP/1.1 200 OK\r\n\r\n")

    def entry(self, **fields):
        """Return its entry in the registry."""
        return {
            "service": self.service,
            "address": str(self.server.address),
            "zone": "z1",
            "version": self.version,
            "slots": 8,
            "state": "ready",
            "sequence": 1,
            **({"born": self.born} if self.born else {}),
            **fields,
        }


def node_file(name, store, seeds=()):
    """Return the settings of a host on free ports."""
    port = cluster.free_port
    return settings.NodeFile(
        name,
        "z1",
        "region-1",
        settings.Listen(*(f"{LOOPBACK}:{port()}" for _ in range(4))),
        settings.Store(str(store.server.address), store.topic_parts),
        tuple(seeds),
        job_topics=store.held.parts // store.topic_parts,
    )


class Host:
    """One host in this process."""

    def __init__(self, node):
        self.node = node
        self.kernel = None

    async def start(self):
        """Start it."""
        context = kernel.Context.from_config(
            self.node.config(), program.PROGRAM, 1
        )
        self.kernel = kernel.Kernel(context)
        await self.kernel.start()

    def part(self, cls):
        """Return a part of it."""
        return self.kernel.context.part(cls)

    @property
    def ready(self):
        """Whether callers may come."""
        return not self.kernel.not_ready()

    async def call(self, method, target, headers=(), body=b"", at="front"):
        """Make a call on one of its listeners."""
        client = httpclient.HttpClient(max_idle=0)
        address = configs.Address.from_text(getattr(self.node.listen, at))
        told = [("host", HOST_NAME), *headers]
        return await client.call(address, method, target, told, body)


class Platform:
    """Store, engines and hosts.

    Attributes:
      store: The store.
      engines: By name.
      hosts: In order.
      crashes: Engines that have crashed.
      restarts: Engines that are about to start again.
      down_s: Time from a crash to the next start.
    """

    down_s = 0.2

    def __init__(self, hosts=1, engines=2, parts=2, job_topics=1):
        self.store = StoreStandin(parts, job_topics)
        self.engines = {
            f"i-{n}": EngineStandin(f"i-{n}") for n in range(engines)
        }
        self.count = hosts
        self.hosts = []
        self.crashes = 0
        self.restarts = set()
        for engine in self.engines.values():
            engine.on_crash = self.crash

    async def __aenter__(self):
        await self.store.server.start(ANY_PORT)
        await self.store.configure()
        for engine in self.engines.values():
            await engine.server.start(ANY_PORT)
            await self.register(engine)
        for number in range(self.count):
            await self.add(f"host-{number}")
        if self.hosts:
            await self.until(self.settled)
        return self

    async def add(self, name):
        """Add a host."""
        seeds = [h.node.listen.control for h in self.hosts]
        host = Host(node_file(name, self.store, seeds))
        await host.start()
        self.hosts.append(host)
        return host

    async def register(self, engine, **fields):
        """Write an engine's entry."""
        await self.store.write(
            ledger.Topic.ENGINES, engine.name, engine.entry(**fields)
        )

    def settled(self):
        """Whether all hosts are ready, known, and own all partitions."""
        routers = [h.part(job_router.JobRouter) for h in self.hosts]
        owned = {
            part
            for router in routers
            for part, owner in router.owners.held.items()
            if owner.ready.is_set()
        }
        known = [
            h.part(membership.Membership).live("host") for h in self.hosts
        ]
        return (
            all(h.ready for h in self.hosts)
            and all(d.owners.joined == d.owners.should_join() for d in routers)
            and {d.owners.generation for d in routers if d.owners.joined}
            == {self.store.held.generation}
            and owned == set(range(self.store.held.parts))
            and all(
                sum(bool(m.http_address) for m in live) >= len(self.hosts)
                for live in known
            )
            and all(set(d.owners.known) >= owned for d in routers)
        )

    @staticmethod
    def no_crash(engine):
        """Refuse to crash an engine of no platform."""
        raise AssertionError(f"{engine.name} cannot crash")

    def crash(self, engine):
        """End an engine, which starts again as another incarnation."""
        self.crashes += 1
        engine.server.server.close()
        for connection in list(engine.server.connections):
            connection.abort()
        task = asyncio.get_running_loop().create_task(self.restart(engine))
        self.restarts.add(task)
        task.add_done_callback(self.restarts.discard)

    async def restart(self, engine):
        """Start a crashed engine at another address."""
        await asyncio.sleep(self.down_s)
        del self.engines[engine.name]
        await self.store.write(ledger.Topic.ENGINES, engine.name, None)
        engine.name = f"{engine.name.partition('.')[0]}.{self.crashes}"
        self.engines[engine.name] = engine
        await engine.server.start(ANY_PORT)
        await self.register(engine)

    async def until(self, what):
        """Wait until something holds."""
        async with asyncio.timeout(READY_S):
            while not what():
                await asyncio.sleep(LOOK_S)

    async def __aexit__(self, *exc):
        for host in self.hosts:
            await host.kernel.stop()
        for task in self.restarts:
            task.cancel()
        for engine in self.engines.values():
            await engine.server.stop()
        await self.store.server.stop()
