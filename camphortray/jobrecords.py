"""Records of ``jobs.N``: what is written about jobs and files."""

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
    """Some items of a job or file that is being taken.

    Attributes:
      job: Id of the job or file.
      upload: Number of this taking; two resends do not mix.
      first: Index of the first item.
      items: Lines as the caller sent them, one JSON object each.
    """

    job: str
    upload: int
    first: int
    items: tuple[bytes, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class JobDrop:
    """Ends a taking that will not be accepted."""

    job: str
    upload: int


@dataclasses.dataclass(frozen=True, slots=True)
class JobAccept:
    """Makes a job of the chunks of one upload, or of a file.

    Attributes:
      job: Id of the job.
      upload: Whose chunks.
      workspace: Who asked.
      key: The workspace's idempotency key.
      service: Which service runs it.
      count: Number of items.
      digest: Of all items, to tell another job under the same key.
      due: When it should be done, in seconds since 1970, or 0.
      keep_s: How long results are kept after the end.
      idempotent: Whether an item may be run again.
      path: Interface the items are for.
      taken_at: When it was taken, in seconds since 1970; for people.
      weight: Share among the jobs of its workspace.
      file: Id of the input file whose chunks it takes, or empty.
      metadata: The caller's own notes.
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
    """Makes an input file of the chunks of one upload.

    Attributes:
      file: Id of the file.
      upload: Whose chunks.
      workspace: Who sent it.
      name: As the caller named it.
      count: Number of lines.
      size: Bytes of all lines with their ends.
      keep_s: How long it is kept.
      taken_at: When it was taken, in seconds since 1970.
      path: Interface that its lines are for.
      model: That its first line names.
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
    """Ends the keeping time of a file."""

    file: str


@dataclasses.dataclass(frozen=True, slots=True)
class ItemResult:
    """Result of one item.

    Attributes:
      job: Id of the job.
      item: Index of the item.
      status: How it ended.
      body: JSON of the answer, or of the reason why there is none.
      custom_id: The caller's own id of the item, if it gave one.
    """

    job: str
    item: int
    status: ItemStatus
    body: bytes
    custom_id: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class JobResults:
    """Results of items of any jobs of the shard, grouped."""

    results: tuple[ItemResult, ...]
    written_at: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class JobStart:
    """Says that non-idempotent items are about to be dispatched."""

    job: str
    items: tuple[int, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class JobCrash:
    """Says that items were in flight when an upstream crashed."""

    job: str
    items: tuple[int, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class JobCancel:
    """Stops a job; no later result counts."""

    job: str
    at: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class JobForget:
    """Ends the keeping time of a job."""

    job: str


@dataclasses.dataclass(frozen=True, slots=True)
class JobCarry:
    """Carries a record forward, before the log forgets it.

    Attributes:
      of: Offset at which the fold now knows it.
      kind: ``CHUNK`` or ``RESULTS``.
      body: Its body, unchanged.
    """

    of: int
    kind: str
    body: dict[str, Any]
