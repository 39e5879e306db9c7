"""Sends the partial output of items to the next owner of their partition."""

__all__ = ["Handover"]


import msgspec

from camphortray import config as configs
from camphortray import itemwork
from camphortray import jobmessages
from camphortray import kernel
from camphortray import logs
from camphortray import membership
from camphortray import partition_owner
from camphortray import peers

LOG = logs.logger("jobs")
# Time for which partial output is kept for the next owner. After that, the
# next owner has produced more itself.
SAVED_PROGRESS_TTL_S = 10.0
# Size limit of one message, well below the limit of a link.
MAX_MESSAGE_BYTES = 200_000


class SavedProgress(msgspec.Struct, frozen=True):
    """The partial output of a partition's items when it was released.

    Attributes:
      at: Monotonic time of the release.
      jobs: Partial output of running items, by job id.
    """

    at: float
    jobs: dict[str, list[itemwork.Progress]]


class Handover:
    """Sends and receives the partial output of items at changes of ownership.

    Only complete results are stored in the ledger. Without a handover, each
    change of ownership, also by a planned restart, restarts all running items.
    The handover is best effort: a failed host sends nothing, and the next
    owner does not wait for it.

    Attributes:
      saved: Partial output that this host has to send, by partition.
      owners: Owners of the partitions that this host owns, by partition.
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
        self.enabled = context.config.experiments.handover
        self.saved: dict[int, SavedProgress] = {}

    def start(self) -> None:
        """Start to receive partial output from other hosts."""
        self.links.on(jobmessages.ProgressUpdate, self.on_progress)

    def save(self, owner: partition_owner.PartitionOwner) -> None:
        """Save the partial output of running items before an owner stops."""
        jobs = owner.items.progress()
        if jobs and self.enabled:
            now = self.clock.monotonic()
            self.saved[owner.part] = SavedProgress(now, jobs)

    def send(self, part: int, name: str) -> None:
        """Send saved partial output to the member that owns a partition."""
        saved = self.saved.pop(part, None)
        now = self.clock.monotonic()
        if saved is None or now - saved.at > SAVED_PROGRESS_TTL_S:
            return
        updates = [
            jobmessages.ProgressUpdate(part, job, group)
            for job, items in saved.jobs.items()
            for group in split_items(items)
        ]
        LOG.info(
            "Sending the partial output of {} items to {}.",
            count_items(updates),
            name,
        )
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
        """Receive partial output from the previous owner of a partition."""
        self.on_update(update)

    def on_update(self, update: jobmessages.ProgressUpdate) -> None:
        """Resume items from partial output if this host owns the partition."""
        owner = self.owners.get(update.part)
        if owner is None:
            return
        for progress in update.items:
            owner.items.resume_item(update.job, progress)


def split_items(
    items: list[itemwork.Progress],
) -> list[tuple[itemwork.Progress, ...]]:
    """Return items in groups, each of which fits into one message."""
    groups: list[list[itemwork.Progress]] = [[]]
    size = 0
    for item in items:
        item_size = sum(len(text) + 8 for text in item.text)
        if groups[-1] and size + item_size > MAX_MESSAGE_BYTES:
            groups.append([])
            size = 0
        groups[-1].append(item)
        size += item_size
    return [tuple(group) for group in groups]


def count_items(updates: list[jobmessages.ProgressUpdate]) -> int:
    """Return the total number of items in messages."""
    return sum(len(update.items) for update in updates)
