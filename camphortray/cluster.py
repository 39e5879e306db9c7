"""A small deployment in one process, for the demo, tests and benches."""

__all__ = ["Cluster", "free_port"]

import asyncio
import dataclasses
import functools
import itertools
import os
import socket
from typing import Any

from camphortray import batch
from camphortray import config as configs
from camphortray import entry
from camphortray import httpserver
from camphortray import kernel
from camphortray import log
from camphortray import membership
from camphortray import records
from camphortray import settings
from camphortray import standin_engine
from camphortray import standin_platform
from camphortray import standin_service

LOOPBACK = "127.0.0.1"
REGION = "cantabria"
SERVICE = "assist"
MODEL = "assist-lm"
PLAIN = "fitters"
WORKSPACE = "home-1"
WORKSPACE_KEY = "key-of-home-1"
OPERATOR_KEY = "key-of-operator"
HOST_KEY = "key-of-hosts"
PROGRAMS = (entry, batch)
PORTS = range(10_000, 32_000)
# Ports of one process; its block is claimed by its first port.
BLOCK_PORTS = 2_000
# Longest wait for hosts to become ready, and from one look to the next.
READY_S = 20.0
READY_LOOK_S = 0.01


class PortBlock:
    """Ports that no other process on this machine gives out.

    Two processes that look for free ports in one range would both find a
    port free before either listens on it.

    Attributes:
      claim: Bound to the first port of the block for as long as it is used.
      ports: All others, over and over.
    """

    def __init__(self, claim: socket.socket) -> None:
        self.claim = claim
        first = claim.getsockname()[1] + 1
        self.ports = itertools.cycle(range(first, first + BLOCK_PORTS - 1))

    @classmethod
    def from_range(cls, ports: range) -> "PortBlock":
        """Claim a block of some ports.

        Raises:
          OSError: all are taken.
        """
        starts = list(ports[::BLOCK_PORTS])
        shift = os.getpid() % len(starts)
        for start in starts[shift:] + starts[:shift]:
            claim = socket.socket()
            try:
                claim.bind((LOOPBACK, start))
            except OSError:
                claim.close()
                continue
            return cls(claim)
        raise OSError("no block of ports is free")


@functools.cache
def port_block() -> PortBlock:
    """Return the block of this process."""
    return PortBlock.from_range(PORTS)


# A child has its parent's block in its memory, but must not give out of it.
os.register_at_fork(after_in_child=port_block.cache_clear)


def free_port() -> int:
    """Return a port that is free now and was not given lately.

    It lies below the ports that systems give to outgoing connections, so
    that none of those takes it before it is listened on; and no other
    process of ours is given it.
    """
    while True:
        port = next(port_block().ports)
        with socket.socket() as probe:
            try:
                probe.bind((LOOPBACK, port))
            except OSError:
                continue
        return port


def free_address() -> str:
    """Return a loopback address that is free now."""
    return f"{LOOPBACK}:{free_port()}"


@dataclasses.dataclass
class Host:
    """One host of the cluster.

    Attributes:
      config: Its settings.
      kernels: Running programs by name.
    """

    config: configs.Config
    kernels: dict[str, kernel.Kernel] = dataclasses.field(default_factory=dict)

    @property
    def address(self) -> configs.Address:
        """Where callers connect."""
        return configs.Address.from_text(self.config.entry.listen)

    def part(self, program: str, cls: type[kernel.P]) -> kernel.P:
        """Return a part of a running program."""
        return self.kernels[program].context.part(cls)

    async def start(self, program: str, seed: int = 0) -> None:
        """Start one program."""
        context = kernel.Context.from_config(self.config, program, seed)
        core = kernel.Kernel(context)
        await core.start()
        self.kernels[program] = core

    async def stop(self, program: str) -> None:
        """Stop one program without a drain, as a crash would."""
        core = self.kernels.pop(program, None)
        if core is not None:
            await core.stop()


