"""Tests of calls that may run at most once, over real connections."""

import asyncio

import msgspec
import pytest

from camphortray import at_most_once
from camphortray import callrequest
from camphortray import calls
from camphortray import cluster as clusters
from camphortray import config as configs
from camphortray import errors
from camphortray import httpclient
from camphortray import journal
from camphortray import membership
from camphortray import settings
from camphortray import standin_service
from camphortray import tree as trees

ONCE = (("camphortray-idempotent", "false"),)


class World:
    """Two entry hosts before one plain service."""

    def __init__(self, cluster):
        self.cluster = cluster
        self.client = httpclient.HttpClient()
        self.hosts = list(cluster.hosts.values())

    @property
    def faults(self):
        return self.cluster.platform.log.faults

    @property
    def runs(self):
        return self.cluster.plain.runs

    def keeper(self, host=0):
        return self.hosts[host].part("entry", at_most_once.AtMostOnce)

    def introduce(self):
        """Let each host know the other."""
        members = [
            host.part("entry", membership.Membership) for host in self.hosts
        ]
        for one, other in (members, members[::-1]):
            one.put(other.members[other.own_name])

    async def call(
        self, host=0, key="k", body=b"fit", path="dispatch/7?a=b", headers=ONCE
    ):
        """Return status, ``Camphortray-Ran`` and body of one call."""
        shown = [("authorization", f"Bearer {clusters.WORKSPACE_KEY}")]
        if key:
            shown.append(("idempotency-key", key))
        status, answered, data = await self.client.call(
            self.hosts[host].address,
            "POST",
            f"/v1/services/{clusters.PLAIN}/{path}",
            [*shown, *headers],
            body,
        )
        ran = answered.get("camphortray-ran", "")
        return status, ran, msgspec.json.decode(data)

    async def until(self, met):
        """Wait until a stream's record makes something true."""
        changed = asyncio.Event()
        for host in range(len(self.hosts)):
            if "entry" in self.hosts[host].kernels:
                for shard in self.keeper(host).shards:
                    shard.journal.listen(lambda _: changed.set())
        async with asyncio.timeout(10):
            while not met():
                changed.clear()
                await changed.wait()


@pytest.fixture
async def world(monkeypatch):
    monkeypatch.setattr(at_most_once, "CLAIM_S", 0.5)
    monkeypatch.setattr(at_most_once, "PAUSE_S", 0.05)
    monkeypatch.setattr(journal, "READ_BACK_S", 0.05)
    monkeypatch.setattr(journal, "MAX_PAUSE_S", 0.1)
    cluster = clusters.Cluster(engines=1, hosts=2)
    async with cluster:
        made = World(cluster)
        for shard in made.keeper(0).shards + made.keeper(1).shards:
            await shard.journal.caught_up.wait()
        yield made
        await made.client.close()


async def test_a_resend_to_any_host_gets_the_kept_answer(world):
    # The caller got no answer and asks again, there or elsewhere.
    status, _, first = await world.call()
    assert (status, first["path"]) == (200, "/dispatch/7")
    for host in (0, 1):
        await world.until(lambda: kept(world, "k"))
        assert await world.call(host) == (200, "", first)
    status, ran, refusal = await world.call(1, body=b"other")
    assert (status, ran) == (409, "no")
    assert refusal["error"]["code"] == "other_request"
    assert world.runs == {"k": 1}


@pytest.mark.parametrize("host", [0, 1])
async def test_a_resend_shares_the_end_of_a_call_under_way(world, host):
    # The caller loses patience while the service is still at work and
    # asks again, there or elsewhere. Both get the one answer; before, the
    # second was told "unknown" although its answer was about to come.
    world.introduce()
    world.cluster.plain.faults.set("delay_s", 0.3)
    first = asyncio.ensure_future(world.call())
    while not world.runs:
        await asyncio.sleep(0)
    second = await world.call(host)
    assert second == await first
    assert second[0] == 200 and world.runs == {"k": 1}


async def test_a_resend_is_not_held_back_for_an_answer_nobody_has(world):
    # The service ran the call and its answer was lost. The claimer knows
    # that none will come, so a resend elsewhere is told so at once.
    world.introduce()
    world.cluster.plain.faults.set("lose_answers", 1)
    assert (await world.call())[:2] == (502, "unknown")
    async with asyncio.timeout(at_most_once.RESEND_S / 2):
        assert (await world.call(1))[:2] == (409, "unknown")
    assert world.runs == {"k": 1}


async def settled(keeper):
    """Wait until the fate of all claims given up is known."""
    async with asyncio.timeout(10):
        while keeper.given_up:
            await asyncio.wait(set(keeper.tasks))


def kept(world, key, service=clusters.PLAIN):
    """Return whether every host has read the answer of a call."""
    name = f"{clusters.WORKSPACE}/{service}/{key}"
    return all(
        any(
            name in shard.fold.calls and shard.fold.calls[name].answer
            for shard in host.part("entry", at_most_once.AtMostOnce).shards
        )
        for host in world.hosts
        if "entry" in host.kernels
    )


