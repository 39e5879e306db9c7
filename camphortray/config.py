"""Settings of one host, read from a TOML file and checked."""

__all__ = [
    "ALL_ON",
    "Address",
    "BatchConfig",
    "Config",
    "EntryConfig",
    "ExperimentsConfig",
    "FrontConfig",
    "HostConfig",
    "LedgerConfig",
    "LoggingConfig",
    "PeerConfig",
    "PlatformConfig",
    "ResourcesConfig",
    "ShardsConfig",
    "StreamConfig",
    "TlsConfig",
]

import ipaddress
import pathlib
import tomllib
from typing import Annotated
from typing import Any
from typing import Literal
from typing import NamedTuple

import msgspec

from camphortray import check
from camphortray import errors

ADDRESS_PATTERN = r"^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):\d{1,5}$"
AddressText = Annotated[str, msgspec.Meta(pattern=ADDRESS_PATTERN)]
Name = Annotated[str, msgspec.Meta(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]*$")]
Seconds = Annotated[float, msgspec.Meta(gt=0)]
Count = Annotated[int, msgspec.Meta(ge=1)]
Amount = Annotated[float, msgspec.Meta(ge=0)]
# Larger numbers are not whole in the floating point of other programs.
Whole = Annotated[int, msgspec.Meta(ge=0, le=2**53)]
MAX_PORT = 65_535


class Address(NamedTuple):
    """An IP number and a port."""

    ip: str
    port: int

    @classmethod
    def from_text(cls, text: str) -> "Address":
        """Parse ``IP:PORT``.

        >>> Address.from_text("127.0.0.1:80")
        Address(ip='127.0.0.1', port=80)
        """
        ip, _, port = text.rpartition(":")
        return cls(ip.strip("[]"), int(port))

    @classmethod
    def parse(cls, text: str) -> "Address":
        """Parse ``IP:PORT`` that another program has written.

        Raises:
          ValueError: Nothing can be connected to there.

        >>> Address.parse("127.0.0.1:65536")
        Traceback (most recent call last):
        ValueError: no address to connect to: '127.0.0.1:65536'
        """
        ip, _, port = text.rpartition(":")
        try:
            ipaddress.ip_address(ip.strip("[]"))
            address = cls.from_text(text)
        except ValueError:
            address = cls(ip, 0)
        if not 1 <= address.port <= MAX_PORT:
            raise ValueError(f"no address to connect to: {text[:80]!r}")
        return address

    def __str__(self) -> str:
        ip = f"[{self.ip}]" if ":" in self.ip else self.ip
        return f"{ip}:{self.port}"


class ResourcesConfig(msgspec.Struct, frozen=True):
    """What a host has; 0 where that is not known.

    Attributes:
      cores: Processor time a second, in cores of usual speed.
      memory_mb: Memory of the process, in MB.
      descriptors: Open files and sockets.
      link_mbps: Bandwidth of its link, in Mbit/s.
    """

    cores: Amount = 0.0
    memory_mb: Amount = 0.0
    descriptors: Amount = 0.0
    link_mbps: Amount = 0.0


class HostConfig(msgspec.Struct, frozen=True):
    """Who this host is.

    Attributes:
      name: Unique name of the host.
      availability_zone: Where it stands.
      region: Root of its part of the settings tree.
      resources: What it has, which it announces to the other hosts.
    """

    name: Name
    availability_zone: Name
    region: Name
    resources: ResourcesConfig = ResourcesConfig()


class EntryConfig(msgspec.Struct, frozen=True):
    """How callers reach the entry role.

    Attributes:
      listen: Address to listen on; port 0 takes a free one.
      advertise: Address told to callers, if it differs.
      keep_s: Seconds a caller may keep an answer of ``/v1/hosts``.
      drain_s: Longest time a drain may take before requests still in
        flight are named in the log and the program ends.
      max_body_bytes: Largest request body.
      header_timeout_s: Longest time to send a request's head.
      idle_timeout_s: Longest time a kept connection may rest.
    """

    listen: AddressText = "127.0.0.1:8000"
    advertise: str = ""
    keep_s: Seconds = 30.0
    drain_s: Seconds = 600.0
    max_body_bytes: Count = 16_777_216
    header_timeout_s: Seconds = 10.0
    idle_timeout_s: Seconds = 75.0


class BatchConfig(msgspec.Struct, frozen=True):
    """How the batch role is reached and bounded.

    Attributes:
      listen: Address of its HTTP port; entries pass job calls to it.
      max_job_bytes: Largest body of one job.
      memory_mb: Bound on held-back results during an outage.
    """

    listen: AddressText = "127.0.0.1:8100"
    advertise: str = ""
    max_job_bytes: Count = 1_073_741_824
    memory_mb: Count = 200
    drain_s: Seconds = 60.0


class PeerConfig(msgspec.Struct, frozen=True):
    """Links between hosts.

    Attributes:
      entry_listen: Where the entry role takes peer links.
      batch_listen: Where the batch role takes peer links.
      seeds: Peer addresses to ask first.
      shared_key: Secret all hosts share, unless mutual TLS is set.
    """

    entry_listen: AddressText = "127.0.0.1:8200"
    batch_listen: AddressText = "127.0.0.1:8300"
    seeds: tuple[AddressText, ...] = ()
    shared_key: str = ""


class TlsConfig(msgspec.Struct, frozen=True):
    """Certificates; empty names mean plain TCP.

    Attributes:
      certificate: PEM chain of this host.
      key: PEM key of this host.
      peer_ca: PEM of the CA that signs hosts; turns on mutual TLS.
      callers: Whether the callers' port speaks TLS.
    """

    certificate: str = ""
    key: str = ""
    peer_ca: str = ""
    callers: bool = False


class PlatformConfig(msgspec.Struct, frozen=True):
    """Where a backend is and which plug-in speaks to it."""

    address: AddressText
    plugin: str = "http"
    timeout_s: Seconds = 2.0


class LedgerConfig(PlatformConfig, frozen=True):
    """The platform's keyed store and what it takes.

    Attributes:
      parts: Partitions of jobs; a job's partition follows from it, so that
        it is the same on all hosts and stays as it is.
      topic_parts: Partitions of one topic of the store.
      record_bytes: Most bytes of one record.
      append_bytes: Most bytes of the records of one append.
      configuration_s: Longest time from a change of the configuration
        until it is in force on all hosts.
      engines_s: Longest time from an engine's word that it leaves until no
        host sends it anything new.
    """

    parts: Count = 8
    topic_parts: Count = 8
    record_bytes: Count = 262_144
    append_bytes: Count = 2_097_152
    configuration_s: Seconds = 2.0
    engines_s: Seconds = 2.0


class StreamConfig(msgspec.Struct, frozen=True):
    """What the platform's log allows this deployment.

    Attributes:
      append_budget: Appends a second for the whole fleet.
      record_limit_bytes: Largest record.
      retention_s: How long records are kept.
      min_flush_s: Shortest time over which appends are grouped.
    """

    append_budget: Annotated[float, msgspec.Meta(gt=0)] = 300.0
    record_limit_bytes: Annotated[int, msgspec.Meta(ge=4096)] = 1_048_576
    retention_s: Seconds = 604_800.0
    min_flush_s: Seconds = 0.05


class ShardsConfig(msgspec.Struct, frozen=True):
    """Number of streams of each kind; alike on all hosts, for ever."""

    jobs: Count = 16
    calls: Count = 16
    orders: Count = 4


class LoggingConfig(msgspec.Struct, frozen=True):
    """Form and level of the log lines."""

    format: Literal["text", "json"] = "text"
    level: Literal["DEBUG", "INFO", "WARNING", "ERROR"] = "INFO"


class FrontConfig(msgspec.Struct, frozen=True):
    """Listeners and limits of the program ``host``.

    Attributes:
      listen: Where callers send requests.
      ready: Where the platform asks whether this host is ready.
      directory: Where callers ask which addresses to use.
      metrics: Where metrics are read; empty for nowhere.
      keep_s: Seconds a caller may keep the addresses it is told.
      grace_s: Seconds from the signal to end until the process is killed.
      pass_s: Longest time an event may take through this host.
      item_keep_s: Seconds for which results of a job are kept.
      limit_window_s: Window in which the online requests of a workspace
        count against its limit.
    """

    listen: AddressText = "127.0.0.1:8000"
    ready: str = ""
    directory: str = ""
    metrics: str = ""
    keep_s: Seconds = 1.0
    grace_s: Seconds = 10.0
    pass_s: Seconds = 0.1
    item_keep_s: Seconds = 120.0
    limit_window_s: Seconds = 5.0


class ExperimentsConfig(msgspec.Struct, frozen=True):
    """Mechanisms that an ablation switches off; all are on by default.

    For measuring what each is worth, on a copy; never for callers.

    Attributes:
      prefix: Requests that share a prefix meet at the same engine.
      zone: Engines in the asker's availability zone come first.
      hold_back: Items leave slots alone that a burst would take back.
      pressed: Items are not held back so when they are short of time.
      give_way: Items give their slots to questions.
      refuse_at_once: A question whose turn would come too late is refused
        before its patience is over.
      put_aside: Engines get nothing for a while after they failed.
      kept_connections: Requests leave on connections used before.
      handover: What has come of items goes to the next owner.
      peers_word: Peers are asked for what is in force while the ledger is
        away.
      spread_return: Refused questions are told different times to return.
      fair_shares: Workspaces get slots that are short by their shares.
      speeds: Requests are placed by how fast engines are.
    """

    prefix: bool = True
    zone: bool = True
    hold_back: bool = True
    pressed: bool = True
    give_way: bool = True
    refuse_at_once: bool = True
    put_aside: bool = True
    kept_connections: bool = True
    handover: bool = True
    peers_word: bool = True
    spread_return: bool = True
    fair_shares: bool = True
    speeds: bool = True


ALL_ON = ExperimentsConfig()


class Config(msgspec.Struct, frozen=True):
    """All settings of one host.

    Attributes:
      plugins: Modules to import, whose plug-ins register themselves.
      ledger: The platform's keyed store, for the program ``host``.
      front: Listeners of the program ``host``.
      experiments: What an ablation switches off.
    """

    host: HostConfig
    log: PlatformConfig
    hostlist: PlatformConfig
    weights: PlatformConfig | None = None
    entry: EntryConfig = msgspec.field(default_factory=EntryConfig)
    batch: BatchConfig = msgspec.field(default_factory=BatchConfig)
    peer: PeerConfig = msgspec.field(default_factory=PeerConfig)
    tls: TlsConfig = msgspec.field(default_factory=TlsConfig)
    streams: StreamConfig = msgspec.field(default_factory=StreamConfig)
    shards: ShardsConfig = msgspec.field(default_factory=ShardsConfig)
    logging: LoggingConfig = msgspec.field(default_factory=LoggingConfig)
    plugins: tuple[str, ...] = ()
    ledger: LedgerConfig | None = None
    front: FrontConfig = msgspec.field(default_factory=FrontConfig)
    experiments: ExperimentsConfig = msgspec.field(
        default_factory=ExperimentsConfig
    )

    @classmethod
    def from_toml(cls, text: str, file: str = "settings") -> "Config":
        """Read settings.

        Args:
          text: TOML text.
          file: Name to give in faults.

        Raises:
          ConfigError: with every fault found, not only the first.
        """
        try:
            data: dict[str, Any] = tomllib.loads(text)
        except tomllib.TOMLDecodeError as error:
            fault = errors.Fault(file, "(syntax)", str(error), "valid TOML")
            raise errors.ConfigError((fault,)) from error
        return cls.from_data(data, file)

    @classmethod
    def from_data(cls, data: dict[str, Any], file: str = "") -> "Config":
        """Build from plain data; see ``from_toml``."""
        outcome = check.build(cls, data, file=file)
        if outcome.is_err():
            raise errors.ConfigError(outcome.unwrap_err())
        return outcome.unwrap()

    @classmethod
    def from_file(cls, path: str) -> "Config":
        """Read settings from a file; see ``from_toml``."""
        try:
            text = pathlib.Path(path).read_text(encoding="utf-8")
        except OSError as error:
            fault = errors.Fault(
                path, "(file)", error.strerror or "", "a file"
            )
            raise errors.ConfigError((fault,)) from error
        return cls.from_toml(text, path)
