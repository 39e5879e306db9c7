"""A plain service beside the engines: its base class and one in memory."""

__all__ = [
    "MemoryService",
    "SERVICES",
    "Service",
    "ServiceAnswer",
    "ServiceCall",
]

import abc
from collections.abc import Callable

import msgspec

from camphortray import engine
from camphortray import registry


class ServiceCall(msgspec.Struct, frozen=True):
    """One call to a plain service.

    Attributes:
      id: Request id, echoed by the service.
      method: HTTP method.
      target: Path and query below the service.
      headers: End-to-end headers only, lower-case names.
      body: Whole body.
      deadline_s: Seconds left, or None.
    """

    id: str
    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    deadline_s: float | None = None


class ServiceAnswer(msgspec.Struct, frozen=True):
    """A whole answer."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class Service(abc.ABC):
    """Speaks to plain services of one kind."""

    @classmethod
    @abc.abstractmethod
    def from_config(cls) -> "Service":
        """Build."""

    @abc.abstractmethod
    async def call(
        self,
        upstream: engine.Upstream,
        call: ServiceCall,
        fresh: bool = False,
    ) -> ServiceAnswer:
        """Make a call.

        Raises:
          UpstreamRefused: refused; ``ran`` says whether it may have run.
          UpstreamBroken: connection failed; ``ran`` likewise.
          UpstreamTimeout: no answer in time.
        """

    async def close(self) -> None:
        """Release connections."""


SERVICES: registry.Registry[Service] = registry.Registry("service")


@SERVICES.register("memory")
class MemoryService(Service):
    """Services in memory, scripted by a test."""

    def __init__(
        self,
        script: Callable[[engine.Upstream, ServiceCall], ServiceAnswer]
        | None = None,
    ) -> None:
        self.script = script or echo
        self.seen: list[tuple[str, ServiceCall]] = []

    @classmethod
    def from_config(cls) -> "MemoryService":
        return cls()

    async def call(
        self,
        upstream: engine.Upstream,
        call: ServiceCall,
        fresh: bool = False,
    ) -> ServiceAnswer:
        self.seen.append((upstream.name, call))
        return self.script(upstream, call)


def echo(upstream: engine.Upstream, call: ServiceCall) -> ServiceAnswer:
    """Answer with the body of the call."""
    return ServiceAnswer(200, (), call.body)
