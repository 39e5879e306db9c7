"""Log lines of one id, out of those of many hosts."""

import json

import pytest

from camphortray import ctl_logs
from camphortray import log_search

LINES = [
    {"time": "2", "host": "b", "part": "slots", "message": "x.0 refused"},
    {"time": "1", "host": "a", "part": "forwarder", "request_id": "x"},
    {"time": "3", "host": "a", "part": "forwarder", "message": "y ends"},
    {"time": "4", "host": "a", "part": "p", "avoided": ["e1"], "n": 3},
]


@pytest.fixture
def file(tmp_path):
    """Return a log file with lines of several forms."""
    path = tmp_path / "log"
    text = [f" 1.5 node {json.dumps(line)}" for line in LINES]
    path.write_text("\n".join(["no json", "{broken", *text]))
    return str(path)


@pytest.mark.parametrize(
    ("name", "times"), [("x", ["1", "2"]), ("e1", ["4"]), ("z", [])]
)
def test_lines_of_an_id_are_shown_in_order(file, capsys, name, times):
    assert ctl_logs.explain(name, file) == (0 if times else 1)
    shown = capsys.readouterr().out.splitlines()
    assert [line.split()[0] for line in shown] == times


def test_a_file_that_is_not_there_is_told(tmp_path, capsys):
    assert ctl_logs.explain("x", str(tmp_path / "none")) == 2
    assert "none" in capsys.readouterr().err


def test_what_decided_a_line_is_shown_behind_it():
    line = log_search.Line("4", LINES[3])
    assert log_search.format_line(line) == "4 a p:  [avoided=['e1'] n=3]"
