"""Draws what goes wrong, and when, from one seed."""

__all__ = ["Action", "MODES", "Site", "draw"]

import dataclasses
import itertools
import random

# Mean pause from one fault to the next, in seconds.
PAUSE_S = 0.9
# Time without faults at the start, in seconds.
QUIET_S = 1.0
STORE = "store"
CALLERS = "callers"
# Kinds by weight, and the shortest and longest time they last in seconds.
KINDS = {
    "kill": (4, 0.2, 4.0),
    "term": (3, 0.2, 2.0),
    "freeze": (4, 0.3, 5.0),
    "link": (10, 0.3, 4.0),
    "store": (6, 0.3, 3.0),
    "refuse-one": (1, 0.5, 4.0),
    "deal": (3, 0.0, 0.0),
    "crash": (4, 0.3, 3.0),
    "configure": (4, 0.0, 0.0),
    "silence": (6, 0.5, 1.5),
    "reload": (1, 0.0, 0.0),
}
# Kinds beside which nothing may be lost: of a run that is calm.
CALM_KINDS = ("silence", "configure", "term", "reload")
# Kinds by mode; in the last two their own function draws the faults.
MODES = {
    "all": tuple(KINDS),
    "calm": CALM_KINDS,
    "copies": ("kill", "term", "freeze"),
    "power": (),
    "release": (),
}
# From the start of one release of the engines to that of the next, and from
# one of its engines to the next; how long before and behind its start one or
# two hosts fall out of step, and for how long, in seconds. Streams that began
# at other hosts are taken up there meanwhile.
RELEASE_EVERY_S, ENGINE_EVERY_S = 7.0, (0.1, 0.9)
OUT_OF_STEP_HOSTS, OUT_FROM_S, OUT_FOR_S = 2, (-1.0, 1.5), (1.0, 5.0)
# How a host falls out of step: it stands still, or is cut off from the other
# hosts, the store or both, in one direction or in both.
OUT_OF_STEP = ("freeze", "hosts", "store", "all")
CUTS = ("to", "back", "silence")
# Times that all hosts lose power in a run, and how long they are down.
POWER_TIMES, POWER_S = (2, 3), (1.0, 2.6)
# What becomes meanwhile of a software version: its engines leave as all hosts
# are down, or right before; only they have served until then and those of
# another follow them; they come back at the other one.
POWER_FAULTS = ("away", "before", "replaced", "back")
VERSIONS = ("v1", "v2")
# What a configuration changes, back and forth.
CHANGES = ("none", "idle", "timeout", "more", "optional", "service")
LINK_FAULTS = ("delay", "reset", "silence", "to", "back", "trickle", "eof")
STORE_FAULTS = ("silent", "slow", "lose", "late", "503", "429", "closed")


@dataclasses.dataclass(frozen=True)
class Site:
    """Who is there."""

    hosts: tuple[str, ...]
    engines: tuple[str, ...]

    @classmethod
    def of(cls, hosts: int, engines: int) -> "Site":
        """Return a site of so many."""
        return cls(
            tuple(f"host-{n}" for n in range(hosts)),
            tuple(f"i-{n}" for n in range(engines)),
        )

    def links(self) -> list[tuple[str, str]]:
        """Return who dials whom."""
        parties = (STORE, *self.engines, *self.hosts)
        found = [(h, p) for h in self.hosts for p in parties if p != h]
        return found + [(CALLERS, host) for host in self.hosts]


@dataclasses.dataclass(frozen=True)
class Action:
    """One fault.

    Attributes:
      at: Seconds from the start of the load.
      kind: A key of ``KINDS``, or ``power`` or ``release``.
      target: Host, engine or store; of a link ``DIALS>DIALLED``, of
        several engines ``ENGINE+ENGINE``; as all hosts lose power, and of a
        release, the software version that leaves.
      fault: Which fault of a link or of the store, or which change of the
        configuration.
      length_s: How long it lasts; of a release, from one engine to the next.
    """

    at: float
    kind: str
    target: str
    fault: str = ""
    length_s: float = 0.0


