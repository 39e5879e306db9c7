"""Limits the tokens that wait on a route over all hosts."""

__all__ = ["QuotaTracker"]

import math

# Lifetime of a reservation, in seconds: long enough for the count of the job's
# owner to include the job. From the report of that count until the reservation
# expires, the job counts twice.
RESERVATION_TTL_S = 1.0


class QuotaTracker:
    """Waiting tokens of all partitions, and recent reservations.

    Attributes:
      reservation_s: Lifetime of a reservation.
      counts: Epoch of the owner, waiting tokens by route and time of expiry,
        by partition.
      reserved: Tokens and time of expiry by job, by route.
    """

    def __init__(self, reservation_s: float = RESERVATION_TTL_S) -> None:
        self.reservation_s = reservation_s
        self.counts: dict[int, tuple[int, dict[str, int], float]] = {}
        self.reserved: dict[str, dict[str, tuple[int, float]]] = {}

    def update_counts(
        self,
        part: int,
        epoch: int,
        counts: dict[str, int],
        until: float = math.inf,
    ) -> None:
        """Record the counts of an owner unless its epoch is outdated."""
        known = self.counts.get(part)
        if known is None or epoch >= known[0]:
            self.counts[part] = epoch, counts, until

    def waiting(self, route: str, now: float) -> int:
        """Return the tokens that wait on a route or are reserved there."""
        reserved = self.reserved.get(route, {})
        for job in [j for j, (_, until) in reserved.items() if until <= now]:
            del reserved[job]
        counted = sum(
            counts.get(route, 0)
            for _, counts, until in self.counts.values()
            if until > now
        )
        return counted + sum(tokens for tokens, _ in reserved.values())

    def reserve(
        self, route: str, job: str, tokens: int, limit: int, now: float
    ) -> bool:
        """Reserve tokens for a job; return whether they fit the limit.

        A job that already holds a reservation always fits; its reservation
        is renewed if there is room.
        """
        reserved = self.reserved.setdefault(route, {})
        previous = reserved.pop(job, None)
        if limit and self.waiting(route, now) + tokens > limit:
            if previous is not None:
                reserved[job] = previous
            return previous is not None
        reserved[job] = tokens, now + self.reservation_s
        return True
