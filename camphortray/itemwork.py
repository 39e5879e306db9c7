"""Runs opaque items at engines until each is done or abandoned."""

__all__ = ["ItemWork", "Progress", "WorkParts"]

import asyncio
import dataclasses

from camphortray import active_config
from camphortray import backends
from camphortray import clock as clocks
from camphortray import early_end
from camphortray import engine
from camphortray import enginehealth
from camphortray import errors
from camphortray import eventstream
from camphortray import item_deadline
from camphortray import item_retry
from camphortray import item_stall_detector
from camphortray import lease_table
from camphortray import logs
from camphortray import metrics as metrics_module
from camphortray import partition_records
from camphortray import partition_state
from camphortray import routemap
from camphortray import slot_client
from camphortray import slot_scheduler

LOG = logs.logger("items")
Stage = item_stall_detector.Stage
# Seconds without an event after which a run is taken up elsewhere.
SILENT_S = 0.5
# The same before the first event.
FIRST_SILENT_S = 2.0
# Seconds from one look for a route that has gone to the next.
ROUTE_S = 0.5
# Seconds for which a route must be missing, by a configuration that is
# fresh, before its items are given up.
ROUTE_GONE_S = 5.0
# Seconds to wait for a slot before the route is looked at again: a service
# that the route has left may never have one.
REASK_S = 3.0
# Seconds beyond the longest time that a wait may take, after which the item
# is taken from whoever waits. A run without an event ends itself after
# FIRST_SILENT_S and the time for a connection, a wait for a slot after
# REASK_S, so that this much more is no doubt left.
STUCK_S = 4.0


class Revoked(Exception):
    """The slot was taken back."""


