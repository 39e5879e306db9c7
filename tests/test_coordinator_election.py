"""Who coordinates a service, as one host sees it."""

import dataclasses
import random

import pytest

from camphortray import coordinator_election
from camphortray import members
from camphortray import shards
from camphortray import slottable

NAMES = [f"h{n}/host" for n in range(4)]
SERVICE = "s"
MEMBER = members.Member("m/host", 1, members.Status.ALIVE, "z", "", "")
FIRST, SECOND, THIRD, LAST = shards.rank(f"slots/{SERVICE}", NAMES)


def live_members():
    """Return the members of some hosts, by name."""
    alive = members.Status.ALIVE
    return {
        name: members.Member(name, 1, alive, "z", "10.0.0.1:1", "10.0.0.1:2")
        for name in NAMES
    }


def seen_by(own_name, live):
    """Return the coordinators as one host sees them, and what has changed."""
    seen = coordinator_election.CoordinatorElection(
        own_name, lambda: list(live.values())
    )
    changed = []
    seen.on_change = changed.append
    return seen, changed


@pytest.mark.parametrize(
    ("changes", "others_see", "it_sees"),
    [
        ({}, FIRST, FIRST),
        # It may be lost: requests would wait for its word.
        ({"status": members.Status.SUSPECT}, SECOND, FIRST),
        # It starts, and cannot ask engines yet.
        ({"http_address": ""}, SECOND, FIRST),
    ],
)
def test_a_host_that_may_not_answer_is_asked_by_itself_only(
    changes, others_see, it_sees
):
    live = live_members()
    live[FIRST] = dataclasses.replace(live[FIRST], **changes)
    assert seen_by(LAST, live)[0].coordinator(SERVICE, 0.0) == others_see
    assert seen_by(FIRST, live)[0].coordinator(SERVICE, 0.0) == it_sees


def test_a_silent_coordinator_is_passed_over_for_a_while():
    seen, changed = seen_by(LAST, live_members())
    assert seen.coordinator(SERVICE, 0.0) == FIRST
    seen.exclude(FIRST, 1.0)
    assert seen.coordinator(SERVICE, 1.0) == SECOND
    seen.exclude(SECOND, 1.5)
    assert seen.coordinator(SERVICE, 1.5) == THIRD
    seen.readmit(1.0 + coordinator_election.EXCLUDED_S - 0.01)
    assert seen.coordinator(SERVICE, 2.99) == THIRD
    seen.readmit(1.0 + coordinator_election.EXCLUDED_S)
    assert seen.coordinator(SERVICE, 3.0) == FIRST
    assert changed == [SERVICE] * 3


def test_a_service_turns_only_if_its_coordinator_is_another():
    live = live_members()
    seen, changed = seen_by(LAST, live)
    seen.coordinator(SERVICE, 0.0)
    live.pop(THIRD)
    seen.re_elect(1.0)
    assert not changed
    live.pop(FIRST)
    seen.re_elect(2.0)
    assert changed == [SERVICE]
    assert seen.known == {SERVICE: SECOND}


@pytest.mark.parametrize(
    ("own_name", "holders", "share"),
    [
        (FIRST, 0, 1.0),
        # One and a half times an even share for each that has failed over.
        (SECOND, 0, 0.375),
        (SECOND, 1, 0.75),
        (SECOND, 2, 1.0),
    ],
)
def test_what_a_host_gives_out_that_was_not_to_coordinate(
    own_name, holders, share
):
    seen, _ = seen_by(own_name, live_members())
    assert seen.share_of(SERVICE, holders, 0.0) == share


@pytest.mark.parametrize(
    ("excluded", "holders", "share"),
    [
        ((), 1, 0.75),
        # It alone cannot reach the first, which may grant all slots.
        ((FIRST,), 0, 0.375),
        ((FIRST,), 1, 1.0),
        ((SECOND,), 1, 0.75),
    ],
)
def test_a_successor_grants_all_slots_once_two_cannot_reach_the_first(
    excluded, holders, share
):
    """Requests waited for slots of which a new coordinator granted a few."""
    seen, _ = seen_by(SECOND, live_members())
    for name in excluded:
        seen.exclude(name, 0.0)
    assert seen.share_of(SERVICE, holders, 0.1) == share
    later = coordinator_election.EXCLUDED_S
    assert seen.share_of(SERVICE, 1, later) == 0.75


def test_a_confirmed_exclusion_is_not_cut_short():
    seen, _ = seen_by(THIRD, live_members())
    seen.exclude(FIRST, 0.0, coordinator_election.CONFIRMED_S)
    seen.exclude(FIRST, 1.0)
    seen.readmit(1.0 + coordinator_election.EXCLUDED_S)
    assert seen.coordinator(SERVICE, 4.0) == SECOND
    seen.readmit(coordinator_election.CONFIRMED_S)
    assert seen.coordinator(SERVICE, 6.0) == FIRST


@pytest.mark.parametrize("hosts", [9, 195, 390])
def test_after_a_loss_of_all_hosts_engines_are_not_granted_many_times(hosts):
    """Each host knew only itself for a moment and granted every slot."""
    names = {f"host-{n}/host" for n in range(hosts)}
    engines = [slottable.EngineSlots(f"e{n}", 7) for n in range(31)]
    granted = 0
    for name in names:
        alone = [dataclasses.replace(MEMBER, name=name)]
        seen = coordinator_election.CoordinatorElection(
            name, lambda alone=alone: alone, lambda: names
        )
        table = slottable.SlotTable(salt=name)
        table.set_engines(engines)
        table.share = seen.share_of(SERVICE, 0, 0.0)
        slots = table.free_slots(0.0)
        assert slots >= slottable.MIN_SINGLE_ENGINES
        granted += slots
    # The one that coordinates grants them all; the others what serves a
    # request or two of their own.
    total = 31 * 7
    assert granted - total <= max(
        hosts * slottable.MIN_SINGLE_ENGINES, 2.5 * total
    )


@pytest.mark.parametrize("seed", range(5))
def test_a_change_of_one_member_elects_as_a_look_at_all_does(seed):
    """A coordinator that came or went was not noticed by its change alone."""
    rng = random.Random(seed)
    live = {}
    seen, changed = seen_by(LAST, live)
    own = dataclasses.replace(MEMBER, name=LAST)
    live[LAST] = own
    seen.coordinator(SERVICE, 0.0)
    for _ in range(200):
        name = rng.choice(NAMES)
        status = rng.choice(list(members.Status))
        address = rng.choice(["", "10.0.0.1:2"])
        member = dataclasses.replace(
            MEMBER, name=name, status=status, http_address=address
        )
        if status in (members.Status.ALIVE, members.Status.SUSPECT):
            live[name] = member
        elif name != LAST:
            live.pop(name, None)
        before = seen.known[SERVICE]
        changed.clear()
        seen.on_member(member, 0.0)
        found = seen.known[SERVICE]
        fresh, _ = seen_by(LAST, live)
        assert found == fresh.coordinator(SERVICE, 0.0)
        assert changed == ([SERVICE] if found != before else [])
