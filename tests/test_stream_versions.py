"""Streams and the software versions of the engines that they run on."""

import asyncio
import contextlib
import types

import logbook
import pytest

from camphortray import active_config
from camphortray import config as configs
from camphortray import errors
from camphortray import httpclient
from camphortray import ledger
from camphortray import slot_client
from camphortray import slot_messages
from camphortray import slot_queue
from camphortray import stream_lookup
from camphortray import stream_versions
from tests import platformkit
from tests import skiploop
from tests import slotclientkit
from tests import test_platform_jobs
from tests import test_version_record

event_loop_policy = skiploop.event_loop_policy

SERVICE = platformkit.SERVICE
PATH = platformkit.STREAM_PREFIX + "q"
BORN = 1_700_000_000_000


@pytest.fixture(autouse=True)
def patient(monkeypatch):
    """Let hosts wait for each other's answers on a busy machine."""
    monkeypatch.setattr(stream_lookup, "ASK_TIMEOUT_S", 10.0)
    monkeypatch.setattr(slot_client, "ASK_TIMEOUT_S", 10.0)


@contextlib.asynccontextmanager
async def platform_of(*versions, hosts=1):
    """Run hosts before engines ``i-0``, ``i-1``, ... of some versions.

    An engine without work is used in the reverse order of the names.
    """
    async with platformkit.Platform(hosts, len(versions)) as platform:
        for engine, version in zip(
            platform.engines.values(), versions, strict=True
        ):
            engine.version = version
            await platform.register(engine, sequence=2)
        await platform.until(
            lambda: all(known(host) == versions for host in platform.hosts)
        )
        yield platform


def known(host, service=SERVICE):
    """Return the versions of a service's engines as a host knows them."""
    engines = host.part(active_config.ActiveConfig).engines
    entries = sorted(engines.usable(service), key=lambda e: e.id)
    return tuple(entry.version for entry in entries)


def ran_at(platform, attempt):
    """Return engine and first event of each run of an attempt."""
    return {
        engine.name: after + 1
        for engine in platform.engines.values()
        for ran, after, _, _ in engine.ran
        if ran == attempt
    }


async def take_up(host, attempt, resumes, after=1):
    """Take a stream up again as a caller; return the status."""
    headers = [
        ("Attempt-Id", attempt),
        ("Last-Event-Id", str(after)),
        ("Resumes", resumes),
    ]
    status, _, _ = await host.call("POST", PATH, headers)
    return status


async def begin(platform, host, attempt):
    """Begin a stream that lasts; return its answer and engine."""
    for engine in platform.engines.values():
        engine.faults = ["wait"]
    client = httpclient.HttpClient(max_idle=0)
    response = await client.request(
        configs.Address.from_text(host.node.listen.front),
        "POST",
        PATH,
        [("host", platformkit.HOST_NAME), ("Attempt-Id", attempt)],
        b"",
    )
    assert await response.read()
    for engine in platform.engines.values():
        engine.faults = []
    (name,) = ran_at(platform, attempt)
    return response, name


async def break_off(platform, host, attempt):
    """Begin a stream, and close its connection; return its engine."""
    response, name = await begin(platform, host, attempt)
    running = platform.engines[name].running
    response.close()
    await platform.until(lambda: platform.engines[name].running < running)
    return name


@pytest.mark.parametrize(
    ("versions", "runs", "status"),
    [
        (("v1", "v2", "v1"), {"i-2": 1, "i-0": 3}, 200),
        # No engine of its version is left.
        (("v2", "v1"), {"i-1": 1}, 0),
    ],
)
async def test_an_answer_does_not_go_on_at_another_version(
    versions, runs, status
):
    # An engine breaks off a stream while other versions serve too.
    async with platform_of(*versions) as platform:
        (host,) = platform.hosts
        platform.engines[max(platform.engines)].faults = ["cut"]
        found = 0
        with contextlib.suppress(platformkit.errors.UpstreamBroken):
            found, _, _ = await host.call("POST", PATH, [("Attempt-Id", "a")])
        assert (ran_at(platform, "a"), found) == (runs, status)


