"""Operators' commands on the settings tree."""

__all__ = [
    "apply",
    "explain",
    "get",
    "hash_secret",
    "history",
    "keys",
    "plan",
    "revert",
    "set_values",
    "unset",
]

import asyncio
from collections.abc import AsyncIterator
import contextlib
import datetime
import getpass
import json
import sys
import tomllib
from typing import Any

import msgspec

from camphortray import check
from camphortray import config as configs
from camphortray import declaration
from camphortray import errors
from camphortray import plan as plans
from camphortray import plugins
from camphortray import publisher as publishers
from camphortray import settings
from camphortray import view as views
from camphortray.plugins import http_log

EXIT_GOOD = 0
EXIT_FAILED = 1
EXIT_DIFFERENCE = 2
LOG_ADDRESS = "127.0.0.1:9000"
TIMEOUT_S = 10.0
PLUGINS = (plugins,)


@contextlib.asynccontextmanager
async def open_publisher(
    address: str, author: str = ""
) -> AsyncIterator[publishers.Publisher]:
    """Open the settings stream and read it to its end."""
    service = http_log.HttpLog(configs.Address.from_text(address), TIMEOUT_S)
    publisher = publishers.Publisher(service, author or getpass.getuser())
    try:
        await publisher.start(TIMEOUT_S)
        yield publisher
    finally:
        await publisher.stop()
        await service.close()


def show_results(results: list[publishers.Published], as_json: bool) -> int:
    """Print what became of each change; return the exit code."""
    if as_json:
        print(msgspec.json.encode(results).decode())
    else:
        for result in results:
            print(result)
    good = all(result.verdict == "accepted" for result in results)
    return EXIT_GOOD if good else EXIT_FAILED


def plan(
    directory: str, *, log: str = LOG_ADDRESS, as_json: bool = False
) -> int:
    """Show how the declared settings differ from those in force.

    Exit code 0: no difference; 2: there is one; 1: it could not be told.

    Args:
      directory: Directory of TOML files, as under version control.
      log: ``IP:PORT`` of the platform's log.
      as_json: Print JSON.
    """

    async def run() -> int:
        wanted = declaration.Declaration.from_directory(directory)
        async with open_publisher(log) as publisher:
            made = plans.Plan.between(publisher.fold, wanted)
        print(msgspec.json.encode(made).decode() if as_json else made)
        return EXIT_DIFFERENCE if made.nodes else EXIT_GOOD

    return asyncio.run(run())


def apply(
    directory: str,
    *,
    log: str = LOG_ADDRESS,
    note: str = "",
    author: str = "",
    as_json: bool = False,
) -> int:
    """Publish the declared settings and tell what became of each node.

    If it stops half way, apply again: what was accepted stays so.

    Args:
      directory: Directory of TOML files, as under version control.
      log: ``IP:PORT`` of the platform's log.
      note: Why, kept in the history; e.g. the commit.
      author: Who, kept in the history; your user name by default.
      as_json: Print JSON.
    """

    async def run() -> int:
        wanted = declaration.Declaration.from_directory(directory)
        async with open_publisher(log, author) as publisher:
            made = plans.Plan.between(publisher.fold, wanted)
            if not made.nodes and not as_json:
                print(made)
            results = await publisher.apply(made, note)
        return show_results(results, as_json)

    return asyncio.run(run())


def get(node: str, key: str = "", *, log: str = LOG_ADDRESS) -> int:
    """Print the values in force at a node as JSON.

    Args:
      node: ``region``, ``region/service`` or ``region/service/job``.
      key: One dotted key; all keys by default.
      log: ``IP:PORT`` of the platform's log.
    """

    async def run() -> int:
        async with open_publisher(log) as publisher:
            view = settings.View(publisher.fold, node.split("/")[0])
        values = {k: v.value for k, v in view.resolve(node).items()}
        if key:
            found = values.get(key, default_of(key))
            print(json.dumps(found))
        else:
            print(json.dumps(values, indent=2, sort_keys=True))
        return EXIT_GOOD

    return asyncio.run(run())


def default_of(key: str) -> Any:
    """Return the default of a key.

    Raises:
      CamphortrayError: there is no such key.
    """
    found = settings.key_for(key)
    if found is None:
        raise errors.CamphortrayError(
            settings.check_value(key, None), step="settings", peer=key
        )
    return found.default


def explain(node: str, key: str, *, log: str = LOG_ADDRESS) -> int:
    """Tell which level gives a value, and what the key means.

    Args:
      node: ``region``, ``region/service`` or ``region/service/job``.
      key: Dotted key.
      log: ``IP:PORT`` of the platform's log.
    """

    async def run() -> int:
        default = default_of(key)
        spec = settings.key_for(key)
        assert spec is not None
        async with open_publisher(log) as publisher:
            view = settings.View(publisher.fold, node.split("/")[0])
        print(f"{key}: {spec.doc}")
        print(f"takes {check.describe(spec.hint)}{unit_of(spec)}")
        value = view.resolve(node).get(key)
        if value is None:
            print(f"{default!r} by default; no level sets it")
            return EXIT_GOOD
        for path in views.level_paths(node):
            held = view.nodes.get(path)
            if held is not None and key in held.values:
                mark = "in force" if path == value.node else "overridden"
                print(f"{held.values[key]!r} set at {path} ({mark})")
        return EXIT_GOOD

    return asyncio.run(run())


