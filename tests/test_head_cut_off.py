"""Answers whose server ends its connection within their head or body."""

import asyncio
import contextlib
import functools
import socket
import struct

import msgspec
import pytest

from camphortray import cluster as clusters
from camphortray import config as configs
from camphortray import engine
from camphortray import errors
from camphortray import httpclient
from camphortray import httpserver
from camphortray import jobproxy
from camphortray.plugins import openai_engine
from tests import online
from tests import platformkit
from tests import skiploop
from tests import test_connection_ends as ends
from tests import test_extra_answers as extra
from tests import test_platform_jobs as jobs
from tests import test_platform_path as paths

event_loop_policy = skiploop.event_loop_policy
OK = "1.1 200 OK"
CHUNKED = "Transfer-Encoding: chunked"
# Status line, last header, body, and whether its connection ends it.
ANSWERS = {
    "length": (OK, "content-length: 3", b"abc", False),
    "chunks": (OK, CHUNKED, b"2\r\nab\r\n1;x=y\r\nc\r\n0\r\n\r\n", False),
    "no length": (OK, "content-type: a/b", b"abc", True),
    "HTTP/1.0": ("1.0 200 OK", "content-type: a/b", b"abc", True),
    "no content": ("1.1 204 No", "x: y", b"", False),
    "not modified": ("1.1 304 No", "content-length: 3", b"", False),
    "refusal": ("1.1 503 Full", "content-length: 2", b"no", False),
}

INTERIM = b"HTTP/1.1 100 Go\r\n\r\nHTTP/1.1 103 Hints\r\nlink: a\r\n\r\n"
BEFORE = ("new", "kept", "interim", "copy", "unread", "turned", "bare LF")
OLD_GET = ends.GET.replace(b"1.1", b"1.0")


async def streamed(script, request, response):
    response.start(200)
    response.write(b"whole")
    await response.flush()
    response.end()


async def begun(script, request, response):
    response.start(200)
    response.write(b"half")
    await script.gate.wait()


@pytest.mark.looptime(False)
@pytest.mark.parametrize(
    ("answer", "holds", "whole"),
    [
        (ends.cut, b"HTTP/1.1 200", False),
        (ends.half, b"half", False),
        (ends.errs, b"time is over", False),
        (begun, b"half", False),
        (ends.whole, b"ok", True),
        (streamed, b"whole", True),
    ],
)
async def test_a_caller_that_takes_no_chunks_sees_an_answer_cut_off(
    answer, holds, whole
):
    """A stream cut off ended for callers of HTTP/1.0 like a whole one."""
    script = ends.Script(answer)
    server = httpserver.HttpServer(script)
    await server.start(configs.Address("127.0.0.1", 0))
    loop = asyncio.get_running_loop()
    got, is_whole = b"", True
    with socket.socket() as caller:
        caller.setblocking(False)
        await loop.sock_connect(caller, tuple(server.address))
        await loop.sock_sendall(caller, OLD_GET)
        while not script.requests:
            await asyncio.sleep(0)
        stop = asyncio.ensure_future(server.stop())
        try:
            while data := await loop.sock_recv(caller, 4096):
                got += data
        except ConnectionResetError:
            is_whole = False
        await stop
    assert is_whole == whole
    assert holds in got


def end(transport, reset):
    """Reset a connection, or end what it sends, behind what was written."""
    if reset:
        held = transport.get_extra_info("socket")
        value = struct.pack("ii", 1, 0)
        held.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, value)
        transport.abort()
    else:
        transport.write_eof()


