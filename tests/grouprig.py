"""Hosts of a group of owners over one store, with a break at one step."""

import asyncio
import itertools
from types import SimpleNamespace

from camphortray import active_config
from camphortray import backends
from camphortray import clock as clocks
from camphortray import config as configs
from camphortray import engine_crashes
from camphortray import facts
from camphortray import ledger as ledgers
from camphortray import membership
from camphortray import metrics
from camphortray import partition_manager
from camphortray import partition_owner
from camphortray import partition_state
from camphortray import peers
from camphortray import segment_quarantine
from camphortray import slot_client
from tests import breakrig
from tests import itemrig

# Facts and messages between hosts, in seconds.
WAY_S = 0.01
EVENT_S = 0.4


class GroupLedger(breakrig.RigLedger):
    """Deals partitions as the pages of the platform's store say.

    Attributes:
      told: Time of the last call, time to keep and last generation
        received, by member.
      order: Members as partitions are dealt to them in turn.
      holders: Member of each partition, once the one before let go.
      victim: Member whose calls break.
    """

    def __init__(self, broken: breakrig.Break, parts: int) -> None:
        super().__init__(broken, parts)
        self.told: dict[str, tuple[float, float, int]] = {}
        self.order: list[str] = []
        self.holders: dict[int, str] = {}
        self.victim = ""

    def target(self, part: int) -> str:
        """Return the member that a partition is dealt to."""
        return self.order[part % len(self.order)] if self.order else ""

    def deal_again(self, turns: int = 1) -> None:
        """Deal all partitions anew, without any call."""
        for _ in range(turns):
            self.generation += 1
            self.order = self.order[1:] + self.order[:1]
        if turns > 1:
            # Each one was let go of in between.
            self.holders.clear()

    def look(self, now: float) -> None:
        """Go on without those whose time is over, and let others in."""
        lapsed = [n for n, (at, s, _) in self.told.items() if now - at > s]
        for name in lapsed:
            del self.told[name]
        if set(self.order) != set(self.told):
            self.order = sorted(self.told)
            self.generation += 1
        for part in range(self.parts):
            holder = self.holders.get(part, "")
            known = self.told.get(holder, (0.0, 0.0, self.generation))[2]
            if holder != self.target(part) and known >= self.generation:
                self.holders[part] = self.target(part)

    async def join(self, member, generation, keep_s):
        item = breakrig.MARKED if member == self.victim else ""
        await self.broken.meet("join", item, 0.4)
        self.check_up("join")
        now = asyncio.get_running_loop().time()
        self.told[member] = now, keep_s, generation
        self.look(now)
        own = frozenset(
            part
            for part, holder in self.holders.items()
            if holder == member == self.target(part)
        )
        found = ledgers.Assignment(self.generation, own)
        await self.broken.meet("join answer", item, 0.4)
        return found

    async def leave(self, member):
        item = breakrig.MARKED if member == self.victim else ""
        await self.broken.meet("leave", item, 0.4)
        self.told.pop(member, None)
        self.look(asyncio.get_running_loop().time())
        await self.broken.meet("leave answer", item, 0.4)


