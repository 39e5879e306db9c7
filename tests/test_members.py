"""Tests of entries and of the rings of hosts."""

import random
import types

import logbook
import pytest

from camphortray import members
from camphortray import membership
from camphortray import ring


def entry(incarnation, status, name="h/entry"):
    return members.Member(
        name, incarnation, members.Status(status), "z", "10.0.0.1:1", ""
    )


@pytest.mark.parametrize(
    ("held", "heard", "newer"),
    [
        (None, (1, "alive"), True),
        (None, (1, "leaving"), True),
        (None, (9, "dead"), False),
        ((2, "alive"), (2, "alive"), False),
        ((2, "alive"), (2, "suspect"), True),
        ((2, "suspect"), (2, "alive"), False),
        ((2, "leaving"), (2, "suspect"), False),
        ((2, "dead"), (2, "leaving"), False),
        ((2, "dead"), (3, "alive"), True),
        ((2, "dead"), (1, "dead"), False),
    ],
)
def test_a_later_word_wins_and_a_stranger_is_not_mourned(held, heard, newer):
    directory = members.Directory()
    if held:
        directory.put(entry(*held), 0.0)
    assert directory.newer(entry(*heard)) == newer


def test_digests_depend_on_what_is_held_and_not_on_the_way_there():
    rng = random.Random(2)
    words = [
        entry(n, status, f"h{k}/entry")
        for k in range(20)
        for n in (1, 2)
        for status in members.Status
    ]
    buckets = []
    for _ in range(3):
        rng.shuffle(words)
        directory = members.Directory()
        for k in range(20):
            directory.put(entry(0, "alive", f"h{k}/entry"), 0.0)
        for word in words:
            if directory.newer(word):
                directory.put(word, 1.0)
        directory.put(entry(3, "alive", "h5/entry"), 1.0)
        assert [m.name for m in directory.present()] == ["h5/entry"]
        buckets.append(directory.buckets)
        gone = directory.prune(members.TOMBSTONE_S + 2)
        assert len(gone) == 19 and set(directory.by_host) == {"h5"}
    assert buckets[0] == buckets[1] == buckets[2]


def test_rings_kept_up_to_date_equal_rings_made_anew():
    rng = random.Random(4)
    kept = ring.Ring(3)
    hosts = set()
    for step in range(200):
        if hosts and rng.random() < 0.4:
            host = rng.choice(sorted(hosts))
            hosts.discard(host)
            kept.remove(host)
        else:
            hosts.add(f"h{step}")
            kept.add(f"h{step}")
    anew = ring.Ring(3)
    for host in sorted(hosts):
        anew.add(host)
    assert kept.tops == anew.tops
    for host in hosts:
        assert all(host in kept.neighbours(t) for t in kept.watched_by(host))


@pytest.mark.parametrize(
    ("dead", "lines"),
    [
        (0, []),
        (1, ["h0/host is dead."]),
        (2, ["2 members are dead: h0/host, h1/host."]),
        (
            90,
            [
                "90 members are dead: h0/host, h1/host, h2/host, h3/host,"
                " h4/host, h5/host, h6/host, h7/host and 82 more."
            ],
        ),
    ],
)
def test_many_members_that_end_together_are_one_line(dead, lines):
    """Guards against logs that grow with the square of the fleet."""
    part = membership.Membership.__new__(membership.Membership)
    part.own_name, part.listeners, part.changed = "h/host", [], {}
    part.links = types.SimpleNamespace(forget=lambda address: None)
    part.node = types.SimpleNamespace(
        known=types.SimpleNamespace(replaced=False)
    )
    with logbook.TestHandler(level=logbook.INFO) as seen:
        for number in range(dead):
            part.notify_member(entry(1, "dead", f"h{number}/host"))
        part.notify_member(entry(1, "alive", "alive/host"))
        part.log_changes()
        part.log_changes()
    assert [record.message for record in seen.records] == lines
