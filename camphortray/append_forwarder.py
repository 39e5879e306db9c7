"""Hands single small records to one host, which appends them together.

With hundreds of hosts, each of which has a claim now and then, the log's
budget would allow each only one append in seconds. So the hosts hand
their records, whole and with their own ids, to the host that comes first
for the stream, and it appends them as one bundle. A record that was
handed over and appended directly as well counts once, by its id; so
nothing has to be known about what became of it on the way.
"""

__all__ = ["AppendForwarder", "Appended", "LogAppend"]

import asyncio
from collections.abc import Callable
import dataclasses

import msgspec

from camphortray import config as configs
from camphortray import errors
from camphortray import fold as folds
from camphortray import grouping
from camphortray import log
from camphortray import messages
from camphortray import peers
from camphortray import records

# Time for the other host to append, in seconds.
HAND_OVER_S = 1.0
# Bytes by which a record grows inside a bundle.
ENTRY_BYTES = 8


@messages.message("log-append")
@dataclasses.dataclass(frozen=True, slots=True)
class LogAppend:
    """Asks a peer to append a record with others."""

    stream: str
    data: bytes


@messages.message("log-appended")
@dataclasses.dataclass(frozen=True, slots=True)
class Appended:
    """Says that the log took the record."""

    offset: int


@dataclasses.dataclass(frozen=True, slots=True)
class Pending:
    """A record that waits for its append."""

    data: bytes
    done: "asyncio.Future[int]"


class Bundler:
    """Appends to one stream, together what waits together."""

    def __init__(
        self,
        service: log.LogService,
        stream: str,
        limits: grouping.Limits,
        writer: records.Writer,
    ) -> None:
        self.service = service
        self.stream = stream
        self.writer = writer
        self.grouper: grouping.Grouper[Pending] = grouping.Grouper(limits)
        self.task: asyncio.Task[None] | None = None
        self.appends = 0

    async def append(self, data: bytes) -> int:
        """Append a record, alone or with others.

        Raises:
          LogRefused: the log certainly did not take it.
          LogUnavailable: it may have been taken.
        """
        loop = asyncio.get_running_loop()
        pending = Pending(data, loop.create_future())
        size = len(data) + ENTRY_BYTES
        self.grouper.add(pending, size, loop.time())
        if self.task is None or self.task.done():
            self.task = loop.create_task(self.flush())
        return await pending.done

    async def flush(self) -> None:
        """Append until nothing waits."""
        loop = asyncio.get_running_loop()
        while (wait_s := self.grouper.wait_s(loop.time())) is not None:
            await asyncio.sleep(wait_s)
            taken = self.grouper.take(loop.time())
            # A caller that gave up has voided its record, or will.
            taken = [one for one in taken if not one.done.done()]
            if taken:
                await self.append_all(taken)

    async def append_all(self, taken: list[Pending]) -> None:
        """Append records as one and tell who waits."""
        try:
            offset = await self.service.append(self.stream, self.join(taken))
        except errors.LogError as error:
            for one in taken:
                if not one.done.done():
                    one.done.set_exception(error)
            return
        for one in taken:
            if not one.done.done():
                one.done.set_result(offset)

    def join(self, taken: list[Pending]) -> bytes:
        """Return one record's bytes that hold all."""
        self.appends += 1
        if len(taken) == 1:
            return taken[0].data
        bundle = folds.Bundle(tuple(one.data for one in taken))
        body = msgspec.to_builtins(bundle, builtin_types=(bytes,))
        record_id = records.RecordId(self.writer, self.appends)
        return records.encode(
            records.Record(record_id, folds.BUNDLE, records.NO_EPOCH, body)
        )

    def stop(self) -> None:
        """Stop; what waits fails as perhaps taken."""
        if self.task is not None:
            self.task.cancel()


class AppendForwarder:
    """Takes records to the log, by way of another host if that is better.

    Attributes:
      choose: Gives the peer address of the host that groups a stream, or
        None if it is this one or none is in reach.
    """

    def __init__(
        self,
        service: log.LogService,
        links: peers.Peers,
        limits: grouping.Limits,
        writer: records.Writer,
        choose: Callable[[str], configs.Address | None],
    ) -> None:
        self.service = service
        self.links = links
        self.limits = limits
        self.writer = writer
        self.choose = choose
        self.bundlers: dict[str, Bundler] = {}
        links.on(LogAppend, self.on_append)

    def bundler(self, stream: str) -> Bundler:
        """Return what appends to a stream from here."""
        held = self.bundlers.get(stream)
        if held is None:
            held = Bundler(self.service, stream, self.limits, self.writer)
            self.bundlers[stream] = held
        return held

    async def on_append(
        self, sender: peers.Sender, message: LogAppend
    ) -> Appended | peers.PeerFault:
        """Append a record for a peer."""
        try:
            bundler = self.bundler(message.stream)
            return Appended(await bundler.append(message.data))
        except errors.LogError as error:
            return peers.PeerFault(str(error))

    async def send(self, stream: str, data: bytes) -> int:
        """Bring a record to the log.

        Raises:
          LogRefused: the log certainly did not take it.
          LogUnavailable: it may have been taken.
        """
        address = self.choose(stream)
        if address is None:
            return await self.bundler(stream).append(data)
        try:
            answer = await self.links.ask(
                address, LogAppend(stream, data), HAND_OVER_S
            )
            return int(answer.offset)
        except errors.MessageError:
            return await self.send_directly(stream, data)

    async def send_directly(self, stream: str, data: bytes) -> int:
        """Append a record that a peer may have appended already."""
        try:
            return await self.service.append(stream, data)
        except errors.LogRefused as error:
            # The peer may bring it to the log yet, so "certainly not
            # taken" would be false; a caller told so could see it run.
            raise errors.LogUnavailable(
                error.message, step="append", peer=stream
            ) from error

    def stop(self) -> None:
        """Stop appending for others."""
        for bundler in self.bundlers.values():
            bundler.stop()
