"""State of each upstream on this host: load, health and draining."""

__all__ = ["Probe", "Upstreams"]

import asyncio
from collections.abc import Coroutine
from collections.abc import Iterator
import contextlib
import enum
import functools
from typing import Any
from typing import ClassVar

from camphortray import draining as leaving_module
from camphortray import engine
from camphortray import errors
from camphortray import kernel
from camphortray import log_backends
from camphortray import logs
from camphortray import membership
from camphortray import outlier
from camphortray import retry
from camphortray import routing
from camphortray import settings
from camphortray import shards
from camphortray import tasks
from camphortray import tree

LOG = logs.logger("upstreams")
# Kind of the fact that an upstream is leaving, and its lifetime in seconds.
LEAVING = "upstream-leaving"
LEAVING_TTL_S = 600.0
# Largest rate of load polls by one host, per second.
POLLS_PER_S = 4.0
# Rate of host list reads by the whole fleet; the host that reads a change
# first publishes it to the others.
LIST_READS_PER_S = 20.0
# Minimum seconds between reads of the host list, between queries of a leaving
# upstream, and between rounds of load polls.
MIN_POLL_INTERVAL_S = 1.0
# Seconds before an unreachable upstream is probed again, doubled up to the
# maximum.
MIN_PROBE_PAUSE_S = 0.25
MAX_PROBE_PAUSE_S = 4.0
# Number of hosts that query a leaving upstream for its return.
QUERYING_HOSTS = 2


class Probe(enum.Enum):
    """Result of a new connection to an upstream.

    ``REFUSED`` means that its machine refused the connection, as nothing
    listens there; ``SILENT`` is any other failure, which may be caused by
    the network path.
    """

    ALIVE = "alive"
    RESTARTED = "restarted"
    REFUSED = "refused"
    SILENT = "silent"