@pytest.mark.parametrize(
    ("key", "path", "headers", "status"),
    [
        ("", "dispatch", ONCE, 400),
        ("", "dispatch", (), 400),
        ("k", "dispatch", (), 200),
        ("", "look", (), 200),
        ("", "look", (("camphortray-idempotent", "x"),), 400),
    ],
)
async def test_route_and_caller_say_what_may_not_repeat(
    world, key, path, headers, status
):
    got, ran, _ = await world.call(key=key, path=path, headers=headers)
    assert (got, ran) == (status, "no" if status == 400 else "")
    claimed = sum(
        len(s.records)
        for name, s in world.cluster.platform.log.streams.items()
        if name.startswith("calls.")
        for r in s.records
        if b"call.claim" in r.body
    )
    assert bool(claimed) == (status == 200 and path == "dispatch")


@pytest.mark.parametrize(
    "fault",
    [
        {"log_lose_answers": 2},
        {"log_lose_before": 2},
    ],
)
async def test_lost_answers_of_the_log_do_no_harm(world, fault):
    # The log's answer to a claim is lost, after or before it took it.
    for name, value in fault.items():
        world.faults.set(name, value)
    assert (await world.call())[0] == 200
    assert world.runs == {"k": 1}


async def test_an_outage_refuses_as_not_run_and_a_resend_runs(world):
    # The claim cannot be read back. The caller is told "not run" and it
    # is: nothing reaches the service, also not when the claim lands
    # later; then it is given back, and a resend runs.
    world.faults.set("log_down", True)
    assert (await world.call())[:2] == (503, "no")
    assert not world.runs
    world.faults.set("log_down", False)
    await settled(world.keeper())
    assert (await world.call(1))[0] == 200
    assert world.runs == {"k": 1}


async def test_a_claim_that_lands_after_giving_up_is_given_back(world):
    # The log takes the claim, but cannot be read until the host has told
    # its caller "not run". The late claim must not block a resend.
    keeper = world.keeper()
    request = callrequest.CallRequest.of("w", "s", "k", 60, b"body")
    shard = keeper.shard_of(request)
    await shard.journal.caught_up.wait()
    await shard.journal.stop()
    sent = []

    async def send():
        sent.append(1)
        return calls.Answer(200, (), b"")

    with pytest.raises(errors.Refused) as caught:
        await keeper.run(request, send)
    assert caught.value.ran == "no" and not sent
    other = world.keeper(1)
    with pytest.raises(errors.Refused) as caught:
        await other.run(request, send)
    assert caught.value.ran == "unknown" and not sent
    shard.journal.start()
    await settled(keeper)
    await world.until(
        lambda: request.name not in other.shard_of(request).fold.calls
    )
    assert (await other.run(request, send)).status == 200
    assert sent == [1]


@pytest.mark.parametrize(
    ("fault", "first", "again"),
    [
        ({"lose_answers": 1}, (502, "unknown"), (409, "unknown")),
        ({"lose_before": 1}, (502, "unknown"), (409, "unknown")),
        ({"drain": True}, (503, "no"), (200, "")),
    ],
)
async def test_a_failed_call_is_never_sent_twice(world, fault, first, again):
    # The service breaks off after or before it ran, which looks alike
    # from outside; or it says that it did not run, and a resend may.
    for name, value in fault.items():
        world.cluster.plain.faults.set(name, value)
    got = (await world.call())[:2]
    assert got[1] == first[1] and got[0] in (first[0], 502)
    world.cluster.plain.faults.set("drain", False)
    for host in world.hosts:
        host.part("entry", at_most_once.membership.Membership).publish(
            "upstream-leaving", f"{clusters.PLAIN}-0", False
        )
    await settled(world.keeper())
    assert (await world.call(1))[:2] == again
    assert world.runs["k"] <= 1


async def test_a_host_lost_in_the_middle_leaves_unknown(world):
    # The host is lost after dispatch, before the answer is kept. The
    # resend is told "unknown" by the other host: it may have run.
    world.cluster.plain.faults.set("delay_s", 30.0)
    task = asyncio.ensure_future(world.call())
    while not world.runs:
        await asyncio.sleep(0)
    again = asyncio.ensure_future(world.call())
    await world.hosts[0].stop("entry")
    await asyncio.wait({task, again})
    assert task.exception() and again.exception()
    assert (await world.call(1))[:2] == (409, "unknown")
    assert world.runs == {"k": 1}


async def test_a_caller_who_goes_away_finds_the_answer_later(world):
    # The caller closes while the service works; the call goes on and the
    # answer is kept for the resend.
    world.cluster.plain.faults.set("delay_s", 0.2)
    task = asyncio.ensure_future(world.call())
    while not world.runs:
        await asyncio.sleep(0)
    task.cancel()
    await asyncio.wait({task})
    await world.until(lambda: kept(world, "k"))
    assert (await world.call(1))[0] == 200
    assert world.runs == {"k": 1}


