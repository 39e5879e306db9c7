"""Routes of an operator's versioned configuration, and how one is found."""

__all__ = [
    "CallerLimits",
    "Configuration",
    "EngineService",
    "Kind",
    "NOTHING",
    "Route",
    "RouteMap",
    "Target",
    "Workspace",
]

from collections.abc import Iterable
import dataclasses
import enum

import xxhash


class Kind(enum.Enum):
    """What may be repeated of a request."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"
    STREAM = "stream"
    BATCH = "batch"


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """A service that a route leads to, with its share."""

    service: str
    weight: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Where requests of one host name and path prefix go.

    Attributes:
      name: Unique in its configuration.
      host_name: Of the callers' ``Host`` header.
      prefix: Begins the path; the longest one that fits decides.
      kind: What may be repeated.
      targets: Services, with shares.
      resumable: Whether a broken stream may go on at another engine.
      timeout_s: Longest time a caller is kept waiting, in seconds.
      objective_s: Time to the first event, or to the answer, in seconds.
      priority: Rank, 0 first.
      max_attempts: Engines to which one request may be sent.
      due_s: Time in which a batch job should be done, in seconds.
      keep_s: Time after which an item may be given up, in seconds.
      waiting_limit: Tokens that may wait on the route over all hosts; 0
        for no limit.
      gap_s: Longest pause between events of an answer that is in time, in
        seconds; 0 if not told.
      anonymous: Whether its callers need no key.
    """

    name: str
    host_name: str
    prefix: str
    kind: Kind
    targets: tuple[Target, ...]
    resumable: bool = False
    timeout_s: float = 30.0
    objective_s: float = 1.0
    priority: int = 0
    max_attempts: int = 1
    due_s: float = 0.0
    keep_s: float = 0.0
    waiting_limit: int = 0
    gap_s: float = 0.0
    anonymous: bool = False

    @property
    def repeatable(self) -> bool:
        """Whether a request may run more than once."""
        if self.kind is Kind.STREAM:
            return self.resumable
        return self.kind is not Kind.NON_IDEMPOTENT

    def service_of(self, request_id: str) -> str:
        """Return the service for a request, alike on all hosts.

        >>> Route("r", "h", "/", Kind.STREAM, (Target("s"),)).service_of("1")
        's'
        """
        total = sum(target.weight for target in self.targets)
        point = xxhash.xxh64_intdigest(request_id.encode()) / 2**64 * total
        for target in self.targets:
            point -= target.weight
            if point < 0:
                return target.service
        return self.targets[-1].service


@dataclasses.dataclass(frozen=True, slots=True)
class EngineService:
    """A service of engines, as far as it matters here.

    Attributes:
      name: Its name.
      slots: Requests an engine runs at once, unless its entry tells.
      connection_limit: Connections one engine takes from all hosts.
      cache_tokens: Tokens that an engine's memory holds.
    """

    name: str
    slots: int = 1
    connection_limit: int = 0
    cache_tokens: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Workspace:
    """Who may call.

    Attributes:
      name: Unique in its configuration.
      key_hashes: Of its keys, as ``keyring.hash_key`` returns them.
      priority: Rank of its online requests, before that of their route;
        None for that of the route.
    """

    name: str
    key_hashes: tuple[str, ...] = ()
    priority: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """Bounds on what callers send; sizes in bytes, times in seconds."""

    head_bytes: int = 32_768
    body_bytes: int = 16_777_216
    head_s: float = 10.0
    idle_s: float = 75.0


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """One version of what the operator declares.

    Attributes:
      revision: Version, 0 before the first.
      routes: All routes.
      services: By name.
      limits: For callers' connections.
      workspaces: Who may call; None where callers need no key.
    """

    revision: int
    routes: tuple[Route, ...] = ()
    services: dict[str, EngineService] = dataclasses.field(
        default_factory=dict
    )
    limits: CallerLimits = CallerLimits()
    workspaces: tuple[Workspace, ...] | None = None

    @property
    def service_names(self) -> frozenset[str]:
        """Names of all services, also of those that only routes name."""
        routed = {
            target.service for route in self.routes for target in route.targets
        }
        return frozenset(routed | self.services.keys())


NOTHING = Configuration(0)


class RouteMap:
    """Finds the route of a request."""

    def __init__(self, routes: Iterable[Route]) -> None:
        self.by_host: dict[str, list[Route]] = {}
        for route in routes:
            self.by_host.setdefault(route.host_name, []).append(route)
        for held in self.by_host.values():
            held.sort(key=lambda route: -len(route.prefix))

    def of_host(self, host_name: str) -> tuple[Route, ...]:
        """Return the routes of a host name."""
        return tuple(self.by_host.get(host_name, ()))

    def find(self, host_name: str, path: str) -> Route | None:
        """Return the route with the longest prefix that begins a path."""
        for route in self.by_host.get(host_name, ()):
            if path.startswith(route.prefix):
                return route
        return None
