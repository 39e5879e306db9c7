"""Passes job calls from the entry role to a batch role."""

__all__ = ["JobProxy"]

from typing import ClassVar

from camphortray import config as configs
from camphortray import errors
from camphortray import httpclient
from camphortray import kernel
from camphortray import web

# Headers that belong to one connection and are not passed on.
HOP_HEADERS = frozenset(
    {
        "authorization",
        "connection",
        "content-length",
        "host",
        "keep-alive",
        "transfer-encoding",
        "upgrade",
    }
)
PREFIXES = ("/v1/jobs", "/v1/files", "/v1/batches")
TIMEOUTS = httpclient.Timeouts(1.0, 120.0, 120.0)


@kernel.PARTS.register("entry")
class JobProxy(kernel.Part):
    """Streams job calls both ways; nothing is held whole."""

    name: ClassVar[str] = "jobproxy"
    requires: ClassVar[tuple[str, ...]] = ("routes",)

    def __init__(self, context: kernel.Context) -> None:
        self.context = context
        self.client = httpclient.HttpClient(TIMEOUTS)
        routes = context.part(web.Routes)
        for prefix in PREFIXES:
            for path in (prefix, prefix + "/{rest...}"):
                routes.add("*", path, web.Access.WORKSPACE, self.pass_on)

    @classmethod
    def from_config(cls, context: kernel.Context) -> "JobProxy":
        return cls(context)

    def target(self) -> configs.Address:
        """Return the batch role to ask: this host's own."""
        batch = self.context.config.batch
        return configs.Address.from_text(batch.advertise or batch.listen)

    async def pass_on(self, call: web.Call) -> None:
        """Pass one call on."""
        request = call.request
        headers = [
            (name, value)
            for name, value in request.headers.items()
            if name not in HOP_HEADERS
        ]
        headers += web.host_headers(self.context.config, call.caller)
        limit = self.context.config.batch.max_job_bytes
        body = request.iter_body(limit) if has_body(request.headers) else b""
        try:
            answer = await self.client.request(
                self.target(), request.method, request.target, headers, body
            )
        except errors.UpstreamBroken as error:
            raise errors.Refused(
                503,
                "no_batch",
                str(error),
                ran="unknown" if error.ran else "no",
                retry_after=1,
            ) from error
        try:
            kept = [
                (name, value)
                for name, value in answer.headers.items()
                if name not in HOP_HEADERS and name != "x-request-id"
            ]
            call.response.start(answer.status, kept)
            while data := await answer.read():
                call.response.write(data)
                await call.response.flush()
            call.response.end()
        except errors.UpstreamBroken:
            call.response.abort()
        finally:
            answer.close()

    async def stop(self) -> None:
        await self.client.close()


def has_body(headers: dict[str, str]) -> bool:
    """Return whether a request announces a body."""
    length = headers.get("content-length", "0")
    return "transfer-encoding" in headers or length != "0"
