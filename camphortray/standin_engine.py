"""Stand-in of a model engine with continuous batching.

The timing model and what it leaves out stand in docs/STANDINS.md.
"""

__all__ = ["EngineModel", "EngineStandin", "TimingModel", "token_text"]

import asyncio
import collections
import dataclasses
import time
from typing import Any
from typing import cast

import msgspec
import xxhash

from camphortray import config as configs
from camphortray import errors
from camphortray import faults as faults_module
from camphortray import httpserver

WORDS = (
    "the battery of this home is at rest until evening tariff begins "
    "gate opens near kiln garden path and hall with steward notes"
).split()
BLOCK_WORDS = 16
DEFAULT_MAX_TOKENS = 16
# Load reports are made this often, and so are this old at worst.
REPORT_EVERY_S = 0.5


@dataclasses.dataclass(frozen=True)
class TimingModel:
    """Time of one step of the engine, in seconds.

    A step takes ``base_s + per_sequence_s * batch + per_prefill_s *
    prefilled tokens`` and gives one token to each sequence whose prompt
    is done. At most ``prefill_budget`` prompt tokens go into one step.

    Attributes:
      max_batch: Sequences in one step.
      cache_blocks: Blocks of prompt prefixes kept.
      speed: Divides all times, for tests.
    """

    base_s: float = 0.012
    per_sequence_s: float = 0.0003
    per_prefill_s: float = 0.00004
    prefill_budget: int = 2048
    max_batch: int = 64
    cache_blocks: int = 4096
    load_s: float = 2.0
    restart_s: float = 2.0
    event_lag_s: float = 1.0
    speed: float = 1.0


def token_text(prompt: str, index: int) -> str:
    """Return token ``index`` of the answer to ``prompt``.

    The same on every engine, so that a resumed answer can be checked.
    """
    digest = xxhash.xxh32_intdigest(prompt.encode(), index)
    return WORDS[digest % len(WORDS)] + " "


def block_hashes(text: str) -> list[str]:
    """Return a hash for each leading run of whole blocks."""
    words = text.split()
    state = xxhash.xxh64()
    hashes = []
    for start in range(0, len(words) - BLOCK_WORDS + 1, BLOCK_WORDS):
        state.update(" ".join(words[start : start + BLOCK_WORDS]).encode())
        hashes.append(state.hexdigest())
    return hashes


@dataclasses.dataclass
class Sequence:
    """One request in the engine."""

    id: str
    prompt: str
    max_tokens: int
    produced: int = 0
    prefill_left: int = 0
    cancelled: bool = False
    crash: bool = False
    ready: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)
    taken: int = 0
    broken: bool = False

    @property
    def done(self) -> bool:
        """Whether all tokens are made."""
        return self.produced >= self.max_tokens


class PrefixCache:
    """Least recently used blocks of prompt prefixes."""

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.blocks: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )

    def lookup(self, hashes: list[str]) -> int:
        """Return how many leading blocks are held."""
        held = 0
        for block in hashes:
            if block not in self.blocks:
                break
            self.blocks.move_to_end(block)
            held += 1
        return held

    def store(self, hashes: list[str]) -> tuple[list[str], list[str]]:
        """Add blocks; return those stored and those evicted."""
        stored = [block for block in hashes if block not in self.blocks]
        for block in hashes:
            self.blocks[block] = None
            self.blocks.move_to_end(block)
        evicted = []
        while len(self.blocks) > self.limit:
            evicted.append(self.blocks.popitem(last=False)[0])
        return stored, evicted


