"""Neighbours of each host, by rendezvous hashing."""

__all__ = ["Ring", "score"]

import heapq

import xxhash


def score(target: str, host: str) -> int:
    """Return the rendezvous weight of ``host`` for ``target``."""
    return xxhash.xxh3_64_intdigest(f"{target} {host}".encode())


class Ring:
    """The hosts with the highest scores for each host, its neighbours.

    Adding or removing a host changes only the neighbour lists that it enters
    or leaves, and costs one pass over the hosts rather than over all pairs.

    Attributes:
      count: Number of neighbours of each host.
      tops: Pairs of score and neighbour by host, highest score first.
    """

    def __init__(self, count: int) -> None:
        self.count = count
        self.tops: dict[str, list[tuple[int, str]]] = {}

    def add(self, host: str) -> None:
        """Add a host."""
        if host in self.tops:
            return
        for target, top in self.tops.items():
            scored = (score(target, host), host)
            if len(top) < self.count or scored > top[-1]:
                top.append(scored)
                top.sort(reverse=True)
                del top[self.count :]
        self.tops[host] = self.best(host)

    def remove(self, host: str) -> None:
        """Remove a host."""
        if self.tops.pop(host, None) is None:
            return
        for target, top in self.tops.items():
            if any(neighbour == host for _, neighbour in top):
                self.tops[target] = self.best(target)

    def best(self, target: str) -> list[tuple[int, str]]:
        """Compute the scored neighbours of a host from all hosts."""
        others = (
            (score(target, host), host) for host in self.tops if host != target
        )
        return heapq.nlargest(self.count, others)

    def neighbours(self, host: str) -> list[str]:
        """Return the neighbours of a host."""
        return [neighbour for _, neighbour in self.tops.get(host, [])]

    def watched_by(self, host: str) -> list[str]:
        """Return the hosts that have ``host`` as a neighbour."""
        return [
            target
            for target, top in self.tops.items()
            if any(neighbour == host for _, neighbour in top)
        ]
