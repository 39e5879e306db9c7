"""Tests of links between hosts: bad bytes, keys and certificates."""

import asyncio
import random
import ssl

import cbor2
import hypothesis
from hypothesis import strategies
import msgspec
import pytest
import trustme

from camphortray import antientropy
from camphortray import clock
from camphortray import config as configs
from camphortray import errors
from camphortray import facts
from camphortray import failure_detector
from camphortray import gossip
from camphortray import httpclient
from camphortray import httpserver
from camphortray import kernel
from camphortray import links as links_module
from camphortray import members
from camphortray import messages
from camphortray import metrics
from camphortray import node as nodes
from camphortray import peers
from camphortray import tls

LIMIT_S = 20
MEMBER = members.Member(
    "h/entry", 3, members.Status.DEAD, "z", "10.0.0.1:5", "[::1]:80"
)
FACT = facts.Fact("k", "x", 5, {"a": [1, "b", None]}, 9.0)
EXAMPLES = (
    gossip.Ping(1, 2**64 - 1, 3, 4),
    gossip.Pong(7, news=(MEMBER,)),
    gossip.News((MEMBER,), (FACT,)),
    antientropy.Sync(b"\x00" * 256),
    antientropy.SyncReply((1, 2), (MEMBER,), (FACT,)),
    failure_detector.Doubt("h/entry", 3),
    links_module.Ack(),
    links_module.PeerFault("x"),
    links_module.Probe(),
)
CBOR = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats()
    | strategies.text(max_size=8)
    | strategies.binary(max_size=8),
    lambda inner: (
        strategies.lists(inner, max_size=4)
        | strategies.dictionaries(
            strategies.text(max_size=8), inner, max_size=4
        )
    ),
    max_leaves=12,
)
SEEDED = hypothesis.settings(derandomize=True, deadline=None, max_examples=150)


@pytest.mark.parametrize("message", EXAMPLES, ids=lambda m: type(m).__name__)
def test_messages_come_back_as_they_were(message):
    envelope = messages.Envelope(4, True, message)
    assert messages.decode(messages.encode(envelope)) == envelope


def test_fields_of_a_later_release_are_ignored_and_kinds_refused():
    body = {"incarnation": 1, "digest": 2, "colour": "new"}
    read = messages.decode(cbor2.dumps([1, "ping", 0, False, body]))
    assert read.message == gossip.Ping(1, 2)
    liar = {"entries": [dict(msgspec.to_builtins(MEMBER), peer_address="x")]}
    for bad in (
        [1, "sing", 0, False, {}],
        [2, "ping", 0, False, body],
        [1, "news", 0, False, liar],
    ):
        with pytest.raises(errors.MessageError):
            messages.decode(cbor2.dumps(bad))


@SEEDED
@hypothesis.given(strategies.binary(max_size=200))
def test_any_bytes_are_read_or_refused(data):
    read_or_refuse(data)


@SEEDED
@hypothesis.given(
    strategies.sampled_from(sorted(messages.KINDS)), CBOR, CBOR, CBOR
)
def test_any_cbor_is_read_or_refused(kind, number, reply, body):
    read_or_refuse(cbor2.dumps([1, kind, number, reply, body]))
    read_or_refuse(cbor2.dumps([1, kind, 1, False, body]))


@SEEDED
@hypothesis.given(strategies.sampled_from(EXAMPLES), strategies.data())
def test_damaged_messages_harm_no_member(example, data):
    # A peer of another release, or a broken one, sends what looks like a
    # message. Whatever can be read is taken in without an exception, and
    # the member still knows itself to be alive.
    good = bytearray(messages.encode(messages.Envelope(1, False, example)))
    place = data.draw(strategies.integers(0, len(good) - 1))
    good[place] = data.draw(strategies.integers(0, 255))
    try:
        message = messages.decode(bytes(good)).message
    except errors.MessageError:
        return
    own = members.Member("me/entry", 1, members.Status.ALIVE, "z", "q", "")
    node = nodes.Node(own, [], random.Random(1))
    node.start(100.0)
    with_answers = (
        gossip.Ping,
        gossip.News,
        antientropy.Sync,
        failure_detector.Doubt,
    )
    if isinstance(message, with_answers):
        node.receive("other/entry", message, 100.0)
    node.tick(100.1)
    assert node.known.own.status is members.Status.ALIVE


def read_or_refuse(data):
    """Decode; anything but a message error is a fault."""
    try:
        messages.decode(data)
    except errors.MessageError:
        pass


def test_no_message_is_larger_than_the_limit():
    large = gossip.News(known=(facts.Fact("k", "x", 1, "v" * 1_100_000),))
    with pytest.raises(errors.MessageError):
        messages.encode(messages.Envelope(0, False, large))
    with pytest.raises(errors.MessageError):
        messages.decode(b"\x00" * (messages.MAX_MESSAGE_BYTES + 1))
    table = facts.FactTable()
    with pytest.raises(errors.MessageError):
        table.make("k", "x", "v" * 5000, 60, 0)


