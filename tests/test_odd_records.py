"""Odd records in the store, and odd JSON of callers and engines."""

import asyncio
import gc
import itertools
import json

from camphortray_platform import engines
import pytest

from camphortray import config as configs
from camphortray import engine
from camphortray import errors
from camphortray import ledger
from camphortray import membership
from camphortray import slot_client
from tests import platformkit
from tests import skiploop
from tests import test_platform_jobs
from tests.test_platform_path import ASK
from tests.test_platform_path import PATH
from tests.test_platform_path import whole

event_loop_policy = skiploop.event_loop_policy

DEEP = b"[" * 60_000 + b"]" * 60_000
ODD = {
    "nested": DEEP,
    "nested in a field": b'{"service":"s","writer":"a","more":%s}' % DEEP,
    "number too large": b'{"peer_address":"127.0.0.1:9","started":1e400}',
    "long number": b'{"service":"s","started":%s}' % (b"9" * 5_000),
    "port out of range": b'{"peer_address":"127.0.0.1:99999","started":1}',
    "no address": b'{"peer_address":"nowhere","started":1}',
    "no text": b'{"service":"\xff","version":"\\ud800"}',
    "no bytes of text": b"\xff\xfe\x00",
}


NUMBERS = itertools.count()


async def ask(host):
    """Send a request with an id of its own; return status and body."""
    headers = [("Attempt-Id", f"a{next(NUMBERS)}"), *ASK[1:]]
    status, _, body = await host.call("POST", PATH, headers)
    return status, body


@pytest.mark.parametrize("value", ODD.values(), ids=list(ODD))
@pytest.mark.parametrize("topic", ledger.Topic, ids=lambda t: t.value)
async def test_hosts_serve_on_beside_an_odd_record(topic, value):
    """Guards against hosts that an odd record ends, or that follow no more."""
    key = "j/odd/0" if topic is ledger.Topic.JOBS else "odd"
    ended = []
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(lambda _, context: ended.append(context))
    async with platformkit.Platform(hosts=1) as platform:
        await platform.store.write_raw(topic, key, value)
        # It starts without seeds: the list of hosts is all it has.
        late = platformkit.Host(platformkit.node_file("late", platform.store))
        await late.start()
        platform.hosts.append(late)
        await platform.until(platform.settled)
        added = platformkit.EngineStandin("i-9")
        await added.server.start(platformkit.ANY_PORT)
        platform.engines[added.name] = added
        await platform.register(added)
        for number, host in enumerate(platform.hosts):
            job = f"j{number}"
            await test_platform_jobs.submit(host, job)
            assert len(await test_platform_jobs.results_of(host, job, 3)) == 3
            engines_of = host.part(membership.Membership)
            assert len(engines_of.live("host")) == 2
        for name in set(platform.engines) - {added.name}:
            await platform.store.write(ledger.Topic.ENGINES, name, None)

        async with asyncio.timeout(platformkit.READY_S):
            while not added.ran:
                await asyncio.sleep(0.1)
                for host in platform.hosts:
                    await ask(host)
        for host in platform.hosts:
            assert await ask(host) == (200, whole())
    # A task whose error nobody has read tells so as it is collected.
    gc.collect()
    assert not ended


async def test_a_nested_job_is_refused():
    """Guards against a 500 for a job whose JSON is nested deeply."""
    async with platformkit.Platform() as platform:
        (host,) = platform.hosts
        path = platformkit.BATCH_PREFIX + "x"
        for body in (
            DEEP,
            b'{"items":[{"id":"a","path":"/p","x":%s}]}' % DEEP,
        ):
            status, _, told = await host.call(
                "POST", path, [("Attempt-Id", "x")], body
            )
            assert status == 400
            assert json.loads(told)["error"]["param"] == "items"


UPSTREAM = engine.Upstream("i-1", configs.Address("127.0.0.1", 9), "z1")


