"""Every refusal: its row in the docs, its status and whether it ran."""

import ast
import pathlib
import re

import msgspec
import pytest

import camphortray
from camphortray import admission
from camphortray import at_most_once
from camphortray import cluster as clusters
from camphortray import completing
from camphortray import completion
from camphortray import config as configs
from camphortray import errors
from camphortray import fold as folds
from camphortray import httpclient
from camphortray import jobcalls
from camphortray import jobs as jobs_module
from camphortray import jobshard
from camphortray import ownership
from camphortray import poison
from camphortray import proxy_exchange
from camphortray import ratelimits
from camphortray import shardset
from camphortray import standin_engine
from camphortray import suspects
from camphortray import tree
from camphortray import upstreams
from camphortray import web
from tests import online
from tests import sources

PACKAGE = pathlib.Path(camphortray.__file__).parent
PAGE = PACKAGE.parent / "docs" / "REFUSALS.md"
ROW = re.compile(r"^\| `(\w+)` \| ([\d, ]+) \| (no|unknown) \|", re.M)
# Programs and stand-ins whose refusals reach no caller of a host.
OUTSIDE = ("ctl", "demo", "faults", "standin", "load")
# Rows driven by the tests of their own module, by the code's name there.
ELSEWHERE = {
    "owner_changed unknown": "test_jobapi",
    "other_request no": "test_at_most_once",
    "too_late no": "test_admission",
    "slow_head no": "test_httpserver",
    "not_in_touch no": "test_access",
    "other_workspace no": "test_platform_keys",
    "quota no": "test_platform_jobs",
    "too_large no": "test_platform_jobs",
    "unknown unknown": "test_platform_jobs",
    "unknown_item no": "test_platform_jobs",
}


def rows():
    """Return the rows of the page: code, statuses, ran."""
    return {
        f"{code} {ran}": {int(s) for s in statuses.split(",")}
        for code, statuses, ran in ROW.findall(PAGE.read_text())
    }


def codes_raised():
    """Return the codes of all refusals made in the package."""
    found = set()
    for path in PACKAGE.rglob("*.py"):
        if path.name.startswith(OUTSIDE):
            continue
        for node in ast.walk(sources.parse(path.read_text())):
            if not isinstance(node, ast.Call) or len(node.args) < 3:
                continue
            name = getattr(node.func, "attr", getattr(node.func, "id", ""))
            code = node.args[1]
            if name in ("Refused", "refusal") and isinstance(
                code, ast.Constant
            ):
                found.add(code.value)
    return found


def test_the_page_lists_exactly_the_refusals_there_are():
    assert codes_raised() == {row.split()[0] for row in rows()}


def test_every_row_is_driven():
    raw = {"bad_http no", "body_cut no"}
    assert set(ELSEWHERE) | set(DRIVEN) | raw == set(rows())
    for row, module in ELSEWHERE.items():
        path = PACKAGE.parent / "tests" / f"{module}.py"
        assert f'"{row.split()[0]}"' in path.read_text()


GOOD = online.body_of("why", 2)
KEY = (("authorization", f"Bearer {clusters.WORKSPACE_KEY}"),)
JOBS = f"/v1/jobs?service={clusters.SERVICE}"
JOB_KEY = (*KEY, ("idempotency-key", "k"))
LINE = GOOD
JOB = jobs_module.job_id(clusters.WORKSPACE, "k")
PLAIN = f"/v1/services/{clusters.PLAIN}/dispatch"


def refuse_with(engine, status, *headers):
    """Let an engine refuse what it is asked to run."""

    async def complete(request, response):
        await request.body()
        response.send(status, b"{}", list(headers))

    engine.complete = complete


def engines_refuse(status, *headers):
    def arrange(cluster, patch):
        for engine in cluster.engines.values():
            refuse_with(engine, status, *headers)

    return arrange


def engines_do(name, value):
    """Set a fault of all engines."""

    def arrange(cluster, patch):
        for engine in cluster.engines.values():
            engine.faults.set(name, value)

    return arrange


def part(cluster, cls):
    return cluster.hosts["host-0"].part("entry", cls)


def all_gone(cluster, patch):
    marked = part(cluster, upstreams.Upstreams).leaving.marked
    marked.update(dict.fromkeys(cluster.engines, 0.0))


def engines_abort(cluster, patch):
    async def complete(request, response):
        await request.body()
        response.abort()

    for engine in cluster.engines.values():
        engine.complete = complete


def unreachable(cluster, patch):
    for engine in cluster.engines.values():
        engine.server.server.close()
    patch.setattr(completing, "MAX_TRIES", 1)


def connects_time_out(cluster, patch):
    engines = {e.server.address for e in cluster.engines.values()}
    usual = httpclient.HttpClient.connect

    async def connect(self, address, limits, fresh):
        if address in engines:
            raise errors.UpstreamTimeout("late", ran=False, step="connect")
        return await usual(self, address, limits, fresh)

    patch.setattr(httpclient.HttpClient, "connect", connect)
    patch.setattr(completing, "MAX_TRIES", 1)


