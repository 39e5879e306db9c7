"""The settings tree: a fold of the ``settings`` stream, and its view.

A node is a path: ``region``, ``region/service`` or
``region/service/job``. A key is dotted, e.g. ``objective.ttft_s``; a
value not set at a node is inherited from the node above.
"""

__all__ = [
    "Change",
    "KEYS",
    "Key",
    "Node",
    "Service",
    "SettingsFold",
    "Value",
    "View",
    "Workspace",
    "hash_key",
]

import dataclasses
import functools
import hashlib
from typing import Annotated
from typing import Any

import msgspec

from camphortray import config as configs
from camphortray import engine
from camphortray import fold as folds
from camphortray import records

CHANGE = "change"
STREAM = "settings"

Share = Annotated[float, msgspec.Meta(ge=0, le=1)]
Amount = Annotated[float, msgspec.Meta(ge=0)]
Seconds = configs.Seconds
Count = configs.Count


@dataclasses.dataclass(frozen=True)
class Key:
    """What a key may hold.

    Attributes:
      pattern: Dotted name; ``*`` stands for one name of the operator's.
      hint: Type that a value must have.
      default: Value where nothing is set; None where there is none.
      unit: e.g. ``"s"``.
      doc: One line for ``explain``.
    """

    pattern: str
    hint: Any
    default: Any
    unit: str
    doc: str


KEYS = (
    Key("kind", str, "engines", "", "engines, or plain for other services"),
    Key("priority", str, "latency", "", "latency or throughput first"),
    Key("objective.ttft_s", Seconds, 1.2, "s", "time to first token"),
    Key("objective.itl_s", Seconds, 0.041, "s", "time between tokens"),
    Key("objective.share", Share, 0.95, "", "share that must meet it"),
    Key("objective.available", Share, 0.999, "", "share answered"),
    Key("model.*.version", str, None, "", "version wanted"),
    Key("model.*.adapters", tuple[str, ...], (), "", "adapters wanted"),
    Key("upstream.*.address", configs.AddressText, None, "", "IP:PORT"),
    Key("upstream.*.availability_zone", str, "", "", "where it stands"),
    Key("upstream.*.plugin", str, "openai", "", "how to speak to it"),
    Key("upstream.*.slots", Count, 32, "requests", "run at once"),
    Key("upstream.*.checks_fencing", bool, False, "", "refuses old orders"),
    Key("upstream.*.role", str, "mixed", "", "role wanted"),
    Key("workspace.*.keys", tuple[str, ...], (), "", "SHA-256 of its keys"),
    Key("workspace.*.weight", Amount, 1.0, "", "share when queues form"),
    Key("workspace.*.requests_per_s", Amount, 0.0, "1/s", "0: no limit"),
    Key("operator.*.keys", tuple[str, ...], (), "", "SHA-256 of its keys"),
    Key("route.*.idempotent", bool, True, "", "whether calls may repeat"),
    Key("limit.queue", Count, 256, "requests", "waiting at one host"),
    Key("limit.deadline_s", Seconds, 60.0, "s", "where none is given"),
    Key("limit.silence_s", Seconds, 5.0, "s", "longest gap in an answer"),
    Key("retry.share", Share, 0.2, "", "retries to recent successes"),
    Key("poison.quarantine_s", Seconds, 3600.0, "s", "of a proven request"),
    Key("call.keep_s", Seconds, 86400.0, "s", "answers of claimed calls"),
    Key("job.keep_s", Seconds, 86400.0, "s", "results after the end"),
    Key("job.max_items", Count, 140_000, "items", "in one job"),
    Key("job.attempts", Count, 4, "", "tries of an item"),
    Key("job.weight", Amount, 1.0, "", "share among jobs"),
    Key("batch.share", Share, 1.0, "", "of slots that batch may use"),
)


@functools.cache
def key_for(name: str) -> Key | None:
    """Return what a dotted key may hold, or None if there is no such key.

    >>> key_for("workspace.home-1.weight").default
    1.0
    """
    parts = name.split(".")
    for key in KEYS:
        pattern = key.pattern.split(".")
        if len(pattern) == len(parts) and all(
            want in ("*", have)
            for want, have in zip(pattern, parts, strict=True)
        ):
            return key
    return None


def hash_key(secret: str) -> str:
    """Return the hash under which a caller's key stands in settings."""
    return hashlib.sha256(secret.encode()).hexdigest()


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """One change of one node.

    Attributes:
      node: Path of the node.
      base: Revision of the node that it was made against, 0 for a new
        one; if the node has moved on, the change is refused.
      set: Values by dotted key.
      unset: Keys to inherit again.
      author: Who made it, for people.
      note: Why, for people.
    """

    node: str
    base: int
    set: dict[str, Any] = dataclasses.field(default_factory=dict)
    unset: tuple[str, ...] = ()
    author: str = ""
    note: str = ""


@dataclasses.dataclass(slots=True)
class Node:
    """One node of the tree.

    Attributes:
      revision: Revision of its last change.
      values: Values set here, by dotted key.
    """

    revision: int = 0
    values: dict[str, Any] = dataclasses.field(default_factory=dict)


