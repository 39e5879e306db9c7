"""Reconciles the slots in use with what holders and engines report.

Messages get lost, hosts lose power, and a new coordinator knows of no lease.
Holders report all their leases and waiting requests, engines how many requests
they run; the scheduler is updated from both and decides again.
"""

__all__ = ["SlotReconciler"]

from collections.abc import Iterable

from camphortray import slot_queue
from camphortray import slot_scheduler

# Age from which a lease that is missing in a report of its holder is taken to
# have ended; until then the grant may not have arrived.
GRANT_DELIVERY_S = 0.5


class SlotReconciler:
    """Updates the scheduler of one service from reports.

    Attributes:
      scheduler: Scheduler of the service.
      accounting: Its slots in use.
    """

    def __init__(self, scheduler: slot_scheduler.SlotScheduler) -> None:
        self.scheduler = scheduler
        self.accounting = scheduler.accounting

    # Reports of holders.

    def on_holder_report(
        self,
        holder: str,
        leases: Iterable[slot_queue.Lease],
        wants: Iterable[slot_queue.SlotRequest],
        now: float,
    ) -> list[slot_scheduler.Decision]:
        """Apply a report of all leases and waiting requests of one host.

        Reports make up for lost messages, and a new coordinator learns from
        them which requests run.
        """
        self.accounting.revocations.holder_responded(holder)
        self.merge_leases(holder, leases, now)
        self.merge_items(holder, wants)
        return self.scheduler.decide(now)

    def merge_leases(
        self, holder: str, leases: Iterable[slot_queue.Lease], now: float
    ) -> None:
        """Update the leases of one host to those that it reports."""
        named = {lease.want.id: lease for lease in leases}
        for name, held in list(self.accounting.leases.items()):
            if held.want.holder != holder or name in named:
                continue
            if now - held.granted_at > GRANT_DELIVERY_S:
                self.accounting.orphan(name, now)
        for name, lease in named.items():
            if name not in self.accounting.leases:
                self.scheduler.adopt(lease)

    def merge_items(
        self, holder: str, wants: Iterable[slot_queue.SlotRequest]
    ) -> None:
        """Update the waiting batch items of one host to those it reports."""
        items = self.scheduler.items
        wanted = {want.id: want for want in wants}
        for want in items:
            if want.holder == holder and want.id not in wanted:
                items.drop(want.id)
        for name, want in wanted.items():
            known = name in self.accounting.leases or name in items
            if not known and not want.online:
                items.add(want)

    def forget(self, holder: str, now: float) -> list[slot_scheduler.Decision]:
        """Orphan the leases of a host that is gone; drop its requests."""
        self.accounting.revocations.holder_responded(holder)
        for name, lease in list(self.accounting.leases.items()):
            if lease.want.holder == holder:
                self.accounting.orphan(name, now)
        scheduler = self.scheduler
        scheduler.queue = [
            held for held in scheduler.queue if held.holder != holder
        ]
        self.merge_items(holder, ())
        return scheduler.decide(now)

    # Reports of engines.

    def on_engine_report(
        self, engine: str, running: int, now: float, initial: bool
    ) -> list[slot_scheduler.Decision]:
        """Apply a report of an engine.

        Args:
          engine: Name of the engine.
          running: Number of requests that it runs or has queued.
          now: Present time.
          initial: Whether the coordinator is new, so that the engine may run
            requests whose leases were never known here.
        """
        known = self.accounting.orphaned.count(engine)
        unaccounted = running - (
            self.accounting.table.used.get(engine, 0) - known
        )
        if not initial:
            # Reports are delayed: requests in excess of the known orphaned
            # leases have ended since.
            unaccounted = min(known, unaccounted)
        self.accounting.set_unaccounted(engine, unaccounted, now)
        return self.scheduler.decide(now)

    def expire_orphaned(self, now: float) -> list[slot_scheduler.Decision]:
        """Drop orphaned leases past their time limit."""
        self.accounting.expire(now)
        return self.scheduler.decide(now)
