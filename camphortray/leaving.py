"""Which upstreams are leaving, by all that is said of them."""

__all__ = ["LeavingBook"]

from collections.abc import Iterable

from camphortray import engine
from camphortray import hostlist

GOING = ("leaving", "gone")
# An upstream that cannot be asked is tried again after this long, if the
# list calls it live; by then the list shows what it was late with.
UNASKED_S = 60.0


class LeavingBook:
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
    """

    def __init__(self) -> None:
        self.marked: dict[str, float] = {}
        self.listed: dict[str, str] = {}
        self.returned: set[str] = set()

    def on_list(self, lines: Iterable[hostlist.ListedHost]) -> list[str]:
        """Take the platform's list; return names it newly sends away."""
        news = []
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
        else:
            self.marked.pop(name, None)
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
            return not state.draining
        long_ago = self.marked.get(name, now) <= now - UNASKED_S
        live = self.listed.get(name) == "live"
        return name in self.returned or (long_ago and live)
