"""Plays requests on a slot scheduler in virtual time, without a network."""

import collections
import heapq
import itertools
import random

from camphortray import enginehealth
from camphortray import slot_scheduler


class SlotPlay:
    """Plays requests whose slots are held for a time that each engine sets.

    Attributes:
      hold_s: Returns for how long an engine takes a request, in seconds.
      waits: Waits for a slot, in seconds, by workspace.
      refused: Number of refused requests, by workspace.
      granted: Number of requests that got a slot, by engine.
    """

    def __init__(self, scheduler, hold_s, seed=1):
        self.scheduler = scheduler
        self.hold_s = hold_s
        self.rng = random.Random(seed)
        self.waits = collections.defaultdict(list)
        self.refused = collections.Counter()
        self.granted = collections.Counter()
        self.order = itertools.count()
        self.ends = []

    def play(self, arrivals, until):
        """Play requests, in the order of their times, up to a time."""
        for want in arrivals:
            self.run(want.asked_at)
            self.apply(self.scheduler.ask(want, want.asked_at), want.asked_at)
        self.run(until)

    def run(self, until):
        """Play ends of requests and decisions that are due."""
        now = 0.0
        while True:
            due_at = self.scheduler.next_decision_at(now)
            end_at = self.ends[0][0] if self.ends else until
            at = min(end_at, until if due_at is None else due_at)
            if at >= until:
                return
            now = max(now, at)
            if end_at <= now:
                self.finish(*heapq.heappop(self.ends))
            else:
                self.apply(self.scheduler.decide(now), now)
                now += 0.001

    def finish(self, now, _, name, held_s):
        """End a request, unless it was revoked."""
        if name in self.scheduler.leases:
            self.apply(self.end_lease(name, held_s, now), now)

    def end_lease(self, name, held_s, now):
        """End a lease; return the decisions that follow."""
        return self.scheduler.done(name, enginehealth.Outcome.GOOD, now)

    def apply(self, decisions, now):
        """Start what is granted a slot and count what is refused."""
        for decision in decisions:
            want = decision.want
            if isinstance(decision, slot_scheduler.Refuse):
                self.refused[want.workspace] += 1
            elif isinstance(decision, slot_scheduler.Revoke):
                nothing = enginehealth.Outcome.NOTHING
                self.apply(self.scheduler.done(want.id, nothing, now), now)
            else:
                self.start(decision, now)

    def start(self, grant, now):
        """Start a request on its engine."""
        self.granted[grant.engine] += 1
        self.waits[grant.want.workspace].append(now - grant.want.asked_at)
        held_s = self.hold_s(grant.engine, now)
        end = now + held_s, next(self.order), grant.want.id, held_s
        heapq.heappush(self.ends, end)


def arrivals(rng, rates, until, make):
    """Return requests at random times up to a time, by rates at a time."""
    found = []
    for workspace, at_time in rates.items():
        at = 0.0
        # Thinning: arrivals at the highest rate, kept in proportion.
        most = max(at_time(0.1 * n) for n in range(int(10 * until) + 1))
        while most and (at := at + rng.expovariate(most)) < until:
            if rng.random() * most < at_time(at):
                found.append((at, workspace))
    return [
        make(f"q{number}", at, workspace=workspace)
        for number, (at, workspace) in enumerate(sorted(found))
    ]
