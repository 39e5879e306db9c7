"""Keeps what a coordinator knows of a service at the hosts that stand by.

A coordinator that is lost takes along what it knows, and other hosts that are
lost with it what they would have reported. The hosts that are elected next
receive it while the coordinator is there.
"""

__all__ = ["StandbyHost", "StandbyUpdates"]

import abc
import asyncio
from typing import Any
from typing import Generic
from typing import TypeVar

from camphortray import active_config
from camphortray import clock as clocks
from camphortray import config as configs
from camphortray import errors
from camphortray import ledger as ledgers
from camphortray import logs
from camphortray import metrics as metrics_module
from camphortray import peers

LOG = logs.logger("slots")
# Timeout in seconds for a standby to acknowledge an update.
UPDATE_TIMEOUT_S = 0.48
# Seconds after which a standby that acknowledged none is sent all.
REPEAT_S = 0.5
Change = TypeVar("Change")


class StandbyHost(abc.ABC):
    """What standbys need of the host that they run on.

    Attributes:
      clock: Source of time.
      own_name: Name of this host's member.
      incarnation: Number of its process, which grows with each start.
      links: Links to other hosts.
      active_config: Configuration and engines as this host knows them.
      metrics: Metrics of this host.
      ledger: The store.
      limit_window_s: Window in which requests count against the limit of
        their workspace, in seconds.
    """

    clock: clocks.Clock
    own_name: str
    incarnation: int
    links: peers.Peers
    active_config: active_config.ActiveConfig
    metrics: metrics_module.Metrics
    ledger: ledgers.Ledger
    limit_window_s: float

    @abc.abstractmethod
    def elected(self, service: str) -> str:
        """Return the member that coordinates a service."""

    @abc.abstractmethod
    def coordinates(self, service: str) -> bool:
        """Return whether this host alone coordinates a service."""

    @property
    @abc.abstractmethod
    def introduced(self) -> bool:
        """Whether this host has learned which others there are."""

    @abc.abstractmethod
    def runs(self, name: str, started: int) -> bool:
        """Return whether that process of a member still runs."""

    @abc.abstractmethod
    def is_live(self, name: str) -> bool:
        """Return whether a member is not known to be gone."""

    @abc.abstractmethod
    def standbys(self, service: str, count: int) -> list[str]:
        """Return the members that would coordinate a service next."""

    @abc.abstractmethod
    def peer_address(self, name: str) -> configs.Address:
        """Return where a member takes links.

        Raises:
          MessageError: that is not known.
        """


class StandbyUpdates(abc.ABC, Generic[Change]):
    """Sends the changes of a state that is kept by service.

    Attributes:
      informed: Members that know all of this host's state, by service.
      timers: Runs the next update of a service.
      repeats: Services and members that are about to be sent all of them.
    """

    # Seconds between two updates.
    interval_s: float

    def __init__(self, host: StandbyHost) -> None:
        self.host = host
        self.informed: dict[str, set[str]] = {}
        self.timers: dict[str, asyncio.TimerHandle] = {}
        self.repeats: set[tuple[str, str]] = set()

    # Defined by subclasses.

    @abc.abstractmethod
    def targets(self, service: str) -> list[str]:
        """Return the members to inform."""

    @abc.abstractmethod
    def take_changes(self, service: str) -> list[Change]:
        """Return what is new since the last call."""

    @abc.abstractmethod
    def everything(self, service: str) -> list[Change]:
        """Return the whole state as changes."""

    @abc.abstractmethod
    def messages(self, service: str, changes: list[Change]) -> list[Any]:
        """Return the messages with some changes; none if it needs none."""

    @abc.abstractmethod
    def is_pending(self, service: str) -> bool:
        """Return whether another update has to follow."""

    # Common to all.

    def stop(self) -> None:
        """Cancel all timers."""
        for timer in self.timers.values():
            timer.cancel()

    def schedule(self, service: str) -> None:
        """Schedule an update about a service."""
        if service not in self.timers:
            loop = asyncio.get_running_loop()
            self.timers[service] = loop.call_later(
                self.interval_s, self.on_timer, service
            )

    def on_timer(self, service: str) -> None:
        """Send an update, and another one while any is pending."""
        del self.timers[service]
        self.update(service)
        if self.is_pending(service):
            self.schedule(service)

    def update(self, service: str) -> None:
        """Send what is new to those that know the rest, all to others."""
        changes = self.take_changes(service)
        names = self.targets(service)
        informed = self.informed.setdefault(service, set())
        informed.intersection_update(names)
        for name in names:
            sent = changes if name in informed else self.everything(service)
            informed.add(name)
            for message in self.messages(service, sent):
                self.host.links.spawn(self.send(service, name, message))

    def on_elected(self, service: str) -> None:
        """Send an update if another member now coordinates a service."""
        if service in self.timers:
            self.update(service)

    def on_lost(self, name: str) -> None:
        """Record that a member has ended, and its state with it."""
        for names in self.informed.values():
            names.discard(name)

    async def send(self, service: str, name: str, message: Any) -> None:
        """Send a message to a member, or have it sent all later.

        It is sent all even if nothing changes any more: what it has not
        received would be lost with the coordinator.
        """
        try:
            address = self.host.peer_address(name)
            await self.host.links.ask(address, message, UPDATE_TIMEOUT_S)
        except errors.MessageError as error:
            LOG.info("Update not sent to standby {}: {}", name, error)
            self.informed.get(service, set()).discard(name)
            if (service, name) in self.repeats:
                return
            self.repeats.add((service, name))
            await asyncio.sleep(REPEAT_S)
            self.repeats.discard((service, name))
            if self.everything(service):
                self.schedule(service)
