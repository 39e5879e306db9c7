"""Follows the settings stream and keeps the view in force."""

__all__ = ["Tree"]

from collections.abc import Callable
from typing import ClassVar

from camphortray import fold as folds
from camphortray import journal
from camphortray import kernel
from camphortray import log_backends
from camphortray import logs
from camphortray import records
from camphortray import revisions
from camphortray import settings

LOG = logs.logger("settings")


@kernel.PARTS.register("entry", "batch")
class Tree(revisions.Revisions):
    """The settings in force on this host.

    Attributes:
      view: The tree at the newest revision known; never goes back.
      journal: The settings stream.
    """

    requires: ClassVar[tuple[str, ...]] = ("backends",)

    def __init__(self, context: kernel.Context) -> None:
        self.context = context
        self.fold = settings.SettingsFold()
        self.view = settings.View(self.fold, context.config.host.region)
        self.listeners: list[Callable[[settings.View], None]] = []
        writer = records.Writer(
            f"{context.config.host.name}/{context.program}",
            context.incarnation,
        )
        self.journal = journal.Journal(
            context.part(log_backends.Backends).log,
            settings.STREAM,
            self.fold,
            writer,
            context.rng,
        )

    @classmethod
    def from_config(cls, context: kernel.Context) -> "Tree":
        return cls(context)

    async def start(self) -> None:
        self.journal.listen(self.on_outcome)
        self.journal.on_restore(self.put_in_force)
        self.journal.start()

    def on_outcome(self, outcome: folds.Outcome) -> None:
        """Put a valid change in force."""
        if outcome.valid and self.fold.revision > self.view.revision:
            self.put_in_force()

    def put_in_force(self) -> None:
        """Make a new view of the fold and tell who listens.

        A view is never followed by one of an older revision: callers
        would see a setting come back that had been replaced.
        """
        if self.fold.revision < self.view.revision:
            return
        region = self.context.config.host.region
        self.view = settings.View(self.fold, region, self.view)
        LOG.info("Revision {} is in force.", self.view.revision)
        for path, node in self.view.nodes.items():
            for key, wrong in node.faults.items():
                LOG.warning("{}: {} is left out: {}", path, key, wrong)
        for listener in self.listeners:
            listener(self.view)

    def listen(self, listener: Callable[[settings.View], None]) -> None:
        self.listeners.append(listener)
        listener(self.view)

    def ready(self) -> str:
        if self.journal.failure:
            return self.journal.failure
        return "" if self.view.revision else "no settings yet"

    async def stop(self) -> None:
        await self.journal.stop()
