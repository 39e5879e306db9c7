"""Notifies listeners of the progress of requests."""

__all__ = ["Listener", "Signals"]

from typing import ClassVar

from camphortray import kernel


class Listener:
    """Receives signals; calls are on the hot path and must be short.

    ``service`` and ``upstream`` are names, ``batch`` is true for batch work
    and false for online work, and times are in seconds.
    """

    def begun(self, service: str, upstream: str, batch: bool) -> None:
        """Handle that a request was sent to an upstream."""

    def first_token(
        self, service: str, upstream: str, batch: bool, seconds: float
    ) -> None:
        """Handle the first token, ``seconds`` after ``begun``."""

    def next_token(
        self, service: str, upstream: str, batch: bool, seconds: float
    ) -> None:
        """Handle another token, ``seconds`` after the one before."""

    def ended(
        self, service: str, upstream: str, batch: bool, good: bool
    ) -> None:
        """Handle the end of a request at an upstream; ``good`` on success."""

    def answered(self, service: str, batch: bool, good: bool) -> None:
        """Handle the end of a request for its caller.

        ``good`` is true if it was answered in full. A request refused as
        invalid is not signalled.
        """


@kernel.PARTS.register("entry", "batch")
class Signals(kernel.Part):
    """Sends each signal to all listeners.

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
        """Add a listener; it receives all later signals."""
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
