"""What a caller knows of the hosts, and which it should use next."""

__all__ = ["EndpointCache", "Plan", "may_resend", "pause_before"]

import collections
from collections.abc import Sequence
import dataclasses
import random

# Addresses among which a caller spreads its own requests.
SPREAD = 3
# Seconds for which an address that failed is used last.
EJECTED_S = 5.0
# Share of the time an answer may be kept after which it is asked for
# anew; the range spreads callers that began together.
REFRESH_SHARES = (0.5, 0.8)
# Refusals that another host, or another moment, may not give.
PASSING = frozenset({429, 502, 503, 504})
# Longest added to a time that a host asked to wait, as a share of it.
JITTER = 0.5
# Seconds before another try where no host said how long to wait.
MIN_PAUSE_S = 0.05
READS = frozenset({"GET", "HEAD"})


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """How a request may be treated.

    Attributes:
      method: HTTP method.
      idempotent: Whether its caller declares that it may run twice, or
        gives it a key by which the hosts see to it that it does not.
    """

    method: str
    idempotent: bool = False

    @property
    def repeatable(self) -> bool:
        """Whether it may be sent again though it may have run."""
        return self.idempotent or self.method in READS


def may_resend(plan: Plan, status: int, ran: str) -> bool:
    """Return whether a request may be sent to another address.

    Args:
      plan: Of the request.
      status: Of the refusal; 0 if no answer came.
      ran: ``"no"`` if it certainly did not run.
    """
    if status and status not in PASSING:
        return False
    return ran == "no" or plan.repeatable


def pause_before(retry_after: str, tries: int, rng: random.Random) -> float:
    """Return the seconds to wait before another try.

    Never less than a host asked for, and more by chance, so that the
    callers it sent away do not all come back at once.
    """
    try:
        wanted = max(float(retry_after), 0.0)
    except ValueError:
        wanted = MIN_PAUSE_S * 2**tries if retry_after else 0.0
    return wanted * (1 + JITTER * rng.random())


class EndpointCache:
    """Addresses of hosts, kept for as long as the hosts allow.

    Attributes:
      known: Addresses given by the caller's own settings.
      hosts: Addresses as the hosts told them, best first.
      expires: When these must not be used any more.
      refresh_at: When to ask for them anew.
      in_flight: The caller's own requests by address.
    """

    def __init__(self, known: Sequence[str], rng: random.Random) -> None:
        self.known = list(known)
        self.rng = rng
        self.hosts: list[str] = []
        self.expires = 0.0
        self.refresh_at = 0.0
        self.ejected: dict[str, float] = {}
        self.in_flight: collections.Counter[str] = collections.Counter()

    def take(self, hosts: Sequence[str], keep_s: float, now: float) -> None:
        """Take over an answer."""
        if not hosts:
            return
        self.hosts = list(hosts)
        self.expires = now + keep_s
        self.refresh_at = now + keep_s * self.rng.uniform(*REFRESH_SHARES)

    def sources(self, now: float) -> list[str]:
        """Return the addresses to ask for hosts, in order."""
        known = [each for each in self.known if each not in self.hosts]
        self.rng.shuffle(known)
        return sorted([*self.hosts, *known], key=lambda a: self.bad(a, now))

    def bad(self, address: str, now: float) -> bool:
        """Return whether an address failed a moment ago."""
        return self.ejected.get(address, now) > now

    def failed(self, address: str, now: float) -> None:
        """Use an address last for a while."""
        self.ejected = {a: at for a, at in self.ejected.items() if at > now}
        self.ejected[address] = now + EJECTED_S

    def choose(self, tried: frozenset[str], now: float) -> str | None:
        """Return the address to use, or None if all were tried.

        Hosts that the answer puts first get the caller's requests by
        turns, so that a large caller does not load one host alone.
        """
        fresh = self.hosts if now < self.expires else []
        left = [each for each in fresh or self.known if each not in tried]
        good = [each for each in left if not self.bad(each, now)]
        if not left:
            return None
        first = (good or left)[:SPREAD]
        return min(first, key=lambda address: self.in_flight[address])
