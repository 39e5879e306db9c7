"""Every refusal matches its documentation: code, status and ``ran``."""

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
from tests import skiploop
from tests import sources

event_loop_policy = skiploop.event_loop_policy

PACKAGE = pathlib.Path(camphortray.__file__).parent
PAGE = PACKAGE.parent / "docs" / "REFUSALS.md"
ROW = re.compile(r"^\| `(\w+)` \| ([\d, ]+) \| (no|unknown) \|", re.M)
# Modules of other programs, whose refusals never reach a caller of a host.
OUTSIDE = ("ctl", "demo", "faults", "standin", "load")
# Rows covered by another test module, which must contain the code.
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


def documented_rows():
    """Return the statuses of each row of the page, by ``CODE RAN``."""
    return {
        f"{code} {ran}": {int(s) for s in statuses.split(",")}
        for code, statuses, ran in ROW.findall(PAGE.read_text())
    }


def raised_codes():
    """Return the codes of all refusals raised in the package."""
    codes = set()
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
                codes.add(code.value)
    return codes


def test_the_page_lists_exactly_the_refusals_there_are():
    assert raised_codes() == {row.split()[0] for row in documented_rows()}


def test_every_documented_refusal_is_covered():
    raw = {"bad_http no", "body_cut no"}
    assert set(ELSEWHERE) | set(DRIVEN) | raw == set(documented_rows())
    for row, module in ELSEWHERE.items():
        path = PACKAGE.parent / "tests" / f"{module}.py"
        assert f'"{row.split()[0]}"' in path.read_text()


VALID_BODY = online.body_of("why", 2)
API_KEY_HEADER = (("authorization", f"Bearer {clusters.WORKSPACE_KEY}"),)
JOBS_PATH = f"/v1/jobs?service={clusters.SERVICE}"
JOB_HEADERS = (*API_KEY_HEADER, ("idempotency-key", "k"))
JOB_LINE = VALID_BODY
JOB_ID = jobs_module.job_id(clusters.WORKSPACE, "k")
DISPATCH_PATH = f"/v1/services/{clusters.PLAIN}/dispatch"


def refuse_with(engine, status, *headers):
    """Make an engine refuse each request."""

    async def complete(request, response):
        await request.body()
        response.send(status, b"{}", list(headers))

    engine.complete = complete


def engines_refuse(status, *headers):
    def setup(cluster, patch):
        for engine in cluster.engines.values():
            refuse_with(engine, status, *headers)

    return setup


def drain_host(cluster, patch):
    """Let a host have begun to drain some time ago."""
    (host,) = cluster.hosts.values()
    context = host.kernels["entry"].context
    context.admission.begin(context.clock.monotonic() - 8.0, 10.0)


def engines_do(name, value):
    """Inject a fault into all engines."""

    def setup(cluster, patch):
        for engine in cluster.engines.values():
            engine.faults.set(name, value)

    return setup


def part(cluster, cls):
    return cluster.hosts["host-0"].part("entry", cls)


def drain_all_engines(cluster, patch):
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
    original = httpclient.HttpClient.connect

    async def connect(self, address, limits, fresh):
        if address in engines:
            raise errors.UpstreamTimeout("late", ran=False, step="connect")
        return await original(self, address, limits, fresh)

    patch.setattr(httpclient.HttpClient, "connect", connect)
    patch.setattr(completing, "MAX_TRIES", 1)


def connects_time_out_after_a_break(cluster, patch):
    async def complete(request, response):
        await request.body()
        connects_time_out(cluster, patch)
        patch.setattr(completing, "MAX_TRIES", 2)
        response.abort()

    for engine in cluster.engines.values():
        engine.complete = complete


def quarantine(cluster, patch):
    detector = part(cluster, suspects.Suspects).detector
    text = completion.parse(online.CHAT, VALID_BODY).text
    detector.quarantined[poison.fingerprint(clusters.MODEL, text)] = 9e9


def crash_all(cluster, patch):
    patch.setattr(poison, "SETTLE_S", 0.2)
    patch.setattr(poison, "SAME_CRASH_S", 0.1)
    patch.setattr(standin_engine.EngineStandin, "crash_marker", "why")


def no_settings(cluster, patch):
    patch.setattr(part(cluster, tree.Tree).view, "revision", 0)


async def raise_busy(*args):
    raise errors.Refused(429, "busy", "too many requests", retry_after=1)


