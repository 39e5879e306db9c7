"""Crashes of engines at requests, counted over all hosts."""

__all__ = ["CrashReports"]

from typing import ClassVar

from camphortray import crash_counter
from camphortray import kernel
from camphortray import membership

BREAK = "request-break"


@kernel.PARTS.register("host")
class CrashReports(kernel.Part):
    """Crashes at all requests, over all hosts.

    Attributes:
      book: What is known here.
    """

    name: ClassVar[str] = "breaks"
    requires: ClassVar[tuple[str, ...]] = ("membership",)

    def __init__(self, context: kernel.Context) -> None:
        self.clock = context.clock
        self.members = context.part(membership.Membership)
        self.book = crash_counter.CrashCounter()
        self.members.on_fact(BREAK, self.on_break)

    @classmethod
    def from_config(cls, context: kernel.Context) -> "CrashReports":
        return cls(context)

    def on_break(self, fact: membership.Fact) -> None:
        """Take note of a break at any host."""
        fingerprint, _, name = fact.key.partition("/")
        self.book.note(fingerprint, name, self.clock.monotonic())

    def report(self, fingerprint: str, name: str) -> None:
        """Tell all hosts of a break."""
        key = f"{fingerprint}/{name}"
        self.members.publish(BREAK, key, 1, crash_counter.KEEP_S)

    def barred(self, fingerprint: str) -> bool:
        """Return whether a request is not to be run again."""
        return self.book.barred(fingerprint, self.clock.monotonic())
