"""Open-loop load: experiments, measuring, and comparing two runs."""

import asyncio
import dataclasses
import json
import pathlib
import random

import pytest

from camphortray import cluster as clusters
from camphortray import errors
from camphortray import experiment
from camphortray import load
from camphortray import loadresult
from camphortray import standin_engine
from camphortray import trace

EXAMPLES = pathlib.Path(__file__).parent.parent / "examples" / "load"
GOOD = """
name = "x"
addresses = ["127.0.0.1:1"]
model = "m"
keys = ["k"]
"""


@pytest.mark.parametrize("path", sorted(EXAMPLES.glob("*.toml")), ids=str)
def test_examples_are_good_and_local(path):
    plan = experiment.from_file(str(path))
    assert not plan.remote()
    known = standin_engine.EngineStandin("e", ()).faults.values
    assert {fault.name for fault in plan.faults} <= set(known)


def test_every_fault_of_an_experiment_is_named():
    text = """
    name = "x"
    addresses = []
    model = 3
    trace = "noon"
    second = 3
    [[fault]]
    at_s = -1
    address = "localhost"
    """
    with pytest.raises(errors.ConfigError) as caught:
        experiment.from_text(text, "f.toml")
    assert {fault.key for fault in caught.value.faults} == {
        "second",
        "addresses",
        "model",
        "keys",
        "trace",
        "fault[0].at_s",
        "fault[0].address",
        "fault[0].name",
    }


@pytest.mark.parametrize(
    "line, expected",
    [
        ("", 0),
        ('\n[[fault]]\nat_s = 1\naddress = "192.0.2.1:1"\nname = "x"', 1),
    ],
)
def test_other_machines_are_refused_unless_allowed(
    line, expected, tmp_path, capsys
):
    path = tmp_path / "x.toml"
    path.write_text(GOOD + line)
    assert len(experiment.from_file(str(path)).remote()) == expected
    if expected:
        assert load.run(str(path), out=str(tmp_path / "out")) == 2
        assert "192.0.2.1:1" in capsys.readouterr().err


def test_a_trace_is_the_same_for_the_same_seed():
    for name, shape in trace.SHAPES.items():
        drawn = [
            trace.arrivals(shape, 60.0, random.Random(seed))
            for seed in (1, 1, 2)
        ]
        assert drawn[0] == drawn[1] != drawn[2], name
        times = [arrival.at_s for arrival in drawn[0]]
        assert times == sorted(times) and times[-1] < 60.0
    morning = trace.SHAPES["winter-morning"]
    assert trace.level(morning, 0.0) == morning.edge
    assert trace.level(morning, 0.5) == 1.0


@pytest.mark.looptime
async def test_a_stall_shows_in_every_request_that_it_delays(monkeypatch):
    # The server stops for two seconds. A client that waits for answers
    # before it sends more would measure one slow request; here each one
    # that was meant to be sent meanwhile shows the wait that it had.
    plan = experiment.from_text(GOOD + "seconds = 30")
    made = load.Load(plan)
    loop = asyncio.get_running_loop()
    began = loop.time()

    async def slow(number, arrival, meant_at):
        stalled = began + 5 <= meant_at < began + 7
        if stalled:
            await asyncio.sleep(began + 7 - loop.time())
        made.measured.first_token(arrival.at_s, loop.time() - meant_at)
        return "ok"

    async def none():
        return 60.0

    monkeypatch.setattr(made, "exchange", slow)
    monkeypatch.setattr(made, "ask_addresses", none)
    monkeypatch.setattr(
        trace,
        "arrivals",
        lambda *_: [trace.Arrival(n / 10, 8, 1, 0) for n in range(300)],
    )
    result = await made.run()
    assert result.outcomes == {"ok": 300}
    assert 1.85 < result.worst_s["5"] <= 2.01
    assert result.worst_s["8"] < 0.01
    assert result.quantiles["ttft"]["p95"] > 0.2


@pytest.mark.looptime
async def test_what_is_over_the_bound_is_told(monkeypatch):
    plan = experiment.from_text(GOOD + "max_in_flight = 3\ndeadline_s = 1")
    made = load.Load(plan)

    async def never(*_):
        await asyncio.sleep(3600)

    async def none():
        return 60.0

    monkeypatch.setattr(made, "exchange", never)
    monkeypatch.setattr(made, "ask_addresses", none)
    monkeypatch.setattr(
        trace,
        "arrivals",
        lambda *_: [trace.Arrival(0.0, 8, 1, 0)] * 5,
    )
    result = await made.run()
    assert result.outcomes == {"not sent": 2, "failed": 3}


async def test_it_measures_a_real_deployment(tmp_path, capsys):
    timing = standin_engine.TimingModel(speed=20.0)
    async with clusters.Cluster(1, 1, timing) as cluster:
        address = next(iter(cluster.hosts.values())).address
        engine = next(iter(cluster.engines.values())).server.address
        plan = experiment.from_text(f"""
        name = "real"
        addresses = ["{address}"]
        model = "{clusters.MODEL}"
        keys = ["{clusters.WORKSPACE_KEY}"]
        trace = "night"
        seed = 3
        seconds = 2
        [[fault]]
        at_s = 0.1
        address = "{engine}"
        name = "open_delay_s"
        value = 0.01
        [[fault]]
        at_s = 0.1
        address = "{engine}"
        name = "no_such"
        """)
        result = await load.Load(plan).run()
    assert result.outcomes["ok"] > 0
    assert result.outcomes["fault open_delay_s switched"] == 1
    assert result.outcomes["fault no_such not switched"] == 1
    assert result.quantiles["ttft"]["p50"] > 0
    paths = [str(tmp_path / name) for name in ("a.json", "b.json")]
    for path in paths:
        result.to_file(path)
    page = tmp_path / "page.html"
    assert load.compare(*paths, page=str(page)) == 0
    shown = json.loads(capsys.readouterr().out.splitlines()[-1])
    assert shown["ratios"]["ttft"]["p99"] == 1.0
    text = page.read_text()
    assert text.count("<svg") == 4 and "http" not in text


def test_runs_with_labels_share_sizes_but_no_words():
    # The second run of a comparison sent the prompts of the first, found
    # them in the engines' caches, and batch work seemed to speed it up.
    plan = experiment.from_text(GOOD)
    arrival = trace.Arrival(0.0, 50, 7, 0)
    bodies = [
        json.loads(load.request_body(plan, 3, arrival, label))
        for label in ("a", "a", "b")
    ]
    words = [body["messages"][0]["content"].split() for body in bodies]
    assert words[0] == words[1]
    assert len(words[2]) == 50 and not words[0][:3] == words[2][:3]
    assert {body["max_tokens"] for body in bodies} == {7}


@pytest.mark.parametrize(
    "other",
    [{"trace": "night"}, {"seed": 2}, {"seconds": 30.0}, {"scale": 0.5}],
    ids=str,
)
def test_runs_that_did_not_send_the_same_are_told_apart(other):
    measured = loadresult.Measured()
    sent = loadresult.Sent("winter-morning", 1, 60.0, 1.0)
    first = measured.result("a", sent)
    assert loadresult.compare(first, first).same_trace
    second = measured.result("b", dataclasses.replace(sent, **other))
    assert not loadresult.compare(first, second).same_trace
