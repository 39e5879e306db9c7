"""Serves OpenAI's ``/v1/batches``: jobs made from input files."""

__all__ = ["OpenAiBatches"]

from typing import Any
from typing import ClassVar

import msgspec
import xxhash

from camphortray import errors
from camphortray import forward
from camphortray import jobcalls
from camphortray import jobs
from camphortray import json_reader
from camphortray import kernel
from camphortray import openai_format
from camphortray import tree
from camphortray import web

# Batches in a page of the list, and entries in a batch's metadata.
MAX_PAGE_BATCHES = 100
DEFAULT_PAGE_BATCHES = 20
MAX_METADATA_ENTRIES = 16


class BatchRequest(msgspec.Struct):
    """Body of a call that creates a batch."""

    input_file_id: str
    endpoint: str
    completion_window: str = "24h"
    metadata: dict[str, str] | None = None


@kernel.PARTS.register("batch")
class OpenAiBatches(kernel.Part):
    """Serves calls on batches; each is a job in its input file's shard."""

    name: ClassVar[str] = "openaibatches"
    requires: ClassVar[tuple[str, ...]] = ("jobs", "jobcalls", "routes")

    def __init__(self, context: kernel.Context) -> None:
        self.context = context
        self.tree = context.part(tree.Tree)
        self.calls = context.part(jobcalls.JobCalls)
        routes = context.part(web.Routes)
        access = web.Access.WORKSPACE
        routes.add("POST", "/v1/batches", access, self.create)
        routes.add("GET", "/v1/batches", access, self.list)
        routes.add("GET", "/v1/batches/{batch}", access, self.retrieve)
        routes.add("POST", "/v1/batches/{batch}/cancel", access, self.cancel)

    @classmethod
    def from_config(cls, context: kernel.Context) -> "OpenAiBatches":
        return cls(context)

    async def create(self, call: web.Call) -> None:
        """Create a batch from an input file."""
        request, data = await read_request(call)
        shard, file = await self.calls.find_file(
            request.input_file_id, call.caller
        )
        if not shard.owner.owned:
            await self.calls.to_owner(call, shard, data)
            return
        self.calls.check_log(shard)
        accept = self.record(call, request, file.accept)
        _, job = await self.calls.accept(shard, accept)
        if job.accept.digest != accept.digest:
            raise errors.Refused(
                409,
                "other_job",
                "another batch has this key",
                field="Idempotency-Key",
            )
        call.response.send_json(200, openai_format.batch_object(job))

    def record(
        self, call: web.Call, request: BatchRequest, file: jobs.FileAccept
    ) -> jobs.JobAccept:
        """Build the record that accepts a batch.

        The job's id starts like the file's, so that both are in one shard.

        Raises:
          Refused: the request does not fit the file, or no service has the
            file's model.
        """
        window_s = openai_format.window_s(request.completion_window)
        if request.endpoint != file.path:
            raise errors.Refused(
                400,
                "bad_field",
                f"the file's lines are for {file.path}",
                field="endpoint",
            )
        service = self.tree.view.by_model.get(file.model)
        if service is None:
            raise errors.Refused(
                400,
                "unknown_model",
                f"no model {file.model!r}",
                field="input_file_id",
            )
        now = self.context.clock.wall()
        key = call.request.headers.get("idempotency-key")
        key = key or f"batch {call.request.id}"
        key_digest = xxhash.xxh64_hexdigest(f"{call.caller}\0{key}".encode())
        return jobs.JobAccept(
            file.file[:16] + key_digest,
            0,
            call.caller,
            key,
            service.name,
            file.count,
            f"{file.file} {request.endpoint}",
            now + window_s,
            service.get("job.keep_s"),
            True,
            file.path,
            now,
            service.get("job.weight"),
            file.file,
            request.metadata or {},
        )

    async def find(self, call: web.Call) -> Any:
        """Return the shard and the job of the batch that a call names."""
        name = call.params["batch"].removeprefix(openai_format.BATCH)
        return await self.calls.find(name, call.caller)

    async def retrieve(self, call: web.Call) -> None:
        """Return the batch object of a batch."""
        _, job = await self.find(call)
        call.response.send_json(200, openai_format.batch_object(job))

    async def list(self, call: web.Call) -> None:
        """List the caller's batches, newest first, a page at a time."""
        query = call.request.query
        limit = query.get("limit", str(DEFAULT_PAGE_BATCHES))
        if not limit.isdigit() or not 0 < int(limit) <= MAX_PAGE_BATCHES:
            raise errors.Refused(
                400,
                "bad_field",
                f"limit is 1 to {MAX_PAGE_BATCHES}",
                field="limit",
            )
        batches = [
            openai_format.batch_object(job)
            for job in sorted(
                self.calls.jobs_of(call.caller),
                key=lambda job: (-job.accept.taken_at, job.accept.job),
            )
            if job.accept.file
        ]
        names = [batch["id"] for batch in batches]
        after = query.get("after", "")
        start = names.index(after) + 1 if after in names else 0
        page = batches[start : start + int(limit)]
        call.response.send_json(
            200,
            {
                "object": "list",
                "data": page,
                "first_id": page[0]["id"] if page else None,
                "last_id": page[-1]["id"] if page else None,
                "has_more": start + len(page) < len(batches),
            },
        )

    async def cancel(self, call: web.Call) -> None:
        """Cancel a batch."""
        shard, job = await self.find(call)
        if await self.calls.cancel(call, shard, job):
            call.response.send_json(200, openai_format.batch_object(job))


async def read_request(call: web.Call) -> tuple[BatchRequest, bytes]:
    """Read the body of a call that creates a batch.

    Returns:
      The request, and its bytes as sent.

    Raises:
      Refused: a field is missing or wrong.
    """
    data = await call.request.body(forward.MAX_SMALL_BODY_BYTES)
    try:
        request = json_reader.read(data, BatchRequest)
    except msgspec.MsgspecError as error:
        raise errors.Refused(
            400, "bad_field", str(error), field="(body)"
        ) from error
    if len(request.metadata or {}) > MAX_METADATA_ENTRIES:
        raise errors.Refused(
            400,
            "bad_field",
            f"more than {MAX_METADATA_ENTRIES} entries",
            field="metadata",
        )
    return request, data
