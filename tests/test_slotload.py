"""Bursts of questions played against the book of slots, beside batch items.

What is asked: questions get slots at once, and the slots that a burst only
lends to batch items for moments are left alone.
"""

import dataclasses
import heapq
import random

import pytest

from camphortray import enginehealth
from camphortray import slot_scheduler

ENGINES, SLOTS = 6, 8
QUESTION_S = 0.7
ITEM_S = 4.8
DAY_S = 20.0
# Fewer than slots, and far more.
QUIET_ITEMS, MANY_ITEMS = 28, 150
# Questions a second by the second of a cycle of five: two of five are busy.
RATES = (10, 10, 10, 52, 52)


@dataclasses.dataclass
class Played:
    """What a day came to.

    Attributes:
      refused: Questions refused.
      waits: Seconds that questions waited for slots.
      short: Runs of items taken back before they had paid back their start.
      runs: Runs of items.
      used: Mean share of the slots in use.
    """

    refused: int = 0
    waits: list = dataclasses.field(default_factory=list)
    short: int = 0
    runs: int = 0
    used: float = 0.0


class Day:
    """Plays questions beside a number of items at all times."""

    def __init__(self, seed, start_s, items):
        self.items = items
        self.rng = random.Random(seed)
        self.start_s = start_s
        self.book = slot_scheduler.SlotScheduler()
        self.book.set_engines(
            [
                slot_scheduler.EngineSlots(f"e{n}", SLOTS, f"z{n % 3}")
                for n in range(ENGINES)
            ],
            0.0,
        )
        self.events = []
        self.begun = {}
        self.asked = {}
        self.made = {}
        self.looks = set()
        self.played = Played()
        self.number = 0

    def at(self, when, what, name=""):
        """Plan an event."""
        heapq.heappush(self.events, (when, self.number, what, name))
        self.number += 1

    def run(self):
        """Play the day."""
        now = 0.0
        while now < DAY_S:
            now += self.rng.expovariate(RATES[int(now) % len(RATES)])
            self.at(now, "ask", f"q{self.number}")
        for n in range(self.items):
            self.at(0.0, "item", f"i{n}")
        now = 0.0
        while self.events and self.events[0][0] < DAY_S:
            before = now
            now, _, what, name = heapq.heappop(self.events)
            share = len(self.book.leases) / (ENGINES * SLOTS)
            self.played.used += share * (now - before) / DAY_S
            self.step(now, what, name)
            look = self.book.next_decision_at(now)
            if look is not None and look not in self.looks:
                self.looks.add(look)
                self.at(max(look, now + 1e-6), "look")
        return self.played

    def step(self, now, what, name):
        """Play one event."""
        if what == "ask":
            self.asked[name] = now
            want = slot_scheduler.SlotRequest(
                name, "h", True, 0, now, 0.3, 5.0, zone="z0"
            )
            self.take(self.book.ask(want, now), now)
        elif what == "item":
            self.take(self.book.ask(self.item(name, now), now), now)
        elif what == "look":
            self.take(self.book.decide(now), now)
        elif self.begun.get(name) == float(what):
            del self.begun[name]
            good = enginehealth.Outcome.GOOD
            self.take(self.book.done(name, good, now), now)
            if name[0] == "i":
                self.at(now, "item", f"i{self.number}")

    def item(self, name, now):
        """Return the want of an item that goes on from where it stands."""
        made_s = self.made.get(name, 0.0)
        return slot_scheduler.SlotRequest(
            name,
            "h",
            False,
            asked_at=now,
            due_at=now + 18.0,
            work_s=ITEM_S - made_s,
            made_s=made_s,
            start_s=self.start_s,
        )

    def take(self, decisions, now):
        """Follow what was decided."""
        for decision in decisions:
            name = decision.want.id
            if isinstance(decision, slot_scheduler.Grant):
                self.granted(name, now)
            elif isinstance(decision, slot_scheduler.Refuse):
                self.played.refused += 1
            else:
                ran_s = now - self.begun.pop(name)
                self.played.short += ran_s < 0.1
                made_s = max(0.0, ran_s - 0.02)
                self.made[name] = self.made.get(name, 0.0) + made_s
                # Its holder says that it has stopped, and asks again.
                nothing = enginehealth.Outcome.NOTHING
                self.take(self.book.done(name, nothing, now), now)
                self.at(now, "item", name)

    def granted(self, name, now):
        """Run something until it is done."""
        self.begun[name] = now
        if name[0] == "q":
            self.played.waits.append(now - self.asked[name])
            self.at(now + QUESTION_S, str(now), name)
            return
        self.played.runs += 1
        left_s = ITEM_S - self.made.get(name, 0.0)
        self.at(now + left_s + self.start_s, str(now), name)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_slots_that_a_burst_lends_for_moments_are_left_alone(seed):
    # In a burst each question that ends frees a slot, and the next takes it
    # some ten milliseconds later. An item let in between is stopped before
    # its first event, and what it has made is read again for nothing, in
    # front of the prompts of questions. Runs under 0.1 s for seeds 1 to 3:
    # 200, 187 and 217 with slots given at once; 54, 46 and 67 with the rule.
    at_once = Day(seed, 0.0, QUIET_ITEMS).run()
    held_back = Day(seed, 0.04, QUIET_ITEMS).run()
    assert held_back.short * 3 < at_once.short
    assert held_back.refused == at_once.refused
    assert max(held_back.waits) <= max(at_once.waits) + 0.01
    # Slots left alone stand idle for a while; most stay in use.
    assert held_back.used > 0.95 * at_once.used


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_no_slot_is_left_alone_while_items_are_short_of_time(seed):
    # Three times as many items as slots: all that wait will have their turn
    # only after some are late. A slot left idle now is an item late later.
    # Share of the slots in use: 0.989 to 0.992; 0.944 to 0.951 without.
    held_back = Day(seed, 0.04, MANY_ITEMS).run()
    assert held_back.used > 0.98


