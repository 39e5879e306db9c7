"""Streams and the software versions of the engines that they run on."""

import asyncio
import contextlib

import logbook

from camphortray import active_config
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


async def take_up(host, attempt, resumes, after=1):
    """Take a stream up again as a caller; return the status."""
    headers = [
        ("Attempt-Id", attempt),
        ("Last-Event-Id", str(after)),
        ("Resumes", resumes),
    ]
    status, _, _ = await host.call("POST", PATH, headers)
    return status


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
