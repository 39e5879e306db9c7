"""The hosts as they write themselves into the ledger."""

__all__ = ["HostRegistry"]

import asyncio
from typing import ClassVar

import msgspec

from camphortray import backends
from camphortray import errors
from camphortray import hostlist
from camphortray import kernel
from camphortray import ledger as ledgers
from camphortray import logs
from camphortray import membership
from camphortray import peers
from camphortray import tasks

LOG = logs.logger("hosts")
TOPIC = ledgers.Topic.HOSTS
# Pause after a failed try to write this host's entry, in seconds.
PAUSE_S = 0.5
# A host held for dead this long loses its entry, in seconds; until then
# it may only have been out of reach.
DEAD_S = 30.0
LOOK_S = 10.0


@kernel.PARTS.register("host")
class HostRegistry(kernel.Part):
    """Keeps this host's entry, and drops those of hosts that are gone.

    Attributes:
      dead_at: When a member was first seen dead, by name of host.
    """

    name: ClassVar[str] = "host_registry"
    requires: ClassVar[tuple[str, ...]] = ("backends", "membership", "peers")

    def __init__(self, context: kernel.Context) -> None:
        self.context = context
        self.clock = context.clock
        self.ledger = context.part(backends.LedgerBackends).ledger
        self.links = context.part(peers.Peers)
        self.members = context.part(membership.Membership)
        self.dead_at: dict[str, float] = {}
        self.written = False
        self.task: asyncio.Task[None] | None = None

    @classmethod
    def from_config(cls, context: kernel.Context) -> "HostRegistry":
        return cls(context)

    async def start(self) -> None:
        work = tasks.forever("entry in the list of hosts", self.run)
        self.task = asyncio.get_running_loop().create_task(work)

    async def run(self) -> None:
        """Write this host's entry, then clear up now and then."""
        own = hostlist.RollEntry(
            str(self.links.address), self.context.incarnation
        )
        name = self.context.config.host.name
        while not await self.write(name, msgspec.json.encode(own)):
            await asyncio.sleep(PAUSE_S)
        self.written = True
        while True:
            await asyncio.sleep(LOOK_S * self.context.rng.uniform(0.5, 1.5))
            for gone in self.gone():
                await self.write(gone, b"")

    async def write(self, key: str, value: bytes) -> bool:
        """Write an entry; return whether that is known to be done."""
        try:
            record = ledgers.LedgerRecord(key, value)
            await self.ledger.append(TOPIC, 0, [record])
        except errors.LogError as error:
            LOG.info("Entry of {} not written: {}", key, error)
            return False
        return True

    def gone(self) -> list[str]:
        """Return hosts that have been dead for long."""
        now = self.clock.monotonic()
        dead = {m.host for m in self.members.members.values() if m.dead}
        for host in self.dead_at.keys() - dead:
            del self.dead_at[host]
        for host in dead:
            self.dead_at.setdefault(host, now)
        late = [h for h, at in self.dead_at.items() if now - at > DEAD_S]
        for host in late:
            # Once is enough; another host may have done it before.
            self.dead_at[host] = now + 10 * DEAD_S
        return late

    async def drain(self) -> None:
        """Take this host's entry back."""
        if self.written:
            self.written = False
            await self.write(self.context.config.host.name, b"")

    async def stop(self) -> None:
        if self.task is not None:
            self.task.cancel()
