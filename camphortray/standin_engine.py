"""Stand-in of a model engine with continuous batching.

The timing model and what it leaves out stand in docs/STANDINS.md.
"""

__all__ = [
    "EngineModel",
    "EngineStandin",
    "Sequence",
    "TimingModel",
    "prompt_of",
    "token_text",
]

import asyncio
import dataclasses
from typing import Any
from typing import cast

from camphortray import config as configs
from camphortray import errors
from camphortray import faults as faults_module
from camphortray import httpserver
from camphortray import standin_answers
from camphortray import standin_model

EngineModel = standin_model.EngineModel
Sequence = standin_model.Sequence
TimingModel = standin_model.TimingModel
prompt_of = standin_answers.prompt_of
token_text = standin_model.token_text
# Load reports are made this often, and so are this old at worst.
REPORT_EVERY_S = 0.5


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
        timing: standin_model.TimingModel | None = None,
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
        self.timing = timing or standin_model.TimingModel()
        self.checks_fencing = checks_fencing
        self.initial_models = models
        self.facts = EngineFacts(set(models))
        self.model = standin_model.EngineModel(self.timing)
        self.model.on_crash = self.crash
        self.requests: dict[str, standin_model.Sequence] = {}
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
        self.model = standin_model.EngineModel(self.timing)
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
        changes = [
            change
            for change in self.model.events_after(after)
            if change.made_at <= limit
        ]
        shown = [
            {"sequence": c.sequence, "prefix": c.prefix, "stored": c.stored}
            for c in changes
            if not gap or c.sequence % gap
        ]
        following = changes[-1].sequence if changes else after
        return {"next": following, "events": shown}

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
        sequence = standin_answers.make_sequence(
            request, data, self.crash_marker
        )
        self.requests[request.id] = sequence
        self.model.submit(sequence)
        options = data.get("stream_options") or {}
        counts = bool(options.get("continuous_usage_stats"))
        form = standin_answers.Form(request, model, sequence, counts)
        try:
            if data.get("stream"):
                await standin_answers.stream_answer(response, sequence, form)
            else:
                await standin_answers.whole_answer(response, sequence, form)
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
