"""Keeps a shard owned by the host that should own it."""

__all__ = ["Members", "Owner", "Roster"]

import abc
import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import dataclasses

from camphortray import errors
from camphortray import fold as folds
from camphortray import journal
from camphortray import kernel
from camphortray import logs
from camphortray import membership
from camphortray import records
from camphortray import shards
from camphortray import takeover
from camphortray import tasks

LOG = logs.logger("ownership")
# Time for one record of ownership, in seconds.
APPEND_S = 2.0
# Shortest time from one look to the next, in seconds.
MIN_WAIT_S = 0.01
# Pause after one could not be appended, in seconds.
PAUSE_S = 0.5
# Time after the start during which a host that is not known yet may only
# be one that was not heard of, in seconds.
SETTLE_S = 2.0
# A suspected owner is challenged at once. If it lives it answers through
# the log, which costs two records; waiting until it is held for dead would
# cost its jobs the seconds that a refutation may take.
DOUBTED = frozenset({membership.Status.SUSPECT, membership.Status.DEAD})


class Roster(abc.ABC):
    """Which hosts could own a shard, and how they appear from here."""

    @abc.abstractmethod
    def live(self) -> list[str]:
        """Return writers' names of live hosts, this one too."""

    @abc.abstractmethod
    def sight(self, owner: records.Writer) -> takeover.Sight:
        """Return how an owner appears."""


class Alone(Roster):
    """A roster of one, for tools and tests; trusts every owner."""

    def __init__(self, name: str) -> None:
        self.name = name

    def live(self) -> list[str]:
        return [self.name]

    def sight(self, owner: records.Writer) -> takeover.Sight:
        return takeover.Sight.LIVE


class Members(Roster):
    """The members that run one program."""

    def __init__(self, context: kernel.Context) -> None:
        self.context = context
        self.members = context.part(membership.Membership)
        self.since = context.clock.monotonic()

    def live(self) -> list[str]:
        return [m.name for m in self.members.live(self.context.program)]

    def sight(self, owner: records.Writer) -> takeover.Sight:
        if self.members.is_gone(owner.name, owner.incarnation):
            return takeover.Sight.GONE
        member = self.members.members.get(owner.name)
        if member is None:
            age_s = self.context.clock.monotonic() - self.since
            known = age_s < SETTLE_S
        else:
            known = member.status not in DOUBTED
        return takeover.Sight.LIVE if known else takeover.Sight.LOST