class Host:
    """A member of the group, with all that it knows others by."""

    def __init__(self, group: "Group", name: str) -> None:
        self.group = group
        self.own_name = name
        self.listeners: dict[str, list] = {}
        self.handlers: dict[type, object] = {}
        parts = itemrig.work_parts(group.broken)
        parties = SimpleNamespace(
            ledger=group.ledger, engine=parts.backends.engine
        )
        self.parts = {
            membership.Membership: self,
            peers.Peers: self,
            backends.LedgerBackends: parties,
            active_config.ActiveConfig: parts.active_config,
            slot_client.SlotClient: parts.slots,
            engine_crashes.EngineCrashes: parts.engine_crashes,
            segment_quarantine.SegmentQuarantine: parts.quarantine,
        }
        self.clock = clocks.SystemClock()
        self.incarnation = 1
        self.metrics = metrics.Metrics()
        self.config = SimpleNamespace(
            host=SimpleNamespace(name=name),
            front=SimpleNamespace(item_keep_s=120.0),
            experiments=configs.ALL_ON,
        )
        self.owners = partition_manager.PartitionManager(
            self  # type: ignore[arg-type]
        )
        self.owners.start()

    def part(self, cls):
        """Return a part, as a context does."""
        return self.parts[cls]

    # As membership.

    def on_fact(self, kind, listener):
        """Listen to facts of a kind."""
        self.listeners.setdefault(kind, []).append(listener)

    def publish(self, kind, key, value, keep_s):
        """Tell all hosts a fact, this one at once."""
        if kind == partition_manager.OWNER:
            self.group.broken.now("publish")
        fact = facts.Fact(kind, key, self.group.count(), value, keep_s)
        self.take(fact)
        for host in self.group.hosts.values():
            if host is not self:
                asyncio.get_running_loop().call_later(WAY_S, host.take, fact)

    def take(self, fact):
        """Take a fact."""
        for listener in self.listeners.get(fact.kind, ()):
            listener(fact)

    introduced = True

    def listen(self, listener):
        """Listen to changes of members, of which there are none here."""

    def possible(self, program):
        """Return the names of all hosts."""
        return set(self.group.hosts)

    def member(self, name):
        """Return a host as a member."""
        if name not in self.group.hosts:
            return None
        number = list(self.group.hosts).index(name) + 1
        return SimpleNamespace(
            name=name, dead=False, peer_address=f"127.0.0.{number}:1"
        )

    # As links.

    def on(self, cls, handler):
        """Answer messages of a kind."""
        self.handlers[cls] = handler

    def notify(self, address, word):
        """Send a message; a break loses it, or it raises."""
        met = self.group.broken.met
        self.group.broken.now("tell")
        if met < self.group.broken.met:
            return
        number = int(str(address.ip).rpartition(".")[2]) - 1
        host = list(self.group.hosts.values())[number]
        loop = asyncio.get_running_loop()
        loop.call_later(
            WAY_S,
            lambda: loop.create_task(host.handlers[type(word)]("", word)),
        )


class Group:
    """Some hosts and what a caller does with them."""

    def __init__(self, broken: breakrig.Break, count: int) -> None:
        self.broken = broken
        broken.armed = False
        broken.event_s = EVENT_S
        self.ledger = GroupLedger(broken, 2)
        self.versions = itertools.count(1)
        self.hosts: dict[str, Host] = {}
        self.draining: asyncio.Future[None] | None = None
        for number in range(count):
            name = f"h{number}"
            self.hosts[name] = Host(self, name)

    def count(self) -> int:
        """Return the next version of a fact."""
        return next(self.versions)

    def holder(self, part: int) -> Host | None:
        """Return the host that serves a partition, in the newest epoch."""
        held = [
            (host.owners.held[part].epoch, name)
            for name, host in self.hosts.items()
            if part in host.owners.held
            and host.owners.held[part].ready.is_set()
            and not host.owners.held[part].lost
        ]
        return self.hosts[max(held)[1]] if held else None

    def owner(self, part: int) -> partition_owner.PartitionOwner | None:
        """Return the owner of a partition, if one serves it."""
        host = self.holder(part)
        return host.owners.held[part] if host else None

    async def settle(self) -> None:
        """Wait until all partitions are served and stay where they are."""
        await asyncio.sleep(3.0)
        assert all(self.owner(part) for part in range(self.ledger.parts))

    def arm(self) -> Host:
        """Break from now on; return the host that meets it."""
        host = self.holder(0)
        assert host is not None
        self.ledger.victim = host.owners.member
        self.broken.armed = True
        return host

    async def wrong(self, jobs: dict[str, tuple[int, int]]) -> list[str]:
        """Return what is not listed; jobs are partition and items."""
        found = []
        for job, (part, count) in jobs.items():
            owner = self.owner(part)
            if owner is None:
                found.append(f"nobody serves {part}")
                continue
            house = SimpleNamespace(
                results=lambda name, at=owner: itemrig.results(at, name),
                ledger=self.ledger,
                part=part,
            )
            found += await itemrig.unlisted(house, {job: count})
        return found

    async def check(self, jobs: dict[str, tuple[int, int]]) -> None:
        """Check that all is listed in time, also for the next owners."""
        loop = asyncio.get_running_loop()
        end_at = loop.time() + itemrig.BOUND_S
        while (wrong := await self.wrong(jobs)) and loop.time() < end_at:
            await asyncio.sleep(0.1)
        where = [
            f"{name}/{part}: {itemrig.symptom(owner)}"
            for name, host in self.hosts.items()
            for part, owner in host.owners.held.items()
        ]
        assert not wrong, f"{wrong}; {'; '.join(where) or 'no owner'}"
        for host in self.hosts.values():
            host.owners.stop()
        for job, (part, count) in jobs.items():
            book = partition_state.PartitionState()
            page = await ledgers.MemoryLedger.newest(
                self.ledger, itemrig.JOBS, part
            )
            book.load(page.records)
            kept = book.jobs[job].finished if job in book.jobs else set()
            assert len(kept) == count, f"kept of {job}: {sorted(kept)}"
