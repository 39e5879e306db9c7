"""Limits the tokens of a workspace that wait on a route over all hosts."""

__all__ = ["QuotaRequest", "QuotaTracker", "backlog_key", "route_of"]

import math

import msgspec

# Lifetime of a reservation whose owner does not say which requests its counts
# contain, in seconds: long enough for the count to include the job. From the
# report of that count until the reservation expires, the job counts twice.
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


class QuotaRequest(msgspec.Struct, frozen=True):
    """Identifies a request for quota by the owner of a partition.

    Attributes:
      part: Number of the partition.
      epoch: Epoch of its owner.
      number: Number among the requests for the partition, rising.
    """

    part: int
    epoch: int
    number: int


class Reservation(msgspec.Struct, frozen=True):
    """Tokens of a job that its owner's count may not contain yet.

    Attributes:
      tokens: Of all items of the job.
      until: Time at which it expires.
      request: For which it was made, if its owner says which of them its
        counts contain; it ends with such a count.
    """

    tokens: int
    until: float
    request: QuotaRequest | None = None


class Count(msgspec.Struct, frozen=True):
    """Waiting tokens of a partition as its owner counts them.

    Attributes:
      epoch: Epoch of the owner.
      answered: The count contains the jobs of the owner's requests up to this
        number.
      tokens: By ``backlog_key``.
      until: Time at which the count expires.
    """

    epoch: int
    answered: int
    tokens: dict[str, int]
    until: float

    def covers(self, request: QuotaRequest) -> bool:
        """Return whether a request's job is counted, or is settled.

        A later owner has read all that earlier ones have stored, and they
        can store nothing more.
        """
        position = request.epoch, request.number
        return position <= (self.epoch, self.answered)


class QuotaTracker:
    """Waiting tokens of all partitions, and reservations.

    Tokens are counted by ``backlog_key``.

    Attributes:
      reservation_s: Lifetime of a reservation without a request.
      counts: By partition.
      reserved: Reservations by job, by key.
    """

    def __init__(self, reservation_s: float = RESERVATION_TTL_S) -> None:
        self.reservation_s = reservation_s
        self.counts: dict[int, Count] = {}
        self.reserved: dict[str, dict[str, Reservation]] = {}

    def update_counts(
        self,
        part: int,
        epoch: int,
        tokens: dict[str, int],
        until: float = math.inf,
        answered: int = 0,
    ) -> None:
        """Record the counts of an owner unless newer ones are known."""
        known = self.counts.get(part)
        count = Count(epoch, answered, tokens, until)
        if known is not None and (epoch, answered) < (
            known.epoch,
            known.answered,
        ):
            return
        self.counts[part] = count
        for key, reserved in list(self.reserved.items()):
            for job, held in list(reserved.items()):
                request = held.request
                if request and request.part == part and count.covers(request):
                    del reserved[job]
            if not reserved:
                del self.reserved[key]

    def waiting(self, key: str, now: float) -> int:
        """Return the tokens that wait or are reserved under a key."""
        reserved = self.reserved.get(key, {})
        for job in [j for j, held in reserved.items() if held.until <= now]:
            del reserved[job]
        counted = sum(
            count.tokens.get(key, 0)
            for count in self.counts.values()
            if count.until > now
        )
        return counted + sum(held.tokens for held in reserved.values())

    def reserve(
        self,
        key: str,
        job: str,
        tokens: int,
        limit: int,
        now: float,
        request: QuotaRequest | None = None,
        until: float = math.inf,
    ) -> bool:
        """Reserve tokens for a job; return whether they fit the limit.

        A job that already holds a reservation always fits; its reservation
        is renewed if there is room.

        Args:
          key: Under which the tokens wait.
          job: Id of the job.
          tokens: Of all items of the job.
          limit: Limit on the tokens under the key; 0 for none.
          now: Current time.
          request: For which it is made; without, the reservation expires
            after ``reservation_s``.
          until: Time at which the reservation of a request expires.
        """
        if request is None:
            until = now + self.reservation_s
        reserved = self.reserved.get(key, {})
        previous = reserved.pop(job, None)
        made = Reservation(tokens, until, request)
        if limit and self.waiting(key, now) + tokens > limit:
            if previous is None:
                return False
            # Without a request it must expire, however often it is repeated.
            made = previous if request is None else made
        self.reserved.setdefault(key, {})[job] = made
        return True

    def hold(
        self,
        key: str,
        job: str,
        tokens: int,
        request: QuotaRequest,
        until: float,
    ) -> None:
        """Take over a reservation that another host has made."""
        count = self.counts.get(request.part)
        if count is None or not count.covers(request):
            reserved = self.reserved.setdefault(key, {})
            reserved[job] = Reservation(tokens, until, request)
