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
    """Run entry programs of several hosts that share one limit."""
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
    """Send requests to each host at a rate; return how many it admitted."""

    async def at(program, rate):
        part, admitted = program.part(ratelimits.RateLimits), 0
        for _ in range(int(rate * seconds)):
            await asyncio.sleep(1 / rate)
            with contextlib.suppress(errors.Refused):
                part.check(fleet.service, "w")
                admitted += 1
        return admitted

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
    # A workspace's callers use one host, several evenly, or mostly one. In
    # each case its total rate is its demand up to the limit: not the limit at
    # each host, and not just an even split for the busy one.
    async with entries(6) as fleet:
        await offer(fleet, rates, 10)
        admitted = await offer(fleet, rates, 20)
        assert least <= sum(admitted) / 20 <= most


async def test_a_partitioned_host_falls_back_to_an_even_split():
    # The host that allocates the limit is unreachable. The others continue
    # with their last share and then with an even split: within the limit
    # together, and never without any rate.
    async with entries(4) as fleet:
        rates = (100.0,) * 4
        await offer(fleet, rates, 10)
        fleet.network.cut.update(f"host-{number}" for number in range(4))
        await offer(fleet, rates, 10)
        admitted = await offer(fleet, rates, 10)
        assert 0 < min(admitted) and sum(admitted) / 10 <= LIMIT * 1.1


async def test_a_refusal_says_when_to_retry():
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
    allocator = limits.ShareAllocator()
    rng = random.Random(1)
    for now in range(20):
        shares = {
            host: allocator.allocate(now, host, rng.uniform(1, 9), 20.0, 50)
            for host in ("a", "b", "c", "d", "e", "f")
        }
        if now:
            assert sum(s.rate for s in shares.values()) <= 20.0 * 1.2


def test_the_cost_at_the_target_size():
    # One host of 390 gets 24 requests per second from 6,900 workspaces, all
    # with limits, few of them often. Its reports, at worst one message for
    # each workspace, stay well below 3 KB/s; its answers as allocator are as
    # much, since all hosts have the same load.
    local, rng, sent = limits.LocalLimits(), random.Random(1), 0
    share = limits.Share(1.0, limits.LOW_DEMAND_SHARE_S)
    seconds = 120
    for second in range(seconds):
        for _ in range(24):
            number = int(rng.random() ** 3 * 6900)
            local.take(second, f"assist/workspace-{number}", 30.0, 390)
        for key, demand in local.due_reports(second).items():
            ask = ratelimits.Demands({key: demand})
            answer = ratelimits.Shares({key: share})
            for message in (ask, answer):
                sent += len(messages.encode(messages.Envelope(1, 0, message)))
            local.set_share(second, key, share)
    assert sent / seconds < 1000
    print(f"{sent / seconds:.0f} bytes per second")