def config_of(name="host-1", key="", tls_config=None):
    return configs.Config.from_data(
        {
            "host": {"name": name, "availability_zone": "z", "region": "r"},
            "log": {"address": "127.0.0.1:1"},
            "hostlist": {"address": "127.0.0.1:1"},
            "peer": {"entry_listen": "127.0.0.1:0", "shared_key": key},
            "tls": tls_config or {},
        }
    )


async def links_of(config, skew_s=0.0):
    source = clock.SystemClock()
    source.skew += skew_s
    links = peers.Peers(
        kernel.Context(
            config, "entry", 1, source, random.Random(1), metrics.Metrics()
        )
    )
    links.on(gossip.Ping, echo)
    await links.start()
    return links


async def echo(sender, ping):
    """Answer with the number that was sent, and fail on zero."""
    if not ping.digest:
        raise ValueError("zero")
    return gossip.Pong(ping.digest)


async def ask(links, target, number=5):
    return await links.ask_anew(target.address, gossip.Ping(1, number), 2.0)


async def test_bad_bytes_end_neither_link_nor_process():
    # A peer sends rubbish, text, an oversize frame, an answer nobody
    # asked for and a question whose handler fails, on one link. The good
    # question after each of them is answered as if nothing had been.
    links = await links_of(config_of())
    good = messages.encode(messages.Envelope(9, False, gossip.Ping(1, 5)))
    for bad in (
        b"",
        b"\xff" * 50,
        "text",
        cbor2.dumps([1, "pong", 3, True, {"digest": 1}]),
        messages.encode(messages.Envelope(3, False, gossip.Ping(1, 0))),
        b"\x00" * (messages.MAX_MESSAGE_BYTES + 1),
    ):
        socket = await links.connect(links.address)
        await socket.send(bad)
        await socket.send(good)
        async with asyncio.timeout(LIMIT_S):
            if len(bad) > messages.MAX_MESSAGE_BYTES:
                await socket.wait_closed()
                assert (await ask(links, links)).digest == 5
                continue
            while True:
                reply = messages.decode(await socket.recv())
                if reply.number == 9:
                    break
        assert reply.message == gossip.Pong(5)
        await socket.close()
    await links.stop()


@pytest.mark.parametrize(
    ("keys", "skew_s", "passes"),
    [
        (("k", "k"), 0, True),
        (("k", "other"), 0, False),
        (("k", ""), 0, False),
        (("k", "k"), 50, True),
        (("k", "k"), 120, False),
        (("k", "k"), -120, False),
    ],
)
async def test_only_holders_of_the_shared_key_may_link(keys, skew_s, passes):
    # A process that does not hold the hosts' key, or replays an old
    # hello, gets no link, so it can neither read nor tell anything.
    server = await links_of(config_of(key=keys[0]))
    other = await links_of(config_of("host-2", keys[1]), skew_s)
    if passes:
        assert (await ask(other, server)).digest == 5
    else:
        with pytest.raises(errors.MessageError):
            await ask(other, server)
    await server.stop()
    await other.stop()


@pytest.fixture(scope="module")
def authority(tmp_path_factory):
    return Authority(tmp_path_factory.mktemp("tls"))


class Authority:
    """A CA whose certificates stand in files."""

    def __init__(self, folder):
        self.folder = folder
        self.ca = trustme.CA()
        self.file = str(folder / "ca.pem")
        self.ca.cert_pem.write_to_path(self.file)

    def issue(self, name, ca=None):
        made = (ca or self.ca).issue_cert("127.0.0.1")
        certificate = self.folder / f"{name}.pem"
        key = self.folder / f"{name}.key"
        for number, blob in enumerate(made.cert_chain_pems):
            blob.write_to_path(certificate, append=number > 0)
        made.private_key_pem.write_to_path(key)
        return {
            "certificate": str(certificate),
            "key": str(key),
            "peer_ca": self.file,
        }


@pytest.mark.parametrize("issuer", ["same", "other", "none"])
async def test_only_hosts_of_the_ca_may_link(authority, issuer):
    # With mutual TLS a peer shows a certificate of the hosts' CA. One of
    # another CA, or a plain connection, gets no link.
    server = await links_of(config_of(tls_config=authority.issue("server")))
    shown = None
    if issuer != "none":
        ca = authority.ca if issuer == "same" else trustme.CA()
        shown = authority.issue(f"client-{issuer}", ca)
    other = await links_of(config_of("host-2", tls_config=shown))
    if issuer == "same":
        assert (await ask(other, server)).digest == 5
    else:
        with pytest.raises(errors.MessageError):
            await ask(other, server)
    await server.stop()
    await other.stop()


class Hello(httpserver.Handler):
    async def handle(self, request, response):
        response.send(200, b"hello")


