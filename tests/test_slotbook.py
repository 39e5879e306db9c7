"""Who gets a slot, who waits, who is refused, and what gives way."""

import dataclasses

import pytest

from camphortray import enginehealth
from camphortray import errors
from camphortray import orphans
from camphortray import recalls
from camphortray import slotbook

Grant, Refuse, Revoke = slotbook.Grant, slotbook.Refuse, slotbook.Revoke
Outcome = enginehealth.Outcome


def book_of(engines=2, slots=2):
    """Return a book of some engines."""
    book = slotbook.SlotBook()
    book.set_engines(
        [slotbook.EngineSlots(f"e{n}", slots) for n in range(engines)], 0.0
    )
    return book


def online(name, at=0.0, **fields):
    """Return the want of a question."""
    given = {"objective_s": 0.3, "left_s": 5.0, **fields}
    return slotbook.Want(name, "h", True, asked_at=at, **given)


def item(name, due_at=18.0, work_s=4.8, **fields):
    """Return the want of a batch item."""
    return slotbook.Want(
        name, "h", False, due_at=due_at, work_s=work_s, **fields
    )


def kinds(decisions):
    """Return kind and id of each decision."""
    return [(type(d).__name__, d.want.id) for d in decisions]


def fill(book, count, make=online, now=0.0):
    """Take some slots."""
    for number in range(count):
        book.ask(make(f"{make.__name__}{number}"), now)


def test_never_more_in_flight_than_slots_over_all_hosts():
    book = book_of(engines=3, slots=2)
    fill(book, 20)
    used = [lease.engine for lease in book.leases.values()]
    assert sorted(used) == ["e0", "e0", "e1", "e1", "e2", "e2"]


def test_a_question_takes_the_slot_of_an_item_at_once():
    # All slots run batch items when a question comes. Queued in an engine
    # it would wait seconds behind them; an item gives way instead, and
    # the question goes to that engine.
    book = book_of()
    fill(book, 4, item)
    decisions = book.ask(online("q"), 1.0)
    assert kinds(decisions)[0][0] == "Revoke"
    assert kinds(decisions)[1:] == [("Grant", "q")]
    assert len(book.leases) == 4


@pytest.mark.parametrize(
    ("dues", "gives_way"),
    [
        # Most time to spare.
        ((8.0, 30.0), "i1"),
        # Cannot be done in time any more, so nothing is lost with it.
        ((2.0, 30.0), "i0"),
    ],
)
def test_the_item_that_loses_least_gives_way(dues, gives_way):
    book = book_of(engines=1, slots=2)
    for number, due_at in enumerate(dues):
        book.ask(item(f"i{number}", due_at), 0.0)
    decisions = book.ask(online("q"), 0.1)
    assert kinds(decisions)[0] == ("Revoke", gives_way)


def test_a_question_is_refused_at_once_when_its_turn_comes_too_late():
    # Twenty questions wait for four slots of 0.7 s each. The later ones
    # would wait longer than their objective: told so at once, their
    # callers come back while others are being served.
    book = book_of()
    fill(book, 4)
    answers = [book.ask(online(f"w{n}", 0.0), 0.0) for n in range(20)]
    refused = [d for told in answers for d in told if isinstance(d, Refuse)]
    assert len(book.queue) <= 1
    assert len(refused) >= 19
    assert all(0 < d.retry_after_s <= 5.0 / 3 for d in refused)
    assert len({d.retry_after_s for d in refused}) > 10


def test_no_refusal_while_a_place_is_free():
    book = book_of(engines=2, slots=8)
    for number in range(16):
        (decision,) = book.ask(online(f"q{number}"), 0.0)
        assert isinstance(decision, Grant)


def test_a_queued_question_gets_the_next_slot_before_any_item():
    book = book_of(engines=1, slots=8)
    fill(book, 8)
    assert book.ask(online("q", 0.0), 0.0) == []
    book.ask(item("i"), 0.0)
    decisions = book.done("online0", Outcome.GOOD, 0.05)
    assert kinds(decisions) == [("Grant", "q")]


