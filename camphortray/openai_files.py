"""Serves OpenAI's ``/v1/files`` from chunks in the log."""

__all__ = ["OpenAiFiles"]

from collections.abc import AsyncIterator
from typing import Any
from typing import ClassVar
import uuid

from camphortray import errors
from camphortray import job_reader
from camphortray import job_writer
from camphortray import jobapi
from camphortray import jobcalls
from camphortray import jobparams
from camphortray import jobs
from camphortray import jobshard
from camphortray import kernel
from camphortray import multipart
from camphortray import openai_format
from camphortray import records
from camphortray import results
from camphortray import shardset
from camphortray import web

# Largest field of the form besides the file, in bytes.
MAX_FIELD_BYTES = 4096
# Most lines of a file, and its retention. A file belongs to no service yet,
# so no node of the settings tree applies to it.
MAX_LINES = 140_000
RETENTION_S = 86_400.0


@kernel.PARTS.register("batch")
class OpenAiFiles(kernel.Part):
    """Serves input files, and output and error files.

    A host has no disk: the lines of an input file are stored as chunks in a
    shard's stream, and a batch refers to them there. Output and error files
    are generated from a job's results when they are read.
    """

    name: ClassVar[str] = "openaifiles"
    requires: ClassVar[tuple[str, ...]] = ("jobs", "jobcalls", "routes")

    def __init__(self, context: kernel.Context) -> None:
        self.context = context
        self.shards = context.part(shardset.ShardSet)
        self.calls = context.part(jobcalls.JobCalls)
        routes = context.part(web.Routes)
        access = web.Access.WORKSPACE
        routes.add("POST", "/v1/files", access, self.create)
        routes.add("GET", "/v1/files", access, self.list)
        routes.add("GET", "/v1/files/{file}", access, self.retrieve)
        routes.add("DELETE", "/v1/files/{file}", access, self.delete)
        routes.add("GET", "/v1/files/{file}/content", access, self.content)

    @classmethod
    def from_config(cls, context: kernel.Context) -> "OpenAiFiles":
        return cls(context)

    async def create(self, call: web.Call) -> None:
        """Create an input file; its lines are checked as they arrive."""
        shard = self.calls.owned_shard()
        if shard is None:
            await self.calls.to_owner(call, self.calls.random_shard())
            return
        self.calls.check_log(shard)
        name = self.new_id(shard)
        check = job_reader.FileCheck(jobparams.PATHS)
        writer = job_writer.JobWriter(
            shard,
            name,
            self.context.config.streams,
            check=check,
            max_items=MAX_LINES,
        )
        form = FormReader(call, self.context.config.batch.max_job_bytes)
        taken = await writer.take(form.file())
        if form.fields.get("purpose") != "batch":
            await writer.drop()
            raise errors.Refused(
                400, "bad_field", "purpose must be batch", field="purpose"
            )
        accept = jobs.FileAccept(
            name,
            taken.upload,
            call.caller,
            form.filename,
            taken.count,
            taken.size,
            RETENTION_S,
            self.context.clock.wall(),
            check.path,
            check.model,
        )
        await self.calls.write(shard, jobs.FILE, accept)
        call.response.send_json(200, openai_format.file_object(accept))

    def new_id(self, shard: jobshard.JobShard) -> str:
        """Return a random file id from which the shard can be derived."""
        count = len(self.shards.shards)
        while True:
            name = uuid.UUID(int=self.context.rng.getrandbits(128)).hex
            if jobs.shard_of(name, count) == shard.number:
                return name

    async def list(self, call: web.Call) -> None:
        """List the caller's input files, newest first."""
        files = [
            file.accept
            for shard in self.shards.shards
            for file in shard.fold.files.values()
            if file.accept.workspace == call.caller
        ]
        files.sort(key=lambda accept: -accept.taken_at)
        call.response.send_json(
            200,
            {
                "object": "list",
                "data": [openai_format.file_object(a) for a in files],
                "has_more": False,
            },
        )

    async def retrieve(self, call: web.Call) -> None:
        """Return the file object of an input, output or error file."""
        text = call.params["file"]
        for prefix in (openai_format.OUTPUT, openai_format.ERRORS):
            if text.startswith(prefix):
                job_id = text.removeprefix(prefix)
                _, job = await self.calls.find(job_id, call.caller)
                described = openai_format.result_file_object(job, prefix)
                call.response.send_json(200, described)
                return
        _, file = await self.calls.find_file(text, call.caller)
        described = openai_format.file_object(file.accept)
        call.response.send_json(200, described)

    async def delete(self, call: web.Call) -> None:
        """Delete an input file; batches made from it continue."""
        text = call.params["file"]
        shard, file = await self.calls.find_file(text, call.caller)
        if not shard.owner.owned:
            await self.calls.to_owner(call, shard)
            return
        forget = jobs.FileForget(file.accept.file)
        await self.calls.write(shard, jobs.FILE_FORGET, forget)
        call.response.send_json(
            200, {"id": text, "object": "file", "deleted": True}
        )

    async def content(self, call: web.Call) -> None:
        """Stream a file's lines."""
        text = call.params["file"]
        headers = [jobapi.JSON_LINES]
        if text.startswith((openai_format.OUTPUT, openai_format.ERRORS)):
            output = text.startswith(openai_format.OUTPUT)
            job_id = text.rpartition("-")[2]
            shard, job = await self.calls.find(job_id, call.caller)
            lines = result_lines(results.ResultReader(shard, job), output)
        else:
            shard, file = await self.calls.find_file(text, call.caller)
            lines = input_lines(shard, file)
        await jobapi.stream(call, lines, plain_line, headers)


