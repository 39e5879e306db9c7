"""Which hosts are there, and small facts that all hosts should know."""

__all__ = ["Fact", "Member", "Membership", "Status"]

import asyncio
import collections
from collections.abc import Callable
from collections.abc import Iterable
import contextlib
from typing import Any
from typing import ClassVar

from camphortray import antientropy
from camphortray import backends
from camphortray import config as configs
from camphortray import errors
from camphortray import facts
from camphortray import failure_detector
from camphortray import gossip
from camphortray import host_capacity
from camphortray import hostlist
from camphortray import kernel
from camphortray import list_polling
from camphortray import logs
from camphortray import members
from camphortray import node as nodes
from camphortray import peers
from camphortray import revisions
from camphortray import tasks

LOG = logs.logger("membership")
Fact = facts.Fact
Member = members.Member
Status = members.Status
PRESENT = (Status.ALIVE, Status.SUSPECT)
# Seconds from one look at what is due to the next.
TICK_S = 0.1
# Longest wait for an answer of a peer, in seconds.
ASK_S = 1.0
# Seconds from one renewal of the metrics to the next.
METRICS_S = 1.0
# Most names in the log line about members whose status has changed.
MAX_NAMES = 8
# Longest time after a start in which this host finds out which others there
# are before it takes part without, in seconds.
INTRODUCED_S = 1.0
MESSAGES = (gossip.Ping, gossip.News, antientropy.Sync, failure_detector.Doubt)


