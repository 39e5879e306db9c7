"""Streams and the software versions of the engines that they run on."""

import asyncio
import contextlib

import logbook
import pytest

from camphortray import active_config
from camphortray import config as configs
from camphortray import httpclient
from tests import platformkit

SERVICE = platformkit.SERVICE
PATH = platformkit.STREAM_PREFIX + "q"


@contextlib.asynccontextmanager
async def platform_of(*versions, hosts=1):
    """Run hosts before engines ``i-0``, ``i-1``, ... of some versions.

    An engine without work is used in the reverse order of the names.
    """
    async with platformkit.Platform(hosts, len(versions)) as platform:
        for engine, version in zip(
            platform.engines.values(), versions, strict=True
        ):
            engine.version = version
            await platform.register(engine, sequence=2)
        await platform.until(
            lambda: all(known(host) == versions for host in platform.hosts)
        )
        yield platform


def known(host):
    """Return the versions of the usable engines as a host knows them."""
    engines = host.part(active_config.ActiveConfig).engines
    entries = sorted(engines.usable(SERVICE), key=lambda e: e.id)
    return tuple(entry.version for entry in entries)


def ran_at(platform, attempt):
    """Return engine and first event of each run of an attempt."""
    return {
        engine.name: after + 1
        for engine in platform.engines.values()
        for ran, after, _, _ in engine.ran
        if ran == attempt
    }


async def take_up(host, attempt, resumes, after=1):
    """Take a stream up again as a caller; return the status."""
    headers = [
        ("Attempt-Id", attempt),
        ("Last-Event-Id", str(after)),
        ("Resumes", resumes),
    ]
    status, _, _ = await host.call("POST", PATH, headers)
    return status


async def begin(platform, host, attempt):
    """Begin a stream that lasts; return its answer and engine."""
    for engine in platform.engines.values():
        engine.faults = ["wait"]
    client = httpclient.HttpClient(max_idle=0)
    response = await client.request(
        configs.Address.from_text(host.node.listen.front),
        "POST",
        PATH,
        [("host", platformkit.HOST_NAME), ("Attempt-Id", attempt)],
        b"",
    )
    assert await response.read()
    for engine in platform.engines.values():
        engine.faults = []
    (name,) = ran_at(platform, attempt)
    return response, name


async def break_off(platform, host, attempt):
    """Begin a stream, and close its connection; return its engine."""
    response, name = await begin(platform, host, attempt)
    running = platform.engines[name].running
    response.close()
    await platform.until(lambda: platform.engines[name].running < running)
    return name


@pytest.mark.parametrize(
    ("versions", "runs", "status"),
    [
        (("v1", "v2", "v1"), {"i-2": 1, "i-0": 3}, 200),
        # No engine of its version is left.
        (("v2", "v1"), {"i-1": 1}, 0),
    ],
)
async def test_an_answer_does_not_go_on_at_another_version(
    versions, runs, status
):
    # An engine breaks off a stream while other versions serve too.
    async with platform_of(*versions) as platform:
        (host,) = platform.hosts
        platform.engines[max(platform.engines)].faults = ["cut"]
        found = 0
        with contextlib.suppress(platformkit.errors.UpstreamBroken):
            found, _, _ = await host.call("POST", PATH, [("Attempt-Id", "a")])
        assert (ran_at(platform, "a"), found) == (runs, status)


@pytest.mark.parametrize("versions", [("v1", "v2"), ("v1", "v2", "v1", "v2")])
async def test_a_caller_is_not_taken_to_another_version(versions):
    # A caller's connection breaks, and it goes on at another host.
    async with platform_of(*versions, hosts=2) as platform:
        begun_at, other = platform.hosts
        for number in range(4):
            first = await break_off(platform, begun_at, f"a{number}")
            # Engines of the other version have more free slots.
            held, _ = await begin(platform, begun_at, f"h{number}")
            assert await take_up(other, f"b{number}", f"a{number}") == 200
            held.close()
            (second,) = ran_at(platform, f"b{number}")
            assert (
                platform.engines[second].version
                == platform.engines[first].version
            )


async def test_a_stream_of_a_version_that_has_left_is_refused():
    # A caller goes on after the last engine of its version has left.
    async with platform_of("v1", "v2", hosts=2) as platform:
        begun_at, other = platform.hosts
        name = await break_off(platform, begun_at, "a")
        leaving = platform.engines[name]
        await platform.register(leaving, sequence=3, state="draining")
        await platform.until(
            lambda: all(len(known(h)) == 1 for h in platform.hosts)
        )
        assert await take_up(other, "b", "a") == 503
        assert not ran_at(platform, "b")


async def test_a_log_line_names_both_versions():
    # The cause of a stream of two versions could not be read from the logs.
    async with platform_of("v1", "v1") as platform:
        (host,) = platform.hosts
        platform.engines["i-1"].faults = ["cut"]
        seen = logbook.TestHandler(level=logbook.INFO)
        with seen.applicationbound():
            await host.call("POST", PATH, [("Attempt-Id", "a")])
            await take_up(host, "b", "a", after=4)
            await asyncio.sleep(0)
        lines = [r for r in seen.records if r.message.startswith("Stream a")]
        told = [
            {k: r.kwargs["fields"][k] for k in ("by", "version")}
            for r in lines
        ]
        assert told == [
            {"by": "host", "version": "v1"},
            {"by": "caller", "version": "v1"},
        ]
