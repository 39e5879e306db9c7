"""Items at engines: resumed, moved, given up only when that is right."""

import asyncio
import dataclasses

import pytest

from camphortray import clock as clocks
from camphortray import enginehealth
from camphortray import errors
from camphortray import item_deadline
from camphortray import itemwork
from camphortray import partition_records
from camphortray import partition_state
from camphortray import routemap
from tests import hostkit

pytestmark = pytest.mark.looptime
DONE, ABANDONED = (
    partition_records.State.DONE,
    partition_records.State.ABANDONED,
)


def work_of(script, routes=(hostkit.BATCH_ROUTE,), age_s=0.0):
    """Return an item's work, with engines that follow a script."""
    clock = clocks.SystemClock()
    parts = hostkit.work_parts(clock, script, routes)
    item = partition_records.Item("i1", "/p/1", (("model", "m"),), b"body", 10)
    job = partition_state.Job("j", "h", "/p/", clock.wall() - age_s, [item])
    return itemwork.ItemWork(parts, job, 0)


def text(last):
    """Return the text of a whole answer."""
    return b"\n".join(f"d{n}".encode() for n in range(1, last + 1))


def asked(work):
    """Return after which event each request was to go on."""
    return [r.resume_after for _, r in work.parts.backends.party.seen]


async def test_an_item_is_done_with_all_its_events():
    work = work_of([hostkit.Answer(hostkit.events(1, 5))])
    assert await work.run() == partition_records.Result(0, DONE, text(5))
    ((_, request),) = work.parts.backends.party.seen
    assert request.id == "i1"
    assert request.body == b"body"
    assert ("host", "h") in request.headers


@pytest.mark.parametrize(
    "fault",
    [hostkit.BROKEN, hostkit.SILENT],
    ids=["broken", "silent"],
)
async def test_an_item_goes_on_behind_its_last_whole_event(fault):
    # An engine breaks off, or falls silent, in the middle of event 3. The
    # item goes on elsewhere after event 2; its text has each event once.
    torn = hostkit.event(3)[:6]
    work = work_of(
        [
            hostkit.Answer([*hostkit.events(1, 2), torn, fault]),
            hostkit.Answer(hostkit.events(3, 5)),
        ]
    )
    assert (await work.run()).text == text(5)
    assert asked(work) == ["", "2"]
    names = [name for name, _ in work.parts.backends.party.seen]
    assert names[0] != names[1]


async def test_an_end_in_the_middle_of_an_event_is_no_end():
    torn = hostkit.event(3)[:6]
    work = work_of(
        [
            hostkit.Answer([*hostkit.events(1, 2), torn]),
            hostkit.Answer(hostkit.events(3, 4)),
        ]
    )
    assert (await work.run()).text == text(4)


async def test_an_engine_that_goes_on_at_the_wrong_event_is_not_believed():
    work = work_of(
        [
            hostkit.Answer([*hostkit.events(1, 2), hostkit.BROKEN]),
            hostkit.Answer(hostkit.events(4, 6)),
            hostkit.Answer(hostkit.events(3, 6)),
        ]
    )
    assert (await work.run()).text == text(6)
    assert asked(work) == ["", "2", "2"]


async def test_a_slot_taken_back_keeps_what_has_come():
    work = work_of([])
    party = work.parts.backends.party

    async def read(timeout_s):
        work.parts.slots.revokes[-1]()
        await asyncio.sleep(1)

    first = hostkit.Answer(hostkit.events(1, 2))
    given = first.read

    async def then_revoked(timeout_s):
        return await (given(timeout_s) if first.chunks else read(timeout_s))

    first.read = then_revoked
    party.script = [first, hostkit.Answer(hostkit.events(3, 4))]
    assert (await work.run()).text == text(4)
    assert asked(work) == ["", "2"]
    assert first.closed


@pytest.mark.parametrize(
    ("statuses", "state"),
    [
        ([422], ABANDONED),
        ([500, 500, 500], ABANDONED),
        ([500, 500, 0], DONE),
        ([504, 504, 504, 504, 0], DONE),
    ],
)
async def test_when_an_item_is_abandoned(statuses, state):
    script = [
        hostkit.Answer([b"{}"], status)
        if status
        else hostkit.Answer(hostkit.events(1, 2))
        for status in statuses
    ]
    assert (await work_of(script).run()).state is state


async def test_refusals_as_not_run_never_end_an_item():
    script = [hostkit.FULL, hostkit.UNREACHED] * 20
    work = work_of([*script, hostkit.Answer(hostkit.events(1, 1))])
    assert (await work.run()).state is DONE


