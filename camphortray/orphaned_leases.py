"""Slots of engines that still run requests of a lost holder.

A host that loses power closes no connection, so engines go on running its
requests, batch items for seconds. A new coordinator does not know of any
running request either. If the slots of those requests are granted again, new
requests queue inside the engines, which know no priorities: after the loss of
the busiest host, the time to first event of online requests is 0.7 to 1.0 s
during the second after its leases are dropped.

A lease that ends without a message is therefore counted as orphaned until
its engine reports that the request has ended, or until a time limit.
"""

__all__ = ["MAX_ORPHAN_S", "OrphanedLeases", "POLL_S"]

import msgspec

# Interval at which engines with orphaned leases are polled. Their reports are
# some 10 ms old; an online request runs for some hundreds of milliseconds.
POLL_S = 0.25
# Time after which an orphaned lease is dropped if no report comes: nearly all
# batch items are done within it.
MAX_ORPHAN_S = 8.0


class EngineOrphans(msgspec.Struct):
    """Orphaned leases of one engine.

    Attributes:
      count: Number of orphaned leases.
      expires_at: When they are dropped.
    """

    count: int
    expires_at: float


class OrphanedLeases:
    """Orphaned leases of all engines.

    Attributes:
      by_engine: Orphaned leases by engine.
      engines: Engine of each orphaned lease whose request id is known.
    """

    def __init__(self) -> None:
        self.by_engine: dict[str, EngineOrphans] = {}
        self.engines: dict[str, str] = {}

    def __bool__(self) -> bool:
        return bool(self.by_engine)

    def count(self, engine: str) -> int:
        """Return the number of orphaned leases of an engine."""
        orphans = self.by_engine.get(engine)
        return orphans.count if orphans is not None else 0

    def add(self, engine: str, want_id: str, now: float) -> None:
        """Add a lease that has ended without a message."""
        self.engines[want_id] = engine
        orphans = self.by_engine.setdefault(engine, EngineOrphans(0, 0.0))
        orphans.count += 1
        orphans.expires_at = now + MAX_ORPHAN_S

    def adopt(self, engine: str) -> bool:
        """Remove one whose holder reports it; return whether there was any."""
        orphans = self.by_engine.get(engine)
        if orphans is None:
            return False
        orphans.count -= 1
        if not orphans.count:
            self.forget(engine)
        return True

    def ended(self, want_id: str) -> str | None:
        """Remove a lease whose end arrives late; return its engine."""
        engine = self.engines.pop(want_id, None)
        return engine if engine is not None and self.adopt(engine) else None

    def forget(self, engine: str) -> None:
        """Remove all orphaned leases of an engine."""
        self.by_engine.pop(engine, None)
        self.forget_ids(engine)

    def forget_ids(self, engine: str) -> None:
        """Ignore late ends of the orphaned leases of an engine."""
        self.engines = {i: e for i, e in self.engines.items() if e != engine}

    def reported(self, engine: str, unaccounted: int, now: float) -> None:
        """Set how many requests an engine runs that have no lease."""
        if unaccounted <= 0:
            self.forget(engine)
            return
        orphans = self.by_engine.setdefault(
            engine, EngineOrphans(0, now + MAX_ORPHAN_S)
        )
        if unaccounted < orphans.count:
            # It is not known which of them have ended.
            self.forget_ids(engine)
        orphans.count = unaccounted

    def expire(self, now: float) -> list[str]:
        """Drop leases past their time limit; return their engines."""
        expired = [
            engine
            for engine, orphans in self.by_engine.items()
            if now >= orphans.expires_at
        ]
        for engine in expired:
            self.forget(engine)
        return expired
