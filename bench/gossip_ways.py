"""Two ways to spread a change, and two to reach a peer, weighed.

Spreading runs on pure nodes in virtual time, so its figures do not depend
on the machine: a change goes once to each neighbour, or to a few of them
taken at random. Reaching a peer runs over loopback: on an open link, or
on a new connection each time, as a way that tells any member at random
would need. The last line is JSON.
"""

import asyncio
import contextlib
import json
import random
import statistics
import time
from unittest import mock

import defopt

from camphortray import clock
from camphortray import config as configs
from camphortray import gossip
from camphortray import kernel
from camphortray import links as link_messages
from camphortray import metrics
from camphortray import peers
from tests import fakenet

SETTLE_S = 20.0
KNOWN_S = 2.0
STEP_S = 0.02
RUNS = 3
ASKS = 400


def few(fanout: int, rng: random.Random):
    """Return an ``add`` that tells only some neighbours at random."""

    def add(self: gossip.Gossip, key: str, source: str = "") -> None:
        names = sorted(self.neighbours - {source})
        for name in rng.sample(names, min(fanout, len(names))):
            self.add_for(name, key)

    return add


def spread(hosts: int, fanout: int, loss: float, seed: int) -> dict:
    """Publish a fact; return how far it came without repair."""
    net = fakenet.FakeNet(hosts=hosts, programs=("entry",), seed=seed)
    net.run(SETTLE_S)
    # Repair by digest is what the ways differ in needing; it is left out.
    for node in net.nodes.values():
        node.sync_message = lambda: gossip.News()
    net.blocked = lambda src, dst, fresh: net.rng.random() < loss
    way = contextlib.nullcontext()
    if fanout:
        way = mock.patch.object(gossip.Gossip, "add", few(fanout, net.rng))
    sent = 0
    plain = net.send

    def send(src, asks):
        nonlocal sent
        sent += sum("k x" in ask.keys for ask in asks)
        plain(src, asks)

    net.send = send
    last = 0.0
    with way:
        next(iter(net.nodes.values())).publish("k", "x", 1, 60.0, net.now)
        for step in range(round(KNOWN_S / STEP_S)):
            net.run(STEP_S)
            known = sum(
                "k x" in n.known.facts.facts for n in net.nodes.values()
            )
            if known == hosts and not last:
                last = (step + 1) * STEP_S
    return {"known": known / hosts, "all_s": last, "sent": sent / hosts}


def ways(hosts: int) -> list[dict]:
    """Return both ways with and without loss."""
    results = []
    for loss in (0.0, 0.2):
        for fanout in (0, 3):
            runs = [spread(hosts, fanout, loss, seed) for seed in range(RUNS)]
            results.append(
                {
                    "way": f"{fanout} at random" if fanout else "each once",
                    "loss": loss,
                    "known_in_2_s": statistics.mean(r["known"] for r in runs),
                    "all_s": max(r["all_s"] for r in runs),
                    "sent_per_host": statistics.mean(r["sent"] for r in runs),
                }
            )
    return results


async def links() -> dict[str, float]:
    """Return processor time of a question, both sides together."""
    config = configs.Config.from_data(
        {
            "host": {"name": "a", "availability_zone": "z", "region": "r"},
            "log": {"address": "127.0.0.1:1"},
            "hostlist": {"address": "127.0.0.1:1"},
            "peer": {"entry_listen": "127.0.0.1:0", "shared_key": "k"},
        }
    )
    context = kernel.Context(
        config,
        "entry",
        1,
        clock.SystemClock(),
        random.Random(1),
        metrics.Metrics(),
    )
    held = peers.Peers(context)
    await held.start()
    used = {}
    for name, ask in (("open", held.ask), ("new", held.ask_anew)):
        began = time.process_time()
        for _ in range(ASKS):
            await ask(held.address, link_messages.Probe(), 1.0)
        used[name] = (time.process_time() - began) / ASKS * 1e6
    await held.stop()
    return {
        "open_link_us": round(used["open"], 1),
        "new_connection_us": round(used["new"], 1),
        "ratio": round(used["new"] / used["open"], 2),
    }


def bench(hosts: int = 100) -> None:
    """Weigh the ways.

    Args:
      hosts: Number of pure nodes.
    """
    result = {"spread": ways(hosts), "links": asyncio.run(links())}
    print(json.dumps(result))


if __name__ == "__main__":
    defopt.run(bench)
