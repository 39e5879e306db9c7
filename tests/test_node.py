"""Failure tests of membership among pure nodes, in virtual time."""

import msgspec
import pytest

from camphortray import members
from tests import fakenet

LIVE = {"alive"}
DEAD = {"dead"}


def settled(**options):
    net = fakenet.FakeNet(**options)
    net.run(15)
    assert all(net.statuses(name) == LIVE for name in net.nodes)
    net.log.clear()
    return net


def others(net, *names):
    return [name for name in net.nodes if name not in names]


def test_all_find_each_other_and_stay_quiet():
    net = settled(hosts=12, programs=("entry", "batch"))
    assert len({node.known.digest for node in net.nodes.values()}) == 1
    for node in net.nodes.values():
        watchers = [
            n
            for n in net.nodes.values()
            if node.known.own.name in n.known.watch.due_at
        ]
        assert len({n.known.own.host for n in watchers}) == 3
    net.run(60)
    assert net.log == []


@pytest.mark.parametrize("hosts", [2, 3, 4, 12])
def test_a_lost_host_is_dead_everywhere(hosts):
    # Callers keep being sent to a host that is lost. Its watchers get no
    # answer, neither on the open link nor on a new one; two of them make
    # it suspected, nobody refutes, and it is dead for all within seconds.
    net = settled(hosts=hosts)
    net.kill("h1/entry")
    net.run(12)
    assert net.statuses("h1/entry") == DEAD
    # Gone for good it is only once the platform says so too; until then
    # what it owns is taken over by a challenge.
    node = net.nodes["h0/entry"]
    assert not node.known.is_gone("h1")
    node.note_list({"h1": "gone"}, [])
    assert node.known.is_gone("h1") and node.known.is_gone("h1/entry", 1)
    node.note_list({"h0": "gone"}, [])
    assert not node.known.is_gone("h0")


def test_a_silent_open_link_does_not_make_a_host_suspected():
    # All open links to one host go silent for good while new ones work.
    # The probes on them fail, those on new connections do not, and so
    # nobody ever holds the host for suspected.
    net = settled(hosts=6)
    net.blocked = lambda src, dst, fresh: dst == "h1/entry" and not fresh
    net.run(60)
    assert net.log == []


def test_one_way_loss_to_one_watcher_is_not_enough():
    # One watcher's packets to a host are lost for good, all else works.
    # It alone doubts; the other watchers look and see the host well.
    # Its doubt is told ever less often, so it does not cost for ever.
    net = settled(hosts=6)
    watcher = next(
        a for a, n in net.nodes.items() if "h1/entry" in n.known.watch.due_at
    )
    net.blocked = lambda src, dst, fresh: (src, dst) == (watcher, "h1/entry")
    net.run(60)
    assert net.statuses("h1/entry") == LIVE
    before = net.messages
    net.run(60)
    calm = net.messages - before
    net.blocked = lambda src, dst, fresh: False
    net.run(60)
    assert calm < 1.3 * (net.messages - before - calm)


@pytest.mark.parametrize("status", ["gone", "leaving"])
def test_one_watcher_and_the_list_are_enough(status):
    # As above, but the platform's list agrees with the one watcher. The
    # host is suspected, hears of it from others, and refutes.
    net = settled(hosts=6)
    watcher = next(
        a for a, n in net.nodes.items() if "h1/entry" in n.known.watch.due_at
    )
    net.blocked = lambda src, dst, fresh: (src, dst) == (watcher, "h1/entry")
    net.nodes[watcher].note_list({"h1": status}, [])
    net.run(20)
    seen = [s for _, _, name, s in net.log if name == "h1/entry"]
    assert members.Status.SUSPECT in seen
    assert net.statuses("h1/entry") == LIVE
    assert net.nodes["h1/entry"].known.own.incarnation > 1


@pytest.mark.parametrize("pause_s", [3, 30])
def test_a_paused_host_wakes_and_is_taken_back(pause_s):
    # A host stands still, for too short or long enough to be held for
    # dead. When it wakes, probes of its own look unanswered; it must not
    # take that for the loss of others. It hears what is said of it and
    # refutes with a higher incarnation.
    net = settled(hosts=12)
    net.pause("h1/entry")
    net.run(pause_s)
    expected = DEAD if pause_s == 30 else {"alive", "suspect"}
    assert net.statuses("h1/entry", others(net, "h1/entry")) <= expected
    net.wake("h1/entry")
    net.log.clear()
    net.run(10)
    assert all(net.statuses(name) == LIVE for name in net.nodes)
    assert {n for _, _, n, s in net.log if s != "alive"} <= {"h1/entry"}


