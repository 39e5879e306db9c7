"""The difference between the tree in force and what is declared."""

__all__ = ["Edit", "NodePlan", "Plan", "inverse"]

import dataclasses
from typing import Any
from typing import Literal

from camphortray import declaration
from camphortray import settings


@dataclasses.dataclass(frozen=True)
class Edit:
    """One key that changes.

    Attributes:
      key: Dotted key.
      action: What happens to it.
      old: Value set at the node before, or None.
      new: Value set at the node afterwards, or None.
    """

    key: str
    action: Literal["set", "change", "unset"]
    old: Any
    new: Any

    def __str__(self) -> str:
        if self.action == "set":
            return f"+ {self.key} = {self.new!r}"
        if self.action == "unset":
            return f"- {self.key} = {self.old!r}"
        return f"~ {self.key} = {self.old!r} -> {self.new!r}"


@dataclasses.dataclass(frozen=True)
class NodePlan:
    """What changes at one node.

    Attributes:
      node: Path of the node.
      base: Revision of the node that the plan was made against.
      edits: Keys that change, sorted.
    """

    node: str
    base: int
    edits: tuple[Edit, ...]

    @classmethod
    def between(
        cls, node: str, held: settings.Node, wanted: dict[str, Any]
    ) -> "NodePlan":
        """Compare a node as held with the values wanted."""
        edits = []
        for key in sorted(held.values.keys() | wanted.keys()):
            old, new = held.values.get(key), wanted.get(key)
            if key not in wanted:
                edits.append(Edit(key, "unset", old, None))
            elif key not in held.values:
                edits.append(Edit(key, "set", None, new))
            elif old != new:
                edits.append(Edit(key, "change", old, new))
        return cls(node, held.revision, tuple(edits))

    def change(self, author: str, note: str) -> settings.Change:
        """Return the change to publish."""
        return settings.Change(
            self.node,
            self.base,
            {e.key: e.new for e in self.edits if e.action != "unset"},
            tuple(e.key for e in self.edits if e.action == "unset"),
            author,
            note,
        )


@dataclasses.dataclass(frozen=True)
class Plan:
    """All that changes.

    Attributes:
      revision: Of the tree that the plan was made against.
      nodes: Nodes that change, those higher in the tree first.
    """

    revision: int
    nodes: tuple[NodePlan, ...]

    @classmethod
    def between(
        cls, fold: settings.SettingsFold, wanted: declaration.Declaration
    ) -> "Plan":
        """Compare the tree with a declaration.

        A node that the tree has and the declaration lacks is emptied, if
        the declaration speaks for its region.
        """
        paths = set(wanted.nodes)
        for path in fold.nodes:
            if path.split("/")[0] in wanted.regions:
                paths.add(path)
        plans = [
            NodePlan.between(
                path,
                fold.nodes.get(path, settings.Node()),
                wanted.nodes.get(path, {}),
            )
            for path in sorted(paths, key=lambda p: (p.count("/"), p))
        ]
        return cls(fold.revision, tuple(p for p in plans if p.edits))

    def __str__(self) -> str:
        if not self.nodes:
            return f"No difference at revision {self.revision}."
        lines = [f"Against revision {self.revision}:"]
        for node in self.nodes:
            lines.append(f"{node.node}  (revision {node.base})")
            lines.extend(f"  {edit}" for edit in node.edits)
        return "\n".join(lines)


def inverse(
    change: settings.Change, before: dict[str, Any], held: settings.Node
) -> NodePlan:
    """Plan a new change that takes an earlier one back.

    Args:
      change: The change to take back.
      before: The node's values just before it.
      held: The node as it is now; keys changed since are set back too.
    """
    touched = set(change.set) | set(change.unset)
    wanted = dict(held.values)
    for key in touched:
        if key in before:
            wanted[key] = before[key]
        else:
            wanted.pop(key, None)
    return NodePlan.between(change.node, held, wanted)
