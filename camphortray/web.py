"""Routes of a program's HTTP port; parts add their own."""

__all__ = ["Access", "Call", "Callers", "Routes"]

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import enum
import functools
import hmac
from typing import Any
from typing import ClassVar

from camphortray import config as configs
from camphortray import connection_ends
from camphortray import errors
from camphortray import httpserver
from camphortray import kernel
from camphortray import logs
from camphortray import membership
from camphortray import settings
from camphortray import tls
from camphortray import tree

LOG = logs.logger("callers")
# Seconds in which all hosts come to know that one leaves; until then they
# still name it to callers, or pass calls on to it.
SPREAD_S = 3.0
HOST_KEY_HEADER = "camphortray-host-key"
WORKSPACE_HEADER = "camphortray-workspace"


class Access(enum.Enum):
    """Who may call a route."""

    OPEN = "anyone"
    WORKSPACE = "a workspace's key"
    OPERATOR = "an operator's key"
    HOST = "the key that hosts share"


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """A request on its route.

    Attributes:
      request: As received.
      response: To be answered.
      caller: Name of the workspace or operator, or empty.
      params: Values of the ``{name}`` parts of the route.
      check: Raises ``Refused`` once its key is no longer the caller's.
    """

    request: httpserver.Request
    response: httpserver.Response
    caller: str
    params: dict[str, str]
    check: Callable[[], None]


Handler = Callable[[Call], Awaitable[None]]


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """One route.

    Attributes:
      method: HTTP method, or ``"*"``.
      segments: Parts of the path; ``{name}`` matches one part and
        ``{name...}`` all the rest.
      access: Who may call it.
      handler: What answers.
    """

    method: str
    segments: tuple[str, ...]
    access: Access
    handler: Handler

    def match(self, segments: list[str]) -> dict[str, str] | None:
        """Return the values of the path, or None if it does not match."""
        params = {}
        for index, want in enumerate(self.segments):
            if want.endswith("...}"):
                params[want[1:-4]] = "/".join(segments[index:])
                return params
            if index >= len(segments):
                return None
            if want.startswith("{"):
                params[want[1:-1]] = segments[index]
            elif want != segments[index]:
                return None
        return params if len(segments) == len(self.segments) else None


@kernel.PARTS.register("entry", "batch")
class Routes(kernel.Part, httpserver.Handler):
    """The table of routes; checks who calls and hands the call on."""

    name: ClassVar[str] = "routes"
    requires: ClassVar[tuple[str, ...]] = ("settings",)

    def __init__(self, context: kernel.Context) -> None:
        self.context = context
        self.tree = context.part(tree.Tree)
        self.routes: list[Route] = []
        self.by_path: dict[tuple[str, str], Route] = {}
        self.add("GET", "/healthz", Access.OPEN, self.healthz)
        self.add("GET", "/readyz", Access.OPEN, self.readyz)
        self.add("GET", "/metrics", Access.OPEN, self.metrics)

    @classmethod
    def from_config(cls, context: kernel.Context) -> "Routes":
        return cls(context)

    def add(
        self, method: str, path: str, access: Access, handler: Handler
    ) -> None:
        """Add a route; see ``Route``."""
        segments = tuple(path.strip("/").split("/"))
        route = Route(method, segments, access, handler)
        self.routes.append(route)
        if "{" not in path:
            self.by_path[(method, path)] = route

    def find(self, method: str, path: str) -> tuple[Route, dict[str, str]]:
        """Return the route of a request.

        Raises:
          Refused: there is none.
        """
        exact = self.by_path.get((method, path))
        if exact is not None:
            return exact, {}
        segments = path.strip("/").split("/")
        allowed = set()
        for route in self.routes:
            params = route.match(segments)
            if params is None:
                continue
            if route.method in ("*", method):
                return route, params
            allowed.add(route.method)
        if allowed:
            raise errors.Refused(
                405, "method", f"{path} takes {', '.join(sorted(allowed))}"
            )
        raise errors.Refused(404, "not_found", f"no {path}")

    async def handle(
        self, request: httpserver.Request, response: httpserver.Response
    ) -> None:
        route, params = self.find(request.method, request.path)
        caller = self.caller(route.access, request)
        check = functools.partial(self.check, route.access, request, caller)
        await route.handler(Call(request, response, caller, params, check))

    def check(
        self, access: Access, request: httpserver.Request, caller: str
    ) -> None:
        """Make sure that a call still comes from the caller it began with.

        Raises:
          Refused: its key has been revoked, or moved to another.
        """
        if self.caller(access, request) != caller:
            raise denied(access)

    def caller(self, access: Access, request: httpserver.Request) -> str:
        """Return who calls.

        Raises:
          Refused: whoever it is may not.
        """
        if access is Access.OPEN:
            return ""
        if self.from_host(request):
            return request.headers.get(WORKSPACE_HEADER, "")
        if access is Access.HOST:
            raise denied(access)
        hashed = settings.hash_key(bearer(request))
        view = self.tree.view
        if not view.revision:
            raise errors.Refused(
                503, "not_ready", "no settings yet", retry_after=1
            )
        keys = view.operators if access is Access.OPERATOR else view.workspaces
        holder = keys.holder(hashed)
        if holder is None:
            raise denied(access)
        return holder

    def from_host(self, request: httpserver.Request) -> bool:
        """Return whether another program of ours passes the call on."""
        key = self.context.config.peer.shared_key
        shown = request.headers.get(HOST_KEY_HEADER, "")
        return bool(key) and hmac.compare_digest(settings.hash_key(key), shown)

    async def healthz(self, call: Call) -> None:
        """Say that the loop turns."""
        call.response.send(200, b"ok\n")

    async def readyz(self, call: Call) -> None:
        """Say whether callers should come, and why not."""
        reasons = self.context.not_ready()
        status = 503 if reasons else 200
        call.response.send_json(
            status, {"ready": not reasons, "reasons": reasons}
        )

    async def metrics(self, call: Call) -> None:
        """Give the metrics as text."""
        body, headers = self.context.metrics.render()
        call.response.send(200, body, list(headers.items()))


