"""Division of an upstream's batch slots, headroom policies and reports."""

import pytest

from camphortray import coordinator
from camphortray import headroom
from camphortray import holding
from camphortray import online

LATENCY = headroom.PROFILES["latency"]
GRANT_S = coordinator.GRANT_S


def latency_policy(slots=32, priority="latency"):
    return headroom.headroom_for(slots, priority, 1.0)


def grown_coordinator(wanted, until=5.0, hosts=("a", "b"), **of):
    """Return a coordinator that has granted all the slots it may."""
    state = coordinator.Coordinator(latency_policy(**of), 0.0)
    now = 0.0
    while now < until:
        for host in hosts:
            state.update_request(
                now,
                host,
                wanted,
                state.holders[host].granted if host in state.holders else 0,
            )
        state.decide(now)
        now += 0.02
    return state


@pytest.mark.parametrize(
    "load, priority, left",
    [
        (headroom.Load(0, 0), "latency", 32),
        (headroom.Load(5, 0), "latency", 26),
        (headroom.Load(1, 1), "latency", 26),
        (headroom.Load(2, 2), "latency", 22),
        (headroom.Load(4, 4), "latency", 0),
        (headroom.Load(40, 0), "latency", 0),
        (headroom.Load(1, 1), "throughput", 28),
        (headroom.Load(4, 4), "throughput", 20),
        (headroom.Load(8, 8), "throughput", 0),
    ],
)
def test_online_work_takes_slots_back_at_once(load, priority, left):
    state = grown_coordinator(40, priority=priority)
    assert state.granted() == 32
    state.update_load(5.0, "c", load)
    state.decide(5.0)
    assert state.granted() == left


def test_slots_grow_back_in_steps_after_a_burst():
    state = grown_coordinator(40)
    state.update_load(5.0, "c", headroom.Load(8, 8))
    assert state.decide(5.0) == {"a": 0, "b": 0}
    state.update_load(5.0, "c", headroom.Load(0, 0))
    totals = []
    for step in range(200):
        now = 5.0 + step * 0.02
        for host in "ab":
            state.update_request(now, host, 40, 0)
        state.decide(now)
        totals.append(state.granted())
    # No growth while another request of the burst may still arrive.
    assert totals[int(LATENCY.settle_s / 0.02) - 2] == 0
    assert totals[-1] == 32
    steps = [b - a for a, b in zip(totals, totals[1:], strict=False)]
    assert max(steps) <= LATENCY.growth_per_s * 0.2


def test_a_new_coordinator_adds_no_slots_until_old_grants_expire():
    # After the loss of a coordinator its grants last for another second, and
    # its successor does not know them. To avoid granting the slots twice, the
    # successor confirms what hosts report as held and adds nothing until then.
    state = coordinator.Coordinator(latency_policy(), 0.0)
    for now in (0.0, 0.4, 0.8):
        state.update_request(now, "a", 40, 10)
        state.update_request(now, "b", 40, 0)
        state.decide(now)
        assert state.granted() <= 10
    for now in (1.3, 1.4, 1.5, 1.6, 1.7, 1.8, 1.9, 2.0, 2.1):
        state.update_request(now, "a", 40, 10)
        state.update_request(now, "b", 40, 0)
        state.decide(now)
    assert state.granted() > 10


def test_requests_and_reports_that_are_not_repeated_expire():
    state = grown_coordinator(40)
    state.update_load(5.0, "c", headroom.Load(20, 4))
    state.decide(5.0)
    assert state.granted() == 0
    state.update_request(8.5, "a", 40, 0)
    state.decide(8.5)
    assert "b" not in state.holders
    assert "c" not in state.reports


@pytest.mark.parametrize(
    "used_for, strain, cut",
    [(3.0, 2.0, True), (3.0, 0.5, False), (0.2, 2.0, False)],
)
def test_the_ceiling_is_cut_only_for_strain_caused_by_batch_work(
    used_for, strain, cut
):
    policy = latency_policy()
    policy.target(0.0, headroom.Load(), 0)
    steps = int(used_for / 0.1)
    for step in range(1, steps + 1):
        policy.target(step * 0.1, headroom.Load(2, 0, strain), 20)
    assert (policy.ceiling < 32) == cut


def test_the_alternative_policies_compute_their_targets():
    burst = headroom.RecentBurst(32, window_s=10.0)
    assert burst.target(0.0, headroom.Load(20), 0) == 12
    assert burst.target(9.0, headroom.Load(0), 0) == 12
    assert burst.target(11.0, headroom.Load(0), 0) == 32
    fixed = headroom.FixedShare(32)
    assert fixed.target(0.0, headroom.Load(32, 32), 0) == 16


