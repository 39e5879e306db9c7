"""What one member at the target costs: processor, memory and messages.

A pure node is given all members of the target; nothing is sent. The last
line is JSON.
"""

import json
import random
import time
import tracemalloc

import defopt
import msgspec

from camphortray import antientropy
from camphortray import gossip
from camphortray import members
from camphortray import messages
from camphortray import node as nodes
from camphortray import ring

TICKS = 2000
TICK_S = 0.1
ZONES = 9


def fleet(hosts: int) -> list[members.Member]:
    """Return both programs of all hosts."""
    return [
        members.Member(
            f"host-{number}/{program}",
            1_764_708_000_000 + number,
            members.Status.ALIVE,
            f"zone-{number % ZONES}",
            f"10.1.{number // 250}.{number % 250}:8200",
            f"10.1.{number // 250}.{number % 250}:8000",
            started=1_764_708_000_000,
        )
        for number in range(hosts)
        for program in ("entry", "batch")
    ]


def joined(all_members: list[members.Member]) -> nodes.Node:
    """Return a node that has just heard of all."""
    node = nodes.Node(all_members[0], [], random.Random(1))
    node.start(0.0)
    news = gossip.News(tuple(all_members[1:]))
    node.known.apply_gossip(news, 0.0, "seed")
    node.tick(0.0)
    return node


def at_rest(node: nodes.Node) -> float:
    """Return the seconds a tick takes, answers included."""
    now = TICK_S
    began = time.perf_counter()
    for _ in range(TICKS):
        for ask in node.tick(now):
            pong = gossip.Pong(node.known.digest)
            news = isinstance(ask.message, gossip.News)
            node.answered(ask, "ack" if news else pong, now)
        now += TICK_S
    return (time.perf_counter() - began) / TICKS


def one_change(node: nodes.Node, member: members.Member) -> float:
    """Return the seconds it takes to learn of a host and of its loss."""
    new = msgspec.structs.replace(member, name="host-new/entry")
    now = TICKS * TICK_S + 1
    began = time.perf_counter()
    node.known.merge_member(new, now)
    node.tick(now)
    dead = msgspec.structs.replace(new, status=members.Status.DEAD)
    node.known.merge_member(dead, now)
    node.tick(now)
    return (time.perf_counter() - began) / 2


def degrees(hosts: int) -> list[int]:
    """Return to how many others each host tells news."""
    beside, zones = ring.Ring(3), [ring.Ring(2) for _ in range(ZONES)]
    for number in range(hosts):
        beside.add(f"host-{number}")
        zones[number % ZONES].add(f"host-{number}")
    found = []
    for number in range(hosts):
        host = f"host-{number}"
        near = set()
        for each in (beside, zones[number % ZONES]):
            near.update(each.neighbours(host), each.watched_by(host))
        found.append(len(near))
    return found


def size(message: object) -> int:
    """Return the bytes of a message."""
    return len(messages.encode(messages.Envelope(1, False, message)))


def bench(hosts: int = 390) -> None:
    """Measure one node among so many hosts.

    Args:
      hosts: Hosts, each with two programs.
    """
    all_members = fleet(hosts)
    began = time.perf_counter()
    node = joined(all_members)
    join_s = time.perf_counter() - began
    tracemalloc.start()
    joined(fleet(hosts))
    memory = tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()
    nothing = antientropy.Sync(bytes(8 * members.BUCKETS))
    told = degrees(hosts)
    result = {
        "hosts": hosts,
        "join_ms": round(join_s * 1e3, 1),
        "join_bytes": size(
            antientropy.reply(nothing, node.known.directory, node.known.facts)
        ),
        "memory_mb": round(memory / 1e6, 2),
        "tick_us": round(at_rest(node) * 1e6, 1),
        "change_ms": round(one_change(node, all_members[2]) * 1e3, 2),
        "change_bytes": size(gossip.News((all_members[5],))),
        "told_mean": round(sum(told) / len(told), 1),
        "told_max": max(told),
    }
    print(json.dumps(result))


if __name__ == "__main__":
    defopt.run(bench)
