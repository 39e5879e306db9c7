"""Forwards one opaque request to an engine and returns its answer."""

__all__ = ["Forwarder", "ForwarderParts"]

import asyncio
from collections.abc import Callable
from typing import NoReturn

import msgspec

from camphortray import access
from camphortray import active_config
from camphortray import backends
from camphortray import clock as clocks
from camphortray import crash_reports
from camphortray import drain_admission
from camphortray import early_end
from camphortray import engine
from camphortray import engine_crashes
from camphortray import engine_failover
from camphortray import engine_speeds
from camphortray import enginehealth
from camphortray import errors
from camphortray import eventstream
from camphortray import httpserver
from camphortray import lease_table
from camphortray import logs
from camphortray import metrics as metrics_module
from camphortray import opaque
from camphortray import proxy_exchange
from camphortray import retry
from camphortray import routemap
from camphortray import segment_quarantine
from camphortray import slot_client
from camphortray import slot_scheduler
from camphortray import timers

LOG = logs.logger("forwarder")
# Maximum number of attempts per request. Most of them are refusals by an
# engine that did not run the request, which cost a few milliseconds each.
MAX_TRIES = 6
# A resumable stream moves to another engine after this share of the gap
# between events that its route allows; the rest is left for the first event
# from the new engine, which takes some tens of milliseconds.
GAP_LIMIT_SHARE = 0.8
# Gap limit of a route that sets none, and the lowest limit of any route, in
# seconds. Fully loaded engines emit an event in some tens of milliseconds.
DEFAULT_GAP_LIMIT_S = 0.25
MIN_GAP_LIMIT_S = 0.1
# An engine without a first event after this many times the route's objective
# counts as silent, and another is tried; the objective is missed anyway.
FIRST_EVENT_LIMIT_OBJECTIVES = 2.0
# Longest time in seconds for which an answer that has begun waits for a slot
# at another engine. Callers leave a stream that is silent for longer.
RESUME_WAIT_S = 2.0
# Statuses of an engine's answer after which another engine is tried.
RETRYABLE_STATUSES = frozenset({500, 502, 504})


class ForwarderParts(msgspec.Struct, frozen=True):
    """The components that a forwarder uses."""

    clock: clocks.Clock
    backends: backends.LedgerBackends
    active_config: active_config.ActiveConfig
    slots: slot_client.SlotClient
    crashes: crash_reports.CrashReports
    metrics: metrics_module.Metrics
    engine_crashes: engine_crashes.EngineCrashes
    quarantine: segment_quarantine.SegmentQuarantine
    admission: drain_admission.DrainAdmission = msgspec.field(
        default_factory=drain_admission.DrainAdmission
    )


class Declined(errors.Refused):
    """A request ends without a complete answer.

    Attributes:
      cause: Why no engine gave one.
    """

    def __init__(
        self,
        status: int,
        code: str,
        message: str,
        cause: early_end.Cause,
        *,
        ran: str,
        retry_after: float | None,
    ) -> None:
        super().__init__(
            status, code, message, ran=ran, retry_after=retry_after
        )
        self.cause = cause


class SegmentBarred(Declined):
    """A segment of the request's prompt is quarantined."""


