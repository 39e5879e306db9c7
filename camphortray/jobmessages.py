"""Messages about batch jobs between hosts and the owners of partitions."""

__all__ = [
    "BodyAsk",
    "BodyReply",
    "EndAsk",
    "JobRefusal",
    "PageAsk",
    "PageReply",
    "ProgressUpdate",
    "QuotaAsk",
    "QuotaReply",
    "SubmitAsk",
    "Taken",
]

import dataclasses

from camphortray import errors
from camphortray import itemwork
from camphortray import messages
from camphortray import partition_records


@messages.message("job.submit")
@dataclasses.dataclass(frozen=True, slots=True)
class SubmitAsk:
    """Asks the owner to accept a job, with all its items."""

    job: partition_records.JobPart


@messages.message("job.page")
@dataclasses.dataclass(frozen=True, slots=True)
class PageAsk:
    """Asks the owner for results from a position on.

    Attributes:
      wait_s: Time to wait for one if there is none yet.
      workspace: Whose jobs the caller may see; None for all.
    """

    job: str
    after: int
    wait_s: float
    workspace: str | None = None


@messages.message("job.body")
@dataclasses.dataclass(frozen=True, slots=True)
class BodyAsk:
    """Asks the owner for the body of an item.

    Attributes:
      workspace: As of ``PageAsk``.
    """

    job: str
    item: str
    workspace: str | None = None


@messages.message("job.end")
@dataclasses.dataclass(frozen=True, slots=True)
class EndAsk:
    """Asks the owner to end a job.

    Attributes:
      workspace: As of ``PageAsk``.
    """

    job: str
    workspace: str | None = None


@messages.message("job.taken")
@dataclasses.dataclass(frozen=True, slots=True)
class Taken:
    """Says that what was asked for is kept."""


@messages.message("job.page-reply")
@dataclasses.dataclass(frozen=True, slots=True)
class PageReply:
    """Results of a job.

    Attributes:
      total: Items of the job.
      after: Position of the first result here.
      results: Ids, states and texts.
    """

    total: int
    after: int
    results: tuple[tuple[str, partition_records.State, bytes], ...]


@messages.message("job.body-reply")
@dataclasses.dataclass(frozen=True, slots=True)
class BodyReply:
    """The body of an item."""

    body: bytes


@messages.message("job.refusal")
@dataclasses.dataclass(frozen=True, slots=True)
class JobRefusal:
    """A refusal on its way to the caller."""

    status: int
    code: str
    message: str
    ran: str = "no"
    retry_after: float | None = None

    @classmethod
    def of(cls, error: errors.Refused) -> "JobRefusal":
        """Return what travels for a refusal."""
        return cls(
            error.status,
            error.code,
            error.message,
            error.ran,
            error.retry_after,
        )

    def error(self) -> errors.Refused:
        """Return the refusal that travelled."""
        return errors.Refused(
            self.status,
            self.code,
            self.message,
            ran=self.ran,
            retry_after=self.retry_after,
        )


@messages.message("job.progress")
@dataclasses.dataclass(frozen=True, slots=True)
class ProgressUpdate:
    """Tells the owner of a partition what the one before has got.

    Attributes:
      part: The partition.
      job: Id of a job in it.
      items: Of items that were under way.
    """

    part: int
    job: str
    items: tuple[itemwork.Progress, ...]


@messages.message("job.quota")
@dataclasses.dataclass(frozen=True, slots=True)
class QuotaAsk:
    """Asks for room for the tokens of a job on its route.

    Attributes:
      route: Name of the route.
      job: Id of the job.
      tokens: Of all its items.
      limit: Tokens that may wait on the route.
    """

    route: str
    job: str
    tokens: int
    limit: int


@messages.message("job.quota-reply")
@dataclasses.dataclass(frozen=True, slots=True)
class QuotaReply:
    """Says whether there is room."""

    granted: bool
