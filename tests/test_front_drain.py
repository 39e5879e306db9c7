"""Tests of how the platform's front ends within its grace."""

import asyncio
from unittest import mock

from camphortray_platform import front
import pytest

from camphortray import config as configs
from camphortray import drain_admission
from camphortray import httpserver
from tests import test_connection_ends as ends

pytestmark = pytest.mark.looptime
GRACE_S = 8.0


def leaving_front(caller):
    """Return a front with a caller's connection, whose parts drain."""
    context = mock.MagicMock()
    context.config.front = configs.FrontConfig(grace_s=GRACE_S)
    context.clock.monotonic = asyncio.get_running_loop().time
    context.admission = drain_admission.DrainAdmission()
    context.part.return_value.drain = mock.AsyncMock()
    leaving = front.Front.from_config(context)
    leaving.front = caller.server
    leaving.front.server = mock.Mock()
    return leaving


async def begun(script, request, response):
    response.start(200)
    response.write(b"x")
    await asyncio.sleep(GRACE_S)


async def silent(script, request, response):
    await asyncio.sleep(GRACE_S)


@pytest.mark.parametrize(
    ("answer", "head"), [(silent, b"HTTP/1.1 500 "), (begun, b"HTTP/1.1 200 ")]
)
async def test_no_request_is_in_flight_as_the_process_is_killed(answer, head):
    """A request whose engine stayed silent was killed without an answer."""
    loop = asyncio.get_running_loop()
    caller = ends.Caller(answer, httpserver.Limits())
    leaving = leaving_front(caller)
    begun_at = loop.time()
    drained = loop.create_task(leaving.drain())
    await asyncio.sleep(GRACE_S * drain_admission.OPEN_SHARE - 0.1)
    got = await caller.send()
    await drained
    assert loop.time() - begun_at < GRACE_S
    got += await caller.read()
    assert got.startswith(head)
    assert not got.endswith(b"0\r\n\r\n")
    assert caller.closed


async def test_a_request_that_ends_in_time_is_answered_in_a_drain():
    caller = ends.Caller(ends.gated)
    leaving = leaving_front(caller)
    drained = asyncio.get_running_loop().create_task(leaving.drain())
    await caller.send()
    await asyncio.sleep(GRACE_S * drain_admission.ACCEPT_SHARE + 1.0)
    caller.script.gate.set()
    await drained
    assert (await caller.read()).startswith(b"HTTP/1.1 200 ")


async def stubborn(script, request, response):
    request.keep_running = True
    await asyncio.sleep(2 * GRACE_S)


class FullTransport(ends.Transport):
    """A transport whose peer reads nothing: only an abort ends it."""

    def close(self):
        pass

    def abort(self):
        super().close()


@pytest.mark.parametrize("answer", [begun, stubborn])
async def test_callers_do_not_hold_up_a_drain_beyond_the_grace(answer):
    """The last answers were given time of their own behind the grace."""
    loop = asyncio.get_running_loop()
    caller = ends.Caller(answer, httpserver.Limits())
    caller.transport = FullTransport(caller.connection)
    caller.connection.transport = caller.transport
    leaving = leaving_front(caller)
    begun_at = loop.time()
    drained = loop.create_task(leaving.drain())
    await asyncio.sleep(GRACE_S * drain_admission.OPEN_SHARE - 0.1)
    await caller.send()
    await drained
    assert loop.time() < leaving.context.end_at < begun_at + GRACE_S
    assert caller.closed


async def test_the_ports_of_a_front_stop_beside_each_other():
    """Each port that a caller held open took a time of its own."""
    loop = asyncio.get_running_loop()
    leaving = leaving_front(ends.Caller(ends.whole))
    callers = [ends.Caller(stubborn) for _ in range(3)]
    for caller in callers:
        caller.server.server = mock.Mock()
        await caller.send()
    ports = [caller.server for caller in callers]
    leaving.ready_port, leaving.directory, leaving.metrics_port = ports
    begun_at = loop.time()
    await leaving.stop()
    assert loop.time() - begun_at <= httpserver.STOP_S
    assert all(caller.closed for caller in callers)


async def test_a_drain_tells_by_when_all_parts_have_to_stop():
    """The stop of parts behind a drain outlasted the grace."""
    leaving = leaving_front(ends.Caller(ends.gated))
    begun_at = asyncio.get_running_loop().time()
    await leaving.drain()
    assert begun_at < leaving.context.end_at < begun_at + GRACE_S
