"""Rate limits of workspaces, shared by hosts in proportion to demand.

A host that knows no share yet uses a small one. It reports to the host that
divides a workspace's limit what demand it sees, and is given a rate for a
time: a long one while demand is far below the limit, so that nearly all
workspaces cost nearly nothing.
"""

__all__ = ["Divider", "LocalLimits", "Share"]

import dataclasses
import math

# Share of a limit that hosts unknown to the divider use, all together.
UNKNOWN_SHARE = 0.1
# Seconds over which demand is averaged.
DEMAND_S = 5.0
# Demand below this, in requests per second, is forgotten.
NO_DEMAND = 0.01
# Share of a limit that a host lets through, or has as demand, before it
# reports. Most workspaces ask a host now and then and so cost no message.
FREE_SHARE = 0.1
# Growth of demand over the last report that is reported at once, and the least
# seconds between two reports for one workspace.
NEWS = 1.5
REPORT_EVERY_S = 1.0
# Seconds a share holds when the limit is far, and when it is near.
FAR_S = 20.0
NEAR_S = 4.0
# Demand up to this share of the limit is far from it.
FAR = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Share:
    """A host's share of a limit.

    Attributes:
      rate: Requests per second.
      seconds: How long it holds.
    """

    rate: float
    seconds: float


@dataclasses.dataclass(slots=True)
class Local:
    """A limited workspace as one host sees it.

    Attributes:
      limit: Requests per second over all hosts.
      demand: Requests per second asked for, refused ones included.
      tokens: Requests that may go at once.
      share: What the divider gave.
    """

    at: float
    limit: float
    tokens: float
    demand: float = 0.0
    share: Share | None = None
    share_until: float = 0.0
    reported: float = 0.0
    reported_at: float = -math.inf


class LocalLimits:
    """Limits as one host keeps them."""

    def __init__(self) -> None:
        self.locals: dict[str, Local] = {}

    def take(self, now: float, key: str, limit: float, hosts: int) -> float:
        """Ask for one request; return 0 if it may go, else a wait.

        Args:
          now: Monotonic seconds.
          key: Service and workspace.
          limit: Requests per second over all hosts.
          hosts: Hosts that take requests.
        """
        free = max(1.0, FREE_SHARE * limit)
        local = self.locals.setdefault(key, Local(now, limit, free))
        local.limit = limit
        passed = now - local.at
        local.at = now
        rate = self.rate(now, local, limit, hosts)
        # A little may always be saved up, however small the share.
        local.tokens = min(max(free, rate), local.tokens + passed * rate)
        local.demand *= math.exp(-passed / DEMAND_S)
        local.demand += 1 / DEMAND_S
        if local.tokens >= 1:
            local.tokens -= 1
            return 0.0
        return (1 - local.tokens) / rate

    def rate(
        self, now: float, local: Local, limit: float, hosts: int
    ) -> float:
        """Return the rate of this host."""
        if local.share is not None and now < local.share_until:
            return max(local.share.rate, 1e-6)
        if hosts <= 1:
            return limit
        # Alone with an old share: an even part is safe whatever others do.
        part = 1.0 if local.share is not None else UNKNOWN_SHARE
        return limit * part / hosts

    def due(self, now: float) -> dict[str, float]:
        """Return the demands to report, by key; forget those that ended."""
        due = {}
        for key, local in list(self.locals.items()):
            demand = local.demand * math.exp(-(now - local.at) / DEMAND_S)
            if demand < NO_DEMAND:
                del self.locals[key]
                continue
            few = demand < FREE_SHARE * local.limit and local.tokens >= 1
            if few and local.share is None:
                continue
            waited = now - local.reported_at
            grown = demand > NEWS * local.reported
            ends = local.share_until - now < REPORT_EVERY_S
            if waited >= REPORT_EVERY_S and (grown or ends):
                local.reported = demand
                local.reported_at = now
                due[key] = round(demand, 2)
        return due

    def give(self, now: float, key: str, share: Share) -> None:
        """Take a share from the divider."""
        local = self.locals.get(key)
        if local is not None:
            if local.share is None:
                # The wait for the first answer was not the caller's fault.
                local.tokens = max(local.tokens, share.rate)
            local.share = share
            local.share_until = now + share.seconds


class Divider:
    """Divides the limit of one workspace among the hosts that see demand."""

    def __init__(self) -> None:
        self.demands: dict[str, tuple[float, float]] = {}

    def divide(
        self, now: float, host: str, demand: float, limit: float, hosts: int
    ) -> Share:
        """Take a host's demand and return its share."""
        for name in [n for n, d in self.demands.items() if d[1] <= now]:
            del self.demands[name]
        self.demands[host] = (demand, now + FAR_S)
        total = sum(demand for demand, _ in self.demands.values())
        unknown = max(0, hosts - len(self.demands)) / max(1, hosts)
        usable = limit * (1 - UNKNOWN_SHARE * unknown)
        if total <= FAR * limit:
            # Room for this host's demand to grow; it reports when it does.
            return Share(demand + (usable - total) / 2, FAR_S)
        if total <= usable:
            part = demand / total
            return Share(demand + (usable - total) * part, NEAR_S)
        return Share(self.fair(usable, host), NEAR_S)

    def fair(self, usable: float, host: str) -> float:
        """Return a host's max-min fair part of what is less than all ask."""
        left = usable
        heads = len(self.demands)
        for name, (demand, _) in sorted(
            self.demands.items(), key=lambda held: (held[1][0], held[0])
        ):
            part = min(demand, left / heads)
            if name == host:
                return part
            left -= part
            heads -= 1
        return 0.0
