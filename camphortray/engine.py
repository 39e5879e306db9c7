"""Engine plug-ins: the base class, its types and an in-memory engine."""

__all__ = [
    "CacheEvent",
    "CacheEvents",
    "ENGINES",
    "Engine",
    "EngineRequest",
    "EngineState",
    "EngineStream",
    "FINAL_STATUSES",
    "LoadReport",
    "MemoryEngine",
    "Order",
    "OrderAnswer",
    "Upstream",
]

import abc
from collections.abc import AsyncIterator
from collections.abc import Callable
from collections.abc import Sequence
import json
from typing import Any
from typing import Literal

import msgspec

from camphortray import body_budget
from camphortray import config as configs
from camphortray import errors
from camphortray import registry

# Status codes that are not retried, as every engine would return the same.
FINAL_STATUSES = frozenset({400, 413, 422})


class Upstream(msgspec.Struct, frozen=True):
    """An upstream as declared in the settings.

    Attributes:
      name: Name, unique in its region.
      address: Address on which it listens.
      availability_zone: Zone in which it runs.
      plugin: Name of the engine plug-in to use.
      checks_fencing: Whether it refuses orders with an old fencing token.
      slots: Declared number of concurrent requests.
      instance: Id that the engine uses for itself, if other than the name.
      max_idle: Largest number of idle connections from this host.
      version: Version of its software; empty if not known.
      born: Start of its incarnation in Unix milliseconds, or 0 if not
        reported.
    """

    name: str
    address: configs.Address
    availability_zone: str
    plugin: str = "openai"
    checks_fencing: bool = False
    slots: int = 32
    instance: str = ""
    max_idle: int = 64
    version: str = ""
    born: int = 0


class EngineRequest(msgspec.Struct, frozen=True):
    """A request as sent to an engine.

    Attributes:
      id: Request id, echoed by the engine and checked in its response.
      path: e.g. ``"/v1/chat/completions"``.
      body: JSON body in the form that the engine expects.
      stream: Whether the response is sent as server-sent events.
      deadline_s: Seconds left until the deadline, or None.
      resume_text: Text already sent to the caller; the engine continues
        after it.
      resume_tokens: Number of tokens in ``resume_text``.
      batch: Whether it is batch work; informational only, as engines have
        no priorities.
      silence_s: Longest expected time to the start of the response. A
        reused connection is considered dead after this time and a new one
        after four times as long; 0 disables the limit.
      method: HTTP method.
      headers: Forwarded headers of the caller, in order.
      resume_after: Id of the last event received; the engine continues
        with the next one. Empty to start from the beginning.
      repeatable: Whether it may run more than once.
      workspace: Workspace on whose behalf it runs, or empty.
      resumable: Whether it resumes a run, or may be resumed.
    """

    id: str
    path: str
    body: bytes
    stream: bool
    deadline_s: float | None = None
    resume_text: str = ""
    resume_tokens: int = 0
    batch: bool = False
    silence_s: float = 0.0
    method: str = "POST"
    headers: tuple[tuple[str, str], ...] = ()
    resume_after: str = ""
    repeatable: bool = True
    workspace: str = ""
    resumable: bool = False


class LoadReport(msgspec.Struct, frozen=True):
    """Load reported by an engine; it lags behind the actual load.

    Attributes:
      running: Requests in its batch.
      waiting: Requests admitted but not started.
      kv_used: Share of KV cache in use, 0 to 1.
      age_s: Age of the report when sent.
    """

    running: int
    waiting: int
    kv_used: float
    age_s: float = 0.0


class CacheEvent(msgspec.Struct, frozen=True):
    """A prefix was stored in or evicted from an engine's cache.

    Attributes:
      sequence: Sequence number; gaps are lost events.
      prefix: Hash of the leading blocks.
      stored: True if it was stored, False if it was evicted.
    """

    sequence: int
    prefix: str
    stored: bool


class CacheEvents(msgspec.Struct, frozen=True):
    """Cache events after a sequence number; delayed, possibly with gaps."""

    next: int
    events: tuple[CacheEvent, ...]


