"""Publishes changes of settings and tells what became of each."""

__all__ = ["Entry", "Published", "Publisher"]

import asyncio
import dataclasses
import random
import time
from typing import Literal
import uuid

import msgspec

from camphortray import errors
from camphortray import fold as folds
from camphortray import journal
from camphortray import log
from camphortray import plan as plans
from camphortray import records
from camphortray import settings

Verdict = Literal["accepted", "refused", "unknown", "not sent"]


@dataclasses.dataclass(frozen=True)
class Entry:
    """One valid change as the stream holds it.

    Attributes:
      revision: Of the tree after it.
      change: The change.
      before: The node's values just before it.
    """

    revision: int
    change: settings.Change
    before: dict[str, object]


@dataclasses.dataclass(frozen=True)
class Published:
    """What became of one change.

    Attributes:
      node: Path of the node.
      verdict: ``"accepted"`` only if read back valid; ``"unknown"`` if
        it may still be; ``"not sent"`` if it certainly never will.
      reason: Why it is not accepted, and who won a race.
      revision: Of the tree after it, if accepted.
    """

    node: str
    verdict: Verdict
    reason: str = ""
    revision: int = 0

    def __str__(self) -> str:
        tail = f": {self.reason}" if self.reason else ""
        head = f"{self.node}: {self.verdict}"
        if self.revision:
            head += f" as revision {self.revision}"
        return head + tail


class HistoryFold(settings.SettingsFold):
    """The tree, with its changes remembered for operators."""

    def __init__(self) -> None:
        super().__init__()
        self.history: list[Entry] = []

    def on_change(self, offset: int, record: records.Record) -> None:
        change = records.typed(record.body, settings.Change)
        held = self.nodes.get(change.node, settings.Node())
        before = dict(held.values)
        super().on_change(offset, record)
        self.history.append(Entry(self.revision, change, before))


class Publisher:
    """An operator's hold on the ``settings`` stream.

    Attributes:
      fold: The tree and its history, up to date once ``start`` returns.
    """

    def __init__(self, service: log.LogService, author: str) -> None:
        self.author = author
        self.fold = HistoryFold()
        # A name of its own for each run: two runs at once must not take
        # each other's records for duplicates.
        writer = records.Writer(f"ctl/{uuid.uuid4().hex[:12]}", 1)
        self.journal = journal.Journal(
            service, settings.STREAM, self.fold, writer, random.Random()
        )

    async def start(self, timeout_s: float = 10.0) -> None:
        """Read the stream to its end.

        Raises:
          LogUnavailable: the log does not answer in time.
        """
        self.journal.start()
        try:
            async with asyncio.timeout(timeout_s):
                await self.journal.caught_up.wait()
        except TimeoutError as error:
            raise errors.LogUnavailable(
                self.journal.failure or f"no answer in {timeout_s:g} s",
                step="read",
                peer=settings.STREAM,
            ) from error

    async def stop(self) -> None:
        """Stop following."""
        await self.journal.stop()

    async def publish(
        self, node: plans.NodePlan, note: str, timeout_s: float = 10.0
    ) -> Published:
        """Publish the change of one node and wait until it is read back."""
        change = dataclasses.replace(
            node.change(self.author, note), at=time.time()
        )
        try:
            outcome = await self.journal.append(
                settings.CHANGE,
                msgspec.to_builtins(change),
                timeout_s=timeout_s,
            )
        except errors.LogRefused as error:
            return Published(node.node, "not sent", str(error))
        except errors.AppendUnknown as error:
            return Published(node.node, "unknown", str(error))
        if outcome.verdict is folds.Verdict.VALID:
            return Published(
                node.node, "accepted", revision=outcome.offset + 1
            )
        return Published(node.node, "refused", self.why(node, outcome))

    def why(self, node: plans.NodePlan, outcome: folds.Outcome) -> str:
        """Tell who won a race."""
        winners = [
            f"{entry.change.author or 'somebody'} at revision {entry.revision}"
            for entry in self.fold.history
            if entry.change.node == node.node and entry.revision > node.base
        ]
        if winners:
            return f"{outcome.reason}; changed by {', '.join(winners)}"
        return outcome.reason

    async def apply(
        self, plan: plans.Plan, note: str, timeout_s: float = 10.0
    ) -> list[Published]:
        """Publish a plan, higher nodes first; tell of every node.

        After an outcome that is not known nothing more is sent, so that
        a node never takes force without the one above it. To go on,
        plan and apply again: what was accepted is no difference any
        more.
        """
        told: list[Published] = []
        stopped = ""
        for node in plan.nodes:
            if stopped:
                told.append(Published(node.node, "not sent", stopped))
                continue
            result = await self.publish(node, note, timeout_s)
            told.append(result)
            if result.verdict in ("unknown", "not sent"):
                stopped = f"stopped after {node.node}"
        return told
