"""Rate limits of workspaces over several hosts, in virtual time."""

import asyncio
import contextlib
import random

import pytest

from bench import fleet as fleets
from camphortray import errors
from camphortray import limits
from camphortray import messages
from camphortray import ratelimits

pytestmark = pytest.mark.looptime
LIMIT = 20.0


@contextlib.asynccontextmanager
async def entries(hosts):
    """Run entries that know each other and share one limit."""
    values = {"model.lm.version": "1", "workspace.w.requests_per_s": LIMIT}
    fleet = fleets.Fleet(hosts, 1, values, seed=1)
    for program in fleet.entries:
        part = ratelimits.RateLimits.from_config(program.context)
        program.context.parts[part.name] = part
    await fleet.start()
    for program in fleet.entries:
        await program.part(ratelimits.RateLimits).start()
    yield fleet
    await fleet.stop()


async def offer(fleet, rates, seconds):
    """Offer requests at a rate per host; return how many passed each."""

    async def at(program, rate):
        part, passed = program.part(ratelimits.RateLimits), 0
        for _ in range(int(rate * seconds)):
            await asyncio.sleep(1 / rate)
            with contextlib.suppress(errors.Refused):
                part.check(fleet.service, "w")
                passed += 1
        return passed

    tasks = [
        at(program, rate)
        for program, rate in zip(fleet.entries, rates, strict=False)
    ]
    return await asyncio.gather(*tasks)


@pytest.mark.parametrize(
    "rates, least, most",
    [
        ((10.0,), 9.5, 10.0),
        ((100.0,), 18.0, 21.0),
        ((100.0, 100.0, 100.0), 18.0, 22.0),
        ((2.0, 100.0, 2.0), 18.0, 22.0),
        ((5.0, 5.0, 5.0), 14.0, 15.0),
    ],
)
async def test_hosts_share_a_limit_by_demand(rates, least, most):
    # A workspace's callers use one host, or all, or lean on one. In each
    # case it gets what it asks for up to its limit, not its limit at each
    # host and not a host's even part of it.
    async with entries(6) as fleet:
        await offer(fleet, rates, 10)
        passed = await offer(fleet, rates, 20)
        assert least <= sum(passed) / 20 <= most


async def test_a_host_cut_off_falls_back_to_its_part():
    # The host that divides the limit is out of reach. The others go on
    # with the share they had, then with an even part each: under the
    # limit together, and never without any.
    async with entries(4) as fleet:
        rates = (100.0,) * 4
        await offer(fleet, rates, 10)
        fleet.network.cut.update(f"host-{number}" for number in range(4))
        await offer(fleet, rates, 10)
        passed = await offer(fleet, rates, 10)
        assert 0 < min(passed) and sum(passed) / 10 <= LIMIT * 1.1


async def test_a_refusal_says_when_to_come_back():
    async with entries(1) as fleet:
        part = fleet.entries[0].part(ratelimits.RateLimits)
        with pytest.raises(errors.Refused) as caught:
            for _ in range(100):
                part.check(fleet.service, "w")
        refusal = caught.value
        assert (refusal.status, refusal.ran) == (429, "no")
        assert 1 <= refusal.retry_after <= 2
        part.check(fleet.service, "without-a-limit")


def test_shares_never_exceed_the_limit_while_demand_does():
    divider = limits.Divider()
    rng = random.Random(1)
    for now in range(20):
        shares = {
            host: divider.divide(now, host, rng.uniform(1, 9), 20.0, 50)
            for host in ("a", "b", "c", "d", "e", "f")
        }
        if now:
            assert sum(s.rate for s in shares.values()) <= 20.0 * 1.2


def test_the_cost_at_the_target_size():
    # One host of 390 sees 24 requests a second from 6,900 workspaces, all
    # with limits, few of them often. What it sends for limits, one message
    # for each workspace at worst, stays well under 3 KB/s; what it answers
    # as divider is as much, since every host is alike.
    local, rng, sent = limits.LocalLimits(), random.Random(1), 0
    share = limits.Share(1.0, limits.FAR_S)
    seconds = 120
    for second in range(seconds):
        for _ in range(24):
            number = int(rng.random() ** 3 * 6900)
            local.take(second, f"assist/workspace-{number}", 30.0, 390)
        for key, demand in local.due(second).items():
            ask = ratelimits.Demands({key: demand})
            answer = ratelimits.Shares({key: share})
            for message in (ask, answer):
                sent += len(messages.encode(messages.Envelope(1, 0, message)))
            local.give(second, key, share)
    assert sent / seconds < 1000
    print(f"{sent / seconds:.0f} bytes per second")
