"""How many batch slots an upstream can give without harm to online work."""

__all__ = [
    "FixedShare",
    "Headroom",
    "LatencySteered",
    "Load",
    "PROFILES",
    "Profile",
    "RecentBurst",
    "headroom_for",
]

import abc
import collections
import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """Online work at one upstream, over all hosts that told of it.

    Attributes:
      in_flight: Requests at the upstream.
      pending: Those of them whose first token has not come.
      strain: Worst recent latency as a share of its objective; 1.0 is
        just met.
    """

    in_flight: int = 0
    pending: int = 0
    strain: float = 0.0

    def __add__(self, other: "Load") -> "Load":
        return Load(
            self.in_flight + other.in_flight,
            self.pending + other.pending,
            max(self.strain, other.strain),
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Profile:
    """How one priority weighs online latency against batch throughput.

    Attributes:
      yield_per_pending: Slots taken back for each online request that
        waits for its first token. Prompts are read in the order of
        arrival and one step reads several, so that each batch stream
        makes exactly the steps longer that a burst waits for.
      burst_arrivals: Online requests that come within ``BURST_S`` and so
        make a burst. All slots are taken back until it is over: each
        request of a burst waits for steps that batch streams lengthen,
        while for a single one that is not worth reading prompts again.
      growth_per_s: Slots added per second; see ``Headroom.growth``.
      settle_s: Seconds without a waiting request before slots grow.
      pace_s: Seconds from one batch item that begins to the next. Prompts
        that come together are read in one long step, which an online
        request that comes meanwhile has to sit out.
      strain_high: Strain at which the ceiling is cut.
      ceiling_per_s: Slots by which the ceiling rises again per second.
    """

    yield_per_pending: float
    burst_arrivals: int
    growth_per_s: float
    settle_s: float
    pace_s: float
    strain_high: float
    ceiling_per_s: float


PROFILES = {
    "latency": Profile(4.0, 4, 80.0, 0.1, 0.015, 0.9, 16.0),
    "throughput": Profile(2.0, 8, 150.0, 0.05, 0.015, 1.5, 32.0),
}
# Slots in which online work is rounded up.
STEP = 2
# Seconds in which online requests count as coming together.
BURST_S = 0.25
# Slots added per second where no profile says otherwise.
GROWTH_PER_S = 60.0
# Seconds between items where no profile says otherwise.
PACE_S = 0.015
# Least seconds from one cut of the ceiling to the next: the effect of a
# cut shows only after the requests begun before it are through.
CUT_EVERY_S = 1.0
CUT = 0.5


class Headroom(abc.ABC):
    """Decides the number of batch slots of one upstream.

    Attributes:
      slots: Requests the upstream may run at once.
      pace_s: Seconds from one batch item that begins to the next.
    """

    def __init__(self, slots: int) -> None:
        self.slots = slots
        self.pace_s = PACE_S

    @abc.abstractmethod
    def target(self, now: float, load: Load, granted: int) -> int:
        """Return how many batch slots may be in use from now on.

        Args:
          now: Monotonic seconds.
          load: Online work at the upstream.
          granted: Batch slots granted up to now.
        """

    def growth(self, now: float) -> float:
        """Return how many slots per second may be added now.

        Each new batch stream brings a prompt to be read; many at once make
        one long step that the next online request would have to sit out.
        """
        return GROWTH_PER_S


class FixedShare(Headroom):
    """A fixed share of the slots, whatever online work comes."""

    def __init__(self, slots: int, share: float = 0.5) -> None:
        super().__init__(slots)
        self.share = share

    def target(self, now: float, load: Load, granted: int) -> int:
        return int(self.slots * self.share)


class RecentBurst(Headroom):
    """Keeps as many slots free as the largest recent burst took."""

    def __init__(self, slots: int, window_s: float = 10.0) -> None:
        super().__init__(slots)
        self.window_s = window_s
        self.peaks: collections.deque[tuple[float, int]] = collections.deque()

    def target(self, now: float, load: Load, granted: int) -> int:
        while self.peaks and self.peaks[0][0] < now - self.window_s:
            self.peaks.popleft()
        while self.peaks and self.peaks[-1][1] <= load.in_flight:
            self.peaks.pop()
        self.peaks.append((now, load.in_flight))
        return max(0, self.slots - self.peaks[0][1])


class LatencySteered(Headroom):
    """Yields to waiting requests at once, and to latency near its limit.

    Attributes:
      ceiling: Limit that follows measured latency.
    """

    def __init__(self, slots: int, profile: Profile) -> None:
        super().__init__(slots)
        self.profile = profile
        self.pace_s = profile.pace_s
        self.ceiling = float(slots)
        self.changed_at: float | None = None
        self.waited_at = -profile.settle_s
        self.cut_at = -CUT_EVERY_S
        self.used_since = 0.0
        self.pending = 0
        self.arrivals: collections.deque[float] = collections.deque()

    def target(self, now: float, load: Load, granted: int) -> int:
        before = now if self.changed_at is None else self.changed_at
        self.changed_at = now
        self.used_since = self.used_since if granted else now
        self.steer(now, max(0.0, now - before), load.strain, granted)
        # In whole steps: one request more or less would else send new
        # grants to every holder each time.
        taken = -(-load.in_flight // STEP) * STEP
        room = min(self.ceiling, float(self.slots - taken))
        if load.pending:
            self.waited_at = now
            room -= self.profile.yield_per_pending * load.pending
        if self.in_burst(now, load):
            return 0
        return max(0, int(room))

    def in_burst(self, now: float, load: Load) -> bool:
        """Return whether online requests come close together."""
        new = max(0, load.pending - self.pending)
        self.pending = load.pending
        self.arrivals.extend([now] * new)
        while self.arrivals and self.arrivals[0] < now - BURST_S:
            self.arrivals.popleft()
        return len(self.arrivals) >= self.profile.burst_arrivals

    def growth(self, now: float) -> float:
        if now - self.waited_at < self.profile.settle_s:
            return 0.0
        return self.profile.growth_per_s

    def steer(
        self, now: float, passed: float, strain: float, granted: int
    ) -> None:
        """Cut the ceiling under strain that batch work had a part in.

        Bursts strain the engine by themselves. A cut for a latency measured
        while no batch work ran would leave the seconds after the burst
        unused and help nobody.
        """
        if strain < self.profile.strain_high:
            risen = self.ceiling + passed * self.profile.ceiling_per_s
            self.ceiling = min(float(self.slots), risen)
        elif now - max(self.cut_at, self.used_since) >= CUT_EVERY_S:
            self.cut_at = now
            self.ceiling = max(1.0, granted * CUT)


def headroom_for(slots: int, priority: str, share: float) -> Headroom:
    """Return the headroom of an upstream as its service sets it.

    Args:
      slots: Requests the upstream may run at once.
      priority: ``"latency"`` or ``"throughput"``.
      share: Share of the slots that batch work may use at all.
    """
    profile = PROFILES.get(priority, PROFILES["latency"])
    return LatencySteered(int(slots * share), profile)
