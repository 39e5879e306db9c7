"""Keys of workspaces through whole hosts on the users' platform."""

import asyncio
import json

import pytest

from camphortray import active_config
from tests import platformkit
from tests import skiploop
from tests.test_platform_jobs import job_body
from tests.test_platform_jobs import results_of
from tests.test_platform_path import PATH
from tests.test_platform_path import whole

event_loop_policy = skiploop.event_loop_policy

HOME, SHOP = "k-home", "k-shop"
BOTH = platformkit.tenants(home=[HOME], shop=[SHOP])
JOB_PATH = platformkit.BATCH_PREFIX + "j"


def shown(key, *headers):
    """Return the headers of a caller that shows a key."""
    return [("Key", key), *headers]


async def configure(platform, version, tenants, routes=None):
    """Put a configuration in force on all hosts."""
    await platform.store.configure(version, routes, tenants)
    held = [h.part(active_config.ActiveConfig) for h in platform.hosts]
    await platform.until(lambda: all(c.view.revision == version for c in held))


def ran(platform):
    """Return the headers of all that ran at engines."""
    return [r[2] for e in platform.engines.values() for r in e.ran]


@pytest.mark.parametrize(
    ("headers", "status", "workspace"),
    [
        (shown(HOME), 200, "home"),
        (shown(HOME, ("Tenant", "shop")), 200, "home"),
        (shown(SHOP, ("tenant", "home"), ("TENANT", "x")), 200, "shop"),
        (shown("k-other"), 401, None),
        ([], 401, None),
        ([("Tenant", "home")], 401, None),
        (shown(HOME, ("Key", SHOP)), 401, None),
        (shown(""), 401, None),
        (shown("home"), 401, None),
    ],
)
async def test_an_engine_gets_the_workspace_and_never_the_key(
    headers, status, workspace
):
    async with platformkit.Platform() as platform:
        (host,) = platform.hosts
        await configure(platform, 2, BOTH)
        ask = [("Attempt-Id", "a1"), *headers]
        found, _, _ = await host.call("POST", PATH, ask, b"q")
        assert found == status
        sent = ran(platform)
        assert [s["tenant"] for s in sent] == [workspace] * (status == 200)
        assert not any("key" in s for s in sent)


async def test_an_anonymous_route_needs_no_key_and_passes_none_on():
    async with platformkit.Platform() as platform:
        (host,) = platform.hosts
        routes = [
            platformkit.route(
                "r", platformkit.STREAM_PREFIX, "streaming", anonymous=True
            )
        ]
        await configure(platform, 2, BOTH, routes)
        for headers in ([], shown(HOME, ("Tenant", "shop")), shown("k-other")):
            ask = [("Attempt-Id", "a1"), *headers]
            status, _, _ = await host.call("POST", PATH, ask, b"q")
            assert status == 200
        for sent in ran(platform):
            assert not {"key", "tenant"} & sent.keys()


async def test_a_revoked_key_is_turned_away_on_a_kept_connection():
    async with platformkit.Platform() as platform:
        (host,) = platform.hosts
        await configure(platform, 2, BOTH)
        _, listen = host.node.listen.front.split(":")
        reader, writer = await asyncio.open_connection(
            platformkit.LOOPBACK, int(listen)
        )
        statuses = []
        steps = [
            (BOTH, 200),
            (platformkit.tenants(home=[], shop=[SHOP]), 401),
            (platformkit.tenants(home=[], shop=[SHOP, HOME]), 200),
            (BOTH, 200),
        ]
        for number, (tenants, _) in enumerate(steps, 3):
            await configure(platform, number, tenants)
            writer.write(
                f"POST {PATH} HTTP/1.1\r\nHost: {platformkit.HOST_NAME}\r\n"
                f"Attempt-Id: a{number}\r\nKey: {HOME}\r\n"
                "Content-Length: 1\r\n\r\nq".encode()
            )
            head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
            statuses.append(int(head.split()[1]))
            if "chunked" in head:
                await reader.readuntil(b"0\r\n\r\n")
            else:
                length = head.partition("content-length: ")[2].split()[0]
                await reader.readexactly(int(length))
        writer.close()
        assert statuses == [status for _, status in steps]
        found = [sent["tenant"] for sent in ran(platform)]
        assert sorted(found) == ["home", "home", "shop"]


async def test_a_stream_under_way_outlives_its_key():
    async with platformkit.Platform(engines=1) as platform:
        (host,) = platform.hosts
        (engine,) = platform.engines.values()
        await configure(platform, 2, BOTH)
        engine.faults = ["wait"]
        call = asyncio.ensure_future(
            host.call("POST", PATH, shown(HOME, ("Attempt-Id", "a")), b"q")
        )
        await platform.until(lambda: engine.ran)
        await configure(platform, 3, platformkit.tenants(home=[]))
        engine.go.set()
        status, _, body = await call
        assert (status, body) == (200, whole())
        ask = shown(HOME, ("Attempt-Id", "b"))
        status, _, _ = await host.call("POST", PATH, ask, b"q")
        assert status == 401


