"""Claims, defends and releases the ownership of a stream for one host."""

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
# Time-out of the append of an ownership record.
APPEND_TIMEOUT_S = 2.0
# Shortest pause between two evaluations of the takeover policy.
MIN_WAIT_S = 0.01
# Pause after an ownership record could not be appended.
RETRY_PAUSE_S = 0.5
# Time after the start during which an owner that is missing from the member
# list counts as live, as gossip may not have delivered it yet.
STARTUP_GRACE_S = 2.0
# A suspected owner is challenged at once. If it is alive it answers through
# the log, at the cost of two records; waiting until it is declared dead would
# delay its jobs by the seconds that a refutation may take.
SUSPECTED_STATUSES = frozenset(
    {membership.Status.SUSPECT, membership.Status.DEAD}
)


class Roster(abc.ABC):
    """The hosts that can own a shard, with their liveness at this host."""

    @abc.abstractmethod
    def live(self) -> list[str]:
        """Return the writer names of the live hosts, including this one."""

    @abc.abstractmethod
    def liveness(self, owner: records.Writer) -> takeover.Liveness:
        """Return the liveness of an owner."""


class SingleHost(Roster):
    """A roster of one host for tools and tests; every owner counts as live."""

    def __init__(self, name: str) -> None:
        self.name = name

    def live(self) -> list[str]:
        return [self.name]

    def liveness(self, owner: records.Writer) -> takeover.Liveness:
        return takeover.Liveness.LIVE


class Members(Roster):
    """The cluster members that run this host's program."""

    def __init__(self, context: kernel.Context) -> None:
        self.context = context
        self.members = context.part(membership.Membership)
        self.created_at = context.clock.monotonic()

    def live(self) -> list[str]:
        return [m.name for m in self.members.live(self.context.program)]

    def liveness(self, owner: records.Writer) -> takeover.Liveness:
        if self.members.is_gone(owner.name, owner.incarnation):
            return takeover.Liveness.GONE
        member = self.members.members.get(owner.name)
        if member is None:
            age_s = self.context.clock.monotonic() - self.created_at
            live = age_s < STARTUP_GRACE_S
        else:
            live = member.status not in SUSPECTED_STATUSES
        return takeover.Liveness.LIVE if live else takeover.Liveness.LOST


