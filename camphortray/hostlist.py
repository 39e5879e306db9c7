"""The platform's list of live and leaving hosts, which lags."""

__all__ = [
    "HOST_LISTS",
    "HostList",
    "LedgerHostList",
    "ListedHost",
    "MemoryHostList",
    "RollEntry",
]

import abc
from typing import Literal

import msgspec

from camphortray import config as configs
from camphortray import errors
from camphortray import json_reader
from camphortray import ledger as ledgers
from camphortray import logs
from camphortray import registry

LOG = logs.logger("hosts")
ListedStatus = Literal["live", "leaving", "gone"]


class ListedHost(msgspec.Struct, frozen=True):
    """One line of the list.

    Attributes:
      name: Name of the host or upstream.
      kind: What it is.
      status: As the platform last saw it; a host missing from the list
        may just not have been seen yet.
      peer_address: Where it takes peer links, for hosts.
    """

    name: str
    kind: Literal["host", "upstream"]
    status: ListedStatus
    peer_address: str = ""


class HostList(abc.ABC):
    """The list of live and leaving hosts."""

    @classmethod
    @abc.abstractmethod
    def from_config(cls, config: configs.PlatformConfig) -> "HostList":
        """Build from settings."""

    @abc.abstractmethod
    async def read(self) -> tuple[ListedHost, ...]:
        """Return the list as the platform has it now.

        Raises:
          CamphortrayError: the platform does not answer.
        """

    async def close(self) -> None:
        """Release connections."""


HOST_LISTS: registry.Registry[HostList] = registry.Registry("host list")


@HOST_LISTS.register("memory")
class MemoryHostList(HostList):
    """A list in memory, for tests."""

    def __init__(self) -> None:
        self.hosts: dict[str, ListedHost] = {}
        self.down = False

    @classmethod
    def from_config(cls, config: configs.PlatformConfig) -> "MemoryHostList":
        return cls()

    async def read(self) -> tuple[ListedHost, ...]:
        if self.down:
            raise errors.CamphortrayError("down", step="list", peer="memory")
        return tuple(self.hosts.values())


class RollEntry(msgspec.Struct, frozen=True):
    """A host as it is kept.

    Attributes:
      peer_address: Where it takes peer links.
      started: Number of its process, which grows with each start.
    """

    peer_address: str
    started: int


class LedgerHostList(HostList):
    """The list of hosts out of the ledger."""

    def __init__(self, ledger: ledgers.Ledger) -> None:
        self.ledger = ledger

    @classmethod
    def from_config(cls, config: configs.PlatformConfig) -> "LedgerHostList":
        data = msgspec.structs.asdict(config)
        held = configs.LedgerConfig(**data)
        return cls(ledgers.LEDGERS.get(config.plugin).from_config(held))

    async def read(self) -> tuple[ListedHost, ...]:
        page = await self.ledger.newest(ledgers.Topic.HOSTS)
        found = []
        for record in page.records:
            try:
                entry = json_reader.read(record.value, RollEntry)
                configs.Address.parse(entry.peer_address)
            except ValueError as error:
                LOG.warning("Entry {} left out: {}", record.key, error)
                continue
            found.append(
                ListedHost(record.key, "host", "live", entry.peer_address)
            )
        return tuple(found)
