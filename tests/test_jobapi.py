"""Tests of jobs through real parts on loopback."""

import asyncio
import dataclasses
import json
import time

import pytest

from camphortray import cluster as clusters
from camphortray import coordinator
from camphortray import job_writer
from camphortray import jobcalls
from camphortray import jobs
from camphortray import slot_granter
from camphortray import slots
from camphortray import standin_engine
from camphortray import standin_platform
from camphortray import takeover
from camphortray import web
from tests import faultcells
from tests import jobcluster

item = jobcluster.item
# Far above what any test waits, and for how long a test lets the loop
# stand still: longer than hurried grants hold.
LONG_S = 2 * jobcluster.WAIT_S
STAND_S = 0.5


@pytest.fixture(autouse=True)
def hurry(monkeypatch):
    jobcluster.hurry(monkeypatch)


def items(count, text="statement"):
    return [item(f"{text} {number}") for number in range(count)]


async def test_a_job_is_run_and_read_in_any_way_from_any_host(monkeypatch):
    monkeypatch.setattr(job_writer, "CHUNK_BYTES", 800)
    async with jobcluster.JobCluster(hosts=2) as cluster:
        asked = items(24)
        asked[5]["model"] = "none"
        asked[7] = {"body": asked[7], "custom_id": "seven"}
        status, job = await cluster.submit("k", asked, "host-1")
        asked[7] = asked[7]["body"]
        assert status == 201 and job["count"] == 24
        told = await cluster.ended(job["id"], "host-0")
        assert (told["done"], told["failed"], told["left_s"]) == (23, 1, 0.0)
        whole = await cluster.lines(job["id"], "host-0")
        assert await cluster.lines(job["id"], "host-1") == whole
        assert [line["item"] for line in whole] == list(range(24))
        assert whole[7]["custom_id"] == "seven"
        assert "no model 'none'" in whole[5]["body"]["error"]["message"]
        late = whole[9]["cursor"]
        rest = await cluster.lines(job["id"], query=f"?after={late}")
        assert rest == whole[10:]
        _, _, data = await cluster.call(
            "GET", f"/v1/jobs/{job['id']}/results?order=arrival"
        )
        came = [json.loads(line) for line in data.splitlines()]
        assert sorted(line["item"] for line in came) == list(range(24))
        _, _, data = await cluster.call(
            "GET",
            f"/v1/jobs/{job['id']}/results"
            f"?order=arrival&after={came[9]['cursor']}",
        )
        assert [json.loads(x) for x in data.splitlines()] == came[10:]
        assert cluster.history.finish(cluster.sent()) == []


async def test_a_resend_is_the_same_job_and_other_content_is_refused():
    # A client sends a job to two hosts at once and again later. It gets
    # one job; the same key with other items, or run otherwise, is told.
    async with jobcluster.JobCluster(hosts=2) as cluster:
        asked = items(6)
        both = await asyncio.gather(
            cluster.submit("k", asked, "host-0"),
            cluster.submit("k", asked, "host-1"),
        )
        assert sorted(status for status, _ in both) == [200, 201]
        assert len({told["id"] for _, told in both}) == 1
        job = both[0][1]["id"]
        await cluster.ended(job)
        assert (await cluster.submit("k", asked))[0] == 200
        assert (await cluster.submit("k", items(5)))[0] == 409
        other = await cluster.submit("k", asked, query="&idempotent=false")
        assert other[0] == 409
        assert [cluster.runs(job, index) for index in range(6)] == [1] * 6
        fold = cluster.shards("host-0").shard_of(job).fold
        assert not fold.uploads


