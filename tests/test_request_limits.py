"""Tests of the limits on the online requests of workspaces."""

import asyncio
import collections
import functools

import pytest

from camphortray import config as configs
from camphortray import errors
from camphortray import request_limits
from camphortray import routemap
from camphortray import slot_client
from camphortray import slot_scheduler
from tests import costrig
from tests import platformkit
from tests import slotclientkit

WINDOW_S = 5.0
LIMIT = routemap.RateLimit(5.0, 5.0)
# What may run in any window, as the platform's rules have it.
EXCESS, SLACK = 0.1, 20


def limits_since(since=-WINDOW_S):
    """Return limits that began to count at a time."""
    return request_limits.RequestLimits(WINDOW_S, since)


def ask(limits, name, at, share=1.0, limit=LIMIT):
    """Ask for the admission of one request of a workspace."""
    request = request_limits.Admission(name, "w", at)
    return limits.admit(request, limit, share)


def admitted(limits, times, **fields):
    """Return at which of some times a request is admitted."""
    return [
        at
        for number, at in enumerate(times)
        if not ask(limits, f"r{number}", at, **fields)
    ]


def most_in_window(times):
    """Return the largest number of times in any window."""
    times = sorted(times)
    return max(
        (
            sum(start <= at < start + WINDOW_S for at in times)
            for start in times
        ),
        default=0,
    )


@pytest.mark.parametrize(
    ("per_s", "most"), [(1.0, 20), (5.0, 100), (5.8, 116), (40.0, 120)]
)
def test_a_limit_admits_what_it_allows_and_no_more(per_s, most):
    times = [number / per_s for number in range(int(20 * per_s))]
    found = admitted(limits_since(), times)
    assert len(found) == most
    assert most_in_window(found) <= LIMIT.requests_in(WINDOW_S)


@pytest.mark.parametrize(
    ("share", "most"), [(1.0, 30), (0.5, 15), (0.02, 1), (0.0, 1)]
)
def test_a_share_of_a_limit_admits_that_share(share, most):
    assert len(admitted(limits_since(), [1.0] * 40, share=share)) == most


def test_a_lower_limit_counts_what_was_admitted_before_it():
    limits = limits_since()
    assert len(admitted(limits, [1.0] * 30)) == 30
    lower = routemap.RateLimit(1.0, 1.0)
    assert admitted(limits, [2.0, 5.9, 6.1], limit=lower) == [6.1]


def test_refused_requests_are_told_different_times():
    """Guards against refused requests that all return at the same time."""
    limits = limits_since()
    times = [number / 10 for number in range(30)]
    assert len(admitted(limits, times)) == 30
    waits = [
        ask(limits, f"late{number}", 3.0).retry_after_s for number in range(3)
    ]
    assert waits == pytest.approx([2.0, 2.1, 2.2])
    # Each finds the room that it was told of.
    for number, wait_s in enumerate(waits):
        assert not ask(limits, f"again{number}", 3.001 + wait_s)


def test_a_request_refused_for_another_reason_is_not_counted():
    """Guards against limits used up by requests that have not run."""
    limits = limits_since()
    admitted(limits, [1.0] * 30)
    limits.withdraw("r3", "w")
    assert not ask(limits, "next", 1.0)
    assert ask(limits, "another", 1.0)


def test_a_new_coordinator_admits_the_burst_and_then_the_rate():
    """Guards against a whole window admitted anew after each change."""
    limits = limits_since(10.0)
    times = [10.0 + number / 50 for number in range(250)]
    found = admitted(limits, times)
    for at in (10.0, 11.0, 12.0, 14.0):
        count = sum(time <= at for time in found)
        assert count <= LIMIT.requests_in(at - 10.0) + 1
    assert len(found) == 30


def test_a_limit_below_one_request_a_window_admits_one():
    """Guards against an error in place of a refusal at a very low limit."""
    limit = routemap.RateLimit(0.1)
    times = [0.0, 1.0, 4.9, 5.1]
    assert admitted(limits_since(), times, limit=limit) == [0.0, 5.1]


