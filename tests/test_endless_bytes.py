"""Tests of engines that send bytes without end, until they are closed."""

import asyncio
import contextlib
from unittest import mock

import pytest

from camphortray import body_budget
from camphortray import clientconnection
from camphortray import errors
from camphortray import httpclient
from tests import hostkit
from tests import test_extra_answers as extra
from tests import test_forwarder
from tests import test_itemwork

BLOCK = 65_536
MB = 1024 * 1024
HEAD = f"HTTP/1.1 200 X\r\n{extra.PLATFORM}: a\r\n{extra.STAMP}"
BODIES = {
    "length": (HEAD + "content-length: 1000000000\r\n\r\n", b"x" * BLOCK),
    "no length": (HEAD + "\r\n", b"x" * BLOCK),
    "chunks": (
        HEAD + "transfer-encoding: chunked\r\n\r\n",
        b"%x\r\n%b\r\n" % (BLOCK, b"x" * BLOCK),
    ),
    "small chunks": (
        HEAD + "transfer-encoding: chunked\r\n\r\n",
        b"10\r\n%b\r\n" % (b"x" * 16) * 1000,
    ),
}
HEADS = {
    "header": ("HTTP/1.1 200 X\r\nx: ", b"x" * BLOCK),
    "headers": ("HTTP/1.1 200 X\r\n", b"x: y\r\n" * 10_000),
    "interim": ("", b"HTTP/1.1 103 X\r\n\r\n" * 3_000),
    "status line": ("HTTP/1.1 200 ", b"x" * BLOCK),
}


class Endless(extra.Server):
    """A server that answers with bytes that do not end.

    Attributes:
      begin: What comes first.
      block: What follows again and again.
      pause_s: Pause behind each block.
      sent: Bytes sent so far, over all connections.
      ended: Set once a caller has closed its connection.
    """

    def __init__(self, begin, block, pause_s=0.0, header=extra.PLATFORM):
        super().__init__(header)
        self.begin, self.block, self.pause_s = begin, block, pause_s
        self.sent = 0
        self.ended = asyncio.Event()

    async def serve(self, reader, writer):
        self.writers.append(writer)
        with contextlib.suppress(OSError):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(self.begin.encode())
            while not writer.is_closing():
                writer.write(self.block)
                await writer.drain()
                self.sent += len(self.block)
                await asyncio.sleep(self.pause_s)
        self.ended.set()


@pytest.fixture
def budget(monkeypatch):
    """Give a small budget for answers that are held."""
    found = body_budget.BodyBudget(MB, 2 * MB)
    monkeypatch.setattr(body_budget, "ANSWERS", found)
    return found


@pytest.mark.parametrize("kind", HEADS)
async def test_a_head_without_end_ends_the_attempt(kind):
    """A host read the head of an answer for as long as it came."""
    async with Endless(*HEADS[kind]) as server:
        caller = extra.Caller(extra.PLATFORM, server)
        with pytest.raises(errors.UpstreamGarbled) as caught:
            await caller.ask("a")
        assert caught.value.ran
        await server.ended.wait()
        assert server.sent < 10 * MB


@pytest.mark.parametrize("block", [b"x", b"HTTP/1.1 103 X\r\n\r\n"])
async def test_a_head_that_comes_byte_by_byte_has_one_time(block):
    """Each byte of a head gave the engine its whole time anew."""
    begin = "HTTP/1.1 200 X\r\nx: " if block == b"x" else ""
    async with Endless(begin, block, 0.03) as server:
        caller = extra.Caller(extra.PLATFORM, server)
        with pytest.raises(errors.UpstreamTimeout) as caught:
            await caller.ask("a", 0.2)
        assert caught.value.ran
        await server.ended.wait()


@pytest.mark.parametrize("kind", BODIES)
async def test_a_body_without_end_is_dropped(budget, kind):
    """An answer that was read whole filled the memory of its host."""
    async with Endless(*BODIES[kind]) as server:
        caller = extra.Caller(extra.PLATFORM, server)
        with pytest.raises(errors.UpstreamGarbled) as caught:
            await caller.ask("a")
        assert caught.value.ran
        await server.ended.wait()
        assert (budget.held, budget.size) == ([], 0)


