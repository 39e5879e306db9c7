"""What hosts hold is made known to coordinators that are new, or err."""

import asyncio

import pytest

from camphortray import lease_reporting
from camphortray import slot_client
from camphortray import slot_coordinator
from camphortray import slot_messages
from tests import platformkit
from tests import slotclientkit

SERVICE = platformkit.SERVICE
# Longer than any test waits, in seconds.
LONG_S = 2 * platformkit.READY_S


async def test_a_coordinator_that_is_lost_is_followed_by_the_next():
    async with platformkit.Platform(hosts=2) as platform:
        chief, other = slotclientkit.roles(platform)
        for engine in platform.engines.values():
            engine.faults = ["wait"] * 4
        asking = asyncio.ensure_future(slotclientkit.ask(other, "running"))
        held = other.part(slot_client.SlotClient)
        await platform.until(lambda: held.held)
        await chief.kernel.stop()
        platform.hosts.remove(chief)
        for engine in platform.engines.values():
            engine.faults.clear()
        assert await slotclientkit.ask(other, "next") == 200
        # What runs is known to the new one from its holder's report.
        await platform.until(
            lambda: (
                SERVICE in held.served.by_service
                and "running.0"
                in held.served.by_service[SERVICE].scheduler.leases
            )
        )
        for engine in platform.engines.values():
            engine.go.set()
        assert await asking == 200
        await platform.until(
            lambda: not held.served.by_service[SERVICE].scheduler.leases
        )


async def test_an_end_that_was_lost_is_made_good_by_the_next_report():
    async with platformkit.Platform(hosts=2) as platform:
        chief, other = slotclientkit.roles(platform)
        held = other.part(slot_client.SlotClient)
        tell, lost = held.links.notify, []

        def lose(address, message):
            if isinstance(message, slot_messages.LeaseEnd) and not lost:
                lost.append(message)
                return
            tell(address, message)

        held.links.notify = lose
        assert await slotclientkit.ask(other, "a") == 200
        assert lost
        book = (
            chief.part(slot_client.SlotClient)
            .served.by_service[SERVICE]
            .scheduler
        )
        assert "a.0" in book.leases
        for engine in platform.engines.values():
            engine.faults = ["wait"] * 4
        # Something must be held, or there is nothing to report.
        asking = asyncio.ensure_future(slotclientkit.ask(other, "b"))
        await platform.until(lambda: "a.0" not in book.leases)
        for engine in platform.engines.values():
            engine.go.set()
        assert await asking == 200


@pytest.fixture
def no_clearing(monkeypatch):
    """Let nothing be forgotten but what its holder gives back."""
    monkeypatch.setattr(slot_coordinator, "HOLDER_TIMEOUT_S", LONG_S)


def slow_to_answer(host, until):
    """Let a host take questions for slots and answer them late."""
    links = host.part(slot_client.SlotClient).links
    handler = links.handlers[slot_messages.SlotAsk]

    async def slow(sender, message):
        reply = await handler(sender, message)
        await until.wait()
        return reply

    links.handlers[slot_messages.SlotAsk] = slow


def books(platform):
    """Return the books of slots of all hosts, by name."""
    parts = [host.part(slot_client.SlotClient) for host in platform.hosts]
    return {
        part.own_name: part.served.by_service[SERVICE].scheduler
        for part in parts
        if SERVICE in part.served.by_service
    }


async def test_a_slot_granted_to_one_that_has_given_up_is_given_back(
    no_clearing, monkeypatch
):
    # The coordinator grants, and its word comes too late, as that of a host
    # that stands still for a moment: the asker has decided for itself. The
    # slot counted as taken for three seconds, until its holder was forgotten;
    # other questions were refused with engines idle. Beside stalls of 0.1 to
    # 0.3 s, 10 of the 16 slots were taken so when questions got 503.
    monkeypatch.setattr(lease_reporting, "REPORT_S", LONG_S)
    async with platformkit.Platform(hosts=2) as platform:
        chief, other = slotclientkit.roles(platform)
        go = asyncio.Event()
        slow_to_answer(chief, go)
        assert await slotclientkit.ask(other, "a") == 200
        book = books(platform)[chief.part(slot_client.SlotClient).own_name]
        await platform.until(lambda: not book.leases)
        assert not book.used
        go.set()


async def test_all_who_may_count_a_slot_are_told_of_its_end(no_clearing):
    # The coordinator is silent; a host grants itself a slot, and turns to
    # the next coordinator while its request runs. Only that one was told of
    # the end. In its own book the slot stayed taken for good: with five such,
    # the next time it had to decide for itself it refused its callers.
    async with platformkit.Platform(hosts=3) as platform:
        chief, other = slotclientkit.roles(platform)
        for engine in platform.engines.values():
            engine.faults = ["wait"] * 4
        slow_to_answer(chief, asyncio.Event())
        asking = asyncio.ensure_future(slotclientkit.ask(other, "a"))
        held = other.part(slot_client.SlotClient)
        await platform.until(lambda: held.held)
        third = next(h for h in platform.hosts if h not in (chief, other))
        name = third.part(slot_client.SlotClient).own_name
        if slotclientkit.coordinator(held) == name:
            await platform.until(
                lambda: (
                    name in books(platform) and books(platform)[name].leases
                )
            )
        for engine in platform.engines.values():
            engine.go.set()
        assert await asking == 200
        assert not books(platform)[held.own_name].leases
        await platform.until(
            lambda: not any(book.leases for book in books(platform).values())
        )


async def test_a_lost_end_is_made_good_though_nothing_else_is_held(
    no_clearing,
):
    # The word of the last end of a host is lost with its link. It held
    # nothing more, so it told its coordinator nothing, which counted the
    # slot until it forgot that host.
    async with platformkit.Platform(hosts=2) as platform:
        chief, other = slotclientkit.roles(platform)
        held = other.part(slot_client.SlotClient)
        tell, lost = held.links.notify, []

        def lose(address, message):
            if isinstance(message, slot_messages.LeaseEnd):
                lost.append(message)
                return
            tell(address, message)

        held.links.notify = lose
        for engine in platform.engines.values():
            engine.faults = ["wait"] * 4
        asking = asyncio.ensure_future(slotclientkit.ask(other, "a"))
        await platform.until(lambda: held.reports.reported_to)
        for engine in platform.engines.values():
            engine.go.set()
        assert await asking == 200
        assert lost
        book = books(platform)[chief.part(slot_client.SlotClient).own_name]
        await platform.until(lambda: not book.leases)
        assert not held.reports.reported_to