class SlotTry(proxy_exchange.Try):
    """One attempt at an engine, in a leased slot.

    Attributes:
      lease: The lease of the slot.
      events_before: Number of events received before this attempt.
      begun_at: Start of the attempt, in monotonic seconds.
      status: Status of the engine's answer; 0 until there is one.
      first_at: Time of the first event; 0 until there is one.
      on_stream: Called with the engine when it begins to send events.
    """

    def __init__(
        self,
        parts: ForwarderParts,
        lease: lease_table.HeldLease,
        reader: eventstream.EventReader,
        request: opaque.OpaqueRequest,
        on_stream: Callable[[engine.Upstream], None],
    ) -> None:
        client = parts.backends.engine(lease.upstream.plugin)
        super().__init__(lease.upstream, client)
        self.parts = parts
        self.lease = lease
        self.reader = reader
        self.request = request
        self.events_before = reader.count
        self.begun_at = now_of(parts)
        self.status = 0
        self.first_at = 0.0
        self.on_stream = on_stream

    @property
    def slot(self) -> str:
        """Id of the request for its slot."""
        return self.lease.request.id

    @property
    def received_events(self) -> bool:
        """Whether this attempt has received any event."""
        return self.reader.count > self.events_before

    def first(self) -> None:
        self.first_at = now_of(self.parts)
        self.on_stream(self.upstream)

    async def ended(self, error: BaseException | None) -> None:
        pace_s = 0.0
        if error is None and self.first_at:
            pace_s = engine_speeds.pace_of(
                self.reader.count - self.events_before,
                now_of(self.parts) - self.first_at,
            )
        self.parts.slots.release(self.lease, self.outcome(error), pace_s)
        self.report_end(error)

    def report_end(self, error: BaseException | None) -> None:
        """Report what the end of the attempt shows about crashes."""
        events = self.reader.count - self.events_before
        if error is None and self.status // 100 == 2:
            # A whole body, which is no stream.
            events = engine_crashes.PAST_EVENTS
        events = engine_crashes.progress_of(events, error is None)
        began_s = now_of(self.parts) - self.first_at if self.first_at else 0.0
        self.parts.engine_crashes.on_end(
            self.upstream,
            self.lease.service,
            self.request.segments,
            lambda: self.request.fingerprint,
            events,
            began_s,
            error,
        )

    def outcome(self, error: BaseException | None) -> enginehealth.Outcome:
        """Return what the end of the attempt shows about the engine."""
        if error is None:
            return enginehealth.answer_outcome(self.status)
        if isinstance(error, errors.UpstreamError):
            return enginehealth.outcome_of(error)
        # The caller disconnected or the deadline passed. This counts against
        # the engine only if its first event was overdue.
        silent_s = (
            0.0 if self.received_events else now_of(self.parts) - self.begun_at
        )
        if silent_s > first_event_limit_s(self.request.route):
            return enginehealth.Outcome.BROKEN
        return enginehealth.Outcome.NOTHING


