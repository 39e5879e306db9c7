"""Tests of which batch roles the entry role forwards job calls to."""

import asyncio
import types

import msgspec
import pytest

from camphortray import cluster as clusters
from camphortray import config as configs
from camphortray import httpclient
from camphortray import httpserver
from camphortray import jobproxy
from camphortray import members
from camphortray import membership
from tests import test_config

OWN = configs.HostConfig("h0", "z0", "r")
KEY = [("authorization", f"Bearer {clusters.WORKSPACE_KEY}")]


def batch(host, zone, status="alive", address="set"):
    status = members.Status(status)
    shown = host if address else ""
    return members.Member(f"{host}/batch", 1, status, zone, "", shown)


@pytest.mark.parametrize(
    ("live", "expected"),
    [
        ([], []),
        ([batch("h1", "z1"), batch("h0", "z0")], ["h0", "h1"]),
        ([batch("h1", "z1"), batch("h2", "z0")], ["h2", "h1"]),
        ([batch("h1", "z1"), batch("h0", "z0", "suspect")], ["h1", "h0"]),
        ([batch("h1", "z1"), batch("h0", "z0", address="")], ["h1"]),
    ],
)
def test_the_own_role_comes_first_if_it_is_well(live, expected):
    assert jobproxy.candidates(OWN, live) == expected


@pytest.mark.parametrize(
    ("own", "asked"),
    [
        (None, ["127.0.0.1:8100"]),
        (batch("h0", "z0", address=""), ["127.0.0.1:8100"]),
        (batch("h0", "z0", "dead", address=""), []),
    ],
    ids=["not heard of", "has told no address", "dead"],
)
def test_an_own_role_that_has_just_started_is_asked(own, asked):
    # Right after a start the own batch role is known by name only, or not
    # at all, and calls were refused as if no batch role were alive. Its
    # address is taken from the host's configuration instead.
    proxy = jobproxy.JobProxy.__new__(jobproxy.JobProxy)
    config = configs.Config.from_toml(test_config.GOOD)
    proxy.context = types.SimpleNamespace(config=config)
    proxy.members = types.SimpleNamespace(
        member=lambda name: own,
        live=lambda program: [own] if own and not own.dead else [],
    )
    assert [str(target) for target in proxy.targets()] == asked


class AbortingHandler(httpserver.Handler):
    """Aborts each connection after it has read the body of the request."""

    def __init__(self):
        self.bodies = 0

    async def handle(self, request, response):
        await request.body()
        self.bodies += 1
        response.abort()


@pytest.mark.parametrize(
    ("method", "ran", "sent"), [("POST", "unknown", 1), ("GET", "unknown", 2)]
)
async def test_a_job_that_may_have_run_is_not_sent_again(
    method, ran, sent, monkeypatch
):
    # The batch role aborts after it has read a job and may have accepted
    # it, so the refusal says "unknown" and the call is not retried. A call
    # that only reads is retried at the next batch role.
    handler = AbortingHandler()
    server = httpserver.HttpServer(handler)
    await server.start(configs.Address("127.0.0.1", 0))
    async with clusters.Cluster(engines=1) as cluster:
        host = cluster.hosts["host-0"]
        proxy = host.part("entry", jobproxy.JobProxy)
        monkeypatch.setattr(proxy, "targets", lambda: [server.address] * 2)
        client = httpclient.HttpClient()
        body = b"{}" if method == "POST" else b""
        status, headers, _ = await client.call(
            host.address, method, "/v1/jobs", KEY, body
        )
        assert (status, headers["camphortray-ran"]) == (503, ran)
        assert handler.bodies == sent
        await client.close()
    await server.stop()


async def test_another_host_takes_jobs_while_the_own_role_is_away():
    # A host's batch program is down, and its entry forwards job calls to
    # another host's. Nothing has been sent when a connection is refused, so
    # trying the next batch program is safe.
    async with clusters.Cluster(engines=1, hosts=2) as cluster:
        host = cluster.hosts["host-0"]
        known = host.part("entry", membership.Membership)
        async with asyncio.timeout(20):
            while sum(bool(m.http_address) for m in known.live("batch")) < 2:
                await asyncio.sleep(0)
        await host.stop("batch")
        client = httpclient.HttpClient()
        status, _, body = await client.call(
            host.address, "GET", "/v1/jobs/none", KEY
        )
        assert status == 404, body
        assert msgspec.json.decode(body)["error"]["code"] != "no_batch"
        await client.close()
