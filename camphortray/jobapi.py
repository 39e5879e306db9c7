"""The batch role: takes jobs, owns shards, runs items, gives results."""

__all__ = ["JobApi", "result_line", "show"]

import asyncio
from collections.abc import AsyncIterator
import dataclasses
from typing import Any
from typing import ClassVar

import msgspec
import xxhash

from camphortray import dispatch
from camphortray import errors
from camphortray import fold as folds
from camphortray import intake
from camphortray import jobs
from camphortray import journal
from camphortray import kernel
from camphortray import logs
from camphortray import outer
from camphortray import ownership
from camphortray import records
from camphortray import shards
from camphortray import tree
from camphortray import web

LOG = logs.logger("jobs")
# Bytes of items in one record of a job.
CHUNK_BYTES = 262_144
APPEND_S = 10.0


class JobShard:
    """One shard of jobs as this host sees it."""

    def __init__(self, number: int, held: journal.Journal) -> None:
        self.number = number
        self.journal = held
        self.owner = ownership.Owner(held)
        self.uploads = 0

    @property
    def fold(self) -> jobs.JobsFold:
        """State of the shard."""
        fold = self.journal.fold
        assert isinstance(fold, jobs.JobsFold)
        return fold

    async def append(self, kind: str, body: Any) -> folds.Outcome:
        """Append a record in this host's epoch."""
        return await self.journal.append(
            kind,
            msgspec.to_builtins(body, builtin_types=(bytes,)),
            self.owner.epoch,
            APPEND_S,
        )

    async def read(self, offset: int) -> records.Record:
        """Return a record of the stream again."""
        page = await self.journal.service.read(self.journal.stream, offset)
        return records.decode(page.records[0].body)

    async def items(self, job: jobs.Job) -> AsyncIterator[tuple[int, bytes]]:
        """Yield index and body of the items that have no result yet."""
        for offset, first in job.chunks:
            record = await self.read(offset)
            chunk = records.typed(record.body, jobs.JobChunk)
            for index, body in enumerate(chunk.items, first):
                if job.results[index] == jobs.NO_OFFSET:
                    yield index, body


