"""Which upstreams get no work for a while because they fail."""

__all__ = ["Outliers"]

from collections.abc import Collection
import dataclasses

# Failures in a row after which an upstream is put aside.
FAILURES = 5
FIRST_S = 2.0
LONGEST_S = 60.0
# Share of a service's upstreams that may be put aside. More than that
# failing at once points at this host's own network or at the requests;
# putting all aside would then refuse what a try might still answer.
MAX_SHARE = 0.5


@dataclasses.dataclass
class Record:
    """How an upstream did lately.

    Attributes:
      failures: In a row.
      times: How often it was put aside without a success between.
      until: When it may be used again.
    """

    failures: int = 0
    times: int = 0
    until: float = 0.0


class Outliers:
    """Puts upstreams aside that fail again and again."""

    def __init__(self) -> None:
        self.records: dict[str, Record] = {}

    def succeeded(self, name: str) -> None:
        """Forget an upstream's failures."""
        if name in self.records:
            del self.records[name]

    def failed(self, name: str, now: float) -> None:
        """Count a failure; time aside doubles each time."""
        record = self.records.setdefault(name, Record())
        record.failures += 1
        if record.failures >= FAILURES and now >= record.until:
            aside_s = min(FIRST_S * 2**record.times, LONGEST_S)
            record.until = now + aside_s
            record.times += 1
            # One more failure after its return is enough.
            record.failures = FAILURES - 1

    def ejected(self, names: Collection[str], now: float) -> set[str]:
        """Return which of ``names`` to leave out, never too many."""
        if not self.records:
            return set()
        aside = [
            name
            for name in names
            if name in self.records and self.records[name].until > now
        ]
        aside.sort(key=lambda name: self.records[name].until, reverse=True)
        return set(aside[: int(len(names) * MAX_SHARE)])

    def keep(self, names: Collection[str]) -> None:
        """Forget upstreams that are no longer declared."""
        for name in set(self.records) - set(names):
            del self.records[name]
