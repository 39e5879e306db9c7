"""How many tokens may wait on a route over all hosts."""

__all__ = ["QuotaBook"]

# A reservation stands for this long, until the owner's own count shows the
# job, in seconds. Counts are told four times a second and spread within two
# tenths; both together count a job twice for what is left of it.
RESERVED_S = 1.0


class QuotaBook:
    """Counts of all partitions and what has just been given out.

    Attributes:
      counts: Waiting tokens by route, by partition, as their owners tell.
      reserved: Tokens by job and until when, by route.
    """

    def __init__(self) -> None:
        self.counts: dict[int, tuple[int, dict[str, int]]] = {}
        self.reserved: dict[str, dict[str, tuple[int, float]]] = {}

    def on_counts(self, part: int, epoch: int, counts: dict[str, int]) -> None:
        """Take an owner's count; one of an older epoch is void."""
        held = self.counts.get(part, (0, {}))
        if epoch >= held[0]:
            self.counts[part] = epoch, counts

    def waiting(self, route: str, now: float) -> int:
        """Return the tokens that wait on a route."""
        held = self.reserved.get(route, {})
        for job in [j for j, (_, until) in held.items() if until <= now]:
            del held[job]
        told = sum(c.get(route, 0) for _, c in self.counts.values())
        return told + sum(tokens for tokens, _ in held.values())

    def ask(
        self, route: str, job: str, tokens: int, limit: int, now: float
    ) -> bool:
        """Reserve room for a job; return whether there is any."""
        held = self.reserved.setdefault(route, {})
        before = held.pop(job, None)
        if limit and self.waiting(route, now) + tokens > limit:
            if before is not None:
                held[job] = before
            return before is not None
        held[job] = tokens, now + RESERVED_S
        return True
