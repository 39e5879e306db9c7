"""Runs one opaque item on engines until it is done or abandoned."""

__all__ = ["ItemWork", "Progress", "WorkParts"]

import asyncio
from collections.abc import Callable

import msgspec

from camphortray import active_config
from camphortray import backends
from camphortray import clock as clocks
from camphortray import early_end
from camphortray import engine
from camphortray import engine_crashes
from camphortray import engine_speeds
from camphortray import enginehealth
from camphortray import errors
from camphortray import eventstream
from camphortray import item_deadline
from camphortray import item_retry
from camphortray import item_stall_detector
from camphortray import lease_table
from camphortray import logs
from camphortray import metrics as metrics_module
from camphortray import opaque
from camphortray import partition_records
from camphortray import partition_state
from camphortray import routemap
from camphortray import segment_quarantine
from camphortray import slot_client
from camphortray import slot_scheduler
from camphortray import timers

LOG = logs.logger("items")
Stage = item_stall_detector.Stage
# Seconds without an event after which a slot at another engine is requested.
SEARCH_AFTER_S = 0.5
# Seconds without the first event of a run after which the run ends.
FIRST_EVENT_TIMEOUT_S = 2.0
# Seconds between lookups of a missing route.
ROUTE_POLL_INTERVAL_S = 0.5
# Seconds for which a route must be missing from an up-to-date configuration
# before its items are abandoned.
ROUTE_GONE_AFTER_S = 5.0
# Seconds between lookups of the quarantine that an item waits for.
QUARANTINE_POLL_INTERVAL_S = 1.0
# Seconds to wait for a slot before the route is looked up again: the route
# may have moved, and its former service may never have a free slot.
SLOT_TIMEOUT_S = 3.0
# Seconds without a further event after which a run ends even if there is no
# slot at another engine.
EVENT_TIMEOUT_S = SEARCH_AFTER_S + SLOT_TIMEOUT_S
# Seconds beyond the limit of a wait after which the item counts as stalled. A
# run without an event ends itself after EVENT_TIMEOUT_S, or the times for a
# connection, a head and a first event, a wait for a slot after SLOT_TIMEOUT_S;
# this margin rules out false alarms.
STALL_MARGIN_S = 4.0


class Revoked(Exception):
    """The slot was revoked."""


class WorkParts(msgspec.Struct, frozen=True):
    """The components that running an item depends on."""

    clock: clocks.Clock
    backends: backends.LedgerBackends
    active_config: active_config.ActiveConfig
    slots: slot_client.SlotClient
    estimator: item_retry.DurationEstimator
    engine_crashes: engine_crashes.EngineCrashes
    quarantine: segment_quarantine.SegmentQuarantine
    metrics: metrics_module.Metrics = msgspec.field(
        default_factory=metrics_module.Metrics
    )


class Origin(msgspec.Struct, frozen=True):
    """What made the output of an item so far.

    Attributes:
      service: Service of its engines; empty if not known.
      version: Version of their software; empty if they tell none.
    """

    service: str = ""
    version: str = ""


UNKNOWN_ORIGIN = Origin()


class Progress(msgspec.Struct, frozen=True, omit_defaults=True):
    """The partial output of an item that is not done.

    Attributes:
      place: Index of the item in its job.
      last: Id of its last complete event.
      text: Data of its events, one entry each.
      origin: What made it.
    """

    place: int
    last: str
    text: tuple[bytes, ...]
    origin: Origin = UNKNOWN_ORIGIN


