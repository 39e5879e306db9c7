"""Items at engines: resumed, moved to others, and when abandoned."""

import asyncio

import msgspec
import pytest

from camphortray import clock as clocks
from camphortray import engine_crashes
from camphortray import engine_registry
from camphortray import enginehealth
from camphortray import errors
from camphortray import item_deadline
from camphortray import item_retry
from camphortray import itemwork
from camphortray import partition_records
from camphortray import partition_state
from camphortray import routemap
from tests import hostkit

pytestmark = pytest.mark.looptime(noop_cycles=0)
DONE, ABANDONED = (
    partition_records.State.DONE,
    partition_records.State.ABANDONED,
)


def work_of(script, routes=(hostkit.BATCH_ROUTE,), age_s=0.0):
    """Return the work of an item, with engines that follow a script."""
    clock = clocks.SystemClock()
    parts = hostkit.work_parts(clock, script, routes)
    item = partition_records.Item("i1", "/p/1", (("model", "m"),), b"body", 10)
    job = partition_state.Job("j", "h", "/p/", clock.wall() - age_s, [item])
    return itemwork.ItemWork(parts, job, 0)


def text(last):
    """Return the text of a complete answer."""
    return b"\n".join(f"d{n}".encode() for n in range(1, last + 1))


def resume_points(work):
    """Return the event after which each request asked to resume."""
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
    # An engine breaks off, or stops sending, in the middle of event 3. The
    # item resumes at another after event 2; its text has each event once.
    torn = hostkit.event(3)[:6]
    work = work_of(
        [
            hostkit.Answer([*hostkit.events(1, 2), torn, fault]),
            hostkit.Answer(hostkit.events(3, 5)),
        ]
    )
    assert (await work.run()).text == text(5)
    assert resume_points(work) == ["", "2"]
    names = [name for name, _ in work.parts.backends.party.seen]
    assert names[0] != names[1]


async def test_an_item_completed_by_few_events_shows_that_no_engine_crashes():
    """An item that tested a quarantine was done, and the quarantine held."""
    first = hostkit.Answer([*hostkit.events(1, 3), hostkit.BROKEN])
    work = work_of([first, hostkit.Answer(hostkit.events(4, 5))])
    assert (await work.run()).text == text(5)
    ends = [(n, e is None) for _, n, e in work.parts.engine_crashes.ended]
    assert ends == [(3, False), (engine_crashes.PAST_EVENTS, True)]


@pytest.mark.parametrize(
    ("versions", "known", "resumed"),
    [
        # Another engine of its version serves.
        (["v1", "v2", "v1"], "v1", "2"),
        (["v1", "v2"], "v1", ""),
        # An engine that tells no version, and engines that tell none.
        (["v1", ""], "", ""),
        (["", "v1"], "v1", ""),
        (["", ""], "", "2"),
    ],
)
async def test_the_text_of_an_item_is_of_one_version(versions, known, resumed):
    # An engine breaks off while engines of other versions serve.
    first = 3 if resumed else 1
    work = work_of(
        [
            hostkit.Answer([*hostkit.events(1, 2), hostkit.BROKEN]),
            hostkit.Answer(hostkit.events(first, 5)),
        ]
    )
    hostkit.serve(work.parts.active_config, work.parts.slots, versions)
    assert (await work.run()).text == text(5)
    assert resume_points(work) == ["", resumed]


@pytest.mark.parametrize(
    ("origin", "resumed"),
    [
        (itemwork.Origin("s", "v1"), "2"),
        (itemwork.Origin("s", "v2"), ""),
        (itemwork.Origin("other", "v1"), ""),
        # A host of the release before names no origin.
        (itemwork.UNKNOWN_ORIGIN, ""),
    ],
)
async def test_output_of_the_previous_owner_is_of_one_version(origin, resumed):
    # A partition changes hands while engines of other versions serve.
    first = 3 if resumed else 1
    work = work_of([hostkit.Answer(hostkit.events(first, 5))])
    work.parts.slots.versions = {"e0": "v1"}
    work.parts.active_config.engines.put(
        engine_registry.EngineEntry("e0", "s", "127.0.0.1:1", software="v1")
    )
    work.resume_from(itemwork.Progress(0, "2", (b"d1", b"d2"), origin))
    assert (await work.run()).text == text(5)
    assert resume_points(work) == [resumed]


