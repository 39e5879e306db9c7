"""Grants the batch slots of the upstreams that this host coordinates.

Tells other coordinators of this host's online work, too. See
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

# Seconds from one look at reports and coordinated upstreams to the next.
TICK_S = 0.02
# Most time for which hosts are believed after a pause of this process: enough
# to read what they have said meanwhile.
STOOD_S = 0.25


def coordinator_of(
    upstream: str, members: Iterable[membership.Member]
) -> membership.Member | None:
    """Return the entry member that coordinates an upstream, if any."""
    # A suspected one may be lost: batch work would stand still until it is
    # held for dead. Being wrong costs a second coordinator for a moment.
    alive = membership.Status.ALIVE
    by_name = {m.name: m for m in members if m.status is alive}
    name = shards.preferred(f"slots/{upstream}", by_name)
    return by_name[name] if name is not None else None


class CoordinatorMap:
    """Who coordinates which upstream, worked out once per change.

    Ranking all members for each report would take a host at the target
    size more processor time than all of its control may.
    """

    def __init__(self, members: membership.Membership) -> None:
        self.members = members
        self.known: dict[str, membership.Member | None] = {}
        members.listen(self.on_member)

    def on_member(self, member: membership.Member) -> None:
        """Rank anew when a member has changed."""
        self.known.clear()

    def of(self, upstream: str) -> membership.Member | None:
        """Return the coordinator of an upstream, if there is any."""
        if upstream not in self.known:
            self.known[upstream] = coordinator_of(
                upstream, self.members.live("entry")
            )
        return self.known[upstream]


@kernel.PARTS.register("entry")
class SlotGranter(kernel.Part, signals.Listener):
    """Coordinator of some upstreams, and reporter to the others'.

    Attributes:
      coordinators: Soft state by name of upstream.
      reports: Online work of this host.
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
        self.map = CoordinatorMap(self.members)
        self.holders: dict[str, configs.Address] = {}
        self.reports = online.OnlineReports()
        self.ttft_s: dict[str, float] = {}
        self.itl_s: dict[str, float] = {}
        self.by_upstream: dict[str, settings.Service] = {}
        self.work = asyncio.Event()
        self.task: asyncio.Task[None] | None = None

    @classmethod
    def from_config(cls, context: kernel.Context) -> "SlotGranter":
        return cls(context)

    async def start(self) -> None:
        self.tree.listen(self.on_view)
        self.context.part(signals.Signals).add(self)
        self.peers.on(grant_messages.OnlineWork, self.on_online)
        self.peers.on(grant_messages.Wants, self.on_wants)
        self.task = asyncio.get_running_loop().create_task(
            tasks.forever("grants of slots", self.run)
        )

    def on_view(self, view: settings.View) -> None:
        """Take new settings; headroom is built anew from them."""
        services = view.services.items()
        self.ttft_s = {n: s.get("objective.ttft_s") for n, s in services}
        self.itl_s = {n: s.get("objective.itl_s") for n, s in services}
        self.by_upstream = {
            name: service
            for service in view.services.values()
            for name in service.upstreams
        }
        for name in list(self.coordinators):
            if name in self.by_upstream:
                self.coordinators[name].room = self.room_of(name)
            else:
                del self.coordinators[name]

    def room_of(self, upstream: str) -> headroom.Headroom:
        """Return the headroom that an upstream's service asks for."""
        service = self.by_upstream[upstream]
        return headroom.headroom_for(
            service.upstreams[upstream].slots,
            service.get("priority"),
            service.get("batch.share"),
        )

    def begun(self, service: str, upstream: str, batch: bool) -> None:
        if not batch:
            self.reports.begun(self.clock.monotonic(), upstream)
            self.report()
            self.work.set()

    def first_token(
        self, service: str, upstream: str, batch: bool, seconds: float
    ) -> None:
        if not batch:
            now = self.clock.monotonic()
            # A service that settings no longer have strains nothing.
            strain = seconds / self.ttft_s.get(service, math.inf)
            self.reports.first_token(now, upstream, seconds, strain)

    def next_token(
        self, service: str, upstream: str, batch: bool, seconds: float
    ) -> None:
        if not batch:
            now = self.clock.monotonic()
            strain = seconds / self.itl_s.get(service, math.inf)
            self.reports.next_token(now, upstream, strain)

    def ended(
        self, service: str, upstream: str, batch: bool, good: bool
    ) -> None:
        if not batch:
            self.reports.ended(upstream)

    def report(self) -> None:
        """Tell each coordinator what is due."""
        due = self.reports.due(self.clock.monotonic())
        grouped: dict[str, dict[str, headroom.Load]] = collections.defaultdict(
            dict
        )
        for upstream, load in due.items():
            member = self.map.of(upstream)
            if member is not None:
                grouped[member.peer_address][upstream] = load
        own = self.members.members[self.members.own_name].peer_address
        for address, loads in grouped.items():
            if address == own:
                self.take_loads(self.context.config.host.name, loads)
            else:
                works = {
                    upstream: grant_messages.Work.from_load(load)
                    for upstream, load in loads.items()
                }
                self.peers.notify(
                    configs.Address.from_text(address),
                    grant_messages.OnlineWork(works),
                )

    async def on_online(
        self, sender: peers.Sender, message: grant_messages.OnlineWork
    ) -> None:
        """Take a host's word about its online work."""
        loads = {name: work.load() for name, work in message.works.items()}
        self.take_loads(sender.host, loads)

    def take_loads(self, host: str, loads: dict[str, headroom.Load]) -> None:
        """Take back slots where online work has come."""
        now = self.clock.monotonic()
        for upstream, load in loads.items():
            held = self.state_of(upstream)
            if held is not None:
                held.online(now, host, load)
                self.decide(upstream)

    async def on_wants(
        self, sender: peers.Sender, message: grant_messages.Wants
    ) -> None:
        """Grant a host what there is, also if nothing has changed."""
        now = self.clock.monotonic()
        self.holders[sender.host] = configs.Address.from_text(message.address)
        for upstream, want in message.wants.items():
            held = self.state_of(upstream)
            if held is not None:
                held.want(now, sender.host, want.wanted, want.held)
                self.decide(upstream)
        self.renew(sender.host, message)
        self.work.set()

    def renew(self, host: str, message: grant_messages.Wants) -> None:
        """Tell a host its grants on all upstreams it asked for."""
        granted = {
            upstream: self.coordinators[upstream].holders[host].granted
            for upstream in message.wants
            if upstream in self.coordinators
        }
        self.grant(host, granted)

    def state_of(self, upstream: str) -> coordinator.Coordinator | None:
        """Return the state of an upstream, made on first use.

        A host that is asked by mistake coordinates too: what it does not
        know of makes it grant too much for a moment, which costs speed.
        """
        if upstream not in self.coordinators:
            if upstream not in self.by_upstream:
                return None
            self.coordinators[upstream] = coordinator.Coordinator(
                self.room_of(upstream), self.clock.monotonic()
            )
        return self.coordinators[upstream]

    def decide(self, *upstreams: str) -> None:
        """Tell hosts of changed grants, in one message each."""
        now = self.clock.monotonic()
        changed: dict[str, dict[str, int]] = collections.defaultdict(dict)
        for upstream in upstreams:
            for host, slots in self.coordinators[upstream].decide(now).items():
                changed[host][upstream] = slots
        for host, grants in changed.items():
            self.grant(host, grants)

    def grant(self, host: str, slots: dict[str, int]) -> None:
        """Send grants to a host."""
        paces = [
            held.pace_s()
            for name, held in self.coordinators.items()
            if name in slots
        ]
        message = grant_messages.Grants(
            slots,
            round(coordinator.GRANT_S * 1000),
            round(max(paces, default=0.0) * 1000),
        )
        self.peers.notify(self.holders[host], message)

    async def run(self) -> None:
        """Report and decide while there is anything to do."""
        while True:
            if not self.reports.works and not self.busy():
                self.work.clear()
                await self.work.wait()
            stood_s = await timers.sleep(TICK_S)
            if stood_s:
                self.stood_still(stood_s)
            self.report()
            self.decide(*self.coordinators)

    def stood_still(self, seconds: float) -> None:
        """Take note that this process stood still."""
        now = self.clock.monotonic()
        more_s = min(seconds, STOOD_S)
        for held in self.coordinators.values():
            held.stood_still(now, more_s)

    def busy(self) -> bool:
        """Return whether a coordinated upstream is in use."""
        return any(
            held.holders or held.reports for held in self.coordinators.values()
        )

    async def stop(self) -> None:
        if self.task is not None:
            self.task.cancel()