async def result_lines(
    reader: results.ResultReader, output: bool
) -> AsyncIterator[tuple[str, bytes]]:
    """Yield the lines of a job's output file, or of its error file."""
    format_line = (
        openai_format.output_line if output else openai_format.error_line
    )
    async for cursor, result in reader.in_order():
        if (result.status == "done") is output:
            yield cursor, format_line(result)


async def input_lines(
    shard: jobshard.JobShard, file: jobs.InputFile
) -> AsyncIterator[tuple[str, bytes]]:
    """Yield the lines of an input file."""
    for number in range(len(file.chunks)):
        record = await shard.read(file.chunks[number][0])
        raw = record.body["body"] if record.kind == jobs.CARRY else record.body
        for line in records.typed(raw, jobs.JobChunk).items:
            yield "", line


def plain_line(line: Any, cursor: str) -> bytes:
    """Return a line with a newline added."""
    return bytes(line) + b"\n"


class FormReader:
    """Reads an upload form and streams its file.

    Attributes:
      fields: The fields other than the file, by name.
      filename: Name that the caller gave the file.
    """

    def __init__(self, call: web.Call, limit: int) -> None:
        self.request = call.request
        self.limit = limit
        self.form = multipart.Form.from_content_type(
            call.request.headers.get("content-type", "")
        )
        self.fields: dict[str, str] = {}
        self.filename = ""

    async def file(self) -> AsyncIterator[bytes]:
        """Yield the bytes of the field ``file``.

        Raises:
          Refused: the body is no complete form, or a field is too long.
        """
        name = ""
        async for data in self.request.iter_body(self.limit):
            for event in self.form.feed(data):
                if isinstance(event, multipart.Part):
                    name = event.name
                    if name == "file":
                        self.filename = event.filename
                elif name == "file":
                    yield event.body
                else:
                    self.add(name, event.body)
        if not self.form.ended:
            raise multipart.bad_form("the form is not whole")

    def add(self, name: str, data: bytes) -> None:
        """Append bytes to a field other than the file."""
        text = self.fields.get(name, "") + data.decode("utf-8", "replace")
        if len(text) > MAX_FIELD_BYTES:
            raise multipart.bad_form(f"field {name!r} is too long")
        self.fields[name] = text