def exceed_rate_limit(cluster, patch):
    """Exhaust the rate limit of the workspace."""
    local = part(cluster, ratelimits.RateLimits).local
    local.take(0.0, f"{clusters.SERVICE}/{clusters.WORKSPACE}", 1.0, 1)
    patch.setattr(local, "take", lambda *args: 1.0)


def break_log(cluster, patch):
    held = cluster.hosts["host-0"].part("batch", shardset.ShardSet)
    for shard in held.shards:
        patch.setattr(shard.journal, "down", True)


def batch_aborts(cluster, patch):
    async def handle(request, response):
        await request.body()
        response.abort()

    routes = cluster.hosts["host-0"].part("batch", web.Routes)
    patch.setattr(routes, "handle", handle)


async def stop_batch(cluster, patch):
    await cluster.hosts["host-0"].stop("batch")


def not_owned(cluster, patch):
    """Make each host believe that it owns no shard."""
    patch.setattr(ownership.Owner, "owned", property(lambda self: False))


def owner_at(address):
    """Make the owner of all shards appear to have an address."""

    def setup(cluster, patch):
        not_owned(cluster, patch)
        owner_address = address(cluster)
        patch.setattr(
            jobcalls.JobCalls, "owner_address", lambda *args: owner_address
        )

    return setup


def closed_address(cluster):
    return configs.Address.from_text(clusters.free_address())


def call_breaker_address(cluster):
    """Return the address of a server that closes calls without an answer."""
    cluster.plain.faults.set("lose_before", 1)
    return cluster.plain.server.address


def append_ends(kind, end):
    """Make appends of one kind of record end as ``end`` does."""

    def setup(cluster, patch):
        original = jobshard.JobShard.append

        async def append(self, wanted, *args):
            if wanted != kind:
                return await original(self, wanted, *args)
            return end()

        patch.setattr(jobshard.JobShard, "append", append)

    return setup


def stale_append():
    return folds.Outcome(0, folds.Verdict.STALE)


def unconfirmed_append():
    raise errors.AppendUnknown("not read back")


def expire_job(cluster, patch):
    """Mark the job as deleted after its retention time."""
    held = cluster.hosts["host-0"].part("batch", shardset.ShardSet)
    for shard in held.shards:
        shard.fold.forgotten[JOB_ID] = 0


def lose_claim(cluster, patch):
    patch.setattr(at_most_once, "CLAIM_S", 0.2)
    cluster.platform.faults.set("log_down", True)


async def lose_answer(cluster, patch):
    """Run a call whose answer is lost."""
    cluster.plain.faults.set("lose_answers", 1)
    client = httpclient.HttpClient()
    address = cluster.hosts["host-0"].address
    await client.call(address, "POST", DISPATCH_PATH, JOB_HEADERS, b"")
    await client.close()


async def submit_job(cluster, patch):
    client = httpclient.HttpClient()
    address = cluster.hosts["host-0"].address
    await client.call(address, "POST", JOBS_PATH, JOB_HEADERS, JOB_LINE)
    await client.close()


def drain_after_first_try(cluster, patch):
    """Leave no upstream after the first failed attempt."""

    async def complete(request, response):
        await request.body()
        drain_all_engines(cluster, patch)
        response.abort()

    for engine in cluster.engines.values():
        engine.complete = complete


def run_raises(cluster, patch):
    async def run(self):
        raise RuntimeError("injected fault")

    patch.setattr(proxy_exchange.Exchange, "run", run)


def chat(setup=None, body=VALID_BODY, headers=API_KEY_HEADER):
    return ("POST", online.CHAT, headers, body, setup)


def with_deadline(seconds):
    return (*API_KEY_HEADER, ("camphortray-deadline", seconds))


def jobs(body, headers=JOB_HEADERS, path=JOBS_PATH):
    return ("POST", path, headers, body, None)