async def test_claims_go_by_the_first_host_and_directly_without_it(
    world, monkeypatch
):
    # Hosts hand claims to the host that bundles them; when that one is
    # gone but still listed, they append themselves under the same id.
    # None is given up here, as it is beside load within the hurried time of
    # the other tests; the call is then refused as not run, which it was not.
    monkeypatch.setattr(at_most_once, "CLAIM_S", 60.0)
    world.introduce()
    bundlers = [world.keeper(n).courier.bundlers for n in (0, 1)]
    for mine in bundlers:
        mine.clear()
    await asyncio.gather(*(world.call(n % 2, f"k{n}") for n in range(12)))
    assert set(world.runs.values()) == {1} and len(world.runs) == 12
    assert bundlers[0] or bundlers[1]
    assert not set(bundlers[0]) & set(bundlers[1])
    await world.hosts[1].stop("entry")
    for number in range(4):
        assert (await world.call(0, f"later{number}"))[0] == 200
    assert world.runs["later3"] == 1


async def test_expired_calls_are_forgotten_by_the_owner(world):
    assert (await world.call())[0] == 200
    await world.until(lambda: kept(world, "k"))
    for host in (0, 1):
        for shard in world.keeper(host).shards:
            shard.clock.skew += 2 * settings.key_for("call.keep_s").default
            await shard.forget()
    await world.until(
        lambda: not any(s.fold.calls for s in world.keeper().shards)
    )


@pytest.mark.parametrize("stream", [False, True])
async def test_a_completion_may_be_marked_to_run_once(world, stream):
    # A question that may not repeat is claimed as a call is. The resend,
    # to the other host, gets the same bytes and no engine sees it.
    body = {
        "model": clusters.MODEL,
        "max_tokens": 4,
        "stream": stream,
        "messages": [{"role": "user", "content": "Book a fitter"}],
    }
    headers = [
        ("authorization", f"Bearer {clusters.WORKSPACE_KEY}"),
        ("idempotency-key", "q"),
        *ONCE,
    ]
    answers = []
    for host in world.hosts:
        answers.append(
            await world.client.call(
                host.address,
                "POST",
                "/v1/chat/completions",
                headers,
                msgspec.json.encode(body),
            )
        )
        await world.until(lambda: kept(world, "q", clusters.SERVICE))
    (first, again) = [(status, data) for status, _, data in answers]
    assert first == again and first[0] == 200
    assert sum(len(e.seen) for e in world.cluster.engines.values()) == 1


@pytest.mark.parametrize(
    ("path", "fault", "expected", "runs"),
    [
        # May repeat: tried elsewhere, also after it may have run.
        ("look", "lose_answers", (200, ""), 2),
        ("look", "lose_before", (200, ""), 1),
        # May not: the first that may have run it is the last.
        ("dispatch", "lose_answers", (502, "unknown"), 1),
        ("dispatch", "lose_before", (502, "unknown"), 0),
        # Not run by the word of the service: tried elsewhere by both.
        ("look", "drain", (200, ""), 1),
        ("dispatch", "drain", (200, ""), 1),
    ],
)
async def test_only_what_may_repeat_is_tried_again(
    world, path, fault, expected, runs
):
    second = standin_service.ServiceStandin(clusters.PLAIN)
    await second.start(configs.Address("127.0.0.1", 0))
    node = f"{clusters.REGION}/{clusters.PLAIN}"
    prefix = f"upstream.{clusters.PLAIN}-1."
    changed = {
        prefix + "address": str(second.server.address),
        prefix + "plugin": "http",
    }
    tree = world.hosts[0].part("entry", trees.Tree)
    seen = asyncio.Event()
    tree.listen(
        lambda view: (
            len(view.services[clusters.PLAIN].upstreams) == 2 and seen.set()
        )
    )
    world.cluster.publish(node, changed)
    async with asyncio.timeout(10):
        await seen.wait()
    both = (world.cluster.plain, second)
    # Whichever is tried first fails; the other is well again.
    count = 1
    for each in both:
        each.faults.set(fault, count)
    keep = [each.faults for each in both]
    for mine, other in (keep, keep[::-1]):
        heal(mine, other, fault)
    status, ran, _ = await world.call(path=path, headers=())
    await second.stop()
    assert (status, ran) == expected
    assert sum(sum(each.runs.values()) for each in both) == runs


def heal(mine, other, fault):
    """Let a fault that struck here not strike there as well."""
    values = mine.values

    class Struck(dict):
        def __getitem__(self, name):
            value = super().__getitem__(name)
            if name == fault and value:
                other.values[fault] = 0
            return value

    mine.values = Struck(values)