@pytest.mark.parametrize(
    ("since", "share", "known", "certain"),
    [
        (-WINDOW_S, 1.0, 0, True),
        (-WINDOW_S, 0.5, 0, False),
        (-WINDOW_S, 0.5, 30, True),
        (0.0, 1.0, 0, False),
        (0.0, 1.0, 30, True),
    ],
)
def test_a_refusal_says_whether_the_limit_is_reached(
    since, share, known, certain
):
    """Guards against 429 to a workspace that may be within its limit."""
    limits = limits_since(since)
    limits.merge(
        [request_limits.Admission(f"k{n}", "w", 0.5) for n in range(known)],
        1.0,
    )
    admitted(limits, [1.0] * 30, share=share)
    assert ask(limits, "next", 1.0, share).certain == certain


def test_an_id_that_is_used_again_counts_again():
    """Guards against a limit evaded by requests that share one id."""
    limits = limits_since()
    for _ in range(30):
        assert not ask(limits, "same", 1.0)
    assert ask(limits, "same", 1.0)
    limits.withdraw("same", "w")
    assert not ask(limits, "same", 1.0)
    assert ask(limits, "same", 1.0)


def test_requests_of_other_coordinators_count_once():
    """Guards against a report that is repeated and counts twice."""
    limits = limits_since()
    known = [
        request_limits.Admission(f"k{number}", "w", 1.0)
        for number in range(29)
    ]
    limits.merge(known, 2.0)
    limits.merge(known, 2.5)
    assert len(admitted(limits, [3.0, 3.0, 6.1])) == 2


@pytest.mark.parametrize(
    ("lost_s", "after_s", "room"),
    [(0.3, 0.0, 4), (0.3, 0.6, 10), (0.9, 0.6, 10), (2.0, 0.0, 5)],
)
def test_a_standby_goes_on_with_what_it_was_sent(lost_s, after_s, room):
    """Guards against a window that begins anew with the next coordinator."""
    first, standby = limits_since(0.0), limits_since(5.0)
    first.begin(0.0)
    times = [5.2 + number / 20 for number in range(20)]
    assert admitted(first, times) == times
    standby.apply(first.take_changes(), first.since, 6.2)
    standby.begin(6.2 + lost_s)
    at = 6.2 + lost_s + after_s
    assert len(admitted(standby, [at] * 20)) == room
    assert first.take_changes() == []


def test_a_standby_forgets_what_was_withdrawn():
    """Guards against refusals for requests that never ran."""
    first, standby = limits_since(), limits_since()
    first.begin(-WINDOW_S)
    admitted(first, [1.0] * 30)
    standby.apply(first.take_changes(), first.since, 1.0)
    first.withdraw("r7", "w")
    standby.apply(first.take_changes(), first.since, 1.1)
    assert len(standby.everything()) == 29


def test_coordinators_do_not_echo_each_others_changes():
    """Guards against changes that multiply between hosts that both admit."""
    sides = [limits_since(), limits_since()]
    for limits in sides:
        limits.begin(-WINDOW_S)
    for number in range(10):
        at = 1.0 + number / 10
        sides[0].admit(request_limits.Admission(f"r{number}", "w", at), LIMIT)
        sides[0].withdraw(f"r{number - 1}", "w")
        sent = [limits.take_changes() for limits in sides]
        assert [len(changes) <= 2 for changes in sent] == [True, True]
        sides[1].apply(sent[0], -WINDOW_S, at)
        sides[0].apply(sides[1].everything() + sent[1], -WINDOW_S, at)
    assert len(sides[1].everything()) == 1


def test_a_share_is_not_used_up_by_what_others_admitted():
    """Guards against refusals by the next coordinator within the limit."""
    limits = limits_since()
    others = [request_limits.Admission(f"k{n}", "w", 1.0) for n in range(20)]
    limits.merge(others, 1.0)
    assert len(admitted(limits, [1.0] * 30, share=0.2)) == 6


