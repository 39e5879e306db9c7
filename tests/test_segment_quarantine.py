"""Prompts that share a segment which crashes engines, on whole hosts."""

import asyncio
import base64
import contextlib
import json

import pytest

from camphortray import segment_quarantine
from tests import platformkit
from tests import test_platform_jobs

PATH = platformkit.STREAM_PREFIX + "q"
SHARED, DEADLY = "5c1e07a2", "91bd3f06"
# Crashes after which a segment has to be known, the seconds until all hosts
# know it, and the requests with it that may reach engines after that.
MAX_CRASHES = 5
WINDOW_S = 3.0
MAX_LATER = 3


def prompt(number, *segments):
    """Return the header of a prompt, whose last segment is its own."""
    ids = [*segments, f"{0xE0000000 + number:x}"]
    return "Prompt-Prefix", ",".join(f"{each}:{100 + number}" for each in ids)


class Callers:
    """Callers of all hosts in turn; no two of their requests are alike."""

    def __init__(self, platform):
        self.platform = platform
        self.sent = 0

    async def call(self, *segments):
        """Send a request; return its status, 0 if the answer was cut off."""
        self.sent += 1
        host = self.platform.hosts[self.sent % len(self.platform.hosts)]
        headers = [
            ("Attempt-Id", f"r{self.sent}"),
            prompt(self.sent, *segments),
        ]
        body = b"question %d" % self.sent
        with contextlib.suppress(platformkit.errors.UpstreamBroken):
            status, _, _ = await host.call("POST", PATH, headers, body)
            return status
        return 0

    async def until_crashes(self, count, *segments):
        """Send requests until so many engines have crashed under them."""
        before = self.platform.crashes
        while self.platform.crashes < before + count:
            if await self.call(*segments) == 503:
                await self.call(SHARED)

    async def for_window(self):
        """Send sound requests while hosts learn; return their statuses."""
        loop = asyncio.get_running_loop()
        end_at = loop.time() + WINDOW_S
        found = []
        while loop.time() < end_at:
            found.append(await self.call(SHARED))
            await asyncio.sleep(0.05)
        return found


@contextlib.asynccontextmanager
async def platform_of(hosts=3, engines=6, deadly=(DEADLY,), writes=0):
    """Run hosts before engines that some segments crash."""
    async with platformkit.Platform(hosts, engines) as platform:
        for engine in platform.engines.values():
            engine.deadly = frozenset(deadly)
            engine.writes = writes
        yield platform


def reached(platform):
    """Return how many requests with a deadly segment reached engines."""
    return sum(
        bool(engine.deadly & {e.split(":")[0] for e in prefix.split(",")})
        for engine in platform.engines.values()
        for _, _, headers, _ in engine.ran
        for prefix in [headers.get("prompt-prefix", "").lower()]
    )


def quarantines(host):
    """Return the quarantines in force on a host."""
    return host.part(segment_quarantine.SegmentQuarantine).in_force


def quarantined(host):
    """Return whether the deadly segment is quarantined on a host."""
    key = f"{platformkit.SERVICE}/{DEADLY}"
    return key in quarantines(host)


@pytest.mark.parametrize("writes", [0, 1])
async def test_a_segment_that_crashed_five_engines_reaches_no_more(writes):
    # Hosts tell requests apart by their whole bytes, of which no two agree.
    async with platform_of(writes=writes) as platform:
        callers = Callers(platform)
        assert await callers.call(SHARED) == 200
        await callers.until_crashes(MAX_CRASHES, SHARED, DEADLY)
        await callers.for_window()
        before = reached(platform)
        bad, sound = [], []
        for _ in range(30):
            bad.append(await callers.call(SHARED, DEADLY.upper()))
            sound.append(await callers.call(SHARED))
        assert reached(platform) - before <= MAX_LATER
        assert bad.count(503) >= len(bad) - MAX_LATER
        assert sound.count(200) >= len(sound) / 2


def job_of(*prompts):
    """Return the body of a job with an item for each prompt."""
    items = [
        {
            "id": f"it{number}",
            "path": platformkit.BATCH_PREFIX + "9/x",
            "headers": dict([prompt(number, *segments)]),
            "body": base64.b64encode(b"b%d" % number).decode(),
            "tokens": 10,
        }
        for number, segments in enumerate(prompts)
    ]
    return json.dumps({"items": items}).encode()


async def submit(host, job, *prompts):
    """Submit a job."""
    path = platformkit.BATCH_PREFIX + job
    body = job_of(*prompts)
    status, _, _ = await host.call("POST", path, [("Attempt-Id", job)], body)
    assert status == 202


async def test_items_with_a_segment_that_crashes_engines_are_held_back():
    # Runs of items crash engines as requests do, and come again by themselves.
    async with platform_of(hosts=2) as platform:
        callers = Callers(platform)
        assert await callers.call(SHARED) == 200
        bad, sound = (SHARED, DEADLY), (SHARED,)
        await submit(platform.hosts[0], "j1", bad, sound, bad, bad, sound)
        await platform.until(lambda: all(map(quarantined, platform.hosts)))
        before = reached(platform)
        assert before <= MAX_CRASHES + MAX_LATER
        found = await test_platform_jobs.results_of(platform.hosts[1], "j1", 2)
        assert {r["id"] for r in found} == {"it1", "it4"}
        assert {r["state"] for r in found} == {"completed"}
        await submit(platform.hosts[1], "j2", bad, sound)
        await test_platform_jobs.results_of(platform.hosts[0], "j2", 1)
        await callers.for_window()
        assert reached(platform) == before
