"""Slots and waiting items: counts kept up agree with counts made anew."""

import random

import pytest

from camphortray import enginehealth
from camphortray import onlinepeaks
from camphortray import priority_queue
from camphortray import slot_queue
from camphortray import slot_reconciler
from camphortray import slot_scheduler
from camphortray import slottable

Outcome = enginehealth.Outcome


def recount(table, now):
    """Return the free slots as a look at every engine shows them."""
    return sum(
        max(0, table.room(name, now) - table.used.get(name, 0))
        for name in table.engines
    )


def engines_of(rng):
    """Return engines of chance sizes in two zones."""
    return [
        slottable.EngineSlots(f"e{n}", rng.randint(1, 4), rng.choice("ab"))
        for n in range(rng.randint(0, 6))
    ]


@pytest.mark.parametrize("seed", range(40))
def test_free_slots_are_what_a_recount_shows(seed):
    # Leases come and end in any order, engines fail, go and come back,
    # and the share changes. One slot counted wrong would be lost for good,
    # or given out twice.
    rng = random.Random(seed)
    book = slot_scheduler.SlotScheduler()
    audit = slot_reconciler.SlotReconciler(book)
    book.set_engines(engines_of(rng), 0.0)
    now = 0.0
    for number in range(200):
        now += rng.random() / 5
        step = rng.random()
        if step < 0.5:
            want = slot_scheduler.SlotRequest(
                f"w{number}",
                rng.choice("hk"),
                rng.random() < 0.5,
                asked_at=now,
                due_at=now + rng.uniform(0, 20),
                work_s=4.0,
                zone=rng.choice("ab"),
                prefix=rng.choice(("", "p")),
                avoid=frozenset(rng.sample(["e0", "e1"], rng.randint(0, 2))),
            )
            book.ask(want, now)
        elif step < 0.9 and book.leases:
            name = rng.choice(sorted(book.leases))
            book.done(name, rng.choice(list(Outcome)), now)
        elif step < 0.95:
            book.set_engines(engines_of(rng), now)
        elif step < 0.97:
            audit.forget(rng.choice("hk"), now)
        elif step < 0.98:
            name = rng.choice(sorted(book.use.table.engines) or ["e0"])
            audit.reported(name, rng.randrange(9), now, rng.random() < 0.3)
        elif step < 0.99:
            audit.expire_orphaned(now)
        else:
            book.set_share(rng.choice((0.3, 1.0)))
        assert book.free_slots(now) == recount(book.use.table, now)
        counts = {}
        for lease in book.leases.values():
            counts[lease.engine] = counts.get(lease.engine, 0) + 1
        for name in book.use.orphaned.held:
            counts[name] = counts.get(name, 0) + book.use.orphaned.count(name)
        assert counts == book.used


@pytest.mark.parametrize("seed", range(20))
def test_items_leave_in_the_order_of_a_sort(seed):
    # The sort is the rule: what can still be in time first, by due time.
    rng = random.Random(seed)
    queue = slot_queue.ItemQueue()
    for number in range(60):
        due_at = rng.uniform(0, 30)
        queue.add(
            slot_queue.SlotRequest(f"i{number}", "h", False, due_at=due_at)
        )
        if rng.random() < 0.3:
            queue.drop(f"i{rng.randrange(60)}")
    now = 0.0
    while len(queue):
        now += rng.uniform(0, 1)
        best = min(queue, key=lambda w: (w.begin_by < now, w.due_at, w.id))
        assert queue.pop(now) == best
    assert queue.pop(now) is None


@pytest.mark.parametrize("seed", range(20))
def test_the_item_that_gives_way_is_that_of_a_sort(seed):
    # The rule: late ones, then those safe with least made, then the rest.
    rng = random.Random(seed)
    leases = slot_queue.Leases()
    for number in range(40):
        want = slot_queue.SlotRequest(
            f"i{number}",
            "h",
            rng.random() < 0.3,
            due_at=rng.uniform(0, 30),
            work_s=4.0,
            made_s=rng.uniform(0, 4),
        )
        leases.add(slot_queue.Lease(want, f"e{number % 3}", rng.random()))
        if rng.random() < 0.3:
            leases.pop(f"i{rng.randrange(40)}")

    def place(lease):
        if lease.slack_s < 0:
            return 0, -lease.slack_s
        if lease.slack_s >= 5.0:
            return 1, lease.want.made_s - lease.granted_at
        return 2, -lease.slack_s

    while True:
        found = [
            lease
            for lease in leases.by_id.values()
            if not lease.want.online and lease.engine != "e0"
        ]
        best = min(found, key=place, default=None)
        given = leases.preemption_candidate(lambda le: le.engine != "e0", 5.0)
        assert given is best
        items = sum(not le.want.online for le in leases.by_id.values())
        assert (leases.items, leases.online) == (
            items,
            len(leases.by_id) - items,
        )
        if given is None:
            return
        leases.pop(given.want.id)


def test_what_is_gone_does_not_pile_up():
    # Items ask anew each time they are moved; kept for ever, the entries
    # of what has gone would grow by some hundred thousand an hour.
    held = priority_queue.PriorityQueue()
    for number in range(5000):
        held.add(f"i{number}", float(number), number)
        held.drop(f"i{number}")
    assert len(held.heap) <= priority_queue.SLACK_ENTRIES + 1


@pytest.mark.parametrize("seed", range(20))
def test_a_peak_is_the_most_that_held_within_a_time(seed):
    rng = random.Random(seed)
    peaks, steps, now = onlinepeaks.Peaks(), [], 0.0
    for _ in range(200):
        now += rng.uniform(0.001, 0.1)
        count = rng.randint(0, 9)
        peaks.note(count, now)
        steps.append((now, count))
        window_s = rng.uniform(0, onlinepeaks.KEEP_S)
        ends = [since for since, _ in steps[1:]] + [float("inf")]
        within = [
            count
            for (_, count), until in zip(steps, ends, strict=True)
            if until > now - window_s
        ]
        assert peaks.within(window_s, now).count == max(within)
