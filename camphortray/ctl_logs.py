"""Operators' commands on logs."""

__all__ = ["explain"]

from collections.abc import Iterator
import pathlib
import sys

from camphortray import log_search


def lines_of(files: tuple[str, ...]) -> Iterator[str]:
    """Yield the lines of files, or of standard input without any."""
    if not files:
        yield from sys.stdin
        return
    for name in files:
        with pathlib.Path(name).open(encoding="utf-8") as source:
            yield from source


def explain(name: str, *files: str) -> int:
    """Tell what happened to a request, job, item or engine.

    Reads log lines of any number of hosts and shows those that speak of
    the id, in order of time.

    Args:
      name: Id of the request, job, item or engine.
      files: Log files; standard input without any.
    """
    try:
        found = log_search.find(log_search.read_lines(lines_of(files)), name)
    except OSError as error:
        print(f"camphortray-ctl: {error}", file=sys.stderr)
        return 2
    try:
        for line in found:
            print(log_search.format_line(line))
    except BrokenPipeError:
        # Whoever reads, such as a pager, has seen enough.
        sys.stderr.close()
        return 0
    if not found:
        print(f"camphortray-ctl: no line names {name}", file=sys.stderr)
    return 0 if found else 1
