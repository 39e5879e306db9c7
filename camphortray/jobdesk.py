"""Calls on batch jobs, at any host, and the partitions owned by this one."""

__all__ = ["JobDesk"]

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any
from typing import ClassVar

import xxhash

from camphortray import config as configs
from camphortray import errors
from camphortray import handover
from camphortray import inforce
from camphortray import itemfate
from camphortray import itemwork
from camphortray import jobbook
from camphortray import jobmessages
from camphortray import jobowner
from camphortray import jobwaiting
from camphortray import kernel
from camphortray import logs
from camphortray import membership
from camphortray import outer
from camphortray import peers
from camphortray import placing

LOG = logs.logger("jobs")
OWNER = "job-owner"
# Time without a call after which the group goes on without this host, and
# from one call to the next, in seconds. The store takes no less than one.
KEEP_S = 1.2
JOIN_EVERY_S = 0.35
FACT_KEEP_S = 600.0
# Times that an epoch is confirmed before its partition is given up. Each
# takes some tenths of a second at most, all together less than an ended
# job's items may still reach engines.
CONFIRM_TRIES = 4
# Time to look for an owner that answers, in seconds, and the pause from
# one try to the next.
FIND_S = 1.2
FIND_PAUSE_S = 0.1
# The same for a call that waits for the store, which may be away.
WRITE_FIND_S = 3.0
# Time for an owner to answer a call that it does not hold on purpose.
ANSWER_S = 0.8
RETRY_S = 0.5

Ask = Any
Handler = Callable[[jobowner.JobOwner, Any], Awaitable[Any]]


