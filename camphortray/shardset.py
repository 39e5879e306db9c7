"""All shards of jobs on a host: owned ones are run, all are readable."""

__all__ = ["ShardSet"]

import asyncio
from collections.abc import Iterator
from typing import Any
from typing import ClassVar

from camphortray import compaction
from camphortray import config as configs
from camphortray import dispatch
from camphortray import errors
from camphortray import fold as folds
from camphortray import forward
from camphortray import grouping
from camphortray import jobs
from camphortray import jobshard
from camphortray import journal
from camphortray import kernel
from camphortray import logs
from camphortray import membership
from camphortray import outer
from camphortray import ownership
from camphortray import records
from camphortray import shardrun
from camphortray import shards
from camphortray import taking
from camphortray import web

LOG = logs.logger("jobs")
MEGABYTE = 1_000_000
DRAIN_LOOK_S = 0.05
# An owner that has not answered a call after this many seconds is asked
# for a sign of life in the log; one that is busy gives it and goes on.
DOUBT_S = 1.0


@kernel.PARTS.register("batch")
class ShardSet(kernel.Part):
    """Follows every shard and runs the jobs of those owned here.

    Attributes:
      shards: By number.
      runs: What is being done for the shards owned here, by number.
    """

    name: ClassVar[str] = "jobs"
    requires: ClassVar[tuple[str, ...]] = (
        "outer",
        "settings",
        "upstreams",
        "slots",
        "signals",
        "suspects",
        "membership",
    )

    def __init__(self, context: kernel.Context) -> None:
        self.context = context
        self.members = context.part(membership.Membership)
        self.forwarder = forward.Forwarder(context.config)
        self.dispatcher = dispatch.Dispatcher(context, self.paused)
        self.cache = jobshard.RecordCache()
        self.roster = ownership.Members(context)
        self.runs: dict[int, shardrun.ShardRun] = {}
        self.stops: set[asyncio.Task[None]] = set()
        self.draining = False
        self.settled = False
        count = context.config.shards.jobs
        self.shards = [self.make_shard(number) for number in range(count)]
        self.members.listen(self.on_member)
        self.compactors = [self.make_compactor(s) for s in self.shards]

    @classmethod
    def from_config(cls, context: kernel.Context) -> "ShardSet":
        return cls(context)

    def make_shard(self, number: int) -> jobshard.JobShard:
        """Build a shard and see to its ownership."""
        context = self.context
        writer = records.Writer(
            f"{context.config.host.name}/batch", context.incarnation
        )
        held = journal.Journal(
            context.part(outer.Outer).log,
            shards.stream_name("jobs", number),
            jobs.JobsFold(),
            writer,
            context.rng,
            context.config.streams.record_limit_bytes,
        )
        owner = ownership.Owner(held, self.roster)
        shard = jobshard.JobShard(number, held, owner, self.cache)
        owner.on_gain = lambda epoch: self.gain(shard, epoch)
        owner.on_loss = lambda: self.lose(number)
        owner.busy = lambda: any(
            job.started for job in shard.fold.jobs.values()
        )
        owner.before_release = lambda: self.flush(number)
        held.listen(lambda outcome: self.on_outcome(number, outcome))
        held.on_restore(lambda: self.restart(shard))
        return shard

    def make_compactor(self, shard: jobshard.JobShard) -> compaction.Compactor:
        """Build what keeps a shard readable as the log forgets."""
        return compaction.Compactor(
            shard.journal,
            self.context.config.streams.retention_s,
            self.context.clock.wall,
            lambda: 0 if shard.owner.owned else shard.owner.rank() + 1,
            lambda: shard.owner.owned_epoch,
        )

    async def start(self) -> None:
        for shard, compactor in zip(self.shards, self.compactors, strict=True):
            shard.journal.start()
            shard.owner.start()
            compactor.start()

    def ready(self) -> str:
        reasons = (shard.journal.ready() for shard in self.shards)
        unread = next((why for why in reasons if why), "")
        if unread or self.settled:
            return unread
        # At the first start; later a shard may change hands at any time.
        self.settled = all(s.fold.ownership.owner for s in self.shards)
        return "" if self.settled else "shards have no owner yet"

    def on_member(self, member: membership.Member) -> None:
        """Look anew who should own what, e.g. as a host was lost."""
        if member.program == self.context.program:
            for shard in self.shards:
                shard.owner.wake()

    def paused(self) -> bool:
        """Return whether no further item may begin.

        While the log is away results are held here; beyond the bound
        the work would have to be done again, and memory would not do.
        """
        held = sum(run.outbox.held_bytes for run in self.runs.values())
        return self.draining or (
            held >= self.context.config.batch.memory_mb * MEGABYTE
        )

    def interval_s(self) -> float:
        """Return the time over which results are grouped.

        Every host follows every shard, so it knows how many shards have
        results to write now, whoever owns them.
        """
        streams = self.context.config.streams
        running = jobs.JobStatus.RUNNING
        writers = sum(
            any(job.status is running for job in shard.fold.jobs.values())
            for shard in self.shards
        )
        return grouping.flush_interval(
            writers, streams.append_budget, streams.min_flush_s
        )

    def gain(self, shard: jobshard.JobShard, epoch: int) -> None:
        """Resume the jobs of a shard."""
        run = shardrun.ShardRun(
            self.context, shard, self.dispatcher, epoch, self.interval_s
        )
        self.runs[shard.number] = run
        run.start()

    def lose(self, number: int) -> None:
        """Stop dispatch at once; the next owner does the rest."""
        run = self.runs.pop(number, None)
        if run is not None:
            task = asyncio.get_running_loop().create_task(run.stop())
            self.stops.add(task)
            task.add_done_callback(self.stops.discard)

    def restart(self, shard: jobshard.JobShard) -> None:
        """Run anew: a snapshot has replaced the jobs that were run."""
        if shard.number in self.runs:
            self.lose(shard.number)
            self.gain(shard, shard.owner.epoch)

    def on_outcome(self, number: int, outcome: folds.Outcome) -> None:
        """Tell what runs a shard about its records."""
        run = self.runs.get(number)
        if run is not None:
            run.on_outcome(outcome)

    async def flush(self, number: int) -> None:
        """Wait until all results of a shard are written."""
        run = self.runs.get(number)
        if run is not None:
            await run.outbox.flush()

    def shard_of(self, job: str) -> jobshard.JobShard:
        """Return the shard of a job or file.

        Raises:
          Refused: it is no id.
        """
        try:
            return self.shards[jobs.shard_of(job, len(self.shards))]
        except ValueError:
            raise unknown(job) from None

    def jobs_of(self, workspace: str) -> Iterator[jobs.Job]:
        """Yield the jobs of a workspace."""
        for shard in self.shards:
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
        shard = self.shard_of(name)
        if name not in shard.fold.jobs:
            await self.catch_up(shard)
        job = shard.fold.jobs.get(name)
        if job is not None and job.accept.workspace == workspace:
            return shard, job
        if job is None and name in shard.fold.forgotten:
            raise errors.Refused(
                410, "gone", "the job's keeping time is over", field="job"
            )
        raise unknown(name)

    async def catch_up(self, shard: jobshard.JobShard) -> None:
        """Read to the end of a shard's stream.

        Raises:
          Refused: the log is away, so that nothing can be said.
        """
        try:
            await shard.catch_up()
        except errors.LogError as error:
            raise taking.no_log(error) from error

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
        if forward.HOP in call.request.headers:
            raise errors.Refused(
                503, "no_owner", "the shard changes hands", retry_after=1
            )
        loop = asyncio.get_running_loop()
        epoch = shard.owner.epoch
        work = self.forwarder.pass_on(call, self.owner_address(shard), read)
        task = loop.create_task(work)
        doubt = loop.call_later(DOUBT_S, shard.owner.doubt)
        change = loop.create_task(shard.epoch_after(epoch))
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
                shard.owner.doubt()
            raise
        finally:
            doubt.cancel()
            for pending in (task, change):
                pending.cancel()

    def owned_shard(self) -> jobshard.JobShard | None:
        """Return a shard owned here, any of them, or None."""
        owned = [shard for shard in self.shards if shard.owner.owned]
        return self.context.rng.choice(owned) if owned else None

    def random_shard(self) -> jobshard.JobShard:
        """Return any shard."""
        return self.context.rng.choice(self.shards)

    async def find_file(
        self, text: str, workspace: str
    ) -> tuple[jobshard.JobShard, jobs.InputFile]:
        """Return an input file of a workspace.

        Raises:
          Refused: there is none.
        """
        name = text.removeprefix("file-")
        shard = self.shard_of(name)
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
            raise taking.no_log(error) from error
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
            raise taking.no_log(error) from error
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
        run = self.runs.get(shard.number)
        try:
            if run is not None:
                await run.cancel(name)
                return True
            if forward.HOP not in call.request.headers:
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

    def in_flight(self) -> list[str]:
        busy = self.dispatcher.in_flight()
        return [f"{busy} items"] if busy else []

    async def drain(self) -> None:
        """End the items under way, keep their results, give shards up."""
        self.draining = True
        limit_s = self.context.config.batch.drain_s
        try:
            async with asyncio.timeout(limit_s):
                while self.dispatcher.in_flight():
                    await asyncio.sleep(DRAIN_LOOK_S)
        except TimeoutError:
            LOG.warning("Items still run after {} s.", limit_s)
        await asyncio.gather(*(s.owner.release() for s in self.shards))

    async def stop(self) -> None:
        for compactor in self.compactors:
            await compactor.stop()
        for shard in self.shards:
            await shard.owner.stop()
        for run in list(self.runs.values()):
            await run.stop()
        self.runs.clear()
        await self.dispatcher.stop()
        for shard in self.shards:
            await shard.journal.stop()
        await self.forwarder.close()


def unknown(job: str) -> errors.Refused:
    """Return the refusal of an unknown id."""
    return errors.Refused(404, "unknown_job", f"no job {job!r}", field="job")
