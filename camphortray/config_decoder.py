"""How the operator's configuration and engines' entries are written."""

__all__ = ["DIALECTS", "Dialect"]

import abc

from camphortray import config as configs
from camphortray import engine_registry
from camphortray import registry
from camphortray import routemap


class Dialect(abc.ABC):
    """Reads what others keep in the ledger.

    Attributes:
      plugin: Engine plug-in that speaks to the engines.
    """

    plugin: str = ""

    @classmethod
    @abc.abstractmethod
    def from_config(cls, config: configs.LedgerConfig) -> "Dialect":
        """Build from settings."""

    @abc.abstractmethod
    def configuration(
        self, key: str, value: bytes
    ) -> routemap.Configuration | None:
        """Return the configuration that a record holds, if it holds one.

        Raises:
          RecordError: it cannot be read.
        """

    @abc.abstractmethod
    def engine(self, key: str, value: bytes) -> engine_registry.EngineEntry:
        """Return the entry of an engine.

        Raises:
          RecordError: it cannot be read.
        """


DIALECTS: registry.Registry[Dialect] = registry.Registry("dialect")
