"""The batch role: the shards of jobs on this host and the calls on them."""

__all__ = ["JobApi", "result_line", "show"]

from typing import Any
from typing import ClassVar

import msgspec
import xxhash

from camphortray import errors
from camphortray import job_reader
from camphortray import job_writer
from camphortray import jobcalls
from camphortray import jobparams
from camphortray import jobs
from camphortray import jobshard
from camphortray import kernel
from camphortray import logs
from camphortray import results
from camphortray import shardset
from camphortray import tree
from camphortray import web

LOG = logs.logger("jobs")
JSON_LINES = ("content-type", "application/jsonl")


@kernel.PARTS.register("batch")
class JobApi(kernel.Part):
    """Calls on jobs; those that need the owner are handed to it."""

    name: ClassVar[str] = "jobapi"
    requires: ClassVar[tuple[str, ...]] = ("jobs", "jobcalls", "routes")

    def __init__(self, context: kernel.Context) -> None:
        self.context = context
        self.tree = context.part(tree.Tree)
        self.shards = context.part(shardset.ShardSet)
        self.calls = context.part(jobcalls.JobCalls)
        routes = context.part(web.Routes)
        access = web.Access.WORKSPACE
        routes.add("POST", "/v1/jobs", access, self.submit)
        routes.add("GET", "/v1/jobs", access, self.list)
        routes.add("GET", "/v1/jobs/{job}", access, self.status)
        routes.add("GET", "/v1/jobs/{job}/results", access, self.results)
        routes.add("POST", "/v1/jobs/{job}/cancel", access, self.cancel)

    @classmethod
    def from_config(cls, context: kernel.Context) -> "JobApi":
        return cls(context)

    async def submit(self, call: web.Call) -> None:
        """Take a job: JSON lines, all or nothing."""
        params = jobparams.JobParams.from_request(
            call.request.query, call.request.headers, self.tree.view.services
        )
        job = jobs.job_id(call.caller, params.key)
        shard = self.shards.shard_of(job)
        if not shard.owner.owned:
            await self.calls.to_owner(call, shard)
            return
        self.calls.check_log(shard)
        known = job in shard.fold.jobs
        taker = job_writer.JobWriter(
            shard,
            job,
            self.context.config.streams,
            check=job_reader.LineCheck(params.path),
            max_items=params.service.get("job.max_items"),
            store=not known,
        )
        limit = self.context.config.batch.max_job_bytes
        taken = await taker.take(call.request.iter_body(limit))
        await self.accept(call, shard, self.record(call, job, params, taken))

    def record(
        self,
        call: web.Call,
        job: str,
        params: jobparams.JobParams,
        taken: job_writer.Taken,
    ) -> jobs.JobAccept:
        """Return the record that accepts a job."""
        now = self.context.clock.wall()
        same = f"{params.service.name}\0{params.path}\0{params.idempotent}"
        digest = taken.digest + xxhash.xxh3_64_hexdigest(same.encode())
        return jobs.JobAccept(
            job,
            taken.upload,
            call.caller,
            params.key,
            params.service.name,
            taken.count,
            digest,
            now + params.due_s if params.due_s else 0.0,
            params.keep_s,
            params.idempotent,
            params.path,
            now,
            params.weight,
        )

    async def accept(
        self, call: web.Call, shard: jobshard.JobShard, accept: jobs.JobAccept
    ) -> None:
        """Write the acceptance and tell the caller once it is read back."""
        valid, held = await self.calls.accept(shard, accept)
        if held.accept.digest != accept.digest:
            raise errors.Refused(
                409,
                "other_job",
                "another job has this key",
                field="Idempotency-Key",
            )
        call.response.send_json(201 if valid else 200, self.show(held))

    def show(self, job: jobs.Job) -> dict[str, Any]:
        """Return what a caller is told of a job."""
        return show(job, self.context.clock.wall())

    async def list(self, call: web.Call) -> None:
        """List the caller's jobs, newest first."""
        found = sorted(
            self.calls.jobs_of(call.caller),
            key=lambda job: (-job.accept.taken_at, job.accept.job),
        )
        call.response.send_json(200, {"jobs": [self.show(j) for j in found]})

    async def status(self, call: web.Call) -> None:
        """Tell where a job stands."""
        _, job = await self.calls.find(call.params["job"], call.caller)
        call.response.send_json(200, self.show(job))

    async def results(self, call: web.Call) -> None:
        """Stream the results that are there."""
        shard, job = await self.calls.find(call.params["job"], call.caller)
        query = call.request.query
        reader = results.ResultReader(shard, job)
        found = reader.read(query.get("order", "item"), query.get("after", ""))
        ended = job.status is not jobs.JobStatus.RUNNING
        await stream(
            call,
            found,
            result_line,
            [JSON_LINES, ("camphortray-ended", str(ended).lower())],
        )

    async def cancel(self, call: web.Call) -> None:
        """Stop a job."""
        shard, job = await self.calls.find(call.params["job"], call.caller)
        if await self.calls.cancel(call, shard, job):
            call.response.send_json(200, self.show(job))


async def stream(
    call: web.Call,
    found: Any,
    line_of: Any,
    headers: list[tuple[str, str]],
) -> None:
    """Answer with a line for each result.

    Raises:
      Refused: the log is away and nothing has been sent yet.
    """
    response = call.response
    try:
        async for cursor, result in found:
            if not response.status:
                response.start(200, headers)
            response.write(line_of(result, cursor))
            await response.flush()
    except errors.LogError as error:
        if response.status:
            # Cut off, so that it cannot be taken for the whole.
            response.abort()
            return
        raise job_writer.no_log(error) from error
    if not response.status:
        response.start(200, headers)
    response.end()


def show(job: jobs.Job, now: float) -> dict[str, Any]:
    """Return what a caller is told of a job.

    Args:
      job: The job.
      now: Seconds since 1970.
    """
    accept = job.accept
    return {
        "id": accept.job,
        "status": job.status.value,
        "service": accept.service,
        "count": accept.count,
        "done": job.done,
        "failed": job.failed,
        "unknown": job.unknown,
        "due": accept.due or None,
        "taken_at": accept.taken_at,
        "ended_at": job.ended_at or None,
        "left_s": time_left(job),
        "kept_until": job.ended_at + accept.keep_s if job.ended_at else None,
    }


def time_left(job: jobs.Job) -> float | None:
    """Return the seconds a job still takes at its speed so far."""
    if job.status is not jobs.JobStatus.RUNNING:
        return 0.0
    if not job.ended:
        return None
    pace_s = (job.last_at - job.accept.taken_at) / job.ended
    return max(0.0, round(pace_s * (job.accept.count - job.ended), 3))


def result_line(result: jobs.ItemResult, cursor: str) -> bytes:
    """Return one line of results."""
    fields: dict[str, Any] = {
        "item": result.item,
        "cursor": cursor,
        "status": result.status,
    }
    if result.custom_id:
        fields["custom_id"] = result.custom_id
    head = msgspec.json.encode(fields)
    return head[:-1] + b',"body":' + (result.body or b"null") + b"}\n"
