"""Which requests crash the upstreams that run them, and which do not."""

__all__ = ["Permits", "PoisonBook", "Standing", "Verdict", "fingerprint"]

import dataclasses
import enum
import hashlib

# Reports of one crash come from many hosts, and their clocks differ a
# little. An engine takes longer than this to come back, so two crashes of
# one upstream are never taken for one.
SAME_CRASH_S = 3.0
# Facts reach all hosts within this time. Suspects wait for it before they
# run again, so that every host knows all suspects of a crash, and nothing
# is decided on half of the reports.
SETTLE_S = 2.0
# So many other upstreams crashing this close to the second crash, without
# the request, point at a fault of the place (a zone or rack lost). Fewer
# may be another poison request, and must not let this one off.
RELATED = 2
RELATED_S = 5.0
# Hexadecimal digits of a fingerprint.
DIGITS = 24
# How long a crash is held against the requests in flight at it.
SUSPECT_S = 900.0


class Standing(enum.Enum):
    """How a request may run."""

    FREE = "free"
    APART = "apart"
    QUARANTINED = "quarantined"


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """How a request may run, and when.

    Attributes:
      standing: How.
      at: From when on, for ``APART``; until when, for ``QUARANTINED``;
        wall-clock seconds.
    """

    standing: Standing
    at: float = 0.0


FREE = Verdict(Standing.FREE)


@dataclasses.dataclass(slots=True)
class Crash:
    """One crash as all hosts that saw it report it.

    Attributes:
      upstream: Which upstream.
      at: When the first report was made, wall-clock seconds.
      suspects: Fingerprints in flight there, but those cleared since.
      explained: Whether the request that did it is known.
    """

    upstream: str
    at: float
    suspects: set[str]
    explained: bool = False


def fingerprint(model: str, text: str) -> str:
    """Return what tells one request from another, sent again or not.

    Runs of white space and the caller's other fields do not count: what
    crashes an engine is nearly always the text, and a caller that sends
    again may change a header or the temperature.

    >>> fingerprint("m", "a  b") == fingerprint("m", "a b ")
    True
    """
    words = " ".join(text.split())
    content = f"{model}\0{words}".encode(errors="replace")
    # A caller who could make another's fingerprint could have the other's
    # requests quarantined, so a fast hash will not do. It is worked out
    # only while something is under suspicion.
    return hashlib.sha256(content).hexdigest()[:DIGITS]


class PoisonBook:
    """Crashes, and who was in flight at them.

    A request is poison when it is the *only one* that was in flight at
    two crashes. One crash proves nothing: everybody in flight is a
    suspect and runs apart. With suspects apart, the second crash of a
    poison request has no other suspect beside it, so the only request
    common to both is the one that did it; the others of both crashes are
    innocent at once and wait no longer.

    The state is a pure function of the reports, which reach all hosts, so
    that all decide alike without asking each other.
    """

    def __init__(self, quarantine_s: float = 3600.0) -> None:
        self.quarantine_s = quarantine_s
        self.crashes: list[Crash] = []
        self.quarantined: dict[str, float] = {}

    def report(self, upstream: str, at: float, suspects: set[str]) -> None:
        """Take one host's report of a crash at wall-clock time ``at``."""
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
        """Take note that a request went well at ``at``."""
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
        held = [c for c in self.open_crashes() if name in c.suspects]
        if not held:
            return FREE
        return Verdict(
            Standing.APART, max(crash.at for crash in held) + SETTLE_S
        )

    def open_crashes(self) -> list[Crash]:
        """Return the crashes not explained yet."""
        return [crash for crash in self.crashes if not crash.explained]

    def decide(self, now: float) -> None:
        """Forget what is old and look for proofs."""
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
        if self.of_the_place(name, second):
            return
        self.quarantined[name] = second.at + self.quarantine_s
        for crash in self.crashes:
            if name in crash.suspects:
                crash.explained = True

    def of_the_place(self, name: str, crash: Crash) -> bool:
        """Return whether several crashed about then without the request."""
        others = {
            other.upstream
            for other in self.crashes
            if other.upstream != crash.upstream
            and abs(other.at - crash.at) <= RELATED_S
            and not other.explained
            and name not in other.suspects
        }
        return len(others) >= RELATED


@dataclasses.dataclass(frozen=True, slots=True)
class Permit:
    """Leave to run one suspect on an upstream, until a time."""

    holder: str
    until: float


class Permits:
    """One suspect at a time on each upstream.

    Soft state of the upstream's coordinator. Were two hosts to hold a
    permit for one upstream, a crash there would have two suspects and
    prove nothing; that costs time and never an innocent.
    """

    def __init__(self) -> None:
        self.held: dict[str, Permit] = {}

    def ask(
        self, upstream: str, holder: str, until: float, now: float
    ) -> bool:
        """Give a permit to ``holder``, unless another has it."""
        held = self.held.get(upstream)
        if held is not None and held.until > now and held.holder != holder:
            return False
        self.held[upstream] = Permit(holder, until)
        return True

    def done(self, upstream: str, holder: str) -> None:
        """Take a permit back."""
        held = self.held.get(upstream)
        if held is not None and held.holder == holder:
            del self.held[upstream]
