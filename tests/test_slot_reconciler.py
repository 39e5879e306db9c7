"""Slots in use after lost messages and hosts, by reports and time limits."""

import msgspec
import pytest

from camphortray import enginehealth
from camphortray import orphaned_leases
from camphortray import revocations
from camphortray import slot_reconciler
from camphortray import slot_scheduler
from tests import slotkit

Outcome = enginehealth.Outcome


def test_a_report_teaches_a_new_coordinator_what_runs():
    # The coordinator is killed and its holders fail over to the next host,
    # which knows no leases. Without reports it would grant used slots again.
    old, new = slotkit.scheduler_of(), slotkit.scheduler_of()
    slotkit.fill(old, 3, slotkit.item)
    slot_reconciler.SlotReconciler(new).on_holder_report(
        "h", old.leases.values(), [], 5.0
    )
    assert new.used == old.used
    assert new.free_slots(5.0) == 1


def test_a_report_replaces_a_lost_lease_end():
    # Without the message of its end, the slot of a lease would stay in use
    # for ever. A grant that has not yet arrived must not count as ended.
    scheduler = slotkit.scheduler_of()
    reconciler = slot_reconciler.SlotReconciler(scheduler)
    slotkit.fill(scheduler, 2, slotkit.item)
    assert slotkit.kinds(reconciler.on_holder_report("h", [], [], 0.1)) == []
    assert len(scheduler.leases) == 2
    reconciler.on_holder_report(
        "h", [], [], slot_reconciler.GRANT_DELIVERY_S + 0.1
    )
    assert not scheduler.leases


def test_the_slots_of_a_lost_host_are_freed():
    # Its slots are freed once engines report that its requests have ended.
    scheduler = slotkit.scheduler_of()
    reconciler = slot_reconciler.SlotReconciler(scheduler)
    slotkit.fill(scheduler, 4)
    decisions = reconciler.forget("h", 0.01)
    other = msgspec.structs.replace(slotkit.online("o", 0.02), holder="other")
    decisions += scheduler.ask(other, 0.02)
    assert decisions == []
    assert not scheduler.leases
    decisions += reconciler.on_engine_report("e0", 0, 0.03, False)
    assert slotkit.kinds(decisions) == [("Grant", "o")]
    assert all(le.want.holder == "other" for le in scheduler.leases.values())
    reconciler.on_engine_report("e1", 0, 0.03, False)
    assert scheduler.free_slots(0.03) == 3


# Orphaned leases.


@pytest.mark.parametrize(
    ("running", "free"),
    [
        # It still runs the requests of the lost host.
        (2, 0),
        (1, 1),
        (0, 2),
        # A delayed report also counts requests that have ended since.
        (9, 0),
    ],
)
def test_an_engine_gives_out_no_slot_that_a_lost_host_still_holds(
    running, free
):
    # The host has lost power: no connection is closed, so the engine runs on.
    # A request granted such a slot would queue inside the engine.
    scheduler = slotkit.scheduler_of(engines=1, slots=2)
    reconciler = slot_reconciler.SlotReconciler(scheduler)
    slotkit.fill(scheduler, 2, slotkit.item)
    reconciler.forget("h", 4.0)
    assert scheduler.free_slots(4.0) == 0
    reconciler.on_engine_report("e0", running, 4.1, False)
    assert scheduler.free_slots(4.1) == free


def test_requests_a_new_coordinator_never_knew_count_as_well():
    scheduler = slotkit.scheduler_of(engines=2, slots=8)
    reconciler = slot_reconciler.SlotReconciler(scheduler)
    reconciler.on_engine_report("e0", 5, 0.0, True)
    assert scheduler.free_slots(0.0) == 11
    # Requests granted here are not counted as orphaned.
    slotkit.fill(scheduler, 10)
    at_e0 = scheduler.used["e0"] - 5
    assert at_e0
    reconciler.on_engine_report("e0", 5 + at_e0, 0.3, False)
    assert scheduler.used["e0"] == 5 + at_e0
    reconciler.on_engine_report("e0", at_e0, 0.6, False)
    assert scheduler.used["e0"] == at_e0
    assert not scheduler.accounting.orphaned


