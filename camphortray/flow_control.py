"""Lets writers wait while a transport takes no more."""

__all__ = ["FlowControl"]

import asyncio


class FlowControl(asyncio.Protocol):
    """The half of a protocol that the transport tells of backpressure.

    Attributes:
      can_write: Waited for while the transport takes no more, else None.
    """

    def __init__(self) -> None:
        self.can_write: asyncio.Future[None] | None = None

    def pause_writing(self) -> None:
        self.can_write = asyncio.get_running_loop().create_future()

    def resume_writing(self) -> None:
        if self.can_write is not None and not self.can_write.done():
            self.can_write.set_result(None)
        self.can_write = None

    async def writable(self) -> None:
        """Wait until the transport takes more, or is lost."""
        if self.can_write is not None:
            await self.can_write
