"""Reports the waiting tokens of routes and enforces their limits.

The owner of a partition reports its counts to the hosts that keep the quota
of a route and to no others: they change with each job and each result.
"""

__all__ = ["BacklogReporter"]

import asyncio

import msgspec

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
from camphortray import routemap
from camphortray import shards
from camphortray import tasks

LOG = logs.logger("jobs")
# Kind of the facts that hold the counts of owners of earlier releases.
WAITING_FACT = "job-waiting"
# Hosts that receive the counts of a route. The first keeps its quota; the
# others take over when it does not answer.
QUOTA_HOSTS = 2
# Seconds between reports of waiting tokens.
REPORT_INTERVAL_S = 0.25
# Time limit for the acknowledgement of a report, in seconds.
REPORT_TIMEOUT_S = 0.5
# Time limit for the reply of one host to a quota request, in seconds.
QUOTA_TIMEOUT_S = 0.2

Counts = dict[int, jobmessages.PartitionBacklog]


class QuotaHost(msgspec.Struct):
    """What a quota host has acknowledged.

    Attributes:
      started: Incarnation of its process, which keeps the counts.
      counts: Counts it has acknowledged, by partition.
    """

    started: int
    counts: Counts


class BacklogReporter:
    """Waiting tokens by route, over the partitions of all hosts.

    Attributes:
      owners: Owners of the partitions owned here, by partition.
      quota: Counts reported to this host, and reservations kept here.
      quota_hosts: Members that receive the counts of a route, by route.
      reported: Acknowledged counts, by member.
      changed: Set when counts or quota hosts may have changed.
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
        self.quota_hosts: dict[str, list[str]] = {}
        self.reported: dict[str, QuotaHost] = {}
        self.changed = asyncio.Event()
        self.task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start reporting counts and answering quota requests."""
        self.links.on(jobmessages.QuotaAsk, self.on_quota)
        self.links.on(jobmessages.BacklogReport, self.on_report)
        self.members.on_fact(WAITING_FACT, self.on_waiting)
        self.members.listen(self.on_member)
        self.active_config.listen(self.on_configuration)
        work = tasks.forever("report of waiting tokens", self.run)
        self.task = asyncio.get_running_loop().create_task(work)

    def stop(self) -> None:
        """Stop reporting counts."""
        if self.task is not None:
            self.task.cancel()

    def on_member(self, member: membership.Member) -> None:
        """Choose the quota hosts anew, and report to those that are new."""
        self.choose_anew()

    def on_configuration(self, view: routemap.Configuration) -> None:
        """Report the counts of routes whose limits are new."""
        self.choose_anew()

    def choose_anew(self) -> None:
        """Choose the quota hosts anew with the next report."""
        self.quota_hosts.clear()
        if self.owners:
            self.changed.set()

    # Reporting.

    async def run(self) -> None:
        """Report changed counts of the partitions owned here, forever."""
        while True:
            await self.changed.wait()
            self.changed.clear()
            await self.report()
            await asyncio.sleep(REPORT_INTERVAL_S)

    async def report(self) -> None:
        """Send each quota host the counts that it has not acknowledged."""
        wanted = self.counts_by_host()
        for name in self.reported.keys() - wanted.keys():
            del self.reported[name]
        await asyncio.gather(
            *(self.send(name, counts) for name, counts in wanted.items())
        )

    def counts_by_host(self) -> dict[str, Counts]:
        """Return the counts for each other quota host, by partition."""
        routes: dict[str, set[str]] = {}
        for route in self.active_config.view.routes:
            if route.waiting_limit:
                for name in self.hosts_of(route.name):
                    routes.setdefault(name, set()).add(route.name)
        routes.pop(self.members.own_name, None)
        wanted: dict[str, Counts] = {name: {} for name in routes}
        for part, owner in self.owners.items():
            if not owner.ready.is_set():
                continue
            counts = self.count(owner)
            for name, limited in routes.items():
                kept = {r: n for r, n in counts.items() if r in limited}
                wanted[name][part] = jobmessages.PartitionBacklog(
                    part, owner.epoch, kept
                )
        return wanted

    async def send(self, name: str, counts: Counts) -> None:
        """Send a quota host the counts that it has not acknowledged."""
        member = self.members.member(name)
        if member is None:
            return
        known = self.reported.get(name)
        if known is None or known.started != member.started:
            known = self.reported[name] = QuotaHost(member.started, {})
        rows = tuple(
            row
            for part, row in counts.items()
            if known.counts.get(part) != row
        )
        if not rows:
            return
        try:
            await self.links.ask(
                configs.Address.from_text(member.peer_address),
                jobmessages.BacklogReport(rows),
                REPORT_TIMEOUT_S,
            )
        except errors.MessageError as error:
            LOG.info("Report of waiting tokens to {} failed: {}", name, error)
            self.changed.set()
            return
        known.counts.update((row.part, row) for row in rows)

    def count(self, owner: partition_owner.PartitionOwner) -> dict[str, int]:
        """Return the waiting tokens of a partition, by route."""
        counts: dict[str, int] = {}
        for job in owner.state.jobs.values():
            route = self.active_config.routes.find(job.host_name, job.target)
            tokens = job.waiting_tokens
            if route is not None and tokens:
                counts[route.name] = counts.get(route.name, 0) + tokens
        return counts

    def hosts_of(self, route: str) -> list[str]:
        """Return the members that receive the counts of a route.

        One host keeps the reservations of a route, so that owners that
        accept jobs at the same time do not exceed its limit together.
        """
        hosts = self.quota_hosts.get(route)
        if hosts is None:
            names = [member.name for member in self.members.live("host")]
            hosts = shards.rank(f"quota/{route}", names)[:QUOTA_HOSTS]
            self.quota_hosts[route] = hosts
        return hosts

    # Keeping the quota of a route.

    async def on_report(
        self, sender: peers.Sender, report: jobmessages.BacklogReport
    ) -> None:
        """Record the counts reported by an owner of partitions."""
        for row in report.rows:
            self.quota.update_counts(row.part, row.epoch, row.counts)

    def on_waiting(self, fact: membership.Fact) -> None:
        """Record the counts published by an owner of an earlier release."""
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
        for name in list(self.hosts_of(route.name)):
            member = self.members.member(name)
            if name == self.members.own_name or member is None:
                break
            address = configs.Address.from_text(member.peer_address)
            try:
                reply = await self.links.ask(address, ask, QUOTA_TIMEOUT_S)
            except errors.MessageError as error:
                LOG.info("Quota request to {} failed: {}", name, error)
            else:
                return bool(reply.granted)
        return self.reserve(ask)