@pytest.mark.parametrize("versions", [("v1", "v2"), ("v1", "v2", "v1", "v2")])
async def test_a_caller_is_not_taken_to_another_version(versions):
    # A caller's connection breaks, and it goes on at another host.
    async with platform_of(*versions, hosts=2) as platform:
        begun_at, other = platform.hosts
        for number in range(4):
            first = await break_off(platform, begun_at, f"a{number}")
            # Engines of the other version have more free slots.
            held, _ = await begin(platform, begun_at, f"h{number}")
            assert await take_up(other, f"b{number}", f"a{number}") == 200
            held.close()
            (second,) = ran_at(platform, f"b{number}")
            assert (
                platform.engines[second].version
                == platform.engines[first].version
            )


async def test_a_stream_of_a_version_that_has_left_is_refused():
    # A caller goes on after the last engine of its version has left.
    async with platform_of("v1", "v2", hosts=2) as platform:
        begun_at, other = platform.hosts
        name = await break_off(platform, begun_at, "a")
        leaving = platform.engines[name]
        await platform.register(leaving, sequence=3, state="draining")
        await platform.until(
            lambda: all(len(known(h)) == 1 for h in platform.hosts)
        )
        assert await take_up(other, "b", "a") == 503
        assert not ran_at(platform, "b")


async def register_starts(platform):
    """Let all engines tell when they started, as all hosts know then."""
    for engine in platform.engines.values():
        engine.born = BORN
        await platform.register(engine, sequence=3)
    await platform.until(
        lambda: all(
            entry.born
            for host in platform.hosts
            for entry in host.part(active_config.ActiveConfig).engines.usable(
                SERVICE
            )
        )
    )


async def start_again(engine, version):
    """Start an engine again under its id, its entry not yet written."""
    address = engine.server.address
    await engine.server.stop()
    engine.start_again(BORN + 1)
    engine.version = version
    await engine.server.start(address)


async def test_an_engine_of_another_version_under_the_same_id():
    # It has started again, and no host has read its new entry yet.
    async with platform_of("v1", "v2", hosts=2) as platform:
        begun_at, other = platform.hosts
        await register_starts(platform)
        engine = platform.engines[await break_off(platform, begun_at, "a")]
        await start_again(engine, "v1")
        assert await take_up(other, "b", "a") == 503
        assert not ran_at(platform, "b")
        # Nothing begins at what counts as the incarnation before.
        status, _, _ = await other.call("POST", PATH, [("Attempt-Id", "c")])
        assert status == 200
        assert set(ran_at(platform, "c")) == {"i-0"}


async def test_a_stream_and_the_first_engine_of_another_version():
    # All hosts have known one version only; its caller takes a stream up.
    async with platform_of("v1", "v1", hosts=2) as platform:
        begun_at, other = platform.hosts
        await register_starts(platform)
        engine = platform.engines[await break_off(platform, begun_at, "a")]
        await start_again(engine, "v2")
        assert await take_up(other, "b", "a") == 200
        assert ran_at(platform, "b") == {"i-0": 2}


async def test_an_answer_and_the_first_engine_of_another_version():
    # As above; it breaks off an answer that begins there.
    async with platform_of("v1", "v1") as platform:
        (host,) = platform.hosts
        await register_starts(platform)
        engine = platform.engines["i-1"]
        await start_again(engine, "v2")
        engine.faults = ["cut"]
        status, _, _ = await host.call("POST", PATH, [("Attempt-Id", "a")])
        assert status == 200
        assert ran_at(platform, "a") == {"i-0": 1}


async def test_an_item_and_the_first_engine_of_another_version():
    # As above, with an item of a job.
    async with platform_of("v1", "v1") as platform:
        (host,) = platform.hosts
        await register_starts(platform)
        engine = platform.engines["i-1"]
        await start_again(engine, "v2")
        engine.faults = ["cut"]
        status, _, _ = await host.call(
            "POST",
            platformkit.BATCH_PREFIX + "j",
            [("Attempt-Id", "j")],
            test_platform_jobs.job_body(1),
        )
        assert status == 202
        await test_platform_jobs.results_of(host, "j", 1)
        assert ran_at(platform, "it0") == {"i-0": 1}