class EngineModel:
    """The engine itself: admits in order, batches, makes tokens."""

    def __init__(self, timing: TimingModel) -> None:
        self.timing = timing
        self.waiting: collections.deque[Sequence] = collections.deque()
        self.running: list[Sequence] = []
        self.cache = PrefixCache(timing.cache_blocks)
        self.events: list[dict[str, Any]] = []
        self.event_times: list[float] = []
        self.work = asyncio.Event()
        self.task: asyncio.Task[None] | None = None
        self.tokens_made = 0
        self.on_crash: Any = None
        self.stalled = False

    def submit(self, sequence: Sequence) -> None:
        """Queue a request."""
        self.waiting.append(sequence)
        self.work.set()
        if self.task is None or self.task.done():
            self.task = asyncio.get_running_loop().create_task(self.run())

    def admit(self) -> None:
        """Move waiting requests into the batch, first come first."""
        while self.waiting and len(self.running) < self.timing.max_batch:
            sequence = self.waiting.popleft()
            hashes = block_hashes(sequence.prompt)
            held = self.cache.lookup(hashes)
            words = len(sequence.prompt.split()) + sequence.produced
            sequence.prefill_left = max(words - held * BLOCK_WORDS, 1)
            self.note_events(*self.cache.store(hashes))
            self.running.append(sequence)

    def note_events(self, stored: list[str], evicted: list[str]) -> None:
        """Number cache events."""
        now = asyncio.get_running_loop().time()
        for blocks, entered in ((stored, True), (evicted, False)):
            for block in blocks:
                number = len(self.events) + 1
                self.events.append(
                    {"sequence": number, "prefix": block, "stored": entered}
                )
                self.event_times.append(now)

    def plan_step(self) -> tuple[float, list[Sequence]]:
        """Spend the prefill budget; return time and who gets a token."""
        budget = self.timing.prefill_budget
        prefilled = 0
        decoding = []
        for sequence in self.running:
            if sequence.prefill_left > 0:
                part = min(sequence.prefill_left, budget - prefilled)
                sequence.prefill_left -= part
                prefilled += part
            if sequence.prefill_left == 0:
                decoding.append(sequence)
        timing = self.timing
        seconds = (
            timing.base_s
            + timing.per_sequence_s * len(self.running)
            + timing.per_prefill_s * prefilled
        )
        return seconds / timing.speed, decoding

    async def run(self) -> None:
        """Make steps while there is work."""
        while True:
            self.running = [
                s for s in self.running if not s.cancelled and not s.done
            ]
            self.admit()
            if not self.running:
                self.work.clear()
                await self.work.wait()
                continue
            if any(sequence.crash for sequence in self.running):
                self.on_crash(True)
                return
            seconds, decoding = self.plan_step()
            await asyncio.sleep(seconds)
            while self.stalled:
                await asyncio.sleep(0.05)
            for sequence in decoding:
                if not sequence.cancelled:
                    sequence.produced += 1
                    self.tokens_made += 1
                    sequence.ready.set()

    def fail_all(self) -> None:
        """Lose every request, as a crash does."""
        for sequence in [*self.running, *self.waiting]:
            sequence.broken = True
            sequence.ready.set()
        self.running = []
        self.waiting.clear()
        self.cache.blocks.clear()


class FaultyConnection(httpserver.Connection):
    """A connection that can go silent for good."""

    def __init__(self, server: httpserver.HttpServer) -> None:
        super().__init__(server)
        self.muted = False

    def data_received(self, data: bytes) -> None:
        if not self.muted:
            super().data_received(data)

    def send(self, event: Any) -> None:
        if not self.muted:
            super().send(event)


@dataclasses.dataclass
class EngineFacts:
    """What an engine has loaded and whom it obeys."""

    models: set[tuple[str, str]]
    loading: set[tuple[str, str]] = dataclasses.field(default_factory=set)
    adapters: set[tuple[str, str]] = dataclasses.field(default_factory=set)
    role: str = "mixed"
    draining: bool = False
    incarnation: int = 1
    fencing: int = 0


