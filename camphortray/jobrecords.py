"""Record types of the ``jobs.N`` streams, for batch jobs and input files."""

__all__ = [
    "ACCEPT",
    "CANCEL",
    "CARRY",
    "CHUNK",
    "CRASH",
    "DROP",
    "FILE",
    "FILE_FORGET",
    "FORGET",
    "FileAccept",
    "FileForget",
    "ItemResult",
    "ItemStatus",
    "JobAccept",
    "JobCancel",
    "JobCarry",
    "JobChunk",
    "JobCrash",
    "JobDrop",
    "JobForget",
    "JobResults",
    "JobStart",
    "RESULTS",
    "START",
]

import dataclasses
from typing import Any
from typing import Literal

CHUNK = "job.chunk"
DROP = "job.drop"
ACCEPT = "job.accept"
RESULTS = "job.results"
START = "job.start"
CRASH = "job.crash"
CANCEL = "job.cancel"
FORGET = "job.forget"
CARRY = "job.carry"
FILE = "file.accept"
FILE_FORGET = "file.forget"

ItemStatus = Literal["done", "failed", "unknown"]


@dataclasses.dataclass(frozen=True, slots=True)
class JobChunk:
    """Consecutive items of a job or file that is being uploaded.

    Attributes:
      job: Id of the job or file.
      upload: Number of the upload, which keeps the chunks of a resent job
        apart from those of the first attempt.
      first: Index of the first item.
      items: Lines as the client sent them, one JSON object each.
    """

    job: str
    upload: int
    first: int
    items: tuple[bytes, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class JobDrop:
    """Discards the chunks of an upload that will not be accepted."""

    job: str
    upload: int


@dataclasses.dataclass(frozen=True, slots=True)
class JobAccept:
    """Creates a job from the chunks of an upload or of an input file.

    Attributes:
      job: Id of the job.
      upload: Number of the upload that holds the chunks.
      workspace: Workspace that submitted the job.
      key: Idempotency key, unique within the workspace.
      service: Service that runs the items.
      count: Number of items.
      digest: Digest of all items, to detect that a key is used again for
        another job.
      due: Requested completion time in seconds since the Unix epoch, or 0.
      keep_s: Retention of the results after the job has ended.
      idempotent: Whether an item may be run again.
      path: Path of the API that the items are requests to.
      taken_at: Time of acceptance in seconds since the Unix epoch; for
        display and the order of lists.
      weight: Scheduling weight among the jobs of the workspace.
      file: Id of the input file that holds the chunks, or empty.
      metadata: Metadata set by the client.
    """

    job: str
    upload: int
    workspace: str
    key: str
    service: str
    count: int
    digest: str
    due: float = 0.0
    keep_s: float = 86400.0
    idempotent: bool = True
    path: str = "/v1/chat/completions"
    taken_at: float = 0.0
    weight: float = 1.0
    file: str = ""
    metadata: dict[str, str] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True)
class FileAccept:
    """Creates an input file from the chunks of an upload.

    Attributes:
      file: Id of the file.
      upload: Number of the upload that holds the chunks.
      workspace: Workspace that uploaded the file.
      name: File name given by the client.
      count: Number of lines.
      size: Size of all lines in bytes, line ends included.
      keep_s: Retention of the file after its acceptance.
      taken_at: Time of acceptance in seconds since the Unix epoch.
      path: Path of the API that the lines are requests to.
      model: Model named in the first line.
    """

    file: str
    upload: int
    workspace: str
    name: str
    count: int
    size: int
    keep_s: float
    taken_at: float
    path: str
    model: str


@dataclasses.dataclass(frozen=True, slots=True)
class FileForget:
    """Deletes a file at the end of its retention or on request."""

    file: str


@dataclasses.dataclass(frozen=True, slots=True)
class ItemResult:
    """Result of one item.

    Attributes:
      job: Id of the job.
      item: Index of the item.
      status: Status with which the item ended.
      body: Answer as JSON, or the reason why there is none.
      custom_id: Id of the item set by the client, or empty.
    """

    job: str
    item: int
    status: ItemStatus
    body: bytes
    custom_id: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class JobResults:
    """A group of item results, possibly of several jobs of the shard."""

    results: tuple[ItemResult, ...]
    written_at: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class JobStart:
    """Marks non-idempotent items that are about to be dispatched."""

    job: str
    items: tuple[int, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class JobCrash:
    """Names items that were in flight when an upstream crashed."""

    job: str
    items: tuple[int, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class JobCancel:
    """Cancels a job; results that follow in the log are ignored."""

    job: str
    at: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class JobForget:
    """Deletes a job whose retention has ended."""

    job: str


@dataclasses.dataclass(frozen=True, slots=True)
class JobCarry:
    """Copies a record to the end of the log before the log discards it.

    Attributes:
      of: Offset of the copied record, which may be a copy itself.
      kind: Kind of the copied record, ``CHUNK`` or ``RESULTS``.
      body: Body of the copied record, unchanged.
    """

    of: int
    kind: str
    body: dict[str, Any]
