"""Says when to read the platform's list of hosts."""

__all__ = ["ListPolling"]

import random

# Seconds for each host from one look of a member to its next: the members
# of all hosts together look about every two seconds, whatever their number.
S_PER_HOST = 4.0
MIN_PAUSE_S = 5.0


class ListPolling:
    """Looks now and then, and soon when a second opinion is wanted.

    A list of hundreds of hosts is large, and a way that is broken for one
    watcher only makes it want an opinion again and again. So each look
    that is wanted doubles the time to the next such look, until one that
    is due anyway finds nothing wanted.
    """

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.due_at = 0.0
        self.wanted_at = 0.0
        self.wanted_pause_s = MIN_PAUSE_S

    def due(self, now: float, hosts: int, wanted: bool) -> bool:
        """Return whether to look now; true counts as a look.

        Args:
          now: Seconds of the monotonic clock.
          hosts: Number of hosts known.
          wanted: Whether a second opinion would help.
        """
        pause_s = max(MIN_PAUSE_S, hosts * S_PER_HOST)
        if now < self.due_at and (not wanted or now < self.wanted_at):
            return False
        if wanted:
            self.wanted_pause_s = min(self.wanted_pause_s * 2, pause_s)
        else:
            self.wanted_pause_s = MIN_PAUSE_S
        self.due_at = now + pause_s * (0.5 + self.rng.random())
        self.wanted_at = now + self.wanted_pause_s
        return True