def silent(cluster, patch):
    patch.setattr(completing, "MIN_FIRST_S", 0.05)
    patch.setattr(completing, "FIRST_TIMES", 0)
    engines_do("open_delay_s", 1.0)(cluster, patch)


def quarantine(cluster, patch):
    book = part(cluster, suspects.Suspects).detector
    text = completion.parse(online.CHAT, GOOD).text
    book.quarantined[poison.fingerprint(clusters.MODEL, text)] = 9e9


def crash_all(cluster, patch):
    patch.setattr(poison, "SETTLE_S", 0.2)
    patch.setattr(poison, "SAME_CRASH_S", 0.1)
    patch.setattr(standin_engine.EngineStandin, "crash_marker", "why")


def no_settings(cluster, patch):
    patch.setattr(part(cluster, tree.Tree).view, "revision", 0)


async def full(*args):
    raise errors.Refused(429, "busy", "too many requests", retry_after=1)


def over_its_limit(cluster, patch):
    """Let a workspace's limit be spent."""
    local = part(cluster, ratelimits.RateLimits).local
    local.take(0.0, f"{clusters.SERVICE}/{clusters.WORKSPACE}", 1.0, 1)
    patch.setattr(local, "take", lambda *args: 1.0)


def log_down(cluster, patch):
    held = cluster.hosts["host-0"].part("batch", shardset.ShardSet)
    for shard in held.shards:
        patch.setattr(shard.journal, "down", True)


def batch_aborts(cluster, patch):
    async def handle(request, response):
        await request.body()
        response.abort()

    routes = cluster.hosts["host-0"].part("batch", web.Routes)
    patch.setattr(routes, "handle", handle)


async def no_batch(cluster, patch):
    await cluster.hosts["host-0"].stop("batch")


def not_owned(cluster, patch):
    """Let no host hold itself for the owner of a shard."""
    patch.setattr(ownership.Owner, "owned", property(lambda self: False))


def owner_at(address):
    """Let the owner of all shards seem to be at an address."""

    def arrange(cluster, patch):
        not_owned(cluster, patch)
        found = address(cluster)
        patch.setattr(jobcalls.JobCalls, "owner_address", lambda *args: found)

    return arrange


def nowhere(cluster):
    return configs.Address.from_text(clusters.free_address())


def breaks_off(cluster):
    """Return the address of what reads a call and gives no answer."""
    cluster.plain.faults.set("lose_before", 1)
    return cluster.plain.server.address


def append_ends(kind, end):
    """Let appends of a kind of record end otherwise."""

    def arrange(cluster, patch):
        usual = jobshard.JobShard.append

        async def append(self, wanted, *args):
            if wanted != kind:
                return await usual(self, wanted, *args)
            return end()

        patch.setattr(jobshard.JobShard, "append", append)

    return arrange


def void():
    return folds.Outcome(0, folds.Verdict.STALE)


def not_read_back():
    raise errors.AppendUnknown("not read back")


def forgotten(cluster, patch):
    """Let the job's keeping time be over."""
    held = cluster.hosts["host-0"].part("batch", shardset.ShardSet)
    for shard in held.shards:
        shard.fold.forgotten[JOB] = 0


def claim_lost(cluster, patch):
    patch.setattr(at_most_once, "CLAIM_S", 0.2)
    cluster.platform.faults.set("log_down", True)


async def call_lost(cluster, patch):
    """Let a call run and its answer be lost."""
    cluster.plain.faults.set("lose_answers", 1)
    client = httpclient.HttpClient()
    address = cluster.hosts["host-0"].address
    await client.call(address, "POST", PLAIN, JOB_KEY, b"")
    await client.close()


async def first_job(cluster, patch):
    client = httpclient.HttpClient()
    address = cluster.hosts["host-0"].address
    await client.call(address, "POST", JOBS, JOB_KEY, LINE)
    await client.close()


def last_one_goes(cluster, patch):
    """Leave no upstream once the first try has failed."""

    async def complete(request, response):
        await request.body()
        all_gone(cluster, patch)
        response.abort()

    for engine in cluster.engines.values():
        engine.complete = complete


def fails(cluster, patch):
    async def run(self):
        raise RuntimeError("a fault of ours")

    patch.setattr(proxy_exchange.Exchange, "run", run)


def chat(arrange=None, body=GOOD, headers=KEY):
    return ("POST", online.CHAT, headers, body, arrange)


def with_deadline(seconds):
    return (*KEY, ("camphortray-deadline", seconds))


def jobs(body, headers=JOB_KEY, path=JOBS):
    return ("POST", path, headers, body, None)


