"""Registry entries that name no engine, so that each is told of once."""

__all__ = ["InvalidEntries"]

import xxhash

# Keys remembered. A writer that makes up new keys all the time is told of
# again and again, but fills neither memory nor, with the registry's own
# limit on writes, the log.
MAX_KEYS = 1_024


class InvalidEntries:
    """Entries left out, by key.

    Attributes:
      held: Hash of the value that was last told of.
    """

    def __init__(self) -> None:
        self.held: dict[str, int] = {}

    def news(self, key: str, value: bytes) -> bool:
        """Take note of an entry; return whether it is not known yet."""
        digest = xxhash.xxh64_intdigest(value)
        if self.held.get(key) == digest:
            return False
        self.held.pop(key, None)
        self.held[key] = digest
        while len(self.held) > MAX_KEYS:
            del self.held[next(iter(self.held))]
        return True

    def sound(self, key: str) -> None:
        """Take note that a key names an engine again."""
        self.held.pop(key, None)
