"""The outer parties as one part: log, host list, weights, upstreams."""

__all__ = ["Outer"]

from typing import ClassVar

from camphortray import engine
from camphortray import hostlist
from camphortray import kernel
from camphortray import log
from camphortray import plugins
from camphortray import registry
from camphortray import service
from camphortray import weights

BUILT_IN = plugins.__name__


@kernel.PARTS.register("entry", "batch")
class Outer(kernel.Part):
    """Holds one plug-in for each outer party.

    Attributes:
      log: The platform's log.
      hosts: The platform's host list.
      weights: The weight store, or None if none is set.
    """

    name: ClassVar[str] = "outer"

    def __init__(self, context: kernel.Context) -> None:
        config = context.config
        registry.load_modules((BUILT_IN, *config.plugins))
        log_class = log.LOG_SERVICES.get(config.log.plugin)
        self.log = log_class.from_config(config.log)
        list_class = hostlist.HOST_LISTS.get(config.hostlist.plugin)
        self.hosts = list_class.from_config(config.hostlist)
        self.weights: weights.WeightStore | None = None
        if config.weights is not None:
            store_class = weights.WEIGHT_STORES.get(config.weights.plugin)
            self.weights = store_class.from_config(config.weights)
        self.engines: dict[str, engine.Engine] = {}
        self.services: dict[str, service.Service] = {}

    @classmethod
    def from_config(cls, context: kernel.Context) -> "Outer":
        return cls(context)

    def engine(self, plugin: str) -> engine.Engine:
        """Return the engine plug-in of that name, made on first use."""
        if plugin not in self.engines:
            self.engines[plugin] = engine.ENGINES.get(plugin).from_config()
        return self.engines[plugin]

    def service(self, plugin: str) -> service.Service:
        """Return the service plug-in of that name, made on first use."""
        if plugin not in self.services:
            cls = service.SERVICES.get(plugin)
            self.services[plugin] = cls.from_config()
        return self.services[plugin]

    async def stop(self) -> None:
        await self.log.close()
        await self.hosts.close()
        if self.weights is not None:
            await self.weights.close()
        for made in self.engines.values():
            await made.close()
        for plain in self.services.values():
            await plain.close()
