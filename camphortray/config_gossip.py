"""Passes records of the settings stream between hosts.

So a host that is cut off from the platform follows, and one that starts
while the platform is down has settings. What is passed on are the log's
own records with their offsets, in order and without gaps, or the fold of
a prefix: the log stays the only order.
"""

__all__ = ["Spread"]

import asyncio
from typing import Any
from typing import ClassVar

import msgspec

from camphortray import config as configs
from camphortray import errors
from camphortray import facts
from camphortray import kernel
from camphortray import log
from camphortray import logs
from camphortray import membership
from camphortray import messages
from camphortray import peers
from camphortray import record_cache
from camphortray import snapshot
from camphortray import tasks
from camphortray import tree

LOG = logs.logger("spread")
# Kind of the fact that tells how far the stream goes.
HEAD = "settings-head"
HEAD_KEEP_S = 60.0
# Seconds from one look at what is lacking to the next.
LOOK_S = 0.5
ASK_S = 2.0


@messages.message("record")
class PassedRecord(msgspec.Struct, frozen=True):
    """A record as the log keeps it; see ``log.LogRecord``."""

    offset: int
    time: float
    body: bytes


@messages.message("records-ask")
class RecordsAsk(msgspec.Struct, frozen=True):
    """Asks for records of the settings stream.

    Attributes:
      offset: Of the first one lacking.
      part: Which part of a snapshot is wanted, if that is the answer.
    """

    offset: int
    part: int = 0


@messages.message("records")
class Records(msgspec.Struct, frozen=True):
    """Answers with records, or one part of a snapshot, or nothing."""

    records: tuple[PassedRecord, ...] = ()
    part: snapshot.Part | None = None


@kernel.PARTS.register("entry", "batch")
class Spread(kernel.Part):
    """Passes settings on to peers and takes them from peers."""

    name: ClassVar[str] = "spread"
    requires: ClassVar[tuple[str, ...]] = ("settings", "membership")

    def __init__(self, context: kernel.Context) -> None:
        self.clock = context.clock
        self.members = context.part(membership.Membership)
        self.links = context.part(peers.Peers)
        self.journal = context.part(tree.Tree).journal
        self.recent = record_cache.Recent()
        self.behind = record_cache.Behind(context.rng)
        self.parts: list[snapshot.Part] = []
        self.task: asyncio.Task[None] | None = None
        self.links.on(RecordsAsk, self.answer)
        self.members.node.on_head = self.behind.note
        self.members.on_fact(HEAD, self.on_head)
        self.journal.recorders.append(self.on_record)
        self.journal.on_restore(self.on_restore)

    @classmethod
    def from_config(cls, context: kernel.Context) -> "Spread":
        return cls(context)

    async def start(self) -> None:
        self.on_restore()
        self.task = asyncio.get_running_loop().create_task(
            tasks.forever("settings from peers", self.run)
        )

    def on_record(self, record: log.LogRecord) -> None:
        """Keep a record and tell how far the stream goes.

        The time is the log's, so that all hosts tell the same fact and
        it travels but once.
        """
        self.recent.add(record)
        head = self.members.node.head = self.journal.fold.next
        version = int(record.time * 1000)
        fact = facts.Fact(HEAD, "", version, head, HEAD_KEEP_S)
        self.members.offer(fact)

    def on_restore(self) -> None:
        """Take note that records were skipped."""
        self.recent.clear()
        self.members.node.head = self.journal.fold.next

    def on_head(self, fact: membership.Fact) -> None:
        """Take note of how far the stream goes."""
        if isinstance(fact.value, int):
            self.behind.note("", fact.value)

    async def run(self) -> None:
        """Look now and then whether others are ahead."""
        while True:
            await asyncio.sleep(LOOK_S)
            name = self.behind.choose(
                self.journal.fold.next,
                self.members.node.known.gossip.neighbours,
                self.clock.monotonic(),
            )
            member = self.members.member(name) if name else None
            if member is None or member.dead:
                continue
            try:
                await self.fetch(member)
            except errors.MessageError as error:
                LOG.debug("No records: {}", error)

    async def fetch(self, member: membership.Member) -> None:
        """Take from a member what it has more.

        Raises:
          MessageError: it does not answer.
        """
        address = configs.Address.from_text(member.peer_address)
        parts: dict[int, snapshot.Part] = {}
        while True:
            ask = RecordsAsk(self.journal.fold.next, len(parts))
            reply = await self.links.ask(address, ask, ASK_S)
            if not isinstance(reply, Records):
                return
            if reply.part is not None:
                parts = gather(parts, reply.part)
                if len(parts) == reply.part.count:
                    self.take_snapshot(parts)
                    parts = {}
            elif not self.take_records(reply.records):
                return

    def take_records(self, passed: tuple[PassedRecord, ...]) -> bool:
        """Apply records in order; return whether any was new."""
        before = self.journal.fold.next
        for record in passed:
            if record.offset != self.journal.fold.next:
                continue
            self.journal.apply(
                log.LogRecord(record.offset, record.time, record.body)
            )
        count = self.journal.fold.next - before
        if count:
            LOG.info("Took {} records from a peer.", count)
        return count > 0

    def take_snapshot(self, parts: dict[int, snapshot.Part]) -> None:
        """Go on from a peer's fold of a longer prefix."""
        state = snapshot.merge(list(parts.values()))
        if state is None:
            raise errors.MessageError("damaged snapshot", step="fetch")
        size = sum(len(part.data) for part in parts.values())
        if self.journal.adopt(state, self.clock.wall(), size):
            LOG.info("Took a snapshot from a peer.")

    async def answer(self, sender: peers.Sender, ask: RecordsAsk) -> Any:
        """Answer a peer that lacks records."""
        if ask.offset >= self.journal.fold.next:
            return Records()
        page = self.recent.since(ask.offset)
        if page:
            return Records(
                tuple(PassedRecord(r.offset, r.time, r.body) for r in page)
            )
        return self.answer_part(ask.part)

    def answer_part(self, number: int) -> Records:
        """Answer with one part of a snapshot made for it.

        The parts of one snapshot are kept while they are asked for, as
        the stream may go on meanwhile.
        """
        if number == 0:
            state = self.journal.fold.snapshot()
            self.parts = snapshot.split(state, record_cache.PAGE_BYTES)
        if number >= len(self.parts):
            return Records()
        return Records(part=self.parts[number])

    async def stop(self) -> None:
        if self.task is not None:
            self.task.cancel()


def gather(
    parts: dict[int, snapshot.Part], part: snapshot.Part
) -> dict[int, snapshot.Part]:
    """Add a part; one of another snapshot starts anew."""
    if any(held.digest != part.digest for held in parts.values()):
        parts = {}
    return {**parts, part.number: part}
