"""What each mechanism is worth: days played with one switched off at a time.

``python -m bench.ablation LIST --bench PROGRAM --sites FOLDER`` plays, at a
commit, each day of each site of the list with each seed and each switch, and
prints a Markdown table; means, with the least and the most. Keys of LIST, in
TOML, are ``sites`` (below FOLDER), ``days``, ``seeds`` and ``off`` (keys of
``[experiments]``; an empty text for nothing).

Each switch is played on a scratch copy of the commit, in which nothing is
changed but one line of the deploy file, its ``env``. The entries that plays
leave in the copy's journal come into the journal here.
"""

__all__ = [
    "Figures",
    "deploy_without",
    "figures_of",
    "items_classes",
    "main",
    "table",
]

import argparse
from collections.abc import Iterable
from collections.abc import Sequence
import concurrent.futures
import dataclasses
import pathlib
import re
import shutil
import subprocess
import sys
import tempfile
import tomllib

import msgspec

from camphortray import config as configs

ROOT = pathlib.Path(__file__).resolve().parent.parent
DEPLOY = "deploy/system.toml"
# Copies lie here, not in the system's folder for such: a process that is
# played has one of its own in its place, and would not find its program.
SCRATCH = ROOT / "out"
VARIABLE = "CAMPHORTRAY_EXPERIMENTS_OFF"
ROLE = "[roles.host]\n"
# Longest play, in seconds; one takes about a minute.
PLAY_S = 1200
WORTH = re.compile(r"^worth (-?\d+\.\d+) = ", re.MULTILINE)
CONNECTIONS = re.compile(r"^- (\d+) new connections to servers", re.MULTILINE)
CLASSES = re.compile(r"^class +asked .*\n((?:\S.*\n)+)", re.MULTILINE)


@dataclasses.dataclass(frozen=True)
class Figures:
    """What one play gave.

    Attributes:
      worth: Of the day.
      questions: That were answered in time.
      asked: Questions in all.
      items: Share of the items owed that were done in time.
      connections: New ones to engines.
      p99_ms: Of the class of questions whose p99 is the longest.
    """

    worth: float
    questions: int
    asked: int
    items: float
    connections: int
    p99_ms: float


@dataclasses.dataclass(frozen=True)
class Play:
    """One day to be played.

    Attributes:
      off: The switch, or empty for none.
      site: File of the site, below the folder of sites.
      day: Name of the day.
      seed: Its seed.
    """

    off: str
    site: str
    day: str
    seed: int


@dataclasses.dataclass(frozen=True)
class Scratch:
    """Where plays run.

    Attributes:
      program: The users' bench.
      sites: Folder of the site files.
      folder: Of the scratch copies, by switch.
    """

    program: pathlib.Path
    sites: pathlib.Path
    folder: pathlib.Path

    def copy(self, off: str) -> pathlib.Path:
        """Return the folder of the copy without a mechanism."""
        return self.folder / (off or "nothing")

    def prepare(self, switches: Iterable[str]) -> None:
        """Make a copy for each switch; built once, as all build alike."""
        first = self.folder / "built"
        subprocess.run(
            ["git", "clone", "-q", str(ROOT), str(first)], check=True
        )
        subprocess.run([str(self.program), "build"], cwd=first, check=True)
        for off in switches:
            copy = self.copy(off)
            shutil.copytree(first, copy, symlinks=True)
            path = copy / DEPLOY
            path.write_text(deploy_without(path.read_text(), off))

    def play(self, play: Play) -> Figures | None:
        """Play a day; return None if it gave no figures."""
        site = self.sites / play.site
        command = [str(self.program), "run", str(site), play.day]
        command += ["--no-cpu", "--seed", str(play.seed)]
        command += ["--why", f"ablation: without {play.off or 'nothing'}"]
        copy = self.copy(play.off)
        done = subprocess.run(
            command, cwd=copy, capture_output=True, text=True, timeout=PLAY_S
        )
        keep_journal(copy / "journal", ROOT / "journal")
        items = items_classes(tomllib.loads(site.read_text()))
        try:
            figures = figures_of(done.stdout, items)
        except ValueError as error:
            print(f"{play}: {error}", done.stderr[-500:], file=sys.stderr)
            return None
        print(play, figures, file=sys.stderr)
        return figures


def keep_journal(source: pathlib.Path, target: pathlib.Path) -> None:
    """Copy the entries that are not there yet."""
    for path in source.rglob("*"):
        place = target / path.relative_to(source)
        if path.is_file() and not place.exists():
            place.parent.mkdir(parents=True, exist_ok=True)
            shutil.copy2(path, place)


def deploy_without(text: str, off: str) -> str:
    """Return a deploy file whose role runs without a mechanism.

    Raises:
      ValueError: the file has another form than expected.
    """
    if not off:
        return text
    if text.count(ROLE) != 1 or re.search(r"^env\b", text, re.MULTILINE):
        raise ValueError(f"no single role without env in {DEPLOY}")
    return text.replace(ROLE, f'{ROLE}env = {{ {VARIABLE} = "{off}" }}\n')


