"""Slots on upstreams that batch work of this host may use."""

__all__ = ["Slot", "Slots"]

import asyncio
import collections
import dataclasses
from typing import ClassVar

from camphortray import config as configs
from camphortray import engine
from camphortray import grant_messages
from camphortray import holding
from camphortray import kernel
from camphortray import membership
from camphortray import peers
from camphortray import settings
from camphortray import slot_granter
from camphortray import tasks
from camphortray import timers
from camphortray import tree
from camphortray import upstreams

# Seconds from one request for slots to the next; grants last longer than
# two of them, so that one lost message takes no slot away.
RENEW_S = 0.5
# Seconds from one look for ended grants to the next.
LAPSE_S = 0.1
# Least seconds between two requests sent out of turn.
HASTE_S = 0.05
# Least seconds from one look at the pace to the next.
LEAST_WAIT_S = 0.005
# Share of its slots used on an upstream for which no coordinator is known,
# as when this host sees no entry member. Online work may be there unseen.
UNCOORDINATED_SHARE = 0.25


@dataclasses.dataclass(eq=False)
class Slot:
    """Leave to run one batch item on an upstream.

    Attributes:
      upstream: Where.
      revoked: Set when the slot is taken back; the item is to be
        cancelled at the engine and its tokens kept.
    """

    upstream: engine.Upstream
    revoked: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)


@dataclasses.dataclass(eq=False)
class Waiter:
    """An item that waits for a slot."""

    service: settings.Service
    without: frozenset[str]
    prefer: str
    slot: asyncio.Future[Slot]


