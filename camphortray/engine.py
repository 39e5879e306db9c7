"""A model engine as the system meets it: the base class and its types.

The in-memory sibling is ``MemoryEngine``, which answers at once.
"""

__all__ = [
    "CacheEvent",
    "CacheEvents",
    "ENGINES",
    "Engine",
    "EngineRequest",
    "EngineState",
    "EngineStream",
    "FINAL",
    "LoadReport",
    "MemoryEngine",
    "Order",
    "OrderAnswer",
    "Upstream",
]

import abc
from collections.abc import AsyncIterator
from collections.abc import Callable
import dataclasses
import json
from typing import Any
from typing import Literal

from camphortray import config as configs
from camphortray import errors
from camphortray import registry

# Answers of an engine that another engine would give too.
FINAL = frozenset({400, 413, 422})


@dataclasses.dataclass(frozen=True, slots=True)
class Upstream:
    """An upstream as the settings declare it.

    Attributes:
      name: Unique in its region.
      address: Where it listens.
      availability_zone: Where it stands.
      plugin: Which plug-in speaks to it.
      checks_fencing: Whether it refuses orders with an old number.
      slots: Requests it may run at once, as declared.
      instance: Id that the engine itself goes by, where it differs from
        the name.
      max_idle: Idle connections that this host may keep to it.
    """

    name: str
    address: configs.Address
    availability_zone: str
    plugin: str = "openai"
    checks_fencing: bool = False
    slots: int = 32
    instance: str = ""
    max_idle: int = 64


@dataclasses.dataclass(frozen=True, slots=True)
class EngineRequest:
    """A request as sent to an engine.

    Attributes:
      id: Echoed by the engine; checked on arrival.
      path: e.g. ``"/v1/chat/completions"``.
      body: JSON as the engine is to read it.
      stream: Whether the answer comes as server-sent events.
      deadline_s: Seconds left, or None.
      resume_text: Text already given to the caller; the engine goes on
        right behind it.
      resume_tokens: Number of tokens in ``resume_text``.
      batch: Whether it is batch work; engines know no priorities, so
        this is for the record only.
      silence_s: Longest silence to be expected before the answer begins;
        a kept connection silent for longer is taken for dead, a new one
        after four times as long. 0 for no such limit.
      method: HTTP method.
      headers: The caller's headers that travel on, in order.
      resume_after: Id of the last event that has come; the engine goes on
        with the one after it. Empty to begin at the start.
      repeatable: Whether it may run more than once.
      workspace: On whose behalf it runs; empty if for nobody in particular.
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


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReport:
    """Load as an engine reports it, with a lag.

    Attributes:
      running: Requests in its batch.
      waiting: Requests it has admitted but not begun.
      kv_used: Share of KV cache in use, 0 to 1.
      age_s: Age of the report when sent.
    """

    running: int
    waiting: int
    kv_used: float
    age_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class CacheEvent:
    """A prefix entered or left an engine's cache.

    Attributes:
      sequence: Number of the event; numbers missing are lost events.
      prefix: Hash of the leading blocks.
      stored: True if it entered, False if it was evicted.
    """

    sequence: int
    prefix: str
    stored: bool


@dataclasses.dataclass(frozen=True, slots=True)
class CacheEvents:
    """Cache events after a number; late, and perhaps with gaps."""

    next: int
    events: tuple[CacheEvent, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """An order to an upstream.

    Attributes:
      action: What to do.
      model: Which model.
      version: Which version of it; empty for ``role``.
      adapter: Which adapter on it, or empty.
      role: New role, for ``role``.
      fencing: Epoch of the owner that gives the order.
    """

    action: Literal["load", "unload", "role"]
    model: str = ""
    version: str = ""
    adapter: str = ""
    role: str = ""
    fencing: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class OrderAnswer:
    """What became of an order.

    Attributes:
      accepted: Whether the upstream took it.
      reason: Why not, e.g. ``"stale fencing token"``.
    """

    accepted: bool
    reason: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class EngineState:
    """What an engine has loaded.

    Attributes:
      models: Pairs of model and version that it can serve.
      loading: Pairs that it is loading.
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
    """An answer under way.

    Attributes:
      status: HTTP status of the answer.
      content_type: Its media type.
      headers: Headers that belong to the answer, not to its connection.
    """

    status: int = 200
    content_type: str = "application/json"
    headers: tuple[tuple[str, str], ...] = ()

    @abc.abstractmethod
    async def read(self, timeout_s: float) -> bytes:
        """Return the bytes that have come, or ``b""`` at a clean end.

        Raises:
          UpstreamBroken: cut off.
          UpstreamTimeout: silent for ``timeout_s``.
        """

    async def pipe(
        self, sink: Callable[[bytes], bool], timeout_s: float
    ) -> bool:
        """Give the answer to a sink as it comes; see ``read``.

        Return True at a clean end, and False if the sink returned True to
        ask for a pause; calling again then goes on.
        """
        while data := await self.read(timeout_s):
            if sink(data):
                return False
        return True

    @abc.abstractmethod
    def close(self) -> None:
        """Stop; an answer not read to its end is cancelled."""


