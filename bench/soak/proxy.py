"""A loopback proxy between two parties, with faults."""

__all__ = ["Link"]

import asyncio
import contextlib

from camphortray import cluster

CHUNK = 65_536
DELAY_S = 0.25
TRICKLE_BYTES, TRICKLE_S = 16, 0.05
# Bytes wait for so long before their peer's side ends.
WAIT_S = 0.2


class Link:
    """Leads the connections from one party to another.

    Bytes held back in a silence come late, as those of TCP do.

    Attributes:
      port: Where the dialling party is led to.
      fault: What goes wrong now, or "".
      pairs: Writers of open connections: dialling side, dialled side.
      carried: Bytes passed on.
    """

    def __init__(self, dials: str, dialled: str, port: int) -> None:
        self.name = f"{dials}>{dialled}"
        self.dialled = dialled
        self.target = port
        self.port = cluster.free_port()
        self.fault = ""
        self.healed = asyncio.Event()
        self.pairs: set[tuple[asyncio.StreamWriter, ...]] = set()
        self.server: asyncio.Server | None = None
        self.carried = 0
        self.tasks: set[asyncio.Task[None]] = set()

    async def open(self) -> None:
        """Take connections."""
        if self.server is None:
            self.server = await asyncio.start_server(
                self.serve, cluster.LOOPBACK, self.port
            )

    def close(self) -> None:
        """Refuse connections and reset the open ones."""
        if self.server is not None:
            self.server.close()
            self.server = None
        self.reset()

    def reset(self) -> None:
        """Reset all open connections."""
        for pair in list(self.pairs):
            for writer in pair:
                writer.transport.abort()

    async def stop(self) -> None:
        """End for good."""
        self.close()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Lead one connection."""
        task = asyncio.current_task()
        assert task is not None
        self.tasks.add(task)
        pair: tuple[asyncio.StreamWriter, ...] = (writer,)
        self.pairs.add(pair)
        try:
            back, to = await asyncio.open_connection(
                cluster.LOOPBACK, self.target
            )
            self.pairs.discard(pair)
            pair = (writer, to)
            self.pairs.add(pair)
            await asyncio.gather(
                self.pump(reader, to, "to"), self.pump(back, writer, "back")
            )
        except (OSError, RuntimeError, asyncio.CancelledError):
            # The other side goes with it; nothing is left to tell. A write
            # behind an end that was played is a RuntimeError.
            pass
        finally:
            self.pairs.discard(pair)
            self.tasks.discard(task)
            for each in pair:
                each.transport.abort()

    async def pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        way: str,
    ) -> None:
        """Pass on what comes one way until it ends."""
        while True:
            small = self.fault == "trickle"
            data = await reader.read(TRICKLE_BYTES if small else CHUNK)
            if small:
                await asyncio.sleep(TRICKLE_S)
            elif self.fault == "delay":
                await asyncio.sleep(DELAY_S)
            while self.fault in ("silence", way, f"eof-{way}"):
                await self.healed.wait()
            if not data:
                if writer.can_write_eof():
                    with contextlib.suppress(OSError):
                        writer.write_eof()
                return
            self.carried += len(data)
            writer.write(data)
            await writer.drain()

    async def suffer(self, fault: str, length_s: float) -> None:
        """Go wrong for a while."""
        if fault == "reset":
            self.reset()
            return
        self.fault = "eof-to" if fault == "eof" else fault
        self.healed.clear()
        if fault == "eof":
            await asyncio.sleep(WAIT_S)
            for writer in [pair[0] for pair in self.pairs]:
                with contextlib.suppress(OSError, RuntimeError):
                    writer.write_eof()
        try:
            await asyncio.sleep(length_s)
        finally:
            self.heal()

    def heal(self) -> None:
        """Go right again."""
        self.fault = ""
        self.healed.set()
