"""Grants batch slots on the upstreams that this host coordinates.

Also reports this host's online work to other coordinators. See
docs/design/slots.md.
"""

__all__ = ["CoordinatorMap", "SlotGranter", "coordinator_of"]

import asyncio
import collections
from collections.abc import Iterable
import math
from typing import ClassVar

from camphortray import config as configs
from camphortray import coordinator
from camphortray import grant_messages
from camphortray import headroom
from camphortray import kernel
from camphortray import membership
from camphortray import online
from camphortray import peers
from camphortray import settings
from camphortray import shards
from camphortray import signals
from camphortray import tasks
from camphortray import timers
from camphortray import tree

# Seconds between passes over due reports and coordinated upstreams.
PASS_INTERVAL_S = 0.02
# Maximum seconds by which hosts' state is extended after a stall of this
# process: enough to read the messages that arrived meanwhile.
MAX_STALL_EXTENSION_S = 0.25


def coordinator_of(
    upstream: str, members: Iterable[membership.Member]
) -> membership.Member | None:
    """Return the entry member that coordinates an upstream, if any."""
    # A suspected member may be lost, and batch work would stop until it is
    # declared dead. A false suspicion only causes two coordinators for a
    # moment.
    alive = membership.Status.ALIVE
    by_name = {m.name: m for m in members if m.status is alive}
    name = shards.preferred(f"slots/{upstream}", by_name)
    return by_name[name] if name is not None else None


class CoordinatorMap:
    """Caches the coordinator of each upstream until a member changes.

    At the target size, ranking all members for each report would exceed a
    host's processor budget for control.
    """

    def __init__(self, members: membership.Membership) -> None:
        self.members = members
        self.known: dict[str, membership.Member | None] = {}
        members.listen(self.on_member)

    def on_member(self, member: membership.Member) -> None:
        """Clear the cache when a member has changed."""
        self.known.clear()

    def of(self, upstream: str) -> membership.Member | None:
        """Return the coordinator of an upstream, or None if there is none."""
        if upstream not in self.known:
            self.known[upstream] = coordinator_of(
                upstream, self.members.live("entry")
            )
        return self.known[upstream]


