"""Decides which requests a host accepts while it shuts down.

A request that is accepted has to end before the host does. Only its own time
limit tells how long it may take.
"""

__all__ = ["DrainAdmission"]

import math

from camphortray import errors

# Time after the signal for which every request that may be repeated is
# accepted, in seconds and at most as a share of the grace: callers come with
# addresses from before, and most requests end long before their time limit.
OPEN_S = 2.8
OPEN_SHARE = 0.4
# Shares of the grace after which nothing is accepted, and after which answers
# that have not ended are cut off.
ACCEPT_SHARE = 0.7
STOP_SHARE = 0.95
# Time between the limit of a request and the end of its answer, in seconds.
ANSWER_MARGIN_S = 0.1
# Seconds after which a refused request may come again, at another host.
RETRY_AFTER_S = 0.3


class DrainAdmission:
    """What a host accepts; everything until it shuts down.

    Attributes:
      open_until: Until when every request that may be repeated is accepted,
        in monotonic seconds, as are the next three.
      accept_until: Until when those are that end in time.
      end_by: By when these have to end.
      stop_at: When answers are cut off.
    """

    def __init__(self) -> None:
        self.open_until = math.inf
        self.accept_until = math.inf
        self.end_by = math.inf
        self.stop_at = math.inf

    def begin(
        self, now: float, grace_s: float, open_s: float = OPEN_S
    ) -> None:
        """Begin to shut down.

        Args:
          now: Present time in monotonic seconds.
          grace_s: Seconds until the process is killed.
          open_s: Longest time for which every request that may be repeated
            is accepted, in seconds.
        """
        self.open_until = now + min(open_s, grace_s * OPEN_SHARE)
        self.accept_until = now + grace_s * ACCEPT_SHARE
        self.stop_at = now + grace_s * STOP_SHARE
        self.end_by = self.stop_at - ANSWER_MARGIN_S

    def accepts(
        self, now: float, limit_at: float, repeatable: bool = True
    ) -> bool:
        """Return whether a request may be started.

        Args:
          now: Present time in monotonic seconds.
          limit_at: When the time of the request is over.
          repeatable: Whether it may run again. One that may not is accepted
            only if it ends in time: its caller could do nothing about an
            answer that is cut off, and can go to another host now.
        """
        if now < self.open_until and repeatable:
            return True
        return now < self.accept_until and limit_at <= self.end_by

    def check(
        self, now: float, limit_at: float, repeatable: bool = True
    ) -> None:
        """Check that a request may be started; see ``accepts``.

        Raises:
          Refused: it may not, and has not run.
        """
        if not self.accepts(now, limit_at, repeatable):
            raise errors.Refused(
                503, "draining", "host leaves", retry_after=RETRY_AFTER_S
            )
