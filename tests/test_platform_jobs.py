"""Batch jobs through whole hosts on the users' platform."""

import asyncio
import base64
import json

import pytest

from camphortray import job_router
from camphortray import jobmessages
from camphortray import ledger
from camphortray import slot_client
from tests import platformkit
from tests import skiploop
from tests.test_platform_path import ASK
from tests.test_platform_path import PATH

event_loop_policy = skiploop.event_loop_policy

JOBS = ledger.Topic.JOBS


def job_body(count=3, path=platformkit.BATCH_PREFIX + "9/x"):
    """Return the body of a job."""
    items = [
        {
            "id": f"it{n}",
            "path": path,
            "headers": {"Model": "m"},
            "body": base64.b64encode(b"b%d" % n).decode(),
            "tokens": 10,
        }
        for n in range(count)
    ]
    return json.dumps({"items": items}).encode()


def owner_of(platform, job):
    """Return the host that owns the partition of a job."""
    routers = {h: h.part(job_router.JobRouter) for h in platform.hosts}
    return next(
        host
        for host, router in routers.items()
        if router.part_of(job) in router.owners.held
    )


async def submit(host, job):
    """Have a job of three items accepted."""
    path = platformkit.BATCH_PREFIX + job
    send = [("Attempt-Id", job)]
    status, _, _ = await host.call("POST", path, send, job_body())
    assert status == 202


async def results_of(host, job, total, headers=()):
    """Read the results of a job until there are so many."""
    found = []
    async with asyncio.timeout(10):
        while len(found) < total:
            status, _, body = await host.call(
                "GET",
                f"/lots/{job}?after={len(found)}",
                [("Wait-Ms", "1000"), *headers],
            )
            if status == 200:
                found += json.loads(body)["results"]
            else:
                await asyncio.sleep(0.05)
    return found


TEXT = "\n".join(f"d{n}" for n in range(1, 7))


async def test_a_job_is_done_and_read_at_any_host():
    # Any host takes a job and tells its results. Beside load a POST was told
    # 503, "partition 0 changes hands": the host that was asked still took
    # itself for the owner of a partition that it had given up in an earlier
    # generation, and waited three seconds for the word of the owner, which it
    # had missed as that one began. It asks the store now, and is told again.
    async with platformkit.Platform(hosts=2) as platform:
        first, second = platform.hosts
        for job in ("j1", "j2", "j3", "j4"):
            send = [("Attempt-Id", job)]
            path = platformkit.BATCH_PREFIX + job
            for host in (first, second):
                status, _, _ = await host.call("POST", path, send, job_body())
                assert status == 202
            found = await results_of(second, job, 3)
            assert {r["id"] for r in found} == {"it0", "it1", "it2"}
            assert {(r["state"], r["text"]) for r in found} == {
                ("completed", TEXT)
            }
            assert found == await results_of(first, job, 3)


async def test_jobs_lie_in_as_many_topics_as_the_deploy_file_says():
    # Two partitions a topic and three topics: six owners at most rather
    # than two. A partition of a further topic mistaken for one of the first
    # would show a job of the one under the other, or lose it. Beside load it
    # was red as the test above, for the same cause.
    async with platformkit.Platform(hosts=3, job_topics=3) as platform:
        first, second, third = platform.hosts
        used = set()
        for number in range(12):
            job = f"job-{number}"
            used.add(first.part(job_router.JobRouter).part_of(job))
            path = platformkit.BATCH_PREFIX + job
            status, _, _ = await first.call(
                "POST", path, [("Attempt-Id", job)], job_body(1)
            )
            assert status == 202
            found = await results_of(second, job, 1)
            assert found == await results_of(third, job, 1)
        assert len(used) > 4
        assert {
            part for topic, part in platform.store.held.held if topic is JOBS
        } == set(range(6))