async def test_the_version_of_a_stream_at_an_engine_that_leaves():
    # A coordinator that is elected anew hears of it from its holder.
    async with platform_of("v1", "v2", hosts=2) as platform:
        (host, _) = platform.hosts
        await platform.register(
            platform.engines["i-0"], sequence=3, state="draining"
        )
        await platform.until(lambda: known(host) == ("v2",))
        coordinator = host.part(slot_client.SlotClient).served.coordinator(
            SERVICE
        )
        want = slot_queue.SlotRequest("a.0", "h", True, stream="a")
        lease = slot_queue.Lease(want, "i-0", 0.0)
        coordinator.on_holder_report("h", [lease], [], 0.0)
        assert await take_up(host, "b", "a") == 503
        table, _ = tables(platform)
        digest = stream_versions.digest_of("a")
        assert table.of(SERVICE).streams[digest].version == "v1"


def tables(platform):
    """Return the streams that each host knows."""
    return [h.part(slot_client.SlotClient).streams for h in platform.hosts]


async def write_versions(platform, changes):
    """Let engines change their version, or leave where it is None."""
    for name, version in changes.items():
        engine = platform.engines[name]
        if version is None:
            await platform.store.write(ledger.Topic.ENGINES, name, None)
        else:
            engine.version = version
            await platform.register(engine, sequence=9)


async def lose_hosts(platform, changes, *, recorded, silent):
    """Replace all hosts; engines change while there is none."""
    for host in platform.hosts:
        await host.kernel.stop()
    for member in list(platform.store.held.members):
        platform.store.held.lapse(member)
    count, platform.hosts[:] = len(platform.hosts), []
    await write_versions(platform, changes)
    if not recorded:
        platform.store.held.held.pop((ledger.Topic.VERSIONS, 0), None)
    platform.store.silent = silent
    for number in range(count):
        await platform.add(f"host-{number}")
    if silent:
        await asyncio.sleep(3.0)
        platform.store.silent = False
    await platform.until(platform.settled)


LOSSES = {
    "v1 left before": (("v2", "v1"), {"i-1": None}, {}, 503),
    "v1 left while down": (("v2", "v1"), {}, {"i-1": None}, 503),
    "v2 replaced v1": (("v1", "v1"), {}, {"i-0": "v2", "i-1": "v2"}, 503),
    "v2 rolled back": (("v1", "v2"), {}, {"i-1": "v1"}, 503),
    "v2 rolled back before": (("v1", "v2"), {"i-1": "v1"}, {}, 503),
    "both serve": (("v1", "v2"), {}, {}, 503),
    "one version": (("v1", "v1"), {}, {}, 200),
    "an engine left": (("v1", "v1"), {"i-1": None}, {}, 200),
    "an engine came back": (("v1", "v1"), {"i-1": None}, {"i-1": "v1"}, 200),
}


@pytest.mark.parametrize("silent", [False, True])
@pytest.mark.parametrize("case", LOSSES)
async def test_a_stream_after_a_loss_of_all_hosts(case, silent):
    """New hosts take the only version that serves for the stream's."""
    versions, before, down, status = LOSSES[case]
    async with platform_of(*versions, hosts=2) as platform:
        for number in range(4):
            await break_off(platform, platform.hosts[0], f"a{number}")
        assert ran_at(platform, "a0") == {"i-1": 1}
        await write_versions(platform, before)
        now = {n: e.version for n, e in platform.engines.items()} | before
        left = tuple(v for _, v in sorted(now.items()) if v is not None)
        await platform.until(
            lambda: all(known(host) == left for host in platform.hosts)
        )
        await lose_hosts(platform, down, recorded=True, silent=silent)
        found = [
            await take_up(host, f"b{index}.{number}", f"a{number}")
            for index, host in enumerate(platform.hosts)
            for number in range(4)
        ]
        assert found == [status] * 8


