"""Tests of which requests a host accepts while it shuts down."""

import asyncio

from camphortray_platform import front
import pytest

from camphortray import cluster as clusters
from camphortray import drain_admission
from camphortray import httpclient
from camphortray import slot_client
from tests import hostkit
from tests import online
from tests import platformkit
from tests import skiploop
from tests import test_forwarder

event_loop_policy = skiploop.event_loop_policy

GRACE_S = 8.0
PATH = platformkit.STREAM_PREFIX + "q"


def begun(since_s, now, grace_s=GRACE_S):
    """Return the admission of a host that was told to end so long ago."""
    admission = drain_admission.DrainAdmission()
    admission.begin(now - since_s, grace_s)
    return admission


@pytest.mark.parametrize("grace_s", [0.5, 2.0, 4.0, 8.0, 30.0, 600.0])
@pytest.mark.parametrize("limit_s", [0.2, 1.0, 5.0, 15.0, 3600.0])
def test_what_is_accepted_late_ends_before_the_host(grace_s, limit_s):
    """A stream that could not end in the grace was taken and cut off."""
    admission = begun(0.0, 0.0, grace_s)
    latest_open_s = min(3.0, grace_s / 2)
    at = 0.0
    while at < grace_s:
        if admission.accepts(at, at + limit_s):
            assert at < latest_open_s or at + limit_s < admission.stop_at
        at += grace_s / 400
    assert admission.stop_at < grace_s


@pytest.mark.parametrize(
    ("at", "limit_s", "accepted"),
    [
        (0.0, 5.0, True),
        (2.7, 15.0, True),
        # Neither this late nor for so long.
        (3.08, 15.0, False),
        (3.08, 4.0, True),
        (5.5, 1.0, True),
        (5.7, 1.0, False),
        (7.9, 0.1, False),
    ],
)
def test_which_requests_are_accepted(at, limit_s, accepted):
    assert begun(0.0, 0.0).accepts(at, at + limit_s) is accepted


@pytest.mark.parametrize("grace_s", [0.5, 2.0, 8.0, 30.0])
@pytest.mark.parametrize("limit_s", [0.2, 1.0, 5.0, 15.0])
def test_what_may_run_once_is_never_cut_off_by_a_drain(grace_s, limit_s):
    """Guards against a request that may have run, cut off with the host."""
    admission = begun(0.0, 0.0, grace_s)
    for step in range(400):
        at = step * grace_s / 400
        if admission.accepts(at, at + limit_s, repeatable=False):
            assert at + limit_s < admission.stop_at
    assert admission.accepts(0.0, 0.1, repeatable=False)


@pytest.mark.parametrize("repeatable", [False, True])
def test_a_host_that_does_not_shut_down_accepts_all(repeatable):
    assert drain_admission.DrainAdmission().accepts(1e9, 1e12, repeatable)


@pytest.mark.parametrize(
    ("kind", "resumable", "deadline_ms", "status"),
    [
        ("non_idempotent", False, 15000, 503),
        ("streaming", False, 15000, 503),
        ("streaming", True, 15000, 200),
        ("idempotent", False, 15000, 200),
        ("non_idempotent", False, 2000, 200),
    ],
)
async def test_what_may_run_once_is_refused_from_the_signal_on(
    kind, resumable, deadline_ms, status
):
    """Guards against a request that may run once, cut off in a drain."""
    route = platformkit.route(
        "r", "/p/", kind, resumable=resumable, timeoutMs=15000
    )
    async with platformkit.Platform(engines=1) as platform:
        (host,) = platform.hosts
        await platform.store.configure(2, [route])
        config = host.part(slot_client.SlotClient).active_config
        await platform.until(lambda: config.view.revision == 2)
        now = host.kernel.context.clock.monotonic()
        host.part(front.Front).admission.begin(now, GRACE_S)
        headers = [("attempt-id", "a"), ("deadline-ms", str(deadline_ms))]
        got, _, _ = await host.call("POST", "/p/x", headers, b"q")
        (engine,) = platform.engines.values()
        assert (got, len(engine.ran)) == (status, status == 200)


async def call(host, deadline_ms):
    headers = [("attempt-id", "a1"), ("deadline-ms", str(deadline_ms))]
    return await host.call("POST", PATH, headers, b"q")


