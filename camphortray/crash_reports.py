"""Shares reports of engine crashes among all hosts."""

__all__ = ["CrashReports"]

from typing import ClassVar

from camphortray import crash_counter
from camphortray import kernel
from camphortray import membership

# Kind of the fact that a request was in flight at a crash.
CRASH_FACT = "request-break"


@kernel.PARTS.register("host")
class CrashReports(kernel.Part):
    """Publishes crashes by request and counts those of all hosts.

    Attributes:
      counter: Crashes reported to this host.
    """

    name: ClassVar[str] = "breaks"
    requires: ClassVar[tuple[str, ...]] = ("membership",)

    def __init__(self, context: kernel.Context) -> None:
        self.clock = context.clock
        self.members = context.part(membership.Membership)
        self.counter = crash_counter.CrashCounter()
        self.members.on_fact(CRASH_FACT, self.on_crash)

    @classmethod
    def from_config(cls, context: kernel.Context) -> "CrashReports":
        return cls(context)

    def on_crash(self, fact: membership.Fact) -> None:
        """Count a crash reported by any host."""
        fingerprint, _, engine = fact.key.partition("/")
        self.counter.record(fingerprint, engine, self.clock.monotonic())

    def report(self, fingerprint: str, engine: str) -> None:
        """Report a crash to all hosts, this one included.

        Args:
          fingerprint: Of the request in flight.
          engine: Name of the engine's incarnation.
        """
        key = f"{fingerprint}/{engine}"
        self.members.publish(CRASH_FACT, key, 1, crash_counter.CRASH_TTL_S)

    def barred(self, fingerprint: str) -> bool:
        """Return whether a request must not be run again."""
        return self.counter.barred(fingerprint, self.clock.monotonic())
