"""Checks that what the docs name is there."""

import pathlib
import re

import pytest

ROOT = pathlib.Path(__file__).parent.parent
PAGES = sorted(ROOT.glob("docs/**/*.md")) + [ROOT / "README.md"]
BENCH = re.compile(r"python -m ((?:bench|spec)[\w.]*)")
LINK = re.compile(r"\]\(([^)#]+\.md)\)")


def test_every_promise_names_tests_that_are_there():
    text = (ROOT / "docs/PROMISES.md").read_text()
    for part in text.split("\n- `")[1:]:
        module, _, names = part.partition("`")
        source = ROOT / "tests" / module
        if not module.endswith(".py"):
            continue
        for name in re.findall(r"`(test_\w+)`", names.split("\n- ")[0]):
            assert f"def {name}(" in source.read_text(), (module, name)
    assert text.count("\n## ") == 9


@pytest.mark.parametrize("page", PAGES, ids=lambda p: p.name)
def test_commands_and_links_of_a_page_lead_somewhere(page):
    text = page.read_text()
    for module in BENCH.findall(text):
        path = ROOT / module.replace(".", "/")
        assert path.with_suffix(".py").exists() or path.is_dir(), module
    for target in LINK.findall(text):
        assert (page.parent / target).exists(), target


def test_every_module_has_a_row_in_the_readme():
    text = (ROOT / "README.md").read_text()
    rows = {
        name
        for line in text.splitlines()
        if line.startswith("| `")
        for name in re.findall(r"`(\w+)[`*/]", line.split("|")[1])
    }
    modules = {path.stem for path in (ROOT / "camphortray").glob("*.py")}
    programs = {"__init__", "entry", "batch", "ctl", "report", "load"}
    covered = {
        m
        for m in modules
        if any(m == r or m.startswith(r + "_") for r in rows)
    }
    missing = modules - covered - programs
    assert {
        m for m in missing if not m.startswith(("standin", "ctl"))
    } == set()
