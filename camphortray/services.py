"""Passes calls to plain services on, each no more often than it may run."""

__all__ = ["Services"]

from collections.abc import Iterable
from typing import ClassVar

from camphortray import admission
from camphortray import at_most_once
from camphortray import callrequest
from camphortray import calls
from camphortray import deadline
from camphortray import engine
from camphortray import errors
from camphortray import forward
from camphortray import kernel
from camphortray import log_backends
from camphortray import logs
from camphortray import retry
from camphortray import routing
from camphortray import service as plain
from camphortray import settings
from camphortray import tree
from camphortray import upstreams
from camphortray import web

LOG = logs.logger("services")
# Upstreams tried for one call.
MAX_TRIES = 3
IDEMPOTENCY_KEY = "idempotency-key"
IDEMPOTENT = "camphortray-idempotent"
# Headers of one connection, or between us and one side only.
NOT_PASSED_ON = forward.HOP_HEADERS | {
    "x-request-id",
    deadline.HEADER,
    web.HOST_KEY_HEADER,
    web.WORKSPACE_HEADER,
}


@kernel.PARTS.register("entry")
class Services(kernel.Part):
    """The route ``/v1/services/NAME/...``."""

    name: ClassVar[str] = "services"
    requires: ClassVar[tuple[str, ...]] = (
        "routes",
        "upstreams",
        "admission",
        "calls",
    )

    def __init__(self, context: kernel.Context) -> None:
        self.context = context
        self.tree = context.part(tree.Tree)
        self.backends = context.part(log_backends.Backends)
        self.upstreams = context.part(upstreams.Upstreams)
        self.admission = context.part(admission.Admission)
        self.at_most_once = context.part(at_most_once.AtMostOnce)
        self.budgets: dict[str, retry.RetryBudget] = {}
        zone = context.config.host.availability_zone
        self.router = routing.Router(context.rng, zone)
        path = "/v1/services/{service}/{rest...}"
        context.part(web.Routes).add(
            "*", path, web.Access.WORKSPACE, self.handle
        )

    @classmethod
    def from_config(cls, context: kernel.Context) -> "Services":
        return cls(context)

    async def handle(self, call: web.Call) -> None:
        """Answer one call."""
        service = self.service_of(call)
        idempotent = is_idempotent(call, service)
        key = call.request.headers.get(IDEMPOTENCY_KEY, "")
        if not idempotent and not key:
            raise errors.Refused(
                400,
                "needs_key",
                "a call that may not repeat needs an Idempotency-Key",
                field="Idempotency-Key",
            )
        deadline_at = self.deadline_at(call, service)
        body = await call.request.body()
        ticket = await self.admission.enter(service, call.caller, deadline_at)
        try:
            answer = await self.run(call, service, body, deadline_at, key)
        finally:
            self.admission.leave(ticket)
        call.response.send(
            answer.status, answer.body, passed_on(answer.headers)
        )

    def service_of(self, call: web.Call) -> settings.Service:
        """Return the plain service that a call names."""
        service = self.tree.view.services.get(call.params["service"])
        if service is None or service.get("kind") != "plain":
            name = call.params["service"]
            raise errors.Refused(
                404, "unknown_service", f"no plain service {name!r}"
            )
        return service

    def deadline_at(self, call: web.Call, service: settings.Service) -> float:
        """Return when the answer is due, on the monotonic clock."""
        left = deadline.from_headers(
            call.request.headers, service.get("limit.deadline_s")
        )
        return self.context.clock.monotonic() + left

    async def run(
        self,
        call: web.Call,
        service: settings.Service,
        body: bytes,
        deadline_at: float,
        key: str,
    ) -> calls.Answer:
        """Run a call, at most once if it may not repeat."""
        idempotent = is_idempotent(call, service)
        target = target_of(call)

        async def send() -> calls.Answer:
            return await self.send(
                call, service, target, body, deadline_at, idempotent
            )

        if idempotent:
            try:
                return await send()
            except errors.UpstreamError as error:
                raise refusal_of(error) from error
        call.request.keep_running = True
        request = callrequest.CallRequest.of(
            call.caller,
            service.name,
            key,
            service.get("call.keep_s"),
            call.request.method.encode(),
            target.encode(),
            body,
        )
        return await self.at_most_once.run(request, send)

    async def send(
        self,
        call: web.Call,
        service: settings.Service,
        target: str,
        body: bytes,
        deadline_at: float,
        idempotent: bool,
    ) -> calls.Answer:
        """Try upstreams until one has answered.

        Another one is tried only if the call was not run, or may run
        again. A call that may not repeat takes a new connection, as a
        kept one may be dead already and would leave its fate unknown.

        Raises:
          UpstreamError: of the last try.
          Refused: no upstream is left, or no time.
        """
        tried: frozenset[str] = frozenset()
        maybe_ran = False
        budget = self.budget(service)
        while True:
            upstream = self.choose(service, tried, maybe_ran)
            left = deadline_at - self.context.clock.monotonic()
            if left <= 0:
                raise deadline.passed("unknown" if maybe_ran else "no")
            if not maybe_ran:
                now = self.context.clock.monotonic()
                self.context.admission.check(now, deadline_at, idempotent)
            passed = plain.ServiceCall(
                call.request.id,
                call.request.method,
                target,
                tuple(passed_on(call.request.headers.items())),
                body,
                left,
            )
            fresh = bool(tried) or not idempotent
            try:
                answer = await self.send_once(upstream, passed, fresh)
                budget.succeeded(self.context.clock.monotonic())
                return answer
            except errors.UpstreamError as error:
                self.on_failure(upstream, error)
                tried |= {upstream.name}
                maybe_ran = maybe_ran or error.ran
                error.ran = maybe_ran
                again = idempotent or not maybe_ran
                now = self.context.clock.monotonic()
                if not (
                    again and len(tried) < MAX_TRIES and budget.allow(now)
                ):
                    raise

    def budget(self, service: settings.Service) -> retry.RetryBudget:
        """Return the retry budget of a service."""
        if service.name not in self.budgets:
            share = service.get("retry.share")
            self.budgets[service.name] = retry.RetryBudget(share)
        return self.budgets[service.name]

    def choose(
        self,
        service: settings.Service,
        tried: frozenset[str],
        maybe_ran: bool,
    ) -> engine.Upstream:
        """Return an upstream not tried yet."""
        candidates = self.upstreams.candidates(service, tried)
        if not candidates:
            raise errors.Refused(
                503,
                "no_upstream",
                "no upstream is left",
                ran="unknown" if maybe_ran else "no",
                retry_after=1,
            )
        return self.router.choose(candidates)

    async def send_once(
        self, upstream: engine.Upstream, passed: plain.ServiceCall, fresh: bool
    ) -> calls.Answer:
        """Send a call to one upstream."""
        party = self.backends.service(upstream.plugin)
        with self.upstreams.count(upstream):
            answer = await party.call(upstream, passed, fresh)
        return calls.Answer(answer.status, answer.headers, answer.body)

    def on_failure(
        self, upstream: engine.Upstream, error: errors.UpstreamError
    ) -> None:
        """Log a failure and note an upstream that leaves."""
        LOG.warning("Try failed: {}", error)
        if isinstance(error, errors.UpstreamRefused) and error.leaving:
            self.upstreams.note_leaving(upstream.name)


