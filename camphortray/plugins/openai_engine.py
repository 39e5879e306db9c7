"""Speaks to engines with an OpenAI-like HTTP interface."""

__all__ = ["OpenAiEngine"]

from typing import Any
from typing import TypeVar

import msgspec

from camphortray import engine
from camphortray import errors
from camphortray import httpclient
from camphortray import httpstream
from camphortray import json_reader
from camphortray import request_echo
from camphortray.plugins import http_service

T = TypeVar("T", bound=msgspec.Struct)
DEADLINE = http_service.DEADLINE
NOT_RUN = http_service.NOT_RUN
REQUEST_ID = http_service.REQUEST_ID
RESUME_TOKENS = "x-resume-tokens"
HEAD_TIMEOUT_S = 120.0
# A request with a deadline is ended by that, not by the limit on its header.
DEADLINE_MARGIN_S = 1.0
CONNECT_S = 1.0
CONTROL = httpclient.Timeouts(1.0, 2.0, 2.0)
# Longest time for the body of a refusal or of an answer to a short call.
CONTROL_BODY_S = 2.0


@engine.ENGINES.register("openai")
class OpenAiEngine(engine.Engine):
    """Engines over HTTP.

    Attributes:
      calls: Number of short calls made, for their ids.
    """

    def __init__(self) -> None:
        self.client = httpclient.HttpClient()
        self.calls = 0

    @classmethod
    def from_config(cls) -> "OpenAiEngine":
        return cls()

    async def open(
        self,
        upstream: engine.Upstream,
        request: engine.EngineRequest,
        fresh: bool = False,
    ) -> engine.EngineStream:
        response = await self.client.request(
            upstream.address,
            "POST",
            request.path,
            request_headers(request),
            request_body(request),
            timeouts=timeouts_of(request),
            fresh=fresh,
            echo=request_echo.RequestEcho(REQUEST_ID, request.id),
        )
        try:
            http_service.check_owner(response, upstream)
            if response.status != 200:
                await refuse(response, upstream)
        except errors.UpstreamError as error:
            error.source = response.source
            response.close()
            raise
        except BaseException:
            response.close()
            raise
        return httpstream.HttpStream(response)

    def distrust(self, upstream: engine.Upstream, silence_s: float) -> None:
        self.client.distrust(upstream.address, silence_s)

    async def cancel(self, upstream: engine.Upstream, request_id: str) -> None:
        await self.control(
            upstream, "POST", f"/v1/requests/{request_id}/cancel"
        )

    async def load(self, upstream: engine.Upstream) -> engine.LoadReport:
        body = await self.control(upstream, "GET", "/v1/load")
        return decoded(upstream, body, engine.LoadReport)

    async def events(
        self, upstream: engine.Upstream, after: int
    ) -> engine.CacheEvents:
        body = await self.control(
            upstream, "GET", f"/v1/cache-events?after={after}"
        )
        return decoded(upstream, body, engine.CacheEvents)

    async def order(
        self, upstream: engine.Upstream, order: engine.Order
    ) -> engine.OrderAnswer:
        body = await self.control(
            upstream, "POST", "/v1/orders", msgspec.json.encode(order)
        )
        return decoded(upstream, body, engine.OrderAnswer)

    async def state(self, upstream: engine.Upstream) -> engine.EngineState:
        # State is asked to learn whether an upstream can be reached; a
        # kept connection that went silent would say nothing of that.
        body = await self.control(upstream, "GET", "/v1/state", fresh=True)
        return decoded(upstream, body, engine.EngineState)

    async def control(
        self,
        upstream: engine.Upstream,
        method: str,
        target: str,
        body: bytes = b"",
        fresh: bool = False,
    ) -> bytes:
        """Make a short call and return its body.

        It has an id of its own, so that a late copy of the answer to a
        request is not taken for its answer.

        Raises:
          UpstreamRefused: status other than 200.
          UpstreamBroken: no answer.
        """
        self.calls += 1
        call_id = f"call-{self.calls}"
        status, _, content = await self.client.call(
            upstream.address,
            method,
            target,
            ((REQUEST_ID, call_id),),
            body,
            timeouts=CONTROL,
            fresh=fresh,
            echo=request_echo.RequestEcho(REQUEST_ID, call_id),
            body_s=CONTROL_BODY_S,
        )
        if status != 200:
            raise errors.UpstreamRefused(
                f"status {status}",
                status=status,
                ran=True,
                step=target,
                peer=upstream.name,
            )
        return content

    async def close(self) -> None:
        await self.client.close()


def decoded(upstream: engine.Upstream, body: bytes, kind: type[T]) -> T:
    """Return the content of an answer to a short call.

    Raises:
      UpstreamGarbled: it is not what was asked for, or a part of it.
    """
    try:
        return json_reader.read(body, kind)
    except msgspec.DecodeError as error:
        raise errors.UpstreamGarbled(
            f"no {kind.__name__}: {error}",
            ran=True,
            step="decode",
            peer=upstream.name,
        ) from error


def timeouts_of(request: engine.EngineRequest) -> httpclient.Timeouts:
    """Return the time limits of a request."""
    limit = HEAD_TIMEOUT_S
    if request.deadline_s is not None:
        limit = request.deadline_s + DEADLINE_MARGIN_S
    if not request.silence_s:
        return httpclient.Timeouts(CONNECT_S, limit, limit)
    return httpclient.Timeouts(
        CONNECT_S,
        min(limit, 4 * request.silence_s),
        limit,
        kept_head_s=request.silence_s,
    )


def request_headers(request: engine.EngineRequest) -> list[tuple[str, str]]:
    """Return the headers of a request to an engine."""
    headers = [
        ("content-type", "application/json"),
        (REQUEST_ID, request.id),
    ]
    if request.deadline_s is not None:
        headers.append((DEADLINE, f"{request.deadline_s:.3f}"))
    if request.resume_tokens:
        headers.append((RESUME_TOKENS, str(request.resume_tokens)))
    return headers


def request_body(request: engine.EngineRequest) -> bytes:
    """Return the body, with the text to resume from if there is one."""
    if not request.resume_tokens:
        return request.body
    data: dict[str, Any] = json_reader.read(request.body)
    data["resume"] = {
        "text": request.resume_text,
        "tokens": request.resume_tokens,
    }
    return msgspec.json.encode(data)


async def refuse(
    response: httpclient.ClientResponse, upstream: engine.Upstream
) -> None:
    """Raise the refusal that an answer stands for."""
    try:
        body = await response.body(CONTROL_BODY_S)
    except errors.UpstreamError:
        # What it says stands in its head.
        body = b""
    not_run = response.is_own and NOT_RUN in response.headers
    raise errors.UpstreamRefused(
        message_of(body),
        status=response.status,
        ran=not not_run,
        leaving="x-leaving" in response.headers,
        step="open",
        peer=upstream.name,
    )


def message_of(body: bytes) -> str:
    """Return the message of a JSON error."""
    try:
        return str(json_reader.read(body)["error"]["message"])
    except (msgspec.DecodeError, LookupError, TypeError):
        return body[:200].decode("latin1")
