"""What this host knows of each upstream: in flight, leaving, load."""

__all__ = ["Probe", "Upstreams"]

import asyncio
from collections.abc import Iterator
import contextlib
import enum
from typing import ClassVar

from camphortray import backends
from camphortray import draining as leaving_module
from camphortray import engine
from camphortray import errors
from camphortray import kernel
from camphortray import logs
from camphortray import membership
from camphortray import outlier
from camphortray import retry
from camphortray import routing
from camphortray import settings
from camphortray import shards
from camphortray import tree

LOG = logs.logger("upstreams")
LEAVING = "upstream-leaving"
LEAVING_KEEP_S = 600.0
# Polls of load a second that one host makes at most.
POLLS_PER_S = 4.0
# Reads of the platform's list a second by all hosts together; news spread
# from the host that reads them first.
LIST_READS_PER_S = 20.0
TICK_S = 1.0
# Pause before a held upstream is probed again, doubled up to the second.
PROBE_S = 0.25
PROBE_LONGEST_S = 4.0
# Hosts that ask a leaving upstream whether it is back.
ASKERS = 2


class Probe(enum.Enum):
    """What a new connection to an upstream showed.

    ``REFUSED`` is the word of its machine that nothing listens there;
    ``SILENT`` is any other want of an answer, which may lie on the path.
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
      leaving: Which upstreams take no new work.
      down: Names of upstreams that a probe found unreachable.
      outliers: Which upstreams are put aside as they fail.
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
        self.backends = context.part(backends.Backends)
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
        self.tasks: set[asyncio.Task[None]] = set()
        self.polled = 0
        self.members.on_fact(LEAVING, self.on_leaving)
        self.members.listen(self.on_member)

    @classmethod
    def from_config(cls, context: kernel.Context) -> "Upstreams":
        return cls(context)

    async def start(self) -> None:
        self.tree.listen(self.on_view)
        for loop in (self.watch_list, self.watch_leaving, self.poll_loads):
            self.spawn(loop())

    async def stop(self) -> None:
        for task in [*self.tasks, *self.probes.values()]:
            task.cancel()

    def spawn(self, work: "asyncio._CoroutineLike[None]") -> None:
        """Run work in the background until done or stopped."""
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def on_view(self, view: settings.View) -> None:
        """Forget upstreams that settings no longer name."""
        self.subsets.clear()
        names = {n for s in view.services.values() for n in s.upstreams}
        self.outliers.keep(names)
        self.loads.keep(names)

    def on_member(self, member: membership.Member) -> None:
        """Choose subsets anew when hosts come or go."""
        self.subsets.clear()

    def on_leaving(self, fact: membership.Fact) -> None:
        """Send an upstream nothing new, or take it back."""
        now = self.clock.monotonic()
        self.leaving.mark(fact.key, bool(fact.value), now)
        if not fact.value:
            self.outliers.succeeded(fact.key)
        LOG.notice(
            "{} {}.", fact.key, "is leaving" if fact.value else "is back"
        )

    def note_leaving(self, name: str, leaving: bool = True) -> None:
        """Tell all hosts that an upstream is leaving, or is back."""
        if (name in self.leaving.marked) != leaving:
            self.members.publish(LEAVING, name, leaving, LEAVING_KEEP_S)

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
        self, service: settings.Service, without: frozenset[str]
    ) -> list[routing.Candidate]:
        """Return the upstreams of a service that may get new work.

        Those outside this host's subset count only if none inside it is
        left.
        """
        inside = self.subset(service)
        usable = [
            name
            for name in service.upstreams
            if name not in self.leaving.marked
            and name not in self.down
            and name not in without
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
        """Count a request as in flight while it is."""
        self.loads.load(upstream.name).own += 1
        try:
            yield
        finally:
            self.loads.load(upstream.name).own -= 1

    def failed(self, upstream: engine.Upstream) -> None:
        """Take note of a failed try."""
        self.outliers.failed(upstream.name, self.clock.monotonic())

    async def probe(self, upstream: engine.Upstream) -> Probe:
        """Try a new connection; callers at the same time share one try.

        An upstream that cannot be reached is held down until it can be.
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
            LOG.warning("{} is down: {}.", upstream.name, found.value)
            self.spawn(self.until_up(upstream))
        return found

    async def probe_once(self, upstream: engine.Upstream) -> Probe:
        """Ask an upstream for its state over a new connection."""
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
        """Ask an upstream for its state."""
        return await self.backends.engine(upstream.plugin).state(upstream)

    async def until_up(self, upstream: engine.Upstream) -> None:
        """Probe until an upstream answers, then use it again."""
        pause_s = PROBE_S
        while True:
            await asyncio.sleep(pause_s * self.context.rng.uniform(0.8, 1.2))
            found = await self.probe_once(upstream)
            if found in (Probe.ALIVE, Probe.RESTARTED):
                self.down.discard(upstream.name)
                self.outliers.succeeded(upstream.name)
                LOG.notice("{} is up again.", upstream.name)
                return
            pause_s = min(2 * pause_s, PROBE_LONGEST_S)

    async def watch_list(self) -> None:
        """Read the platform's list now and then."""
        rng = self.context.rng
        while True:
            hosts = len(self.members.live(self.context.program))
            pause_s = max(TICK_S, hosts / LIST_READS_PER_S)
            await asyncio.sleep(pause_s * rng.uniform(0.8, 1.2))
            try:
                lines = await self.backends.hosts.read()
            except errors.CamphortrayError as error:
                LOG.debug("No list: {}", error)
                continue
            for name in self.leaving.on_list(lines):
                self.note_leaving(name)

    async def watch_leaving(self) -> None:
        """Ask leaving upstreams whether they are back."""
        while True:
            await asyncio.sleep(TICK_S)
            for name in sorted(self.leaving.marked):
                if self.asks(name):
                    await self.ask_back(name)

    def asks(self, name: str) -> bool:
        """Return whether it is for this host to ask an upstream."""
        program = self.context.program
        names = [m.name for m in self.members.live(program)]
        return self.members.own_name in shards.rank(name, names)[:ASKERS]

    async def ask_back(self, name: str) -> None:
        """Take an upstream back if it says that it takes work."""
        state = None
        with contextlib.suppress(errors.CamphortrayError):
            upstream = self.engines(whole=True).get(name)
            state = await self.state(upstream) if upstream else None
        if self.leaving.is_back(name, state, self.clock.monotonic()):
            self.note_leaving(name, False)

    def engines(self, whole: bool = False) -> dict[str, engine.Upstream]:
        """Return the engines by name.

        Args:
          whole: All of them, rather than those this host uses.
        """
        return {
            name: upstream
            for service in self.tree.view.services.values()
            if service.get("kind") == "engines"
            for name, upstream in service.upstreams.items()
            if whole or name in self.subset(service)
        }

    async def poll_loads(self) -> None:
        """Ask the engines of this host's subset for their load, slowly."""
        while True:
            upstreams = list(self.engines().values())
            count = max(1, len(upstreams))
            await asyncio.sleep(max(TICK_S / count, 1 / POLLS_PER_S))
            if not upstreams:
                continue
            upstream = upstreams[self.polled % count]
            with_state = (self.polled // count) % 10 == 0
            self.polled += 1
            if upstream.name not in self.down:
                await self.poll(upstream, with_state)

    async def poll(self, upstream: engine.Upstream, with_state: bool) -> None:
        """Ask one engine for its load, and perhaps its state."""
        party = self.backends.engine(upstream.plugin)
        try:
            report = await party.load(upstream)
            now = self.clock.monotonic()
            self.loads.report(upstream.name, report, now)
            if with_state or upstream.name not in self.incarnations:
                state = await party.state(upstream)
                self.incarnations[upstream.name] = state.incarnation
                if state.draining:
                    self.note_leaving(upstream.name)
        except errors.CamphortrayError as error:
            LOG.debug("No load: {}", error)