@pytest.mark.parametrize("refuses", [False, True])
async def test_a_stream_of_a_version_that_the_store_took_no_record_of(
    monkeypatch, refuses
):
    """A version that served while the store refused records was forgotten."""
    async with platform_of("v1", "v1", hosts=2) as platform:
        await asyncio.sleep(20.0)
        store = platform.store
        append = store.append

        async def refuse(topic, *args):
            if topic is ledger.Topic.VERSIONS:
                raise errors.LogRefused("busy", step="append", peer="store")
            await append(topic, *args)

        if refuses:
            monkeypatch.setattr(store, "append", refuse)
        for version in ("v2", "v1"):
            await write_versions(platform, {"i-1": version})
            await platform.until(
                lambda now=("v1", version): all(
                    known(host) == now for host in platform.hosts
                )
            )
            if version == "v2":
                name = await break_off(platform, platform.hosts[0], "a")
                assert name == "i-1"
        monkeypatch.setattr(store, "append", append)
        await asyncio.sleep(3.0)
        await lose_hosts(platform, {}, recorded=True, silent=False)
        assert await take_up(platform.hosts[0], "b", "a") == 503


@pytest.mark.parametrize("versions", [("v2", "v1"), ("v1", "v1")])
async def test_a_stream_of_which_the_store_tells_nothing(versions):
    """Hosts without a record claim what served before they started."""
    async with platform_of(*versions, hosts=2) as platform:
        await break_off(platform, platform.hosts[0], "a")
        await lose_hosts(platform, {"i-1": None}, recorded=False, silent=False)
        for index, host in enumerate(platform.hosts):
            assert await take_up(host, f"b{index}", "a") == 503
        # A stream that began before cannot be taken up any more.
        await asyncio.sleep(11.0)
        for index, host in enumerate(platform.hosts):
            assert await take_up(host, f"c{index}", "a") == 200


@pytest.mark.parametrize(
    ("versions", "status"), [(("v1", "v2"), 503), (("v1", "v1"), 200)]
)
async def test_a_stream_that_no_host_knows(versions, status):
    # All hosts have been lost: it goes on only where one version serves.
    async with platform_of(*versions, hosts=2) as platform:
        # An update that is due as engines were read would bring it back.
        await platform.until(
            lambda: not any(t.timers for t in tables(platform))
        )
        await break_off(platform, platform.hosts[0], "a")
        if len(set(versions)) > 1:
            await platform.until(
                lambda: all(t.knows(SERVICE, "a") for t in tables(platform))
            )
        else:
            # No host sends what no host needs.
            assert not any(t.informed for t in tables(platform))
        await lose_hosts(platform, {}, recorded=True, silent=False)
        assert await take_up(platform.hosts[1], "b", "a") == status
        assert bool(ran_at(platform, "b")) == (status == 200)


async def test_an_item_after_a_loss_of_all_hosts():
    """An item goes on at another version after what its owner had of it."""
    async with platform_of("v1", hosts=2) as platform:
        engine = platform.engines["i-0"]
        engine.faults = ["wait"]
        target, body = (
            platformkit.BATCH_PREFIX + "j",
            test_platform_jobs.job_body(1),
        )
        status, _, _ = await platform.hosts[0].call(
            "POST", target, [("Attempt-Id", "j")], body
        )
        assert status == 202
        await platform.until(lambda: engine.running)
        await lose_hosts(platform, {"i-0": "v2"}, recorded=True, silent=False)
        (result,) = await test_platform_jobs.results_of(
            platform.hosts[0], "j", 1
        )
        runs = [(ran, after) for ran, after, _, _ in engine.ran]
        assert runs == [("it0", 0), ("it0", 0)]
        assert result["text"] == test_platform_jobs.TEXT


async def test_a_stream_is_told_to_a_standby_that_missed_an_update(
    monkeypatch,
):
    # Otherwise it is told only once another stream of the service begins.
    async with platform_of("v1", "v2", hosts=2) as platform:
        coordinator, _ = slotclientkit.roles(platform)
        links = coordinator.part(slot_client.SlotClient).links
        ask, lost = links.ask, []

        async def lose_one(address, message, timeout_s=1.0):
            if isinstance(message, slot_messages.StreamUpdate) and not lost:
                lost.append(message)
                raise errors.MessageError("lost", step="ask", peer="")
            return await ask(address, message, timeout_s)

        monkeypatch.setattr(links, "ask", lose_one)
        await break_off(platform, coordinator, "a")
        await platform.until(
            lambda: all(t.knows(SERVICE, "a") for t in tables(platform))
        )
        assert [len(update.streams) for update in lost] == [1]


