"""Plug-ins for the platform's services where the platform has a log."""

__all__ = ["Backends"]

from camphortray import backends
from camphortray import hostlist
from camphortray import kernel
from camphortray import log
from camphortray import registry
from camphortray import service
from camphortray import weights

# Loaded by name, as the plug-ins import the modules of what they implement.
BUILT_IN_MODULE = "camphortray.plugins"


@kernel.PARTS.register("entry", "batch")
class Backends(backends.CommonBackends):
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