class Order(msgspec.Struct, frozen=True):
    """A command to an upstream.

    Attributes:
      action: Load a model, unload one, or change the role.
      model: Name of the model.
      version: Version of the model; empty for ``role``.
      adapter: Name of an adapter of the model, or empty.
      role: New role, for ``role``.
      fencing: Epoch of the owner that issues the order.
    """

    action: Literal["load", "unload", "role"]
    model: str = ""
    version: str = ""
    adapter: str = ""
    role: str = ""
    fencing: int = 0


class OrderAnswer(msgspec.Struct, frozen=True):
    """Response to an order.

    Attributes:
      accepted: Whether the upstream accepted it.
      reason: Why it did not, e.g. ``"stale fencing token"``.
    """

    accepted: bool
    reason: str = ""


class EngineState(msgspec.Struct, frozen=True):
    """Models loaded in an engine, and its state.

    Attributes:
      models: Pairs of model and version that it can serve.
      loading: Pairs of model and version that it is loading.
      adapters: Pairs of model and adapter.
      role: e.g. ``"mixed"``, ``"prefill"``, ``"decode"``.
      draining: Whether it takes no new work.
      incarnation: Changes with each restart.
    """

    models: tuple[tuple[str, str], ...]
    loading: tuple[tuple[str, str], ...] = ()
    adapters: tuple[tuple[str, str], ...] = ()
    role: str = "mixed"
    draining: bool = False
    incarnation: int = 0


class EngineStream(abc.ABC):
    """A response being received.

    Attributes:
      status: HTTP status.
      content_type: Media type.
      headers: End-to-end headers, without those of the connection.
      end_marked: Whether a length or chunks show where it ends, or it has no
        body; else it ends with its connection, as it also does when the
        engine crashes.
    """

    end_marked: bool = True
    status: int = 200
    content_type: str = "application/json"
    headers: tuple[tuple[str, str], ...] = ()

    @abc.abstractmethod
    async def read(self, timeout_s: float) -> bytes:
        """Return the bytes received, or ``b""`` at the regular end.

        Raises:
          UpstreamBroken: the response was truncated.
          UpstreamTimeout: nothing was received for ``timeout_s``.
        """

    async def pipe(
        self, sink: Callable[[bytes], bool], timeout_s: float
    ) -> bool:
        """Pass the response to a sink as it is received; see ``read``.

        Return True at the regular end, or False if the sink returned True
        to request a pause; another call then continues.
        """
        while data := await self.read(timeout_s):
            if sink(data):
                return False
        return True

    @abc.abstractmethod
    def close(self) -> None:
        """Close the stream; an unfinished response is cancelled."""


class Engine(abc.ABC):
    """Client for engines of one kind."""

    @classmethod
    @abc.abstractmethod
    def from_config(cls) -> "Engine":
        """Create the client."""

    @abc.abstractmethod
    async def open(
        self, upstream: Upstream, request: EngineRequest, fresh: bool = False
    ) -> EngineStream:
        """Send a request; return when its response begins.

        Args:
          upstream: Upstream to send it to.
          request: Request to run.
          fresh: Whether to require a new connection.

        Raises:
          UpstreamRefused: the engine refused; ``ran`` states whether the
            request may have run.
          UpstreamBroken: the connection failed; ``ran`` as above.
          UpstreamTimeout: no response in time.
        """

    def prompt_segments(
        self, headers: Sequence[tuple[str, str]]
    ) -> tuple[str, ...]:
        """Return the prompt segments that a request shares with others.

        Args:
          headers: Headers of the request.

        Returns:
          Their identifiers in order, without the segment that belongs to the
          request or its session alone; empty if not known.
        """
        return ()

    def distrust(self, upstream: Upstream, silence_s: float) -> None:
        """Drop idle connections to an upstream that stayed silent.

        Args:
          upstream: The upstream.
          silence_s: For how long it has been silent, in seconds.
        """

    @abc.abstractmethod
    async def cancel(self, upstream: Upstream, request_id: str) -> None:
        """Cancel a request over a separate connection."""

    @abc.abstractmethod
    async def load(self, upstream: Upstream) -> LoadReport:
        """Return the engine's load."""

    @abc.abstractmethod
    async def events(self, upstream: Upstream, after: int) -> CacheEvents:
        """Return the cache events after sequence number ``after``."""

    @abc.abstractmethod
    async def order(self, upstream: Upstream, order: Order) -> OrderAnswer:
        """Send an order."""

    @abc.abstractmethod
    async def state(self, upstream: Upstream) -> EngineState:
        """Return the engine's state."""

    async def close(self) -> None:
        """Close all connections."""


