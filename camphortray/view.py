"""The settings tree as one revision has it, made for quick look-up."""

__all__ = ["Node", "NodeIndex", "Service", "Value", "View", "Workspace"]

import dataclasses
import functools
from typing import Any
from typing import Protocol

from camphortray import config as configs
from camphortray import engine
from camphortray import keyring
from camphortray import settingkeys


@dataclasses.dataclass(slots=True)
class Node:
    """One node of the tree.

    Attributes:
      revision: Revision of its last change.
      values: Values set here, by dotted key.
    """

    revision: int = 0
    values: dict[str, Any] = dataclasses.field(default_factory=dict)


class Tree(Protocol):
    """What a view is made of; see ``settings.SettingsFold``."""

    revision: int
    nodes: dict[str, Node]


class NodeIndex:
    """Values of one node, sorted by what they are about.

    Attributes:
      revision: Of the node.
      values: By dotted key.
      families: Values by leaf, by name, by family: ``workspace.a.weight``
        stands at ``families["workspace"]["a"]["weight"]``.
      faults: What is wrong with values left out, by dotted key. The fold
        takes any value, so that two releases fold alike; a value that
        this release cannot use must not stop the others from being used.
    """

    def __init__(self, node: Node, before: "NodeIndex | None" = None) -> None:
        self.revision = node.revision
        self.faults: dict[str, str] = {}
        self.values: dict[str, Any] = {}
        self.families: dict[str, dict[str, dict[str, Any]]] = {}
        if before is not None:
            self.faults = dict(before.faults)
            self.values = dict(before.values)
            self.families = dict(before.families)
        self.fresh: set[tuple[str, str]] = set()
        for key, value in node.values.items():
            if key not in self.values or self.values[key] != value:
                self.put(key, value)
        for key in self.values.keys() - node.values.keys():
            self.remove(key)
        for key in self.faults.keys() - node.values.keys():
            del self.faults[key]

    def put(self, key: str, value: Any) -> None:
        """Take a value over if it can be used."""
        wrong = settingkeys.check_value(key, value)
        if wrong:
            self.remove(key)
            self.faults[key] = wrong
            return
        self.faults.pop(key, None)
        self.values[key] = value
        family, name, leaf = split_key(key)
        if name:
            self.leaves(family, name)[leaf] = value

    def remove(self, key: str) -> None:
        """Leave a value out."""
        if self.values.pop(key, None) is None:
            return
        family, name, leaf = split_key(key)
        if name:
            leaves = self.leaves(family, name)
            leaves.pop(leaf, None)
            if not leaves:
                del self.families[family][name]

    def leaves(self, family: str, name: str) -> dict[str, Any]:
        """Return the leaves of a name, copied before their first change.

        The index before may still be in use, and shares what has not
        changed.
        """
        if (family, "") not in self.fresh:
            self.fresh.add((family, ""))
            self.families[family] = dict(self.families.get(family, {}))
        names = self.families[family]
        if (family, name) not in self.fresh:
            self.fresh.add((family, name))
            names[name] = dict(names.get(name, {}))
        return names[name]


def split_key(key: str) -> tuple[str, str, str]:
    """Split a key into family, the operator's name and leaf.

    >>> split_key("model.lm-3.1.version")
    ('model', 'lm-3.1', 'version')
    """
    family, _, rest = key.partition(".")
    name, _, leaf = rest.rpartition(".")
    return family, name, leaf


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