def bearer(request: httpserver.Request) -> str:
    """Return the key a caller shows."""
    scheme, _, key = request.headers.get("authorization", "").partition(" ")
    return key.strip() if scheme.lower() == "bearer" else ""


def denied(access: Access) -> errors.Refused:
    """Return the refusal of an unknown key."""
    return errors.Refused(
        401, "bad_key", f"needs {access.value}", field="Authorization"
    )


def host_headers(config: configs.Config, workspace: str) -> list[Any]:
    """Return headers with which one program passes a call to another."""
    return [
        (HOST_KEY_HEADER, settings.hash_key(config.peer.shared_key)),
        (WORKSPACE_HEADER, workspace),
    ]


@kernel.PARTS.register("entry", "batch")
class Callers(kernel.Part):
    """The port that callers connect to; starts last, drains first."""

    name: ClassVar[str] = "callers"
    requires: ClassVar[tuple[str, ...]] = ("routes", "membership")
    last: ClassVar[bool] = True

    def __init__(self, context: kernel.Context) -> None:
        self.context = context
        config = context.config
        self.settings = (
            config.entry if context.program == "entry" else config.batch
        )
        limits = httpserver.Limits(
            max_body_bytes=config.entry.max_body_bytes,
            header_timeout_s=config.entry.header_timeout_s,
            idle_timeout_s=config.entry.idle_timeout_s,
        )
        secure = context.program == "entry"
        self.members = context.part(membership.Membership)
        self.serve_on_s = (
            config.entry.keep_s + SPREAD_S if secure else SPREAD_S
        )
        self.server = httpserver.HttpServer(
            context.part(Routes),
            limits,
            tls.caller_context(config.tls) if secure else None,
            connection_ends.ConnectionEnds(context.metrics),
        )

    @classmethod
    def from_config(cls, context: kernel.Context) -> "Callers":
        return cls(context)

    async def start(self) -> None:
        address = configs.Address.from_text(self.settings.listen)
        await self.server.start(address)
        shown = self.settings.advertise or str(self.server.address)
        self.members.set_http_address(shown)
        LOG.notice("Serves on {}.", self.server.address)

    async def drain(self) -> None:
        """Leave the addresses at once, yet serve on.

        Callers keep an answer of ``/v1/hosts`` for a while and go on
        coming until it has run out; then nothing new comes, and what is
        in flight is waited for.
        """
        self.members.leave()
        self.context.admission.begin(
            self.context.clock.monotonic(),
            self.settings.drain_s,
            self.serve_on_s,
        )
        try:
            async with asyncio.timeout(self.settings.drain_s):
                await self.server.drain(self.serve_on_s)
        except TimeoutError:
            for work in self.in_flight():
                LOG.warning("Cut off by the end of the drain: {}", work)

    def in_flight(self) -> list[str]:
        return self.server.in_flight()

    async def stop(self) -> None:
        await self.server.stop()
