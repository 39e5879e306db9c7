"""Tests of the order in which parts start, drain and stop."""

import asyncio
import random
import types

import pytest

from camphortray import clock
from camphortray import config as configs
from camphortray import errors
from camphortray import kernel
from camphortray import metrics
from tests import test_config


def make_context(program):
    return kernel.Context(
        configs.Config.from_toml(test_config.GOOD),
        program,
        1,
        clock.ManualClock(),
        random.Random(0),
        metrics.Metrics(),
    )


@pytest.fixture
def parts(monkeypatch):
    """Give a table of parts of its own and a diary of their calls."""
    table = kernel.Parts()
    monkeypatch.setattr(kernel, "PARTS", table)
    return table


def add_part(table, diary, name, requires=(), fails="", gate=None):
    async def step(self, verb):
        diary.append(f"{verb} {name}")
        if fails == verb:
            raise RuntimeError("no room")
        if verb == "drain" and gate is not None:
            await gate.wait()

    class Made(kernel.Part):
        @classmethod
        def from_config(cls, context):
            return cls()

        async def start(self):
            await step(self, "start")

        async def drain(self):
            await step(self, "drain")

        async def stop(self):
            await step(self, "stop")

        def in_flight(self):
            return ["a long stream"] if gate is not None else []

    Made.name = name
    Made.requires = requires
    table.register("test")(Made)


async def test_parts_start_in_order_and_stop_in_reverse(parts):
    diary = []
    add_part(parts, diary, "late", ("early",))
    add_part(parts, diary, "early")
    core = kernel.Kernel(make_context("test"))
    await core.start()
    await core.drain()
    await core.stop()
    assert diary == [
        "start early",
        "start late",
        "drain late",
        "drain early",
        "stop late",
        "stop early",
    ]


async def test_a_failed_start_stops_what_had_started(parts):
    diary = []
    add_part(parts, diary, "early")
    add_part(parts, diary, "late", ("early",), fails="start")
    core = kernel.Kernel(make_context("test"))
    with pytest.raises(errors.PluginError, match="start late: no room"):
        await core.start()
    assert diary[-2:] == ["stop late", "stop early"]


@pytest.mark.parametrize(
    ("requires", "match"),
    [(("nobody",), "not registered"), (("self",), "require each other")],
)
async def test_impossible_orders_are_told(parts, requires, match):
    add_part(parts, [], "self", requires)
    with pytest.raises(errors.PluginError, match=match):
        await kernel.Kernel(make_context("test")).start()


async def test_a_second_signal_ends_a_drain_that_hangs(parts):
    # The operator sees the program end at once. The first signal starts
    # a drain that waits for a long stream; the second does not wait, and
    # what is still in flight is named in the log.
    gate = asyncio.Event()
    add_part(parts, [], "streams", gate=gate)
    core = kernel.Kernel(make_context("test"))
    await core.start()
    core.on_signal()
    await asyncio.sleep(0)
    assert core.not_ready() == ["kernel: draining"]
    assert not core.ended.is_set()
    core.on_signal()
    assert core.ended.is_set()
    gate.set()
    await core.drain_task
    await core.stop()


async def test_a_part_that_fails_to_drain_does_not_keep_others_from_it():
    # Callers at the other parts would be cut off, and what those hold would
    # not be given up, as the first one's drain raised.
    drained = []

    class Drains(kernel.Part):
        """Notes that it drains, and fails if it is told to."""

        def __init__(self, name, fails):
            self.name = name
            self.fails = fails

        @classmethod
        def from_config(cls, context):
            raise NotImplementedError

        async def drain(self):
            drained.append(self.name)
            if self.fails:
                raise ValueError("odd")

    core = kernel.Kernel(types.SimpleNamespace())
    core.parts = [Drains("a", False), Drains("b", True), Drains("c", False)]
    await core.drain()
    assert drained == ["c", "b", "a"]
