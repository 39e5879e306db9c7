"""Opaque requests on their way: what callers get when engines fail."""

import asyncio
import dataclasses
import types

import pytest

from camphortray import clock as clocks
from camphortray import enginehealth
from camphortray import errors
from camphortray import forwarder
from camphortray import metrics
from camphortray import opaque
from camphortray import routemap
from tests import hostkit

pytestmark = pytest.mark.looptime
BODY = (("server-stamp", "s1"), ("content-type", "application/json"))


class Response:
    """Keeps what a caller would get."""

    def __init__(self):
        self.status = 0
        self.headers = ()
        self.data = b""
        self.ended = self.aborted = False
        self.blocked = False

    def start(self, status, headers=()):
        assert not self.status
        self.status, self.headers = status, headers

    def write(self, data):
        self.data += data

    async def flush(self):
        pass

    def end(self):
        self.ended = True

    def abort(self):
        self.aborted = True

    def send(self, status, body, headers=()):
        self.start(status, headers)
        self.write(body)
        self.end()


def forwarder_of(script, route=hostkit.STREAM_ROUTE, refusals=0):
    """Return a forwarder with engines that follow a script."""
    clock = clocks.SystemClock()
    slots = hostkit.Slots()
    slots.refusals = refusals
    parts = forwarder.ForwarderParts(
        clock,
        hostkit.Backends(hostkit.ScriptedEngines(script)),
        hostkit.ActiveConfig([route]),
        slots,
        hostkit.CrashReports(),
        metrics.Metrics(),
    )
    now = clock.monotonic()
    request = opaque.OpaqueRequest(
        "r1", route, "POST", "/p/1", (("host", "h"),), b"b", now, now + 5.0
    )
    return forwarder.Forwarder(parts, request, Response())


async def outcome(held):
    """Run a forwarder; return the status the caller sees, 0 for a cut."""
    try:
        await held.run()
    except errors.Refused as refusal:
        return refusal.status
    return 0 if held.response.aborted else held.response.status


def answer(*chunks):
    """Return a good stream."""
    return hostkit.Answer(chunks)


ALL = b"".join(hostkit.events(1, 4))
TWO = hostkit.events(1, 2)
SAFE = dataclasses.replace(
    hostkit.STREAM_ROUTE, kind=routemap.Kind.IDEMPOTENT, max_attempts=2
)
ONCE = dataclasses.replace(SAFE, kind=routemap.Kind.NON_IDEMPOTENT)
# What a library has let out where it was to raise an error of its own.
ODD = AttributeError("'NoneType' object has no attribute 'write'")


async def test_a_stream_is_passed_on_unchanged():
    held = forwarder_of([answer(*hostkit.events(1, 4))])
    assert await outcome(held) == 200
    assert held.response.data == ALL
    assert held.response.headers == hostkit.STAMP
    assert held.response.ended
    assert held.parts.slots.ends == [hostkit.GOOD]


@pytest.mark.parametrize(
    ("route", "script", "status", "sent"),
    [
        # Not run for certain: another engine, whatever the kind.
        (hostkit.STREAM_ROUTE, [hostkit.FULL, answer(*TWO)], 200, 2),
        (hostkit.STREAM_ROUTE, [hostkit.UNREACHED, answer(*TWO)], 200, 2),
        (ONCE, [hostkit.FULL] * forwarder.MAX_TRIES, 503, 6),
        # May have run: at most once where it may not be repeated.
        (hostkit.STREAM_ROUTE, [hostkit.BROKEN], 502, 1),
        (ONCE, [hostkit.BROKEN], 502, 1),
        (hostkit.STREAM_ROUTE, [answer(*TWO, hostkit.BROKEN)], 0, 1),
        # Not run, then perhaps run: no promise any more.
        (ONCE, [hostkit.FULL, hostkit.BROKEN], 502, 2),
        # May be repeated, within its attempts.
        (SAFE, [hostkit.BROKEN, hostkit.BROKEN], 502, 2),
        (hostkit.RESUMABLE, [hostkit.BROKEN, answer(*TWO)], 200, 2),
        # A route with one attempt is not tried again.
        (
            dataclasses.replace(hostkit.RESUMABLE, max_attempts=1),
            [answer(*TWO, hostkit.BROKEN)],
            0,
            1,
        ),
    ],
)
async def test_what_a_caller_gets_when_engines_fail(
    route, script, status, sent
):
    script = [
        hostkit.Answer(a.chunks) if isinstance(a, hostkit.Answer) else a
        for a in script
    ]
    held = forwarder_of(script, route)
    assert await outcome(held) == status
    assert len(held.parts.backends.party.seen) == sent


