"""Admission control: bounds online requests and queues them fairly."""

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

# Time between two searches of the queues for requests that would be late.
SWEEP_INTERVAL_S = 0.1
# A request is refused if less than this share of the mean service time is
# left between its expected start and its deadline.
MIN_SERVICE_SHARE = 0.5

Waiting = fairness.QueuedRequest[asyncio.Future[None]]


@dataclasses.dataclass(frozen=True, slots=True)
class Ticket:
    """Permit to forward one request; returned when the request ends.

    Attributes:
      service: Name of the service.
      workspace: Workspace of the caller.
      entered_at: Monotonic time of admission.
    """

    service: str
    workspace: str
    entered_at: float


@dataclasses.dataclass(slots=True)
class Gate:
    """Admission state of one service on this host.

    Attributes:
      service: The service in the newest settings.
      queue: Requests that wait for admission.
      window: Concurrency limit.
      active: Number of admitted requests that have not ended.
    """

    service: settings.Service
    queue: fairness.FairQueue[asyncio.Future[None]]
    window: windows.Window
    active: int = 0


@kernel.PARTS.register("entry")
class Admission(kernel.Part, signals.Listener):
    """Bounds the concurrent requests of each service on this host.

    A request is refused as soon as it is known that it cannot be served in
    time; the refusal states when to retry.

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
        """Return the gate of a service, updated to its settings."""
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
        """Wait until a request is admitted.

        Args:
          service: The service called.
          workspace: Workspace of the caller.
          deadline_at: Monotonic time by which the answer is due.

        Raises:
          Refused: the rate limit is exceeded, the queue is full or the
            deadline cannot be met.
        """
        self.limits.check(service, workspace)
        gate = self.gate(service)
        now = self.clock.monotonic()
        if now >= deadline_at:
            raise self.too_late(gate, 0.0)
        if not gate.queue.size and gate.window.has_room(gate.active):
            gate.active += 1
            return Ticket(service.name, workspace, now)
        await self.wait(gate, workspace, deadline_at)
        return Ticket(service.name, workspace, self.clock.monotonic())

    async def wait(
        self, gate: Gate, workspace: str, deadline_at: float
    ) -> None:
        """Wait in the queue; ``admit_waiting`` counts the request."""
        weight = gate.service.workspace(workspace).weight
        wait_s = gate.window.wait_s(gate.queue.count_ahead(workspace, weight))
        now = self.clock.monotonic()
        if self.would_miss_deadline(gate, now + wait_s, deadline_at):
            raise self.too_late(gate, wait_s)
        admitted = asyncio.get_running_loop().create_future()
        waiting: Waiting = fairness.QueuedRequest(
            workspace, admitted, deadline_at
        )
        dropped = gate.queue.put(waiting, weight)
        if dropped is not None:
            self.refuse(dropped, self.busy(gate, wait_s))
        self.start_sweep()
        try:
            await admitted
        except asyncio.CancelledError:
            # The caller has gone. It may have been admitted in the same
            # iteration of the event loop; its place is then released here.
            gate.queue.remove(waiting)
            if admitted.done() and not admitted.cancelled():
                if admitted.exception() is None:
                    self.release(gate)
            raise

    def would_miss_deadline(
        self, gate: Gate, start_at: float, deadline_at: float
    ) -> bool:
        """Return whether a request started at ``start_at`` would be late."""
        return (
            start_at + gate.window.service_time_s * MIN_SERVICE_SHARE
            > deadline_at
        )

    def refuse(self, waiting: Waiting, refusal: errors.Refused) -> None:
        """Refuse a queued request."""
        if not waiting.item.done():
            waiting.item.set_exception(refusal)

    def busy(self, gate: Gate, wait_s: float) -> errors.Refused:
        """Return the refusal for a full queue."""
        return errors.Refused(
            429,
            "busy",
            "too many requests wait",
            retry_after=self.retry_after_s(wait_s),
        )

    def too_late(self, gate: Gate, wait_s: float) -> errors.Refused:
        """Return the refusal for a request that would miss its deadline."""
        return errors.Refused(
            503,
            "too_late",
            "cannot be done before its deadline",
            retry_after=self.retry_after_s(wait_s),
        )

    def retry_after_s(self, wait_s: float) -> float:
        """Return the seconds until a retry, jittered to spread retries."""
        return max(1.0, wait_s) * (1 + 2 * self.context.rng.random())

    def leave(self, ticket: Ticket) -> None:
        """Take back the ticket of a request that has ended."""
        gate = self.gates[ticket.service]
        gate.window.record_service_time(
            self.clock.monotonic() - ticket.entered_at
        )
        self.release(gate)

    def release(self, gate: Gate) -> None:
        """Release one place and admit the next request."""
        gate.active -= 1
        self.admit_waiting(gate)

    def admit_waiting(self, gate: Gate) -> None:
        """Admit waiting requests in queue order while the window has room."""
        now = self.clock.monotonic()
        while gate.window.has_room(gate.active):
            waiting = gate.queue.pop()
            if waiting is None:
                return
            if self.would_miss_deadline(gate, now, waiting.deadline_at):
                self.refuse(waiting, self.too_late(gate, 0.0))
            elif not waiting.item.done():
                gate.active += 1
                waiting.item.set_result(None)

    def first_token(
        self, service: str, upstream: str, batch: bool, seconds: float
    ) -> None:
        gate = self.gates.get(service)
        if batch or gate is None:
            return
        objective = gate.service.get("objective.ttft_s")
        gate.window.first_token(self.clock.monotonic(), seconds, objective)
        self.admit_waiting(gate)

    def start_sweep(self) -> None:
        """Start the sweep of the queues unless it is running."""
        if self.sweeper is None or self.sweeper.done():
            self.sweeper = asyncio.get_running_loop().create_task(
                tasks.forever("refusal of late requests", self.sweep)
            )

    async def sweep(self) -> None:
        """Refuse requests that have become late until nothing waits."""
        while any(gate.queue.size for gate in self.gates.values()):
            await asyncio.sleep(SWEEP_INTERVAL_S)
            now = self.clock.monotonic()
            for gate in self.gates.values():
                self.refuse_late(gate, now)

    def refuse_late(self, gate: Gate, now: float) -> None:
        """Refuse queued requests that would miss their deadline by now."""
        for waiting in gate.queue.remove_if(
            lambda queued: self.would_miss_deadline(
                gate, now, queued.deadline_at
            )
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