def is_idempotent(call: web.Call, service: settings.Service) -> bool:
    """Return whether a call may run again.

    Caller and route each may say that it must not; neither can overrule
    the other.
    """
    route = call.params["rest"].partition("/")[0]
    by_route = service.get(f"route.{route}.idempotent")
    told = call.request.headers.get(IDEMPOTENT, "true").strip().lower()
    if told not in ("true", "false"):
        raise errors.Refused(
            400, "bad_field", "true or false", field="Camphortray-Idempotent"
        )
    return by_route is not False and told == "true"


def target_of(call: web.Call) -> str:
    """Return path and query below the service, as they were sent."""
    path, mark, query = call.request.target.partition("?")
    below = path.split("/", 4)[4] if path.count("/") >= 4 else ""
    return f"/{below}{mark}{query}"


def passed_on(headers: Iterable[tuple[str, str]]) -> list[tuple[str, str]]:
    """Return the end-to-end headers."""
    return [
        (name, value) for name, value in headers if name not in NOT_PASSED_ON
    ]


def refusal_of(error: errors.UpstreamError) -> errors.Refused:
    """Return the refusal that tells a caller of an upstream's failure."""
    ran = "unknown" if error.ran else "no"
    return errors.Refused(
        502, "upstream_failed", str(error), ran=ran, retry_after=1
    )
