"""Answers online requests: chooses an upstream and passes its answer on."""

__all__ = ["Relay"]

from typing import Any
from typing import ClassVar

from camphortray import admission
from camphortray import engine
from camphortray import errors
from camphortray import kernel
from camphortray import logs
from camphortray import outer
from camphortray import routing
from camphortray import settings
from camphortray import signals
from camphortray import tree
from camphortray import upstreams
from camphortray import web

LOG = logs.logger("relay")
# Upstreams tried for one request before it is refused.
MAX_TRIES = 3


@kernel.PARTS.register("entry")
class Relay(kernel.Part):
    """The online path."""

    name: ClassVar[str] = "relay"
    requires: ClassVar[tuple[str, ...]] = (
        "routes",
        "upstreams",
        "membership",
        "admission",
        "signals",
    )

    def __init__(self, context: kernel.Context) -> None:
        self.context = context
        self.tree = context.part(tree.Tree)
        self.outer = context.part(outer.Outer)
        self.upstreams = context.part(upstreams.Upstreams)
        self.admission = context.part(admission.Admission)
        self.signals = context.part(signals.Signals)
        self.router = routing.Router(context.rng)
        routes = context.part(web.Routes)
        access = web.Access.WORKSPACE
        for path in ("/v1/chat/completions", "/v1/completions"):
            routes.add("POST", path, access, self.complete)
        routes.add("GET", "/v1/models", access, self.models)
        routes.add(
            "*",
            "/v1/services/{service}/{rest...}",
            access,
            self.plain,
        )

    @classmethod
    def from_config(cls, context: kernel.Context) -> "Relay":
        return cls(context)

    async def models(self, call: web.Call) -> None:
        """List the models."""
        names = sorted(self.tree.view.by_model)
        data = [
            {"id": name, "object": "model", "created": 0, "owned_by": ""}
            for name in names
        ]
        call.response.send_json(200, {"object": "list", "data": data})

    async def complete(self, call: web.Call) -> None:
        """Answer a completion."""
        data = await call.request.json()
        service = self.service_of(data)
        request = engine.EngineRequest(
            call.request.id,
            call.request.path,
            await_body(call, data),
            bool(data.get("stream")),
            service.get("limit.deadline_s"),
        )
        now = self.context.clock.monotonic()
        deadline_at = now + service.get("limit.deadline_s")
        ticket = await self.admission.enter(service, call.caller, deadline_at)
        try:
            await self.answer(call, service, request)
        finally:
            self.admission.leave(ticket)

    async def answer(
        self,
        call: web.Call,
        service: settings.Service,
        request: engine.EngineRequest,
    ) -> None:
        """Try upstreams until one has answered."""
        tried: frozenset[str] = frozenset()
        while True:
            upstream = self.choose(service, tried)
            try:
                with self.upstreams.count(upstream):
                    await self.pass_on(call, service, upstream, request)
                return
            except errors.UpstreamError as error:
                self.on_failure(call, upstream, error)
                tried |= {upstream.name}
                if error.ran or len(tried) >= MAX_TRIES:
                    raise refusal_of(error) from error

    def service_of(self, data: dict[str, Any]) -> settings.Service:
        """Return the service that serves the model asked for."""
        model = data.get("model")
        if not isinstance(model, str):
            raise errors.Refused(
                400, "bad_field", "model must be a text", field="model"
            )
        service = self.tree.view.by_model.get(model)
        if service is None:
            raise errors.Refused(
                404, "unknown_model", f"no model {model!r}", field="model"
            )
        return service

    def choose(
        self, service: settings.Service, tried: frozenset[str]
    ) -> engine.Upstream:
        """Return an upstream not tried yet."""
        candidates = self.upstreams.candidates(service, tried)
        if not candidates:
            raise errors.Refused(
                503, "no_upstream", "no upstream is left", retry_after=1
            )
        return self.router.choose(candidates)

    async def pass_on(
        self,
        call: web.Call,
        service: settings.Service,
        upstream: engine.Upstream,
        request: engine.EngineRequest,
    ) -> None:
        """Send a request to an upstream and its answer to the caller."""
        told = service.name, upstream.name, False
        party = self.outer.engine(upstream.plugin)
        self.signals.begun(*told)
        good = False
        try:
            stream = await party.open(upstream, request)
            try:
                await self.copy(call, service, upstream, request, stream)
            finally:
                stream.close()
            good = True
        finally:
            self.signals.ended(*told, good)

    async def copy(
        self,
        call: web.Call,
        service: settings.Service,
        upstream: engine.Upstream,
        request: engine.EngineRequest,
        stream: engine.EngineStream,
    ) -> None:
        """Copy an answer to the caller."""
        response = call.response
        headers = [("content-type", stream.content_type)]
        if not request.stream:
            body = await engine.read_all(stream, request.deadline_s or 60)
            response.send(stream.status, body, headers)
            return
        clock = self.context.clock
        silence = service.get("limit.silence_s")
        tell = self.signals.first_token
        last = clock.monotonic()
        response.start(stream.status, headers)
        while data := await stream.read(silence):
            now = clock.monotonic()
            tell(service.name, upstream.name, False, now - last)
            tell, last = self.signals.next_token, now
            response.write(data)
            await response.flush()
        response.end()

    def on_failure(
        self,
        call: web.Call,
        upstream: engine.Upstream,
        error: errors.UpstreamError,
    ) -> None:
        """Log a failure; an answer under way is cut off."""
        LOG.warning("Try failed: {}", error)
        if isinstance(error, errors.UpstreamRefused) and error.leaving:
            self.upstreams.note_leaving(upstream.name)
        if call.response.status:
            call.response.abort()
            raise error

    async def plain(self, call: web.Call) -> None:
        """Pass a call to a plain service."""
        raise errors.Refused(501, "not_yet", "plain services come next")


def await_body(call: web.Call, data: dict[str, Any]) -> bytes:
    """Return the body to send on."""
    return engine.json.dumps(data).encode()


def refusal_of(error: errors.UpstreamError) -> errors.Refused:
    """Return the refusal that tells a caller of an upstream's failure."""
    ran = "unknown" if error.ran else "no"
    return errors.Refused(
        502, "upstream_failed", str(error), ran=ran, retry_after=1
    )
