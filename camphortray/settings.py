"""The settings tree: a fold of the ``settings`` stream.

A node is a path: ``region``, ``region/service`` or
``region/service/job``. A key is dotted, e.g. ``objective.ttft_s``; a
value not set at a node is inherited from the node above.
"""

__all__ = [
    "CHANGE",
    "Change",
    "KEYS",
    "Key",
    "Node",
    "STREAM",
    "Service",
    "SettingsFold",
    "Value",
    "View",
    "Workspace",
    "check_value",
    "hash_key",
    "key_for",
]

import dataclasses
from typing import Any

from camphortray import fold as folds
from camphortray import records
from camphortray.keyring import hash_key
from camphortray.settingkeys import check_value
from camphortray.settingkeys import Key
from camphortray.settingkeys import key_for
from camphortray.settingkeys import KEYS
from camphortray.view import Node
from camphortray.view import Service
from camphortray.view import Value
from camphortray.view import View
from camphortray.view import Workspace

CHANGE = "change"
STREAM = "settings"


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
      at: When it was made, in seconds since 1970; for people.
    """

    node: str
    base: int
    set: dict[str, Any] = dataclasses.field(default_factory=dict)
    unset: tuple[str, ...] = ()
    author: str = ""
    note: str = ""
    at: float = 0.0


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
