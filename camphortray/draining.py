"""Which upstreams are leaving, by all that is said of them."""

__all__ = ["DrainingUpstreams"]

from collections.abc import Iterable

from camphortray import engine
from camphortray import hostlist

GOING = ("leaving", "gone")
# An upstream that cannot be asked is tried again after this long, if the
# list calls it live; by then the list shows what it was late with.
UNASKED_S = 60.0
# An upstream's own word that it serves counts without a read of the list
# since the mark only after this long. Hosts of a large fleet read the list
# about every 20 s; while it is away the upstream's word must do.
UNREAD_S = 30.0


class DrainingUpstreams:
    """Upstreams that get no new work.

    The first word from any source counts: the platform's list, the
    upstream's own refusal or state, or another host. The list lags, so
    that it says "live" proves nothing about an upstream that has just
    said it is leaving. Only the upstream itself, asked anew, or a list
    that had said "leaving" and says "live" again takes the mark off.

    Attributes:
      marked: Names that get no new work, and since when.
      listed: Last status in the list, by name.
      returned: Marked names that the list has taken back.
      reads: How often the list was read here.
      read_at: ``reads`` when each mark was put on.
    """

    def __init__(self) -> None:
        self.marked: dict[str, float] = {}
        self.listed: dict[str, str] = {}
        self.returned: set[str] = set()
        self.reads = 0
        self.read_at: dict[str, int] = {}

    def on_list(self, lines: Iterable[hostlist.ListedHost]) -> list[str]:
        """Take the platform's list; return names it newly sends away."""
        news = []
        self.reads += 1
        for line in lines:
            if line.kind != "upstream":
                continue
            before = self.listed.get(line.name)
            self.listed[line.name] = line.status
            if line.status in GOING:
                self.returned.discard(line.name)
                if line.name not in self.marked:
                    news.append(line.name)
            elif before in GOING:
                self.returned.add(line.name)
        return news

    def mark(self, name: str, leaving: bool, now: float) -> None:
        """Put the mark on or take it off."""
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
          name: Which upstream.
          state: What it says of itself just now, or None if it does not
            answer or cannot be asked.
          now: The present time, as for ``mark``.
        """
        if self.listed.get(name) in GOING:
            return False
        if state is not None:
            # Another host may have it from the list, which this one has
            # not read since; the upstream itself need not know of it yet.
            read = self.reads != self.read_at.get(name, -1)
            waited = self.marked.get(name, now) <= now - UNREAD_S
            return not state.draining and (read or waited)
        long_ago = self.marked.get(name, now) <= now - UNASKED_S
        live = self.listed.get(name) == "live"
        return name in self.returned or (long_ago and live)
