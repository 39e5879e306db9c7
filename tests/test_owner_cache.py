"""What a host does whose word of a partition's owner is stale.

What callers saw: 503 to a job's POST, "partition 0 changes hands", while the
store and both hosts were up and the partition had a ready owner. The host that
was asked still held itself for the owner, which it no longer was, and waited
for the next owner's word for all the time it had, three seconds; that word was
on its way for longer, beside 30 busy processes. It could have asked the store.
"""

import asyncio

import pytest

from camphortray import job_router
from camphortray import owner_cache
from camphortray import partition_manager
from tests import platformkit
from tests.test_platform_jobs import code_of
from tests.test_platform_jobs import job_body
from tests.test_platform_jobs import results_of

OWN, OTHER, LOST = "a/host", "b/host", "c/host"
WORD = owner_cache.OwnerClaim(3, OWN, 1.0)


@pytest.mark.parametrize(
    "word, dealt, expected",
    [
        (None, {}, owner_cache.Miss.UNHEARD),
        (WORD, {}, owner_cache.Miss.GIVEN_UP),
        (WORD, {0: OTHER}, OTHER),
        (None, {0: OTHER}, OTHER),
        (WORD._replace(name=OTHER), {}, OTHER),
        (WORD._replace(name=OTHER), {0: LOST}, LOST),
        (WORD._replace(name=OTHER), {0: OWN}, owner_cache.Miss.GIVEN_UP),
        (WORD._replace(name=OTHER), {1: LOST}, OTHER),
    ],
)
def test_whom_to_ask(word, dealt, expected):
    book = owner_cache.OwnerCache(OWN)
    if word is not None:
        assert book.on_claim(0, word)
    book.on_assignment(dealt)
    if isinstance(expected, str):
        assert book.name(0) == expected
    else:
        with pytest.raises(owner_cache.NoOwner) as raised:
            book.name(0)
        assert raised.value.miss is expected


def test_a_newer_owner_goes_before_what_the_store_said():
    book = owner_cache.OwnerCache(OWN)
    book.on_claim(0, WORD)
    book.on_assignment({0: OTHER})
    assert not book.on_claim(0, WORD._replace(epoch=2, name=LOST))
    assert book.name(0) == OTHER
    assert book.on_claim(0, WORD._replace(epoch=4, name=LOST))
    assert book.name(0) == LOST
    assert book.age_s(0, 3.0) == 2.0
    assert book.age_s(1, 3.0) is None


STALE = {
    "itself": lambda platform, owner: platform.hosts[0],
    "nobody": lambda platform, owner: None,
    "a host that is gone": lambda platform, owner: "gone/host",
    "a host that gave it up": lambda platform, owner: next(
        host for host in platform.hosts[1:] if host is not owner
    ),
}


def make_stale(platform, asked, owner, part, case):
    """Let a host know of no owner, or of one that is none any more."""
    book = asked.part(job_router.JobRouter).owners.book
    stale = STALE[case](platform, owner)
    if stale is None:
        del book.known[part]
        return
    if not isinstance(stale, str):
        stale = stale.part(job_router.JobRouter).members.own_name
    book.known[part] = book.known[part]._replace(epoch=1, name=stale)


@pytest.mark.parametrize("case", list(STALE))
async def test_a_job_finds_its_owner_though_its_word_was_lost(case):
    # The owner's word has not reached the host that a caller sends a job
    # to; what that host knows is none or old. The store and all hosts are
    # up, and nothing tells the owner again.
    async with platformkit.Platform(hosts=3, parts=3) as platform:
        asked = platform.hosts[0]
        owner = platform.hosts[1]
        (part,) = owner.part(job_router.JobRouter).owners.held
        make_stale(platform, asked, owner, part, case)
        router = asked.part(job_router.JobRouter)
        names = (f"k{number}" for number in range(99))
        job = next(name for name in names if router.part_of(name) == part)
        before = platform.store.calls.get("/log-owners", 0)
        status, _, _ = await asked.call(
            "POST",
            platformkit.BATCH_PREFIX + job,
            [("Attempt-Id", job)],
            job_body(1),
        )
        assert status == 202
        assert len(await results_of(asked, job, 1)) == 1
        # What the store said holds for the calls after it.
        assert platform.store.calls["/log-owners"] == before + 1


async def test_many_calls_without_an_owner_ask_the_store_now_and_then():
    # Nobody owns the partition: its host is lost and still a member for
    # the store. All calls of this host share its questions.
    async with platformkit.Platform(hosts=2) as platform:
        asked, lost = platform.hosts
        router = asked.part(job_router.JobRouter)
        (part,) = lost.part(job_router.JobRouter).owners.held
        names = (f"k{number}" for number in range(99))
        job = next(name for name in names if router.part_of(name) == part)
        await lost.kernel.stop()
        platform.hosts.remove(lost)
        router.owners.book.known[part] = router.owners.book.known[
            part
        ]._replace(name="gone/host")
        asks = []
        owners = router.ledger.owners

        async def counted():
            asks.append(1)
            return await owners()

        router.ledger.owners = counted
        begun_at = asyncio.get_running_loop().time()
        replies = await asyncio.gather(
            *(asked.call("GET", f"/lots/{job}?after=0") for _ in range(10))
        )
        assert {code_of(body) for _, _, body in replies} == {"no_owner"}
        passed_s = asyncio.get_running_loop().time() - begun_at
        assert (
            0
            < len(asks)
            <= 1 + passed_s / partition_manager.OWNER_QUERY_INTERVAL_S
        )


async def test_a_call_that_finds_no_owner_tells_why():
    async with platformkit.Platform() as platform:
        (host,) = platform.hosts
        router = host.part(job_router.JobRouter)
        platform.store.refuse_member = router.owners.member
        for owner in list(router.owners.held.values()):
            router.owners.stop_owner(owner)
        router.owners.held.clear()
        status, headers, body = await host.call("GET", "/lots/j?after=0")
        assert (status, code_of(body)) == (503, "no_owner")
        assert "given up here" in body.decode()
        assert "retry-after" in headers
        metrics = host.kernel.context.metrics.render()[0].decode()
        assert 'camphortray_owner_misses_total{why="given up"}' in metrics