def draw(
    seed: int,
    seconds: float,
    site: Site,
    pause_s: float = PAUSE_S,
    mode: str = "all",
) -> tuple[Action, ...]:
    """Return the faults of a seed; the same ones each time."""
    rng = random.Random(f"soak/{seed}")
    if mode == "power":
        return draw_power(rng, seconds)
    if mode == "release":
        return draw_releases(rng, seconds, site)
    kinds = MODES[mode]
    weights = [KINDS[kind][0] for kind in kinds]
    found = []
    at = QUIET_S + rng.expovariate(1 / pause_s)
    while at < seconds:
        (kind,) = rng.choices(kinds, weights)
        _, low, high = KINDS[kind]
        length_s = round(rng.uniform(low, high), 2)
        target, fault = aim(kind, site, rng)
        found.append(Action(round(at, 2), kind, target, fault, length_s))
        at += rng.expovariate(1 / pause_s)
    return tuple(found)


def draw_power(rng: random.Random, seconds: float) -> tuple[Action, ...]:
    """Return when all hosts lose power, at even distances."""
    count = rng.choice(POWER_TIMES)
    return tuple(
        Action(
            round(QUIET_S + number * (seconds - QUIET_S) / count, 2),
            "power",
            rng.choice(VERSIONS),
            fault,
            round(rng.uniform(*POWER_S), 2),
        )
        for number, fault in enumerate(rng.sample(POWER_FAULTS, count))
    )


def draw_releases(
    rng: random.Random, seconds: float, site: Site
) -> tuple[Action, ...]:
    """Return releases of all engines, each with hosts that are out of step."""
    found = []
    at = QUIET_S + 1.0
    for leaving in itertools.cycle(VERSIONS):
        if at >= seconds:
            return tuple(sorted(found, key=lambda action: action.at))
        gap_s = round(rng.uniform(*ENGINE_EVERY_S), 2)
        found.append(Action(round(at, 2), "release", leaving, "", gap_s))
        count = rng.randint(1, min(OUT_OF_STEP_HOSTS, len(site.hosts) - 1))
        for host in rng.sample(site.hosts, count):
            out_at = round(at + rng.uniform(*OUT_FROM_S), 2)
            found += fall_out_of_step(host, out_at, site, rng)
        at += RELEASE_EVERY_S
    raise AssertionError("versions do not end")


def fall_out_of_step(
    host: str, at: float, site: Site, rng: random.Random
) -> list[Action]:
    """Return what puts a host out of step with the others."""
    length_s = round(rng.uniform(*OUT_FOR_S), 2)
    how = rng.choice(OUT_OF_STEP)
    if how == "freeze":
        return [Action(at, "freeze", host, "", length_s)]
    others = [name for name in site.hosts if name != host]
    links = [f"{host}>{STORE}"] if how in ("store", "all") else []
    if how in ("hosts", "all"):
        links += [f"{host}>{name}" for name in others]
        links += [f"{name}>{host}" for name in others]
    fault = rng.choice(CUTS)
    return [Action(at, "link", link, fault, length_s) for link in links]


def aim(kind: str, site: Site, rng: random.Random) -> tuple[str, str]:
    """Return whom a fault meets, and which one it is."""
    if kind in ("kill", "term", "freeze", "refuse-one", "reload"):
        return rng.choice(site.hosts), ""
    if kind == "crash":
        return rng.choice(site.engines), ""
    if kind == "silence":
        most = len(site.engines)
        count = rng.choice((1, rng.randint(1, most), most))
        return "+".join(sorted(rng.sample(site.engines, count))), ""
    if kind == "configure":
        return STORE, rng.choice(CHANGES)
    if kind == "link":
        return ">".join(rng.choice(site.links())), rng.choice(LINK_FAULTS)
    return STORE, rng.choice(STORE_FAULTS) if kind == "store" else ""
