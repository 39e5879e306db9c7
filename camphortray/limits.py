"""Distributed rate limits of workspaces: token buckets with shared rates.

Each host reports the demand it sees for a workspace to the host that
allocates the workspace's limit, and gets a rate that is valid for some time.
The time is long while demand is far below the limit, so that most workspaces
cause few messages. A host without a share yet uses a small one.
"""

__all__ = ["LocalLimits", "Share", "ShareAllocator"]

import dataclasses
import math

# Share of a limit that all hosts without a share may use together.
UNALLOCATED_SHARE = 0.1
# Time constant of the moving average of demand, in seconds.
DEMAND_WINDOW_S = 5.0
# Demand in requests per second below which the state of a workspace is
# dropped.
MIN_DEMAND_PER_S = 0.01
# Share of a limit that a host may admit as a burst, or see as demand, without
# a report. Most workspaces call a host rarely and so cause no message.
FREE_SHARE = 0.1
# Demand is reported early if it exceeds the last report by this factor, but
# not before this time since that report.
REPORT_GROWTH = 1.5
MIN_REPORT_INTERVAL_S = 1.0
# Seconds for which a share is valid at low demand and at higher demand.
LOW_DEMAND_SHARE_S = 20.0
HIGH_DEMAND_SHARE_S = 4.0
# Total demand up to this share of the limit counts as low.
LOW_DEMAND_FRACTION = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Share:
    """A host's share of a limit.

    Attributes:
      rate: Requests per second.
      seconds: How long it is valid.
    """

    rate: float
    seconds: float


@dataclasses.dataclass(slots=True)
class LimitState:
    """Token bucket and demand of one rate-limited workspace on one host.

    Attributes:
      at: Time of the last update.
      limit: Requests per second over all hosts.
      tokens: Tokens in the bucket; a request takes one.
      demand: Requests per second received, including refused ones.
      share: The last share allocated to this host.
      share_until: Time at which that share expires.
      reported: Demand last reported to the allocator.
      reported_at: Time of that report.
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
    """The rate limits that one host enforces."""

    def __init__(self) -> None:
        self.states: dict[str, LimitState] = {}

    def take(self, now: float, key: str, limit: float, hosts: int) -> float:
        """Take a token for one request.

        Args:
          now: Monotonic time.
          key: Service and workspace.
          limit: Requests per second over all hosts.
          hosts: Number of hosts that accept requests.

        Returns:
          0 if there was a token, else the seconds until there is one.
        """
        free = max(1.0, FREE_SHARE * limit)
        state = self.states.setdefault(key, LimitState(now, limit, free))
        state.limit = limit
        elapsed_s = now - state.at
        state.at = now
        rate = self.rate(now, state, limit, hosts)
        # However small the share, the bucket holds at least a small burst.
        state.tokens = min(max(free, rate), state.tokens + elapsed_s * rate)
        state.demand *= math.exp(-elapsed_s / DEMAND_WINDOW_S)
        state.demand += 1 / DEMAND_WINDOW_S
        if state.tokens >= 1:
            state.tokens -= 1
            return 0.0
        return (1 - state.tokens) / rate

    def rate(
        self, now: float, state: LimitState, limit: float, hosts: int
    ) -> float:
        """Return the rate at which this host's bucket is refilled."""
        if state.share is not None and now < state.share_until:
            return max(state.share.rate, 1e-6)
        if hosts <= 1:
            return limit
        # Once its share has expired, the host uses an even split of the
        # limit, which is safe whatever the other hosts do.
        fraction = 1.0 if state.share is not None else UNALLOCATED_SHARE
        return limit * fraction / hosts

    def due_reports(self, now: float) -> dict[str, float]:
        """Return the demands to report, by key; drop idle workspaces."""
        due = {}
        for key, state in list(self.states.items()):
            demand = state.demand * math.exp(
                -(now - state.at) / DEMAND_WINDOW_S
            )
            if demand < MIN_DEMAND_PER_S:
                del self.states[key]
                continue
            is_small = demand < FREE_SHARE * state.limit and state.tokens >= 1
            if is_small and state.share is None:
                continue
            since_report_s = now - state.reported_at
            has_grown = demand > REPORT_GROWTH * state.reported
            expires = state.share_until - now < MIN_REPORT_INTERVAL_S
            if since_report_s >= MIN_REPORT_INTERVAL_S and (
                has_grown or expires
            ):
                state.reported = demand
                state.reported_at = now
                due[key] = round(demand, 2)
        return due

    def set_share(self, now: float, key: str, share: Share) -> None:
        """Put a share from the allocator in force."""
        state = self.states.get(key)
        if state is not None:
            if state.share is None:
                # Callers are not charged for the wait for the first share.
                state.tokens = max(state.tokens, share.rate)
            state.share = share
            state.share_until = now + share.seconds


class ShareAllocator:
    """Allocates the limit of one workspace to the hosts that see demand.

    Attributes:
      demands: Last reported demand and its expiry, by host.
    """

    def __init__(self) -> None:
        self.demands: dict[str, tuple[float, float]] = {}

    def allocate(
        self, now: float, host: str, demand: float, limit: float, hosts: int
    ) -> Share:
        """Record a host's demand and return its share."""
        for name in [n for n, d in self.demands.items() if d[1] <= now]:
            del self.demands[name]
        self.demands[host] = (demand, now + LOW_DEMAND_SHARE_S)
        total = sum(demand for demand, _ in self.demands.values())
        unknown = max(0, hosts - len(self.demands)) / max(1, hosts)
        usable = limit * (1 - UNALLOCATED_SHARE * unknown)
        if total <= LOW_DEMAND_FRACTION * limit:
            # Leaves headroom for this host's demand to grow; it reports
            # again when it does.
            return Share(demand + (usable - total) / 2, LOW_DEMAND_SHARE_S)
        if total <= usable:
            fraction = demand / total
            return Share(
                demand + (usable - total) * fraction, HIGH_DEMAND_SHARE_S
            )
        return Share(self.fair_rate(usable, host), HIGH_DEMAND_SHARE_S)

    def fair_rate(self, usable: float, host: str) -> float:
        """Return a host's max-min fair rate; demand exceeds the limit."""
        left = usable
        unserved = len(self.demands)
        for name, (demand, _) in sorted(
            self.demands.items(), key=lambda entry: (entry[1][0], entry[0])
        ):
            rate = min(demand, left / unserved)
            if name == host:
                return rate
            left -= rate
            unserved -= 1
        return 0.0
