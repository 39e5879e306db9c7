"""Decides which request gets which engine's slot, which waits or is refused.

One book covers all engines of a service. Engines run what comes in order
of arrival and know no priorities, so a queue inside an engine is the one
place where an online request can wait behind batch work. The book keeps
the requests sent by all hosts together within the slots, and so all
waiting happens here, where it can be ordered:

- an online request takes a free slot, else that of a batch item, which
  goes on elsewhere from its last event, else it waits its turn if that
  comes within its patience, else it is refused at once;
- batch items take every slot that is left, the ones due first, but those
  that cannot be done in time only behind the others.
"""

__all__ = [
    "Decision",
    "EngineSlots",
    "Grant",
    "Lease",
    "Refuse",
    "Revoke",
    "SlotBook",
    "Want",
]

from collections.abc import Iterable
import dataclasses
import math

import xxhash

from camphortray import enginehealth

# Seconds an online request holds a slot, before any was measured.
FIRST_HOLD_S = 0.7
# Weight of a new measurement in the running mean of that time.
LEARN = 0.05
# Share of the objective that a request may wait for its slot. The rest is
# for the way to and from the caller and the reading of the prompt.
PATIENCE = 0.6
# A lease that its holder does not name in a report made this long after
# the grant is one whose end was lost on the way, in seconds.
GRANT_WAY_S = 0.5
# Share added to the time that a batch item is expected to need.
MARGIN = 1.15
# Seconds by which a batch item should be done before it is due: its result
# has to be kept and read too.
READ_S = 0.8


@dataclasses.dataclass(frozen=True, slots=True)
class Want:
    """A request that asks for a slot.

    Attributes:
      id: Unique, new for each try.
      holder: Host that asks.
      online: Whether a caller waits for it; else it is a batch item.
      priority: Rank among online requests, 0 first.
      asked_at: When it was asked for.
      objective_s: Time to the first event, for online requests.
      left_s: Time after which nobody waits any more.
      due_at: When a batch item should be done.
      work_s: Time that a batch item will hold the slot, as expected.
      prefix: What it shares with other requests, or empty.
      zone: Availability zone of the host that asks.
      avoid: Engines that failed it.
    """

    id: str
    holder: str
    online: bool
    priority: int = 0
    asked_at: float = 0.0
    objective_s: float = 1.0
    left_s: float = 30.0
    due_at: float = math.inf
    work_s: float = 0.0
    prefix: str = ""
    avoid: frozenset[str] = frozenset()
    zone: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class EngineSlots:
    """An engine, how many requests it runs at once, and where it stands."""

    name: str
    slots: int
    zone: str = ""


@dataclasses.dataclass(slots=True)
class Lease:
    """Leave to run one request at an engine."""

    want: Want
    engine: str
    granted_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """Tells a holder to run a request at an engine."""

    want: Want
    engine: str


@dataclasses.dataclass(frozen=True, slots=True)
class Refuse:
    """Tells a holder that there is no room in time."""

    want: Want
    retry_after_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Revoke:
    """Tells a holder to stop a batch item at its engine."""

    want: Want


Decision = Grant | Refuse | Revoke