@pytest.mark.parametrize(
    "total, wanted, held",
    [
        (0, {"a": 3}, {"a": 3}),
        (7, {"a": 1, "b": 5, "c": 5}, {}),
        (99, {"a": 1, "b": 2}, {"a": 9}),
        (32, {"a": 40, "b": 40}, {"a": 32}),
        (8, {"a": 9, "b": 9, "c": 9}, {"a": 5, "b": 5, "c": 5}),
    ],
)
def test_division_grants_exactly_the_total(total, wanted, held):
    shares = coordinator.divide(total, wanted, held)
    assert sum(shares.values()) == min(total, sum(wanted.values()))
    assert all(shares[name] <= wanted[name] for name in wanted)
    left = [shares[n] for n in wanted if shares[n] < wanted[n]]
    assert not left or max(left) - min(left) <= coordinator.MAX_IMBALANCE_SLOTS


def test_division_does_not_move_slots_when_demand_changes():
    # Demand changes constantly. Dividing by demand each time preempted items
    # only to give their slots to another holder.
    held = {"a": 5, "b": 4, "c": 3}
    for demands in ((9, 8, 7), (7, 8, 9), (20, 5, 6)):
        wanted = dict(zip("abc", demands, strict=True))
        assert coordinator.divide(12, wanted, held) == held


class TestHoldings:
    def test_the_newest_slots_are_revoked_first(self):
        held = holding.Holdings()
        assert held.grant(0.0, "u", 3, 1.0, pace_s=0.05) == []
        for now, slot in enumerate(("old", "mid", "new")):
            assert held.free(now / 10, "u")
            held.take(now / 10, "u", slot)
            assert not held.free(now / 10, "u"), "one prompt at a time"
        assert held.grant(0.4, "u", 1, 1.0) == ["mid", "new"]
        assert held.free(0.4, "u") == 0

    def test_a_revoked_slot_is_busy_until_released(self):
        # A grant is reduced and raised again before the cancellation reaches
        # the engine. If the slot counted as free at once, the engine would run
        # more items than were granted.
        held = holding.Holdings()
        held.grant(0.0, "u", 1, 1.0)
        held.take(0.0, "u", "x")
        held.grant(0.1, "u", 0, 1.0)
        held.grant(0.2, "u", 1, 1.0)
        assert held.free(0.2, "u") == 0
        held.release("u", "x")
        assert held.free(0.2, "u") == 1

    def test_a_grant_that_is_not_renewed_expires(self):
        held = holding.Holdings()
        held.grant(0.0, "u", 2, 1.2)
        held.take(0.0, "u", "x")
        assert held.expire(1.1) == []
        assert held.expire(1.3) == ["x"]
        assert held.free(1.3, "u") == 0


class TestOnlineReports:
    def test_the_first_arrival_is_reported_at_once(self):
        reports = online.OnlineReports()
        reports.begun(0.0, "u")
        assert reports.due(0.0) == {"u": headroom.Load(1, 1, 0.0)}
        assert reports.due(0.0) == {}
        reports.first_token(0.001, "u", 0.001, 0.3)
        assert reports.due(0.002) == {}, "not yet"
        assert reports.due(0.03) == {"u": headroom.Load(1, 0, 0.0)}
        for pending in (1, 2, 0, 4):
            reports.begun(0.031, "u")
            due = reports.due(0.031)
            assert due.get("u", headroom.Load()).pending == pending

    def test_a_request_is_pending_then_streaming_then_removed(self):
        reports = online.OnlineReports()
        for at in (0.0, 0.5, 0.6):
            reports.begun(at, "u")
        reports.first_token(0.7, "u", 0.2, 0.2)
        assert reports.work("u").begun == [0.0, 0.6]
        reports.ended("u")
        assert reports.work("u").load(0.7).in_flight == 2
        # Without a first token it stops counting as pending after a while, but
        # remains in flight.
        assert reports.work("u").load(1.2).pending == 1
        reports.ended("u")
        reports.ended("u")
        reports.due(2.0)
        assert reports.works == {}

    def test_a_busy_host_stays_within_its_report_rate(self):
        # 24 requests a second over 12 upstreams for a minute, as at the target
        # size. A report of about 60 bytes for each request is affordable, one
        # for every change of every request is not.
        reports = online.OnlineReports()
        sent = 0
        for step in range(60 * 50):
            now = step * 0.02
            if step % 2 == 0:
                reports.begun(now, f"u{step % 12}")
            if step % 2 == 1 and step > 200:
                reports.ended(f"u{(step - 1) % 12}")
            sent += len(reports.due(now))
        assert sent <= online.BURST_REPORTS + online.REPORTS_PER_S * 60