async def test_jobs_that_are_not_there_and_bad_ones():
    async with platformkit.Platform() as platform:
        (host,) = platform.hosts
        for method, target in (
            ("GET", "/lots/none"),
            ("DELETE", "/lots/none"),
            ("GET", "/items/none?id=a"),
        ):
            status, _, _ = await host.call(method, target)
            assert status == 404
        path = platformkit.BATCH_PREFIX + "x"
        for body in (b"no", b"{}", b'{"items":[{"id":1}]}'):
            status, _, told = await host.call(
                "POST", path, [("Attempt-Id", "x")], body
            )
            assert status == 400
            assert json.loads(told)["error"]["param"] == "items"


@pytest.mark.parametrize("after", ["1e400", "inf", "nan", "-inf", "x"])
async def test_a_position_that_is_no_number_is_refused(after):
    """Guards against a 500 for a read from a position without an end."""
    async with platformkit.Platform() as platform:
        (host,) = platform.hosts
        status, _, _ = await host.call("GET", f"/lots/x?after={after}")
        assert status == 400


@pytest.mark.parametrize(
    "added",
    [
        platformkit.route("n", "/", "streaming"),
        platformkit.route("n", "/lots/", "idempotent"),
        platformkit.route("n", "/items/", "streaming"),
        platformkit.batch_route("n", "/", 60),
    ],
    ids=lambda route: f"{route['kind']} {route['pathPrefix']}",
)
async def test_no_route_takes_the_calls_on_jobs(added):
    """Guards against accepted jobs hidden by a route that covers the calls."""
    batch = platformkit.batch_route("r-2", platformkit.BATCH_PREFIX, 60)
    async with platformkit.Platform(engines=1) as platform:
        (host,) = platform.hosts
        (engine,) = platform.engines.values()
        await submit(host, "done")
        listed = await results_of(host, "done", 3)
        engine.always = "wait"
        await submit(host, "open")
        await platform.until(lambda: len(engine.ran) == 6)
        config = host.part(slot_client.SlotClient).active_config
        await platform.store.configure(4, [batch, added])
        await platform.until(lambda: config.view.revision == 4)
        status, _, body = await host.call("GET", "/lots/done?after=0")
        assert (status, json.loads(body)["results"]) == (200, listed)
        status, _, body = await host.call("GET", "/items/open?id=it1")
        assert (status, body) == (200, b"b1")
        status, _, _ = await host.call("DELETE", "/lots/open")
        assert status == 200
        status, _, _ = await host.call("GET", "/lots/none")
        assert status == 404
        assert len(engine.ran) == 6


@pytest.mark.parametrize("replaced", [False, True])
@pytest.mark.parametrize("below", ["9/", "", "j"])
@pytest.mark.parametrize("kind", ["batch", "streaming"])
async def test_items_stay_with_the_route_that_accepted_their_job(
    kind, below, replaced
):
    """Guards against items run by the service of a route added later."""
    prefix = platformkit.BATCH_PREFIX
    batch = platformkit.batch_route("r-2", prefix, 60)
    if not below:
        # It covers all paths, and the route of the job moves away from them.
        batch["pathPrefix"] = "/moved/"
    added = platformkit.route("r-3", prefix + below, kind, service="other")
    platform = platformkit.Platform(hosts=2)
    own, other = platform.engines.values()
    own.always, other.service = "full", "other"
    async with platform:
        first, second = platform.hosts
        jobs = [f"j{number}" for number in range(4)]
        for job in jobs:
            await submit(first, job)
        await platform.store.configure(4, [batch, added])
        for host in platform.hosts:
            config = host.part(slot_client.SlotClient).active_config
            await platform.until(lambda c=config: c.view.revision == 4)
        if replaced:
            router = first.part(job_router.JobRouter)
            await first.kernel.stop()
            platform.hosts.remove(first)
            platform.store.held.lapse(router.owners.member)
        own.always = ""
        for job in jobs:
            found = await results_of(second, job, 3)
            assert {result["text"] for result in found} == {TEXT}
        assert not other.ran


