"""Ways on which an accepted item could be neither listed nor run again."""

import asyncio
import json
import types

from camphortray_platform import store
import pytest

from camphortray import active_config
from camphortray import backends
from camphortray import clock as clocks
from camphortray import config as configs
from camphortray import engine_crashes
from camphortray import errors
from camphortray import httpclient
from camphortray import ledger
from camphortray import membership
from camphortray import metrics
from camphortray import partition_manager
from camphortray import peers
from camphortray import segment_quarantine
from camphortray import slot_client
from tests import hostkit
from tests import platformkit
from tests import test_partition_owner
from tests import test_platform_jobs

pytestmark = pytest.mark.looptime
JOBS = ledger.Topic.JOBS
# Far above what any of this takes where nothing is left lying, in seconds.
WAIT_S = 60.0


async def listed(owner, job, count):
    """Wait until a job has so many results."""
    async with asyncio.timeout(WAIT_S):
        return await test_partition_owner.all_results(owner, job, count)


async def owner_of(script, held=None):
    """Return an owner of partition 0 that has taken it over."""
    owned = test_partition_owner.Owned(held or ledger.MemoryLedger(), script)
    return await owned.ready()


# An error that no code expects.


@pytest.mark.parametrize(
    "error",
    [AssertionError(), OverflowError("port"), asyncio.CancelledError()],
    ids=["assertion", "overflow", "cancelled"],
)
async def test_an_item_whose_slot_fails_oddly_is_run_again(error):
    # The caller waits for a result that never comes. The wait for a slot
    # ends once by an error that is no NoSlot; the owner writes a line, or
    # nothing, and the item is in none of its books after that: neither in
    # waiting nor in running, with the partition still owned here.
    owner = await owner_of([test_partition_owner.good()])
    slots, given = owner.parts.slots, owner.parts.slots.acquire
    odd = [error]

    async def acquire(service, want, on_revoke=None):
        if odd:
            raise odd.pop()
        return await given(service, want, on_revoke)

    slots.acquire = acquire
    await owner.submit(test_partition_owner.part_of(count=1))
    await listed(owner, "j1", 1)
    await owner.close()


async def test_an_item_whose_run_fails_oddly_is_run_again():
    # The same, where the error comes from the run at the engine: one that
    # is no UpstreamError passes ItemWork.attempt and ends the item's task.
    owner = await owner_of([KeyError("odd"), test_partition_owner.good()])
    await owner.submit(test_partition_owner.part_of(count=1))
    await listed(owner, "j1", 1)
    await owner.close()


async def test_an_item_whose_slot_cannot_be_given_back_is_run_again():
    # The engine broke the run off; giving the slot back fails oddly (the
    # book of slots may be this host's own and decides for others there and
    # then). That error takes the place of the run's, and the item is gone.
    owner = await owner_of([hostkit.BROKEN, test_partition_owner.good()])
    slots, given = owner.parts.slots, owner.parts.slots.release
    odd = [ValueError("odd")]

    def release(held, outcome, pace_s=0.0):
        given(held, outcome)
        if odd:
            raise odd.pop()

    slots.release = release
    await owner.submit(test_partition_owner.part_of(count=1))
    await listed(owner, "j1", 1)
    await owner.close()


