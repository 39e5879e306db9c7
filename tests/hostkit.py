"""In-memory engines, slots and routes of one host, for tests."""

import msgspec

from camphortray import access
from camphortray import config as configs
from camphortray import engine
from camphortray import engine_registry
from camphortray import enginehealth
from camphortray import errors
from camphortray import item_retry
from camphortray import itemwork
from camphortray import lease_table
from camphortray import routemap

EVENTS = "text/event-stream"
STAMP = (("server-stamp", "s1"), ("content-type", EVENTS))


def event(number):
    """Return the bytes of a server-sent event."""
    return f"id: {number}\ndata: d{number}\n\n".encode()


def events(first, last):
    """Return the events ``first`` to ``last``, one chunk each."""
    return [event(number) for number in range(first, last + 1)]


BROKEN = errors.UpstreamBroken("cut", ran=True, step="read", peer="e")
SILENT = errors.UpstreamTimeout("silent", ran=True, step="read", peer="e")
UNREACHED = errors.UpstreamTimeout("unreachable", ran=False, step="connect")
FULL = errors.UpstreamRefused("full", status=503, ran=False, step="open")


class Answer(engine.MemoryStream):
    """A stream of given chunks and errors."""

    def __init__(self, chunks, status=200, headers=STAMP, end_marked=True):
        super().__init__(list(chunks))
        self.end_marked = end_marked
        self.status = status
        self.headers = headers
        self.content_type = dict(headers).get("content-type", "")


class ScriptedEngines(engine.MemoryEngine):
    """Engines that answer requests in order by a script.

    Attributes:
      script: Remaining results: an answer, an error, or a function that
        returns one.
      seen: Engine name and request of each call.
    """

    def __init__(self, script):
        super().__init__()
        self.script = list(script)
        self.seen = []

    async def open(self, upstream, request, fresh=False):
        self.seen.append((upstream.name, request))
        answer = self.script.pop(0)
        if callable(answer):
            answer = answer()
        if isinstance(answer, Exception):
            raise answer
        return answer


class Backends:
    """Engine clients, of which all plug-ins share one."""

    def __init__(self, party):
        self.party = party

    def engine(self, plugin):
        return self.party


class ActiveConfig:
    """The active configuration, as plain attributes.

    Attributes:
      engines: No engines.
      away: Whether the ledger does not answer.
      left: Names of upstreams noted as leaving.
    """

    def __init__(self, routes=(), revision=1):
        self.view = routemap.Configuration(revision, tuple(routes))
        self.routes = routemap.RouteMap(routes)
        self.engines = engine_registry.EngineRegistry()
        self.away = False
        self.left = []

    def listen(self, listener):
        """Call the listener once; the configuration does not change."""
        listener(self.view)

    def on_refusal(self, name, error):
        if error.leaving:
            self.left.append(name)

    def admit(self, route, key_hash):
        return access.AccessControl(self.view).admit(route, key_hash)


class Streams:
    """Records the versions of streams that have begun."""

    def __init__(self):
        self.noted = []

    def note(self, service, attempt, version, left_s):
        self.noted.append((attempt, version))


class Slots:
    """Grants a slot at the first engine that the request does not avoid.

    Attributes:
      wants: All slot requests.
      services: The services whose slots they asked for.
      ends: Outcomes of released slots, in order.
      refusals: Number of further requests to refuse.
      revokes: Revocation callbacks of the granted slots.
      streams: Streams that have begun.
      versions: Software versions of engines.
    """

    own_name = "h/host"

    def __init__(self, engines=8):
        self.names = [f"e{n}" for n in range(engines)]
        self.wants = []
        self.services = []
        self.ends = []
        self.refusals = 0
        self.revokes = []
        self.streams = Streams()
        self.versions = {}

    async def acquire(self, service, want, on_revoke=None):
        self.wants.append(want)
        self.services.append(service)
        if self.refusals:
            self.refusals -= 1
            raise errors.NoSlot("no free slot", 0.25)
        name = next(
            n
            for n in self.names
            if n not in want.avoid
            and want.version in ("", self.versions.get(n, ""))
        )
        upstream = engine.Upstream(
            name,
            configs.Address("127.0.0.1", 1),
            "z",
            "memory",
            version=self.versions.get(name, ""),
        )
        self.revokes.append(on_revoke)
        return lease_table.HeldLease(want, service, upstream, 0.0, on_revoke)

    def release(self, held, outcome, pace_s=0.0):
        self.ends.append(outcome)


class CrashReports:
    """Records reports of crashes; bars requests if ``barring`` is set."""

    def __init__(self):
        self.reports = []
        self.barring = False

    def report(self, fingerprint, name):
        self.reports.append((fingerprint, name))

    def barred(self, fingerprint):
        return self.barring


class EngineCrashes:
    """Records attempts that broke; finds no prompt segments."""

    def __init__(self):
        self.ended = []

    def segments_of(self, headers):
        return ()

    def on_end(
        self, upstream, service, segments, request, events, began_s, error
    ):
        self.ended.append((upstream.name, events, error))


class Quarantine:
    """Quarantines everything if ``found`` is set."""

    def __init__(self):
        self.found = None

    def find(self, service, segments):
        return self.found

    def may_probe(self, quarantine):
        return False

    def left_s(self, quarantine):
        return 60.0


STREAM_ROUTE = routemap.Route(
    "r",
    "h",
    "/p/",
    routemap.Kind.STREAM,
    (routemap.Target("s"),),
    timeout_s=5.0,
    objective_s=0.3,
)
RESUMABLE = msgspec.structs.replace(
    STREAM_ROUTE, resumable=True, max_attempts=2
)
BATCH_ROUTE = msgspec.structs.replace(
    STREAM_ROUTE,
    kind=routemap.Kind.BATCH,
    due_s=18.0,
    keep_s=60.0,
    max_attempts=3,
)


def work_parts(clock, script, routes=(BATCH_ROUTE,)):
    """Return the parts that running an item needs."""
    return itemwork.WorkParts(
        clock,
        Backends(ScriptedEngines(script)),
        ActiveConfig(routes),
        Slots(),
        item_retry.DurationEstimator(),
        EngineCrashes(),
        Quarantine(),
    )


def serve(active_config, slots, versions, service="s"):
    """Let engines of some versions serve, the first of which has gone.

    Slots are granted in the order of the engines.
    """
    for number, version in enumerate(versions):
        name = f"e{number}"
        slots.versions[name] = version
        entry = engine_registry.EngineEntry(
            name, service, f"127.0.0.1:{number + 1}", software=version
        )
        if number:
            active_config.engines.put(entry)


GOOD = enginehealth.Outcome.GOOD
