"""The coordinator of a service: silent, lost, new, and its soft state."""

import asyncio

import pytest

from camphortray import errors
from camphortray import orphaned_leases
from camphortray import shards
from camphortray import slot_client
from camphortray import slot_messages
from camphortray import slot_scheduler
from tests import platformkit
from tests import slotclientkit

SERVICE = platformkit.SERVICE


async def test_all_hosts_ask_one_coordinator_and_give_all_back():
    async with platformkit.Platform(hosts=3) as platform:
        chief, _ = slotclientkit.roles(platform)
        names = {
            slotclientkit.coordinator(h.part(slot_client.SlotClient))
            for h in platform.hosts
        }
        assert len(names) == 1
        asks = [
            slotclientkit.ask(host, f"{n}-{m}")
            for n, host in enumerate(platform.hosts)
            for m in range(5)
        ]
        assert set(await asyncio.gather(*asks)) == {200}
        book = (
            chief.part(slot_client.SlotClient).served.by_service[SERVICE].book
        )
        await platform.until(lambda: not book.leases)
        assert not book.used
        for host in platform.hosts:
            held = host.part(slot_client.SlotClient)
            assert not held.held
            assert not held.pending


async def test_a_silent_coordinator_costs_a_moment_and_is_left():
    # It stands still: links stay open and nothing comes back. The request
    # that finds out is placed by its own host; the next ones ask another.
    async with platformkit.Platform(hosts=2) as platform:
        chief, other = slotclientkit.roles(platform)

        async def silent(sender, message):
            await asyncio.sleep(3600)

        links = chief.part(slot_client.SlotClient).links
        links.handlers[slot_messages.SlotAsk] = silent
        links.handlers[slot_messages.LeaseReport] = silent
        assert await slotclientkit.ask(other, "a") == 200
        held = other.part(slot_client.SlotClient)
        assert set(held.coordinators.excluded) == {
            chief.part(slot_client.SlotClient).own_name
        }
        assert slotclientkit.coordinator(held) == held.own_name
        assert held.share_of(SERVICE) < 1.0
        assert await slotclientkit.ask(other, "b") == 200


async def test_an_engine_its_coordinator_does_not_know_to_leave_is_avoided():
    # The holder has heard that the engine leaves, the coordinator not yet.
    async with platformkit.Platform(hosts=2) as platform:
        _, other = slotclientkit.roles(platform)
        held = other.part(slot_client.SlotClient)
        held.active_config.engines.mark_draining("i-0")
        for number in range(8):
            placed = await held.acquire(
                SERVICE,
                slot_scheduler.SlotRequest(
                    f"w{number}",
                    held.own_name,
                    True,
                    asked_at=held.clock.monotonic(),
                ),
            )
            assert placed.upstream.name == "i-1"


def test_a_want_travels_whole():
    # Times travel as seconds from now; all else as it is.
    want = slot_scheduler.SlotRequest(
        "w", "h", False, 1, 5.0, 0.3, 4.0, 23.5, 4.75, "p",
        frozenset({"e1"}), "z", 1.5, 0.04,
    )  # fmt: skip
    text = slot_messages.WireRequest.of(want, 7.0)
    assert text.want("h", 7.0) == want
    # One from a release that did not send the last fields.
    short = slot_messages.WireRequest(*text[:-2]).want("h", 7.0)
    assert (short.made_s, short.start_s) == (0.0, 0.0)


async def test_a_new_book_leaves_alone_what_engines_still_run():
    # All hosts have lost power. They are back after a second, and their
    # engine still runs batch items of before, whose connections were never
    # closed. A question sent there would wait in the engine for seconds; it
    # is refused at once, and served when a slot is free there.
    async with platformkit.Platform(hosts=0, engines=1) as platform:
        (engine,) = platform.engines.values()
        engine.foreign = 8
        host = await platform.add("host-0")
        await platform.until(lambda: host.ready)
        served = host.part(slot_client.SlotClient).served
        book = served.coordinator(SERVICE).book
        await platform.until(lambda: book.use.orphaned)
        assert await slotclientkit.ask(host, "a1") == 503
        assert not engine.ran
        engine.foreign = 0
        await platform.until(lambda: not book.use.orphaned)
        assert await slotclientkit.ask(host, "a2") == 200


