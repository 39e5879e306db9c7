"""Routes calls on batch jobs, at any host, to the owner of the job."""

__all__ = ["JobRouter"]

from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any
from typing import ClassVar

import xxhash

from camphortray import backends
from camphortray import config as configs
from camphortray import errors
from camphortray import jobmessages
from camphortray import kernel
from camphortray import logs
from camphortray import membership
from camphortray import owner_cache
from camphortray import partition_manager
from camphortray import partition_owner
from camphortray import partition_records
from camphortray import partition_state
from camphortray import peers

LOG = logs.logger("jobs")
# Time limit for finding an owner that answers; pause between attempts.
FIND_TIMEOUT_S = 1.2
FIND_PAUSE_S = 0.1
# The same limit for calls that write to the store, which may be unavailable.
WRITE_FIND_TIMEOUT_S = 3.0
# Time limit for the answer of an owner, except for long polling.
ANSWER_TIMEOUT_S = 0.8
# Time after which a refused caller is asked to retry.
RETRY_AFTER_S = 0.5

Ask = Any
Handler = Callable[[partition_owner.PartitionOwner, Any], Awaitable[Any]]


@kernel.PARTS.register("host")
class JobRouter(kernel.Part):
    """Routes calls on jobs to the owners of their partitions.

    Attributes:
      owners: Manages the partitions of this host and tracks other owners.
    """

    name: ClassVar[str] = "job_router"
    requires: ClassVar[tuple[str, ...]] = (
        "backends",
        "engine_crashes",
        "membership",
        "segment_quarantine",
        "settings",
        "slot_client",
    )

    def __init__(self, context: kernel.Context) -> None:
        self.clock = context.clock
        self.metrics = context.metrics
        self.members = context.part(membership.Membership)
        self.links = context.part(peers.Peers)
        self.ledger = context.part(backends.LedgerBackends).ledger
        self.owners = partition_manager.PartitionManager(context)

    @classmethod
    def from_config(cls, context: kernel.Context) -> "JobRouter":
        return cls(context)

    async def start(self) -> None:
        for cls in (
            jobmessages.SubmitAsk,
            jobmessages.PageAsk,
            jobmessages.BodyAsk,
            jobmessages.EndAsk,
        ):
            self.links.on(cls, self.on_ask)
        self.owners.start()

    async def drain(self) -> None:
        """Release all partitions, so that other hosts take over at once."""
        await self.owners.drain()

    async def stop(self) -> None:
        self.owners.stop()

    def part_of(self, job: str) -> int:
        """Return the partition of a job."""
        return xxhash.xxh64_intdigest(job.encode()) % self.ledger.parts

    async def submit(self, part: partition_records.JobPart) -> None:
        """Accept a job.

        Raises:
          Refused: The job is not accepted, or it is unknown whether it is.
        """
        ask = jobmessages.SubmitAsk(part)
        await self.call(part.job, ask, ANSWER_TIMEOUT_S, WRITE_FIND_TIMEOUT_S)

    async def page(
        self,
        job: str,
        after: int,
        wait_s: float,
        workspace: str | None = None,
    ) -> jobmessages.PageReply:
        """Return results of a job.

        Args:
          job: Id of the job.
          after: Position of the first result.
          wait_s: Time to wait for a result if there is none yet.
          workspace: Workspace whose jobs the caller may see; None for all.

        Raises:
          Refused: There is no such job, it is unknown whether there is, or
            the job belongs to another workspace.
        """
        ask = jobmessages.PageAsk(job, after, wait_s, workspace)
        reply = await self.read(job, ask, ANSWER_TIMEOUT_S + wait_s)
        assert isinstance(reply, jobmessages.PageReply)
        return reply

    async def body(
        self, job: str, item: str, workspace: str | None = None
    ) -> bytes:
        """Return the body of an item; errors as ``page``."""
        ask = jobmessages.BodyAsk(job, item, workspace)
        reply = await self.read(job, ask, ANSWER_TIMEOUT_S)
        assert isinstance(reply, jobmessages.BodyReply)
        return reply.body

    async def end(self, job: str, workspace: str | None = None) -> None:
        """End a job; errors as ``page``."""
        ask = jobmessages.EndAsk(job, workspace)
        await self.call(job, ask, ANSWER_TIMEOUT_S, WRITE_FIND_TIMEOUT_S)

    async def read(self, job: str, ask: Ask, timeout_s: float) -> Any:
        """Route a read-only call to the owner of a job.

        If the outcome is unknown, the refusal asks the caller to retry.

        Raises:
          Refused: The owner refuses the call, or no owner answers.
        """
        try:
            return await self.call(job, ask, timeout_s)
        except errors.Refused as refusal:
            if refusal.code != "unknown":
                raise
            raise no_owner(str(refusal)) from refusal

    async def call(
        self,
        job: str,
        ask: Ask,
        timeout_s: float,
        find_s: float = FIND_TIMEOUT_S,
    ) -> Any:
        """Route a call to the owner of a job; retry if an answer is lost.

        All calls are idempotent: a job submitted twice is accepted once.

        Args:
          job: Id of the job.
          ask: Request to the owner.
          timeout_s: Time limit for one answer.
          find_s: Time limit for finding an owner that answers.

        Raises:
          Refused: The owner refuses the call, or no owner answers.
        """
        part = self.part_of(job)
        deadline = self.clock.monotonic() + find_s
        maybe_applied = False
        while True:
            try:
                reply = await self.ask_owner(part, ask, timeout_s)
            except errors.MessageError as error:
                maybe_applied = True
                refusal = outcome_unknown(error)
            except owner_cache.NoOwner as error:
                refusal = self.refuse_miss(part, error.miss)
            else:
                if not isinstance(reply, jobmessages.JobRefusal):
                    return reply
                refusal = reply.error()
                if refusal.code != "no_owner":
                    raise (
                        outcome_unknown(refusal) if maybe_applied else refusal
                    )
            if self.clock.monotonic() >= deadline:
                self.log_owner_miss(job, part, refusal)
                # An earlier attempt may have taken effect, so a refusal that
                # says otherwise would be wrong.
                raise outcome_unknown(refusal) if maybe_applied else refusal
            await self.owners.wait_for_owner(FIND_PAUSE_S)

    async def ask_owner(self, part: int, ask: Ask, timeout_s: float) -> Any:
        """Ask the owner of a partition, which may be this host.

        Raises:
          NoOwner: No owner is known that could be asked.
          MessageError: The owner did not answer.
        """
        if part in self.owners.held:
            return await self.handle(self.owners.held[part], ask)
        member = self.members.member(self.owners.owner_cache.name(part))
        if member is None or member.dead:
            raise owner_cache.NoOwner(part, owner_cache.Miss.GONE)
        address = configs.Address.from_text(member.peer_address)
        return await self.links.ask(address, ask, timeout_s)

    async def on_ask(self, sender: peers.Sender, ask: Ask) -> Any:
        """Answer another host's call."""
        job = (
            ask.job.job
            if isinstance(ask, jobmessages.SubmitAsk)
            else (ask.job)
        )
        part = self.part_of(job)
        owner = self.owners.held.get(part)
        if owner is None:
            return jobmessages.JobRefusal.of(
                self.refuse_miss(part, owner_cache.Miss.ELSEWHERE)
            )
        return await self.handle(owner, ask)

    def refuse_miss(self, part: int, why: owner_cache.Miss) -> errors.Refused:
        """Count a call that found no owner; return its refusal."""
        self.metrics.inc(
            "camphortray_owner_misses_total",
            "Tries of calls on jobs that found no owner to ask, by why.",
            {"why": why.value},
        )
        return no_owner(str(owner_cache.NoOwner(part, why)))

    def log_owner_miss(
        self, job: str, part: int, refusal: errors.Refused
    ) -> None:
        """Log what this host knew when a call found no owner in time."""
        cache = self.owners.owner_cache
        claim = cache.known.get(part)
        LOG.notice(
            "Call on job {} found no owner of partition {}: {}",
            job,
            part,
            refusal.message,
            fields={
                "job": job,
                "part": part,
                "owner": claim.name if claim else "",
                "epoch": claim.epoch if claim else 0,
                "word_age_s": cache.age_s(part, self.clock.monotonic()),
                "dealt_to": cache.assigned.get(part, ""),
                "generation": self.owners.generation,
            },
        )

    async def handle(
        self, owner: partition_owner.PartitionOwner, ask: Ask
    ) -> Any:
        """Answer a call as the owner."""
        if not owner.ready.is_set() or owner.lost:
            return jobmessages.JobRefusal.of(
                self.refuse_miss(owner.part, owner_cache.Miss.NOT_READ)
            )
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
        self, owner: partition_owner.PartitionOwner, ask: jobmessages.SubmitAsk
    ) -> jobmessages.Taken:
        """Accept a job."""
        if not await self.admit(owner, ask.job):
            LOG.info(
                "Job {} refused: quota of its route exceeded, {} items.",
                ask.job.job,
                len(ask.job.items),
            )
            raise errors.Refused(
                429,
                "quota",
                "too much waits already",
                retry_after=RETRY_AFTER_S,
            )
        try:
            await owner.submit(ask.job)
        except errors.RecordError as error:
            raise errors.Refused(413, "too_large", str(error)) from error
        except errors.LogRefused as error:
            raise store_unavailable(error) from error
        except errors.LogError as error:
            raise outcome_unknown(error) from error
        job = owner.state.jobs.get(ask.job.job)
        if job is not None:
            check_workspace(job, ask.job.workspace)
        LOG.info(
            "Job {} accepted, {} items, partition {} epoch {}.",
            ask.job.job,
            len(ask.job.items),
            owner.part,
            owner.epoch,
            fields={"workspace": ask.job.workspace},
        )
        return jobmessages.Taken()

    async def admit(
        self,
        owner: partition_owner.PartitionOwner,
        job: partition_records.JobPart,
    ) -> bool:
        """Return whether a job is to be stored: it fits, or is a repeat."""
        if owner.knows(job.job):
            return True
        fits = await self.owners.backlog.admit(owner, job)
        # Another call may have had the same job admitted meanwhile.
        return fits or owner.knows(job.job)

    async def on_page(
        self, owner: partition_owner.PartitionOwner, ask: jobmessages.PageAsk
    ) -> jobmessages.PageReply:
        """Return results of a job."""
        found = await owner.page(ask.job, ask.after, ask.wait_s)
        if found is None:
            await self.check_ownership(owner)
            raise unknown_job(ask.job)
        job, results = found
        check_workspace(job, ask.workspace)
        if not results and self.owners.membership_lapsed:
            # Another owner may have stored results by now.
            raise self.refuse_miss(owner.part, owner_cache.Miss.OUT_OF_TOUCH)
        return jobmessages.PageReply(
            len(job.items),
            ask.after,
            tuple(
                (item_id(job, result), result.state, result.text)
                for result in results
            ),
        )

    async def on_body(
        self, owner: partition_owner.PartitionOwner, ask: jobmessages.BodyAsk
    ) -> jobmessages.BodyReply:
        """Return the body of an item that has no result yet."""
        job = owner.state.jobs.get(ask.job)
        if job is None:
            await self.check_ownership(owner)
            raise unknown_job(ask.job)
        check_workspace(job, ask.workspace)
        index = job.index_of(ask.item)
        item = job.items[index] if index is not None else None
        if item is None or job.ended or index in job.finished:
            raise errors.Refused(404, "unknown_item", "no such item waits")
        return jobmessages.BodyReply(item.body)

    async def on_end(
        self, owner: partition_owner.PartitionOwner, ask: jobmessages.EndAsk
    ) -> jobmessages.Taken:
        """End a job."""
        job = owner.state.jobs.get(ask.job)
        if job is None:
            await self.check_ownership(owner)
            raise unknown_job(ask.job)
        check_workspace(job, ask.workspace)
        try:
            await owner.end(ask.job)
        except errors.LogRefused as error:
            raise store_unavailable(error) from error
        except errors.LogError as error:
            raise outcome_unknown(error) from error
        LOG.info("Job {} ended by its caller.", ask.job)
        return jobmessages.Taken()

    async def check_ownership(
        self, owner: partition_owner.PartitionOwner
    ) -> None:
        """Check that this host still owns a partition and knows all its jobs.

        Raises:
          Refused: The store did not confirm it.
        """
        try:
            await owner.confirm()
        except errors.LogError as error:
            raise no_owner(str(error)) from error