@kernel.PARTS.register("batch")
class JobApi(kernel.Part):
    """All shards of jobs on this host, and the HTTP calls on them."""

    name: ClassVar[str] = "jobs"
    requires: ClassVar[tuple[str, ...]] = (
        "outer",
        "routes",
        "upstreams",
        "slots",
        "signals",
    )

    def __init__(self, context: kernel.Context) -> None:
        self.context = context
        self.tree = context.part(tree.Tree)
        self.runner = dispatch.Runner(context)
        writer = records.Writer(
            f"{context.config.host.name}/batch", context.incarnation
        )
        self.shards = [
            JobShard(
                number,
                journal.Journal(
                    context.part(outer.Outer).log,
                    shards.stream_name("jobs", number),
                    jobs.JobsFold(),
                    writer,
                    context.rng,
                ),
            )
            for number in range(context.config.shards.jobs)
        ]
        self.tasks: dict[str, asyncio.Task[None]] = {}
        routes = context.part(web.Routes)
        access = web.Access.WORKSPACE
        routes.add("POST", "/v1/jobs", access, self.submit)
        routes.add("GET", "/v1/jobs/{job}", access, self.status)
        routes.add("GET", "/v1/jobs/{job}/results", access, self.results)
        routes.add("POST", "/v1/jobs/{job}/cancel", access, self.cancel)

    @classmethod
    def from_config(cls, context: kernel.Context) -> "JobApi":
        return cls(context)

    async def start(self) -> None:
        for shard in self.shards:
            shard.journal.start()
        await asyncio.gather(*(shard.owner.claim() for shard in self.shards))
        for shard in self.shards:
            for job in shard.fold.jobs.values():
                self.run(shard, job)

    async def submit(self, call: web.Call) -> None:
        """Take a job: JSON lines, all or nothing."""
        key = call.request.headers.get("idempotency-key", "")
        if not key:
            raise errors.Refused(
                400, "no_key", "needs a key", field="Idempotency-Key"
            )
        service = self.tree.view.services.get(
            call.request.query.get("service", "")
        )
        if service is None:
            raise errors.Refused(
                404, "unknown_service", "no such service", field="service"
            )
        shard = self.shard_of(call.caller, key)
        job = jobs.job_id(call.caller, key)
        shard.uploads += 1
        accept = await self.take(call, shard, job, shard.uploads)
        accept = dataclasses.replace(
            accept, key=key, service=service.name, workspace=call.caller
        )
        outcome = await shard.append(jobs.ACCEPT, accept)
        held = shard.fold.jobs.get(job)
        if held is None:
            raise errors.Refused(
                503, "not_accepted", outcome.reason, ran="unknown"
            )
        if held.accept.digest != accept.digest:
            raise errors.Refused(409, "other_job", "another job has this key")
        if outcome.valid:
            self.run(shard, held)
        call.response.send_json(200 if not outcome.valid else 201, show(held))

    def shard_of(self, workspace: str, key: str) -> JobShard:
        """Return the shard of a workspace's key."""
        return self.shards[shards.shard_of(workspace, key, len(self.shards))]

    async def take(
        self, call: web.Call, shard: JobShard, job: str, upload: int
    ) -> jobs.JobAccept:
        """Append the chunks of a job as they come."""
        reader = intake.LineReader()
        digest = xxhash.xxh3_128()
        count = 0
        held: list[bytes] = []
        size = 0

        async def flush() -> None:
            nonlocal held, size, count
            chunk = jobs.JobChunk(job, upload, count, tuple(held))
            await shard.append(jobs.CHUNK, chunk)
            count += len(held)
            held, size = [], 0

        limit = self.context.config.batch.max_job_bytes
        async for data in call.request.iter_body(limit):
            for _, item in reader.feed(data):
                digest.update(item + b"\n")
                held.append(item)
                size += len(item)
                if size >= CHUNK_BYTES:
                    await flush()
        for _, item in reader.feed(b"", last=True):
            digest.update(item + b"\n")
            held.append(item)
        if held:
            await flush()
        if not count:
            raise errors.Refused(400, "empty", "no items", field="(body)")
        return jobs.JobAccept(
            job,
            upload,
            "",
            "",
            "",
            count,
            digest.hexdigest(),
            taken_at=self.context.clock.wall(),
        )

    def run(self, shard: JobShard, job: jobs.Job) -> None:
        """Run the items of a job in the background."""
        if job.status is not jobs.JobStatus.RUNNING:
            return
        task = asyncio.get_running_loop().create_task(self.run_job(shard, job))
        self.tasks[job.accept.job] = task

    async def run_job(self, shard: JobShard, job: jobs.Job) -> None:
        """Run all items and append their results, grouped."""
        service = self.tree.view.services[job.accept.service]
        grouped: list[jobs.ItemResult] = []
        async for result in self.runner.run_all(service, job, shard):
            grouped.append(result)
            ended = job.ended + len(grouped) == job.accept.count
            if len(grouped) >= 50 or ended:
                body = jobs.JobResults(
                    tuple(grouped), self.context.clock.wall()
                )
                await shard.append(jobs.RESULTS, body)
                grouped.clear()

    def job_of(self, call: web.Call) -> tuple[JobShard, jobs.Job]:
        """Return the job a call names, if it is the caller's."""
        for shard in self.shards:
            job = shard.fold.jobs.get(call.params["job"])
            if job is not None and job.accept.workspace == call.caller:
                return shard, job
        raise errors.Refused(404, "unknown_job", "no such job", field="job")

    async def status(self, call: web.Call) -> None:
        """Tell where a job stands."""
        call.response.send_json(200, show(self.job_of(call)[1]))

    async def results(self, call: web.Call) -> None:
        """Stream the results in item order."""
        shard, job = self.job_of(call)
        response = call.response
        response.start(200, [("content-type", "application/jsonl")])
        seen: dict[int, dict[int, jobs.ItemResult]] = {}
        for index, offset in enumerate(job.results):
            if offset == jobs.NO_OFFSET:
                continue
            if offset not in seen:
                record = await shard.read(offset)
                body = records.typed(record.body, jobs.JobResults)
                seen[offset] = {
                    r.item: r for r in body.results if r.job == job.accept.job
                }
            response.write(result_line(seen[offset][index]))
            await response.flush()
        response.end()

    async def cancel(self, call: web.Call) -> None:
        """Stop a job."""
        shard, job = self.job_of(call)
        task = self.tasks.get(job.accept.job)
        if task is not None:
            task.cancel()
        body = jobs.JobCancel(job.accept.job, self.context.clock.wall())
        await shard.append(jobs.CANCEL, body)
        call.response.send_json(200, show(job))

    async def stop(self) -> None:
        for task in self.tasks.values():
            task.cancel()
        for shard in self.shards:
            await shard.journal.stop()


def show(job: jobs.Job) -> dict[str, Any]:
    """Return what a caller is told of a job."""
    return {
        "id": job.accept.job,
        "status": job.status.value,
        "service": job.accept.service,
        "count": job.accept.count,
        "done": job.done,
        "failed": job.failed,
        "unknown": job.unknown,
    }


def result_line(result: jobs.ItemResult) -> bytes:
    """Return one line of results."""
    head = msgspec.json.encode({"item": result.item, "status": result.status})
    return head[:-1] + b',"body":' + (result.body or b"null") + b"}\n"
