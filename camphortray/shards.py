"""Maps keys to shards, and ranks hosts by rendezvous hashing."""

__all__ = [
    "preferred",
    "rank",
    "score",
    "shard_of",
    "stream_name",
    "weighted_score",
]

from collections.abc import Iterable
import math

import xxhash


def shard_of(workspace: str, key: str, count: int) -> int:
    """Return the shard of a workspace's key, which is the same on all hosts.

    >>> shard_of("ws", "k", 1)
    0
    """
    return xxhash.xxh64_intdigest(f"{workspace}\0{key}".encode()) % count


def stream_name(kind: str, shard: int) -> str:
    """Return the stream of a shard, e.g. ``jobs.3``."""
    return f"{kind}.{shard}"


def score(key: str, name: str) -> tuple[int, str]:
    """Return the sort key of a name in the rendezvous order for ``key``."""
    return xxhash.xxh64_intdigest(f"{key}\0{name}".encode()), name


def rank(key: str, names: Iterable[str]) -> list[str]:
    """Return names in rendezvous order for ``key``, the preferred one first.

    If a name is removed, only the keys for which it was first move.
    """
    return sorted(names, key=lambda name: score(key, name), reverse=True)


def preferred(key: str, names: Iterable[str]) -> str | None:
    """Return the first name in rendezvous order, or None without names."""
    best = max((score(key, name) for name in names), default=None)
    return best[1] if best else None


def weighted_score(hashed: int, weight: float) -> float:
    """Return the score of a name in weighted rendezvous hashing.

    The highest comes first, so that a name is preferred for keys in
    proportion to its weight. With equal weights the order is that of the
    hashes.

    Args:
      hashed: 64-bit hash of the key and the name.
      weight: Weight of the name, above 0.
    """
    return math.log((hashed + 1) / 2**64) / weight
