"""Hands what has come of items to the next owner of their partition."""

__all__ = ["Handover"]

import dataclasses

from camphortray import config as configs
from camphortray import itemwork
from camphortray import jobmessages
from camphortray import kernel
from camphortray import logs
from camphortray import membership
from camphortray import partition_owner
from camphortray import peers

LOG = logs.logger("jobs")
# Time for which what was left behind is kept for the next owner, in
# seconds. Beyond it that one has got further by itself.
KEEP_S = 10.0
# Bytes of one message, well below what a link takes.
MESSAGE_BYTES = 200_000


@dataclasses.dataclass(frozen=True, slots=True)
class Behind:
    """What was under way in a partition when it was given up."""

    at: float
    jobs: dict[str, list[itemwork.Progress]]


class Handover:
    """What this host has left behind, and what others leave to it.

    Only whole results are kept in the ledger. Without this, each change of
    an owner, also by a planned restart, begins all items under way anew.
    It is a help and no promise: whoever is gone hands nothing over, and the
    next owner does not wait for it.

    Attributes:
      behind: By partition.
      owners: Partitions owned here, by number.
    """

    def __init__(
        self,
        context: kernel.Context,
        owners: dict[int, partition_owner.PartitionOwner],
    ) -> None:
        self.clock = context.clock
        self.members = context.part(membership.Membership)
        self.links = context.part(peers.Peers)
        self.owners = owners
        self.on = context.config.experiments.handover
        self.behind: dict[int, Behind] = {}

    def start(self) -> None:
        """Take what others leave to this host."""
        self.links.on(jobmessages.ProgressUpdate, self.on_progress)

    def leave(self, owner: partition_owner.PartitionOwner) -> None:
        """Note what is under way before an owner stops."""
        jobs = owner.items.progress()
        if jobs and self.on:
            now = self.clock.monotonic()
            self.behind[owner.part] = Behind(now, jobs)

    def give(self, part: int, name: str) -> None:
        """Give what was left behind to the member that owns a partition."""
        left = self.behind.pop(part, None)
        now = self.clock.monotonic()
        if left is None or now - left.at > KEEP_S:
            return
        updates = [
            jobmessages.ProgressUpdate(part, job, group)
            for job, items in left.jobs.items()
            for group in groups(items)
        ]
        LOG.info("Hands {} items on to {}.", count(updates), name)
        if name == self.members.own_name:
            for update in updates:
                self.on_update(update)
            return
        member = self.members.member(name)
        if member is None or member.dead:
            return
        address = configs.Address.from_text(member.peer_address)
        for update in updates:
            self.links.notify(address, update)

    async def on_progress(
        self, sender: peers.Sender, update: jobmessages.ProgressUpdate
    ) -> None:
        """Take what the owner before has left."""
        self.on_update(update)

    def on_update(self, update: jobmessages.ProgressUpdate) -> None:
        """Let the owner here go on from there."""
        owner = self.owners.get(update.part)
        if owner is None:
            return
        for found in update.items:
            owner.items.resume_item(update.job, found)


def groups(
    items: list[itemwork.Progress],
) -> list[tuple[itemwork.Progress, ...]]:
    """Return items in groups that fit into one message each."""
    found: list[list[itemwork.Progress]] = [[]]
    size = 0
    for item in items:
        item_size = sum(len(text) + 8 for text in item.text)
        if found[-1] and size + item_size > MESSAGE_BYTES:
            found.append([])
            size = 0
        found[-1].append(item)
        size += item_size
    return [tuple(group) for group in found]


def count(updates: list[jobmessages.ProgressUpdate]) -> int:
    """Return the number of items in some messages."""
    return sum(len(update.items) for update in updates)