async def test_a_host_without_a_configuration_gives_nothing_up():
    # All hosts lose power while the store is away. One that starts reads
    # its jobs before the configuration: it knows no route, and gave the
    # items up at once, although the operator had taken no route away.
    work = work_of([hostkit.Answer(hostkit.events(1, 1))], routes=())
    work.parts.active_config.view = routemap.EMPTY_CONFIGURATION
    task = asyncio.ensure_future(work.run())
    await asyncio.sleep(30.0)
    assert not task.done()
    held = work.parts.active_config
    held.view = routemap.Configuration(1)
    held.routes = routemap.RouteMap([hostkit.BATCH_ROUTE])
    assert (await task).state is DONE


async def test_items_of_a_route_that_was_taken_away_are_given_up():
    work = work_of([], routes=())
    task = asyncio.ensure_future(work.run())
    work.parts.active_config.away = True
    await asyncio.sleep(30.0)
    assert not task.done()
    work.parts.active_config.away = False
    assert (await task).state is ABANDONED


async def test_an_item_past_its_keeping_time_is_given_up_but_not_before():
    work = work_of([], age_s=61.0)
    work.parts.slots.refusals = 10_000
    task = asyncio.ensure_future(work.run())
    await asyncio.sleep(2.0)
    assert not task.done()
    await asyncio.sleep(item_deadline.KEEP_SLACK_S)
    assert (await task).state is ABANDONED


async def test_an_engine_that_says_it_leaves_is_passed_on():
    leaving = errors.UpstreamRefused(
        "leaves", status=503, ran=False, leaving=True
    )
    work = work_of([leaving, hostkit.Answer(hostkit.events(1, 1))])
    await work.run()
    assert work.parts.active_config.left == ["e0"]


async def test_an_item_whose_route_moved_while_it_waited_goes_elsewhere():
    # It waited for a slot of one service; meanwhile the operator led the
    # route to another. Run at the old one it would break the new version.
    moved = dataclasses.replace(
        hostkit.BATCH_ROUTE, targets=(routemap.Target("s2"),)
    )
    work = work_of([hostkit.Answer(hostkit.events(1, 1))])
    slots = work.parts.slots
    acquire = slots.acquire

    async def late(service, want, on_revoke=None):
        held = work.parts.active_config
        held.routes = routemap.RouteMap([moved])
        return await acquire(service, want, on_revoke)

    slots.acquire = late
    assert (await work.run()).state is DONE
    assert len(slots.ends) == 2
    assert len(work.parts.backends.party.seen) == 1


async def test_an_item_does_not_wait_for_ever_at_a_service_left():
    # No engine of the old service is left, so no slot comes.
    work = work_of([hostkit.Answer(hostkit.events(1, 1))])
    slots = work.parts.slots
    acquire, asked = slots.acquire, []

    async def never(service, want, on_revoke=None):
        asked.append(service)
        if len(asked) < 3:
            await asyncio.sleep(3600.0)
        return await acquire(service, want, on_revoke)

    slots.acquire = never
    assert (await work.run()).state is DONE
    assert len(asked) == 3


async def test_an_item_goes_on_from_what_the_owner_before_has_got():
    # Its partition changed hands while it ran. The next owner had begun it
    # anew and hears then how far the last one was.
    slow = hostkit.Answer(hostkit.events(1, 1))
    given = slow.read

    async def read(timeout_s):
        if slow.chunks:
            return await given(timeout_s)
        await asyncio.sleep(3600.0)

    slow.read = read
    work = work_of([slow, hostkit.Answer(hostkit.events(4, 5))])
    task = asyncio.ensure_future(work.run())
    await asyncio.sleep(0.01)
    work.go_on_from(itemwork.Progress(0, "3", (b"d1", b"d2", b"d3")))
    assert (await task).text == text(5)
    assert asked(work) == ["", "3"]


async def test_what_is_behind_changes_nothing():
    work = work_of([hostkit.Answer(hostkit.events(1, 3))])
    task = asyncio.ensure_future(work.run())
    assert (await task).text == text(3)
    work.go_on_from(itemwork.Progress(0, "2", (b"d1", b"d2")))
    assert work.progress == itemwork.Progress(0, "3", (b"d1", b"d2", b"d3"))


@pytest.mark.parametrize(
    ("age_s", "outcome"),
    [
        (63.9, enginehealth.Outcome.NOTHING),
        (10.0, enginehealth.Outcome.BROKEN),
    ],
    ids=["its time is over", "in its time"],
)
async def test_a_run_ended_by_its_own_time_says_nothing_of_its_engine(
    age_s, outcome
):
    # Callers saw items left lying while engines stood idle. Runs of an old
    # job's items were ended by their engines as the time given to them was
    # over; three of them in a row put an engine aside for seconds and let
    # it have one request at a time after that, and so with each engine.
    work = work_of(
        [
            hostkit.Answer([hostkit.event(1), hostkit.BROKEN]),
            hostkit.Answer(hostkit.events(2, 3)),
        ],
        age_s=age_s,
    )
    await work.run()
    assert work.parts.slots.ends[0] is outcome
