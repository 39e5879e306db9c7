"""Answers online requests: checks them and sends them on their way."""

__all__ = ["Relay"]

import asyncio
from typing import cast
from typing import ClassVar

from camphortray import admission
from camphortray import at_most_once
from camphortray import backends
from camphortray import callrequest
from camphortray import calls
from camphortray import completing
from camphortray import completion as completions
from camphortray import deadline
from camphortray import errors
from camphortray import httpserver
from camphortray import kernel
from camphortray import logs
from camphortray import replay_buffer
from camphortray import routedtry
from camphortray import routing
from camphortray import settings
from camphortray import signals
from camphortray import suspects
from camphortray import tree
from camphortray import upstreams
from camphortray import web

LOG = logs.logger("relay")
IDEMPOTENT = "camphortray-idempotent"
IDEMPOTENCY_KEY = "idempotency-key"
# Statuses of refusals for a request's own fault; they burn no budget.
OWN_FAULT = frozenset({400, 401, 404, 413, 422})
# Longest part of a caller's request id that is passed to engines.
ID_CHARS = 96


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
        "suspects",
        "calls",
    )

    def __init__(self, context: kernel.Context) -> None:
        self.context = context
        self.tree = context.part(tree.Tree)
        self.admission = context.part(admission.Admission)
        zone = context.config.host.availability_zone
        self.parts = routedtry.RoutedParts(
            context.clock,
            context.part(backends.Backends),
            context.part(upstreams.Upstreams),
            context.part(signals.Signals),
            context.part(suspects.Suspects),
            routing.Router(context.rng, zone),
            context.metrics,
        )
        self.keeper = context.part(at_most_once.AtMostOnce)
        self.count = 0
        routes = context.part(web.Routes)
        access = web.Access.WORKSPACE
        for path in ("/v1/chat/completions", "/v1/completions"):
            routes.add("POST", path, access, self.complete)
        routes.add("GET", "/v1/models", access, self.models)

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
        headers = call.request.headers
        body = await call.request.body()
        completion = completions.parse(call.request.path, body)
        service = self.service_of(completion.model)
        idempotent = is_idempotent(headers.get(IDEMPOTENT, "true"))
        seconds = deadline.from_headers(
            headers, service.get("limit.deadline_s")
        )
        deadline_at = self.context.clock.monotonic() + seconds
        exchange = completing.CompletionExchange(
            self.parts,
            call,
            service,
            completion,
            body,
            name=self.try_name(call.request),
            deadline_at=deadline_at,
            idempotent=idempotent,
        )
        try:
            async with asyncio.timeout(seconds):
                await self.run(exchange)
            self.parts.signals.answered(service.name, False, True)
        except TimeoutError as error:
            ran = "unknown" if exchange.ran else "no"
            self.end(exchange, deadline.passed(ran), error)
        except errors.Refused as refusal:
            self.end(exchange, refusal, refusal.__cause__)

    async def run(self, exchange: completing.CompletionExchange) -> None:
        """Run an exchange, at most once if it is so marked and has a key."""
        call = exchange.call
        key = call.request.headers.get(IDEMPOTENCY_KEY, "")
        if exchange.idempotent or not key:
            await self.admit(exchange)
            return
        service = exchange.service
        recorder = replay_buffer.Recorder(call.response)
        exchange.response = cast(httpserver.Response, recorder)
        request = callrequest.CallRequest.of(
            call.caller,
            service.name,
            key,
            service.get("call.keep_s"),
            call.request.path.encode(),
            exchange.body,
        )

        async def send() -> calls.Answer:
            try:
                await self.admit(exchange)
            except asyncio.CancelledError:
                if exchange.ran:
                    raise
                raise deadline.passed("no") from None
            return recorder.answer()

        answer = await self.keeper.run_for_caller(request, send)
        if not call.response.status:
            call.response.send(answer.status, answer.body, answer.headers)

    async def admit(self, exchange: completing.CompletionExchange) -> None:
        """Run an exchange once there is room for it."""
        ticket = await self.admission.enter(
            exchange.service, exchange.call.caller, exchange.deadline_at
        )
        try:
            await exchange.run()
        finally:
            self.admission.leave(ticket)

    def end(
        self,
        exchange: completing.CompletionExchange,
        refusal: errors.Refused,
        cause: BaseException | None,
    ) -> None:
        """Refuse, or end an answer under way as an error.

        Raises:
          Refused: no answer had begun.
        """
        if refusal.status not in OWN_FAULT:
            name = exchange.service.name
            self.parts.signals.answered(name, False, False)
        self.context.metrics.inc(
            "online_refused_total",
            "Online requests refused or cut off, by the code told.",
            {"service": exchange.service.name, "code": refusal.code},
        )
        if not exchange.response.status:
            raise refusal from cause
        LOG.warning("Answer cut off: {}", refusal)
        exchange.response.cut(refusal)

    def service_of(self, model: str) -> settings.Service:
        """Return the service that serves a model."""
        service = self.tree.view.by_model.get(model)
        if service is None:
            raise errors.Refused(
                404, "unknown_model", f"no model {model!r}", field="model"
            )
        return service

    def try_name(self, request: httpserver.Request) -> str:
        """Return a name for a request that no other request has.

        Callers may choose the same id twice, and a cancel at an engine
        must hit the right one.
        """
        self.count += 1
        start = self.context.incarnation & 0xFFFFFF
        return f"{request.id[:ID_CHARS]}.{start:x}-{self.count:x}"


def is_idempotent(text: str) -> bool:
    """Return what a caller says of its request.

    Raises:
      Refused: neither true nor false.
    """
    if text.lower() not in ("true", "false"):
        raise errors.Refused(
            400,
            "bad_field",
            f"{text[:40]!r} is neither true nor false",
            field="Camphortray-Idempotent",
        )
    return text.lower() == "true"
