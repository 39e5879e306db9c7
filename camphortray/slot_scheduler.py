"""Decides which request gets which engine's slot, which waits or is refused.

One book covers all engines of a service. Engines run what comes in order
of arrival and know no priorities, so a queue inside an engine is the one
place where an online request can wait behind batch work. The book keeps
the requests sent by all hosts together within the slots, and so all
waiting happens here, where it can be ordered:

- an online request takes a free slot, else that of a batch item, which
  goes on elsewhere from its last event, else it waits its turn if that
  comes within its patience, else it is refused at once;
- batch items take every slot that online requests leave alone, the ones due
  first, but those that cannot be done in time only behind the others.
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
]

from collections.abc import Iterable
from collections.abc import Set
import dataclasses
import functools
import math

import xxhash

from camphortray import config as configs
from camphortray import enginehealth
from camphortray import onlinepeaks
from camphortray import slot_accounting
from camphortray import slot_queue
from camphortray import slottable

EngineSlots = slottable.EngineSlots
Lease = slot_queue.Lease
SlotRequest = slot_queue.SlotRequest

# Seconds an online request holds a slot, before any was measured.
FIRST_HOLD_S = 0.7
# Weight of a new measurement in the running mean of that time.
LEARN = 0.05
# Share of the objective that a request may wait for its slot. The rest is
# for the way to and from the caller and the reading of the prompt.
PATIENCE = 0.6
# An item that gave way takes up to this many times its mean wait for a
# slot before it runs again; with less time to spare it may be late for it.
SAFE_TIMES = 4
# The mean wait before any was measured, in seconds.
FIRST_WAIT_S = 0.75
# A batch item gets a slot that online requests have left alone for so many
# times as long as it takes to start. One that is taken back sooner has used
# up its engine's time to read its text again, in front of the prompts of
# online requests. Measured over three seeds with batch beside questions in
# bursts, 6 engines of 8 slots: p99 of the first event is 1.01 to 1.06 times
# that without batch, where slots given at once made it 1.04 to 1.28.
PAYBACK = 6
# Only while items have time: left alone, about 5 in 100 of the slots' time is
# idle. Where all that wait would have had their turn only after the first
# one's time to spare, divided by this, every slot counts. Measured on two
# days of trouble with more items than slots: 0.54 and 0.73 of what items are
# worth were earned with items held back throughout.
PRESSED_TIMES = 2
# Items passed over, as they are held back so or no engine suits them, after
# which no more are looked at; each costs some microseconds.
MOST_PASSED = 8


@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """Lets a holder run a request at an engine."""

    want: SlotRequest
    engine: str


@dataclasses.dataclass(frozen=True, slots=True)
class Refuse:
    """Refuses a request, as there is no room in time."""

    want: SlotRequest
    retry_after_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Revoke:
    """Takes a slot back: its holder stops the item at its engine."""

    want: SlotRequest


Decision = Grant | Refuse | Revoke


class SlotScheduler:
    """Slots of one service.

    Attributes:
      use: Slots in use, and by what.
      queue: Online requests that wait, first come first.
      items: Batch items that wait.
      hold_s: Mean time that an online request holds a slot.
      wait_again_s: Mean time that an item waits which has given way.
      peaks: Slots that online requests have held.
      look_at: When an item that is held back may fit.
      items_from: When batch items may get slots; before, a new coordinator
        does not know yet what runs.
      on: What an ablation has not switched off.
    """

    def __init__(
        self, on: configs.ExperimentsConfig = configs.ALL_ON, spread: str = ""
    ) -> None:
        self.on = on
        self.use = slot_accounting.SlotAccounting(on, spread)
        self.queue: list[SlotRequest] = []
        self.items = slot_queue.ItemQueue()
        self.hold_s = FIRST_HOLD_S
        self.wait_again_s = FIRST_WAIT_S
        self.peaks = onlinepeaks.Peaks()
        self.look_at = math.inf
        self.items_from = -math.inf

    @property
    def leases(self) -> dict[str, Lease]:
        """Leases by id of their wants."""
        return self.use.leases

    @property
    def used(self) -> dict[str, int]:
        """Slots in use, by engine."""
        return self.use.table.used

    # Events.

    def set_engines(
        self, engines: Iterable[EngineSlots], now: float
    ) -> list[Decision]:
        """Take the engines that may get new work."""
        self.use.table.set_engines(engines)
        return self.decide(now)

    def set_share(self, share: float) -> None:
        """Take the share of the slots that may be used."""
        self.use.table.share = share

    def ask(self, want: SlotRequest, now: float) -> list[Decision]:
        """Take a new want; an online one is answered at once or queued."""
        if want.id in self.leases:
            # The grant was lost on the way.
            return [Grant(want, self.leases[want.id].engine)]
        if not want.online:
            self.items.add(want)
            return self.decide(now)
        self.queue = [held for held in self.queue if held.id != want.id]
        if not self.use.table.engines:
            return [Refuse(want, self.return_in(self.hold_s, want))]
        self.queue.append(want)
        self.queue.sort(key=lambda held: (held.priority, held.asked_at))
        return self.decide(now)

    def done(
        self, name: str, outcome: enginehealth.Outcome, now: float
    ) -> list[Decision]:
        """Take the end of a lease, or of a want that waited."""
        self.items.drop(name)
        self.use.revocations.confirmed(name)
        self.queue = [held for held in self.queue if held.id != name]
        lease = self.use.drop(name)
        if lease is None:
            return self.decide(now) if self.use.end_orphan(name) else []
        if outcome is enginehealth.Outcome.GOOD and lease.want.online:
            held_s = now - lease.granted_at
            self.hold_s += LEARN * (held_s - self.hold_s)
        self.use.table.record_outcome(lease.engine, outcome, now)
        return self.decide(now)

    # What is decided.

    def decide(self, now: float) -> list[Decision]:
        """Give out slots, online requests first, and refuse what is late."""
        decisions: list[Decision] = []
        self.use.lapse(now)
        self.peaks.note(self.use.held.online, now)
        self.serve_queue(now, decisions)
        self.peaks.note(self.use.held.online, now)
        self.serve_items(now, decisions)
        return decisions

    def serve_queue(self, now: float, decisions: list[Decision]) -> None:
        """Give online requests their slots, or refuse them."""
        waiting: list[SlotRequest] = []
        for want in self.queue:
            engine = self.free_engine(want, now)
            if engine is None:
                victim = self.victim(want, now) if self.on.give_way else None
                if victim is not None:
                    engine = victim.engine
                    self.revoke(victim, now, decisions)
            if engine is not None:
                self.grant(want, engine, now, decisions)
                continue
            wait_s = self.wait_s(len(waiting), now)
            patience_s = want.asked_at + want.objective_s * PATIENCE - now
            expected_s = wait_s if self.on.refuse_at_once else 0.0
            if expected_s > patience_s or now >= want.asked_at + want.left_s:
                back_s = self.return_in(wait_s, want)
                decisions.append(Refuse(want, back_s))
            else:
                waiting.append(want)
        self.queue = waiting

    def serve_items(self, now: float, decisions: list[Decision]) -> None:
        """Give batch items what is left."""
        passed: list[SlotRequest] = []
        self.look_at = math.inf
        if now < self.items_from:
            self.look_at = self.items_from
            return
        while (
            not self.queue
            and self.use.table.free_slots(now) > 0
            and len(passed) < MOST_PASSED
        ):
            want = self.items.pop(now)
            if want is None:
                break
            engine = None
            if self.would_keep(want, now):
                engine = self.free_engine(want, now)
            if engine is None:
                passed.append(want)
                continue
            if want.made_s:
                waited_s = now - want.asked_at
                self.wait_again_s += LEARN * (waited_s - self.wait_again_s)
            self.grant(want, engine, now, decisions)
        for want in passed:
            self.items.add(want)

    def would_keep(self, want: SlotRequest, now: float) -> bool:
        """Return whether a batch item would keep a slot for long enough.

        So it is where a slot stays free even if online requests take back
        as many as they had at their last peak.
        """
        if not self.on.hold_back or self.pressed(want, now):
            return True
        window_s = PAYBACK * want.start_s
        peak = self.peaks.within(window_s, now)
        if self.use.table.free_slots(now) > peak.count - self.use.held.online:
            return True
        self.look_at = min(self.look_at, peak.until + window_s)
        return False

    def pressed(self, want: SlotRequest, now: float) -> bool:
        """Return whether batch items are short of time, the first given."""
        slots = max(1, self.use.table.open_slots(now) - self.use.held.online)
        turn_s = len(self.items) * want.work_s / slots
        short_s = PRESSED_TIMES * turn_s if self.on.pressed else -math.inf
        return want.begin_by - now < short_s

    def wait_s(self, ahead: int, now: float) -> float:
        """Return the expected wait behind so many others."""
        open_slots = self.use.table.open_slots(now)
        if not open_slots:
            return enginehealth.UNREACHED_S
        return (ahead + 1) * self.hold_s / open_slots

    def return_in(self, wait_s: float, want: SlotRequest) -> float:
        """Return when to come back, within a third of the time left.

        Spread by the request's own id, so that refused ones do not come
        back together.
        """
        point = xxhash.xxh64_intdigest(want.id.encode()) / 2**64
        point = point if self.on.spread_return else 0.5
        wanted_s = max(wait_s, self.hold_s / 4) + self.hold_s * point
        return min(wanted_s, want.left_s / 3)

    def room(self, engine: str, now: float) -> int:
        """Return the slots of an engine that may be in use."""
        return self.use.table.room(engine, now)

    def free_slots(self, now: float) -> int:
        """Return the number of free slots."""
        return self.use.table.free_slots(now)

    def free_engine(self, want: SlotRequest, now: float) -> str | None:
        """Return the engine with a free slot that suits a want best."""
        return self.use.table.best(want.prefix, want.zone, want.avoid, now)

    def victim(self, want: SlotRequest, now: float) -> Lease | None:
        """Return the batch item that can best give way, if there is one."""

        def suits(passed: Set[str], lease: Lease) -> bool:
            return (
                lease.engine not in want.avoid
                and lease.want.holder not in passed
                and self.use.table.room(lease.engine, now) > 0
            )

        safe_s = SAFE_TIMES * self.wait_again_s
        for passed in self.use.revocations.excluded_holders(now):
            fits = functools.partial(suits, passed)
            found = self.use.held.preemption_candidate(fits, safe_s)
            if found is not None:
                return found
        return None

    def revoke(
        self, lease: Lease, now: float, decisions: list[Decision]
    ) -> None:
        """Take a slot back; the item asks again, from where it stands."""
        self.use.take_back(lease, now)
        decisions.append(Revoke(lease.want))

    def grant(
        self,
        want: SlotRequest,
        engine: str,
        now: float,
        decisions: list[Decision],
    ) -> None:
        """Give a slot."""
        self.use.add(Lease(want, engine, now))
        decisions.append(Grant(want, engine))

    def next_look(self, now: float) -> float | None:
        """Return when to decide anew though nothing has happened."""
        times = [
            want.asked_at + want.objective_s * PATIENCE for want in self.queue
        ]
        if self.look_at < math.inf:
            times.append(self.look_at)
        recall_at = self.use.revocations.next_look()
        if recall_at is not None:
            times.append(recall_at)
        if self.queue or self.items:
            times += self.use.table.health.retry_times(now)
        return min(times, default=None)