def test_a_queued_question_is_refused_when_its_patience_is_over():
    book = book_of(engines=1, slots=8)
    fill(book, 8)
    book.ask(online("q", 0.0), 0.0)
    at = book.next_look(0.0)
    assert at == pytest.approx(0.3 * slotbook.PATIENCE)
    assert kinds(book.decide(at + 0.001)) == [("Refuse", "q")]


def test_the_higher_rank_waits_before_the_lower():
    book = book_of(engines=1, slots=8)
    fill(book, 8)
    book.ask(online("low", 0.0, priority=1), 0.0)
    book.ask(online("high", 0.01, priority=0), 0.01)
    assert kinds(book.done("online0", Outcome.GOOD, 0.02)) == [
        ("Grant", "high")
    ]


def test_items_that_can_be_in_time_go_first_the_next_due_before_others():
    book = book_of(engines=1, slots=1)
    fill(book, 1)
    for name, due_at in (("late", 3.0), ("b", 20.0), ("a", 12.0)):
        book.ask(item(name, due_at), 0.0)
    order = []
    name = "online0"
    for _ in range(3):
        ((_, name),) = kinds(book.done(name, Outcome.GOOD, 0.1))
        order.append(name)
    assert order == ["a", "b", "late"]


@pytest.mark.parametrize(
    ("outcomes", "open_again_s"),
    [
        ([Outcome.FULL], enginehealth.FULL_S),
        ([Outcome.UNREACHED], enginehealth.UNREACHED_S),
        ([Outcome.BROKEN], 0.0),
        ([Outcome.BROKEN] * 3, enginehealth.UNREACHED_S),
        ([Outcome.NOTHING], 0.0),
    ],
)
def test_what_an_engine_is_put_aside_for(outcomes, open_again_s):
    # One answer that breaks off may be the fault of its request or of the
    # way; an engine that cannot be reached takes nothing for a while.
    book = book_of(engines=1, slots=4)
    for number, outcome in enumerate(outcomes):
        book.ask(online(f"q{number}"), 0.0)
        book.done(f"q{number}", outcome, 0.0)
    assert bool(book.room("e0", 0.0)) == (open_again_s == 0.0)
    assert book.room("e0", open_again_s) > 0


def test_an_engine_that_was_out_of_reach_is_tried_with_one_request():
    book = book_of(engines=1, slots=8)
    book.ask(online("q"), 0.0)
    book.done("q", Outcome.UNREACHED, 0.0)
    later = enginehealth.UNREACHED_S
    assert kinds(book.ask(online("a", later), later)) == [("Grant", "a")]
    assert book.free_slots(later) == 0
    book.done("a", Outcome.GOOD, later)
    assert book.free_slots(later) == 8


def test_pauses_double_while_an_engine_stays_out_of_reach():
    book = book_of(engines=1)
    now = 0.0
    for pause_s in (0.5, 1.0, 2.0, 4.0, 4.0):
        book.ask(online("q", now), now)
        book.done("q", Outcome.UNREACHED, now)
        assert book.room("e0", now + pause_s - 0.01) == 0
        now += pause_s
        assert book.room("e0", now) == 1


def test_an_engine_that_failed_a_request_is_avoided_by_it():
    book = book_of(engines=2, slots=2)
    (decision,) = book.ask(online("q", avoid=frozenset({"e1"})), 0.0)
    assert decision.engine == "e0"


def test_requests_of_one_prefix_meet_while_there_is_room():
    book = book_of(engines=4, slots=4)
    engines = set()
    for number in range(4):
        (decision,) = book.ask(online(f"q{number}", prefix="p"), 0.0)
        engines.add(decision.engine)
    assert len(engines) == 1
    (decision,) = book.ask(online("more", prefix="p"), 0.0)
    assert decision.engine not in engines


def test_a_report_teaches_a_new_coordinator_what_runs():
    # The coordinator is killed; its holders turn to the next host, which
    # knows nothing. Without their reports it would fill the engines twice.
    old, new = book_of(), book_of()
    fill(old, 3, item)
    new.report("h", old.leases.values(), [], 5.0)
    assert new.used == old.used
    assert new.free_slots(5.0) == 1