async def test_an_item_without_a_slot_of_its_version_begins_anew():
    # Engines of its version are full, and it must not wait for ever.
    work = work_of([hostkit.Answer(hostkit.events(1, 5))])
    slots = work.parts.slots
    slots.versions = {"e0": "v2"}
    acquire = slots.acquire

    async def acquire_at_v2(service, want, on_revoke=None):
        if want.version:
            await asyncio.sleep(3600)
        return await acquire(service, want, on_revoke)

    slots.acquire = acquire_at_v2
    for name in ("v1", "v2"):
        work.parts.active_config.engines.put(
            engine_registry.EngineEntry(
                name, "s", f"127.0.0.1:{name[1]}", software=name
            )
        )
    origin = itemwork.Origin("s", "v1")
    work.resume_from(itemwork.Progress(0, "2", (b"d1", b"d2"), origin))
    async with asyncio.timeout(2 * itemwork.SLOT_TIMEOUT_S):
        assert (await work.run()).text == text(5)
    assert resume_points(work) == [""]


async def test_a_stream_that_ends_in_the_middle_of_an_event_is_incomplete():
    torn = hostkit.event(3)[:6]
    work = work_of(
        [
            hostkit.Answer([*hostkit.events(1, 2), torn]),
            hostkit.Answer(hostkit.events(3, 4)),
        ]
    )
    assert (await work.run()).text == text(4)


async def test_an_engine_that_resumes_at_the_wrong_event_is_rejected():
    work = work_of(
        [
            hostkit.Answer([*hostkit.events(1, 2), hostkit.BROKEN]),
            hostkit.Answer(hostkit.events(4, 6)),
            hostkit.Answer(hostkit.events(3, 6)),
        ]
    )
    assert (await work.run()).text == text(6)
    assert resume_points(work) == ["", "2", "2"]


async def test_the_output_is_kept_when_a_slot_is_revoked():
    work = work_of([])
    party = work.parts.backends.party

    async def read(timeout_s):
        work.parts.slots.revokes[-1]()
        await asyncio.sleep(1)

    first = hostkit.Answer(hostkit.events(1, 2))
    original_read = first.read

    async def then_revoked(timeout_s):
        return await (
            original_read(timeout_s) if first.chunks else read(timeout_s)
        )

    first.read = then_revoked
    party.script = [first, hostkit.Answer(hostkit.events(3, 4))]
    assert (await work.run()).text == text(4)
    assert resume_points(work) == ["", "2"]
    assert first.closed


@pytest.mark.parametrize(
    ("end", "cause"),
    [
        (lambda work, task: work.revoke(), "revoked"),
        (
            lambda work, task: work.resume_from(
                itemwork.Progress(0, "3", (b"d1", b"d2", b"d3"))
            ),
            "overtaken",
        ),
        (lambda work, task: work.abort(), "stalled"),
        (lambda work, task: task.cancel(), "owner_stopped"),
    ],
)
async def test_each_end_of_a_run_is_counted_by_its_cause(end, cause):
    """Guards against losses and the system's own choices counted as one."""
    first = hostkit.Answer(hostkit.events(1, 2))
    read_chunk = first.read

    async def read(timeout_s):
        if not first.chunks:
            await asyncio.sleep(timeout_s)
        return await read_chunk(timeout_s)

    first.read = read
    following = 4 if cause == "overtaken" else 3
    work = work_of([first, hostkit.Answer(hostkit.events(following, 4))])
    task = asyncio.ensure_future(work.run())
    while work.reader.count < 2:
        await asyncio.sleep(0.01)
    end(work, task)
    await asyncio.wait({task}, timeout=1.0)
    text, _ = work.parts.metrics.render()
    counted = [
        line
        for line in text.decode().splitlines()
        if line.startswith("camphortray_tries_ended_early_total{")
    ]
    assert len(counted) == 1
    assert f'"{cause}"' in counted[0]


