"""Represents jobs, files and results as in OpenAI's batch API."""

__all__ = [
    "batch_object",
    "error_line",
    "file_object",
    "output_line",
    "window_s",
]

from typing import Any

import msgspec

from camphortray import errors
from camphortray import jobs
from camphortray import json_reader

FILE = "file-"
OUTPUT = "file-out-"
ERRORS = "file-err-"
BATCH = "batch_"
STATUS = {
    jobs.JobStatus.RUNNING: "in_progress",
    jobs.JobStatus.FINISHED: "completed",
    jobs.JobStatus.CANCELLED: "cancelled",
}
UNITS_S = {"s": 1, "m": 60, "h": 3600, "d": 86_400}


def window_s(text: Any) -> float:
    """Parse a completion window into seconds.

    >>> window_s("24h")
    86400.0

    Raises:
      Refused: the value is not a completion window.
    """
    window = text if isinstance(text, str) else ""
    number, unit = window[:-1], UNITS_S.get(window[-1:])
    if unit is None or not number.isdigit() or not 0 < int(number) < 10_000:
        raise errors.Refused(
            400,
            "bad_field",
            "completion_window is not like 24h",
            field="completion_window",
        )
    return float(int(number) * unit)


def file_object(accept: jobs.FileAccept) -> dict[str, Any]:
    """Return the file object of an input file."""
    return {
        "id": FILE + accept.file,
        "object": "file",
        "bytes": accept.size,
        "created_at": int(accept.taken_at),
        "expires_at": int(accept.taken_at + accept.keep_s),
        "filename": accept.name,
        "purpose": "batch",
        "status": "processed",
    }


def result_file_object(job: jobs.Job, prefix: str) -> dict[str, Any]:
    """Return the file object of a job's output or error file."""
    return {
        "id": prefix + job.accept.job,
        "object": "file",
        "bytes": 0,
        "created_at": int(job.ended_at),
        "filename": f"{BATCH}{job.accept.job}.jsonl",
        "purpose": "batch_output",
        "status": "processed",
    }


def batch_object(job: jobs.Job) -> dict[str, Any]:
    """Return the batch object of a job."""
    accept = job.accept
    status = job.status
    ended = status is not jobs.JobStatus.RUNNING
    ended_at = int(job.ended_at)
    failed = job.failed + job.unknown
    completed = status is jobs.JobStatus.FINISHED
    cancelled = status is jobs.JobStatus.CANCELLED
    return {
        "id": BATCH + accept.job,
        "object": "batch",
        "endpoint": accept.path,
        "errors": None,
        "input_file_id": FILE + accept.file,
        "completion_window": f"{int(accept.due - accept.taken_at)}s",
        "status": STATUS[status],
        "output_file_id": OUTPUT + accept.job if ended and job.done else None,
        "error_file_id": ERRORS + accept.job if ended and failed else None,
        "created_at": int(accept.taken_at),
        "in_progress_at": int(accept.taken_at),
        "expires_at": int(accept.due),
        "completed_at": ended_at if completed else None,
        "cancelled_at": ended_at if cancelled else None,
        "request_counts": {
            "total": accept.count,
            "completed": job.done,
            "failed": failed,
        },
        "metadata": accept.metadata or None,
    }


def output_line(result: jobs.ItemResult) -> bytes:
    """Return the line of the output file for a successful item."""
    return msgspec.json.encode(
        {
            "id": request_id(result),
            "custom_id": result.custom_id,
            "response": {
                "status_code": 200,
                "request_id": request_id(result),
                "body": msgspec.Raw(result.body),
            },
            "error": None,
        }
    )


def error_line(result: jobs.ItemResult) -> bytes:
    """Return the line of the error file for an item without an answer."""
    body = json_reader.read(result.body)
    return msgspec.json.encode(
        {
            "id": request_id(result),
            "custom_id": result.custom_id,
            "response": None,
            "error": {
                "code": result.status,
                "message": body["error"]["message"],
            },
        }
    )


def request_id(result: jobs.ItemResult) -> str:
    """Return the request id of an item."""
    return f"batch_req_{result.job}-{result.item}"
