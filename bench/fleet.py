"""A fleet in virtual time: real parts, modelled engines and network.

The parts ``slot_granter``, ``slots``, ``signals``, ``membership`` and
``upstreams`` are those of the product. Links between hosts only delay and
count messages; engines are the timing model of the stand-in engine.
"""

__all__ = ["Fleet", "MeasuredModel", "Network", "VirtualPeers"]

import asyncio
import dataclasses
import random
from typing import Any

import msgspec

from camphortray import clock as clocks
from camphortray import config as configs
from camphortray import errors
from camphortray import kernel
from camphortray import membership
from camphortray import messages
from camphortray import metrics
from camphortray import peers
from camphortray import routing
from camphortray import settings
from camphortray import signals
from camphortray import slot_granter
from camphortray import slots
from camphortray import standin_engine
from camphortray import tree
from camphortray import upstreams

# One way between hosts, and between a host and an engine, in seconds.
HOP_S = 0.001
TIE_S = 1e-7
REGION = "region"
SERVICE = "lm"


class Network:
    """Delivers messages late; hosts can be cut off.

    Attributes:
      cut: Names of hosts whose messages are lost, both ways.
      sent: Bytes sent by each program, without framing.
    """

    def __init__(self) -> None:
        self.nodes: dict[configs.Address, VirtualPeers] = {}
        self.cut: set[str] = set()
        self.sent: dict[str, int] = {}
        self.last = 0.0

    def send(
        self, source: "VirtualPeers", target: configs.Address, message: Any
    ) -> None:
        """Deliver a message after one hop."""
        node = self.nodes[target]
        content = self.carry(source, node, message)
        if content is None:
            return
        loop = asyncio.get_running_loop()
        # Timers due at the same time fire in any order; a link keeps it.
        self.last = max(self.last + TIE_S, loop.time() + HOP_S)
        loop.call_at(self.last, self.deliver, node, source.sender, content)

    def carry(
        self, source: "VirtualPeers", target: "VirtualPeers", message: Any
    ) -> Any:
        """Return a message as it arrives, or None if it is lost."""
        data = messages.encode(messages.Envelope(0, False, message))
        name = str(source.sender)
        self.sent[name] = self.sent.get(name, 0) + len(data)
        if {source.sender.host, target.sender.host} & self.cut:
            return None
        return messages.decode(data).message

    async def ask(
        self,
        source: "VirtualPeers",
        target: configs.Address,
        message: Any,
        timeout_s: float,
    ) -> Any:
        """Ask a question and return its answer."""
        node = self.nodes[target]
        content = self.carry(source, node, message)
        await asyncio.sleep(HOP_S)
        if content is not None:
            answer = await node.dispatch(source.sender, content)
            content = self.carry(node, source, answer)
            await asyncio.sleep(HOP_S)
        if content is None:
            await asyncio.sleep(timeout_s)
            raise errors.MessageError("no answer in time", step="ask")
        return content

    def deliver(
        self, node: "VirtualPeers", sender: peers.Sender, message: Any
    ) -> None:
        """Run the handler of a message that has come."""
        node.spawn(node.dispatch(sender, message))


class VirtualPeers(peers.Peers):
    """Links over a ``Network``."""

    def __init__(self, context: kernel.Context, network: Network) -> None:
        super().__init__(context)
        self.network = network
        self.address = configs.Address("127.0.0.1", 1000 + len(network.nodes))
        network.nodes[self.address] = self

    async def start(self) -> None:
        """Open no socket."""

    def notify(self, address: configs.Address, message: Any) -> None:
        self.network.send(self, address, message)

    async def ask(
        self, address: configs.Address, message: Any, timeout_s: float = 1.0
    ) -> Any:
        return await self.network.ask(self, address, message, timeout_s)

    async def stop(self) -> None:
        self.tasks.cancel()


class FixedTree(tree.Tree):
    """Settings that follow no log."""

    def __init__(self, values: dict[str, Any]) -> None:
        fold = settings.SettingsFold()
        fold.nodes[f"{REGION}/{SERVICE}"] = settings.Node(1, values)
        fold.revision = 1
        self.listeners = []
        self.view = settings.View(fold, REGION)


class FixedMembership(membership.Membership):
    """Members that a fleet puts there."""

    def __init__(self, context: kernel.Context) -> None:
        self.context = context
        self.own_name = f"{context.config.host.name}/{context.program}"
        self.held: dict[str, membership.Member] = {}
        self.listeners = []
        self.lively: dict[str, list[membership.Member]] = {}

    @property
    def members(self) -> dict[str, membership.Member]:
        return self.held

    def put(self, member: membership.Member) -> None:
        self.held[member.name] = member
        self.lively.clear()
        for listener in self.listeners:
            listener(member)

    def drop(self, name: str) -> None:
        """Hold a member for dead."""
        dead = membership.Status.DEAD
        self.put(msgspec.structs.replace(self.held[name], status=dead))

    async def stop(self) -> None:
        """Stop nothing."""


