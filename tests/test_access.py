"""Who may call, as keys are added, moved, revoked and given back."""

import asyncio
import collections
import io
import json
import random
import types

from camphortray_platform import config_decoder
from camphortray_platform import engines
from camphortray_platform import fields
import pytest

from camphortray import access
from camphortray import active_config
from camphortray import clock as clocks
from camphortray import errors
from camphortray import forwarder
from camphortray import keyring
from camphortray import ledger
from camphortray import logs
from camphortray import metrics
from camphortray import opaque
from camphortray import routemap
from tests import hostkit
from tests import platformkit
from tests import test_forwarder

RIGHT, WRONG = "k-right", "k-wrong"


def control(workspaces, **route_fields):
    """Return the access under a configuration, and a route of it."""
    route = routemap.Route(
        "r", "h", "/", routemap.Kind.BATCH, (), **route_fields
    )
    view = routemap.Configuration(7, (route,), workspaces=workspaces)
    return access.AccessControl(view), route


HOME = routemap.Workspace("home", (keyring.hash_key(RIGHT),), 2)


@pytest.mark.parametrize(
    ("workspaces", "anonymous", "key", "caller", "jobs_of"),
    [
        (None, False, "", "", None),
        (None, False, WRONG, "", None),
        ((HOME,), False, RIGHT, "home", "home"),
        ((HOME,), False, WRONG, 401, 401),
        ((HOME,), False, "", 401, 401),
        ((HOME,), True, "", "", ""),
        ((HOME,), True, WRONG, "", ""),
        ((HOME,), True, RIGHT, "", "home"),
        # A workspace whose keys are all revoked, and none at all.
        ((routemap.Workspace("home"),), False, RIGHT, 401, 401),
        ((), False, RIGHT, 401, 401),
    ],
)
def test_who_a_key_lets_in(workspaces, anonymous, key, caller, jobs_of):
    held, route = control(workspaces, anonymous=anonymous)
    hashed = keyring.hash_key(key) if key else ""

    def told(work):
        try:
            return work()
        except errors.Refused as refusal:
            return refusal.status

    assert told(lambda: held.admit(route, hashed).workspace) == caller
    assert told(lambda: held.admit_job_call([route], hashed)) == jobs_of


@pytest.mark.parametrize(("priority", "rank"), [(None, 3), (0, 0), (5, 5)])
def test_the_priority_of_a_workspace_goes_before_that_of_a_route(
    priority, rank
):
    workspace = routemap.Workspace("home", HOME.key_hashes, priority)
    held, route = control((workspace,), priority=3)
    assert held.admit(route, HOME.key_hashes[0]).rank(route) == rank


def live_config(clock):
    """Return the configuration in force of a host that is in touch."""
    part = active_config.ActiveConfig.__new__(active_config.ActiveConfig)
    part.clock = clock
    part.context = types.SimpleNamespace(metrics=metrics.Metrics())
    part.dialect = config_decoder.PlatformDialect()
    part.view = routemap.EMPTY_CONFIGURATION
    part.access = access.AccessControl(part.view)
    part.engines = types.SimpleNamespace(set_services=lambda names: None)
    part.listeners, part.engine_listeners = [], []
    part.reached_at = clock.monotonic()
    part.peer_reached_at = -1.0
    return part


def written(version, held):
    """Return the record of a configuration, from keys by workspace."""
    text = platformkit.configuration(
        version,
        [platformkit.route("r", "/p/", "streaming", resumable=True)],
        platformkit.tenants(
            **{name: sorted(keys) for name, keys in held.items()}
        ),
    )
    return ledger.LedgerRecord("config", json.dumps(text).encode())


class Clock:
    """A clock moved by hand."""

    now = 100.0

    def monotonic(self):
        return self.now


def outcome_of(part, key):
    """Return the workspace that a key gives, or the code of a refusal."""
    (route,) = part.view.routes
    try:
        return part.admit(route, keyring.hash_key(key)).workspace
    except errors.Refused as refusal:
        return refusal.code