@kernel.PARTS.register("entry", "batch")
class Upstreams(kernel.Part):
    """State of all upstreams as this program sees them.

    Attributes:
      loads: This program's requests and expected waits, by name.
      leaving: Upstreams that are draining.
      down: Names of upstreams that a probe found unreachable.
      outliers: Upstreams ejected because of failures.
    """

    name: ClassVar[str] = "upstreams"
    requires: ClassVar[tuple[str, ...]] = (
        "backends",
        "membership",
        "settings",
    )

    def __init__(self, context: kernel.Context) -> None:
        self.context = context
        self.clock = context.clock
        self.backends = context.part(log_backends.Backends)
        self.tree = context.part(tree.Tree)
        self.members = context.part(membership.Membership)
        self.loads = routing.LoadTracker()
        self.leaving = leaving_module.DrainingUpstreams()
        self.outliers = outlier.Outliers()
        self.down: set[str] = set()
        self.incarnations: dict[str, int] = {}
        self.probes: dict[str, asyncio.Task[Probe]] = {}
        self.budgets: dict[str, retry.RetryBudget] = {}
        self.subsets: dict[str, frozenset[str]] = {}
        self.tasks = tasks.TaskSet()
        self.polled = 0
        self.members.on_fact(LEAVING, self.on_leaving)
        self.members.listen(self.on_member)

    @classmethod
    def from_config(cls, context: kernel.Context) -> "Upstreams":
        return cls(context)

    async def start(self) -> None:
        self.tree.listen(self.on_view)
        for loop in (self.watch_list, self.watch_leaving, self.poll_loads):
            self.spawn(tasks.forever("watch of upstreams", loop))

    async def stop(self) -> None:
        self.tasks.cancel()
        for task in list(self.probes.values()):
            task.cancel()

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine in the background until done or stopped."""
        self.tasks.spawn(work)

    def on_view(self, view: settings.View) -> None:
        """Forget upstreams that are no longer in the settings."""
        self.subsets.clear()
        names = {n for s in view.services.values() for n in s.upstreams}
        self.outliers.keep(names)
        self.loads.keep(names)

    def on_member(self, member: membership.Member) -> None:
        """Invalidate the subsets when hosts join or leave."""
        self.subsets.clear()

    def on_leaving(self, fact: membership.Fact) -> None:
        """Apply a published change of an upstream's draining mark."""
        now = self.clock.monotonic()
        self.leaving.mark(fact.key, bool(fact.value), now)
        if not fact.value:
            self.outliers.succeeded(fact.key)
        LOG.notice(
            "Upstream {} {}.",
            fact.key,
            "is draining" if fact.value else "takes new work again",
        )

    def note_leaving(self, name: str, leaving: bool = True) -> None:
        """Publish to all hosts that an upstream is leaving or back."""
        if (name in self.leaving.marked) != leaving:
            self.members.publish(LEAVING, name, leaving, LEAVING_TTL_S)

    def budget(self, service: settings.Service) -> retry.RetryBudget:
        """Return the retry budget of a service."""
        budget = self.budgets.get(service.name)
        if budget is None:
            budget = self.budgets[service.name] = retry.RetryBudget(0.0)
        budget.share = service.get("retry.share")
        return budget

    def subset(self, service: settings.Service) -> frozenset[str]:
        """Return the upstreams of a service that this host uses."""
        found = self.subsets.get(service.name)
        if found is None:
            hosts = {m.host for m in self.members.live("entry")}
            own = self.context.config.host.name
            found = frozenset(routing.subset(own, hosts, service.upstreams))
            self.subsets[service.name] = found
        return found

    def candidates(
        self,
        service: settings.Service,
        without: frozenset[str],
        version: str | None = None,
    ) -> list[routing.Candidate]:
        """Return the upstreams of a service that may get new work.

        Those outside this host's subset are returned only if none inside
        it is usable.

        Args:
          service: The service.
          without: Names of upstreams to leave out.
          version: Software version that they need, as declared; None for
            any.
        """
        inside = self.subset(service)
        usable = [
            name
            for name in service.upstreams
            if name not in self.leaving.marked
            and name not in self.down
            and name not in without
            and version in (None, service.upstreams[name].version)
        ]
        names = [name for name in usable if name in inside] or usable
        now = self.clock.monotonic()
        ejected = self.outliers.ejected(names, now)
        return [
            routing.Candidate(
                service.upstreams[name],
                self.loads.load(name).own,
                self.loads.wait_s(service.upstreams[name], now),
            )
            for name in names
            if name not in ejected
        ]

    @contextlib.contextmanager
    def count(self, upstream: engine.Upstream) -> Iterator[None]:
        """Count a request as in flight within the context."""
        self.loads.load(upstream.name).own += 1
        try:
            yield
        finally:
            self.loads.load(upstream.name).own -= 1

    def failed(self, upstream: engine.Upstream) -> None:
        """Record a failed attempt."""
        self.outliers.failed(upstream.name, self.clock.monotonic())

    async def probe(self, upstream: engine.Upstream) -> Probe:
        """Probe an upstream; concurrent callers share one probe.

        An unreachable upstream gets no work until a later probe succeeds.
        """
        task = self.probes.get(upstream.name)
        if task is None:
            loop = asyncio.get_running_loop()
            task = loop.create_task(self.probe_once(upstream))
            self.probes[upstream.name] = task
            task.add_done_callback(
                lambda _: self.probes.pop(upstream.name, None)
            )
        found = await asyncio.shield(task)
        unreachable = found in (Probe.REFUSED, Probe.SILENT)
        if unreachable and upstream.name not in self.down:
            self.down.add(upstream.name)
            LOG.warning(
                "Upstream {} is unreachable: {}.", upstream.name, found.value
            )
            work = functools.partial(self.until_up, upstream)
            self.spawn(tasks.forever("probe of an upstream", work))
        return found

    async def probe_once(self, upstream: engine.Upstream) -> Probe:
        """Query an upstream for its state and compare its incarnation."""
        try:
            state = await self.state(upstream)
        except errors.UpstreamRefused:
            return Probe.ALIVE
        except errors.UpstreamBroken as error:
            silent = error.ran or isinstance(error, errors.UpstreamTimeout)
            return Probe.SILENT if silent else Probe.REFUSED
        except errors.CamphortrayError:
            return Probe.SILENT
        known = self.incarnations.get(upstream.name)
        self.incarnations[upstream.name] = state.incarnation
        if known is not None and known != state.incarnation:
            return Probe.RESTARTED
        return Probe.ALIVE

    async def state(self, upstream: engine.Upstream) -> engine.EngineState:
        """Query an upstream for its state."""
        return await self.backends.engine(upstream.plugin).state(upstream)

    async def until_up(self, upstream: engine.Upstream) -> None:
        """Probe an upstream until it answers, then use it again."""
        pause_s = MIN_PROBE_PAUSE_S
        while True:
            await asyncio.sleep(pause_s * self.context.rng.uniform(0.8, 1.2))
            found = await self.probe_once(upstream)
            if found in (Probe.ALIVE, Probe.RESTARTED):
                self.down.discard(upstream.name)
                self.outliers.succeeded(upstream.name)
                LOG.notice("Upstream {} is reachable again.", upstream.name)
                return
            pause_s = min(2 * pause_s, MAX_PROBE_PAUSE_S)

    async def watch_list(self) -> None:
        """Read the platform's host list periodically."""
        rng = self.context.rng
        while True:
            hosts = len(self.members.live(self.context.program))
            pause_s = max(MIN_POLL_INTERVAL_S, hosts / LIST_READS_PER_S)
            await asyncio.sleep(pause_s * rng.uniform(0.8, 1.2))
            try:
                lines = await self.backends.hosts.read()
            except errors.CamphortrayError as error:
                LOG.debug("Cannot read the host list: {}", error)
                continue
            for name in self.leaving.on_list(lines):
                self.note_leaving(name)

    async def watch_leaving(self) -> None:
        """Query leaving upstreams periodically for their return."""
        while True:
            await asyncio.sleep(MIN_POLL_INTERVAL_S)
            for name in sorted(self.leaving.marked):
                if self.is_querier(name):
                    await self.check_return(name)

    def is_querier(self, name: str) -> bool:
        """Return whether this host is to query a leaving upstream."""
        program = self.context.program
        names = [m.name for m in self.members.live(program)]
        return (
            self.members.own_name in shards.rank(name, names)[:QUERYING_HOSTS]
        )

    async def check_return(self, name: str) -> None:
        """Publish an upstream's return if it takes new work again."""
        state = None
        with contextlib.suppress(errors.CamphortrayError):
            upstream = self.engines(beyond_subset=True).get(name)
            state = await self.state(upstream) if upstream else None
        if self.leaving.is_back(name, state, self.clock.monotonic()):
            self.note_leaving(name, False)

    def engines(
        self, beyond_subset: bool = False
    ) -> dict[str, engine.Upstream]:
        """Return the engines by name.

        Args:
          beyond_subset: Whether to include those outside this host's subset.
        """
        return {
            name: upstream
            for service in self.tree.view.services.values()
            if service.get("kind") == "engines"
            for name, upstream in service.upstreams.items()
            if beyond_subset or name in self.subset(service)
        }

    async def poll_loads(self) -> None:
        """Poll the engines of this host's subset for load, one by one."""
        while True:
            upstreams = list(self.engines().values())
            count = max(1, len(upstreams))
            await asyncio.sleep(
                max(MIN_POLL_INTERVAL_S / count, 1 / POLLS_PER_S)
            )
            if not upstreams:
                continue
            upstream = upstreams[self.polled % count]
            with_state = (self.polled // count) % 10 == 0
            self.polled += 1
            if upstream.name not in self.down:
                await self.poll(upstream, with_state)

    async def poll(self, upstream: engine.Upstream, with_state: bool) -> None:
        """Query one engine for its load and optionally its state."""
        plugin = self.backends.engine(upstream.plugin)
        try:
            report = await plugin.load(upstream)
            now = self.clock.monotonic()
            self.loads.report(upstream.name, report, now)
            if with_state or upstream.name not in self.incarnations:
                state = await plugin.state(upstream)
                self.incarnations[upstream.name] = state.incarnation
                if state.draining:
                    self.note_leaving(upstream.name)
        except errors.CamphortrayError as error:
            LOG.debug("Cannot read the load: {}", error)
