"""Plug-ins for the platform's services, bundled as one part."""

__all__ = ["Backends", "CommonBackends", "LedgerBackends"]

from typing import ClassVar

from camphortray import config_decoder as dialects
from camphortray import engine
from camphortray import errors
from camphortray import hostlist
from camphortray import kernel
from camphortray import ledger as ledgers
from camphortray import log
from camphortray import registry
from camphortray import service
from camphortray import weights

# Loaded by name rather than imported, as the program ``host`` does not need
# the built-in plug-ins.
BUILT_IN_MODULE = "camphortray.plugins"


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


@kernel.PARTS.register("entry", "batch")
class Backends(CommonBackends):
    """Plug-ins of a host on a platform with a log.

    Attributes:
      log: The platform's log.
      weights: The weight store, or None if not configured.
      services: Service plug-ins in use, by name.
    """

    def __init__(self, context: kernel.Context) -> None:
        super().__init__()
        config = context.config
        registry.load_modules((BUILT_IN_MODULE, *config.plugins))
        list_class = hostlist.HOST_LISTS.get(config.hostlist.plugin)
        self.hosts = list_class.from_config(config.hostlist)
        log_class = log.LOG_SERVICES.get(config.log.plugin)
        self.log = log_class.from_config(config.log)
        self.weights: weights.WeightStore | None = None
        if config.weights is not None:
            store_class = weights.WEIGHT_STORES.get(config.weights.plugin)
            self.weights = store_class.from_config(config.weights)
        self.services: dict[str, service.Service] = {}

    @classmethod
    def from_config(cls, context: kernel.Context) -> "Backends":
        return cls(context)

    def service(self, plugin: str) -> service.Service:
        """Return the service plug-in of that name; create it on first use."""
        if plugin not in self.services:
            cls = service.SERVICES.get(plugin)
            self.services[plugin] = cls.from_config()
        return self.services[plugin]

    async def stop(self) -> None:
        await super().stop()
        await self.log.close()
        if self.weights is not None:
            await self.weights.close()
        for plugin in self.services.values():
            await plugin.close()
