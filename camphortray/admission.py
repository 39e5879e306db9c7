"""Lets online requests in, in a fair order, while there is room."""

__all__ = ["Admission", "Ticket"]

import asyncio
import dataclasses
from typing import ClassVar

from camphortray import concurrency_limit as windows
from camphortray import errors
from camphortray import fairness
from camphortray import kernel
from camphortray import membership
from camphortray import ratelimits
from camphortray import settings
from camphortray import signals
from camphortray import tasks

# Seconds from one search of the queues for late requests to the next.
SWEEP_S = 0.1
# Share of the mean time of an answer below which no answer is expected: a
# request with less time left than that is refused at once.
LEAST_SHARE = 0.5

Waiting = fairness.Waiting[asyncio.Future[None]]


@dataclasses.dataclass(frozen=True, slots=True)
class Ticket:
    """Leave to send one request on; given back when it ends.

    Attributes:
      service: Name of the service.
      workspace: Who asks.
      entered_at: When it was let in, on the monotonic clock.
    """

    service: str
    workspace: str
    entered_at: float


@dataclasses.dataclass(slots=True)
class Gate:
    """State of one service on this host.

    Attributes:
      service: As the newest settings have it.
      inside: Requests let in.
    """

    service: settings.Service
    queue: fairness.FairQueue[asyncio.Future[None]]
    window: windows.Window
    inside: int = 0


