"""Decides which slots count as in use, for the book that gives out the rest.

A slot is in use by a lease, or by an orphan: a run whose lease has ended
without a message of its end. The table counts both; each change is made here,
so that no slot is lost for good or given out twice.
"""

__all__ = ["SlotAccounting"]

from camphortray import config as configs
from camphortray import orphaned_leases
from camphortray import revocations
from camphortray import slot_queue
from camphortray import slottable


class SlotAccounting:
    """Slots of one service that are in use, and by what.

    Attributes:
      table: Slots by engine, and which are free.
      held: Leases, and which of them give way.
      orphaned: Slots of runs whose holder is lost.
      revocations: Slots taken back whose holder has not answered yet.
    """

    def __init__(
        self, on: configs.ExperimentsConfig = configs.ALL_ON, salt: str = ""
    ) -> None:
        self.table = slottable.SlotTable(on, salt)
        self.held = slot_queue.Leases()
        self.orphaned = orphaned_leases.OrphanedLeases()
        self.revocations = revocations.Revocations()

    @property
    def leases(self) -> dict[str, slot_queue.Lease]:
        """Leases by id of their wants."""
        return self.held.by_id

    # Leases.

    def add(self, lease: slot_queue.Lease) -> None:
        """Count a lease."""
        self.held.add(lease)
        self.table.count(lease.engine, 1)

    def drop(self, name: str) -> slot_queue.Lease | None:
        """Count a lease no more; return it, if it was there."""
        lease = self.held.pop(name)
        if lease is not None:
            self.table.count(lease.engine, -1)
        return lease

    def take_back(self, lease: slot_queue.Lease, now: float) -> None:
        """Count a lease no more, and await its holder's answer."""
        want = lease.want
        self.drop(want.id)
        self.revocations.add(want.id, lease.engine, want.holder, now)

    def lapse(self, now: float) -> None:
        """Count on what was taken back from holders that do not answer."""
        for name, revocation in self.revocations.lapsed(now).items():
            self.orphaned.add(revocation.engine, name, now)
            self.table.count(revocation.engine, 1)

    # Orphans.

    def orphan(self, name: str, now: float) -> None:
        """Count on the slot of a lease that ends without a message."""
        lease = self.held.pop(name)
        if lease is None:
            return
        if lease.engine in self.table.engines:
            self.orphaned.add(lease.engine, name, now)
        else:
            self.table.count(lease.engine, -1)

    def end_orphan(self, name: str) -> bool:
        """Count an orphan no more whose end has come late."""
        engine = self.orphaned.ended(name)
        if engine is not None:
            self.table.count(engine, -1)
        return engine is not None

    def adopt(self, lease: slot_queue.Lease) -> None:
        """Count a lease that was not given here.

        A book that has just begun may have met its run at the engine
        before its holder reported it.
        """
        if self.orphaned.adopt(lease.engine):
            self.table.count(lease.engine, -1)
        self.add(lease)

    def found(self, engine: str, foreign: int, now: float) -> None:
        """Take how many runs an engine has that no lease accounts for."""
        known = self.orphaned.count(engine)
        self.orphaned.reported(engine, foreign, now)
        self.table.count(engine, self.orphaned.count(engine) - known)

    def expire(self, now: float) -> None:
        """Forget orphans that must be over by now."""
        counts = {n: self.orphaned.count(n) for n in self.table.used}
        for engine in self.orphaned.expire(now):
            self.table.count(engine, -counts.get(engine, 0))