@pytest.mark.parametrize("case", ["suspicion", "probe"])
def test_a_host_that_was_itself_paused_accuses_nobody(case):
    # A host is paused while it suspects another, or while the answer to
    # its last probe is on the way and lost. When it wakes, time is over by
    # its clock; but what it has not read yet may tell otherwise, so it
    # gives the others their time anew.
    net = settled(hosts=2 if case == "probe" else 6)
    node = net.nodes["h0/entry"]
    held = node.known.directory.members["h1/entry"]
    if case == "suspicion":
        suspect = msgspec.structs.replace(held, status=members.Status.SUSPECT)
        node.known.merge_member(suspect, net.now)
    else:
        net.blocked = lambda src, dst, fresh: src == "h1/entry"
        net.send("h0/entry", [node.probe("h1/entry", net.now, fresh=True)])
    net.pause("h0/entry")
    net.run(1.5 if case == "probe" else 10)
    net.blocked = lambda src, dst, fresh: False
    net.log.clear()
    net.wake("h0/entry")
    net.run(10)
    bad = {"suspect", "dead"} if case == "probe" else {"dead"}
    seen = {s for _, _, name, s in net.log if name == "h1/entry"}
    assert not seen & bad


def test_a_zone_cut_off_is_dead_outside_and_comes_back():
    # A zone loses all others. Outside, two watchers of each of its hosts
    # are there to hold it for dead; inside, the zone goes on telling
    # itself news. Once the cut heals all are alive again everywhere.
    net = settled(hosts=18)
    zone = {
        a
        for a, n in net.nodes.items()
        if n.known.own.availability_zone == "z1"
    }
    rest = set(net.nodes) - zone
    net.blocked = lambda src, dst, fresh: (src in zone) != (dst in zone)
    net.run(30)
    lost = sum(net.statuses(name, rest) == DEAD for name in zone)
    assert lost >= len(zone) / 2
    net.nodes[sorted(zone)[0]].publish("k", "x", 1, 600, net.now)
    net.run(2)
    assert all("k x" in net.nodes[a].known.facts.facts for a in zone)
    assert not any("k x" in net.nodes[a].known.facts.facts for a in rest)
    net.blocked = lambda src, dst, fresh: False
    net.run(40)
    assert all(net.statuses(name) == LIVE for name in net.nodes)
    assert all("k x" in n.known.facts.facts for n in net.nodes.values())


def test_two_halves_find_each_other_again():
    # A region is cut in two for minutes and each half holds hosts of the
    # other for dead, so that nobody probes across. Exchanges with dead
    # members, now and then, bring the halves together.
    net = settled(hosts=8, zones=2)
    half = {
        a
        for a, n in net.nodes.items()
        if n.known.own.availability_zone == "z1"
    }
    net.blocked = lambda src, dst, fresh: (src in half) != (dst in half)
    net.run(180)
    net.blocked = lambda src, dst, fresh: False
    net.run(400)
    assert all(net.statuses(name) == LIVE for name in net.nodes)


def test_a_leave_is_known_at_once_and_never_undone():
    # A host leaves; the platform's list, which lags, goes on calling it
    # live, and a member that was cut off still does. Neither brings it
    # back. When it ends nobody needs to find out by probing.
    net = settled(hosts=8)
    late = net.nodes["h5/entry"]
    net.pause("h5/entry")
    net.run(1)
    node = net.nodes["h1/entry"]
    node.leave(net.now)
    net.run(1)
    assert net.statuses("h1/entry", others(net, "h5/entry")) == {"leaving"}
    net.wake("h5/entry")
    late.note_list({"h1": "live"}, ["h1/entry"])
    net.run(10)
    assert net.statuses("h1/entry") == {"leaving"}
    net.send("h1/entry", node.end(net.now))
    net.run(0.01)
    net.kill("h1/entry")
    net.run(1)
    assert net.statuses("h1/entry") == DEAD
    assert late.known.is_gone("h1")
    late.note_list({"h1": "live"}, ["h1/entry"])
    net.run(70)
    assert net.statuses("h1/entry") == DEAD