class SettingsFold(folds.Fold):
    """The tree.

    Attributes:
      revision: Offset of the last valid change plus one; only grows.
      nodes: By path.
    """

    def __init__(self) -> None:
        super().__init__()
        self.revision = 0
        self.nodes: dict[str, Node] = {}
        self.handlers[CHANGE] = self.on_change

    def on_change(self, offset: int, record: records.Record) -> None:
        """Take a change made against the node as it is now."""
        change = records.typed(record.body, Change)
        node = self.nodes.get(change.node, Node())
        if change.base != node.revision:
            raise folds.Refuse(f"node is at revision {node.revision}")
        self.revision = offset + 1
        node.revision = self.revision
        node.values.update(change.set)
        for key in change.unset:
            node.values.pop(key, None)
        self.nodes[change.node] = node

    def dump(self) -> dict[str, Any]:
        return {
            "revision": self.revision,
            "nodes": {
                path: [node.revision, node.values]
                for path, node in self.nodes.items()
            },
        }

    def load(self, state: dict[str, Any]) -> None:
        self.revision = state["revision"]
        self.nodes = {
            path: Node(revision, dict(values))
            for path, (revision, values) in state["nodes"].items()
        }


@dataclasses.dataclass(frozen=True, slots=True)
class Value:
    """A value in force and where it comes from.

    Attributes:
      value: The value.
      node: Path of the node that sets it; empty for the default.
    """

    value: Any
    node: str


@dataclasses.dataclass(frozen=True, slots=True)
class Workspace:
    """A workspace as one service sees it."""

    name: str
    weight: float
    requests_per_s: float


@dataclasses.dataclass(frozen=True)
class Service:
    """A service with everything it inherits.

    Attributes:
      name: Last part of its path.
      path: ``region/service``.
      values: All values in force, by dotted key.
      upstreams: By name.
      models: Version wanted, by model.
    """

    name: str
    path: str
    values: dict[str, Any]
    upstreams: dict[str, engine.Upstream]
    models: dict[str, str]

    def get(self, key: str) -> Any:
        """Return the value in force."""
        if key in self.values:
            return self.values[key]
        spec = key_for(key)
        return spec.default if spec else None

    def workspace(self, name: str) -> Workspace:
        """Return a workspace's weight and limits here."""
        prefix = f"workspace.{name}."
        return Workspace(
            name,
            self.get(prefix + "weight"),
            self.get(prefix + "requests_per_s"),
        )


class View:
    """The tree as one revision has it, made for quick look-up.

    Attributes:
      revision: Of the tree.
      services: By name.
      by_model: Service that serves a model.
      workspaces: Workspace by hash of its key.
      operators: Operator by hash of its key.
    """

    def __init__(self, fold: SettingsFold, region: str) -> None:
        self.revision = fold.revision
        self.nodes = {p: dict(n.values) for p, n in fold.nodes.items()}
        self.region = region
        self.services: dict[str, Service] = {}
        self.by_model: dict[str, Service] = {}
        self.workspaces: dict[str, str] = {}
        self.operators: dict[str, str] = {}
        for path in sorted(self.nodes):
            self.take_keys(self.nodes[path])
            if path.count("/") == 1 and path.startswith(region + "/"):
                self.add_service(path)

    def take_keys(self, values: dict[str, Any]) -> None:
        """Note the key hashes of workspaces and operators."""
        for key, value in values.items():
            family, _, rest = key.partition(".")
            name, _, leaf = rest.rpartition(".")
            if leaf != "keys":
                continue
            held = self.workspaces if family == "workspace" else self.operators
            held.update(dict.fromkeys(value, name))

    def add_service(self, path: str) -> None:
        """Resolve a service."""
        values = {k: v.value for k, v in self.resolve(path).items()}
        models = {
            name: values[f"model.{name}.version"]
            for name in names_under(values, "model", "version")
        }
        upstreams = {
            name: make_upstream(name, values)
            for name in names_under(values, "upstream", "address")
        }
        service = Service(path.split("/")[1], path, values, upstreams, models)
        self.services[service.name] = service
        self.by_model.update(dict.fromkeys(models, service))

    def resolve(self, path: str) -> dict[str, Value]:
        """Return all values set at a node or inherited by it."""
        resolved: dict[str, Value] = {}
        parts = path.split("/")
        for depth in range(1, len(parts) + 1):
            node = "/".join(parts[:depth])
            for key, value in self.nodes.get(node, {}).items():
                resolved[key] = Value(value, node)
        return resolved


def names_under(values: dict[str, Any], family: str, leaf: str) -> list[str]:
    """Return the operator's names in keys ``family.NAME.leaf``."""
    start, end = f"{family}.", f".{leaf}"
    return [
        key[len(start) : -len(end)]
        for key in sorted(values)
        if key.startswith(start) and key.endswith(end)
    ]


def make_upstream(name: str, values: dict[str, Any]) -> engine.Upstream:
    """Build an upstream from its values."""

    def get(leaf: str) -> Any:
        spec = key_for(f"upstream.{name}.{leaf}")
        return values.get(f"upstream.{name}.{leaf}", spec and spec.default)

    return engine.Upstream(
        name,
        configs.Address.from_text(get("address")),
        get("availability_zone"),
        get("plugin"),
        get("checks_fencing"),
        get("slots"),
    )
