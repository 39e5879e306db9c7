"""Exceptions of the package; each carries the step and the peer."""

__all__ = [
    "AppendUnknown",
    "CamphortrayError",
    "ConfigError",
    "Fault",
    "LogError",
    "LogFenced",
    "LogRefused",
    "LogTruncated",
    "LogUnavailable",
    "MessageError",
    "NoSlot",
    "NoVersion",
    "NotOwner",
    "OutputTooLarge",
    "PluginError",
    "RateExceeded",
    "RecordError",
    "Refused",
    "UpstreamBroken",
    "UpstreamError",
    "UpstreamFault",
    "UpstreamGarbled",
    "UpstreamRefused",
    "UpstreamTimeout",
    "UpstreamUnsendable",
]

import msgspec

from camphortray import answer_source


class CamphortrayError(Exception):
    """Base of all errors of the package.

    Args:
      message: What went wrong, one short sentence.
      step: What was being done, e.g. ``"append"``.
      peer: Whom it was done with, e.g. ``"log 127.0.0.1:9000"``.
    """

    def __init__(
        self, message: str, *, step: str = "", peer: str = ""
    ) -> None:
        super().__init__(message)
        self.message = message
        self.step = step
        self.peer = peer

    def __str__(self) -> str:
        where = " ".join(part for part in (self.step, self.peer) if part)
        return f"{where}: {self.message}" if where else self.message


class Fault(msgspec.Struct, frozen=True):
    """One fault in a settings file.

    Attributes:
      file: Name of the file.
      key: Dotted key, e.g. ``host.name``.
      found: The value found, as text.
      expected: What would have been right.
    """

    file: str
    key: str
    found: str
    expected: str

    def __str__(self) -> str:
        return (
            f"{self.file}: {self.key}: found {self.found},"
            f" expected {self.expected}"
        )


class ConfigError(CamphortrayError):
    """Settings do not pass their check; ``faults`` lists every fault."""

    def __init__(self, faults: tuple[Fault, ...]) -> None:
        super().__init__(
            "\n".join(str(fault) for fault in faults), step="check"
        )
        self.faults = faults

    def __str__(self) -> str:
        return self.message


class PluginError(CamphortrayError):
    """A plug-in is not known or failed to start."""


class MessageError(CamphortrayError):
    """A peer message cannot be read."""


class RecordError(CamphortrayError):
    """A log record cannot be read."""


class LogError(CamphortrayError):
    """Base of the errors of the platform's log."""


class LogRefused(LogError):
    """The log certainly did not take the record."""


class LogUnavailable(LogError):
    """The log did not answer; a record may have been taken."""


class AppendUnknown(LogError):
    """The writer gave up before it could read its record back."""


class LogTruncated(LogError):
    """The offset asked for lies before the first kept record.

    Attributes:
      first: Offset of the first record kept.
    """

    def __init__(self, first: int, *, step: str = "", peer: str = "") -> None:
        super().__init__(f"log starts at {first}", step=step, peer=peer)
        self.first = first


class LogFenced(LogError):
    """Another writer has taken the partition over."""


class NoSlot(CamphortrayError):
    """No engine has room in time.

    Attributes:
      retry_after_s: Seconds until there will be room, as expected.
      provisional: Whether it was refused by a share, so that there may be
        room elsewhere, or as soon as the coordinator knows of it.
    """

    def __init__(
        self, message: str, retry_after_s: float, provisional: bool = False
    ) -> None:
        super().__init__(message, step="place")
        self.retry_after_s = retry_after_s
        self.provisional = provisional


class RateExceeded(NoSlot):
    """The workspace has reached the limit on its online requests."""


class NoVersion(CamphortrayError):
    """It is not known at which software version a stream began."""


class NotOwner(CamphortrayError):
    """This host does not own the shard."""


class UpstreamError(CamphortrayError):
    """Base of errors met at an upstream.

    Attributes:
      ran: False only where the upstream certainly did not run it.
      source: Where the answer came from, if a request was sent.
    """

    ran = True
    source: answer_source.AnswerSource | None = None


class UpstreamRefused(UpstreamError):
    """The upstream refused.

    Attributes:
      status: HTTP status of the refusal.
      leaving: True when the upstream says it is draining.
    """

    def __init__(
        self,
        message: str,
        *,
        status: int,
        ran: bool,
        leaving: bool = False,
        step: str = "",
        peer: str = "",
    ) -> None:
        super().__init__(message, step=step, peer=peer)
        self.status = status
        self.ran = ran
        self.leaving = leaving


class UpstreamBroken(UpstreamError):
    """The connection broke; ``ran`` is False if no byte had left.

    Attributes:
      paused_s: Seconds that this process stood still, as far as it noticed,
        since the last byte of the answer.
    """

    def __init__(
        self,
        message: str,
        *,
        ran: bool,
        step: str = "",
        peer: str = "",
        paused_s: float = 0.0,
    ) -> None:
        super().__init__(message, step=step, peer=peer)
        self.ran = ran
        self.paused_s = paused_s


class UpstreamGarbled(UpstreamBroken):
    """What the upstream sent is no answer, or not one to the request."""


class OutputTooLarge(UpstreamGarbled):
    """The output of an item is larger than a result may be."""


class UpstreamUnsendable(UpstreamBroken):
    """A request has a head that cannot be sent; no upstream is to blame."""


class UpstreamTimeout(UpstreamBroken):
    """The upstream stayed silent past its time limit."""


class UpstreamFault(UpstreamError):
    """A try failed by an error that no code expects.

    It is this program's or a library's; what it says of the upstream and of
    the request is nothing.
    """


class Refused(CamphortrayError):
    """A request is refused; the HTTP shell turns it into JSON.

    Attributes:
      status: HTTP status.
      code: Short name of the refusal, listed in docs/REFUSALS.md.
      field: Field of the request at fault, if one is.
      ran: ``"no"`` or ``"unknown"``; sent as ``Camphortray-Ran``.
      retry_after: Seconds until a new try is welcome, if known.
    """

    def __init__(
        self,
        status: int,
        code: str,
        message: str,
        *,
        field: str = "",
        ran: str = "no",
        retry_after: float | None = None,
    ) -> None:
        super().__init__(message, step="request")
        self.status = status
        self.code = code
        self.field = field
        self.ran = ran
        self.retry_after = retry_after
