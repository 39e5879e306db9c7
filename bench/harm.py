"""Harm that batch work does to online latency, in virtual time.

Each way replays the same seeded trace of bursts against modelled engines
(see docs/STANDINS.md) with the product's own parts deciding. Latency is
counted from the time a request was meant to come. The last line is JSON:
ratios to the same trace without any batch work, pooled over all seeds.
"""

import argparse
import asyncio
from concurrent import futures
import dataclasses
import json
import random
import statistics
from typing import Any

import looptime

from bench import fleet as fleets
from camphortray import headroom
from camphortray import routing
from camphortray import signals as signals_module
from camphortray import slot_granter
from camphortray import slots as slots_module
from camphortray import standin_engine
from camphortray import trace
from camphortray import upstreams

HOSTS = 9
ENGINES = 6
# Batch items in flight that each host would like to have.
WORKERS = 30
ITEM_WORDS = 400
ITEM_TOKENS = 150
WAYS = ("none", "alone", "fixed", "burst", "latency", "throughput")


@dataclasses.dataclass
class Outcome:
    """What one run measured.

    Attributes:
      ttft: Seconds to the first token, for each online request.
      itl: Seconds between tokens, for each later token.
      batch_tokens: Tokens made for batch items.
      idle: Share of the engines left over by online work, where no batch
        work ran.
      revoked: Slots taken back.
      control_bytes_per_s: Sent by the host that sent the most.
    """

    ttft: list[float] = dataclasses.field(default_factory=list)
    itl: list[float] = dataclasses.field(default_factory=list)
    batch_tokens: int = 0
    idle: float = 0.0
    revoked: int = 0
    control_bytes_per_s: float = 0.0


def words(rng: random.Random, count: int) -> str:
    """Return a prompt; its first words are those of every prompt."""
    own = (f"w{rng.randrange(10_000)}" for _ in range(count - 64))
    return " ".join(["template"] * 64 + list(own))


class Run:
    """One way through one trace."""

    def __init__(
        self,
        way: str,
        seed: int,
        shape: str,
        seconds: float,
        scale: float = 1.0,
    ) -> None:
        self.way = way
        self.seconds = seconds
        priority = "throughput" if way == "throughput" else "latency"
        values = {"priority": priority, "model.lm.version": "1"}
        self.fleet = fleets.Fleet(HOSTS, ENGINES, values, seed)
        self.rng = random.Random(seed)
        self.arrivals = trace.arrivals(
            trace.SHAPES[shape], seconds, random.Random(seed), scale
        )
        self.outcome = Outcome()
        self.tasks: set[asyncio.Task[None]] = set()
        self.number = 0

    def choose_headroom(self) -> None:
        """Put another way to keep headroom in place, for comparison."""
        rooms: dict[str, Any] = {
            "fixed": headroom.FixedShare,
            "burst": headroom.RecentBurst,
        }
        make = rooms.get(self.way)
        for program in self.fleet.entries:
            if make is not None:
                part = program.part(slot_granter.SlotGranter)
                part.headroom_policy = lambda _: make(
                    fleets.MeasuredModel.slots
                )

    async def run(self) -> Outcome:
        """Replay the trace."""
        loop = asyncio.get_running_loop()
        self.choose_headroom()
        await self.fleet.start()
        began = loop.time()
        if self.way != "none":
            for program in self.fleet.batches:
                for _ in range(WORKERS):
                    self.spawn(self.work(program))
        if self.way != "alone":
            for arrival in self.arrivals:
                await asyncio.sleep(began + arrival.at_s - loop.time())
                self.spawn(self.ask(arrival, began + arrival.at_s))
        await asyncio.sleep(began + self.seconds - loop.time())
        self.sum_up()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        await self.fleet.stop()
        return self.outcome

    def sum_up(self) -> None:
        """Read the counters."""
        models = self.fleet.engines.values()
        used = sum(model.used_s for model in models)
        self.outcome.idle = 1 - used / self.seconds / len(models)
        sent = max(self.fleet.network.sent.values(), default=0)
        self.outcome.control_bytes_per_s = sent / self.seconds

    def spawn(self, work: Any) -> None:
        """Run in the background."""
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def sequence(
        self, prompt: str, tokens: int, produced: int = 0
    ) -> standin_engine.Sequence:
        """Build a request to an engine."""
        self.number += 1
        return standin_engine.Sequence(
            str(self.number),
            prompt,
            tokens,
            produced=produced,
            taken=produced,
        )

    async def ask(self, arrival: trace.Arrival, due: float) -> None:
        """Ask online, through a host chosen by chance."""
        loop = asyncio.get_running_loop()
        host = self.rng.choice(self.fleet.entries)
        known = host.part(upstreams.Upstreams)
        router = routing.Router(self.rng)
        upstream = router.choose(
            known.candidates(self.fleet.service, frozenset())
        )
        told = self.fleet.service.name, upstream.name, False
        tell = host.part(signals_module.Signals)
        prompt = words(self.rng, max(65, arrival.prompt_words))
        sequence = self.sequence(prompt, arrival.tokens)
        tell.begun(*told)
        with known.count(upstream):
            await asyncio.sleep(fleets.HOP_S)
            self.fleet.engines[upstream.name].submit(sequence)
            last = due
            while not sequence.done or sequence.taken < sequence.produced:
                await wait_token(sequence)
                new = sequence.produced - sequence.taken
                sequence.taken = sequence.produced
                now = loop.time() + fleets.HOP_S
                if sequence.taken == new:
                    self.outcome.ttft.append(now - due)
                    tell.first_token(*told, now - due)
                else:
                    self.outcome.itl.append(now - last)
                    tell.next_token(*told, now - last)
                last = now
        tell.ended(*told, True)

    async def work(self, program: fleets.Program) -> None:
        """Run one batch item after another, resuming when preempted."""
        slots = program.part(slots_module.Slots)
        prompt, kept, prefer = words(self.rng, ITEM_WORDS), 0, ""
        while True:
            slot = await slots.acquire(self.fleet.service, prefer=prefer)
            prefer = slot.upstream.name
            model = self.fleet.engines[slot.upstream.name]
            sequence = self.sequence(prompt, ITEM_TOKENS, kept)
            await asyncio.sleep(fleets.HOP_S)
            if not slot.revoked.is_set():
                model.submit(sequence)
                await self.until_done(sequence, slot)
            if slot.revoked.is_set() and not sequence.done:
                self.outcome.revoked += 1
                await asyncio.sleep(fleets.HOP_S)
                sequence.cancelled = True
            self.outcome.batch_tokens += sequence.produced - kept
            kept = sequence.produced
            if sequence.done:
                prompt, kept, prefer = words(self.rng, ITEM_WORDS), 0, ""
            await slots.release(slot)

    async def until_done(
        self, sequence: standin_engine.Sequence, slot: slots_module.Slot
    ) -> None:
        """Wait until an item is whole or its slot is taken back."""
        revoked = asyncio.ensure_future(slot.revoked.wait())
        # Whoever revokes wakes the item as a token would.
        revoked.add_done_callback(lambda _: sequence.ready.set())
        try:
            while not sequence.done and not slot.revoked.is_set():
                await wait_token(sequence)
        finally:
            revoked.cancel()