class Forwarder(proxy_exchange.Exchange):
    """One opaque request, until its answer has ended.

    Attributes:
      reader: Tracks the events received over all engines.
      caller: The caller that the request runs for.
      answer: The last complete answer of an engine, not yet sent.
      slot_s: Seconds spent waiting for the last slot.
      first_s: Seconds from the arrival to the first event.
      versions: Software versions of the engines whose events were sent.
      asked: Number of slot requests.
      last_failure: Why the last failed attempt ended; None if none failed.
      service: Service that the request goes to.
      began_at: Software version at which the stream began that the caller
        takes up; None for a new stream, and before it is looked up.
    """

    def __init__(
        self,
        parts: ForwarderParts,
        request: opaque.OpaqueRequest,
        response: httpserver.Response,
    ) -> None:
        self.reader = eventstream.EventReader()
        super().__init__(response, self.reader, True)
        self.parts = parts
        self.request = request
        self.caller = access.ANONYMOUS
        self.answer: Answer | None = None
        self.slot_s = 0.0
        self.first_s = 0.0
        self.versions: list[str] = []
        self.asked = 0
        self.last_failure: early_end.Cause | None = None
        self.service = request.route.service_of(request.stream or request.id)
        self.began_at: str | None = None

    async def run(self) -> None:
        try:
            await self.run_until_deadline()
        except errors.Refused as refusal:
            if isinstance(refusal, Declined):
                self.on_declined(refusal)
            if not self.response.status:
                raise
            # A truncated answer must not look complete to the caller.
            self.response.abort()
        except asyncio.CancelledError:
            if self.response.caller_left:
                self.log_end(0, "caller gone", early_end.Cause.CALLER_GONE)
            else:
                self.log_end(500, "cancelled", early_end.Cause.CANCELLED)
            raise

    async def run_until_deadline(self) -> None:
        """Run until the deadline.

        Raises:
          Refused: no complete answer was sent; part of one may have been.
        """
        self.check_drain()
        self.admit()
        try:
            async with asyncio.timeout(self.left_s()):
                await super().run()
        except TimeoutError:
            cause = early_end.Cause.TIME_OVER
            self.refuse(504, "too_late", "time is over", None, cause)

    def admit(self) -> None:
        """Look up the caller by its key in the present configuration.

        Raises:
          Refused: the key belongs to no workspace.
        """
        try:
            self.caller = self.parts.active_config.admit(
                self.request.route, self.request.key_hash
            )
        except errors.Refused as refusal:
            self.log_end(refusal.status, refusal.message)
            raise

    def refuse(
        self,
        status: int,
        code: str,
        why: str,
        retry_after: float | None,
        cause: early_end.Cause,
        kind: type[Declined] = Declined,
    ) -> NoReturn:
        """End the request without a complete answer.

        Raises:
          Declined: always; ``run`` aborts the answer if it has begun.
        """
        ran = "unknown" if self.ran else "no"
        raise kind(status, code, why, cause, ran=ran, retry_after=retry_after)

    def on_declined(self, refusal: Declined) -> None:
        """Log and count the end of the request without a complete answer."""
        if isinstance(refusal, SegmentBarred):
            self.parts.metrics.inc(
                "camphortray_requests_quarantined_total",
                "Requests refused for a prompt segment that crashes engines.",
                {"service": self.service},
            )
        if refusal.cause is early_end.Cause.NO_VERSION:
            self.parts.metrics.inc(
                "camphortray_streams_not_resumed_total",
                "Streams that did not go on for want of an engine of the"
                " software version that began them, by who was to resume"
                " them.",
                {"by": "host" if self.reader.count else "caller"},
            )
        self.log_end(refusal.status, refusal.message, refusal.cause)

    @property
    def engine_name(self) -> str:
        """Name of the engine of the last attempt; empty before one."""
        return self.present.upstream.name if self.present else ""

    @property
    def coordinator_name(self) -> str:
        """Name of the coordinator that granted the slot of that attempt."""
        attempt = self.present
        return (
            attempt.lease.coordinator if isinstance(attempt, SlotTry) else ""
        )

    def log_end(
        self, status: int, why: str, cause: early_end.Cause | None = None
    ) -> None:
        """Log how the request ended, and count it in the metrics.

        Args:
          status: Status sent to the caller, or the one that it would have
            got if its answer had not begun.
          why: Reason, as text.
          cause: Why no engine gave a complete answer; None if one did.
        """
        left = cause is early_end.Cause.CALLER_GONE
        cut = cause is not None and not left and bool(self.response.status)
        after = self.last_failure.value if self.last_failure else ""
        now = now_of(self.parts)
        took_s = now - self.request.arrived_at
        route = self.request.route
        LOG.info(
            "Request {} ended with status {} after {:.0f} ms: {}.",
            self.request.id,
            status,
            took_s * 1000,
            why,
            fields={
                "status": status,
                "route": route.name,
                "revision": self.parts.active_config.view.revision,
                "workspace": self.caller.workspace,
                "admitted_by": self.caller.revision,
                "ran": self.ran,
                "refused": self.refused,
                "avoided": sorted(self.tried),
                "engine": self.engine_name,
                "coordinator": self.coordinator_name,
                "slot_ms": round(self.slot_s * 1000, 1),
                "first_ms": round(self.first_s * 1000, 1),
                "events": self.reader.count,
                "last_event": self.reader.last,
                "resumes": self.request.resumes,
                "resume_after": self.request.resume_after,
                "versions": self.versions,
                "left_ms": round((self.request.deadline_at - now) * 1000),
                "cause": cause.value if cause else "",
                "after": after,
                "cut": cut,
            },
        )
        if cut and cause is not None:
            self.parts.metrics.inc(
                "camphortray_answers_cut_total",
                "Answers cut off after they had begun, by why, and why their"
                " last failed try had ended.",
                {"cause": cause.value, "after": after},
            )
        self.parts.metrics.inc(
            "camphortray_requests_total",
            "Requests by how they ended.",
            {"route": route.name, "status": status},
        )
        if self.first_s:
            self.parts.metrics.observe(
                "camphortray_first_event_seconds",
                "Seconds from a request to the first event of its answer.",
                {"route": route.name},
                self.first_s,
            )

    def on_answered(self) -> None:
        self.log_end(self.response.status, "answered")

    async def next_try(self) -> SlotTry:
        try:
            if not self.response.status:
                return await self.next_successor()
            return await self.next_in_time()
        except errors.RateExceeded as error:
            cause = early_end.Cause.OVER_LIMIT
            wait_s = error.retry_after_s
            self.refuse(429, "rate_limited", error.message, wait_s, cause)
        except errors.NoSlot as error:
            self.refuse_without_slot(error)

    async def next_in_time(self) -> SlotTry:
        """Return an attempt that goes on with an answer that has begun.

        Raises:
          NoSlot: there is none in time.
          Refused: the request may not run elsewhere.
        """
        with timers.Deadline(RESUME_WAIT_S) as wait:
            while True:
                try:
                    return await self.next_successor()
                except errors.NoSlot as error:
                    over = not wait.left()
                    if over or isinstance(error, errors.RateExceeded):
                        raise
                await asyncio.sleep(engine_failover.RETRY_S)

    async def next_successor(self) -> SlotTry:
        if self.parts.crashes.barred(self.request.fingerprint):
            # 503 would say that the request has not run.
            status = 502 if self.ran else 503
            cause = early_end.Cause.BARRED
            self.refuse(status, "quarantined", "it broke engines", None, cause)
        self.check_segments()
        route = self.request.route
        version = await self.version_needed()
        now = now_of(self.parts)
        want = slot_scheduler.SlotRequest(
            f"{self.request.id}.{self.asked}",
            self.parts.slots.own_name,
            True,
            self.caller.rank(route),
            now,
            route.objective_s,
            max(0.0, self.request.deadline_at - now),
            prefix=self.request.prefix,
            avoid=self.tried,
            workspace=self.caller.workspace,
            # Only the first attempt counts against the workspace's limit.
            counts=bool(self.caller.limit.per_s) and not self.asked,
            stream=self.request.stream,
            version=version,
        )
        self.asked += 1
        lease = await self.parts.slots.acquire(self.service, want)
        self.slot_s = now_of(self.parts) - now
        return SlotTry(
            self.parts, lease, self.reader, self.request, self.on_stream
        )

    def check_drain(self) -> None:
        """Check that the answer ends before this host does.

        Raises:
          Refused: it may not.
        """
        accepted = self.parts.admission.accepts(
            now_of(self.parts),
            self.request.deadline_at,
            self.request.route.repeatable,
        )
        if not accepted:
            wait_s = drain_admission.RETRY_AFTER_S
            cause = early_end.Cause.DRAINING
            self.refuse(503, "draining", "host leaves", wait_s, cause)

    def check_segments(self) -> None:
        """Check that no segment of the prompt is quarantined.

        Raises:
          Refused: one is.
        """
        quarantine = self.parts.quarantine
        found = quarantine.find(self.service, self.request.segments)
        if found is None:
            return
        # 503 would say that the request has not run.
        status = 502 if self.ran else 503
        wait_s = None if self.ran else quarantine.left_s(found)
        cause = early_end.Cause.BARRED
        self.refuse(
            status, "quarantined", str(found), wait_s, cause, SegmentBarred
        )

    async def version_needed(self) -> str:
        """Return the software version at which the stream has to go on.

        The output of two versions does not fit together, and engines do not
        check it.

        Returns:
          The version; empty if any will do.

        Raises:
          Refused: it is not known, or no engine has it.
        """
        if self.reader.count:
            version = self.versions[-1]
        elif self.request.taken_up:
            version = await self.version_taken_up()
        else:
            return ""
        engines = self.parts.active_config.engines
        if not engines.is_versioned(self.service):
            return version
        if not version:
            self.refuse_version("the version of its engine is not known")
        if not engines.serves(self.service, version):
            self.refuse_version(f"no engine of version {version} serves")
        return version

    async def version_taken_up(self) -> str:
        """Return the version of the stream that the caller takes up.

        Raises:
          Refused: it is not known.
        """
        if self.began_at is None:
            route, stream = self.request.route, self.request.stream
            try:
                (
                    self.service,
                    self.began_at,
                ) = await self.parts.slots.streams.locate(
                    route.services_of(stream), stream, route.timeout_s
                )
            except errors.NoVersion as error:
                self.refuse_version(str(error))
        return self.began_at

    def refuse_version(self, why: str) -> NoReturn:
        """Refuse to go on with a stream.

        Raises:
          Refused: always.
        """
        # 503 would say that the request has not run.
        status = 502 if self.ran else 503
        cause = early_end.Cause.NO_VERSION
        self.refuse(status, "no_version", why, None, cause)

    def request_for(self, attempt: proxy_exchange.Try) -> engine.EngineRequest:
        # Engines may have crashed during the wait for a slot.
        self.check_segments()
        if not self.ran:
            # The host may have begun to shut down.
            self.check_drain()
            # The key may have been revoked, or moved to another workspace,
            # during the wait. A request that may have run already goes on
            # for the workspace of its first run.
            self.admit()
        return self.request.for_engine(
            now_of(self.parts),
            self.reader.last,
            self.caller.workspace,
        )

    def head_of(self, stream: engine.EngineStream) -> proxy_exchange.Headers:
        return stream.headers

    # Silence ends no attempt: the engine may go on until the deadline.

    def first_limit_s(self) -> float:
        return self.left_s()

    def silence_limit_s(self) -> float:
        return self.left_s()

    def seek_after_s(self, begun: bool) -> float:
        route = self.request.route
        if not route.repeatable:
            return 0.0
        return gap_limit_s(route) if begun else first_event_limit_s(route)

    def may_move(self) -> bool:
        return self.retryable and self.tries < MAX_TRIES

    def on_silence_end(
        self, end: engine_failover.Silence, silent_s: float
    ) -> None:
        LOG.info(
            "Silence of engine {} ended after {:.0f} ms: {}.",
            self.engine_name,
            silent_s * 1000,
            end.value,
            fields={"events": self.reader.count, "ran": self.ran},
        )
        engine_failover.observe(self.parts.metrics, end, silent_s)

    def left_s(self) -> float:
        """Return the seconds until the deadline."""
        return max(0.001, self.request.deadline_at - now_of(self.parts))

    def on_stream(self, upstream: engine.Upstream) -> None:
        """Record that an engine has begun to send events."""
        if not self.reader.count:
            self.versions = []
        if self.versions or self.request.resume_after:
            self.log_resumed(upstream)
        self.versions.append(upstream.version)
        if self.request.stream:
            self.parts.slots.streams.note(
                self.service,
                self.request.stream,
                upstream.version,
                self.left_s(),
            )

    def log_resumed(self, upstream: engine.Upstream) -> None:
        """Log and count a stream that goes on at another engine."""
        before = self.versions[-1] if self.versions else self.began_at
        by = "host" if self.versions else "caller"
        if not before or not upstream.version:
            version = "unknown"
        else:
            version = "same" if upstream.version == before else "other"
        LOG.info(
            "Stream {} goes on after event {} at engine {}.",
            self.request.resumes or self.request.id,
            self.reader.last or self.request.resume_after,
            upstream.name,
            fields={
                "by": by,
                "version": upstream.version,
                "version_before": before or "",
            },
        )
        self.parts.metrics.inc(
            "camphortray_streams_resumed_total",
            "Streams that went on at another engine, by who resumed them and"
            " whether the engine's software version is that of the events"
            " before.",
            {"by": by, "version": version},
        )

    def on_first(self) -> None:
        self.first_s = now_of(self.parts) - self.request.arrived_at

    def refuse_without_slot(self, error: errors.NoSlot) -> NoReturn:
        """Refuse the request as not run, or as failed if it may have run.

        Raises:
          Refused: always.
        """
        cause = early_end.Cause.NO_SLOT
        if self.ran:
            self.refuse(502, "upstream_failed", str(error), None, cause)
        self.refuse(503, "busy", str(error), error.retry_after_s, cause)

    def note_failure(
        self, attempt: proxy_exchange.Try, error: errors.UpstreamError
    ) -> None:
        name = attempt.upstream.name
        self.last_failure = early_end.cause_of(error)
        early_end.count_failure(self.parts.metrics, "request", error)
        LOG.info(
            "Request {} failed at engine {}: {}",
            self.request.id,
            name,
            error,
            fields={
                **early_end.fields_of(error),
                "slot": attempt.slot if isinstance(attempt, SlotTry) else "",
                "events": self.reader.count,
                "prompt_segments": engine_crashes.logged(
                    self.request.segments
                ),
            },
        )
        if isinstance(error, errors.UpstreamRefused):
            self.parts.active_config.on_refusal(name, error)
        if self.may_have_crashed(attempt, error):
            self.parts.crashes.report(
                self.request.fingerprint, incarnation(attempt.upstream)
            )

    def decide_on_failure(
        self, attempt: proxy_exchange.Try, error: errors.UpstreamError
    ) -> bool:
        cause = early_end.cause_of(error)
        if self.rule.allows(error, self.ran, self.refused):
            self.reader.restart()
            return True
        if self.answer is not None and not self.response.status:
            # Send the error answer of the engine unchanged.
            self.answer.send(self.response)
            self.log_end(self.answer.status, "error answer of the engine")
        elif self.ran:
            self.refuse(502, "upstream_failed", str(error), None, cause)
        else:
            wait_s = self.left_s() / 4
            self.refuse(503, "upstream_refused", str(error), wait_s, cause)
        return False

    @property
    def rule(self) -> retry.RetryRule:
        """The rule for further attempts."""
        route = self.request.route
        return retry.RetryRule(route.repeatable, route.max_attempts, MAX_TRIES)

    def may_have_crashed(
        self, attempt: proxy_exchange.Try, error: errors.UpstreamError
    ) -> bool:
        """Return whether the request may have crashed its engine.

        A request that crashes engines does so before its first event. A
        time-out does not count: this host may have been paused or slow.
        """
        return (
            error.ran
            and isinstance(error, errors.UpstreamBroken)
            and not isinstance(error, errors.UpstreamTimeout)
            and isinstance(attempt, SlotTry)
            and not attempt.received_events
        )

    @property
    def retryable(self) -> bool:
        """Whether the current attempt may be followed by another."""
        route = self.request.route
        return route.repeatable and self.ran < route.max_attempts

    async def pass_whole(
        self, stream: engine.EngineStream, attempt: proxy_exchange.Try
    ) -> None:
        body = await engine.read_all(stream, self.left_s())
        self.answer = Answer(stream.status, body, stream.headers)
        if isinstance(attempt, SlotTry):
            attempt.status = stream.status
        if stream.status in RETRYABLE_STATUSES and self.retryable:
            raise errors.UpstreamRefused(
                "failed there",
                status=stream.status,
                ran=True,
                step="run",
                peer=attempt.upstream.name,
            )
        if self.response.status:
            raise errors.UpstreamBroken(
                f"status {stream.status} to a stream that goes on",
                ran=True,
                step="resume",
                peer=attempt.upstream.name,
            )
        self.answer.send(self.response)