@pytest.mark.parametrize(
    ("body", "query", "status", "field"),
    [
        (b'{"a":1}\n{"a":1}\nnope\n', "", 400, "line 3"),
        (b"", "", 400, "(body)"),
        (b'{"a":1}\n' * 5, "", 413, "line 5"),
        (b'{"a":1}', "&due=soon", 400, "due"),
        (b'{"a":1}', "&service=x", 404, "service"),
    ],
)
async def test_a_bad_job_leaves_nothing_behind(body, query, status, field):
    values = {"job.max_items": 4}
    async with jobcluster.JobCluster(values=values) as cluster:
        target = f"/v1/jobs?service={clusters.SERVICE}{query}"
        got, headers, data = await cluster.call(
            "POST", target, body, idempotency_key="k"
        )
        assert (got, headers["camphortray-ran"]) == (status, "no")
        assert json.loads(data)["error"]["param"] == field
        for shard in cluster.shards("host-0").shards:
            assert not shard.fold.jobs and not shard.fold.uploads


async def test_a_cancelled_job_stops_and_engines_are_told():
    # A job is cancelled, by a host that does not own it, while items are
    # at engines. They stop, and nothing is added to what was read.
    async with jobcluster.JobCluster(hosts=2, speed=1.0) as cluster:
        asked = [item(f"q {n}", tokens=400) for n in range(30)]
        _, job = await cluster.submit("k", asked)
        name = job["id"]
        engines = cluster.engines.values()
        await cluster.until(lambda: any(e.model.running for e in engines))
        other = {"host-0": "host-1", "host-1": "host-0"}[cluster.owner(name)]
        status, _, data = await cluster.call(
            "POST", f"/v1/jobs/{name}/cancel", host=other
        )
        assert (status, json.loads(data)["status"]) == (200, "cancelled")
        cluster.history.cancelled(name, [])
        await cluster.until(
            lambda: (
                not any(
                    not s.cancelled for e in engines for s in e.model.running
                )
            )
        )
        sent = len(cluster.sent())
        assert (await cluster.submit("k", asked))[1]["status"] == "cancelled"
        assert len(cluster.sent()) == sent
        assert await cluster.lines(name) == []
        assert cluster.history.finish(cluster.sent()) == []


async def test_results_end_with_their_keeping_time():
    async with jobcluster.JobCluster() as cluster:
        _, job = await cluster.submit("k", items(2), query="&keep_s=0.5")
        name = job["id"]
        await cluster.ended(name)
        assert len(await cluster.lines(name)) == 2
        fold = cluster.shards("host-0").shard_of(name).fold
        await cluster.until(lambda: name in fold.forgotten)
        for path in ("", "/results"):
            status, _, _ = await cluster.call("GET", f"/v1/jobs/{name}{path}")
            assert status == 410
        assert (await cluster.submit("k", items(2)))[0] == 410


async def test_others_see_neither_jobs_nor_files():
    async with jobcluster.JobCluster() as cluster:
        _, job = await cluster.submit("k", items(1))
        calls = cluster.hosts["host-0"].part("batch", jobcalls.JobCalls)
        with pytest.raises(Exception, match="no job"):
            await calls.find(job["id"], "another")
        for name in ("x", "0" * 32):
            status, _, _ = await cluster.call("GET", f"/v1/jobs/{name}")
            assert status == 404


async def test_slots_taken_back_cost_no_tokens():
    # Online work comes and every slot is taken back over and over. Each
    # item goes on where it was, and its answer is whole, byte by byte.
    async with jobcluster.JobCluster(speed=4.0) as cluster:
        asked = [item(f"q {n}", tokens=60) for n in range(4)]
        _, job = await cluster.submit("k", asked)
        part = cluster.shards("host-0").dispatcher.slots
        revoked = 0
        for _ in range(6):
            made = sum(e.model.tokens_made for e in cluster.engines.values())
            await cluster.until(
                lambda made=made: (
                    sum(e.model.tokens_made for e in cluster.engines.values())
                    > made + 16
                )
            )
            for holding in list(part.holdings.holdings.values()):
                revoked += len(holding.used)
                part.revoke(list(holding.used))
        told = await cluster.ended(job["id"])
        assert told["done"] == 4 and revoked > 4
        await cluster.lines(job["id"])
        assert cluster.history.finish(cluster.sent()) == []
        made = sum(e.model.tokens_made for e in cluster.engines.values())
        assert made < 4 * 60 + revoked * 4
        assert len(cluster.sent()) > 8


