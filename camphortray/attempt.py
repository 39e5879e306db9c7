"""What is known of a record while it is on its way to the log."""

__all__ = ["Attempt"]

from camphortray import errors


class Attempt:
    """One record, sent once or more.

    Attributes:
      maybe_taken: Whether the log may have it, or may yet get it from a
        request whose answer was lost.
      last: The last error, for people.
    """

    def __init__(self) -> None:
        self.maybe_taken = False
        self.last: errors.LogError | None = None

    def on_taken(self) -> None:
        """Note that the log took it; only reading it back counts."""
        self.maybe_taken = True

    def on_silence(self) -> None:
        """Note that no answer came in time."""
        self.maybe_taken = True

    def on_error(self, error: errors.LogError) -> None:
        """Note an error; only ``LogRefused`` says that it was not taken.

        One refusal does not take back an earlier doubt: the request
        whose answer was lost may still be under way.
        """
        self.last = error
        if not isinstance(error, errors.LogRefused):
            self.maybe_taken = True

    def given_up(self, stream: str) -> errors.LogError:
        """Return the error to raise for a record not read back."""
        if self.maybe_taken:
            return errors.AppendUnknown(
                f"not read back in time: {self.last}",
                step="append",
                peer=stream,
            )
        return errors.LogRefused(
            f"refused until the end: {self.last}", step="append", peer=stream
        )
