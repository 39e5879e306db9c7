"""Keeps requests that may crash upstreams apart, over all hosts."""

__all__ = ["ApartAnswer", "ApartAsk", "ApartDone", "Flight", "Suspects"]

import asyncio
from collections.abc import Callable
import dataclasses
from typing import Any
from typing import ClassVar

import msgspec

from camphortray import config as configs
from camphortray import engine
from camphortray import errors
from camphortray import kernel
from camphortray import logs
from camphortray import membership
from camphortray import messages
from camphortray import peers
from camphortray import poison
from camphortray import settings
from camphortray import shards
from camphortray import upstreams as upstreams_module

LOG = logs.logger("poison")
CRASH = "poison-crash"
CLEARED = "poison-cleared"
QUARANTINE = "poison-quarantine"
# What a decision waits beyond the time that reports need, in seconds.
PAUSE_S = 0.1
# A coordinator takes a permit back after this long at the latest.
PERMIT_S = 120.0
# Upstreams whose coordinators are asked in one turn; with one turn at a
# time on a host, that bounds the messages however many suspects wait.
MAX_ASKED = 3
# Fingerprints in one fact, which has a largest size.
PER_FACT = 128


@messages.message("apart.ask")
@dataclasses.dataclass(frozen=True, slots=True)
class ApartAsk:
    """Asks an upstream's coordinator for leave to run a suspect there."""

    upstream: str
    holder: str
    seconds: float


@messages.message("apart.answer")
@dataclasses.dataclass(frozen=True, slots=True)
class ApartAnswer:
    """Answers ``ApartAsk``."""

    granted: bool


@messages.message("apart.done")
@dataclasses.dataclass(frozen=True, slots=True)
class ApartDone:
    """Gives a permit back."""

    upstream: str
    holder: str


@dataclasses.dataclass(frozen=True, slots=True)
class CrashReport:
    """What one host saw of a crash; the value of a fact.

    Attributes:
      upstream: What crashed.
      at: When, wall-clock seconds.
      suspects: Fingerprints of what this host had in flight there.
    """

    upstream: str
    at: float
    suspects: tuple[str, ...]


@dataclasses.dataclass(eq=False, slots=True)
class Flight:
    """A request at an upstream.

    Attributes:
      upstream: Where.
      fingerprint: Gives the request's fingerprint; it is worked out only
        when something breaks.
    """

    upstream: engine.Upstream
    fingerprint: Callable[[], str]


