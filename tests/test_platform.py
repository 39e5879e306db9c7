"""The adapter to the users' platform over real loopback sockets."""

import ast
import asyncio
import json
import pathlib
import re
import subprocess
import sys

from camphortray_platform import config_decoder
from camphortray_platform import settings
from camphortray_platform import store
import pytest

from camphortray import config as configs
from camphortray import errors
from camphortray import keyring
from camphortray import ledger
from camphortray import routemap
from tests import platformkit
from tests import sources

ROOT = pathlib.Path(__file__).parent.parent
JOBS = ledger.Topic.JOBS
# Names on the platform's wire that stand for nothing else.
NAMES = (
    "Attempt-Id|Server-Stamp|Token-Counts|Prompt-Prefix|Expect-Instance"
    "|Not-Executed|Deadline-Ms|Length-Hint|Instance-Id|Weight-Versions"
    "|Expect-Version|Wait-Ms|Pin-Ms|Kv-Backup|/log-append|/log-read"
    "|/log-newest|/log-join|/log-leave|/log-commit|/log-owners|/readiness"
    "|/resolve\\b|/report\\b|/lots/|keyed\\.|CAMPHORTRAY_NODE_FILE|pathPrefix"
    '|goalMs|gapAimMs|dueMs|retentionS|kvCapacity|maxAttempts|resumable"'
    "|nextToken|apiKeys"
    "|nodeName|machineClass|coldLeftMs|hasMore|ttlS\\b|non_idempotent"
)


@pytest.mark.parametrize("folder", ["camphortray", "bench", "spec"])
def test_no_name_of_the_platform_stands_outside_its_folder(folder):
    found = [
        f"{path.name}: {match}"
        for path in sorted((ROOT / folder).rglob("*.py"))
        for match in re.findall(NAMES, path.read_text())
        # A word of the language of settings here, too.
        if match != "/resolve"
    ]
    assert found == []


def test_the_folder_hides_no_module_of_the_standard_library():
    code = "import platform, asyncio; print(platform.python_version())"
    ran = subprocess.run(
        [sys.executable, "-c", code],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=True,
    )
    assert ran.stdout.startswith("3.")


@pytest.mark.parametrize(
    "path",
    sorted((ROOT / "platform").rglob("*.py")),
    ids=lambda path: path.name,
)
def test_modules_of_the_folder_open_with_one_line(path):
    doc = ast.get_docstring(sources.parse(path.read_text())) or ""
    assert doc.splitlines()[0].endswith(".")


# Settings.

GOOD = """
nodeName = "front-1"
role = "host"
zone = "hall-a"
region = "kyushu"
seeds = ["10.1.0.1:8166"]
[listen]
front = "10.1.0.10:8161"
ready = "10.1.0.10:8167"
control = "10.1.0.10:8166"
directory = "10.1.0.10:8164"
[bounds]
graceS = 8
passMs = 120
statusS = 120
ttl_max_s = 5
[platform]
address = "10.200.1.7:8169"
"""


def test_settings_are_read_into_the_products_words(tmp_path):
    path = tmp_path / "boot.toml"
    path.write_text(GOOD)
    config = settings.load(str(path)).config()
    assert config.host.availability_zone == "hall-a"
    assert config.front.listen == "10.1.0.10:8161"
    assert config.front.grace_s == 8
    assert config.peer.entry_listen == "10.1.0.10:8166"
    assert config.peer.seeds == ("10.1.0.1:8166",)
    assert config.ledger.address == "10.200.1.7:8169"
    assert (config.ledger.configuration_s, config.ledger.engines_s) == (2, 2)


def test_bounds_of_the_deployment_reach_the_ledger(tmp_path):
    path = tmp_path / "boot.toml"
    bounds = "[bounds]\nconfigApplyMs = 4000\ndrainMs = 3000\n"
    path.write_text(GOOD.replace("[bounds]\n", bounds))
    ledger = settings.load(str(path)).config().ledger
    assert (ledger.configuration_s, ledger.engines_s) == (4, 3)


