"""Forwards small records to one host, which appends them in batches.

With hundreds of hosts that append a claim now and then, the append budget
of the log would allow each host only one append every few seconds. So hosts
forward their encoded records, which keep their ids, to the preferred host of
the stream, and it appends them as one bundle. A record that was forwarded
and also appended directly counts once, by its id, so that the sender need
not know the outcome of a failed forward.
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

# Time that the preferred host has to append a forwarded record.
FORWARD_TIMEOUT_S = 1.0
# Overhead of each record in a bundle.
ENTRY_OVERHEAD_BYTES = 8


@messages.message("log-append")
class LogAppend(msgspec.Struct, frozen=True):
    """Asks a peer to append an encoded record."""

    stream: str
    data: bytes


@messages.message("log-appended")
class Appended(msgspec.Struct, frozen=True):
    """Confirms that the log has stored the record."""

    offset: int


@dataclasses.dataclass(frozen=True, slots=True)
class Pending:
    """An encoded record that is waiting to be appended."""

    data: bytes
    done: "asyncio.Future[int]"


class Bundler:
    """Appends to one stream and combines waiting records into bundles."""

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
        """Append a record, alone or in a bundle; return the offset.

        Raises:
          LogRefused: the log did not store the record.
          LogUnavailable: the log may have stored the record.
        """
        loop = asyncio.get_running_loop()
        pending = Pending(data, loop.create_future())
        size = len(data) + ENTRY_OVERHEAD_BYTES
        self.grouper.add(pending, size, loop.time())
        if self.task is None or self.task.done():
            self.task = loop.create_task(self.flush())
        return await pending.done

    async def flush(self) -> None:
        """Append batches of records until none is waiting."""
        loop = asyncio.get_running_loop()
        while (wait_s := self.grouper.wait_s(loop.time())) is not None:
            await asyncio.sleep(wait_s)
            batch = self.grouper.take(loop.time())
            # A caller that gave up has voided its record or will do so.
            batch = [pending for pending in batch if not pending.done.done()]
            if batch:
                await self.append_all(batch)

    async def append_all(self, batch: list[Pending]) -> None:
        """Append a batch of records and pass the outcome to the callers."""
        try:
            offset = await self.service.append(self.stream, self.encode(batch))
        except errors.LogError as error:
            for pending in batch:
                if not pending.done.done():
                    pending.done.set_exception(error)
            return
        for pending in batch:
            if not pending.done.done():
                pending.done.set_result(offset)

    def encode(self, batch: list[Pending]) -> bytes:
        """Return the bytes of a single record, or of a bundle of several."""
        self.appends += 1
        if len(batch) == 1:
            return batch[0].data
        bundle = folds.Bundle(tuple(pending.data for pending in batch))
        body = msgspec.to_builtins(bundle, builtin_types=(bytes,))
        record_id = records.RecordId(self.writer, self.appends)
        return records.encode(
            records.Record(record_id, folds.BUNDLE, records.NO_EPOCH, body)
        )

    def stop(self) -> None:
        """Cancel the task that appends."""
        if self.task is not None:
            self.task.cancel()


class AppendForwarder:
    """Appends records to the log, through the stream's preferred host.

    Attributes:
      choose: Returns the peer address of the host that appends the records
        of a stream, or None if that is this host or no host is reachable.
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
        """Return this host's bundler of a stream; create it if needed."""
        bundler = self.bundlers.get(stream)
        if bundler is None:
            bundler = Bundler(self.service, stream, self.limits, self.writer)
            self.bundlers[stream] = bundler
        return bundler

    async def on_append(
        self, sender: peers.Sender, message: LogAppend
    ) -> Appended | peers.PeerFault:
        """Append a record that a peer forwarded."""
        try:
            bundler = self.bundler(message.stream)
            return Appended(await bundler.append(message.data))
        except errors.LogError as error:
            return peers.PeerFault(str(error))

    async def send(self, stream: str, data: bytes) -> int:
        """Append a record, through the preferred host if possible.

        Raises:
          LogRefused: the log did not store the record.
          LogUnavailable: the log may have stored the record.
        """
        address = self.choose(stream)
        if address is None:
            return await self.bundler(stream).append(data)
        try:
            answer = await self.links.ask(
                address, LogAppend(stream, data), FORWARD_TIMEOUT_S
            )
            return int(answer.offset)
        except errors.MessageError:
            return await self.send_directly(stream, data)

    async def send_directly(self, stream: str, data: bytes) -> int:
        """Append a record that a peer may have appended or may yet append."""
        try:
            return await self.service.append(stream, data)
        except errors.LogRefused as error:
            # The peer may still append the record. After LogRefused, the
            # caller would report that a call will not run, although it may.
            raise errors.LogUnavailable(
                error.message, step="append", peer=stream
            ) from error

    def stop(self) -> None:
        """Stop all bundlers."""
        for bundler in self.bundlers.values():
            bundler.stop()
