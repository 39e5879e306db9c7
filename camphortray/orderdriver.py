"""Gives orders to upstreams for the services whose shard this host owns."""

__all__ = ["OrderDriver"]

import asyncio
import contextlib
import functools
from typing import ClassVar

import msgspec

from camphortray import compaction
from camphortray import engine
from camphortray import errors
from camphortray import journal
from camphortray import kernel
from camphortray import log_backends
from camphortray import logs
from camphortray import orders
from camphortray import ownership
from camphortray import records
from camphortray import rollout
from camphortray import settings
from camphortray import shards
from camphortray import tasks
from camphortray import tree

LOG = logs.logger("orders")
# Seconds from one look at the upstreams of a shard to the next.
LOOK_S = 5.0
APPEND_S = 5.0
# Upstreams asked for their state at once.
PARALLEL = 16


def shard_of_service(path: str, count: int) -> int:
    """Return the shard of a service's orders."""
    return shards.shard_of("", path, count)


class OrderShard:
    """One shard of orders on this host.

    Attributes:
      gained_at: When this host came to own it, on the monotonic clock.
      sent_at: When a load was last ordered, by name of upstream.
    """

    def __init__(self, number: int, context: kernel.Context) -> None:
        config = context.config
        self.number = number
        self.clock = context.clock
        self.fold = orders.OrdersFold()
        self.journal = journal.Journal(
            context.part(log_backends.Backends).log,
            shards.stream_name("orders", number),
            self.fold,
            records.Writer(f"{config.host.name}/batch", context.incarnation),
            context.rng,
            config.streams.record_limit_bytes,
        )
        self.owner = ownership.Owner(self.journal, ownership.Members(context))
        self.owner.on_gain = self.on_gain
        self.compactor = compaction.Compactor(
            self.journal,
            config.streams.retention_s,
            context.clock.wall,
            lambda: 0 if self.owner.owned else self.owner.rank() + 1,
        )
        self.gained_at = 0.0
        self.sent_at: dict[str, float] = {}
        self.changed = asyncio.Event()

    def on_gain(self, epoch: int) -> None:
        """Note since when this host owns the shard."""
        self.gained_at = self.clock.monotonic()
        self.sent_at.clear()
        self.changed.set()