def note_revoked(monkeypatch):
    """Return a list that takes all slots given up from now on."""
    lost = []
    revoke = slots.Slots.revoke

    def note(part, given_up):
        lost.extend(given_up)
        revoke(part, given_up)

    monkeypatch.setattr(slots.Slots, "revoke", note)
    return lost


async def end_fast(cluster, job):
    """Let engines be fast, and check that all of a job is done, once."""
    for engine in cluster.engines.values():
        engine.model.timing = standin_engine.TimingModel(speed=4.0)
    told = await cluster.ended(job)
    assert told["done"] == 40
    await cluster.lines(job)
    assert cluster.history.finish(cluster.sent()) == []


async def test_grants_that_end_cost_sends_but_no_tokens(monkeypatch):
    # Twice, with all items at engines, no word comes from coordinators for
    # longer than a grant holds. Nobody here knows then to whom else the slots
    # were granted, so all are given up. The owner sends each item again,
    # once for each slot taken back, and it goes on where it was.
    lost = note_revoked(monkeypatch)
    silent = []
    grant = slot_granter.SlotGranter.grant

    def unless_silent(part, host, granted):
        if not silent:
            grant(part, host, granted)

    monkeypatch.setattr(slot_granter.SlotGranter, "grant", unless_silent)
    values = {"limit.silence_s": LONG_S}
    async with jobcluster.JobCluster(speed=0.05, values=values) as cluster:
        asked = [item(f"q {n}", tokens=30) for n in range(40)]
        _, job = await cluster.submit("k", asked)
        name = job["id"]
        for least in range(1, 3):
            await cluster.until(
                lambda n=least: all(
                    cluster.runs(name, index) >= n for index in range(40)
                )
            )
            silent.append(least)
            await cluster.until(lambda n=least: len(lost) >= 40 * n)
            silent.clear()
        await cluster.until(
            lambda: all(cluster.runs(name, i) >= 3 for i in range(40))
        )
        await end_fast(cluster, name)
        runs = [cluster.runs(name, index) for index in range(40)]
        assert min(runs) >= 3
        assert sum(runs) <= 40 + len(lost)
        assert len({sent.split(".")[1] for sent in cluster.sent()}) == 1
        engines = cluster.engines.values()
        made = sum(engine.model.tokens_made for engine in engines)
        assert made < 40 * 30 + len(lost) * 4


async def test_a_loop_that_stands_costs_no_sends(monkeypatch):
    # Twice, with all items at engines, the loop stands still for longer than
    # a grant holds. Nobody has taken a slot away meanwhile: the word that
    # renews the grants lies unread. Each item was sent again for each such
    # pause, as the time of the grants was over before it was read.
    lost = note_revoked(monkeypatch)
    values = {"limit.silence_s": LONG_S}
    async with jobcluster.JobCluster(speed=0.05, values=values) as cluster:
        asked = [item(f"q {n}", tokens=30) for n in range(40)]
        _, job = await cluster.submit("k", asked)
        name = job["id"]
        await cluster.until(
            lambda: all(cluster.runs(name, i) >= 1 for i in range(40))
        )
        engines = cluster.engines.values()
        for _ in range(2):
            time.sleep(STAND_S)
            before = sum(engine.model.tokens_made for engine in engines)
            await cluster.until(
                lambda least=before + 40: (
                    sum(engine.model.tokens_made for engine in engines)
                    >= least
                )
            )
        await end_fast(cluster, name)
        assert not lost
        assert [cluster.runs(name, index) for index in range(40)] == [1] * 40
        made = sum(engine.model.tokens_made for engine in engines)
        assert made == 40 * 30


async def test_a_poison_item_fails_and_the_job_still_finishes():
    # One item crashes each engine that runs it. Those beside it at the
    # first crash run apart and are done; it fails after its second.
    async with jobcluster.JobCluster(engines=2) as cluster:
        asked = items(12)
        marker = next(iter(cluster.engines.values())).crash_marker
        asked[4] = item(f"{marker} 4")
        _, job = await cluster.submit("k", asked)
        told = await cluster.ended(job["id"])
        assert (told["done"], told["failed"]) == (11, 1)
        found = await cluster.lines(job["id"])
        assert found[4]["status"] == "failed"
        assert "crashed" in found[4]["body"]["error"]["message"]
        assert sum(e.crashes for e in cluster.engines.values()) == 2
        assert cluster.history.finish(cluster.sent()) == []


