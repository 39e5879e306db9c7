"""Detects poison requests, which crash the upstreams that run them."""

__all__ = ["Permits", "PoisonDetector", "Standing", "Verdict", "fingerprint"]

import dataclasses
import enum
import hashlib

# Reports of an upstream's crash within this time are about the same crash:
# many hosts report it, with slightly different clocks. An engine takes
# longer to restart, so two crashes are never merged.
SAME_CRASH_S = 3.0
# Time within which facts reach all hosts. Suspects are not retried sooner,
# so that every host knows all suspects of a crash and decides on complete
# reports.
SETTLE_S = 2.0
# Number of other upstreams that must crash without the request, and within
# how many seconds of its second crash, for the cause to be a shared failure
# (a lost zone or rack). Fewer may be another poison request, and must not
# exonerate this one.
MIN_RELATED_CRASHES = 2
RELATED_S = 5.0
# Length of a fingerprint in hexadecimal digits.
FINGERPRINT_DIGITS = 24
# Time for which requests in flight at a crash remain suspect.
SUSPECT_S = 900.0


class Standing(enum.Enum):
    """How a request may run."""

    FREE = "free"
    ISOLATED = "apart"
    QUARANTINED = "quarantined"


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """How a request may run, and when.

    Attributes:
      standing: How it may run.
      at: Wall-clock seconds; the start for ``ISOLATED``, the end for
        ``QUARANTINED``.
    """

    standing: Standing
    at: float = 0.0


FREE = Verdict(Standing.FREE)


@dataclasses.dataclass(slots=True)
class Crash:
    """One crash, merged from the reports of all hosts that observed it.

    Attributes:
      upstream: Name of the upstream.
      at: Time of the first report received, in wall-clock seconds.
      suspects: Fingerprints of the requests in flight there, without those
        cleared since.
      explained: Whether the request that caused it is known.
    """

    upstream: str
    at: float
    suspects: set[str]
    explained: bool = False


def fingerprint(model: str, text: str) -> str:
    """Return a fingerprint that is the same when a request is sent again.

    Runs of white space and the other fields are ignored: the cause of an
    engine crash is nearly always the text, and a caller that retries may
    change a header or the temperature.

    >>> fingerprint("m", "a  b") == fingerprint("m", "a b ")
    True
    """
    words = " ".join(text.split())
    content = f"{model}\0{words}".encode(errors="replace")
    # The hash is cryptographic, as a caller able to forge another caller's
    # fingerprint could have that caller's requests quarantined. It is
    # computed only while some request is suspect.
    return hashlib.sha256(content).hexdigest()[:FINGERPRINT_DIGITS]


class PoisonDetector:
    """Tracks crashes and the requests in flight at each.

    A request is poison if it is the *only one* that was in flight at two
    crashes. One crash is no proof: all requests in flight become suspects
    and are isolated. As suspects do not run beside each other, the second
    crash of a poison request involves no other suspect, so the only request
    common to both crashes is the cause. The other requests of both crashes
    are then cleared.

    The state is a pure function of the reports, which reach all hosts, so
    all hosts decide alike without coordination.

    Attributes:
      quarantine_s: Duration of a quarantine.
      crashes: Recent crashes.
      quarantined: End of the quarantine by fingerprint, wall-clock seconds.
    """

    def __init__(self, quarantine_s: float = 3600.0) -> None:
        self.quarantine_s = quarantine_s
        self.crashes: list[Crash] = []
        self.quarantined: dict[str, float] = {}

    def report(self, upstream: str, at: float, suspects: set[str]) -> None:
        """Add one host's report of a crash at wall-clock time ``at``."""
        suspects = set(suspects)
        for crash in self.crashes:
            if crash.upstream == upstream and (
                abs(crash.at - at) <= SAME_CRASH_S
            ):
                crash.suspects |= suspects
                break
        else:
            crash = Crash(upstream, at, suspects)
            self.crashes.append(crash)
        if any(name in self.quarantined for name in crash.suspects):
            crash.explained = True

    def clear(self, name: str, at: float) -> None:
        """Record that a request succeeded at wall-clock time ``at``."""
        for crash in self.crashes:
            if crash.at <= at:
                crash.suspects.discard(name)
        self.quarantined.pop(name, None)

    def verdict(self, name: str, now: float) -> Verdict:
        """Return how a request may run."""
        if not self.crashes and not self.quarantined:
            return FREE
        self.decide(now)
        until = self.quarantined.get(name, 0.0)
        if until > now:
            return Verdict(Standing.QUARANTINED, until)
        involved = [c for c in self.open_crashes() if name in c.suspects]
        if not involved:
            return FREE
        return Verdict(
            Standing.ISOLATED, max(crash.at for crash in involved) + SETTLE_S
        )

    def open_crashes(self) -> list[Crash]:
        """Return the crashes whose cause is not known."""
        return [crash for crash in self.crashes if not crash.explained]

    def decide(self, now: float) -> None:
        """Drop expired state and quarantine requests proved to be poison."""
        self.crashes = [c for c in self.crashes if c.at > now - SUSPECT_S]
        for name in [n for n, t in self.quarantined.items() if t <= now]:
            del self.quarantined[name]
        settled = [c for c in self.open_crashes() if c.at <= now - SETTLE_S]
        settled.sort(key=lambda crash: crash.at)
        for number, second in enumerate(settled):
            for first in settled[:number]:
                self.compare(first, second)

    def compare(self, first: Crash, second: Crash) -> None:
        """Quarantine the only request common to two crashes."""
        common = first.suspects & second.suspects
        if len(common) != 1 or first.explained or second.explained:
            return
        (name,) = common
        if self.is_shared_failure(name, second):
            return
        self.quarantined[name] = second.at + self.quarantine_s
        for crash in self.crashes:
            if name in crash.suspects:
                crash.explained = True

    def is_shared_failure(self, name: str, crash: Crash) -> bool:
        """Return whether other upstreams crashed too without the request."""
        others = {
            other.upstream
            for other in self.crashes
            if other.upstream != crash.upstream
            and abs(other.at - crash.at) <= RELATED_S
            and not other.explained
            and name not in other.suspects
        }
        return len(others) >= MIN_RELATED_CRASHES


@dataclasses.dataclass(frozen=True, slots=True)
class Permit:
    """Lease on an upstream for one suspect.

    Attributes:
      holder: Unique name of the attempt that holds it.
      until: Expiry in monotonic seconds.
    """

    holder: str
    until: float


class Permits:
    """Grants each upstream to one suspect at a time.

    This is soft state of the upstream's coordinator. If two hosts ever hold
    a permit for one upstream, a crash there has two suspects and proves
    nothing: detection takes longer, but no innocent request is blamed.
    """

    def __init__(self) -> None:
        self.held: dict[str, Permit] = {}

    def ask(
        self, upstream: str, holder: str, until: float, now: float
    ) -> bool:
        """Grant or renew a permit, unless another holder has it."""
        held = self.held.get(upstream)
        if held is not None and held.until > now and held.holder != holder:
            return False
        self.held[upstream] = Permit(holder, until)
        return True

    def done(self, upstream: str, holder: str) -> None:
        """Release a permit, if ``holder`` still has it."""
        held = self.held.get(upstream)
        if held is not None and held.holder == holder:
            del self.held[upstream]
