"""Each switch for ablations changes its one decision, and is on by default."""

import dataclasses
import pathlib
import tomllib
import types

from camphortray_platform import settings
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
SWITCHES = [f.name for f in dataclasses.fields(configs.ExperimentsConfig)]


def book_of(on, *slots):
    """Return a book of engines, each in a zone of its own."""
    book = slot_scheduler.SlotScheduler(on)
    engines = [
        slot_scheduler.EngineSlots(f"e{n}", count, f"z{n}")
        for n, count in enumerate(slots)
    ]
    book.set_engines(engines, 0.0)
    return book


def question(name, **fields):
    """Return the want of a question."""
    given = {"objective_s": 0.3, "left_s": 5.0, **fields}
    return slot_scheduler.SlotRequest(name, "h", True, **given)


def item(name, due_at=60.0):
    """Return the want of a batch item."""
    return slot_scheduler.SlotRequest(
        name, "h", False, due_at=due_at, work_s=4.8, start_s=0.1
    )


def told(decisions):
    """Return the kinds of some decisions."""
    return [type(decision).__name__ for decision in decisions]


def engines(book):
    """Return the engines of all leases."""
    return sorted(lease.engine for lease in book.leases.values())


def prefix(on):
    book = book_of(on, 4, 4)
    for name in "abcd":
        book.ask(question(name, prefix="p"), 0.0)
    return len(set(engines(book)))


def zone(on):
    book = book_of(on, 2, 8)
    book.ask(question("a", zone="z0"), 0.0)
    return engines(book)


def after_a_burst(on):
    """Return a book whose four slots questions have just left."""
    book = book_of(on, 4)
    for name in "abcd":
        book.ask(question(name), 0.0)
    for name in "abcd":
        book.done(name, enginehealth.Outcome.GOOD, 1.0)
    return book


def hold_back(on):
    return told(after_a_burst(on).ask(item("i"), 1.01))


def pressed(on):
    book = after_a_burst(on)
    for number in range(8):
        book.ask(item(f"i{number}", due_at=9.0), 1.01)
    return bool(book.leases)


def give_way(on):
    book = book_of(on, 1)
    book.ask(item("i"), 0.0)
    return told(book.ask(question("a"), 0.1))


def refuse_at_once(on):
    book = book_of(on, 1)
    book.ask(question("a"), 0.0)
    asked = told(book.ask(question("b"), 0.0))
    return asked, told(book.decide(0.2))


def put_aside(on):
    book = book_of(on, 1)
    book.ask(question("a"), 0.0)
    book.done("a", enginehealth.Outcome.UNREACHED, 0.1)
    book.ask(question("b", asked_at=0.1), 0.1)
    return engines(book)


def spread_return(on):
    book = book_of(on, 1)
    return len({book.retry_after_s(0.7, question(name)) for name in "abcd"})


def kept_connections(on):
    part = slot_client.SlotClient.__new__(slot_client.SlotClient)
    part.experiments = on
    part.active_config = types.SimpleNamespace(
        view=routemap.EMPTY_CONFIGURATION,
        dialect=types.SimpleNamespace(plugin="p"),
    )
    part.members = types.SimpleNamespace(live=lambda role: [])
    return part.upstream(test_engine_registry.ENTRY).max_idle


def context_of(on):
    """Return as much of a context as a part needs that only decides."""
    return types.SimpleNamespace(
        config=types.SimpleNamespace(experiments=on),
        clock=types.SimpleNamespace(monotonic=lambda: 100.0),
        part=lambda cls: None,
    )


def hand_over(on):
    held = handover.Handover(context_of(on), {})
    items = types.SimpleNamespace(progress=lambda: {"job": ["progress"]})
    held.leave(types.SimpleNamespace(part=3, items=items))
    return list(held.behind)


def peers_word(on):
    part = active_config.ActiveConfig.__new__(active_config.ActiveConfig)
    part.context = context_of(on)
    part.clock = part.context.clock
    part.reached_at = 90.0
    part.peers_of = lambda: ["peer"]
    return part.to_ask()


# By switch: what is decided, with it on and off.
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


def test_all_is_on_where_the_settings_say_nothing():
    config = configs.Config.from_toml(test_config.GOOD)
    assert config.experiments == configs.ExperimentsConfig()
    assert all(dataclasses.astuple(config.experiments))


def test_the_deploy_file_switches_nothing_off():
    roles = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]
    assert [role.get("env", {}) for role in roles.values()] == [{}]


@pytest.mark.parametrize(
    ("line", "key"),
    [("zone = 0", "zone"), ('zone = "no"', "zone"), ("zon = false", "zon")],
)
def test_wrong_switches_are_faults(line, key):
    text = f"{test_config.GOOD}[experiments]\n{line}\n"
    with pytest.raises(errors.ConfigError, match=rf"experiments\.{key}:"):
        configs.Config.from_toml(text)


def test_the_platform_switches_off_what_its_variable_names(tmp_path):
    path = tmp_path / "boot.toml"
    path.write_text(test_platform.GOOD)
    off = settings.switched_off("zone, handover")
    found = settings.load(str(path), 1, off).config().experiments
    assert found == configs.ExperimentsConfig(zone=False, handover=False)
    all_on = settings.load(str(path), 1, settings.switched_off(""))
    assert all_on.config().experiments == configs.ExperimentsConfig()
    with pytest.raises(errors.ConfigError, match="perhaps handover"):
        settings.load(str(path), 1, ("handovr",)).config()


def test_the_platforms_own_file_switches_nothing_off(tmp_path):
    path = tmp_path / "boot.toml"
    path.write_text('switchedOff = ["zone"]\n' + test_platform.GOOD)
    assert settings.load(str(path)).config().experiments.zone
