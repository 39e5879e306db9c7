"""Isolates batch items suspected of crashing upstreams."""

__all__ = ["Isolation", "fingerprint", "segments"]

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
from camphortray import segment_quarantine
from camphortray import settings
from camphortray import suspects as suspects_module
from camphortray import tasks

# Duration of a permit, which is renewed after half of it. If its holder is
# lost, other suspects wait for this long.
PERMIT_S = 5.0


class Isolation:
    """Decides which items run alone and which a crash counts against.

    Attributes:
      suspects: Crashes and suspects known to the fleet.
      busy: Number of this host's items on each upstream.
      reserved: Upstreams reserved for a suspect of this host.
    """

    def __init__(self, context: kernel.Context) -> None:
        self.clock = context.clock
        self.suspects = context.part(suspects_module.Suspects)
        self.busy: collections.Counter[str] = collections.Counter()
        self.reserved: set[str] = set()
        self.item_left = asyncio.Event()

    @contextlib.contextmanager
    def count(self, upstream: str) -> Iterator[None]:
        """Count an item as running on an upstream within the context."""
        self.busy[upstream] += 1
        try:
            yield
        finally:
            self.busy[upstream] -= 1
            self.item_left.set()

    def verdict(
        self, service: settings.Service, path: str, item: jobqueue.Item
    ) -> poison.Verdict:
        """Return how an item may run, by the fleet's reports and the log."""
        if item.crashes:
            # After a takeover the log is this host's only source.
            logged = poison.Verdict(poison.Standing.ISOLATED)
        else:
            logged = poison.FREE
        if self.suspects.no_suspects:
            return logged
        reported = self.suspects.verdict(service, fingerprint(path, item))
        return (
            logged if reported.standing is poison.Standing.FREE else reported
        )

    def quarantine_of(
        self, service: settings.Service, path: str, item: jobqueue.Item
    ) -> segment_quarantine.Quarantine | None:
        """Return the quarantine that a message of an item falls under."""
        quarantine = self.suspects.quarantine
        if not quarantine.in_force:
            return None
        return quarantine.find(service.name, segments(path, item))

    @contextlib.asynccontextmanager
    async def reserve(self, upstream: str, holder: str) -> AsyncIterator[bool]:
        """Reserve an upstream for a suspect.

        No other suspect of the fleet and no other item of this host runs
        there meanwhile. If the upstream crashed with two of them in flight,
        they would be indistinguishable, and an innocent item could count as
        poison.

        Yields:
          Whether the permit was granted.
        """
        ask = suspects_module.ApartAsk(upstream, holder, PERMIT_S)
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
                # Also if cancelled while asking, as the answer may still
                # grant the permit.
                self.suspects.release(upstream, holder)

    async def renew(self, ask: suspects_module.ApartAsk) -> None:
        """Renew a permit until cancelled."""
        while True:
            await asyncio.sleep(PERMIT_S / 2)
            await self.suspects.ask(ask)

    @contextlib.asynccontextmanager
    async def alone(self, upstream: str) -> AsyncIterator[None]:
        """Reserve an upstream; wait for this host's other items to leave."""
        while upstream in self.reserved:
            await self.wait_left()
        self.reserved.add(upstream)
        try:
            while self.busy[upstream] > 1:
                await self.wait_left()
            yield
        finally:
            self.reserved.discard(upstream)
            self.item_left.set()

    async def wait_left(self) -> None:
        """Wait until an item leaves any upstream."""
        self.item_left.clear()
        await self.item_left.wait()

    def counts_against(
        self, item: jobqueue.Item, upstream: str, name: str
    ) -> bool:
        """Return whether a crash of its upstream counts against an item.

        A first crash does not if a suspect was running there. A further one
        does not if other upstreams crash now without the item, as in the
        loss of a zone.
        """
        if not item.crashes:
            return upstream not in self.reserved
        now = self.clock.wall()
        others = {
            crash.upstream
            for crash in self.suspects.detector.crashes
            if crash.upstream != upstream
            and now - crash.at <= poison.RELATED_S
            and name not in crash.suspects
        }
        return len(others) < poison.MIN_RELATED_CRASHES


def request_of(path: str, item: jobqueue.Item) -> completion.Completion | None:
    """Return an item's request, or None if it would be refused online."""
    line, _ = job_reader.parse_line(item.line)
    try:
        return completion.parse(path, bytes(line.body))
    except errors.Refused:
        return None


def fingerprint(path: str, item: jobqueue.Item) -> str:
    """Return the fingerprint of an item's request.

    It equals that of the same request sent online; one that would be refused
    online gets a fingerprint of its own.
    """
    request = request_of(path, item)
    if request is None:
        return f"{item.job}-{item.index}"
    return poison.fingerprint(request.model, request.text)


def segments(path: str, item: jobqueue.Item) -> tuple[str, ...]:
    """Return the prompt segments that an item shares with other requests."""
    request = request_of(path, item)
    return request.segments if request is not None else ()
