"""Limits the tokens that wait on a route over all hosts."""

__all__ = ["QuotaTracker"]

# Lifetime of a reservation, in seconds: long enough for the count of the job's
# owner to include the job. Counts are published four times a second and spread
# within 0.2 s; from then until the reservation expires, the job counts twice.
RESERVATION_TTL_S = 1.0


class QuotaTracker:
    """Waiting tokens of all partitions, and recent reservations.

    Attributes:
      counts: Epoch of the owner and waiting tokens by route, by partition.
      reserved: Tokens and time of expiry by job, by route.
    """

    def __init__(self) -> None:
        self.counts: dict[int, tuple[int, dict[str, int]]] = {}
        self.reserved: dict[str, dict[str, tuple[int, float]]] = {}

    def update_counts(
        self, part: int, epoch: int, counts: dict[str, int]
    ) -> None:
        """Record the counts of an owner unless its epoch is outdated."""
        known = self.counts.get(part, (0, {}))
        if epoch >= known[0]:
            self.counts[part] = epoch, counts

    def waiting(self, route: str, now: float) -> int:
        """Return the tokens that wait on a route or are reserved there."""
        reserved = self.reserved.get(route, {})
        for job in [j for j, (_, until) in reserved.items() if until <= now]:
            del reserved[job]
        counted = sum(c.get(route, 0) for _, c in self.counts.values())
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
        reserved[job] = tokens, now + RESERVATION_TTL_S
        return True