async def test_a_request_refused_by_its_engine_is_not_tried_with_a_lost_key():
    async with platformkit.Platform(engines=2) as platform:
        (host,) = platform.hosts
        await configure(platform, 2, BOTH)
        held = host.part(active_config.ActiveConfig)

        async def revoke(request, response):
            await configure(platform, 3, platformkit.tenants(home=[]))
            response.send(503, b"", [("Not-Executed", "1")])

        for engine in platform.engines.values():
            engine.handle = revoke
        ask = shown(HOME, ("Attempt-Id", "a"))
        status, _, _ = await host.call("POST", PATH, ask, b"q")
        assert (status, held.view.revision) == (401, 3)
        assert not ran(platform)


async def test_a_job_outlives_its_key_and_any_key_of_its_workspace_reads_it():
    async with platformkit.Platform(hosts=2, engines=1) as platform:
        first, second = platform.hosts
        (engine,) = platform.engines.values()
        await configure(platform, 2, BOTH)
        engine.faults = ["wait"] * 3
        send = shown(HOME, ("Attempt-Id", "j"))
        status, _, _ = await first.call("POST", JOB_PATH, send, job_body())
        assert status == 202
        await platform.until(lambda: len(engine.ran) == 3)
        tenants = platformkit.tenants(home=["k-new"], shop=[SHOP, HOME])
        await configure(platform, 3, tenants)
        for host in (first, second):
            for key, status in (("k-new", 200), (SHOP, 403), ("k-x", 401)):
                for method, target in (
                    ("GET", "/items/j?id=it0"),
                    ("GET", "/lots/j?after=0"),
                ):
                    found, _, _ = await host.call(method, target, shown(key))
                    assert (key, method, found) == (key, method, status)
            # Its old key is another workspace's now; the job is not.
            found, _, told = await host.call("GET", "/lots/j", shown(HOME))
            assert found == 403
            assert json.loads(told)["error"]["code"] == "other_workspace"
            found, _, _ = await host.call("DELETE", "/lots/j", shown(SHOP))
            assert found == 403
            found, _, _ = await host.call("DELETE", "/lots/j", [])
            assert found == 401
        send = shown("k-new", ("Attempt-Id", "j"))
        status, _, _ = await second.call("POST", JOB_PATH, send, job_body())
        assert status == 202
        send = shown(SHOP, ("Attempt-Id", "j"))
        status, _, _ = await second.call("POST", JOB_PATH, send, job_body())
        assert status == 403
        engine.go.set()
        found = await results_of(second, "j", 3, shown("k-new"))
        assert {r["state"] for r in found} == {"completed"}
        assert {sent["tenant"] for sent in ran(platform)} == {"home"}
        assert not any("key" in sent for sent in ran(platform))
        status, _, _ = await first.call("DELETE", "/lots/j", shown("k-new"))
        assert status == 200


async def test_a_job_without_a_valid_key_is_not_accepted():
    async with platformkit.Platform() as platform:
        (host,) = platform.hosts
        await configure(platform, 2, BOTH)
        for headers in ([], shown("k-x")):
            send = [("Attempt-Id", "j"), *headers]
            status, _, _ = await host.call("POST", JOB_PATH, send, job_body())
            assert status == 401
        status, _, _ = await host.call("GET", "/lots/j", shown(HOME))
        assert status == 404
        assert not ran(platform)


async def test_items_bring_neither_a_key_nor_a_workspace_of_their_own():
    async with platformkit.Platform() as platform:
        (host,) = platform.hosts
        await configure(platform, 2, BOTH)
        body = json.loads(job_body(2))
        for item in body["items"]:
            item["headers"] |= {"KEY": HOME, "Tenant": "shop", "tenant": "x"}
        send = shown(HOME, ("Attempt-Id", "j"))
        sent = json.dumps(body).encode()
        status, _, _ = await host.call("POST", JOB_PATH, send, sent)
        assert status == 202
        await results_of(host, "j", 2, shown(HOME))
        assert {told["tenant"] for told in ran(platform)} == {"home"}
        assert not any("key" in told for told in ran(platform))


async def test_a_new_owner_runs_items_for_the_workspace_of_their_job():
    async with platformkit.Platform(engines=1) as platform:
        (host,) = platform.hosts
        (engine,) = platform.engines.values()
        await configure(platform, 2, BOTH)
        engine.always = "wait"
        send = shown(HOME, ("Attempt-Id", "j"))
        status, _, _ = await host.call("POST", JOB_PATH, send, job_body())
        assert status == 202
        await platform.until(lambda: len(engine.ran) == 3)
        await configure(platform, 3, platformkit.tenants(home=[], shop=[]))
        await host.kernel.stop()
        platform.hosts.clear()
        engine.always = ""
        late = await platform.add("late")
        await platform.until(lambda: late.ready and len(engine.ran) >= 6)
        assert {told["tenant"] for told in ran(platform)} == {"home"}


async def test_a_host_that_starts_while_the_store_is_away_checks_keys():
    async with platformkit.Platform() as platform:
        await configure(platform, 2, BOTH)
        await configure(platform, 3, platformkit.tenants(home=[], shop=[SHOP]))
        platform.store.refuse = 503
        host = await platform.add("late")
        held = host.part(active_config.ActiveConfig)
        await platform.until(lambda: host.ready and not held.in_touch)
        # It may lag, so that it denies no key for good.
        for key, status in ((HOME, 503), (SHOP, 200)):
            ask = shown(key, ("Attempt-Id", "a"))
            found, _, _ = await host.call("POST", PATH, ask, b"q")
            assert found == status
        assert {told["tenant"] for told in ran(platform)} == {"shop"}
