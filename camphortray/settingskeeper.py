"""Keeps the settings stream readable although the log forgets."""

__all__ = ["SettingsKeeper"]

from typing import ClassVar

from camphortray import compaction
from camphortray import kernel
from camphortray import membership
from camphortray import shards
from camphortray import tree

# Hosts that may write a snapshot, the first by choice and the others in
# turn when it fails to.
WRITERS = 3


@kernel.PARTS.register("entry")
class SettingsKeeper(kernel.Part):
    """Writes snapshots of the settings; nobody owns that stream.

    A snapshot is a fact about a prefix, so two at once do no harm; that
    only the first hosts in the stream's rendezvous order write them
    saves appends, nothing else.
    """

    name: ClassVar[str] = "settingskeeper"
    requires: ClassVar[tuple[str, ...]] = ("settings", "membership")

    def __init__(self, context: kernel.Context) -> None:
        self.members = context.part(membership.Membership)
        self.journal = context.part(tree.Tree).journal
        self.compactor = compaction.Compactor(
            self.journal,
            context.config.streams.retention_s,
            context.clock.wall,
            self.rank,
        )

    @classmethod
    def from_config(cls, context: kernel.Context) -> "SettingsKeeper":
        return cls(context)

    def rank(self) -> int | None:
        """Return this host's place among those that write, or None."""
        names = [member.name for member in self.members.live("entry")]
        order = shards.rank(self.journal.stream, names)
        own = self.members.own_name
        if own not in order[:WRITERS]:
            return None
        return order.index(own)

    async def start(self) -> None:
        self.compactor.start()

    async def stop(self) -> None:
        await self.compactor.stop()