def test_requests_that_a_holder_reports_count_once():
    # A new coordinator polls the engines at once. Most requests there belong
    # to live hosts, which report them some milliseconds later; if they counted
    # twice, no slot would be free.
    scheduler = slotkit.scheduler_of(engines=1, slots=8)
    reconciler = slot_reconciler.SlotReconciler(scheduler)
    reconciler.on_engine_report("e0", 5, 0.0, True)
    leases = [
        slot_scheduler.Lease(slotkit.online(f"q{n}"), "e0", -0.3)
        for n in range(4)
    ]
    reconciler.on_holder_report("h", leases, [], 0.01)
    assert scheduler.used["e0"] == 5
    assert scheduler.accounting.orphaned.count("e0") == 1
    reconciler.on_engine_report("e0", 4, 0.3, False)
    assert scheduler.free_slots(0.3) == 4


def test_orphaned_leases_expire_without_a_report():
    scheduler = slotkit.scheduler_of(engines=1, slots=2)
    reconciler = slot_reconciler.SlotReconciler(scheduler)
    slotkit.fill(scheduler, 2, slotkit.item)
    reconciler.forget("h", 4.0)
    reconciler.expire_orphaned(4.0 + orphaned_leases.MAX_ORPHAN_S - 0.1)
    assert scheduler.free_slots(13.0) == 0
    reconciler.expire_orphaned(4.0 + orphaned_leases.MAX_ORPHAN_S)
    assert scheduler.free_slots(13.0) == 2
    assert not scheduler.used


def test_a_lease_missing_from_the_report_of_its_holder_is_orphaned():
    # Its end was lost, or the holder has restarted after a power loss and the
    # request still runs. Only the engine's report can tell.
    scheduler = slotkit.scheduler_of(engines=1, slots=2)
    reconciler = slot_reconciler.SlotReconciler(scheduler)
    slotkit.fill(scheduler, 2, slotkit.item)
    reconciler.on_holder_report("h", [], [], 1.0)
    assert not scheduler.leases
    assert scheduler.free_slots(1.0) == 0
    reconciler.on_engine_report("e0", 0, 1.01, False)
    assert scheduler.free_slots(1.01) == 2


def test_a_former_incarnation_of_an_engine_holds_no_slots():
    scheduler = slotkit.scheduler_of(engines=1, slots=2)
    reconciler = slot_reconciler.SlotReconciler(scheduler)
    slotkit.fill(scheduler, 2, slotkit.item)
    scheduler.set_engines([slot_scheduler.EngineSlots("e0~2", 2)], 1.0)
    reconciler.forget("h", 1.1)
    assert scheduler.free_slots(1.1) == 2
    assert not scheduler.used


# Revoked leases of holders that do not confirm.


def held_by(name, holder):
    """Return the request of a batch item of one host."""
    return msgspec.structs.replace(slotkit.item(name), holder=holder)


def test_a_holder_that_stops_its_item_may_be_preempted_again():
    scheduler = slotkit.scheduler_of(engines=1, slots=2)
    scheduler.ask(held_by("i0", "a"), 0.0)
    scheduler.ask(held_by("i1", "a"), 0.0)
    (revoked, _) = scheduler.ask(slotkit.online("q0", 1.0), 1.0)
    scheduler.done(revoked.want.id, Outcome.NOTHING, 1.004)
    assert scheduler.decide(1.0 + revocations.CONFIRM_TIMEOUT_S) == []
    assert (
        slotkit.kinds(scheduler.ask(slotkit.online("q1", 1.1), 1.1))[0][0]
        == "Revoke"
    )
    assert scheduler.used == {"e0": 2}