async def test_a_new_owner_goes_on_counting_crashes():
    # The owner is lost between the two crashes of a poison item. The next
    # owner knows of the first from the log: two crashes in all, not three.
    async with jobcluster.JobCluster(hosts=2, engines=2) as cluster:
        marker = next(iter(cluster.engines.values())).crash_marker
        _, job = await cluster.submit("k", [item(f"{marker} 0")])
        name = job["id"]
        first = cluster.owner(name)
        held = cluster.shards(first).shard_of(name).fold.jobs[name]
        await cluster.until(lambda: held.crashes)
        await cluster.hosts[first].stop("batch")
        await cluster.hosts[first].stop("entry")
        told = await cluster.ended(name)
        assert told["failed"] == 1
        assert sum(e.crashes for e in cluster.engines.values()) == 2


async def test_a_call_that_may_run_once_is_unknown_after_a_takeover():
    # A host is lost with such items at engines. They may have run; the
    # next owner runs the others, and ends these as unknown.
    async with jobcluster.JobCluster(hosts=2, speed=2.0) as cluster:
        asked = [item(f"fitter {n}", tokens=40) for n in range(60)]
        query = "&idempotent=false"
        _, job = await cluster.submit("k", asked, query=query)
        name = job["id"]
        await cluster.until(lambda: len(cluster.sent()) >= 2)
        first = cluster.owner(name)
        await cluster.hosts[first].stop("batch")
        await cluster.hosts[first].stop("entry")
        told = await cluster.ended(name)
        assert told["unknown"] >= 2 and told["done"] >= 1
        await cluster.lines(name)
        assert cluster.history.finish(cluster.sent()) == []


async def test_a_drain_ends_items_and_gives_shards_up():
    # A host is drained with a job half done: nothing is cut off, results
    # are kept, and another host goes on without a challenge.
    # Beside load each item ran three times instead of once: as the process
    # went on after a pause, the time of its grants was over, and it gave all
    # slots up before it read the word that renewed them. On a loop that
    # stands still it was red with 14 of 15 seeds, and no line told why but
    # `batch_slots_revoked_total`, at as many as there were items.
    async with jobcluster.JobCluster(hosts=2, speed=4.0) as cluster:
        asked = [item(f"q {n}", tokens=30) for n in range(40)]
        _, job = await cluster.submit("k", asked)
        name = job["id"]
        await cluster.until(lambda: len(cluster.sent()) >= 4)
        first = cluster.owner(name)
        await cluster.hosts[first].kernels["batch"].drain()
        held = cluster.shards(first)
        assert not held.dispatcher.in_flight()
        assert not any(shard.owner.owned for shard in held.shards)
        other = {"host-0": "host-1", "host-1": "host-0"}[first]
        told = await cluster.ended(name, other)
        assert told["done"] == 40
        await cluster.lines(name, other)
        assert cluster.history.finish(cluster.sent()) == []
        assert [cluster.runs(name, index) for index in range(40)] == [1] * 40


async def hold_long(cluster, monkeypatch):
    """Let grants hold for longer than any test stands still.

    A small job goes first: a coordinator grants nothing new until what
    the one before it granted could have ended.
    """
    _, job = await cluster.submit("first", items(1))
    await cluster.ended(job["id"])
    await cluster.lines(job["id"])
    parts = [h.part("batch", slots.Slots) for h in cluster.hosts.values()]
    await cluster.until(
        lambda: all(
            holding.until <= part.clock.monotonic()
            for part in parts
            for holding in part.holdings.holdings.values()
        )
    )
    monkeypatch.setattr(coordinator, "GRANT_S", LONG_S)


