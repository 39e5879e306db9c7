"""Forwards a caller's request to another host or program of Camphortray."""

__all__ = ["Forwarder", "copy", "has_body"]

from camphortray import config as configs
from camphortray import errors
from camphortray import httpclient
from camphortray import web

# Headers that belong to one connection and are not forwarded.
HOP_HEADERS = frozenset(
    {
        "authorization",
        "connection",
        "content-length",
        "expect",
        "host",
        "keep-alive",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
# Marks a forwarded request, which is not forwarded again; else two hosts
# that each consider the other the owner would forward it in a loop.
FORWARDED_HEADER = "camphortray-hop"
# Headers that each hop replaces. If one were sent twice, its values would be
# joined, and the call would appear to come from another workspace.
OWN_HEADERS = frozenset(
    {FORWARDED_HEADER, web.HOST_KEY_HEADER, web.WORKSPACE_HEADER}
)
# Largest body that is read to find out which host answers, in bytes.
MAX_SMALL_BODY_BYTES = 65_536
# To connect, to the head of the answer, and between its pieces, in seconds.
TIMEOUTS = httpclient.Timeouts(1.0, 120.0, 120.0)


class Forwarder:
    """Forwards requests as streams, without buffering whole bodies."""

    def __init__(self, config: configs.Config) -> None:
        self.config = config
        self.client = httpclient.HttpClient(TIMEOUTS)

    async def pass_on(
        self, call: web.Call, to: configs.Address, read: bytes | None = None
    ) -> None:
        """Forward a call and return its answer to the caller.

        Args:
          call: The call.
          to: Address of the other program's HTTP port.
          read: Body of the call, if it has been read.

        Raises:
          Refused: the other program cannot be reached.
        """
        request = call.request
        headers = [
            (name, value)
            for name, value in request.headers.items()
            if name not in HOP_HEADERS and name not in OWN_HEADERS
        ]
        headers += web.host_headers(self.config, call.caller)
        headers.append((FORWARDED_HEADER, "1"))
        limit = self.config.batch.max_job_bytes
        body: httpclient.Body = read or b""
        if read is None and has_body(request.headers):
            body = request.iter_body(limit)
        try:
            answer = await self.client.request(
                to, request.method, request.target, headers, body
            )
        except errors.UpstreamBroken as error:
            raise unreachable(error, error.ran) from error
        await copy(call, answer)

    async def close(self) -> None:
        """Close all connections."""
        await self.client.close()


async def copy(call: web.Call, answer: httpclient.ClientResponse) -> None:
    """Copy an answer to the caller, aborting it if it was cut off.

    Raises:
      Refused: it was cut off before its first piece.
    """
    try:
        data = await answer.read()
        headers = [
            (name, value)
            for name, value in answer.headers.items()
            if name not in HOP_HEADERS and name != "x-request-id"
        ]
        call.response.start(answer.status, headers)
        while data:
            call.response.write(data)
            await call.response.flush()
            data = await answer.read()
        call.response.end()
    except errors.UpstreamBroken as error:
        if not call.response.status:
            raise unreachable(error, True) from error
        call.response.abort()
    finally:
        answer.close()


def unreachable(error: errors.UpstreamBroken, ran: bool) -> errors.Refused:
    """Return the refusal of a call that another program did not answer.

    Args:
      error: What happened.
      ran: Whether the call may have run there.
    """
    return errors.Refused(
        503,
        "owner_unreachable",
        str(error),
        ran="unknown" if ran else "no",
        retry_after=1,
    )


def has_body(headers: dict[str, str]) -> bool:
    """Return whether the headers of a request announce a body."""
    length = headers.get("content-length", "0")
    return "transfer-encoding" in headers or length != "0"
