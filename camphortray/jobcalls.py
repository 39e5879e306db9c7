"""Finds jobs and files, forwards calls to owners and appends records."""

__all__ = ["JobCalls"]

import asyncio
from collections.abc import Iterator
from typing import Any
from typing import ClassVar

from camphortray import config as configs
from camphortray import errors
from camphortray import forward
from camphortray import job_writer
from camphortray import jobs
from camphortray import jobshard
from camphortray import kernel
from camphortray import logs
from camphortray import membership
from camphortray import shardset
from camphortray import web

LOG = logs.logger("jobs")
# An owner that has not answered a call after this many seconds is challenged
# in the log; one that is only busy answers the challenge and stays the owner.
OWNER_SUSPECT_S = 1.0


@kernel.PARTS.register("batch")
class JobCalls(kernel.Part):
    """Shared operations of the API calls on jobs, files and batches.

    Attributes:
      shards: All shards of this host.
    """

    name: ClassVar[str] = "jobcalls"
    requires: ClassVar[tuple[str, ...]] = ("jobs", "membership")

    def __init__(self, context: kernel.Context) -> None:
        self.context = context
        self.shards = context.part(shardset.ShardSet)
        self.members = context.part(membership.Membership)
        self.forwarder = forward.Forwarder(context.config)

    @classmethod
    def from_config(cls, context: kernel.Context) -> "JobCalls":
        return cls(context)

    async def stop(self) -> None:
        await self.forwarder.close()

    def jobs_of(self, workspace: str) -> Iterator[jobs.Job]:
        """Yield the jobs of a workspace."""
        for shard in self.shards.shards:
            for job in shard.fold.jobs.values():
                if job.accept.workspace == workspace:
                    yield job

    async def find(
        self, name: str, workspace: str
    ) -> tuple[jobshard.JobShard, jobs.Job]:
        """Return a job of a workspace.

        A job that is not known here may just have been accepted elsewhere,
        so the shard's stream is read to its end first.

        Raises:
          Refused: there is none, its retention is over, or the log is
            unavailable.
        """
        shard = self.shards.shard_of(name)
        if name not in shard.fold.jobs:
            await self.catch_up(shard)
        job = shard.fold.jobs.get(name)
        if job is not None and job.accept.workspace == workspace:
            return shard, job
        if job is None and name in shard.fold.forgotten:
            raise errors.Refused(
                410, "gone", "the job's keeping time is over", field="job"
            )
        raise shardset.unknown(name)

    async def catch_up(self, shard: jobshard.JobShard) -> None:
        """Read to the end of a shard's stream.

        Raises:
          Refused: the log is unavailable, so the shard's state is unknown.
        """
        try:
            await shard.catch_up()
        except errors.LogError as error:
            raise job_writer.no_log(error) from error

    def check_log(self, shard: jobshard.JobShard) -> None:
        """Check that the log is available before new work is accepted.

        Raises:
          Refused: the log is down.
        """
        if shard.journal.down:
            raise errors.Refused(
                503, "log_down", "the log does not answer", retry_after=5
            )

    def owner_address(self, shard: jobshard.JobShard) -> configs.Address:
        """Return the HTTP address of the owner of a shard.

        Raises:
          Refused: no other host owns it, or its address is not known.
        """
        owner = shard.fold.ownership.owner
        member = self.members.members.get(owner.name) if owner else None
        if member is None or not member.http_address or shard.owner.owned:
            raise errors.Refused(
                503, "no_owner", "the shard changes hands", retry_after=1
            )
        return configs.Address.from_text(member.http_address)

    async def to_owner(
        self,
        call: web.Call,
        shard: jobshard.JobShard,
        body: bytes | None = None,
    ) -> None:
        """Forward a call to the owner of a shard and return its answer.

        Args:
          call: The call.
          shard: The shard.
          body: Body of the call, if it has been read.

        Raises:
          Refused: the call was forwarded before, the owner is unknown or
            unreachable, or the shard changes owners meanwhile.
        """
        if forward.FORWARDED_HEADER in call.request.headers:
            raise errors.Refused(
                503, "no_owner", "the shard changes hands", retry_after=1
            )
        loop = asyncio.get_running_loop()
        epoch = shard.owner.epoch
        forwarding = self.forwarder.pass_on(
            call, self.owner_address(shard), body
        )
        answer = loop.create_task(forwarding)
        suspicion = loop.call_later(OWNER_SUSPECT_S, shard.owner.suspect)
        epoch_change = loop.create_task(shard.wait_for_epoch_change(epoch))
        try:
            await asyncio.wait(
                {answer, epoch_change}, return_when=asyncio.FIRST_COMPLETED
            )
            if not answer.done():
                # Only the new owner can tell whether the call took effect.
                raise errors.Refused(
                    503,
                    "owner_changed",
                    "the shard has changed hands",
                    ran="unknown",
                    retry_after=1,
                )
            answer.result()
        except errors.Refused as refusal:
            if refusal.code == "owner_unreachable":
                shard.owner.suspect()
            raise
        finally:
            suspicion.cancel()
            for pending in (answer, epoch_change):
                pending.cancel()

    def owned_shard(self) -> jobshard.JobShard | None:
        """Return a random shard that this host owns, or None."""
        owned = [shard for shard in self.shards.shards if shard.owner.owned]
        return self.context.rng.choice(owned) if owned else None

    def random_shard(self) -> jobshard.JobShard:
        """Return a random shard."""
        return self.context.rng.choice(self.shards.shards)

    async def find_file(
        self, text: str, workspace: str
    ) -> tuple[jobshard.JobShard, jobs.InputFile]:
        """Return an input file of a workspace.

        Raises:
          Refused: there is none, or the log is unavailable.
        """
        name = text.removeprefix("file-")
        shard = self.shards.shard_of(name)
        if name not in shard.fold.files:
            await self.catch_up(shard)
        file = shard.fold.files.get(name)
        if file is None or file.accept.workspace != workspace:
            raise errors.Refused(
                404, "unknown_file", f"no file {text!r}", field="file"
            )
        return shard, file

    async def write(
        self, shard: jobshard.JobShard, kind: str, body: Any
    ) -> None:
        """Append a record and check that it is valid once read back.

        Raises:
          Refused: it is void, or the log did not confirm it.
        """
        try:
            outcome = await shard.append(kind, body)
        except errors.LogRefused as error:
            raise job_writer.no_log(error) from error
        except errors.LogError as error:
            raise errors.Refused(
                503, "log_down", str(error), ran="unknown", retry_after=5
            ) from error
        if not outcome.valid:
            raise errors.Refused(
                503,
                "owner_changed",
                f"{outcome.verdict.value} {outcome.reason}",
                retry_after=1,
            )

    async def accept(
        self, shard: jobshard.JobShard, accept: jobs.JobAccept
    ) -> tuple[bool, jobs.Job]:
        """Append the acceptance of a job, unless the job is known.

        Returns:
          Whether the job is new, and the job with that id.

        Raises:
          Refused: the job was not accepted, or the log did not confirm it.
        """
        name = accept.job
        job = shard.fold.jobs.get(name)
        if job is not None:
            return False, job
        try:
            outcome = await shard.append(jobs.ACCEPT, accept)
        except errors.LogRefused as error:
            raise job_writer.no_log(error) from error
        except errors.LogError as error:
            # The log may still store the record; then the job runs, and a
            # resend with the same key finds it.
            raise errors.Refused(
                503, "log_down", str(error), ran="unknown", retry_after=5
            ) from error
        job = shard.fold.jobs.get(name)
        if job is not None:
            return outcome.valid, job
        if name in shard.fold.forgotten:
            raise errors.Refused(410, "gone", "the job's keeping time is over")
        raise errors.Refused(
            503,
            "owner_changed",
            f"not accepted: {outcome.verdict.value} {outcome.reason}",
            retry_after=1,
        )

    async def cancel(
        self, call: web.Call, shard: jobshard.JobShard, job: jobs.Job
    ) -> bool:
        """Cancel a job; return False if the owner answered the call.

        The owner stops dispatch before the cancel record is read back. If
        the owner cannot be reached, this host appends the record, as any
        host may.

        Raises:
          Refused: the log did not confirm the cancel record.
        """
        name = job.accept.job
        if job.status is not jobs.JobStatus.RUNNING:
            return True
        run = self.shards.runs.get(shard.number)
        try:
            if run is not None:
                await run.cancel(name)
                return True
            if forward.FORWARDED_HEADER not in call.request.headers:
                try:
                    await self.to_owner(call, shard)
                    return False
                except errors.Refused as error:
                    LOG.info("Cancel not forwarded to the owner: {}", error)
            body = jobs.JobCancel(name, self.context.clock.wall())
            await shard.append(jobs.CANCEL, body)
        except errors.LogError as error:
            raise errors.Refused(
                503, "log_down", str(error), ran="unknown", retry_after=1
            ) from error
        return True
