"""A workspace at 100 times its share beside calm ones, in virtual time.

Ten calm workspaces and a loud one ask for places at one host. The last
line is JSON: the 99th percentile of the calm ones' time from asking to the
end beside the loud one over that without it, with the fair queue and with
one queue for all.
"""

import argparse
import asyncio
import json
import random

import looptime

from bench import fleet as fleets
from camphortray import admission
from camphortray import errors
from camphortray import fairness
from camphortray import ratelimits

CALM = 10
WORK_S = 0.5
SLOTS_S = 32 / WORK_S
SHARE = SLOTS_S / (CALM + 1)
CALM_RATE = SHARE / 2
LOUD_RATE = 100 * SHARE


class OneLine(fairness.FairQueue):
    """First come first served, for comparison."""

    def put(self, waiting, weight):
        """Add to one lane, whoever asks."""
        waiting.workspace = "all"
        return super().put(waiting, 1.0)


async def run(seconds: float, loud: bool, fair: bool, seed: int) -> dict:
    """Return the waits of the calm workspaces and how many were refused."""
    fleet = fleets.Fleet(1, 1, {"model.lm.version": "1"}, seed)
    context = fleet.entries[0].context
    for cls in (ratelimits.RateLimits, admission.Admission):
        context.parts[cls.name] = cls.from_config(context)
    await fleet.start()
    part = context.part(admission.Admission)
    gate = part.gate(fleet.service)
    if not fair:
        gate.queue = OneLine(gate.queue.limit)
    rng = random.Random(seed)
    loop = asyncio.get_running_loop()
    waits: list[float] = []
    wholes: list[float] = []
    refused = {"calm": 0, "loud": 0}

    async def one(name: str) -> None:
        kind = "loud" if name == "loud" else "calm"
        began = loop.time()
        try:
            ticket = await part.enter(fleet.service, name, began + 60)
        except errors.Refused:
            refused[kind] += 1
            return
        if kind == "calm":
            waits.append(loop.time() - began)
        await asyncio.sleep(rng.expovariate(1 / WORK_S))
        part.leave(ticket)
        if kind == "calm":
            wholes.append(loop.time() - began)

    async def ask(name: str, rate: float) -> None:
        tasks = []
        while loop.time() < ends:
            await asyncio.sleep(rng.expovariate(rate))
            tasks.append(asyncio.ensure_future(one(name)))
        await asyncio.gather(*tasks)

    ends = loop.time() + seconds
    askers = [ask(f"calm-{n}", CALM_RATE) for n in range(CALM)]
    if loud:
        askers.append(ask("loud", LOUD_RATE))
    await asyncio.gather(*askers)
    await part.stop()
    await fleet.stop()
    return {"waits": waits, "wholes": wholes, "refused": refused}


def measure(seconds: float, loud: bool, fair: bool) -> dict:
    """Run one way on a virtual loop of its own."""
    loop = looptime.new_event_loop(start=0)
    try:
        return loop.run_until_complete(run(seconds, loud, fair, seed=1))
    finally:
        loop.close()


def p99(values: list[float]) -> float:
    """Return the 99th percentile."""
    return sorted(values)[int(len(values) * 0.99)]


def main() -> None:
    """Measure with and without the loud workspace."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=60.0)
    args = parser.parse_args()
    alone = measure(args.seconds, loud=False, fair=True)
    fair = measure(args.seconds, loud=True, fair=True)
    line = measure(args.seconds, loud=True, fair=False)
    total = LOUD_RATE + CALM * CALM_RATE
    print(f"offered {total:.0f}/s to {SLOTS_S:.0f}/s; virtual time")
    base = p99(alone["wholes"])
    print(
        json.dumps(
            {
                "p99_ratio": round(p99(fair["wholes"]) / base, 3),
                "one_queue_p99_ratio": round(p99(line["wholes"]) / base, 3),
                "p99_wait_s": round(p99(fair["waits"]), 4),
                "calm_refused": fair["refused"]["calm"],
                "one_queue_calm_refused": line["refused"]["calm"],
                "loud_refused": fair["refused"]["loud"],
            }
        )
    )


if __name__ == "__main__":
    main()