async def test_a_body_that_comes_byte_by_byte_has_one_time():
    """Each byte of a report gave the engine its whole time anew."""
    head = "HTTP/1.1 200 X\r\ncontent-length: 9\r\n\r\n"
    async with Endless(head, b"1", 0.2) as server:
        client = httpclient.HttpClient()
        address = server.upstream.address
        with pytest.raises(errors.UpstreamTimeout):
            await client.call(address, "GET", "/report", body_s=0.3)
        await server.ended.wait()


async def test_sound_answers_beside_endless_ones_are_whole(budget):
    """Ten engines with endless answers took the memory of all others."""
    async with contextlib.AsyncExitStack() as stack:
        callers = []
        for _ in range(10):
            server = Endless(*BODIES["no length"])
            await stack.enter_async_context(server)
            callers.append(extra.Caller(extra.PLATFORM, server))
        bad = [asyncio.ensure_future(each.ask("a")) for each in callers]
        sound = await stack.enter_async_context(extra.Server(extra.PLATFORM))
        body = b"y" * 100_000
        sound.own["a"] = extra.answer(extra.PLATFORM, ["a"], body=body)
        caller = extra.Caller(extra.PLATFORM, sound)
        for _ in range(20):
            assert await caller.ask("a") == (200, body)
            assert budget.size <= 2 * MB
        found = await asyncio.gather(*bad, return_exceptions=True)
        assert {type(each) for each in found} == {errors.UpstreamGarbled}


def test_the_largest_answer_is_dropped_first():
    """Sound answers were dropped for one without end."""
    dropped = []
    budget = body_budget.BodyBudget(100, 150)
    with contextlib.ExitStack() as stack:
        small, large, third = (
            stack.enter_context(budget.hold(lambda n=n: dropped.append(n)))
            for n in range(3)
        )
        small.add(b"x" * 40)
        large.add(b"x" * 90)
        third.add(b"x" * 30)
        assert dropped == [1]
        with pytest.raises(errors.UpstreamGarbled):
            large.whole()
        with pytest.raises(errors.UpstreamGarbled):
            third.add(b"x" * 80)
        assert small.whole() == b"x" * 40
    assert (budget.held, budget.size) == ([], 0)


@pytest.mark.parametrize(("header", "plain"), extra.KINDS)
async def test_a_refusal_with_a_body_without_end_says_not_run(
    budget, header, plain
):
    """A refusal that was read whole passed for a request that may have run."""
    head = f"HTTP/1.1 503 X\r\n{header}: a\r\n{extra.REFUSALS[header]}\r\n"
    async with Endless(head, b"x" * BLOCK, header=header) as server:
        caller = (
            extra.ServiceCaller(server)
            if plain
            else extra.Caller(header, server)
        )
        with pytest.raises(errors.UpstreamRefused) as caught:
            await caller.ask("a")
        assert not caught.value.ran
        await server.ended.wait()


async def test_bytes_behind_a_whole_answer_are_not_read():
    """Bytes behind an answer filled memory until its caller had read it."""
    begin = extra.answer(extra.PLATFORM, ["a"]).decode()
    async with Endless(begin, b"x" * BLOCK) as server:
        client = httpclient.HttpClient()
        response = await client.request(server.upstream.address, "GET", "/")
        connection = response.connection
        while not connection.reading_paused:
            await asyncio.sleep(0.001)
        unread = len(connection.h11.trailing_data[0])
        assert unread < clientconnection.HIGH_WATER + 5 * BLOCK
        await asyncio.sleep(0.02)
        assert len(connection.h11.trailing_data[0]) == unread
        assert await response.body() == b"ok"
        await server.ended.wait()


