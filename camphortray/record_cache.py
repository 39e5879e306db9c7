"""Records that a host keeps to pass on, and when it asks for them."""

__all__ = ["Behind", "Recent"]

import collections
from collections.abc import Iterable
import random

from camphortray import log

# Most that is kept to pass on; whoever lacks more gets a snapshot.
MAX_RECORDS = 2000
MAX_BYTES = 4_194_304
# Most bytes passed on in one answer.
PAGE_BYTES = 262_144
# Seconds for which a host waits for the log itself before it asks others.
BEHIND_S = 1.0


class Recent:
    """The newest records of a stream, without gaps."""

    def __init__(self) -> None:
        self.records: collections.deque[log.LogRecord] = collections.deque()
        self.size = 0

    def add(self, record: log.LogRecord) -> None:
        """Keep a record; one that leaves a gap starts anew."""
        if self.records and record.offset != self.records[-1].offset + 1:
            self.clear()
        self.records.append(record)
        self.size += len(record.body)
        while len(self.records) > MAX_RECORDS or self.size > MAX_BYTES:
            self.size -= len(self.records.popleft().body)

    def clear(self) -> None:
        """Forget all."""
        self.records.clear()
        self.size = 0

    def since(self, offset: int) -> list[log.LogRecord]:
        """Return a page of records from ``offset``, or none if it lacks it."""
        if not self.records or offset < self.records[0].offset:
            return []
        page: list[log.LogRecord] = []
        size = 0
        for index in range(offset - self.records[0].offset, len(self.records)):
            size += len(self.records[index].body)
            if page and size > PAGE_BYTES:
                break
            page.append(self.records[index])
        return page


class Behind:
    """Says when to ask whom for records that others have.

    As a rule the log tells all hosts at once, so that one which has just
    heard of a newer record will have it in a moment. One that still lacks
    it a second later may be cut off from the platform.

    Attributes:
      heads: Next offset of each member, as last heard.
      newest: Highest of all offsets heard of.
    """

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.heads: dict[str, int] = {}
        self.newest = 0
        self.since: float | None = None
        self.own = 0

    def note(self, name: str, head: int) -> None:
        """Note how far a member is; an empty name stands for any."""
        self.newest = max(self.newest, head)
        if name:
            self.heads[name] = head

    def choose(
        self, own: int, neighbours: Iterable[str], now: float
    ) -> str | None:
        """Return the member to ask now, if any."""
        if own >= self.newest:
            self.since = None
            return None
        if self.since is None:
            self.since = now
        if now - self.since < BEHIND_S:
            return None
        names = sorted(neighbours)
        ahead = [name for name in names if self.heads.get(name, 0) > own]
        # Not all neighbours have said how far they are; any may know.
        return self.rng.choice(ahead or names) if names else None
