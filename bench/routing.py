"""Ways to choose an upstream, weighed in a model of a small fleet.

Hosts choose by the package's own router among engines with the stand-in's
timing model, in virtual time; nothing is started. Prints, for each way,
times to the first token, and as its last line JSON with the ratios of the
99th percentiles to that of two at random by requests in flight, and how
evenly two ways spread 390 hosts over 600 upstreams.
"""

__all__ = ["main", "routing"]

import collections
import dataclasses
import heapq
import random
import statistics
import sys
from typing import Any

import defopt
import msgspec

from camphortray import config as configs
from camphortray import engine
from camphortray import prefix as prefixes
from camphortray import routing as routing_module
from camphortray import shards
from camphortray import standin_engine

REPORT_S = 1.0
PREAMBLES = 40
PREAMBLE_WORDS = 600
BASELINE = "two_in_flight"


class SimEngine(standin_engine.EngineModel):
    """The stand-in's engine, stepped by the model's clock."""

    def note_events(self, stored: list[str], evicted: list[str]) -> None:
        """Cache events are not part of this model."""


@dataclasses.dataclass
class Job:
    """One request."""

    sequence: standin_engine.Sequence
    host: int
    name: str
    sent_at: float
    total: float


class Fleet:
    """Hosts before engines, under one way of choosing."""

    def __init__(self, way: str, seed: int, hosts: int, engines: int) -> None:
        self.way = way
        self.rng = random.Random(seed)
        self.upstreams = {
            f"engine-{n}": engine.Upstream(
                f"engine-{n}", configs.Address("", n), "", slots=64
            )
            for n in range(engines)
        }
        # One engine is half as fast, as after a change of hardware.
        self.engines = {
            name: SimEngine(
                standin_engine.TimingModel(
                    speed=0.5 if name == "engine-0" else 1.0,
                    cache_blocks=800,
                )
            )
            for name in self.upstreams
        }
        self.books = [routing_module.LoadTracker() for _ in range(hosts)]
        self.routers = [
            routing_module.Router(random.Random(seed * 100 + n))
            for n in range(hosts)
        ]
        self.events: list[tuple[float, int, str, Any]] = []
        self.number = 0
        self.jobs: dict[str, Job] = {}
        self.busy: set[str] = set()
        self.first_token_s: list[float] = []

    def at(self, when: float, what: str, value: Any) -> None:
        """Let something happen at a time."""
        self.number += 1
        heapq.heappush(self.events, (when, self.number, what, value))

    def choose(self, host: int, text: str, now: float) -> str:
        """Return the name of the upstream to use."""
        book, names = self.books[host], list(self.upstreams)
        if self.way == "random":
            return self.rng.choice(names)
        prefix = prefixes.prefix_of("m", text)
        if self.way == "prefix_always":
            return str(shards.preferred(prefix.key, names))
        if self.way == BASELINE:
            drawn = self.rng.sample(names, 2)
            return min(drawn, key=lambda name: book.load(name).own)
        found = [
            routing_module.Candidate(
                upstream, book.load(name).own, book.wait_s(upstream, now)
            )
            for name, upstream in self.upstreams.items()
        ]
        with_prefix = self.way == "least_wait_prefix"
        chosen = self.routers[host].choose(
            found, prefix if with_prefix else None
        )
        return chosen.name

    def arrive(self, now: float, request: tuple[int, str, int]) -> None:
        """Send one request on."""
        host, text, tokens = request
        name = self.choose(host, text, now)
        book = self.books[host]
        self.number += 1
        sequence = standin_engine.Sequence(str(self.number), text, tokens)
        job = Job(sequence, host, name, now, book.total(name, now))
        self.jobs[sequence.id] = job
        book.load(name).own += 1
        self.engines[name].waiting.append(sequence)
        if name not in self.busy:
            self.busy.add(name)
            self.step(now, name)

    def step(self, now: float, name: str) -> None:
        """Begin one step of an engine."""
        model = self.engines[name]
        model.running = [s for s in model.running if not s.done]
        model.admit()
        if not model.running:
            self.busy.discard(name)
            return
        seconds, decoding = model.plan_step()
        self.at(now + seconds, "stepped", (name, decoding))

    def stepped(self, now: float, value: tuple[str, list[Any]]) -> None:
        """End one step: tokens are there."""
        name, decoding = value
        for sequence in decoding:
            sequence.produced += 1
            job = self.jobs[sequence.id]
            book = self.books[job.host]
            if sequence.produced == 1:
                waited = now - job.sent_at
                self.first_token_s.append(waited)
                book.record_ttft(name, waited, job.total, now)
            if sequence.done:
                book.load(name).own -= 1
                del self.jobs[sequence.id]
        self.step(now, name)

    def report(self, now: float, value: tuple[int, str]) -> None:
        """Let one host learn the load of one engine, somewhat late."""
        host, name = value
        model = self.engines[name]
        told = engine.LoadReport(
            len(model.running), len(model.waiting), 0.0, REPORT_S / 2
        )
        self.books[host].report(name, told, now)
        self.at(now + REPORT_S, "report", value)

    def run(
        self, requests: list[tuple[float, Any]], end: float
    ) -> list[float]:
        """Run all requests; return the times to the first token."""
        for when, request in requests:
            self.at(when, "arrive", request)
        for host in range(len(self.books)):
            for name in self.upstreams:
                self.at(self.rng.uniform(0, REPORT_S), "report", (host, name))
        handlers = {
            "arrive": self.arrive,
            "stepped": self.stepped,
            "report": self.report,
        }
        while self.events:
            now, _, what, value = heapq.heappop(self.events)
            if now > end:
                break
            handlers[what](now, value)
        return self.first_token_s