@pytest.mark.parametrize(
    ("statuses", "state"),
    [
        ([422], ABANDONED),
        ([500, 500, 500], ABANDONED),
        ([500, 500, 0], DONE),
        ([504, 504, 504, 504, 0], DONE),
    ],
)
async def test_which_failures_abandon_an_item(statuses, state):
    script = [
        hostkit.Answer([b"{}"], status)
        if status
        else hostkit.Answer(hostkit.events(1, 2))
        for status in statuses
    ]
    assert (await work_of(script).run()).state is state


async def test_refusals_that_did_not_run_never_end_an_item():
    script = [hostkit.FULL, hostkit.UNREACHED] * 20
    work = work_of([*script, hostkit.Answer(hostkit.events(1, 1))])
    assert (await work.run()).state is DONE


async def test_a_host_without_a_configuration_gives_nothing_up():
    # All hosts lose power while the store is unavailable. A host that starts
    # reads its jobs before the configuration, so it knows no route. It
    # abandoned the items at once although no route had been removed.
    work = work_of([hostkit.Answer(hostkit.events(1, 1))], routes=())
    work.parts.active_config.view = routemap.EMPTY_CONFIGURATION
    task = asyncio.ensure_future(work.run())
    await asyncio.sleep(30.0)
    assert not task.done()
    config = work.parts.active_config
    config.view = routemap.Configuration(1)
    config.routes = routemap.RouteMap([hostkit.BATCH_ROUTE])
    assert (await task).state is DONE


async def test_items_of_a_removed_route_are_abandoned():
    work = work_of([], routes=())
    task = asyncio.ensure_future(work.run())
    work.parts.active_config.away = True
    await asyncio.sleep(30.0)
    assert not task.done()
    work.parts.active_config.away = False
    assert (await task).state is ABANDONED


async def test_an_item_is_abandoned_after_its_retention_and_not_before():
    work = work_of([], age_s=61.0)
    work.parts.slots.refusals = 10_000
    task = asyncio.ensure_future(work.run())
    await asyncio.sleep(2.0)
    assert not task.done()
    await asyncio.sleep(item_deadline.RETENTION_SLACK_S)
    assert (await task).state is ABANDONED


async def test_an_engine_that_says_it_is_leaving_is_reported():
    leaving = errors.UpstreamRefused(
        "leaves", status=503, ran=False, leaving=True
    )
    work = work_of([leaving, hostkit.Answer(hostkit.events(1, 1))])
    await work.run()
    assert work.parts.active_config.left == ["e0"]


async def test_an_item_whose_route_moved_while_it_waited_goes_elsewhere():
    # The item waits for a slot of one service while the operator points the
    # route to another. At the old service it would run on the old version.
    moved = msgspec.structs.replace(
        hostkit.BATCH_ROUTE, targets=(routemap.Target("s2"),)
    )
    work = work_of([hostkit.Answer(hostkit.events(1, 1))])
    slots = work.parts.slots
    acquire = slots.acquire

    async def late(service, want, on_revoke=None):
        config = work.parts.active_config
        config.routes = routemap.RouteMap([moved])
        return await acquire(service, want, on_revoke)

    slots.acquire = late
    assert (await work.run()).state is DONE
    assert len(slots.ends) == 2
    assert len(work.parts.backends.party.seen) == 1


@pytest.mark.parametrize("prefix", ["/p/", "/p/1", "/"])
@pytest.mark.parametrize("removed", [False, True])
async def test_no_item_runs_at_the_service_of_a_streaming_route(
    prefix, removed
):
    """Guards against items taken by a route whose prefix covers their path."""
    other = msgspec.structs.replace(
        hostkit.STREAM_ROUTE, prefix=prefix, targets=(routemap.Target("s2"),)
    )
    routes = [other] if removed else [other, hostkit.BATCH_ROUTE]
    work = work_of([hostkit.Answer(hostkit.events(1, 1))], routes)
    result = await work.run()
    assert result.state is (ABANDONED if removed else DONE)
    assert work.parts.slots.services == ([] if removed else ["s"])


