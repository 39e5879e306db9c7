"""Asks the host that claimed a call whether it is still running it."""

__all__ = ["CallProbe", "CallState", "ClaimProbes"]

from collections.abc import Callable
from typing import Any

import msgspec

from camphortray import config as configs
from camphortray import errors
from camphortray import membership
from camphortray import messages
from camphortray import peers
from camphortray import records

# Time limit for the claiming host's reply, in seconds.
REPLY_TIMEOUT_S = 1.0


@messages.message("calls.probe")
class CallProbe(msgspec.Struct, frozen=True):
    """Asks whether a call is in progress.

    Attributes:
      name: Name of the call.
      incarnation: Incarnation of the process that claimed it.
    """

    name: str
    incarnation: int


@messages.message("calls.state")
class CallState(msgspec.Struct, frozen=True):
    """The reply to a probe.

    Attributes:
      running: Whether the call may still be answered.
    """

    running: bool


class ClaimProbes:
    """Sends probes and replies to those of other hosts.

    Without a probe, a retry would wait in vain for the answer of a call
    whose claiming host got no answer from the service.
    """

    def __init__(
        self,
        links: peers.Peers,
        members: membership.Membership,
        writer: records.Writer,
        running: Callable[[str], bool],
    ) -> None:
        self.links = links
        self.members = members
        self.writer = writer
        self.running = running
        links.on(CallProbe, self.on_probe)

    async def on_probe(self, sender: peers.Sender, probe: CallProbe) -> Any:
        """Reply to a probe; an earlier incarnation runs no calls."""
        same = probe.incarnation == self.writer.incarnation
        return CallState(same and self.running(probe.name))

    async def is_running(self, claimer: records.Writer, name: str) -> bool:
        """Return whether the claiming process reports a call as running."""
        if claimer == self.writer:
            return self.running(name)
        member = self.members.member(claimer.name)
        if member is None or member.dead:
            return False
        address = configs.Address.from_text(member.peer_address)
        probe = CallProbe(name, claimer.incarnation)
        try:
            state = await self.links.ask_anew(address, probe, REPLY_TIMEOUT_S)
        except errors.MessageError:
            return False
        return isinstance(state, CallState) and state.running