class ItemWork:
    """Runs one item of a job for the owner of its partition.

    Times are read from the monotonic clock.

    Attributes:
      index: Position of the item in its job.
      execution_id: Unique among all owners and tasks that run this item.
      segments: Prompt segments that it shares with others, in order.
      deadline: Time limits of the item.
      stage: What the item waits for.
      stage_at: When it entered that stage.
      retries: Failed runs so far, and when and where the next may start.
      reader: Splits and checks the event stream, across engines.
      text: Data of the events so far.
      text_bytes: Size of their text, with a line feed behind each.
      oversized: Number of runs whose output was too large.
      origin: What made them.
      made: Number of events of earlier runs that the present one follows.
      any_version: Whether the next run may begin anew, as no engine of the
        version of ``origin`` had a slot in time.
      held_by: Quarantine that the item waits for, or empty.
      probes: Quarantine that the item tests, or empty.
      number: Number of slot requests so far.
      run_task: Reads the stream of the present run.
      cancel_cause: Why the last cancelled run was cancelled.
      lease: Slot of the present run.
      search: Requests a slot elsewhere while the present run is silent.
      successor: Slot of the next run, while the present one ends for it.
      first_event_at: When the first event of the last run arrived, or 0.
      last_event_at: When its latest event arrived, or 0.
    """

    def __init__(
        self,
        parts: WorkParts,
        job: partition_state.Job,
        index: int,
        execution_id: str = "",
    ) -> None:
        self.parts = parts
        self.job = job
        self.index = index
        self.execution_id = execution_id
        item = job.items[index]
        assert item is not None
        self.item = item
        self.segments = parts.engine_crashes.segments_of(item.headers)
        self.deadline = item_deadline.ItemDeadline(parts.clock, job.taken_at)
        self.stage, self.stage_at = Stage.ROUTE, parts.clock.monotonic()
        self.retries = item_retry.RetryState()
        self.reader = eventstream.EventReader()
        self.text: list[bytes] = []
        self.text_bytes = 0
        self.oversized = 0
        self.origin = UNKNOWN_ORIGIN
        self.made = 0
        self.any_version = False
        self.held_by = ""
        self.probes = ""
        self.number = 0
        self.run_task: asyncio.Task[None] | None = None
        self.cancel_cause = early_end.Cause.REVOKED
        self.lease: lease_table.HeldLease | None = None
        self.search: asyncio.Task[None] | None = None
        self.successor: lease_table.HeldLease | None = None
        self.first_event_at = self.last_event_at = 0.0

    async def run(self) -> partition_records.Result:
        """Run the item until it ends; return its result."""
        try:
            return await self.run_until_ended()
        finally:
            self.release_successor()

    async def run_until_ended(self) -> partition_records.Result:
        """Run the item until it ends; return its result."""
        while True:
            self.enter(Stage.ROUTE)
            route = await self.route()
            if route is None or self.deadline.is_expired(route):
                return self.abandoned(
                    "its route is gone or its retention is over"
                )
            lease, self.successor = self.successor, None
            if lease is None:
                self.enter(Stage.PAUSE)
                now = self.parts.clock.monotonic()
                await asyncio.sleep(max(0.0, self.retries.not_before - now))
                if self.is_quarantined(route):
                    continue
                self.enter(Stage.SLOT)
                try:
                    async with asyncio.timeout(SLOT_TIMEOUT_S):
                        lease = await self.acquire_slot(route)
                except TimeoutError:
                    self.any_version = True
                    self.probes = ""
                    continue
                except errors.NoSlot as error:
                    self.probes = ""
                    LOG.debug("{}: {}", self.item.id, error)
                    await asyncio.sleep(item_retry.PAUSE_S)
                    continue
            if not self.route_matches(lease):
                # The operator moved the route while the item waited.
                outcome = enginehealth.Outcome.NOTHING
                self.parts.slots.release(lease, outcome)
                continue
            if self.is_quarantined(route):
                # Engines crashed while the item waited.
                outcome = enginehealth.Outcome.NOTHING
                self.parts.slots.release(lease, outcome)
                continue
            self.enter(Stage.RUN)
            result = await self.attempt(route, lease)
            if result is not None:
                return result

    def is_quarantined(self, route: routemap.Route) -> bool:
        """Return whether a prompt segment is quarantined; if so, pause.

        The item is not abandoned before its retention is over: a quarantine
        may be lifted, and is tested by one item at a time.
        """
        service = route.service_of(self.item.id)
        found = self.parts.quarantine.find(service, self.segments)
        if found is None:
            self.held_by = self.probes = ""
            return False
        if self.probes == found.key:
            return False
        if self.parts.quarantine.may_probe(found):
            self.probes = found.key
            return False
        self.retries.not_before = (
            self.parts.clock.monotonic() + QUARANTINE_POLL_INTERVAL_S
        )
        if self.held_by != found.key:
            self.held_by = found.key
            LOG.notice(
                "Item {} of job {} waits: {}.",
                self.item.id,
                self.job.id,
                found,
            )
        return True

    def enter(self, stage: Stage) -> None:
        """Record the stage that the item enters."""
        self.stage, self.stage_at = stage, self.parts.clock.monotonic()

    @property
    def last_progress_at(self) -> float:
        """When the item last made progress, or when its pause ends."""
        if self.stage is Stage.PAUSE:
            return max(self.stage_at, self.retries.not_before)
        return max(self.stage_at, self.last_event_at)

    def is_stalled(self, now: float) -> bool:
        """Return whether the item has waited beyond the limit of its stage.

        The wait for a route, and that of a result for the store, have no
        limit, as either may be unavailable for any length of time.
        """
        limit_s = {
            Stage.PAUSE: STALL_MARGIN_S,
            Stage.SLOT: SLOT_TIMEOUT_S + STALL_MARGIN_S,
            Stage.RUN: EVENT_TIMEOUT_S + STALL_MARGIN_S,
        }.get(self.stage)
        return limit_s is not None and now - self.last_progress_at > limit_s

    def discard_output(self, delay_s: float) -> None:
        """Discard the partial output, so that the next run starts afresh.

        The partial output may be what caused the unexpected error of the
        last run, and would then fail the next one too.

        Args:
          delay_s: Time before the next run, in seconds.
        """
        self.drop_output()
        self.retries.not_before = self.parts.clock.monotonic() + delay_s

    def abort(self) -> None:
        """Cancel the run and release its slot, even if its task hangs."""
        self.cancel_run(early_end.Cause.STALLED)
        self.end_search()
        self.release_successor()
        if self.lease is not None:
            outcome = enginehealth.Outcome.NOTHING
            self.parts.slots.release(self.lease, outcome)

    async def route(self) -> routemap.Route | None:
        """Return the route of the item, or None once it has been removed.

        A host that has just started, or cannot reach the store, knows no
        routes or outdated ones; abandoning the item for that would lose it.
        """
        missing_since: float | None = None
        while True:
            config = self.parts.active_config
            route = self.find_route()
            if route is not None:
                return route
            now = self.parts.clock.monotonic()
            if config.away or not config.view.revision:
                missing_since = None
            elif missing_since is None:
                missing_since = now
            elif now - missing_since > ROUTE_GONE_AFTER_S:
                return None
            await asyncio.sleep(ROUTE_POLL_INTERVAL_S)

    def find_route(self) -> routemap.Route | None:
        """Return the route by the configuration in force, if it is there."""
        return self.parts.active_config.routes.find_accepting(
            self.job.host_name, self.job.target, self.job.route
        )

    def route_matches(self, lease: lease_table.HeldLease) -> bool:
        """Return whether the route still leads to the service of a slot."""
        route = self.find_route()
        return route is not None and (
            route.service_of(self.item.id) == lease.service
        )

    def abandoned(self, why: str) -> partition_records.Result:
        """Log that the item is abandoned; return its result."""
        LOG.info(
            "Item {} of job {} is abandoned: {}; {} engine failures, last {}"
            " runs cut off without an event.",
            self.item.id,
            self.job.id,
            why,
            self.retries.engine_failures,
            self.retries.crashes,
        )
        return partition_records.Result(
            self.index, partition_records.State.ABANDONED
        )

    async def acquire_slot(
        self,
        route: routemap.Route,
        on_revoke: Callable[[], None] | None = None,
    ) -> lease_table.HeldLease:
        """Wait for a slot at an engine of the route's service."""
        parts = self.parts
        now = parts.clock.monotonic()
        self.number += 1
        service = route.service_of(self.item.id)
        avoid = {self.retries.avoid} - {""}
        request = slot_scheduler.SlotRequest(
            # The execution id keeps requests apart: a previous owner, or this
            # one before a refused end of the job, may have requested a slot
            # for the same item, and late messages about that must not match.
            f"{self.job.id}.{self.index}.{self.execution_id}.{self.number}",
            parts.slots.own_name,
            False,
            route.priority,
            now,
            route.objective_s,
            due_at=now + self.deadline.due_s(route),
            work_s=parts.estimator.left_s(self.reader.count),
            made_s=parts.estimator.made_s(self.reader.count),
            start_s=parts.estimator.start_s(self.reader.count),
            avoid=frozenset(avoid),
            workspace=self.job.workspace,
            version=self.version_needed(service),
        )
        # An engine is avoided for one request only: it may be the only one.
        self.retries.avoid = ""
        on_revoke = on_revoke or self.revoke
        return await parts.slots.acquire(service, request, on_revoke)

    @property
    def progress(self) -> Progress | None:
        """The partial output, or None if no run can resume from it."""
        if not self.reader.last:
            return None
        return Progress(
            self.index, self.reader.last, tuple(self.text), self.origin
        )

    def resume_from(self, progress: Progress) -> None:
        """Resume from the output of the previous owner if that is longer."""
        if len(progress.text) <= self.reader.count:
            return
        self.reader.resume_after(progress.last, len(progress.text))
        self.text = list(progress.text)
        self.text_bytes = sum(len(part) + 1 for part in self.text)
        self.origin = progress.origin
        # The present run has less output; the next one resumes after this.
        self.cancel_run(early_end.Cause.OVERTAKEN)

    def revoke(self) -> None:
        """Cancel the run because its slot was revoked."""
        self.cancel_run(early_end.Cause.REVOKED)

    def cancel_run(self, cause: early_end.Cause) -> None:
        """Cancel the run; its output so far is kept."""
        if self.run_task is not None:
            self.cancel_cause = cause
            self.run_task.cancel()

    async def attempt(
        self, route: routemap.Route, lease: lease_table.HeldLease
    ) -> partition_records.Result | None:
        """Run the item once; return its result if that ended it."""
        outcome = enginehealth.Outcome.NOTHING
        events_before = self.reader.count
        failure: errors.UpstreamError | None = None
        complete = False
        self.first_event_at = self.last_event_at = 0.0
        task = asyncio.get_running_loop().create_task(
            self.stream(route, lease.upstream, lease.service)
        )
        self.any_version = False
        self.run_task = task
        self.lease = lease
        try:
            await asyncio.wait({task})
            if task.cancelled():
                if self.cancel_cause is early_end.Cause.SILENCE:
                    outcome = enginehealth.Outcome.BROKEN
                early_end.count(self.parts.metrics, "item", self.cancel_cause)
                LOG.info(
                    "Run of item {} of job {} at engine {} was cancelled after"
                    " event {!r}.",
                    self.item.id,
                    self.job.id,
                    lease.upstream.name,
                    self.reader.last,
                    fields={
                        "age_s": round(self.deadline.age_s(), 2),
                        "cause": self.cancel_cause.value,
                        "version": lease.upstream.version,
                    },
                )
                return None
            task.result()
            complete = True
            outcome = enginehealth.Outcome.GOOD
            self.parts.estimator.learn(self.reader.count)
            LOG.info(
                "Item {} of job {} is done at engine {}: {} events, run {}.",
                self.item.id,
                self.job.id,
                lease.upstream.name,
                self.reader.count,
                self.number,
                fields={
                    "age_s": round(self.deadline.age_s(), 2),
                    "version": lease.upstream.version,
                },
            )
            return partition_records.Result(
                self.index, partition_records.State.DONE, b"\n".join(self.text)
            )
        except asyncio.CancelledError:
            cause = early_end.Cause.OWNER_STOPPED
            early_end.count(self.parts.metrics, "item", cause)
            raise
        except errors.UpstreamError as error:
            if self.search is not None:
                # No engine of its version had a slot in time.
                self.any_version = True
            if not self.deadline.run_limit_reached(route):
                outcome = enginehealth.outcome_of(error)
            new_events = self.reader.count - events_before
            failure = error
            return self.failed(route, lease, error, new_events)
        finally:
            task.cancel()
            self.end_search()
            self.run_task = self.lease = None
            self.probes = ""
            new_events = self.reader.count - events_before
            stream_s = self.last_event_at - self.first_event_at
            pace_s = engine_speeds.pace_of(new_events, stream_s)
            self.parts.slots.release(lease, outcome, pace_s)
            self.parts.estimator.ran(new_events, stream_s)
            if new_events > 0:
                self.retries.failures_since_event = 0
                self.retries.crashes = 0
            now = self.parts.clock.monotonic()
            self.parts.engine_crashes.on_end(
                lease.upstream,
                lease.service,
                self.segments,
                self.fingerprint,
                engine_crashes.progress_of(new_events, complete),
                now - self.first_event_at if self.first_event_at else 0.0,
                failure,
            )

    def failed(
        self,
        route: routemap.Route,
        lease: lease_table.HeldLease,
        error: errors.UpstreamError,
        new_events: int,
    ) -> partition_records.Result | None:
        """Record a failed run; return a result if it was the last."""
        name = lease.upstream.name
        early_end.count_failure(self.parts.metrics, "item", error)
        LOG.info(
            "Item {} of job {} failed at engine {}: {}",
            self.item.id,
            self.job.id,
            name,
            error,
            fields={
                "last_event": self.reader.last,
                "run": self.number,
                "version": lease.upstream.version,
                "prompt_segments": engine_crashes.logged(self.segments),
                **early_end.fields_of(error),
            },
        )
        if isinstance(error, errors.UpstreamRefused):
            self.parts.active_config.on_refusal(name, error)
        now = self.parts.clock.monotonic()
        decision = item_retry.decide(
            self.retries, error, name, now, route.max_attempts, new_events
        )
        if isinstance(error, errors.OutputTooLarge):
            self.oversized += 1
            if self.oversized > 1:
                # The item itself may have such an output.
                delay_s = item_retry.OVERSIZED_DELAY_S
                self.retries.not_before = now + delay_s
        if decision is item_retry.RetryDecision.ABANDON:
            return self.abandoned(str(error))
        return None

    def fingerprint(self) -> str:
        """Return a digest that is equal for repeats of the item."""
        return opaque.fingerprint_of(self.item.target, self.item.body)

    def version_needed(self, service: str) -> str:
        """Return the version whose engines can resume; empty for any."""
        version = self.origin.version
        engines = self.parts.active_config.engines
        if (
            self.any_version
            or not self.reader.last
            or self.origin.service != service
            or not engines.serves(service, version)
        ):
            return ""
        return version

    def resumes_at(self, origin: Origin) -> bool:
        """Return whether a run fits to the output so far.

        The output of two versions does not fit together, and engines do not
        check it.
        """
        if self.reader.order_ambiguous or not self.reader.last:
            return False
        if self.parts.active_config.engines.is_versioned(origin.service):
            return bool(origin.version) and origin == self.origin
        # Hosts of earlier releases hand output over without its origin.
        return self.origin in (UNKNOWN_ORIGIN, origin)

    def begin_anew(self, origin: Origin) -> None:
        """Drop the output so far, as the next run begins at the first event.

        Without an event to resume after, the engine does so too; keeping the
        earlier events would repeat them.
        """
        if self.reader.last and origin != self.origin:
            self.parts.metrics.inc(
                "camphortray_items_begun_anew_total",
                "Items whose partial output was dropped, as no engine of the"
                " software version that made it had a slot.",
                {},
            )
            LOG.info(
                "Item {} of job {} begins anew after event {!r}.",
                self.item.id,
                self.job.id,
                self.reader.last,
                fields={
                    "service": origin.service,
                    "version": origin.version,
                    "service_before": self.origin.service,
                    "version_before": self.origin.version,
                },
            )
        self.drop_output()

    async def stream(
        self, route: routemap.Route, upstream: engine.Upstream, service: str
    ) -> None:
        """Read one event stream to its end.

        Raises:
          UpstreamError: the run failed, or its stream is incomplete.
        """
        plugin = self.parts.backends.engine(upstream.plugin)
        origin = Origin(service, upstream.version)
        if not self.resumes_at(origin):
            self.begin_anew(origin)
        self.origin = origin
        self.reader.restart()
        left_s = self.deadline.run_limit_s(route)
        request = engine.EngineRequest(
            self.item.id,
            self.item.target,
            self.item.body,
            True,
            left_s,
            batch=True,
            silence_s=FIRST_EVENT_TIMEOUT_S,
            headers=(("host", self.job.host_name), *self.item.headers),
            resume_after=self.reader.last,
            workspace=self.job.workspace,
            resumable=True,
        )
        started_at = self.parts.clock.monotonic()
        made = self.made = self.reader.count
        # After a run without an event no pooled connection is used.
        fresh = self.retries.failures_since_event > 0
        stream = await plugin.open(upstream, request, fresh)
        silence = timers.LazyTimer(
            lambda: self.begin_search(route, upstream.name)
        )
        try:
            if stream.status // 100 != 2:
                raise errors.UpstreamRefused(
                    f"status {stream.status}",
                    status=stream.status,
                    ran=True,
                    step="run",
                    peer=upstream.name,
                )
            limit_s = FIRST_EVENT_TIMEOUT_S
            event_at = started_at
            while data := await stream.read(limit_s):
                now = self.parts.clock.monotonic()
                if not self.feed(data):
                    # Bytes that complete no event are no better than silence.
                    if now - event_at > limit_s:
                        raise errors.UpstreamTimeout(
                            f"no event in {limit_s:.3g} s",
                            ran=True,
                            step="stream",
                            peer=upstream.name,
                        )
                    continue
                if limit_s == FIRST_EVENT_TIMEOUT_S:
                    self.parts.estimator.started(made, now - started_at)
                event_at = now
                limit_s = EVENT_TIMEOUT_S
                self.end_search()
                silence.set(SEARCH_AFTER_S)
        finally:
            silence.stop()
            stream.close()
        # Events of earlier runs do not make an empty answer whole.
        empty = self.reader.count == made and not stream.end_marked
        if empty or self.reader.tail or not self.reader.count:
            raise errors.UpstreamBroken(
                "stream ended before or within an event",
                ran=True,
                step="stream",
                peer=upstream.name,
            )

    # Another engine, while the present one is silent.

    def begin_search(self, route: routemap.Route, name: str) -> None:
        """Request a slot beside a silent run."""
        loop = asyncio.get_running_loop()
        self.search = loop.create_task(self.seek(route, name))

    async def seek(self, route: routemap.Route, name: str) -> None:
        """End the run once there is a slot at another engine."""
        lease: lease_table.HeldLease | None = None

        def on_revoke() -> None:
            if lease is not None and lease is self.successor:
                self.release_successor()
            else:
                self.revoke()

        while lease is None:
            self.retries.avoid = name
            try:
                lease = await self.acquire_slot(route, on_revoke)
            except errors.NoSlot as error:
                LOG.debug("{}: {}", self.item.id, error)
                await asyncio.sleep(item_retry.PAUSE_S)
        self.search, self.successor = None, lease
        self.cancel_run(early_end.Cause.SILENCE)

    def end_search(self) -> None:
        """Withdraw the request for a slot beside the run."""
        if self.search is not None:
            self.search.cancel()
            self.search = None

    def release_successor(self) -> None:
        """Give back a slot that no run has used."""
        lease, self.successor = self.successor, None
        if lease is not None:
            self.parts.slots.release(lease, enginehealth.Outcome.NOTHING)

    def feed(self, data: bytes) -> bool:
        """Store the data of complete events; return whether there are any.

        Raises:
          UpstreamBroken: the bytes are no stream, or the output is too large.
        """
        before = self.reader.count
        complete = self.reader.feed(data)
        if self.reader.count == before:
            return False
        self.last_event_at = self.parts.clock.monotonic()
        self.first_event_at = self.first_event_at or self.last_event_at
        events = eventstream.events_of(complete)
        self.text += [event.data for event in events]
        self.text_bytes += sum(len(event.data) + 1 for event in events)
        if self.text_bytes > partition_records.MAX_TEXT_BYTES + 1:
            self.drop_output()
            raise errors.OutputTooLarge(
                "the output is too large", ran=True, step="stream"
            )
        if self.probes:
            self.end_probe()
        return True

    def drop_output(self) -> None:
        """Drop the output so far; the next run begins at the first event."""
        self.reader, self.text = eventstream.EventReader(), []
        self.text_bytes = 0

    def end_probe(self) -> None:
        """Report that a run tests a quarantine and crashes no engine."""
        if (
            self.lease is not None
            and self.reader.count - self.made >= engine_crashes.PAST_EVENTS
        ):
            began_s = self.last_event_at - self.first_event_at
            self.parts.engine_crashes.on_answer(
                self.lease.service, self.segments, began_s
            )
            self.probes = ""