@kernel.PARTS.register("batch")
class OrderDriver(kernel.Part):
    """Brings upstreams to what the settings want, and keeps them there."""

    name: ClassVar[str] = "orders"
    requires: ClassVar[tuple[str, ...]] = (
        "backends",
        "settings",
        "membership",
    )

    def __init__(self, context: kernel.Context) -> None:
        self.context = context
        self.backends = context.part(log_backends.Backends)
        self.tree = context.part(tree.Tree)
        self.shards = [
            OrderShard(number, context)
            for number in range(context.config.shards.orders)
        ]
        self.tasks: list[asyncio.Task[None]] = []
        self.limit = asyncio.Semaphore(PARALLEL)

    @classmethod
    def from_config(cls, context: kernel.Context) -> "OrderDriver":
        return cls(context)

    async def start(self) -> None:
        loop = asyncio.get_running_loop()
        for shard in self.shards:
            shard.journal.start()
            shard.owner.start()
            shard.compactor.start()
            work = functools.partial(self.run, shard)
            self.tasks.append(
                loop.create_task(tasks.forever("driver of orders", work))
            )
        self.tree.listen(self.on_view)

    def on_view(self, view: settings.View) -> None:
        """Look at once when the settings change."""
        for shard in self.shards:
            shard.changed.set()

    async def run(self, shard: OrderShard) -> None:
        """Look at the upstreams of a shard now and then, while owning it."""
        while True:
            shard.changed.clear()
            if shard.owner.owned:
                await self.look_safely(shard)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(LOOK_S):
                    await shard.changed.wait()

    async def look_safely(self, shard: OrderShard) -> None:
        """Look at all services of a shard; one that fails stops no other."""
        for service in self.services(shard):
            try:
                await self.look(shard, service)
            except errors.CamphortrayError as error:
                LOG.warning("{}: {}", service.path, error)

    def services(self, shard: OrderShard) -> list[settings.Service]:
        """Return the services whose orders this shard gives."""
        count = len(self.shards)
        return [
            service
            for service in self.tree.view.services.values()
            if service.get("kind") == "engines"
            and shard_of_service(service.path, count) == shard.number
        ]

    async def look(self, shard: OrderShard, service: settings.Service) -> None:
        """Read the state of a service's upstreams and order what differs."""
        upstreams = list(service.upstreams.values())
        found = await asyncio.gather(*(self.state(u) for u in upstreams))
        states = {
            upstream.name: state
            for upstream, state in zip(upstreams, found, strict=True)
            if state is not None
        }
        limits = rollout.Limits(
            service.get("rollout.floor"), await self.loads(service)
        )
        steps = rollout.next_steps(
            {u.name: wanted_of(service, u) for u in upstreams},
            states,
            limits,
            self.loading(shard, service),
        )
        for step in steps:
            await self.give(shard, service, step)

    async def state(
        self, upstream: engine.Upstream
    ) -> engine.EngineState | None:
        """Return the state of an upstream, or None if it does not answer."""
        async with self.limit:
            try:
                party = self.backends.engine(upstream.plugin)
                return await party.state(upstream)
            except errors.CamphortrayError as error:
                LOG.info("No state: {}", error)
                return None

    def loading(
        self, shard: OrderShard, service: settings.Service
    ) -> frozenset[str]:
        """Return upstreams whose last load may not show in their state."""
        since = self.context.clock.monotonic() - LOOK_S
        return frozenset(
            name
            for name in service.upstreams
            if shard.sent_at.get(name, 0.0) > since
        )

    async def loads(self, service: settings.Service) -> int:
        """Return how many loads may share the weight store at once.

        The store's rate is shared by all shards; as many loads run as
        would each end in the time that settings allow for one.
        """
        store = self.backends.weights
        if store is None:
            return 1
        counts = []
        for model, version in service.models.items():
            try:
                size = await store.size(model, version)
            except errors.CamphortrayError as error:
                LOG.warning("{} {}: {}", model, version, error)
                return 1
            share = size.rate_bytes_s / len(self.shards)
            budget = share * service.get("rollout.load_s")
            counts.append(int(budget / max(size.size_bytes, 1)))
        return max(1, min(counts, default=1))

    async def give(
        self,
        shard: OrderShard,
        service: settings.Service,
        step: rollout.Step,
    ) -> None:
        """Give one order, after saying so in the log.

        Raises:
          LogError: ownership could not be confirmed; nothing was sent.
        """
        upstream = service.upstreams[step.upstream]
        if not self.may_order(shard, service, upstream):
            return
        intent = orders.OrderIntent(
            service.path,
            upstream.name,
            step.order,
            self.context.clock.wall(),
        )
        began = self.context.clock.monotonic()
        epoch = shard.owner.epoch
        outcome = await shard.journal.append(
            orders.INTENT, msgspec.to_builtins(intent), epoch, APPEND_S
        )
        if not outcome.valid or not self.fresh(service, upstream, began):
            return
        await self.send(shard, service, upstream, step.order, epoch)

    def may_order(
        self,
        shard: OrderShard,
        service: settings.Service,
        upstream: engine.Upstream,
    ) -> bool:
        """Return whether an old owner's order can no longer be under way.

        An upstream that checks fencing tokens refuses a late order. With
        one that does not, a new owner waits out the longest time such an
        order can take, so that what it reads back is final.
        """
        if upstream.checks_fencing:
            return True
        waited = self.context.clock.monotonic() - shard.gained_at
        return bool(waited >= service.get("order.longest_s"))

    def fresh(
        self,
        service: settings.Service,
        upstream: engine.Upstream,
        began: float,
    ) -> bool:
        """Return whether the confirmed ownership is recent enough.

        If this process was paused since it wrote its intent, another
        host may own the shard by now and have waited long enough. Half
        of that wait is left for the order itself.
        """
        if upstream.checks_fencing:
            return True
        passed = self.context.clock.monotonic() - began
        return bool(passed < service.get("order.longest_s") / 2)

    async def send(
        self,
        shard: OrderShard,
        service: settings.Service,
        upstream: engine.Upstream,
        order: engine.Order,
        epoch: int,
    ) -> None:
        """Send an order and note what became of it."""
        if order.action == "load":
            shard.sent_at[upstream.name] = self.context.clock.monotonic()
        party = self.backends.engine(upstream.plugin)
        try:
            answer = await party.order(upstream, with_fencing(order, epoch))
        except errors.CamphortrayError as error:
            # It may have been taken; the state read next tells.
            answer = engine.OrderAnswer(False, f"no answer: {error}")
        LOG.info(
            "{} {} {}: {}",
            upstream.name,
            order.action,
            order.model or order.role,
            "accepted" if answer.accepted else answer.reason,
        )
        body = orders.OrderAnswered(
            service.path, upstream.name, answer.accepted, answer.reason
        )
        await shard.journal.append(
            orders.ANSWERED, msgspec.to_builtins(body), epoch, APPEND_S
        )

    def ready(self) -> str:
        failed = [s.journal.failure for s in self.shards]
        return next(filter(None, failed), "")

    async def drain(self) -> None:
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*(s.owner.release() for s in self.shards))

    async def stop(self) -> None:
        for task in self.tasks:
            task.cancel()
        for shard in self.shards:
            await shard.compactor.stop()
            await shard.owner.stop()
            await shard.journal.stop()


def with_fencing(order: engine.Order, epoch: int) -> engine.Order:
    """Return an order that carries its epoch.

    Epochs are offsets and begin at 0; tokens begin at 1, as 0 stands for
    an order without one.
    """
    return engine.Order(
        order.action,
        order.model,
        order.version,
        order.adapter,
        order.role,
        epoch + 1,
    )


def wanted_of(
    service: settings.Service, upstream: engine.Upstream
) -> rollout.Wanted:
    """Return what the settings want of an upstream."""
    adapters = frozenset(
        (model, adapter)
        for model in service.models
        for adapter in service.get(f"model.{model}.adapters")
    )
    return rollout.Wanted(
        service.models,
        adapters,
        service.get(f"upstream.{upstream.name}.role"),
    )