def test_a_host_reports_to_each_new_coordinator_once():
    recent = request_limits.RecentAdmissions(WINDOW_S)
    first = request_limits.Admission("r1", "w", 1.0)
    second = request_limits.Admission("r2", "w", 3.0)
    recent.add(first, "lm", {"host-1"})
    recent.add(second, "lm", {"host-1"})
    assert recent.unknown_to("host-1", "lm", 4.0) == []
    assert recent.unknown_to("host-2", "other", 4.0) == []
    assert recent.unknown_to("host-2", "lm", 4.0) == [first, second]
    recent.on_reported("host-2", [first])
    assert recent.unknown_to("host-2", "lm", 4.0) == [second]
    assert recent.unknown_to("host-3", "lm", 6.5) == [second]
    assert recent.unknown_to("host-3", "lm", 8.0) == []
    assert not recent.known_to


# Whole hosts.

HOSTS = 9
# Statuses that promise that a request has not run.
REFUSED = (429, 503)
LARGE_LIMIT = routemap.RateLimit(40.0, 100.0)


def most_of(limit):
    """Return what may run in any window under the platform's rules."""
    return limit.requests_in(WINDOW_S) * (1 + EXCESS) + SLACK


def tenants(limit):
    """Return the tenants of a configuration with one limited workspace."""
    return [
        {
            "name": "home",
            "apiKeys": ["k"],
            "ratePerS": limit.per_s,
            "burst": limit.burst,
        }
    ]


class Callers:
    """Sends requests of one workspace to the hosts of a fleet.

    Attributes:
      statuses: Number of answers by status.
      sent_at: Time at which each request that may have run was sent.
      paths: Prefixes of the routes that requests go to in turn.
    """

    def __init__(self, fleet):
        self.fleet = fleet
        self.statuses = collections.Counter()
        self.sent_at = []
        self.tasks = []
        self.paths = [platformkit.STREAM_PREFIX]

    async def send(self, seconds, per_s, host_of):
        """Send requests at a rate, each to the host chosen for its number."""
        for number in range(int(seconds * per_s)):
            host = host_of(number)
            name = f"q{len(self.tasks)}"
            self.tasks.append(
                self.fleet.loop.create_task(self.call(host, name))
            )
            await asyncio.sleep(1 / per_s)

    async def call(self, host, name):
        """Send one request."""
        at = self.fleet.loop.now
        path = self.paths[len(self.tasks) % len(self.paths)] + name
        headers = [("Attempt-Id", name), ("Key", "k")]
        try:
            async with asyncio.timeout(5.0):
                status, _, _ = await host.call("POST", path, headers)
        except (errors.CamphortrayError, OSError, TimeoutError):
            status = 0
        self.statuses[status] += 1
        if status not in REFUSED:
            self.sent_at.append(at)

    async def finish(self):
        """Wait for all answers."""
        await asyncio.gather(*self.tasks)


MOST = most_of(LIMIT)


def played(monkeypatch, play, hosts=HOSTS, limit=LIMIT):
    """Play callers on a fleet whose workspace is limited."""
    callers = []

    async def work():
        async with costrig.Fleet(hosts, 2, 1) as fleet:
            await fleet.store.configure(2, tenants=tenants(limit))
            await asyncio.sleep(3.0)
            callers.append(Callers(fleet))
            await play(fleet, callers[0])
            await callers[0].finish()

    costrig.run(work, monkeypatch)
    return callers[0]


def spread(fleet):
    """Return a choice that goes round all hosts."""
    return lambda number: fleet.hosts[number % len(fleet.hosts)]


def one_host(fleet):
    """Return a choice of always the same host."""
    return lambda number: fleet.hosts[0]