@pytest.mark.parametrize(
    ("reached", "peer_reached", "added", "kept"),
    [
        (100.0, -1.0, "bad_key", "home"),
        (90.0, 99.5, "bad_key", "home"),
        # A key added since would be turned away for good with 401.
        (90.0, -1.0, "not_in_touch", "home"),
        (90.0, 98.0, "not_in_touch", "home"),
    ],
)
def test_a_host_out_of_touch_denies_no_key_for_good(
    reached, peer_reached, added, kept
):
    part = live_config(Clock())
    part.take_record(written(3, {"home": {RIGHT}}))
    part.reached_at, part.peer_reached_at = reached, peer_reached
    assert (outcome_of(part, WRONG), outcome_of(part, RIGHT)) == (added, kept)


def test_a_host_out_of_touch_hears_of_a_revoked_key_from_a_peer():
    part = live_config(Clock())
    part.take_record(written(3, {"home": {RIGHT}, "away": set()}))
    part.reached_at = 90.0
    newer = written(5, {"home": set(), "away": {WRONG}})
    part.take_answer(
        active_config.ActiveConfigAnswer(newer.key, newer.value, fresh=True)
    )
    assert outcome_of(part, RIGHT) == "bad_key"
    assert outcome_of(part, WRONG) == "away"
    # A peer that is behind brings no key back.
    older = written(4, {"home": {RIGHT}})
    part.take_answer(
        active_config.ActiveConfigAnswer(older.key, older.value, fresh=True)
    )
    assert outcome_of(part, RIGHT) == "bad_key"


@pytest.fixture
def lines():
    """Return the JSON lines that are logged."""
    stream = io.StringIO()
    handler = logs.set_up("json", "DEBUG", stream)
    yield lambda: stream.getvalue().splitlines()
    handler.pop_application()


def test_a_refusal_for_a_key_is_logged_with_its_version_and_no_key(lines):
    part = live_config(Clock())
    part.take_record(written(3, {"home": {RIGHT}}))
    assert outcome_of(part, WRONG) == "bad_key"
    (line,) = [found for found in lines() if "refused with 401" in found]
    assert '"revision": 3' in line
    logged = "".join(lines())
    for key in (WRONG, RIGHT):
        assert key not in logged
        assert keyring.hash_key(key) not in logged


# Days of changes, in virtual time.

DAY_S = 40.0
KEYS = tuple(f"key-{n}" for n in range(6))
WORKSPACES = ("home", "shop", "hall")


class KeyDay:
    """An operator changes keys while requests wait, stream and are retried.

    Attributes:
      holders: Holder of each key that has one.
      held: Times and holders by key, oldest first.
      runs: Times and workspaces of each request at its engines.
      ends: Status that each request ended with.
    """

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.clock = clocks.SystemClock()
        self.config = live_config(self.clock)
        self.version = 1
        self.holders = dict.fromkeys(KEYS[:3], WORKSPACES[0])
        self.held = collections.defaultdict(list)
        self.runs = collections.defaultdict(list)
        self.ends = {}
        self.keys = {}
        self.put()

    def put(self):
        """Put the present holders in force."""
        self.version += 1
        found = {name: set() for name in WORKSPACES}
        for key, name in self.holders.items():
            found[name].add(key)
        self.config.take_record(written(self.version, found))
        now = self.clock.monotonic()
        for key in KEYS:
            self.held[key].append((now, self.holders.get(key)))

    def holder(self, key, at):
        """Return who held a key at a moment."""
        return [name for since, name in self.held[key] if since <= at][-1]

    async def operate(self):
        """Add, move, revoke and give back keys."""
        while self.clock.monotonic() < self.end_at:
            await asyncio.sleep(self.rng.uniform(0.02, 0.8))
            # Each change may leave a key with another, with none, or back
            # with the one before.
            for key in self.rng.sample(KEYS, self.rng.randint(1, 3)):
                self.holders.pop(key, None)
                if self.rng.random() < 0.6:
                    self.holders[key] = self.rng.choice(WORKSPACES)
            self.put()
            self.config.reached_at = self.clock.monotonic()

    async def ask(self, name, key):
        """Send one request."""
        now = self.clock.monotonic()
        parts = forwarder.ForwarderParts(
            self.clock,
            hostkit.Backends(DayEngines(self, key)),
            self.config,
            DaySlots(self.rng),
            hostkit.CrashReports(),
            metrics.Metrics(),
        )
        (route,) = self.config.view.routes
        sent = {"host": "h", "key": key, "tenant": "forged", "Tenant": "too"}
        request = opaque.OpaqueRequest(
            name,
            route,
            "POST",
            "/p/1",
            tuple(sent.items()),
            b"b",
            now,
            now + 5.0,
            key_hash=fields.key_hash_of(sent),
        )
        self.keys[name] = key, now
        held = forwarder.Forwarder(parts, request, test_forwarder.Response())
        self.ends[name] = await test_forwarder.outcome(held)

    async def play(self):
        """Play the day."""
        self.end_at = self.clock.monotonic() + DAY_S
        async with asyncio.TaskGroup() as group:
            group.create_task(self.operate())
            number = 0
            while self.clock.monotonic() < self.end_at:
                await asyncio.sleep(self.rng.expovariate(20.0))
                key = self.rng.choice(KEYS)
                group.create_task(self.ask(f"r{number}", key))
                number += 1


