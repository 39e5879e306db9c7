"""What a book of slots counts after losses, by holders and engines."""

import dataclasses

import pytest

from camphortray import enginehealth
from camphortray import orphaned_leases
from camphortray import revocations
from camphortray import slot_reconciler
from camphortray import slot_scheduler
from tests import slotkit

Outcome = enginehealth.Outcome


def test_a_report_teaches_a_new_coordinator_what_runs():
    # The coordinator is killed; its holders turn to the next host, which
    # knows nothing. Without their reports it would fill the engines twice.
    old, new = slotkit.scheduler_of(), slotkit.scheduler_of()
    slotkit.fill(old, 3, slotkit.item)
    slot_reconciler.SlotReconciler(new).report(
        "h", old.leases.values(), [], 5.0
    )
    assert new.used == old.used
    assert new.free_slots(5.0) == 1


def test_a_report_heals_what_was_lost_on_the_way():
    # The end of a lease was lost: its slot would stay taken for ever. A
    # grant on its way to its holder is no such loss.
    book = slotkit.scheduler_of()
    audit = slot_reconciler.SlotReconciler(book)
    slotkit.fill(book, 2, slotkit.item)
    assert slotkit.kinds(audit.report("h", [], [], 0.1)) == []
    assert len(book.leases) == 2
    audit.report("h", [], [], slot_reconciler.GRANT_WAY_S + 0.1)
    assert not book.leases


def test_a_host_that_is_gone_gives_all_back():
    # As soon as its engines say that they run nothing of it any more.
    book = slotkit.scheduler_of()
    audit = slot_reconciler.SlotReconciler(book)
    slotkit.fill(book, 4)
    decisions = audit.forget("h", 0.01)
    other = dataclasses.replace(slotkit.online("o", 0.02), holder="other")
    decisions += book.ask(other, 0.02)
    assert decisions == []
    assert not book.leases
    decisions += audit.reported("e0", 0, 0.03, False)
    assert slotkit.kinds(decisions) == [("Grant", "o")]
    assert all(le.want.holder == "other" for le in book.leases.values())
    audit.reported("e1", 0, 0.03, False)
    assert book.free_slots(0.03) == 3


# Runs whose holder is lost.


@pytest.mark.parametrize(
    ("running", "free"),
    [
        # It runs on what the lost host had sent.
        (2, 0),
        (1, 1),
        (0, 2),
        # Late: it has not begun what others were just given.
        (9, 0),
    ],
)
def test_an_engine_gives_out_no_slot_that_a_lost_host_still_holds(
    running, free
):
    # The host has lost power: no connection was closed, and its engine
    # runs on. Given out, the slot would be a place in the engine's queue.
    book = slotkit.scheduler_of(engines=1, slots=2)
    audit = slot_reconciler.SlotReconciler(book)
    slotkit.fill(book, 2, slotkit.item)
    audit.forget("h", 4.0)
    assert book.free_slots(4.0) == 0
    audit.reported("e0", running, 4.1, False)
    assert book.free_slots(4.1) == free


def test_what_a_new_book_never_knew_counts_as_well():
    book = slotkit.scheduler_of(engines=2, slots=8)
    audit = slot_reconciler.SlotReconciler(book)
    audit.reported("e0", 5, 0.0, True)
    assert book.free_slots(0.0) == 11
    # Its own grants are none of them.
    slotkit.fill(book, 10)
    at_e0 = book.used["e0"] - 5
    assert at_e0
    audit.reported("e0", 5 + at_e0, 0.3, False)
    assert book.used["e0"] == 5 + at_e0
    audit.reported("e0", at_e0, 0.6, False)
    assert book.used["e0"] == at_e0
    assert not book.use.orphaned


def test_runs_of_holders_that_tell_of_them_count_once():
    # The coordinator is lost, and the next one asks the engines at once.
    # What it finds there is mostly of hosts that are there, and tell of it
    # some milliseconds later; counted twice, no slot would be free.
    book = slotkit.scheduler_of(engines=1, slots=8)
    audit = slot_reconciler.SlotReconciler(book)
    audit.reported("e0", 5, 0.0, True)
    leases = [
        slot_scheduler.Lease(slotkit.online(f"q{n}"), "e0", -0.3)
        for n in range(4)
    ]
    audit.report("h", leases, [], 0.01)
    assert book.used["e0"] == 5
    assert book.use.orphaned.count("e0") == 1
    audit.reported("e0", 4, 0.3, False)
    assert book.free_slots(0.3) == 4


def test_runs_without_a_holder_end_where_no_report_comes():
    book = slotkit.scheduler_of(engines=1, slots=2)
    audit = slot_reconciler.SlotReconciler(book)
    slotkit.fill(book, 2, slotkit.item)
    audit.forget("h", 4.0)
    audit.expire_orphaned(4.0 + orphaned_leases.LONGEST_S - 0.1)
    assert book.free_slots(13.0) == 0
    audit.expire_orphaned(4.0 + orphaned_leases.LONGEST_S)
    assert book.free_slots(13.0) == 2
    assert not book.used


def test_a_lease_that_its_holder_no_longer_names_waits_for_a_report():
    # Either its end was lost on the way, or the holder has started again
    # after a loss of power. The engine knows.
    book = slotkit.scheduler_of(engines=1, slots=2)
    audit = slot_reconciler.SlotReconciler(book)
    slotkit.fill(book, 2, slotkit.item)
    audit.report("h", [], [], 1.0)
    assert not book.leases
    assert book.free_slots(1.0) == 0
    audit.reported("e0", 0, 1.01, False)
    assert book.free_slots(1.01) == 2