class Service:
    """A service with everything it inherits.

    Attributes:
      name: Last part of its path.
      path: ``region/service``.
      levels: Nodes it takes values from, the nearest first.
      upstreams: By name.
      models: Version wanted, by model.
    """

    def __init__(self, path: str, levels: tuple[NodeIndex, ...]) -> None:
        self.path = path
        self.name = path.rpartition("/")[2]
        self.levels = levels
        self.models = {
            name: leaves["version"]
            for name, leaves in self.family("model").items()
            if "version" in leaves
        }
        self.upstreams = {
            name: make_upstream(name, leaves)
            for name, leaves in self.family("upstream").items()
            if "address" in leaves
        }

    @functools.cached_property
    def values(self) -> dict[str, Any]:
        """All values in force, by dotted key."""
        merged: dict[str, Any] = {}
        for level in reversed(self.levels):
            merged.update(level.values)
        return merged

    def family(self, family: str) -> dict[str, dict[str, Any]]:
        """Return leaves by name of a family, over all levels."""
        merged: dict[str, dict[str, Any]] = {}
        for level in reversed(self.levels):
            for name, leaves in level.families.get(family, {}).items():
                merged.setdefault(name, {}).update(leaves)
        return merged

    def get(self, key: str) -> Any:
        """Return the value in force."""
        for level in self.levels:
            if key in level.values:
                return level.values[key]
        spec = settingkeys.key_for(key)
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
    """One revision of the tree.

    Nodes that have not changed since the view before are taken over from
    it: at 6,900 workspaces, sorting them anew for each change of another
    node would hold up the loop.

    Attributes:
      revision: Of the tree.
      region: Whose services are shown.
      nodes: By path.
      services: By name.
      by_model: Service that serves a model.
      workspaces: Keys of workspaces.
      operators: Keys of operators.
    """

    def __init__(
        self, tree: Tree, region: str, before: "View | None" = None
    ) -> None:
        self.revision = tree.revision
        self.region = region
        held: dict[str, NodeIndex] = before.nodes if before else {}
        self.nodes: dict[str, NodeIndex] = {
            path: keep_or_make(node, held.get(path))
            for path, node in tree.nodes.items()
        }
        self.services: dict[str, Service] = {}
        self.by_model: dict[str, Service] = {}
        self.workspaces = keyring.Keyring()
        self.operators = keyring.Keyring()
        for path in sorted(self.nodes):
            if path.split("/")[0] != region:
                continue
            self.take_keys(self.nodes[path])
            if path.count("/") == 1:
                self.add_service(path)

    def take_keys(self, node: NodeIndex) -> None:
        """Note the key hashes of workspaces and operators."""
        for family, held in (
            ("workspace", self.workspaces),
            ("operator", self.operators),
        ):
            for name, leaves in node.families.get(family, {}).items():
                held.add(name, leaves.get("keys", ()))

    def add_service(self, path: str) -> None:
        """Make a service of its node and the one above."""
        service = Service(path, self.levels(path))
        self.services[service.name] = service
        self.by_model.update(dict.fromkeys(service.models, service))

    def levels(self, path: str) -> tuple[NodeIndex, ...]:
        """Return the nodes that give a path its values, nearest first."""
        return tuple(
            self.nodes[level]
            for level in level_paths(path)
            if level in self.nodes
        )

    def resolve(self, path: str) -> dict[str, Value]:
        """Return all values set at a node or inherited by it."""
        resolved: dict[str, Value] = {}
        for level in reversed(level_paths(path)):
            if level in self.nodes:
                for key, value in self.nodes[level].values.items():
                    resolved[key] = Value(value, level)
        return resolved


def keep_or_make(node: Node, held: NodeIndex | None) -> NodeIndex:
    """Return the index of a node, made anew as far as it changed."""
    if held is not None and held.revision == node.revision:
        return held
    return NodeIndex(node, held)


def level_paths(path: str) -> list[str]:
    """Return a path and those above it, the lowest first.

    >>> level_paths("r/s")
    ['r/s', 'r']
    """
    parts = path.split("/")
    return ["/".join(parts[:n]) for n in range(len(parts), 0, -1)]


def make_upstream(name: str, leaves: dict[str, Any]) -> engine.Upstream:
    """Build an upstream from its values."""

    def get(leaf: str) -> Any:
        spec = settingkeys.key_for(f"upstream.{name}.{leaf}")
        return leaves.get(leaf, spec and spec.default)

    return engine.Upstream(
        name,
        configs.Address.from_text(get("address")),
        get("availability_zone"),
        get("plugin"),
        get("checks_fencing"),
        get("slots"),
        version=get("version"),
    )