@kernel.PARTS.register("entry")
class SlotGranter(kernel.Part, signals.Listener):
    """Coordinates some upstreams and reports to coordinators of the others.

    Attributes:
      coordinators: Soft state of coordinated upstreams, by upstream name.
      reports: Online work of this host and the reports due.
    """

    name: ClassVar[str] = "slot_granter"
    requires: ClassVar[tuple[str, ...]] = (
        "peers",
        "membership",
        "settings",
        "signals",
    )

    def __init__(self, context: kernel.Context) -> None:
        self.context = context
        self.clock = context.clock
        self.peers = context.part(peers.Peers)
        self.members = context.part(membership.Membership)
        self.tree = context.part(tree.Tree)
        self.coordinators: dict[str, coordinator.Coordinator] = {}
        self.coordinator_map = CoordinatorMap(self.members)
        self.holders: dict[str, configs.Address] = {}
        self.reports = online.OnlineReports()
        self.ttft_objectives_s: dict[str, float] = {}
        self.itl_objectives_s: dict[str, float] = {}
        self.service_by_upstream: dict[str, settings.Service] = {}
        self.wake = asyncio.Event()
        self.task: asyncio.Task[None] | None = None

    @classmethod
    def from_config(cls, context: kernel.Context) -> "SlotGranter":
        return cls(context)

    async def start(self) -> None:
        self.tree.listen(self.on_view)
        self.context.part(signals.Signals).add(self)
        self.peers.on(grant_messages.OnlineWork, self.on_online_work)
        self.peers.on(grant_messages.Wants, self.on_wants)
        self.task = asyncio.get_running_loop().create_task(
            tasks.forever("grants of slots", self.run)
        )

    def on_view(self, view: settings.View) -> None:
        """Apply new settings and rebuild the headroom policies."""
        services = view.services.items()
        self.ttft_objectives_s = {
            n: s.get("objective.ttft_s") for n, s in services
        }
        self.itl_objectives_s = {
            n: s.get("objective.itl_s") for n, s in services
        }
        self.service_by_upstream = {
            name: service
            for service in view.services.values()
            for name in service.upstreams
        }
        for name in list(self.coordinators):
            if name in self.service_by_upstream:
                self.coordinators[name].policy = self.headroom_policy(name)
            else:
                del self.coordinators[name]

    def headroom_policy(self, upstream: str) -> headroom.Headroom:
        """Return the headroom policy set by an upstream's service."""
        service = self.service_by_upstream[upstream]
        return headroom.headroom_for(
            service.upstreams[upstream].slots,
            service.get("priority"),
            service.get("batch.share"),
        )

    def begun(self, service: str, upstream: str, batch: bool) -> None:
        if not batch:
            self.reports.begun(self.clock.monotonic(), upstream)
            self.report()
            self.wake.set()

    def first_token(
        self, service: str, upstream: str, batch: bool, seconds: float
    ) -> None:
        if not batch:
            now = self.clock.monotonic()
            # A service removed from the settings has no objective.
            strain = seconds / self.ttft_objectives_s.get(service, math.inf)
            self.reports.first_token(now, upstream, seconds, strain)

    def next_token(
        self, service: str, upstream: str, batch: bool, seconds: float
    ) -> None:
        if not batch:
            now = self.clock.monotonic()
            strain = seconds / self.itl_objectives_s.get(service, math.inf)
            self.reports.next_token(now, upstream, strain)

    def ended(
        self, service: str, upstream: str, batch: bool, good: bool
    ) -> None:
        if not batch:
            self.reports.ended(upstream)

    def report(self) -> None:
        """Send due reports of online work to the coordinators."""
        due = self.reports.due(self.clock.monotonic())
        grouped: dict[str, dict[str, headroom.Load]] = collections.defaultdict(
            dict
        )
        for upstream, load in due.items():
            member = self.coordinator_map.of(upstream)
            if member is not None:
                grouped[member.peer_address][upstream] = load
        own = self.members.members[self.members.own_name].peer_address
        for address, loads in grouped.items():
            if address == own:
                self.apply_loads(self.context.config.host.name, loads)
            else:
                works = {
                    upstream: grant_messages.Work.from_load(load)
                    for upstream, load in loads.items()
                }
                self.peers.notify(
                    configs.Address.from_text(address),
                    grant_messages.OnlineWork(works),
                )

    async def on_online_work(
        self, sender: peers.Sender, message: grant_messages.OnlineWork
    ) -> None:
        """Apply a host's report of its online work."""
        loads = {name: work.load() for name, work in message.works.items()}
        self.apply_loads(sender.host, loads)

    def apply_loads(self, host: str, loads: dict[str, headroom.Load]) -> None:
        """Update online work and revoke slots where it has increased."""
        now = self.clock.monotonic()
        for upstream, load in loads.items():
            state = self.coordinator_state(upstream)
            if state is not None:
                state.update_load(now, host, load)
                self.decide(upstream)

    async def on_wants(
        self, sender: peers.Sender, message: grant_messages.Wants
    ) -> None:
        """Answer a request for slots, even if no grant has changed."""
        now = self.clock.monotonic()
        self.holders[sender.host] = configs.Address.from_text(message.address)
        for upstream, want in message.wants.items():
            state = self.coordinator_state(upstream)
            if state is not None:
                state.update_request(now, sender.host, want.wanted, want.held)
                self.decide(upstream)
        self.send_all_grants(sender.host, message)
        self.wake.set()

    def send_all_grants(
        self, host: str, message: grant_messages.Wants
    ) -> None:
        """Send a host its grants on all requested upstreams."""
        granted = {
            upstream: self.coordinators[upstream].holders[host].granted
            for upstream in message.wants
            if upstream in self.coordinators
        }
        self.grant(host, granted)

    def coordinator_state(
        self, upstream: str
    ) -> coordinator.Coordinator | None:
        """Return the coordinator state of an upstream, created on first use.

        A host that is not the coordinator also grants when asked by mistake.
        Without the reports of other hosts it may grant too many slots for a
        moment, which only costs speed.
        """
        if upstream not in self.coordinators:
            if upstream not in self.service_by_upstream:
                return None
            self.coordinators[upstream] = coordinator.Coordinator(
                self.headroom_policy(upstream), self.clock.monotonic()
            )
        return self.coordinators[upstream]

    def decide(self, *upstreams: str) -> None:
        """Send changed grants, in one message per host."""
        now = self.clock.monotonic()
        changed: dict[str, dict[str, int]] = collections.defaultdict(dict)
        for upstream in upstreams:
            for host, slots in self.coordinators[upstream].decide(now).items():
                changed[host][upstream] = slots
        for host, grants in changed.items():
            self.grant(host, grants)

    def grant(self, host: str, slots: dict[str, int]) -> None:
        """Send a host its grants."""
        paces = [
            state.pace_s()
            for name, state in self.coordinators.items()
            if name in slots
        ]
        message = grant_messages.Grants(
            slots,
            round(coordinator.GRANT_S * 1000),
            round(max(paces, default=0.0) * 1000),
        )
        self.peers.notify(self.holders[host], message)

    async def run(self) -> None:
        """Send reports and decide on grants while there is work."""
        while True:
            if not self.reports.works and not self.busy():
                self.wake.clear()
                await self.wake.wait()
            stall_s = await timers.sleep(PASS_INTERVAL_S)
            if stall_s:
                self.extend_after_stall(stall_s)
            self.report()
            self.decide(*self.coordinators)

    def extend_after_stall(self, seconds: float) -> None:
        """Extend the state of hosts after this process was stalled."""
        now = self.clock.monotonic()
        extension_s = min(seconds, MAX_STALL_EXTENSION_S)
        for state in self.coordinators.values():
            state.extend_after_stall(now, extension_s)

    def busy(self) -> bool:
        """Return whether any coordinated upstream has holders or reports."""
        return any(
            state.holders or state.reports
            for state in self.coordinators.values()
        )

    async def stop(self) -> None:
        if self.task is not None:
            self.task.cancel()