async def test_an_item_does_not_wait_forever_for_a_former_service():
    # The old service has no engine any more, so no slot is granted.
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


async def test_an_item_resumes_from_the_progress_of_the_previous_owner():
    # Its partition changed owners while it ran. The new owner has restarted
    # it, and then receives the progress of the previous one.
    slow = hostkit.Answer(hostkit.events(1, 1))
    original_read = slow.read

    async def read(timeout_s):
        if slow.chunks:
            return await original_read(timeout_s)
        await asyncio.sleep(3600.0)

    slow.read = read
    work = work_of([slow, hostkit.Answer(hostkit.events(4, 5))])
    task = asyncio.ensure_future(work.run())
    await asyncio.sleep(0.01)
    work.resume_from(itemwork.Progress(0, "3", (b"d1", b"d2", b"d3")))
    assert (await task).text == text(5)
    assert resume_points(work) == ["", "3"]


async def test_shorter_progress_changes_nothing():
    work = work_of([hostkit.Answer(hostkit.events(1, 3))])
    task = asyncio.ensure_future(work.run())
    assert (await task).text == text(3)
    work.resume_from(itemwork.Progress(0, "2", (b"d1", b"d2")))
    whole = (b"d1", b"d2", b"d3")
    assert work.progress == itemwork.Progress(
        0, "3", whole, itemwork.Origin("s")
    )


@pytest.mark.parametrize(
    ("age_s", "outcome"),
    [
        (63.9, enginehealth.Outcome.NOTHING),
        (10.0, enginehealth.Outcome.BROKEN),
    ],
    ids=["its time is over", "in its time"],
)
async def test_a_run_ended_by_its_time_limit_says_nothing_about_its_engine(
    age_s, outcome
):
    # Engines end the runs of an old job's items once their time limit has
    # passed. When these counted as failures, three in a row ejected an engine
    # for seconds and then limited it to one request at a time. This happened
    # to one engine after another: items waited while engines were idle.
    work = work_of(
        [
            hostkit.Answer([hostkit.event(1), hostkit.BROKEN]),
            hostkit.Answer(hostkit.events(2, 3)),
        ],
        age_s=age_s,
    )
    await work.run()
    assert work.parts.slots.ends[0] is outcome


async def test_an_item_that_goes_on_with_nothing_is_not_done():
    # The engine crashes before its first event; its answer has no length.
    nothing = hostkit.Answer([], end_marked=False)
    work = work_of(
        [
            hostkit.Answer([*hostkit.events(1, 2), hostkit.BROKEN]),
            nothing,
            hostkit.Answer(hostkit.events(3, 5), end_marked=False),
        ]
    )
    assert (await work.run()).text == text(5)
    assert resume_points(work) == ["", "2", "2"]


def silent_behind(last, whole, silence_s):
    """Return an answer that is silent for a time behind some events."""
    answer = hostkit.Answer(hostkit.events(1, whole))
    read_chunk, left = answer.read, [silence_s]

    async def read(timeout_s):
        if len(answer.chunks) == whole - last and left:
            wait_s = left.pop()
            await asyncio.sleep(min(wait_s, timeout_s))
            if wait_s > timeout_s:
                raise hostkit.SILENT
        return await read_chunk(timeout_s)

    answer.read = read
    return answer


def delay_slots(work, *seconds):
    """Let slots behind the first be granted so long after the request."""
    acquire, delays = work.parts.slots.acquire, [0.0, *seconds]

    async def late(service, want, on_revoke=None):
        await asyncio.sleep(delays.pop(0))
        return await acquire(service, want, on_revoke)

    work.parts.slots.acquire = late


@pytest.mark.parametrize("silence_s", [0.4, 0.7, 1.0, 1.4, 2.5])
async def test_a_run_keeps_its_silent_engine_while_no_other_has_a_slot(
    silence_s,
):
    """Guards against a slot given up for a short silence, and a second run."""
    work = work_of([silent_behind(2, 5, silence_s)])
    delay_slots(work, 3600.0)
    assert (await work.run()).text == text(5)
    assert resume_points(work) == [""]
    assert work.parts.slots.ends == [hostkit.GOOD]


