"""The backends as one part: log, host list, weights, upstreams."""

__all__ = ["Backends", "LedgerBackends", "Parties"]

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

# Named, not imported: the program ``host`` needs none of them.
BUILT_IN = "camphortray.plugins"


class Parties(kernel.Part):
    """The plug-ins that every program needs.

    Attributes:
      hosts: The platform's host list.
    """

    name: ClassVar[str] = "backends"

    hosts: hostlist.HostList

    def __init__(self) -> None:
        self.engines: dict[str, engine.Engine] = {}

    def engine(self, plugin: str) -> engine.Engine:
        """Return the engine plug-in of that name, made on first use."""
        if plugin not in self.engines:
            self.engines[plugin] = engine.ENGINES.get(plugin).from_config()
        return self.engines[plugin]

    async def stop(self) -> None:
        await self.hosts.close()
        for made in self.engines.values():
            await made.close()


@kernel.PARTS.register("host")
class LedgerBackends(Parties):
    """The backends of a host whose platform offers a ledger.

    Attributes:
      ledger: Keyed records with fenced writers.
      dialect: Reads what others keep there.
    """

    def __init__(self, context: kernel.Context) -> None:
        super().__init__()
        registry.load_modules(context.config.plugins)
        told = context.config.ledger
        if told is None:
            raise errors.PluginError("no ledger is set", step="load")
        self.ledger = ledgers.LEDGERS.get(told.plugin).from_config(told)
        self.hosts = hostlist.LedgerHostList(self.ledger)
        self.dialect = dialects.DIALECTS.get(told.plugin).from_config(told)

    @classmethod
    def from_config(cls, context: kernel.Context) -> "LedgerBackends":
        return cls(context)

    async def stop(self) -> None:
        await super().stop()
        await self.ledger.close()


@kernel.PARTS.register("entry", "batch")
class Backends(Parties):
    """Holds one plug-in for each backend.

    Attributes:
      log: The platform's log.
      weights: The weight store, or None if none is set.
    """

    def __init__(self, context: kernel.Context) -> None:
        super().__init__()
        config = context.config
        registry.load_modules((BUILT_IN, *config.plugins))
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
        """Return the service plug-in of that name, made on first use."""
        if plugin not in self.services:
            cls = service.SERVICES.get(plugin)
            self.services[plugin] = cls.from_config()
        return self.services[plugin]

    async def stop(self) -> None:
        await super().stop()
        await self.log.close()
        if self.weights is not None:
            await self.weights.close()
        for plain in self.services.values():
            await plain.close()