def test_a_report_heals_what_was_lost_on_the_way():
    # The end of a lease was lost: its slot would stay taken for ever. A
    # grant on its way to its holder is no such loss.
    book = book_of()
    fill(book, 2, item)
    assert kinds(book.report("h", [], [], 0.1)) == []
    assert len(book.leases) == 2
    book.report("h", [], [], slotbook.GRANT_WAY_S + 0.1)
    assert not book.leases


def test_a_lost_grant_is_told_again():
    book = book_of()
    want = online("q")
    (first,) = book.ask(want, 0.0)
    (again,) = book.ask(want, 0.2)
    assert first == again
    assert len(book.leases) == 1


def test_a_host_that_is_gone_gives_all_back():
    # As soon as its engines say that they run nothing of it any more.
    book = book_of()
    fill(book, 4)
    decisions = book.forget("h", 0.01)
    other = dataclasses.replace(online("o", 0.02), holder="other")
    decisions += book.ask(other, 0.02)
    assert decisions == []
    assert not book.leases
    decisions += book.reported("e0", 0, 0.03, False)
    assert kinds(decisions) == [("Grant", "o")]
    assert all(le.want.holder == "other" for le in book.leases.values())
    book.reported("e1", 0, 0.03, False)
    assert book.free_slots(0.03) == 3


def test_without_any_engine_a_question_is_refused():
    book = slotbook.SlotBook()
    ((kind, _),) = kinds(book.ask(online("q"), 0.0))
    assert kind == "Refuse"


def test_a_share_leaves_each_engine_one_slot_at_least():
    book = book_of(engines=2, slots=8)
    book.set_share(0.05)
    fill(book, 10)
    assert sorted(book.used.values()) == [1, 1]


@pytest.mark.parametrize(
    ("error", "outcome"),
    [
        (
            errors.UpstreamRefused("full", status=503, ran=False),
            Outcome.FULL,
        ),
        (errors.UpstreamRefused("own", status=500, ran=True), Outcome.GOOD),
        (errors.UpstreamBroken("cut", ran=True), Outcome.BROKEN),
        (errors.UpstreamTimeout("no way", ran=False), Outcome.UNREACHED),
    ],
)
def test_what_a_failure_says_of_its_engine(error, outcome):
    assert enginehealth.outcome_of(error) is outcome


@pytest.mark.parametrize("prefix", ["", "p"])
def test_an_engine_in_the_askers_zone_goes_before_others_while_it_has_room(
    prefix,
):
    book = slotbook.SlotBook()
    zones = ("a", "b", "c")
    book.set_engines(
        [slotbook.EngineSlots(f"e-{zone}", 2, zone) for zone in zones], 0.0
    )
    found = []
    for number in range(3):
        want = online(f"q{number}", zone="b", prefix=prefix)
        (decision,) = book.ask(want, 0.0)
        found.append(decision.engine)
    assert found[:2] == ["e-b", "e-b"]
    assert found[2] != "e-b"


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
    book = book_of(engines=1, slots=2)
    fill(book, 2, item)
    book.forget("h", 4.0)
    assert book.free_slots(4.0) == 0
    book.reported("e0", running, 4.1, False)
    assert book.free_slots(4.1) == free


def test_what_a_new_book_never_knew_counts_as_well():
    book = book_of(engines=2, slots=8)
    book.reported("e0", 5, 0.0, True)
    assert book.free_slots(0.0) == 11
    # Its own grants are none of them.
    fill(book, 10)
    at_e0 = book.used["e0"] - 5
    assert at_e0
    book.reported("e0", 5 + at_e0, 0.3, False)
    assert book.used["e0"] == 5 + at_e0
    book.reported("e0", at_e0, 0.6, False)
    assert book.used["e0"] == at_e0
    assert not book.orphans


def test_runs_of_holders_that_tell_of_them_count_once():
    # The coordinator is lost, and the next one asks the engines at once.
    # What it finds there is mostly of hosts that are there, and tell of it
    # some milliseconds later; counted twice, no slot would be free.
    book = book_of(engines=1, slots=8)
    book.reported("e0", 5, 0.0, True)
    leases = [slotbook.Lease(online(f"q{n}"), "e0", -0.3) for n in range(4)]
    book.report("h", leases, [], 0.01)
    assert book.used["e0"] == 5
    assert book.orphans.count("e0") == 1
    book.reported("e0", 4, 0.3, False)
    assert book.free_slots(0.3) == 4