@pytest.mark.parametrize("down_s", [0.5, 1.9, 3.0, 4.5])
@pytest.mark.parametrize("outage", ["busy", "silent", "answers lost"])
async def test_a_limit_of_waiting_tokens_holds_over_an_outage(outage, down_s):
    """Guards against jobs beyond a limit that wait for the store together."""
    batch = platformkit.route(
        "r-2", platformkit.BATCH_PREFIX, "batch", retentionS=60, cap=90
    )
    async with platformkit.Platform(hosts=2, parts=8) as platform:
        for engine in platform.engines.values():
            engine.always = "wait"
        await platform.store.configure(2, [batch])
        for host in platform.hosts:
            config = host.part(slot_client.SlotClient).active_config
            await platform.until(lambda c=config: c.view.revision == 2)
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + down_s + 4.0
        accepted = set()

        async def send(number):
            job = f"j{number}"
            path = platformkit.BATCH_PREFIX + job
            owner = owner_of(platform, job)
            # Half of the jobs go to their owners, half by way of others.
            (host,) = (
                host
                for host in platform.hosts
                if (host is owner) == (number % 2 == 0)
            )
            await asyncio.sleep(0.1 * number)
            while loop.time() < ends_at and job not in accepted:
                status, _, _ = await host.call(
                    "POST", path, [("Attempt-Id", job)], job_body()
                )
                if status == 202:
                    accepted.add(job)
                await asyncio.sleep(0.3)

        sending = [loop.create_task(send(number)) for number in range(8)]
        platform.store.break_off(outage)
        await asyncio.sleep(down_s)
        platform.store.break_off("")
        await asyncio.gather(*sending)
        # A job of three items has 30 tokens.
        assert len(accepted) == 3


async def test_an_ended_job_runs_nothing_more():
    async with platformkit.Platform(engines=1) as platform:
        (host,) = platform.hosts
        (engine,) = platform.engines.values()
        engine.faults = ["wait"] * 3
        path = platformkit.BATCH_PREFIX + "j"
        send = [("Attempt-Id", "j")]
        await host.call("POST", path, send, job_body())
        await platform.until(lambda: len(engine.ran) == 3)
        status, _, body = await host.call("GET", "/items/j?id=it1")
        assert (status, body) == (200, b"b1")
        for _ in range(2):
            status, _, _ = await host.call("DELETE", "/lots/j")
            assert status == 200
        await platform.until(lambda: engine.cut == 3)
        status, _, body = await host.call("GET", "/items/j?id=it1")
        assert status == 404
        status, _, body = await host.call("GET", "/lots/j?after=0")
        assert json.loads(body) == {"total": 3, "nextToken": 0, "results": []}


async def test_a_job_outlives_its_owner():
    # The owner is lost right after the 202. The group deals its partition
    # to the other host, which reads the job from the store and runs it.
    # Beside load it was red at its POSTs, as the first test here.
    async with platformkit.Platform(hosts=2) as platform:
        first, second = platform.hosts
        for engine in platform.engines.values():
            engine.faults = ["wait"] * 20
        jobs = [f"k{n}" for n in range(4)]
        for job in jobs:
            status, _, _ = await first.call(
                "POST",
                platformkit.BATCH_PREFIX + job,
                [("Attempt-Id", job)],
                job_body(2),
            )
            assert status == 202
        router = first.part(job_router.JobRouter)
        await first.kernel.stop()
        platform.hosts.remove(first)
        platform.store.held.lapse(router.owners.member)
        for engine in platform.engines.values():
            engine.faults.clear()
            engine.go.set()
        for job in jobs:
            found = await results_of(second, job, 2)
            assert {r["text"] for r in found} == {TEXT}


async def test_while_the_store_is_away_a_job_is_refused_and_not_lost():
    async with platformkit.Platform() as platform:
        (host,) = platform.hosts
        path = platformkit.BATCH_PREFIX + "j"
        send = [("Attempt-Id", "j")]
        platform.store.refuse = 503
        status, _, _ = await host.call("POST", path, send, job_body())
        assert status in (500, 503)
        status, _, _ = await host.call("POST", PATH, ASK)
        assert status == 200
        platform.store.refuse = 0
        status, _, _ = await host.call("POST", path, send, job_body())
        assert status == 202
        assert len(await results_of(host, "j", 3)) == 3


