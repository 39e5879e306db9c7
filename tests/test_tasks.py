"""Background work that an error nobody foresaw ends."""

import asyncio

from camphortray_platform import store
import pytest

from camphortray import active_config
from camphortray import backlog_reporting
from camphortray import coordinator_election
from camphortray import host_registry
from camphortray import hostlist
from camphortray import item_gauges
from camphortray import lease_reporting
from camphortray import ledger
from camphortray import metrics as metrics_module
from camphortray import node
from camphortray import partition_manager
from camphortray import partition_owner
from camphortray import segment_quarantine
from camphortray import slot_client
from camphortray import stored_quarantine
from camphortray import tasks
from camphortray import version_record
from tests import platformkit
from tests import skiploop
from tests import test_odd_records
from tests import test_platform_jobs

event_loop_policy = skiploop.event_loop_policy

ERRORS = b"camphortray_background_errors_total"


async def fail(error):
    """Fail after a step of the loop."""
    await asyncio.sleep(0)
    raise error


async def test_the_end_of_work_is_logged_at_once(monkeypatch):
    """Guards against an error that shows only as its task is collected."""
    metrics, lines = metrics_module.Metrics(), []
    tasks.METRICS.set(metrics)
    monkeypatch.setattr(tasks.LOG, "error", lambda *args: lines.append(args))
    held = tasks.TaskSet()
    kept = [
        held.spawn(fail(RuntimeError("rig")), "first"),
        held.spawn(fail(RuntimeError("rig"))),
        tasks.spawn("third", fail(RuntimeError("rig"))),
    ]
    stays = held.spawn(asyncio.sleep(3600))
    await asyncio.sleep(0.01)
    assert all(task.done() for task in kept)
    assert [line[1] for line in lines] == ["first", "fail", "third"]
    assert metrics.render()[0].count(ERRORS + b"{") == 3
    assert held.tasks == {stays}
    held.cancel()
    await asyncio.sleep(0.01)
    assert len(lines) == 3 and stays.cancelled()


async def test_a_step_that_fails_keeps_no_other_from_being_done():
    """Guards against a version that reaches some parts of a host alone."""
    done = []
    for number in range(3):
        with tasks.contained("step"):
            if number == 1:
                raise RuntimeError("rig")
            done.append(number)
    assert done == [0, 2]


STEPS = [
    (active_config.ActiveConfig, "read_configuration"),
    (active_config.ActiveConfig, "read_engines"),
    (active_config.ActiveConfig, "take_entry"),
    (active_config.ActiveConfig, "take_record"),
    (store.StoreLedger, "newest"),
    (store.StoreLedger, "join"),
    (hostlist.LedgerHostList, "read"),
    (host_registry.HostRegistry, "write"),
    (node.Node, "tick"),
    (node.Node, "answered"),
    (segment_quarantine.SegmentQuarantine, "decide"),
    (stored_quarantine.StoredQuarantine, "refresh"),
    (version_record.VersionRecord, "read"),
    (partition_manager.PartitionManager, "join"),
    (partition_owner.PartitionOwner, "take_over"),
    (backlog_reporting.BacklogReporter, "report"),
    (item_gauges.ItemGauges, "update"),
    (lease_reporting.LeaseReporter, "report"),
    (coordinator_election.CoordinatorElection, "readmit"),
    # Listeners are also called as their parts start, which such an error ends.
    (slot_client.SlotClient, "on_member"),
    (backlog_reporting.BacklogReporter, "on_configuration"),
]


@pytest.mark.parametrize("times", [1, 3])
@pytest.mark.parametrize(
    ("cls", "name"), STEPS, ids=[f"{c.__name__}.{n}" for c, n in STEPS]
)
async def test_a_host_serves_on_after_an_unforeseen_error(
    cls, name, times, monkeypatch
):
    """Guards against tasks that end, while their host seems to be well."""
    original, met = getattr(cls, name), []
    armed = not name.startswith("on_")

    def broken(*args, **fields):
        if armed and len(met) < times:
            met.append(args)
            raise RuntimeError("rig")
        return original(*args, **fields)

    monkeypatch.setattr(cls, name, broken)
    ended = []
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(lambda _, context: ended.append(context))
    async with platformkit.Platform(hosts=2) as platform:
        armed = True
        if name == "on_member":
            await platform.add("host-2")
        await asyncio.sleep(3.0)
        added = platformkit.EngineStandin("i-9")
        await added.server.start(platformkit.ANY_PORT)
        for old in list(platform.engines):
            await platform.store.write(ledger.Topic.ENGINES, old, None)
        platform.engines[added.name] = added
        await platform.register(added)
        batch = platformkit.batch_route("b", platformkit.BATCH_PREFIX, 60)
        stream = platformkit.route("s", platformkit.STREAM_PREFIX, "streaming")
        await platform.store.configure(5, [batch, stream])
        for number, host in enumerate(platform.hosts):
            config = host.part(slot_client.SlotClient).active_config
            await platform.until(lambda c=config: c.view.revision == 5)
            await platform.until(lambda c=config: c.engines.find(added.name))
            await test_platform_jobs.submit(host, f"j{number}")
            found = await test_platform_jobs.results_of(host, f"j{number}", 3)
            assert len(found) == 3
            assert (await test_odd_records.ask(host))[0] == 200
    assert met
    assert not ended
