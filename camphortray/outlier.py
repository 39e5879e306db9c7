"""Outlier detection: ejects upstreams that fail repeatedly."""

__all__ = ["Outliers"]

from collections.abc import Collection
import dataclasses

# Consecutive failures after which an upstream is ejected.
FAILURE_THRESHOLD = 5
# First and longest ejection.
EJECTION_S = 2.0
MAX_EJECTION_S = 60.0
# Share of a service's upstreams that may be ejected. If more fail at once,
# the cause is probably this host's network or the requests; ejecting all
# would then refuse requests that an attempt might still serve.
MAX_SHARE = 0.5


@dataclasses.dataclass
class FailureRecord:
    """Recent failures of an upstream.

    Attributes:
      failures: Consecutive failures.
      ejections: Ejections since the last success.
      ejected_until: When it may be used again.
    """

    failures: int = 0
    ejections: int = 0
    ejected_until: float = 0.0


class Outliers:
    """Ejects upstreams that fail repeatedly.

    Attributes:
      records: Upstreams that have failed since their last success.
    """

    def __init__(self) -> None:
        self.records: dict[str, FailureRecord] = {}

    def succeeded(self, name: str) -> None:
        """Forget an upstream's failures."""
        if name in self.records:
            del self.records[name]

    def failed(self, name: str, now: float) -> None:
        """Count a failure; each ejection lasts twice as long as the last."""
        record = self.records.setdefault(name, FailureRecord())
        record.failures += 1
        if (
            record.failures >= FAILURE_THRESHOLD
            and now >= record.ejected_until
        ):
            ejection_s = min(EJECTION_S * 2**record.ejections, MAX_EJECTION_S)
            record.ejected_until = now + ejection_s
            record.ejections += 1
            # One failure after its return ejects it again.
            record.failures = FAILURE_THRESHOLD - 1

    def ejected(self, names: Collection[str], now: float) -> set[str]:
        """Return the ejected ``names``, at most ``MAX_SHARE`` of them."""
        if not self.records:
            return set()
        ejected = [
            name
            for name in names
            if name in self.records and self.records[name].ejected_until > now
        ]
        ejected.sort(
            key=lambda name: self.records[name].ejected_until, reverse=True
        )
        return set(ejected[: int(len(names) * MAX_SHARE)])

    def keep(self, names: Collection[str]) -> None:
        """Forget upstreams that are no longer declared."""
        for name in set(self.records) - set(names):
            del self.records[name]
