"""One soak: starts all, plays the schedule, checks what was seen."""

__all__ = ["Soak"]

import asyncio
from collections.abc import Coroutine
from collections.abc import Iterator
import contextlib
import dataclasses
import itertools
import json
import math
import pathlib
import random
import signal
import time
from typing import Any

from camphortray_platform import settings
import msgspec

from bench.soak import checker
from bench.soak import hosts
from bench.soak import load
from bench.soak import proxy
from bench.soak import schedule
from bench.soak import standins
from camphortray import cluster
from camphortray import config as configs
from camphortray import errors
from camphortray import httpclient
from camphortray import ledger
from camphortray import logs
from tests import platformkit

LOG = logs.logger("soak")
PARTS = 8
READY_S = 60.0
LOOK_S = 0.1
# Longest time from the end of the faults until all is read.
BOUND_S = 60.0
# Without faults, before and after one host is told to end.
CALM_S = 1.0
# Time from a crash of an engine under a request to its next start.
DOWN_S = (1.0, 3.0)
# Time in which streams run before all hosts lose power, and from the end of
# engines right before to it.
LEAD_S, BEFORE_S = 1.5, 0.1
# Fewest engines of which one is of a service of its own.
MIN_ENGINES = 4
# Grace of hosts in a calm run: what is taken up to the refusals of a leaving
# host, 0.4 of it, ends before it, even if all engines fall silent.
CALM_GRACE_S = 8.0
# Beside these, nothing that a host or an engine has begun may be lost.
HARMLESS = frozenset({"silence", "configure", "reload"})


def milliseconds() -> int:
    """Return the time of day, as engines tell when they started."""
    return round(time.time() * 1000)


# Sizes of hosts in turn: one of three is small.
CPU_SHARES = (1.0, 1.0, 0.2)


