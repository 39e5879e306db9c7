"""A try at an engine that routing has chosen, and what is learned of it."""

__all__ = ["CLEAR_CHUNKS", "RoutedParts", "RoutedTry"]

from collections.abc import Callable
import dataclasses

from camphortray import backends
from camphortray import clock as clocks
from camphortray import engine
from camphortray import errors
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
# Pieces of an answer after which a request has got past the place where
# it was when its upstream crashed.
CLEAR_CHUNKS = 8


@dataclasses.dataclass(frozen=True)
class RoutedParts:
    """The parts of the program that such tries are made with."""

    clock: clocks.Clock
    backends: backends.Backends
    upstreams: upstreams.Upstreams
    signals: signals.Signals
    suspects: suspects.Suspects
    router: routing.Router
    metrics: metrics_module.Metrics


class RoutedTry(proxy_exchange.Try):
    """One try, counted at its engine from its making to its end.

    Attributes:
      id: Of its own for each try, or the late cancel of one try would end
        the next at the same engine.
      suspected: Whether the request may have crashed an engine.
      permit: Whether it holds leave to run apart from other suspects.
      begun_at: When it was sent, on the monotonic clock.
      load: Requests expected at its upstream then, itself included.
    """

    def __init__(
        self,
        parts: RoutedParts,
        service: settings.Service,
        upstream: engine.Upstream,
        name: str,
        fingerprint: Callable[[], str],
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
        self.pieces = 0
        self.flight = parts.suspects.begin(upstream, fingerprint)
        parts.signals.begun(service.name, upstream.name, False)
        loads.load(upstream.name).own += 1

    def first(self) -> None:
        # Counted from the send: an engine may hold back the head of its
        # answer until the first token, or send it at once.
        now = self.parts.clock.monotonic()
        name, waited_s = self.upstream.name, now - self.begun_at
        self.parts.upstreams.loads.learn(name, waited_s, self.load, now)
        self.parts.signals.first_token(
            self.service.name, name, False, waited_s
        )
        self.last_at = now
        self.pieces = 1

    def more(self) -> None:
        now = self.parts.clock.monotonic()
        self.parts.signals.next_token(
            self.service.name, self.upstream.name, False, now - self.last_at
        )
        self.last_at = now
        self.pieces += 1
        if self.pieces == CLEAR_CHUNKS and self.suspected:
            self.clear()
            # No suspect any more, so the next need not wait for its end.
            self.give_back()

    async def ended(self, error: BaseException | None) -> None:
        parts, name = self.parts, self.upstream.name
        parts.upstreams.loads.load(name).own -= 1
        good, gone = error is None, False
        try:
            if isinstance(error, errors.UpstreamError):
                gone = await self.on_failure(error)
        finally:
            parts.suspects.end(self.flight)
            parts.signals.ended(self.service.name, name, False, good)
            if not good and not gone:
                parts.upstreams.spawn(self.cancel())
            self.give_back()
        if good:
            parts.upstreams.outliers.succeeded(name)
            budget = parts.upstreams.budget(self.service)
            budget.succeeded(parts.clock.monotonic())
            self.clear()

    async def on_failure(self, error: errors.UpstreamError) -> bool:
        """Find out what a failure means; return if the engine is done.

        It need not be told to cancel what it refused or crashed at.
        """
        held = self.parts.upstreams
        if isinstance(error, errors.UpstreamFault):
            return False
        if isinstance(error, errors.UpstreamRefused):
            if error.status not in engine.FINAL_STATUSES and not error.leaving:
                held.failed(self.upstream)
            return True
        held.failed(self.upstream)
        if isinstance(error, errors.UpstreamTimeout):
            held.spawn(self.look_at())
            return not error.ran
        if not error.ran:
            # It could not be reached; unless it is held down at once, it
            # looks idle and gets every further try too.
            await held.probe(self.upstream)
            return True
        return await self.parts.suspects.is_crash(self.flight)

    async def look_at(self) -> None:
        """Try a new connection, so that a dead upstream is held down."""
        await self.parts.upstreams.probe(self.upstream)

    async def cancel(self) -> None:
        """Cancel the request at the engine.

        Closing its connection says the same, but is not heard where the
        connection has gone silent.
        """
        try:
            await self.party.cancel(self.upstream, self.id)
        except errors.CamphortrayError as error:
            LOG.debug("Could not cancel: {}", error)

    def clear(self) -> None:
        """Take the suspicion off a request that went well."""
        self.suspected = False
        held = self.parts.suspects
        if held.no_suspects:
            return
        told = held.verdict(self.service, self.fingerprint())
        if told.standing is poison.Standing.ISOLATED:
            held.clear(self.fingerprint())

    def give_back(self) -> None:
        """Let the next suspect run where this request held a permit."""
        if self.permit:
            self.permit = False
            self.parts.suspects.release(self.upstream.name, self.id)
