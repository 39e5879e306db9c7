"""Interface to the rate-limited store of model weights."""

__all__ = ["MemoryWeightStore", "WEIGHT_STORES", "WeightSize", "WeightStore"]

import abc

import msgspec

from camphortray import config as configs
from camphortray import errors
from camphortray import registry


class WeightSize(msgspec.Struct, frozen=True):
    """Size of the weights of a model version, and the rate of the store.

    Attributes:
      size_bytes: Size of the weights.
      rate_bytes_s: Transfer rate that all loads share, in bytes per second.
    """

    size_bytes: int
    rate_bytes_s: float


class WeightStore(abc.ABC):
    """Store from which upstreams load weights, at a rate that they share."""

    @classmethod
    @abc.abstractmethod
    def from_config(cls, config: configs.PlatformConfig) -> "WeightStore":
        """Create the store from its configuration."""

    @abc.abstractmethod
    async def size(self, model: str, version: str) -> WeightSize:
        """Return the size of a model version and the rate of the store.

        Raises:
          CamphortrayError: the version is unknown or the store is unavailable.
        """

    async def close(self) -> None:
        """Close all connections."""


WEIGHT_STORES: registry.Registry[WeightStore] = registry.Registry(
    "weight store"
)


@WEIGHT_STORES.register("memory")
class MemoryWeightStore(WeightStore):
    """An in-memory store for tests."""

    def __init__(self, rate_bytes_s: float = 1e9) -> None:
        self.sizes: dict[tuple[str, str], int] = {}
        self.rate_bytes_s = rate_bytes_s
        self.down = False

    @classmethod
    def from_config(
        cls, config: configs.PlatformConfig
    ) -> "MemoryWeightStore":
        return cls()

    async def size(self, model: str, version: str) -> WeightSize:
        known = self.sizes.get((model, version))
        if self.down or known is None:
            raise errors.CamphortrayError(
                "store is down"
                if self.down
                else f"unknown version {version} of model {model}",
                step="size",
                peer="memory",
            )
        return WeightSize(known, self.rate_bytes_s)
