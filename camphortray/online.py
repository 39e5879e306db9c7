"""Tracks a host's online work at each upstream and when to report it."""

__all__ = ["OnlineReports", "REPEAT_S"]

import dataclasses

from camphortray import headroom

# Seconds after which an unchanged report is repeated while there is online
# work.
REPEAT_S = 1.0
# Seconds for which a measured latency counts towards the strain.
STRAIN_WINDOW_S = 0.5
# Weight of one latency in their exponential moving average.
STRAIN_WEIGHT = 0.1
# Minimum seconds between two reports on an upstream, except for a first
# pending request and each doubling of the pending requests.
MIN_INTERVAL_S = 0.02
# Maximum seconds for which a request counts as pending. A request that is not
# streamed does not show when its first token is generated.
MAX_PENDING_S = 1.0
# Sustained rate, burst size and reserve of the limit on reports of a host. A
# report on one upstream takes about 45 bytes, so the rate is about 1 KB/s.
REPORTS_PER_S = 20.0
BURST_REPORTS = 60.0
# Part of the burst that only reports of arrivals may use.
RESERVED_REPORTS = 10.0


@dataclasses.dataclass(slots=True)
class Work:
    """Online work of this host at one upstream.

    Attributes:
      begun: Start times of the requests without a first token yet.
      flowing: Number of requests with a first token.
      strain: Mean of recent latencies relative to their objectives. It is a
        mean because an objective must hold only for a share, so that one long
        step does not breach it.
      strained_at: When the last latency was measured.
      reported: Load that was last reported.
      reported_at: When it was reported.
    """

    begun: list[float] = dataclasses.field(default_factory=list)
    flowing: int = 0
    strain: float = 0.0
    strained_at: float = -STRAIN_WINDOW_S
    reported: headroom.Load = headroom.Load()
    reported_at: float = -REPEAT_S

    def load(self, now: float) -> headroom.Load:
        """Return the current load."""
        if now - self.strained_at >= STRAIN_WINDOW_S:
            self.strain = 0.0
        pending = sum(1 for at in self.begun if at > now - MAX_PENDING_S)
        # Rounded, so that noise does not cause reports.
        return headroom.Load(
            len(self.begun) + self.flowing, pending, round(self.strain, 1)
        )

    def add_latency(self, now: float, strain: float) -> None:
        """Add a latency, relative to its objective, to the mean."""
        self.strain += STRAIN_WEIGHT * (strain - self.strain)
        self.strained_at = now


class OnlineReports:
    """Counts online work and decides which reports are due.

    Attributes:
      works: Online work, by upstream.
      allowance: Number of reports that may be sent now.
      refilled_at: When the allowance was last refilled.
    """

    def __init__(self) -> None:
        self.works: dict[str, Work] = {}
        self.allowance = BURST_REPORTS
        self.refilled_at = 0.0

    def work(self, upstream: str) -> Work:
        """Return the work at an upstream, creating it if needed."""
        work = self.works.get(upstream)
        if work is None:
            work = self.works[upstream] = Work()
        return work

    def begun(self, now: float, upstream: str) -> None:
        """Count a request that was sent."""
        self.work(upstream).begun.append(now)

    def first_token(
        self, now: float, upstream: str, seconds: float, strain: float
    ) -> None:
        """Count a first token, ``seconds`` after its request began."""
        work = self.work(upstream)
        work.add_latency(now, strain)
        if work.begun:
            began = now - seconds
            nearest = min(work.begun, key=lambda at: abs(at - began))
            work.begun.remove(nearest)
            work.flowing += 1

    def next_token(self, now: float, upstream: str, strain: float) -> None:
        """Record the latency of a token after the first."""
        self.work(upstream).add_latency(now, strain)

    def ended(self, upstream: str) -> None:
        """Remove a request from the count."""
        work = self.work(upstream)
        if work.flowing:
            work.flowing -= 1
        elif work.begun:
            work.begun.pop(0)

    def due(self, now: float) -> dict[str, headroom.Load]:
        """Return the loads to report now, by upstream."""
        self.refill(now)
        due = {}
        for name, work in self.works.items():
            load = work.load(now)
            # Arrivals may use the whole allowance, other reports not the
            # reserve.
            required = 1.0 if is_arrival(work, load) else RESERVED_REPORTS
            if self.allowance >= required and is_due(now, work, load):
                self.allowance -= 1
                work.reported = load
                work.reported_at = now
                due[name] = load
        self.remove_idle()
        return due

    def refill(self, now: float) -> None:
        """Refill the allowance for the time elapsed."""
        earned = (now - self.refilled_at) * REPORTS_PER_S
        self.allowance = min(BURST_REPORTS, self.allowance + earned)
        self.refilled_at = now

    def remove_idle(self) -> None:
        """Remove upstreams without work whose last report said so."""
        idle = [
            name
            for name, work in self.works.items()
            if not work.begun and not work.flowing and not work.strain
            if work.reported == headroom.Load()
        ]
        for name in idle:
            del self.works[name]


def is_arrival(work: Work, load: headroom.Load) -> bool:
    """Return whether pending requests appeared or have at least doubled."""
    return load.pending >= max(1, 2 * work.reported.pending)


def is_due(now: float, work: Work, load: headroom.Load) -> bool:
    """Return whether a load has changed enough or its report is old enough."""
    reported = work.reported
    if is_arrival(work, load):
        return True
    elapsed_s = now - work.reported_at
    if load == reported:
        return elapsed_s >= REPEAT_S and load != headroom.Load()
    if elapsed_s < MIN_INTERVAL_S:
        return False
    if bool(load.in_flight) != bool(reported.in_flight):
        return True
    if bool(load.pending) != bool(reported.pending):
        return True
    # Each further pending request makes the coordinator revoke more slots, as
    # long as there are any, so that growth by a quarter is reported.
    if load.pending > reported.pending * 1.25:
        return True
    return elapsed_s >= REPEAT_S / 4
