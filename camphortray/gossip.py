"""Spreads changes to neighbours: what is still to be told to whom."""

__all__ = ["Gossip", "News", "Ping", "Pong"]

import collections

import msgspec

from camphortray import facts
from camphortray import members
from camphortray import messages

# Entries in one message, so that a burst does not hold up a link.
MAX_BATCH = 64
# Failed sends to a neighbour in a row after which what waits for it is
# dropped; it is asked what it lacks instead, see ``gossip_repair``.
MAX_FAILURES = 2


@messages.message("ping")
class Ping(msgspec.Struct, frozen=True):
    """Asks a member for a sign of life.

    Attributes:
      incarnation: Of the asking member's own entry.
      digest: Of all that it knows.
      revision: Its settings revision in force.
      head: Offset of the next settings record it lacks.
    """

    incarnation: int
    digest: int
    revision: int = 0
    head: int = 0


@messages.message("pong")
class Pong(msgspec.Struct, frozen=True):
    """Answers a ping.

    Attributes:
      digest: As in the ping; so are ``revision`` and ``head``.
      unknown: Whether the answering host has not heard of the other.
      news: What it holds of the other, if that is not what it says.
    """

    digest: int
    revision: int = 0
    head: int = 0
    unknown: bool = False
    news: tuple[members.Member, ...] = ()


@messages.message("news")
class News(msgspec.Struct, frozen=True):
    """Entries of members and facts that are new to the sender."""

    entries: tuple[members.Member, ...] = ()
    known: tuple[facts.Fact, ...] = ()


class Gossip:
    """What is still to be told to each neighbour.

    Each change goes once to each neighbour but the one it came from, and
    a change of the same key takes the place of an older one, so that a
    burst costs no more than the state it ends in.

    Attributes:
      pending: By neighbour, keys of members and facts in order.
      busy: Overlay that have not yet answered the last message.
      dropped: Entries dropped as a neighbour did not answer, by neighbour.
    """

    def __init__(self) -> None:
        self.neighbours: set[str] = set()
        self.pending: dict[str, dict[str, None]] = {}
        self.busy: set[str] = set()
        self.failures: collections.Counter[str] = collections.Counter()
        self.dropped: collections.Counter[str] = collections.Counter()

    def set_neighbours(self, names: set[str]) -> None:
        """Tell these members; what waits for others is dropped."""
        self.neighbours = names
        for name in self.pending.keys() - names:
            del self.pending[name]
        for counts in (self.failures, self.dropped):
            for name in list(counts.keys() - names):
                del counts[name]

    def add(self, key: str, source: str = "") -> None:
        """Have a key told to all neighbours but its source."""
        for name in self.neighbours:
            if name != source:
                self.add_for(name, key)

    def add_for(self, name: str, key: str) -> None:
        """Have a key told to one neighbour."""
        self.pending.setdefault(name, {})[key] = None

    def discard(self, name: str, key: str) -> None:
        """Do not send a key to a neighbour that has just sent the same."""
        keys = self.pending.get(name)
        if keys is None:
            return
        keys.pop(key, None)
        if not keys:
            del self.pending[name]

    def take(self) -> dict[str, list[str]]:
        """Return the keys to send now, by neighbour."""
        batches = {}
        for name in list(self.pending):
            if name in self.busy:
                continue
            keys = self.pending[name]
            batch = list(keys)[:MAX_BATCH]
            for key in batch:
                del keys[key]
            if not keys:
                del self.pending[name]
            self.busy.add(name)
            batches[name] = batch
        return batches

    def sent(self, name: str, keys: list[str], arrived: bool) -> int:
        """Take note of how a message to a neighbour fared.

        Returns:
          How many entries are dropped, which it may lack from now on.
        """
        self.busy.discard(name)
        if arrived:
            del self.failures[name]
            return 0
        if name not in self.neighbours:
            return 0
        again = dict.fromkeys(keys) | self.pending.pop(name, {})
        self.failures[name] += 1
        if self.failures[name] < MAX_FAILURES:
            self.pending[name] = again
            return 0
        self.dropped[name] += len(again)
        return len(again)
