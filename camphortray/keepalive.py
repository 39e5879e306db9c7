"""Decides which requests leave on a connection that has been used before.

A new connection costs its server, and the caller the time of a handshake.
A kept one may have gone silent for good, may be closed by the server just
as a request leaves, or may carry bytes that belong to an earlier answer. A
request that may run once is lost if it leaves on such a connection.

What a handshake proves is that the server's machine can be reached now. A
kept connection proves as much by the acknowledgement of the request's head,
while its body is still held back: nothing runs without its body. So:

- a request with a body leaves in two steps; if its head is not acknowledged
  in time, it has not run, and leaves on a new connection;
- if the head is answered under the request's id, that is its answer: the
  server may have begun, and gets the request no second time;
- one without a body, which its head alone would start, leaves on a kept
  connection only if it may be repeated; if that is given up, the request
  may have run, whatever a new connection brings;
- an idle connection is left well before the server closes it;
- where heads are not acknowledged in time though new connections work, kept
  ones are left alone for a while.

The head leaves in two segments. A machine that has answered on a connection
delays the acknowledgement of a single small one by 40 ms or more, in the
hope of sending it with the answer; of a second one it does not. Measured on
Linux's loopback: 43 to 48 ms in one segment, 1.2 ms in two.
"""

__all__ = [
    "ACKNOWLEDGED_S",
    "Proofs",
    "idle_limit_s",
    "may_reuse",
    "most_idle",
]

import math
import re

from camphortray import config as configs

# Time for the head of a request to be acknowledged on a kept connection,
# in seconds. The way there and back takes some milliseconds, and one whose
# packet was lost is better given up than waited for: it is sent again only
# after 0.2 s.
ACKNOWLEDGED_S = 0.04
# Taken off the limit that a server tells, in seconds: it tells whole ones,
# and the request needs its way there.
MARGIN_S = 0.5
# Share of the connections that a server accepts which idle ones of all
# hosts may take up. The rest is for requests and for hosts not known here.
IDLE_SHARE = 0.5
# Heads in a row that a server's machine did not acknowledge in time, though
# a new connection opened, after which no more are sent on kept ones, and for
# how long, in seconds. One or two may be the work of a single fault.
MOST_UNPROVED = 3
LEFT_S = 60.0
TOLD = re.compile(r"timeout\s*=\s*(\d{1,6})", re.IGNORECASE)


def idle_limit_s(told: str) -> float:
    """Return how long a connection may be idle before it is left.

    Args:
      told: The server's header on it, or empty.

    >>> idle_limit_s("timeout=5, max=100"), idle_limit_s("")
    (4.5, inf)
    """
    found = TOLD.search(told)
    if found is None:
        return math.inf
    return max(0.0, int(found[1]) - MARGIN_S)


def may_reuse(has_body: bool, repeatable: bool) -> bool:
    """Return whether a request may leave on a kept connection."""
    return has_body or repeatable


def most_idle(accepted: int, hosts: int, usual: int) -> int:
    """Return how many idle connections a host may keep to one server.

    Args:
      accepted: Connections that the server accepts in all, 0 if untold.
      hosts: That there are.
      usual: Most where nothing binds.

    >>> most_idle(370, 12, 64), most_idle(290, 390, 64), most_idle(0, 9, 64)
    (15, 0, 64)
    """
    if not accepted:
        return usual
    return min(usual, int(accepted * IDLE_SHARE) // max(1, hosts))


class Proofs:
    """At which servers the acknowledgement of a head comes in time.

    Attributes:
      failed: Heads in a row that were not, by address.
      left: Until when kept connections are left alone, by address.
    """

    def __init__(self) -> None:
        self.failed: dict[configs.Address, int] = {}
        self.left: dict[configs.Address, float] = {}

    def trusted(self, address: configs.Address, now: float) -> bool:
        """Return whether kept connections to a server may be used."""
        until = self.left.get(address)
        if until is None:
            return True
        if now < until:
            return False
        del self.left[address]
        return True

    def note(self, address: configs.Address, proved: bool, now: float) -> None:
        """Take note of a head that was acknowledged in time, or was not."""
        if proved:
            self.failed.pop(address, None)
            return
        failed = self.failed.get(address, 0) + 1
        self.failed[address] = failed
        if failed >= MOST_UNPROVED:
            del self.failed[address]
            self.left[address] = now + LEFT_S

    def forget(self, address: configs.Address) -> None:
        """Drop what is known of a server."""
        self.failed.pop(address, None)
        self.left.pop(address, None)
