"""Serves ``/v1/jobs``, the HTTP API for jobs, in the batch role."""

__all__ = ["JobApi", "job_object", "result_line"]

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
    """Serves calls on jobs; some are forwarded to the owner of a shard."""

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
        """Accept a job of JSON lines, all or none of them."""
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
        writer = job_writer.JobWriter(
            shard,
            job,
            self.context.config.streams,
            check=job_reader.LineCheck(params.path),
            max_items=params.service.get("job.max_items"),
            store=not known,
        )
        limit = self.context.config.batch.max_job_bytes
        taken = await writer.take(call.request.iter_body(limit))
        await self.accept(call, shard, self.record(call, job, params, taken))

    def record(
        self,
        call: web.Call,
        job: str,
        params: jobparams.JobParams,
        taken: job_writer.Taken,
    ) -> jobs.JobAccept:
        """Build the record that accepts a job."""
        now = self.context.clock.wall()
        options = f"{params.service.name}\0{params.path}\0{params.idempotent}"
        digest = taken.digest + xxhash.xxh3_64_hexdigest(options.encode())
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
        """Append the acceptance and answer once it has been read back."""
        created, job = await self.calls.accept(shard, accept)
        if job.accept.digest != accept.digest:
            raise errors.Refused(
                409,
                "other_job",
                "another job has this key",
                field="Idempotency-Key",
            )
        call.response.send_json(201 if created else 200, self.describe(job))

    def describe(self, job: jobs.Job) -> dict[str, Any]:
        """Return the JSON object that describes a job now."""
        return job_object(job, self.context.clock.wall())

    async def list(self, call: web.Call) -> None:
        """List the caller's jobs, newest first."""
        found = sorted(
            self.calls.jobs_of(call.caller),
            key=lambda job: (-job.accept.taken_at, job.accept.job),
        )
        call.response.send_json(
            200, {"jobs": [self.describe(j) for j in found]}
        )

    async def status(self, call: web.Call) -> None:
        """Return the status of a job."""
        _, job = await self.calls.find(call.params["job"], call.caller)
        call.response.send_json(200, self.describe(job))

    async def results(self, call: web.Call) -> None:
        """Stream the results that a job has so far."""
        shard, job = await self.calls.find(call.params["job"], call.caller)
        query = call.request.query
        reader = results.ResultReader(shard, job)
        entries = reader.read(
            query.get("order", "item"), query.get("after", "")
        )
        ended = job.status is not jobs.JobStatus.RUNNING
        await stream(
            call,
            entries,
            result_line,
            [JSON_LINES, ("camphortray-ended", str(ended).lower())],
        )

    async def cancel(self, call: web.Call) -> None:
        """Cancel a job."""
        shard, job = await self.calls.find(call.params["job"], call.caller)
        if await self.calls.cancel(call, shard, job):
            call.response.send_json(200, self.describe(job))


async def stream(
    call: web.Call,
    entries: Any,
    format_line: Any,
    headers: list[tuple[str, str]],
) -> None:
    """Answer with one line for each entry.

    Args:
      call: The call.
      entries: Pairs of cursor and result, as an asynchronous iterator.
      format_line: Returns the line of a result and its cursor.
      headers: Headers of the answer.

    Raises:
      Refused: the log is unavailable and nothing has been sent yet.
    """
    response = call.response
    try:
        async for cursor, result in entries:
            if not response.status:
                response.start(200, headers)
            response.write(format_line(result, cursor))
            await response.flush()
    except errors.LogError as error:
        if response.status:
            # Aborts, so that the caller cannot take a part for the whole.
            response.abort()
            return
        raise job_writer.no_log(error) from error
    if not response.status:
        response.start(200, headers)
    response.end()


def job_object(job: jobs.Job, now: float) -> dict[str, Any]:
    """Return the JSON object that describes a job.

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
    """Estimate the seconds until a job ends, from its mean rate so far.

    Returns:
      None while no item has ended.
    """
    if job.status is not jobs.JobStatus.RUNNING:
        return 0.0
    if not job.ended:
        return None
    item_s = (job.last_at - job.accept.taken_at) / job.ended
    return max(0.0, round(item_s * (job.accept.count - job.ended), 3))


def result_line(result: jobs.ItemResult, cursor: str) -> bytes:
    """Format one result as a JSON line."""
    fields: dict[str, Any] = {
        "item": result.item,
        "cursor": cursor,
        "status": result.status,
    }
    if result.custom_id:
        fields["custom_id"] = result.custom_id
    prefix = msgspec.json.encode(fields)
    return prefix[:-1] + b',"body":' + (result.body or b"null") + b"}\n"