def make_requests(
    seed: int, rate: float, seconds: float, hosts: int
) -> list[tuple[float, Any]]:
    """Return a trace: Poisson arrivals with bursts, shared preambles."""
    rng = random.Random(seed)
    preambles = [
        " ".join(f"w{number}x{word}" for word in range(PREAMBLE_WORDS))
        for number in range(PREAMBLES)
    ]
    weights = [1 / (rank + 1) for rank in range(PREAMBLES)]
    now, found = 0.0, []
    while now < seconds:
        burst = 2.0 if int(now) % 10 < 3 else 0.6
        now += rng.expovariate(rate * burst)
        (preamble,) = rng.choices(preambles, weights)
        question = " ".join(str(rng.random()) for _ in range(20))
        tokens = 1 + int(rng.expovariate(1 / 60))
        request = (rng.randrange(hosts), f"{preamble} {question}", tokens)
        found.append((now, request))
    return found


def users_of(way: str, hosts: int, upstreams: int) -> list[int]:
    """Return by how many hosts each upstream is used, sorted."""
    names = [f"host-{n}" for n in range(hosts)]
    engines = [f"engine-{n}" for n in range(upstreams)]
    counts: collections.Counter[str] = collections.Counter()
    for name in names:
        if way == "ring":
            counts.update(routing_module.subset(name, names, engines))
        else:
            size = routing_module.SUBSET_SIZE
            counts.update(shards.rank(name, engines)[:size])
    return sorted(counts[name] for name in engines)


WAYS = (
    "random",
    BASELINE,
    "prefix_always",
    "least_wait",
    "least_wait_prefix",
)


def routing(
    *,
    seeds: int = 3,
    rate: float = 60.0,
    seconds: float = 30.0,
    hosts: int = 12,
    engines: int = 6,
) -> int:
    """Weigh ways to choose an upstream.

    Args:
      seeds: Number of traces.
      rate: Requests a second, on the mean.
      seconds: Length of a trace.
      hosts: Hosts that choose.
      engines: Engines to choose from; the first is half as fast.
    """
    figures: dict[str, list[list[float]]] = collections.defaultdict(list)
    for seed in range(seeds):
        trace = make_requests(seed, rate, seconds, hosts)
        for way in WAYS:
            fleet = Fleet(way, seed, hosts, engines)
            times = sorted(fleet.run(trace, seconds + 20))
            figures[way].append(
                [times[int(len(times) * q)] for q in (0.5, 0.95, 0.99)]
            )
    for way, runs in figures.items():
        shown = [[round(1000 * x) for x in run] for run in runs]
        print(f"{way:20} p50, p95, p99 in ms by seed: {shown}")
    p99 = {w: [run[2] for run in runs] for w, runs in figures.items()}
    ratios = {
        f"{way}_p99_ratio": round(
            statistics.median(
                mine / base
                for mine, base in zip(p99[way], p99[BASELINE], strict=True)
            ),
            3,
        )
        for way in WAYS
    }
    for way in ("ring", "rendezvous"):
        users = users_of(way, 390, 600)
        print(f"subsets by {way}: {users[0]} to {users[-1]} hosts each")
        ratios[f"{way}_most_to_mean"] = round(
            users[-1] / statistics.mean(users), 3
        )
    print(msgspec.json.encode(ratios).decode())
    return 0


def main() -> None:
    """Run from the command line."""
    sys.exit(defopt.run(routing, cli_options="all"))


if __name__ == "__main__":
    main()