@pytest.mark.parametrize(
    ("address", "target", "headers"),
    [
        (configs.Address("127.0.0.1", 70_000), "/p/1", ()),
        (configs.Address("127.0.0.1", 1), "/p/1", ()),
        (None, "/p/1", (("model", "\u00e9"),)),
        (None, "/p/1", (("model", "a\nb"),)),
        (None, "/p 1", ()),
    ],
    ids=["no port", "nobody there", "not ascii", "line feed", "target"],
)
@pytest.mark.looptime(False)
async def test_what_cannot_be_sent_is_a_failed_run(address, target, headers):
    # An item with such a header or path, or sent where an entry of the
    # registry has a port of 70000 (ee0bcc6 took it; today only the dialect
    # stands before it), ends by UnicodeEncodeError, LocalProtocolError or
    # OverflowError, which nobody expects: accepted, and never run again.
    server = await asyncio.start_server(lambda r, w: w.close(), "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    client = httpclient.HttpClient()
    with pytest.raises(errors.UpstreamError):
        await client.request(
            address or configs.Address("127.0.0.1", port),
            "POST",
            target,
            headers,
            b"body",
            timeouts=httpclient.Timeouts(0.5, 0.5, 0.5),
        )
    await client.close()
    server.close()


# A task that ends, and no one notices.


async def test_a_takeover_that_fails_oddly_is_tried_again():
    # Calls on all jobs of the partition get 503 for good and none of its
    # items runs. Reading it raised once what is no LogError (an answer
    # whose base64 is broken does); the owner's task has ended, and as the
    # owner stands in ``held``, nobody takes the partition again.
    held = ledger.MemoryLedger()
    newest, odd = held.newest, [ValueError("odd")]

    async def odd_newest(topic, part=0, on_page=ledger.no_page):
        if odd:
            raise odd.pop()
        return await newest(topic, part)

    held.newest = odd_newest
    owned = test_partition_owner.Owned(held)
    async with asyncio.timeout(WAIT_S):
        owner = await owned.ready()
    await owner.close()


async def test_a_listener_that_fails_does_not_end_the_writer():
    # The caller of the job is told that nothing is known of it, though it is
    # kept; its items run, and none of the partition is listed any more.
    # Telling others of a kept record raised once, inside the writer's only
    # task; later writes wait up to an hour for a task that has ended.
    owner = await owner_of([test_partition_owner.good() for _ in range(2)])
    odd = [ValueError("odd")]

    def on_change():
        if odd:
            raise odd.pop()

    owner.on_change = on_change
    async with asyncio.timeout(WAIT_S):
        await owner.submit(test_partition_owner.part_of(count=2))
    await listed(owner, "j1", 2)
    await owner.close()


# Positions.


class Bounded(ledger.MemoryLedger):
    """A ledger that refuses records above a size, as the store does."""

    record_bytes = 4_096

    async def append(self, topic, part, records, fence=None, timeout_s=1.0):
        if any(len(r.key) + len(r.value) > 4_096 for r in records):
            raise errors.LogRefused("413", step="append", peer="memory")
        await super().append(topic, part, records, fence, timeout_s)


async def test_a_result_too_large_to_be_kept_does_not_hold_up_others():
    # One item's text is larger than a record may be. The store refuses its
    # append each time, the writer repeats it for an hour, and no result of
    # the whole partition is listed behind it.
    huge = hostkit.Answer([b"id: 1\ndata: " + b"x" * 8_000 + b"\n\n"])
    owner = await owner_of([huge], Bounded())
    await owner.submit(test_partition_owner.part_of("j1", count=1))
    await asyncio.sleep(1.0)
    owner.parts.backends.party.script.append(test_partition_owner.good())
    async with asyncio.timeout(WAIT_S):
        await owner.submit(test_partition_owner.part_of("j2", count=1))
        await test_partition_owner.all_results(owner, "j2", 1)
    await owner.close()


async def test_an_end_that_is_refused_leaves_no_hole_in_the_results():
    # The caller was told that its job has not been ended, and reads one
    # result for ever. The store refuses all for some seconds; one item is
    # done and its result waits when the end stops it; the end is refused,
    # so it runs once more and takes a second position, at which its
    # result does not count. What comes after that position is not listed.
    held = ledger.MemoryLedger()

    def first():
        held.refuse = 10**9
        return test_partition_owner.good()

    owner = await owner_of([first], held)
    slots, given = owner.parts.slots, owner.parts.slots.acquire

    async def acquire(service, want, on_revoke=None):
        if held.refuse and not want.id.startswith("j1.0."):
            raise errors.NoSlot("no room", 0.25)
        return await given(service, want, on_revoke)

    slots.acquire = acquire
    script = owner.parts.backends.party.script
    await owner.submit(test_partition_owner.part_of(count=2))
    await asyncio.sleep(1.0)
    assert not script
    script += [test_partition_owner.good(), test_partition_owner.good()]
    with pytest.raises(errors.LogRefused):
        await owner.end("j1")
    # The item has run once more by now, and the store is back.
    await asyncio.sleep(0.2)
    held.refuse = 0
    found = await listed(owner, "j1", 2)
    assert sorted(result.item for result in found) == [0, 1]
    await owner.close()


async def test_an_end_whose_caller_leaves_is_not_held_for_good():
    # The caller of the end closed its connection; the store then refused
    # the end. Nobody was told that the job has ended, it has not, and yet
    # none of its items runs: ``ending`` still counts a call that is gone.
    held = ledger.MemoryLedger()
    owner = await owner_of([], held)
    slots, names = owner.parts.slots, owner.parts.slots.names
    slots.refusals = 10**9
    await owner.submit(test_partition_owner.part_of(count=1))
    held.refuse = 10**9
    task = asyncio.ensure_future(owner.end("j1"))
    await asyncio.sleep(0.5)
    task.cancel()
    await asyncio.sleep(10.0)
    held.refuse = 0
    slots.refusals = 0
    slots.names = names
    owner.parts.backends.party.script.append(test_partition_owner.good())
    if not owner.state.jobs["j1"].ended:
        await listed(owner, "j1", 1)
    await owner.close()


# The same epoch twice.


class Sequenced(ledger.MemoryLedger):
    """A ledger that numbers appends as the store's pages say.

    Attributes:
      refuse_epochs: Number of coming calls that set an epoch and are
        refused, as all are that come too often.
    """

    def __init__(self):
        super().__init__(parts=1)
        self.refuse_epochs = 0

    async def append(self, topic, part, records, fence=None, timeout_s=1.0):
        held = self.held[topic, part]
        if fence is not None and fence.epoch == held.epoch:
            last = [s for e, s in held.answered if e == fence.epoch]
            repeat = fence.sequence in sorted(last)[-5:]
            if last and not repeat and fence.sequence != max(last) + 1:
                raise errors.LogFenced("seq", step="append", peer="memory")
        await super().append(topic, part, records, fence, timeout_s)

    async def set_epoch(self, topic, part, epoch):
        if self.refuse_epochs:
            self.refuse_epochs -= 1
            raise errors.LogRefused("429", step="claim", peer="memory")
        await super().set_epoch(topic, part, epoch)


def owners_on(held, script):
    """Return the owners of one host on a ledger, without other hosts."""
    parts = hostkit.work_parts(clocks.SystemClock(), script)
    parts.backends.ledger = held
    members = types.SimpleNamespace(
        own_name="h/host",
        on_fact=lambda kind, listener: None,
        publish=lambda *fact: None,
        member=lambda name: None,
        live=lambda program: [],
    )
    by_class = {
        membership.Membership: members,
        backends.LedgerBackends: parts.backends,
        active_config.ActiveConfig: parts.active_config,
        slot_client.SlotClient: parts.slots,
        engine_crashes.EngineCrashes: parts.engine_crashes,
        segment_quarantine.SegmentQuarantine: parts.quarantine,
        peers.Peers: types.SimpleNamespace(on=lambda cls, handler: None),
    }
    context = types.SimpleNamespace(
        clock=clocks.SystemClock(),
        incarnation=1,
        metrics=metrics.Metrics(),
        config=types.SimpleNamespace(
            host=types.SimpleNamespace(name="h"),
            front=types.SimpleNamespace(item_keep_s=120.0),
            experiments=configs.ALL_ON,
        ),
        part=by_class.__getitem__,
    )
    return partition_manager.PartitionManager(context)


async def taken_again(before):
    """Return owners whose only partition was left and taken once more.

    Args:
      before: Jobs accepted in the first time.
    """
    held = Sequenced()
    owners = owners_on(held, [])
    owners.parts.slots.refusals = 10**9
    await owners.join()
    owner = owners.held[0]
    await owner.ready.wait()
    for number in range(before):
        await owner.submit(
            test_partition_owner.part_of(f"old{number}", count=1)
        )
    # The store was away for longer than the host's time as a member, which
    # pauses meanwhile; back, it refuses for a moment what comes too often.
    await asyncio.sleep(partition_manager.MEMBERSHIP_TTL_S + 1.0)
    held.refuse_epochs = partition_manager.CONFIRM_TRIES
    await owners.join()
    return held, owners


@pytest.mark.parametrize("before", [1, 8], ids=["repeat", "gap"])
async def test_a_job_accepted_after_a_partition_is_taken_again_is_kept(before):
    # Four refusals within a millisecond and the partition is left, in the
    # same breath taken again, in the same epoch, by a writer that numbers
    # from 0. The store holds its first append for a repeat of the old one
    # and keeps nothing of a job that is told to be accepted; or, after
    # more appends, answers 409 each time, and the partition takes and
    # lists nothing until the group changes.
    held, owners = await taken_again(before)
    async with asyncio.timeout(WAIT_S):
        while True:
            await owners.join()
            owner = owners.held.get(0)
            if owner is not None and owner.ready.is_set():
                try:
                    await owner.submit(
                        test_partition_owner.part_of("new", count=1)
                    )
                    break
                except errors.LogError:
                    pass
            await asyncio.sleep(partition_manager.JOIN_INTERVAL_S)
    keys = [record.key for record in held.held[JOBS, 0].records]
    assert "j/new/0" in keys
    owners.stop()


@pytest.mark.parametrize("status", [500, 502, 504])
def test_only_what_the_store_promises_counts_as_refused(status):
    # The pages promise that nothing was done for 503 alone (and for what
    # is over a limit). Taken for refused, the number of such an append is
    # used again for other records; if it was kept after all, the store
    # answers those as a repeat, and they are told as kept and are not.
    error = store.error_of(status, b"", "/log-append")
    assert not isinstance(error, errors.LogRefused)


def test_an_answer_that_is_no_object_is_still_an_answer():
    # A 410 whose JSON is a list raises AttributeError, which ends the task
    # that takes the partition over, or the writer; see above.
    error = store.error_of(410, b"[]", "/log-read")
    assert isinstance(error, errors.LogError)


# Through a whole host.


@pytest.mark.looptime(False)
@pytest.mark.parametrize(
    ("headers", "path"),
    [
        ({"Model": "\u00e9"}, "9/x"),
        ({"Model": "a\nb"}, "9/x"),
        ({"Model": " m"}, "9/x"),
        ({}, "9/a b"),
        ({"Host": "x"}, "9/x"),
    ],
    ids=["not ascii", "line feed", "blank", "path", "host"],
)
async def test_an_item_that_is_accepted_can_be_sent(headers, path):
    # The job is accepted with 202 and reads empty for good. Its item has a
    # header or path that the HTTP client does not send (or a Host beside the
    # route's own, which stands in for it), and the client's error is none
    # that the item's run expects.
    body = {
        "id": "i1",
        "path": platformkit.BATCH_PREFIX + path,
        "headers": headers,
        "body": "",
    }
    async with platformkit.Platform() as platform:
        (host,) = platform.hosts
        status, _, _ = await host.call(
            "POST",
            platformkit.BATCH_PREFIX + "j1",
            [("Attempt-Id", "j1")],
            json.dumps({"items": [body]}).encode(),
        )
        if status != 400:
            assert status == 202
            await test_platform_jobs.results_of(host, "j1", 1)


@pytest.mark.looptime(False)
async def test_a_request_with_bytes_beyond_ascii_in_a_header_is_passed_on():
    # The caller gets 500 from the host itself, with engines idle. The
    # value is read as latin1 and sent as ASCII; the error is no
    # UpstreamError, so that no other try follows and no engine is asked.
    async with platformkit.Platform() as platform:
        (host,) = platform.hosts
        address, _, port = host.node.listen.front.rpartition(":")
        reader, writer = await asyncio.open_connection(address, int(port))
        writer.write(
            f"POST {platformkit.STREAM_PREFIX}q HTTP/1.1\r\n"
            f"Host: {platformkit.HOST_NAME}\r\nAttempt-Id: a\r\n"
            "X-Name: caf\u00e9\r\nContent-Length: 0\r\n\r\n".encode("latin1")
        )
        async with asyncio.timeout(5.0):
            head = await reader.readline()
        writer.close()
        assert head.split()[1] == b"200"
