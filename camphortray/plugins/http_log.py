"""Speaks the log's HTTP protocol; see docs/INTERFACES.md."""

__all__ = ["HttpLog"]

import cbor2

from camphortray import config as configs
from camphortray import errors
from camphortray import httpclient
from camphortray import log

# Statuses that the log declares to mean that it took nothing.
NOT_TAKEN = frozenset({400, 413, 429})


@log.LOG_SERVICES.register("http")
class HttpLog(log.LogService):
    """The log over HTTP with CBOR bodies."""

    def __init__(self, address: configs.Address, timeout_s: float) -> None:
        self.address = address
        self.timeout_s = timeout_s
        self.peer = f"log {address}"
        self.client = httpclient.HttpClient()

    @classmethod
    def from_config(cls, config: configs.PlatformConfig) -> "HttpLog":
        address = configs.Address.from_text(config.address)
        return cls(address, config.timeout_s)

    def timeouts(self, wait_s: float = 0.0) -> httpclient.Timeouts:
        """Return time limits that leave room for a long poll."""
        limit = self.timeout_s + wait_s
        return httpclient.Timeouts(self.timeout_s, limit, limit)

    async def append(self, stream: str, body: bytes) -> int:
        try:
            status, _, answer = await self.client.call(
                self.address,
                "POST",
                f"/streams/{stream}",
                body=body,
                timeouts=self.timeouts(),
            )
        except errors.UpstreamBroken as error:
            self.on_broken(error)
            kind = errors.LogUnavailable if error.ran else errors.LogRefused
            raise kind(error.message, step="append", peer=self.peer) from error
        if status == 200:
            return int(cbor2.loads(answer)["offset"])
        kind = (
            errors.LogRefused if status in NOT_TAKEN else errors.LogUnavailable
        )
        raise kind(f"status {status}", step="append", peer=self.peer)

    async def read(
        self, stream: str, offset: int, wait_s: float = 0.0
    ) -> log.Page:
        try:
            status, _, answer = await self.client.call(
                self.address,
                "GET",
                f"/streams/{stream}?from={offset}&wait={wait_s:g}",
                timeouts=self.timeouts(wait_s),
            )
        except errors.UpstreamBroken as error:
            self.on_broken(error)
            raise errors.LogUnavailable(
                error.message, step="read", peer=self.peer
            ) from error
        if status not in (200, 410):
            raise errors.LogUnavailable(
                f"status {status}", step="read", peer=self.peer
            )
        page = cbor2.loads(answer)
        if status == 410:
            raise errors.LogTruncated(
                page["first"], step="read", peer=self.peer
            )
        records = tuple(log.LogRecord(*fields) for fields in page["records"])
        return log.Page(page["first"], page["next"], records)

    def on_broken(self, error: errors.UpstreamBroken) -> None:
        """Use new connections after a silence.

        Kept ones may all have gone silent for good at once, and trying
        them in turn would look like an outage of many time limits.
        """
        if isinstance(error, errors.UpstreamTimeout):
            self.client.forget(self.address)

    async def close(self) -> None:
        await self.client.close()
