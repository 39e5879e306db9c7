"""Which hosts stand beside each host, by rendezvous hash."""

__all__ = ["Ring", "score"]

import heapq

import xxhash


def score(target: str, host: str) -> int:
    """Return the weight of ``host`` for ``target``; the highest win."""
    return xxhash.xxh3_64_intdigest(f"{target} {host}".encode())


class Ring:
    """The hosts with the highest scores for each host, kept up to date.

    A host that comes or goes moves only the places it takes or held, and
    costs one pass over the hosts rather than over all pairs.

    Attributes:
      count: Places beside each host.
      tops: By host, pairs of score and host, highest first.
    """

    def __init__(self, count: int) -> None:
        self.count = count
        self.tops: dict[str, list[tuple[int, str]]] = {}

    def add(self, host: str) -> None:
        """Add a host."""
        if host in self.tops:
            return
        for target, top in self.tops.items():
            place = (score(target, host), host)
            if len(top) < self.count or place > top[-1]:
                top.append(place)
                top.sort(reverse=True)
                del top[self.count :]
        self.tops[host] = self.best(host)

    def remove(self, host: str) -> None:
        """Take a host out."""
        if self.tops.pop(host, None) is None:
            return
        for target, top in self.tops.items():
            if any(held == host for _, held in top):
                self.tops[target] = self.best(target)

    def best(self, target: str) -> list[tuple[int, str]]:
        """Return the places beside a host, from scratch."""
        others = (
            (score(target, host), host) for host in self.tops if host != target
        )
        return heapq.nlargest(self.count, others)

    def beside(self, host: str) -> list[str]:
        """Return the hosts beside a host."""
        return [held for _, held in self.tops.get(host, [])]

    def watched_by(self, host: str) -> list[str]:
        """Return the hosts that ``host`` stands beside."""
        return [
            target
            for target, top in self.tops.items()
            if any(held == host for _, held in top)
        ]
