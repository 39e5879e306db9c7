"""What hosts hold is made known to coordinators that are new, or err."""

import asyncio

from camphortray import placing
from camphortray import placingcalls
from tests import placingkit
from tests import platformkit

SERVICE = platformkit.SERVICE


async def test_a_coordinator_that_is_lost_is_followed_by_the_next():
    async with platformkit.Platform(hosts=2) as platform:
        chief, other = placingkit.roles(platform)
        for engine in platform.engines.values():
            engine.faults = ["wait"] * 4
        asking = asyncio.ensure_future(placingkit.ask(other, "running"))
        held = other.part(placing.Placing)
        await platform.until(lambda: held.held)
        await chief.kernel.stop()
        platform.hosts.remove(chief)
        for engine in platform.engines.values():
            engine.faults.clear()
        assert await placingkit.ask(other, "next") == 200
        # What runs is known to the new one from its holder's report.
        await platform.until(
            lambda: (
                SERVICE in held.desks.held
                and "running.0" in held.desks.held[SERVICE].book.leases
            )
        )
        for engine in platform.engines.values():
            engine.go.set()
        assert await asking == 200
        await platform.until(lambda: not held.desks.held[SERVICE].book.leases)


async def test_an_end_that_was_lost_is_made_good_by_the_next_report():
    async with platformkit.Platform(hosts=2) as platform:
        chief, other = placingkit.roles(platform)
        held = other.part(placing.Placing)
        tell, lost = held.links.tell, []

        def lose(address, message):
            if isinstance(message, placingcalls.PlaceEnd) and not lost:
                lost.append(message)
                return
            tell(address, message)

        held.links.tell = lose
        assert await placingkit.ask(other, "a") == 200
        assert lost
        book = chief.part(placing.Placing).desks.held[SERVICE].book
        assert "a.0" in book.leases
        for engine in platform.engines.values():
            engine.faults = ["wait"] * 4
        # Something must be held, or there is nothing to report.
        asking = asyncio.ensure_future(placingkit.ask(other, "b"))
        await platform.until(lambda: "a.0" not in book.leases)
        for engine in platform.engines.values():
            engine.go.set()
        assert await asking == 200