def items_classes(site: dict) -> frozenset[str]:
    """Return the names of the classes whose requests are batch items."""
    return frozenset(
        each["name"] for each in site["classes"] if each["kind"] == "batch"
    )


def figures_of(text: str, items: frozenset[str]) -> Figures:
    """Read the figures of a play from what it printed.

    Args:
      text: All that was printed.
      items: Classes that are batch items; the others are questions.

    Raises:
      ValueError: a figure is missing, as where a day was given up.
    """
    worth, connections = WORTH.search(text), CONNECTIONS.search(text)
    classes = CLASSES.search(text)
    if worth is None or connections is None or classes is None:
        raise ValueError("figures are missing")
    in_time = asked = items_in_time = items_owed = 0
    p99_ms = 0.0
    for line in classes[1].splitlines():
        name, told, aim, _, _, _, not_owed, _, _, p99 = line.split()
        if name in items:
            items_in_time += int(aim)
            items_owed += int(told) - int(not_owed)
        else:
            in_time += int(aim)
            asked += int(told)
            p99_ms = max(p99_ms, float(p99))
    return Figures(
        float(worth[1]),
        in_time,
        asked,
        items_in_time / items_owed if items_owed else 1.0,
        int(connections[1]),
        p99_ms,
    )


def spread(values: Sequence[float], digits: int) -> str:
    """Return mean, least and most.

    >>> spread([1.0, 2.0], 1)
    '1.5 (1.0 to 2.0)'
    """
    mean = sum(values) / len(values)
    numbers = (mean, min(values), max(values))
    texts = [f"{number:,.{digits}f}" for number in numbers]
    return f"{texts[0]} ({texts[1]} to {texts[2]})"


def table(found: dict[Play, Figures | None]) -> str:
    """Return the table, a row for each site, day and switch."""
    rows: dict[tuple[str, str, str], list[Figures | None]] = {}
    for play, figures in found.items():
        site = pathlib.PurePath(play.site).stem
        key = site, play.day, play.off or "nothing"
        rows.setdefault(key, []).append(figures)
    lines = [
        "| site, day | off | plays | worth | questions in time | asked"
        " | items in time | connections | p99 of questions, ms |",
        "|" + " --- |" * 9,
    ]
    for (site, day, off), held in rows.items():
        good = [figures for figures in held if figures is not None]
        cells = [f"{site}, {day}", off, f"{len(good)} of {len(held)}"]
        if good:
            cells += [
                spread([f.worth for f in good], 3),
                spread([f.questions for f in good], 0),
                spread([f.asked for f in good], 0),
                spread([f.items for f in good], 3),
                spread([f.connections for f in good], 0),
                spread([f.p99_ms for f in good], 0),
            ]
        else:
            cells += ["none"] * 6
        lines.append(f"| {' | '.join(cells)} |")
    return "\n".join(lines)


def plays_of(listed: dict) -> list[Play]:
    """Return the plays of a list.

    Raises:
      ValueError: it names a switch that there is not.
    """
    known = {
        field.name
        for field in msgspec.structs.fields(configs.ExperimentsConfig)
    }
    unknown = set(listed["off"]) - known - {""}
    if unknown:
        raise ValueError(f"no such switch: {', '.join(sorted(unknown))}")
    return [
        Play(off, site, day, seed)
        for site in listed["sites"]
        for day in listed["days"]
        for off in listed["off"]
        for seed in listed["seeds"]
    ]


def main() -> int:
    """Play a list and print its table; return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("list", type=pathlib.Path)
    parser.add_argument("--bench", type=pathlib.Path, required=True)
    parser.add_argument("--sites", type=pathlib.Path, required=True)
    parser.add_argument("--at-once", type=int, default=3)
    given = parser.parse_args()
    plays = plays_of(tomllib.loads(given.list.read_text()))
    commit = subprocess.run(
        ["git", "rev-parse", "--short", "HEAD"],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=True,
    ).stdout.strip()
    SCRATCH.mkdir(exist_ok=True)
    with tempfile.TemporaryDirectory(dir=SCRATCH) as folder:
        scratch = Scratch(
            given.bench.resolve(),
            given.sites.resolve(),
            pathlib.Path(folder),
        )
        scratch.prepare(dict.fromkeys(play.off for play in plays))
        with concurrent.futures.ThreadPoolExecutor(given.at_once) as pool:
            found = dict(
                zip(plays, pool.map(scratch.play, plays), strict=True)
            )
    print(f"Commit {commit}, {len(plays)} plays.\n\n{table(found)}")
    return 0 if all(found.values()) else 1


if __name__ == "__main__":
    sys.exit(main())