async def test_a_dropped_answer_takes_no_bytes_of_the_next():
    """An answer dropped as it ended read on in the next one."""
    async with extra.Server(extra.PLATFORM) as server:
        client = httpclient.HttpClient()
        address = server.upstream.address
        asked = [("GET", "/", [(extra.PLATFORM, name)]) for name in ("a", "b")]
        server.own["a"] = extra.answer(extra.PLATFORM, ["a"], body=b"")
        first = await client.request(address, *asked[0])
        first.close()
        second = await client.request(address, *asked[1])
        assert second.connection is first.connection
        with pytest.raises(errors.UpstreamBroken):
            await first.read()
        assert await second.body() == b"ok"
        await client.close()


async def test_other_work_has_its_turn_beside_many_small_chunks():
    """A host stood still while it worked through chunks of one byte."""
    connection = clientconnection.ClientConnection("peer")
    connection.transport = mock.Mock()
    await connection.send_request("GET", "/", [("host", "h")], b"")
    chunks = 5_000
    head = b"HTTP/1.1 200 X\r\ntransfer-encoding: chunked\r\n\r\n"
    connection.data_received(head + b"1\r\nx\r\n" * chunks + b"0\r\n\r\n")
    turns, size = 0, 0
    while not connection.complete:
        assert connection.buffered <= clientconnection.MAX_EVENTS_PER_TURN
        size += len(connection.take())
        turns += 1
        await asyncio.sleep(0)
    size += len(connection.take())
    assert size == chunks
    assert turns >= chunks // clientconnection.MAX_EVENTS_PER_TURN


class Comments(hostkit.Answer):
    """A stream that sends bytes of no event behind its chunks."""

    junk = b": still there\n\n"

    async def read(self, timeout_s):
        if self.chunks:
            return await super().read(timeout_s)
        await asyncio.sleep(0.05)
        return self.junk


class Parts(Comments):
    """A stream whose next event does not end."""

    junk = b"x"


class Events(Comments):
    """A stream of large events without end."""

    def __init__(self):
        super().__init__(())
        self.made = 0

    async def read(self, timeout_s):
        self.made += 1
        return b"id: %d\ndata: %b\n\n" % (self.made, b"x" * BLOCK)


@pytest.mark.looptime(noop_cycles=0)
@pytest.mark.parametrize("kind", [Comments, Parts])
async def test_an_item_leaves_an_engine_that_makes_no_event(kind):
    """An item kept its slot for as long as bytes came."""
    endless = kind(hostkit.events(1, 2))
    rest = hostkit.Answer(hostkit.events(3, 5))
    work = test_itemwork.work_of([endless, rest])
    async with asyncio.timeout(20.0):
        assert (await work.run()).text == test_itemwork.text(5)


@pytest.mark.looptime(noop_cycles=0)
async def test_an_item_with_output_without_end_begins_anew():
    """The output of an item grew for as long as its engine made events."""
    work = test_itemwork.work_of(
        [Events(), hostkit.Answer(hostkit.events(1, 5))]
    )
    assert (await work.run()).text == test_itemwork.text(5)
    assert test_itemwork.resume_points(work) == ["", ""]


@pytest.mark.looptime(noop_cycles=0)
async def test_a_stream_leaves_an_engine_whose_event_does_not_end():
    """Bytes that complete no event kept a stream at their engine."""
    endless = Parts(test_forwarder.TWO)
    rest = test_forwarder.answer(*hostkit.events(3, 4))
    forwarding = test_forwarder.forwarder_of(
        [endless, rest], hostkit.RESUMABLE
    )
    assert await test_forwarder.outcome(forwarding) == 200
    assert forwarding.response.data.endswith(hostkit.event(4))


async def test_an_answer_in_one_piece_without_end_is_502(budget):
    """A caller waited for its whole time while its host filled its memory."""
    body = [b"x" * BLOCK] * 100
    forwarding = test_forwarder.forwarder_of(
        [hostkit.Answer(body, headers=(("content-type", "text/plain"),))],
        test_forwarder.ONCE,
    )
    assert await test_forwarder.outcome(forwarding) == 502
