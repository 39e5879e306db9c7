"""A store of keyed records with one fenced writer a partition.

Beside the plain log (``log.LogService``) some platforms keep the newest
record of each key for good, tell a member of a group which partitions
should be its own, and refuse appends of an epoch that has ended. Where
they do, agreed state needs no claims, challenges, snapshots or carrying
forward: the state of a partition is the newest record of each of its keys,
and whoever has set the highest epoch is the only one that can add to it.
"""

__all__ = [
    "Assignment",
    "Fence",
    "KEY_BYTES",
    "LEDGERS",
    "Ledger",
    "LedgerPage",
    "LedgerRecord",
    "MemoryLedger",
    "Topic",
]

import abc
import asyncio
import collections
from collections.abc import Callable
from collections.abc import Sequence
import enum

import msgspec

from camphortray import config as configs
from camphortray import errors
from camphortray import registry

# Most bytes of a key, whose length is told in one byte.
KEY_BYTES = 255
# Time for the answer to an append unless its caller names another.
ANSWER_S = 1.0


OnPage = Callable[[], None]


def no_page() -> None:
    """Take no note of a page."""


class Topic(enum.Enum):
    """What is kept; the first two are written by others."""

    CONFIGURATION = "configuration"
    ENGINES = "engines"
    HOSTS = "hosts"
    JOBS = "jobs"
    QUARANTINES = "quarantines"
    VERSIONS = "versions"


class LedgerRecord(msgspec.Struct, frozen=True):
    """A record; one with an empty value drops its key.

    Attributes:
      key: Unique in its partition at any time.
      value: Bytes as appended.
      offset: Its place in the partition, from 0.
    """

    key: str
    value: bytes
    offset: int = -1


class LedgerPage(msgspec.Struct, frozen=True):
    """Records of a partition.

    Attributes:
      end: Offset that the next record will get.
      records: In order of their offsets.
    """

    end: int
    records: tuple[LedgerRecord, ...] = ()

    def next_offset(self, offset: int) -> int:
        """Return where to read on; an answer may hold but a part.

        Args:
          offset: From where this page was read.

        >>> LedgerPage(9, (LedgerRecord("k", b"", 4),)).next_offset(4)
        5
        >>> LedgerPage(9).next_offset(9)
        9
        """
        return self.records[-1].offset + 1 if self.records else offset


class Fence(msgspec.Struct, frozen=True):
    """Who appends; appends of an older epoch are refused by the store.

    Attributes:
      epoch: Of the owner of the partition.
      sequence: Number of the append, by one higher than the last one of
        the same epoch. A repeat gets the first one's answer.
    """

    epoch: int
    sequence: int


class Assignment(msgspec.Struct, frozen=True):
    """Which partitions should be a member's own.

    Attributes:
      generation: Grows with each change of the group.
      parts: Numbers of partitions.
    """

    generation: int
    parts: frozenset[int]


class Ledger(abc.ABC):
    """Keyed records, fenced appends and a group of owners.

    Attributes:
      parts: Number of partitions of each topic of the system's own.
      append_bytes: Most bytes of the records of one append.
      record_bytes: Most bytes of one record.
    """

    parts: int = 8
    append_bytes: int = 2_097_152
    record_bytes: int = 262_144

    @classmethod
    @abc.abstractmethod
    def from_config(cls, config: configs.LedgerConfig) -> "Ledger":
        """Build from settings."""

    @abc.abstractmethod
    async def newest(
        self, topic: Topic, part: int = 0, on_page: OnPage = no_page
    ) -> LedgerPage:
        """Return the newest record of each key.

        It is no snapshot: reading on from ``end``, which was the end when
        the call began, brings what has changed since.

        Args:
          topic: What they belong to.
          part: Partition.
          on_page: Called as each page of a long listing has come, so that
            whoever waits sees that it goes on.

        Raises:
          LogError: the store does not answer.
        """

    @abc.abstractmethod
    async def read(
        self, topic: Topic, part: int, offset: int, wait_s: float = 0.0
    ) -> LedgerPage:
        """Return records from ``offset`` on, waiting for one if asked to.

        Raises:
          LogTruncated: some of them are gone; ``newest`` has the rest.
          LogError: the store does not answer.
        """

    @abc.abstractmethod
    async def append(
        self,
        topic: Topic,
        part: int,
        records: Sequence[LedgerRecord],
        fence: Fence | None = None,
        timeout_s: float = ANSWER_S,
    ) -> None:
        """Append records, all or none.

        Args:
          topic: What they belong to.
          part: Partition.
          records: To be appended, in order.
          fence: Who appends; None for anyone.
          timeout_s: Time for the answer.

        Raises:
          LogRefused: the store certainly did not take them.
          LogUnavailable: it may have, or may yet.
          LogFenced: the epoch has ended.
        """

    @abc.abstractmethod
    async def set_epoch(self, topic: Topic, part: int, epoch: int) -> None:
        """End all lower epochs of a partition; errors as ``append``."""

    @abc.abstractmethod
    async def join(
        self, member: str, generation: int, keep_s: float
    ) -> Assignment:
        """Be a member of the group of owners for ``keep_s`` more seconds.

        Args:
          member: Name of this process.
          generation: Last one that was received, 0 at first.
          keep_s: Time without a call after which the group goes on
            without this member.

        Raises:
          LogError: the store does not answer.
        """

    @abc.abstractmethod
    async def leave(self, member: str) -> None:
        """Leave the group of owners; errors as ``join``."""

    @abc.abstractmethod
    async def owners(self) -> dict[int, str]:
        """Return the member that each partition is dealt to, by number.

        Whoever asks need not be a member. Errors as ``join``.
        """

    async def close(self) -> None:
        """Release connections."""


