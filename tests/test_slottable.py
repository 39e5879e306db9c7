"""Slots and waiting items: counts kept up agree with counts made anew."""

import random

import pytest

from camphortray import enginehealth
from camphortray import slotbook
from camphortray import slottable
from camphortray import slotwants

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
    book = slotbook.SlotBook()
    book.set_engines(engines_of(rng), 0.0)
    now = 0.0
    for number in range(200):
        now += rng.random() / 5
        step = rng.random()
        if step < 0.5:
            want = slotbook.Want(
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
            book.forget(rng.choice("hk"), now)
        else:
            book.set_share(rng.choice((0.3, 1.0)))
        assert book.free_slots(now) == recount(book.table, now)
        counts = {}
        for lease in book.leases.values():
            counts[lease.engine] = counts.get(lease.engine, 0) + 1
        assert counts == book.used


@pytest.mark.parametrize("seed", range(20))
def test_items_leave_in_the_order_of_a_sort(seed):
    # The sort is the rule: what can still be in time first, by due time.
    rng = random.Random(seed)
    queue = slotwants.ItemQueue()
    for number in range(60):
        due_at = rng.uniform(0, 30)
        queue.add(slotwants.Want(f"i{number}", "h", False, due_at=due_at))
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
    rng = random.Random(seed)
    leases = slotwants.Leases()
    for number in range(40):
        want = slotwants.Want(
            f"i{number}",
            "h",
            rng.random() < 0.3,
            due_at=rng.uniform(0, 30),
            work_s=4.0,
        )
        leases.add(slotwants.Lease(want, f"e{number % 3}", 1.0))
        if rng.random() < 0.3:
            leases.pop(f"i{rng.randrange(40)}")
    while True:
        found = [
            lease
            for lease in leases.held.values()
            if not lease.want.online and lease.engine != "e0"
        ]
        best = min(
            found,
            key=lambda le: (le.spare_s >= 0, -le.spare_s, le.want.id),
            default=None,
        )
        given = leases.first(lambda lease: lease.engine != "e0")
        assert given is best
        if given is None:
            return
        leases.pop(given.want.id)


def test_what_is_gone_does_not_pile_up():
    # Items ask anew each time they are moved; kept for ever, the entries
    # of what has gone would grow by some hundred thousand an hour.
    queue, leases = slotwants.ItemQueue(), slotwants.Leases()
    for number in range(5000):
        want = slotwants.Want(f"i{number}", "h", False, due_at=float(number))
        queue.add(want)
        queue.drop(want.id)
        leases.add(slotwants.Lease(want, "e", 0.0))
        leases.pop(want.id)
    assert len(queue.timely) <= slotwants.SLACK_ENTRIES + 1
    assert len(leases.heap) <= slotwants.SLACK_ENTRIES + 3
