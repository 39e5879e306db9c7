"""Keeps the counts of requests against limits at standbys of a coordinator.

A coordinator that is lost takes its counts along, and other hosts that are
lost with it the admissions that they would have reported. The hosts that are
elected next receive the counts while the coordinator is there.
"""

__all__ = ["LimitStandbys", "StandbyHost"]

import abc
import asyncio

from camphortray import clock as clocks
from camphortray import config as configs
from camphortray import errors
from camphortray import logs
from camphortray import peers
from camphortray import request_limits
from camphortray import slot_messages

LOG = logs.logger("slots")
LimitUpdate = slot_messages.LimitUpdate
# Number of hosts that know the counts of a coordinator.
STANDBYS = 2
# Seconds between two updates.
UPDATE_INTERVAL_S = 0.25
# Timeout in seconds for a standby to acknowledge an update.
UPDATE_TIMEOUT_S = 0.48


class StandbyHost(abc.ABC):
    """What standbys need of the host that they run on.

    Attributes:
      clock: Source of time.
      own_name: Name of this host's member.
      links: Links to other hosts.
      limit_window_s: Window in which requests count against the limit of
        their workspace, in seconds.
    """

    clock: clocks.Clock
    own_name: str
    links: peers.Peers
    limit_window_s: float

    @abc.abstractmethod
    def elected(self, service: str) -> str:
        """Return the member that coordinates a service."""

    @abc.abstractmethod
    def standbys(self, service: str, count: int) -> list[str]:
        """Return the members that would coordinate a service next."""

    @abc.abstractmethod
    def peer_address(self, name: str) -> configs.Address:
        """Return where a member takes links.

        Raises:
          MessageError: that is not known.
        """


class LimitStandbys:
    """The counts that one host keeps, as coordinator or as standby.

    Attributes:
      counts: Counts by service.
      informed: Standbys that know all counts of this host, by service.
      timers: Runs the next update of a service.
    """

    def __init__(self, host: StandbyHost) -> None:
        self.host = host
        self.counts: dict[str, request_limits.RequestLimits] = {}
        self.informed: dict[str, set[str]] = {}
        self.timers: dict[str, asyncio.TimerHandle] = {}

    def start(self) -> None:
        """Register the handler of messages from other hosts."""
        self.host.links.on(LimitUpdate, self.on_update)

    def stop(self) -> None:
        """Cancel all timers."""
        for timer in self.timers.values():
            timer.cancel()

    def limits_of(self, service: str) -> request_limits.RequestLimits:
        """Return the counts of a service, empty on first use."""
        found = self.counts.get(service)
        if found is None:
            found = self.counts[service] = request_limits.RequestLimits(
                self.host.limit_window_s, self.host.clock.monotonic()
            )
        return found

    def schedule(self, service: str) -> None:
        """Schedule an update of the standbys of a service."""
        if service not in self.timers:
            loop = asyncio.get_running_loop()
            self.timers[service] = loop.call_later(
                UPDATE_INTERVAL_S, self.on_timer, service
            )

    def on_timer(self, service: str) -> None:
        """Send an update, and another one while any request counts."""
        del self.timers[service]
        self.update(service)
        if self.limits_of(service).logs:
            self.schedule(service)

    def update(self, service: str) -> None:
        """Send what is new to the standbys, or all to a new coordinator."""
        limits = self.limits_of(service)
        changes = limits.take_changes()
        limits.prune(self.host.clock.monotonic())
        elected = self.host.elected(service)
        if elected == self.host.own_name:
            names = self.host.standbys(service, STANDBYS)
        else:
            names = [elected]
        informed = self.informed.setdefault(service, set())
        informed.intersection_update(names)
        for name in names:
            sent = changes if name in informed else limits.everything()
            informed.add(name)
            self.host.links.spawn(self.send(service, name, sent))

    def on_elected(self, service: str) -> None:
        """Hand the counts on if another member now coordinates a service."""
        if service in self.timers:
            self.update(service)

    def on_lost(self, name: str) -> None:
        """Record that a member has ended, and its counts with it."""
        for names in self.informed.values():
            names.discard(name)

    async def send(
        self, service: str, name: str, changes: list[request_limits.Change]
    ) -> None:
        """Send changes to a standby, or have it sent all later."""
        now = self.host.clock.monotonic()
        update = LimitUpdate(
            service,
            round((now - self.limits_of(service).since) * 1000),
            tuple(slot_messages.WireChange.of(c, now) for c in changes),
        )
        try:
            address = self.host.peer_address(name)
            await self.host.links.ask(address, update, UPDATE_TIMEOUT_S)
        except errors.MessageError as error:
            LOG.info("Limits not sent to standby {}: {}", name, error)
            self.informed.get(service, set()).discard(name)

    async def on_update(
        self, sender: peers.Sender, update: LimitUpdate
    ) -> None:
        """Apply an update of a coordinator."""
        now = self.host.clock.monotonic()
        limits = self.limits_of(update.service)
        changes = [wire.change(now) for wire in update.changes]
        if limits.apply(changes, now - update.since_ms / 1000, now):
            # Own standbys are sent all anew.
            self.informed.pop(update.service, None)
        limits.prune(now)
        if update.service not in self.timers:
            # Nobody is sent what only the coordinator has counted.
            limits.take_changes()