async def test_a_stream_survives_its_host_and_its_coordinator():
    # Both are lost at once, before the caller takes its stream up.
    async with platform_of("v1", "v2", "v1", "v2", hosts=3) as platform:
        coordinator, holder = slotclientkit.roles(platform)
        (other,) = set(platform.hosts) - {coordinator, holder}
        first = await break_off(platform, holder, "a")
        table = other.part(slot_client.SlotClient).streams
        await platform.until(lambda: table.knows(SERVICE, "a"))
        for host in (coordinator, holder):
            platform.hosts.remove(host)
            await host.kernel.stop()
        for number in range(3):
            attempt = f"b{number}"
            assert await take_up(other, attempt, "a", number + 1) == 200
            (second,) = ran_at(platform, attempt)
            assert (
                platform.engines[second].version
                == platform.engines[first].version
            )


@pytest.mark.parametrize(
    ("slots", "version"),
    [
        ([("v1", "c1")], "v1"),
        # The engine of the first refused it.
        ([("v1", "c1"), ("v2", "c1")], "v2"),
        ([("v1", "c1"), ("v1", "c2")], "v1"),
        ([("v1", "c1"), ("v2", "c2")], None),
        ([("v1", "c1"), ("v2", "c2"), ("v2", "c2")], None),
    ],
)
def test_a_stream_that_two_coordinators_granted_slots(slots, version):
    # One of them stood still, and its slot was not used.
    streams = stream_versions.StreamVersions()
    for found, source in slots:
        streams.merge([stream_versions.Begun(7, found, 9.0, source)])
    assert streams.find(7, 0.0).version == version
    # The host that has received events knows better.
    streams.note(stream_versions.Begun(7, "v3", 9.0, "h"))
    streams.merge([stream_versions.Begun(7, "v1", 9.0, "c1")])
    assert streams.find(7, 0.0).version == "v3"


@pytest.mark.parametrize(
    ("noted", "status"),
    [((), 503), (("v1",), 200), (("v2",), 200), (("v1", "v2"), 503)],
)
async def test_hosts_that_know_different_versions_of_a_stream(noted, status):
    # As above, with one slot known to each host; one may have been used.
    async with platform_of("v1", "v2", hosts=2) as platform:
        first, second = tables(platform)
        first.record(SERVICE, "a", "v1", 5.0)
        second.record(SERVICE, "a", "v2", 5.0)
        for table, version in zip((first, second), noted, strict=False):
            table.note(SERVICE, "a", version, 5.0)
        assert await take_up(platform.hosts[1], "b", "a") == status
        ran = {platform.engines[n].version for n in ran_at(platform, "b")}
        assert ran == (set(noted) if status == 200 else set())


@pytest.mark.parametrize(
    ("versions", "alone", "away", "expected"),
    [
        ({"v1"}, False, True, "v1"),
        ({"v1"}, True, False, "v1"),
        # Engines of other versions may have come since.
        ({"v1"}, True, True, None),
        ({"v1", "v2"}, False, False, None),
        (set(), False, False, None),
        ({""}, False, False, ""),
    ],
)
async def test_which_version_a_stream_has_that_no_host_knows(
    versions, alone, away, expected
):
    # A host that is cut off takes its own version for the only one.
    host = types.SimpleNamespace(
        active_config=types.SimpleNamespace(away=away)
    )
    lookup = stream_lookup.StreamLookup(host)
    found = stream_lookup.Finding(None, frozenset(versions), alone)
    assert lookup.only_version(found) == expected


CUT_OFF = {"versions": ("v1",), "lived": True}
FOLLOWED = CUT_OFF | {"followed": True}