@pytest.mark.parametrize(
    ("bound", "seconds"),
    [("", 5), ("quotaWindowS = 0", 5), ("quotaWindowS = 8", 8)],
)
def test_the_window_of_request_limits_is_read(tmp_path, bound, seconds):
    path = tmp_path / "boot.toml"
    path.write_text(GOOD.replace("[bounds]\n", f"[bounds]\n{bound}\n"))
    front = settings.load(str(path)).config().front
    assert front.limit_window_s == seconds


@pytest.mark.parametrize(
    ("change", "named"),
    [
        (('nodeName = "front-1"', ""), "nodeName"),
        (('zone = "hall-a"', "zone = 3"), "zone"),
        (('front = "10.1.0.10:8161"', 'front = "nowhere"'), "listen.front"),
        (("graceS = 8", "graceS = 0"), "bounds.graceS"),
        (("graceS = 8", "drainMs = 0"), "bounds.drainMs"),
        (("graceS = 8", "quotaWindowS = -1"), "bounds.quotaWindowS"),
        (('address = "10.200.1.7:8169"', ""), "address"),
        (("[listen]", "[listen"), "syntax"),
    ],
)
def test_bad_settings_name_the_field(tmp_path, change, named):
    path = tmp_path / "boot.toml"
    path.write_text(GOOD.replace(*change))
    with pytest.raises(errors.ConfigError, match=re.escape(named)):
        settings.load(str(path))


def test_the_deploy_file_says_how_many_topics_jobs_have(tmp_path):
    path = tmp_path / "boot.toml"
    path.write_text(GOOD + "parts = 4\n")
    config = settings.load(str(path), settings.job_topics("3")).config()
    assert (config.ledger.parts, config.ledger.topic_parts) == (12, 4)


@pytest.mark.parametrize("text", ["0", "98", "-1", "two", "1.5"])
def test_a_bad_number_of_topics_names_its_variable(text):
    with pytest.raises(errors.ConfigError, match="JOB_TOPICS"):
        settings.job_topics(text)


def test_settings_that_are_missing_name_the_file(tmp_path):
    with pytest.raises(errors.ConfigError, match="nothing.toml"):
        settings.load(str(tmp_path / "nothing.toml"))


# The store.


@pytest.fixture
async def held():
    """Return a store and a client of it."""
    standin = platformkit.StoreStandin()
    await standin.server.start(configs.Address("127.0.0.1", 0))
    client = store.StoreLedger(
        configs.LedgerConfig(str(standin.server.address))
    )
    yield standin, client
    await client.close()
    await standin.server.stop()


def record(key, value=b"v"):
    """Return a record."""
    return ledger.LedgerRecord(key, value)


async def test_records_come_back_as_they_were_appended(held):
    standin, client = held
    fence = ledger.Fence(3, 0)
    sent = [record("a", b"\x00\xff"), record("b" * 200, b""), record("c")]
    await client.append(JOBS, 1, sent, fence)
    page = await client.read(JOBS, 1, 0)
    assert [(r.key, r.value) for r in page.records] == [
        (r.key, r.value) for r in sent
    ]
    assert [r.offset for r in page.records] == [0, 1, 2]
    assert page.end == 3


async def test_a_listing_of_several_pages_is_read_whole(held):
    _, client = held
    await client.append(JOBS, 0, [record(f"k{n}") for n in range(10)])
    page = await client.newest(JOBS)
    assert {r.key for r in page.records} == {f"k{n}" for n in range(10)}
    assert page.end == 10


async def test_a_read_waits_for_the_next_record(held):
    _, client = held
    reading = asyncio.ensure_future(client.read(JOBS, 0, 0, 5.0))
    await asyncio.sleep(0.02)
    await client.append(JOBS, 0, [record("a")])
    assert [r.key for r in (await reading).records] == ["a"]


@pytest.mark.parametrize(
    ("status", "error"),
    [
        (429, errors.LogRefused),
        (503, errors.LogRefused),
        (507, errors.LogRefused),
        (409, errors.LogFenced),
        (410, errors.LogTruncated),
    ],
)
async def test_what_the_store_says_with_a_status(held, status, error):
    standin, client = held
    standin.refuse = status
    with pytest.raises(error):
        await client.append(JOBS, 0, [record("a")])