def item_id(job: partition_state.Job, result: partition_records.Result) -> str:
    """Return the id of the item of a result."""
    item = job.items[result.item]
    return item.id if item is not None else ""


def check_workspace(job: partition_state.Job, workspace: str | None) -> None:
    """Check that a caller may see a job.

    The refusal is not a 404, which would say that the job is lost: the
    caller's key may have just moved to another workspace.

    Args:
      job: The job.
      workspace: Workspace whose jobs the caller may see; None for all.

    Raises:
      Refused: The job belongs to another workspace.
    """
    if workspace is None or job.workspace in ("", workspace):
        return
    LOG.info(
        "Call on job {} refused: the job belongs to another workspace.",
        job.id,
        fields={"workspace": workspace, "owner": job.workspace},
    )
    raise errors.Refused(
        403, "other_workspace", "the job is another workspace's", field="job"
    )


def no_owner(why: str) -> errors.Refused:
    """Return the refusal of a call that no owner can answer for now."""
    return errors.Refused(503, "no_owner", why, retry_after=RETRY_AFTER_S)


def store_unavailable(error: Exception) -> errors.Refused:
    """Return the refusal of a call that the store did not accept."""
    return errors.Refused(
        503, "log_down", str(error), retry_after=RETRY_AFTER_S
    )


def outcome_unknown(error: Exception) -> errors.Refused:
    """Return the error for a call whose outcome is unknown."""
    return errors.Refused(500, "unknown", str(error), ran="unknown")


def unknown_job(job: str) -> errors.Refused:
    """Return the refusal of an unknown job."""
    return errors.Refused(404, "unknown_job", f"no job {job!r}", field="job")
