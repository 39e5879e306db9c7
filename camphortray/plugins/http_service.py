"""Calls plain services over HTTP."""

__all__ = ["HttpService"]

from camphortray import engine
from camphortray import errors
from camphortray import httpclient
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
        status, answered, body = await self.client.call(
            upstream.address,
            call.method,
            call.target,
            headers,
            call.body,
            timeouts=httpclient.Timeouts(1.0, limit, limit),
            fresh=fresh,
        )
        check_echo(answered, call.id, upstream)
        if status == 503 and NOT_RUN in answered:
            raise errors.UpstreamRefused(
                "draining" if "x-leaving" in answered else "busy",
                status=status,
                ran=False,
                leaving="x-leaving" in answered,
                step="call",
                peer=upstream.name,
            )
        return service.ServiceAnswer(status, tuple(answered.items()), body)

    async def close(self) -> None:
        await self.client.close()


def check_echo(
    headers: dict[str, str], request_id: str, upstream: engine.Upstream
) -> None:
    """Refuse an answer that belongs to another request.

    Raises:
      UpstreamBroken: the id echoed is not ours.
    """
    echoed = headers.get(REQUEST_ID, request_id)
    if echoed != request_id:
        raise errors.UpstreamBroken(
            f"answer of request {echoed}",
            ran=True,
            step="echo",
            peer=upstream.name,
        )
