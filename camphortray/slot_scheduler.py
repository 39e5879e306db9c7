"""Schedules requests on engine slots: each is granted, queued or refused.

One scheduler covers all engines of a service. Engines run requests in order
of arrival and know no priorities, so an online request that is queued inside
an engine may wait behind batch work. The scheduler keeps the requests of all
hosts together within the slots, so that all queueing happens here, by
priority:

- an online request takes a free slot, else preempts a batch item, which
  resumes elsewhere from its last event, else is queued if a slot is
  expected within its maximum wait, else is refused at once;
- batch items take the slots that online requests do not use, earliest due
  time first; items that can no longer meet their due time go last.

Where slots are short, workspaces get them by fair shares: requests wait in the
order of the shares, so that those beyond the share of their workspace wait or
are refused first.
"""

__all__ = [
    "Decision",
    "EngineSlots",
    "Grant",
    "Lease",
    "Refuse",
    "Revoke",
    "SlotRequest",
    "SlotScheduler",
    "Throttle",
]

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Set
import functools
import math

import msgspec
import xxhash

from camphortray import config as configs
from camphortray import enginehealth
from camphortray import fair_shares
from camphortray import onlinepeaks
from camphortray import slot_accounting
from camphortray import slot_queue
from camphortray import slottable

EngineSlots = slottable.EngineSlots
Lease = slot_queue.Lease
SlotRequest = slot_queue.SlotRequest

# Assumed time for which an online request holds a slot, until one is measured.
INITIAL_HOLD_S = 0.7
# Requests that a workspace may send at once after it was idle before it counts
# as over its share of the slots.
BURST_REQUESTS = 5
# Weight of a new sample in the exponential moving averages.
EWMA_WEIGHT = 0.05
# Largest share of its time-to-first-event objective that a request may wait
# for a slot. The rest is for the network and the prefill of the prompt.
MAX_WAIT_SHARE = 0.6
# A preempted item gets its next slot within this many times the mean wait;
# an item with less slack than that may miss its due time if preempted.
SAFE_WAIT_FACTOR = 4
# Assumed mean wait of a preempted item, until one is measured.
INITIAL_REQUEUE_WAIT_S = 0.75
# A batch item gets a slot that online requests have not used for this many
# times the item's start time. An item preempted sooner has cost its engine a
# prefill that delays the prompts of online requests. Beside bursts of online
# requests, batch items raise the p99 time to first event by 1 to 6%, against
# 4 to 28% if they get free slots at once (6 engines of 8 slots).
HOLD_BACK_FACTOR = 6
# Holding items back leaves about 5% of the slot time idle, so it stops when
# draining their queue takes longer than the slack of its first item divided
# by this. With faults and more items than slots, holding items back all the
# time earns only 0.54 to 0.73 of the value of the items.
PRESSED_FACTOR = 2
# Items skipped in one decision, being held back or without a suitable engine,
# after which no more are examined; each costs some microseconds.
MAX_SKIPPED_ITEMS = 8


class Grant(msgspec.Struct, frozen=True):
    """Lets the holder run its request on an engine."""

    want: SlotRequest
    engine: str


class Refuse(msgspec.Struct, frozen=True):
    """Refuses a request that cannot get a slot in time."""

    want: SlotRequest
    retry_after_s: float


class Throttle(Refuse, frozen=True):
    """Refuses a request by the limit of its workspace.

    Attributes:
      certain: Whether the limit is reached; else it may be.
    """

    certain: bool = True


class Revoke(msgspec.Struct, frozen=True):
    """Revokes the lease of a batch item, which its holder then stops."""

    want: SlotRequest


Decision = Grant | Refuse | Revoke


