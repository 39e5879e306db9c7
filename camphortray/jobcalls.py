"""What a call on jobs needs of a shard: finding, handing on, writing."""

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
# An owner that has not answered a call after this many seconds is asked
# for a sign of life in the log; one that is busy gives it and goes on.
DOUBT_S = 1.0


@kernel.PARTS.register("batch")
class JobCalls(kernel.Part):
    """Finds jobs and files, and sees that the owner does what it must.

    Attributes:
      part: All shards of this host.
    """

    name: ClassVar[str] = "jobcalls"
    requires: ClassVar[tuple[str, ...]] = ("jobs", "membership")

    def __init__(self, context: kernel.Context) -> None:
        self.context = context
        self.part = context.part(shardset.ShardSet)
        self.members = context.part(membership.Membership)
        self.forwarder = forward.Forwarder(context.config)

    @classmethod
    def from_config(cls, context: kernel.Context) -> "JobCalls":
        return cls(context)

    async def stop(self) -> None:
        await self.forwarder.close()

    def jobs_of(self, workspace: str) -> Iterator[jobs.Job]:
        """Yield the jobs of a workspace."""
        for shard in self.part.shards:
            for job in shard.fold.jobs.values():
                if job.accept.workspace == workspace:
                    yield job

    async def find(
        self, name: str, workspace: str
    ) -> tuple[jobshard.JobShard, jobs.Job]:
        """Return a job of a workspace; it may just have been accepted.

        Raises:
          Refused: there is none, or its keeping time is over.
        """
        shard = self.part.shard_of(name)
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
          Refused: the log is away, so that nothing can be said.
        """
        try:
            await shard.catch_up()
        except errors.LogError as error:
            raise job_writer.no_log(error) from error

    def check_log(self, shard: jobshard.JobShard) -> None:
        """Refuse new work at once while the log is away."""
        if shard.journal.down:
            raise errors.Refused(
                503, "log_down", "the log does not answer", retry_after=5
            )

    def owner_address(self, shard: jobshard.JobShard) -> configs.Address:
        """Return where the owner of a shard serves HTTP.

        Raises:
          Refused: there is none, or it is not known.
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
        read: bytes | None = None,
    ) -> None:
        """Hand a call to the owner of a shard.

        Args:
          call: The call.
          shard: Whose owner is to answer.
          read: Body of the call, if that has been read.

        Raises:
          Refused: it was handed on before, or the owner is not there.
        """
        if forward.FORWARDED_HEADER in call.request.headers:
            raise errors.Refused(
                503, "no_owner", "the shard changes hands", retry_after=1
            )
        loop = asyncio.get_running_loop()
        epoch = shard.owner.epoch
        work = self.forwarder.pass_on(call, self.owner_address(shard), read)
        task = loop.create_task(work)
        suspect = loop.call_later(DOUBT_S, shard.owner.suspect)
        change = loop.create_task(shard.wait_for_epoch_change(epoch))
        try:
            await asyncio.wait(
                {task, change}, return_when=asyncio.FIRST_COMPLETED
            )
            if not task.done():
                # Its new owner knows whether it was done.
                raise errors.Refused(
                    503,
                    "owner_changed",
                    "the shard has changed hands",
                    ran="unknown",
                    retry_after=1,
                )
            task.result()
        except errors.Refused as refusal:
            if refusal.code == "owner_unreachable":
                shard.owner.suspect()
            raise
        finally:
            suspect.cancel()
            for pending in (task, change):
                pending.cancel()

    def owned_shard(self) -> jobshard.JobShard | None:
        """Return a shard owned here, any of them, or None."""
        owned = [shard for shard in self.part.shards if shard.owner.owned]
        return self.context.rng.choice(owned) if owned else None

    def random_shard(self) -> jobshard.JobShard:
        """Return any shard."""
        return self.context.rng.choice(self.part.shards)

    async def find_file(
        self, text: str, workspace: str
    ) -> tuple[jobshard.JobShard, jobs.InputFile]:
        """Return an input file of a workspace.

        Raises:
          Refused: there is none.
        """
        name = text.removeprefix("file-")
        shard = self.part.shard_of(name)
        if name not in shard.fold.files:
            await self.catch_up(shard)
        held = shard.fold.files.get(name)
        if held is None or held.accept.workspace != workspace:
            raise errors.Refused(
                404, "unknown_file", f"no file {text!r}", field="file"
            )
        return shard, held

    async def write(
        self, shard: jobshard.JobShard, kind: str, body: Any
    ) -> None:
        """Append a record that must count.

        Raises:
          Refused: it does not, or that is not known.
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
        """Write an acceptance.

        Returns:
          Whether it is new, and the job under its id.

        Raises:
          Refused: it was not accepted, or that is not known.
        """
        name = accept.job
        held = shard.fold.jobs.get(name)
        if held is not None:
            return False, held
        try:
            outcome = await shard.append(jobs.ACCEPT, accept)
        except errors.LogRefused as error:
            raise job_writer.no_log(error) from error
        except errors.LogError as error:
            # It may still land; then the job runs, and a resend with the
            # same key finds it.
            raise errors.Refused(
                503, "log_down", str(error), ran="unknown", retry_after=5
            ) from error
        held = shard.fold.jobs.get(name)
        if held is not None:
            return outcome.valid, held
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

        The owner stops dispatch before the cancel is read back. Where
        it is out of reach the record alone stops it, as any host may
        write one.

        Raises:
          Refused: the cancel was not read back.
        """
        name = job.accept.job
        if job.status is not jobs.JobStatus.RUNNING:
            return True
        run = self.part.runs.get(shard.number)
        try:
            if run is not None:
                await run.cancel(name)
                return True
            if forward.FORWARDED_HEADER not in call.request.headers:
                try:
                    await self.to_owner(call, shard)
                    return False
                except errors.Refused as error:
                    LOG.info("Owner not told of the cancel: {}", error)
            body = jobs.JobCancel(name, self.context.clock.wall())
            await shard.append(jobs.CANCEL, body)
        except errors.LogError as error:
            raise errors.Refused(
                503, "log_down", str(error), ran="unknown", retry_after=1
            ) from error
        return True