@pytest.mark.parametrize("trusted", [True, False])
async def test_callers_connect_by_tls(authority, trusted):
    issued = authority.issue("callers")
    config = configs.TlsConfig(
        issued["certificate"], issued["key"], callers=True
    )
    plain = msgspec.structs.replace(config, callers=False)
    assert tls.caller_context(plain) is None
    server = httpserver.HttpServer(Hello(), tls=tls.caller_context(config))
    await server.start(configs.Address("127.0.0.1", 0))
    context = ssl.create_default_context()
    if trusted:
        authority.ca.configure_trust(context)
    client = httpclient.HttpClient(tls=context)
    if trusted:
        assert (await client.call(server.address, "GET", "/"))[2] == b"hello"
    else:
        with pytest.raises(errors.UpstreamBroken) as caught:
            await client.call(server.address, "GET", "/")
        assert not caught.value.ran
    await client.close()
    await server.stop()


async def test_a_silent_link_is_replaced_by_a_new_one():
    # An open link goes silent for good. The question on it gets no answer
    # in time; the next one goes over a new connection and is answered. It
    # once failed as the end of the old link was taken for that of the new.
    links = await links_of(config_of())
    message = gossip.Ping(1, 5)
    assert await links.ask(links.address, message, 2.0)
    link = links.link(links.address)
    first = link.socket
    first.transport.pause_reading()
    with pytest.raises(errors.MessageError):
        await links.ask(links.address, message, 0.05)
    assert (await links.ask(links.address, message, 2.0)).digest == 5
    assert link.socket is not first
    await links.stop()


async def test_one_way_messages_pass_again_after_a_silent_link(monkeypatch):
    # A link that carries one-way messages only goes silent for good. They
    # are lost, and nobody would notice; so the peer is asked for a sign
    # of life, the link is dropped, and what is told next arrives.
    monkeypatch.setattr(links_module, "QUIET_S", 0.0)
    monkeypatch.setattr(links_module, "SEND_S", 0.05)
    links = await links_of(config_of())
    heard = asyncio.Queue()

    async def hear(sender, news):
        heard.put_nowait(news)

    links.on(gossip.News, hear)
    async with asyncio.timeout(LIMIT_S):
        links.notify(links.address, gossip.News())
        await heard.get()
        server_side = next(iter(links.server.server.connections))
        server_side.transport.pause_reading()
        links.notify(links.address, gossip.News())
        await links.link(links.address).sender
        links.notify(links.address, gossip.News())
        await heard.get()
    await links.stop()


async def test_slow_news_do_not_hold_up_answers():
    # The handler of a one-way message takes long. A probe behind it on
    # the same link is answered all the same, or the host would look lost;
    # and one-way messages keep their order.
    links = await links_of(config_of())
    gate, seen = asyncio.Event(), []

    async def slow(sender, news):
        await gate.wait()
        seen.append(news.known[0].version)

    links.on(gossip.News, slow)
    for version in (1, 2, 3):
        fact = msgspec.structs.replace(FACT, version=version)
        links.notify(links.address, gossip.News(known=(fact,)))
    link = links.link(links.address)
    await link.sender
    reply = await links.ask(links.address, gossip.Ping(1, 5), 5.0)
    assert (reply.digest, seen) == (5, [])
    gate.set()
    async with asyncio.timeout(LIMIT_S):
        while len(seen) < 3:
            await asyncio.sleep(0)
    assert seen == [1, 2, 3]
    await links.stop()


async def test_what_has_no_answer_of_its_own_is_acknowledged():
    links = await links_of(config_of())

    async def hear(sender, news):
        return None

    links.on(gossip.News, hear)
    reply = await links.ask(links.address, gossip.News(), 5.0)
    assert reply == links_module.Ack()
    await links.stop()


async def test_an_answer_over_the_limit_is_told_as_a_fault():
    links = await links_of(config_of())

    async def large(sender, ping):
        fact = msgspec.structs.replace(FACT, value="v" * 1_100_000)
        return gossip.News(known=(fact,))

    links.on(gossip.Ping, large)
    with pytest.raises(errors.MessageError, match="over the limit"):
        await ask(links, links)
    await links.stop()


async def test_messages_are_counted_by_kind():
    """Guards against traffic of which nobody can tell what it is."""
    asking = await links_of(config_of())
    answering = await links_of(config_of())

    async def answer(sender, ping):
        return gossip.Pong(ping.digest)

    answering.on(gossip.Ping, answer)
    try:
        await asking.ask(answering.address, gossip.Ping(1, 5), LIMIT_S)
        sent = {("sent", "ping"): 1, ("received", "pong"): 1}
        assert asking.traffic.kinds == sent
        received = {("received", "ping"): 1, ("sent", "pong"): 1}
        assert answering.traffic.kinds == received
    finally:
        await asking.stop()
        await answering.stop()