class Answer(msgspec.Struct, frozen=True):
    """A complete answer of an engine."""

    status: int
    body: bytes
    headers: tuple[tuple[str, str], ...]

    def send(self, response: httpserver.Response) -> None:
        """Send the answer to the caller unchanged."""
        response.send(self.status, self.body, self.headers)


def first_event_limit_s(route: routemap.Route) -> float:
    """Return the time after which a missing first event is a fault."""
    return FIRST_EVENT_LIMIT_OBJECTIVES * route.objective_s


def gap_limit_s(route: routemap.Route) -> float:
    """Return the time after which a missing later event is a fault."""
    if not route.gap_s:
        return DEFAULT_GAP_LIMIT_S
    return max(MIN_GAP_LIMIT_S, GAP_LIMIT_SHARE * route.gap_s)


def incarnation(upstream: engine.Upstream) -> str:
    """Return what tells an engine from others and from its next start.

    >>> from camphortray import config
    >>> address = config.Address("127.0.0.1", 1)
    >>> incarnation(engine.Upstream("e1", address, "z", born=7))
    'e1.7'
    """
    return f"{upstream.name}.{upstream.born}"


def now_of(parts: ForwarderParts) -> float:
    """Return the monotonic time in seconds."""
    return parts.clock.monotonic()
