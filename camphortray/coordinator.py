"""Divides the batch slots of one upstream among the hosts that ask."""

__all__ = ["Coordinator", "GRANT_S", "divide"]

import dataclasses

from camphortray import headroom

# Seconds for which a grant holds. A coordinator that is gone stops batch
# work for at most this long, and its grants end by themselves.
GRANT_S = 1.2
# Slots by which holders may differ.
APART = 2
# Seconds from one step of growth to the next, so that a coordinator sends
# each holder at most 10 messages a second while it grows.
GROW_EVERY_S = 0.1
# Seconds for which a host's word about its online work is believed; hosts
# repeat it every second while they have any.
REPORT_S = 3.0


def divide(
    total: int,
    wanted: dict[str, int],
    held: dict[str, int],
    level: bool = True,
) -> dict[str, int]:
    """Divide slots about evenly, moving as few as can be.

    Each slot that moves costs a preempted item and two messages, so
    holders keep what they have: what is missing is taken from those with
    the most, what is free goes to those with the least, and beyond that
    slots move only while two holders are further apart than ``APART``.

    Args:
      total: Slots there are.
      wanted: Slots each could use.
      held: Slots each has now.
      level: Whether slots may move from one holder to another.

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
        hungry = [n for n in shares if shares[n] < wanted[n]]
        if not hungry:
            return shares
        least = min(hungry, key=lambda n: (shares[n], n))
        most = max(shares, key=lambda n: (shares[n], n))
        if used < total:
            used += 1
        elif level and shares[most] - shares[least] > APART:
            shares[most] -= 1
        else:
            return shares
        shares[least] += 1


@dataclasses.dataclass(slots=True)
class Holder:
    """A host that runs batch work on the upstream.

    Attributes:
      wanted: Slots it could use, those in use included.
      granted: Slots it may use.
      until: When what it wants is forgotten.
    """

    wanted: int = 0
    granted: int = 0
    until: float = 0.0


@dataclasses.dataclass(slots=True)
class Report:
    """Online work of one host at the upstream."""

    load: headroom.Load
    until: float


class Coordinator:
    """Soft state of one upstream; all of it comes back within seconds.

    Attributes:
      holders: By name of host.
      reports: By name of host.
      room: Decides the total.
    """

    def __init__(self, room: headroom.Headroom, now: float) -> None:
        self.room = room
        self.holders: dict[str, Holder] = {}
        self.reports: dict[str, Report] = {}
        # Grants of the coordinator before may run on this long. Until
        # then hosts keep what they hold but get no more, so that two
        # coordinators together never fill the upstream twice.
        self.careful_until = now + GRANT_S
        self.grown_at = now

    def want(self, now: float, host: str, wanted: int, held: int) -> None:
        """Take note of what a host could use and what it uses."""
        if host not in self.holders:
            # Only a host's first word tells what the coordinator before
            # granted it; later ones follow from the grants made here.
            known = held if now < self.careful_until else 0
            self.holders[host] = Holder(granted=known)
        holder = self.holders[host]
        holder.wanted = wanted
        holder.until = now + GRANT_S

    def stood_still(self, now: float, seconds: float) -> None:
        """Believe what hosts said for some time more after an own pause.

        Their newer word lies unread; forgotten, they would all be granted
        nothing, and send all their items again.
        """
        for holder in self.holders.values():
            holder.until = max(holder.until, now + seconds)
        for report in self.reports.values():
            report.until = max(report.until, now + seconds)

    def online(self, now: float, host: str, load: headroom.Load) -> None:
        """Take note of a host's online work at the upstream."""
        if load.in_flight or load.strain:
            self.reports[host] = Report(load, now + REPORT_S)
        else:
            self.reports.pop(host, None)

    def pace_s(self) -> float:
        """Return how far apart one holder's new items should begin."""
        return self.room.pace_s * max(1, len(self.holders))

    def granted(self) -> int:
        """Return the number of slots granted."""
        return sum(holder.granted for holder in self.holders.values())

    def load(self, now: float) -> headroom.Load:
        """Return online work over all hosts whose word is recent."""
        for host in [h for h, r in self.reports.items() if r.until <= now]:
            del self.reports[host]
        total = headroom.Load()
        for report in self.reports.values():
            total += report.load
        return total

    def growth(self, now: float) -> int:
        """Return how many slots may be added in this step."""
        passed = now - self.grown_at
        if now < self.careful_until or passed < GROW_EVERY_S:
            return 0
        self.grown_at = now
        # After an idle time one step still adds no more than another.
        return int(self.room.growth(now) * min(passed, 2 * GROW_EVERY_S))

    def decide(self, now: float) -> dict[str, int]:
        """Return the new grants of the hosts whose grant changes."""
        for host in [h for h, d in self.holders.items() if d.until <= now]:
            del self.holders[host]
        granted = self.granted()
        total = self.room.target(now, self.load(now), granted)
        if total > granted:
            total = min(total, granted + self.growth(now))
        wanted = {host: d.wanted for host, d in self.holders.items()}
        held = {host: d.granted for host, d in self.holders.items()}
        # What the coordinator before granted is not moved about.
        level = now >= self.careful_until
        changed = {}
        for host, slots in divide(total, wanted, held, level).items():
            if self.holders[host].granted != slots:
                self.holders[host].granted = slots
                changed[host] = slots
        return changed
