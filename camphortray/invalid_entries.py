"""Remembers invalid registry entries, so that each is reported once."""

__all__ = ["InvalidEntries"]

import xxhash

# Keys remembered. A writer that keeps creating new keys is reported again
# and again, but does not exhaust memory nor, given the registry's own limit
# on writes, the log.
MAX_KEYS = 1_024


class InvalidEntries:
    """Invalid entries that have been reported, by key.

    Attributes:
      held: Hash of the value last reported for each key.
    """

    def __init__(self) -> None:
        self.held: dict[str, int] = {}

    def add(self, key: str, value: bytes) -> bool:
        """Record an invalid entry; return whether it is new or changed."""
        digest = xxhash.xxh64_intdigest(value)
        if self.held.get(key) == digest:
            return False
        self.held.pop(key, None)
        self.held[key] = digest
        while len(self.held) > MAX_KEYS:
            del self.held[next(iter(self.held))]
        return True

    def discard(self, key: str) -> None:
        """Forget a key, whose entry is valid again."""
        self.held.pop(key, None)