async def test_a_drain_beside_pauses_ends_items_and_gives_shards_up(
    monkeypatch,
):
    # A host is drained with a job half done: nothing is cut off, results
    # are kept, and another host goes on without a challenge; a claim upon
    # one would come too late. The loop stands still, as it does beside
    # load; no grant lapses and nobody is held for silent by that.
    monkeypatch.setattr(web, "SPREAD_S", 0.1)
    timing = dataclasses.replace(takeover.Timing(), challenge_timeout_s=LONG_S)
    monkeypatch.setattr(takeover, "Timing", lambda: timing)
    few = {f"upstream.engine-{number}.slots": 12 for number in range(2)}
    values = {"limit.silence_s": LONG_S, **few}
    async with jobcluster.JobCluster(
        hosts=2, speed=4.0, values=values
    ) as cluster:
        await hold_long(cluster, monkeypatch)
        before = len(cluster.sent())
        asked = [item(f"q {n}", tokens=30) for n in range(40)]
        cluster.stall(True)
        _, job = await cluster.submit("k", asked)
        name = job["id"]
        await cluster.until(lambda: len(cluster.sent()) >= before + 4)
        time.sleep(STAND_S)
        first = cluster.owner(name)
        held = cluster.shards(first)
        drain = asyncio.ensure_future(
            cluster.hosts[first].kernels["batch"].drain()
        )
        await cluster.until(lambda: held.draining)
        assert held.dispatcher.in_flight() >= 4
        time.sleep(STAND_S)
        cluster.stall(False)
        await drain
        assert not held.dispatcher.in_flight()
        assert not any(shard.owner.owned for shard in held.shards)
        other = {"host-0": "host-1", "host-1": "host-0"}[first]
        told = await cluster.ended(name, other)
        assert told["done"] == 40
        await cluster.lines(name, other)
        assert cluster.history.finish(cluster.sent()) == []
        assert [cluster.runs(name, index) for index in range(40)] == [1] * 40
        epochs = {sent.split(".")[1] for sent in cluster.sent()[before:]}
        assert len(epochs) == 2


async def test_slots_taken_back_in_a_drain_cost_no_tokens(monkeypatch):
    # Online work takes every slot back while a host is drained. What was
    # begun there goes on there; the next owner could only begin anew.
    monkeypatch.setattr(web, "SPREAD_S", 0.1)
    few = {f"upstream.engine-{number}.slots": 12 for number in range(2)}
    values = {"limit.silence_s": LONG_S, **few}
    async with jobcluster.JobCluster(
        hosts=2, speed=2.0, values=values
    ) as cluster:
        await hold_long(cluster, monkeypatch)
        engines = cluster.engines.values()
        early = sum(engine.model.tokens_made for engine in engines)
        asked = [item(f"q {n}", tokens=100) for n in range(40)]
        _, job = await cluster.submit("k", asked)
        name = job["id"]
        await cluster.until(
            lambda: sum(e.model.tokens_made for e in engines) > early + 400
        )
        held = cluster.shards(cluster.owner(name))
        cluster.stall(True)
        drain = asyncio.ensure_future(
            cluster.hosts[cluster.owner(name)].kernels["batch"].drain()
        )
        await cluster.until(lambda: held.draining)
        part = held.dispatcher.slots
        revoked = 0
        for holding in part.holdings.holdings.values():
            revoked += len(holding.used)
            part.revoke(list(holding.used))
        assert revoked == held.dispatcher.in_flight() > 4
        cluster.stall(False)
        await drain
        told = await cluster.ended(name)
        assert told["done"] == 40
        await cluster.lines(name)
        assert cluster.history.finish(cluster.sent()) == []
        made = sum(engine.model.tokens_made for engine in engines) - early
        assert made < 40 * 100 + revoked * 4