def test_a_holder_that_lost_power_gives_no_slots():
    # Host a has lost power, which takes seconds to detect, and the engine runs
    # on: an online request that is granted the slot of its item queues inside
    # the engine. After one such request, items of other hosts are preempted,
    # and the report of the engine sets the slots in use.
    scheduler = slotkit.scheduler_of(engines=1, slots=4)
    reconciler = slot_reconciler.SlotReconciler(scheduler)
    for number, holder in enumerate("aaab"):
        scheduler.ask(held_by(f"i{number}", holder), 0.0)
    (revoked, _) = scheduler.ask(slotkit.online("q0", 1.0), 1.0)
    assert revoked.want.holder == "a"
    expiry_at = scheduler.next_decision_at(1.0)
    assert expiry_at == pytest.approx(1.0 + revocations.CONFIRM_TIMEOUT_S)
    scheduler.decide(expiry_at)
    assert scheduler.used == {"e0": 5}
    (revoked, _) = scheduler.ask(slotkit.online("q1", 1.2), 1.2)
    assert revoked.want.holder == "b"
    scheduler.done(revoked.want.id, Outcome.NOTHING, 1.204)
    assert "Grant" not in [
        k
        for k, _ in slotkit.kinds(
            scheduler.ask(slotkit.online("q2", 1.3), 1.3)
        )
    ]
    reconciler.on_engine_report("e0", 5, 1.4, False)
    assert scheduler.used == {"e0": 5}


def test_a_holder_that_responds_again_may_be_preempted_again():
    scheduler = slotkit.scheduler_of(engines=1, slots=2)
    reconciler = slot_reconciler.SlotReconciler(scheduler)
    wants = [held_by("i0", "a"), held_by("i1", "a")]
    for want in wants:
        scheduler.ask(want, 0.0)
    scheduler.ask(slotkit.online("q0", 1.0), 1.0)
    scheduler.decide(1.1)
    assert scheduler.accounting.revocations.unresponsive == {"a"}
    left = [
        lease for lease in scheduler.leases.values() if not lease.want.online
    ]
    reconciler.on_holder_report("a", left, [], 1.2)
    assert not scheduler.accounting.revocations.unresponsive


def test_a_holder_that_is_slow_to_confirm_is_preempted_last():
    scheduler = slotkit.scheduler_of(engines=1, slots=4)
    for number, holder in enumerate("aaab"):
        scheduler.ask(held_by(f"i{number}", holder), 0.0)
    (first, _) = scheduler.ask(slotkit.online("q0", 1.0), 1.0)
    late = 1.0 + 2 * revocations.SLOW_CONFIRM_S
    (second, _) = scheduler.ask(slotkit.online("q1", late), late)
    (third, _) = scheduler.ask(slotkit.online("q2", late), late)
    holders = [d.want.holder for d in (first, second, third)]
    assert holders == ["a", "b", "a"]


@pytest.mark.parametrize("lost", ["report", "revocation"])
def test_a_late_end_frees_the_slot_of_an_orphaned_lease(lost):
    """A slot stayed in use until its engine was polled, or for 8 s."""
    scheduler = slotkit.scheduler_of(engines=1, slots=2)
    reconciler = slot_reconciler.SlotReconciler(scheduler)
    slotkit.fill(scheduler, 2, slotkit.item)
    if lost == "report":
        # The holder has not read the grant yet and reports another lease.
        held = scheduler.leases["item1"]
        reconciler.on_holder_report("h", [held], [], 1.0)
    else:
        # The holder stops its item only after the timeout to confirm.
        scheduler.ask(slotkit.online("q"), 1.0)
        scheduler.decide(1.0 + revocations.CONFIRM_TIMEOUT_S)
    assert scheduler.accounting.orphaned.count("e0") == 1
    (late,) = {"item0", "item1"} - scheduler.leases.keys()
    used = scheduler.used["e0"]
    scheduler.done(late, enginehealth.Outcome.NOTHING, 2.0)
    assert not scheduler.accounting.orphaned
    assert scheduler.used["e0"] == used - 1
    # A repeated end frees nothing.
    scheduler.done(late, enginehealth.Outcome.NOTHING, 2.0)
    assert scheduler.used["e0"] == used - 1


def test_a_late_end_frees_no_slot_that_its_engine_has_reported_free():
    """One of two orphaned leases had ended; both slots were granted."""
    scheduler = slotkit.scheduler_of(engines=1, slots=2)
    reconciler = slot_reconciler.SlotReconciler(scheduler)
    slotkit.fill(scheduler, 2, slotkit.item)
    reconciler.on_holder_report("h", [], [], 1.0)
    reconciler.on_engine_report("e0", 1, 1.1, False)
    scheduler.done("item0", enginehealth.Outcome.NOTHING, 1.2)
    assert scheduler.accounting.orphaned.count("e0") == 1
