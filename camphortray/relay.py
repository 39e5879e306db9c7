"""Serves the OpenAI-compatible endpoints for online requests."""

__all__ = ["Relay"]

import asyncio
from typing import cast
from typing import ClassVar

from camphortray import admission
from camphortray import at_most_once
from camphortray import callrequest
from camphortray import calls
from camphortray import completing
from camphortray import completion as completions
from camphortray import deadline
from camphortray import errors
from camphortray import httpserver
from camphortray import kernel
from camphortray import log_backends
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
IDEMPOTENT_HEADER = "camphortray-idempotent"
IDEMPOTENCY_KEY_HEADER = "idempotency-key"
# Statuses caused by the request itself; not counted against the service's
# objectives.
CALLER_FAULTS = frozenset({400, 401, 404, 413, 422})
# Maximum length of the part of a caller's request id that engines get.
MAX_ID_CHARS = 96


@kernel.PARTS.register("entry")
class Relay(kernel.Part):
    """Validates completion requests and runs them at the engines."""

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
            context.part(log_backends.Backends),
            context.part(upstreams.Upstreams),
            context.part(signals.Signals),
            context.part(suspects.Suspects),
            routing.Router(context.rng, zone),
            context.metrics,
            context.admission,
        )
        self.at_most_once = context.part(at_most_once.AtMostOnce)
        self.request_count = 0
        routes = context.part(web.Routes)
        access = web.Access.WORKSPACE
        for path in ("/v1/chat/completions", "/v1/completions"):
            routes.add("POST", path, access, self.complete)
        routes.add("GET", "/v1/models", access, self.models)

    @classmethod
    def from_config(cls, context: kernel.Context) -> "Relay":
        return cls(context)

    async def models(self, call: web.Call) -> None:
        """Send the list of models."""
        names = sorted(self.tree.view.by_model)
        data = [
            {"id": name, "object": "model", "created": 0, "owned_by": ""}
            for name in names
        ]
        call.response.send_json(200, {"object": "list", "data": data})

    async def complete(self, call: web.Call) -> None:
        """Serve a completion request."""
        headers = call.request.headers
        body = await call.request.body()
        completion = completions.parse(call.request.path, body)
        service = self.service_of(completion.model)
        idempotent = is_idempotent(headers.get(IDEMPOTENT_HEADER, "true"))
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
            name=self.request_name(call.request),
            deadline_at=deadline_at,
            idempotent=idempotent,
        )
        try:
            async with asyncio.timeout(seconds):
                await self.run(exchange)
            self.parts.signals.answered(service.name, False, True)
        except TimeoutError as error:
            ran = "unknown" if exchange.ran else "no"
            self.fail(exchange, deadline.passed(ran), error)
        except errors.Refused as refusal:
            self.fail(exchange, refusal, refusal.__cause__)

    async def run(self, exchange: completing.CompletionExchange) -> None:
        """Run an exchange; at most once if non-idempotent and with a key."""
        call = exchange.call
        key = call.request.headers.get(IDEMPOTENCY_KEY_HEADER, "")
        if exchange.idempotent or not key:
            await self.run_admitted(exchange)
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
                await self.run_admitted(exchange)
            except asyncio.CancelledError:
                if exchange.ran:
                    raise
                raise deadline.passed("no") from None
            return recorder.answer()

        answer = await self.at_most_once.run_for_caller(request, send)
        if not call.response.status:
            call.response.send(answer.status, answer.body, answer.headers)

    async def run_admitted(
        self, exchange: completing.CompletionExchange
    ) -> None:
        """Run an exchange once it is admitted."""
        ticket = await self.admission.enter(
            exchange.service, exchange.call.caller, exchange.deadline_at
        )
        try:
            await exchange.run()
        finally:
            self.admission.leave(ticket)

    def fail(
        self,
        exchange: completing.CompletionExchange,
        refusal: errors.Refused,
        cause: BaseException | None,
    ) -> None:
        """Refuse a request, or cut off an answer that has been started.

        Raises:
          Refused: the answer has not been started.
        """
        if refusal.status not in CALLER_FAULTS:
            name = exchange.service.name
            self.parts.signals.answered(name, False, False)
        self.context.metrics.inc(
            "online_refused_total",
            "Online requests refused or cut off, by the code told.",
            {"service": exchange.service.name, "code": refusal.code},
        )
        if not exchange.response.status:
            raise refusal from cause
        LOG.warning("Started answer cut off: {}", refusal)
        exchange.response.cut(refusal)

    def service_of(self, model: str) -> settings.Service:
        """Return the service that serves a model."""
        service = self.tree.view.by_model.get(model)
        if service is None:
            raise errors.Refused(
                404, "unknown_model", f"no model {model!r}", field="model"
            )
        return service

    def request_name(self, request: httpserver.Request) -> str:
        """Return a unique name for a request.

        Callers may use the same request id twice, and a cancellation at an
        engine must affect only one of them.
        """
        self.request_count += 1
        start = self.context.incarnation & 0xFFFFFF
        return f"{request.id[:MAX_ID_CHARS]}.{start:x}-{self.request_count:x}"


def is_idempotent(text: str) -> bool:
    """Parse the header that marks a request as idempotent or not.

    Raises:
      Refused: the value is neither true nor false.
    """
    if text.lower() not in ("true", "false"):
        raise errors.Refused(
            400,
            "bad_field",
            f"{text[:40]!r} is neither true nor false",
            field="Camphortray-Idempotent",
        )
    return text.lower() == "true"