class EngineStandin(faults_module.FaultHandler):
    """An engine behind an OpenAI-like interface.

    Attributes:
      seen: Ids of the requests that reached it, in order.
      crash_marker: A prompt with this text crashes the engine.
    """

    crash_marker = "CRASH-UPSTREAM"

    def __init__(
        self,
        name: str,
        models: tuple[tuple[str, str], ...],
        timing: TimingModel | None = None,
        checks_fencing: bool = True,
    ) -> None:
        super().__init__(
            faults_module.Faults(
                {
                    "event_gap": 0,
                    "open_delay_s": 0.0,
                    "wrong_echo": 0,
                    "refuse_busy": False,
                }
            )
        )
        self.name = name
        self.timing = timing or TimingModel()
        self.checks_fencing = checks_fencing
        self.initial_models = models
        self.facts = EngineFacts(set(models))
        self.model = EngineModel(self.timing)
        self.model.on_crash = self.crash
        self.requests: dict[str, Sequence] = {}
        self.seen: list[str] = []
        self.orders: list[dict[str, Any]] = []
        self.crashes = 0
        self.report = {"running": 0, "waiting": 0, "kv_used": 0.0}
        self.reported_at = 0.0
        self.server = self.make_server()
        self.faults.on("crash", self.crash)
        self.faults.on("silent", self.mute)
        self.faults.on("drain", self.drain)
        self.faults.on("stall", self.stall)

    def make_server(self) -> httpserver.HttpServer:
        """Return a server whose connections can be muted."""
        server = httpserver.HttpServer(self)
        server.connection_class = FaultyConnection
        return server

    async def start(self, address: configs.Address) -> configs.Address:
        """Listen; return the address taken."""
        await self.server.start(address)
        return self.server.address

    async def stop(self) -> None:
        """Stop serving."""
        if self.model.task is not None:
            self.model.task.cancel()
        await self.server.stop()

    def crash(self, value: Any) -> None:
        """Lose all work and connections, and come back empty later."""
        if not value:
            return
        self.crashes += 1
        self.model.fail_all()
        if self.model.task is not None:
            self.model.task.cancel()
        self.requests.clear()
        address = self.server.address
        task = asyncio.get_running_loop().create_task(self.restart(address))
        self.restarting = task

    async def restart(self, address: configs.Address) -> None:
        """Close the port for a while, then listen anew."""
        await self.server.stop()
        await asyncio.sleep(self.timing.restart_s / self.timing.speed)
        self.model = EngineModel(self.timing)
        self.model.on_crash = self.crash
        self.facts = EngineFacts(
            set(self.initial_models), incarnation=self.facts.incarnation + 1
        )
        self.server = self.make_server()
        await self.server.start(address)

    def mute(self, value: Any) -> None:
        """Silence the open connections; new ones work."""
        for connection in self.server.connections:
            cast(FaultyConnection, connection).muted = bool(value)

    def drain(self, value: Any) -> None:
        """Refuse new work, or take it again."""
        self.facts.draining = bool(value)

    def stall(self, value: Any) -> None:
        """Stop making tokens while connections stay open."""
        self.model.stalled = bool(value)

    async def serve(
        self, request: httpserver.Request, response: httpserver.Response
    ) -> None:
        path = request.path
        if path in ("/v1/chat/completions", "/v1/completions"):
            await self.complete(request, response)
        elif path == "/v1/load":
            response.send_json(200, self.load())
        elif path == "/v1/state":
            response.send_json(200, self.state())
        elif path == "/v1/cache-events":
            after = int(request.query.get("after", "0"))
            response.send_json(200, self.cache_events(after))
        elif path == "/v1/orders":
            response.send_json(200, self.order(await request.json()))
        elif path.startswith("/v1/requests/") and path.endswith("/cancel"):
            self.cancel(path.split("/")[3])
            response.send_json(200, {})
        elif path == "/stats":
            stats = {
                "tokens": self.model.tokens_made,
                "seen": len(self.seen),
                "crashes": self.crashes,
            }
            response.send_json(200, stats)
        else:
            raise errors.Refused(404, "not_found", f"no {path}")

    def cancel(self, request_id: str) -> None:
        """Stop a request."""
        sequence = self.requests.pop(request_id, None)
        if sequence is not None:
            sequence.cancelled = True
            sequence.ready.set()

    def load(self) -> dict[str, Any]:
        """Return the last report, made at most every half second."""
        now = asyncio.get_running_loop().time()
        if now - self.reported_at >= REPORT_EVERY_S:
            self.reported_at = now
            self.report = {
                "running": len(self.model.running),
                "waiting": len(self.model.waiting),
                "kv_used": len(self.model.cache.blocks)
                / self.timing.cache_blocks,
            }
        return {**self.report, "age_s": now - self.reported_at}

    def state(self) -> dict[str, Any]:
        """Return what is loaded."""
        return {
            "models": sorted(self.facts.models),
            "loading": sorted(self.facts.loading),
            "adapters": sorted(self.facts.adapters),
            "role": self.facts.role,
            "draining": self.facts.draining,
            "incarnation": self.facts.incarnation,
        }

    def cache_events(self, after: int) -> dict[str, Any]:
        """Return events that are old enough, with gaps if switched on."""
        limit = asyncio.get_running_loop().time() - self.timing.event_lag_s
        gap = int(self.faults["event_gap"])
        events = [
            event
            for event, made in zip(
                self.model.events[after : after + 1000],
                self.model.event_times[after : after + 1000],
                strict=True,
            )
            if made <= limit
        ]
        shown = [e for e in events if not gap or e["sequence"] % gap]
        return {"next": after + len(events), "events": shown}

    def order(self, order: dict[str, Any]) -> dict[str, Any]:
        """Take an order, or refuse one with an old fencing number."""
        fencing = order.get("fencing", 0)
        if self.checks_fencing and fencing < self.facts.fencing:
            return {"accepted": False, "reason": "stale fencing token"}
        self.facts.fencing = max(self.facts.fencing, fencing)
        self.orders.append(order)
        pair = (order.get("model", ""), order.get("version", ""))
        adapter = (order.get("model", ""), order.get("adapter", ""))
        action = order.get("action")
        if action == "role":
            self.facts.role = order.get("role", "mixed")
        elif action == "unload" and adapter[1]:
            self.facts.adapters.discard(adapter)
        elif action == "unload":
            self.facts.models.discard(pair)
        elif action == "load":
            self.facts.loading.add(pair)
            delay = self.timing.load_s / self.timing.speed
            facts = self.facts
            asyncio.get_running_loop().call_later(
                delay, finish_load, facts, pair, adapter
            )
        else:
            return {"accepted": False, "reason": f"no action {action}"}
        return {"accepted": True, "reason": ""}

    def check_open(self, model: str) -> None:
        """Refuse what cannot be run.

        Raises:
          Refused: with the status an engine would give.
        """
        if self.facts.draining:
            raise NotRun("draining", leaving=True)
        if self.faults["refuse_busy"]:
            raise NotRun("busy", leaving=False)
        if model not in {name for name, _ in self.facts.models}:
            raise errors.Refused(404, "no_model", f"no model {model!r}")

    async def handle(
        self, request: httpserver.Request, response: httpserver.Response
    ) -> None:
        try:
            await super().handle(request, response)
        except NotRun as refusal:
            headers = [("x-not-run", "1")]
            if refusal.leaving:
                headers.append(("x-leaving", "1"))
            body = httpserver.refusal_body(refusal)
            response.send_json(503, body, headers)

    async def complete(
        self, request: httpserver.Request, response: httpserver.Response
    ) -> None:
        """Answer a completion, streamed or whole."""
        data = await request.json()
        await faults_module.slow(self.faults["open_delay_s"])
        model = str(data.get("model", ""))
        self.check_open(model)
        self.seen.append(request.id)
        if self.faults["wrong_echo"] > 0:
            self.faults.values["wrong_echo"] -= 1
            request.id = "another-request"
        sequence = make_sequence(request, data, self.crash_marker)
        self.requests[request.id] = sequence
        self.model.submit(sequence)
        options = data.get("stream_options") or {}
        counts = bool(options.get("continuous_usage_stats"))
        form = Form(request, model, sequence, counts)
        try:
            if data.get("stream"):
                await stream_answer(response, sequence, form)
            else:
                await whole_answer(response, sequence, form)
        finally:
            self.cancel(request.id)


