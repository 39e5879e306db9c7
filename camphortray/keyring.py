"""Finds the holder of a key by its hash; keys themselves are not stored."""

__all__ = ["Keyring", "hash_key"]

from collections.abc import Iterable
import hashlib


def hash_key(secret: str) -> str:
    """Return the SHA-256 hash of a caller's key, in hexadecimal.

    >>> hash_key("k")[:8]
    '8254c329'
    """
    return hashlib.sha256(secret.encode()).hexdigest()


class Keyring:
    """Maps hashes of keys to the names of their holders.

    Attributes:
      holders: Names of holders by hash of the key.
    """

    def __init__(self) -> None:
        self.holders: dict[str, str] = {}

    def add(self, holder: str, hashes: Iterable[str]) -> None:
        """Add the keys of a holder, replacing earlier holders of them."""
        for hashed in hashes:
            self.holders[hashed] = holder

    def holder(self, hashed: str) -> str | None:
        """Return the holder of the key with a hash, or None.

        >>> ring = Keyring()
        >>> ring.add("home-1", [hash_key("k")])
        >>> ring.holder(hash_key("k")), ring.holder(hash_key(""))
        ('home-1', None)
        """
        return self.holders.get(hashed)
