"""Which shard a key belongs to, and which host should own a shard."""

__all__ = ["preferred", "rank", "score", "shard_of", "stream_name"]

from collections.abc import Iterable

import xxhash


def shard_of(workspace: str, key: str, count: int) -> int:
    """Return the shard of a workspace's key; alike on all hosts.

    >>> shard_of("ws", "k", 1)
    0
    """
    return xxhash.xxh64_intdigest(f"{workspace}\0{key}".encode()) % count


def stream_name(kind: str, shard: int) -> str:
    """Return the stream of a shard, e.g. ``jobs.3``."""
    return f"{kind}.{shard}"


def score(key: str, name: str) -> tuple[int, str]:
    """Return the weight of a name in the rendezvous hash for ``key``."""
    return xxhash.xxh64_intdigest(f"{key}\0{name}".encode()), name


def rank(key: str, names: Iterable[str]) -> list[str]:
    """Return names by rendezvous hash for ``key``, the first chosen first.

    When a name goes, only the keys it was first for move.
    """
    return sorted(names, key=lambda name: score(key, name), reverse=True)


def preferred(key: str, names: Iterable[str]) -> str | None:
    """Return the first by rendezvous hash, or None if there is none."""
    best = max((score(key, name) for name in names), default=None)
    return best[1] if best else None
