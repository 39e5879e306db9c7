"""Messages between hosts and the owners of partitions of batch jobs."""

__all__ = [
    "BacklogReport",
    "BodyAsk",
    "BodyReply",
    "EndAsk",
    "JobRefusal",
    "PageAsk",
    "PageReply",
    "PartitionBacklog",
    "ProgressUpdate",
    "QuotaAsk",
    "QuotaGranted",
    "QuotaReply",
    "SubmitAsk",
    "Taken",
]


import msgspec

from camphortray import errors
from camphortray import itemwork
from camphortray import messages
from camphortray import partition_records


@messages.message("job.submit")
class SubmitAsk(msgspec.Struct, frozen=True):
    """Requests that the owner accept a job, with all its items."""

    job: partition_records.JobPart


@messages.message("job.page")
class PageAsk(msgspec.Struct, frozen=True):
    """Requests results of a job from a position on.

    Attributes:
      job: Id of the job.
      after: Position of the first result.
      wait_s: Time to wait for a result if there is none yet.
      workspace: Workspace whose jobs the caller may see; None for all.
    """

    job: str
    after: int
    wait_s: float
    workspace: str | None = None


@messages.message("job.body")
class BodyAsk(msgspec.Struct, frozen=True):
    """Requests the body of an item.

    Attributes:
      job: Id of the job.
      item: Id of the item.
      workspace: As in ``PageAsk``.
    """

    job: str
    item: str
    workspace: str | None = None


@messages.message("job.end")
class EndAsk(msgspec.Struct, frozen=True):
    """Requests that the owner end a job.

    Attributes:
      job: Id of the job.
      workspace: As in ``PageAsk``.
    """

    job: str
    workspace: str | None = None


@messages.message("job.taken")
class Taken(msgspec.Struct, frozen=True):
    """Acknowledges that a requested change has been stored."""


@messages.message("job.page-reply")
class PageReply(msgspec.Struct, frozen=True):
    """Results of a job.

    Attributes:
      total: Number of items of the job.
      after: Position of the first result in this page.
      results: Item id, state and text of each result.
    """

    total: int
    after: int
    results: tuple[tuple[str, partition_records.State, bytes], ...]


@messages.message("job.body-reply")
class BodyReply(msgspec.Struct, frozen=True):
    """The body of an item."""

    body: bytes


@messages.message("job.refusal")
class JobRefusal(msgspec.Struct, frozen=True):
    """A refusal that is passed on to the caller."""

    status: int
    code: str
    message: str
    ran: str = "no"
    retry_after: float | None = None

    @classmethod
    def of(cls, error: errors.Refused) -> "JobRefusal":
        """Return the message for a refusal."""
        return cls(
            error.status,
            error.code,
            error.message,
            error.ran,
            error.retry_after,
        )

    def error(self) -> errors.Refused:
        """Return the refusal that the message stands for."""
        return errors.Refused(
            self.status,
            self.code,
            self.message,
            ran=self.ran,
            retry_after=self.retry_after,
        )


@messages.message("job.progress")
class ProgressUpdate(msgspec.Struct, frozen=True):
    """Passes partial output from the previous owner of a partition.

    Attributes:
      part: Number of the partition.
      job: Id of a job of the partition.
      items: Partial output of items that were running.
    """

    part: int
    job: str
    items: tuple[itemwork.Progress, ...]


@messages.message("job.quota")
class QuotaAsk(msgspec.Struct, frozen=True):
    """Requests quota for the tokens of a job on its route.

    Attributes:
      route: Name of the route, or a ``jobquota.backlog_key``.
      job: Id of the job.
      tokens: Tokens of all items of the job.
      limit: Limit on the tokens of a workspace that wait on the route.
      part: Partition of the job; -1 from an earlier release.
      epoch: Epoch of the partition's owner, which asks.
      number: Number of the request among those for the partition, rising.
    """

    route: str
    job: str
    tokens: int
    limit: int
    part: int = -1
    epoch: int = 0
    number: int = 0


@messages.message("job.quota-reply")
class QuotaReply(msgspec.Struct, frozen=True):
    """Returns whether the quota is granted."""

    granted: bool


@messages.message("job.quota-granted")
class QuotaGranted(msgspec.Struct, frozen=True):
    """Tells the other quota host of a route which request was granted."""

    ask: QuotaAsk


class PartitionBacklog(msgspec.Struct, frozen=True, omit_defaults=True):
    """Waiting tokens of a partition.

    Attributes:
      part: Number of the partition.
      epoch: Epoch of its owner.
      counts: Waiting tokens by ``jobquota.backlog_key``, of the routes whose
        quota the receiver keeps.
      answered: Quota requests for the partition up to this number have been
        answered; jobs that were granted by them are in the counts while they
        wait or may yet be stored.
    """

    part: int
    epoch: int
    counts: dict[str, int]
    answered: int = 0


@messages.message("job.backlog")
class BacklogReport(msgspec.Struct, frozen=True):
    """Reports waiting tokens to a host that keeps the quota of routes."""

    rows: tuple[PartitionBacklog, ...]
