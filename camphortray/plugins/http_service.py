"""Calls plain services over HTTP."""

__all__ = ["HttpService"]

from camphortray import engine
from camphortray import errors
from camphortray import httpclient
from camphortray import request_echo
from camphortray import service

REQUEST_ID = "x-request-id"
DEADLINE = "camphortray-deadline"
# A refusal with this header is the service's word that nothing ran.
NOT_RUN = "x-not-run"
DEFAULT_TIMEOUT_S = 60.0


@service.SERVICES.register("http")
class HttpService(service.Service):
    """Plain services over HTTP."""

    def __init__(self) -> None:
        self.client = httpclient.HttpClient()

    @classmethod
    def from_config(cls) -> "HttpService":
        return cls()

    async def call(
        self,
        upstream: engine.Upstream,
        call: service.ServiceCall,
        fresh: bool = False,
    ) -> service.ServiceAnswer:
        limit = call.deadline_s or DEFAULT_TIMEOUT_S
        headers = [*call.headers, (REQUEST_ID, call.id)]
        if call.deadline_s is not None:
            headers.append((DEADLINE, f"{call.deadline_s:.3f}"))
        response = await self.client.request(
            upstream.address,
            call.method,
            call.target,
            headers,
            call.body,
            timeouts=httpclient.Timeouts(1.0, limit, limit),
            fresh=fresh,
            echo=request_echo.RequestEcho(REQUEST_ID, call.id),
        )
        try:
            check_owner(response, upstream)
            check_ran(response, upstream)
            body = await response.body(limit)
        finally:
            response.close()
        return service.ServiceAnswer(
            response.status, tuple(response.headers.items()), body
        )

    async def close(self) -> None:
        await self.client.close()


def check_owner(
    response: httpclient.ClientResponse, upstream: engine.Upstream
) -> None:
    """Refuse an answer that belongs to another request.

    Raises:
      UpstreamBroken: it names another request.
    """
    owner = request_echo.Owner
    if response.owner in (owner.OTHER, owner.AMBIGUOUS):
        raise errors.UpstreamBroken(
            "answer to another request",
            ran=True,
            step="echo",
            peer=upstream.name,
        )


def check_ran(
    response: httpclient.ClientResponse, upstream: engine.Upstream
) -> None:
    """Check that an answer does not say that nothing ran.

    Raises:
      UpstreamRefused: it does.
    """
    told = response.headers
    if response.status == 503 and response.is_own and NOT_RUN in told:
        raise errors.UpstreamRefused(
            "draining" if "x-leaving" in told else "busy",
            status=response.status,
            ran=False,
            leaving="x-leaving" in told,
            step="call",
            peer=upstream.name,
        )
