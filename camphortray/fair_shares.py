"""Start-time fair queueing: how much of a resource each workspace has used.

A workspace that uses the resource advances its virtual time by the amount over
its weight, and the one with the earliest virtual time is served next. Its
share, while others do not use theirs, is whatever is there.
"""

__all__ = ["FairShares"]

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable

# Smallest weight, for which a workspace is still served.
MIN_WEIGHT = 1e-6


def equal_weight(workspace: str) -> float:
    """Return the weight of a workspace where all have the same."""
    return 1.0


class FairShares:
    """Virtual times of the workspaces that compete.

    Attributes:
      weight_of: Returns the weight of a workspace relative to the others.
      credit: Amount that a workspace may use at once after it was idle before
        it counts as over its share. Without it, two requests of a small
        workspace that come close together would be.
      virtual_now: Virtual time of the workspace to be served next.
      used: Virtual time up to which each workspace has used its share, if
        that is after ``virtual_now``.
    """

    def __init__(
        self,
        weight_of: Callable[[str], float] = equal_weight,
        credit: float = 0.0,
    ) -> None:
        self.weight_of = weight_of
        self.credit = credit
        self.virtual_now = 0.0
        self.used: dict[str, float] = {}

    def start(self, workspace: str) -> float:
        """Return the virtual time at which a workspace is served next.

        One that becomes active is not charged, and credited no more than
        ``credit``, for the time for which it was idle.
        """
        earliest = self.virtual_now - self.step(workspace, self.credit)
        return max(self.used.get(workspace, earliest), earliest)

    def step(self, workspace: str, amount: float) -> float:
        """Return the virtual time that an amount takes a workspace."""
        return amount / max(self.weight_of(workspace), MIN_WEIGHT)

    def charge(self, workspace: str, amount: float) -> None:
        """Charge a workspace an amount that it is about to use."""
        used = self.start(workspace) + self.step(workspace, amount)
        self.used[workspace] = used

    def correct(self, workspace: str, difference: float) -> None:
        """Charge what a workspace used beyond, or credit what it did not."""
        if workspace in self.used:
            self.used[workspace] += self.step(workspace, difference)

    def tags(self, workspaces: Iterable[str], amount: float) -> list[float]:
        """Return the virtual start of each waiting request.

        Args:
          workspaces: Workspace of each request, in the order in which a
            workspace's own requests are served.
          amount: Amount that a request is expected to use.
        """
        following: dict[str, float] = {}
        tags = []
        for workspace in workspaces:
            tag = following.get(workspace)
            if tag is None:
                tag = self.start(workspace)
            following[workspace] = tag + self.step(workspace, amount)
            tags.append(tag)
        return tags

    def advance(self, waiting: Collection[str]) -> None:
        """Advance to the workspace that is served next of those that wait.

        Without one there is no share to account for. A workspace that has
        used more than its share keeps its virtual time otherwise, or one that
        sends one request at a time would always be served first.
        """
        if not waiting:
            self.used.clear()
            self.virtual_now = 0.0
            return
        earliest = min(self.start(name) for name in waiting)
        self.virtual_now = max(self.virtual_now, earliest)
        self.used = {
            name: used
            for name, used in self.used.items()
            if used > self.virtual_now - self.step(name, self.credit)
        }
