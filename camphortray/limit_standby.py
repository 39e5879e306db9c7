"""Keeps the counts of requests against limits at standbys of a coordinator."""

__all__ = ["LimitStandbys"]

from camphortray import peers
from camphortray import request_limits
from camphortray import slot_messages
from camphortray import standby_updates

LimitUpdate = slot_messages.LimitUpdate
# Number of hosts that know the counts of a coordinator.
STANDBYS = 2


class LimitStandbys(standby_updates.StandbyUpdates[request_limits.Change]):
    """The counts that one host keeps, as coordinator or as standby.

    Attributes:
      counts: Counts by service.
    """

    interval_s = 0.25

    def __init__(self, host: standby_updates.StandbyHost) -> None:
        super().__init__(host)
        self.counts: dict[str, request_limits.RequestLimits] = {}

    def start(self) -> None:
        """Register the handler of messages from other hosts."""
        self.host.links.on(LimitUpdate, self.on_update)

    def limits_of(self, service: str) -> request_limits.RequestLimits:
        """Return the counts of a service, empty on first use."""
        found = self.counts.get(service)
        if found is None:
            found = self.counts[service] = request_limits.RequestLimits(
                self.host.limit_window_s, self.host.clock.monotonic()
            )
        return found

    def targets(self, service: str) -> list[str]:
        elected = self.host.elected(service)
        if elected == self.host.own_name:
            return self.host.standbys(service, STANDBYS)
        return [elected]

    def take_changes(self, service: str) -> list[request_limits.Change]:
        limits = self.limits_of(service)
        changes = limits.take_changes()
        limits.prune(self.host.clock.monotonic())
        return changes

    def everything(self, service: str) -> list[request_limits.Change]:
        return self.limits_of(service).everything()

    def messages(
        self, service: str, changes: list[request_limits.Change]
    ) -> list[LimitUpdate]:
        now = self.host.clock.monotonic()
        since_ms = round((now - self.limits_of(service).since) * 1000)
        wires = tuple(slot_messages.WireChange.of(c, now) for c in changes)
        return [LimitUpdate(service, since_ms, wires)]

    def is_pending(self, service: str) -> bool:
        return bool(self.limits_of(service).logs)

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
