"""Checks of the layout: decisions stay apart from sockets and clocks."""

import ast
import pathlib

import pytest

import camphortray

PACKAGE = pathlib.Path(camphortray.__file__).parent
# Modules that decide. What they need of time and chance is handed in.
DECISIONS = (
    "addressbook",
    "addresses",
    "antientropy",
    "attempt",
    "breakbook",
    "burn",
    "burnrate",
    "calls",
    "check",
    "collector",
    "completion",
    "coordinator",
    "deadline",
    "declaration",
    "enginebook",
    "enginehealth",
    "eventstream",
    "facts",
    "fairness",
    "fold",
    "gossip",
    "grouping",
    "headroom",
    "holding",
    "intake",
    "itemfate",
    "itempolicy",
    "itemwatch",
    "jobbook",
    "jobparams",
    "jobqueue",
    "jobquota",
    "jobrecords",
    "jobs",
    "jobstate",
    "knowledge",
    "leaving",
    "limits",
    "listpace",
    "members",
    "multipart",
    "neighbours",
    "node",
    "online",
    "onlinepeaks",
    "opaque",
    "openai_format",
    "ordered",
    "orders",
    "orphans",
    "outlier",
    "plan",
    "poison",
    "prefix",
    "recalls",
    "recent",
    "records",
    "resume",
    "retry",
    "ring",
    "rollout",
    "routemap",
    "routing",
    "settingkeys",
    "settings",
    "shards",
    "slotaudit",
    "slotbook",
    "slotcoordinators",
    "slottable",
    "slotuse",
    "slotwants",
    "snapshot",
    "story",
    "takeover",
    "trace",
    "view",
    "watch",
    "window",
)
FORBIDDEN = frozenset({"asyncio", "select", "socket", "ssl", "time"})


def imported(tree: ast.AST) -> set[str]:
    """Return the first names of all imports."""
    names = set()
    for node in ast.walk(tree):
        if isinstance(node, ast.Import):
            names |= {alias.name.partition(".")[0] for alias in node.names}
        elif isinstance(node, ast.ImportFrom) and node.module:
            names.add(node.module.partition(".")[0])
    return names


def global_random(tree: ast.AST) -> list[str]:
    """Return uses of the random module other than its class."""
    return [
        node.attr
        for node in ast.walk(tree)
        if isinstance(node, ast.Attribute)
        and isinstance(node.value, ast.Name)
        and node.value.id == "random"
        and node.attr != "Random"
    ]


@pytest.mark.parametrize("name", DECISIONS)
def test_decisions_touch_no_clock_and_no_socket(name):
    tree = ast.parse((PACKAGE / f"{name}.py").read_text())
    assert imported(tree) & FORBIDDEN == set()
    assert global_random(tree) == []


def test_the_check_itself_finds_offenders():
    tree = ast.parse("import time\nimport random\nrandom.random()")
    assert imported(tree) & FORBIDDEN == {"time"}
    assert global_random(tree) == ["random"]


@pytest.mark.parametrize(
    "path", sorted(PACKAGE.rglob("*.py")), ids=lambda p: p.name
)
def test_modules_open_with_one_line_and_sort_their_names(path):
    tree = ast.parse(path.read_text())
    doc = ast.get_docstring(tree) or ""
    assert doc.splitlines()[0].endswith(".")
    for node in tree.body:
        if isinstance(node, ast.Assign) and any(
            isinstance(t, ast.Name) and t.id == "__all__" for t in node.targets
        ):
            names = ast.literal_eval(node.value)
            assert names == sorted(names)
            return
    assert path.name == "__main__.py", "no __all__"