class NotRun(errors.Refused):
    """A refusal that the engine declares to mean: not run."""

    def __init__(self, message: str, *, leaving: bool) -> None:
        super().__init__(503, message, message)
        self.leaving = leaving


def finish_load(
    facts: EngineFacts, pair: tuple[str, str], adapter: tuple[str, str]
) -> None:
    """Mark a load as done."""
    facts.loading.discard(pair)
    facts.models.add(pair)
    if adapter[1]:
        facts.adapters.add(adapter)


def make_sequence(
    request: httpserver.Request, data: dict[str, Any], marker: str
) -> Sequence:
    """Build the engine's view of a request."""
    prompt = prompt_of(data)
    wanted = data.get("max_tokens") or data.get("max_completion_tokens")
    resume = data.get("resume") or {}
    return Sequence(
        request.id,
        prompt,
        int(wanted or DEFAULT_MAX_TOKENS),
        produced=int(resume.get("tokens", 0)),
        taken=int(resume.get("tokens", 0)),
        crash=marker in prompt,
    )


def prompt_of(data: dict[str, Any]) -> str:
    """Return the prompt as one text."""
    if "messages" in data:
        return "\n".join(str(m.get("content", "")) for m in data["messages"])
    return str(data.get("prompt", ""))


class Form:
    """Shapes tokens as the interface asks."""

    def __init__(
        self,
        request: httpserver.Request,
        model: str,
        sequence: Sequence,
        counts: bool = False,
    ) -> None:
        self.chat = "chat" in request.path
        self.sequence = sequence
        # A chunk may hold several tokens; asked to, it counts them.
        self.counts = counts
        self.head = {
            "id": f"cmpl-{request.id}",
            "created": int(time.time()),
            "model": model,
        }

    def usage(self) -> dict[str, int]:
        """Return counts of tokens."""
        prompt = len(self.sequence.prompt.split())
        made = self.sequence.produced
        return {
            "prompt_tokens": prompt,
            "completion_tokens": made,
            "total_tokens": prompt + made,
        }

    def chunk(self, text: str, finish: str | None) -> bytes:
        """Return one server-sent event."""
        choice: dict[str, Any] = {"index": 0, "finish_reason": finish}
        if self.chat:
            choice["delta"] = {"content": text} if text else {}
        else:
            choice["text"] = text
        kind = "chat.completion.chunk" if self.chat else "text_completion"
        data = {**self.head, "object": kind, "choices": [choice]}
        if finish or self.counts:
            data["usage"] = self.usage()
        return b"data: " + msgspec.json.encode(data) + b"\n\n"

    def whole(self, text: str) -> dict[str, Any]:
        """Return a whole answer."""
        choice: dict[str, Any] = {"index": 0, "finish_reason": "length"}
        if self.chat:
            choice["message"] = {"role": "assistant", "content": text}
        else:
            choice["text"] = text
        kind = "chat.completion" if self.chat else "text_completion"
        return {
            **self.head,
            "object": kind,
            "choices": [choice],
            "usage": self.usage(),
        }