def test_an_item_held_back_gets_its_slot_when_the_peak_is_past():
    book = slot_scheduler.SlotScheduler()
    book.set_engines([slot_scheduler.EngineSlots("e", 1)], 0.0)
    book.ask(slot_scheduler.SlotRequest("q", "h", True, asked_at=0.0), 0.0)
    good = enginehealth.Outcome.GOOD
    want = slot_scheduler.SlotRequest(
        "i", "h", False, due_at=20.0, start_s=0.05
    )
    assert book.ask(want, 0.1) == []
    assert book.done("q", good, 0.7) == []
    look = book.next_decision_at(0.7)
    assert look == pytest.approx(0.7 + slot_scheduler.HOLD_BACK_FACTOR * 0.05)
    (decision,) = book.decide(look + 0.001)
    assert decision == slot_scheduler.Grant(want, "e")


def test_a_question_gets_no_slot_at_an_engine_that_is_gone():
    # The engine could not be reached and was to be tried with one request;
    # then it left. The slot of its last item is none that can be given.
    book = slot_scheduler.SlotScheduler()
    engines = [slot_scheduler.EngineSlots(f"e{n}", 1) for n in range(2)]
    book.set_engines(engines, 0.0)
    book.ask(slot_scheduler.SlotRequest("i0", "h", False), 0.0)
    book.ask(slot_scheduler.SlotRequest("i1", "h", False), 0.0)
    gone = book.leases["i0"].engine
    book.set_engines([e for e in engines if e.name != gone], 1.0)
    book.accounting.table.judge(gone, enginehealth.Outcome.UNREACHED, 1.0)
    question = slot_scheduler.SlotRequest("q", "h", True, asked_at=2.0)
    _, decision = book.ask(question, 2.0)
    assert decision.engine != gone


def test_items_at_an_engine_that_leaves_hold_no_others_back():
    # The engine is on no list any more, but its items run on for seconds.
    # Counted against the slots of the others, they would keep these empty.
    book = slot_scheduler.SlotScheduler()
    engines = [slot_scheduler.EngineSlots(f"e{n}", 4) for n in range(2)]
    book.set_engines(engines, 0.0)
    for number in range(8):
        book.ask(slot_scheduler.SlotRequest(f"i{number}", "h", False), 0.0)
    assert len(book.leases) == 8
    book.set_engines(engines[:1], 1.0)
    gone = [n for n, lease in book.leases.items() if lease.engine == "e0"][0]
    want = slot_scheduler.SlotRequest("next", "h", False)
    assert book.ask(want, 1.0) == []
    (decision,) = book.done(gone, enginehealth.Outcome.GOOD, 1.1)
    assert decision == slot_scheduler.Grant(want, "e0")


@pytest.mark.parametrize(
    ("items", "preemption_candidate"),
    [
        # (name, due, made): what has made least is cheapest to go on with.
        ((("a", 30.0, 3.0), ("b", 20.0, 0.5)), "b"),
        # Due so soon that giving way could make it late: another goes.
        ((("a", 30.0, 3.0), ("b", 7.0, 0.5)), "a"),
        # Late whatever happens: nothing is lost with it.
        ((("a", 2.0, 3.0), ("b", 30.0, 0.5)), "a"),
        # All are due soon: the one with most time to spare.
        ((("a", 7.5, 0.5), ("b", 8.5, 3.0)), "b"),
    ],
)
def test_which_item_gives_way(items, preemption_candidate):
    book = slot_scheduler.SlotScheduler()
    book.set_engines([slot_scheduler.EngineSlots("e", len(items))], 0.0)
    for name, due_at, made_s in items:
        book.ask(
            slot_scheduler.SlotRequest(
                name, "h", False, due_at=due_at, work_s=4.8, made_s=made_s
            ),
            0.0,
        )
    revoke, _ = book.ask(
        slot_scheduler.SlotRequest("q", "h", True, asked_at=0.1), 0.1
    )
    assert revoke.want.id == preemption_candidate
