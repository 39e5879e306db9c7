"""Bad input on a connection: refused as not run, with no harm to others."""

import asyncio

import h11
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies
import msgspec
import pytest

from camphortray import clientconnection
from camphortray import completion
from camphortray import errors
from camphortray import httpclient
from camphortray import httpserver
from tests import online

GOOD = online.body_of("why", 2)


class Wire:
    """A transport that keeps what is written."""

    def __init__(self):
        self.data = b""
        self.closed = False

    def write(self, data):
        self.data += data

    def close(self):
        self.closed = True

    abort = close

    def pause_reading(self):
        pass

    resume_reading = pause_reading

    def get_write_buffer_size(self):
        return 0

    def get_extra_info(self, name):
        return None


@pytest.mark.parametrize("late", [b"", b"HTTP/1.1 200 OK\r\n\r\n", b"x"])
async def test_a_kept_connection_with_unasked_bytes_is_never_used(late):
    # The next caller would read them as its own answer. They come right
    # behind an answer, or later while the connection is kept.
    answer = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"
    client, address = httpclient.HttpClient(), ("127.0.0.1", 9)
    for first, second in ((answer + late, b""), (answer, late)):
        connection = clientconnection.ClientConnection("peer")
        wire = Wire()
        connection.connection_made(wire)
        await connection.send_request("GET", "/", [("host", "a")], b"")
        connection.data_received(first)
        assert connection.take() == b"ok"
        client.busy.add(connection)
        client.release(address, connection)
        if second:
            connection.data_received(second)
        assert wire.closed == bool(late)


async def test_a_refused_body_is_read_on_before_the_connection_closes():
    # The caller reads why it was refused. It still sends when it is; a
    # close with unread bytes would reset it before it has read that.
    server = httpserver.HttpServer(Parse(), httpserver.Limits(2000))
    connection, wire = httpserver.Connection(server), Wire()
    connection.connection_made(wire)
    head = request_bytes(b"x" * 3000)[:-3000]
    connection.data_received(head + b"x" * 1000)
    await connection.task
    assert b"body_too_large" in wire.data and not wire.closed
    connection.data_received(b"x" * 1999)
    assert not wire.closed
    connection.data_received(b"x")
    assert wire.closed
    connection.connection_lost(None)


class Parse(httpserver.Handler):
    """Takes a completion and answers 200."""

    async def handle(self, request, response):
        completion.parse(request.path, await request.body())
        response.send(200, b"{}")


async def spoken(pieces):
    """Return the answers to bytes on one connection."""
    server = httpserver.HttpServer(Parse(), httpserver.Limits(2000))
    connection = httpserver.Connection(server)
    wire = Wire()
    connection.connection_made(wire)
    for piece in pieces:
        if wire.closed:
            break
        connection.data_received(piece)
        while connection.task is not None and not connection.request.waiter:
            await asyncio.sleep(0)
        await asyncio.sleep(0)
    connection.connection_lost(None)
    if connection.task is not None:
        await asyncio.wait({connection.task})
    return answers_in(wire.data, len(pieces))


def answers_in(data, most):
    """Return status and body of each answer; they must be well formed."""
    reader = h11.Connection(h11.CLIENT)
    found = []
    reader.receive_data(data)
    while data and len(found) < most + 1:
        reader.send(
            h11.Request(method="GET", target="/", headers=[("host", "a")])
        )
        reader.send(h11.EndOfMessage())
        head, body = reader.next_event(), b""
        if not isinstance(head, h11.Response):
            break
        while isinstance(event := reader.next_event(), h11.Data):
            body += bytes(event.data)
        assert isinstance(event, h11.EndOfMessage)
        found.append((head.status_code, dict(head.headers), body))
        if reader.their_state is not h11.DONE:
            break
        reader.start_next_cycle()
    return found


def request_bytes(body, path=online.CHAT):
    head = f"POST {path} HTTP/1.1\r\nhost: a\r\n"
    return f"{head}content-length: {len(body)}\r\n\r\n".encode() + body


@pytest.mark.parametrize(
    ("data", "code", "status"),
    [
        (b"G\xc3\xb6T / HTTP/1.1\r\n\r\n", "bad_http", 400),
        (b"GET / HTTP/1.1\r\nno colon\r\n\r\n", "bad_http", 400),
        (b"GET / HTTP/1.1\r\nx: " + b"y" * 40_000, "bad_http", 431),
        (
            b"POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n"
            b"\r\nzz\r\n",
            "body_cut",
            400,
        ),
        (
            b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 9999\r\n\r\n",
            "body_too_large",
            413,
        ),
    ],
)
async def test_malformed_http_is_refused_as_not_run(data, code, status):
    ((got, head, body),) = await spoken([data])
    assert (got, head[b"camphortray-ran"]) == (status, b"no")
    assert msgspec.json.decode(body)["error"]["code"] == code


async def test_a_bad_request_does_not_harm_the_next_on_its_connection():
    bad, good = request_bytes(b"{"), request_bytes(GOOD)
    found = await spoken([bad + good, good, bad, good])
    assert [status for status, _, _ in found] == [400, 200, 200, 400, 200]


VALUES = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats(allow_nan=False, allow_infinity=False)
    | strategies.text(max_size=5),
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(strategies.text(max_size=5), inner)
    ),
    max_leaves=6,
)
FIELDS = [*completion.Completion.__struct_fields__, "other"]
BODIES = strategies.dictionaries(strategies.sampled_from(FIELDS), VALUES)
WHOLE = request_bytes(GOOD)


