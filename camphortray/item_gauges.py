"""Shows operators what the open items of this host's partitions wait for."""

__all__ = ["ItemGauges"]

import asyncio

from camphortray import item_stall_detector
from camphortray import kernel
from camphortray import logs
from camphortray import partition_owner

LOG = logs.logger("jobs")
# Seconds from one look at the open items to the next, and after which a
# partition that has not been taken over yet is logged. A takeover takes
# some tens of milliseconds, and a second or two where the store is slow.
LOOK_EVERY_S = 1.0
LATE_TAKEOVER_S = 5.0


class ItemGauges:
    """Metrics and log lines on open items and late takeovers.

    Attributes:
      owners: Partitions owned here, by number.
      left: Items logged as left.
    """

    def __init__(
        self,
        context: kernel.Context,
        owners: dict[int, partition_owner.PartitionOwner],
    ) -> None:
        self.clock = context.clock
        self.metrics = context.metrics
        self.owners = owners
        self.left: set[tuple[str, str]] = set()

    async def run(self) -> None:
        """Show what open items wait for, for ever."""
        while True:
            await asyncio.sleep(LOOK_EVERY_S)
            self.look()

    def look(self) -> None:
        """Count open items by what they wait for; log those left."""
        now = self.clock.monotonic()
        ready, late = [], 0
        for owner in self.owners.values():
            if owner.ready.is_set():
                ready.append(owner)
            elif now - owner.begun_at > LATE_TAKEOVER_S:
                late += 1
                LOG.warning(
                    "Partition {} in epoch {} is not taken over after"
                    " {:.1f} s.",
                    owner.part,
                    owner.epoch,
                    now - owner.begun_at,
                )
        found = item_stall_detector.StageSummary(
            item for owner in ready for item in owner.items.stages()
        )
        metrics = self.metrics
        for stage in item_stall_detector.Stage:
            metrics.set(
                "camphortray_items_open",
                "Accepted items that are not listed, by what they wait for.",
                {"stage": stage.value},
                found.counts[stage],
            )
        metrics.set(
            "camphortray_partitions_late",
            "Partitions dealt to this host and not taken over in time.",
            {},
            late,
        )
        for item in found.unassigned:
            if (item.job, item.item) not in self.left:
                LOG.error(
                    "Item {} of {} is left: open, neither queued nor run.",
                    item.item,
                    item.job,
                    fields={"age_s": item.age_s, "run": item.run},
                )
        self.left = {(item.job, item.item) for item in found.unassigned}