def unit_of(key: settings.Key) -> str:
    """Return the unit of a key in words."""
    return f" in {key.unit}" if key.unit else ""


def parse_pair(text: str) -> tuple[str, Any]:
    """Read ``KEY=VALUE``; the value is TOML, or else a text.

    >>> parse_pair("objective.ttft_s=1.5")
    ('objective.ttft_s', 1.5)
    >>> parse_pair("priority=latency")
    ('priority', 'latency')
    """
    key, sign, raw = text.partition("=")
    if not sign:
        raise errors.CamphortrayError(
            f"{text!r} is not KEY=VALUE", step="settings"
        )
    try:
        value = tomllib.loads(f"value = {raw}")["value"]
    except tomllib.TOMLDecodeError:
        value = raw
    wrong = settings.check_value(key, value)
    if wrong:
        raise errors.CamphortrayError(wrong, step="settings", peer=key)
    return key, value


async def change_node(
    log: str, author: str, note: str, node: str, edit: Any
) -> int:
    """Publish one change of one node made by ``edit`` on its values."""
    async with open_publisher(log, author) as publisher:
        held = publisher.fold.nodes.get(node, settings.Node())
        wanted = dict(held.values)
        edit(wanted)
        made = plans.NodePlan.between(node, held, wanted)
        if not made.edits:
            print("no difference")
            return EXIT_GOOD
        return show_results([await publisher.publish(made, note)], False)


def set_values(
    node: str,
    *pairs: str,
    log: str = LOG_ADDRESS,
    note: str = "",
    author: str = "",
) -> int:
    """Set values at a node.

    Args:
      node: ``region``, ``region/service`` or ``region/service/job``.
      pairs: ``KEY=VALUE``, the value in TOML.
      log: ``IP:PORT`` of the platform's log.
      note: Why, kept in the history.
      author: Who, kept in the history; your user name by default.
    """
    parsed = dict(parse_pair(pair) for pair in pairs)

    def edit(values: dict[str, Any]) -> None:
        values.update(parsed)

    return asyncio.run(change_node(log, author, note, node, edit))


def unset(
    node: str,
    *keys: str,
    log: str = LOG_ADDRESS,
    note: str = "",
    author: str = "",
) -> int:
    """Let a node inherit keys again.

    Args:
      node: ``region``, ``region/service`` or ``region/service/job``.
      keys: Dotted keys.
      log: ``IP:PORT`` of the platform's log.
      note: Why, kept in the history.
      author: Who, kept in the history; your user name by default.
    """

    def edit(values: dict[str, Any]) -> None:
        for key in keys:
            values.pop(key, None)

    return asyncio.run(change_node(log, author, note, node, edit))


def history(node: str = "", *, log: str = LOG_ADDRESS, most: int = 20) -> int:
    """List the last changes that the log still holds.

    Args:
      node: Only changes of this node.
      log: ``IP:PORT`` of the platform's log.
      most: Number of changes.
    """

    async def run() -> int:
        async with open_publisher(log) as publisher:
            entries = publisher.fold.history
        chosen = [e for e in entries if node in ("", e.change.node)]
        for entry in chosen[-most:]:
            print(history_line(entry))
        return EXIT_GOOD

    return asyncio.run(run())


def history_line(entry: publishers.Entry) -> str:
    """Return one change as one line."""
    change = entry.change
    at = datetime.datetime.fromtimestamp(change.at, datetime.UTC)
    edits = [f"{key}={value!r}" for key, value in change.set.items()]
    edits += [f"-{key}" for key in change.unset]
    note = f" ({change.note})" if change.note else ""
    return (
        f"{entry.revision:>6}  {at:%Y-%m-%dT%H:%M:%SZ}"
        f"  {change.author or '-'}  {change.node}: {' '.join(edits)}{note}"
    )


def revert(
    revision: int,
    *,
    log: str = LOG_ADDRESS,
    note: str = "",
    author: str = "",
) -> int:
    """Take a change back by a new change; revisions only grow.

    Args:
      revision: Which change, as ``settings history`` shows it.
      log: ``IP:PORT`` of the platform's log.
      note: Why, kept in the history.
      author: Who, kept in the history; your user name by default.
    """

    async def run() -> int:
        async with open_publisher(log, author) as publisher:
            found = [
                e for e in publisher.fold.history if e.revision == revision
            ]
            if not found:
                raise errors.CamphortrayError(
                    "the log holds no such change",
                    step="revert",
                    peer=str(revision),
                )
            change = found[0].change
            held = publisher.fold.nodes[change.node]
            made = plans.inverse(change, found[0].before, held)
            if not made.edits:
                print("no difference")
                return EXIT_GOOD
            why = note or f"reverts {revision}"
            return show_results([await publisher.publish(made, why)], False)

    return asyncio.run(run())


def keys() -> int:
    """List every key with type, unit, default and meaning."""
    for key in settings.KEYS:
        print(
            f"{key.pattern}: {check.describe(key.hint)}{unit_of(key)},"
            f" default {key.default!r}; {key.doc}"
        )
    return EXIT_GOOD


def hash_secret() -> int:
    """Read a key from standard input and print its hash for settings."""
    print(settings.hash_key(sys.stdin.readline().strip()))
    return EXIT_GOOD
