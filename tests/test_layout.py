"""Checks of the layout: decisions stay apart from sockets and clocks."""

import ast
import gc
import pathlib

import pytest

import camphortray
from tests import sources

PACKAGE = pathlib.Path(camphortray.__file__).parent
# Modules that decide. What they need of time and chance is handed in.
DECISIONS = (
    "endpoint_cache",
    "addresses",
    "antientropy",
    "attempt",
    "burn",
    "burn_rate",
    "calls",
    "check",
    "collector",
    "completion",
    "concurrency_limit",
    "coordinator",
    "coordinator_election",
    "crash_attribution",
    "crash_counter",
    "deadline",
    "declaration",
    "draining",
    "engine_registry",
    "enginehealth",
    "eventstream",
    "facts",
    "failure_detector",
    "fairness",
    "fold",
    "gossip",
    "grouping",
    "headroom",
    "holding",
    "item_retry",
    "item_stall_detector",
    "itempolicy",
    "job_reader",
    "jobparams",
    "jobqueue",
    "jobquota",
    "jobrecords",
    "jobs",
    "jobstate",
    "limits",
    "list_polling",
    "member_state",
    "members",
    "multipart",
    "node",
    "online",
    "onlinepeaks",
    "opaque",
    "openai_format",
    "priority_queue",
    "orders",
    "orphaned_leases",
    "outlier",
    "overlay",
    "owner_candidates",
    "partition_state",
    "plan",
    "poison",
    "prefix",
    "record_cache",
    "records",
    "resume",
    "retry",
    "revocations",
    "ring",
    "rollout",
    "routemap",
    "routing",
    "settingkeys",
    "settings",
    "shards",
    "slot_accounting",
    "slot_queue",
    "slot_reconciler",
    "slot_scheduler",
    "slottable",
    "snapshot",
    "log_search",
    "takeover",
    "trace",
    "view",
)
# Names that have been replaced by the field's terms, of modules, classes and
# functions; docs/GLOSSARY.md has the terms.
RETIRED = frozenset(
    """
    BreakBook Breaks CallKeeper CallWatch CatchUp Courier Desk Desks
    EngineBook Home HostRoll InForce InForceAnswer InForceAsk JobBook
    JobDesk JobOwner JobOwners JobWaiting Knowledge LeavingBook ListPace
    Neighbours OpenItems Orphans OwnerBook OwnerWord Passage PassageParts
    PlaceAsk PlaceEnd PlaceReport PlaceWord Placement Placing Recall
    Recalls SlotAudit SlotBook SlotUse StrayEntries Taker WantText Watch
    look_at_engines on_turn take_grant take_recall take_word trust_again
    """.split()
)
RETIRED_MODULES = frozenset(
    """
    breakbook breaks callkeeper callwatch catchup courier dialect
    enginebook exchange hello hostroll inforce intake itemfate itemwatch
    jobbook jobdesk jobowner jobowners jobwaiting knowledge leaving
    listpace neighbours openitems orphans ownerbook passage placements
    placing placingcalls placingreports recalls recent recording slotaudit
    slotbook slotcoordinators slotdesk slotuse slotwants spread strays
    taking watch window
    """.split()
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
    tree = sources.parse((PACKAGE / f"{name}.py").read_text())
    assert imported(tree) & FORBIDDEN == set()
    assert global_random(tree) == []


def test_the_check_itself_finds_offenders():
    tree = sources.parse("import time\nimport random\nrandom.random()")
    assert imported(tree) & FORBIDDEN == {"time"}
    assert global_random(tree) == ["random"]


@pytest.mark.parametrize(
    "path", sorted(PACKAGE.rglob("*.py")), ids=lambda p: p.name
)
def test_modules_open_with_one_line_and_sort_their_names(path):
    tree = sources.parse(path.read_text())
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


@pytest.mark.parametrize(
    "path",
    sorted(
        path
        for folder in (PACKAGE, PACKAGE.parent / "platform")
        for path in folder.rglob("*.py")
        if "target" not in path.parts
    ),
    ids=lambda path: path.stem,
)
def test_retired_names_do_not_come_back(path):
    tree = sources.parse(path.read_text())
    kinds = (ast.ClassDef, ast.FunctionDef, ast.AsyncFunctionDef)
    names = {node.name for node in ast.walk(tree) if isinstance(node, kinds)}
    assert names & RETIRED == set()
    assert path.stem not in RETIRED_MODULES


class ParsesWhenCollected:
    """Garbage that parses a source as it is collected."""

    def __init__(self):
        self.itself = self

    def __del__(self):
        ast.parse("a + b * (c - d)")


def test_a_source_is_parsed_though_garbage_parses_too():
    """A trace printed by a collected task ended a test with SystemError."""
    text = (PACKAGE / "config.py").read_text()
    threshold = gc.get_threshold()
    gc.set_threshold(50, 2, 2)
    try:
        for _ in range(20):
            ParsesWhenCollected()
            assert sources.parse(text).body
    finally:
        # None is left to parse within a parse of others.
        gc.collect()
        gc.set_threshold(*threshold)