class Owner(tasks.Background):
    """Claims, defends and releases one stream for this process.

    After ``start`` it follows the takeover policy and answers challenges;
    without ``start`` it only reports gain and loss of the stream.

    Attributes:
      journal: Journal of the stream.
      on_gain: Called with the new epoch when this process becomes the owner.
      on_loss: Called when this process is no longer the owner; what it
        appends afterwards is void.
      busy: Returns whether a handover now would lose work that must not be
        repeated. While it returns true, the stream is released only by a
        drain, not to balance the load.
      before_release: Awaited before a release; returns once nothing is in
        flight that is not in the log.
    """

    def __init__(
        self,
        held: journal.Journal,
        roster: Roster | None = None,
        timing: takeover.Timing | None = None,
    ) -> None:
        super().__init__()
        self.journal = held
        self.roster = roster or SingleHost(held.writer.name)
        self.policy = takeover.Policy(held.writer, timing)
        self.on_gain: Callable[[int], None] = ignore_epoch
        self.on_loss: Callable[[], None] = ignore
        self.busy: Callable[[], bool] = never_busy
        self.before_release: Callable[[], Awaitable[None]] = return_at_once
        self.owned_epoch = records.NO_EPOCH
        self.last_ownership: object = None
        self.draining = False
        self.changed = asyncio.Event()
        held.listen(self.on_outcome)
        held.on_restore(self.report_change)

    @property
    def epoch(self) -> int:
        """Current epoch of the stream."""
        return self.journal.fold.ownership.epoch

    @property
    def owned(self) -> bool:
        """Whether this process owns the stream, by the records read so far."""
        return self.journal.fold.ownership.owner == self.journal.writer

    def on_outcome(self, outcome: folds.Outcome) -> None:
        """Evaluate the policy again if a record changed the ownership."""
        held = self.journal.fold.ownership
        ownership = (held.epoch, held.owner, held.challenge)
        if ownership != self.last_ownership:
            # This includes a release, after which another host claims at once.
            self.last_ownership = ownership
            self.changed.set()
        self.report_change()

    def report_change(self) -> None:
        """Call ``on_loss`` and ``on_gain`` if the owned epoch has changed."""
        epoch = self.epoch if self.owned else records.NO_EPOCH
        if epoch == self.owned_epoch:
            return
        lost = self.owned_epoch != records.NO_EPOCH
        self.owned_epoch = epoch
        self.changed.set()
        if lost:
            LOG.notice("Lost ownership of {}.", self.journal.stream)
            self.on_loss()
        if epoch != records.NO_EPOCH:
            LOG.info("Owns {} as of epoch {}.", self.journal.stream, epoch)
            self.on_gain(epoch)

    def wake(self) -> None:
        """Evaluate the policy again, e.g. because the roster has changed."""
        self.changed.set()

    def suspect(self) -> None:
        """Challenge the owner, which failed to serve a request."""
        self.policy.suspect(self.epoch)
        self.changed.set()

    async def run(self) -> None:
        """Carry out the steps of the takeover policy until cancelled."""
        await self.journal.caught_up.wait()
        while True:
            self.changed.clear()
            step = self.next_step()
            wait_s = max(step.wait_s, MIN_WAIT_S)
            if step.kind and not await self.append_step(step):
                wait_s = RETRY_PAUSE_S
            elif step.kind:
                continue
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait_s):
                    await self.changed.wait()

    def next_step(self) -> takeover.Step:
        """Return the step that the policy decides on now."""
        held = self.journal.fold.ownership
        owner = held.owner
        liveness = (
            takeover.Liveness.LIVE if owner is None else self.liveness(owner)
        )
        rank = first_rank if self.owned and self.busy() else self.rank
        view = takeover.StreamView(held, liveness, rank, self.draining)
        return self.policy.step(view, asyncio.get_running_loop().time())

    def liveness(self, owner: records.Writer) -> takeover.Liveness:
        """Return the liveness of an owner."""
        return self.roster.liveness(owner)

    def rank(self) -> int:
        """Return this host's position in the stream's rendezvous order."""
        name = self.journal.writer.name
        names = {*self.roster.live(), name}
        return shards.rank(self.journal.stream, names).index(name)

    async def append_step(self, step: takeover.Step) -> bool:
        """Append the record of a step; return whether it was read back."""
        try:
            if step.kind == folds.RELEASE:
                await self.before_release()
            await self.journal.append(
                step.kind, step.body, self.epoch, APPEND_TIMEOUT_S
            )
        except errors.LogError as error:
            LOG.warning(
                "Append of {} record {} failed: {}",
                step.kind,
                step.body,
                error,
            )
            return False
        return True

    async def release(self, timeout_s: float = 10.0) -> None:
        """Release the stream and do not claim it again; for a drain."""
        self.draining = True
        self.changed.set()
        if self.task is None and self.owned:
            await self.append_step(takeover.Step(folds.RELEASE))
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                while self.owned:
                    await asyncio.sleep(RETRY_PAUSE_S / 10)

    async def claim(self) -> None:
        """Claim the stream if it has no owner.

        Raises:
          LogError: the log is unreachable.
        """
        await self.journal.caught_up.wait()
        if self.journal.fold.ownership.owner is None:
            claim = folds.Claim(self.epoch)
            await self.journal.append(folds.CLAIM, dataclasses.asdict(claim))


def never_busy() -> bool:
    """Return that a handover loses no work."""
    return False


def first_rank() -> int:
    """Return the rank of the preferred owner."""
    return 0


def ignore() -> None:
    """Ignore a loss of ownership."""


def ignore_epoch(epoch: int) -> None:
    """Ignore a gain of ownership."""


async def return_at_once() -> None:
    """Return at once, as nothing has to be flushed."""
