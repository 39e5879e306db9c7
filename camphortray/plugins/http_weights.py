"""Asks the weight store over HTTP."""

__all__ = ["HttpWeightStore"]


from camphortray import config as configs
from camphortray import errors
from camphortray import httpclient
from camphortray import json_reader
from camphortray import weights


@weights.WEIGHT_STORES.register("http")
class HttpWeightStore(weights.WeightStore):
    """The store's catalogue as JSON."""

    def __init__(self, address: configs.Address, timeout_s: float) -> None:
        self.address = address
        self.client = httpclient.HttpClient(
            httpclient.Timeouts(timeout_s, timeout_s, timeout_s)
        )

    @classmethod
    def from_config(cls, config: configs.PlatformConfig) -> "HttpWeightStore":
        address = configs.Address.from_text(config.address)
        return cls(address, config.timeout_s)

    async def size(self, model: str, version: str) -> weights.WeightSize:
        status, _, body = await self.client.call(
            self.address, "GET", f"/weights/{model}/{version}"
        )
        if status != 200:
            raise errors.CamphortrayError(
                f"status {status}", step="size", peer=str(self.address)
            )
        return json_reader.read(body, weights.WeightSize)

    async def close(self) -> None:
        await self.client.close()
