"""What requests go through, told as it happens to whoever steers by it."""

__all__ = ["Listener", "Signals"]

from typing import ClassVar

from camphortray import kernel


class Listener:
    """Takes signals; each call is short, as it is on the hot path.

    ``service`` and ``upstream`` are names, ``batch`` tells batch work
    from online work, times are in seconds.
    """

    def begun(self, service: str, upstream: str, batch: bool) -> None:
        """Take note: a request was sent to an upstream."""

    def first_token(
        self, service: str, upstream: str, batch: bool, seconds: float
    ) -> None:
        """Take note: the first token came, so long after ``begun``."""

    def next_token(
        self, service: str, upstream: str, batch: bool, seconds: float
    ) -> None:
        """Take note: another token came, so long after the one before."""

    def ended(
        self, service: str, upstream: str, batch: bool, good: bool
    ) -> None:
        """Take note: the request left the upstream."""

    def answered(self, service: str, batch: bool, good: bool) -> None:
        """Take note: a request has ended for whoever asked.

        ``good`` says whether it was answered in full. A request refused
        for its own fault is not told.
        """


@kernel.PARTS.register("entry", "batch")
class Signals(kernel.Part):
    """Passes signals on to all listeners.

    Attributes:
      listeners: Called in order of addition.
    """

    name: ClassVar[str] = "signals"

    def __init__(self) -> None:
        self.listeners: list[Listener] = []

    @classmethod
    def from_config(cls, context: kernel.Context) -> "Signals":
        return cls()

    def add(self, listener: Listener) -> None:
        """Let a listener hear all signals from now on."""
        self.listeners.append(listener)

    def begun(self, service: str, upstream: str, batch: bool) -> None:
        """See ``Listener``."""
        for listener in self.listeners:
            listener.begun(service, upstream, batch)

    def first_token(
        self, service: str, upstream: str, batch: bool, seconds: float
    ) -> None:
        """See ``Listener``."""
        for listener in self.listeners:
            listener.first_token(service, upstream, batch, seconds)

    def next_token(
        self, service: str, upstream: str, batch: bool, seconds: float
    ) -> None:
        """See ``Listener``."""
        for listener in self.listeners:
            listener.next_token(service, upstream, batch, seconds)

    def ended(
        self, service: str, upstream: str, batch: bool, good: bool
    ) -> None:
        """See ``Listener``."""
        for listener in self.listeners:
            listener.ended(service, upstream, batch, good)

    def answered(self, service: str, batch: bool, good: bool) -> None:
        """See ``Listener``."""
        for listener in self.listeners:
            listener.answered(service, batch, good)