class FixedUpstreams(upstreams.Upstreams):
    """Upstreams that are all well, known by this host's own work alone."""

    def __init__(self, context: kernel.Context) -> None:
        self.context = context
        self.loads = routing.LoadTracker()

    def candidates(
        self, service: settings.Service, without: frozenset[str]
    ) -> list[routing.Candidate]:
        return [
            routing.Candidate(
                upstream,
                self.loads.load(name).own,
                self.loads.wait_s(upstream, 0.0),
            )
            for name, upstream in service.upstreams.items()
            if name not in without
        ]

    async def stop(self) -> None:
        """Stop nothing."""


class MeasuredModel(standin_engine.EngineModel):
    """An engine that adds up how much of it was in use.

    Attributes:
      used_s: Seconds of the whole engine, in parts: time for prompts
        counts whole, the rest by the share of ``slots`` in use.
      steps: Number of steps made.
    """

    slots = 32

    def __init__(self, timing: standin_engine.TimingModel) -> None:
        super().__init__(timing)
        self.used_s = 0.0
        self.steps = 0

    def plan_step(self) -> tuple[float, list[standin_engine.Sequence]]:
        before = sum(s.prefill_left for s in self.running)
        seconds, decoding = super().plan_step()
        read = before - sum(s.prefill_left for s in self.running)
        prompts_s = read * self.timing.per_prefill_s
        share = min(1.0, len(self.running) / self.slots)
        self.used_s += prompts_s + (seconds - prompts_s) * share
        self.steps += 1
        return seconds, decoding


@dataclasses.dataclass
class Program:
    """One program of one host, with just the parts at work here."""

    context: kernel.Context

    def part(self, cls: type[kernel.P]) -> kernel.P:
        """Return a part."""
        return self.context.part(cls)


class Fleet:
    """Hosts and engines.

    Attributes:
      entries: Entry programs.
      batches: Batch programs.
      engines: Models by name of upstream.
    """

    def __init__(
        self, hosts: int, engines: int, values: dict[str, Any], seed: int
    ) -> None:
        self.rng = random.Random(seed)
        self.network = Network()
        timing = standin_engine.TimingModel()
        names = [f"engine-{number}" for number in range(engines)]
        self.engines = {name: MeasuredModel(timing) for name in names}
        for number, name in enumerate(names):
            values[f"upstream.{name}.address"] = f"127.0.0.1:{number + 1}"
            values[f"upstream.{name}.slots"] = MeasuredModel.slots
        self.tree = FixedTree(values)
        self.service = self.tree.view.services[SERVICE]
        self.entries = [self.program(n, "entry") for n in range(hosts)]
        self.batches = [self.program(n, "batch") for n in range(hosts)]

    def program(self, number: int, name: str) -> Program:
        """Build the parts of one program."""
        config = configs.Config.from_data(
            {
                "host": {
                    "name": f"host-{number}",
                    "availability_zone": f"zone-{number % 3}",
                    "region": REGION,
                },
                "log": {"address": "127.0.0.1:1"},
                "hostlist": {"address": "127.0.0.1:1"},
            }
        )
        clock = clocks.SystemClock()
        context = kernel.Context(
            config,
            name,
            1,
            clock,
            random.Random(self.rng.random()),
            metrics.Metrics(),
        )
        made: list[kernel.Part] = [
            VirtualPeers(context, self.network),
            self.tree,
        ]
        context.parts = {part.name: part for part in made}
        classes: list[type[kernel.Part]] = [
            FixedMembership,
            FixedUpstreams,
            signals.Signals,
        ]
        classes.append(
            slot_granter.SlotGranter if name == "entry" else slots.Slots
        )
        for cls in classes:
            context.parts[cls.name] = cls.from_config(context)
        return Program(context)

    async def start(self) -> None:
        """Start all parts and let everyone know everyone."""
        members = []
        for program in self.entries + self.batches:
            own = program.part(membership.Membership)
            members.append(
                membership.Member(
                    own.own_name,
                    1,
                    membership.Status.ALIVE,
                    program.context.config.host.availability_zone,
                    str(program.part(peers.Peers).address),
                    "",
                )
            )
        for program in self.entries + self.batches:
            for member in members:
                program.part(membership.Membership).put(member)
            last = slot_granter.SlotGranter, slots.Slots
            for part in program.context.parts.values():
                if isinstance(part, last):
                    await part.start()

    async def stop(self) -> None:
        """Stop all parts and engines."""
        for program in self.entries + self.batches:
            for part in reversed(list(program.context.parts.values())):
                if part is not self.tree:
                    await part.stop()
        for engine in self.engines.values():
            if engine.task is not None:
                engine.task.cancel()
