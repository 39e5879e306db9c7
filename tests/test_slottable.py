"""Incremental slot counts, queues and peaks agree with a recomputation."""

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
    """Return the number of free slots, computed over every engine."""
    return sum(
        max(0, table.room(name, now) - table.used.get(name, 0))
        for name in table.engines
    )


def engines_of(rng):
    """Return engines of random sizes in two zones."""
    return [
        slottable.EngineSlots(f"e{n}", rng.randint(1, 4), rng.choice("ab"))
        for n in range(rng.randint(0, 6))
    ]


@pytest.mark.parametrize("seed", range(40))
def test_free_slots_are_what_a_recount_shows(seed):
    # Leases start and end, engines fail, leave and return, and the share
    # changes, all in random order. A slot counted wrong would be lost for
    # good or granted twice.
    rng = random.Random(seed)
    scheduler = slot_scheduler.SlotScheduler()
    reconciler = slot_reconciler.SlotReconciler(scheduler)
    scheduler.set_engines(engines_of(rng), 0.0)
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
            scheduler.ask(want, now)
        elif step < 0.9 and scheduler.leases:
            name = rng.choice(sorted(scheduler.leases))
            scheduler.done(name, rng.choice(list(Outcome)), now)
        elif step < 0.95:
            scheduler.set_engines(engines_of(rng), now)
        elif step < 0.97:
            reconciler.forget(rng.choice("hk"), now)
        elif step < 0.98:
            name = rng.choice(
                sorted(scheduler.accounting.table.engines) or ["e0"]
            )
            reconciler.on_engine_report(
                name, rng.randrange(9), now, rng.random() < 0.3
            )
        elif step < 0.99:
            reconciler.expire_orphaned(now)
        else:
            scheduler.set_share(rng.choice((0.3, 1.0)))
        assert scheduler.free_slots(now) == recount(
            scheduler.accounting.table, now
        )
        counts = {}
        for lease in scheduler.leases.values():
            counts[lease.engine] = counts.get(lease.engine, 0) + 1
        for name in scheduler.accounting.orphaned.by_engine:
            counts[name] = counts.get(
                name, 0
            ) + scheduler.accounting.orphaned.count(name)
        assert counts == scheduler.used


@pytest.mark.parametrize("seed", range(20))
def test_items_leave_in_the_order_of_a_sort(seed):
    # Items that can still be done in time go first, each group by due time.
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
def test_the_preempted_item_is_that_of_a_sort(seed):
    # Late items go first, then safe ones with the least output, then the
    # rest by slack.
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

    def rank(lease):
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
        best = min(found, key=rank, default=None)
        chosen = leases.preemption_candidate(lambda le: le.engine != "e0", 5.0)
        assert chosen is best
        items = sum(not le.want.online for le in leases.by_id.values())
        assert (leases.items, leases.online) == (
            items,
            len(leases.by_id) - items,
        )
        if chosen is None:
            return
        leases.pop(chosen.want.id)


def test_stale_entries_do_not_accumulate():
    # Items ask again each time they are moved. If the heap kept stale
    # entries, it would grow by some hundred thousand an hour.
    queue = priority_queue.PriorityQueue()
    for number in range(5000):
        queue.add(f"i{number}", float(number), number)
        queue.drop(f"i{number}")
    assert len(queue.heap) <= priority_queue.SLACK_ENTRIES + 1


@pytest.mark.parametrize("seed", range(20))
def test_a_peak_is_the_most_that_held_within_a_time(seed):
    rng = random.Random(seed)
    peaks, steps, now = onlinepeaks.SlidingPeaks(), [], 0.0
    for _ in range(200):
        now += rng.uniform(0.001, 0.1)
        count = rng.randint(0, 9)
        peaks.record(count, now)
        steps.append((now, count))
        window_s = rng.uniform(0, onlinepeaks.MAX_WINDOW_S)
        ends = [since for since, _ in steps[1:]] + [float("inf")]
        within = [
            count
            for (_, count), until in zip(steps, ends, strict=True)
            if until > now - window_s
        ]
        assert peaks.within(window_s, now).count == max(within)
