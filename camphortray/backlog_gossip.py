"""Publishes the waiting tokens of routes and enforces their limits."""

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
# Kind of the facts that hold the counts, and their lifetime in seconds.
WAITING_FACT = "job-waiting"
FACT_TTL_S = 600.0
# Seconds between counts of waiting tokens.
COUNT_INTERVAL_S = 0.25
# Time limit for the reply to a quota request, in seconds.
QUOTA_TIMEOUT_S = 0.3


class BacklogGossip:
    """Waiting tokens by route, over the partitions of all hosts.

    Attributes:
      owners: Owners of the partitions owned here, by partition.
      quota: Counts of all partitions, and reservations kept here.
      counts_changed: Whether jobs have changed since the last count.
      published: Counts last published here, by partition.
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
        self.quota = jobquota.QuotaTracker()
        self.counts_changed = False
        self.published: dict[int, dict[str, int]] = {}
        self.task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start publishing counts and answering quota requests."""
        self.links.on(jobmessages.QuotaAsk, self.on_quota)
        self.members.on_fact(WAITING_FACT, self.on_waiting)
        work = tasks.forever("count of waiting tokens", self.publish_counts)
        self.task = asyncio.get_running_loop().create_task(work)

    def stop(self) -> None:
        """Stop publishing counts."""
        if self.task is not None:
            self.task.cancel()

    async def publish_counts(self) -> None:
        """Publish changed counts of the partitions owned here, forever."""
        while True:
            await asyncio.sleep(COUNT_INTERVAL_S)
            if not self.counts_changed:
                continue
            self.counts_changed = False
            for part, owner in list(self.owners.items()):
                counts = self.count(owner)
                if owner.ready.is_set() and (
                    counts != self.published.get(part)
                ):
                    self.published[part] = counts
                    self.members.publish(
                        WAITING_FACT,
                        f"{part}/{self.members.own_name}",
                        [owner.epoch, counts],
                        FACT_TTL_S,
                    )

    def count(self, owner: partition_owner.PartitionOwner) -> dict[str, int]:
        """Return the waiting tokens of a partition, by route."""
        counts: dict[str, int] = {}
        for job in owner.state.jobs.values():
            route = self.active_config.routes.find(job.host_name, job.target)
            tokens = job.waiting_tokens
            if route is not None and tokens:
                counts[route.name] = counts.get(route.name, 0) + tokens
        return counts

    def on_waiting(self, fact: membership.Fact) -> None:
        """Record the counts published by the owner of a partition."""
        epoch, counts = fact.value
        part = int(fact.key.partition("/")[0])
        self.quota.update_counts(part, int(epoch), dict(counts))

    async def on_quota(
        self, sender: peers.Sender, ask: jobmessages.QuotaAsk
    ) -> jobmessages.QuotaReply:
        """Answer an owner's request for a reservation."""
        return jobmessages.QuotaReply(self.reserve(ask))

    def reserve(self, ask: jobmessages.QuotaAsk) -> bool:
        """Reserve waiting tokens for a job; return whether they fit."""
        for part, owner in self.owners.items():
            if owner.ready.is_set():
                self.quota.update_counts(part, owner.epoch, self.count(owner))
        now = self.clock.monotonic()
        return self.quota.reserve(
            ask.route, ask.job, ask.tokens, ask.limit, now
        )

    async def has_room(self, part: partition_records.JobPart) -> bool:
        """Reserve tokens for a job; return whether its route has room.

        A job without a route, or on a route without a limit, always fits.
        """
        route = self.active_config.routes.find(part.host_name, part.target)
        if route is None or not route.waiting_limit:
            return True
        tokens = sum(item.tokens for item in part.items)
        ask = jobmessages.QuotaAsk(
            route.name, part.job, tokens, route.waiting_limit
        )
        names = {m.name: m for m in self.members.live("host")}
        # One host keeps the reservations of a route, so that owners that
        # accept jobs at the same time do not exceed its limit together.
        quota_host = shards.preferred(f"quota/{route.name}", names)
        if quota_host is None or quota_host == self.members.own_name:
            return self.reserve(ask)
        address = configs.Address.from_text(names[quota_host].peer_address)
        try:
            reply = await self.links.ask(address, ask, QUOTA_TIMEOUT_S)
        except errors.MessageError as error:
            LOG.info("Quota request failed; reserved locally: {}", error)
            return self.reserve(ask)
        return bool(reply.granted)
