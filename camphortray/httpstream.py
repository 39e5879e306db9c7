"""An engine's answer that comes over HTTP."""

__all__ = ["HttpStream"]

from camphortray import engine
from camphortray import httpclient

# Status of answers that have no body.
NO_CONTENT = 204


class HttpStream(engine.EngineStream):
    """An answer under way on a client's connection."""

    def __init__(
        self,
        response: httpclient.ClientResponse,
        headers: tuple[tuple[str, str], ...] = (),
    ) -> None:
        self.response = response
        self.status = response.status
        self.content_type = response.headers.get("content-type", "")
        self.headers = headers
        coding = response.headers.get("transfer-encoding", "")
        self.end_marked = (
            "content-length" in response.headers
            or "chunked" in coding.lower()
            or response.status == NO_CONTENT
            or response.connection.method == "HEAD"
        )

    async def read(self, timeout_s: float) -> bytes:
        return await self.response.read(timeout_s)

    async def pipe(self, sink: httpclient.Sink, timeout_s: float) -> bool:
        return await self.response.pipe(sink, timeout_s)

    def close(self) -> None:
        self.response.close()
