"""Accounts for the slots in use by leases and by orphaned leases.

An orphaned lease is one that has ended without a message from its holder, so
that its request may still run. The slot table counts both kinds; all changes
are made here, so that no slot is lost for good or granted twice.
"""

__all__ = ["SlotAccounting"]

from camphortray import config as configs
from camphortray import orphaned_leases
from camphortray import revocations
from camphortray import slot_queue
from camphortray import slottable


class SlotAccounting:
    """The slots in use of one service, by lease.

    Attributes:
      table: Used and free slots by engine.
      active: Leases, and the order in which items are preempted.
      orphaned: Orphaned leases.
      revocations: Revoked leases whose holder has not confirmed yet.
    """

    def __init__(
        self,
        experiments: configs.ExperimentsConfig = configs.ALL_ON,
        salt: str = "",
    ) -> None:
        self.table = slottable.SlotTable(experiments, salt)
        self.active = slot_queue.Leases()
        self.orphaned = orphaned_leases.OrphanedLeases()
        self.revocations = revocations.Revocations()

    @property
    def leases(self) -> dict[str, slot_queue.Lease]:
        """Leases by request id."""
        return self.active.by_id

    # Leases.

    def add(self, lease: slot_queue.Lease) -> None:
        """Add a lease and count its slot as used."""
        self.active.add(lease)
        self.table.count(lease.engine, 1)

    def drop(self, want_id: str) -> slot_queue.Lease | None:
        """Remove a lease and free its slot; return it, if it was there."""
        lease = self.active.pop(want_id)
        if lease is not None:
            self.table.count(lease.engine, -1)
        return lease

    def revoke(self, lease: slot_queue.Lease, now: float) -> None:
        """Revoke a lease and free its slot; its holder has to confirm."""
        want = lease.want
        self.drop(want.id)
        self.revocations.add(want.id, lease.engine, want.holder, now)

    def orphan_unconfirmed(self, now: float) -> None:
        """Count unconfirmed revoked leases as orphaned after the timeout."""
        for want_id, revocation in self.revocations.pop_expired(now).items():
            self.orphaned.add(revocation.engine, want_id, now)
            self.table.count(revocation.engine, 1)

    # Orphaned leases.

    def orphan(self, want_id: str, now: float) -> None:
        """End a lease without a message, and count it as orphaned.

        If its engine is gone, its slot is freed instead.
        """
        lease = self.active.pop(want_id)
        if lease is None:
            return
        if lease.engine in self.table.engines:
            self.orphaned.add(lease.engine, want_id, now)
        else:
            self.table.count(lease.engine, -1)

    def end_orphan(self, want_id: str) -> bool:
        """Free the slot of an orphaned lease whose end arrives late."""
        engine = self.orphaned.ended(want_id)
        if engine is not None:
            self.table.count(engine, -1)
        return engine is not None

    def adopt(self, lease: slot_queue.Lease) -> None:
        """Add a lease that another coordinator has granted.

        A new coordinator may already count its request as orphaned, if the
        report of the engine came before that of the holder.
        """
        if self.orphaned.adopt(lease.engine):
            self.table.count(lease.engine, -1)
        self.add(lease)

    def set_unaccounted(
        self, engine: str, unaccounted: int, now: float
    ) -> None:
        """Set how many requests an engine runs that have no lease."""
        known = self.orphaned.count(engine)
        self.orphaned.reported(engine, unaccounted, now)
        self.table.count(engine, self.orphaned.count(engine) - known)

    def expire(self, now: float) -> None:
        """Drop orphaned leases whose requests must have ended by now."""
        counts = {n: self.orphaned.count(n) for n in self.table.used}
        for engine in self.orphaned.expire(now):
            self.table.count(engine, -counts.get(engine, 0))