async def test_an_owner_the_store_refuses_stops_when_another_takes_over():
    # The store turns one host away and serves the other, which takes its
    # partitions over and hears that a job is ended. The first went on with
    # the job's items, seconds after the end was acknowledged.
    async with platformkit.Platform(hosts=2) as platform:
        first, second = platform.hosts
        router = first.part(job_router.JobRouter)
        other = second.part(job_router.JobRouter)
        part = next(iter(router.owners.held))
        owner = router.owners.held[part]
        platform.store.refuse_member = router.owners.member
        platform.store.held.lapse(router.owners.member)
        await platform.until(lambda: part in other.owners.held)
        await platform.until(lambda: part not in router.owners.held)
        assert owner.lost


@pytest.mark.parametrize("other_owned", [True, False])
async def test_a_partition_dealt_away_and_back_between_two_calls(other_owned):
    # A host stands still; its partitions go to another and come back. On
    # its own clock there was no gap. If the other has owned them, what it
    # knows is old, and is read anew; if not, its items go on.
    async with platformkit.Platform() as platform:
        (host,) = platform.hosts
        router = host.part(job_router.JobRouter)
        before = dict(router.owners.held)
        held = platform.store.held
        confirm_all, confirmed = router.owners.confirm_all, asyncio.Event()

        async def noted(changed):
            await confirm_all(changed)
            confirmed.set()

        router.owners.confirm_all = noted
        held.deal()
        held.deal()
        if other_owned:
            for part in before:
                await held.set_epoch(JOBS, part, held.generation - 1)
        await confirmed.wait()
        assert router.owners.generation == held.generation
        await platform.until(
            lambda: (
                set(router.owners.held) == set(before)
                and all(o.ready.is_set() for o in router.owners.held.values())
            )
        )
        same = set(router.owners.held.values()) == set(before.values())
        assert same != other_owned
        assert all(o.lost for o in before.values()) == other_owned


def code_of(body):
    """Return the code of a refusal."""
    return json.loads(body)["error"]["code"]


async def test_a_job_beyond_what_may_wait_is_refused_until_there_is_room():
    routes = [
        platformkit.route(
            "r-2", platformkit.BATCH_PREFIX, "batch", dueMs=18000, cap=25
        )
    ]
    async with platformkit.Platform(engines=1) as platform:
        (host,) = platform.hosts
        (engine,) = platform.engines.values()
        await platform.store.configure(5, routes)
        active_config = host.part(slot_client.SlotClient).active_config
        await platform.until(lambda: active_config.view.revision == 5)
        path = platformkit.BATCH_PREFIX + "j"
        send = [("Attempt-Id", "j")]
        status, _, told = await host.call("POST", path, send, job_body(3))
        assert (status, code_of(told)) == (429, "quota")
        engine.faults = ["wait"] * 2
        status, _, _ = await host.call("POST", path, send, job_body(2))
        assert status == 202
        other = [("Attempt-Id", "k")]
        status, headers, _ = await host.call("POST", path, other, job_body(1))
        assert status == 429
        assert float(headers["retry-after"]) > 0
        engine.go.set()
        await results_of(host, "j", 2)
        async with asyncio.timeout(10):
            while status != 202:
                status, _, _ = await host.call(
                    "POST", path, other, job_body(1)
                )


async def test_a_submit_without_an_answer_promises_nothing():
    async with platformkit.Platform() as platform:
        (host,) = platform.hosts
        platform.store.lose = 10**6
        path = platformkit.BATCH_PREFIX + "j"
        status, _, told = await host.call(
            "POST", path, [("Attempt-Id", "j")], job_body()
        )
        assert (status, code_of(told)) == (500, "unknown")


