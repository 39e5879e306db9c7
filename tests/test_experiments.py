"""Tests that each switch for ablations changes its own decision only."""

import pathlib
import tomllib
import types

from camphortray_platform import settings
import msgspec
import pytest

from camphortray import active_config
from camphortray import config as configs
from camphortray import enginehealth
from camphortray import errors
from camphortray import handover
from camphortray import httpclient
from camphortray import routemap
from camphortray import slot_client
from camphortray import slot_scheduler
from tests import test_config
from tests import test_engine_registry
from tests import test_platform

ROOT = pathlib.Path(__file__).parent.parent
SWITCHES = [f.name for f in msgspec.structs.fields(configs.ExperimentsConfig)]


def scheduler_of(switches, *slots):
    """Return a scheduler with engines in different zones."""
    scheduler = slot_scheduler.SlotScheduler(switches)
    engines = [
        slot_scheduler.EngineSlots(f"e{n}", count, f"z{n}")
        for n, count in enumerate(slots)
    ]
    scheduler.set_engines(engines, 0.0)
    return scheduler


def online_request(name, **fields):
    """Return a slot request of an online request."""
    values = {"objective_s": 0.3, "left_s": 5.0, **fields}
    return slot_scheduler.SlotRequest(name, "h", True, **values)


def item(name, due_at=60.0):
    """Return a slot request of a batch item."""
    return slot_scheduler.SlotRequest(
        name, "h", False, due_at=due_at, work_s=4.8, start_s=0.1
    )


def kinds(decisions):
    """Return the class names of decisions."""
    return [type(decision).__name__ for decision in decisions]


def engines(scheduler):
    """Return the sorted engines of all leases."""
    return sorted(lease.engine for lease in scheduler.leases.values())


def prefix(switches):
    scheduler = scheduler_of(switches, 4, 4)
    for name in "abcd":
        scheduler.ask(online_request(name, prefix="p"), 0.0)
    return len(set(engines(scheduler)))


def zone(switches):
    scheduler = scheduler_of(switches, 2, 8)
    scheduler.ask(online_request("a", zone="z0"), 0.0)
    return engines(scheduler)


def after_a_burst(switches):
    """Return a scheduler with four slots just freed by online requests."""
    scheduler = scheduler_of(switches, 4)
    for name in "abcd":
        scheduler.ask(online_request(name), 0.0)
    for name in "abcd":
        scheduler.done(name, enginehealth.Outcome.GOOD, 1.0)
    return scheduler


def hold_back(switches):
    return kinds(after_a_burst(switches).ask(item("i"), 1.01))


def pressed(switches):
    scheduler = after_a_burst(switches)
    for number in range(8):
        scheduler.ask(item(f"i{number}", due_at=9.0), 1.01)
    return bool(scheduler.leases)


def give_way(switches):
    scheduler = scheduler_of(switches, 1)
    scheduler.ask(item("i"), 0.0)
    return kinds(scheduler.ask(online_request("a"), 0.1))


def refuse_at_once(switches):
    scheduler = scheduler_of(switches, 1)
    scheduler.ask(online_request("a"), 0.0)
    at_once = kinds(scheduler.ask(online_request("b"), 0.0))
    return at_once, kinds(scheduler.decide(0.2))


def put_aside(switches):
    scheduler = scheduler_of(switches, 1)
    scheduler.ask(online_request("a"), 0.0)
    scheduler.done("a", enginehealth.Outcome.UNREACHED, 0.1)
    scheduler.ask(online_request("b", asked_at=0.1), 0.1)
    return engines(scheduler)


def spread_return(switches):
    scheduler = scheduler_of(switches, 1)
    return len(
        {scheduler.retry_after_s(0.7, online_request(name)) for name in "abcd"}
    )


def fair_shares(switches):
    scheduler = scheduler_of(switches, 1)
    for name in ("a", "b", "d", "c"):
        workspace = "w1" if name == "c" else "w2"
        want = online_request(name, objective_s=9.0, workspace=workspace)
        scheduler.ask(want, 0.0)
    return [want.id for want in scheduler.queue]


def speeds(switches):
    scheduler = scheduler_of(switches, 2, 2)
    for _ in range(3):
        scheduler.accounting.table.speeds.record("e1", 0.02, 0.0)
        scheduler.accounting.table.speeds.record("e0", 0.2, 0.0)
    scheduler.ask(online_request("a", zone="z0"), 0.0)
    return engines(scheduler)