async def test_an_append_without_an_answer_may_be_kept(held):
    standin, client = held
    standin.lose = 1
    fence = ledger.Fence(1, 0)
    with pytest.raises(errors.LogUnavailable):
        await client.append(JOBS, 0, [record("a")], fence)
    await client.append(JOBS, 0, [record("a")], fence)
    assert (await client.read(JOBS, 0, 0)).end == 1


async def test_nobody_listening_means_that_nothing_was_done(held):
    standin, client = held
    await standin.server.stop()
    with pytest.raises(errors.LogRefused):
        await client.append(JOBS, 0, [record("a")])


async def test_an_old_epoch_is_refused(held):
    _, client = held
    await client.set_epoch(JOBS, 0, 4)
    with pytest.raises(errors.LogFenced):
        await client.append(JOBS, 0, [record("a")], ledger.Fence(3, 0))
    with pytest.raises(errors.LogFenced):
        await client.set_epoch(JOBS, 0, 3)


async def test_members_of_the_group_share_the_partitions(held):
    standin, client = held
    standin.held.parts = standin.topic_parts = 8
    await client.join("a", 0, 1.0)
    second = await client.join("b", 0, 1.0)
    first = await client.join("a", second.generation, 1.0)
    assert first.generation == second.generation
    assert first.parts | second.parts == frozenset(range(8))
    assert not first.parts & second.parts
    await client.leave("b")
    alone = await client.join("a", first.generation, 1.0)
    assert alone.generation > first.generation
    assert len(alone.parts) == 8


# The operator's configuration and engines' entries.


def test_a_configuration_is_read_into_routes():
    text = json.dumps(
        {
            "version": 7,
            "new field": 1,
            "routes": [
                platformkit.route(
                    "r",
                    "/a/",
                    "streaming",
                    service="",
                    gapAimMs=450,
                    split=[
                        {"service": "s1", "weight": 90},
                        {"service": "s2", "weight": 10},
                    ],
                )
            ],
        }
    ).encode()
    found = config_decoder.PlatformDialect().configuration("config", text)
    (route,) = found.routes
    assert found.revision == 7
    assert route.timeout_s == 5.0
    assert route.objective_s == 0.3
    assert route.gap_s == 0.45
    services = [route.service_of(str(n)) for n in range(1000)]
    assert 50 < services.count("s2") < 200
    assert (
        config_decoder.PlatformDialect().configuration("other", text) is None
    )


@pytest.mark.parametrize(
    ("tenants", "found"),
    [
        ({}, None),
        ({"tenants": []}, ()),
        (
            {"tenants": [{"name": "home", "apiKeys": ["a", "b"]}]},
            (
                routemap.Workspace(
                    "home", (keyring.hash_key("a"), keyring.hash_key("b"))
                ),
            ),
        ),
        (
            {"tenants": [{"name": "x", "priority": 0, "ratePerS": 4}]},
            (routemap.Workspace("x", (), 0, routemap.RateLimit(4)),),
        ),
        (
            {"tenants": [{"name": "x", "ratePerS": 4.5, "burst": 9}]},
            (routemap.Workspace("x", limit=routemap.RateLimit(4.5, 9)),),
        ),
    ],
)
def test_workspaces_are_read_with_hashes_of_their_keys(tenants, found):
    text = json.dumps({"version": 2, **tenants}).encode()
    read = config_decoder.PlatformDialect().configuration("config", text)
    assert read.workspaces == found


@pytest.mark.parametrize("value", [b"", b"[]", b"{}", b'{"version":"x"}'])
def test_what_is_no_configuration_is_told(value):
    with pytest.raises(errors.RecordError):
        config_decoder.PlatformDialect().configuration("config", value)


def test_an_engine_that_is_not_ready_drains():
    value = {
        "service": "s",
        "address": "10.0.0.1:80",
        "zone": "z1",
        "version": "v1",
        "state": "draining",
        "sequence": 4,
        "slots": 8,
    }
    entry = config_decoder.PlatformDialect().engine(
        "i-1", json.dumps(value).encode()
    )
    assert entry.draining
    assert (entry.name, entry.slots, entry.sequence) == ("i-1", 8, 4)