@given(body=BODIES | VALUES, raw=strategies.binary(max_size=40))
@hypothesis_settings(max_examples=150, deadline=None, derandomize=True)
def test_any_body_is_taken_or_refused_by_its_field(body, raw):
    fitting = (
        {**msgspec.json.decode(GOOD), **body} if type(body) is dict else body
    )
    for data in (msgspec.json.encode(fitting), raw):
        try:
            completion.parse(online.CHAT, data)
        except errors.Refused as refusal:
            assert refusal.status == 400 and refusal.field
            assert refusal.ran == "no"


@given(
    cuts=strategies.lists(strategies.integers(0, 2 * len(WHOLE)), max_size=4),
    at=strategies.integers(0, len(WHOLE) - 1),
    junk=strategies.binary(max_size=6),
)
@hypothesis_settings(max_examples=150, deadline=None, derandomize=True)
def test_any_bytes_on_a_connection_give_only_whole_answers(cuts, at, junk):
    # A good request, then one with junk in it, in pieces cut anywhere:
    # the first is answered, and whatever follows is well formed.
    data = WHOLE + WHOLE[:at] + junk + WHOLE[at:]
    edges = [0, *sorted(cuts), len(data)]
    pieces = [
        data[a:b] for a, b in zip(edges, edges[1:], strict=False) if a < b
    ]
    found = asyncio.run(spoken(pieces))
    assert found and found[0][0] == 200
    for status, head, body in found:
        assert status == 200 or head[b"camphortray-ran"] in (b"no",)
        msgspec.json.decode(body)


class Echo(httpserver.Handler):
    """Reads the body and answers 200."""

    async def handle(self, request, response):
        response.send(200, await request.body())


def opened(**limits):
    """Return a connection with small limits and its transport."""
    server = httpserver.HttpServer(Echo(), httpserver.Limits(**limits))
    connection, wire = httpserver.Connection(server), Wire()
    connection.connection_made(wire)
    return connection, wire


@pytest.mark.looptime
async def test_a_head_that_trickles_is_refused_when_its_time_is_over():
    # A caller sends one byte of a head each second. Each byte set the
    # limit anew, so that the connection was held for ever; the limit runs
    # from the first byte to the end of the head.
    connection, wire = opened(header_timeout_s=10.0)
    for byte in b"GET / HTTP/1.1\r\n":
        if wire.closed:
            break
        connection.data_received(bytes([byte]))
        await asyncio.sleep(1.0)
    assert wire.closed
    assert wire.data.startswith(b"HTTP/1.1 408 ")
    assert "slow_head" in wire.data.decode()
    connection.connection_lost(None)


@pytest.mark.looptime
async def test_a_body_that_trickles_is_given_up():
    # A byte of a body each second keeps within the pause between pieces;
    # over the whole body it must come with some speed.
    connection, wire = opened(idle_timeout_s=5.0)
    connection.data_received(request_bytes(b"x" * 100, "/")[:-100])
    for _ in range(20):
        if wire.closed:
            break
        connection.data_received(b"x")
        await asyncio.sleep(1.0)
    assert wire.closed
    assert wire.data.startswith(b"HTTP/1.1 400 ")
    connection.connection_lost(None)


@pytest.mark.looptime
async def test_an_idle_connection_is_closed_without_a_word():
    connection, wire = opened(header_timeout_s=2.0, idle_timeout_s=5.0)
    connection.data_received(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n")
    await connection.task
    answered = wire.data
    await asyncio.sleep(4.9)
    assert not wire.closed
    await asyncio.sleep(0.2)
    assert wire.closed
    assert wire.data == answered
    connection.connection_lost(None)


@pytest.mark.looptime
async def test_limits_that_change_hold_for_open_connections():
    connection, wire = opened(idle_timeout_s=50.0)
    connection.server.limits = httpserver.Limits(idle_timeout_s=1.0)
    connection.data_received(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n")
    await connection.task
    await asyncio.sleep(1.1)
    assert wire.closed
    connection.connection_lost(None)


async def test_two_lengths_are_refused_and_the_connection_closed():
    # What is a body to one reader is a second request to another.
    connection, wire = opened()
    connection.data_received(
        b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\n"
        b"transfer-encoding: chunked\r\n\r\n0\r\n\r\nGET /b HTTP/1.1\r\n"
    )
    assert wire.data.startswith(b"HTTP/1.1 400 ")
    assert wire.data.count(b"HTTP/1.1") == 1
    assert wire.closed
    connection.connection_lost(None)


@pytest.mark.parametrize("reset", [True, False])
async def test_an_answer_without_length_is_whole_only_at_an_orderly_end(reset):
    # The server crashes in the middle of an answer that ends with its
    # connection. Taken for its end, the reset made half an answer look
    # whole to the caller.
    connection = clientconnection.ClientConnection("peer")
    connection.connection_made(Wire())
    await connection.send_request("GET", "/", [("host", "a")], b"")
    connection.data_received(b"HTTP/1.1 200 OK\r\n\r\nhalf")
    if reset:
        connection.connection_lost(ConnectionResetError("reset"))
    else:
        connection.eof_received()
        connection.connection_lost(None)
    assert connection.complete != reset
    assert bool(connection.failure) == reset
