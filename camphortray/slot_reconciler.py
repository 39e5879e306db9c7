"""Reconciles the slots in use with what holders and engines report.

Messages get lost, hosts lose power, and a book that has just begun knows of
nothing. Holders report all they hold, engines how much they run; the book is
brought in line with both, and decides anew.
"""

__all__ = ["SlotReconciler"]

from collections.abc import Iterable

from camphortray import slot_queue
from camphortray import slot_scheduler

# A lease that its holder does not name in a report made this long after
# the grant is one whose end was lost on the way, in seconds.
GRANT_WAY_S = 0.5


class SlotReconciler:
    """Sets right the book of one service.

    Attributes:
      book: Which.
      use: Its slots in use.
    """

    def __init__(self, book: slot_scheduler.SlotScheduler) -> None:
        self.book = book
        self.use = book.use

    # Reports of holders.

    def report(
        self,
        holder: str,
        leases: Iterable[slot_queue.Lease],
        wants: Iterable[slot_queue.SlotRequest],
        now: float,
    ) -> list[slot_scheduler.Decision]:
        """Take all that one host holds and waits for.

        It heals what messages lost on the way have left behind, and is
        how a host that has just become coordinator learns what runs.
        """
        self.use.revocations.holder_responded(holder)
        self.merge_leases(holder, leases, now)
        self.merge_items(holder, wants)
        return self.book.decide(now)

    def merge_leases(
        self, holder: str, leases: Iterable[slot_queue.Lease], now: float
    ) -> None:
        """Take all leases that one host names."""
        named = {lease.want.id: lease for lease in leases}
        for name, held in list(self.use.leases.items()):
            if held.want.holder != holder or name in named:
                continue
            if now - held.granted_at > GRANT_WAY_S:
                self.use.orphan(name, now)
        for name, lease in named.items():
            if name not in self.use.leases:
                self.use.adopt(lease)

    def merge_items(
        self, holder: str, wants: Iterable[slot_queue.SlotRequest]
    ) -> None:
        """Take all batch items that wait at one host."""
        items = self.book.items
        wanted = {want.id: want for want in wants}
        for want in items:
            if want.holder == holder and want.id not in wanted:
                items.drop(want.id)
        for name, want in wanted.items():
            known = name in self.use.leases or name in items
            if not known and not want.online:
                items.add(want)

    def forget(self, holder: str, now: float) -> list[slot_scheduler.Decision]:
        """Drop all of a host that is gone."""
        self.use.revocations.holder_responded(holder)
        for name, lease in list(self.use.leases.items()):
            if lease.want.holder == holder:
                self.use.orphan(name, now)
        book = self.book
        book.queue = [held for held in book.queue if held.holder != holder]
        self.merge_items(holder, ())
        return book.decide(now)

    # Reports of engines.

    def reported(
        self, engine: str, running: int, now: float, begun: bool
    ) -> list[slot_scheduler.Decision]:
        """Take what an engine says of itself.

        Args:
          engine: Which.
          running: Requests that it runs or has queued.
          now: Present time.
          begun: Whether the book has only just begun, so that the engine
            may run what no lease was ever known of.
        """
        known = self.use.orphaned.count(engine)
        unaccounted = running - (self.use.table.used.get(engine, 0) - known)
        if not begun:
            # A report is late: what it has over the orphans known are
            # requests that have ended since.
            unaccounted = min(known, unaccounted)
        self.use.found(engine, unaccounted, now)
        return self.book.decide(now)

    def expire_orphaned(self, now: float) -> list[slot_scheduler.Decision]:
        """Forget runs that must be over by now."""
        self.use.expire(now)
        return self.book.decide(now)