async def test_an_item_that_is_not_there_and_one_that_is_too_large():
    async with platformkit.Platform() as platform:
        (host,) = platform.hosts
        path = platformkit.BATCH_PREFIX + "j"
        send = [("Attempt-Id", "j")]
        await host.call("POST", path, send, job_body())
        status, _, told = await host.call("GET", "/items/j?id=none")
        assert (status, code_of(told)) == (404, "unknown_item")
        host.part(job_router.JobRouter).ledger.record_bytes = 100
        status, _, told = await host.call(
            "POST", path, [("Attempt-Id", "k")], job_body()
        )
        assert (status, code_of(told)) == (413, "too_large")


async def test_lost_answers_of_the_store_cost_no_partition():
    # The store does what it is asked and loses two of three answers. Held
    # for a gap, each would hand the partitions on, and their items begin
    # anew.
    async with platformkit.Platform() as platform:
        (host,) = platform.hosts
        router = host.part(job_router.JobRouter)
        before = dict(router.owners.held)
        platform.store.answer_every = 3
        await asyncio.sleep(4.0)
        assert router.owners.held == before
        assert not any(owner.lost for owner in before.values())


async def test_a_host_that_drains_hands_its_items_on():
    # Its items are under way at engines. The next owner goes on behind
    # their last events instead of beginning them anew.
    async with platformkit.Platform(hosts=2) as platform:
        first, second = platform.hosts
        for engine in platform.engines.values():
            engine.always = "wait"
        router = first.part(job_router.JobRouter)
        names = [f"d{n}" for n in range(40)]
        jobs = [n for n in names if router.part_of(n) in router.owners.held][
            :3
        ]
        for job in jobs:
            await first.call(
                "POST",
                platformkit.BATCH_PREFIX + job,
                [("Attempt-Id", job)],
                job_body(1),
            )

        def under_way():
            return [
                work
                for owner in router.owners.held.values()
                for work in owner.items.works.values()
                if work.progress is not None
            ]

        await platform.until(lambda: len(under_way()) == len(jobs))
        taken = []
        other = second.part(job_router.JobRouter).owners.handover
        on_update = other.on_update
        other.on_update = lambda update: (
            taken.append(update),
            on_update(update),
        )
        first.kernel.request_drain()
        await platform.until(
            lambda: (
                not router.owners.held
                and set(second.part(job_router.JobRouter).owners.held)
                == {0, 1}
            )
        )
        for engine in platform.engines.values():
            engine.always = ""
            engine.go.set()
        for job in jobs:
            found = await results_of(second, job, 1)
            assert found[0]["text"] == TEXT
        handed = {word.job: word.items for word in taken}
        assert set(handed) == set(jobs)
        assert all(items[0].text == (b"d1",) for items in handed.values())


async def test_a_read_whose_owner_does_not_answer_comes_again():
    # The owner stands still: its links stay open and nothing comes back. A
    # reader was told 500, which says that something has gone wrong; it is
    # only that this host cannot be sure, and the reader may come again.
    async with platformkit.Platform(hosts=2) as platform:
        first, second = platform.hosts
        routers = [host.part(job_router.JobRouter) for host in platform.hosts]
        name = routers[1].owners.members.own_name
        await platform.until(
            lambda: any(
                routers[0].owners.known.get(part, (0, ""))[1] == name
                for part in routers[1].owners.held
            )
        )
        job = next(
            job
            for job in (f"k{number}" for number in range(64))
            if routers[0].part_of(job) in routers[1].owners.held
        )

        async def silent(sender, message):
            await asyncio.sleep(3600)

        links = second.part(job_router.JobRouter).links
        for cls in (jobmessages.PageAsk, jobmessages.BodyAsk):
            links.handlers[cls] = silent
        for path in (f"/lots/{job}?after=0", f"/items/{job}?id=it0"):
            status, headers, body = await first.call("GET", path)
            assert (status, code_of(body)) == (503, "no_owner")
            assert "retry-after" in headers