class Soak:
    """All parties of one run.

    Attributes:
      actions: The schedule.
      events: What was done and when, for the report of a failed seed.
      copies: Draws the answers that come once more.
      done: Faults that were played, by kind.
      changes: How the configuration differs from the first one.
      mode: A key of ``schedule.MODES``.
      calm: Whether only those kinds are drawn beside which nothing is lost.
    """

    def __init__(
        self,
        seed: int,
        seconds: float,
        folder: pathlib.Path,
        host_count: int = 4,
        engine_count: int = 3,
        pause_s: float = schedule.PAUSE_S,
        mode: str = "all",
    ) -> None:
        self.mode = mode
        self.calm = mode == "calm"
        self.seed = seed
        self.seconds = seconds
        self.folder = folder
        self.site = schedule.Site.of(host_count, engine_count)
        self.actions = schedule.draw(seed, seconds, self.site, pause_s, mode)
        self.store = standins.Store(PARTS)
        self.engines = {
            name: standins.Engine(name, milliseconds())
            for name in self.site.engines
        }
        self.versions = random.Random(f"versions/{seed}")
        for number, engine in enumerate(self.engines.values()):
            engine.on_crash = self.on_crash
            engine.version = standins.VERSIONS[number % len(standins.VERSIONS)]
        if len(self.engines) > 1:
            slow = self.site.engines[-1]
            self.engines[slow].pace_s = standins.SLOW_PACE_S
        self.copies = standins.Copies(f"copies/{seed}")
        for engine in self.engines.values():
            engine.set_mode(mode, self.copies)
        moves = "configure" in schedule.MODES[mode]
        if moves and len(self.engines) >= MIN_ENGINES:
            other = self.site.engines[1]
            self.engines[other].service = standins.OTHER_SERVICE
        self.hosts: dict[str, hosts.HostProcess] = {}
        self.links: dict[str, proxy.Link] = {}
        self.grace_s = CALM_GRACE_S if self.calm else hosts.GRACE_S
        self.seen = checker.Seen(
            self.site.hosts, bound_s=BOUND_S, grace_s=self.grace_s
        )
        self.version = 1
        self.changes: set[str] = set()
        self.events: list[str] = []
        self.done: dict[str, int] = {}
        self.begun_at = time.monotonic()
        self.tasks: list[asyncio.Task[Any]] = []

    def note(self, text: str) -> None:
        """Keep what was done."""
        at = time.monotonic() - self.begun_at
        wall = time.strftime("%H:%M:%S", time.gmtime())
        self.events.append(f"{at:7.2f} {wall} {text}")

    def spawn(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Run something beside."""
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.append(task)
        return task

    async def run(self) -> checker.Verdict:
        """Play the seed and return what the checks say."""
        try:
            await self.start()
            await self.play()
            verdict = checker.check(self.seen)
            for name, host in self.hosts.items():
                well = host.running and not host.odd
                verdict.expect("no host ends unasked", well, name)
                bad = host.complaints()
                verdict.expect("no host meets an error", not bad, bad)
            return verdict
        finally:
            await self.stop()

    async def start(self) -> None:
        """Start the stand-ins, the proxies and the hosts."""
        await self.store.server.start(platformkit.ANY_PORT)
        await self.configure()
        ports = {schedule.STORE: self.store.server.address.port}
        for name, engine in self.engines.items():
            ports[name] = cluster.free_port()
            await engine.server.start(
                configs.Address(cluster.LOOPBACK, ports[name])
            )
            self.spawn(engine.beat(self.store))
        self.spawn(self.lapse())
        seeds: list[str] = []
        for number, name in enumerate(self.site.hosts):
            node = platformkit.node_file(name, self.store, seeds)
            node = msgspec.structs.replace(
                node,
                zone=f"z{number % 2 + 1}",
                limits=settings.Limits(CPU_SHARES[number % 3], 1.0),
            )
            process = hosts.HostProcess(node, self.folder, self.grace_s)
            self.hosts[name] = process
            seeds.append(node.listen.control)
            address = configs.Address.from_text(node.listen.control)
            ports[name] = address.port
        for dials, dialled in self.site.links():
            port = ports[dialled]
            if dials == schedule.CALLERS:
                listen = self.hosts[dialled].node.listen
                port = configs.Address.from_text(listen.front).port
            link = proxy.Link(dials, dialled, port)
            self.links[link.name] = link
            await link.open()
        for name, host in self.hosts.items():
            host.write(
                {
                    f"{cluster.LOOPBACK}:{link.target}": link.port
                    for link in self.links.values()
                    if link.name.startswith(f"{name}>")
                }
            )
            await host.start()
        async with asyncio.timeout(READY_S):
            for host in self.hosts.values():
                while not await self.ready(host):
                    await asyncio.sleep(LOOK_S)

    async def until_ready(self, host: hosts.HostProcess) -> None:
        """Wait until callers may come to a host."""
        async with asyncio.timeout(READY_S):
            while not await self.ready(host):
                await asyncio.sleep(LOOK_S)

    async def ready(self, host: hosts.HostProcess) -> bool:
        """Whether a host says that callers may come."""
        address = configs.Address.from_text(host.node.listen.ready)
        client = httpclient.HttpClient(max_idle=0)
        with contextlib.suppress(errors.UpstreamError):
            status, _, _ = await client.call(address, "GET", "/")
            return status == 200
        return False

    async def play(self) -> None:
        """Play the schedule beside the load, then let all recover."""
        ways = {
            name: configs.Address(
                cluster.LOOPBACK,
                self.links[f"{schedule.CALLERS}>{name}"].port,
            )
            for name in self.hosts
        }
        callers = load.Load(self.seed, ways, self.seen)
        callers.set_mode(self.mode)
        callers.idle_s = lambda: standins.idle_s(self.changes)
        self.begun_at = time.monotonic()
        going = self.spawn(callers.run())
        faults = [self.spawn(self.act(action)) for action in self.actions]
        try:
            await asyncio.sleep(self.seconds)
            going.cancel()
            for fault in faults:
                fault.cancel()
            found = await asyncio.gather(*faults, return_exceptions=True)
            broken = [e for e in found if isinstance(e, Exception)]
            if broken:
                raise broken[0]
            await self.heal()
            self.note("all faults have ended")
            windows = [*self.seen.broken, *self.seen.leaving]
            for name in {window.name for window in windows}:
                open_yet = [w for w in windows if w.name == name]
                open_yet = [w for w in open_yet if w.end == math.inf]
                self.spawn(self.close(open_yet))
            callers.last, callers.question_s = True, load.QUESTION_S
            self.seen.recovered_s = await callers.read_all(BOUND_S)
            self.note(f"recovered in {self.seen.recovered_s} s")
            if self.seen.recovered_s is not None:
                await self.drain(callers)
        finally:
            await callers.stop()
        self.seen.failed = self.copies.failed
        for engine in self.engines.values():
            self.seen.runs += engine.log
            self.seen.deadly += engine.deadly_log

    async def drain(self, callers: load.Load) -> None:
        """Tell one host to end while nothing else goes wrong."""
        names = self.site.hosts
        callers.leaves = names[self.seed % len(names)]
        host = self.hosts[callers.leaves]
        callers.calm = True
        going = self.spawn(callers.send_questions())
        await asyncio.sleep(CALM_S)
        forced = host.forced
        self.note(f"{host.name} is told to end")
        with self.window(self.seen.leaving, host.name):
            await host.end()
            self.seen.graceful = host.forced == forced
            await asyncio.sleep(CALM_S)
            going.cancel()
            if callers.tasks:
                await asyncio.wait(callers.tasks)
            await host.start()

    async def act(self, action: schedule.Action) -> None:
        """Play one fault at its time."""
        await asyncio.sleep(action.at)
        host = self.hosts.get(action.target)
        if host is not None and action.kind != "refuse-one":
            if host.busy:
                self.note(f"skipped, has another: {action}")
                return
            host.busy = True
        if action.kind == "reload" and not await self.ready(host):
            self.note(f"skipped, not ready: {action}")
            host.busy = False
            return
        self.note(f"begins: {action}")
        self.done[action.kind] = self.done.get(action.kind, 0) + 1
        begun_at = time.monotonic()
        self.disturb(action, begun_at, math.inf)
        with self.breaks(action):
            await self.bring_about(action, host)
        self.note(f"ends: {action}")
        self.disturb(action, begun_at, time.monotonic())

    async def bring_about(
        self, action: schedule.Action, host: hosts.HostProcess | None
    ) -> None:
        """Let one fault begin and end."""
        if host is not None and action.kind != "refuse-one":
            await self.hit(host, action)
            host.busy = False
        elif action.kind == "crash":
            await self.crash(action)
        elif action.kind == "power":
            await self.lose_power(action)
        elif action.kind == "release":
            await self.release(action)
        elif action.kind == "silence":
            names = action.target.split("+")
            await asyncio.gather(
                *(self.engines[n].fall_silent(action.length_s) for n in names)
            )
        elif action.kind == "link":
            link = self.links[action.target]
            await link.suffer(action.fault, action.length_s)
        elif action.kind == "configure":
            await self.configure(action.fault)
        elif action.kind == "deal":
            self.store.held.deal()
        else:
            await self.hit_store(action)

    @contextlib.contextmanager
    def window(
        self, windows: list[checker.Window], *names: str
    ) -> Iterator[None]:
        """Keep the time that a block takes, for each of some parties.

        If it is cancelled, what it broke lasts until all is healed.
        """
        opened = [checker.Window(name, time.monotonic()) for name in names]
        windows += opened
        yield
        for each in opened:
            each.end = time.monotonic()

    async def close(self, windows: list[checker.Window]) -> None:
        """Let windows end as their hosts are ready, those of engines now."""
        for window in windows:
            if window.name in self.hosts:
                await self.until_ready(self.hosts[window.name])
            window.end = time.monotonic()

    def breaks(
        self, action: schedule.Action
    ) -> contextlib.AbstractContextManager[None]:
        """Keep which parties a fault breaks while it lasts."""
        if action.kind in (*HARMLESS, "power", "release"):
            return contextlib.nullcontext()
        parties = {schedule.STORE, *self.hosts, *self.engines}
        names = {*action.target.split(">")} & parties
        leaves = self.calm and action.kind == "term"
        windows = self.seen.leaving if leaves else self.seen.broken
        return self.window(windows, *sorted(names))

    def disturb(
        self, action: schedule.Action, begun_at: float, ended_at: float
    ) -> None:
        """Keep which hosts a fault disturbs, and when."""
        hosts_hit = {action.target, *action.target.split(">")}
        hosts_hit &= set(self.site.hosts)
        if action.kind == "reload":
            return
        if schedule.STORE == action.target or action.kind in (
            "power",
            "release",
        ):
            hosts_hit = {""}
        for host in hosts_hit:
            begun = (host, begun_at, math.inf)
            if begun in self.seen.disturbed:
                self.seen.disturbed.remove(begun)
            self.seen.disturbed.append((host, begun_at, ended_at))

    async def hit(
        self, host: hosts.HostProcess, action: schedule.Action
    ) -> None:
        """End or freeze a host for a while, or let it reload."""
        if action.kind == "reload":
            host.signal(signal.SIGHUP)
            return
        if action.kind == "freeze":
            host.signal(signal.SIGSTOP)
            await asyncio.sleep(action.length_s)
            host.signal(signal.SIGCONT)
            return
        await (host.kill() if action.kind == "kill" else host.end())
        for link in self.links_to(host.name):
            link.close()
        await asyncio.sleep(action.length_s)
        await host.start()
        for link in self.links_to(host.name):
            await link.open()
        await self.until_ready(host)

    async def lose_power(self, action: schedule.Action) -> None:
        """Kill all hosts at once as a software version comes or leaves."""
        versions = list(
            itertools.islice(
                itertools.cycle(standins.VERSIONS), len(self.engines)
            )
        )
        leaving = action.target
        (other,) = {*standins.VERSIONS} - {leaving}
        if action.fault == "replaced":
            versions = [leaving] * len(versions)
        with self.window(self.seen.broken, *self.engines):
            for engine, version in zip(
                self.engines.values(), versions, strict=True
            ):
                if not engine.up or engine.version != version:
                    await self.leave(engine)
                    await self.begin_engine(engine, version)
        await asyncio.sleep(LEAD_S)
        leavers = [e for e in self.engines.values() if e.version == leaving]
        names = [engine.name for engine in leavers]
        with self.window(self.seen.broken, *names, *self.hosts):
            if action.fault == "before":
                await asyncio.gather(*(self.leave(e) for e in leavers))
                await asyncio.sleep(BEFORE_S)
            await asyncio.gather(*(h.kill() for h in self.hosts.values()))
            self.note("all hosts are down")
            await asyncio.sleep(action.length_s / 2)
            for engine in leavers:
                await self.leave(engine)
                if action.fault in ("back", "replaced"):
                    await self.begin_engine(engine, other)
            await asyncio.sleep(action.length_s / 2)
            await asyncio.gather(*(h.start() for h in self.hosts.values()))
            for host in self.hosts.values():
                await self.until_ready(host)

    async def release(self, action: schedule.Action) -> None:
        """Replace all engines, one by one, by those of another version."""
        (joining,) = {*standins.VERSIONS} - {action.target}
        for engine in list(self.engines.values()):
            with self.window(self.seen.broken, engine.name):
                await self.leave(engine)
                await self.begin_engine(engine, joining)
            await asyncio.sleep(action.length_s)

    async def leave(self, engine: standins.Engine) -> None:
        """End an engine, and its entry."""
        await self.end_engine(engine)
        await self.store.write(ledger.Topic.ENGINES, engine.name, None)

    async def crash(self, action: schedule.Action) -> None:
        """End an engine and start it again under its id."""
        engine = self.engines[action.target]
        if not engine.up:
            return
        with self.breaks(action):
            await self.end_engine(engine)
            await asyncio.sleep(action.length_s)
            await self.begin_engine(engine)

    def on_crash(self, engine: platformkit.EngineStandin) -> None:
        """End an engine under a request, and start it again."""
        length_s = self.versions.uniform(*DOWN_S)
        action = schedule.Action(0.0, "crash", engine.name, "", length_s)
        self.note(f"{engine.name} crashes under a request")
        self.spawn(self.crash(action))

    async def end_engine(self, engine: standins.Engine) -> None:
        """End an engine without a word."""
        engine.up = False
        for link in self.links_to(engine.name):
            link.close()
        await engine.server.stop()

    async def begin_engine(
        self, engine: standins.Engine, version: str = ""
    ) -> None:
        """Start an engine's next life at its address."""
        if engine.up:
            return
        engine.born, engine.sequence = milliseconds(), 0
        drawn = version or self.versions.choice(standins.VERSIONS)
        engine.version = drawn
        (link, *_) = links = self.links_to(engine.name)
        address = configs.Address(cluster.LOOPBACK, link.target)
        await engine.server.start(address)
        for each in links:
            await each.open()
        engine.up = True

    async def hit_store(self, action: schedule.Action) -> None:
        """Let the store go wrong for a while."""
        if action.kind == "refuse-one":
            self.store.refused = action.target
            await asyncio.sleep(action.length_s)
            self.store.refused = self.store.refuse_member = ""
        elif action.fault == "closed":
            for link in self.links_to(schedule.STORE):
                link.close()
            await asyncio.sleep(action.length_s)
            for link in self.links_to(schedule.STORE):
                await link.open()
        else:
            self.store.fault = action.fault
            await asyncio.sleep(action.length_s)
            self.store.fault = ""

    def links_to(self, name: str) -> list[proxy.Link]:
        """Return the links that lead to a party."""
        return [li for li in self.links.values() if li.dialled == name]

    async def configure(self, change: str = "none") -> None:
        """Write the next configuration, with one change or its reverse."""
        if change == "service" and len(self.engines) < MIN_ENGINES:
            change = "none"
        self.version += 3
        if change != "none":
            self.changes ^= {change}
        if change == "optional" and change in self.changes:
            window = checker.Window("", time.monotonic())
            self.seen.dropped.append(window)
        limit_s = standins.idle_s(self.changes)
        self.seen.limits.append((time.monotonic(), limit_s))
        await self.store.change(self.version, self.changes)
        if change == "optional" and change not in self.changes:
            self.seen.dropped[-1].end = time.monotonic()

    async def lapse(self) -> None:
        """Let members go whose time is over, again and again."""
        while True:
            await asyncio.sleep(LOOK_S)
            self.store.lapse()

    async def heal(self) -> None:
        """End all faults and start whatever is down."""
        self.store.fault = self.store.refused = self.store.refuse_member = ""
        if "optional" in self.changes:
            await self.configure("optional")
        for link in self.links.values():
            link.heal()
            await link.open()
        for engine in self.engines.values():
            engine.heal()
            await self.begin_engine(engine)
        for host in self.hosts.values():
            host.signal(signal.SIGCONT)
            if host.leaving:
                await host.end()
            await host.start()

    async def stop(self) -> None:
        """End all that was started."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for host in self.hosts.values():
            await host.kill()
        for link in self.links.values():
            await link.stop()
        for engine in self.engines.values():
            await engine.server.stop()
        await self.store.server.stop()

    def write(self, verdict: checker.Verdict) -> None:
        """Write the schedule and what was seen into the folder."""
        plan = [dataclasses.asdict(action) for action in self.actions]
        told = {
            "seed": self.seed,
            "seconds": self.seconds,
            "breaches": verdict.breaches,
            "counts": verdict.counts,
            "schedule": plan,
            "events": self.events,
            "seen": dataclasses.asdict(self.seen),
        }
        text = json.dumps(told, indent=1, default=sorted)
        (self.folder / "run.json").write_text(text)