@kernel.PARTS.register("batch")
class Slots(kernel.Part):
    """Asks coordinators for slots and hands out those granted.

    Attributes:
      holdings: Grants and slots in use.
      waiters: Items that wait, first come first.
    """

    name: ClassVar[str] = "slots"
    requires: ClassVar[tuple[str, ...]] = (
        "upstreams",
        "peers",
        "membership",
        "settings",
    )

    def __init__(self, context: kernel.Context) -> None:
        self.context = context
        self.clock = context.clock
        self.upstreams = context.part(upstreams.Upstreams)
        self.peers = context.part(peers.Peers)
        self.members = context.part(membership.Membership)
        self.coordinators = slot_granter.CoordinatorMap(self.members)
        self.holdings: holding.Holdings[Slot] = holding.Holdings()
        self.waiters: list[Waiter] = []
        self.known: dict[str, engine.Upstream] = {}
        self.asked_at = -RENEW_S
        self.asked: set[str] = set()
        self.wake = asyncio.Event()
        self.pacing = False
        self.task: asyncio.Task[None] | None = None
        context.part(tree.Tree).listen(self.on_view)

    @classmethod
    def from_config(cls, context: kernel.Context) -> "Slots":
        return cls(context)

    async def start(self) -> None:
        self.peers.on(grant_messages.Grants, self.on_grants)
        self.task = asyncio.get_running_loop().create_task(
            tasks.forever("asking for slots", self.run)
        )

    def on_view(self, view: settings.View) -> None:
        """Let those who wait see the upstreams that settings name now.

        An item that waits while an operator replaces all upstreams would
        else wait for a slot on one that is gone, and never end.
        """
        for waiter in self.waiters:
            name = waiter.service.name
            waiter.service = view.services.get(name, waiter.service)
        self.wake.set()

    async def acquire(
        self,
        service: settings.Service,
        without: frozenset[str] = frozenset(),
        prefer: str = "",
    ) -> Slot:
        """Wait for a slot on an upstream of a service.

        Args:
          service: Which service.
          without: Names of upstreams that will not do.
          prefer: Upstream that holds the item's prefix in its cache, if
            one does; taken if it has a slot when one is handed out.
        """
        slot = self.free_slot(service, without, prefer)
        if slot is not None:
            return slot
        loop = asyncio.get_running_loop()
        waiter = Waiter(service, without, prefer, loop.create_future())
        self.waiters.append(waiter)
        self.wake.set()
        try:
            return await waiter.slot
        except asyncio.CancelledError:
            # The slot may have come in the same step of the loop; nobody
            # else would ever give it back.
            if waiter.slot.done() and not waiter.slot.cancelled():
                await self.release(waiter.slot.result())
            raise
        finally:
            if waiter in self.waiters:
                self.waiters.remove(waiter)

    def free_slot(
        self,
        service: settings.Service,
        without: frozenset[str],
        prefer: str = "",
    ) -> Slot | None:
        """Return a slot on the upstream preferred or with the most free."""
        now = self.clock.monotonic()
        best: engine.Upstream | None = None
        most = 0
        for candidate in self.upstreams.candidates(service, without):
            free = self.holdings.free(now, candidate.upstream.name)
            if free and candidate.upstream.name == prefer:
                best = candidate.upstream
                break
            if free > most:
                best, most = candidate.upstream, free
        if best is None:
            return None
        slot = Slot(best)
        self.holdings.take(now, best.name, slot)
        return slot

    async def release(self, slot: Slot) -> None:
        """Give a slot back."""
        self.holdings.give_back(slot.upstream.name, slot)
        self.hand_out()

    def hand_out(self) -> None:
        """Give free slots to those who wait.

        Items that were preempted come first where their prefix is cached.
        """
        now = self.clock.monotonic()
        free = {
            name
            for name in self.holdings.holdings
            if self.holdings.free(now, name)
        }
        if not free:
            self.hand_out_later()
            return
        for waiter in sorted(
            self.waiters, key=lambda waiter: waiter.prefer not in free
        ):
            if not free:
                break
            slot = self.free_slot(
                waiter.service, waiter.without, waiter.prefer
            )
            if slot is not None:
                if not self.holdings.free(now, slot.upstream.name):
                    free.discard(slot.upstream.name)
                self.waiters.remove(waiter)
                if waiter.slot.done():
                    self.holdings.give_back(slot.upstream.name, slot)
                else:
                    waiter.slot.set_result(slot)
        self.hand_out_later()

    def hand_out_later(self) -> None:
        """Look again once another slot may be taken, if one is granted."""
        at = self.holdings.next_free_at()
        if self.pacing or not self.waiters or at is None:
            return
        self.pacing = True
        wait_s = max(LEAST_WAIT_S, at - self.clock.monotonic())
        asyncio.get_running_loop().call_later(wait_s, self.hand_out_paced)

    def hand_out_paced(self) -> None:
        """Hand out what the pace now allows."""
        self.pacing = False
        self.hand_out()

    async def on_grants(
        self, sender: peers.Sender, message: grant_messages.Grants
    ) -> None:
        """Take grants; slots above them are revoked."""
        now = self.clock.monotonic()
        for upstream, slots in message.slots.items():
            self.revoke(
                self.holdings.grant(
                    now,
                    upstream,
                    slots,
                    message.hold_ms / 1000,
                    message.pace_ms / 1000,
                )
            )
        self.hand_out()

    def revoke(self, slots: list[Slot]) -> None:
        """Tell those who hold slots to stop."""
        for slot in slots:
            slot.revoked.set()
            self.context.metrics.inc(
                "batch_slots_revoked_total",
                "Batch slots taken back while in use.",
                {"upstream": slot.upstream.name},
            )

    def wants(self) -> dict[str, grant_messages.Want]:
        """Return what this host could use, by upstream."""
        waiting: collections.Counter[str] = collections.Counter()
        alike = collections.Counter(
            (waiter.service.name, waiter.without) for waiter in self.waiters
        )
        services = {w.service.name: w.service for w in self.waiters}
        for (name, without), count in alike.items():
            for candidate in self.upstreams.candidates(
                services[name], without
            ):
                self.known[candidate.upstream.name] = candidate.upstream
                waiting[candidate.upstream.name] += count
        used = dict(self.holdings.in_use())
        return {
            name: grant_messages.Want(
                waiting[name] + used.get(name, 0), used.get(name, 0)
            )
            for name in sorted({*waiting, *used, *self.asked})
        }

    def ask(self) -> None:
        """Ask every coordinator for what could be used."""
        wants = self.wants()
        self.asked = {name for name, want in wants.items() if want.wanted}
        grouped: dict[str, dict[str, grant_messages.Want]] = (
            collections.defaultdict(dict)
        )
        for name, want in wants.items():
            member = self.coordinators.of(name)
            if member is None:
                self.grant_alone(name, want)
            else:
                grouped[member.peer_address][name] = want
        own = str(self.peers.address)
        for address, asked in grouped.items():
            self.peers.notify(
                configs.Address.from_text(address),
                grant_messages.Wants(own, asked),
            )
        self.asked_at = self.clock.monotonic()

    def grant_alone(self, name: str, want: grant_messages.Want) -> None:
        """Use a small share of an upstream that nobody coordinates."""
        upstream = self.known.get(name)
        limit = upstream.slots if upstream is not None else 0
        allowed = min(want.wanted, max(1, int(limit * UNCOORDINATED_SHARE)))
        now = self.clock.monotonic()
        self.revoke(self.holdings.grant(now, name, allowed, 2 * RENEW_S))
        self.hand_out()

    async def run(self) -> None:
        """Ask in time and give up what has ended."""
        while True:
            if not self.waiters and not any(self.holdings.in_use()):
                self.wake.clear()
                await self.wake.wait()
            now = self.clock.monotonic()
            new = any(name not in self.asked for name in self.wants())
            waited = now - self.asked_at
            if waited >= RENEW_S or (new and waited >= HASTE_S):
                self.ask()
            self.revoke(self.holdings.lapse(self.clock.monotonic()))
            stood_s = await timers.sleep(LAPSE_S if self.asked else HASTE_S)
            if stood_s > HASTE_S:
                now = self.clock.monotonic()
                self.holdings.stood_still(now, min(stood_s, RENEW_S))
                self.ask()

    async def stop(self) -> None:
        if self.task is not None:
            self.task.cancel()