@pytest.mark.parametrize(
    ("waits_s", "moved_s"),
    [
        ([0.0], itemwork.SEARCH_AFTER_S),
        ([0.3], itemwork.SEARCH_AFTER_S + 0.3),
        # Without a slot in time the run ends, and the item waits for one.
        ([3600.0, 0.3], itemwork.EVENT_TIMEOUT_S + 0.3),
    ],
)
async def test_a_lost_engine_is_left_once_another_has_a_slot(waits_s, moved_s):
    """Guards against an item that waits for an engine that is lost."""
    work = work_of(
        [
            silent_behind(2, 5, 3600.0),
            hostkit.Answer(hostkit.events(3, 5)),
        ]
    )
    delay_slots(work, *waits_s)
    began_at = asyncio.get_running_loop().time()
    assert (await work.run()).text == text(5)
    assert asyncio.get_running_loop().time() - began_at <= moved_s + 0.2
    assert resume_points(work) == ["", "2"]
    first, second = (name for name, _ in work.parts.backends.party.seen)
    assert first != second
    ends = work.parts.slots.ends
    assert ends == [enginehealth.Outcome.BROKEN, hostkit.GOOD]


@pytest.mark.parametrize("steps", range(6))
@pytest.mark.parametrize(
    "end",
    [
        lambda work, task: work.parts.slots.revokes[0](),
        lambda work, task: work.parts.slots.revokes[-1](),
        lambda work, task: work.resume_from(
            itemwork.Progress(0, "3", (b"d1", b"d2", b"d3"))
        ),
        lambda work, task: work.abort(),
        lambda work, task: task.cancel(),
    ],
    ids=["revoked", "next revoked", "overtaken", "stalled", "stopped"],
)
async def test_each_slot_is_released_once_as_a_run_moves(end, steps):
    """Guards against a slot kept, or given back while a run still has it."""
    work = work_of(
        [
            silent_behind(2, 5, 3600.0),
            *(lambda: hostkit.Answer(hostkit.events(next_event(), 5)),) * 3,
        ]
    )
    slots, held = work.parts.slots, []
    acquire, release = slots.acquire, slots.release

    async def granted(service, want, on_revoke=None):
        lease = await acquire(service, want, on_revoke)
        held.append(want.id)
        if len(held) == 2:
            moved.set()
        return lease

    def released(lease, outcome, pace_s=0.0):
        # As the client of slots, which ignores a second release.
        if lease.request.id in held:
            held.remove(lease.request.id)
            release(lease, outcome, pace_s)

    def next_event():
        return int(resume_points(work)[-1] or 0) + 1

    slots.acquire, slots.release = granted, released
    moved = asyncio.Event()
    task = asyncio.ensure_future(work.run())
    await moved.wait()
    for _ in range(steps):
        await asyncio.sleep(0)
    end(work, task)
    await asyncio.wait({task}, timeout=30.0)
    assert task.done()
    assert task.cancelled() or task.result().text == text(5)
    assert not held


async def test_crashes_before_a_revoked_run_with_events_do_not_count():
    """A crash after a run that gave its slot up counted as the third."""
    gone = [hostkit.Answer([hostkit.BROKEN], status=200) for _ in range(4)]
    begun = hostkit.Answer(hostkit.events(1, 2))
    rest = hostkit.Answer(hostkit.events(3, 5))
    work = work_of([*gone[:2], begun, *gone[2:], rest])
    usual = begun.read

    async def read(timeout_s):
        if not begun.chunks:
            work.revoke()
            await asyncio.sleep(timeout_s)
        return await usual(timeout_s)

    begun.read = read
    loop = asyncio.get_running_loop()
    begun_at = loop.time()
    assert (await work.run()).text == text(5)
    assert resume_points(work) == ["", "", "", "2", "2", "2"]
    assert loop.time() - begun_at < item_retry.CRASH_DELAY_S