@pytest.mark.parametrize("fault", [hostkit.BROKEN, hostkit.SILENT])
async def test_a_resumable_stream_goes_on_in_the_same_answer(fault):
    # The engine breaks off in the middle of event 3. The caller sees one
    # answer, with the head of the first engine, each event once.
    torn = hostkit.event(3)[:5]
    other = (("server-stamp", "s2"), ("content-type", hostkit.EVENTS))
    held = forwarder_of(
        [
            hostkit.Answer([*TWO, torn, fault]),
            hostkit.Answer(hostkit.events(3, 4), headers=other),
        ],
        hostkit.RESUMABLE,
    )
    assert await outcome(held) == 200
    assert held.response.data == ALL
    assert held.response.headers == hostkit.STAMP
    (_, (_, second)) = held.parts.backends.party.seen
    assert second.resume_after == "2"


@pytest.mark.parametrize(
    ("route", "script", "status", "sent"),
    [
        (hostkit.RESUMABLE, [ODD, answer(*TWO)], 200, 2),
        (hostkit.RESUMABLE, [answer(TWO[0], ODD), answer(TWO[1])], 200, 2),
        (SAFE, [ODD, ODD], 502, 2),
        # It may have run, and must not run again.
        (ONCE, [ODD], 502, 1),
    ],
)
async def test_an_odd_error_ends_a_try_and_not_the_request(
    route, script, status, sent
):
    # A library lets out an error that no code expects, on the way to an
    # engine or back. The caller got 500 while another engine stood ready.
    # It says nothing of the engine, nor that the request crashes engines.
    script = [
        hostkit.Answer(a.chunks) if isinstance(a, hostkit.Answer) else a
        for a in script
    ]
    held = forwarder_of(script, route)
    assert await outcome(held) == status
    assert len(held.parts.backends.party.seen) == sent
    ends = held.parts.slots.ends
    good = [hostkit.GOOD] if status == 200 else []
    odd = [enginehealth.Outcome.NOTHING] * (sent - len(good))
    assert ends == odd + good
    assert not held.parts.breaks.reports


async def test_a_stream_torn_at_its_end_is_not_made_to_look_whole():
    held = forwarder_of([hostkit.Answer([*TWO, hostkit.event(3)[:5]])])
    assert await outcome(held) == 0
    assert not held.response.ended


@pytest.mark.parametrize(
    ("route", "statuses", "seen"),
    [
        (ONCE, [500], 500),
        (ONCE, [422], 422),
        (SAFE, [500, 200], 200),
        (SAFE, [500, 500], 500),
        (SAFE, [404], 404),
    ],
)
async def test_an_engines_own_failure_is_passed_on_unchanged(
    route, statuses, seen
):
    script = [hostkit.Answer([b"{}"], s, BODY) for s in statuses]
    held = forwarder_of(script, route)
    assert await outcome(held) == seen
    assert held.response.data == b"{}"
    assert held.response.headers == BODY


async def test_no_room_is_told_at_once_with_a_time_to_come_back():
    held = forwarder_of([], refusals=1)
    with pytest.raises(errors.Refused) as told:
        await held.run()
    assert (told.value.status, told.value.ran) == (503, "no")
    assert told.value.retry_after == 0.25
    assert asyncio.get_running_loop().time() < 0.01


async def test_no_room_after_a_try_that_ran_promises_nothing():
    # The first try broke off and may have run; a 503 now would say that
    # the request never runs.
    held = forwarder_of([hostkit.BROKEN], hostkit.RESUMABLE)
    acquire = held.parts.slots.acquire

    async def once(service, want, on_revoke=None):
        placed = await acquire(service, want, on_revoke)
        held.parts.slots.refusals = 1
        return placed

    held.parts.slots.acquire = once
    assert await outcome(held) == 502


async def test_time_is_over_while_an_engine_is_silent():
    # At the operator's limit the caller gets its 504 and the engine's
    # connection is closed.
    silent = hostkit.Answer([])

    async def read(timeout_s):
        await asyncio.sleep(60.0)

    silent.read = read
    held = forwarder_of([silent])
    assert await outcome(held) == 504
    assert silent.closed
    assert asyncio.get_running_loop().time() == pytest.approx(5.0, abs=0.1)


async def test_an_engine_gets_no_more_time_than_is_left():
    held = forwarder_of([answer(*TWO)])
    held.request = dataclasses.replace(
        held.request, deadline_at=held.request.arrived_at + 1.0
    )
    await held.run()
    ((_, request),) = held.parts.backends.party.seen
    assert request.deadline_s <= 1.0