NOT_RUN = ("x-not-run", "1")
DRIVEN = {
    "body_too_large no": chat(body=b" " * 17_000_000),
    "bad_json no": chat(body=b"{"),
    "bad_key no": chat(headers=()),
    "not_found no": ("GET", "/nowhere", API_KEY_HEADER, b"", None),
    "method no": ("GET", online.CHAT, API_KEY_HEADER, b"", None),
    "not_ready no": chat(no_settings),
    "bad_field no": chat(body=b'{"model":"m","stream":"yes"}'),
    "internal unknown": chat(run_raises),
    "unknown_model no": chat(
        body=VALID_BODY.replace(b"assist-lm", b"other-lm")
    ),
    "busy no": chat(
        lambda cluster, patch: patch.setattr(
            part(cluster, admission.Admission), "enter", raise_busy
        )
    ),
    "rate_limited no": chat(exceed_rate_limit),
    "deadline no": chat(headers=with_deadline("0")),
    "deadline unknown": chat(
        engines_do("open_delay_s", 1.0), headers=with_deadline("0.1")
    ),
    "draining no": chat(drain_host),
    "no_upstream no": chat(drain_all_engines),
    "no_upstream unknown": chat(drain_after_first_try),
    "upstream_refused no": chat(engines_refuse(503, NOT_RUN)),
    "upstream_refused unknown": chat(engines_refuse(500)),
    "upstream_failed no": chat(unreachable),
    "upstream_failed unknown": chat(engines_abort),
    "upstream_silent no": chat(connects_time_out),
    "upstream_silent unknown": chat(connects_time_out_after_a_break),
    "engine_refused unknown": chat(engines_refuse(422)),
    "quarantined no": chat(quarantine),
    "quarantined unknown": chat(crash_all),
    "unknown_service no": (
        "GET",
        "/v1/services/none/x",
        API_KEY_HEADER,
        b"",
        None,
    ),
    "needs_key no": ("POST", DISPATCH_PATH, API_KEY_HEADER, b"", None),
    "no_key no": jobs(JOB_LINE, API_KEY_HEADER),
    "bad_line no": jobs(b"{"),
    "bad_form no": (
        "POST",
        "/v1/files",
        (*API_KEY_HEADER, ("content-type", "multipart/form-data; boundary=b")),
        b"no form",
        None,
    ),
    "empty no": jobs(b""),
    "too_many_items no": jobs(JOB_LINE + b"\n" + JOB_LINE),
    "other_job no": (
        "POST",
        JOBS_PATH,
        JOB_HEADERS,
        JOB_LINE.replace(b"why", b"how"),
        submit_job,
    ),
    "log_down no": ("POST", JOBS_PATH, JOB_HEADERS, JOB_LINE, break_log),
    "no_batch no": ("POST", JOBS_PATH, JOB_HEADERS, JOB_LINE, stop_batch),
    "no_batch unknown": (
        "POST",
        JOBS_PATH,
        JOB_HEADERS,
        JOB_LINE,
        batch_aborts,
    ),
    "log_down unknown": (
        "POST",
        JOBS_PATH,
        JOB_HEADERS,
        JOB_LINE,
        append_ends(jobs_module.ACCEPT, unconfirmed_append),
    ),
    "owner_changed no": (
        "POST",
        JOBS_PATH,
        JOB_HEADERS,
        JOB_LINE,
        append_ends(jobs_module.CHUNK, stale_append),
    ),
    "no_owner no": ("POST", JOBS_PATH, JOB_HEADERS, JOB_LINE, not_owned),
    "owner_unreachable no": (
        "POST",
        JOBS_PATH,
        JOB_HEADERS,
        JOB_LINE,
        owner_at(closed_address),
    ),
    "owner_unreachable unknown": (
        "POST",
        JOBS_PATH,
        JOB_HEADERS,
        JOB_LINE,
        owner_at(call_breaker_address),
    ),
    "gone no": ("GET", f"/v1/jobs/{JOB_ID}", API_KEY_HEADER, b"", expire_job),
    "claim_unconfirmed no": (
        "POST",
        DISPATCH_PATH,
        JOB_HEADERS,
        b"",
        lose_claim,
    ),
    "call_unknown unknown": (
        "POST",
        DISPATCH_PATH,
        JOB_HEADERS,
        b"",
        lose_answer,
    ),
    "unknown_job no": ("GET", "/v1/jobs/0-none", API_KEY_HEADER, b"", None),
    "unknown_file no": (
        "GET",
        f"/v1/files/file-{0:032}",
        API_KEY_HEADER,
        b"",
        None,
    ),
}


@pytest.mark.parametrize("row", DRIVEN)
async def test_a_refusal_is_as_its_row_says(row, monkeypatch):
    method, path, headers, body, setup = DRIVEN[row]
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
        if setup is not None:
            pending = setup(cluster, monkeypatch)
            if pending is not None:
                await pending
        client = httpclient.HttpClient()
        status, head, answer = await client.call(
            cluster.hosts["host-0"].address, method, path, headers, body
        )
        await client.close()
        error = msgspec.json.decode(answer)["error"]
        assert f"{error['code']} {head['camphortray-ran']}" == row
        assert status in documented_rows()[row]
        assert error["ran"] == head["camphortray-ran"]
        seen = sum(len(e.seen) for e in cluster.engines.values())
        assert seen == 0 or not row.endswith(" no")
        monkeypatch.undo()