@pytest.mark.parametrize("started", [2, 5])
def test_a_replacement_takes_the_name_over(started):
    # A host is lost and another one of the same name comes before anyone
    # has noticed, or while the old process still runs. All hold the new
    # entry, at its own address, and the old process gives way.
    net = settled(hosts=6)
    old = net.nodes["h1/entry"]
    if started == 2:
        net.kill("h1/entry")
    else:
        net.run(40)
    new = net.add("h1", "z1", started=started, seeds=["h0/entry"])
    net.run(20)
    assert net.statuses("h1/entry") == LIVE
    for node in net.nodes.values():
        held = node.known.directory.members["h1/entry"]
        assert held.peer_address == new.known.own.peer_address
    assert old.known.replaced == (started == 5)
    assert net.nodes["h0/entry"].known.is_gone("h1/entry", 1)
    assert not net.nodes["h0/entry"].known.is_gone("h1/entry", started)


def test_a_day_of_replacements_leaves_no_traces(monkeypatch):
    # Hosts come and go one after the other under new names. Nobody alive
    # is ever suspected, all agree in the end, and the dead are forgotten.
    monkeypatch.setattr(members, "TOMBSTONE_S", 200)
    net = settled(hosts=6)
    for number in range(10):
        gone = next(iter(net.nodes))
        net.kill(gone)
        net.add(f"n{number}", f"z{number % 3}", seeds=list(net.nodes)[:2])
        net.run(15)
    alive = {n.known.own.name for n in net.nodes.values()}
    for node in net.nodes.values():
        assert {m.name for m in node.known.directory.present()} == alive
    wrong = {n for _, _, n, s in net.log if s != "alive"} & alive
    assert wrong == set()
    net.run(members.TOMBSTONE_S + 70)
    for node in net.nodes.values():
        assert set(node.known.directory.members) == alive
        assert set(node.known.neighbours.ring.tops) == {
            a.split("/")[0] for a in alive
        }


@pytest.mark.parametrize("loss", [0.0, 0.2])
def test_a_fact_is_known_to_all_within_two_seconds(loss):
    # A request is put in quarantine and its caller sends it again to any
    # other host. With a fifth of all messages lost the fact comes by
    # other neighbours; what still misses it is repaired.
    net = settled(hosts=40, programs=("entry", "batch"))
    net.blocked = lambda src, dst, fresh: net.rng.random() < loss
    net.nodes["h7/entry"].publish("quarantine", "q", {"why": "x"}, 60, net.now)
    net.run(2)
    knows = [
        n for n in net.nodes.values() if "quarantine q" in n.known.facts.facts
    ]
    assert len(knows) == len(net.nodes)


def test_what_gossip_missed_is_repaired():
    # One host gets no news at all for a while, though its probes work.
    # Once news can pass it differs from its neighbours, and is mended
    # without anybody telling it again.
    net = settled(hosts=8)
    net.pause("h5/entry")
    net.nodes["h0/entry"].publish("k", "x", 1, 600, net.now)
    net.run(0.9)
    for held in net.paused["h5/entry"]:
        net.paused["h5/entry"] = [
            each for each in net.paused["h5/entry"] if each[0] != net.deliver
        ]
        del held
    net.wake("h5/entry")
    for node in net.nodes.values():
        node.known.gossip.pending.clear()
    net.run(15)
    assert "k x" in net.nodes["h5/entry"].known.facts.facts


def test_facts_expire_and_the_newest_wins():
    net = settled(hosts=4)
    a, b = net.nodes["h0/entry"], net.nodes["h1/entry"]
    a.publish("k", "x", "old", 30, net.now)
    b.publish("k", "x", "new", 30, net.now)
    net.run(3)
    values = {n.known.facts.facts["k x"].value for n in net.nodes.values()}
    assert len(values) == 1
    b.publish("k", "x", "last", 5, net.now)
    net.run(1)
    values = {n.known.facts.facts["k x"].value for n in net.nodes.values()}
    assert values == {"last"}
    net.run(5)
    assert not any(n.known.facts.facts for n in net.nodes.values())
    assert all(n.known.digest == a.known.digest for n in net.nodes.values())
