"""Starts, drains and stops the parts of a program, in order.

A part is a plug-in: it registers itself in ``PARTS`` under the program
that runs it. The order of a program's parts follows from what each part
names in ``requires``. A request enters through the part ``callers`` of
``camphortray-entry`` or ``camphortray-batch``.
"""

__all__ = ["Context", "Kernel", "PARTS", "Part"]

import abc
import asyncio
import collections
from collections.abc import Callable
import graphlib
import random
import signal
from typing import Any
from typing import ClassVar
from typing import TypeVar

import msgspec

from camphortray import clock as clocks
from camphortray import config as configs
from camphortray import drain_admission
from camphortray import errors
from camphortray import logs
from camphortray import metrics as metrics_module
from camphortray import tasks

LOG = logs.logger("kernel")
# Seconds from one look at what is in flight to the next while draining.
DRAIN_REPORT_S = 5.0
# Longest time that all parts together take to stop where nothing else bounds
# it, and the time they have even if the bound is over, in seconds.
STOP_S = 10.0
MIN_STOP_S = 0.1
# Share of the time left that one part may take to stop; the parts behind it
# have the rest.
PART_SHARE = 0.5

P = TypeVar("P", bound="Part")


def do_nothing() -> None:
    """Stand in until a kernel runs."""


class Context(msgspec.Struct):
    """What every part of one program shares.

    Attributes:
      config: Settings of the host.
      program: ``"entry"`` or ``"batch"``.
      incarnation: Number that grows with each start of this host's
        program; wall-clock milliseconds at the start.
      clock: Source of time.
      rng: Source of randomness, seeded in tests.
      metrics: Counters and histograms of the program.
      parts: Parts made so far, by name.
      not_ready: Gives the reasons why callers should not come yet.
      request_drain: Drains the program, as SIGTERM does.
      end_at: When all parts have to have stopped, in the loop's time, set by
        a part that knows when the process is killed; None before.
      admission: Which requests are accepted while the program drains.
    """

    config: configs.Config
    program: str
    incarnation: int
    clock: clocks.Clock
    rng: random.Random
    metrics: metrics_module.Metrics
    parts: dict[str, "Part"] = msgspec.field(default_factory=dict)
    not_ready: Callable[[], list[str]] = list
    request_drain: Callable[[], None] = do_nothing
    end_at: float | None = None
    admission: drain_admission.DrainAdmission = msgspec.field(
        default_factory=drain_admission.DrainAdmission
    )

    @classmethod
    def from_config(
        cls, config: configs.Config, program: str, seed: int | None = None
    ) -> "Context":
        """Build a context on the running loop's clock."""
        clock = clocks.SystemClock()
        return cls(
            config=config,
            program=program,
            incarnation=int(clock.wall() * 1000),
            clock=clock,
            rng=random.Random(seed),
            metrics=metrics_module.Metrics(),
        )

    def part(self, cls: type[P]) -> P:
        """Return the part of class ``cls``.

        Raises:
          PluginError: the program runs no such part.
        """
        part = self.parts.get(cls.name)
        if not isinstance(part, cls):
            raise errors.PluginError(
                f"part {cls.name!r} is not running", step="look up"
            )
        return part


class Part(abc.ABC):
    """One part of a program.

    Attributes:
      name: Its name, unique in a program.
      requires: Names of the parts that start before it and stop after.
      last: Whether it starts after all parts that are not last.
    """

    name: ClassVar[str]
    requires: ClassVar[tuple[str, ...]] = ()
    last: ClassVar[bool] = False

    @classmethod
    @abc.abstractmethod
    def from_config(cls: type[P], context: Context) -> P:
        """Build the part; parts it requires stand in the context."""

    async def start(self) -> None:
        """Begin work; an exception stops the program."""

    def ready(self) -> str:
        """Return why the part is not ready, or an empty text."""
        return ""

    async def drain(self) -> None:
        """Take no new work and return when none is in flight."""

    def in_flight(self) -> list[str]:
        """Return a name for each piece of work under way."""
        return []

    async def stop(self) -> None:
        """Release everything; called even after a failed start."""


