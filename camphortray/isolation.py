"""Keeps items that may crash upstreams apart from others."""

__all__ = ["Isolation", "fingerprint"]

import asyncio
import collections
from collections.abc import AsyncIterator
from collections.abc import Iterator
import contextlib
import functools

from camphortray import completion
from camphortray import errors
from camphortray import job_reader
from camphortray import jobqueue
from camphortray import kernel
from camphortray import poison
from camphortray import settings
from camphortray import suspects as suspects_module
from camphortray import tasks

# Time for which a suspect gets an upstream for itself, in seconds; asked
# for again at half of it. A permit whose holder is lost keeps the other
# suspects waiting for this long.
APART_S = 5.0


class Isolation:
    """Which items may run beside which, and whom a crash accuses.

    Attributes:
      suspects: What the fleet knows.
      busy: Items of this host on each upstream.
      reserved: Upstreams on which a suspect of this host runs alone.
    """

    def __init__(self, context: kernel.Context) -> None:
        self.clock = context.clock
        self.suspects = context.part(suspects_module.Suspects)
        self.busy: collections.Counter[str] = collections.Counter()
        self.reserved: set[str] = set()
        self.left = asyncio.Event()

    @contextlib.contextmanager
    def count(self, upstream: str) -> Iterator[None]:
        """Count an item on an upstream while it is there."""
        self.busy[upstream] += 1
        try:
            yield
        finally:
            self.busy[upstream] -= 1
            self.left.set()

    def verdict(
        self, service: settings.Service, path: str, item: jobqueue.Item
    ) -> poison.Verdict:
        """Return how an item may run, by what the fleet and the log say."""
        if item.crashes:
            # As the log has it: a host that took over knows nothing else.
            known = poison.Verdict(poison.Standing.APART)
        else:
            known = poison.FREE
        if self.suspects.quiet:
            return known
        told = self.suspects.verdict(service, fingerprint(path, item))
        return known if told.standing is poison.Standing.FREE else told

    @contextlib.asynccontextmanager
    async def apart(self, upstream: str, holder: str) -> AsyncIterator[bool]:
        """Keep an upstream free of other suspects and of our own items.

        Were another there when the suspect crashes the upstream, both
        would look alike, and an innocent item could end as poison.

        Yields:
          Whether there is leave; no other suspect of the fleet is there.
        """
        ask = suspects_module.ApartAsk(upstream, holder, APART_S)
        renewal: asyncio.Task[None] | None = None
        granted = True
        try:
            granted = await self.suspects.ask(ask)
            if not granted:
                yield False
                return
            renewal = asyncio.get_running_loop().create_task(
                tasks.forever(
                    "renewal of a permit", functools.partial(self.renew, ask)
                )
            )
            async with self.alone(upstream):
                yield True
        finally:
            if renewal is not None:
                renewal.cancel()
            if granted:
                # Also when stopped while it asked: the answer on its way
                # may grant what nobody else would give back.
                self.suspects.release(upstream, holder)

    async def renew(self, ask: suspects_module.ApartAsk) -> None:
        """Ask again for a permit in use, for ever."""
        while True:
            await asyncio.sleep(APART_S / 2)
            await self.suspects.ask(ask)

    @contextlib.asynccontextmanager
    async def alone(self, upstream: str) -> AsyncIterator[None]:
        """Wait until no other item of this host is on an upstream."""
        while upstream in self.reserved:
            await self.wait_left()
        self.reserved.add(upstream)
        try:
            while self.busy[upstream] > 1:
                await self.wait_left()
            yield
        finally:
            self.reserved.discard(upstream)
            self.left.set()

    async def wait_left(self) -> None:
        """Wait until an item leaves an upstream."""
        self.left.clear()
        await self.left.wait()

    def to_blame(self, item: jobqueue.Item, upstream: str, name: str) -> bool:
        """Return whether a crash of its upstream counts against an item.

        Not against one that was beside a suspect; nor a second time if
        others crash now without it, as when a zone is lost.
        """
        if not item.crashes:
            return upstream not in self.reserved
        now = self.clock.wall()
        others = {
            crash.upstream
            for crash in self.suspects.book.crashes
            if crash.upstream != upstream
            and now - crash.at <= poison.RELATED_S
            and name not in crash.suspects
        }
        return len(others) < poison.RELATED


def fingerprint(path: str, item: jobqueue.Item) -> str:
    """Return what tells an item's request from others.

    One that could not be sent online gets a text of its own.
    """
    line, _ = job_reader.parse_line(item.line)
    try:
        asked = completion.parse(path, bytes(line.body))
    except errors.Refused:
        return f"{item.job}-{item.index}"
    return poison.fingerprint(asked.model, asked.text)