ENGINES: registry.Registry[Engine] = registry.Registry("engine")


class MemoryStream(EngineStream):
    """Returns chunks from memory; exceptions among them are raised."""

    def __init__(self, chunks: list[bytes | Exception]) -> None:
        self.chunks = chunks
        self.closed = False

    async def read(self, timeout_s: float) -> bytes:
        if not self.chunks:
            return b""
        chunk = self.chunks.pop(0)
        if isinstance(chunk, Exception):
            raise chunk
        return chunk

    def close(self) -> None:
        self.closed = True


@ENGINES.register("memory")
class MemoryEngine(Engine):
    """Simulated engines for tests.

    Attributes:
      script: Called for each request; returns the chunks of its response,
        or raises.
      seen: Name of the upstream and request, for every request sent.
      cancelled: Ids of cancelled requests.
      orders: Name of the upstream and order, for every order sent.
      states: State by name of upstream.
      loads: Load by name of upstream.
    """

    def __init__(
        self,
        script: Callable[[Upstream, EngineRequest], list[Any]] | None = None,
    ) -> None:
        self.script = script or name_response
        self.seen: list[tuple[str, EngineRequest]] = []
        self.cancelled: list[str] = []
        self.orders: list[tuple[str, Order]] = []
        self.states: dict[str, EngineState] = {}
        self.loads: dict[str, LoadReport] = {}

    @classmethod
    def from_config(cls) -> "MemoryEngine":
        return cls()

    async def open(
        self, upstream: Upstream, request: EngineRequest, fresh: bool = False
    ) -> EngineStream:
        self.seen.append((upstream.name, request))
        stream = MemoryStream(self.script(upstream, request))
        if request.stream:
            stream.content_type = "text/event-stream"
        return stream

    async def cancel(self, upstream: Upstream, request_id: str) -> None:
        self.cancelled.append(request_id)

    async def load(self, upstream: Upstream) -> LoadReport:
        return self.loads.get(upstream.name, LoadReport(0, 0, 0.0))

    async def events(self, upstream: Upstream, after: int) -> CacheEvents:
        return CacheEvents(after, ())

    async def order(self, upstream: Upstream, order: Order) -> OrderAnswer:
        self.orders.append((upstream.name, order))
        return OrderAnswer(True)

    async def state(self, upstream: Upstream) -> EngineState:
        try:
            return self.states[upstream.name]
        except KeyError:
            raise errors.UpstreamBroken(
                "no state is defined for the upstream",
                ran=False,
                step="state",
                peer=upstream.name,
            ) from None


def name_response(upstream: Upstream, request: EngineRequest) -> list[Any]:
    """Return a response with the name of the upstream."""
    text = f"answered by {upstream.name}"
    return [json.dumps({"choices": [{"text": text}]}).encode()]


async def read_all(
    stream: EngineStream,
    timeout_s: float,
    on_part: Callable[[], None] | None = None,
) -> bytes:
    """Return the whole body of a response.

    Args:
      stream: The response.
      timeout_s: Longest wait for each part, in seconds.
      on_part: Called with each part, if not None.

    Raises:
      UpstreamBroken: it was truncated, or is too large.
      UpstreamTimeout: nothing was received for ``timeout_s``.
    """
    with body_budget.ANSWERS.hold(stream.close) as body:
        async for part in iterate(stream, timeout_s):
            body.add(part)
            if on_part is not None:
                on_part()
        whole = body.whole()
    check_ended(stream, bool(whole))
    return whole


def check_ended(stream: EngineStream, has_body: bool) -> None:
    """Check that an answer that has ended is not one that never began.

    Without a length or chunks, an engine that crashes behind its head has
    sent the same as one whose answer is empty.

    Raises:
      UpstreamBroken: it is a success that says nothing, by its end alone.
    """
    if not has_body and not stream.end_marked and stream.status // 100 == 2:
        raise errors.UpstreamBroken(
            "closed before its body", ran=True, step="read"
        )


async def iterate(
    stream: EngineStream, timeout_s: float
) -> AsyncIterator[bytes]:
    """Yield the body of a response as it is received."""
    while data := await stream.read(timeout_s):
        yield data
