"""Loops of a host that go on for ever, whatever error meets them.

What callers saw, with errors injected: a host whose loop that asks for slots
had ended took jobs and ran none of their items, and nothing told. An error
that no code expects ends the task in which it is raised; only work that is
begun again by ``tasks.forever`` outlives it.
"""

import ast
import pathlib

import pytest

from camphortray import config_gossip
from camphortray import slot_granter
from camphortray import slots
from tests import jobcluster
from tests import sources

PACKAGE = pathlib.Path(__file__).parent.parent / "camphortray"
# Loops whose end is acted upon by another way.
OTHERWISE = {
    # The owner of the partition gives up as its writer ends.
    ("partwriter", "run"),
    # Ends with its link; the next question opens another.
    ("peers", "run_oneway"),
    # Not part of a host.
    ("load", "keep_addresses"),
    ("standin_model", "run"),
}


def begun_bare(module):
    """Return methods given to ``create_task`` as they are."""
    return {
        node.args[0].func.attr
        for node in ast.walk(module)
        if isinstance(node, ast.Call)
        and isinstance(node.func, ast.Attribute)
        and node.func.attr == "create_task"
        and node.args
        and isinstance(node.args[0], ast.Call)
        and isinstance(node.args[0].func, ast.Attribute)
    }


def endless(module):
    """Return methods that end in a loop without end."""
    return {
        node.name
        for node in ast.walk(module)
        if isinstance(node, ast.AsyncFunctionDef)
        and isinstance(node.body[-1], ast.While)
        and isinstance(node.body[-1].test, ast.Constant)
    }


@pytest.mark.parametrize(
    "path", sorted(PACKAGE.glob("*.py")), ids=lambda path: path.stem
)
def test_endless_work_is_begun_again_after_an_error(path):
    module = sources.parse(path.read_text())
    bare = begun_bare(module) & endless(module)
    assert {(path.stem, name) for name in bare} <= OTHERWISE


@pytest.mark.parametrize(
    "part, name",
    [
        (slots.Slots, "wants"),
        (slots.Slots, "ask"),
        (slot_granter.SlotGranter, "report"),
        (slot_granter.SlotGranter, "busy"),
        (config_gossip.Spread, "fetch"),
    ],
)
async def test_a_job_is_done_though_a_loop_meets_an_odd_error(
    part, name, monkeypatch
):
    # A step of the loop raises once what a library has let out.
    jobcluster.hurry(monkeypatch)
    step, met = getattr(part, name), []

    def odd(self, *args):
        if not met:
            met.append(name)
            raise AttributeError("'NoneType' object has no attribute 'write'")
        return step(self, *args)

    async with jobcluster.JobCluster() as cluster:
        monkeypatch.setattr(part, name, odd)
        _, job = await cluster.submit(
            "k", [jobcluster.item(f"q {n}") for n in range(8)]
        )
        told = await cluster.ended(job["id"])
        assert told["done"] == 8
        assert met or part is config_gossip.Spread
