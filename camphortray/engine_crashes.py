"""Tells crashes of engines from connections that broke, and logs them."""

__all__ = ["EngineCrashes", "logged", "progress_of"]

import asyncio
from collections.abc import Callable
from collections.abc import Sequence
from typing import ClassVar

from camphortray import active_config
from camphortray import backends
from camphortray import crash_attribution
from camphortray import engine
from camphortray import errors
from camphortray import kernel
from camphortray import logs
from camphortray import peers

LOG = logs.logger("crashes")
Attempt = crash_attribution.Attempt
CrashReport = crash_attribution.CrashReport
# Events of an attempt by which it is past the point at which a prompt crashes
# its engine: that is when the engine begins to write.
PAST_EVENTS = 4
# Timeout in seconds of the probe that shows whether an engine still runs.
PROBE_TIMEOUT_S = 1.0
# Attempts of one crash that are logged and reported.
MAX_ATTEMPTS = 16
# Prompt segments of one attempt that a log line names.
MAX_LOGGED_SEGMENTS = 16


@kernel.PARTS.register("host")
class EngineCrashes(kernel.Part):
    """Probes an engine when an attempt breaks there.

    Attributes:
      broken: Attempts that broke, by engine whose probe is under way.
      listeners: Called with each crash.
      answer_listeners: Called with service, segments and begin of each answer
        that is past the point of a crash, in wall-clock seconds.
    """

    name: ClassVar[str] = "engine_crashes"
    requires: ClassVar[tuple[str, ...]] = ("backends", "peers", "settings")

    def __init__(self, context: kernel.Context) -> None:
        self.clock = context.clock
        self.metrics = context.metrics
        self.backends = context.part(backends.LedgerBackends)
        self.active_config = context.part(active_config.ActiveConfig)
        self.links = context.part(peers.Peers)
        self.broken: dict[str, list[Attempt]] = {}
        self.listeners: list[Callable[[CrashReport], None]] = []
        self.answer_listeners: list[
            Callable[[str, tuple[str, ...], float], None]
        ] = []

    @classmethod
    def from_config(cls, context: kernel.Context) -> "EngineCrashes":
        return cls(context)

    def listen(self, listener: Callable[[CrashReport], None]) -> None:
        """Call ``listener`` with each crash that this host sees."""
        self.listeners.append(listener)

    def listen_answers(
        self, listener: Callable[[str, tuple[str, ...], float], None]
    ) -> None:
        """Call ``listener`` with each answer past the point of a crash."""
        self.answer_listeners.append(listener)

    def segments_of(
        self, headers: Sequence[tuple[str, str]]
    ) -> tuple[str, ...]:
        """Return the prompt segments that a request shares with others."""
        plugin = self.active_config.dialect.plugin
        return self.backends.engine(plugin).prompt_segments(headers)

    def on_end(
        self,
        upstream: engine.Upstream,
        service: str,
        segments: tuple[str, ...],
        request: Callable[[], str],
        events: int,
        began_s: float,
        error: BaseException | None,
    ) -> None:
        """Take note of an answer, or check whether an engine crashed.

        Args:
          upstream: Engine of the attempt.
          service: Service of the engine.
          segments: Prompt segments that the request shares with others.
          request: Returns the digest of the request.
          events: Events received in the attempt; see ``progress_of``.
          began_s: Seconds since the first of them.
          error: What ended it; None if that was no failure.
        """
        if not segments:
            return
        if events >= PAST_EVENTS:
            self.on_answer(service, segments, began_s)
        elif breaks(error):
            self.on_broken(upstream, service, Attempt(request(), segments))

    def on_answer(
        self, service: str, segments: tuple[str, ...], began_s: float
    ) -> None:
        """Take note of an answer that is past the point of a crash.

        Args:
          service: Service of the engine.
          segments: Prompt segments that the request shares with others.
          began_s: Seconds since the first event.
        """
        at = self.clock.wall() - began_s
        for listener in self.answer_listeners:
            listener(service, segments, at)

    def on_broken(
        self, upstream: engine.Upstream, service: str, attempt: Attempt
    ) -> None:
        """Check whether an attempt broke because its engine crashed."""
        broken = self.broken.get(upstream.name)
        if broken is not None:
            broken.append(attempt)
            return
        self.broken[upstream.name] = [attempt]
        self.links.spawn(self.check(upstream, service))

    async def check(self, upstream: engine.Upstream, service: str) -> None:
        """Probe an engine; log and pass on its crash."""
        at = self.clock.wall()
        try:
            crashed = await self.is_crash(upstream)
        finally:
            attempts = self.broken.pop(upstream.name)
        if not crashed:
            LOG.info(
                "{} attempts broke at engine {}, which did not crash.",
                len(attempts),
                upstream.name,
            )
            return
        attempts = attempts[:MAX_ATTEMPTS]
        crash = CrashReport(service, upstream.name, at, tuple(attempts))
        LOG.warning(
            "Engine {} crashed under {} attempts before their answers.",
            upstream.name,
            len(attempts),
            fields={
                "service": crash.service,
                "prompt_segments": [
                    logged(each.segments) for each in attempts
                ],
            },
        )
        self.metrics.inc(
            "camphortray_engine_crashes_seen_total",
            "Crashes of engines under attempts of this host that had no"
            " answer yet.",
            {"service": crash.service},
        )
        for listener in self.listeners:
            listener(crash)

    async def is_crash(self, upstream: engine.Upstream) -> bool:
        """Return whether an engine no longer runs.

        Nothing listens where a process has ended, and a new incarnation tells
        another start. Silence may be due to the network and shows nothing.
        """
        entry = self.active_config.engines.current().get(upstream.name)
        if entry is not None and entry.draining:
            # It was about to end anyway.
            return False
        client = self.backends.engine(upstream.plugin)
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_S):
                state = await client.state(upstream)
        except (TimeoutError, errors.UpstreamTimeout):
            return False
        except errors.UpstreamBroken as error:
            return isinstance(error.__cause__, ConnectionRefusedError)
        except errors.CamphortrayError as error:
            LOG.debug("No state of engine {}: {}", upstream.name, error)
            return False
        born = entry.born if entry is not None else 0
        return bool(born and state.incarnation not in (0, born))


def progress_of(events: int, complete: bool) -> int:
    """Return the events of an attempt that ended.

    Few are left to one that resumes; if they complete the answer, it is past
    the point of a crash nevertheless.
    """
    return max(events, PAST_EVENTS) if events and complete else events


def logged(segments: tuple[str, ...]) -> list[str]:
    """Return the prompt segments that a log line names."""
    return list(segments[:MAX_LOGGED_SEGMENTS])


def breaks(error: BaseException | None) -> bool:
    """Return whether an attempt ended as it would in a crash of its engine.

    After a timeout this host may have been paused, and an engine that sends
    what is no answer still runs.
    """
    return (
        isinstance(error, errors.UpstreamBroken)
        and error.ran
        and not isinstance(
            error, errors.UpstreamTimeout | errors.UpstreamGarbled
        )
    )
