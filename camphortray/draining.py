"""Tracks which upstreams are draining, from several sources."""

__all__ = ["DrainingUpstreams"]

from collections.abc import Iterable

from camphortray import engine
from camphortray import hostlist

LEAVING_STATUSES = ("leaving", "gone")
# Seconds after which an upstream that cannot be queried is used again if the
# host list has it as live; by then the list's lag has passed.
LISTED_RETURN_S = 60.0
# Seconds after which an upstream's own report that it serves is accepted
# without a read of the host list since the mark. Hosts of a large fleet read
# the list about every 20 s; during an outage of the list there is no read.
REPORTED_RETURN_S = 30.0


class DrainingUpstreams:
    """Upstreams that get no new work.

    An upstream is marked by the first report from any source: the
    platform's host list, its own refusal or state, or another host. As the
    list lags, its "live" does not contradict a recent report. The mark is
    removed only if the upstream, queried again, reports that it serves, or
    if the list changes from "leaving" back to "live".

    Attributes:
      marked: Time at which each upstream was marked, by name.
      listed: Last status in the host list, by name.
      returned: Marked names that the list has as live again.
      reads: Number of reads of the list on this host.
      read_at: Value of ``reads`` when each upstream was marked.
    """

    def __init__(self) -> None:
        self.marked: dict[str, float] = {}
        self.listed: dict[str, str] = {}
        self.returned: set[str] = set()
        self.reads = 0
        self.read_at: dict[str, int] = {}

    def on_list(self, lines: Iterable[hostlist.ListedHost]) -> list[str]:
        """Process the host list; return unmarked names that it has leaving."""
        leaving = []
        self.reads += 1
        for line in lines:
            if line.kind != "upstream":
                continue
            before = self.listed.get(line.name)
            self.listed[line.name] = line.status
            if line.status in LEAVING_STATUSES:
                self.returned.discard(line.name)
                if line.name not in self.marked:
                    leaving.append(line.name)
            elif before in LEAVING_STATUSES:
                self.returned.add(line.name)
        return leaving

    def mark(self, name: str, leaving: bool, now: float) -> None:
        """Mark an upstream as leaving, or remove its mark."""
        if leaving:
            self.marked.setdefault(name, now)
            self.read_at.setdefault(name, self.reads)
        else:
            self.marked.pop(name, None)
            self.read_at.pop(name, None)
        self.returned.discard(name)

    def is_back(
        self, name: str, state: engine.EngineState | None, now: float
    ) -> bool:
        """Return whether a marked upstream may be used again.

        Args:
          name: Name of the upstream.
          state: State it has just reported, or None if it did not answer
            or cannot be queried.
          now: Current time, from the same clock as for ``mark``.
        """
        if self.listed.get(name) in LEAVING_STATUSES:
            return False
        if state is not None:
            # The mark may come from another host's newer read of the list,
            # of which neither this host nor the upstream knows yet.
            read = self.reads != self.read_at.get(name, -1)
            waited = self.marked.get(name, now) <= now - REPORTED_RETURN_S
            return not state.draining and (read or waited)
        expired = self.marked.get(name, now) <= now - LISTED_RETURN_S
        live = self.listed.get(name) == "live"
        return name in self.returned or (expired and live)