class DaySlots(hostkit.Slots):
    """Slots that are waited for."""

    def __init__(self, rng):
        super().__init__()
        self.rng = rng

    async def acquire(self, service, want, on_revoke=None):
        await asyncio.sleep(self.rng.uniform(0.0, 0.4))
        return await super().acquire(service, want, on_revoke)


class DayEngines(hostkit.ScriptedEngines):
    """Engines that are full, break off, or stream for a while."""

    def __init__(self, day, key):
        super().__init__([])
        self.day = day
        self.key = key

    async def open(self, upstream, request, fresh=False):
        sent = engines.headers_of(upstream, request)
        names = [name.lower() for name, _ in sent]
        assert "key" not in names
        assert names.count("tenant") == 1
        rng = self.day.rng
        if rng.random() < 0.3:
            raise hostkit.FULL
        told = [value for name, value in sent if name.lower() == "tenant"]
        now = self.day.clock.monotonic()
        self.day.runs[request.id].append((now, told[0]))
        first = int(request.resume_after or 0) + 1
        chunks = hostkit.events(first, 4)
        if rng.random() < 0.3:
            chunks = [*chunks[: rng.randint(0, 3)], hostkit.BROKEN]
        answer = hostkit.Answer(chunks)
        read = answer.read

        async def slowly(timeout_s):
            await asyncio.sleep(rng.uniform(0.0, 0.2))
            return await read(timeout_s)

        answer.read = slowly
        return answer


@pytest.mark.looptime
@pytest.mark.parametrize("seed", range(12))
async def test_no_request_runs_for_a_workspace_that_does_not_hold_its_key(
    seed,
):
    day = KeyDay(seed)
    await day.play()
    assert len(day.ends) > 400
    for name, (key, sent_at) in day.keys.items():
        runs = day.runs[name]
        if day.ends[name] == 401:
            assert not runs
        if day.holder(key, sent_at) is None:
            assert (day.ends[name], runs) == (401, [])
        if runs:
            begun_at, workspace = runs[0]
            assert workspace == day.holder(key, begun_at)
            # One answer is one workspace's, whoever holds the key later.
            assert {told for _, told in runs} == {workspace}
    statuses = collections.Counter(day.ends.values())
    late = [
        name
        for name, (key, sent_at) in day.keys.items()
        if day.ends[name] == 401 and day.holder(key, sent_at) is not None
    ]
    streamed = [
        name
        for name, runs in day.runs.items()
        if len(runs) == 2 and day.ends[name] == 200
    ]
    assert statuses[200] > 100 and statuses[401] > 100
    assert late and streamed
