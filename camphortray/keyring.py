"""Whose key a caller shows; keys themselves are never kept."""

__all__ = ["Keyring", "hash_key"]

from collections.abc import Iterable
import hashlib


def hash_key(secret: str) -> str:
    """Return the hash under which a caller's key is known.

    >>> hash_key("k")[:8]
    '8254c329'
    """
    return hashlib.sha256(secret.encode()).hexdigest()


class Keyring:
    """Finds who holds a key.

    Attributes:
      holders: Names by hash of a key.
    """

    def __init__(self) -> None:
        self.holders: dict[str, str] = {}

    def add(self, holder: str, hashes: Iterable[str]) -> None:
        """Add the keys of a holder; a key listed twice is the last one's."""
        for hashed in hashes:
            self.holders[hashed] = holder

    def holder(self, hashed: str) -> str | None:
        """Return who holds the key with a hash, or None if nobody does.

        >>> ring = Keyring()
        >>> ring.add("home-1", [hash_key("k")])
        >>> ring.holder(hash_key("k")), ring.holder(hash_key(""))
        ('home-1', None)
        """
        return self.holders.get(hashed)
