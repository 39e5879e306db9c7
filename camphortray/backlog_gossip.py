"""Publishes how much waits, and keeps routes within their limits."""

__all__ = ["BacklogGossip"]

import asyncio

from camphortray import active_config
from camphortray import config as configs
from camphortray import errors
from camphortray import jobmessages
from camphortray import jobquota
from camphortray import kernel
from camphortray import logs
from camphortray import membership
from camphortray import partition_owner
from camphortray import partition_records
from camphortray import peers
from camphortray import shards
from camphortray import tasks

LOG = logs.logger("jobs")
WAITING = "job-waiting"
FACT_KEEP_S = 600.0
# Seconds from one count of waiting tokens to the next.
COUNT_EVERY_S = 0.25
# Time for the keeper of a route's reservations to answer, in seconds.
QUOTA_S = 0.3


class BacklogGossip:
    """Tokens that wait, by route, over the partitions of all hosts.

    Attributes:
      owners: Partitions owned here, by number.
      due: Whether something has changed since the last count was published.
    """

    def __init__(
        self,
        context: kernel.Context,
        owners: dict[int, partition_owner.PartitionOwner],
    ) -> None:
        self.clock = context.clock
        self.members = context.part(membership.Membership)
        self.links = context.part(peers.Peers)
        self.active_config = context.part(active_config.ActiveConfig)
        self.owners = owners
        self.quota = jobquota.QuotaBook()
        self.due = False
        self.published: dict[int, dict[str, int]] = {}
        self.task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Begin to publish and to answer."""
        self.links.on(jobmessages.QuotaAsk, self.on_quota)
        self.members.on_fact(WAITING, self.on_waiting)
        work = tasks.forever("count of waiting tokens", self.publish_counts)
        self.task = asyncio.get_running_loop().create_task(work)

    def stop(self) -> None:
        """Publish nothing more."""
        if self.task is not None:
            self.task.cancel()

    async def publish_counts(self) -> None:
        """Publish how much waits in the partitions owned here."""
        while True:
            await asyncio.sleep(COUNT_EVERY_S)
            if not self.due:
                continue
            self.due = False
            for part, owner in list(self.owners.items()):
                counts = self.count(owner)
                if owner.ready.is_set() and (
                    counts != self.published.get(part)
                ):
                    self.published[part] = counts
                    self.members.publish(
                        WAITING,
                        f"{part}/{self.members.own_name}",
                        [owner.epoch, counts],
                        FACT_KEEP_S,
                    )

    def count(self, owner: partition_owner.PartitionOwner) -> dict[str, int]:
        """Return the waiting tokens of a partition by route."""
        counts: dict[str, int] = {}
        for job in owner.book.jobs.values():
            route = self.active_config.routes.find(job.host_name, job.target)
            tokens = job.waiting_tokens
            if route is not None and tokens:
                counts[route.name] = counts.get(route.name, 0) + tokens
        return counts

    def on_waiting(self, fact: membership.Fact) -> None:
        """Take an owner's count."""
        epoch, counts = fact.value
        part = int(fact.key.partition("/")[0])
        self.quota.on_counts(part, int(epoch), dict(counts))

    async def on_quota(
        self, sender: peers.Sender, ask: jobmessages.QuotaAsk
    ) -> jobmessages.QuotaReply:
        """Answer an owner that asks for room."""
        return jobmessages.QuotaReply(self.reserve(ask))

    def reserve(self, ask: jobmessages.QuotaAsk) -> bool:
        """Reserve room for a job on its route."""
        for part, owner in self.owners.items():
            if owner.ready.is_set():
                self.quota.on_counts(part, owner.epoch, self.count(owner))
        now = self.clock.monotonic()
        return self.quota.ask(ask.route, ask.job, ask.tokens, ask.limit, now)

    async def has_room(self, part: partition_records.JobPart) -> bool:
        """Return whether a job fits into what may wait on its route."""
        route = self.active_config.routes.find(part.host_name, part.target)
        if route is None or not route.waiting_limit:
            return True
        tokens = sum(item.tokens for item in part.items)
        ask = jobmessages.QuotaAsk(
            route.name, part.job, tokens, route.waiting_limit
        )
        names = {m.name: m for m in self.members.live("host")}
        # One host keeps the reservations of a route, so that owners that
        # accept at the same moment do not both take the last room.
        keeper = shards.preferred(f"quota/{route.name}", names)
        if keeper is None or keeper == self.members.own_name:
            return self.reserve(ask)
        address = configs.Address.from_text(names[keeper].peer_address)
        try:
            reply = await self.links.ask(address, ask, QUOTA_S)
        except errors.MessageError as error:
            LOG.info("No answer on room, counted here: {}", error)
            return self.reserve(ask)
        return bool(reply.granted)