class Engine(abc.ABC):
    """Speaks to engines of one kind."""

    @classmethod
    @abc.abstractmethod
    def from_config(cls) -> "Engine":
        """Build."""

    @abc.abstractmethod
    async def open(
        self, upstream: Upstream, request: EngineRequest, fresh: bool = False
    ) -> EngineStream:
        """Send a request; return when its answer begins.

        Args:
          upstream: Where to.
          request: What to run.
          fresh: Whether to insist on a new connection.

        Raises:
          UpstreamRefused: the engine refused; ``ran`` says if it may
            have run.
          UpstreamBroken: connection failed; ``ran`` likewise.
          UpstreamTimeout: no answer in time.
        """

    @abc.abstractmethod
    async def cancel(self, upstream: Upstream, request_id: str) -> None:
        """Cancel a request, on a connection of its own."""

    @abc.abstractmethod
    async def load(self, upstream: Upstream) -> LoadReport:
        """Return the engine's load."""

    @abc.abstractmethod
    async def events(self, upstream: Upstream, after: int) -> CacheEvents:
        """Return cache events after number ``after``."""

    @abc.abstractmethod
    async def order(self, upstream: Upstream, order: Order) -> OrderAnswer:
        """Give an order."""

    @abc.abstractmethod
    async def state(self, upstream: Upstream) -> EngineState:
        """Return what is loaded."""

    async def close(self) -> None:
        """Release connections."""


ENGINES: registry.Registry[Engine] = registry.Registry("engine")


class MemoryStream(EngineStream):
    """Chunks held in memory; an exception among them is raised."""

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
    """Engines in memory, scripted by a test.

    Attributes:
      script: Called for each request; returns the chunks of its answer,
        or raises.
      seen: Every request that reached an upstream, with its name.
      cancelled: Ids of requests cancelled.
      states: State by name of upstream.
    """

    def __init__(
        self,
        script: Callable[[Upstream, EngineRequest], list[Any]] | None = None,
    ) -> None:
        self.script = script or one_word
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
                "no state", ran=False, step="state", peer=upstream.name
            ) from None


def one_word(upstream: Upstream, request: EngineRequest) -> list[Any]:
    """Answer with the name of the upstream."""
    text = f"answered by {upstream.name}"
    return [json.dumps({"choices": [{"text": text}]}).encode()]


async def read_all(stream: EngineStream, timeout_s: float) -> bytes:
    """Return a whole answer."""
    parts = [part async for part in iterate(stream, timeout_s)]
    return b"".join(parts)


async def iterate(
    stream: EngineStream, timeout_s: float
) -> AsyncIterator[bytes]:
    """Yield an answer as it comes."""
    while data := await stream.read(timeout_s):
        yield data