def kept_connections(switches):
    part = slot_client.SlotClient.__new__(slot_client.SlotClient)
    part.streams = types.SimpleNamespace(several=lambda service: False)
    part.experiments = switches
    part.active_config = types.SimpleNamespace(
        view=routemap.EMPTY_CONFIGURATION,
        dialect=types.SimpleNamespace(plugin="p"),
    )
    part.members = types.SimpleNamespace(live=lambda role: [])
    return part.upstream(test_engine_registry.ENTRY).max_idle


def context_of(switches):
    """Return a minimal context, sufficient for parts that only decide."""
    return types.SimpleNamespace(
        config=types.SimpleNamespace(experiments=switches),
        clock=types.SimpleNamespace(monotonic=lambda: 100.0),
        part=lambda cls: None,
    )


def hand_over(switches):
    held = handover.Handover(context_of(switches), {})
    items = types.SimpleNamespace(progress=lambda: {"job": ["progress"]})
    held.save(types.SimpleNamespace(part=3, items=items))
    return list(held.saved)


def peers_word(switches):
    part = active_config.ActiveConfig.__new__(active_config.ActiveConfig)
    part.context = context_of(switches)
    part.clock = part.context.clock
    part.reached_at = 90.0
    part.peers_of = lambda: ["peer"]
    return part.to_ask()


# By switch: the decision, and its results with the switch on and off.
CASES = {
    "prefix": (prefix, 1, 2),
    "zone": (zone, ["e0"], ["e1"]),
    "hold_back": (hold_back, [], ["Grant"]),
    "pressed": (pressed, True, False),
    "give_way": (give_way, ["Revoke", "Grant"], ["Refuse"]),
    "refuse_at_once": (
        refuse_at_once,
        (["Refuse"], []),
        ([], ["Refuse"]),
    ),
    "put_aside": (put_aside, [], ["e0"]),
    "kept_connections": (kept_connections, httpclient.MAX_IDLE, 0),
    "handover": (hand_over, [3], []),
    "peers_word": (peers_word, ["peer"], []),
    "spread_return": (spread_return, 4, 1),
    "speeds": (speeds, ["e1"], ["e0"]),
    "fair_shares": (fair_shares, ["c", "b", "d"], ["b", "d", "c"]),
}


@pytest.mark.parametrize("name", SWITCHES)
def test_a_switch_changes_its_decision_and_is_on_by_default(name):
    decide, when_on, when_off = CASES[name]
    assert decide(configs.ExperimentsConfig()) == when_on
    assert decide(configs.ExperimentsConfig(**{name: False})) == when_off


@pytest.mark.parametrize("name", SWITCHES)
def test_a_switch_changes_no_other_decision(name):
    off = configs.ExperimentsConfig(**{name: False})
    changed = {
        other
        for other, (decide, when_on, _) in CASES.items()
        if decide(off) != when_on
    }
    assert changed == {name}


def test_all_switches_are_on_by_default():
    config = configs.Config.from_toml(test_config.GOOD)
    assert config.experiments == configs.ExperimentsConfig()
    assert all(msgspec.structs.astuple(config.experiments))


def test_the_deploy_file_turns_no_switch_off():
    roles = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]
    assert [role.get("env", {}) for role in roles.values()] == [{}]


@pytest.mark.parametrize(
    ("line", "key"),
    [("zone = 0", "zone"), ('zone = "no"', "zone"), ("zon = false", "zon")],
)
def test_invalid_switches_are_rejected(line, key):
    text = f"{test_config.GOOD}[experiments]\n{line}\n"
    with pytest.raises(errors.ConfigError, match=rf"experiments\.{key}:"):
        configs.Config.from_toml(text)


def test_the_platform_variable_names_the_switches_to_turn_off(tmp_path):
    path = tmp_path / "boot.toml"
    path.write_text(test_platform.GOOD)
    off = settings.switched_off("zone, handover")
    found = settings.load(str(path), 1, off).config().experiments
    assert found == configs.ExperimentsConfig(zone=False, handover=False)
    all_on = settings.load(str(path), 1, settings.switched_off(""))
    assert all_on.config().experiments == configs.ExperimentsConfig()
    with pytest.raises(errors.ConfigError, match="perhaps handover"):
        settings.load(str(path), 1, ("handovr",)).config()


def test_the_platform_file_cannot_turn_switches_off(tmp_path):
    path = tmp_path / "boot.toml"
    path.write_text('switchedOff = ["zone"]\n' + test_platform.GOOD)
    assert settings.load(str(path)).config().experiments.zone