class Cluster:
    """Stand-ins and hosts on loopback, all on one loop.

    Attributes:
      platform: Log, host list and weight store.
      engines: Stand-in engines by name.
      plain: The stand-in plain service.
      hosts: By name.
    """

    def __init__(
        self,
        engines: int = 2,
        hosts: int = 1,
        timing: standin_engine.TimingModel | None = None,
        values: dict[str, Any] | None = None,
        overrides: dict[str, dict[str, Any]] | None = None,
        limits: standin_platform.LogLimits | None = None,
    ) -> None:
        self.platform = standin_platform.PlatformStandin(limits)
        self.platform_server = httpserver.HttpServer(self.platform)
        self.engines = {
            f"engine-{number}": standin_engine.EngineStandin(
                f"engine-{number}", ((MODEL, "1"),), timing
            )
            for number in range(engines)
        }
        self.plain = standin_service.ServiceStandin(PLAIN)
        self.values = values or {}
        self.overrides = overrides or {}
        self.host_count = hosts
        self.hosts: dict[str, Host] = {}

    async def __aenter__(self) -> "Cluster":
        await self.start()
        return self

    async def __aexit__(self, *exc: object) -> None:
        await self.stop()

    async def start(self) -> None:
        """Start the stand-ins, publish settings, start the hosts."""
        any_port = configs.Address(LOOPBACK, 0)
        await self.platform_server.start(any_port)
        for engine in self.engines.values():
            # It listens on the same port again after a crash.
            await engine.start(configs.Address(LOOPBACK, free_port()))
        await self.plain.start(any_port)
        self.publish(REGION, self.region_values())
        self.publish(f"{REGION}/{SERVICE}", self.service_values())
        self.publish(f"{REGION}/{PLAIN}", self.plain_values())
        for number in range(self.host_count):
            self.add_host(f"host-{number}", f"zone-{number % 3}")
        for host in self.hosts.values():
            await asyncio.gather(host.start("entry"), host.start("batch"))
        await self.until_ready()

    async def until_ready(self) -> None:
        """Wait until all programs take callers and know of each other."""
        async with asyncio.timeout(READY_S):
            while not self.ready():
                await asyncio.sleep(READY_LOOK_S)

    def ready(self) -> bool:
        """Return whether every program is ready and known to all."""
        running = {
            f"{host.config.host.name}/{program}": core
            for host in self.hosts.values()
            for program, core in host.kernels.items()
        }
        for core in running.values():
            members = core.context.part(membership.Membership).members
            known = {n for n, m in members.items() if m.http_address}
            if core.not_ready() or not set(running) <= known:
                return False
        return True

    def add_host(self, name: str, availability_zone: str) -> Host:
        """Make a host; it is not started."""
        seeds = [h.config.peer.entry_listen for h in self.hosts.values()]
        data: dict[str, dict[str, Any]] = {
            "host": {
                "name": name,
                "availability_zone": availability_zone,
                "region": REGION,
            },
            "log": {"address": str(self.platform_server.address)},
            "hostlist": {"address": str(self.platform_server.address)},
            "weights": {"address": str(self.platform_server.address)},
            "entry": {"listen": free_address()},
            "batch": {"listen": free_address()},
            "peer": {
                "entry_listen": free_address(),
                "batch_listen": free_address(),
                "shared_key": HOST_KEY,
                "seeds": seeds,
            },
            "shards": {"jobs": 2, "calls": 2, "orders": 1},
        }
        for section, values in self.overrides.items():
            data.setdefault(section, {}).update(values)
        host = Host(configs.Config.from_data(data))
        self.hosts[name] = host
        return host

    def publish(self, node: str, values: dict[str, Any]) -> None:
        """Put a change of settings straight into the log."""
        stream = self.platform.log.stream(settings.STREAM)
        fold = settings.SettingsFold()
        for record in stream.records:
            fold.apply(record.offset, record.body)
        base = fold.nodes.get(node, settings.Node()).revision
        change = settings.Change(node, base, values, author="cluster")
        writer = records.Writer("cluster/setup", stream.next + 1)
        made = records.Record(
            records.RecordId(writer, 1),
            settings.CHANGE,
            records.NO_EPOCH,
            dataclasses.asdict(change),
        )
        stream.add(0.0, records.encode(made))

    def region_values(self) -> dict[str, Any]:
        """Return what the region's node sets."""
        return {
            f"workspace.{WORKSPACE}.keys": [settings.hash_key(WORKSPACE_KEY)],
            "operator.operations.keys": [settings.hash_key(OPERATOR_KEY)],
        }

    def service_values(self) -> dict[str, Any]:
        """Return what the model service's node sets."""
        values: dict[str, Any] = {f"model.{MODEL}.version": "1"}
        for number, (name, engine) in enumerate(self.engines.items()):
            prefix = f"upstream.{name}."
            values[prefix + "address"] = str(engine.server.address)
            values[prefix + "availability_zone"] = f"zone-{number % 3}"
            values[prefix + "checks_fencing"] = engine.checks_fencing
        return {**values, **self.values}

    def plain_values(self) -> dict[str, Any]:
        """Return what the plain service's node sets."""
        return {
            "kind": "plain",
            f"upstream.{PLAIN}-0.address": str(self.plain.server.address),
            f"upstream.{PLAIN}-0.plugin": "http",
            "route.dispatch.idempotent": False,
        }

    async def stop(self) -> None:
        """Stop everything."""
        for host in self.hosts.values():
            for program in list(host.kernels):
                await host.stop(program)
        for engine in self.engines.values():
            await engine.stop()
        await self.plain.stop()
        await self.platform_server.stop()


def stream_of(cluster: Cluster, name: str) -> log.Stream:
    """Return a stream of the stand-in log."""
    return cluster.platform.log.stream(name)
