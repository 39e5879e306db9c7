"""Tests of counting, burn rates and the report."""

import asyncio

import pytest

from camphortray import burn
from camphortray import burn_aggregation
from camphortray import burn_page
from camphortray import burn_rate
from camphortray import burn_recorder
from camphortray import clock
from camphortray import config as configs
from camphortray import settings
from tests import test_config

NOW = 1_800_000_000.0
ONLINE, BATCH = burn.Key("lm", False), burn.Key("lm", True)
OBJECTIVES = {"lm": burn_rate.Objective(0.99, 0.95)}


def ledger_of(*events):
    """Count requests: age in seconds, number of good and of bad ones."""
    ledger = burn.Ledger()
    for age_s, good, bad in sorted(events, reverse=True):
        for _ in range(good):
            ledger.answered(ONLINE, True, NOW - age_s)
        for _ in range(bad):
            ledger.answered(ONLINE, False, NOW - age_s)
    return ledger


@pytest.mark.parametrize(
    ("events", "alert", "left"),
    [
        ([(60, 100, 0)], "", 1.0),
        ([(60, 80, 20)], "page", -19.0),
        ([(50 * 60, 80, 20), (60, 100, 0)], "ticket", -9.0),
        ([(5 * 3600, 80, 20), (600, 90, 10), (60, 90, 10)], "page", None),
        ([(40 * 3600, 97, 3), (60, 98, 2)], "ticket", -1.5),
        ([(71 * 3600, 0, 100), (60, 100, 0)], "", -49.0),
    ],
    ids=["good", "now", "over", "slow", "creeping", "long ago"],
)
def test_an_alert_needs_both_of_its_windows(events, alert, left):
    rows = ledger_of(*events).rows()
    (found,) = burn_rate.burns(rows, OBJECTIVES, NOW)
    assert found.alert == alert
    if left is not None:
        assert found.left == pytest.approx(left)


def test_no_events_are_no_sign_that_all_is_well():
    (found,) = burn_rate.burns(
        ledger_of((2 * 3600, 10, 0)).rows(), OBJECTIVES, NOW
    )
    assert found.rates[300] is None
    assert found.rates[6 * 3600] == 0


def test_old_minutes_become_hours_and_are_then_forgotten():
    ledger = burn.Ledger()
    for minute in range(80 * 60):
        ledger.answered(ONLINE, True, NOW + minute * 60)
    assert len(ledger.minutes) <= burn.MINUTES_KEPT
    assert len(ledger.hours) <= burn.HOURS_KEPT + 1
    total = sum(row.cell.good[0] for row in ledger.rows())
    assert 72 * 60 <= total <= 76 * 60


def test_latency_counts_against_its_objective_and_in_a_histogram():
    ledger = burn.Ledger()
    for seconds in (0.1, 0.2, 3.0):
        ledger.timed(ONLINE, burn.TTFT, seconds, 1.2, NOW)
        ledger.timed(ONLINE, burn.ITL, seconds / 10, 0.041, NOW)
    (row,) = ledger.rows()
    assert row.cell.good[1:] == [2, 2] and row.cell.bad[1:] == [1, 1]
    assert row.cell.tokens == 6
    assert burn.quantile(row.cell.ttft, 0.99) == pytest.approx(3.0, rel=0.25)


def test_harm_compares_minutes_by_their_batch_tokens():
    ledger = burn.Ledger()
    for minute in range(10):
        wall = NOW + minute * 60
        ledger.timed(ONLINE, burn.TTFT, 0.8 if minute >= 5 else 0.1, 1.2, wall)
        for _ in range(100 if minute >= 5 else 1):
            ledger.timed(BATCH, burn.ITL, 0.01, 0.041, wall)
    (found,) = burn_rate.harm(ledger.rows())
    assert found.minutes == (5, 5)
    assert found.ttft_s[0] < 0.13 < 0.7 < found.ttft_s[1]


def answer(host, incarnation, *events, objectives=True):
    rows = tuple(ledger_of(*events).rows())
    held = OBJECTIVES if objectives else {}
    return burn_aggregation.Answer(host, incarnation, rows, held)


def test_each_life_of_each_process_counts_once():
    # A host is lost and replaced under its name. Its minutes come from
    # the log, where one record stands twice as its answer was lost; the
    # new process answers for itself, and what it kept is not counted.
    lost = answer("h1/entry", 1, (600, 5, 0))
    new = answer("h1/entry", 2, (60, 7, 0))
    kept = [lost, lost, answer("h1/entry", 2, (60, 7, 0))]
    gathered = burn_aggregation.merge_answers([new], kept, {})
    assert sum(row.cell.good[0] for row in gathered.rows) == 12
    assert gathered.kept == 1


def test_who_did_not_answer_is_named_and_not_counted_as_good():
    gathered = burn_aggregation.merge_answers(
        [answer("h1/entry", 1, (60, 80, 20))],
        [],
        {"h2/entry": "no answer <in> 5 s"},
    )
    report = burn_page.Report.from_gathered(gathered, NOW)
    shown = burn_page.text(report)
    assert "NO ANSWER: h2/entry" in shown
    assert "page" in shown.splitlines()[-1]
    page = burn_page.page(report)
    assert "No answer from h2/entry: no answer &lt;in&gt; 5 s" in page
    assert "http" not in page.replace("http-equiv", "")


def test_a_page_plots_minutes_with_gaps():
    ledger = burn.Ledger()
    for minute in (0, 1, 2, 5):
        ledger.timed(ONLINE, burn.TTFT, 0.1, 1.2, NOW + 60 * minute)
    held = burn_aggregation.Answer(
        "h/entry", 1, tuple(ledger.rows()), OBJECTIVES
    )
    gathered = burn_aggregation.merge_answers([held], [], {})
    page = burn_page.page(burn_page.Report.from_gathered(gathered, NOW + 300))
    assert page.count("<svg") == 2
    assert "lm, online: tokens a second" in page


class Stub:
    """Stands in for the parts that a keeper meets at its start."""

    def __init__(self):
        self.clock = clock.SystemClock()
        self.config = configs.Config.from_toml(test_config.GOOD)
        self.program = "entry"
        self.incarnation = 1
        self.log = None
        fold = settings.SettingsFold()
        fold.nodes["cantabria/lm"] = settings.Node(1, {"kind": "engines"})
        self.view = settings.View(fold, "cantabria")

    def part(self, cls):
        return self

    def add(self, *args):
        pass

    def listen(self, listener):
        listener(self.view)


@pytest.mark.looptime
async def test_tokens_count_for_the_minute_they_came_in():
    # The place where a token is counted is kept for a minute, so that a
    # token need not ask for the time; the next minute must not be added
    # to it, nor may a change of settings lose what was counted.
    stub = Stub()
    keeper = burn_recorder.BurnRecorder(stub)
    for _ in range(3):
        keeper.next_token("lm", "e", False, 0.01)
        keeper.on_view(stub.view)
        keeper.next_token("lm", "e", False, 0.01)
        await asyncio.sleep(60)
    counts = [row.cell.good[burn.ITL] for row in keeper.ledger.rows()]
    assert counts == [2, 2, 2]
    keeper.next_token("no such service", "e", False, 0.01)
    assert sum(row.cell.tokens for row in keeper.ledger.rows()) == 6
    await keeper.stop()