async def test_an_engine_that_does_not_report_is_used_all_the_same(
    monkeypatch,
):
    async def silent(self, entry):
        raise errors.UpstreamTimeout("late", ran=False, step="load")

    monkeypatch.setattr(slot_client.SlotClient, "runs_at", silent)
    async with platformkit.Platform(hosts=1, engines=1) as platform:
        (host,) = platform.hosts
        assert await slotclientkit.ask(host, "a1") == 200
        assert (
            not host.part(slot_client.SlotClient)
            .served.coordinator(SERVICE)
            .book.use.orphaned
        )


async def test_a_grant_that_is_taken_back_at_once_is_none(monkeypatch):
    # Grant and recall of an item come in one packet, before the item has
    # taken notice. Run all the same, it would share its slot with the
    # question that has it now, inside the engine.
    async with platformkit.Platform(hosts=1, engines=1) as platform:
        part = platform.hosts[0].part(slot_client.SlotClient)
        asked = []

        async def ask(pending):
            asked.append(pending.want.id)

        monkeypatch.setattr(part, "ask", ask)
        want = slot_scheduler.SlotRequest("i", part.own_name, False)
        task = asyncio.create_task(part.acquire(SERVICE, want))
        await platform.until(lambda: asked)
        word = slot_messages.SlotDecisions(SERVICE, {"i": "i-0"}, {}, ("i",))
        part.on_decisions(word, part.own_name)
        await platform.until(lambda: len(asked) == 2)
        assert not part.held
        assert not part.recalled
        again = slot_messages.SlotDecisions(SERVICE, {asked[1]: "i-0"})
        part.on_decisions(again, part.own_name)
        held = await task
        assert held.want.id == asked[1] != "i"


@pytest.mark.parametrize("asker", [2, 3])
async def test_all_hosts_leave_a_coordinator_that_its_successor_cannot_reach(
    asker,
):
    """Each host found out with a request of its own, which waited for it."""
    async with platformkit.Platform(hosts=4) as platform:
        chief, _ = slotclientkit.roles(platform)
        names = [
            host.part(slot_client.SlotClient).own_name
            for host in platform.hosts
        ]
        ranked = shards.rank(f"slots/{SERVICE}", names)
        other = platform.hosts[names.index(ranked[asker])]

        async def silent(sender, message):
            await asyncio.sleep(3600)

        first = chief.part(slot_client.SlotClient)
        first.links.handlers[slot_messages.SlotAsk] = silent
        # The first request finds out; the next one asks the successor.
        assert await slotclientkit.ask(other, "a") == 200
        assert await slotclientkit.ask(other, "b") == 200
        rest = [
            host.part(slot_client.SlotClient)
            for host in platform.hosts
            if host is not chief
        ]
        name = first.own_name
        await platform.until(
            lambda: all(name in part.coordinators.excluded for part in rest)
        )
        successors = {slotclientkit.coordinator(part) for part in rest}
        assert len(successors) == 1
        (successor,) = (part for part in rest if part.own_name in successors)
        assert name not in successors
        assert await slotclientkit.ask(other, "c") == 200
        await platform.until(lambda: successor.share_of(SERVICE) == 1.0)


async def test_a_coordinator_on_a_share_leaves_the_engines_alone(monkeypatch):
    """Hundreds of hosts, each on its own, polled all engines for seconds."""
    asked = []

    async def noted(self, entry):
        asked.append(entry.name)
        return 3

    monkeypatch.setattr(slot_client.SlotClient, "runs_at", noted)
    monkeypatch.setattr(slot_client.SlotClient, "share_of", lambda *_: 0.5)
    async with platformkit.Platform(hosts=1, engines=2) as platform:
        (host,) = platform.hosts
        part = host.part(slot_client.SlotClient)
        coordinator = part.served.coordinator(SERVICE)
        now = part.clock.monotonic()
        coordinator.book.use.found("i-0", 2, now)
        coordinator.act(coordinator.book.decide(now))
        assert await slotclientkit.ask(host, "a") == 200
        assert not asked
        monkeypatch.setattr(orphaned_leases, "LONGEST_S", 0.0)
        coordinator.book.use.orphaned.held["i-0"].until = now
        part.served.expire_holders()
        assert not coordinator.book.use.orphaned