class Owner(tasks.Background):
    """This process's part in owning one stream.

    ``start`` lets it take the stream over by itself and answer for it;
    without, it only tells gain and loss.

    Attributes:
      journal: The stream.
      on_gain: Called with the new epoch when this process owns it.
      on_loss: Called when it no longer does; whatever it sends to the
        log afterwards is void.
      busy: Says whether handing over now would cost work that cannot be
        done again; while it does, the stream is given up by a drain
        only, not to spread the load.
      before_release: Awaited before the stream is handed over by choice;
        returns when nothing is in flight that only this process knows.
    """

    def __init__(
        self,
        held: journal.Journal,
        roster: Roster | None = None,
        timing: takeover.Timing | None = None,
    ) -> None:
        super().__init__()
        self.journal = held
        self.roster = roster or Alone(held.writer.name)
        self.policy = takeover.Policy(held.writer, timing)
        self.on_gain: Callable[[int], None] = ignore_epoch
        self.on_loss: Callable[[], None] = ignore
        self.busy: Callable[[], bool] = is_idle
        self.before_release: Callable[[], Awaitable[None]] = wait_for_nothing
        self.owned_epoch = records.NO_EPOCH
        self.seen: object = None
        self.draining = False
        self.changed = asyncio.Event()
        held.listen(self.on_outcome)
        held.on_restore(self.tell)

    @property
    def epoch(self) -> int:
        """Epoch in force."""
        return self.journal.fold.ownership.epoch

    @property
    def owned(self) -> bool:
        """Whether this process owns the stream, as far as it has read."""
        return self.journal.fold.ownership.owner == self.journal.writer

    def on_outcome(self, outcome: folds.Outcome) -> None:
        """Look anew after each record that may matter."""
        held = self.journal.fold.ownership
        now = (held.epoch, held.owner, held.challenge)
        if now != self.seen:
            # Also a release, upon which another host claims at once.
            self.seen = now
            self.changed.set()
        self.tell()

    def tell(self) -> None:
        """Tell gain and loss as the stream tells them."""
        epoch = self.epoch if self.owned else records.NO_EPOCH
        if epoch == self.owned_epoch:
            return
        lost = self.owned_epoch != records.NO_EPOCH
        self.owned_epoch = epoch
        self.changed.set()
        if lost:
            LOG.notice("Lost {}.", self.journal.stream)
            self.on_loss()
        if epoch != records.NO_EPOCH:
            LOG.info("Owns {} from {}.", self.journal.stream, epoch)
            self.on_gain(epoch)

    def wake(self) -> None:
        """Look anew, e.g. because the roster has changed."""
        self.changed.set()

    def doubt(self) -> None:
        """Challenge the owner: it failed at a request of ours."""
        self.policy.doubt(self.epoch)
        self.changed.set()

    async def run(self) -> None:
        """Do what the policy says, for ever."""
        await self.journal.caught_up.wait()
        while True:
            self.changed.clear()
            step = self.next_step()
            wait_s = max(step.again_s, MIN_WAIT_S)
            if step.kind and not await self.take(step):
                wait_s = PAUSE_S
            elif step.kind:
                continue
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait_s):
                    await self.changed.wait()

    def next_step(self) -> takeover.Step:
        """Ask the policy."""
        held = self.journal.fold.ownership
        owner = held.owner
        sight = takeover.Sight.LIVE if owner is None else self.sight(owner)
        rank = first_rank if self.owned and self.busy() else self.rank
        seen = takeover.Seen(held, sight, rank, self.draining)
        return self.policy.step(seen, asyncio.get_running_loop().time())

    def sight(self, owner: records.Writer) -> takeover.Sight:
        """Return how an owner appears."""
        return self.roster.sight(owner)

    def rank(self) -> int:
        """Return this host's place in the stream's rendezvous order."""
        name = self.journal.writer.name
        names = {*self.roster.live(), name}
        return shards.rank(self.journal.stream, names).index(name)

    async def take(self, step: takeover.Step) -> bool:
        """Append what a step asks for; return whether it was read back."""
        try:
            if step.kind == folds.RELEASE:
                await self.before_release()
            await self.journal.append(
                step.kind, step.body, self.epoch, APPEND_S
            )
        except errors.LogError as error:
            LOG.warning("{}: {} failed: {}", step.kind, step.body, error)
            return False
        return True

    async def release(self, timeout_s: float = 10.0) -> None:
        """Hand the stream over and take it no more; for a drain."""
        self.draining = True
        self.changed.set()
        if self.task is None and self.owned:
            await self.take(takeover.Step(folds.RELEASE))
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                while self.owned:
                    await asyncio.sleep(PAUSE_S / 10)

    async def claim(self) -> None:
        """Claim the stream if nobody owns it.

        Raises:
          LogError: the log cannot be reached.
        """
        await self.journal.caught_up.wait()
        if self.journal.fold.ownership.owner is None:
            claim = folds.Claim(self.epoch)
            await self.journal.append(folds.CLAIM, dataclasses.asdict(claim))


def is_idle() -> bool:
    """Say that nothing is lost by handing over."""
    return False


def first_rank() -> int:
    """Rank a host as the one that should own the stream."""
    return 0


def ignore() -> None:
    """Do nothing."""


def ignore_epoch(epoch: int) -> None:
    """Do nothing."""


async def wait_for_nothing() -> None:
    """Return at once."""
