"""The operator's versioned configuration, and the lookup of its routes."""

__all__ = [
    "CallerLimits",
    "Configuration",
    "EMPTY_CONFIGURATION",
    "EngineService",
    "Kind",
    "RateLimit",
    "Route",
    "RouteId",
    "RouteMap",
    "Target",
    "Workspace",
]

from collections.abc import Iterable
import enum
import itertools

import msgspec
import xxhash


class Kind(enum.Enum):
    """How requests of a route are run, and which of them may be repeated."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"
    STREAM = "stream"
    BATCH = "batch"


class Target(msgspec.Struct, frozen=True):
    """A service that receives a weighted share of a route's requests."""

    service: str
    weight: float = 1.0


class RouteId(msgspec.Struct, frozen=True):
    """Identifies a route over the versions of the configuration.

    Attributes:
      name: Its name.
      prefix: Its path prefix, which finds it again after it was renamed.
    """

    name: str
    prefix: str


class Route(msgspec.Struct, frozen=True):
    """Where requests of one host name and path prefix go.

    Attributes:
      name: Unique within the configuration.
      host_name: Value of the ``Host`` header.
      prefix: Path prefix; of several that match, the longest is used.
      kind: Which requests may be repeated.
      targets: Services with their weights.
      resumable: Whether a broken stream may continue at another engine.
      timeout_s: Time limit of a request.
      objective_s: Objective for the time to the first event, or to the answer
        if it is not a stream.
      priority: Rank; 0 is the highest priority.
      max_attempts: Number of engines to which one request may be sent.
      due_s: Time in which a batch job should be completed.
      keep_s: Time after which an item may be abandoned.
      waiting_limit: Limit on the tokens of each workspace that wait, over
        all hosts; 0 for none.
      gap_s: Objective for the longest pause between two events of an answer;
        0 if not configured.
      anonymous: Whether callers need no API key.
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
    def id(self) -> RouteId:
        """What identifies the route in later versions."""
        return RouteId(self.name, self.prefix)

    @property
    def repeatable(self) -> bool:
        """Whether a request may run more than once."""
        if self.kind is Kind.STREAM:
            return self.resumable
        return self.kind is not Kind.NON_IDEMPOTENT

    def service_of(self, request_id: str) -> str:
        """Return the service for a request; it is the same on all hosts.

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

    def services_of(self, request_id: str) -> list[str]:
        """Return all services of the route, that for a request first."""
        first = self.service_of(request_id)
        others = (t.service for t in self.targets if t.weight > 0)
        return list(dict.fromkeys([first, *others]))


class EngineService(msgspec.Struct, frozen=True):
    """Configuration of a service that engines run.

    Attributes:
      name: Unique within the configuration.
      slots: Concurrent requests of an engine whose registry entry does not
        give a number.
      connection_limit: Connections that one engine accepts from all hosts.
      cache_tokens: Capacity of an engine's KV cache in tokens.
    """

    name: str
    slots: int = 1
    connection_limit: int = 0
    cache_tokens: int = 0


class RateLimit(msgspec.Struct, frozen=True):
    """Limit on the online requests of a workspace over all hosts.

    Attributes:
      per_s: Requests per second; 0 for no limit.
      burst: Requests beyond that rate in any window.
    """

    per_s: float = 0.0
    burst: float = 0.0

    def requests_in(self, seconds: float) -> float:
        """Return the largest number of requests in a window.

        >>> RateLimit(5, 10).requests_in(2)
        20
        """
        return self.per_s * seconds + self.burst


NO_LIMIT = RateLimit()


class Workspace(msgspec.Struct, frozen=True):
    """A group of callers that share API keys.

    Attributes:
      name: Unique within the configuration.
      key_hashes: Hashes of its API keys, as ``keyring.hash_key`` returns
        them.
      priority: Rank of its online requests, which overrides that of the
        route; None to use that of the route.
      limit: Limit on its online requests.
    """

    name: str
    key_hashes: tuple[str, ...] = ()
    priority: int | None = None
    limit: RateLimit = NO_LIMIT


class CallerLimits(msgspec.Struct, frozen=True):
    """Limits on the size and duration of callers' HTTP requests."""

    head_bytes: int = 32_768
    body_bytes: int = 16_777_216
    head_s: float = 10.0
    idle_s: float = 75.0


class Configuration(msgspec.Struct, frozen=True):
    """One version of the operator's configuration.

    Attributes:
      revision: Version number; 0 before the first is loaded.
      routes: All routes.
      services: By name.
      limits: For callers' connections.
      workspaces: Those that may call; None if callers need no API key.
    """

    revision: int
    routes: tuple[Route, ...] = ()
    services: dict[str, EngineService] = msgspec.field(default_factory=dict)
    limits: CallerLimits = CallerLimits()
    workspaces: tuple[Workspace, ...] | None = None

    @property
    def service_names(self) -> frozenset[str]:
        """Names of all services, including those that only routes mention."""
        routed = {
            target.service for route in self.routes for target in route.targets
        }
        return frozenset(routed | self.services.keys())


EMPTY_CONFIGURATION = Configuration(0)


class RouteMap:
    """Finds the route of a request."""

    def __init__(self, routes: Iterable[Route]) -> None:
        self.by_host: dict[str, list[Route]] = {}
        for route in routes:
            self.by_host.setdefault(route.host_name, []).append(route)
        for found in self.by_host.values():
            found.sort(key=lambda route: -len(route.prefix))
        self.batch_by_name: dict[str, Route] = {}
        self.batch_by_prefix: dict[tuple[str, str], Route] = {}
        for route in itertools.chain.from_iterable(self.by_host.values()):
            if route.kind is Kind.BATCH:
                self.batch_by_name[route.name] = route
                place = route.host_name, route.prefix
                self.batch_by_prefix[place] = route

    def of_host(self, host_name: str) -> tuple[Route, ...]:
        """Return the routes of a host name."""
        return tuple(self.by_host.get(host_name, ()))

    def find(self, host_name: str, path: str) -> Route | None:
        """Return the route with the longest prefix of a path, if any."""
        for route in self.by_host.get(host_name, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def find_batch(self, host_name: str, path: str) -> Route | None:
        """Return the batch route with the longest prefix of a path, if any."""
        for route in self.by_host.get(host_name, ()):
            if route.kind is Kind.BATCH and path.startswith(route.prefix):
                return route
        return None

    def find_accepting(
        self,
        host_name: str,
        path: str,
        accepted_by: RouteId | msgspec.UnsetType,
    ) -> Route | None:
        """Return the batch route that accepted a job, as it is now.

        The paths of a job and of its items do not say which route that is:
        another route may have come whose prefix covers them.

        Args:
          host_name: Host name of the job.
          path: Path to which the job was submitted.
          accepted_by: The route; unset for a job that a host of an earlier
            release accepted, which goes by its path.

        Returns:
          The route, or None if it has been removed.
        """
        if isinstance(accepted_by, msgspec.UnsetType):
            return self.find_batch(host_name, path)
        return self.batch_by_name.get(
            accepted_by.name
        ) or self.batch_by_prefix.get((host_name, accepted_by.prefix))