@kernel.PARTS.register("entry", "batch")
class Suspects(kernel.Part):
    """Requests in flight, crashes of upstreams, and what follows.

    For whoever sends requests: ``verdict`` before each try; ``begin`` and
    ``end`` around it; ``broke`` when its connection breaks; ``passed``
    when it went well. A suspect takes its ``turn`` and needs ``acquire``
    before it is begun.
    """

    name: ClassVar[str] = "suspects"
    requires: ClassVar[tuple[str, ...]] = (
        "upstreams",
        "membership",
        "peers",
        "settings",
    )

    def __init__(self, context: kernel.Context) -> None:
        self.context = context
        self.clock = context.clock
        self.members = context.part(membership.Membership)
        self.peers = context.part(peers.Peers)
        self.upstreams = context.part(upstreams_module.Upstreams)
        self.book = poison.PoisonBook()
        self.permits = poison.Permits()
        self.turn = asyncio.Lock()
        self.asked: dict[tuple[str, str], configs.Address | None] = {}
        self.flights: dict[str, set[Flight]] = {}
        self.breaking: dict[str, set[str]] = {}
        self.checks: dict[str, asyncio.Task[bool]] = {}
        self.members.on_fact(CRASH, self.on_crash)
        self.members.on_fact(CLEARED, self.on_cleared)
        self.members.on_fact(QUARANTINE, self.on_quarantine)
        self.peers.on(ApartAsk, self.on_ask)
        self.peers.on(ApartDone, self.on_done)

    @classmethod
    def from_config(cls, context: kernel.Context) -> "Suspects":
        return cls(context)

    async def stop(self) -> None:
        for task in self.checks.values():
            task.cancel()

    def verdict(
        self, service: settings.Service, fingerprint: str
    ) -> poison.Verdict:
        """Return how a request may run now."""
        self.book.quarantine_s = service.get("poison.quarantine_s")
        return self.book.verdict(fingerprint, self.clock.wall())

    @property
    def quiet(self) -> bool:
        """Whether no request at all is under suspicion."""
        return not self.book.crashes and not self.book.quarantined

    def begin(
        self, upstream: engine.Upstream, fingerprint: Callable[[], str]
    ) -> Flight:
        """Note that a request is sent to an upstream."""
        flight = Flight(upstream, fingerprint)
        self.flights.setdefault(upstream.name, set()).add(flight)
        return flight

    def end(self, flight: Flight) -> None:
        """Note that a request has left its upstream."""
        self.flights[flight.upstream.name].discard(flight)

    async def broke(self, flight: Flight) -> bool:
        """Return whether a broken connection means a crash.

        A new connection is tried: refused, or met by an engine that has
        started anew, it was a crash, and all that was in flight there is
        suspect. Answered by the same engine, it was only the connection.
        No answer at all proves nothing, as the path may be cut.
        """
        name = flight.upstream.name
        broken = self.breaking.setdefault(name, set())
        broken.add(flight.fingerprint())
        broken |= {f.fingerprint() for f in self.flights.get(name, ())}
        task = self.checks.get(name)
        if task is None:
            work = self.check(flight.upstream)
            task = asyncio.get_running_loop().create_task(work)
            self.checks[name] = task
            task.add_done_callback(lambda _: self.checks.pop(name, None))
        return await asyncio.shield(task)

    async def check(self, upstream: engine.Upstream) -> bool:
        """Probe an upstream and report a crash."""
        at = self.clock.wall()
        probe = upstreams_module.Probe
        found = await self.upstreams.probe(upstream)
        suspects = self.breaking.pop(upstream.name, set())
        if found not in (probe.REFUSED, probe.RESTARTED):
            return False
        if upstream.name in self.upstreams.leaving.marked:
            # It said that it would go, so its end accuses nobody.
            return False
        LOG.warning("{} crashed, {} suspects.", upstream.name, len(suspects))
        self.context.metrics.inc(
            "upstream_crashes_total",
            "Crashes of upstreams that this program saw.",
            {"upstream": upstream.name},
        )
        names = sorted(suspects)
        for start in range(0, len(names), PER_FACT):
            part = names[start : start + PER_FACT]
            self.members.publish(
                CRASH,
                f"{upstream.name}/{self.members.own_name}/{at:.3f}/{start}",
                {"upstream": upstream.name, "at": at, "suspects": part},
                keep_s=poison.SUSPECT_S,
            )
        self.peers.spawn(self.publish_quarantined(suspects))
        return True

    async def publish_quarantined(self, suspects: set[str]) -> None:
        """Tell later hosts too of what a crash here has proved."""
        await asyncio.sleep(poison.SETTLE_S + PAUSE_S)
        now = self.clock.wall()
        self.book.decide(now)
        for name in suspects & set(self.book.quarantined):
            until = self.book.quarantined[name]
            if f"{QUARANTINE} {name}" not in self.members.facts:
                LOG.warning("{} is quarantined.", name)
                self.context.metrics.inc(
                    "requests_quarantined_total",
                    "Requests that this host found to crash upstreams.",
                    {},
                )
                self.members.publish(QUARANTINE, name, until, until - now)

    def passed(self, fingerprint: str) -> None:
        """Clear a suspect that went on well past where it was."""
        self.members.publish(
            CLEARED, fingerprint, self.clock.wall(), poison.SUSPECT_S
        )

    def on_crash(self, fact: membership.Fact) -> None:
        """Take a host's report of a crash."""
        try:
            told = msgspec.convert(fact.value, CrashReport)
        except msgspec.ValidationError as error:
            LOG.error("Cannot read {}: {}", fact.key, error)
            return
        self.book.report(told.upstream, told.at, set(told.suspects))

    def on_cleared(self, fact: membership.Fact) -> None:
        """Take the word that a request went well."""
        self.book.clear(fact.key, float(fact.value))

    def on_quarantine(self, fact: membership.Fact) -> None:
        """Take a quarantine that another host has found proved."""
        self.book.quarantined.setdefault(fact.key, float(fact.value))

    async def on_ask(self, sender: peers.Sender, ask: ApartAsk) -> ApartAnswer:
        """Answer as the coordinator of an upstream."""
        return ApartAnswer(self.grant(ask))

    async def on_done(self, sender: peers.Sender, done: ApartDone) -> None:
        """Take a permit back as the coordinator."""
        self.permits.done(done.upstream, done.holder)

    def grant(self, ask: ApartAsk) -> bool:
        """Give a permit, if no other suspect is there."""
        now = self.clock.monotonic()
        until = now + min(ask.seconds, PERMIT_S)
        return self.permits.ask(ask.upstream, ask.holder, until, now)

    def coordinator(self, upstream: str) -> configs.Address | None:
        """Return where permits of an upstream are had; None is here."""
        members = {m.name: m for m in self.members.live("entry")}
        name = shards.preferred(f"apart/{upstream}", members)
        if name is None or name == self.members.own_name:
            return None
        return configs.Address.from_text(members[name].peer_address)

    async def acquire(
        self, service: settings.Service, holder: str, seconds: float
    ) -> engine.Upstream | None:
        """Return an upstream on which a suspect may run now, if there is.

        Args:
          service: Whose upstreams.
          holder: Unique name of the try.
          seconds: Longest time that the permit is wanted for.
        """
        found = self.upstreams.candidates(service, frozenset())
        found.sort(key=lambda candidate: candidate.wait_s)
        for candidate in found[:MAX_ASKED]:
            name = candidate.upstream.name
            try:
                if await self.ask(ApartAsk(name, holder, seconds)):
                    return candidate.upstream
            except asyncio.CancelledError:
                # The answer on its way may grant what nobody gives back.
                self.release(name, holder)
                raise
        return None

    async def ask(self, ask: ApartAsk) -> bool:
        """Ask the coordinator of an upstream."""
        address = self.coordinator(ask.upstream)
        if address is None:
            return self.grant(ask)
        self.asked[(ask.upstream, ask.holder)] = address
        try:
            answer: Any = await self.peers.ask(address, ask)
        except errors.CamphortrayError as error:
            # It may have been granted, and only the answer be lost.
            LOG.debug("No permit: {}", error)
            self.release(ask.upstream, ask.holder)
            return False
        granted = isinstance(answer, ApartAnswer) and answer.granted
        if not granted:
            self.asked.pop((ask.upstream, ask.holder), None)
        return granted

    def release(self, upstream: str, holder: str) -> None:
        """Give a permit back."""
        # Another may coordinate by now; the permit lies where it was asked.
        here = self.coordinator(upstream)
        address = self.asked.pop((upstream, holder), here)
        if address is None:
            self.permits.done(upstream, holder)
        else:
            self.peers.notify(address, ApartDone(upstream, holder))
