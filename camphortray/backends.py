"""Plug-ins for the platform's services, bundled as one part."""

__all__ = ["CommonBackends", "LedgerBackends"]

from typing import ClassVar

from camphortray import config_decoder as dialects
from camphortray import engine
from camphortray import errors
from camphortray import hostlist
from camphortray import kernel
from camphortray import ledger as ledgers
from camphortray import registry


class CommonBackends(kernel.Part):
    """Plug-ins needed by every program.

    Attributes:
      hosts: The platform's host list.
      engines: Engine plug-ins in use, by name.
    """

    name: ClassVar[str] = "backends"

    hosts: hostlist.HostList

    def __init__(self) -> None:
        self.engines: dict[str, engine.Engine] = {}

    def engine(self, plugin: str) -> engine.Engine:
        """Return the engine plug-in of that name; create it on first use."""
        if plugin not in self.engines:
            self.engines[plugin] = engine.ENGINES.get(plugin).from_config()
        return self.engines[plugin]

    async def stop(self) -> None:
        await self.hosts.close()
        for plugin in self.engines.values():
            await plugin.close()


@kernel.PARTS.register("host")
class LedgerBackends(CommonBackends):
    """Plug-ins of a host on a platform with a ledger.

    Attributes:
      ledger: Store of keyed records with fenced writers.
      dialect: Decodes records of the platform and the engines.
    """

    def __init__(self, context: kernel.Context) -> None:
        super().__init__()
        registry.load_modules(context.config.plugins)
        config = context.config.ledger
        if config is None:
            raise errors.PluginError("no ledger is configured", step="load")
        self.ledger = ledgers.LEDGERS.get(config.plugin).from_config(config)
        self.hosts = hostlist.LedgerHostList(self.ledger)
        self.dialect = dialects.DIALECTS.get(config.plugin).from_config(config)

    @classmethod
    def from_config(cls, context: kernel.Context) -> "LedgerBackends":
        return cls(context)

    async def stop(self) -> None:
        await super().stop()
        await self.ledger.close()