def test_a_life_that_is_over_holds_no_slots():
    book = slotkit.scheduler_of(engines=1, slots=2)
    audit = slot_reconciler.SlotReconciler(book)
    slotkit.fill(book, 2, slotkit.item)
    book.set_engines([slot_scheduler.EngineSlots("e0~2", 2)], 1.0)
    audit.forget("h", 1.1)
    assert book.free_slots(1.1) == 2
    assert not book.used


# Slots taken back from holders that do not answer.


def held_by(name, holder):
    """Return the want of a host's item."""
    return dataclasses.replace(slotkit.item(name), holder=holder)


def test_a_holder_that_stops_its_item_is_asked_again():
    book = slotkit.scheduler_of(engines=1, slots=2)
    book.ask(held_by("i0", "a"), 0.0)
    book.ask(held_by("i1", "a"), 0.0)
    (revoked, _) = book.ask(slotkit.online("q0", 1.0), 1.0)
    book.done(revoked.want.id, Outcome.NOTHING, 1.004)
    assert book.decide(1.0 + revocations.CONFIRM_S) == []
    assert (
        slotkit.kinds(book.ask(slotkit.online("q1", 1.1), 1.1))[0][0]
        == "Revoke"
    )
    assert book.used == {"e0": 2}


def test_a_holder_that_lost_power_gives_no_slots():
    # Host a has lost power; that is known in some seconds. Its engine runs
    # on, so a question that takes its item's slot waits inside the engine.
    # One does, then the items of others give way, and as many slots as the
    # engine says it has are given out.
    book = slotkit.scheduler_of(engines=1, slots=4)
    audit = slot_reconciler.SlotReconciler(book)
    for number, holder in enumerate("aaab"):
        book.ask(held_by(f"i{number}", holder), 0.0)
    (revoked, _) = book.ask(slotkit.online("q0", 1.0), 1.0)
    assert revoked.want.holder == "a"
    look = book.next_look(1.0)
    assert look == pytest.approx(1.0 + revocations.CONFIRM_S)
    book.decide(look)
    assert book.used == {"e0": 5}
    (revoked, _) = book.ask(slotkit.online("q1", 1.2), 1.2)
    assert revoked.want.holder == "b"
    book.done(revoked.want.id, Outcome.NOTHING, 1.204)
    assert "Grant" not in [
        k for k, _ in slotkit.kinds(book.ask(slotkit.online("q2", 1.3), 1.3))
    ]
    audit.reported("e0", 5, 1.4, False)
    assert book.used == {"e0": 5}


def test_a_holder_that_is_heard_of_gives_slots_again():
    book = slotkit.scheduler_of(engines=1, slots=2)
    audit = slot_reconciler.SlotReconciler(book)
    wants = [held_by("i0", "a"), held_by("i1", "a")]
    for want in wants:
        book.ask(want, 0.0)
    book.ask(slotkit.online("q0", 1.0), 1.0)
    book.decide(1.1)
    assert book.use.revocations.unresponsive == {"a"}
    left = [lease for lease in book.leases.values() if not lease.want.online]
    audit.report("a", left, [], 1.2)
    assert not book.use.revocations.unresponsive


def test_a_holder_that_is_slow_to_answer_is_asked_last():
    book = slotkit.scheduler_of(engines=1, slots=4)
    for number, holder in enumerate("aaab"):
        book.ask(held_by(f"i{number}", holder), 0.0)
    (first, _) = book.ask(slotkit.online("q0", 1.0), 1.0)
    late = 1.0 + 2 * revocations.SLOW_S
    (second, _) = book.ask(slotkit.online("q1", late), late)
    (third, _) = book.ask(slotkit.online("q2", late), late)
    holders = [d.want.holder for d in (first, second, third)]
    assert holders == ["a", "b", "a"]


@pytest.mark.parametrize("lost", ["report", "revocation"])
def test_an_orphan_whose_end_comes_late_gives_its_slot_back(lost):
    """A slot stayed in use until its engine was asked, or for 8 s."""
    book = slotkit.scheduler_of(engines=1, slots=2)
    reconciler = slot_reconciler.SlotReconciler(book)
    slotkit.fill(book, 2, slotkit.item)
    if lost == "report":
        # The grant lies unread at its holder, which names another lease.
        held = book.leases["item1"]
        reconciler.report("h", [held], [], 1.0)
    else:
        # The holder stops its item after the time to confirm it.
        book.ask(slotkit.online("q"), 1.0)
        book.decide(1.0 + revocations.CONFIRM_S)
    assert book.use.orphaned.count("e0") == 1
    (late,) = {"item0", "item1"} - book.leases.keys()
    used = book.used["e0"]
    book.done(late, enginehealth.Outcome.NOTHING, 2.0)
    assert not book.use.orphaned
    assert book.used["e0"] == used - 1
    # Once only.
    book.done(late, enginehealth.Outcome.NOTHING, 2.0)
    assert book.used["e0"] == used - 1


def test_a_late_end_frees_no_slot_that_its_engine_has_reported_free():
    """One of two orphans had ended; the other's slot was given out too."""
    book = slotkit.scheduler_of(engines=1, slots=2)
    reconciler = slot_reconciler.SlotReconciler(book)
    slotkit.fill(book, 2, slotkit.item)
    reconciler.report("h", [], [], 1.0)
    reconciler.reported("e0", 1, 1.1, False)
    book.done("item0", enginehealth.Outcome.NOTHING, 1.2)
    assert book.use.orphaned.count("e0") == 1