def changing(fleet):
    """Return a choice that moves on to another host now and then."""
    return lambda number: fleet.hosts[number // 20 % len(fleet.hosts)]


def check_statuses(callers, refused):
    """Check whether requests were refused for their workspace's limit."""
    if refused:
        # 503 for as long as a new coordinator cannot tell.
        assert {200, 429} <= set(callers.statuses) <= {200, 429, 503}
    else:
        assert set(callers.statuses) == {200}


def coordinator_of(fleet):
    """Return the host that grants the slots of the service."""
    part = fleet.hosts[0].part(slot_client.SlotClient)
    name = slotclientkit.coordinator(part)
    return next(
        host
        for host in fleet.hosts
        if host.part(slot_client.SlotClient).own_name == name
    )


@pytest.mark.parametrize("choice", [spread, one_host, changing])
@pytest.mark.parametrize(("per_s", "refused"), [(4, False), (37, True)])
def test_hosts_keep_a_limit_together(monkeypatch, choice, per_s, refused):
    """Guards against a limit that each host counts by itself."""

    async def play(fleet, callers):
        await callers.send(8, per_s, choice(fleet))

    callers = played(monkeypatch, play)
    assert most_in_window(callers.sent_at) <= MOST
    check_statuses(callers, refused)
    if refused:
        assert callers.statuses[200] >= LIMIT.requests_in(8 - WINDOW_S)


@pytest.mark.parametrize(("per_s", "refused"), [(4, False), (37, True)])
def test_a_limit_covers_all_services(monkeypatch, per_s, refused):
    """Guards against a limit that each service counts by itself."""
    routes = [
        platformkit.route(
            f"r-{service}", f"/{service}/", "streaming", service=service
        )
        for service in ("first", "second")
    ]

    async def play(fleet, callers):
        for number, engine in enumerate(fleet.engines.values()):
            engine.entry = functools.partial(
                engine.entry, service=("first", "second")[number % 2]
            )
        await fleet.store.configure(3, routes, tenants(LIMIT))
        await asyncio.sleep(3.0)
        callers.paths = ["/first/", "/second/"]
        await callers.send(8, per_s, spread(fleet))

    callers = played(monkeypatch, play)
    assert most_in_window(callers.sent_at) <= MOST
    check_statuses(callers, refused)


@pytest.mark.parametrize("per_s", [4, 37])
def test_a_limit_outlives_the_loss_of_its_coordinator(monkeypatch, per_s):
    """Guards against a new coordinator that has counted nothing."""

    async def play(fleet, callers):
        await callers.send(4, per_s, spread(fleet))
        await fleet.stop(coordinator_of(fleet))
        await callers.send(5, per_s, spread(fleet))

    callers = played(monkeypatch, play)
    assert most_in_window(callers.sent_at) <= MOST
    if per_s < LIMIT.per_s:
        assert set(callers.statuses) == {200}


async def test_a_request_that_got_no_slot_does_not_count():
    """Guards against refusals for requests that were never sent on."""
    async with platformkit.Platform(hosts=2) as platform:
        await platform.store.configure(2, tenants=tenants(LIMIT))
        coordinator, other = slotclientkit.roles(platform)
        client = other.part(slot_client.SlotClient)
        await platform.until(
            lambda: all(
                host.part(slot_client.SlotClient)
                .active_config.access.limit_of("home")
                .per_s
                for host in platform.hosts
            )
        )
        served = coordinator.part(slot_client.SlotClient).served
        limits = served.coordinator(platformkit.SERVICE).limits

        def request(name, workspace=""):
            now = client.clock.monotonic()
            want = slot_scheduler.SlotRequest(
                name,
                client.own_name,
                True,
                asked_at=now,
                objective_s=9.0,
                workspace=workspace,
                counts=bool(workspace),
            )
            return client.acquire(platformkit.SERVICE, want)

        for number in range(16):
            await request(f"w{number}")
        waiting = asyncio.create_task(request("q", "home"))
        await platform.until(limits.everything)
        waiting.cancel()
        await platform.until(lambda: not limits.everything())


def test_a_former_coordinator_keeps_no_changes(monkeypatch):
    """Guards against memory that grows with each request counted elsewhere."""

    async def play(fleet, callers):
        served = [h.part(slot_client.SlotClient).served for h in fleet.hosts]
        for each in served:
            each.coordinator(platformkit.SERVICE)
        await callers.send(8, 4, spread(fleet))
        limits = [
            each.standbys.limits_of(platformkit.SERVICE) for each in served
        ]
        callers.kept = [len(each.changes) for each in limits]

    callers = played(monkeypatch, play)
    assert max(callers.kept) <= 4


@pytest.mark.parametrize("lost", [4])
@pytest.mark.parametrize("per_s", [36, 160])
def test_a_limit_outlives_the_loss_of_several_hosts(monkeypatch, per_s, lost):
    """Guards against admissions that are lost with those who knew of them."""

    async def play(fleet, callers):
        await callers.send(6, per_s, spread(fleet))
        coordinator = coordinator_of(fleet)
        others = [host for host in fleet.hosts if host is not coordinator]
        for host in [coordinator, *others[: lost - 1]]:
            await fleet.stop(host)
        await callers.send(4, per_s, spread(fleet))
        await fleet.start(
            [n for n in fleet.nodes if n not in [h.node for h in fleet.hosts]]
        )
        await callers.send(3, per_s, spread(fleet))

    callers = played(monkeypatch, play, 20, LARGE_LIMIT)
    assert most_in_window(callers.sent_at) <= most_of(LARGE_LIMIT)
    if per_s < LARGE_LIMIT.per_s:
        assert not set(REFUSED) & set(callers.statuses)


@pytest.mark.parametrize(("per_s", "refused"), [(4, False), (37, True)])
def test_a_limit_holds_as_all_hosts_start_again(monkeypatch, per_s, refused):
    """Guards against limits that begin anew with all hosts."""

    async def play(fleet, callers):
        await callers.send(4, per_s, spread(fleet))
        await fleet.herd(2)
        await callers.send(4, per_s, spread(fleet))

    callers = played(monkeypatch, play)
    assert most_in_window(callers.sent_at) <= MOST
    assert bool({429, 503} & set(callers.statuses)) == refused


def test_a_limit_stays_whole_as_a_host_is_lost(monkeypatch):
    """Guards against 503 to a workspace over its limit for a lost host."""

    async def play(fleet, callers):
        await callers.send(5, 37, spread(fleet))
        lost = next(h for h in fleet.hosts if h is not coordinator_of(fleet))
        await fleet.stop(lost)
        await asyncio.sleep(WINDOW_S)
        callers.statuses.clear()
        await callers.send(5, 37, spread(fleet))

    callers = played(monkeypatch, play, hosts=11)
    assert most_in_window(callers.sent_at) <= MOST
    assert set(callers.statuses) == {200, 429}


@pytest.mark.parametrize(("per_s", "refused"), [(2, False), (37, True)])
def test_two_sides_of_a_partition_keep_a_limit_together(
    monkeypatch, per_s, refused
):
    """Guards against a coordinator on each side that admits it all."""

    async def play(fleet, callers):
        await callers.send(3, per_s, spread(fleet))
        separate(fleet, fleet.nodes[:3], fleet.nodes[3:])
        await callers.send(12, per_s, spread(fleet))

    callers = played(monkeypatch, play)
    assert most_in_window(callers.sent_at) <= MOST
    if refused:
        assert 429 in callers.statuses
    else:
        assert set(callers.statuses) == {200}


def separate(fleet, side, other):
    """Cut the hosts on two sides off from each other."""
    for near, far in ((side, other), (other, side)):
        for host in near:
            for node in far:
                address = configs.Address.from_text(node.listen.control)
                fleet.loop.cut(host.node_name, address.port)