async def next_tokens(sequence: Sequence) -> str:
    """Return the text of the tokens made since the last call.

    Raises:
      ConnectionError: the engine crashed or cancelled the request.
    """
    while sequence.taken >= sequence.produced:
        if sequence.broken or sequence.cancelled:
            raise ConnectionError("request is lost")
        sequence.ready.clear()
        await sequence.ready.wait()
    made = range(sequence.taken, sequence.produced)
    sequence.taken = sequence.produced
    return "".join(token_text(sequence.prompt, index) for index in made)


async def stream_answer(
    response: httpserver.Response, sequence: Sequence, form: Form
) -> None:
    """Send tokens as they are made."""
    response.start(200, [("content-type", "text/event-stream")])
    try:
        while sequence.taken < sequence.max_tokens:
            response.write(form.chunk(await next_tokens(sequence), None))
            await response.flush()
    except ConnectionError:
        response.abort()
        return
    response.write(form.chunk("", "length"))
    response.write(b"data: [DONE]\n\n")
    response.end()


async def whole_answer(
    response: httpserver.Response, sequence: Sequence, form: Form
) -> None:
    """Send the answer once it is whole."""
    parts = []
    try:
        while sequence.taken < sequence.max_tokens:
            parts.append(await next_tokens(sequence))
    except ConnectionError:
        response.abort()
        return
    response.send_json(200, form.whole("".join(parts)))
