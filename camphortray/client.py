"""A small library for callers: finds hosts, connects, and tries again.

For example::

    client = Client(["10.0.0.1:8000"], key="secret")
    answer = await client.request("GET", "/v1/models")
"""

__all__ = ["Answer", "Client"]

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Sequence
import contextlib
import random
import ssl
from typing import Any
import urllib.parse
import uuid

import msgspec

from camphortray import config as configs
from camphortray import endpoint_cache
from camphortray import errors
from camphortray import httpclient
from camphortray import json_reader

MAX_TRIES = 4
HOSTS_TIMEOUTS = httpclient.Timeouts(1.0, 2.0, 2.0)
TIMEOUTS = httpclient.Timeouts(1.0, 120.0, 60.0)
DEADLINE_HEADER = "camphortray-deadline"
KEY_HEADER = "idempotency-key"


class Answer:
    """An answer, read as it comes.

    Attributes:
      status: HTTP status.
      headers: Lower-case names.
      address: Address of the host that gives it.
    """

    def __init__(
        self,
        response: httpclient.ClientResponse,
        address: str,
        endpoints: endpoint_cache.EndpointCache,
    ) -> None:
        self.response = response
        self.status = response.status
        self.headers = response.headers
        self.address = address
        self.endpoints = endpoints
        self.closed = False

    async def read(self) -> bytes:
        """Return what has come, or ``b""`` at a clean end.

        Raises:
          UpstreamBroken: the answer was cut off; it is not whole.
        """
        try:
            data = await self.response.read()
        except errors.UpstreamBroken:
            self.close()
            raise
        if not data:
            self.close()
        return data

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the answer as it comes; see ``read``."""
        while data := await self.read():
            yield data

    async def body(self) -> bytes:
        """Return the whole answer; see ``read``."""
        return b"".join([data async for data in self.chunks()])

    async def json(self) -> Any:
        """Return the whole answer as plain data."""
        return json_reader.read(await self.body())

    def close(self) -> None:
        """Give up on the rest."""
        if not self.closed:
            self.closed = True
            self.endpoints.in_flight[self.address] -= 1
            self.response.close()


class Client:
    """One caller.

    Args:
      known: ``IP:PORT`` of some hosts, to ask first.
      key: Key of the caller's workspace.
      availability_zone: Where the caller stands, if it knows.
      tls: Context to connect with, or None for plain TCP.
      seed: Seeds chance, for tests.
    """

    def __init__(
        self,
        known: Sequence[str],
        *,
        key: str = "",
        availability_zone: str = "",
        tls: ssl.SSLContext | None = None,
        seed: int | None = None,
    ) -> None:
        self.rng = random.Random(seed)
        self.endpoints = endpoint_cache.EndpointCache(known, self.rng)
        self.http = httpclient.HttpClient(TIMEOUTS, tls)
        self.key = key
        self.availability_zone = availability_zone
        self.name = uuid.uuid4().hex
        self.refreshing: asyncio.Task[None] | None = None

    async def __aenter__(self) -> "Client":
        return self

    async def __aexit__(self, *exc: object) -> None:
        await self.close()

    async def request(
        self,
        method: str,
        target: str,
        body: bytes = b"",
        headers: httpclient.Headers = (),
        *,
        idempotent: bool = False,
        idempotency_key: str = "",
        deadline_s: float = 60.0,
    ) -> Answer:
        """Send a request; return once the head of its answer is here.

        It is sent again, to another address, only if it was certainly
        not run, or is idempotent, or the hosts know it by its key.

        Args:
          method: HTTP method.
          target: Path and query.
          body: Body to send.
          headers: Further headers.
          idempotent: Whether it may run twice.
          idempotency_key: Key by which the hosts know it again.
          deadline_s: Longest wait, tries and pauses included.

        Raises:
          UpstreamBroken: no host answered; ``ran`` says whether it may
            have run.
        """
        now = asyncio.get_running_loop().time()
        sending = Sending(
            endpoint_cache.Plan(method, idempotent or bool(idempotency_key)),
            target,
            body,
            [*headers, *self.own_headers(idempotency_key)],
            now + deadline_s,
        )
        while True:
            answer = await self.attempt(sending)
            if answer is not None:
                return answer

    def own_headers(self, idempotency_key: str) -> list[tuple[str, str]]:
        """Return the headers that every request of this caller has."""
        made = []
        if self.key:
            made.append(("authorization", f"Bearer {self.key}"))
        if idempotency_key:
            made.append((KEY_HEADER, idempotency_key))
        return made

    async def attempt(self, sending: "Sending") -> Answer | None:
        """Try one address; return None if another try may follow."""
        address = await self.address_for(sending)
        sending.tries += 1
        self.endpoints.in_flight[address] += 1
        try:
            response = await self.send(sending, address)
        except errors.UpstreamBroken as error:
            self.endpoints.in_flight[address] -= 1
            self.endpoints.failed(address, asyncio.get_running_loop().time())
            sending.tried |= {address}
            ran = "unknown" if error.ran else "no"
            if not sending.again(0, ran):
                raise
            return None
        except BaseException:
            self.endpoints.in_flight[address] -= 1
            raise
        return await self.judge(
            sending, Answer(response, address, self.endpoints)
        )

    async def send(
        self, sending: "Sending", address: str
    ) -> httpclient.ClientResponse:
        """Send a request to an address."""
        left = sending.deadline - asyncio.get_running_loop().time()
        return await self.http.request(
            configs.Address.from_text(address),
            sending.plan.method,
            sending.target,
            [*sending.headers, (DEADLINE_HEADER, f"{max(left, 0.001):.3f}")],
            sending.body,
            timeouts=httpclient.Timeouts(
                min(TIMEOUTS.connect_s, max(left, 0.001)),
                max(left, 0.001),
                TIMEOUTS.chunk_s,
            ),
            # Whether it ran could not be told if a kept connection turned
            # out to be dead, so only what may be repeated uses one.
            fresh=not sending.plan.repeatable,
        )

    async def judge(self, sending: "Sending", answer: Answer) -> Answer | None:
        """Return the answer, or None after the pause before a new try."""
        ran = answer.headers.get("camphortray-ran", "")
        if not ran or not sending.again(answer.status, ran):
            return answer
        pause_s = endpoint_cache.pause_before(
            answer.headers.get("retry-after", ""), sending.tries, self.rng
        )
        now = asyncio.get_running_loop().time()
        if now + pause_s >= sending.deadline:
            return answer
        sending.tried |= {answer.address}
        with contextlib.suppress(errors.UpstreamBroken):
            await answer.body()
        answer.close()
        await asyncio.sleep(pause_s)
        return None

    async def address_for(self, sending: "Sending") -> str:
        """Return the address to try, asking for hosts if need be."""
        await self.look_up()
        now = asyncio.get_running_loop().time()
        address = self.endpoints.choose(sending.tried, now)
        if address is None:
            # All were tried; whoever was full may have room by now.
            sending.tried = frozenset()
            address = self.endpoints.choose(sending.tried, now)
        if address is None:
            raise errors.UpstreamBroken(
                "no address is known", ran=False, step="look up"
            )
        return address

    async def look_up(self) -> None:
        """Have addresses; ask ahead of time, so that no request waits."""
        now = asyncio.get_running_loop().time()
        if now < self.endpoints.refresh_at:
            return
        if self.refreshing is None or self.refreshing.done():
            self.refreshing = asyncio.ensure_future(self.refresh())
        if now >= self.endpoints.expires:
            await asyncio.shield(self.refreshing)

    async def refresh(self) -> None:
        """Ask hosts for addresses until one answers."""
        fields = {"caller": self.name}
        if self.availability_zone:
            fields["availability_zone"] = self.availability_zone
        target = f"/v1/hosts?{urllib.parse.urlencode(fields)}"
        loop = asyncio.get_running_loop()
        for address in self.endpoints.sources(loop.time()):
            try:
                status, _, body = await self.http.call(
                    configs.Address.from_text(address),
                    "GET",
                    target,
                    timeouts=HOSTS_TIMEOUTS,
                )
                answer = json_reader.read(body)
                hosts = [host["address"] for host in answer["hosts"]]
                keep_s = float(answer["keep_s"])
            except (errors.UpstreamBroken, msgspec.DecodeError, KeyError):
                self.endpoints.failed(address, loop.time())
                continue
            if status == 200 and hosts:
                self.endpoints.take(hosts, keep_s, loop.time())
                return

    async def close(self) -> None:
        """Drop all connections."""
        if self.refreshing is not None:
            self.refreshing.cancel()
        await self.http.close()


class Sending:
    """A request on its way.

    Attributes:
      tries: Addresses tried, counting repeats.
      tried: Those to avoid.
    """

    def __init__(
        self,
        plan: endpoint_cache.Plan,
        target: str,
        body: bytes,
        headers: list[tuple[str, str]],
        deadline: float,
    ) -> None:
        self.plan = plan
        self.target = target
        self.body = body
        self.headers = headers
        self.deadline = deadline
        self.tries = 0
        self.tried: frozenset[str] = frozenset()

    def again(self, status: int, ran: str) -> bool:
        """Return whether it may be sent once more."""
        late = asyncio.get_running_loop().time() >= self.deadline
        return (
            self.tries < MAX_TRIES
            and not late
            and endpoint_cache.may_resend(self.plan, status, ran)
        )
