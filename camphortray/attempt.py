"""Tracks whether a record that is being appended may be in the log."""

__all__ = ["Attempt"]

from camphortray import errors


class Attempt:
    """The append of one record, sent one or more times.

    Attributes:
      maybe_appended: Whether the log may hold the record, or may yet receive
        it by a request whose answer was lost.
      last: The last error, for error messages.
    """

    def __init__(self) -> None:
        self.maybe_appended = False
        self.last: errors.LogError | None = None

    def on_accepted(self) -> None:
        """Record that the log accepted it; only a read-back confirms it."""
        self.maybe_appended = True

    def on_timeout(self) -> None:
        """Record that the log did not answer in time."""
        self.maybe_appended = True

    def on_error(self, error: errors.LogError) -> None:
        """Record an error; only ``LogRefused`` rules out an append.

        A refusal does not settle an earlier attempt whose answer was lost:
        that request may still reach the log.
        """
        self.last = error
        if not isinstance(error, errors.LogRefused):
            self.maybe_appended = True

    def final_error(self, stream: str) -> errors.LogError:
        """Return the error to raise if the record was not read back."""
        if self.maybe_appended:
            return errors.AppendUnknown(
                f"not read back in time: {self.last}",
                step="append",
                peer=stream,
            )
        return errors.LogRefused(
            f"refused until the end: {self.last}", step="append", peer=stream
        )
