"""Settings as declared in version control: a directory of TOML files.

``REGION.toml`` declares a region, ``REGION/SERVICE.toml`` a service and
``REGION/SERVICE/JOB.toml`` a job. Tables nest as keys do: ``[objective]``
with ``ttft_s = 1.2`` is the key ``objective.ttft_s``.
"""

__all__ = ["Declaration", "flatten"]

import dataclasses
import pathlib
import tomllib
from typing import Any

from camphortray import errors
from camphortray import settings

# Parts of a path: region, service, job.
MAX_DEPTH = 3


@dataclasses.dataclass(frozen=True)
class Declaration:
    """All nodes that a directory declares.

    Attributes:
      nodes: Values by dotted key, by path of the node.
    """

    nodes: dict[str, dict[str, Any]]

    @classmethod
    def from_directory(cls, directory: str) -> "Declaration":
        """Read and check a directory.

        Raises:
          ConfigError: with every fault of every file.
        """
        root = pathlib.Path(directory)
        files = sorted(root.rglob("*.toml"))
        if not files:
            fault = errors.Fault(directory, "(files)", "none", "*.toml")
            raise errors.ConfigError((fault,))
        nodes: dict[str, dict[str, Any]] = {}
        faults: list[errors.Fault] = []
        for file in files:
            path = file.relative_to(root).with_suffix("").as_posix()
            values, found = read_node(file, path)
            nodes[path] = values
            faults.extend(found)
        if faults:
            raise errors.ConfigError(tuple(faults))
        return cls(nodes)

    @property
    def regions(self) -> frozenset[str]:
        """Regions that the directory speaks for."""
        return frozenset(path.split("/")[0] for path in self.nodes)


def read_node(
    file: pathlib.Path, path: str
) -> tuple[dict[str, Any], list[errors.Fault]]:
    """Read the file of one node; return its values and its faults."""
    name = str(file)
    if path.count("/") >= MAX_DEPTH:
        found = errors.Fault(name, "(path)", path, "region/service/job")
        return {}, [found]
    try:
        data = tomllib.loads(file.read_text(encoding="utf-8"))
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        return {}, [errors.Fault(name, "(syntax)", str(error), "valid TOML")]
    values = flatten(data)
    faults = [
        errors.Fault(name, key, repr(value), wrong)
        for key, value in values.items()
        if (wrong := settings.check_value(key, value))
    ]
    return values, faults


def flatten(data: dict[str, Any], prefix: str = "") -> dict[str, Any]:
    """Return nested tables as dotted keys.

    >>> flatten({"objective": {"ttft_s": 1.2}})
    {'objective.ttft_s': 1.2}
    """
    flat: dict[str, Any] = {}
    for name, value in data.items():
        if isinstance(value, dict):
            flat.update(flatten(value, f"{prefix}{name}."))
        else:
            flat[prefix + name] = value
    return flat
