"""Follows all shards of jobs on a host and runs the owned ones."""

__all__ = ["ShardSet"]

import asyncio
from typing import ClassVar

from camphortray import compaction
from camphortray import dispatch
from camphortray import errors
from camphortray import fold as folds
from camphortray import grouping
from camphortray import jobs
from camphortray import jobshard
from camphortray import journal
from camphortray import kernel
from camphortray import log_backends
from camphortray import logs
from camphortray import membership
from camphortray import ownership
from camphortray import records
from camphortray import shardrun
from camphortray import shards

LOG = logs.logger("jobs")
BYTES_PER_MEGABYTE = 1_000_000
# Interval at which a drain checks whether items are still unfinished.
DRAIN_POLL_S = 0.05


@kernel.PARTS.register("batch")
class ShardSet(kernel.Part):
    """Follows every shard and runs the jobs of those that this host owns.

    Attributes:
      shards: All shards, in the order of their numbers.
      runs: Runs of the owned shards, by shard number.
      stops: Tasks that stop the runs of lost shards.
      settled: Whether every shard has had an owner since the start.
    """

    name: ClassVar[str] = "jobs"
    requires: ClassVar[tuple[str, ...]] = (
        "backends",
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
        """Build a shard and connect its ownership to its run."""
        context = self.context
        writer = records.Writer(
            f"{context.config.host.name}/batch", context.incarnation
        )
        held = journal.Journal(
            context.part(log_backends.Backends).log,
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
        """Build the compactor of a shard.

        It keeps needed records readable although the log discards old ones.
        """
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
        not_ready = next((reason for reason in reasons if reason), "")
        if not_ready or self.settled:
            return not_ready
        # Checked only until each shard has an owner: later a shard may lack
        # one for a moment whenever it moves.
        self.settled = all(s.fold.ownership.owner for s in self.shards)
        return "" if self.settled else "shards have no owner yet"

    def on_member(self, member: membership.Member) -> None:
        """Evaluate the ownership of all shards again."""
        if member.program == self.context.program:
            for shard in self.shards:
                shard.owner.wake()

    def paused(self) -> bool:
        """Return whether the dispatch of further items is paused.

        While the log is unavailable, results are buffered in memory. The
        pause limits the memory and the work that a crash would repeat.
        """
        buffered_bytes = sum(
            run.outbox.held_bytes for run in self.runs.values()
        )
        return (
            buffered_bytes
            >= self.context.config.batch.memory_mb * BYTES_PER_MEGABYTE
        )

    def interval_s(self) -> float:
        """Return the time over which results are grouped into one append.

        It depends on the number of shards with running jobs on all hosts,
        which is known here because each host follows every shard.
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
        """Run the jobs of a shard that this host now owns."""
        run = shardrun.ShardRun(
            self.context, shard, self.dispatcher, epoch, self.interval_s
        )
        self.runs[shard.number] = run
        run.start()

    def lose(self, number: int) -> None:
        """Stop the run of a shard that this host no longer owns."""
        run = self.runs.pop(number, None)
        if run is not None:
            task = asyncio.get_running_loop().create_task(run.stop())
            self.stops.add(task)
            task.add_done_callback(self.stops.discard)

    def restart(self, shard: jobshard.JobShard) -> None:
        """Restart the run, as a snapshot has replaced the job objects."""
        if shard.number in self.runs:
            self.lose(shard.number)
            self.gain(shard, shard.owner.epoch)

    def on_outcome(self, number: int, outcome: folds.Outcome) -> None:
        """Pass the outcome of a record to the run of its shard."""
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
          Refused: the id is malformed.
        """
        try:
            return self.shards[jobs.shard_of(job, len(self.shards))]
        except ValueError:
            raise unknown(job) from None

    def in_flight(self) -> list[str]:
        count = self.dispatcher.in_flight()
        return [f"{count} items"] if count else []

    async def drain(self) -> None:
        """Finish the items in flight and release all shards."""
        self.draining = True
        self.dispatcher.drain()
        timeout_s = self.context.config.batch.drain_s
        try:
            async with asyncio.timeout(timeout_s):
                while self.dispatcher.unfinished():
                    await asyncio.sleep(DRAIN_POLL_S)
        except TimeoutError:
            LOG.warning(
                "Drain timed out after {} s with items unfinished.", timeout_s
            )
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


def unknown(job: str) -> errors.Refused:
    """Return the refusal for a job id that is unknown or malformed."""
    return errors.Refused(404, "unknown_job", f"no job {job!r}", field="job")