class Server(extra.Server):
    """A server that ends its connection within the answer to ``cut``.

    Attributes:
      data: What it sends of that answer, and before it.
      reset: Whether it resets the connection.
      unread: Whether it does so before the request's body is read.
      ended: Number of connections ended so.
    """

    data, reset, unread, ended, cut = b"", False, False, 0, "cut"

    async def serve(self, reader, writer):
        with contextlib.suppress(asyncio.IncompleteReadError, OSError):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
                fields = dict(
                    line.split(": ", 1) for line in head.splitlines()[1:-1]
                )
                name = fields.get(self.header, extra.REPORT)
                if not (self.unread and name == self.cut):
                    await reader.readexactly(int(fields["content-length"]))
                if name == self.cut:
                    break
                writer.write(extra.answer(self.header, [name]))
            self.ended += 1
            writer.write(self.data)
            end(writer.transport, self.reset)
            self.writers.append(writer)


def parts_of(kind, header, before):
    """Return head and body of an answer to "cut"."""
    status, more, body, _ = ANSWERS[kind]
    lines = [f"{header}: cut", "server-stamp: s", more]
    if kind == "refusal":
        lines.insert(1, extra.REFUSALS[header].strip())
    if before == "turned":
        lines.reverse()
    head = "\r\n".join([f"HTTP/{status}", *lines, "", ""])
    return head.replace(
        "\r", "" if before == "bare LF" else "\r"
    ).encode(), body


async def outcome(server, header, plain, before):
    """Return status and body of the answer to "cut", or the error."""
    made = (
        extra.ServiceCaller(server) if plain else extra.Caller(header, server)
    )
    try:
        if before in ("kept", "copy"):
            await made.ask("first")
        return await made.ask("cut")
    except errors.UpstreamError as error:
        return type(error), error.ran
    finally:
        await made.plugin.close()


def expected(kind, header, plain, reset, received):
    """Return what is to come of an answer of which so much was received.

    Args:
      received: Bytes of the body; negative within the head.
    """
    status, _, body, by_end = ANSWERS[kind]
    if received >= 0 and kind == "refusal":
        return errors.UpstreamRefused, False
    if received >= 0 and not body:
        if header == extra.OPENAI and not plain:
            return errors.UpstreamRefused, True
        return int(status[4:7]), b""
    if by_end and received >= (0 if plain else 1) and not reset:
        return 200, body[:received]
    if received == len(body) and not by_end:
        return 200, b"abc"
    return errors.UpstreamBroken, True


@pytest.mark.parametrize(("header", "plain"), extra.KINDS)
@pytest.mark.parametrize("before", BEFORE)
@pytest.mark.parametrize("reset", [False, True])
async def test_an_answer_cut_off_at_any_byte(header, plain, before, reset):
    """An engine that ended behind its head passed for an empty answer."""
    kinds = ("length", "no length") if before != "new" else tuple(ANSWERS)
    lead = {"interim": INTERIM, "copy": extra.answer(header, ["first"])}
    lead = lead.get(before, b"")
    async with Server(header) as server:
        server.reset, server.unread = reset, before == "unread"
        for kind in kinds:
            head, body = parts_of(kind, header, before)
            for size in range(len(lead + head + body) + 1):
                server.data, server.ended = (lead + head + body)[:size], 0
                got = await outcome(server, header, plain, before)
                received = size - len(lead + head)
                told = expected(kind, header, plain, reset, received)
                assert (kind, size, got) == (kind, size, told)
                assert server.ended == 1


@pytest.mark.parametrize(
    ("method", "more"),
    [("POST", "content-length: 0\r\n"), ("HEAD", "connection: close\r\n")],
)
async def test_an_answer_known_to_be_empty_is_whole(method, more):
    """Answers that have no body were taken for cut off."""
    async with Server(extra.PLATFORM) as server:
        caller = extra.Caller(extra.PLATFORM, server)
        told = f"HTTP/{OK}\r\nattempt-id: cut\r\n{extra.STAMP}{more}\r\n"
        server.data = told.encode()
        request = engine.EngineRequest(
            "cut", "/q", b"", False, 2.0, method=method
        )
        stream = await caller.plugin.open(server.upstream, request)
        assert await engine.read_all(stream, 2.0) == b""
        await caller.plugin.close()


