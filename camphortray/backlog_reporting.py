"""Reports the tokens that wait on routes and enforces their limits.

The owner of a partition reports its counts to the hosts that keep the quota
of a route and to no others: they change with each job and each result.
"""

__all__ = ["BacklogReporter"]

import asyncio
import collections
from collections.abc import Iterator
import contextlib

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
# Shortest interval between reports, in seconds, and the reports a second
# that a quota host is to receive at most for a route.
REPORT_INTERVAL_S = 0.25
MAX_REPORTS_PER_S = 100
# Reports may be lost. A count is repeated at this interval while tokens wait,
# and for so long after its last change, in seconds.
REPEAT_INTERVAL_S = 1.0
REPEAT_S = 30.0
# Lifetime of a reported count, and of a reservation that no count contains
# yet, in seconds. An owner may be cut off from this host for long and go on
# accepting jobs; the next owner's count replaces both.
COUNT_TTL_S = 600.0
# Longest time after a start in which a quota host waits for the counts of all
# partitions, in seconds.
MAX_LEARNING_S = 5.0
# Time for the news of a new quota host to reach all owners, in seconds.
NEWS_S = 0.25
# Lifetime of a reservation for an owner of an earlier release, beyond the
# interval between reports, in seconds.
RESERVATION_MARGIN_S = 0.75
# Time limit for the reply of one host to a quota request, in seconds.
QUOTA_TIMEOUT_S = 0.3

Counts = dict[int, jobmessages.PartitionBacklog]


class SentCount(msgspec.Struct):
    """A count as last sent to a quota host.

    Attributes:
      row: The count.
      changed_at: When it was first sent.
      sent_at: When it was last sent.
    """

    row: jobmessages.PartitionBacklog
    changed_at: float
    sent_at: float

    def repeats(self, now: float) -> bool:
        """Return whether it is to be sent again though it rests."""
        return bool(self.row.counts) or now - self.changed_at < REPEAT_S


class QuotaHost(msgspec.Struct):
    """What was sent to a quota host.

    Attributes:
      started: Incarnation of its process, which keeps the counts.
      sent: Counts by partition.
    """

    started: int
    sent: dict[int, SentCount]

    def due(self, counts: Counts, now: float) -> list[SentCount]:
        """Return the counts to send now, and take note of them as sent."""
        self.sent = {p: s for p, s in self.sent.items() if p in counts}
        due = []
        for part, row in counts.items():
            sent = self.sent.get(part)
            if sent is None or sent.row != row:
                sent = self.sent[part] = SentCount(row, now, now)
            elif now - sent.sent_at < REPEAT_INTERVAL_S:
                continue
            elif not sent.repeats(now):
                continue
            sent.sent_at = now
            due.append(sent)
        return due


class QuotaRequests:
    """Numbers of the quota requests for a partition.

    Attributes:
      last: Number of the last request.
      open: Numbers of those that have no answer yet.
    """

    def __init__(self) -> None:
        self.last = 0
        self.open: set[int] = set()

    @property
    def answered(self) -> int:
        """The number up to which all requests have an answer, or none."""
        return min(self.open) - 1 if self.open else self.last

    @contextlib.contextmanager
    def request(self) -> Iterator[int]:
        """Number a request, which ends with the context."""
        self.last += 1
        number = self.last
        self.open.add(number)
        try:
            yield number
        finally:
            self.open.discard(number)


