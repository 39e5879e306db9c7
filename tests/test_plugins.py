"""Tests that plug-ins are found by name, also outside the package."""

import random

import pytest

from camphortray import clock
from camphortray import config as configs
from camphortray import engine
from camphortray import errors
from camphortray import kernel
from camphortray import log_backends
from camphortray import metrics
from tests import test_config

TAPE = test_config.GOOD.replace('"127.0.0.1:9000"', '"127.0.0.1:9"', 1)
TAPE = TAPE.replace('"127.0.0.1:9"', '"127.0.0.1:9"\nplugin = "tape"')


def make_backends(text, modules):
    config = configs.Config.from_toml(f"plugins = {modules!r}\n{text}")
    context = kernel.Context(
        config,
        "entry",
        1,
        clock.ManualClock(),
        random.Random(0),
        metrics.Metrics(),
    )
    return log_backends.Backends.from_config(context)


async def test_an_external_plugin_replaces_the_log():
    loaded = make_backends(TAPE, ["tests.outside.tape"])
    assert type(loaded.log).__name__ == "Tape"
    assert loaded.log.address == "127.0.0.1:9"
    assert await loaded.log.append("s", b"record") == 0


async def test_an_external_plugin_serves_engines():
    loaded = make_backends(TAPE, ["tests.outside.tape"])
    upstream = engine.Upstream("e", configs.Address("127.0.0.1", 1), "")
    request = engine.EngineRequest("r", "/v1/completions", b"{}", False)
    stream = await loaded.engine("parrot").open(upstream, request)
    assert await engine.read_all(stream, 1.0) == b"{}"


@pytest.mark.parametrize(
    ("text", "modules", "match"),
    [
        (TAPE.replace("tape", "paper"), [], "no log plug-in 'paper'; known"),
        (TAPE, ["tests.outside.nowhere"], "load tests.outside.nowhere"),
    ],
)
def test_an_unknown_plugin_or_module_is_named_in_the_error(
    text, modules, match
):
    with pytest.raises(errors.PluginError, match=match):
        make_backends(text, modules)
