"""Enforces the rate limits of workspaces together with the other hosts."""

__all__ = ["Demands", "RateLimits", "Shares"]

import asyncio
import collections
import contextlib
from typing import ClassVar

import msgspec

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
# Time between two reports of demand; the first demand of a workspace is
# reported at once if it exceeds the free burst.
REPORT_INTERVAL_S = 1.0


@messages.message("limits.demand")
class Demands(msgspec.Struct, frozen=True):
    """Reports demand in requests per second, by ``SERVICE/WORKSPACE``."""

    demands: dict[str, float]


@messages.message("limits.share")
class Shares(msgspec.Struct, frozen=True):
    """Answers with the host's shares, by ``SERVICE/WORKSPACE``."""

    shares: dict[str, limits.Share]


@kernel.PARTS.register("entry")
class RateLimits(kernel.Part):
    """Enforces limits, and allocates those assigned to this host.

    Attributes:
      local: The limits that this host enforces.
      allocators: For the limits allocated here, by ``SERVICE/WORKSPACE``.
    """

    name: ClassVar[str] = "ratelimits"
    requires: ClassVar[tuple[str, ...]] = ("peers", "membership", "settings")

    def __init__(self, context: kernel.Context) -> None:
        self.context = context
        self.clock = context.clock
        self.peers = context.part(peers.Peers)
        self.members = context.part(membership.Membership)
        self.tree = context.part(tree.Tree)
        self.local = limits.LocalLimits()
        self.allocators: dict[str, limits.ShareAllocator] = {}
        self.wake = asyncio.Event()
        self.task: asyncio.Task[None] | None = None

    @classmethod
    def from_config(cls, context: kernel.Context) -> "RateLimits":
        return cls(context)

    async def start(self) -> None:
        self.peers.on(Demands, self.on_demands)
        self.task = asyncio.get_running_loop().create_task(
            tasks.forever("report of rate-limit demand", self.run)
        )

    def check(self, service: settings.Service, workspace: str) -> None:
        """Count a request against its workspace's limit.

        Raises:
          Refused: the workspace has exceeded its limit.
        """
        limit = service.workspace(workspace).requests_per_s
        if not limit:
            return
        key = f"{service.name}/{workspace}"
        hosts = len(self.members.live("entry"))
        now = self.clock.monotonic()
        wait_s = self.local.take(now, key, limit, hosts)
        state = self.local.states[key]
        if state.share is None and state.tokens < 1:
            self.wake.set()
        if wait_s:
            # Jitter, so that callers refused together do not retry together.
            jitter = 1 + self.context.rng.random()
            raise errors.Refused(
                429,
                "rate_limited",
                f"workspace is over {limit:g} requests per second",
                retry_after=max(1.0, wait_s) * jitter,
            )

    async def on_demands(
        self, sender: peers.Sender, message: Demands
    ) -> Shares:
        """Answer a host's report of demand with its shares."""
        return Shares(self.allocate(sender.host, message.demands))

    def allocate(
        self, host: str, demands: dict[str, float]
    ) -> dict[str, limits.Share]:
        """Return a host's shares of the limits it reported demand for."""
        now = self.clock.monotonic()
        hosts = len(self.members.live("entry"))
        shares = {}
        for key, demand in demands.items():
            limit = self.limit_of(key)
            if limit:
                allocator = self.allocators.setdefault(
                    key, limits.ShareAllocator()
                )
                shares[key] = allocator.allocate(
                    now, host, demand, limit, hosts
                )
        return shares

    def limit_of(self, key: str) -> float:
        """Return the limit of a workspace in the settings, 0 for none."""
        name, _, workspace = key.partition("/")
        service = self.tree.view.services.get(name)
        if service is None:
            return 0.0
        return service.workspace(workspace).requests_per_s

    async def run(self) -> None:
        """Report demand periodically."""
        while True:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.wake.wait(), REPORT_INTERVAL_S)
            self.wake.clear()
            self.report_demands()
            self.drop_idle()

    def report_demands(self) -> None:
        """Report each demand to the host that allocates its limit."""
        live = {member.name: member for member in self.members.live("entry")}
        grouped: dict[str, dict[str, float]] = collections.defaultdict(dict)
        for key, demand in self.local.due_reports(
            self.clock.monotonic()
        ).items():
            name = shards.preferred(f"limits/{key}", live)
            if name == self.members.own_name:
                own = self.context.config.host.name
                self.apply_shares(self.allocate(own, {key: demand}))
            elif name is not None:
                grouped[live[name].peer_address][key] = demand
        for address, demands in grouped.items():
            self.peers.spawn(
                self.ask(configs.Address.from_text(address), demands)
            )

    async def ask(
        self, address: configs.Address, demands: dict[str, float]
    ) -> None:
        """Ask for shares; without an answer the current ones expire."""
        try:
            answer = await self.peers.ask(address, Demands(demands))
        except errors.MessageError as error:
            LOG.debug("Could not get shares of rate limits: {}", error)
            return
        self.apply_shares(answer.shares)

    def apply_shares(self, shares: dict[str, limits.Share]) -> None:
        """Put the shares of an answer in force."""
        now = self.clock.monotonic()
        for key, share in shares.items():
            self.local.set_share(now, key, share)

    def drop_idle(self) -> None:
        """Drop allocators whose reported demands have all expired."""
        now = self.clock.monotonic()
        for key, allocator in list(self.allocators.items()):
            if all(until <= now for _, until in allocator.demands.values()):
                del self.allocators[key]

    async def stop(self) -> None:
        if self.task is not None:
            self.task.cancel()