class BacklogReporter:
    """Waiting tokens by workspace and route, over all partitions.

    Attributes:
      owners: Owners of the partitions owned here, by partition.
      parts: Number of all partitions.
      interval_s: Seconds between reports.
      quota: Counts reported to this host, and reservations kept here.
      requests: Quota requests of the owners here, by partition.
      quota_hosts: Members that receive the counts of a route, by route.
      known: Incarnation of each quota host of a route, and since when it is
        one.
      learning_s: Seconds until a new quota host has the counts of all owners.
      reported: What was sent, by member.
      changed: Set when counts or quota hosts may have changed.
    """

    def __init__(
        self,
        context: kernel.Context,
        owners: dict[int, partition_owner.PartitionOwner],
        parts: int,
    ) -> None:
        self.clock = context.clock
        self.members = context.part(membership.Membership)
        self.links = context.part(peers.Peers)
        self.active_config = context.part(active_config.ActiveConfig)
        self.owners = owners
        self.parts = parts
        self.interval_s = max(REPORT_INTERVAL_S, parts / MAX_REPORTS_PER_S)
        reservation_s = self.interval_s + RESERVATION_MARGIN_S
        self.quota = jobquota.QuotaTracker(reservation_s)
        self.requests: dict[int, QuotaRequests] = collections.defaultdict(
            QuotaRequests
        )
        self.started_at = self.clock.monotonic()
        self.quota_hosts: dict[str, list[str]] = {}
        self.known: dict[str, dict[str, tuple[int, float]]] = {}
        self.learning_s = self.interval_s + REPEAT_INTERVAL_S + NEWS_S
        self.reported: dict[str, QuotaHost] = {}
        self.changed = asyncio.Event()
        self.task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start reporting counts and answering quota requests."""
        self.links.on(jobmessages.QuotaAsk, self.on_quota)
        self.links.on(jobmessages.QuotaGranted, self.on_granted)
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
        """Report counts of the partitions owned here, forever."""
        repeat_s = None
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(repeat_s):
                    await self.changed.wait()
            self.changed.clear()
            try:
                repeats = self.report()
            except Exception:
                self.changed.set()
                raise
            repeat_s = REPEAT_INTERVAL_S if repeats else None
            await asyncio.sleep(self.interval_s)

    def report(self) -> bool:
        """Send each quota host the counts that are due.

        Returns:
          Whether any is to be repeated later.
        """
        now = self.clock.monotonic()
        wanted = self.counts_by_host()
        for name in self.reported.keys() - wanted.keys():
            del self.reported[name]
        for name, counts in wanted.items():
            self.send(name, counts, now)
        return any(
            sent.repeats(now)
            for host in self.reported.values()
            for sent in host.sent.values()
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
            if not wanted or not owner.ready.is_set():
                continue
            counts = self.count(owner)
            for name, limited in routes.items():
                kept = {
                    key: tokens
                    for key, tokens in counts.items()
                    if jobquota.route_of(key) in limited
                }
                wanted[name][part] = jobmessages.PartitionBacklog(
                    part, owner.epoch, kept, self.requests[part].answered
                )
        return wanted

    def send(self, name: str, counts: Counts, now: float) -> None:
        """Send a quota host the counts that are due."""
        member = self.members.member(name)
        if member is None:
            return
        host = self.reported.get(name)
        if host is None or host.started != member.started:
            host = self.reported[name] = QuotaHost(member.started, {})
        rows = tuple(sent.row for sent in host.due(counts, now))
        if rows:
            # One-way: the timeout of a question would end the link, with the
            # questions of callers on it.
            address = configs.Address.from_text(member.peer_address)
            self.links.notify(address, jobmessages.BacklogReport(rows))

    def count(self, owner: partition_owner.PartitionOwner) -> dict[str, int]:
        """Return the waiting tokens of a partition, by ``backlog_key``."""
        counts: dict[str, int] = {}
        for job in owner.waiting_jobs:
            route = self.active_config.routes.find_accepting(
                job.host_name, job.target, job.route
            )
            tokens = job.waiting_tokens
            if route is not None and tokens:
                key = jobquota.backlog_key(route.name, job.workspace)
                counts[key] = counts.get(key, 0) + tokens
        return counts

    # Quota hosts.

    def hosts_of(self, route: str) -> list[str]:
        """Return the members that receive the counts of a route.

        One host keeps the reservations of a route, so that owners that
        accept jobs at the same time do not exceed its limit together. The
        other, of another zone if there is one, takes over from it.
        """
        hosts = self.quota_hosts.get(route)
        if hosts is not None:
            return hosts
        live = {member.name: member for member in self.members.live("host")}
        ranked = shards.rank(f"quota/{route}", live)
        hosts = ranked[:1]
        others = ranked[1:]
        elsewhere = [
            name
            for name in others
            if live[name].availability_zone != live[hosts[0]].availability_zone
        ]
        hosts += (elsewhere or others)[:1]
        now = self.clock.monotonic()
        before = self.known.get(route, {})
        self.known[route] = known = {}
        for name in hosts:
            started = live[name].started
            held = before.get(name)
            same = held is not None and held[0] == started
            known[name] = held if same else (started, now)
        self.quota_hosts[route] = hosts
        return hosts

    def hosts_to_ask(self, route: str) -> list[str]:
        """Return the quota hosts of a route, those that are new last."""
        now = self.clock.monotonic()
        hosts = self.hosts_of(route)
        known = self.known[route]
        return sorted(
            hosts, key=lambda name: now - known[name][1] < self.learning_s
        )

    # Keeping the quota of a route.

    async def on_report(
        self, sender: peers.Sender, report: jobmessages.BacklogReport
    ) -> None:
        """Record the counts reported by an owner of partitions."""
        until = self.clock.monotonic() + COUNT_TTL_S
        for row in report.rows:
            self.quota.update_counts(
                row.part, row.epoch, row.counts, until, row.answered
            )

    def on_waiting(self, fact: membership.Fact) -> None:
        """Record the counts published by an owner of an earlier release."""
        epoch, counts = fact.value
        part = int(fact.key.partition("/")[0])
        self.quota.update_counts(part, int(epoch), dict(counts))

    @property
    def learning(self) -> bool:
        """Whether this host has just started and lacks counts of owners."""
        if self.clock.monotonic() - self.started_at >= MAX_LEARNING_S:
            return False
        read = {part for part, o in self.owners.items() if o.ready.is_set()}
        return len(read | self.quota.counts.keys()) < self.parts

    async def on_quota(
        self, sender: peers.Sender, ask: jobmessages.QuotaAsk
    ) -> jobmessages.QuotaReply | peers.PeerFault:
        """Answer an owner's request for a reservation."""
        if self.learning:
            return peers.PeerFault("the counts are not complete yet")
        return jobmessages.QuotaReply(self.reserve(ask))

    async def on_granted(
        self, sender: peers.Sender, granted: jobmessages.QuotaGranted
    ) -> None:
        """Hold what the other quota host has reserved, to take over from it.

        Without it, what has been granted since the last report could be
        granted again here once that host is lost.
        """
        ask = granted.ask
        until = self.clock.monotonic() + COUNT_TTL_S
        self.quota.hold(
            ask.route, ask.job, ask.tokens, quota_request(ask), until
        )

    def reserve(self, ask: jobmessages.QuotaAsk) -> bool:
        """Reserve waiting tokens for a job; return whether they fit."""
        for part, owner in self.owners.items():
            if owner.ready.is_set():
                self.quota.update_counts(
                    part,
                    owner.epoch,
                    self.count(owner),
                    answered=self.requests[part].answered,
                )
        now = self.clock.monotonic()
        known = ask.part >= 0
        granted = self.quota.reserve(
            ask.route,
            ask.job,
            ask.tokens,
            ask.limit,
            now,
            quota_request(ask) if known else None,
            now + COUNT_TTL_S,
        )
        if not granted:
            log_full(ask, self.quota.waiting(ask.route, now), ask.limit)
        elif known:
            self.notify_granted(ask)
        return granted

    def notify_granted(self, ask: jobmessages.QuotaAsk) -> None:
        """Send a reservation to the other quota host of its route."""
        for name in self.hosts_of(jobquota.route_of(ask.route)):
            member = self.members.member(name)
            if member is not None and name != self.members.own_name:
                address = configs.Address.from_text(member.peer_address)
                self.links.notify(address, jobmessages.QuotaGranted(ask))

    def fits_share(self, ask: jobmessages.QuotaAsk) -> bool:
        """Decide without a quota host, by the share of the partitions here.

        Each owner that decided by the whole limit would accept as much.
        """
        owners = [o for o in self.owners.values() if o.ready.is_set()]
        waiting = sum(self.count(o).get(ask.route, 0) for o in owners)
        share = ask.limit * len(owners) // self.parts
        fits = waiting + ask.tokens <= share
        if not fits:
            log_full(ask, waiting, share)
        return fits

    async def admit(
        self,
        owner: partition_owner.PartitionOwner,
        part: partition_records.JobPart,
    ) -> bool:
        """Have an owner count a job if its workspace has room for it.

        A job without a route, or on a route without a limit, always fits.

        Returns:
          Whether it fits.
        """
        route = self.active_config.routes.find_accepting(
            part.host_name, part.target, part.route
        )
        if route is None or not route.waiting_limit:
            return True
        try:
            with self.requests[owner.part].request() as number:
                ask = jobmessages.QuotaAsk(
                    jobquota.backlog_key(route.name, part.workspace),
                    part.job,
                    sum(item.tokens for item in part.items),
                    route.waiting_limit,
                    owner.part,
                    owner.epoch,
                    number,
                )
                granted = await self.ask(route, ask)
                if granted:
                    # In the count before the request counts as answered.
                    owner.admit(part)
        finally:
            # The next report ends reservations that are not used.
            self.changed.set()
        return granted

    async def ask(
        self, route: routemap.Route, ask: jobmessages.QuotaAsk
    ) -> bool:
        """Ask the quota hosts of a route in turn; return whether it fits."""
        for name in self.hosts_to_ask(route.name):
            if name == self.members.own_name:
                if not self.learning:
                    return self.reserve(ask)
                continue
            member = self.members.member(name)
            if member is None:
                continue
            address = configs.Address.from_text(member.peer_address)
            try:
                reply = await self.links.ask(address, ask, QUOTA_TIMEOUT_S)
            except errors.MessageError as error:
                LOG.info("Quota request to {} failed: {}", name, error)
            else:
                return bool(reply.granted)
        return self.fits_share(ask)


def log_full(ask: jobmessages.QuotaAsk, waiting: int, limit: int) -> None:
    """Log that a job does not fit, and by which figures."""
    LOG.info(
        "No room for job {}: {} tokens wait or may be stored.",
        ask.job,
        waiting,
        fields={
            "key": ask.route,
            "tokens": ask.tokens,
            "limit": limit,
            "partition": ask.part,
        },
    )


def quota_request(ask: jobmessages.QuotaAsk) -> jobquota.QuotaRequest:
    """Return what identifies a request for quota."""
    return jobquota.QuotaRequest(ask.part, ask.epoch, ask.number)