async def pieces():
    """Yield a body larger than what the sockets between hold."""
    for _ in range(160):
        yield b"x" * 100_000


@pytest.mark.parametrize("streamed", [False, True])
@pytest.mark.parametrize(
    ("data", "body"),
    [
        (b"", None),
        (b"HTTP/1.1 200 OK\r\ncontent-le", None),
        (b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\no", None),
        (b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok", b"ok"),
    ],
)
async def test_a_server_that_ends_before_it_has_read_is_left(
    data, body, streamed
):
    """A request whose body was not read waited for ever behind the end."""
    held = []

    async def serve(reader, writer):
        held.append(writer.transport)
        await reader.readuntil(b"\r\n\r\n")
        writer.transport.pause_reading()
        writer.write(data)
        writer.write_eof()

    server = await asyncio.start_server(serve, platformkit.LOOPBACK, 0)
    address = configs.Address(*server.sockets[0].getsockname())
    client = httpclient.HttpClient()
    sent = pieces() if streamed else b"x" * 16_000_000
    got = None
    async with asyncio.timeout(20):
        try:
            _, _, got = await client.call(address, "POST", "/", (), sent)
        except errors.UpstreamBroken as error:
            assert not isinstance(error, errors.UpstreamTimeout)
            assert error.ran
    assert got == body
    await client.close()
    for transport in held:
        transport.abort()
    server.close()


UNFRAMED = b"HTTP/1.1 200 OK\r\n\r\nok"


@pytest.mark.parametrize("streamed", [False, True])
@pytest.mark.parametrize("reset", [False, True])
@pytest.mark.parametrize(
    ("size", "read"),
    [(16_000_000, 0), (16_000_000, 65_536), (16_000_000, None)]
    + [(1000, 0), (1000, None)],
)
async def test_an_answer_that_ends_with_an_upload_unread_is_cut_off(
    size, read, reset, streamed
):
    """Guards against a part of an unframed answer taken for the whole."""
    held = []

    async def serve(reader, writer):
        held.append(writer.transport)
        await reader.readuntil(b"\r\n\r\n")
        if read is None:
            end_of_body = b"0\r\n\r\n" if streamed else b"x" * 1000 + b"z"
            while not (await reader.read(size)).endswith(end_of_body[-4:]):
                pass
        else:
            await reader.readexactly(read)
            writer.transport.pause_reading()
        writer.write(UNFRAMED)
        writer.write_eof()
        if reset:
            end(writer.transport, True)

    async def chunks():
        for _ in range(100):
            yield b"x" * (size // 100)

    server = await asyncio.start_server(serve, platformkit.LOOPBACK, 0)
    address = configs.Address(*server.sockets[0].getsockname())
    client = httpclient.HttpClient()
    sent = chunks() if streamed else b"x" * (size - 1) + b"z"
    got = None
    async with asyncio.timeout(20):
        with contextlib.suppress(errors.UpstreamBroken):
            _, _, got = await client.call(address, "POST", "/", (), sent)
    in_flight = read is not None and size > 1000
    assert got == (None if reset or in_flight else b"ok")
    await client.close()
    for transport in held:
        transport.abort()
    server.close()


@pytest.mark.parametrize(("header", "plain"), extra.KINDS)
@pytest.mark.parametrize("status", [0, 1, 99, 600, 999])
async def test_an_answer_with_no_status_is_none(status, header, plain):
    """Guards against an answer passed on whose status is no status."""
    async with extra.connected(header, plain) as (server, caller):
        odd = extra.answer(header, ["odd"], f"{status:03}")
        server.own["odd"] = odd
        with pytest.raises(errors.UpstreamError):
            await caller.ask("odd")


@pytest.mark.parametrize(("header", "plain"), extra.KINDS)
@pytest.mark.parametrize("unasked", [b"", b"x"])
async def test_no_request_leaves_behind_the_end_of_a_kept_connection(
    header, plain, unasked
):
    """A request that had not left passed for one that may have run."""
    async with extra.connected(header, plain) as (server, caller):
        (kept,) = caller.plugin.client.idle[server.upstream.address]
        if unasked:
            kept.data_received(unasked)
        else:
            kept.eof_received()
        assert await caller.ask("second") == (200, b"ok")
        assert server.ran == [["first"], ["second"]]


EVENTS = paths.whole()
LAST = {
    "length": f"Content-Length: {len(EVENTS)}",
    "chunks": CHUNKED,
    "no length": "Cache-Control: no-store, private",
    "in one piece": "Cache-Control: no-store, private",
}
# Of the head, where its server ends it; then bytes of the body.
PLACES = (0, 4, 11, 16, 17, 22, 28, 40, 49, 55, 84, 100, -3, -2, -1)
REST = (0, 1, 15, 30)
EVENT_TYPE = "text/event-stream"


class CutEngine(platformkit.EngineStandin):
    """Ends its connection within the answer to the first run of a body.

    Attributes:
      plan: Bytes to send, and whether to reset, by body; of all engines.
      runs: Number of runs by body.
    """

    plan, runs = {}, {}

    async def handle(self, request, response):
        body = await request.body()
        self.runs[body] = self.runs.get(body, 0) + 1
        cut = self.plan.pop(body, None)
        if cut is None:
            await super().handle(request, response)
            return
        attempt = request.headers.get("attempt-id", "")
        transport = response.connection.transport
        transport.write(cut[0].replace(b"ID", attempt.encode()))
        response.ended = True
        end(transport, cut[1])


def cut_answers(framing, reset=False):
    """Return the begins of an answer, cut off at each class of places."""
    head = f"HTTP/{OK}\r\nAttempt-Id: ID\r\nServer-Stamp: s\r\nContent-Type: "
    form = "application/json-rows" if framing == "in one piece" else EVENT_TYPE
    sent = f"{head}{form}\r\n{LAST[framing]}\r\n\r\n".encode()
    made = [sent[:at] for at in PLACES]
    if framing == "in one piece" and not reset:
        # What is cut off behind a first byte cannot be told from a whole.
        return [*made, sent]
    rest = EVENTS
    if framing == "chunks":
        rest = b"%x\r\n%s\r\n" % (len(EVENTS), EVENTS)
    made += [sent + rest[:size] for size in REST]
    if framing in ("length", "chunks"):
        made.append(sent + rest[:-1])
    if framing == "chunks":
        made += [sent + rest, sent + rest + b"0\r\n\r"]
    return made


@contextlib.asynccontextmanager
async def platform_of(kind, resumable):
    """Yield a host with engines enough that each breaks a few requests."""
    platform = platformkit.Platform(engines=0)
    for name in [f"i-{number}" for number in range(12)]:
        platform.engines[name] = CutEngine(name)
    routes = [
        platformkit.route("r", "/p/", kind, resumable=resumable),
        platformkit.batch_route("b", platformkit.BATCH_PREFIX, 60),
    ]
    platform.store.configure = functools.partial(
        platform.store.configure, routes=routes
    )
    CutEngine.plan, CutEngine.runs = {}, {}
    async with platform:
        yield platform.hosts[0]


@pytest.mark.parametrize("reset", [False, True])
@pytest.mark.parametrize("framing", LAST)
@pytest.mark.parametrize(
    ("kind", "resumable", "runs"),
    [
        ("streaming", True, 2),
        ("streaming", False, 1),
        ("idempotent", False, 2),
        ("non_idempotent", False, 1),
    ],
)
async def test_a_caller_of_a_host_gets_no_part_for_a_whole(
    kind, resumable, runs, framing, reset
):
    """A caller was sent a part of an answer framed as a whole one."""
    async with platform_of(kind, resumable) as host:
        for number, data in enumerate(cut_answers(framing, reset)):
            body = b"q%d" % number
            CutEngine.plan[body] = data, reset
            headers = [("Attempt-Id", f"a{number}"), *paths.ASK[1:]]
            try:
                status, _, got = await host.call("POST", "/p/x", headers, body)
            except errors.UpstreamError:
                status, got = 0, b""
            if runs == 2:
                assert (data, status, got) == (data, 200, EVENTS)
            else:
                assert (data, status, status // 100 == 2) == (data, status, 0)
            assert CutEngine.runs[body] == runs


@pytest.mark.parametrize("reset", [False, True])
@pytest.mark.parametrize("framing", ["length", "chunks", "no length"])
async def test_an_item_cut_off_is_run_again(framing, reset):
    """An item was listed as done with a part of its output."""
    made = cut_answers(framing, reset)
    async with platform_of("streaming", True) as host:
        for number, data in enumerate(made):
            CutEngine.plan[b"b%d" % number] = data, reset
        path = platformkit.BATCH_PREFIX + "j"
        sent = jobs.job_body(len(made))
        told = [("Attempt-Id", "j")]
        status, _, _ = await host.call("POST", path, told, sent)
        assert status == 202
        found = await jobs.results_of(host, "j", len(made))
        assert {(row["state"], row["text"]) for row in found} == {
            ("completed", jobs.TEXT)
        }
        assert not CutEngine.plan


@pytest.mark.parametrize("reset", [False, True])
@pytest.mark.parametrize("kept", [False, True])
@pytest.mark.parametrize("framing", ["length", "chunks", "no length"])
async def test_a_report_cut_off_is_no_report(framing, kept, reset):
    """A request was sent to an engine whose report had not come."""
    body = b'{"born":1}'
    sent = f"HTTP/{OK}\r\n{extra.STAMP}{LAST[framing]}\r\n\r\n"
    sent = sent.replace(str(len(EVENTS)), str(len(body))).encode()
    if framing == "chunks":
        body = b"a\r\n" + body + b"\r\n0\r\n\r\n"
    async with Server(extra.PLATFORM) as server:
        caller = extra.Caller(extra.PLATFORM, server)
        server.cut, server.reset = extra.REPORT, reset
        upstream = msgspec.structs.replace(server.upstream, born=1)
        for size in range(len(sent + body)):
            server.data = (sent + body)[:size]
            if kept:
                caller.upstream = server.upstream
                await caller.ask("first")
            caller.upstream = upstream
            with pytest.raises(errors.UpstreamError) as caught:
                await caller.ask("cut", resumable=True)
            assert not caught.value.ran
            with pytest.raises(errors.UpstreamError):
                await caller.plugin.report(upstream)
        await caller.plugin.close()


ORDER = engine.Order("load")
# What an engine tells of itself.
TOLD = {
    "/v1/state": engine.EngineState((("m", "1"),)),
    "/v1/load": engine.LoadReport(0, 0, 0.0),
    "/v1/cache-events": engine.CacheEvents(0, ()),
    "/v1/orders": engine.OrderAnswer(True),
}


class Ends(httpserver.Handler):
    """Ends its connection within each answer.

    Attributes:
      data: What it sends of an answer.
      reset: Whether it resets the connection.
      cuts_told: Whether it does so in what it tells of itself.
      ran: Number of requests that ran.
    """

    data, reset, cuts_told, ran = b"", False, False, 0

    async def handle(self, request, response):
        await request.body()
        told = TOLD.get(request.path)
        if request.path.endswith("/cancel") or told and not self.cuts_told:
            response.send(200, msgspec.json.encode(told))
            return
        self.ran += 1
        response.connection.transport.write(self.data)
        response.ended = True
        end(response.connection.transport, self.reset)


PASSED = b'{"choices":[{"message":{"content":"x"}}]}'
SERVICE = f"/v1/services/{clusters.PLAIN}/"
# Path, and type and body of the answer.
CALLS = {
    "stream": (online.CHAT, EVENT_TYPE, b"data: %s\n\n" % PASSED),
    "completion": (online.CHAT, "application/json", PASSED),
    "service": (f"{SERVICE}x", "a/b", PASSED),
    "service, once": (f"{SERVICE}dispatch", "a/b", PASSED),
    "job at another host": ("/v1/jobs", "a/b", PASSED),
}


@pytest.mark.parametrize("reset", [False, True])
@pytest.mark.parametrize("framing", ["length", "chunks", "no length"])
@pytest.mark.parametrize("called", CALLS)
async def test_a_host_passes_no_part_on_for_a_whole(
    called, framing, reset, monkeypatch
):
    """A caller was sent a part of an answer framed as a whole one."""
    target, form, body = CALLS[called]
    told = (
        f"content-length: {len(body)}"
        if framing == "length"
        else LAST[framing]
    )
    head = f"HTTP/{OK}\r\ncontent-type: {form}\r\n{told}\r\n\r\n".encode()
    if framing == "chunks":
        body = b"%x\r\n%s\r\n0\r\n\r\n" % (len(body), body)
    sizes = {0, 4, 12, 16, 17, 25, len(head) - 3, len(head) - 2, len(head) - 1}
    if framing != "no length" or reset or target == online.CHAT:
        sizes |= {len(head) + n for n in (0, 1, 30, len(body) - 1)}
    ends_it, client = Ends(), httpclient.HttpClient(max_idle=0)
    server = httpserver.HttpServer(ends_it)
    await server.start(platformkit.ANY_PORT)
    upstream = {"upstream.bad.address": str(server.address)}
    cluster = clusters.Cluster(0, values=upstream)
    plain = {**cluster.plain_values(), **upstream}
    plain["upstream.bad.plugin"] = "http"
    del plain[f"upstream.{clusters.PLAIN}-0.address"]
    del plain[f"upstream.{clusters.PLAIN}-0.plugin"]
    monkeypatch.setattr(cluster, "plain_values", lambda: plain)
    async with cluster:
        host = cluster.hosts["host-0"]
        proxy = host.part("entry", jobproxy.JobProxy)
        monkeypatch.setattr(proxy, "targets", lambda: [server.address])
        for size in sorted(sizes):
            ends_it.data, ends_it.reset, ends_it.ran = (
                (head + body)[:size],
                reset,
                0,
            )
            key = ("idempotency-key", f"k{size}")
            sent = online.body_of(f"p{size}", stream=called == "stream")
            try:
                status, _, got = await client.call(
                    host.address, "POST", target, online.headers(key), sent
                )
            except errors.UpstreamBroken:
                status, got = 0, b""
            assert status in (0, 502, 503), (size, got)
            # Completions may run again, and there is one engine.
            assert ends_it.ran == 1 or target == online.CHAT and ends_it.ran
    await client.close()
    await server.stop()


@pytest.mark.parametrize("reset", [False, True])
@pytest.mark.parametrize(
    ("method", "args"),
    [("state", ()), ("load", ()), ("events", (0,)), ("order", (ORDER,))],
)
async def test_what_an_engine_tells_is_no_answer_if_cut_off(
    method, args, reset
):
    """A request ended with 500 as the state of its engine was cut off."""
    path = next(path for path in TOLD if method in path)
    whole = b"HTTP/1.1 200 OK\r\n\r\n" + msgspec.json.encode(TOLD[path])
    ends_it, plugin = Ends(), openai_engine.OpenAiEngine()
    ends_it.cuts_told, ends_it.reset = True, reset
    server = httpserver.HttpServer(ends_it)
    await server.start(platformkit.ANY_PORT)
    upstream = engine.Upstream("u", server.address, "z")
    for size in range(len(whole)):
        ends_it.data = whole[:size]
        with pytest.raises(errors.UpstreamBroken):
            await getattr(plugin, method)(upstream, *args)
    await plugin.close()
    await server.stop()