NOT_RUN = ("x-not-run", "1")
DRIVEN = {
    "body_too_large no": chat(body=b" " * 17_000_000),
    "bad_json no": chat(body=b"{"),
    "bad_key no": chat(headers=()),
    "not_found no": ("GET", "/nowhere", KEY, b"", None),
    "method no": ("GET", online.CHAT, KEY, b"", None),
    "not_ready no": chat(no_settings),
    "bad_field no": chat(body=b'{"model":"m","stream":"yes"}'),
    "internal unknown": chat(fails),
    "unknown_model no": chat(body=GOOD.replace(b"assist-lm", b"other-lm")),
    "busy no": chat(
        lambda cluster, patch: patch.setattr(
            part(cluster, admission.Admission), "enter", full
        )
    ),
    "rate_limited no": chat(over_its_limit),
    "deadline no": chat(headers=with_deadline("0")),
    "deadline unknown": chat(
        engines_do("open_delay_s", 1.0), headers=with_deadline("0.1")
    ),
    "no_upstream no": chat(all_gone),
    "no_upstream unknown": chat(last_one_goes),
    "upstream_refused no": chat(engines_refuse(503, NOT_RUN)),
    "upstream_refused unknown": chat(engines_refuse(500)),
    "upstream_failed no": chat(unreachable),
    "upstream_failed unknown": chat(engines_abort),
    "upstream_silent no": chat(connects_time_out),
    "upstream_silent unknown": chat(silent),
    "engine_refused unknown": chat(engines_refuse(422)),
    "quarantined no": chat(quarantine),
    "quarantined unknown": chat(crash_all),
    "unknown_service no": ("GET", "/v1/services/none/x", KEY, b"", None),
    "needs_key no": ("POST", PLAIN, KEY, b"", None),
    "no_key no": jobs(LINE, KEY),
    "bad_line no": jobs(b"{"),
    "bad_form no": (
        "POST",
        "/v1/files",
        (*KEY, ("content-type", "multipart/form-data; boundary=b")),
        b"no form",
        None,
    ),
    "empty no": jobs(b""),
    "too_many_items no": jobs(LINE + b"\n" + LINE),
    "other_job no": (
        "POST",
        JOBS,
        JOB_KEY,
        LINE.replace(b"why", b"how"),
        first_job,
    ),
    "log_down no": ("POST", JOBS, JOB_KEY, LINE, log_down),
    "no_batch no": ("POST", JOBS, JOB_KEY, LINE, no_batch),
    "no_batch unknown": ("POST", JOBS, JOB_KEY, LINE, batch_aborts),
    "log_down unknown": (
        "POST",
        JOBS,
        JOB_KEY,
        LINE,
        append_ends(jobs_module.ACCEPT, not_read_back),
    ),
    "owner_changed no": (
        "POST",
        JOBS,
        JOB_KEY,
        LINE,
        append_ends(jobs_module.CHUNK, void),
    ),
    "no_owner no": ("POST", JOBS, JOB_KEY, LINE, not_owned),
    "owner_unreachable no": ("POST", JOBS, JOB_KEY, LINE, owner_at(nowhere)),
    "owner_unreachable unknown": (
        "POST",
        JOBS,
        JOB_KEY,
        LINE,
        owner_at(breaks_off),
    ),
    "gone no": ("GET", f"/v1/jobs/{JOB}", KEY, b"", forgotten),
    "claim_unconfirmed no": ("POST", PLAIN, JOB_KEY, b"", claim_lost),
    "call_unknown unknown": ("POST", PLAIN, JOB_KEY, b"", call_lost),
    "unknown_job no": ("GET", "/v1/jobs/0-none", KEY, b"", None),
    "unknown_file no": ("GET", f"/v1/files/file-{0:032}", KEY, b"", None),
}


@pytest.mark.parametrize("row", DRIVEN)
async def test_a_refusal_is_as_its_row_says(row, monkeypatch):
    method, path, headers, body, arrange = DRIVEN[row]
    values = {
        "job.max_items": 1,
        "limit.silence_s": 0.2,
        f"workspace.{clusters.WORKSPACE}.requests_per_s": 50.0,
    }
    if row == "other_job no":
        del values["job.max_items"]
    async with clusters.Cluster(
        1 if row.startswith("no_upstream") else 2,
        1,
        timing=online.FAST,
        values=values,
    ) as cluster:
        if arrange is not None:
            made = arrange(cluster, monkeypatch)
            if made is not None:
                await made
        client = httpclient.HttpClient()
        status, head, answer = await client.call(
            cluster.hosts["host-0"].address, method, path, headers, body
        )
        await client.close()
        error = msgspec.json.decode(answer)["error"]
        assert f"{error['code']} {head['camphortray-ran']}" == row
        assert status in rows()[row]
        assert error["ran"] == head["camphortray-ran"]
        seen = sum(len(e.seen) for e in cluster.engines.values())
        assert seen == 0 or not row.endswith(" no")
        monkeypatch.undo()
