"""Limits the tokens of a workspace that wait on a route over all hosts."""

__all__ = ["QuotaTracker", "backlog_key", "route_of"]

import math

# Lifetime of a reservation, in seconds: long enough for the count of the job's
# owner to include the job. From the report of that count until the reservation
# expires, the job counts twice.
RESERVATION_TTL_S = 1.0


# Separates the names of a route and a workspace; neither can contain it.
SEPARATOR = "\0"


def backlog_key(route: str, workspace: str) -> str:
    """Return the key of the tokens of a workspace that wait on a route.

    >>> backlog_key("r", ""), backlog_key("r", "w")
    ('r', 'r\\x00w')
    """
    return f"{route}{SEPARATOR}{workspace}" if workspace else route


def route_of(key: str) -> str:
    """Return the route in a key of waiting tokens.

    >>> route_of(backlog_key("r", "w")), route_of("r")
    ('r', 'r')
    """
    return key.partition(SEPARATOR)[0]


class QuotaTracker:
    """Waiting tokens of all partitions, and recent reservations.

    Tokens are counted by ``backlog_key``.

    Attributes:
      reservation_s: Lifetime of a reservation.
      counts: Epoch of the owner, waiting tokens by key and time of expiry,
        by partition.
      reserved: Tokens and time of expiry by job, by key.
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

    def waiting(self, key: str, now: float) -> int:
        """Return the tokens that wait or are reserved under a key."""
        reserved = self.reserved.get(key, {})
        for job in [j for j, (_, until) in reserved.items() if until <= now]:
            del reserved[job]
        counted = sum(
            counts.get(key, 0)
            for _, counts, until in self.counts.values()
            if until > now
        )
        return counted + sum(tokens for tokens, _ in reserved.values())

    def reserve(
        self, key: str, job: str, tokens: int, limit: int, now: float
    ) -> bool:
        """Reserve tokens for a job; return whether they fit the limit.

        A job that already holds a reservation always fits; its reservation
        is renewed if there is room.
        """
        reserved = self.reserved.setdefault(key, {})
        previous = reserved.pop(job, None)
        if limit and self.waiting(key, now) + tokens > limit:
            if previous is not None:
                reserved[job] = previous
            return previous is not None
        reserved[job] = tokens, now + self.reservation_s
        return True
