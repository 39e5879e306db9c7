"""Revoked leases of batch items that their holder has not confirmed yet.

A revoked slot is granted to an online request at once, as the holder stops
its item within some milliseconds. A holder that has lost power or is cut off
stops nothing, though, and it takes seconds to detect that. In a burst, all of
its items would be preempted, and the online requests would queue behind them
inside the engines: about 30% of the online requests in the second after a
loss are late then, some by over 1 s.

No more leases are revoked from a holder that does not confirm, and those
already revoked count as orphaned until their engine reports otherwise.
"""

__all__ = [
    "CONFIRM_TIMEOUT_S",
    "Revocation",
    "Revocations",
    "SLOW_CONFIRM_S",
]

import msgspec

# Time for a holder to confirm that it has stopped an item. The round trip
# takes some milliseconds.
CONFIRM_TIMEOUT_S = 0.05
# Time without confirmation after which other holders are preferred: a burst
# can revoke six leases of a dead holder within CONFIRM_TIMEOUT_S.
SLOW_CONFIRM_S = 0.012


class Revocation(msgspec.Struct, frozen=True):
    """A revoked lease.

    Attributes:
      engine: Engine that runs the item.
      holder: Host that holds the lease.
      revoked_at: When it was revoked.
    """

    engine: str
    holder: str
    revoked_at: float


class Revocations:
    """Unconfirmed revoked leases, and holders that do not respond.

    Attributes:
      pending: Unconfirmed revoked leases, by request id.
      unresponsive: Holders that let the timeout pass and sent nothing since.
    """

    def __init__(self) -> None:
        self.pending: dict[str, Revocation] = {}
        self.unresponsive: set[str] = set()

    def add(self, want_id: str, engine: str, holder: str, now: float) -> None:
        """Add a lease that is revoked now."""
        self.pending[want_id] = Revocation(engine, holder, now)

    def confirmed(self, want_id: str) -> None:
        """Remove a lease whose holder has stopped the item."""
        revocation = self.pending.pop(want_id, None)
        if revocation is not None:
            self.holder_responded(revocation.holder)

    def holder_responded(self, holder: str) -> None:
        """Mark a holder as responsive, as a message of it has arrived."""
        self.unresponsive.discard(holder)

    def pop_expired(self, now: float) -> dict[str, Revocation]:
        """Remove and return the leases past the timeout, by request id."""
        late = {
            want_id: revocation
            for want_id, revocation in self.pending.items()
            if now >= revocation.revoked_at + CONFIRM_TIMEOUT_S
        }
        for want_id, revocation in late.items():
            del self.pending[want_id]
            self.unresponsive.add(revocation.holder)
        return late

    def next_expiry_at(self) -> float | None:
        """Return when the next timeout ends, if any."""
        earliest_at = min(
            (r.revoked_at for r in self.pending.values()), default=None
        )
        return None if earliest_at is None else earliest_at + CONFIRM_TIMEOUT_S

    def excluded_holders(self, now: float) -> list[set[str]]:
        """Return the sets of holders to exclude, in the order to try them.

        The first set includes holders that are slow to confirm, the last one
        only unresponsive holders.
        """
        late = {
            revocation.holder
            for revocation in self.pending.values()
            if now > revocation.revoked_at + SLOW_CONFIRM_S
        }
        if late <= self.unresponsive:
            return [self.unresponsive]
        return [self.unresponsive | late, self.unresponsive]