@kernel.PARTS.register("entry", "batch", "host")
class Membership(kernel.Part):
    """Members and facts as this host knows them; drives a ``Node``.

    Attributes:
      node: What decides.
      own_name: ``HOST/PROGRAM`` of this program.
      listed: The platform's list as last read.
      changed: Names of members with another status than alive that are not
        yet logged, by status.
      list_read: Whether it has been read.
    """

    name: ClassVar[str] = "membership"
    requires: ClassVar[tuple[str, ...]] = ("peers", "settings")

    def __init__(self, context: kernel.Context) -> None:
        self.context = context
        self.clock = context.clock
        self.links = context.part(peers.Peers)
        self.tree = context.part(revisions.Revisions)
        self.backends = context.part(backends.CommonBackends)
        config = context.config
        self.own_name = f"{config.host.name}/{context.program}"
        own = Member(
            self.own_name,
            context.incarnation,
            Status.ALIVE,
            config.host.availability_zone,
            "",
            "",
            started=context.incarnation,
            capacity=host_capacity.capacity_of(config.host.resources),
        )
        offset = self.clock.wall() - self.clock.monotonic()
        self.node = nodes.Node(
            own,
            config.peer.seeds,
            context.rng,
            offset,
            sibling_of(config, context.program),
        )
        self.node.known.on_member = self.notify_member
        self.node.known.on_fact = self.notify_fact
        self.fact_listeners: dict[str, list[Callable[[Fact], None]]] = {}
        self.listeners: list[Callable[[Member], None]] = []
        self.list_listeners: list[
            Callable[[tuple[hostlist.ListedHost, ...]], None]
        ] = []
        self.listed: tuple[hostlist.ListedHost, ...] = ()
        self.list_read = False
        self.started_at = self.clock.monotonic()
        self.http_address = ""
        self.list_pace = list_polling.ListPolling(context.rng)
        self.metrics_at = 0.0
        self.changed: dict[Status, list[str]] = {}
        self.dropping: set[str] = set()
        self.list_task: asyncio.Task[None] | None = None
        self.task: asyncio.Task[None] | None = None
        for cls in MESSAGES:
            self.links.on(cls, self.on_message)

    @classmethod
    def from_config(cls, context: kernel.Context) -> "Membership":
        return cls(context)

    async def start(self) -> None:
        now = self.clock.monotonic()
        self.node.known.change(now, peer_address=str(self.links.address))
        self.node.start(now)
        self.tree.listen(self.on_view)
        work = tasks.forever("membership", self.run)
        self.task = asyncio.get_running_loop().create_task(work)

    # What other parts use.

    @property
    def members(self) -> dict[str, Member]:
        """All members by name, those held for dead included."""
        return self.node.known.directory.members

    @property
    def facts(self) -> dict[str, Fact]:
        """All facts, by kind and key as one text."""
        return self.node.known.facts.facts

    def member(self, name: str) -> Member | None:
        """Return a member, or None if it has not been heard of."""
        return self.members.get(name)

    def put(self, member: Member) -> None:
        """Take over what is known of a member, from elsewhere."""
        self.node.known.put(member, self.clock.monotonic())

    def live(self, program: str) -> list[Member]:
        """Return members of a program that may get work, this one too."""
        tail = f"/{program}"
        return [
            member
            for name, member in self.members.items()
            if name.endswith(tail) and member.status in PRESENT
        ]

    def possible(self, program: str) -> set[str]:
        """Return names of members that may be there, this one too.

        Those of the platform's list that have not been heard of yet, beside
        all that are live.
        """
        names = {member.name for member in self.live(program)}
        for line in self.listed:
            name = f"{line.name}/{program}"
            if line.kind == "host" and line.status == "live":
                if name not in self.members:
                    names.add(name)
        return names

    def reach(self, program: str) -> float:
        """Return the share of the listed hosts that may be in reach.

        The list lags, so that a lost host counts until it leaves the list.
        """
        possible = self.possible(program)
        listed = {
            f"{line.name}/{program}"
            for line in self.listed
            if line.kind == "host" and line.status == "live"
        }
        return len(possible) / max(1, len(possible | listed))

    def peer_address(self, name: str) -> configs.Address:
        """Return where a member takes links, as far as is known or listed.

        Raises:
          MessageError: that is not known.
        """
        member = self.members.get(name)
        host, _, program = name.partition("/")
        found = member.peer_address if member is not None else ""
        for line in self.listed:
            if not found and line.kind == "host" and line.name == host:
                found = line.peer_address
        if not found:
            raise errors.MessageError("no address", step="ask", peer=name)
        return configs.Address.from_text(found)

    def ready(self) -> str:
        return "" if self.introduced else "no other hosts known yet"

    @property
    def introduced(self) -> bool:
        """Whether this host has learned which others there are."""
        waited_s = self.clock.monotonic() - self.started_at
        known = self.list_read or self.node.known.joined
        return known or waited_s > INTRODUCED_S

    def live_peers(self, program: str) -> list[configs.Address]:
        """Return where other live members of a program take links."""
        return [
            configs.Address.from_text(member.peer_address)
            for member in self.live(program)
            if member.name != self.own_name and member.peer_address
        ]

    def is_gone(self, host_name: str, started: int = 0) -> bool:
        """Return whether a host is gone; see ``node.Node.is_gone``."""
        return self.node.known.is_gone(host_name, started)

    def set_http_address(self, address: str) -> None:
        """Tell where this program serves HTTP, once it is ready."""
        self.http_address = address
        self.announce()

    def set_seeds(self, seeds: Iterable[str]) -> None:
        """Take other addresses to ask first, as the settings changed."""
        self.node.seeds = list(seeds)

    def leave(self) -> None:
        """Tell all hosts that this program takes no new callers."""
        self.node.leave(self.clock.monotonic())
        self.act(self.node.flush(self.clock.monotonic()))

    def listen(self, listener: Callable[[Member], None]) -> None:
        """Call ``listener`` whenever something about a member changes."""
        self.listeners.append(listener)

    def listen_list(
        self, listener: Callable[[tuple[hostlist.ListedHost, ...]], None]
    ) -> None:
        """Call ``listener`` with the platform's list after each look."""
        self.list_listeners.append(listener)

    def publish(
        self, kind: str, key: str, value: Any, keep_s: float = 60.0
    ) -> None:
        """Tell all hosts a fact, this one at once."""
        now = self.clock.monotonic()
        self.node.publish(kind, key, value, keep_s, now)
        self.act(self.node.flush(now))

    def offer(self, fact: Fact) -> None:
        """Publish a fact whose version others may publish as well."""
        self.node.known.merge_fact(fact, self.clock.monotonic())

    def on_fact(self, kind: str, listener: Callable[[Fact], None]) -> None:
        """Call ``listener`` with each new fact of a kind."""
        self.fact_listeners.setdefault(kind, []).append(listener)

    # What the node reports.

    def notify_member(self, member: Member) -> None:
        """Tell whoever listens, and close links of no more use."""
        if member.status is not Status.ALIVE:
            self.changed.setdefault(member.status, []).append(member.name)
        if member.dead and member.name != self.own_name:
            address = configs.Address.from_text(member.peer_address)
            self.links.forget(address)
        if self.node.known.replaced and member.name == self.own_name:
            LOG.error("Another process has taken the name {}.", member.name)
        for listener in self.listeners:
            with tasks.contained("listener of members"):
                listener(member)

    def notify_fact(self, fact: Fact) -> None:
        """Tell whoever listens to that kind."""
        for listener in self.fact_listeners.get(fact.kind, []):
            with tasks.contained("listener of facts"):
                listener(fact)

    def on_view(self, view: Any) -> None:
        """Take note of the settings revision in force."""
        self.node.revision = view.revision
        self.node.known.directory.note_revision(self.own_name, view.revision)

    # Driving it.

    async def run(self) -> None:
        """Do what is due, for ever."""
        while True:
            now = self.clock.monotonic()
            self.announce()
            self.act(self.node.tick(now))
            self.look_at_list(now)
            if now >= self.metrics_at:
                self.metrics_at = now + METRICS_S
                self.show_metrics()
                self.log_changes()
            await asyncio.sleep(TICK_S)

    def log_changes(self) -> None:
        """Log the members that are no longer alive, one line a status."""
        changed, self.changed = self.changed, {}
        for status, names in changed.items():
            if len(names) == 1:
                LOG.info("{} is {}.", names[0], status)
                continue
            shown = ", ".join(names[:MAX_NAMES])
            left = len(names) - MAX_NAMES
            more = f" and {left} more" if left > 0 else ""
            LOG.info(
                "{} members are {}: {}{}.", len(names), status, shown, more
            )

    def show_metrics(self) -> None:
        """Renew the gauges of members, facts and links."""
        metrics = self.context.metrics
        counts = collections.Counter(m.status for m in self.members.values())
        for status in Status:
            metrics.set(
                "camphortray_members",
                "Members by status.",
                {"status": str(status)},
                counts[status],
            )
        metrics.set(
            "camphortray_facts",
            "Facts held.",
            {},
            len(self.node.known.facts.facts),
        )
        dropped = self.node.known.gossip.dropped
        for name in self.dropping | dropped.keys():
            metrics.set(
                "camphortray_news_dropped",
                "News dropped as a neighbour did not answer; it is asked what"
                " it lacks.",
                {"neighbour": name},
                dropped[name],
            )
        self.dropping = set(dropped)
        metrics.set(
            "camphortray_neighbours_behind",
            "Overlay that may lack news and have not answered yet.",
            {},
            len(self.node.known.catch_up.debts),
        )
        traffic = self.links.traffic
        metrics.set(
            "camphortray_peer_messages",
            "Messages to and from other hosts.",
            {},
            traffic.messages,
        )
        for (direction, kind), count in traffic.kinds.items():
            metrics.set(
                "camphortray_peer_messages_by_kind",
                "Messages to and from other hosts, by direction and kind.",
                {"direction": direction, "kind": kind},
                count,
            )
        for direction, count in (
            ("sent", traffic.sent_bytes),
            ("received", traffic.received_bytes),
        ):
            metrics.set(
                "camphortray_peer_bytes",
                "Bytes of messages and frames to and from other hosts.",
                {"direction": direction},
                count,
            )

    def announce(self) -> None:
        """Tell the HTTP address once callers may come."""
        shown = self.node.known.own.http_address
        if self.http_address == shown or self.context.not_ready():
            return
        now = self.clock.monotonic()
        self.node.known.change(now, http_address=self.http_address)

    def act(self, asks: list[nodes.Ask]) -> None:
        """Carry out effects."""
        for ask in asks:
            self.links.spawn(self.carry_out(ask))

    async def carry_out(self, ask: nodes.Ask) -> None:
        """Ask a peer and hand on its answer."""
        address = configs.Address.from_text(ask.address)
        method = self.links.ask_anew if ask.fresh else self.links.ask
        reply = None
        with contextlib.suppress(errors.MessageError):
            reply = await method(address, ask.message, ASK_S)
        now = self.clock.monotonic()
        self.act(self.node.answered(ask, reply, now))

    async def on_message(self, sender: peers.Sender, message: Any) -> Any:
        """Hand a message to the node."""
        now = self.clock.monotonic()
        return self.node.receive(str(sender), message, now)

    def look_at_list(self, now: float) -> None:
        """Read the platform's list in the background, now and then."""
        if self.list_task is not None and not self.list_task.done():
            return
        hosts = len(self.node.known.directory.by_host)
        wanted = self.node.wants_list or not self.node.known.joined
        if self.list_pace.due(now, hosts, wanted):
            self.list_task = tasks.spawn(
                "reading of the list of hosts", self.read_list()
            )

    async def read_list(self) -> None:
        """Read the list and hand it on."""
        try:
            self.listed = await self.backends.hosts.read()
        except errors.CamphortrayError as error:
            LOG.debug("No list: {}", error)
            return
        self.list_read = True
        hosts = [line for line in self.listed if line.kind == "host"]
        self.node.note_list(
            {line.name: line.status for line in hosts},
            [
                line.peer_address
                for line in hosts
                if line.peer_address and line.status == "live"
            ],
        )
        for listener in self.list_listeners:
            with tasks.contained("listener of the list of hosts"):
                listener(self.listed)

    async def drain(self) -> None:
        """Tell that this program leaves, if nobody has yet."""
        self.leave()

    async def stop(self) -> None:
        for task in (self.task, self.list_task):
            if task is not None:
                task.cancel()
        if self.node.known.own.status is not Status.LEAVING:
            return
        # Hosts need not find out by probing what this one can announce.
        asks = self.node.end(self.clock.monotonic())
        await asyncio.gather(*(self.carry_out(ask) for ask in asks))


def sibling_of(config: configs.Config, program: str) -> str:
    """Return the peer address of this host's other program."""
    peer = config.peer
    other = peer.batch_listen if program == "entry" else peer.entry_listen
    # Port 0 takes any free one, so the address is not known beforehand.
    return "" if other.endswith(":0") else other
