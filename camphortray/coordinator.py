"""Divides the batch slots of one upstream among requesting hosts."""

__all__ = ["Coordinator", "GRANT_S", "divide"]

import dataclasses

from camphortray import headroom

# Seconds until a grant expires unless renewed. After the loss of a coordinator
# its grants expire, and batch work stops for at most this long.
GRANT_S = 1.2
# Difference in slots between two holders above which slots are moved.
MAX_IMBALANCE_SLOTS = 2
# Seconds between two increases of the granted total, so that a coordinator
# sends each holder at most 10 messages a second while the total grows.
GROWTH_INTERVAL_S = 0.1
# Seconds until a host's report of online work expires. Hosts repeat reports
# every second while they have online work.
REPORT_TTL_S = 3.0


def divide(
    total: int,
    wanted: dict[str, int],
    held: dict[str, int],
    rebalance: bool = True,
) -> dict[str, int]:
    """Divide slots about evenly while moving as few as possible.

    Moving a slot preempts an item and costs two messages. Missing slots are
    therefore taken from the holders with the most, free ones go to those with
    the least, and others move only while two holders differ by more than
    ``MAX_IMBALANCE_SLOTS``.

    Args:
      total: Number of slots to divide.
      wanted: Number of slots each holder could use.
      held: Number of slots each holder has now.
      rebalance: Whether slots may move from one holder to another.

    >>> divide(10, {"a": 2, "b": 9, "c": 9}, {})
    {'a': 2, 'b': 4, 'c': 4}
    >>> divide(10, {"a": 9, "b": 9}, {"a": 6, "b": 4})
    {'a': 6, 'b': 4}
    """
    shares = {n: min(held.get(n, 0), wanted[n]) for n in wanted}
    used = sum(shares.values())
    while used > total:
        shares[max(shares, key=lambda n: (shares[n], n))] -= 1
        used -= 1
    while True:
        unsatisfied = [n for n in shares if shares[n] < wanted[n]]
        if not unsatisfied:
            return shares
        least = min(unsatisfied, key=lambda n: (shares[n], n))
        most = max(shares, key=lambda n: (shares[n], n))
        if used < total:
            used += 1
        elif rebalance and shares[most] - shares[least] > MAX_IMBALANCE_SLOTS:
            shares[most] -= 1
        else:
            return shares
        shares[least] += 1


@dataclasses.dataclass(slots=True)
class Holder:
    """Host that runs batch work on the upstream.

    Attributes:
      wanted: Slots it could use, including those in use.
      granted: Slots it may use.
      until: When its request expires.
    """

    wanted: int = 0
    granted: int = 0
    until: float = 0.0


@dataclasses.dataclass(slots=True)
class Report:
    """Online work of one host at the upstream.

    Attributes:
      load: Reported load.
      until: When the report expires.
    """

    load: headroom.Load
    until: float


class Coordinator:
    """Soft state of one upstream, rebuilt from messages within seconds.

    Attributes:
      holders: Hosts that request batch slots, by host name.
      reports: Reports of online work, by host name.
      policy: Headroom policy, which sets the total number of slots.
    """

    def __init__(self, policy: headroom.Headroom, now: float) -> None:
        self.policy = policy
        self.holders: dict[str, Holder] = {}
        self.reports: dict[str, Report] = {}
        # Grants of the previous coordinator may last until this time. Before,
        # hosts keep their slots but get no more, so that two coordinators
        # together never grant the upstream's slots twice.
        self.previous_grants_until = now + GRANT_S
        self.last_growth_at = now

    def update_request(
        self, now: float, host: str, wanted: int, held: int
    ) -> None:
        """Record how many slots a host could use and how many it uses."""
        if host not in self.holders:
            # Only a host's first request shows what the previous coordinator
            # granted; later ones reflect this coordinator's grants.
            known = held if now < self.previous_grants_until else 0
            self.holders[host] = Holder(granted=known)
        holder = self.holders[host]
        holder.wanted = wanted
        holder.until = now + GRANT_S

    def extend_after_stall(self, now: float, seconds: float) -> None:
        """Extend hosts' requests and reports after this process was stalled.

        Newer messages may be unread. If the requests expired, all hosts would
        lose their grants and restart all their items.
        """
        for holder in self.holders.values():
            holder.until = max(holder.until, now + seconds)
        for report in self.reports.values():
            report.until = max(report.until, now + seconds)

    def update_load(self, now: float, host: str, load: headroom.Load) -> None:
        """Record a host's online work at the upstream."""
        if load.in_flight or load.strain:
            self.reports[host] = Report(load, now + REPORT_TTL_S)
        else:
            self.reports.pop(host, None)

    def pace_s(self) -> float:
        """Return the minimum seconds between new items of one holder."""
        return self.policy.pace_s * max(1, len(self.holders))

    def granted(self) -> int:
        """Return the number of slots granted to all hosts."""
        return sum(holder.granted for holder in self.holders.values())

    def load(self, now: float) -> headroom.Load:
        """Return the total online work in unexpired reports."""
        for host in [h for h, r in self.reports.items() if r.until <= now]:
            del self.reports[host]
        total = headroom.Load()
        for report in self.reports.values():
            total += report.load
        return total

    def growth(self, now: float) -> int:
        """Return how many slots may be added in this step."""
        elapsed_s = now - self.last_growth_at
        if now < self.previous_grants_until or elapsed_s < GROWTH_INTERVAL_S:
            return 0
        self.last_growth_at = now
        # Limits the increase after a period without any.
        return int(
            self.policy.growth(now) * min(elapsed_s, 2 * GROWTH_INTERVAL_S)
        )

    def decide(self, now: float) -> dict[str, int]:
        """Decide all grants and return those that changed, by host."""
        for host in [
            h for h, holder in self.holders.items() if holder.until <= now
        ]:
            del self.holders[host]
        granted = self.granted()
        total = self.policy.target(now, self.load(now), granted)
        if total > granted:
            total = min(total, granted + self.growth(now))
        wanted = {host: holder.wanted for host, holder in self.holders.items()}
        held = {host: holder.granted for host, holder in self.holders.items()}
        # Slots granted by the previous coordinator are not moved.
        rebalance = now >= self.previous_grants_until
        changed = {}
        for host, slots in divide(total, wanted, held, rebalance).items():
            if self.holders[host].granted != slots:
                self.holders[host].granted = slots
                changed[host] = slots
        return changed
