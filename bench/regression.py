"""Scores and hunts of all sites of a list, on the users' bench.

``python -m bench.regression bench/regression.toml --bench PROGRAM --sites
FOLDER`` scores each site, then hunts the days that the list asks for, and
prints a line for each. It ends with 1 if a gate is not passed, a rule is
broken, or a run gives no figures.
"""

__all__ = ["Site", "Verdict", "load", "main", "verdict_of"]

import argparse
from collections.abc import Sequence
import dataclasses
import pathlib
import re
import subprocess
import sys
import tomllib

import msgspec

# Lines by which a run tells its outcome.
PASSED, FAILED = "GATE passed", "GATE failed"
HUNTED = re.compile(r"\d+ days on \S+, (\d+) with a rule broken")


@dataclasses.dataclass(frozen=True)
class Site:
    """One site of the list.

    Attributes:
      file: Below the folder of sites.
      days: Days of a hunt.
    """

    file: str
    days: int


@dataclasses.dataclass(frozen=True)
class Sites:
    """The list."""

    site: tuple[Site, ...]


@dataclasses.dataclass(frozen=True)
class Verdict:
    """What a run told.

    Attributes:
      good: Whether all held.
      line: The line that says so, or the last one.
    """

    good: bool
    line: str


def load(path: pathlib.Path) -> tuple[Site, ...]:
    """Read a list of sites.

    Raises:
      ValidationError: a field is missing or wrong; it is named.
    """
    data = tomllib.loads(path.read_text(encoding="utf-8"))
    return msgspec.convert(data, Sites, strict=True).site


def verdict_of(output: str, code: int) -> Verdict:
    """Read the outcome of a score or a hunt from what it printed."""
    lines = [line.strip() for line in output.splitlines() if line.strip()]
    for line in reversed(lines):
        if line.startswith(FAILED):
            return Verdict(False, line)
        if line.startswith(PASSED):
            return Verdict(code == 0, line)
        hunted = HUNTED.match(line)
        if hunted:
            return Verdict(code == 0 and hunted[1] == "0", line)
    return Verdict(False, lines[-1] if lines else "no output")


def run(program: str, arguments: Sequence[str]) -> Verdict:
    """Run the users' bench once."""
    done = subprocess.run(
        [program, *arguments], capture_output=True, text=True
    )
    return verdict_of(done.stdout, done.returncode)


def main(arguments: Sequence[str] | None = None) -> int:
    """Run from the command line; return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("list", type=pathlib.Path)
    parser.add_argument("--bench", required=True)
    parser.add_argument("--sites", type=pathlib.Path, required=True)
    parser.add_argument("--jobs", type=int, default=2)
    parser.add_argument("--why", default="regression run")
    told = parser.parse_args(arguments)
    good = True
    for site in load(told.list):
        path = str(told.sites / site.file)
        common = ["--jobs", str(told.jobs), "--why", told.why]
        for verb in (
            ["score", path, *common],
            ["hunt", path, "--days", str(site.days), *common],
        ):
            verdict = run(told.bench, verb)
            good &= verdict.good
            print(f"{verb[0]} {site.file}: {verdict.line}", flush=True)
    return 0 if good else 1


if __name__ == "__main__":
    sys.exit(main())