async def wait_token(sequence: standin_engine.Sequence) -> None:
    """Wait for the engine to make another token."""
    sequence.ready.clear()
    await sequence.ready.wait()


def run_once(
    way: str, seed: int, shape: str, seconds: float, scale: float = 1.0
) -> Outcome:
    """Run one way on a virtual loop of its own."""

    async def replay() -> Outcome:
        return await Run(way, seed, shape, seconds, scale).run()

    loop = looptime.new_event_loop(start=0)
    try:
        return loop.run_until_complete(replay())
    finally:
        loop.close()


def quantile(values: list[float], share: float) -> float:
    """Return the value that a share of all values do not exceed."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def pooled(outcomes: list[Outcome], name: str) -> list[float]:
    """Return one measure over all seeds."""
    return [value for o in outcomes for value in getattr(o, name)]


def summary(
    outcomes: list[Outcome], none: list[Outcome], alone: list[Outcome]
) -> dict[str, float]:
    """Return the ratios of one way to no batch and to batch alone."""
    ratios = {}
    for measure in ("ttft", "itl"):
        for share in (0.5, 0.95, 0.99):
            ours = quantile(pooled(outcomes, measure), share)
            theirs = quantile(pooled(none, measure), share)
            ratios[f"p{share * 100:.0f}_{measure}_ratio"] = ours / theirs
    ratios["worst_seed_p99_ttft_ratio"] = max(
        quantile(o.ttft, 0.99) / quantile(n.ttft, 0.99)
        for o, n in zip(outcomes, none, strict=True)
    )
    made = sum(o.batch_tokens for o in outcomes)
    room = sum(
        a.batch_tokens * n.idle for a, n in zip(alone, none, strict=True)
    )
    ratios["batch_share_of_idle"] = made / room
    ratios["control_bytes_per_s"] = max(
        o.control_bytes_per_s for o in outcomes
    )
    ratios["revoked"] = sum(o.revoked for o in outcomes)
    return {name: round(value, 3) for name, value in ratios.items()}


def main() -> None:
    """Run all ways on all seeds and print ratios."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--trace", default="winter-morning")
    parser.add_argument("--scale", type=float, default=1.0)
    parser.add_argument("--seconds", type=float, default=30.0)
    parser.add_argument("--seeds", type=int, default=2)
    parser.add_argument("--workers", type=int, default=8)
    parser.add_argument("--ways", nargs="*", default=list(WAYS))
    args = parser.parse_args()
    seeds = range(1, args.seeds + 1)
    ways = ["none", "alone", *(w for w in args.ways if w not in WAYS[:2])]
    with futures.ProcessPoolExecutor(args.workers) as pool:
        pending = {
            way: [
                pool.submit(
                    run_once, way, seed, args.trace, args.seconds, args.scale
                )
                for seed in seeds
            ]
            for way in ways
        }
        done = {w: [f.result() for f in fs] for w, fs in pending.items()}
    none, alone = done["none"], done["alone"]
    ttft = pooled(none, "ttft")
    print(
        f"{args.trace} x {args.scale:g}: {len(ttft)} online requests; without"
        f" batch p50 {statistics.median(ttft) * 1000:.0f} ms,"
        f" p99 {quantile(ttft, 0.99) * 1000:.0f} ms to the first token,"
        f" p99 {quantile(pooled(none, 'itl'), 0.99) * 1000:.1f} ms between;"
        f" idle {statistics.mean(o.idle for o in none):.2f}; virtual time"
    )
    results = {way: summary(done[way], none, alone) for way in ways[2:]}
    for way, ratios in results.items():
        print(way, json.dumps(ratios))
    final: dict[str, Any] = {}
    if "latency" in results:
        best = results["latency"]
        for name in ("p99_ttft_ratio", "p99_itl_ratio", "batch_share_of_idle"):
            final[name] = best[name]
    if "fixed" in results:
        final["baseline_p99_ttft_ratio"] = results["fixed"]["p99_ttft_ratio"]
    if "throughput" in results:
        final["throughput"] = {
            name: results["throughput"][name]
            for name in ("p99_ttft_ratio", "batch_share_of_idle")
        }
    print(json.dumps(final))


if __name__ == "__main__":
    main()
