"""What a start of the program ``host`` need not pay for."""

import json
import os
import pathlib
import subprocess
import sys

import pytest

ROOT = pathlib.Path(__file__).resolve().parent.parent
# Tells which modules a start imports, and which of our classes are
# dataclasses, whose methods are generated and compiled at each start.
LOOK = """
import dataclasses
import json
import sys

import camphortray_platform.program

ours = [
    value
    for name, module in sys.modules.items()
    if name.partition(".")[0] in ("camphortray", "camphortray_platform")
    for value in vars(module).values()
    if isinstance(value, type) and value.__module__ == name
]
generated = [c.__qualname__ for c in ours if dataclasses.is_dataclass(c)]
print(json.dumps([sorted(sys.modules), len(ours), sorted(generated)]))
"""


@pytest.fixture(scope="module")
def start():
    """Return modules, number of our classes and dataclasses of a start."""
    paths = (str(ROOT), str(ROOT / "platform"))
    done = subprocess.run(
        [sys.executable, "-c", LOOK],
        env={**os.environ, "PYTHONPATH": os.pathsep.join(paths)},
        stdout=subprocess.PIPE,
        check=True,
    )
    return json.loads(done.stdout)


def test_a_start_generates_no_data_class(start):
    """All hosts start at once and spend the time on compiling methods."""
    _, classes, generated = start
    assert classes > 100
    assert generated == []


@pytest.mark.parametrize(
    "name",
    [
        "camphortray.log",
        "camphortray.service",
        "camphortray.weights",
        "difflib",
    ],
)
def test_a_start_imports_nothing_that_a_host_does_not_run(start, name):
    """All hosts start at once and spend the time on modules left unused."""
    modules, _, _ = start
    assert "camphortray.backends" in modules
    assert name not in modules