LEDGERS: registry.Registry[Ledger] = registry.Registry("ledger")


class MemoryPart:
    """One partition held in memory."""

    def __init__(self) -> None:
        self.records: list[LedgerRecord] = []
        self.kept: dict[str, LedgerRecord] = {}
        self.first = 0
        self.epoch = 0
        self.answered: dict[tuple[int, int], int] = {}
        self.sequence = -1
        self.changed = asyncio.Event()

    @property
    def end(self) -> int:
        """Offset of the next record."""
        return self.records[-1].offset + 1 if self.records else self.first

    def check(self, fence: Fence) -> bool:
        """Return whether an append is new; raise if it is fenced off."""
        if fence.epoch < self.epoch:
            raise errors.LogFenced("old epoch", step="append", peer="memory")
        if fence.epoch > self.epoch:
            self.epoch, self.sequence = fence.epoch, fence.sequence - 1
        return (fence.epoch, fence.sequence) not in self.answered

    def add(self, records: Sequence[LedgerRecord]) -> None:
        """Add records and wake readers."""
        for record in records:
            self.records.append(
                msgspec.structs.replace(record, offset=self.end)
            )
        self.changed.set()
        self.changed = asyncio.Event()


@LEDGERS.register("memory")
class MemoryLedger(Ledger):
    """A ledger in memory, for tests; faults are plain attributes.

    Attributes:
      down: Whether it refuses to answer.
      lose_answers: Number of coming appends that take effect but whose
        answer is lost.
      refuse: Number of coming appends that are refused.
    """

    def __init__(self, parts: int = 2) -> None:
        self.parts = parts
        self.held: dict[tuple[Topic, int], MemoryPart] = (
            collections.defaultdict(MemoryPart)
        )
        self.members: dict[str, float] = {}
        self.generation = 1
        self.down = False
        self.lose_answers = 0
        self.refuse = 0
        self.appends = 0

    @classmethod
    def from_config(cls, config: configs.LedgerConfig) -> "MemoryLedger":
        return cls(config.parts)

    def check_up(self, step: str) -> None:
        """Raise while it is down."""
        if self.down:
            raise errors.LogUnavailable("down", step=step, peer="memory")

    async def newest(
        self, topic: Topic, part: int = 0, on_page: OnPage = no_page
    ) -> LedgerPage:
        self.check_up("newest")
        held = self.held[topic, part]
        by_key = dict(held.kept)
        by_key.update((record.key, record) for record in held.records)
        kept = sorted(
            (record for record in by_key.values() if record.value),
            key=lambda record: record.offset,
        )
        return LedgerPage(held.end, tuple(kept))

    async def read(
        self, topic: Topic, part: int, offset: int, wait_s: float = 0.0
    ) -> LedgerPage:
        self.check_up("read")
        held = self.held[topic, part]
        if offset >= held.end and wait_s > 0:
            waiting = asyncio.ensure_future(held.changed.wait())
            await asyncio.wait({waiting}, timeout=wait_s)
            waiting.cancel()
            self.check_up("read")
        if offset < held.first:
            raise errors.LogTruncated(held.first, step="read", peer="memory")
        return LedgerPage(
            held.end, tuple(r for r in held.records if r.offset >= offset)
        )

    async def append(
        self,
        topic: Topic,
        part: int,
        records: Sequence[LedgerRecord],
        fence: Fence | None = None,
        timeout_s: float = ANSWER_S,
    ) -> None:
        self.check_up("append")
        if self.refuse:
            self.refuse -= 1
            raise errors.LogRefused("busy", step="append", peer="memory")
        held = self.held[topic, part]
        if fence is None or held.check(fence):
            held.add(records)
            self.appends += 1
        if fence is not None:
            held.answered[fence.epoch, fence.sequence] = held.end
        if self.lose_answers:
            self.lose_answers -= 1
            raise errors.LogUnavailable(
                "answer lost", step="append", peer="memory"
            )

    async def set_epoch(self, topic: Topic, part: int, epoch: int) -> None:
        self.check_up("set epoch")
        held = self.held[topic, part]
        if epoch < held.epoch:
            raise errors.LogFenced("old epoch", step="claim", peer="memory")
        held.epoch = epoch

    def deal(self) -> None:
        """Begin a new generation, as a change of the group does."""
        self.generation += 1

    def lapse(self, member: str) -> None:
        """Let a member's time run out, as that of a host that is lost."""
        if self.members.pop(member, None) is not None:
            self.deal()

    def truncate(self, topic: Topic, part: int = 0) -> None:
        """Forget the records, but keep the newest of each key."""
        held = self.held[topic, part]
        end = held.end
        newest = {record.key: record for record in held.records}
        held.kept = {key: r for key, r in newest.items() if r.value}
        held.records.clear()
        held.first = end

    async def join(
        self, member: str, generation: int, keep_s: float
    ) -> Assignment:
        self.check_up("join")
        if member not in self.members:
            self.deal()
        self.members[member] = keep_s
        return Assignment(self.generation, self.dealt_to(member))

    def dealt_to(self, member: str) -> frozenset[int]:
        """Return the partitions of a member in this generation."""
        order = sorted(self.members)
        place = order.index(member)
        return frozenset(
            number
            for number in range(self.parts)
            if (number + self.generation) % len(order) == place
        )

    async def leave(self, member: str) -> None:
        self.check_up("leave")
        self.lapse(member)

    async def owners(self) -> dict[int, str]:
        self.check_up("owners")
        return {
            part: member
            for member in self.members
            for part in self.dealt_to(member)
        }