@dataclasses.dataclass(frozen=True)
class WorkParts:
    """The parts of the program that items are run with."""

    clock: clocks.Clock
    backends: backends.LedgerBackends
    active_config: active_config.ActiveConfig
    slots: slot_client.SlotClient
    pace: item_retry.Pace
    metrics: metrics_module.Metrics = dataclasses.field(
        default_factory=metrics_module.Metrics
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Progress:
    """What has come of an item that is not done.

    Attributes:
      place: Of the item in its job.
      last: Id of its last whole event.
      text: Data of its events, one entry each.
    """

    place: int
    last: str
    text: tuple[bytes, ...]


class ItemWork:
    """One item of a job, as its owner runs it.

    Attributes:
      life: Unique among all that have run this item.
      deadline: How much time it has.
      stage: What it waits for.
      stage_at: Since when, monotonic.
      text: Data of the events so far.
      reader: Cuts and checks the stream, over all engines.
      first_at: When the first event of the present run came, monotonic.
      last_at: When the last one did.
      held: Slot of the present run.
    """

    def __init__(
        self,
        parts: WorkParts,
        job: partition_state.Job,
        place: int,
        life: str = "",
    ) -> None:
        self.parts = parts
        self.job = job
        self.place = place
        self.life = life
        item = job.items[place]
        assert item is not None
        self.item = item
        self.deadline = item_deadline.ItemDeadline(parts.clock, job.taken_at)
        self.stage, self.stage_at = Stage.ROUTE, parts.clock.monotonic()
        self.tries = item_retry.ItemTries()
        self.reader = eventstream.EventReader()
        self.text: list[bytes] = []
        self.number = 0
        self.run_task: asyncio.Task[None] | None = None
        self.held: lease_table.HeldLease | None = None
        self.first_at = self.last_at = 0.0

    async def run(self) -> partition_records.Result:
        """Return how the item ended; however long that takes."""
        while True:
            self.enter(Stage.ROUTE)
            route = await self.route()
            if route is None or self.deadline.is_over(route):
                return self.abandoned("its time is over")
            self.enter(Stage.PAUSE)
            now = self.parts.clock.monotonic()
            await asyncio.sleep(max(0.0, self.tries.not_before - now))
            self.enter(Stage.SLOT)
            try:
                async with asyncio.timeout(REASK_S):
                    held = await self.place_at(route)
            except TimeoutError:
                continue
            except errors.NoSlot as error:
                LOG.debug("{}: {}", self.item.id, error)
                await asyncio.sleep(item_retry.PAUSE_S)
                continue
            if not self.still_leads(held):
                # The operator has moved the route while it waited.
                outcome = enginehealth.Outcome.NOTHING
                self.parts.slots.release(held, outcome)
                continue
            self.enter(Stage.RUN)
            result = await self.attempt(route, held)
            if result is not None:
                return result

    def enter(self, stage: Stage) -> None:
        """Take note of what the item waits for now."""
        self.stage, self.stage_at = stage, self.parts.clock.monotonic()

    @property
    def sign_at(self) -> float:
        """When there was last a sign that the item gets on, monotonic."""
        if self.stage is Stage.PAUSE:
            return max(self.stage_at, self.tries.not_before)
        return max(self.stage_at, self.last_at)

    def overdue(self, now: float) -> bool:
        """Return whether a wait has taken longer than it ever may.

        An item may wait for a route, and a result for the store, for as
        long as they are away.
        """
        longest_s = {
            Stage.PAUSE: STUCK_S,
            Stage.SLOT: REASK_S + STUCK_S,
            Stage.RUN: FIRST_SILENT_S + STUCK_S,
        }.get(self.stage)
        return longest_s is not None and now - self.sign_at > longest_s

    def begin_anew(self, pause_s: float) -> None:
        """Forget what has come, and run from the beginning after a pause.

        Whatever ended the run by an error that no code expects may lie in
        what had come of the item, and would end the next one too.
        """
        self.reader = eventstream.EventReader()
        self.text = []
        self.tries.not_before = self.parts.clock.monotonic() + pause_s

    def drop(self) -> None:
        """Stop the run and give its slot back, whatever holds it."""
        self.revoke()
        if self.held is not None:
            outcome = enginehealth.Outcome.NOTHING
            self.parts.slots.release(self.held, outcome)

    async def route(self) -> routemap.Route | None:
        """Return the item's route, or None once it has been taken away.

        A host that has only just started, or is out of touch, knows no
        routes or old ones; an item given up for that would be lost.
        """
        missing_since: float | None = None
        while True:
            held = self.parts.active_config
            found = held.routes.find(self.job.host_name, self.item.target)
            if found is not None:
                return found
            now = self.parts.clock.monotonic()
            if held.away or not held.view.revision:
                missing_since = None
            elif missing_since is None:
                missing_since = now
            elif now - missing_since > ROUTE_GONE_S:
                return None
            await asyncio.sleep(ROUTE_S)

    def still_leads(self, held: lease_table.HeldLease) -> bool:
        """Return whether the item's route leads to the service of a slot."""
        route = self.parts.active_config.routes.find(
            self.job.host_name, self.item.target
        )
        return route is not None and (
            route.service_of(self.item.id) == held.service
        )

    def abandoned(self, why: str) -> partition_records.Result:
        """Return the result of an item that is given up."""
        LOG.info(
            "Item {} of {} is abandoned: {}; {} failed, {} broke off.",
            self.item.id,
            self.job.id,
            why,
            self.tries.failed,
            self.tries.breaks,
        )
        return partition_records.Result(
            self.place, partition_records.State.ABANDONED
        )

    async def place_at(self, route: routemap.Route) -> lease_table.HeldLease:
        """Wait for a slot."""
        parts = self.parts
        now = parts.clock.monotonic()
        self.number += 1
        avoid = {self.tries.avoid} - {""}
        want = slot_scheduler.SlotRequest(
            # With the life: an owner before, or this one before an end that
            # was refused, has asked for the same item, and what is still
            # under way about that is not about this.
            f"{self.job.id}.{self.place}.{self.life}.{self.number}",
            parts.slots.own_name,
            False,
            route.priority,
            now,
            route.objective_s,
            due_at=now + self.deadline.due_s(route),
            work_s=parts.pace.left_s(self.reader.count),
            made_s=parts.pace.made_s(self.reader.count),
            start_s=parts.pace.start_s(self.reader.count),
            avoid=frozenset(avoid),
        )
        # An engine that failed once is avoided once: it may be the last.
        self.tries.avoid = ""
        service = route.service_of(self.item.id)
        return await parts.slots.acquire(service, want, self.revoke)

    @property
    def progress(self) -> Progress | None:
        """What has come of the item, if another could go on from there."""
        if not self.reader.last:
            return None
        return Progress(self.place, self.reader.last, tuple(self.text))

    def go_on_from(self, progress: Progress) -> None:
        """Go on from what the owner before has got, if that is more."""
        if len(progress.text) <= self.reader.count:
            return
        self.reader.go_on_from(progress.last, len(progress.text))
        self.text = list(progress.text)
        # What runs now is behind; it is taken up anew from there.
        self.revoke()

    def revoke(self) -> None:
        """Stop the run; what has come of it is kept."""
        if self.run_task is not None:
            self.run_task.cancel()

    async def attempt(
        self, route: routemap.Route, held: lease_table.HeldLease
    ) -> partition_records.Result | None:
        """Run once; return the result if that ended it."""
        outcome = enginehealth.Outcome.NOTHING
        count = self.reader.count
        self.first_at = self.last_at = 0.0
        task = asyncio.get_running_loop().create_task(
            self.stream(route, held.upstream)
        )
        self.run_task = task
        self.held = held
        try:
            await asyncio.wait({task})
            if task.cancelled():
                early_end.count(
                    self.parts.metrics, "item", early_end.Cause.REVOKED
                )
                LOG.info(
                    "Item {} of {} gives way at {} after event {!r}.",
                    self.item.id,
                    self.job.id,
                    held.upstream.name,
                    self.reader.last,
                    fields={"age_s": round(self.deadline.age_s(), 2)},
                )
                return None
            task.result()
            outcome = enginehealth.Outcome.GOOD
            self.parts.pace.learn(self.reader.count)
            LOG.info(
                "Item {} of {} is done at {}, {} events, run {}.",
                self.item.id,
                self.job.id,
                held.upstream.name,
                self.reader.count,
                self.number,
                fields={"age_s": round(self.deadline.age_s(), 2)},
            )
            return partition_records.Result(
                self.place, partition_records.State.DONE, b"\n".join(self.text)
            )
        except errors.UpstreamError as error:
            if not self.deadline.ends_runs(route):
                outcome = enginehealth.outcome_of(error)
            brought = self.reader.count - count
            return self.failed(route, held, error, brought)
        finally:
            task.cancel()
            self.run_task = self.held = None
            self.parts.slots.release(held, outcome)
            brought = self.reader.count - count
            self.parts.pace.ran(brought, self.last_at - self.first_at)
            if brought > 0:
                self.tries.pauses = 0

    def failed(
        self,
        route: routemap.Route,
        held: lease_table.HeldLease,
        error: errors.UpstreamError,
        brought: int,
    ) -> partition_records.Result | None:
        """Take note of a failed run; return a result if it is the last."""
        name = held.upstream.name
        early_end.count(self.parts.metrics, "item", early_end.cause_of(error))
        LOG.info(
            "Item {} of {} failed at {}: {}",
            self.item.id,
            self.job.id,
            name,
            error,
            fields={
                "last_event": self.reader.last,
                "run": self.number,
                **early_end.fields_of(error),
            },
        )
        if isinstance(error, errors.UpstreamRefused) and error.leaving:
            self.parts.active_config.note_leaving(name)
        fate = item_retry.decide(
            self.tries,
            error,
            name,
            self.parts.clock.monotonic(),
            route.max_attempts,
            brought,
        )
        if fate is item_retry.Fate.ABANDON:
            return self.abandoned(str(error))
        return None

    async def stream(
        self, route: routemap.Route, upstream: engine.Upstream
    ) -> None:
        """Read one stream to its end.

        Raises:
          UpstreamError: it is not whole.
        """
        party = self.parts.backends.engine(upstream.plugin)
        if self.reader.doubted or not self.reader.last:
            # Nothing to go on from: an engine begins at the first event,
            # and what came before would stand twice.
            self.reader, self.text = eventstream.EventReader(), []
        self.reader.restart()
        left_s = self.deadline.left_s(route)
        request = engine.EngineRequest(
            self.item.id,
            self.item.target,
            self.item.body,
            True,
            left_s,
            batch=True,
            silence_s=FIRST_SILENT_S,
            headers=(("host", self.job.host_name), *self.item.headers),
            resume_after=self.reader.last,
            workspace=self.job.workspace,
        )
        begun_at, made = self.parts.clock.monotonic(), self.reader.count
        # After a try that brought nothing a kept connection is not trusted.
        fresh = self.tries.pauses > 0
        stream = await party.open(upstream, request, fresh)
        try:
            if stream.status // 100 != 2:
                raise errors.UpstreamRefused(
                    f"status {stream.status}",
                    status=stream.status,
                    ran=True,
                    step="run",
                    peer=upstream.name,
                )
            limit_s = FIRST_SILENT_S
            while data := await stream.read(limit_s):
                if limit_s == FIRST_SILENT_S:
                    waited_s = self.parts.clock.monotonic() - begun_at
                    self.parts.pace.started(made, waited_s)
                self.take(data)
                limit_s = SILENT_S
        finally:
            stream.close()
        if self.reader.tail or not self.reader.count:
            raise errors.UpstreamBroken(
                "ended in the middle of an event",
                ran=True,
                step="stream",
                peer=upstream.name,
            )

    def take(self, data: bytes) -> None:
        """Keep what whole events bring."""
        whole = self.reader.feed(data)
        if whole:
            self.last_at = self.parts.clock.monotonic()
            self.first_at = self.first_at or self.last_at
            self.text += [e.data for e in eventstream.events_of(whole)]
