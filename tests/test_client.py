"""Tests of the callers' library."""

import asyncio
import random

import msgspec
import pytest

from camphortray import client as clients
from camphortray import cluster as clusters
from camphortray import config as configs
from camphortray import endpoint_cache
from camphortray import errors
from camphortray import httpserver

PLANS = {
    "post": endpoint_cache.Plan("POST"),
    "declared": endpoint_cache.Plan("POST", True),
    "get": endpoint_cache.Plan("GET"),
}


@pytest.mark.parametrize(
    ("plan", "status", "ran", "expected"),
    [
        ("post", 0, "no", True),
        ("post", 0, "unknown", False),
        ("post", 503, "no", True),
        ("post", 503, "unknown", False),
        ("post", 400, "no", False),
        ("post", 409, "no", False),
        ("declared", 0, "unknown", True),
        ("declared", 502, "unknown", True),
        ("declared", 500, "unknown", False),
        ("get", 0, "unknown", True),
        ("get", 404, "no", False),
    ],
)
def test_only_what_did_not_run_or_may_repeat_is_sent_again(
    plan, status, ran, expected
):
    assert endpoint_cache.may_resend(PLANS[plan], status, ran) == expected


@pytest.mark.parametrize(
    ("told", "low", "high"), [("2", 2, 3), ("", 0, 0), ("soon", 0.1, 0.15)]
)
def test_a_pause_is_never_shorter_than_asked_for(told, low, high):
    rng = random.Random(1)
    pauses = [endpoint_cache.pause_before(told, 1, rng) for _ in range(50)]
    assert low <= min(pauses) and max(pauses) <= high
    assert len(set(pauses)) > 1 or high == 0


def test_addresses_are_kept_refreshed_ahead_and_put_aside():
    cache = endpoint_cache.EndpointCache(["seed"], random.Random(1))
    assert cache.choose(frozenset(), 0.0) == "seed"
    cache.take(["a", "b", "c", "d"], 30.0, 0.0)
    assert 15.0 <= cache.refresh_at <= 24.0
    assert cache.choose(frozenset(), 1.0) == "a"
    cache.in_flight["a"] += 1
    assert cache.choose(frozenset(), 1.0) == "b"
    cache.failed("b", 1.0)
    assert cache.choose(frozenset({"c"}), 2.0) == "d"
    assert cache.choose(frozenset({"a", "c", "d"}), 2.0) == "b"
    assert cache.choose(frozenset("abcd"), 2.0) is None
    assert cache.choose(frozenset(), 31.0) == "seed"
    assert cache.sources(2.0)[-1] == "b"


class Scripted(httpserver.Handler):
    """A host that answers as its script says, and counts."""

    def __init__(self, script=()):
        self.script = list(script)
        self.bodies = []
        self.hosts = []

    async def handle(self, request, response):
        if request.path == "/v1/hosts":
            response.send_json(
                200,
                {"hosts": [{"address": a} for a in self.hosts], "keep_s": 30},
            )
            return
        self.bodies.append(await request.body())
        step = self.script.pop(0) if self.script else "good"
        if step == "break":
            response.abort()
        elif step == "cut":
            response.start(200, [])
            response.write(b"half")
            await response.flush()
            await asyncio.sleep(0)
            response.abort()
        elif step == "good":
            response.send(200, b"good")
        else:
            status, ran = step
            raise errors.Refused(status, "x", "x", ran=ran)


async def start(scripts):
    servers = []
    for script in scripts:
        server = httpserver.HttpServer(Scripted(script))
        await server.start(configs.Address("127.0.0.1", 0))
        servers.append(server)
    for server in servers:
        server.handler.hosts = [str(s.address) for s in servers]
    return servers


@pytest.mark.parametrize(
    ("first", "options", "sent", "outcome"),
    [
        ("good", {}, (1, 0), 200),
        ((503, "no"), {}, (1, 1), 200),
        ((503, "unknown"), {}, (1, 0), 503),
        ((503, "unknown"), {"idempotent": True}, (1, 1), 200),
        ((400, "no"), {}, (1, 0), 400),
        ("break", {}, (1, 0), "broken"),
        ("break", {"idempotent": True}, (1, 1), 200),
        ("break", {"idempotency_key": "k"}, (1, 1), 200),
        ("cut", {"idempotent": True}, (1, 0), "cut"),
    ],
)
async def test_what_is_sent_where(first, options, sent, outcome):
    # A host refuses, breaks off before its answer, or cuts it. What may
    # have run goes nowhere else unless it may be repeated, and an answer
    # of which a part has come is never begun again unseen.
    servers = await start([[first], []])
    client = clients.Client([str(servers[0].address)], seed=1)
    async with client:
        try:
            answer = await client.request("POST", "/x", b"body", **options)
            status = answer.status
            body = await answer.body()
            assert status != 200 or body == b"good"
        except errors.UpstreamBroken as error:
            assert error.ran
            status = "cut" if first == "cut" else "broken"
        assert status == outcome
        counts = tuple(len(s.handler.bodies) for s in servers)
        assert counts == sent
        assert not any(client.endpoints.in_flight.values())
    for server in servers:
        await server.stop()


async def test_what_may_run_once_trusts_no_kept_connection():
    # A host closes a kept connection just as the caller sends its next
    # request. On that connection nobody could tell whether it had run, so
    # a request that may run only once goes over a new one.
    servers = await start([[]])
    async with clients.Client([str(servers[0].address)], seed=1) as client:
        for _ in range(2):
            answer = await client.request("POST", "/x", b"body")
            assert await answer.body() == b"good"
            for connection in servers[0].connections:
                connection.transport.abort()
    assert len(servers[0].handler.bodies) == 2
    await servers[0].stop()


async def test_a_lost_host_is_met_by_another_address():
    # The host a caller uses is lost; connections are refused, so nothing
    # ran, and the same request goes to another host. The caller knew one
    # address only and learnt of the others by asking.
    async with clusters.Cluster(engines=1, hosts=3) as cluster:
        known = [str(cluster.hosts["host-0"].address)]
        async with clients.Client(
            known, key=clusters.WORKSPACE_KEY, availability_zone="zone-1"
        ) as client:
            async with asyncio.timeout(20):
                while len(client.endpoints.hosts) < 3:
                    client.endpoints.refresh_at = 0
                    client.endpoints.expires = 0
                    await client.look_up()
            answer = await client.request("GET", "/v1/models")
            assert (await answer.json())["data"][0]["id"] == clusters.MODEL
            assert answer.address == str(cluster.hosts["host-1"].address)
            await cluster.hosts["host-1"].stop("entry")
            body = {"model": clusters.MODEL, "max_tokens": 3, "prompt": "a"}
            answer = await client.request(
                "POST", "/v1/completions", msgspec.json.encode(body)
            )
            assert answer.status == 200
            assert len((await answer.json())["choices"]) == 1