@pytest.mark.parametrize(
    ("told", "expected"),
    [
        # A host of the release before, and one that has just started.
        ([{"versions": ("v1",)}], set()),
        ([{"versions": ("v1",), "earlier": ("v1",)}], {"v1"}),
        ([{"versions": ("v2",), "earlier": ("v1", "v2")}], {"v1", "v2"}),
        ([{"versions": ("v1",), "lived": True}], {"v1"}),
        ([FOLLOWED, {"earlier": ("v2",)}], {"v1"}),
        # A host that was cut off from the store.
        ([CUT_OFF, {"earlier": ("v2",)}], {"v1", "v2"}),
        ([CUT_OFF, FOLLOWED, {"earlier": ("v2",)}], {"v1"}),
        ([CUT_OFF, {"versions": ("v1",)}], {"v1"}),
        # Its own record is of before the stream.
        ([CUT_OFF | {"earlier": ("v2",)}, {"earlier": ("v1",)}], {"v1"}),
        ([{"lived": True}, {"versions": ("v2",)}, {}], {"v2"}),
    ],
)
async def test_whose_word_counts_for_the_time_before(told, expected):
    """A host that has just started claims that one version has served."""
    lookup = stream_lookup.StreamLookup(types.SimpleNamespace())
    answers = [slot_messages.StreamAnswer(**fields) for fields in told]
    lookup.targets = lambda service: range(len(answers))
    lookup.answer = lambda ask: slot_messages.StreamAnswer()

    async def ask(name, message):
        return answers[name]

    lookup.ask = ask
    found = await lookup.find(slot_messages.StreamAsk(SERVICE, 7, 9000))
    assert found.versions == expected


V1 = {"version": "v1", "known": True, "lived": True, "holder": "holder"}
SEEN = V1 | {"version": "v2", "seen": True}


@pytest.mark.parametrize(
    ("holder", "live", "several", "version"),
    [
        # The slot was granted late; its host had events from elsewhere.
        (SEEN, True, True, "v2"),
        (SEEN | {"version": "v1"}, True, True, "v1"),
        # Its host has received no event.
        ({"lived": True}, True, True, None),
        (V1, True, True, None),
        # Its host has started since.
        ({}, True, True, "v1"),
        ("silent", True, True, None),
        ("silent", False, True, "v1"),
        ("refused", True, True, "v1"),
        ("silent", True, False, "v1"),
    ],
)
async def test_a_slot_that_was_granted_late_begins_no_stream(
    holder, live, several, version
):
    """Guards against a stream taken up at the version of an unused slot."""
    host = types.SimpleNamespace(
        own_name="own",
        is_live=lambda name: live,
        peer_address=lambda name: name,
        links=types.SimpleNamespace(),
    )

    async def ask(name, message, timeout_s):
        if name == "coordinator":
            return slot_messages.StreamAnswer(**V1)
        if isinstance(holder, dict):
            return slot_messages.StreamAnswer(**holder)
        cause = ConnectionRefusedError() if holder == "refused" else None
        raise errors.MessageError("no", step="ask", peer=name) from cause

    host.links.ask = ask
    lookup = stream_lookup.StreamLookup(host)
    lookup.targets = lambda service: ["coordinator"]
    lookup.answer = lambda ask: slot_messages.StreamAnswer()
    lookup.has_changed = lambda ask: several
    found = await lookup.find(slot_messages.StreamAsk(SERVICE, 7, 9000))
    assert found.version == version


async def test_standbys_know_which_host_asked_for_the_slot_of_a_stream():
    """Guards against a holder that is lost with the coordinator."""
    begun = [
        stream_versions.Begun(n, f"v{n % 2}", 9.0, "c", holder=f"h{n % 3}")
        for n in range(5)
    ]
    update = slot_messages.StreamUpdate.of(SERVICE, begun, 0.0)
    assert update.begun(0.0, "c") == begun
    earlier = slot_messages.StreamUpdate(
        SERVICE, update.versions, update.streams
    )
    assert {each.holder for each in earlier.begun(0.0, "c")} == {""}


