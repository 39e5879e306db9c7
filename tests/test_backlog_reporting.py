"""Counts of waiting tokens: who receives them, and who enforces a limit."""

import asyncio
import contextlib
import types

import msgspec
import pytest

from camphortray import active_config
from camphortray import backlog_reporting
from camphortray import errors
from camphortray import gossip
from camphortray import jobmessages
from camphortray import membership
from camphortray import messages
from camphortray import partition_owner
from camphortray import peers
from camphortray import routemap
from tests import hostkit
from tests import test_peers

HOSTS = 9
ZONES = 3
PARTS = 2
LONG_S = 100.0
OWN = "h0/host"
LIMITED = msgspec.structs.replace(hostkit.BATCH_ROUTE, waiting_limit=1000)


class Clock:
    """A clock moved by hand."""

    now = 0.0

    def monotonic(self):
        return self.now


class Members:
    """Members that are all alive; counts the facts published to all."""

    own_name = OWN

    def __init__(self):
        self.members = {
            f"h{number}/host": membership.Member(
                f"h{number}/host",
                1,
                membership.Status.ALIVE,
                f"z{number % ZONES}",
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
        self.hosts = {}

    def on(self, cls, handler):
        pass

    def name_of(self, address):
        """Return the member that takes links at an address."""
        (name,) = (
            member.name
            for member in self.members.members.values()
            if member.peer_address == str(address)
        )
        return name

    def notify(self, address, message):
        self.sent.append((self.name_of(address), message))

    async def ask(self, address, message, timeout_s):
        name = self.name_of(address)
        if name in self.silent:
            raise errors.MessageError("no answer in time")
        if name not in self.hosts:
            return jobmessages.QuotaReply(self.granted[name])
        reply = await self.hosts[name].on_quota(None, message)
        if isinstance(reply, peers.PeerFault):
            raise errors.MessageError(reply.message)
        return reply

    def take(self):
        """Return the reports since the last call: receivers and rows."""
        sent, self.sent = self.sent, []
        return {
            name: {row.part: (row.epoch, row.counts) for row in message.rows}
            for name, message in sent
        }


class Owner:
    """An owner of a partition with so many tokens waiting."""

    epoch = 3

    def __init__(self, part, tokens, workspace=""):
        self.part = part
        self.ready = asyncio.Event()
        self.ready.set()
        self.waiting_jobs = []
        self.admit(job_of(tokens, workspace=workspace))

    def admit(self, job):
        self.waiting_jobs.append(partition_owner.PendingJob.from_part(job))


owner_of = Owner


async def admits(reporter, job):
    """Return whether the first owner of a reporter admits a job."""
    return await reporter.admit(reporter.owners[min(reporter.owners)], job)


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
    clock = Clock()
    context = types.SimpleNamespace(clock=clock, part=parts.__getitem__)
    owners = {0: owner_of(0, 100), 1: owner_of(1, 200)}
    reporter = backlog_reporting.BacklogReporter(context, owners, PARTS)
    reporter.parts_of = parts
    members.listen(reporter.on_member)
    # Quota hosts of long standing.
    reporter.hosts_of(LIMITED.name)
    clock.now += LONG_S
    return reporter


def job_of(tokens, name="k", workspace=""):
    """Return a job with so many tokens on the limited route."""
    return types.SimpleNamespace(
        job=name,
        workspace=workspace,
        host_name=LIMITED.host_name,
        target=LIMITED.prefix,
        route=LIMITED.id,
        items=[types.SimpleNamespace(tokens=tokens)],
    )


def other_hosts(reporter):
    """Return the quota hosts of the route but for this one."""
    return {n for n in reporter.hosts_of(LIMITED.name) if n != OWN}


BOTH = {0: (3, {"r": 100}), 1: (3, {"r": 200})}


async def test_counts_go_to_the_quota_hosts_only():
    """Guards against counts that cost each host of the fleet a message."""
    reporter = reporter_of()
    reporter.report()
    sent = reporter.links.take()
    assert set(sent) == other_hosts(reporter)
    assert 1 <= len(sent) <= 2
    assert all(rows == BOTH for rows in sent.values())
    assert not reporter.members.published


async def test_counts_that_rest_are_not_sent_again():
    """Guards against reports that repeat what has been acknowledged."""
    reporter = reporter_of()
    reporter.report()
    reporter.links.take()
    reporter.owners[1] = owner_of(1, 50)
    reporter.report()
    assert set(reporter.links.take()) == other_hosts(reporter)
    reporter.report()
    assert reporter.links.take() == {}


async def test_a_route_without_a_limit_is_not_reported():
    """Guards against messages about counts that nobody compares."""
    reporter = reporter_of((hostkit.BATCH_ROUTE,))
    reporter.report()
    assert reporter.links.take() == {}


@pytest.mark.parametrize("moved", [{"prefix": "/q/"}, {"host_name": "h2"}])
async def test_a_job_counts_against_the_route_that_accepted_it(moved):
    """Guards against jobs that a route added later takes out of the count."""
    own = msgspec.structs.replace(LIMITED, **moved)
    added = msgspec.structs.replace(LIMITED, name="n", waiting_limit=0)
    reporter = reporter_of((own, added))
    reporter.report()
    assert all(rows == BOTH for rows in reporter.links.take().values())
    reporter.links.granted = dict.fromkeys(other_hosts(reporter), False)
    assert not await admits(reporter, job_of(701))


@pytest.mark.parametrize("change", ["lost", "restarted"])
async def test_a_quota_host_that_lacks_counts_receives_them(change):
    """Guards against a limit enforced without the counts of all owners."""
    reporter = reporter_of()
    # The host that reports keeps no quota itself.
    reporter.members.own_name = "none/host"
    name = sorted(other_hosts(reporter))[0]
    reporter.report()
    reporter.links.take()
    reporter.changed.clear()
    if change == "restarted":
        reporter.members.replace(name, started=2)
    else:
        reporter.members.replace(name)
        assert name not in other_hosts(reporter)
    assert reporter.changed.is_set()
    reporter.report()
    sent = reporter.links.take()
    assert sent
    assert all(rows == BOTH for rows in sent.values())
    assert (name in sent) == (change != "lost")


@pytest.mark.parametrize(
    ("tokens", "after_s", "repeated"),
    [
        (50, 0.5, False),
        (50, 1.0, True),
        (50, 500.0, True),
        (0, 0.5, False),
        (0, 1.0, True),
        (0, 29.0, True),
        (0, 500.0, False),
    ],
)
async def test_a_count_is_repeated_in_case_it_was_lost(
    tokens, after_s, repeated
):
    """Guards against a count that stays wrong at a quota host for ever."""
    reporter = reporter_of()
    reporter.report()
    reporter.owners.clear()
    reporter.owners[1] = owner_of(1, tokens)
    reporter.report()
    reporter.links.take()
    reporter.clock.now += after_s
    reporter.report()
    row = {"r": tokens} if tokens else {}
    expected = dict.fromkeys(other_hosts(reporter), {1: (3, row)})
    assert reporter.links.take() == (expected if repeated else {})


@pytest.mark.parametrize(("tokens", "repeats"), [(50, True), (0, False)])
async def test_a_host_with_nothing_waiting_rests(tokens, repeats):
    """Guards against a timer that runs on hosts with nothing to report."""
    reporter = reporter_of()
    reporter.owners.clear()
    reporter.owners[1] = owner_of(1, tokens)
    reporter.report()
    reporter.clock.now += LONG_S
    assert reporter.report() == repeats


async def test_a_change_is_reported_after_an_error():
    """Guards against counts lost as the task begins again."""
    reporter = reporter_of()

    def broken(address, message):
        raise ValueError("fault of the link")

    reporter.links.notify = broken
    reporter.changed.set()
    with pytest.raises(ValueError, match="fault"):
        await reporter.run()
    assert reporter.changed.is_set()


@pytest.mark.parametrize(
    ("silent", "granted", "expected"),
    [
        ((), (True, False), True),
        ((), (False, True), False),
        ((0,), (True, False), False),
        ((0,), (False, True), True),
        # By the share of its partitions, all of them, when both are silent.
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
    assert await admits(reporter, job_of(10)) == expected


@pytest.mark.parametrize(
    ("workspace", "tokens", "fits"),
    [
        ("a", 900, True),
        ("a", 901, False),
        ("b", 800, True),
        ("b", 801, False),
        ("c", 1000, True),
        ("c", 1001, False),
    ],
)
async def test_each_workspace_has_the_whole_limit(workspace, tokens, fits):
    """Guards against a workspace refused for what others have waiting."""
    reporter = reporter_of()
    reporter.members.own_name = "none/host"
    reporter.owners.clear()
    reporter.owners[0] = owner_of(0, 100, "a")
    reporter.owners[1] = owner_of(1, 200, "b")
    reporter.report()
    keepers = {}
    for name, message in reporter.links.sent:
        keepers[name] = reporter_of()
        keepers[name].owners.clear()
        await keepers[name].on_report(None, message)
    reporter.links.hosts = keepers
    assert await admits(reporter, job_of(tokens, "k", workspace)) == fits
    # A job of another workspace has no part in it.
    assert await admits(reporter, job_of(700, "l", "d"))


def silent_reporter():
    """Return a reporter of one of the two partitions, without answers."""
    reporter = reporter_of()
    reporter.members.own_name = "none/host"
    reporter.links.silent = set(reporter.members.members)
    del reporter.owners[1]
    return reporter


@pytest.mark.parametrize(("tokens", "fits"), [(400, True), (401, False)])
async def test_without_a_quota_host_an_owner_keeps_to_its_share(tokens, fits):
    """Guards against owners that each accept as much as the whole limit."""
    # Half of 1000 is its share, of which 100 wait.
    assert await admits(silent_reporter(), job_of(tokens)) == fits


async def test_jobs_accepted_without_a_quota_host_count_at_once():
    """Guards against a share that each of several jobs uses up alone."""
    reporter = silent_reporter()
    assert await admits(reporter, job_of(300))
    assert not await admits(reporter, job_of(300, "l"))


async def test_a_share_does_not_depend_on_counts_of_long_ago():
    """Guards against refusals by counts that no owner reports any more."""
    reporter = silent_reporter()
    row = jobmessages.PartitionBacklog(1, 1, {"r": 900})
    await reporter.on_report(None, jobmessages.BacklogReport((row,)))
    assert await admits(reporter, job_of(200))


@pytest.mark.parametrize("change", ["started again", "just become first"])
async def test_a_quota_host_without_counts_does_not_decide(change):
    """Guards against a limit granted anew at each start of a host."""
    asking, first = reporter_of(), reporter_of()
    asking.members.own_name = "none/host"
    name = asking.hosts_of(LIMITED.name)[0]
    second = asking.hosts_of(LIMITED.name)[1]
    first.members.own_name = name
    first.owners.clear()
    asking.links.hosts = {name: first}
    asking.links.granted = {second: False}
    if change == "started again":
        first.started_at = first.clock.now
    else:
        asking.members.replace(name, started=2)
    # The first, which holds no counts, would grant it.
    assert first.reserve(jobmessages.QuotaAsk("r", "k", 800, 1000))
    assert not await admits(asking, job_of(800))
    for reporter in (asking, first):
        reporter.clock.now += backlog_reporting.MAX_LEARNING_S
    assert await admits(asking, job_of(800))


async def test_a_quota_host_that_was_held_for_dead_is_new_on_its_return():
    """Guards against a host that decides by counts of long ago."""
    asking, first = reporter_of(), reporter_of()
    asking.members.own_name = "none/host"
    first.owners.clear()
    name, second = asking.hosts_of(LIMITED.name)
    first.members.own_name = name
    asking.links.hosts = {name: first}
    asking.links.granted = {second: False}
    member = asking.members.member(name)
    asking.members.replace(name)
    asking.report()
    for reporter in (asking, first):
        reporter.clock.now += LONG_S
    asking.members.members[name] = member
    asking.on_member(member)
    assert not await admits(asking, job_of(800))


async def test_a_quota_host_of_one_route_is_new_to_another():
    """Guards against a host that decides without the counts of a route."""
    for number in range(300):
        # A route whose next first host keeps the quota of another already.
        asking = reporter_of()
        asking.members.own_name = "none/host"
        route = f"route-{number}"
        asking.clock.now = 0.0
        first, second = asking.hosts_of(route)
        known = asking.hosts_of(LIMITED.name)
        asking.clock.now = LONG_S
        asking.members.replace(first)
        new_first, new_second = asking.hosts_of(route)
        if first in known or new_first not in known or new_second != second:
            continue
        assert asking.hosts_to_ask(route) == [second, new_first]
        return
    pytest.fail("no such route among them")


async def test_a_quota_host_that_reads_its_own_partition_does_not_decide():
    """Guards against a limit granted without the tokens of that partition."""
    asking, first = reporter_of(), reporter_of()
    asking.members.own_name = "none/host"
    name, second = asking.hosts_of(LIMITED.name)
    first.members.own_name = name
    first.owners.clear()
    first.owners[1] = owner_of(1, 900)
    first.owners[1].ready = asyncio.Event()
    asking.members.replace(name, started=2)
    asking.hosts_of(LIMITED.name)
    first.started_at = first.clock.now
    asking.links.hosts = {name: first}
    asking.links.granted = {second: False}
    for reporter in (asking, first):
        reporter.clock.now += 2.0
    row = jobmessages.PartitionBacklog(0, 3, {"r": 100})
    await first.on_report(None, jobmessages.BacklogReport((row,)))
    assert not await admits(asking, job_of(500))


async def test_a_partition_that_is_not_read_yet_gives_no_share():
    """Guards against a share whose waiting tokens are not known."""
    reporter = silent_reporter()
    reporter.owners[1] = owner_of(1, 900)
    reporter.owners[1].ready = asyncio.Event()
    assert not await admits(reporter, job_of(500))


async def test_two_hosts_that_start_accept_what_fits():
    """Guards against jobs refused at a start with nothing waiting."""
    hosts = {OWN: reporter_of(), "h1/host": reporter_of()}
    for part, (name, reporter) in enumerate(hosts.items()):
        for other in reporter.members.members.keys() - hosts.keys():
            reporter.members.replace(other)
        reporter.members.own_name = name
        reporter.owners.clear()
        reporter.owners[part] = owner_of(part, 0)
        reporter.started_at = reporter.clock.now
        reporter.clock.now += 0.5
        reporter.links.hosts = hosts
    for reporter in hosts.values():
        reporter.report()
        for name, message in reporter.links.sent:
            await hosts[name].on_report(None, message)
    assert await admits(hosts[OWN], job_of(600))


async def test_what_a_reporter_holds_is_bounded():
    """Guards against memory that grows with each job and change of owner."""
    reporter = reporter_of()
    reporter.links.silent = set(reporter.members.members)
    for number in range(2000):
        reporter.clock.now += 0.1
        ask = jobmessages.QuotaAsk("r", f"k{number}", 0, 1000)
        reporter.reserve(ask)
        reporter.owners[0].waiting_jobs.clear()
        assert await admits(reporter, job_of(1, f"l{number}"))
        asked = jobmessages.QuotaAsk(
            "r", f"m{number}", 1, 0, number % 2, number
        )
        reporter.reserve(asked)
        row = jobmessages.PartitionBacklog(number % 2, number, {"r": 1})
        await reporter.on_report(None, jobmessages.BacklogReport((row,)))
        reporter.report()
    assert len(reporter.quota.reserved["r"]) <= 11
    assert not any(each.open for each in reporter.requests.values())
    assert len(reporter.quota.counts) == 2
    assert all(len(host.sent) <= 2 for host in reporter.reported.values())
    assert [len(hosts) for hosts in reporter.known.values()] == [2]


def fleet_of(*names):
    """Return reporters of a route's quota hosts and of an owner, by name."""
    first, second = reporter_of().hosts_of(LIMITED.name)
    roles = {"first": first, "second": second, "owner": "none/host"}
    fleet = {}
    for role in names:
        fleet[role] = reporter = reporter_of()
        reporter.members.own_name = roles[role]
        reporter.owners.clear()
        if role == "owner":
            reporter.owners[0] = owner_of(0, 0)
    hosts = {roles[role]: reporter for role, reporter in fleet.items()}
    for reporter in fleet.values():
        reporter.links.hosts = hosts
    return fleet


async def deliver(fleet):
    """Deliver what has been sent to the quota hosts."""
    for reporter in fleet.values():
        sent, reporter.links.sent = reporter.links.sent, []
        for name, message in sent:
            host = reporter.links.hosts.get(name)
            if isinstance(message, jobmessages.QuotaGranted):
                await host.on_granted(None, message)
            elif host is not None:
                await host.on_report(None, message)


@pytest.mark.parametrize("after_s", [0.5, 2.0, 500.0])
@pytest.mark.parametrize("reported", [False, True])
async def test_quota_of_a_job_that_may_be_stored_is_not_granted_again(
    after_s, reported
):
    """Guards against jobs beyond a limit while the store is away."""
    fleet = fleet_of("first", "second", "owner")
    owner = fleet["owner"]
    assert await admits(owner, job_of(600))
    if reported:
        owner.report()
        await deliver(fleet)
    for reporter in fleet.values():
        reporter.clock.now += after_s
    other = jobmessages.QuotaAsk("r", "other", 600, 1000, 1, 1, 1)
    assert not fleet["first"].reserve(other)
    fits = msgspec.structs.replace(other, tokens=400)
    assert fleet["first"].reserve(fits)


@pytest.mark.parametrize("reported", [False, True])
async def test_the_next_quota_host_knows_what_has_been_granted(reported):
    """Guards against quota granted twice as its quota host is lost."""
    fleet = fleet_of("first", "second", "owner")
    owner = fleet["owner"]
    assert await admits(owner, job_of(600))
    if reported:
        owner.report()
    await deliver(fleet)
    owner.links.silent = {fleet["first"].members.own_name}
    assert not await admits(owner, job_of(600, "other"))
    assert await admits(owner, job_of(400, "other"))


@pytest.mark.parametrize(
    "end", ["not stored", "request lost", "request cancelled", "owner lost"]
)
async def test_quota_that_is_not_used_is_free_with_the_next_report(end):
    """Guards against jobs refused for a job that is never stored."""
    fleet = fleet_of("first", "second", "owner")
    owner, first = fleet["owner"], fleet["first"]
    ask = first.on_quota

    async def answer(sender, message):
        await ask(sender, message)
        if end == "request cancelled":
            raise asyncio.CancelledError
        raise errors.MessageError("the answer is lost")

    if end.startswith("request"):
        first.on_quota = answer
        owner.links.silent = {fleet["second"].members.own_name}
        with contextlib.suppress(asyncio.CancelledError):
            assert not await admits(owner, job_of(600, "k", "w"))
    else:
        assert await admits(owner, job_of(600, "k", "w"))
    assert first.quota.waiting("r\0w", first.clock.now) == 600
    assert owner.changed.is_set()
    del owner.owners[0].waiting_jobs[1:]
    if end == "owner lost":
        owner.owners[0].epoch += 1
        owner.requests.clear()
    owner.report()
    await deliver(fleet)
    assert [h.quota.waiting("r\0w", 0.0) for h in fleet.values()] == [0] * 3


async def test_the_quota_hosts_of_a_route_stand_in_different_zones():
    """Guards against a limit that nobody keeps once a zone is lost."""
    reporter = reporter_of()
    for number in range(50):
        hosts = reporter.hosts_of(f"route-{number}")
        zones = {
            reporter.members.member(name).availability_zone for name in hosts
        }
        assert len(zones) == len(hosts) == 2


@pytest.mark.parametrize("parts", [2, 16, 96, 960])
async def test_a_quota_host_receives_no_more_reports_with_more_owners(parts):
    """Guards against a quota host whose work grows with the fleet."""
    reporter = reporter_of()
    made = backlog_reporting.BacklogReporter(
        types.SimpleNamespace(
            clock=reporter.clock, part=reporter.parts_of.__getitem__
        ),
        {},
        parts,
    )
    owners_at_most = parts
    received_per_s = owners_at_most / made.interval_s
    assert received_per_s <= backlog_reporting.MAX_REPORTS_PER_S
    # A job is reserved until its owner has reported it.
    assert made.quota.reservation_s > made.interval_s
    # A new quota host is asked first once all have reported, and repeated.
    period_s = made.interval_s + backlog_reporting.REPEAT_INTERVAL_S
    assert made.learning_s > period_s


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


async def test_a_report_to_an_earlier_release_fails_no_other_question(
    monkeypatch,
):
    """Guards against callers' questions lost while two releases run."""
    asking = await test_peers.links_of(test_peers.config_of())
    earlier = await test_peers.links_of(test_peers.config_of())
    # An earlier release cannot read the message, and does not answer it.
    monkeypatch.delitem(messages.KINDS, "job.backlog")
    answer = asyncio.Event()

    async def wait(sender, ping):
        await answer.wait()
        return gossip.Pong(ping.digest)

    earlier.on(gossip.Ping, wait)
    reporter = reporter_of()
    reporter.members.own_name = "none/host"
    name = reporter.hosts_of(LIMITED.name)[0]
    reporter.members.replace(name, peer_address=str(earlier.address))
    reporter.links = asking
    loop = asyncio.get_running_loop()
    try:
        question = loop.create_task(
            asking.ask(earlier.address, gossip.Ping(1, 5), 5.0)
        )
        counts = reporter.counts_by_host()[name]
        reporter.send(name, counts, reporter.clock.now)
        await asking.link(earlier.address).sender
        answer.set()
        assert await question == gossip.Pong(5)
    finally:
        await asking.stop()
        await earlier.stop()