@kernel.PARTS.register("host")
class JobDesk(kernel.Part):
    """Owns some partitions and reaches the owners of the others.

    Attributes:
      owners: Partitions owned here, by number.
      known: Epoch and member that own a partition, by number.
      touched_at: When the store last took this host for a member.
    """

    name: ClassVar[str] = "jobdesk"
    requires: ClassVar[tuple[str, ...]] = (
        "outer",
        "membership",
        "settings",
        "placing",
    )

    def __init__(self, context: kernel.Context) -> None:
        self.context = context
        self.clock = context.clock
        self.members = context.part(membership.Membership)
        self.links = context.part(peers.Peers)
        self.inforce = context.part(inforce.InForce)
        held = context.part(outer.LedgerOuter)
        self.ledger = held.ledger
        self.parts = itemwork.WorkParts(
            context.clock,
            held,
            self.inforce,
            context.part(placing.Placing),
            itemfate.Pace(),
        )
        self.member = f"{context.config.host.name}.{context.incarnation}"
        self.generation = 0
        self.owners: dict[int, jobowner.JobOwner] = {}
        self.known: dict[int, tuple[int, str]] = {}
        self.waiting = jobwaiting.JobWaiting(context, self.owners)
        self.handover = handover.Handover(context, self.owners)
        self.touched_at = -KEEP_S
        self.draining = False
        self.task: asyncio.Task[None] | None = None

    @classmethod
    def from_config(cls, context: kernel.Context) -> "JobDesk":
        return cls(context)

    async def start(self) -> None:
        for cls in (
            jobmessages.SubmitAsk,
            jobmessages.PageAsk,
            jobmessages.BodyAsk,
            jobmessages.EndAsk,
        ):
            self.links.on(cls, self.on_ask)
        self.members.on_fact(OWNER, self.on_owner)
        loop = asyncio.get_running_loop()
        self.waiting.start()
        self.handover.start()
        self.task = loop.create_task(self.keep_membership())

    # Which partitions are owned here.

    async def keep_membership(self) -> None:
        """Be a member of the group for ever."""
        while not self.draining:
            await self.join()
            await asyncio.sleep(JOIN_EVERY_S)

    async def join(self) -> None:
        """Tell the store that this host lives, and take what it deals."""
        begun_at = self.clock.monotonic()
        try:
            found = await self.ledger.join(
                self.member, self.generation, KEEP_S
            )
        except errors.LogError as error:
            LOG.debug("Not joined: {}", error)
            return
        gap = begun_at - self.touched_at > KEEP_S
        jumped = found.generation > self.generation + 1
        self.touched_at = begun_at
        self.generation = max(self.generation, found.generation)
        if gap or jumped:
            await self.confirm_all()
        if self.draining:
            return
        for part in set(self.owners) - found.parts:
            LOG.notice("Partition {} is dealt to another.", part)
            self.give_up(self.owners.pop(part))
        for part in found.parts - set(self.owners):
            self.take(part, found.generation)

    def give_up(self, owner: jobowner.JobOwner) -> None:
        """Stop owning a partition; the next owner gets what is under way."""
        self.handover.leave(owner)
        owner.stop()

    async def confirm_all(self) -> None:
        """Keep only partitions that no other has owned meanwhile.

        The group may have gone on without this host, or dealt all anew
        twice: what is its own again may have had another owner, whose
        jobs and ends it has not read. A host that stood still does not
        see the gap on its own clock, but in the group's generation.
        """
        for part, owner in list(self.owners.items()):
            if not owner.ready.is_set() or owner.lost:
                continue
            if not await self.confirmed(owner):
                self.give_up(owner)
                if self.owners.get(part) is owner:
                    del self.owners[part]

    async def confirmed(self, owner: jobowner.JobOwner) -> bool:
        """Return whether the store confirms an owner's epoch in time.

        Its answers may be lost; given up after the first, all items under
        way would begin anew at each lost answer.
        """
        for _ in range(CONFIRM_TRIES):
            try:
                await owner.confirm()
            except errors.LogFenced:
                return False
            except errors.LogError as error:
                LOG.info("Partition {} not confirmed: {}", owner.part, error)
            else:
                return True
        LOG.notice("Partition {} is left: not confirmed.", owner.part)
        return False

    def take(self, part: int, epoch: int) -> None:
        """Take a partition over."""
        owner = jobowner.JobOwner(
            self.parts,
            self.ledger,
            part,
            epoch,
            self.context.config.front.item_keep_s,
            lambda: self.on_change(part),
            self.on_lost,
        )
        self.owners[part] = owner
        owner.start()

    def on_lost(self, owner: jobowner.JobOwner) -> None:
        """Forget a partition that another has taken over."""
        self.handover.leave(owner)
        epoch, name = self.known.get(owner.part, (0, ""))
        if epoch > owner.epoch:
            self.handover.give(owner.part, name)
        if self.owners.get(owner.part) is owner:
            del self.owners[owner.part]

    def on_change(self, part: int) -> None:
        """Tell others of a partition that has been taken over."""
        self.waiting.due = True
        owner = self.owners.get(part)
        if owner is None or not owner.ready.is_set():
            return
        if self.known.get(part) != (owner.epoch, self.members.own_name):
            key = f"{part}/{self.members.own_name}"
            self.members.publish(OWNER, key, owner.epoch, FACT_KEEP_S)
            self.handover.give(part, self.members.own_name)

    def on_owner(self, fact: membership.Fact) -> None:
        """Take note of who owns a partition."""
        number, _, name = fact.key.partition("/")
        part, epoch = int(number), int(fact.value)
        if (epoch, name) > self.known.get(part, (0, "")):
            self.known[part] = epoch, name
        owner = self.owners.get(part)
        if owner is not None and epoch > owner.epoch:
            # The store does not reach this host, or it would have said so;
            # its items must not go on beside those of the new owner.
            LOG.notice("Partition {} has owner {}.", part, name)
            del self.owners[part]
            self.give_up(owner)
        if name != self.members.own_name:
            self.handover.give(part, name)

    @property
    def lapsed(self) -> bool:
        """Whether another may own what this host takes for its own."""
        return self.clock.monotonic() - self.touched_at > KEEP_S

    # Calls of callers.

    def part_of(self, job: str) -> int:
        """Return the partition of a job."""
        return xxhash.xxh64_intdigest(job.encode()) % self.ledger.parts

    async def submit(self, part: jobbook.JobPart) -> None:
        """Accept a job.

        Raises:
          Refused: it is not accepted, or that is not known.
        """
        ask = jobmessages.SubmitAsk(part)
        await self.call(part.job, ask, ANSWER_S, WRITE_FIND_S)

    async def page(
        self, job: str, after: int, wait_s: float
    ) -> jobmessages.PageReply:
        """Return results of a job.

        Raises:
          Refused: there is no such job, or that cannot be known.
        """
        ask = jobmessages.PageAsk(job, after, wait_s)
        reply = await self.call(job, ask, ANSWER_S + wait_s)
        assert isinstance(reply, jobmessages.PageReply)
        return reply

    async def body(self, job: str, item: str) -> bytes:
        """Return the body of an item; errors as ``page``."""
        reply = await self.call(job, jobmessages.BodyAsk(job, item), ANSWER_S)
        assert isinstance(reply, jobmessages.BodyReply)
        return reply.body

    async def end(self, job: str) -> None:
        """End a job; errors as ``page``."""
        ask = jobmessages.EndAsk(job)
        await self.call(job, ask, ANSWER_S, WRITE_FIND_S)

    async def call(
        self, job: str, ask: Ask, timeout_s: float, find_s: float = FIND_S
    ) -> Any:
        """Bring a call to the owner of a job, again if an answer is lost.

        Each call may be repeated: the same job is accepted once.

        Args:
          job: Its id.
          ask: What to ask the owner.
          timeout_s: Time for its answer.
          find_s: Time to look for an owner that answers.
        """
        part = self.part_of(job)
        until = self.clock.monotonic() + find_s
        unsure = False
        while True:
            try:
                reply = await self.ask_owner(part, ask, timeout_s)
            except errors.MessageError as error:
                unsure = True
                refusal = unsure_of(error)
            except NoOwner as error:
                refusal = no_owner(str(error))
            else:
                if not isinstance(reply, jobmessages.JobRefusal):
                    return reply
                refusal = reply.error()
                if refusal.code != "no_owner":
                    raise unsure_of(refusal) if unsure else refusal
            if self.clock.monotonic() >= until:
                # An earlier try may have been kept: promise nothing.
                raise unsure_of(refusal) if unsure else refusal
            await asyncio.sleep(FIND_PAUSE_S)

    async def ask_owner(self, part: int, ask: Ask, timeout_s: float) -> Any:
        """Ask the owner of a partition, which may be this host.

        Raises:
          NoOwner: none is known that could be asked.
          MessageError: it did not answer.
        """
        if part in self.owners:
            return await self.handle(self.owners[part], ask)
        _, name = self.known.get(part, (0, ""))
        member = self.members.member(name)
        if member is None or member.dead or name == self.members.own_name:
            raise NoOwner(f"partition {part} changes hands")
        address = configs.Address.from_text(member.peer_address)
        return await self.links.ask(address, ask, timeout_s)

    async def on_ask(self, sender: peers.Sender, ask: Ask) -> Any:
        """Answer another host's call."""
        job = (
            ask.job.job
            if isinstance(ask, jobmessages.SubmitAsk)
            else (ask.job)
        )
        owner = self.owners.get(self.part_of(job))
        if owner is None:
            return jobmessages.JobRefusal.of(no_owner("not owned here"))
        return await self.handle(owner, ask)

    async def handle(self, owner: jobowner.JobOwner, ask: Ask) -> Any:
        """Answer a call as the owner."""
        if not owner.ready.is_set() or owner.lost:
            return jobmessages.JobRefusal.of(no_owner("not read yet"))
        try:
            if isinstance(ask, jobmessages.SubmitAsk):
                return await self.on_submit(owner, ask)
            if isinstance(ask, jobmessages.PageAsk):
                return await self.on_page(owner, ask)
            if isinstance(ask, jobmessages.BodyAsk):
                return await self.on_body(owner, ask)
            return await self.on_end(owner, ask)
        except errors.Refused as refusal:
            return jobmessages.JobRefusal.of(refusal)

    # Calls as the owner.

    async def on_submit(
        self, owner: jobowner.JobOwner, ask: jobmessages.SubmitAsk
    ) -> jobmessages.Taken:
        """Accept a job."""
        known = ask.job.job in owner.book.jobs
        if not known and not await self.waiting.has_room(ask.job):
            LOG.info(
                "Job {} refused: no room on its route, {} items.",
                ask.job.job,
                len(ask.job.items),
            )
            raise errors.Refused(
                429, "quota", "too much waits already", retry_after=RETRY_S
            )
        try:
            await owner.submit(ask.job)
        except errors.RecordError as error:
            raise errors.Refused(413, "too_large", str(error)) from error
        except errors.LogRefused as error:
            raise no_store(error) from error
        except errors.LogError as error:
            raise unsure_of(error) from error
        LOG.info(
            "Job {} accepted, {} items, partition {} epoch {}.",
            ask.job.job,
            len(ask.job.items),
            owner.part,
            owner.epoch,
        )
        return jobmessages.Taken()

    async def on_page(
        self, owner: jobowner.JobOwner, ask: jobmessages.PageAsk
    ) -> jobmessages.PageReply:
        """Give results of a job."""
        found = await owner.page(ask.job, ask.after, ask.wait_s)
        if found is None:
            await self.sure(owner)
            raise unknown_job(ask.job)
        job, results = found
        if not results and self.lapsed:
            # Another owner may have more by now.
            raise no_owner("out of touch with the store")
        return jobmessages.PageReply(
            len(job.items),
            ask.after,
            tuple(
                (item_id(job, result), result.state, result.text)
                for result in results
            ),
        )

    async def on_body(
        self, owner: jobowner.JobOwner, ask: jobmessages.BodyAsk
    ) -> jobmessages.BodyReply:
        """Give the body of an item that has no result yet."""
        job = owner.book.jobs.get(ask.job)
        if job is None:
            await self.sure(owner)
            raise unknown_job(ask.job)
        place = job.item(ask.item)
        item = job.items[place] if place is not None else None
        if item is None or job.ended or place in job.listed:
            raise errors.Refused(404, "unknown_item", "no such item waits")
        return jobmessages.BodyReply(item.body)

    async def on_end(
        self, owner: jobowner.JobOwner, ask: jobmessages.EndAsk
    ) -> jobmessages.Taken:
        """End a job."""
        if ask.job not in owner.book.jobs:
            await self.sure(owner)
            raise unknown_job(ask.job)
        try:
            await owner.end(ask.job)
        except errors.LogRefused as error:
            raise no_store(error) from error
        except errors.LogError as error:
            raise unsure_of(error) from error
        LOG.info("Job {} ended by its caller.", ask.job)
        return jobmessages.Taken()

    async def sure(self, owner: jobowner.JobOwner) -> None:
        """Make sure that this host knows of all jobs of a partition.

        Raises:
          Refused: it may not.
        """
        try:
            await owner.confirm()
        except errors.LogError as error:
            raise no_owner(str(error)) from error

    # The end.

    async def drain(self) -> None:
        """Give the partitions up, so that others go on at once."""
        if self.draining:
            return
        self.draining = True
        for owner in list(self.owners.values()):
            self.handover.leave(owner)
            await owner.close()
        self.owners.clear()
        try:
            await self.ledger.leave(self.member)
        except errors.LogError as error:
            LOG.info("Could not leave the group: {}", error)

    async def stop(self) -> None:
        self.waiting.stop()
        if self.task is not None:
            self.task.cancel()
        for owner in list(self.owners.values()):
            owner.stop()


class NoOwner(Exception):
    """No owner of a partition is known."""


def item_id(job: jobbook.Job, result: jobbook.Result) -> str:
    """Return the id of the item of a result."""
    item = job.items[result.item]
    return item.id if item is not None else ""


def no_owner(why: str) -> errors.Refused:
    """Return the refusal while a partition changes hands."""
    return errors.Refused(503, "no_owner", why, retry_after=RETRY_S)


def no_store(error: Exception) -> errors.Refused:
    """Return the refusal while the store takes nothing."""
    return errors.Refused(503, "log_down", str(error), retry_after=RETRY_S)


def unsure_of(error: Exception) -> errors.Refused:
    """Return the answer where it is not known what became of a call."""
    return errors.Refused(500, "unknown", str(error), ran="unknown")


def unknown_job(job: str) -> errors.Refused:
    """Return the refusal of an unknown job."""
    return errors.Refused(404, "unknown_job", f"no job {job!r}", field="job")
