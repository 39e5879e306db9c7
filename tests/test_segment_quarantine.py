"""Prompts that share a segment which crashes engines, on whole hosts."""

import asyncio
import base64
import contextlib
import json

import pytest

from camphortray import crash_attribution
from camphortray import ledger
from camphortray import segment_quarantine
from camphortray import stored_quarantine
from tests import platformkit
from tests import skiploop
from tests import test_platform_jobs

event_loop_policy = skiploop.event_loop_policy

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

    async def until_answered(self, *segments):
        """Send requests until one is answered; engines may not be up yet."""
        async with asyncio.timeout(platformkit.READY_S):
            while await self.call(*segments) != 200:
                await asyncio.sleep(0.05)

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
        found = await test_platform_jobs.results_of(platform.hosts[1], "j1", 2)
        assert {r["id"] for r in found} == {"it1", "it4"}
        assert {r["state"] for r in found} == {"completed"}
        await submit(platform.hosts[1], "j2", bad, sound)
        await test_platform_jobs.results_of(platform.hosts[0], "j2", 1)
        await callers.for_window()
        assert reached(platform) == before


async def until_quarantined(platform, *segments):
    """Crash engines until all hosts refuse the deadly segment."""
    callers = Callers(platform)
    if segments[0] not in next(iter(platform.engines.values())).deadly:
        assert await callers.call(segments[0]) == 200
    await callers.until_crashes(crash_attribution.MIN_CRASHES, *segments)
    await platform.until(lambda: all(map(quarantined, platform.hosts)))
    return callers


def stored(platform):
    """Return the records of quarantines in the store."""
    topic = ledger.Topic.QUARANTINES, 0
    records = {r.key: r for r in platform.store.held.held[topic].records}
    return [key for key, record in records.items() if record.value]


async def refuses(host):
    """Return whether a host refuses a request with the deadly segment."""
    headers = [("Attempt-Id", "again"), prompt(999, SHARED, DEADLY)]
    status, told, body = await host.call("POST", PATH, headers, b"again")
    return status == 503 and "retry-after" in told and b"quarantined" in body


async def test_a_quarantine_outlives_the_loss_of_all_hosts():
    # All hosts are killed after the last crash, and start with nothing.
    async with platform_of() as platform:
        await until_quarantined(platform, SHARED, DEADLY)
        await platform.until(lambda: stored(platform))
        before = reached(platform)
        for host in platform.hosts:
            await host.kernel.stop()
        platform.hosts = []
        for number in range(3):
            await platform.add(f"host-{number}")
        await platform.until(lambda: all(h.ready for h in platform.hosts))
        assert [await refuses(h) for h in platform.hosts] == [True] * 3
        assert reached(platform) == before


async def test_a_host_that_joins_learns_it_though_the_store_is_silent():
    # A host starts while the store is away; its peers know the quarantine.
    async with platform_of(hosts=2) as platform:
        platform.store.refuse = 503
        await until_quarantined(platform, SHARED, DEADLY)
        assert not stored(platform)
        added = await platform.add("host-9")
        await platform.until(lambda: quarantined(added) and added.ready)
        assert await refuses(added)
        platform.store.refuse = 0
        await platform.until(lambda: stored(platform))


async def test_a_quarantine_is_lifted_by_deleting_its_record(monkeypatch):
    # The engines are mended, and an operator lifts the quarantine.
    async with platform_of(hosts=2) as platform:
        await until_quarantined(platform, SHARED, DEADLY)
        await platform.until(lambda: stored(platform))
        for engine in platform.engines.values():
            engine.deadly = frozenset()
        monkeypatch.setattr(stored_quarantine, "REFRESH_S", 0.1)
        monkeypatch.setattr(stored_quarantine, "MIN_REFRESH_S", 0.05)
        for host in platform.hosts:
            host.part(segment_quarantine.SegmentQuarantine).refresh_at = 0.0
        (key,) = stored(platform)
        await platform.store.write(ledger.Topic.QUARANTINES, key, None)
        await platform.until(lambda: not any(map(quarantines, platform.hosts)))
        assert await Callers(platform).call(SHARED, DEADLY) == 200


async def test_records_that_cannot_be_read_are_passed_over():
    # Another writer has written to the topic.
    async with platform_of(hosts=1) as platform:
        topic = ledger.Topic.QUARANTINES
        for key, value in (("a", b"\xff"), ("b", b"{}"), ("c", b"[1]")):
            await platform.store.write_raw(topic, key, value)
        await until_quarantined(platform, SHARED, DEADLY)
        await platform.until(lambda: len(stored(platform)) == 4)
        assert await refuses(platform.hosts[0])


async def test_the_first_segment_may_be_the_one():
    # Requests share nothing else, and others go on.
    async with platform_of(hosts=2) as platform:
        callers = await until_quarantined(platform, DEADLY)
        assert await callers.call(DEADLY) == 503
        assert await callers.call(SHARED) == 200


async def test_a_connection_that_breaks_bars_nobody():
    # Engines cut answers off before their first event, and go on running.
    async with platform_of(hosts=2, deadly=()) as platform:
        callers = Callers(platform)
        for _ in range(6):
            for engine in platform.engines.values():
                engine.faults = ["reset"]
            await callers.call(SHARED, DEADLY)
        for engine in platform.engines.values():
            engine.faults = []
        await callers.for_window()
        assert await callers.call(SHARED, DEADLY) == 200
        assert not any(map(quarantines, platform.hosts))


async def test_the_segment_that_all_share_is_never_blamed():
    # Engines are lost together, again and again, under requests that have no
    # answer yet, beside the segment that crashes them.
    async with platform_of(hosts=3) as platform:
        callers = Callers(platform)
        engines = platform.engines
        for _ in range(4):
            await callers.until_answered(SHARED)
            for engine in engines.values():
                engine.always = "wait"
            cut_off = [
                asyncio.ensure_future(callers.call(SHARED)) for _ in range(12)
            ]
            await platform.until(
                lambda: sum(e.running for e in engines.values()) > 2
            )
            for engine in list(engines.values()):
                engine.always = ""
                if engine.running:
                    platform.crash(engine)
            await asyncio.gather(*cut_off)
            await platform.until(lambda: not platform.restarts)
            # Crashes nearer to the joint ones may be of their cause.
            await asyncio.sleep(crash_attribution.COMMON_CAUSE_S)
            if not quarantined(platform.hosts[0]):
                await callers.until_crashes(1, SHARED, DEADLY)
        await platform.until(lambda: all(map(quarantined, platform.hosts)))
        await callers.until_answered(SHARED)
        key = f"{platformkit.SERVICE}/{DEADLY}"
        assert {k for h in platform.hosts for k in quarantines(h)} == {key}