@pytest.mark.parametrize(
    ("deadline_ms", "status"), [(15000, 503), (2000, 200)]
)
async def test_a_late_request_is_served_whole_or_refused(deadline_ms, status):
    """A host cut off a stream that it had taken late in a drain."""
    async with platformkit.Platform(engines=1) as platform:
        (host,) = platform.hosts
        now = host.kernel.context.clock.monotonic()
        host.part(front.Front).admission.begin(now - 3.1, GRACE_S)
        got, headers, _ = await call(host, deadline_ms)
        (engine,) = platform.engines.values()
        assert got == status
        assert len(engine.ran) == (status == 200)
        assert ("retry-after" in headers) == (status == 503)


async def test_a_body_that_arrives_as_a_drain_begins_is_not_sent():
    """A request whose body came slowly was taken by the time of its head."""
    async with platformkit.Platform(engines=1) as platform:
        (host,) = platform.hosts
        ip, port = host.node.listen.front.split(":")
        reader, writer = await asyncio.open_connection(ip, int(port))
        writer.write(
            f"POST {PATH} HTTP/1.1\r\nHost: {platformkit.HOST_NAME}\r\n"
            "Attempt-Id: a1\r\nDeadline-Ms: 15000\r\n"
            "Content-Length: 2\r\n\r\nq".encode()
        )
        while not host.part(front.Front).in_flight():
            await asyncio.sleep(0)
        now = host.kernel.context.clock.monotonic()
        host.part(front.Front).admission.begin(now - 3.1, GRACE_S)
        writer.write(b"q")
        assert (await reader.readline()).startswith(b"HTTP/1.1 503 ")
        writer.close()
        (engine,) = platform.engines.values()
        assert not engine.ran


async def test_a_request_that_waits_as_a_drain_begins_is_not_sent(
    monkeypatch,
):
    """A request got its slot too late in a drain, and was cut off."""
    asked, go = asyncio.Event(), asyncio.Event()
    usual = slot_client.SlotClient.acquire

    async def acquire(self, *args, **options):
        asked.set()
        await go.wait()
        return await usual(self, *args, **options)

    async with platformkit.Platform(engines=1) as platform:
        (host,) = platform.hosts
        monkeypatch.setattr(slot_client.SlotClient, "acquire", acquire)
        called = asyncio.ensure_future(call(host, 15000))
        await asked.wait()
        now = host.kernel.context.clock.monotonic()
        host.part(front.Front).admission.begin(now - 3.1, GRACE_S)
        go.set()
        assert (await called)[0] == 503
        (engine,) = platform.engines.values()
        assert not engine.ran


async def test_a_stream_that_may_have_run_goes_on_in_a_drain():
    """A drain refused to resume an answer that had begun."""
    first = test_forwarder.answer(*test_forwarder.TWO, hostkit.BROKEN)
    rest = test_forwarder.answer(*hostkit.events(3, 4))
    forwarding = test_forwarder.forwarder_of([first, rest], hostkit.RESUMABLE)
    now = forwarding.parts.clock.monotonic()
    usual = forwarding.on_first

    def on_first():
        usual()
        forwarding.parts.admission.begin(now - 5.7, GRACE_S)

    forwarding.on_first = on_first
    assert await test_forwarder.outcome(forwarding) == 200
    assert not forwarding.parts.admission.accepts(now, now)


@pytest.mark.parametrize("kind", ["completion", "call"])
@pytest.mark.parametrize(("deadline_s", "status"), [(60, 503), (5, 200)])
async def test_the_own_interface_takes_nothing_that_a_drain_cuts_off(
    kind, deadline_s, status
):
    """A request that came late in a drain was cut off by its end."""
    async with clusters.Cluster(engines=1, hosts=1) as cluster:
        (host,) = cluster.hosts.values()
        context = host.kernels["entry"].context
        grace_s = 60.0
        now = context.clock.monotonic()
        context.admission.begin(now - 31.0, grace_s, 30.0)
        limit = ("camphortray-deadline", str(deadline_s))
        if kind == "completion":
            got, _, _ = await online.ask(host, "why", limit, tokens=2)
        else:
            client = httpclient.HttpClient()
            got, _, _ = await client.call(
                host.address,
                "POST",
                f"/v1/services/{clusters.PLAIN}/dispatch",
                online.headers(limit, ("idempotency-key", "k")),
                b"{}",
            )
            await client.close()
        assert got == status