@pytest.mark.parametrize(
    "body",
    [
        DEEP,
        b'{"more":%s}' % DEEP,
        b'{"kvUsed":%s}' % (b"9" * 400),
        b'{"running":-1}',
        b'{"running":1e400}',
        b'{"more":"\\ud800"}',
    ],
    ids=range(6),
)
def test_an_odd_report_is_an_error_of_its_engine(body):
    """Guards against requests that end with an unforeseen error."""
    with pytest.raises(errors.UpstreamError):
        engines.report_of(UPSTREAM, body)


LARGE = 2**53
HEARTBEAT_S = 1.2
# From an odd entry until its engine is used again: three heartbeats and the
# reads behind them.
BACK_S = 4 * HEARTBEAT_S + 1.0
NOWHERE = "127.0.0.1:9"
OVER_OWN = {
    "sequence and address": {"sequence": LARGE, "address": NOWHERE},
    "start and address": {"born": LARGE, "address": NOWHERE},
    "draining": {"sequence": LARGE, "state": "draining"},
    "draining since a later start": {"born": LARGE, "state": "draining"},
    "another service": {"sequence": LARGE, "service": "other"},
    "unknown service": {"sequence": LARGE, "service": "none"},
}
COPIES = {
    "copy": {},
    "copy of a higher sequence": {"sequence": LARGE},
    "copy of a later start": {"born": LARGE},
    "draining copy": {"born": LARGE, "state": "draining"},
    "copy of another service": {"born": LARGE, "service": "other"},
}


class Beats:
    """Heartbeats of all engines, while the store takes them."""

    def __init__(self, platform):
        self.platform = platform
        self.sequence = 1

    async def run(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            self.sequence += 1
            if self.platform.store.refuse:
                continue
            for found in self.platform.engines.values():
                await self.platform.register(found, sequence=self.sequence)


@pytest.mark.parametrize("outage_s", [0.0, 3.0])
@pytest.mark.parametrize(
    ("own", "fields"),
    [(True, fields) for fields in OVER_OWN.values()]
    + [(False, fields) for fields in COPIES.values()],
    ids=[*OVER_OWN, *COPIES],
)
async def test_odd_entries_over_all_engines_take_no_service_down(
    own, fields, outage_s
):
    """Guards against engines kept out by numbers that anyone can write."""
    platform = platformkit.Platform(hosts=2, engines=3)
    for number, found in enumerate(platform.engines.values()):
        found.born = 1_700_000_000_000 + number
    async with platform:
        beats = Beats(platform)
        beating = asyncio.create_task(beats.run())
        other = platformkit.route("r-3", "/other/", "streaming")
        routes = platformkit.configuration()["routes"]
        await platform.store.configure(
            2, [*routes, other | {"service": "other"}]
        )
        await asyncio.sleep(3.0)
        for found in platform.engines.values():
            odd = found.entry(**{"sequence": beats.sequence, **fields})
            key = found.name if own else f"a-{found.name}"
            await platform.store.write(ledger.Topic.ENGINES, key, odd)
        # The hosts have read the entries before the outage begins.
        await asyncio.sleep(0.6)
        platform.store.break_off("busy" if outage_s else "")
        await asyncio.sleep(outage_s)
        platform.store.break_off("")
        late = await platform.add("late")
        loop = asyncio.get_running_loop()
        served = dict.fromkeys(platform.hosts, 0)
        ends_at = loop.time() + BACK_S
        while loop.time() < ends_at:
            for host in platform.hosts:
                if host is not late or host.ready:
                    status, body = await ask(host)
                    served[host] += (status, body) == (200, whole())
            await asyncio.sleep(0.1)
        assert all(served.values())
        for host in platform.hosts:
            for _ in range(4):
                assert await ask(host) == (200, whole())
            known = host.part(slot_client.SlotClient).active_config.engines
            assert len(known.usable(platformkit.SERVICE)) == 3
        beating.cancel()
