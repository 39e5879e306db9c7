"""Keeps the rate limits of workspaces together with the other hosts."""

__all__ = ["Demands", "RateLimits", "Shares"]

import asyncio
import collections
import contextlib
import dataclasses
from typing import ClassVar

from camphortray import config as configs
from camphortray import errors
from camphortray import kernel
from camphortray import limits
from camphortray import logs
from camphortray import membership
from camphortray import messages
from camphortray import peers
from camphortray import settings
from camphortray import shards
from camphortray import tasks
from camphortray import tree

LOG = logs.logger("limits")
# Seconds from one look for demands to tell to the next; a first demand is
# told at once.
TICK_S = 1.0


@messages.message("limits.demand")
@dataclasses.dataclass(frozen=True, slots=True)
class Demands:
    """Tells requests per second asked for, by ``SERVICE/WORKSPACE``."""

    demands: dict[str, float]


@messages.message("limits.share")
@dataclasses.dataclass(frozen=True, slots=True)
class Shares:
    """Answers with the host's shares, by ``SERVICE/WORKSPACE``."""

    shares: dict[str, limits.Share]


@kernel.PARTS.register("entry")
class RateLimits(kernel.Part):
    """Checks limits and divides those that this host is chosen for."""

    name: ClassVar[str] = "ratelimits"
    requires: ClassVar[tuple[str, ...]] = ("peers", "membership", "settings")

    def __init__(self, context: kernel.Context) -> None:
        self.context = context
        self.clock = context.clock
        self.peers = context.part(peers.Peers)
        self.members = context.part(membership.Membership)
        self.tree = context.part(tree.Tree)
        self.local = limits.LocalLimits()
        self.dividers: dict[str, limits.Divider] = {}
        self.wake = asyncio.Event()
        self.task: asyncio.Task[None] | None = None

    @classmethod
    def from_config(cls, context: kernel.Context) -> "RateLimits":
        return cls(context)

    async def start(self) -> None:
        self.peers.on(Demands, self.on_demands)
        self.task = asyncio.get_running_loop().create_task(
            tasks.forever("word on demands", self.run)
        )

    def check(self, service: settings.Service, workspace: str) -> None:
        """Count a request against its workspace's limit.

        Raises:
          Refused: the workspace is over its limit.
        """
        limit = service.workspace(workspace).requests_per_s
        if not limit:
            return
        key = f"{service.name}/{workspace}"
        hosts = len(self.members.live("entry"))
        now = self.clock.monotonic()
        wait = self.local.take(now, key, limit, hosts)
        local = self.local.locals[key]
        if local.share is None and local.tokens < 1:
            self.wake.set()
        if wait:
            # Spread, so that those refused together come back apart.
            spread = 1 + self.context.rng.random()
            raise errors.Refused(
                429,
                "rate_limited",
                f"workspace is over {limit:g} requests per second",
                retry_after=max(1.0, wait) * spread,
            )

    async def on_demands(
        self, sender: peers.Sender, message: Demands
    ) -> Shares:
        """Divide limits for a host that asks."""
        return Shares(self.divide(sender.host, message.demands))

    def divide(
        self, host: str, demands: dict[str, float]
    ) -> dict[str, limits.Share]:
        """Return a host's shares."""
        now = self.clock.monotonic()
        hosts = len(self.members.live("entry"))
        shares = {}
        for key, demand in demands.items():
            limit = self.limit_of(key)
            if limit:
                divider = self.dividers.setdefault(key, limits.Divider())
                shares[key] = divider.divide(now, host, demand, limit, hosts)
        return shares

    def limit_of(self, key: str) -> float:
        """Return the limit in force here, 0 if there is none."""
        name, _, workspace = key.partition("/")
        service = self.tree.view.services.get(name)
        if service is None:
            return 0.0
        return service.workspace(workspace).requests_per_s

    async def run(self) -> None:
        """Tell demands in time."""
        while True:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.wake.wait(), TICK_S)
            self.wake.clear()
            self.publish_due()
            self.forget()

    def publish_due(self) -> None:
        """Tell each demand to the host that divides its limit."""
        live = {member.name: member for member in self.members.live("entry")}
        grouped: dict[str, dict[str, float]] = collections.defaultdict(dict)
        for key, demand in self.local.due(self.clock.monotonic()).items():
            name = shards.preferred(f"limits/{key}", live)
            if name == self.members.own_name:
                own = self.context.config.host.name
                self.give(self.divide(own, {key: demand}))
            elif name is not None:
                grouped[live[name].peer_address][key] = demand
        for address, demands in grouped.items():
            self.peers.spawn(
                self.ask(configs.Address.from_text(address), demands)
            )

    async def ask(
        self, address: configs.Address, demands: dict[str, float]
    ) -> None:
        """Ask for shares; without an answer the ones before run out."""
        try:
            answer = await self.peers.ask(address, Demands(demands))
        except errors.MessageError as error:
            LOG.debug("No shares: {}", error)
            return
        self.give(answer.shares)

    def give(self, shares: dict[str, limits.Share]) -> None:
        """Put shares in force."""
        now = self.clock.monotonic()
        for key, share in shares.items():
            self.local.give(now, key, share)

    def forget(self) -> None:
        """Drop dividers that nobody has asked for some time."""
        now = self.clock.monotonic()
        for key, divider in list(self.dividers.items()):
            if all(until <= now for _, until in divider.demands.values()):
                del self.dividers[key]

    async def stop(self) -> None:
        if self.task is not None:
            self.task.cancel()
