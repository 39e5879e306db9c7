"""Counts of waiting tokens: who receives them, and who enforces a limit."""

import asyncio
import types

import msgspec
import pytest

from camphortray import active_config
from camphortray import backlog_reporting
from camphortray import errors
from camphortray import jobmessages
from camphortray import membership
from camphortray import peers
from camphortray import routemap
from tests import hostkit

HOSTS = 9
OWN = "h0/host"
LIMITED = msgspec.structs.replace(hostkit.BATCH_ROUTE, waiting_limit=1000)


class Members:
    """Members that are all alive; counts the facts published to all."""

    own_name = OWN

    def __init__(self):
        self.members = {
            f"h{number}/host": membership.Member(
                f"h{number}/host",
                1,
                membership.Status.ALIVE,
                "z",
                f"10.0.0.{number + 1}:1",
                "",
                started=1,
            )
            for number in range(HOSTS)
        }
        self.published = []

    def live(self, program):
        return list(self.members.values())

    def member(self, name):
        return self.members.get(name)

    def listen(self, listener):
        self.listener = listener

    def on_fact(self, kind, listener):
        self.fact_listener = listener

    def publish(self, *fact):
        self.published.append(fact)

    def replace(self, name, **fields):
        """Change an entry, or remove it if no field is given."""
        member = self.members.pop(name)
        if fields:
            member = msgspec.structs.replace(member, **fields)
            self.members[name] = member
        self.listener(member)


class Links:
    """Records the messages to each member; ``silent`` ones do not answer."""

    def __init__(self, members):
        self.members = members
        self.sent = []
        self.silent = set()
        self.granted = {}

    def on(self, cls, handler):
        pass

    async def ask(self, address, message, timeout_s):
        (name,) = (
            member.name
            for member in self.members.members.values()
            if member.peer_address == str(address)
        )
        self.sent.append((name, message))
        if name in self.silent:
            raise errors.MessageError("no answer in time")
        if isinstance(message, jobmessages.QuotaAsk):
            return jobmessages.QuotaReply(self.granted[name])
        return None

    def take(self):
        """Return the reports since the last call: receivers and rows."""
        sent, self.sent = self.sent, []
        return {
            name: {row.part: (row.epoch, row.counts) for row in message.rows}
            for name, message in sent
        }


def owner_of(part, tokens):
    """Return an owner of a partition with so many tokens waiting."""
    job = types.SimpleNamespace(
        host_name=LIMITED.host_name,
        target=LIMITED.prefix,
        waiting_tokens=tokens,
    )
    ready = asyncio.Event()
    ready.set()
    return types.SimpleNamespace(
        part=part,
        epoch=3,
        ready=ready,
        state=types.SimpleNamespace(jobs={"j": job}),
    )


def reporter_of(routes=(LIMITED,)):
    """Return a reporter that owns partitions 0 and 1."""
    members = Members()
    config = types.SimpleNamespace(
        view=types.SimpleNamespace(routes=routes),
        routes=routemap.RouteMap(routes),
        listen=lambda listener: listener(None),
    )
    parts = {
        membership.Membership: members,
        peers.Peers: Links(members),
        active_config.ActiveConfig: config,
    }
    context = types.SimpleNamespace(
        clock=types.SimpleNamespace(monotonic=lambda: 0.0),
        part=parts.__getitem__,
    )
    owners = {0: owner_of(0, 100), 1: owner_of(1, 200)}
    reporter = backlog_reporting.BacklogReporter(context, owners)
    members.listen(reporter.on_member)
    return reporter


def other_hosts(reporter):
    """Return the quota hosts of the route but for this one."""
    return {n for n in reporter.hosts_of(LIMITED.name) if n != OWN}


BOTH = {0: (3, {"r": 100}), 1: (3, {"r": 200})}


async def test_counts_go_to_the_quota_hosts_only():
    """Guards against counts that cost each host of the fleet a message."""
    reporter = reporter_of()
    await reporter.report()
    sent = reporter.links.take()
    assert set(sent) == other_hosts(reporter)
    assert 1 <= len(sent) <= backlog_reporting.QUOTA_HOSTS
    assert all(rows == BOTH for rows in sent.values())
    assert not reporter.members.published


async def test_counts_that_rest_are_not_sent_again():
    """Guards against reports that repeat what has been acknowledged."""
    reporter = reporter_of()
    await reporter.report()
    reporter.links.take()
    reporter.owners[1] = owner_of(1, 50)
    await reporter.report()
    assert set(reporter.links.take()) == other_hosts(reporter)
    await reporter.report()
    assert reporter.links.take() == {}


async def test_a_route_without_a_limit_is_not_reported():
    """Guards against messages about counts that nobody compares."""
    reporter = reporter_of((hostkit.BATCH_ROUTE,))
    await reporter.report()
    assert reporter.links.take() == {}


@pytest.mark.parametrize("change", ["lost", "restarted", "silent"])
async def test_a_quota_host_that_lacks_counts_receives_them(change):
    """Guards against a limit enforced without the counts of all owners."""
    reporter = reporter_of()
    name = sorted(other_hosts(reporter))[0]
    if change == "silent":
        reporter.links.silent.add(name)
    await reporter.report()
    reporter.links.take()
    reporter.changed.clear()
    if change == "silent":
        reporter.links.silent.clear()
        reporter.changed.set()
    elif change == "restarted":
        reporter.members.replace(name, started=2)
    else:
        reporter.members.replace(name)
        new = other_hosts(reporter) - {name}
        assert name not in new
    assert reporter.changed.is_set()
    await reporter.report()
    sent = reporter.links.take()
    assert sent
    assert all(rows == BOTH for rows in sent.values())
    assert (name in sent) == (change != "lost")


async def test_a_report_without_an_answer_is_repeated():
    """Guards against counts lost with a message."""
    reporter = reporter_of()
    reporter.links.silent = set(reporter.members.members)
    await reporter.report()
    assert reporter.changed.is_set()


@pytest.mark.parametrize(
    ("silent", "granted", "expected"),
    [
        ((), (True, False), True),
        ((), (False, True), False),
        ((0,), (True, False), False),
        ((0,), (False, True), True),
        ((0, 1), (False, False), True),
    ],
)
async def test_the_next_quota_host_decides_for_a_silent_one(
    silent, granted, expected
):
    """Guards against a limit not enforced while a quota host is lost."""
    reporter = reporter_of()
    # The host that asks keeps no quota itself.
    reporter.members.own_name = "none/host"
    hosts = reporter.hosts_of(LIMITED.name)
    reporter.links.silent = {hosts[number] for number in silent}
    reporter.links.granted = dict(zip(hosts, granted, strict=True))
    part = types.SimpleNamespace(
        job="k",
        host_name=LIMITED.host_name,
        target=LIMITED.prefix,
        items=[types.SimpleNamespace(tokens=10)],
    )
    assert await reporter.has_room(part) == expected


@pytest.mark.parametrize(
    ("waiting", "fits"), [((400, 500), True), ((500, 500), False)]
)
async def test_a_limit_holds_over_the_partitions_of_all_owners(waiting, fits):
    """Guards against a limit enforced for one owner at a time."""
    reporter = reporter_of()
    reporter.owners.clear()
    for part, tokens in enumerate(waiting):
        row = jobmessages.PartitionBacklog(part, 1, {"r": tokens})
        await reporter.on_report(None, jobmessages.BacklogReport((row,)))
    ask = jobmessages.QuotaAsk("r", "k", 100, 1000)
    assert reporter.reserve(ask) == fits
