"""Acquires slots on upstreams for this host's batch work."""

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

# Seconds between requests for slots. Grants last longer than two intervals, so
# that a single lost message does not lose a slot.
RENEW_S = 0.5
# Seconds between checks for expired grants.
LAPSE_S = 0.1
# Minimum seconds between requests when further upstreams are needed; also the
# stall of this process above which grants are extended.
MIN_REQUEST_INTERVAL_S = 0.05
# Minimum seconds before a paced assignment of slots is retried.
MIN_RETRY_S = 0.005
# Share of the slots used on an upstream without a known coordinator, as when
# this host sees no entry member. Online work there would not be visible.
UNCOORDINATED_SHARE = 0.25


@dataclasses.dataclass(eq=False)
class Slot:
    """Permission to run one batch item on an upstream.

    Attributes:
      upstream: Upstream that runs the item.
      revoked: Set when the slot is revoked; the item must then be cancelled
        at the engine and its tokens kept.
    """

    upstream: engine.Upstream
    revoked: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)


@dataclasses.dataclass(eq=False)
class Waiter:
    """Batch item that waits for a slot.

    Attributes:
      service: Service on whose upstreams it may run.
      without: Names of upstreams that are excluded.
      prefer: Upstream whose cache holds the item's prefix, or empty.
      slot: Slot that is assigned to it.
    """

    service: settings.Service
    without: frozenset[str]
    prefer: str
    slot: asyncio.Future[Slot]


@kernel.PARTS.register("batch")
class Slots(kernel.Part):
    """Requests slots from coordinators and assigns them to batch items.

    Attributes:
      holdings: Grants and slots in use.
      waiters: Items that wait for a slot, in order of arrival.
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
        self.known_upstreams: dict[str, engine.Upstream] = {}
        self.requested_at = -RENEW_S
        self.requested: set[str] = set()
        self.wake = asyncio.Event()
        self.assignment_scheduled = False
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
        """Update waiting items to the upstreams in the new settings.

        Otherwise an item that waits while an operator replaces all upstreams
        would wait for ever for a slot on a removed upstream.
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
          service: Service on whose upstreams the slot may be.
          without: Names of upstreams to exclude.
          prefer: Upstream whose cache holds the item's prefix, or empty;
            chosen if it has a free slot at the time of assignment.
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
            # The slot may have been assigned in the same step of the event
            # loop; without this it would never be released.
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
        """Take a slot on the preferred upstream or the one with most free."""
        now = self.clock.monotonic()
        best: engine.Upstream | None = None
        most_free = 0
        for candidate in self.upstreams.candidates(service, without):
            free = self.holdings.free(now, candidate.upstream.name)
            if free and candidate.upstream.name == prefer:
                best = candidate.upstream
                break
            if free > most_free:
                best, most_free = candidate.upstream, free
        if best is None:
            return None
        slot = Slot(best)
        self.holdings.take(now, best.name, slot)
        return slot

    async def release(self, slot: Slot) -> None:
        """Release a slot and assign it to a waiting item."""
        self.holdings.release(slot.upstream.name, slot)
        self.assign_slots()

    def assign_slots(self) -> None:
        """Assign free slots to waiting items.

        Preempted items go first if a slot is free where their prefix is
        cached.
        """
        now = self.clock.monotonic()
        free = {
            name
            for name in self.holdings.holdings
            if self.holdings.free(now, name)
        }
        if not free:
            self.schedule_assignment()
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
                    self.holdings.release(slot.upstream.name, slot)
                else:
                    waiter.slot.set_result(slot)
        self.schedule_assignment()

    def schedule_assignment(self) -> None:
        """Schedule an assignment for when the pace allows another slot."""
        next_at = self.holdings.next_free_at()
        if self.assignment_scheduled or not self.waiters or next_at is None:
            return
        self.assignment_scheduled = True
        wait_s = max(MIN_RETRY_S, next_at - self.clock.monotonic())
        asyncio.get_running_loop().call_later(wait_s, self.assign_paced_slots)

    def assign_paced_slots(self) -> None:
        """Assign the slots that the pace now allows."""
        self.assignment_scheduled = False
        self.assign_slots()

    async def on_grants(
        self, sender: peers.Sender, message: grant_messages.Grants
    ) -> None:
        """Apply grants, revoking the slots in use above them."""
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
        self.assign_slots()

    def revoke(self, slots: list[Slot]) -> None:
        """Signal the holders of slots that these are revoked."""
        for slot in slots:
            slot.revoked.set()
            self.context.metrics.inc(
                "batch_slots_revoked_total",
                "Batch slots taken back while in use.",
                {"upstream": slot.upstream.name},
            )

    def wants(self) -> dict[str, grant_messages.Want]:
        """Return the number of slots this host could use, by upstream."""
        waiting: collections.Counter[str] = collections.Counter()
        counts = collections.Counter(
            (waiter.service.name, waiter.without) for waiter in self.waiters
        )
        services = {w.service.name: w.service for w in self.waiters}
        for (name, without), count in counts.items():
            for candidate in self.upstreams.candidates(
                services[name], without
            ):
                self.known_upstreams[candidate.upstream.name] = (
                    candidate.upstream
                )
                waiting[candidate.upstream.name] += count
        used = dict(self.holdings.in_use())
        return {
            name: grant_messages.Want(
                waiting[name] + used.get(name, 0), used.get(name, 0)
            )
            for name in sorted({*waiting, *used, *self.requested})
        }

    def ask(self) -> None:
        """Request slots from every coordinator concerned."""
        wants = self.wants()
        self.requested = {name for name, want in wants.items() if want.wanted}
        grouped: dict[str, dict[str, grant_messages.Want]] = (
            collections.defaultdict(dict)
        )
        for name, want in wants.items():
            member = self.coordinators.of(name)
            if member is None:
                self.grant_uncoordinated(name, want)
            else:
                grouped[member.peer_address][name] = want
        own = str(self.peers.address)
        for address, requested in grouped.items():
            self.peers.notify(
                configs.Address.from_text(address),
                grant_messages.Wants(own, requested),
            )
        self.requested_at = self.clock.monotonic()

    def grant_uncoordinated(
        self, name: str, want: grant_messages.Want
    ) -> None:
        """Grant a small share of an upstream without a coordinator."""
        upstream = self.known_upstreams.get(name)
        limit = upstream.slots if upstream is not None else 0
        allowed = min(want.wanted, max(1, int(limit * UNCOORDINATED_SHARE)))
        now = self.clock.monotonic()
        self.revoke(self.holdings.grant(now, name, allowed, 2 * RENEW_S))
        self.assign_slots()

    async def run(self) -> None:
        """Request slots periodically and revoke those whose grant expired."""
        while True:
            if not self.waiters and not any(self.holdings.in_use()):
                self.wake.clear()
                await self.wake.wait()
            now = self.clock.monotonic()
            has_new = any(name not in self.requested for name in self.wants())
            elapsed_s = now - self.requested_at
            if elapsed_s >= RENEW_S or (
                has_new and elapsed_s >= MIN_REQUEST_INTERVAL_S
            ):
                self.ask()
            self.revoke(self.holdings.expire(self.clock.monotonic()))
            stall_s = await timers.sleep(
                LAPSE_S if self.requested else MIN_REQUEST_INTERVAL_S
            )
            self.holdings.move_on(min(stall_s, RENEW_S))
            if stall_s > MIN_REQUEST_INTERVAL_S:
                now = self.clock.monotonic()
                self.holdings.extend_after_stall(now, min(stall_s, RENEW_S))
                self.ask()

    async def stop(self) -> None:
        if self.task is not None:
            self.task.cancel()