class Parts:
    """Classes of parts by program."""

    def __init__(self) -> None:
        self.classes: dict[str, dict[str, type[Part]]] = (
            collections.defaultdict(dict)
        )

    def register(self, *programs: str) -> Any:
        """Return a decorator that adds a part to ``programs``."""

        def decorate(cls: type[P]) -> type[P]:
            for program in programs:
                self.classes[program][cls.name] = cls
            return cls

        return decorate

    def ordered(self, program: str) -> list[type[Part]]:
        """Return the parts of a program, required ones first."""
        classes = self.classes[program]
        sorter = graphlib.TopologicalSorter(
            {name: cls.requires for name, cls in classes.items()}
        )
        try:
            ordered = [classes[name] for name in sorter.static_order()]
            return sorted(ordered, key=lambda cls: cls.last)
        except KeyError as error:
            raise errors.PluginError(
                f"required part {error} is not registered", step="order"
            ) from error
        except graphlib.CycleError as error:
            raise errors.PluginError(
                f"parts require each other: {error.args[1]}", step="order"
            ) from error


PARTS = Parts()


class Kernel:
    """Runs the parts of one program."""

    def __init__(self, context: Context) -> None:
        self.context = context
        context.not_ready = self.not_ready
        context.request_drain = self.request_drain
        self.parts: list[Part] = []
        self.draining = False
        self.ended = asyncio.Event()
        self.drain_task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Build and start all parts in order.

        Raises:
          PluginError: a part failed; those started are stopped again.
        """
        tasks.METRICS.set(self.context.metrics)
        for cls in PARTS.ordered(self.context.program):
            try:
                part = cls.from_config(self.context)
                self.parts.append(part)
                self.context.parts[cls.name] = part
                await part.start()
            except Exception as error:
                await self.stop()
                raise errors.PluginError(
                    str(error) or type(error).__name__,
                    step="start",
                    peer=cls.name,
                ) from error
        LOG.info("Started {} parts.", len(self.parts))

    def not_ready(self) -> list[str]:
        """Return a reason for each part that is not ready."""
        if self.draining:
            return ["kernel: draining"]
        reasons = ((part.name, part.ready()) for part in self.parts)
        return [f"{name}: {why}" for name, why in reasons if why]

    def in_flight(self) -> list[str]:
        """Return what is under way, over all parts."""
        return [
            f"{part.name}: {work}"
            for part in self.parts
            for work in part.in_flight()
        ]

    async def drain(self) -> None:
        """Drain the parts, those nearest to callers first."""
        self.draining = True
        LOG.notice("Draining.")
        for part in reversed(self.parts):
            task = asyncio.ensure_future(part.drain())
            while not (await asyncio.wait({task}, timeout=DRAIN_REPORT_S))[0]:
                LOG.info("{} still drains.", part.name)
            if not task.cancelled() and task.exception() is not None:
                # What stands behind it has requests of its own to end.
                LOG.error(
                    "{} failed to drain: {!r}", part.name, task.exception()
                )
        LOG.notice("Drained.")

    async def stop(self) -> None:
        """Stop the parts in reverse order, by the end of their time.

        One that fails, or that takes more than its share, is logged and left
        behind.
        """
        loop = asyncio.get_running_loop()
        now = loop.time()
        end_at = self.context.end_at
        if end_at is None:
            end_at = now + STOP_S
        end_at = max(end_at, now + MIN_STOP_S)
        while self.parts:
            part = self.parts.pop()
            left_s = max(0.0, end_at - loop.time())
            # Not awaited: a part may hold on to its cancellation.
            task = asyncio.ensure_future(part.stop())
            await asyncio.wait({task}, timeout=left_s * PART_SHARE)
            if not task.done():
                task.cancel()
                LOG.warning("{} has not stopped in its time.", part.name)
            elif not task.cancelled() and task.exception() is not None:
                LOG.error("{} failed to stop: {}", part.name, task.exception())
        self.ended.set()

    def request_drain(self) -> None:
        """Drain and end; asked again, go on doing so."""
        if self.drain_task is None:
            self.drain_task = asyncio.ensure_future(self.drain_and_end())

    def on_signal(self) -> None:
        """Drain on the first signal, end on the second."""
        if self.drain_task is None:
            self.request_drain()
            return
        for work in self.in_flight():
            LOG.warning("Still in flight: {}", work)
        LOG.warning("Ends without waiting.")
        self.ended.set()

    async def drain_and_end(self) -> None:
        """Drain, then let ``run`` end."""
        try:
            await self.drain()
        finally:
            self.ended.set()

    async def run(self) -> None:
        """Start, wait for a signal, and stop."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.on_signal)
        loop.set_exception_handler(tasks.log_loop_error)
        await self.start()
        await self.ended.wait()
        await self.stop()