async def test_a_request_that_breaks_engines_is_not_run_again():
    held = forwarder_of([])
    held.parts.breaks.barring = True
    assert await outcome(held) == 503
    assert not held.parts.backends.party.seen


async def test_a_request_barred_after_it_ran_gets_no_promise():
    # Its first engine breaks off; meanwhile other hosts tell of two more
    # breaks, so that it is not tried again. A 503 would now say that it
    # never ran, and its caller would send it once more.
    held = forwarder_of([hostkit.BROKEN], hostkit.RESUMABLE)

    def report(fingerprint, name):
        held.parts.breaks.barring = True

    held.parts.breaks.report = report
    assert await outcome(held) == 502


async def test_each_break_is_told_to_all_hosts():
    held = forwarder_of([hostkit.BROKEN, hostkit.BROKEN], hostkit.RESUMABLE)
    await outcome(held)
    fingerprints = {name for name, _ in held.parts.breaks.reports}
    assert len(held.parts.breaks.reports) == 2
    assert fingerprints == {held.request.fingerprint}


async def test_a_caller_that_goes_ends_the_engines_work():
    waiting = hostkit.Answer([])
    begun = asyncio.Event()

    async def read(timeout_s):
        begun.set()
        await asyncio.sleep(60.0)

    waiting.read = read
    held = forwarder_of([waiting])
    task = asyncio.ensure_future(held.run())
    await begun.wait()
    task.cancel()
    with pytest.raises(asyncio.CancelledError):
        await task
    assert waiting.closed
    assert len(held.parts.slots.ends) == 1


def test_what_stays_of_a_request_sent_again():
    one = types.SimpleNamespace(target="/p/1", body=b"b")
    print_of = opaque.OpaqueRequest.fingerprint.fget
    assert print_of(one) == print_of(one)
    assert print_of(one) != print_of(
        types.SimpleNamespace(target="/p/1", body=b"c")
    )


@pytest.mark.parametrize(
    ("waits_s", "outcome_name"), [(0.4, "NOTHING"), (3.0, "BROKEN")]
)
async def test_an_engine_that_hangs_is_told_of(waits_s, outcome_name):
    # It takes requests and never answers; their callers leave. Not told,
    # it would keep getting its share of them.
    hanging = hostkit.Answer([])

    async def read(timeout_s):
        await asyncio.sleep(3600.0)

    hanging.read = read
    held = forwarder_of([hanging])
    task = asyncio.ensure_future(held.run())
    await asyncio.sleep(waits_s)
    task.cancel()
    with pytest.raises(asyncio.CancelledError):
        await task
    assert [end.name for end in held.parts.slots.ends] == [outcome_name]


@pytest.mark.parametrize(
    "script",
    [
        [answer(*TWO, hostkit.BROKEN), answer(hostkit.event(3))],
        [hostkit.SILENT, answer(*TWO)],
    ],
    ids=["in the middle", "silent"],
)
async def test_what_is_no_sign_of_a_request_that_crashes_engines(script):
    script = [
        hostkit.Answer(a.chunks) if isinstance(a, hostkit.Answer) else a
        for a in script
    ]
    held = forwarder_of(script, hostkit.RESUMABLE)
    assert await outcome(held) == 200
    assert held.parts.breaks.reports == []


@pytest.mark.parametrize(
    ("fields", "first_s", "later_s"),
    [
        ({"objective_s": 0.3, "gap_s": 0.3}, 0.6, 0.24),
        # Slow engines, as their operator knows: not moved for that.
        ({"objective_s": 5.0, "gap_s": 2.0}, 10.0, 1.6),
        ({"objective_s": 0.3, "gap_s": 0.05}, 0.6, forwarder.LEAST_SILENT_S),
        ({"objective_s": 0.3}, 0.6, forwarder.SILENT_S),
    ],
)
async def test_how_long_an_engine_may_be_silent_is_the_routes_to_say(
    fields, first_s, later_s
):
    # The engine sends two events and then nothing. Its caller sees the
    # rest from another engine, after the time that the route allows.
    silences = []
    silent = hostkit.Answer([*TWO, hostkit.SILENT])
    read = silent.read

    async def timed(timeout_s):
        silences.append(timeout_s)
        return await read(timeout_s)

    silent.read = timed
    route = dataclasses.replace(hostkit.RESUMABLE, **fields)
    held = forwarder_of([silent, answer(*hostkit.events(3, 4))], route)
    assert await outcome(held) == 200
    assert held.response.data == ALL
    assert silences[0] == pytest.approx(first_s)
    assert silences[-1] == pytest.approx(later_s)
