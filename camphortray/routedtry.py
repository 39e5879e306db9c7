"""One attempt of a request at a routed engine, and its bookkeeping."""

__all__ = ["CLEAR_CHUNKS", "RoutedParts", "RoutedTry"]

from collections.abc import Callable
import dataclasses

from camphortray import clock as clocks
from camphortray import drain_admission
from camphortray import engine
from camphortray import errors
from camphortray import log_backends
from camphortray import logs
from camphortray import metrics as metrics_module
from camphortray import poison
from camphortray import proxy_exchange
from camphortray import routing
from camphortray import settings
from camphortray import signals
from camphortray import suspects
from camphortray import upstreams

LOG = logs.logger("relay")
# Chunks of an answer after which a suspect request is cleared: it is then
# past the position at which its earlier attempt crashed an upstream.
CLEAR_CHUNKS = 8


@dataclasses.dataclass(frozen=True)
class RoutedParts:
    """The parts of the program that each routed attempt uses."""

    clock: clocks.Clock
    backends: log_backends.Backends
    upstreams: upstreams.Upstreams
    signals: signals.Signals
    suspects: suspects.Suspects
    router: routing.Router
    metrics: metrics_module.Metrics
    admission: drain_admission.DrainAdmission = dataclasses.field(
        default_factory=drain_admission.DrainAdmission
    )


class RoutedTry(proxy_exchange.Try):
    """One attempt, counted at its engine from its creation to its end.

    Attributes:
      id: Unique for each attempt; otherwise a late cancel of one attempt
        would end the next one at the same engine.
      fingerprint: Returns the fingerprint of the request.
      flight: The attempt as it is in flight at the engine.
      suspected: Whether the request may have crashed an engine.
      permit: Whether it holds a permit to run isolated from other suspects.
      begun_at: Monotonic time at which it was sent.
      last_at: Monotonic time of the last chunk.
      load: Estimated requests at its upstream then, including itself.
      chunks: Chunks received.
      failure_noted: Whether its engine's health checks know of a silence.
    """

    def __init__(
        self,
        parts: RoutedParts,
        service: settings.Service,
        upstream: engine.Upstream,
        name: str,
        fingerprint: Callable[[], str],
        segments: Callable[[], tuple[str, ...]],
        suspected: bool = False,
    ) -> None:
        super().__init__(upstream, parts.backends.engine(upstream.plugin))
        self.parts = parts
        self.service = service
        self.id = name
        self.fingerprint = fingerprint
        self.suspected = self.permit = suspected
        loads = parts.upstreams.loads
        self.begun_at = self.last_at = parts.clock.monotonic()
        self.load = 1 + loads.total(upstream.name, self.begun_at)
        self.chunks = 0
        self.failure_noted = False
        self.flight = parts.suspects.begin(
            upstream, fingerprint, service.name, segments
        )
        parts.signals.begun(service.name, upstream.name, False)
        loads.load(upstream.name).own += 1

    def first(self) -> None:
        # Measured from the send, not from the response header: some engines
        # send the header at once, others only with the first token.
        now = self.parts.clock.monotonic()
        name, waited_s = self.upstream.name, now - self.begun_at
        self.parts.upstreams.loads.record_ttft(name, waited_s, self.load, now)
        self.parts.signals.first_token(
            self.service.name, name, False, waited_s
        )
        self.last_at = now
        self.chunks = 1

    def more(self) -> None:
        now = self.parts.clock.monotonic()
        self.parts.signals.next_token(
            self.service.name, self.upstream.name, False, now - self.last_at
        )
        self.last_at = now
        self.chunks += 1
        if self.chunks != CLEAR_CHUNKS:
            return
        self.parts.suspects.note_answer(self.flight)
        if self.suspected:
            self.clear()
            # No longer a suspect, so the next one need not wait for its end.
            self.release_permit()

    def note_silence(self) -> None:
        """Record a silence with the upstream's health checks."""
        if not self.failure_noted:
            self.failure_noted = True
            self.parts.upstreams.failed(self.upstream)
            self.parts.upstreams.spawn(self.check_reachable())

    async def ended(self, error: BaseException | None) -> None:
        parts, name = self.parts, self.upstream.name
        parts.upstreams.loads.load(name).own -= 1
        succeeded, finished = error is None, False
        try:
            if isinstance(error, errors.UpstreamError):
                finished = await self.on_failure(error)
        finally:
            parts.suspects.end(self.flight)
            parts.signals.ended(self.service.name, name, False, succeeded)
            if not succeeded and not finished:
                parts.upstreams.spawn(self.cancel())
            self.release_permit()
        if succeeded:
            parts.upstreams.outliers.succeeded(name)
            budget = parts.upstreams.budget(self.service)
            budget.succeeded(parts.clock.monotonic())
            parts.suspects.note_answer(self.flight)
            self.clear()

    async def on_failure(self, error: errors.UpstreamError) -> bool:
        """Record a failure with the upstream's health checks.

        Returns:
          Whether the engine no longer runs the request, because it refused
          it, crashed or was not reached; no cancel is then needed.
        """
        pool = self.parts.upstreams
        if isinstance(error, errors.UpstreamFault):
            return False
        if isinstance(error, errors.UpstreamRefused):
            if error.status not in engine.FINAL_STATUSES and not error.leaving:
                pool.failed(self.upstream)
            return True
        if isinstance(error, errors.UpstreamTimeout):
            self.note_silence()
            return not error.ran
        pool.failed(self.upstream)
        if not error.ran:
            # It could not be reached. Unless it is marked down at once, it
            # looks idle and attracts every further attempt.
            await pool.probe(self.upstream)
            return True
        return await self.parts.suspects.is_crash(self.flight)

    async def check_reachable(self) -> None:
        """Probe the upstream, which marks it as down if it is unreachable."""
        await self.parts.upstreams.probe(self.upstream)

    async def cancel(self) -> None:
        """Cancel the request at the engine.

        Closing the connection cancels it too, but the engine does not notice
        that when the network drops packets.
        """
        try:
            await self.client.cancel(self.upstream, self.id)
        except errors.CamphortrayError as error:
            LOG.debug("Could not cancel the request at its engine: {}", error)

    def clear(self) -> None:
        """Clear the request of the suspicion that it crashes engines."""
        self.suspected = False
        known = self.parts.suspects
        if known.no_suspects:
            return
        verdict = known.verdict(self.service, self.fingerprint())
        if verdict.standing is poison.Standing.ISOLATED:
            known.clear(self.fingerprint())

    def release_permit(self) -> None:
        """Release the permit, so that the next suspect can run there."""
        if self.permit:
            self.permit = False
            self.parts.suspects.release(self.upstream.name, self.id)