@pytest.mark.parametrize("away", [False, True])
async def test_a_host_without_the_store_does_not_speak_for_all_versions(away):
    """A host cut off from the store overruled the record of versions."""
    host = test_version_record.Host("a", ledger.MemoryLedger())
    reply = stream_lookup.StreamAnswer(versions=("v1",), earlier=("v1", "v2"))

    async def ask(*args):
        return reply

    entry = types.SimpleNamespace(service="s", version="v1")
    host.active_config = types.SimpleNamespace(
        engines=types.SimpleNamespace(current=lambda: {"e": entry}),
        listed=True,
        away=away,
    )
    host.links.ask, host.peer_address = ask, lambda name: name
    host.elected, host.standbys = lambda service: "b", lambda *args: []
    lookup = stream_lookup.StreamLookup(host)
    lookup.update_engines()
    await asyncio.sleep(60.0)
    found = await lookup.find(stream_lookup.StreamAsk("s", 1, 30_000))
    assert lookup.only_version(found) == (None if away else "v1")


@pytest.mark.parametrize(
    ("listed", "earlier", "after_s", "held"),
    [
        (True, None, 0.5, True),
        (True, None, 1.5, False),
        (True, [], 0.5, False),
        (False, None, 0.5, False),
    ],
)
async def test_a_host_is_not_ready_before_the_record(
    listed, earlier, after_s, held
):
    """A host takes streams up before it has read what served."""
    host = test_version_record.Host("a", ledger.MemoryLedger())
    lookup = stream_lookup.StreamLookup(host)
    if listed:
        lookup.listed_at = host.clock.monotonic()
    lookup.version_record.earlier = earlier
    await asyncio.sleep(after_s)
    assert ("record" in lookup.ready()) == held


async def test_a_split_that_changes_does_not_move_a_stream():
    # The operator's new weights lead the caller to another service.
    async with platform_of("v1", "v1", hosts=2) as platform:
        platform.engines["i-0"].service = "other"
        await platform.register(platform.engines["i-0"], sequence=3)
        for weights in ((0, 1), (1, 1)):
            split = [
                {"service": s, "weight": w}
                for s, w in zip(("other", SERVICE), weights, strict=True)
            ]
            route = platformkit.route(
                "r-1",
                platformkit.STREAM_PREFIX,
                "streaming",
                resumable=True,
                split=split,
            )
            revision = 10 + sum(weights)
            await platform.store.configure(revision, [route])
            await platform.until(
                lambda revision=revision, weights=weights: all(
                    h.part(active_config.ActiveConfig).view.revision
                    == revision
                    and len(known(h)) == 1
                    and len(known(h, "other")) == weights[0]
                    for h in platform.hosts
                )
            )
            if weights == (0, 1):
                for number in range(4):
                    attempt = f"a{number}"
                    name = await break_off(
                        platform, platform.hosts[0], attempt
                    )
                    assert name == "i-1"
        for number in range(4):
            host = platform.hosts[number % 2]
            assert await take_up(host, f"b{number}", f"a{number}") == 200
            assert set(ran_at(platform, f"b{number}")) == {"i-1"}


def test_versions_that_left_are_remembered():
    # A version that comes back after a roll-back, and one that has left.
    streams = stream_versions.StreamVersions()
    for at, serving in enumerate([("v1",), ("v1", "v2"), ("v2",), ("v1",)]):
        streams.set_serving(serving, float(at))
    assert streams.recent(2.5, 4.0) == {"v1", "v2"}
    assert streams.recent(0.5, 4.0) == {"v1"}


async def test_a_log_line_names_both_versions():
    # The cause of a stream of two versions could not be read from the logs.
    async with platform_of("v1", "v1") as platform:
        (host,) = platform.hosts
        platform.engines["i-1"].faults = ["cut"]
        seen = logbook.TestHandler(level=logbook.INFO)
        with seen.applicationbound():
            await host.call("POST", PATH, [("Attempt-Id", "a")])
            await take_up(host, "b", "a", after=4)
            await asyncio.sleep(0)
        lines = [r for r in seen.records if r.message.startswith("Stream a")]
        told = [
            {k: r.kwargs["fields"][k] for k in ("by", "version")}
            for r in lines
        ]
        assert told == [
            {"by": "host", "version": "v1"},
            {"by": "caller", "version": "v1"},
        ]