@kernel.PARTS.register("entry")
class Admission(kernel.Part, signals.Listener):
    """Bounds the requests of each service on this host.

    A refusal is given at once, as soon as it is certain; the caller is
    told when to come back.

    Attributes:
      gates: By name of service.
    """

    name: ClassVar[str] = "admission"
    requires: ClassVar[tuple[str, ...]] = (
        "settings",
        "membership",
        "ratelimits",
        "signals",
    )

    def __init__(self, context: kernel.Context) -> None:
        self.context = context
        self.clock = context.clock
        self.members = context.part(membership.Membership)
        self.limits = context.part(ratelimits.RateLimits)
        self.gates: dict[str, Gate] = {}
        self.sweeper: asyncio.Task[None] | None = None
        context.part(signals.Signals).add(self)

    @classmethod
    def from_config(cls, context: kernel.Context) -> "Admission":
        return cls(context)

    def gate(self, service: settings.Service) -> Gate:
        """Return the gate of a service, fitted to its settings."""
        gate = self.gates.get(service.name)
        if gate is None:
            gate = self.gates[service.name] = Gate(
                service, fairness.FairQueue(0), windows.Window()
            )
        gate.service = service
        gate.queue.limit = service.get("limit.queue")
        slots = sum(u.slots for u in service.upstreams.values())
        gate.window.bound(slots, len(self.members.live("entry")))
        return gate

    async def enter(
        self, service: settings.Service, workspace: str, deadline_at: float
    ) -> Ticket:
        """Wait for leave to send a request on.

        Args:
          service: Which service.
          workspace: Who asks.
          deadline_at: When its answer is due, on the monotonic clock.

        Raises:
          Refused: there is no room, or it could not be done in time.
        """
        self.limits.check(service, workspace)
        gate = self.gate(service)
        now = self.clock.monotonic()
        if now >= deadline_at:
            raise self.too_late(gate, 0.0)
        if not gate.queue.size and gate.window.room(gate.inside):
            gate.inside += 1
            return Ticket(service.name, workspace, now)
        await self.wait(gate, workspace, deadline_at)
        return Ticket(service.name, workspace, self.clock.monotonic())

    async def wait(
        self, gate: Gate, workspace: str, deadline_at: float
    ) -> None:
        """Wait in the queue; the one who lets in has counted it."""
        weight = gate.service.workspace(workspace).weight
        wait_s = gate.window.wait_s(gate.queue.ahead(workspace, weight))
        now = self.clock.monotonic()
        if self.is_late(gate, now + wait_s, deadline_at):
            raise self.too_late(gate, wait_s)
        leave = asyncio.get_running_loop().create_future()
        waiting: Waiting = fairness.Waiting(workspace, leave, deadline_at)
        pushed = gate.queue.put(waiting, weight)
        if pushed is not None:
            self.refuse(pushed, self.busy(gate, wait_s))
        self.sweep_later()
        try:
            await leave
        except asyncio.CancelledError:
            # The caller has gone; its place may have come in the same
            # step of the loop, and nobody else would give it back.
            gate.queue.remove(waiting)
            if leave.done() and not leave.cancelled():
                if leave.exception() is None:
                    self.let_out(gate)
            raise

    def is_late(self, gate: Gate, start: float, deadline_at: float) -> bool:
        """Return whether an answer begun at ``start`` would be too late."""
        return start + gate.window.held_s * LEAST_SHARE > deadline_at

    def refuse(self, waiting: Waiting, refusal: errors.Refused) -> None:
        """Refuse a request that waits."""
        if not waiting.item.done():
            waiting.item.set_exception(refusal)

    def busy(self, gate: Gate, wait_s: float) -> errors.Refused:
        """Return the refusal for a full queue."""
        return errors.Refused(
            429,
            "busy",
            "too many requests wait",
            retry_after=self.return_in(wait_s),
        )

    def too_late(self, gate: Gate, wait_s: float) -> errors.Refused:
        """Return the refusal for what cannot be done in time."""
        return errors.Refused(
            503,
            "too_late",
            "cannot be done before its deadline",
            retry_after=self.return_in(wait_s),
        )

    def return_in(self, wait_s: float) -> float:
        """Return when to come back, spread so that returns do not meet."""
        return max(1.0, wait_s) * (1 + 2 * self.context.rng.random())

    def leave(self, ticket: Ticket) -> None:
        """Give a ticket back."""
        gate = self.gates[ticket.service]
        gate.window.left(self.clock.monotonic() - ticket.entered_at)
        self.let_out(gate)

    def let_out(self, gate: Gate) -> None:
        """Count one out and let the next in."""
        gate.inside -= 1
        self.let_in(gate)

    def let_in(self, gate: Gate) -> None:
        """Let in whoever's turn it is, while there is room."""
        now = self.clock.monotonic()
        while gate.window.room(gate.inside):
            waiting = gate.queue.pop()
            if waiting is None:
                return
            if self.is_late(gate, now, waiting.deadline_at):
                self.refuse(waiting, self.too_late(gate, 0.0))
            elif not waiting.item.done():
                gate.inside += 1
                waiting.item.set_result(None)

    def first_token(
        self, service: str, upstream: str, batch: bool, seconds: float
    ) -> None:
        gate = self.gates.get(service)
        if batch or gate is None:
            return
        objective = gate.service.get("objective.ttft_s")
        gate.window.first_token(self.clock.monotonic(), seconds, objective)
        self.let_in(gate)

    def sweep_later(self) -> None:
        """Search the queues for late requests from now on."""
        if self.sweeper is None or self.sweeper.done():
            self.sweeper = asyncio.get_running_loop().create_task(
                tasks.forever("refusal of late requests", self.sweep)
            )

    async def sweep(self) -> None:
        """Refuse what has become late, while anything waits."""
        while any(gate.queue.size for gate in self.gates.values()):
            await asyncio.sleep(SWEEP_S)
            now = self.clock.monotonic()
            for gate in self.gates.values():
                self.shed(gate, now)

    def shed(self, gate: Gate, now: float) -> None:
        """Refuse requests for which it is too late by now."""
        for waiting in gate.queue.drop_if(
            lambda held: self.is_late(gate, now, held.deadline_at)
        ):
            self.refuse(waiting, self.too_late(gate, 0.0))

    def in_flight(self) -> list[str]:
        return [
            f"{gate.queue.size} waiting for {name}"
            for name, gate in self.gates.items()
            if gate.queue.size
        ]

    async def stop(self) -> None:
        if self.sweeper is not None:
            self.sweeper.cancel()