class SlotBook:
    """Slots of one service.

    Attributes:
      engines: Slots by engine.
      zones: Availability zone by engine.
      leases: By id of their wants.
      queue: Online requests that wait, first come first.
      items: Batch items that wait, by id.
      share: Share of the slots that may be used; below 1 where other
        books give out the same slots.
      hold_s: Mean time that an online request holds a slot.
    """

    def __init__(self) -> None:
        self.engines: dict[str, int] = {}
        self.zones: dict[str, str] = {}
        self.leases: dict[str, Lease] = {}
        self.queue: list[Want] = []
        self.items: dict[str, Want] = {}
        self.health = enginehealth.HealthBook()
        self.share = 1.0
        self.hold_s = FIRST_HOLD_S
        self.used: dict[str, int] = {}

    # What is told.

    def set_engines(
        self, engines: Iterable[EngineSlots], now: float
    ) -> list[Decision]:
        """Take the engines that may get new work."""
        held = list(engines)
        self.engines = {engine.name: engine.slots for engine in held}
        self.zones = {engine.name: engine.zone for engine in held}
        self.health.keep(self.engines)
        return self.decide(now)

    def ask(self, want: Want, now: float) -> list[Decision]:
        """Take a new want; an online one is answered at once or queued."""
        if want.id in self.leases:
            # The grant was lost on the way.
            return [Grant(want, self.leases[want.id].engine)]
        if not want.online:
            self.items[want.id] = want
            return self.decide(now)
        self.queue = [held for held in self.queue if held.id != want.id]
        if not self.engines:
            return [Refuse(want, self.return_in(self.hold_s, want))]
        self.queue.append(want)
        self.queue.sort(key=lambda held: (held.priority, held.asked_at))
        return self.decide(now)

    def done(
        self, name: str, outcome: enginehealth.Outcome, now: float
    ) -> list[Decision]:
        """Take the end of a lease, or of a want that waited."""
        self.items.pop(name, None)
        self.queue = [held for held in self.queue if held.id != name]
        lease = self.leases.pop(name, None)
        if lease is None:
            return []
        self.count(lease.engine, -1)
        if outcome is enginehealth.Outcome.GOOD and lease.want.online:
            held_s = now - lease.granted_at
            self.hold_s += LEARN * (held_s - self.hold_s)
        self.health.judge(lease.engine, outcome, now)
        return self.decide(now)

    def report(
        self,
        holder: str,
        leases: Iterable[Lease],
        wants: Iterable[Want],
        now: float,
    ) -> list[Decision]:
        """Take all that one host holds and waits for.

        It heals what messages lost on the way have left behind, and is
        how a host that has just become coordinator learns what runs.
        """
        named = {lease.want.id: lease for lease in leases}
        decisions: list[Decision] = []
        for name, held in list(self.leases.items()):
            if held.want.holder != holder or name in named:
                continue
            if now - held.granted_at > GRANT_WAY_S:
                self.drop_lease(name)
        for name, lease in named.items():
            if name not in self.leases:
                self.add_lease(lease)
        wanted = {want.id: want for want in wants}
        for name, want in list(self.items.items()):
            if want.holder == holder and name not in wanted:
                del self.items[name]
        for name, want in wanted.items():
            if name not in self.leases and not want.online:
                self.items[name] = want
        return decisions + self.decide(now)

    def forget(self, holder: str, now: float) -> list[Decision]:
        """Drop all of a host that is gone; its connections are closed."""
        for name, lease in list(self.leases.items()):
            if lease.want.holder == holder:
                self.drop_lease(name)
        self.queue = [held for held in self.queue if held.holder != holder]
        self.items = {
            name: want
            for name, want in self.items.items()
            if want.holder != holder
        }
        return self.decide(now)

    # What is decided.

    def decide(self, now: float) -> list[Decision]:
        """Give out slots, online requests first, and refuse what is late."""
        decisions: list[Decision] = []
        self.serve_queue(now, decisions)
        self.serve_items(now, decisions)
        return decisions

    def serve_queue(self, now: float, decisions: list[Decision]) -> None:
        """Give online requests their slots, or refuse them."""
        waiting: list[Want] = []
        for want in self.queue:
            engine = self.free_engine(want, now)
            if engine is None:
                victim = self.victim(want, now)
                if victim is not None:
                    engine = victim.engine
                    self.revoke(victim, decisions)
            if engine is not None:
                self.grant(want, engine, now, decisions)
                continue
            wait_s = self.wait_s(len(waiting), now)
            patience_s = want.asked_at + want.objective_s * PATIENCE - now
            if wait_s > patience_s or now >= want.asked_at + want.left_s:
                back_s = self.return_in(wait_s, want)
                decisions.append(Refuse(want, back_s))
            else:
                waiting.append(want)
        self.queue = waiting

    def serve_items(self, now: float, decisions: list[Decision]) -> None:
        """Give batch items what is left."""
        if self.queue or not self.items:
            return
        free = self.free_slots(now)
        if free <= 0:
            return
        for want in sorted(
            self.items.values(), key=lambda held: self.urgency(held, now)
        ):
            engine = self.free_engine(want, now)
            if engine is None:
                continue
            del self.items[want.id]
            self.grant(want, engine, now, decisions)
            free -= 1
            if free <= 0:
                return

    def urgency(self, want: Want, now: float) -> tuple[bool, float, str]:
        """Return the place of a batch item among others."""
        return self.slack(want, now) < 0, want.due_at, want.id

    def slack(self, want: Want, now: float) -> float:
        """Return the time a batch item has to spare."""
        return want.due_at - READ_S - now - want.work_s * MARGIN

    def wait_s(self, ahead: int, now: float) -> float:
        """Return the expected wait behind so many others."""
        open_slots = sum(
            self.room(name, now, whole=True) for name in self.engines
        )
        if not open_slots:
            return enginehealth.UNREACHED_S
        return (ahead + 1) * self.hold_s / open_slots

    def return_in(self, wait_s: float, want: Want) -> float:
        """Return when to come back, within a third of the time left.

        Spread by the request's own id, so that refused ones do not come
        back together.
        """
        point = xxhash.xxh64_intdigest(want.id.encode()) / 2**64
        wanted_s = max(wait_s, self.hold_s / 4) + self.hold_s * point
        return min(wanted_s, want.left_s / 3)

    def room(self, engine: str, now: float, whole: bool = False) -> int:
        """Return the slots of an engine that may be in use.

        Args:
          engine: Which.
          now: Present time.
          whole: Whether to leave trials out of account.
        """
        slots = self.engines.get(engine, 0)
        if self.share < 1.0:
            slots = max(1, math.ceil(slots * self.share))
        return self.health.room(engine, slots, now, whole)

    def free_slots(self, now: float) -> int:
        """Return the number of free slots."""
        return sum(
            max(0, self.room(name, now) - self.used.get(name, 0))
            for name in self.engines
        )

    def free_engine(self, want: Want, now: float) -> str | None:
        """Return the engine with a free slot that suits a want best."""
        best: tuple[bool, int, str] | None = None
        for name in self.engines:
            if name in want.avoid:
                continue
            free = self.room(name, now) - self.used.get(name, 0)
            if free <= 0:
                continue
            score = self.score(want, name, free)
            if best is None or score > best:
                best = score
        return best[-1] if best else None

    def score(
        self, want: Want, engine: str, free: int
    ) -> tuple[bool, int, str]:
        """Return how well an engine suits; the most is best.

        Bytes between zones are dear, and an engine with a free slot in
        the asker's zone answers as soon as any other. Requests that share
        a prefix meet at the same engine as long as it has room; the others
        go where most slots are free.
        """
        near = self.zones.get(engine) == want.zone
        if not want.prefix:
            return near, free, engine
        key = f"{want.prefix}\0{engine}".encode()
        return near, xxhash.xxh64_intdigest(key) >> 1, engine

    def victim(self, want: Want, now: float) -> Lease | None:
        """Return the batch item that can best give way, if there is one."""
        found = [
            lease
            for lease in self.leases.values()
            if not lease.want.online
            and lease.engine not in want.avoid
            and self.room(lease.engine, now) > 0
        ]
        if not found:
            return None
        # What cannot be done in time any more gives way first, then what
        # has most time to spare.
        return max(
            found,
            key=lambda lease: (
                self.slack(lease.want, lease.granted_at) < 0,
                self.slack(lease.want, lease.granted_at),
                lease.want.id,
            ),
        )

    def revoke(self, lease: Lease, decisions: list[Decision]) -> None:
        """Take a slot back; the item asks again, from where it stands."""
        self.drop_lease(lease.want.id)
        decisions.append(Revoke(lease.want))

    def grant(
        self, want: Want, engine: str, now: float, decisions: list[Decision]
    ) -> None:
        """Give a slot."""
        self.add_lease(Lease(want, engine, now))
        decisions.append(Grant(want, engine))

    def add_lease(self, lease: Lease) -> None:
        """Count a lease."""
        self.leases[lease.want.id] = lease
        self.count(lease.engine, 1)

    def drop_lease(self, name: str) -> None:
        """Count a lease no more."""
        lease = self.leases.pop(name)
        self.count(lease.engine, -1)

    def count(self, engine: str, by: int) -> None:
        """Change the number of leases at an engine."""
        left = self.used.get(engine, 0) + by
        if left:
            self.used[engine] = left
        else:
            self.used.pop(engine, None)

    def next_look(self, now: float) -> float | None:
        """Return when to decide anew though nothing has been told."""
        times = [
            want.asked_at + want.objective_s * PATIENCE for want in self.queue
        ]
        if self.queue or self.items:
            times += self.health.openings(now)
        return min(times, default=None)
