"""Counts what callers go through on this host and keeps it for reports."""

__all__ = ["BurnRecord", "BurnRecorder", "STREAM"]

import asyncio
import dataclasses
from typing import Any
from typing import ClassVar

import msgspec

from camphortray import burn
from camphortray import burn_rate
from camphortray import errors
from camphortray import kernel
from camphortray import log_backends
from camphortray import logs
from camphortray import records
from camphortray import signals
from camphortray import tasks
from camphortray import tree
from camphortray import web

LOG = logs.logger("burn")
STREAM = "burn"
KIND = "burn.minutes"
# Seconds from one record of closed minutes to the next. A host that is
# lost takes at most so much with it; see docs/design/burn.md.
KEEP_EVERY_S = 300.0


# Where a service's tokens are counted, and its objectives by indicator.
Counted = tuple[burn.Cell, dict[int, float] | None]


@dataclasses.dataclass(frozen=True, slots=True)
class BurnRecord:
    """Closed minutes of one process, as kept in the log.

    Attributes:
      host: ``HOST/PROGRAM``.
      incarnation: Of the process.
      rows: Its cells.
    """

    host: str
    incarnation: int
    rows: tuple[burn.Row, ...]


@kernel.PARTS.register("entry", "batch")
class BurnRecorder(kernel.Part, signals.Listener):
    """Listens to signals; tells reports; keeps closed minutes in the log."""

    name: ClassVar[str] = "burn"
    requires: ClassVar[tuple[str, ...]] = (
        "backends",
        "routes",
        "settings",
        "signals",
    )

    def __init__(self, context: kernel.Context) -> None:
        self.context = context
        self.wall = context.clock.wall
        self.tree = context.part(tree.Tree)
        self.log = context.part(log_backends.Backends).log
        self.ledger = burn.Ledger()
        self.kept_until = self.wall()
        self.sequence = 0
        self.objectives: dict[str, dict[int, float]] = {}
        self.present: dict[tuple[str, bool], Counted] = {}
        self.timer: asyncio.TimerHandle | None = None
        self.host = f"{context.config.host.name}/{context.program}"
        self.task: asyncio.Task[None] | None = None
        context.part(signals.Signals).add(self)
        self.tree.listen(self.on_view)
        context.part(web.Routes).add(
            "GET", "/v1/admin/burn", web.Access.OPERATOR, self.show
        )

    @classmethod
    def from_config(cls, context: kernel.Context) -> "BurnRecorder":
        return cls(context)

    def on_view(self, view: Any) -> None:
        """Look up the objectives, so that each token need not."""
        self.present.clear()
        self.objectives = {
            name: {
                burn.TTFT: service.get("objective.ttft_s"),
                burn.ITL: service.get("objective.itl_s"),
            }
            for name, service in view.services.items()
        }

    def answered(self, service: str, batch: bool, good: bool) -> None:
        self.ledger.answered(burn.Key(service, batch), good, self.wall())

    def first_token(
        self, service: str, upstream: str, batch: bool, seconds: float
    ) -> None:
        self.timed(service, batch, burn.TTFT, seconds)

    def next_token(
        self, service: str, upstream: str, batch: bool, seconds: float
    ) -> None:
        self.timed(service, batch, burn.ITL, seconds)

    def timed(
        self, service: str, batch: bool, indicator: int, seconds: float
    ) -> None:
        """Count a token against the service's objective."""
        counted = self.present.get((service, batch))
        if counted is None:
            counted = self.look_up(service, batch)
        cell, objectives = counted
        if objectives is not None:
            cell.timed(indicator, seconds, objectives[indicator])

    def look_up(self, service: str, batch: bool) -> Counted:
        """Return where a service's tokens are counted in this minute.

        Kept until the minute is over or the settings change, so that a
        token need not ask for the time. A timer ends it; should that
        come late, some tokens count for the minute before.
        """
        now = self.wall()
        if not self.present:
            left_s = burn.MINUTE_S - now % burn.MINUTE_S
            loop = asyncio.get_running_loop()
            self.timer = loop.call_later(left_s, self.present.clear)
        cell = self.ledger.cell(burn.Key(service, batch), now)
        counted = cell, self.objectives.get(service)
        self.present[(service, batch)] = counted
        return counted

    async def show(self, call: web.Call) -> None:
        """Answer with all cells since a time."""
        try:
            since = float(call.request.query.get("since", "0"))
        except ValueError as error:
            raise errors.Refused(
                400, "bad_field", "since must be a number", field="since"
            ) from error
        call.response.send_json(
            200,
            {
                "host": self.host,
                "incarnation": self.context.incarnation,
                "rows": self.ledger.rows(since),
                "objectives": {
                    name: burn_rate.Objective(
                        service.get("objective.available"),
                        service.get("objective.share"),
                    )
                    for name, service in self.tree.view.services.items()
                },
            },
        )

    async def start(self) -> None:
        self.task = asyncio.get_running_loop().create_task(
            tasks.forever("record of burn", self.run)
        )

    async def run(self) -> None:
        """Keep closed minutes now and then."""
        while True:
            # Hosts that started together must not append together.
            spread = 0.75 + self.context.rng.random() / 2
            await asyncio.sleep(KEEP_EVERY_S * spread)
            await self.keep()

    async def keep(self) -> None:
        """Append the minutes closed since the last record.

        Reports count a process's minute once, so a record whose answer
        was lost may simply be appended again.
        """
        until = int(self.wall()) // burn.MINUTE_S * burn.MINUTE_S
        rows = tuple(
            row
            for row in self.ledger.rows(self.kept_until)
            if row.length_s == burn.MINUTE_S and row.start < until
        )
        if not rows:
            return
        body = BurnRecord(self.host, self.context.incarnation, rows)
        self.sequence += 1
        writer = records.Writer(self.host, self.context.incarnation)
        record = records.Record(
            records.RecordId(writer, self.sequence),
            KIND,
            records.NO_EPOCH,
            msgspec.to_builtins(body, str_keys=False),
        )
        try:
            await self.log.append(STREAM, records.encode(record))
        except errors.LogError as error:
            LOG.info("Minutes are kept later: {}", error)
            return
        self.kept_until = until

    async def drain(self) -> None:
        await self.keep()

    async def stop(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
        if self.task is not None:
            self.task.cancel()
