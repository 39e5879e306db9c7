"""What a host reports of its online work at each upstream, and how often."""

__all__ = ["OnlineReports", "REPEAT_S"]

import dataclasses

from camphortray import headroom

# Seconds after which a report is repeated while there is online work.
REPEAT_S = 1.0
# Seconds for which a measured latency counts towards the strain.
STRAIN_S = 0.5
# Weight of one latency in their mean.
STRAIN_WEIGHT = 0.1
# Least seconds from one report on an upstream to the next. A first
# arrival, and each doubling after it, is reported at once all the same.
SETTLE_S = 0.02
# A request counts as waiting for its first token for at most this long;
# one that is not streamed gives no sign when it starts to decode.
PENDING_S = 1.0
# Reports a host may send per second in the long run, and at once. A report
# on one upstream takes about 45 bytes, so that this stays near 1 KB/s.
RATE = 20.0
BURST = 60.0
RESERVE = 10.0


@dataclasses.dataclass(slots=True)
class Work:
    """Online work at one upstream as this host sees it.

    Attributes:
      begun: When each request still waiting for its first token began.
      flowing: Requests whose first token has come.
      strain: Mean of recent latencies as shares of their objectives; one
        long step is no breach of an objective that holds for a share.
      strained_at: When the last latency was measured.
      reported: What was reported last.
      reported_at: When.
    """

    begun: list[float] = dataclasses.field(default_factory=list)
    flowing: int = 0
    strain: float = 0.0
    strained_at: float = -STRAIN_S
    reported: headroom.Load = headroom.Load()
    reported_at: float = -REPEAT_S

    def load(self, now: float) -> headroom.Load:
        """Return the work as it is now."""
        if now - self.strained_at >= STRAIN_S:
            self.strain = 0.0
        pending = sum(1 for at in self.begun if at > now - PENDING_S)
        # Rounded, so that noise alone is no news.
        return headroom.Load(
            len(self.begun) + self.flowing, pending, round(self.strain, 1)
        )

    def note(self, now: float, strain: float) -> None:
        """Take a latency into the mean."""
        self.strain += STRAIN_WEIGHT * (strain - self.strain)
        self.strained_at = now


class OnlineReports:
    """Counts online work and says which reports are due."""

    def __init__(self) -> None:
        self.works: dict[str, Work] = {}
        self.allowance = BURST
        self.allowed_at = 0.0

    def work(self, upstream: str) -> Work:
        """Return the work at an upstream."""
        work = self.works.get(upstream)
        if work is None:
            work = self.works[upstream] = Work()
        return work

    def begun(self, now: float, upstream: str) -> None:
        """Count a request sent."""
        self.work(upstream).begun.append(now)

    def first_token(
        self, now: float, upstream: str, seconds: float, strain: float
    ) -> None:
        """Count a first token, ``seconds`` after its request began."""
        work = self.work(upstream)
        work.note(now, strain)
        if work.begun:
            began = now - seconds
            nearest = min(work.begun, key=lambda at: abs(at - began))
            work.begun.remove(nearest)
            work.flowing += 1

    def next_token(self, now: float, upstream: str, strain: float) -> None:
        """Take note of a later token."""
        self.work(upstream).note(now, strain)

    def ended(self, upstream: str) -> None:
        """Count a request as gone."""
        work = self.work(upstream)
        if work.flowing:
            work.flowing -= 1
        elif work.begun:
            work.begun.pop(0)

    def due(self, now: float) -> dict[str, headroom.Load]:
        """Return the reports to send now, by upstream."""
        self.refill(now)
        due = {}
        for name, work in self.works.items():
            load = work.load(now)
            # Arrivals may use all of the allowance, the rest leaves some.
            least = 1.0 if is_arrival(work, load) else RESERVE
            if self.allowance >= least and is_due(now, work, load):
                self.allowance -= 1
                work.reported = load
                work.reported_at = now
                due[name] = load
        self.forget_idle()
        return due

    def refill(self, now: float) -> None:
        """Add to the allowance what the time since has earned."""
        earned = (now - self.allowed_at) * RATE
        self.allowance = min(BURST, self.allowance + earned)
        self.allowed_at = now

    def forget_idle(self) -> None:
        """Drop upstreams with no work that everyone knows of."""
        idle = [
            name
            for name, work in self.works.items()
            if not work.begun and not work.flowing and not work.strain
            if work.reported == headroom.Load()
        ]
        for name in idle:
            del self.works[name]


def is_arrival(work: Work, load: headroom.Load) -> bool:
    """Return whether a first request waits, or twice as many as reported."""
    return load.pending >= max(1, 2 * work.reported.pending)


def is_due(now: float, work: Work, load: headroom.Load) -> bool:
    """Return whether a report differs enough, or is old enough."""
    reported = work.reported
    if is_arrival(work, load):
        return True
    quiet = now - work.reported_at
    if load == reported:
        return quiet >= REPEAT_S and load != headroom.Load()
    if quiet < SETTLE_S:
        return False
    if bool(load.in_flight) != bool(reported.in_flight):
        return True
    if bool(load.pending) != bool(reported.pending):
        return True
    # While requests wait, each one more takes back more slots, until
    # there are none left to take: a growth by a quarter is news.
    if load.pending > reported.pending * 1.25:
        return True
    return quiet >= REPEAT_S / 4