def test_runs_without_a_holder_end_where_no_report_comes():
    book = book_of(engines=1, slots=2)
    fill(book, 2, item)
    book.forget("h", 4.0)
    book.expire_orphans(4.0 + orphans.LONGEST_S - 0.1)
    assert book.free_slots(13.0) == 0
    book.expire_orphans(4.0 + orphans.LONGEST_S)
    assert book.free_slots(13.0) == 2
    assert not book.used


def test_a_lease_that_its_holder_no_longer_names_waits_for_a_report():
    # Either its end was lost on the way, or the holder has started again
    # after a loss of power. The engine knows.
    book = book_of(engines=1, slots=2)
    fill(book, 2, item)
    book.report("h", [], [], 1.0)
    assert not book.leases
    assert book.free_slots(1.0) == 0
    book.reported("e0", 0, 1.01, False)
    assert book.free_slots(1.01) == 2


def test_a_life_that_is_over_holds_no_slots():
    book = book_of(engines=1, slots=2)
    fill(book, 2, item)
    book.set_engines([slotbook.EngineSlots("e0~2", 2)], 1.0)
    book.forget("h", 1.1)
    assert book.free_slots(1.1) == 2
    assert not book.used


# Slots taken back from holders that do not answer.


def held_by(name, holder):
    """Return the want of a host's item."""
    return dataclasses.replace(item(name), holder=holder)


def test_a_holder_that_stops_its_item_is_asked_again():
    book = book_of(engines=1, slots=2)
    book.ask(held_by("i0", "a"), 0.0)
    book.ask(held_by("i1", "a"), 0.0)
    (revoked, _) = book.ask(online("q0", 1.0), 1.0)
    book.done(revoked.want.id, Outcome.NOTHING, 1.004)
    assert book.decide(1.0 + recalls.CONFIRM_S) == []
    assert kinds(book.ask(online("q1", 1.1), 1.1))[0][0] == "Revoke"
    assert book.used == {"e0": 2}


def test_a_holder_that_lost_power_gives_no_slots():
    # Host a has lost power; that is known in some seconds. Its engine runs
    # on, so a question that takes its item's slot waits inside the engine.
    # One does, then the items of others give way, and as many slots as the
    # engine says it has are given out.
    book = book_of(engines=1, slots=4)
    for number, holder in enumerate("aaab"):
        book.ask(held_by(f"i{number}", holder), 0.0)
    (revoked, _) = book.ask(online("q0", 1.0), 1.0)
    assert revoked.want.holder == "a"
    look = book.next_look(1.0)
    assert look == pytest.approx(1.0 + recalls.CONFIRM_S)
    book.decide(look)
    assert book.used == {"e0": 5}
    (revoked, _) = book.ask(online("q1", 1.2), 1.2)
    assert revoked.want.holder == "b"
    book.done(revoked.want.id, Outcome.NOTHING, 1.204)
    assert "Grant" not in [
        k for k, _ in kinds(book.ask(online("q2", 1.3), 1.3))
    ]
    book.reported("e0", 5, 1.4, False)
    assert book.used == {"e0": 5}


def test_a_holder_that_is_heard_of_gives_slots_again():
    book = book_of(engines=1, slots=2)
    wants = [held_by("i0", "a"), held_by("i1", "a")]
    for want in wants:
        book.ask(want, 0.0)
    book.ask(online("q0", 1.0), 1.0)
    book.decide(1.1)
    assert book.recalls.silent == {"a"}
    left = [lease for lease in book.leases.values() if not lease.want.online]
    book.report("a", left, [], 1.2)
    assert not book.recalls.silent


def test_a_holder_that_is_slow_to_answer_is_asked_last():
    book = book_of(engines=1, slots=4)
    for number, holder in enumerate("aaab"):
        book.ask(held_by(f"i{number}", holder), 0.0)
    (first, _) = book.ask(online("q0", 1.0), 1.0)
    late = 1.0 + 2 * recalls.ANSWER_S
    (second, _) = book.ask(online("q1", late), late)
    (third, _) = book.ask(online("q2", late), late)
    holders = [d.want.holder for d in (first, second, third)]
    assert holders == ["a", "b", "a"]
