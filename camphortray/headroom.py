"""Policies for the number of batch slots an upstream can spare."""

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
    """Online work at one upstream, of one host or summed over hosts.

    Attributes:
      in_flight: Number of requests at the upstream.
      pending: Number of those without a first token yet.
      strain: Worst recent latency relative to its objective; at 1.0 the
        objective is just met.
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
    """Trade-off of one priority between online latency and batch throughput.

    Attributes:
      yield_per_pending: Slots revoked for each online request that waits for
        its first token. Engines process prompts in order of arrival, several
        per step, so each batch stream lengthens the steps that a burst of
        requests waits for.
      burst_arrivals: Number of online requests within ``BURST_WINDOW_S`` that
        make a burst. All slots are revoked until the burst is over, since
        batch streams lengthen the steps of all its requests. For a single
        request, that would not be worth processing the prompts again.
      growth_per_s: Slots added per second; see ``Headroom.growth``.
      settle_s: Seconds without a pending request before slots are added.
      pace_s: Minimum seconds between the starts of two batch items. Prompts
        that arrive together are processed in one long step, which delays an
        online request that arrives meanwhile.
      strain_high: Strain at which the ceiling is cut.
      ceiling_per_s: Slots per second by which the ceiling recovers.
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
# Multiple of slots to which online work is rounded up.
ROUNDING_SLOTS = 2
# Seconds within which online requests count towards one burst.
BURST_WINDOW_S = 0.25
# Slots added per second by policies without a profile.
GROWTH_PER_S = 60.0
# Seconds between the starts of batch items in policies without a profile.
PACE_S = 0.015
# Minimum seconds between two cuts of the ceiling. The effect of a cut shows
# only after the requests sent before it have finished.
CUT_INTERVAL_S = 1.0
# Share of the granted slots that remains after a cut.
CUT_FACTOR = 0.5


class Headroom(abc.ABC):
    """Policy that decides the number of batch slots of one upstream.

    Attributes:
      slots: Number of requests the upstream may run concurrently.
      pace_s: Minimum seconds between the starts of two batch items.
    """

    def __init__(self, slots: int) -> None:
        self.slots = slots
        self.pace_s = PACE_S

    @abc.abstractmethod
    def target(self, now: float, load: Load, granted: int) -> int:
        """Return the number of batch slots that may be in use.

        Args:
          now: Current monotonic time in seconds.
          load: Online work at the upstream.
          granted: Number of batch slots granted now.
        """

    def growth(self, now: float) -> float:
        """Return the number of slots per second that may be added.

        Each new batch stream has a prompt to process. Many at once make one
        long step, which delays the next online request.
        """
        return GROWTH_PER_S


class FixedShare(Headroom):
    """Grants a fixed share of the slots, regardless of online work."""

    def __init__(self, slots: int, share: float = 0.5) -> None:
        super().__init__(slots)
        self.share = share

    def target(self, now: float, load: Load, granted: int) -> int:
        return int(self.slots * self.share)


class RecentBurst(Headroom):
    """Keeps as many slots free as the largest recent online load used."""

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
    """Reduces slots for pending requests at once, and for high latency.

    Attributes:
      ceiling: Limit on the slots, adjusted to the measured latency.
      last_pending_at: When requests were last pending.
      cut_at: When the ceiling was last cut.
      granted_since: Since when batch slots have been granted.
    """

    def __init__(self, slots: int, profile: Profile) -> None:
        super().__init__(slots)
        self.profile = profile
        self.pace_s = profile.pace_s
        self.ceiling = float(slots)
        self.updated_at: float | None = None
        self.last_pending_at = -profile.settle_s
        self.cut_at = -CUT_INTERVAL_S
        self.granted_since = 0.0
        self.pending = 0
        self.arrivals: collections.deque[float] = collections.deque()

    def target(self, now: float, load: Load, granted: int) -> int:
        last_at = now if self.updated_at is None else self.updated_at
        self.updated_at = now
        self.granted_since = self.granted_since if granted else now
        self.adjust_ceiling(now, max(0.0, now - last_at), load.strain, granted)
        # Rounded, so that a change by one request does not send new grants to
        # every holder.
        online_slots = -(-load.in_flight // ROUNDING_SLOTS) * ROUNDING_SLOTS
        available = min(self.ceiling, float(self.slots - online_slots))
        if load.pending:
            self.last_pending_at = now
            available -= self.profile.yield_per_pending * load.pending
        if self.in_burst(now, load):
            return 0
        return max(0, int(available))

    def in_burst(self, now: float, load: Load) -> bool:
        """Return whether recent online requests make a burst."""
        arrived = max(0, load.pending - self.pending)
        self.pending = load.pending
        self.arrivals.extend([now] * arrived)
        while self.arrivals and self.arrivals[0] < now - BURST_WINDOW_S:
            self.arrivals.popleft()
        return len(self.arrivals) >= self.profile.burst_arrivals

    def growth(self, now: float) -> float:
        if now - self.last_pending_at < self.profile.settle_s:
            return 0.0
        return self.profile.growth_per_s

    def adjust_ceiling(
        self, now: float, elapsed_s: float, strain: float, granted: int
    ) -> None:
        """Adjust the ceiling, cutting it for strain that batch work adds to.

        A burst alone also causes strain. A cut for latency measured without
        batch work would only leave slots unused after the burst.
        """
        if strain < self.profile.strain_high:
            raised = self.ceiling + elapsed_s * self.profile.ceiling_per_s
            self.ceiling = min(float(self.slots), raised)
        elif now - max(self.cut_at, self.granted_since) >= CUT_INTERVAL_S:
            self.cut_at = now
            self.ceiling = max(1.0, granted * CUT_FACTOR)


def headroom_for(slots: int, priority: str, share: float) -> Headroom:
    """Return the headroom policy for the settings of a service.

    Args:
      slots: Number of requests the upstream may run concurrently.
      priority: ``"latency"`` or ``"throughput"``.
      share: Maximum share of the slots that batch work may use.
    """
    profile = PROFILES.get(priority, PROFILES["latency"])
    return LatencySteered(int(slots * share), profile)
