"""Decides which slots count as in use, for the book that gives out the rest.

A slot is in use by a lease, or by an orphan: a run whose lease has ended
without word of its end. The table counts both; each change is made here, so
that no slot is lost for good or given out twice.
"""

__all__ = ["SlotUse"]

from camphortray import config as configs
from camphortray import orphans
from camphortray import recalls
from camphortray import slottable
from camphortray import slotwants


class SlotUse:
    """Slots of one service that are in use, and by what.

    Attributes:
      table: Slots by engine, and which are free.
      held: Leases, and which of them give way.
      orphans: Slots of runs whose holder is lost.
      recalls: Slots taken back whose holder has not answered yet.
    """

    def __init__(self, on: configs.ExperimentsConfig = configs.ALL_ON) -> None:
        self.table = slottable.SlotTable(on)
        self.held = slotwants.Leases()
        self.orphans = orphans.Orphans()
        self.recalls = recalls.Recalls()

    @property
    def leases(self) -> dict[str, slotwants.Lease]:
        """Leases by id of their wants."""
        return self.held.held

    # Leases.

    def add(self, lease: slotwants.Lease) -> None:
        """Count a lease."""
        self.held.add(lease)
        self.table.count(lease.engine, 1)

    def drop(self, name: str) -> slotwants.Lease | None:
        """Count a lease no more; return it, if it was there."""
        lease = self.held.pop(name)
        if lease is not None:
            self.table.count(lease.engine, -1)
        return lease

    def take_back(self, lease: slotwants.Lease, now: float) -> None:
        """Count a lease no more, and await its holder's answer."""
        want = lease.want
        self.drop(want.id)
        self.recalls.add(want.id, lease.engine, want.holder, now)

    def lapse(self, now: float) -> None:
        """Count on what was taken back from holders that do not answer."""
        for recall in self.recalls.lapsed(now):
            self.orphans.add(recall.engine, now)
            self.table.count(recall.engine, 1)

    # Orphans.

    def orphan(self, name: str, now: float) -> None:
        """Count on the slot of a lease that ends without word."""
        lease = self.held.pop(name)
        if lease is None:
            return
        if lease.engine in self.table.engines:
            self.orphans.add(lease.engine, now)
        else:
            self.table.count(lease.engine, -1)

    def adopt(self, lease: slotwants.Lease) -> None:
        """Count a lease that was not given here.

        A book that has just begun may have met its run at the engine
        before its holder told of it.
        """
        if self.orphans.adopt(lease.engine):
            self.table.count(lease.engine, -1)
        self.add(lease)

    def found(self, engine: str, foreign: int, now: float) -> None:
        """Take how many runs an engine has that no lease accounts for."""
        known = self.orphans.count(engine)
        self.orphans.reported(engine, foreign, now)
        self.table.count(engine, self.orphans.count(engine) - known)

    def expire(self, now: float) -> None:
        """Forget orphans that must be over by now."""
        counts = {n: self.orphans.count(n) for n in self.table.used}
        for engine in self.orphans.expire(now):
            self.table.count(engine, -counts.get(engine, 0))
