"""Reads the platform's list of hosts over HTTP."""

__all__ = ["HttpHostList"]


from camphortray import config as configs
from camphortray import errors
from camphortray import hostlist
from camphortray import httpclient
from camphortray import json_reader


@hostlist.HOST_LISTS.register("http")
class HttpHostList(hostlist.HostList):
    """The list as JSON."""

    def __init__(self, address: configs.Address, timeout_s: float) -> None:
        self.address = address
        self.client = httpclient.HttpClient(
            httpclient.Timeouts(timeout_s, timeout_s, timeout_s)
        )

    @classmethod
    def from_config(cls, config: configs.PlatformConfig) -> "HttpHostList":
        address = configs.Address.from_text(config.address)
        return cls(address, config.timeout_s)

    async def read(self) -> tuple[hostlist.ListedHost, ...]:
        status, _, body = await self.client.call(self.address, "GET", "/hosts")
        if status != 200:
            raise errors.CamphortrayError(
                f"status {status}", step="list", peer=str(self.address)
            )
        return json_reader.read(body, tuple[hostlist.ListedHost, ...])

    async def close(self) -> None:
        await self.client.close()
