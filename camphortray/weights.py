"""The rate-limited store of model weights."""

__all__ = ["MemoryWeightStore", "WEIGHT_STORES", "WeightSize", "WeightStore"]

import abc
import dataclasses

from camphortray import config as configs
from camphortray import errors
from camphortray import registry


@dataclasses.dataclass(frozen=True, slots=True)
class WeightSize:
    """What the store knows of a version of a model.

    Attributes:
      size_bytes: Size of the weights.
      rate_bytes_s: Rate the store grants to all loads together.
    """

    size_bytes: int
    rate_bytes_s: float


class WeightStore(abc.ABC):
    """Where upstreams load weights from; they share its rate."""

    @classmethod
    @abc.abstractmethod
    def from_config(cls, config: configs.PlatformConfig) -> "WeightStore":
        """Build from settings."""

    @abc.abstractmethod
    async def size(self, model: str, version: str) -> WeightSize:
        """Return what the store knows of a version.

        Raises:
          CamphortrayError: unknown version, or the store is down.
        """

    async def close(self) -> None:
        """Release connections."""


WEIGHT_STORES: registry.Registry[WeightStore] = registry.Registry(
    "weight store"
)


@WEIGHT_STORES.register("memory")
class MemoryWeightStore(WeightStore):
    """A store in memory, for tests."""

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
                "down" if self.down else f"no {model} {version}",
                step="size",
                peer="memory",
            )
        return WeightSize(known, self.rate_bytes_s)