async def test_an_outage_of_the_log_holds_results_back(monkeypatch):
    # The log is down while a job runs. Items go on, their results are
    # held until it is back; a new job is refused as not run at once. A
    # cancel stops dispatch, but is not told as done.
    async with jobcluster.JobCluster() as cluster:
        _, job = await cluster.submit("a", items(10))
        _, more = await cluster.submit("b", items(200, "long"))
        await cluster.until(lambda: len(cluster.sent()) >= 4)
        cluster.set(log_down=True)
        part = cluster.shards("host-0")
        await cluster.until(lambda: part.shard_of(job["id"]).journal.down)
        status, told = await cluster.submit("c", items(3))
        assert (status, told["error"]["ran"]) == (503, "no")
        cancel = asyncio.ensure_future(
            cluster.call("POST", f"/v1/jobs/{more['id']}/cancel")
        )
        await cluster.until(lambda: more["id"] not in part.dispatcher.held)
        assert not cancel.done()
        cluster.set(log_down=False)
        status, _, data = await cancel
        assert (status, json.loads(data)["status"]) == (200, "cancelled")
        cluster.history.cancelled(more["id"], [])
        cluster.history.jobs[more["id"]].cancelled = None
        await cluster.ended(job["id"])
        await cluster.lines(job["id"])
        assert [cluster.runs(job["id"], n) for n in range(10)] == [1] * 10


async def test_dispatch_pauses_when_too_much_is_held_back():
    async with jobcluster.JobCluster() as cluster:
        _, job = await cluster.submit("a", items(80))
        await cluster.until(lambda: len(cluster.sent()) >= 2)
        cluster.set(log_down=True)
        part = cluster.shards("host-0")
        part.context.config.batch.__dict__["memory_mb"] = 0.001
        await cluster.until(part.paused)
        held = len(part.dispatcher.held[job["id"]].tasks)
        sent = len(cluster.sent())
        await cluster.until(lambda: not part.dispatcher.in_flight())
        assert len(cluster.sent()) <= sent + held < 80
        cluster.set(log_down=False)
        told = await cluster.ended(job["id"])
        assert told["done"] == 80


async def test_a_call_does_not_wait_for_an_owner_that_is_paused(monkeypatch):
    # The owner is paused with a job in its hands. The host that handed it
    # on challenges it, takes over and says that it does not know; a resend
    # is accepted, and what the old owner wakes up with counts for nothing.
    monkeypatch.setattr(jobcalls, "OWNER_SUSPECT_S", 0.1)
    async with jobcluster.JobCluster(hosts=2) as cluster:
        name = jobs.job_id(clusters.WORKSPACE, "k")
        owner = cluster.owner(name)
        other = {"host-0": "host-1", "host-1": "host-0"}[owner]
        gates = faultcells.shut(cluster.shards(owner))
        status, told = await cluster.submit("k", items(4), other)
        assert (status, told["error"]["code"]) == (503, "owner_changed")
        assert told["error"]["ran"] == "unknown"

        async def accepted():
            return (await cluster.submit("k", items(4), other))[0] < 300

        await cluster.until(accepted)
        assert cluster.owner(name) == owner
        faultcells.reopen(gates)
        await cluster.until(lambda: cluster.owner(name) == other)
        await cluster.ended(name, other)
        await cluster.lines(name, owner)
        assert [cluster.runs(name, index) for index in range(4)] == [1] * 4
        assert cluster.history.finish(cluster.sent()) == []


async def test_results_outlive_the_logs_retention():
    # The log forgets records after a moment, the caller reads later. The
    # owner has carried the results forward; both hosts give them alike.
    streams = {"streams": {"retention_s": 1.0}}
    async with jobcluster.JobCluster(hosts=2, overrides=streams) as cluster:
        _, job = await cluster.submit("k", items(6))
        name = job["id"]
        await cluster.ended(name)
        before = await cluster.lines(name)
        fold = cluster.shards("host-1").shard_of(name).fold
        first = list(fold.jobs[name].records)
        stream = cluster.shards("host-1").shard_of(name).journal.stream
        held = cluster.platform.log
        held.limits = standin_platform.LogLimits(retention_s=1.0)
        await cluster.until(lambda: held.stream(stream).first > first[0])
        for host in cluster.hosts:
            cluster.shards(host).cache.held.clear()
            assert await cluster.lines(name, host) == before
        assert list(fold.jobs[name].records) != first
