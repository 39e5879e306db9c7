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
      hashes: Hash of the value last reported for each key.
    """

    def __init__(self) -> None:
        self.hashes: dict[str, int] = {}

    def add(self, key: str, value: bytes) -> bool:
        """Record an invalid entry; return whether it is new or changed."""
        digest = xxhash.xxh64_intdigest(value)
        if self.hashes.get(key) == digest:
            return False
        self.hashes.pop(key, None)
        self.hashes[key] = digest
        while len(self.hashes) > MAX_KEYS:
            del self.hashes[next(iter(self.hashes))]
        return True

    def discard(self, key: str) -> None:
        """Forget a key, whose entry is valid again."""
        self.hashes.pop(key, None)
