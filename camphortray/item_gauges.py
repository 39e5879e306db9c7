"""Reports the stages of the open items in this host's partitions."""

__all__ = ["ItemGauges"]

import asyncio

from camphortray import item_stall_detector
from camphortray import kernel
from camphortray import logs
from camphortray import partition_owner

LOG = logs.logger("jobs")
# Seconds between updates of the metrics.
UPDATE_INTERVAL_S = 1.0
# Seconds after which an unfinished takeover of a partition is logged. It takes
# some tens of milliseconds, or a second or two where the store is slow.
LATE_TAKEOVER_S = 5.0


class ItemGauges:
    """Updates metrics and logs about open items and late takeovers.

    Attributes:
      owners: Owners of the partitions owned here, by partition.
      logged: Unassigned items of the last update, already logged, as pairs
        of job id and item id.
    """

    def __init__(
        self,
        context: kernel.Context,
        owners: dict[int, partition_owner.PartitionOwner],
    ) -> None:
        self.clock = context.clock
        self.metrics = context.metrics
        self.owners = owners
        self.logged: set[tuple[str, str]] = set()

    async def run(self) -> None:
        """Update the metrics periodically, forever."""
        while True:
            await asyncio.sleep(UPDATE_INTERVAL_S)
            self.update()

    def update(self) -> None:
        """Update the metrics; log unassigned items and late takeovers."""
        now = self.clock.monotonic()
        ready, late = [], 0
        for owner in self.owners.values():
            if owner.ready.is_set():
                ready.append(owner)
            elif now - owner.begun_at > LATE_TAKEOVER_S:
                late += 1
                LOG.warning(
                    "Takeover of partition {} in epoch {} has not finished"
                    " after {:.1f} s.",
                    owner.part,
                    owner.epoch,
                    now - owner.begun_at,
                )
        summary = item_stall_detector.StageSummary(
            item for owner in ready for item in owner.items.stages()
        )
        metrics = self.metrics
        for stage in item_stall_detector.Stage:
            metrics.set(
                "camphortray_items_open",
                "Accepted items that are not listed, by what they wait for.",
                {"stage": stage.value},
                summary.counts[stage],
            )
        metrics.set(
            "camphortray_partitions_late",
            "Partitions dealt to this host and not taken over in time.",
            {},
            late,
        )
        for item in summary.unassigned:
            if (item.job, item.item) not in self.logged:
                LOG.error(
                    "Item {} of job {} is open but not queued or running.",
                    item.item,
                    item.job,
                    fields={"age_s": item.age_s, "run": item.run},
                )
        self.logged = {(item.job, item.item) for item in summary.unassigned}