class SlotScheduler:
    """Schedules the requests of one service.

    Attributes:
      accounting: Leases and the number of slots in use.
      queue: Online requests that wait, by priority, then by the share of
        their workspace, then by age.
      shares: Slot time that workspaces use while online requests wait.
      items: Batch items that wait.
      item_shares: Slot time that workspaces use while items are short of
        time.
      hold_s: Mean time for which an online request holds a slot.
      requeue_wait_s: Mean time for which a preempted item waits for a slot.
      peaks: Recent peaks in the slots held by online requests.
      recheck_at: When an item that is held back may get a slot.
      items_from: Time from which batch items are granted slots; before it a
        new coordinator does not yet know which requests run.
      experiments: Mechanisms in use; ablation experiments disable some.
    """

    def __init__(
        self,
        experiments: configs.ExperimentsConfig = configs.ALL_ON,
        salt: str = "",
        weight_of: Callable[[str], float] = fair_shares.equal_weight,
    ) -> None:
        self.experiments = experiments
        self.shares = fair_shares.FairShares(
            weight_of, BURST_REQUESTS * INITIAL_HOLD_S
        )
        self.item_shares = fair_shares.FairShares(weight_of)
        self.accounting = slot_accounting.SlotAccounting(experiments, salt)
        self.queue: list[SlotRequest] = []
        self.items = slot_queue.ItemQueue()
        self.hold_s = INITIAL_HOLD_S
        self.requeue_wait_s = INITIAL_REQUEUE_WAIT_S
        self.peaks = onlinepeaks.SlidingPeaks()
        self.recheck_at = math.inf
        self.items_from = -math.inf

    @property
    def leases(self) -> dict[str, Lease]:
        """Leases by request id."""
        return self.accounting.leases

    @property
    def used(self) -> dict[str, int]:
        """Slots in use, by engine."""
        return self.accounting.table.used

    # Events.

    def set_engines(
        self, engines: Iterable[EngineSlots], now: float
    ) -> list[Decision]:
        """Replace the engines that may get new work."""
        self.accounting.table.set_engines(engines)
        return self.decide(now)

    def knows(self, want_id: str) -> bool:
        """Return whether an online request waits or holds a slot."""
        return want_id in self.leases or any(
            queued.id == want_id for queued in self.queue
        )

    def set_share(self, share: float) -> None:
        """Set the share of each engine's slots that may be granted."""
        self.accounting.table.share = share

    def ask(self, want: SlotRequest, now: float) -> list[Decision]:
        """Add a request; an online one is granted, refused or queued."""
        if want.id in self.leases:
            # The message with the grant was lost.
            return [Grant(want, self.leases[want.id].engine)]
        if not want.online:
            self.items.add(want)
            return self.decide(now)
        self.queue = [queued for queued in self.queue if queued.id != want.id]
        table = self.accounting.table
        if not table.engines or not table.serves(want.version):
            return [Refuse(want, self.retry_after_s(self.hold_s, want))]
        self.queue.append(want)
        self.sort_queue()
        return self.decide(now)

    def sort_queue(self) -> None:
        """Order the waiting requests by priority, share and age."""
        self.queue.sort(key=lambda queued: (queued.priority, queued.asked_at))
        if not self.experiments.fair_shares:
            return
        if len({queued.workspace for queued in self.queue}) < 2:
            return
        tags = self.shares.tags(
            (queued.workspace for queued in self.queue), self.hold_s
        )
        ordered = sorted(
            zip(self.queue, tags, strict=True),
            key=lambda tagged: (tagged[0].priority, tagged[1]),
        )
        self.queue = [queued for queued, _ in ordered]

    def adopt(self, lease: Lease) -> None:
        """Add a lease that another coordinator has granted."""
        self.accounting.adopt(lease)
        self.charge(lease)

    def charge(self, lease: Lease) -> None:
        """Charge the workspace of a lease the time that it may take."""
        if lease.want.online:
            lease.charged_s = self.hold_s
            self.shares.charge(lease.want.workspace, lease.charged_s)
        else:
            lease.charged_s = lease.want.work_s
            self.item_shares.charge(lease.want.workspace, lease.charged_s)

    def settle(self, lease: Lease, now: float) -> None:
        """Charge the workspace of an ended lease the time that it took."""
        shares = self.shares if lease.want.online else self.item_shares
        held_s = now - lease.granted_at
        shares.correct(lease.want.workspace, held_s - lease.charged_s)

    def done(
        self,
        want_id: str,
        outcome: enginehealth.Outcome,
        now: float,
        pace_s: float = 0.0,
    ) -> list[Decision]:
        """End the lease of a request, or remove the request if it waits.

        Args:
          want_id: Id of the request.
          outcome: How the lease ended.
          now: Present time.
          pace_s: Mean seconds between the events of its stream, if known.
        """
        self.items.drop(want_id)
        self.accounting.revocations.confirmed(want_id)
        self.queue = [queued for queued in self.queue if queued.id != want_id]
        lease = self.accounting.drop(want_id)
        if lease is None:
            return (
                self.decide(now) if self.accounting.end_orphan(want_id) else []
            )
        self.settle(lease, now)
        if outcome is enginehealth.Outcome.GOOD and lease.want.online:
            held_s = now - lease.granted_at
            self.hold_s += EWMA_WEIGHT * (held_s - self.hold_s)
        self.accounting.table.speeds.record(lease.engine, pace_s, now)
        self.accounting.table.record_outcome(
            lease.engine, outcome, now, lease.want.online
        )
        return self.decide(now)

    # Decisions.

    def decide(self, now: float) -> list[Decision]:
        """Grant slots, online requests first, and refuse late requests."""
        decisions: list[Decision] = []
        self.accounting.orphan_unconfirmed(now)
        self.peaks.record(self.accounting.active.online, now)
        self.serve_queue(now, decisions)
        self.peaks.record(self.accounting.active.online, now)
        self.serve_items(now, decisions)
        return decisions

    def serve_queue(self, now: float, decisions: list[Decision]) -> None:
        """Grant slots to queued online requests, or refuse them."""
        waiting: list[SlotRequest] = []
        self.shares.advance({want.workspace for want in self.queue})
        for want in self.queue:
            engine = self.free_engine(want, now)
            if engine is None:
                victim = (
                    self.victim(want, now)
                    if self.experiments.give_way
                    else None
                )
                if victim is not None:
                    engine = victim.engine
                    self.revoke(victim, now, decisions)
            if engine is not None:
                self.grant(want, engine, now, decisions)
                continue
            wait_s = self.wait_s(len(waiting), now)
            max_wait_s = (
                want.asked_at + want.objective_s * MAX_WAIT_SHARE - now
            )
            expected_s = wait_s if self.experiments.refuse_at_once else 0.0
            if (
                expected_s > max_wait_s
                or now >= want.asked_at + want.left_s
                or not self.accounting.table.serves(want.version)
            ):
                retry_after_s = self.retry_after_s(wait_s, want)
                decisions.append(Refuse(want, retry_after_s))
            else:
                waiting.append(want)
        self.queue = waiting

    def serve_items(self, now: float, decisions: list[Decision]) -> None:
        """Grant the remaining slots to batch items."""
        skipped: list[SlotRequest] = []
        self.recheck_at = math.inf
        if now < self.items_from:
            self.recheck_at = self.items_from
            return
        if self.queue or not self.accounting.table.free_slots(now):
            return
        turns = self.item_turns(now)
        while (
            not self.queue
            and self.accounting.table.free_slots(now) > 0
            and len(skipped) < MAX_SKIPPED_ITEMS
        ):
            want = self.items.pop(now, turns)
            if want is None:
                break
            engine = None
            if self.would_hold_slot(want, now):
                engine = self.free_engine(want, now)
            if engine is None:
                skipped.append(want)
                continue
            if want.made_s:
                waited_s = now - want.asked_at
                self.requeue_wait_s += EWMA_WEIGHT * (
                    waited_s - self.requeue_wait_s
                )
            self.grant(want, engine, now, decisions)
        for want in skipped:
            self.items.add(want)

    def item_turns(self, now: float) -> fair_shares.FairShares | None:
        """Return the shares by which items take turns, if time is short."""
        first = self.items.first()
        if (
            first is None
            or len(self.items.lanes) < 2
            or not self.experiments.fair_shares
            or not self.pressed(first, now)
        ):
            self.item_shares.advance(())
            return None
        self.item_shares.advance(self.items.lanes)
        return self.item_shares

    def would_hold_slot(self, want: SlotRequest, now: float) -> bool:
        """Return whether a batch item would hold a slot for long enough.

        It would if a slot stays free even when online requests use as many
        as at their recent peak.
        """
        if not self.experiments.hold_back or self.pressed(want, now):
            return True
        window_s = HOLD_BACK_FACTOR * want.start_s
        peak = self.peaks.within(window_s, now)
        if (
            self.accounting.table.free_slots(now)
            > peak.count - self.accounting.active.online
        ):
            return True
        self.recheck_at = min(self.recheck_at, peak.until + window_s)
        return False

    def pressed(self, want: SlotRequest, now: float) -> bool:
        """Return whether batch items are short of time.

        Args:
          want: The batch item that is next in the queue.
          now: Present time.
        """
        slots = max(
            1,
            self.accounting.table.open_slots(now)
            - self.accounting.active.online,
        )
        drain_s = len(self.items) * want.work_s / slots
        threshold_s = (
            PRESSED_FACTOR * drain_s if self.experiments.pressed else -math.inf
        )
        return want.begin_by - now < threshold_s

    def wait_s(self, ahead: int, now: float) -> float:
        """Return the expected wait for a slot behind ``ahead`` requests."""
        open_slots = self.accounting.table.open_slots(now)
        if not open_slots:
            return enginehealth.UNREACHED_S
        return (ahead + 1) * self.hold_s / open_slots

    def retry_after_s(self, wait_s: float, want: SlotRequest) -> float:
        """Return when to retry, at most a third of the time left.

        The delay has a jitter derived from the request id, so that refused
        requests do not retry all at once.
        """
        jitter = xxhash.xxh64_intdigest(want.id.encode()) / 2**64
        jitter = jitter if self.experiments.spread_return else 0.5
        delay_s = max(wait_s, self.hold_s / 4) + self.hold_s * jitter
        return min(delay_s, want.left_s / 3)

    def room(self, engine: str, now: float) -> int:
        """Return how many slots of an engine may be in use."""
        return self.accounting.table.room(engine, now)

    def free_slots(self, now: float) -> int:
        """Return the number of free slots."""
        return self.accounting.table.free_slots(now)

    def free_engine(self, want: SlotRequest, now: float) -> str | None:
        """Return the best engine with a free slot for a request."""
        return self.accounting.table.best(
            want.prefix, want.zone, self.excluded(want), now, want.online
        )

    def excluded(self, want: SlotRequest) -> Set[str]:
        """Return the engines that a request cannot use."""
        return want.avoid | self.accounting.table.of_other_versions(
            want.version
        )

    def victim(self, want: SlotRequest, now: float) -> Lease | None:
        """Return the lease of the batch item to preempt, if there is one."""
        engines = self.excluded(want)

        def suits(excluded: Set[str], lease: Lease) -> bool:
            return (
                lease.engine not in engines
                and lease.want.holder not in excluded
                and self.accounting.table.room(lease.engine, now) > 0
            )

        safe_s = SAFE_WAIT_FACTOR * self.requeue_wait_s
        for excluded in self.accounting.revocations.excluded_holders(now):
            fits = functools.partial(suits, excluded)
            found = self.accounting.active.preemption_candidate(fits, safe_s)
            if found is not None:
                return found
        return None

    def revoke(
        self, lease: Lease, now: float, decisions: list[Decision]
    ) -> None:
        """Revoke a lease; its holder asks for a slot again to resume."""
        self.settle(lease, now)
        self.accounting.revoke(lease, now)
        decisions.append(Revoke(lease.want))

    def grant(
        self,
        want: SlotRequest,
        engine: str,
        now: float,
        decisions: list[Decision],
    ) -> None:
        """Grant a slot."""
        lease = Lease(want, engine, now)
        self.accounting.add(lease)
        self.charge(lease)
        decisions.append(Grant(want, engine))

    def next_decision_at(self, now: float) -> float | None:
        """Return when to decide again even if no event arrives."""
        times = [
            want.asked_at + want.objective_s * MAX_WAIT_SHARE
            for want in self.queue
        ]
        if self.recheck_at < math.inf:
            times.append(self.recheck_at)
        expiry_at = self.accounting.revocations.next_expiry_at()
        if expiry_at is not None:
            times.append(expiry_at)
        if self.queue or self.items:
            times += self.accounting.table.health.retry_times(now)
        return min(times, default=None)
